/* Handles exited attempts: failures, backoff, and the quarantine of machines. */
#include <math.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation_internal.h"
#include "transport/log.h"

static const struct {
	double refused_start_delay_s, initial_backoff_s, max_backoff_s;
	uint32_t max_counted_failures, job_backoff_failures;
	int quarantine_faults, quarantine_faults_unproven_job;
	uint32_t max_blamed_job_failures;
	double quarantine_s;
} tunables = {
	.refused_start_delay_s = 1.0, /* before the start is retried */
	.initial_backoff_s = 2.0,     /* after the first failure; doubled by each further one */
	.max_backoff_s = 60.0,
	.max_counted_failures = 16,          /* max_backoff_s is reached long before */
	.job_backoff_failures = 4,           /* in a row, before the whole job is delayed */
	.quarantine_faults = 2,              /* consecutive failures that quarantine a machine */
	.quarantine_faults_unproven_job = 3, /* the same, if no task of the job has completed */
	.max_blamed_job_failures = 4, /* with more in a row, the job is faulty, not the machine */
	.quarantine_s = 120.0,
};

/* Returns the delay of the next attempt after this number of failures. */
static double backoff_after_failures_s(uint32_t failures)
{
	return fmin(tunables.max_backoff_s,
	            tunables.initial_backoff_s *
	                    pow(2, fmin(failures, tunables.max_counted_failures) - 1));
}

/*
 * Delays the whole job after repeated failures. A job submitted with a mistake fails everywhere,
 * each of its tasks for the first time, so the backoff of single tasks does not slow it down.
 */
static void back_off_job(struct fl_job *job, double now)
{
	job->retry.consecutive_failures++;
	if (job->retry.consecutive_failures > tunables.job_backoff_failures)
		job->retry.not_before =
			now + backoff_after_failures_s(job->retry.consecutive_failures -
		                                       tunables.job_backoff_failures);
}

/*
 * Counts the failure against the machine, and quarantines it after several. A job that fails
 * everywhere must not make machines look faulty: failures of two of its tasks on one machine are no
 * evidence unless another task of the job has completed.
 */
static void record_machine_fault(struct fl_machine *machine, const struct fl_job *job, double now)
{
	int quarantine_faults = job->counts.done > 0 ? tunables.quarantine_faults
	                                             : tunables.quarantine_faults_unproven_job;

	machine->health.fault_count++;
	if (machine->health.fault_count >= quarantine_faults &&
	    job->retry.consecutive_failures <= tunables.max_blamed_job_failures)
		machine->health.quarantined_until = now + tunables.quarantine_s;
}

static void record_task_failure(const struct fl_heartbeat_context *context, struct fl_job *job,
                                struct fl_task *task, uint32_t index)
{
	struct fl_machine *machine = context->machine;

	if (task->failure_count < tunables.max_counted_failures)
		task->failure_count++;
	back_off_job(job, context->now);
	record_machine_fault(machine, job, context->now);
	fl_info("workers",
	        "task failed task=%s/%u machine=%s fault_count=%d consecutive_failures=%u",
	        job->ref, index, machine->name, machine->health.fault_count,
	        job->retry.consecutive_failures);
}

static void record_task_completion(const struct fl_heartbeat_context *context, struct fl_job *job,
                                   const struct fl_task *task, uint32_t index)
{
	fl_debug("workers", "task completed task=%s/%u machine=%s took_s=%.1f expected_s=%.1f",
	         job->ref, index, context->machine->name, context->now - task->running_since,
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
	double retry_delay_s = 0;

	switch (status->exit_reason) {
	case FL_EXIT_DONE:
		record_task_completion(context, job, task, status->index);
		return;
	case FL_EXIT_STOPPED:
	case FL_EXIT_GANG_PEERS_LOST:
	case FL_EXIT_GANG_INCOMPLETE:
		break;
	case FL_EXIT_NO_ROOM:
	case FL_EXIT_BUSY:
		retry_delay_s = tunables.refused_start_delay_s;
		fl_info("workers", "start refused task=%s/%u machine=%s reason=%s", job->ref,
		        status->index, context->machine->name,
		        status->exit_reason == FL_EXIT_BUSY ? "busy" : "no_capacity");
		break;
	case FL_EXIT_ERROR:
	case FL_EXIT_UNKNOWN_TASK:
	case FL_EXIT_OTHER:
		record_task_failure(context, job, task, status->index);
		retry_delay_s = backoff_after_failures_s(task->failure_count);
		break;
	}
	fl_task_release(&node->cluster, job, status->index,
	                retry_delay_s > 0 ? context->now + retry_delay_s : 0);
	fl_condition_broadcast(&node->leadership.work_available);
}
