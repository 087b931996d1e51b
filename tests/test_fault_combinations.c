/*
 * Combinations of faults: the real coordination code of several controllers runs in virtual time
 * against fakes of all external systems. The invariant checker is written from the protocol's rules
 * and uses no coordination code.
 *
 * test_fault_combinations [NAME [VARIANT [COUNT]]] runs all combinations, one of them, one variant
 * of it, or COUNT variants beginning with VARIANT. SIM_VERBOSE=1 prints a summary of each run,
 * SIM_JOBS=1 its faults and jobs, SIM_LOG=debug the controllers' logs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/log.h"
#include "fault_combinations.h"
#include "sim.h"

struct sim sim;

enum {
	/* Starts of one task in about 200 s; losses, refusals and stops have caused up to nine. */
	MAX_TASK_STARTS = 30,
	MAX_CASES = 256
};

static const struct combination_group *const groups[] = {
	&kv_store_combinations, &failover_combinations, &workers_combinations,
	&load_combinations,     &random_combinations,
};

struct test_case {
	const struct combination *combination;
	int variant;
	char name[96];
};

/* ---- the site ---- */

static uint64_t case_seed(const struct test_case *test_case)
{
	uint64_t seed = (uint64_t)test_case->variant * 1000 + 7;

	for (const char *letter = test_case->combination->seed_name; *letter; letter++)
		seed = seed * 31 + (unsigned char)*letter;
	return seed % 1000000;
}

static void configure_site(uint64_t seed)
{
	bool long_lease;

	memset(&sim, 0, sizeof(sim));
	sim_seed(seed);
	long_lease = sim_chance(0.4);
	sim.node_count = 3 + sim_random_index(3);
	sim.zone_count = 2 + sim_random_index(2);
	sim.heartbeat_interval_s = 1.5;
	sim.cloud_capacity = 3;
	sim.lease_s = long_lease ? 14 : 10;
	sim.cancel_s = long_lease ? 44 : 40;
	for (int i = 0; i < sim.node_count; i++)
		sim_configure_node(i);
	for (int i = 15 + sim_random_index(11); i > 0; i--)
		sim_job_add_random(sim_random_between(0, 45));
}

static int set_up(void **state)
{
	const struct test_case *test_case = *state;

	sim_time_begin();
	configure_site(case_seed(test_case));
	sim.started_at = fl_now();
	test_case->combination->inject_faults(test_case->variant);
	sim_start();
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	sim_end();
	return 0;
}

/* ---- printed results ---- */

static void print_summary(const struct test_case *test_case)
{
	print_message("%s: seed=%llu nodes=%d zones=%d lease_s=%g duration_s=%.0f jobs=%d "
	              "machines=%d starts=%d completions=%d status_queries=%d "
	              "starts_after_cancellation=%d max_task_starts=%d\n%s",
	              test_case->name, (unsigned long long)case_seed(test_case), sim.node_count,
	              sim.zone_count, sim.lease_s, sim.duration_s, sim.job_count, sim.machine_count,
	              sim.starts, sim.completions, sim.status_queries,
	              sim.starts_after_cancellation, sim.max_task_starts, sim.violations);
}

static void print_job(const struct sim_job *job)
{
	const struct fl_job_spec *spec = &job->spec;

	print_message("  job=%s team=%s kind=%s priority=%d tasks=%u cpus=%g gpus=%g ram_gb=%g "
	              "type=%s zone=%s%s%s cancel_s=%g starts=%d\n",
	              spec->ref, spec->team, spec->kind == FL_SERVICE ? "service" : "array",
	              (int)spec->priority, spec->task_count, spec->cpus, spec->gpus, spec->ram_gb,
	              spec->machine_type_count > 0 ? spec->machine_types[0] : "any",
	              spec->has_zone ? spec->zone : "any", spec->same_zone ? " same_zone" : "",
	              spec->spread_zones ? " spread_zones" : "", job->cancel_s, job->starts);
}

static void print_faults(void)
{
	for (int i = 0; i < sim.fault_count; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		print_message("  fault kind=%d start_s=%.2f duration_s=%.2f target=%d magnitude=%g "
		              "count=%d hang_s=%g\n",
		              (int)fault->kind, fault->start_s, fault->duration_s, fault->target,
		              fault->magnitude, fault->count, fault->hang_s);
	}
}

static void print_result(const struct test_case *test_case)
{
	if (getenv("SIM_VERBOSE") || sim.violation_count > 0)
		print_summary(test_case);
	if (getenv("SIM_JOBS") || sim.violation_count > 0) {
		print_faults();
		for (int i = 0; i < sim.job_count; i++)
			print_job(&sim.jobs[i]);
	}
}

/* ---- running ---- */

static void check_run_bounds(void)
{
	/* Guards against endless preemption: an array was started and stopped 212 times, because
	 * the job for which it was preempted never used the capacity. */
	if (sim.max_task_starts > MAX_TASK_STARTS)
		sim_violation("task_starts", "task started too often starts=%d",
		              sim.max_task_starts);
	if (sim.max_kv_changes_per_job > 0 &&
	    sim_kv_change_count() > sim.max_kv_changes_per_job * sim.job_count)
		sim_violation("kv_changes", "key-value store changed too often changes=%d jobs=%d",
		              sim_kv_change_count(), sim.job_count);
}

static void no_invariant_is_violated(void **state)
{
	const struct test_case *test_case = *state;

	sim.duration_s = sim.faults_end_s + 95;
	sim_time_run(sim.started_at + sim.duration_s);
	sim_check_end();
	check_run_bounds();
	print_result(test_case);
	if (sim.violation_count > 0)
		fail_msg("%s: %d invariants violated; code under test: %s", test_case->name,
		         sim.violation_count, test_case->combination->protects);
}

/* ---- selection of cases ---- */

struct case_list {
	struct test_case cases[MAX_CASES];
	struct CMUnitTest tests[MAX_CASES];
	int count;
};

static void add_case(struct case_list *list, const struct combination *combination, int variant)
{
	struct test_case *test_case = &list->cases[list->count];

	sim_require(list->count < MAX_CASES);
	test_case->combination = combination;
	test_case->variant = variant;
	snprintf(test_case->name, sizeof(test_case->name), "%s %d", combination->name, variant);
	list->tests[list->count++] = (struct CMUnitTest){
		.name = test_case->name,
		.test_func = no_invariant_is_violated,
		.setup_func = set_up,
		.teardown_func = tear_down,
		.initial_state = test_case,
	};
}

/* Adds the cases that the arguments NAME, VARIANT and COUNT select; each is optional. */
static void add_selected_cases(struct case_list *list, const struct combination *combination,
                               int argc, char **argv)
{
	int first = combination->first_variant, count = combination->variant_count;

	if (argc > 1 && strcmp(argv[1], combination->name) != 0)
		return;
	if (argc > 2) {
		first = atoi(argv[2]);
		count = argc > 3 ? atoi(argv[3]) : 1;
		/* Requested variants run once, even if the combination is listed several times. */
		if (list->count > 0)
			return;
	}
	for (int variant = first; variant < first + count; variant++)
		add_case(list, combination, variant);
}

int main(int argc, char **argv)
{
	static struct case_list list;

	fl_log_set_level(getenv("SIM_LOG") ? getenv("SIM_LOG") : "error");
	for (size_t i = 0; i < sizeof(groups) / sizeof(groups[0]); i++)
		for (int k = 0; k < groups[i]->count; k++)
			add_selected_cases(&list, &groups[i]->combinations[k], argc, argv);
	if (list.count == 0) {
		fprintf(stderr, "no combination of faults named %s\n", argv[1]);
		return EXIT_FAILURE;
	}
	return _cmocka_run_group_tests("fault combinations", list.tests, (size_t)list.count, NULL,
	                               NULL);
}
