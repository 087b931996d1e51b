#include "storage/write_budget.h"

void fl_budget_init(struct fl_budget *b, double rate, double burst, double now)
{
	b->rate = rate;
	b->burst = burst;
	b->have = burst;
	b->at = now;
}

double fl_budget_left(struct fl_budget *b, double now)
{
	if (now > b->at)
		b->have += (now - b->at) * b->rate;
	if (b->have > b->burst)
		b->have = b->burst;
	b->at = now;
	return b->have;
}

double fl_budget_take(struct fl_budget *b, double n, double now)
{
	fl_budget_left(b, now);
	/* A hair short counts as there: the wait for it could be too short to move a clock. */
	if (b->have >= n - 1e-9 || b->have >= b->burst) {
		b->have -= n;
		return 0;
	}
	return (n - b->have) / b->rate;
}
