#include "coordination/scheduling/scheduling_cycle.h"

#include <errno.h>
#include <math.h>

#include "coordination/workers/command.h"
#include "coordination/node.h"
#include "coordination/scheduling/scheduling_snapshot.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/scheduling/schedule.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double gap_s, most_s, share, budget_s, forget_s;
} tunables = {
	.gap_s = 0.1,     /* s between two passes at least: many reports, one pass */
	.most_s = 1.0,    /* s between two passes at most */
	.share = 0.5,     /* of this controller's processor for passes at most */
	.budget_s = 0.03, /* s of a pass before it stops and resumes next time, at most */
	.forget_s = 40.0, /* s; finished entries wait this long for a higher epoch */
};

double fl_scheduling_cycle_budget_s(double core_share)
{
	return fmin(tunables.budget_s, tunables.share * core_share * tunables.most_s);
}

/*
 * Found with 3.6% of a core: the system lets a process run at full speed until its share is used
 * up, and then it stands still for a second. By the steady clock passes of 4 ms, ten a second, were
 * 4% of the time, and took all of the share from reports and polls.
 */
double fl_scheduling_cycle_gap_s(double core_share, double took_s, double processor_s)
{
	double share = fmin(core_share, 1);

	return fmin(tunables.most_s,
	            fmax(tunables.gap_s, fmax(took_s, processor_s / share) / tunables.share));
}

static bool out_of_time(void *arg)
{
	const double *deadline = arg;

	return fl_now() > *deadline;
}

static void apply_starts(struct fl_node *node, const struct fl_snapshot *snapshot,
                         const struct fl_sched_output *output, double now)
{
	for (int i = 0; i < output->start_count; i++) {
		struct fl_job *job = snapshot->jobs[output->starts[i].job];
		struct fl_machine *machine = snapshot->machines[output->starts[i].machine];
		uint32_t index = fl_task_next_waiting(job, 0, now);

		if (index >= job->task_count ||
		    fl_task_place(&node->cluster, job, index, machine,
		                  node->leader_lease.fencing_token, now) != FL_PLACE_OK)
			continue;
		fl_machine_record_image(machine, job->image);
		/* What it was reserved for has started; who still waits requests it again in each
		 * pass. */
		if (job->priority >= machine->reservation.priority)
			machine->reservation.at = 0;
		job->placement.window_until = 0;
		machine->outbound.command_pending = true;
		fl_info("schedule", "%s/%u try %u on %s", job->ref, index,
		        fl_task_peek(job, index)->attempt, machine->name);
	}
}

static void apply_stops(struct fl_node *node, const struct fl_snapshot *snapshot,
                        const struct fl_sched_output *output)
{
	for (int i = 0; i < output->preemption_count; i++) {
		struct fl_job *job = snapshot->attempts[output->preemptions[i]].job;
		uint32_t index = snapshot->attempts[output->preemptions[i]].index;
		struct fl_task *task = fl_task_peek(job, index);

		task->stop_reason = FL_STOP_PREEMPT;
		fl_info("schedule", "%s/%u is stopped to make room", job->ref, index);
		fl_command_send(node, node->cluster.machines.by_id[task->machine]);
	}
}

static void apply_window(const struct fl_snapshot *snapshot, const struct fl_sched_output *output,
                         double now)
{
	struct fl_job *top;

	if (output->top_job < 0 || output->window_s >= INFINITY)
		return;
	top = snapshot->jobs[output->top_job];
	if (top->placement.window_until <= 0)
		top->placement.window_until = now + output->window_s;
}

static void apply_reservations(const struct fl_snapshot *snapshot, double now)
{
	for (int i = 0; i < snapshot->input.machine_count; i++) {
		const struct fl_sched_machine *from = &snapshot->input.machines[i];
		const struct fl_reservation *requested = &from->requested;
		struct fl_machine *machine = snapshot->machines[i];

		/* A request for the rest of the room does not replace a higher reservation. */
		if (!requested->made ||
		    (from->reserved.made && from->reserved.priority > requested->priority))
			continue;
		machine->reservation.at = now;
		machine->reservation.within_guaranteed = requested->within_guaranteed;
		machine->reservation.priority = requested->priority;
		machine->reservation.cpus = requested->cpus;
		machine->reservation.gpus = requested->gpus;
		machine->reservation.ram_gb = requested->ram_gb;
	}
}

static void apply_decisions(struct fl_node *node, const struct fl_snapshot *snapshot,
                            const struct fl_sched_output *output, double now)
{
	apply_starts(node, snapshot, output, now);
	apply_stops(node, snapshot, output);
	apply_window(snapshot, output, now);
	apply_reservations(snapshot, now);
}

static void run_cycle(struct fl_node *node)
{
	double now = fl_now();
	double deadline = now + fl_scheduling_cycle_budget_s(node->config->core_share);
	struct fl_sched_output output = {0};
	struct fl_snapshot snapshot;

	node->leadership.cycle_due = false;
	if (fl_snapshot_take(node, &snapshot, now) != 0)
		goto out;
	snapshot.input.out_of_time = out_of_time;
	snapshot.input.ctx = &deadline;
	if (fl_schedule(&snapshot.input, &output) != 0) {
		fl_error("schedule", "a pass failed for want of memory");
		goto out;
	}
	node->leadership.resume_position = output.resume_position;
	if (output.resume_position)
		node->leadership.cycle_due = true;
	apply_decisions(node, &snapshot, &output, now);
	fl_autoscaler_plan_scale_out(node, snapshot.jobs, output.unplaced_tasks,
	                             snapshot.input.job_count);
	node->leadership.cycle_count++;
	fl_debug("schedule", "pass %llu: %d jobs, %d machines, %d starts, %d stops, %.1f ms%s",
	         (unsigned long long)node->leadership.cycle_count, snapshot.input.job_count,
	         snapshot.input.machine_count, output.start_count, output.preemption_count,
	         (fl_now() - now) * 1000, output.resume_position ? ", to be continued" : "");
	if (node->cluster.dirty)
		fl_condition_broadcast(&node->record_writer.writes_pending);
out:
	fl_sched_output_free(&output);
	fl_snapshot_free(&snapshot);
}

/* Stops what can save its state on machines that will be reclaimed. */
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
			/* What cannot save runs on: it may end before the machine is reclaimed. */
			if (job->kind == FL_SERVICE || job->checkpoint_every_s > 0) {
				task->stop_reason = FL_STOP_DRAIN;
				fl_command_send(node, machine);
			}
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

			if (job->kind != FL_GANG || job->counts.waiting == 0 ||
			    task->stop_reason != FL_STOP_NONE)
				continue;
			task->stop_reason = FL_STOP_DRAIN;
			fl_command_send(node, machine);
		}
	}
}

void fl_scheduling_cycle_run(struct fl_node *node)
{
	double last = 0, processor, gap = tunables.gap_s;

	while (!fl_coroutine_cancelled()) {
		double wait = node->leadership.cycle_due ? tunables.gap_s : tunables.most_s;

		if (fl_condition_wait(&node->leadership.work_available, wait) == -ECANCELED)
			break;
		if (fl_now() < last + gap && fl_sleep(last + gap - fl_now()) != 0)
			break;
		if (!fl_is_leader(node))
			continue;
		last = fl_now();
		processor = fl_cpu_time();
		drain_interrupted_machines(node);
		stop_incomplete_gangs(node);
		run_cycle(node);
		gap = fl_scheduling_cycle_gap_s(node->config->core_share, fl_now() - last,
		                                fl_cpu_time() - processor);
		if (node->cluster.dirty)
			fl_condition_broadcast(&node->record_writer.writes_pending);
		if (node->leadership.retained_exit_count > 0 &&
		    last > node->leader_lease.token_raised_at + tunables.forget_s)
			node->leader_lease.token_raise_wanted = true;
		node->leadership.retained_exit_count = 0;
	}
}
