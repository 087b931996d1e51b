/*
 * Jobs, attempts and records under random interleavings: reports late or repeated, answers and
 * commands lost, late or carried out twice, leaders that end and are followed by others. And a job
 * whose every attempt fails.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "reconciliation_sim.h"
#include "transport/clock.h"

static void send_heartbeat(struct simulation *sim, int at)
{
	struct worker *worker = &sim->workers[at];
	char *text;

	/* An answer in flight is carried out before the next report or never. */
	if (worker->reply_in_flight && random_below(sim, 4))
		execute_commands(sim, at, worker->reply_in_flight, false);
	drop_reply(worker);
	text = encode_heartbeat(sim, at);
	if (random_below(sim, 5))
		deliver_heartbeat(sim, at, text, FL_HEARTBEAT_FROM_WORKER);
	queue_message(sim, at, text, false);
}

static void end_some_task(struct simulation *sim, int at)
{
	struct worker *worker = &sim->workers[at];
	struct fl_task_status *status;

	/* Not used, but drawn so that each seed still plays the same case. */
	(void)random_below(sim, WORKER_TASKS);
	for (int i = 0; i < WORKER_TASKS; i++) {
		if (!worker->tasks[i].used ||
		    worker->tasks[i].status.state == FL_TASK_STATE_EXITED || random_below(sim, 3))
			continue;
		status = &worker->tasks[i].status;
		status->state = FL_TASK_STATE_EXITED;
		status->exit = random_below(sim, 4) == 0 ? FL_EXIT_DONE : FL_EXIT_ERROR;
		if (status->exit == FL_EXIT_DONE) {
			sim->actually_done[atoi(status->ref + 4)][status->index] = true;
			sim->completions++;
		}
		return;
	}
}

static void end_incarnation(struct simulation *sim, int at)
{
	struct worker *worker = &sim->workers[at];

	memset(worker->tasks, 0, sizeof(worker->tasks));
	worker->incarnation++;
	drop_reply(worker);
}

static void step(struct simulation *sim)
{
	int at = random_below(sim, WORKERS);

	switch (random_below(sim, 24)) {
	case 0:
		if (random_below(sim, 4) == 0)
			end_incarnation(sim, at);
		break;
	case 1:
		if (random_below(sim, 4 * sim->token_change_interval) == 0)
			fail_over(sim);
		break;
	case 2:
		if (random_below(sim, 3 * sim->token_change_interval) == 0)
			sim->node.leader_lease.fencing_token = ++sim->fencing_token;
		break;
	case 3:
	case 4:
	case 5:
		deliver_late_message(sim);
		break;
	case 6:
	case 7:
		send_direct_command(sim, at);
		break;
	case 8:
	case 9:
		end_some_task(sim, at);
		break;
	case 10:
	case 11:
	case 12:
		save_some_records(sim);
		break;
	case 13:
	case 14:
		place_some_tasks(sim);
		break;
	case 15: {
		/* The scheduler stops something to make room. */
		struct fl_machine *machine = sim->node.cluster.machines.count
		                                     ? sim->node.cluster.machines.by_id[0]
		                                     : NULL;

		if (machine && machine->assignment_count > 0)
			fl_task_peek(machine->assignments[0].job, machine->assignments[0].index)
				->stop_reason = FL_STOP_PREEMPT;
		break;
	}
	default:
		send_heartbeat(sim, at);
	}
	check_invariants(sim);
}

static void no_interleaving_violates_an_invariant(void **state)
{
	struct simulation *sim = malloc(sizeof(*sim));
	int launches = 0, dones = 0, takeovers = 0, finished = 0;

	(void)state;
	for (unsigned long seed = 1; seed <= 150; seed++) {
		set_up(sim, seed);
		for (int i = 0; i < 1500; i++)
			step(sim);
		launches += sim->starts;
		dones += sim->completions;
		takeovers += sim->failovers;
		for (int j = 0; j < JOBS; j++) {
			bool all = true;

			for (int p = 0; p < TASKS; p++)
				all = all && sim->actually_done[j][p];
			finished += all;
		}
		tear_down(sim);
	}
	/* The random walk must make progress: jobs finish, leaders change. */
	assert_true(launches > 4000 && dones > 600 && takeovers > 500 && finished > 10);
	free(sim);
}

/* One task of the job is placed on the machine and fails there. */
static struct fl_machine *fail_task(struct simulation *sim, struct fl_job *job, int host,
                                    uint32_t index, uint64_t sequence)
{
	struct fl_cluster *cluster = &sim->node.cluster;
	struct fl_heartbeat heartbeat = {.incarnation = 1,
	                                 .sequence = sequence,
	                                 .fencing_token = 1,
	                                 .interruption_in_s = -1};
	struct fl_task_status status = {
		.index = index, .state = FL_TASK_STATE_EXITED, .exit = FL_EXIT_ERROR};
	struct fl_machine *machine;

	format_host(host, heartbeat.host);
	machine = fl_machine_get(&cluster->machines, heartbeat.host, 0);
	fl_cluster_describe(cluster, machine, 0, 0, false, "x");
	machine->heartbeat.incarnation = 1;
	assert_int_equal(fl_task_place(cluster, job, index, machine, 1, 0), 0);
	copy_text(status.ref, sizeof(status.ref), job->ref);
	status.attempt = fl_task_peek(job, index)->attempt;
	heartbeat.tasks = &status;
	heartbeat.task_count = 1;
	assert_int_equal(
		fl_reconcile_heartbeat(&sim->node, &heartbeat, NULL, FL_HEARTBEAT_FROM_COMMAND),
		FL_RECONCILE_APPLIED);
	return machine;
}

/* A job that fails everywhere waits longer and longer, and does not make machines look faulty. */
static void a_job_that_always_fails_backs_off(void **state)
{
	struct simulation *sim = malloc(sizeof(*sim));
	struct fl_machine *machine;
	struct fl_job *job;
	double now = fl_now(), last = 0;

	(void)state;
	set_up(sim, 1);
	job = fl_job_find(&sim->node.cluster, "run-000000");
	for (int i = 0; i < 12; i++) {
		machine = fail_task(sim, job, 60 + i, (uint32_t)(i % TASKS), 1);
		assert_true(machine->health.quarantined_until <= now);
		assert_true(i < 4 || job->retry.not_before >= last);
		last = job->retry.not_before;
	}
	assert_true(job->retry.not_before > now + 30 && job->retry.not_before < now + 90);
	tear_down(sim);
	free(sim);
}

/* Two tasks of a job of which nothing ever completed are no evidence against their machine. */
static void a_machine_is_blamed_by_evidence(void **state)
{
	struct simulation *sim = malloc(sizeof(*sim));
	struct fl_job *job;
	double now = fl_now();

	(void)state;
	set_up(sim, 1);
	job = fl_job_find(&sim->node.cluster, "run-000000");
	assert_true(fail_task(sim, job, 60, 0, 1)->health.quarantined_until <= now);
	assert_true(fail_task(sim, job, 60, 1, 2)->health.quarantined_until <= now);
	/* A third in a row is: a service of one task must not go there again and again. */
	assert_true(fail_task(sim, job, 60, 2, 3)->health.quarantined_until > now);
	/* Where a task of the job has completed, two are enough. */
	job = fl_job_find(&sim->node.cluster, "run-000001");
	fl_task_done(&sim->node.cluster, job, 0);
	assert_true(fail_task(sim, job, 61, 1, 1)->health.quarantined_until <= now);
	assert_true(fail_task(sim, job, 61, 2, 2)->health.quarantined_until > now);
	tear_down(sim);
	free(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_job_that_always_fails_backs_off),
		cmocka_unit_test(a_machine_is_blamed_by_evidence),
		cmocka_unit_test(no_interleaving_violates_an_invariant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
