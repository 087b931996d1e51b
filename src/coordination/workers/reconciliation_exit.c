/* What an exited attempt means: failures, backoff, and the quarantine of machines. */
#include <math.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation_internal.h"
#include "transport/log.h"

static const struct {
	double refused_s, backoff_s, max_backoff_s;
	uint32_t max_doublings, consecutive_failures;
	int faults, unproven_faults;
	uint32_t max_blamed_failures;
	double quarantine_s;
} tunables = {
	.refused_s = 1.0,          /* s before a refused start is tried again */
	.backoff_s = 2.0,          /* s after the first failure of a task, doubled each time */
	.max_backoff_s = 60.0,     /* s that a failing task waits at most */
	.max_doublings = 16,       /* failures counted: far beyond max_backoff_s */
	.consecutive_failures = 4, /* failures of a job in a row before all of it waits */
	.faults = 2,               /* failures on a machine before it is quarantined */
	.unproven_faults = 3,      /* the same, of a job no task of which ever completed */
	.max_blamed_failures = 4,  /* failures of a job in a row that still blame the machine */
	.quarantine_s = 120.0,     /* s for which it is quarantined */
};

/* Seconds before the next attempt after so many failures. */
static double backoff_s(uint32_t failures)
{
	return fmin(tunables.max_backoff_s,
	            tunables.backoff_s * pow(2, fmin(failures, tunables.max_doublings) - 1));
}

/* A job submitted with a mistake fails everywhere, each of its tasks for the first time. */
static void back_off_job(struct fl_job *job, double now)
{
	job->retry.consecutive_failures++;
	if (job->retry.consecutive_failures > tunables.consecutive_failures)
		job->retry.not_before = now + backoff_s(job->retry.consecutive_failures -
		                                        tunables.consecutive_failures);
}

/*
 * A job that fails everywhere must not make machines look faulty: two of its tasks on one machine
 * are no evidence, unless others of them have completed.
 */
static void blame_machine(struct fl_machine *machine, const struct fl_job *job, double now)
{
	int faults = job->counts.done > 0 ? tunables.faults : tunables.unproven_faults;

	machine->health.fault_count++;
	if (machine->health.fault_count >= faults &&
	    job->retry.consecutive_failures <= tunables.max_blamed_failures)
		machine->health.quarantined_until = now + tunables.quarantine_s;
}

static void record_failure(const struct fl_heartbeat_context *context, struct fl_job *job,
                           struct fl_task *task, uint32_t index)
{
	struct fl_machine *machine = context->machine;

	if (task->failure_count < tunables.max_doublings)
		task->failure_count++;
	back_off_job(job, context->now);
	blame_machine(machine, job, context->now);
	fl_info("workers", "task failed: %s/%u machine=%s fault_count=%d consecutive_failures=%u",
	        job->ref, index, machine->name, machine->health.fault_count,
	        job->retry.consecutive_failures);
}

static void record_completion(const struct fl_heartbeat_context *context, struct fl_job *job,
                              const struct fl_task *task, uint32_t index)
{
	fl_debug("workers", "task done: %s/%u machine=%s took_s=%.1f expected_s=%.1f", job->ref,
	         index, context->machine->name, context->now - task->running_since,
	         job->expected_s);
	job->retry.consecutive_failures = 0;
	job->retry.not_before = 0;
	context->machine->health.fault_count = 0;
	fl_task_mark_done(&context->node->cluster, job, index);
	fl_condition_broadcast(&context->node->leadership.work_available);
}

void fl_reconcile_exited_attempt(const struct fl_heartbeat_context *context, struct fl_job *job,
                                 struct fl_task *task, const struct fl_task_status *status)
{
	struct fl_node *node = context->node;
	double pause_s = 0;

	switch (status->exit_reason) {
	case FL_EXIT_DONE:
		record_completion(context, job, task, status->index);
		return;
	case FL_EXIT_STOPPED:
	case FL_EXIT_GANG_PEERS_LOST:
	case FL_EXIT_GANG_INCOMPLETE:
		break;
	case FL_EXIT_NO_ROOM:
	case FL_EXIT_BUSY:
		pause_s = tunables.refused_s;
		fl_info("workers", "start refused: %s/%u machine=%s reason=%s", job->ref,
		        status->index, context->machine->name,
		        status->exit_reason == FL_EXIT_BUSY ? "busy" : "no_capacity");
		break;
	case FL_EXIT_ERROR:
	case FL_EXIT_UNKNOWN_TASK:
	case FL_EXIT_OTHER:
		record_failure(context, job, task, status->index);
		pause_s = backoff_s(task->failure_count);
		break;
	}
	fl_task_release(&node->cluster, job, status->index,
	                pause_s > 0 ? context->now + pause_s : 0);
	fl_condition_broadcast(&node->leadership.work_available);
}
