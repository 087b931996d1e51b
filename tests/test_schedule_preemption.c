/*
 * Preemption by the scheduling cycle: capacity that is about to become free is not requested twice,
 * and goes to the job for which the attempt there was preempted.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "schedule_fixture.h"

/* A request may use the resources of a victim that is still stopping: nothing else is stopped. */
static void a_reservation_is_not_made_twice_for_capacity_about_to_become_free(void **state)
{
	struct snapshot snapshot = {.job_count = 1, .machine_count = 2, .attempt_count = 2};
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[0] = plain_job(4, 1, 0, 1);
	snapshot.jobs[0].service = true;
	snapshot.jobs[0].priority = FL_CRITICAL;
	snapshot.machines[0] = plain_machine(0);
	snapshot.machines[1] = plain_machine(0);
	snapshot.attempts[0] = running_attempt(0, 4, 50);
	snapshot.attempts[1] = running_attempt(1, 4, 50);
	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 1);
	fl_sched_output_free(&output);
	snapshot.machines[0] = plain_machine(0);
	snapshot.machines[1] = plain_machine(0);
	snapshot.jobs[0].startable_count = 1;
	snapshot.jobs[0].placed_by_zone[0] = 0;
	assert_true(snapshot.attempts[0].stopping != snapshot.attempts[1].stopping);

	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 0);
	assert_int_equal(output.unplaced_tasks[0], 0);
	fl_sched_output_free(&output);
}

enum { LOW_PRIORITY_JOB, HIGH_PRIORITY_JOB, COMPETING_JOBS };

/* Two jobs on two machines over many cycles, with the number of starts and preemptions. */
struct competition {
	struct snapshot snapshot;
	int starts[COMPETING_JOBS];
	int preemptions;
};

static void carry_over_reservations(struct snapshot *snapshot)
{
	for (int i = 0; i < snapshot->machine_count; i++) {
		snapshot->machines[i].reserved = snapshot->machines[i].requested;
		snapshot->machines[i].requested = (struct fl_reservation){0};
	}
}

static void apply_starts(struct competition *competition, const struct fl_sched_output *output)
{
	struct snapshot *snapshot = &competition->snapshot;

	for (int i = 0; i < output->start_count; i++) {
		const struct fl_sched_start *start = &output->starts[i];
		const struct fl_sched_job *job = &snapshot->jobs[start->job];
		struct fl_sched_attempt attempt =
			running_attempt(start->machine, job->need.cpus, job->estimate_s);

		attempt.priority = job->priority;
		snapshot->attempts[snapshot->attempt_count++] = attempt;
		competition->starts[start->job]++;
	}
}

/* Removes the victims, which have ended by the next cycle, and recomputes the free CPUs. */
static void end_stopped_attempts(struct snapshot *snapshot)
{
	int kept_count = 0;

	for (int i = 0; i < snapshot->attempt_count; i++)
		if (!snapshot->attempts[i].stopping)
			snapshot->attempts[kept_count++] = snapshot->attempts[i];
		else
			snapshot->jobs[LOW_PRIORITY_JOB].startable_count++;
	snapshot->attempt_count = kept_count;
	for (int i = 0; i < snapshot->machine_count; i++)
		snapshot->machines[i].free.cpus = 32;
	for (int i = 0; i < snapshot->attempt_count; i++)
		snapshot->machines[snapshot->attempts[i].machine].free.cpus -=
			snapshot->attempts[i].used.cpus;
}

static void run_competition(struct competition *competition, int cycle_count)
{
	for (int cycle = 0; cycle < cycle_count; cycle++) {
		struct fl_sched_output output;

		carry_over_reservations(&competition->snapshot);
		run_schedule(&competition->snapshot, &output);
		competition->preemptions += output.preemption_count;
		apply_starts(competition, &output);
		end_stopped_attempts(&competition->snapshot);
		fl_sched_output_free(&output);
	}
}

/*
 * Guards against endless preemption: a best-effort array that has waited long precedes an array of
 * higher priority, which preempts it, and takes the freed capacity again. There were 80,000
 * preemptions in ten minutes, and the array of higher priority started no task either. Each
 * preemption must lead to a start of that array, in the second cycle after it at the latest.
 */
static void preempted_capacity_goes_to_the_preempting_job(void **state)
{
	struct competition competition = {.snapshot = {.job_count = 2, .machine_count = 2}};
	struct snapshot *snapshot = &competition.snapshot;

	(void)state;
	snapshot->jobs[LOW_PRIORITY_JOB] = plain_job(6, 40, 300, 600);
	snapshot->jobs[LOW_PRIORITY_JOB].priority = FL_BEST_EFFORT;
	snapshot->jobs[LOW_PRIORITY_JOB].begun = true;
	snapshot->jobs[HIGH_PRIORITY_JOB] = plain_job(10, 6, 100, 10);
	snapshot->machines[0] = snapshot->machines[1] = plain_machine(32);

	run_competition(&competition, 40);

	assert_int_equal(competition.starts[HIGH_PRIORITY_JOB], 6);

	/* Ten tasks fill the machines; those preempted for six tasks may have started again. */
	assert_true(competition.starts[LOW_PRIORITY_JOB] >= 10 && competition.preemptions <= 12);
}

/*
 * If each of two jobs could preempt the other, one by its priority and one by its team's guarantee,
 * only the guaranteed job may.
 */
static void guaranteed_work_is_not_preempted_by_a_job_that_it_could_preempt(void **state)
{
	struct snapshot snapshot = {.job_count = 1, .machine_count = 1, .attempt_count = 1};
	struct fl_sched_output output;

	(void)state;
	snapshot.teams[1].guaranteed_cpus = 8;
	snapshot.teams[0].used_cpus = 4;
	snapshot.jobs[0] = plain_job(4, 1, 60, 10);
	snapshot.jobs[0].priority = FL_STANDARD;
	snapshot.machines[0] = plain_machine(0);
	snapshot.attempts[0] = running_attempt(0, 4, 50);
	snapshot.attempts[0].priority = FL_BEST_EFFORT;
	snapshot.attempts[0].team = 1;
	snapshot.attempts[0].holds_guarantee = true;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 0);
	fl_sched_output_free(&output);
	/* An attempt beyond the guarantee is preempted for a higher priority. */
	snapshot.machines[0] = plain_machine(0);
	snapshot.jobs[0].startable_count = 1;
	snapshot.attempts[0].holds_guarantee = false;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 1);
	fl_sched_output_free(&output);
}

/* ---- no cycle of preemptions ---- */

enum { KINDS = 2 * 4 * 2 * 2 };

/* What a job's right to preempt, and not to be preempted, depends on. */
struct kind {
	bool service, holds_guarantee;
	enum fl_priority priority;
	int team;
};

static struct kind kind_at(int index)
{
	return (struct kind){.service = index & 1,
	                     .holds_guarantee = index & 2,
	                     .team = index >> 2 & 1,
	                     .priority = (enum fl_priority)(index >> 3)};
}

/*
 * Returns whether a job of one kind preempts an attempt of another that fills the only machine,
 * while the job's team is below its guarantee, and another team of the attempt beyond its own.
 */
static bool preempts(struct kind kind, struct kind other)
{
	struct snapshot snapshot = {.job_count = 1, .machine_count = 1, .attempt_count = 1};
	struct fl_sched_output output;
	bool preempted;

	snapshot.teams[kind.team].guaranteed_cpus = 100;
	if (other.team != kind.team)
		snapshot.teams[other.team].guaranteed_cpus = other.holds_guarantee ? 100 : 1;
	snapshot.teams[other.team].used_cpus = 4;
	snapshot.jobs[0] = plain_job(4, 1, kind.service ? 0 : 60, 10);
	snapshot.jobs[0].service = kind.service;
	snapshot.jobs[0].priority = kind.priority;
	snapshot.jobs[0].team = kind.team;
	snapshot.jobs[0].holds_guarantee = kind.holds_guarantee;
	snapshot.machines[0] = plain_machine(0);
	snapshot.attempts[0] = running_attempt(0, 4, 50);
	snapshot.attempts[0].service = other.service;
	snapshot.attempts[0].priority = other.priority;
	snapshot.attempts[0].team = other.team;
	snapshot.attempts[0].holds_guarantee = other.holds_guarantee;
	run_schedule(&snapshot, &output);
	preempted = output.preemption_count == 1;
	fl_sched_output_free(&output);
	return preempted;
}

/*
 * Guards against endless preemption among three jobs: a standard service beyond its team's
 * guarantee preempted a best-effort service within its own by priority, which preempted an urgent
 * array of the first team by guarantee, which took the capacity reserved for the standard service:
 * one task started 31 times in a minute. By whatever chain of preemptions a job loses its machine,
 * it must not get it back by another one.
 */
static void no_chain_of_preemptions_returns_to_its_beginning(void **state)
{
	bool reaches[KINDS][KINDS];

	(void)state;
	for (int i = 0; i < KINDS; i++)
		for (int k = 0; k < KINDS; k++)
			reaches[i][k] = preempts(kind_at(i), kind_at(k));
	for (int via = 0; via < KINDS; via++)
		for (int i = 0; i < KINDS; i++)
			for (int k = 0; k < KINDS; k++)
				reaches[i][k] |= reaches[i][via] && reaches[via][k];
	for (int i = 0; i < KINDS; i++)
		assert_false(reaches[i][i]);
}

/* The rights that are left: priority among equals, the guarantee, and critical services. */
static void preemption_by_priority_and_by_guarantee_is_possible(void **state)
{
	const struct kind array = {.priority = FL_STANDARD}, urgent_array = {.priority = FL_URGENT},
			  guaranteed = {.holds_guarantee = true, .team = 1},
			  critical_service = {.service = true, .priority = FL_CRITICAL};

	(void)state;
	assert_true(preempts(urgent_array, array));
	assert_false(preempts(array, urgent_array));
	assert_true(preempts(guaranteed, urgent_array));
	assert_false(preempts(urgent_array, guaranteed));
	assert_true(preempts(critical_service, guaranteed));
	assert_false(preempts(guaranteed, critical_service));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_reservation_is_not_made_twice_for_capacity_about_to_become_free),
		cmocka_unit_test(preempted_capacity_goes_to_the_preempting_job),
		cmocka_unit_test(guaranteed_work_is_not_preempted_by_a_job_that_it_could_preempt),
		cmocka_unit_test(no_chain_of_preemptions_returns_to_its_beginning),
		cmocka_unit_test(preemption_by_priority_and_by_guarantee_is_possible),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
