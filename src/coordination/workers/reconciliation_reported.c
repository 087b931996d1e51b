/* Handles the attempts that a heartbeat reports. */
#include "coordination/node.h"
#include "coordination/workers/reconciliation_internal.h"
#include "transport/log.h"

/* Adds a command for a reported attempt to the reply, if the heartbeat gets one. */
static void add_reply_command(const struct fl_heartbeat_context *context, enum fl_command_kind kind,
                              const struct fl_task_status *status, double grace_period_s)
{
	if (context->commands)
		fl_command_list_add(context->commands,
		                    &(struct fl_command){kind, status->ref, status->index,
		                                         status->attempt, grace_period_s});
}

/* Stops a reported attempt; `job` is NULL if the job is not known. */
static void add_stop(const struct fl_heartbeat_context *context, const struct fl_job *job,
                     const struct fl_task_status *status, double grace_period_s)
{
	fl_debug("workers", "stop command task=%s/%u attempt=%u machine=%s reason=\"%s\"",
	         status->ref, status->index, status->attempt, context->machine->name,
	         fl_attempt_stop_reason(job));
	add_reply_command(context, FL_COMMAND_STOP, status, grace_period_s);
}

static enum fl_observed_state observed_state(enum fl_task_state state)
{
	switch (state) {
	case FL_TASK_STATE_PULLING:
	case FL_TASK_STATE_AWAITING_GANG:
		return FL_OBSERVED_PULLING;
	case FL_TASK_STATE_CHECKPOINTING:
		return FL_OBSERVED_CHECKPOINTING;
	case FL_TASK_STATE_RUNNING:
	case FL_TASK_STATE_EXITED:
		return FL_OBSERVED_RUNNING;
	}
	return FL_OBSERVED_RUNNING;
}

static const char *observed_state_name(enum fl_observed_state state)
{
	switch (state) {
	case FL_OBSERVED_NONE:
		return "none";
	case FL_OBSERVED_PULLING:
		return "pulling";
	case FL_OBSERVED_RUNNING:
		return "running";
	case FL_OBSERVED_CHECKPOINTING:
		return "checkpointing";
	}
	return "unknown";
}

/* Completes a waiting array task by an earlier attempt, so that it does not run again. */
static void complete_task_by_stale_attempt(struct fl_node *node, struct fl_job *job,
                                           const struct fl_task_status *status)
{
	struct fl_task *task;

	if (status->exit_reason != FL_EXIT_DONE || !job || job->cancelled ||
	    status->index >= job->task_count || job->kind != FL_ARRAY)
		return;
	task = fl_task_get_or_alloc(job, status->index);
	if (task && task->phase == FL_TASK_WAITING) {
		fl_task_mark_done(&node->cluster, job, status->index);
		fl_condition_broadcast(&node->leadership.work_available);
	}
}

/*
 * Returns whether the worker may forget an exited attempt, which is safe once no late start command
 * can start it again. Commands of an older leader cannot, since every applied heartbeat carries
 * this leadership's fencing token. A start command in the reply to a heartbeat is executed before
 * the next heartbeat or never. Only a direct command of this leader can, if it started this very
 * attempt: those of other attempts do not matter.
 */
static bool forget_is_safe(const struct fl_machine *machine, const struct fl_task_status *status)
{
	return !fl_direct_starts_find(&machine->outbound.direct_starts, status->ref, status->index,
	                              status->attempt);
}

/* Returns whether all changes by this exited attempt are in the record or write-ahead log. */
static bool exit_is_durable(const struct fl_job *job, const struct fl_task_status *status)
{
	return !job || status->index >= job->task_count ||
	       fl_task_change_is_durable(job, status->index);
}

/*
 * Handles a reported attempt that is not the current one: stops it if it has not exited, and has
 * the worker forget it when that is safe. `job` is NULL if the job is not known.
 */
static void reconcile_stale_attempt(const struct fl_heartbeat_context *context, struct fl_job *job,
                                    const struct fl_task_status *status)
{
	struct fl_machine *machine = context->machine;

	if (status->state != FL_TASK_STATE_EXITED) {
		machine->heartbeat.orphan_task_count++;
		add_stop(context, job, status, 0);
		return;
	}
	complete_task_by_stale_attempt(context->node, job, status);
	if (!forget_is_safe(machine, status))
		context->node->leadership.retained_exit_count++;
	else if (exit_is_durable(job, status))
		add_reply_command(context, FL_COMMAND_FORGET, status, 0);
}

/* Returns whether the reported attempt is the one that the cluster state places on the machine. */
static bool is_current_attempt(const struct fl_machine *machine, const struct fl_task *task,
                               const struct fl_task_status *status)
{
	return task && task->phase == FL_TASK_PLACED && task->machine_id == machine->id &&
	       task->attempt == status->attempt;
}

static void update_observed_state(const struct fl_heartbeat_context *context, struct fl_job *job,
                                  struct fl_task *task, const struct fl_task_status *status)
{
	enum fl_observed_state observed = observed_state(status->state);

	if (task->last_observed_state == observed)
		return;
	fl_debug("workers", "task state changed state=%s task=%s/%u machine=%s after_s=%.1f",
	         observed_state_name(observed), job->ref, status->index, context->machine->name,
	         context->now - task->running_since);
	fl_task_set_observed_state(job, task, observed, context->now);
	fl_condition_broadcast(&context->node->leadership.work_available);
}

void fl_reconcile_reported_attempt(const struct fl_heartbeat_context *context,
                                   const struct fl_task_status *status)
{
	struct fl_job *job = fl_job_find(&context->node->cluster, status->ref);
	struct fl_task *task =
		job && status->index < job->task_count ? fl_task_find(job, status->index) : NULL;

	if (!is_current_attempt(context->machine, task, status)) {
		reconcile_stale_attempt(context, job, status);
		return;
	}
	fl_machine_record_image(context->machine, job->image);
	if (status->state == FL_TASK_STATE_EXITED) {
		fl_reconcile_exited_attempt(context, job, task, status);
		return;
	}
	update_observed_state(context, job, task, status);
	if (!fl_attempt_should_run(job, task))
		add_stop(context, job, status, fl_attempt_grace_period_s(job, task));
}
