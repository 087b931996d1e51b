/* Handles the attempts placed on a machine that its heartbeat does not report. */
#include "coordination/node.h"
#include "coordination/workers/heartbeat.h"
#include "coordination/workers/reconciliation_internal.h"
#include "transport/log.h"

/*
 * Returns whether the absence of an attempt from this heartbeat proves that it is not on the
 * machine. It does not in these cases:
 * - A direct start command of the attempt may still arrive, until the worker has seen a higher
 *   fencing token. (What an older leader has sent is ruled out: every applied heartbeat carries
 *   this leadership's token.)
 * - The heartbeat is the response to a direct command, and a reply has had the start command. The
 *   response may overtake that reply, which may be in flight until the worker's next heartbeat of
 *   its own.
 */
static bool absence_is_conclusive(const struct fl_heartbeat_context *context,
                                  const struct fl_task *task,
                                  const struct fl_direct_start *direct_start)
{
	if (task->start_sent && context->source == FL_HEARTBEAT_FROM_COMMAND)
		return false;
	/* A reply's start command is executed before the worker's next heartbeat or never. */
	return !direct_start;
}

static void release_task(const struct fl_heartbeat_context *context, struct fl_job *job,
                         uint32_t index)
{
	fl_task_release(&context->node->cluster, job, index, 0);
	fl_condition_broadcast(&context->node->leadership.work_available);
}

/*
 * Releases an attempt that is not to be started if its absence is proven. If a direct start command
 * may still arrive, requests a higher fencing token than that command's, which rules that out.
 */
static void release_task_if_absence_proven(const struct fl_heartbeat_context *context,
                                           struct fl_job *job, uint32_t index,
                                           const struct fl_task *task)
{
	const struct fl_direct_start *direct_start = fl_direct_starts_find(
		&context->machine->outbound.direct_starts, job->ref, index, task->attempt);
	struct fl_leader_lease *lease = &context->node->leader_lease;

	if (absence_is_conclusive(context, task, direct_start))
		release_task(context, job, index);
	else if (direct_start && direct_start->fencing_token >= lease->fencing_token)
		lease->token_raise_wanted = true;
}

static enum fl_reply_kind reconcile_absent_attempt(const struct fl_heartbeat_context *context,
                                                   struct fl_job *job, uint32_t index)
{
	const char *machine_name = context->machine->name;
	struct fl_task *task = fl_task_find(job, index);

	if (task->incarnation < context->heartbeat->incarnation) {
		/* The worker's incarnation at placement has ended, and the attempt with it. */
		fl_info("workers", "task lost task=%s/%u machine=%s reason=new_incarnation",
		        job->ref, index, machine_name);
		release_task(context, job, index);
		return FL_REPLY_WITHOUT_START;
	}
	if (task->last_observed_state != FL_OBSERVED_NONE) {
		/* The attempt was reported in this incarnation; no forget command was sent. */
		fl_error("workers",
		         "task lost; treated as not started task=%s/%u machine=%s "
		         "reason=not_reported",
		         job->ref, index, machine_name);
		fl_task_set_observed_state(job, task, FL_OBSERVED_NONE, context->now);
	}
	if (!fl_attempt_should_run(job, task)) {
		release_task_if_absence_proven(context, job, index, task);
		return FL_REPLY_WITHOUT_START;
	}
	if (fl_attempt_permission(&context->node->cluster, job, index) == FL_ATTEMPT_FORBIDDEN) {
		release_task_if_absence_proven(context, job, index, task);
		return FL_REPLY_WITHOUT_START;
	}
	if (!context->commands || !fl_attempt_may_start(&context->node->cluster, job, index))
		return FL_REPLY_WITHOUT_START;
	if (!fl_command_list_has_room(context->commands, FL_COMMAND_START))
		return FL_REPLY_WITHOUT_START;
	fl_reconcile_add_start(context->commands, context->machine, job, index);
	task->start_sent = true;
	return FL_REPLY_WITH_START;
}

enum fl_reply_kind fl_reconcile_unreported_attempts(const struct fl_heartbeat_context *context)
{
	const struct fl_machine *machine = context->machine;
	enum fl_reply_kind kind = FL_REPLY_WITHOUT_START;

	/* Backwards, since releasing an attempt removes it from the list. */
	for (int i = machine->assignment_count - 1; i >= 0; i--) {
		struct fl_assignment assignment = machine->assignments[i];

		if (!fl_heartbeat_reports_attempt(context->heartbeat, assignment) &&
		    reconcile_absent_attempt(context, assignment.job, assignment.task_index) ==
		            FL_REPLY_WITH_START)
			kind = FL_REPLY_WITH_START;
	}
	return kind;
}
