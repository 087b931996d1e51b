/*
 * The combinations of faults that test_fault_combinations runs. Each is a function that injects
 * faults into a simulated site and cancels some of its jobs. Times are seconds of virtual time
 * since the beginning of the run. All random numbers of a run derive from the seed of its variant,
 * which must give the same run everywhere. Where a call needs several of them, each is therefore
 * drawn in its own statement: the order in which C evaluates arguments depends on the compiler.
 */
#ifndef FL_TESTS_FAULT_COMBINATIONS_H
#define FL_TESTS_FAULT_COMBINATIONS_H

struct combination {
	const char *name;
	/* Text that the seeds derive from; kept when `name` changes, so that known runs stay. */
	const char *seed_name;
	/* Injects the faults; `variant` also selects among the forms of the combination. */
	void (*inject_faults)(int variant);
	int first_variant, variant_count;
	const char *protects; /* the code in src/ that this combination tests */
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

/* Users cancel `count` running jobs; if hang_s > 0, the jobs' machines hang for that time. */
void inject_cancel_running(double start_s, int count, double hang_s);
/* The leader is killed, and restarted after duration_s. */
void inject_leader_down(double start_s, double duration_s);
/* The same at a random time within window_s after start_s. */
void inject_leader_down_within(double start_s, double window_s, double duration_s);

#endif
