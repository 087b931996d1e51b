/*
 * The combinations of faults that test_fault_combinations runs: each is a function that injects
 * faults into a simulated site and cancels some of its jobs. Times are seconds of virtual time from
 * the beginning of a run; whatever a run draws comes from the seed of its variant. Where a call
 * needs several random numbers they are drawn in statements of their own: the order in which C
 * evaluates arguments depends on the compiler, and a seed has to give the same run everywhere.
 */
#ifndef FL_TESTS_FAULT_COMBINATIONS_H
#define FL_TESTS_FAULT_COMBINATIONS_H

struct combination {
	const char *name;
	/* The seeds derive from it: it stays when the name changes, so that known runs stay. */
	const char *seed_name;
	/* Chooses the faults; the variant selects among the combination's forms. */
	void (*inject_faults)(int variant);
	int first_variant, variant_count;
	const char *protects; /* what in src/ this combination keeps from breaking */
};

struct combination_group {
	const struct combination *combinations;
	int count;
};

extern const struct combination_group kv_store_combinations;
extern const struct combination_group failover_combinations;
extern const struct combination_group workers_combinations;
extern const struct combination_group load_combinations;
extern const struct combination_group random_combinations;

/* Users cancel `count` jobs that run; if hang_s > 0 their machines hang for so long. */
void inject_cancel_running(double start_s, int count, double hang_s);
void inject_leader_down(double start_s, double duration_s);
/* The same, beginning at a random time within the window. */
void inject_leader_down_within(double start_s, double window_s, double duration_s);

#endif
