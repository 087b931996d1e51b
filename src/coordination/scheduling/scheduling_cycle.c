#include "coordination/scheduling/scheduling_cycle.h"

#include <errno.h>
#include <math.h>

#include "coordination/autoscaling/autoscaler.h"
#include "coordination/node.h"
#include "coordination/scheduling/schedule.h"
#include "coordination/scheduling/scheduling_decisions.h"
#include "coordination/scheduling/scheduling_snapshot.h"
#include "coordination/workers/command.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double min_gap_s, max_gap_s, max_share, max_budget_s, retained_exit_s;
} tunables = {
	.min_gap_s = 0.1,        /* s between two cycles at least: many heartbeats, one cycle */
	.max_gap_s = 1.0,        /* s between two cycles at most */
	.max_share = 0.5,        /* of this controller's processor for cycles */
	.max_budget_s = 0.03,    /* s of a cycle before it stops and is resumed by the next */
	.retained_exit_s = 40.0, /* s; retained exits wait this long for a higher fencing token */
};

double fl_scheduling_cycle_budget_s(double core_share)
{
	return fmin(tunables.max_budget_s, tunables.max_share * core_share * tunables.max_gap_s);
}

/*
 * Found with 3.6% of a core: the system lets a process run at full speed until its share is used
 * up, and then it stands still for a second. By the steady clock cycles of 4 ms, ten a second, were
 * 4% of the time, and left nothing of the share for heartbeats and status queries.
 */
double fl_scheduling_cycle_interval_s(double core_share, double took_s, double processor_s)
{
	double share = fmin(core_share, 1);
	double busy_s = fmax(took_s, processor_s / share);

	return fmin(tunables.max_gap_s, fmax(tunables.min_gap_s, busy_s / tunables.max_share));
}

static bool out_of_time(void *context)
{
	const double *deadline = context;

	return fl_now() > *deadline;
}

static void log_cycle(uint64_t number, const struct fl_sched_input *input,
                      const struct fl_sched_output *output, double took_s)
{
	fl_debug("schedule",
	         "cycle done number=%llu jobs=%d machines=%d starts=%d preemptions=%d "
	         "duration_ms=%.1f%s",
	         (unsigned long long)number, input->job_count, input->machine_count,
	         output->start_count, output->preemption_count, took_s * 1000,
	         output->resume_position ? " incomplete" : "");
}

static void run_cycle(struct fl_node *node)
{
	double now = fl_now();
	double deadline = now + fl_scheduling_cycle_budget_s(node->config->core_share);
	struct fl_sched_output output = {0};
	struct fl_snapshot snapshot;

	node->leadership.cycle_due = false;
	if (fl_snapshot_take(node, &snapshot, now) != FL_SCHEDULE_OK)
		goto out;
	snapshot.input.out_of_time = out_of_time;
	snapshot.input.context = &deadline;
	if (fl_schedule(&snapshot.input, &output) != FL_SCHEDULE_OK) {
		fl_error("schedule", "cycle failed: out of memory");
		goto out;
	}
	node->leadership.resume_position = output.resume_position;
	if (output.resume_position)
		node->leadership.cycle_due = true;
	fl_scheduling_decisions_apply(node, &snapshot, &output, now);
	fl_autoscaler_plan_scale_out(node, snapshot.jobs, output.unplaced_tasks,
	                             snapshot.input.job_count);
	node->leadership.cycle_count++;
	log_cycle(node->leadership.cycle_count, &snapshot.input, &output, fl_now() - now);
	if (node->cluster.dirty)
		fl_condition_broadcast(&node->record_writer.writes_pending);
out:
	fl_sched_output_free(&output);
	fl_snapshot_free(&snapshot);
}

static void drain_task(struct fl_node *node, struct fl_machine *machine, struct fl_task *task)
{
	task->stop_reason = FL_STOP_DRAIN;
	fl_command_send(node, machine);
}

/* Drains machines with an interruption notice of what can save its progress. */
static void drain_interrupted_machines(struct fl_node *node)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine->lifecycle.decommissioned || machine->lifecycle.interruption_at == 0)
			continue;
		for (int k = 0; k < machine->assignment_count; k++) {
			struct fl_job *job = machine->assignments[k].job;
			struct fl_task *task = fl_task_peek(job, machine->assignments[k].index);

			if (task->stop_reason != FL_STOP_NONE || job->cancelled)
				continue;
			/* What cannot save progress runs on: it may end before that. */
			if (job->kind == FL_SERVICE || job->checkpoint_every_s > 0)
				drain_task(node, machine, task);
		}
	}
}

/* A gang that lost a task cannot go on: the rest is stopped, and it starts again as a whole. */
static void stop_incomplete_gangs(struct fl_node *node)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		for (int k = 0; k < machine->assignment_count; k++) {
			struct fl_job *job = machine->assignments[k].job;
			struct fl_task *task = fl_task_peek(job, machine->assignments[k].index);

			if (job->kind == FL_GANG && job->counts.waiting > 0 &&
			    task->stop_reason == FL_STOP_NONE)
				drain_task(node, machine, task);
		}
	}
}

/* Waits for work, and until the steady time `earliest`; false: the coroutine is cancelled. */
static bool await_next_cycle(struct fl_node *node, double earliest)
{
	double timeout_s = node->leadership.cycle_due ? tunables.min_gap_s : tunables.max_gap_s;

	if (fl_condition_wait(&node->leadership.work_available, timeout_s) == -ECANCELED)
		return false;
	return fl_now() >= earliest || fl_sleep(earliest - fl_now()) == 0;
}

/* Exits whose records are kept for a late heartbeat are released by a higher fencing token. */
static void request_token_raise(struct fl_node *node, double now)
{
	if (node->leadership.retained_exit_count > 0 &&
	    now > node->leader_lease.token_raised_at + tunables.retained_exit_s)
		node->leader_lease.token_raise_wanted = true;
	node->leadership.retained_exit_count = 0;
}

void fl_scheduling_cycle_run(struct fl_node *node)
{
	double started_at = 0, processor_started, gap_s = tunables.min_gap_s;

	while (!fl_coroutine_cancelled()) {
		if (!await_next_cycle(node, started_at + gap_s))
			break;
		if (!fl_is_leader(node))
			continue;
		started_at = fl_now();
		processor_started = fl_cpu_time();
		drain_interrupted_machines(node);
		stop_incomplete_gangs(node);
		run_cycle(node);
		gap_s = fl_scheduling_cycle_interval_s(node->config->core_share,
		                                       fl_now() - started_at,
		                                       fl_cpu_time() - processor_started);
		if (node->cluster.dirty)
			fl_condition_broadcast(&node->record_writer.writes_pending);
		request_token_raise(node, started_at);
	}
}
