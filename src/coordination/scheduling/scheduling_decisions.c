#include "coordination/scheduling/scheduling_decisions.h"

#include <math.h>

#include "coordination/node.h"
#include "coordination/workers/command.h"
#include "transport/log.h"

static void start_task(struct fl_node *node, struct fl_job *job, struct fl_machine *machine,
                       double now)
{
	const struct fl_new_attempt attempt = {machine, node->leader_lease.fencing_token};
	uint32_t index = fl_task_next_waiting(job, 0, now);

	/* The cycle counts resources only; what it places beyond this limit waits for the next. */
	if (fl_machine_free_task_slots(machine) <= 0)
		return;
	if (index >= job->task_count ||
	    fl_task_place(&node->cluster, job, index, &attempt, now) != FL_PLACE_OK)
		return;
	fl_machine_record_image(machine, job->image);
	/* The reservation is used up; jobs that still wait request a new one in each cycle. */
	if (job->priority >= machine->reservation.priority)
		machine->reservation.reserved_at = 0;
	job->placement.backfill_window_until = 0;
	job->placement.held_since = 0;
	machine->outbound.command_pending = true;
	fl_info("schedule", "task placed task=%s/%u attempt=%u machine=%s", job->ref, index,
	        fl_task_find(job, index)->attempt, machine->name);
}

static void apply_starts(struct fl_node *node, const struct fl_snapshot *snapshot,
                         const struct fl_sched_output *output, double now)
{
	for (int i = 0; i < output->start_count; i++) {
		const struct fl_sched_start *start = &output->starts[i];

		start_task(node, snapshot->jobs[start->job], snapshot->machines[start->machine],
		           now);
	}
}

static void apply_preemptions(struct fl_node *node, const struct fl_snapshot *snapshot,
                              const struct fl_sched_output *output)
{
	for (int i = 0; i < output->preemption_count; i++) {
		const struct fl_assignment *victim = &snapshot->attempts[output->preemptions[i]];
		struct fl_task *task = fl_task_find(victim->job, victim->task_index);

		task->stop_reason = FL_STOP_PREEMPT;
		fl_info("schedule", "task preempted task=%s/%u", victim->job->ref,
		        victim->task_index);
		fl_command_send(node, node->cluster.machines.by_id[task->machine_id]);
	}
}

/*
 * Remembers when the top job's window ends. A window that was set while the job could expect a
 * place says nothing about the next place: it is forgotten when the job fits nowhere any more.
 */
static void apply_backfill_window(const struct fl_snapshot *snapshot,
                                  const struct fl_sched_output *output, double now)
{
	struct fl_job *top;

	if (output->top_job < 0)
		return;
	top = snapshot->jobs[output->top_job];
	if (output->window_s >= INFINITY)
		top->placement.backfill_window_until = 0;
	else if (top->placement.backfill_window_until <= 0)
		top->placement.backfill_window_until = now + output->window_s;
}

/* Remembers since when the backfill window has held jobs; a start ends the hold of its job. */
static void apply_holds(const struct fl_snapshot *snapshot, const struct fl_sched_output *output,
                        double now)
{
	for (int i = 0; i < snapshot->input.job_count; i++) {
		double *held_since = &snapshot->jobs[i]->placement.held_since;

		if (output->holds[i] == FL_SCHED_NOT_HELD)
			*held_since = 0;
		else if (output->holds[i] == FL_SCHED_HELD && *held_since <= 0)
			*held_since = now;
	}
}

static void apply_reservations(const struct fl_snapshot *snapshot, double now)
{
	for (int i = 0; i < snapshot->input.machine_count; i++) {
		const struct fl_sched_machine *scheduled = &snapshot->input.machines[i];
		const struct fl_reservation *reserved = &scheduled->reserved;
		const struct fl_reservation *requested = &scheduled->requested;
		struct fl_machine *machine = snapshot->machines[i];

		/* A request for the rest of a machine does not replace a higher reservation. */
		if (!requested->active ||
		    (reserved->active && reserved->priority > requested->priority))
			continue;
		machine->reservation.reserved_at = now;
		machine->reservation.by_guarantee = requested->by_guarantee;
		machine->reservation.priority = requested->priority;
		machine->reservation.cpus = requested->resources.cpus;
		machine->reservation.gpus = requested->resources.gpus;
		machine->reservation.ram_gb = requested->resources.ram_gb;
	}
}

void fl_scheduling_decisions_apply(struct fl_node *node, const struct fl_snapshot *snapshot,
                                   const struct fl_sched_output *output, double now)
{
	apply_holds(snapshot, output, now);
	apply_starts(node, snapshot, output, now);
	apply_preemptions(node, snapshot, output);
	apply_backfill_window(snapshot, output, now);
	apply_reservations(snapshot, now);
}
