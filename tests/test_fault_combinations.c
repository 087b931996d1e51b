/*
 * Combinations of faults: several controllers' real coordination code in virtual time, against
 * models of everything else, and a checker that knows the protocol's rules and nothing of ours.
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

/* Of one task, in some 200 s: by losses, refusals and stops. Nine is the most that was seen. */
enum { MOST_STARTS = 30 };

/* ---- settings ---- */

static void set_up(uint64_t seed, const char *name)
{
	bool longer;

	memset(&sim, 0, sizeof(sim));
	sim.seed = seed;
	sim.name = name;
	sim_seed(seed);
	longer = sim_chance(0.4);
	sim.node_count = 3 + sim_pick(3);
	sim.zone_count = 2 + sim_pick(2);
	sim.report_s = 1.5;
	sim.capacity = 3;
	sim.lease_s = longer ? 14 : 10;
	sim.cancel_s = longer ? 44 : 40;
	for (int i = 0; i < sim.node_count; i++)
		sim_configure(i);
	for (int i = 15 + sim_pick(11); i > 0; i--)
		sim_job_add(sim_between(0, 45));
}

/* ---- running ---- */

static void describe(const struct sim_job *job)
{
	const struct fl_job_spec *spec = &job->spec;

	print_message("  %s %s %s priority %d, %u x %g cpus %g gpus %g GB, %s%s%s%s%s, cancel %g, "
	              "%d starts\n",
	              spec->ref, spec->team, spec->kind == FL_SERVICE ? "service" : "array",
	              (int)spec->priority, spec->task_count, spec->cpus, spec->gpus, spec->ram_gb,
	              spec->machine_type_count > 0 ? spec->machine_types[0] : "any",
	              spec->has_zone ? " in " : "", spec->has_zone ? spec->zone : "",
	              spec->same_zone ? " together" : "", spec->spread_zones ? " apart" : "",
	              job->cancel, job->starts);
}

static void describe_troubles(void)
{
	for (int i = 0; i < sim.fault_count; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		print_message("  trouble %d at %.2f for %.2f s: whom %d, much %g, count %d, hang "
		              "%g\n",
		              (int)fault->kind, fault->at, fault->for_s, fault->target,
		              fault->magnitude, fault->count, fault->hang_s);
	}
}

static void play(const struct combination *m, int at)
{
	uint64_t seed = (uint64_t)at * 1000 + 7;

	for (const char *c = m->name; *c; c++)
		seed = seed * 31 + (unsigned char)*c;
	seed %= 1000000;
	sim_time_begin();
	set_up(seed, m->name);
	sim.begin = fl_now();
	m->plan(at);
	sim_start();
	sim.end_s = sim.calm_s + 95;
	sim_time_run(sim.begin + sim.end_s);
	sim_check_end();
	/* Found here: an array that was started and stopped in turn, 212 times, for whom it was for
	 * never took the room. */
	if (sim.most_starts > MOST_STARTS)
		sim_violation("churn", "one task was started %d times", sim.most_starts);
	if (sim.max_changes > 0 && sim.changes > sim.max_changes * sim.job_count)
		sim_violation("writes", "%d changes in the state service for %d jobs", sim.changes,
		              sim.job_count);
	if (getenv("SIM_VERBOSE") || sim.failures > 0)
		print_message("%s, seed %llu (variant %d): %d nodes, %d zones, lease %g, %.0f s, "
		              "%d jobs, %d machines, %d starts, %d done, %d polls, %d late "
		              "starts, %d of one task\n%s",
		              m->name, (unsigned long long)seed, at, sim.node_count, sim.zone_count,
		              sim.lease_s, sim.end_s, sim.job_count, sim.machine_count, sim.starts,
		              sim.completions, sim.polls, sim.late_starts, sim.most_starts,
		              sim.report);
	if (getenv("SIM_JOBS") || sim.failures > 0) {
		describe_troubles();
		for (int i = 0; i < sim.job_count; i++)
			describe(&sim.jobs[i]);
	}
	sim_end();
}

struct one {
	const struct combination *combination;
	int at;
	char name[96];
};

static void test_one(void **state)
{
	const struct one *one = *state;

	play(one->combination, one->at);
	if (sim.failures > 0)
		fail_msg("%s breaks %d rules; it protects: %s", one->name, sim.failures,
		         one->combination->guards);
}

enum { CASES = 256 };

/* One combination by name, one variant of it, or so many from that one on. */
static size_t add(const struct combination *m, int argc, char **argv, struct one *one,
                  struct CMUnitTest *tests, size_t n)
{
	int from = argc > 2 ? atoi(argv[2]) : m->from;
	int count = argc > 3 ? atoi(argv[3]) : argc > 2 ? 1 : m->seeds;

	if (argc > 1 && strcmp(argv[1], m->name) != 0)
		return n;
	/* A variant that is asked for is played once, also of a play with several entries. */
	if (argc > 2 && n > 0)
		return n;
	for (int at = from; at < from + count; at++) {
		sim_require(n < CASES);
		one[n].combination = m;
		one[n].at = at;
		snprintf(one[n].name, sizeof(one[n].name), "%s %d", m->name, at);
		tests[n].name = one[n].name;
		tests[n].test_func = test_one;
		tests[n].initial_state = &one[n];
		n++;
	}
	return n;
}

int main(int argc, char **argv)
{
	static struct one one[CASES];
	static struct CMUnitTest tests[CASES];
	size_t n = 0;

	fl_log_set_level(getenv("SIM_LOG") ? getenv("SIM_LOG") : "error");
	for (int i = 0; i < n_combinations; i++)
		n = add(&combinations[i], argc, argv, one, tests, n);
	for (int i = 0; i < n_timing_combinations; i++)
		n = add(&timing_combinations[i], argc, argv, one, tests, n);
	return _cmocka_run_group_tests("combinations", tests, n, NULL, NULL);
}
