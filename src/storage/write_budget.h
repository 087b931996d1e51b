/* A token bucket that limits how many requests or records a second a node spends. */
#ifndef FL_STORAGE_WRITE_BUDGET_H
#define FL_STORAGE_WRITE_BUDGET_H

/* `have` tokens as of time `at`; `rate` tokens come in a second, up to `burst` of them. */
struct fl_budget {
	double rate, burst, have, at;
};

/* A full bucket. */
void fl_budget_init(struct fl_budget *b, double rate, double burst, double now);
/* Seconds to wait before `n` may be spent; 0 spends them. */
double fl_budget_take(struct fl_budget *b, double n, double now);
/* What may be spent now. */
double fl_budget_left(struct fl_budget *b, double now);

#endif
