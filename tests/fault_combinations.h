/* The combinations of faults that test_fault_combinations plays. */
#ifndef FL_TESTS_FAULT_COMBINATIONS_H
#define FL_TESTS_FAULT_COMBINATIONS_H

struct combination {
	const char *name;
	const char *guards; /* what in src it protects */
	int seeds;
	void (*plan)(int variant);
	int from; /* the first variant */
};

extern const struct combination combinations[];
extern const int n_combinations;
/* With messages that are late or kept, controllers that are slow or frozen, close looks. */
extern const struct combination timing_combinations[];
extern const int n_timing_combinations;

/* Users call off so many jobs that run; with `hang_s` their machines hang so long. */
void play_cancel(double at, int count, double hang_s);
void play_leader_down(double at, double for_s);

#endif
