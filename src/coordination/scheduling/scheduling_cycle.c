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
	double min_interval_s, max_interval_s, max_cycle_share, max_budget_s,
		min_token_raise_interval_s;
} tunables = {
	.min_interval_s = 0.1,  /* from start to start; one cycle handles many heartbeats */
	.max_interval_s = 1.0,  /* also the longest wait for work */
	.max_cycle_share = 0.5, /* share of this controller's processor time for cycles */
	.max_budget_s = 0.03,   /* time after which a cycle stops, to be resumed by the next */
	.min_token_raise_interval_s = 40.0, /* between token raises for retained exits */
};

double fl_scheduling_cycle_budget_s(double core_share)
{
	return fmin(tunables.max_budget_s,
	            tunables.max_cycle_share * core_share * tunables.max_interval_s);
}

/*
 * The operating system lets a process run at full speed until its share of a core is used up, and
 * then suspends it for a second. The interval therefore depends on processor time too: with 3.6% of
 * a core, ten cycles of 4 ms a second took 4% of the elapsed time, but left nothing of the share
 * for heartbeats and status queries.
 */
double fl_scheduling_cycle_interval_s(double core_share, double duration_s, double cpu_s)
{
	double share = fmin(core_share, 1);
	double busy_s = fmax(duration_s, cpu_s / share);

	return fmin(tunables.max_interval_s,
	            fmax(tunables.min_interval_s, busy_s / tunables.max_cycle_share));
}

static bool out_of_time(void *context)
{
	const double *deadline = context;

	return fl_now() > *deadline;
}

static void log_cycle(uint64_t number, const struct fl_sched_input *input,
                      const struct fl_sched_output *output, double duration_s)
{
	fl_debug("schedule",
	         "cycle finished cycle=%llu jobs=%d machines=%d starts=%d preemptions=%d "
	         "duration_ms=%.1f%s",
	         (unsigned long long)number, input->job_count, input->machine_count,
	         output->start_count, output->preemption_count, duration_s * 1000,
	         output->resume_position ? " incomplete=true" : "");
}

/* Logs which job limits the others by its backfill window. */
static void log_backfill_window(const struct fl_snapshot *snapshot,
                                const struct fl_sched_output *output)
{
	if (output->top_job < 0)
		return;
	fl_debug("schedule", "backfill limited top=%s wait_s=%.1f window_s=%.1f",
	         snapshot->jobs[output->top_job]->ref, output->top_wait_s, output->window_s);
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
		fl_error("schedule", "cycle failed: out of memory; its decisions are discarded, "
		                     "and the next cycle retries");
		goto out;
	}
	node->leadership.order_resume_position = output.resume_position;
	if (output.resume_position)
		node->leadership.cycle_due = true;
	fl_scheduling_decisions_apply(node, &snapshot, &output, now);
	fl_autoscaler_plan_scale_out(node, snapshot.jobs, output.unplaced_tasks,
	                             snapshot.input.job_count);
	node->leadership.cycle_count++;
	log_cycle(node->leadership.cycle_count, &snapshot.input, &output, fl_now() - now);
	log_backfill_window(&snapshot, &output);
	if (node->cluster.dirty_jobs)
		fl_condition_broadcast(&node->record_writer.writes_pending);
out:
	fl_sched_output_free(&output);
	fl_snapshot_free(&snapshot);
}

static void stop_task_to_drain(struct fl_node *node, struct fl_machine *machine,
                               struct fl_task *task)
{
	task->stop_reason = FL_STOP_DRAIN;
	fl_command_send(node, machine);
}

/*
 * Stops services, and tasks that can save their progress, on machines with an interruption notice.
 */
static void drain_interrupted_machines(struct fl_node *node)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine->lifecycle.decommissioned || machine->lifecycle.interruption_at == 0)
			continue;
		for (int k = 0; k < machine->assignment_count; k++) {
			struct fl_job *job = machine->assignments[k].job;
			struct fl_task *task =
				fl_task_find(job, machine->assignments[k].task_index);

			if (task->stop_reason != FL_STOP_NONE || job->cancelled)
				continue;
			/*
			 * Other tasks cannot save their progress and run on: they may end before
			 * the interruption.
			 */
			if (job->kind == FL_SERVICE || job->checkpoint_every_s > 0)
				stop_task_to_drain(node, machine, task);
		}
	}
}

/* Stops the other tasks of a gang that lost a task: the gang must start again as a whole. */
static void stop_incomplete_gangs(struct fl_node *node)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		for (int k = 0; k < machine->assignment_count; k++) {
			struct fl_job *job = machine->assignments[k].job;
			struct fl_task *task =
				fl_task_find(job, machine->assignments[k].task_index);

			if (job->kind == FL_GANG && job->counts.waiting > 0 &&
			    task->stop_reason == FL_STOP_NONE)
				stop_task_to_drain(node, machine, task);
		}
	}
}

/*
 * Waits for work or a timeout, and then until `earliest_start` (monotonic clock, s); returns false
 * if the coroutine is cancelled.
 */
static bool await_next_cycle(struct fl_node *node, double earliest_start)
{
	double timeout_s =
		node->leadership.cycle_due ? tunables.min_interval_s : tunables.max_interval_s;

	if (fl_condition_wait(&node->leadership.work_available, timeout_s) == -ECANCELED)
		return false;
	return fl_now() >= earliest_start || fl_sleep(earliest_start - fl_now()) == 0;
}

/*
 * Requests a higher fencing token if workers retain exited tasks, which they may forget only once
 * they have seen it.
 */
static void request_token_raise(struct fl_node *node, double now)
{
	if (node->leadership.retained_exit_count > 0 &&
	    now > node->leader_lease.token_raised_at + tunables.min_token_raise_interval_s)
		node->leader_lease.token_raise_wanted = true;
	node->leadership.retained_exit_count = 0;
}

void fl_scheduling_cycle_run(struct fl_node *node)
{
	double started_at = 0, cpu_started_at, interval_s = tunables.min_interval_s;

	while (!fl_coroutine_cancelled()) {
		if (!await_next_cycle(node, started_at + interval_s))
			break;
		if (!fl_is_leader(node))
			continue;
		started_at = fl_now();
		cpu_started_at = fl_cpu_time();
		drain_interrupted_machines(node);
		stop_incomplete_gangs(node);
		run_cycle(node);
		interval_s = fl_scheduling_cycle_interval_s(node->config->core_share,
		                                            fl_now() - started_at,
		                                            fl_cpu_time() - cpu_started_at);
		if (node->cluster.dirty_jobs)
			fl_condition_broadcast(&node->record_writer.writes_pending);
		request_token_raise(node, started_at);
	}
}
