/*
 * Jobs, attempts and records under random interleavings: heartbeats that are late or repeated,
 * replies and commands that are lost, late or executed twice, and failovers. Also the retries of a
 * job whose every attempt fails, and the quarantine of machines.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "simulation_fixture.h"
#include "transport/clock.h"

static void send_heartbeat(struct simulation *sim, int worker_index)
{
	struct worker *worker = &sim->workers[worker_index];
	char *text;

	/* The commands of a reply in flight are executed before the next heartbeat or never. */
	if (worker->reply_in_flight && random_below(sim, 4))
		execute_commands(sim, worker_index, worker->reply_in_flight, false);
	drop_reply(worker);
	text = encode_heartbeat(sim, worker_index);
	if (random_below(sim, 5))
		deliver_heartbeat(sim, worker_index, text, FL_HEARTBEAT_FROM_WORKER);
	queue_message(sim, worker_index, text, false);
}

static void end_random_task(struct simulation *sim, int worker_index)
{
	struct worker *worker = &sim->workers[worker_index];
	struct fl_task_status *status;

	/* Unused, but drawn so that each seed still gives the same sequence of steps. */
	(void)random_below(sim, WORKER_TASKS);
	for (int i = 0; i < WORKER_TASKS; i++) {
		if (!worker->tasks[i].used ||
		    worker->tasks[i].status.state == FL_TASK_STATE_EXITED || random_below(sim, 3))
			continue;
		status = &worker->tasks[i].status;
		status->state = FL_TASK_STATE_EXITED;
		status->exit_reason = random_below(sim, 4) == 0 ? FL_EXIT_DONE : FL_EXIT_ERROR;
		if (status->exit_reason == FL_EXIT_DONE) {
			sim->completed[atoi(status->ref + 4)][status->index] = true;
			sim->completions++;
		}
		return;
	}
}

static void end_incarnation(struct simulation *sim, int worker_index)
{
	struct worker *worker = &sim->workers[worker_index];

	memset(worker->tasks, 0, sizeof(worker->tasks));
	worker->incarnation++;
	drop_reply(worker);
}

static void end_incarnation_sometimes(struct simulation *sim, int worker)
{
	if (random_below(sim, 4) == 0)
		end_incarnation(sim, worker);
}

static void fail_over_sometimes(struct simulation *sim, int worker)
{
	(void)worker;
	if (random_below(sim, 4 * sim->token_change_interval) == 0)
		fail_over(sim);
}

static void raise_fencing_token_sometimes(struct simulation *sim, int worker)
{
	(void)worker;
	if (random_below(sim, 3 * sim->token_change_interval) == 0)
		sim->node.leader_lease.fencing_token = ++sim->fencing_token;
}

static void deliver_late_message_step(struct simulation *sim, int worker)
{
	(void)worker;
	deliver_late_message(sim);
}

static void save_some_records_step(struct simulation *sim, int worker)
{
	(void)worker;
	save_some_records(sim);
}

static void place_some_tasks_step(struct simulation *sim, int worker)
{
	(void)worker;
	place_some_tasks(sim);
}

/* Marks a task on the first machine for preemption, as the scheduler does. */
static void preempt_a_task(struct simulation *sim, int worker)
{
	const struct fl_machines *machines = &sim->node.cluster.machines;
	const struct fl_machine *machine = machines->count ? machines->by_id[0] : NULL;

	(void)worker;
	if (machine && machine->assignment_count > 0)
		fl_task_find(machine->assignments[0].job, machine->assignments[0].task_index)
			->stop_reason = FL_STOP_PREEMPT;
}

/* The possible actions of a step, with their relative frequencies. */
static const struct {
	int weight;
	void (*run)(struct simulation *sim, int worker);
} actions[] = {
	{1, end_incarnation_sometimes},
	{1, fail_over_sometimes},
	{1, raise_fencing_token_sometimes},
	{3, deliver_late_message_step},
	{2, send_direct_command},
	{2, end_random_task},
	{3, save_some_records_step},
	{2, place_some_tasks_step},
	{1, preempt_a_task},
	{8, send_heartbeat},
};

enum { WEIGHT_SUM = 24 };

static void run_random_step(struct simulation *sim)
{
	int worker = random_below(sim, WORKERS);
	int choice = random_below(sim, WEIGHT_SUM);

	for (size_t i = 0; i < sizeof(actions) / sizeof(actions[0]); i++) {
		if (choice < actions[i].weight) {
			actions[i].run(sim, worker);
			break;
		}
		choice -= actions[i].weight;
	}
	check_invariants(sim);
}

static void no_interleaving_of_heartbeats_commands_and_leaders_violates_an_invariant(void **state)
{
	struct simulation *sim = malloc(sizeof(*sim));
	int start_commands = 0, done_tasks = 0, failovers = 0, finished_jobs = 0;

	(void)state;
	for (unsigned long seed = 1; seed <= 150; seed++) {
		set_up(sim, seed);
		for (int i = 0; i < 1500; i++)
			run_random_step(sim);
		start_commands += sim->starts;
		done_tasks += sim->completions;
		failovers += sim->failovers;
		for (int j = 0; j < JOBS; j++) {
			bool all_done = true;

			for (int k = 0; k < TASKS; k++)
				all_done = all_done && sim->completed[j][k];
			finished_jobs += all_done;
		}
		tear_down(sim);
	}

	/* The random steps must make progress: jobs finish and leaders change. */
	assert_true(start_commands > 4000 && done_tasks > 600 && failovers > 500 &&
	            finished_jobs > 10);
	free(sim);
}

/* Places a task of the job on the machine and reports that it failed; returns the machine. */
static struct fl_machine *place_and_fail_task(struct simulation *sim, struct fl_job *job,
                                              int host_number, uint32_t index, uint64_t sequence)
{
	struct fl_cluster *cluster = &sim->node.cluster;
	struct fl_heartbeat heartbeat = {.incarnation = 1,
	                                 .sequence = sequence,
	                                 .fencing_token = 1,
	                                 .interruption_in_s = -1};
	struct fl_task_status status = {
		.index = index, .state = FL_TASK_STATE_EXITED, .exit_reason = FL_EXIT_ERROR};
	struct fl_machine *machine;

	format_host(host_number, heartbeat.host);
	machine = fl_machine_get_or_add(&cluster->machines, heartbeat.host, 0);
	fl_cluster_describe_machine(machine, 0, 0, false, "x");
	machine->heartbeat.incarnation = 1;
	assert_int_equal(
		fl_task_place(cluster, job, index, &(struct fl_new_attempt){machine, 1}, 0), 0);
	copy_text(status.ref, sizeof(status.ref), job->ref);
	status.attempt = fl_task_find(job, index)->attempt;
	heartbeat.tasks = &status;
	heartbeat.task_count = 1;
	assert_int_equal(
		fl_reconcile_heartbeat(&sim->node, &heartbeat, NULL, FL_HEARTBEAT_FROM_COMMAND),
		FL_RECONCILE_APPLIED);
	return machine;
}

/* The delay of a job that fails on every machine grows, and no machine is quarantined. */
static void a_job_backs_off_when_it_fails_on_every_machine(void **state)
{
	struct simulation *sim = *state;
	struct fl_machine *machine;
	struct fl_job *job;
	double now = fl_now(), previous = 0;

	job = fl_job_find(&sim->node.cluster, "run-000000");
	for (int i = 0; i < 12; i++) {
		machine = place_and_fail_task(sim, job, 60 + i, (uint32_t)(i % TASKS), 1);
		assert_true(machine->health.quarantined_until <= now);
		assert_true(i < 4 || job->retry.not_before >= previous);
		previous = job->retry.not_before;
	}
	assert_true(job->retry.not_before > now + 30 && job->retry.not_before < now + 90);
}

/* Two failed tasks of a job without a completed task do not quarantine their machine. */
static void a_machine_is_quarantined_only_after_enough_failures(void **state)
{
	struct simulation *sim = *state;
	struct fl_job *job;
	double now = fl_now();

	job = fl_job_find(&sim->node.cluster, "run-000000");
	assert_true(place_and_fail_task(sim, job, 60, 0, 1)->health.quarantined_until <= now);
	assert_true(place_and_fail_task(sim, job, 60, 1, 2)->health.quarantined_until <= now);

	/* A third in a row does; otherwise a service of one task would restart there endlessly. */
	assert_true(place_and_fail_task(sim, job, 60, 2, 3)->health.quarantined_until > now);

	/* If another task of the job has completed, two failures are enough. */
	job = fl_job_find(&sim->node.cluster, "run-000001");
	fl_task_mark_done(&sim->node.cluster, job, 0);
	assert_true(place_and_fail_task(sim, job, 61, 1, 1)->health.quarantined_until <= now);
	assert_true(place_and_fail_task(sim, job, 61, 2, 2)->health.quarantined_until > now);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(a_job_backs_off_when_it_fails_on_every_machine,
	                                        begin_simulation, end_simulation),
		cmocka_unit_test_setup_teardown(a_machine_is_quarantined_only_after_enough_failures,
	                                        begin_simulation, end_simulation),
		cmocka_unit_test(
			no_interleaving_of_heartbeats_commands_and_leaders_violates_an_invariant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
