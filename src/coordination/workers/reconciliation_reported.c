/* What the attempts that a heartbeat reports mean. */
#include "coordination/node.h"
#include "coordination/workers/reconciliation_internal.h"
#include "transport/log.h"

/* Adds a command for a reported attempt to the reply, if there is one. */
static void reply_with(const struct fl_heartbeat_context *context, enum fl_command_kind kind,
                       const struct fl_task_status *status, double grace_period_s)
{
	if (context->commands)
		fl_command_list_add(context->commands,
		                    &(struct fl_command){kind, status->ref, status->index,
		                                         status->attempt, grace_period_s});
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

/* Completed is completed, whichever attempt it was. */
static void complete_by_stale_attempt(struct fl_node *node, struct fl_job *job,
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
 * Whether the worker may drop an exited attempt: only when no late start command can start it
 * again. One of an older leader cannot: a heartbeat that counts carries this leadership's token.
 */
static bool may_forget(const struct fl_machine *machine, const struct fl_heartbeat *heartbeat)
{
	return heartbeat->fencing_token > machine->outbound.direct_start_token;
}

/* Whether the record has all that this exited attempt has changed. */
static bool is_recorded(const struct fl_job *job, const struct fl_task_status *status)
{
	return !job || status->index >= job->task_count ||
	       fl_task_change_is_durable(job, status->index);
}

/*
 * A reported attempt that is not the current one: it is stopped if it runs, and forgotten by the
 * worker when that is safe. `job`: NULL if it is not known.
 */
static void reconcile_stale(const struct fl_heartbeat_context *context, struct fl_job *job,
                            const struct fl_task_status *status)
{
	struct fl_machine *machine = context->machine;

	if (status->state != FL_TASK_STATE_EXITED) {
		machine->heartbeat.orphan_task_count++;
		reply_with(context, FL_COMMAND_STOP, status, 0);
		return;
	}
	complete_by_stale_attempt(context->node, job, status);
	if (!may_forget(machine, context->heartbeat))
		context->node->leadership.retained_exit_count++;
	else if (is_recorded(job, status))
		reply_with(context, FL_COMMAND_FORGET, status, 0);
}

/* Whether a reported attempt is the one that the cluster state has on this machine. */
static bool is_current(const struct fl_machine *machine, const struct fl_task *task,
                       const struct fl_task_status *status)
{
	return task && task->phase == FL_TASK_PLACED && task->machine_id == machine->id &&
	       task->attempt == status->attempt;
}

static void observe(const struct fl_heartbeat_context *context, struct fl_job *job,
                    struct fl_task *task, const struct fl_task_status *status)
{
	enum fl_observed_state observed = observed_state(status->state);

	if (task->last_observed_state == observed)
		return;
	fl_debug("workers", "task %s: %s/%u machine=%s after_s=%.1f", observed_state_name(observed),
	         job->ref, status->index, context->machine->name,
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

	if (!is_current(context->machine, task, status)) {
		reconcile_stale(context, job, status);
		return;
	}
	fl_machine_record_image(context->machine, job->image);
	if (status->state == FL_TASK_STATE_EXITED) {
		fl_reconcile_exited_attempt(context, job, task, status);
		return;
	}
	observe(context, job, task, status);
	if (!fl_attempt_should_run(job, task))
		reply_with(context, FL_COMMAND_STOP, status, fl_attempt_grace_period_s(job, task));
}
