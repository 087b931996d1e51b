#include "coordination/workers/reconciliation.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#include "coordination/workers/reachability.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double refused_s, backoff_s, backoff_most_s;
	uint32_t doublings_most, consecutive_failures;
	int faults, unproven_faults, blamed_failures;
	double avoid_s, checkpoint_margin_s;
} tunables = {
	.refused_s = 1.0,           /* s before a refused start is tried again */
	.backoff_s = 2.0,           /* s after the first failure of a task, doubled each time */
	.backoff_most_s = 60.0,     /* s; the most that a failing task waits */
	.doublings_most = 16,       /* failures counted: far beyond backoff_most_s */
	.consecutive_failures = 4,  /* failures of a job in a row before all of it waits */
	.faults = 2,                /* failures on a machine before it is avoided */
	.unproven_faults = 3,       /* the same, of a job no task of which ever completed */
	.blamed_failures = 4,       /* failures of a job in a row that still blame the machine */
	.avoid_s = 120.0,           /* s for which it is avoided */
	.checkpoint_margin_s = 1.0, /* s that a stop may take beside the checkpoint itself */
};

/* Newer by session, then sequence number; the first report received is always newer. */
static bool newer(const struct fl_machine *machine, const struct fl_heartbeat *heartbeat)
{
	if (machine->heartbeat.last_at <= 0)
		return true;
	return heartbeat->incarnation > machine->heartbeat.incarnation ||
	       (heartbeat->incarnation == machine->heartbeat.incarnation &&
	        heartbeat->sequence > machine->heartbeat.sequence);
}

/*
 * Whether the absence of an attempt from this report proves that it is not on the machine. Not if
 * the report may have been sent before an older leader's answer was executed, nor if a direct
 * launch may still arrive: both are ruled out once the worker has seen a higher epoch than they
 * carry. Nor if the report replies to a command and an answer has ordered the launch: the reply may
 * overtake the answer, which may be under way until the worker sends its next report of its own.
 */
static bool absence_proves(const struct fl_machine *machine, const struct fl_task *task,
                           const struct fl_heartbeat *heartbeat, enum fl_heartbeat_source source)
{
	if (task->start_sent && source == FL_HEARTBEAT_FROM_COMMAND)
		return false;
	/* The launch of an answer is executed before the worker's next report or never. */
	return machine->outbound.direct_start_token == 0 ||
	       heartbeat->fencing_token > machine->outbound.direct_start_token;
}

/*
 * A finished entry may be dropped by the worker only when no late launch can restart it. One of an
 * older leader cannot: a report that counts carries this leadership's epoch.
 */
static bool may_forget(const struct fl_machine *machine, const struct fl_heartbeat *heartbeat)
{
	return heartbeat->fencing_token > machine->outbound.direct_start_token;
}

/* Whether the attempt is to run on, rather than be stopped. */
static bool should_run(const struct fl_job *job, const struct fl_task *task)
{
	return !job->cancelled && task->stop_reason == FL_STOP_NONE;
}

/* Time that a stopped attempt gets to write its checkpoint. */
static double grace_period_s(const struct fl_job *job, const struct fl_task *task)
{
	if (job->cancelled || job->checkpoint_every_s <= 0 ||
	    task->observed == FL_OBSERVED_CHECKPOINTING)
		return 0;
	return job->checkpoint_cost_s + tunables.checkpoint_margin_s;
}

/* Time before the next attempt after so many failures. */
static double backoff(uint32_t failures)
{
	return fmin(tunables.backoff_most_s,
	            tunables.backoff_s * pow(2, fmin(failures, tunables.doublings_most) - 1));
}

static void record_failure(struct fl_machine *machine, struct fl_job *job, struct fl_task *task,
                           double now)
{
	int faults;

	if (task->failure_count < tunables.doublings_most)
		task->failure_count++;
	job->retry.consecutive_failures++;
	machine->health.fault_count++;
	/* A job submitted with a mistake fails everywhere, each of its tasks for the first time. */
	if (job->retry.consecutive_failures > tunables.consecutive_failures)
		job->retry.not_before = now + backoff(job->retry.consecutive_failures -
		                                      tunables.consecutive_failures);
	/*
	 * A job that fails everywhere must not make machines look faulty: two of its tasks on one
	 * machine are no evidence, unless others of them have completed.
	 */
	faults = job->counts.done > 0 ? tunables.faults : tunables.unproven_faults;
	if (machine->health.fault_count >= faults &&
	    job->retry.consecutive_failures <= (uint32_t)tunables.blamed_failures)
		machine->health.quarantined_until = now + tunables.avoid_s;
	fl_info("workers", "%s failed on %s (machine faults %d, job consecutive failures %u)",
	        job->ref, machine->name, machine->health.fault_count,
	        job->retry.consecutive_failures);
}

static void handle_exit(struct fl_node *node, struct fl_machine *machine, struct fl_job *job,
                        uint32_t index, struct fl_task *task, const struct fl_task_status *status,
                        double now)
{
	double pause = 0;

	switch (status->exit) {
	case FL_EXIT_DONE:
		fl_debug("workers", "%s/%u done on %s after %.1f s of %.1f", job->ref, index,
		         machine->name, now - task->running_since, job->expected_s);
		job->retry.consecutive_failures = 0;
		job->retry.not_before = 0;
		machine->health.fault_count = 0;
		fl_task_done(&node->cluster, job, index);
		fl_condition_broadcast(&node->leadership.work_available);
		return;
	case FL_EXIT_STOPPED:
	case FL_EXIT_GANG_PEERS_LOST:
	case FL_EXIT_GANG_INCOMPLETE:
		break;
	case FL_EXIT_NO_ROOM:
	case FL_EXIT_BUSY:
		pause = tunables.refused_s;
		fl_info("workers", "%s refused %s/%u (%s)", machine->name, job->ref, index,
		        status->exit == FL_EXIT_BUSY ? "busy" : "no room");
		break;
	case FL_EXIT_ERROR:
	case FL_EXIT_UNKNOWN_TASK:
	case FL_EXIT_OTHER:
	default:
		record_failure(machine, job, task, now);
		pause = backoff(task->failure_count);
		break;
	}
	fl_task_release(&node->cluster, job, index, pause > 0 ? now + pause : 0);
	fl_condition_broadcast(&node->leadership.work_available);
}

static enum fl_observed_state observed_of(enum fl_task_state s)
{
	switch (s) {
	case FL_TASK_STATE_PULLING:
	case FL_TASK_STATE_AWAITING_GANG:
		return FL_OBSERVED_PULLING;
	case FL_TASK_STATE_CHECKPOINTING:
		return FL_OBSERVED_CHECKPOINTING;
	case FL_TASK_STATE_RUNNING:
	case FL_TASK_STATE_EXITED:
	default:
		return FL_OBSERVED_RUNNING;
	}
}

/*
 * An entry that is not a current attempt: it is stopped if it runs, and forgotten by the worker
 * when that is safe.
 */
static void handle_stale(struct fl_node *node, struct fl_machine *machine, struct fl_job *job,
                         const struct fl_task_status *status, const struct fl_heartbeat *heartbeat,
                         struct fl_command_list *commands)
{
	if (status->state != FL_TASK_STATE_EXITED) {
		machine->heartbeat.orphan_task_count++;
		if (commands)
			fl_command_list_add(commands, FL_COMMAND_STOP, status->ref, status->index,
			                    status->attempt, 0);
		return;
	}
	/* Completed is completed, whichever attempt it was. */
	if (status->exit == FL_EXIT_DONE && job && !job->cancelled &&
	    status->index < job->task_count && job->kind == FL_ARRAY) {
		struct fl_task *task = fl_task_get(job, status->index);

		if (task && task->phase == FL_TASK_WAITING) {
			fl_task_done(&node->cluster, job, status->index);
			fl_condition_broadcast(&node->leadership.work_available);
		}
	}
	if (!may_forget(machine, heartbeat))
		node->leadership.retained_exit_count++;
	else if (commands &&
	         (!job || status->index >= job->task_count || fl_task_durable(job, status->index)))
		fl_command_list_add(commands, FL_COMMAND_FORGET, status->ref, status->index,
		                    status->attempt, 0);
}

static void handle_reported(struct fl_node *node, struct fl_machine *machine,
                            const struct fl_task_status *status,
                            const struct fl_heartbeat *heartbeat, struct fl_command_list *commands,
                            double now)
{
	struct fl_job *job = fl_job_find(&node->cluster, status->ref);
	struct fl_task *task =
		job && status->index < job->task_count ? fl_task_peek(job, status->index) : NULL;

	if (!task || task->phase != FL_TASK_PLACED || task->machine != machine->id ||
	    task->attempt != status->attempt) {
		handle_stale(node, machine, job, status, heartbeat, commands);
		return;
	}
	fl_machine_record_image(machine, job->image);
	if (status->state == FL_TASK_STATE_EXITED) {
		handle_exit(node, machine, job, status->index, task, status, now);
		return;
	}
	if (task->observed != observed_of(status->state)) {
		fl_debug("workers", "%s/%u is %s on %s after %.1f s", job->ref, status->index,
		         observed_of(status->state) == FL_OBSERVED_RUNNING   ? "running"
		         : observed_of(status->state) == FL_OBSERVED_PULLING ? "pulling"
		                                                             : "saving",
		         machine->name, now - task->running_since);
		fl_task_observe(job, task, observed_of(status->state), now);
		fl_condition_broadcast(&node->leadership.work_available);
	}
	if (!should_run(job, task) && commands)
		fl_command_list_add(commands, FL_COMMAND_STOP, status->ref, status->index,
		                    status->attempt, grace_period_s(job, task));
}

static bool in_report(const struct fl_heartbeat *heartbeat, const struct fl_job *job,
                      uint32_t index, uint32_t attempt)
{
	for (int i = 0; i < heartbeat->task_count; i++)
		if (heartbeat->tasks[i].index == index && heartbeat->tasks[i].attempt == attempt &&
		    strcmp(heartbeat->tasks[i].ref, job->ref) == 0)
			return true;
	return false;
}

/*
 * The attempts that are placed on the machine and were not reported: each is launched, or concluded
 * to be gone.
 */
static enum fl_reply_kind handle_unreported(struct fl_node *node, struct fl_machine *machine,
                                            const struct fl_heartbeat *heartbeat,
                                            struct fl_command_list *commands,
                                            enum fl_heartbeat_source source, double now)
{
	enum fl_reply_kind kind = FL_REPLY_WITHOUT_START;

	for (int i = machine->assignment_count - 1; i >= 0; i--) {
		struct fl_job *job = machine->assignments[i].job;
		uint32_t index = machine->assignments[i].index;
		struct fl_task *task = fl_task_peek(job, index);

		if (in_report(heartbeat, job, index, task->attempt))
			continue;
		if (task->incarnation < heartbeat->incarnation) {
			/* The session in which it was placed is over, and so is the attempt. */
			fl_info("workers", "%s/%u lost: %s began a new session", job->ref, index,
			        machine->name);
			fl_task_release(&node->cluster, job, index, 0);
			fl_condition_broadcast(&node->leadership.work_available);
			continue;
		}
		if (task->observed != FL_OBSERVED_NONE) {
			/* Was seen in this session, was never forgotten, and is no more. */
			fl_error("workers", "%s/%u vanished from %s", job->ref, index,
			         machine->name);
			fl_task_observe(job, task, FL_OBSERVED_NONE, now);
		}
		if (!should_run(job, task)) {
			if (absence_proves(machine, task, heartbeat, source)) {
				fl_task_release(&node->cluster, job, index, 0);
				fl_condition_broadcast(&node->leadership.work_available);
			} else if (machine->outbound.direct_start_token >=
			                   heartbeat->fencing_token &&
			           machine->outbound.direct_start_token > 0) {
				node->leader_lease.token_raise_wanted = true;
			}
		} else if (commands && fl_task_durable(job, index)) {
			fl_command_list_add(commands, FL_COMMAND_START, job->ref, index,
			                    task->attempt, 0);
			task->start_sent = true;
			kind = FL_REPLY_WITH_START;
		}
	}
	return kind;
}

static void describe(struct fl_node *node, struct fl_machine *machine,
                     const struct fl_heartbeat *heartbeat)
{
	int type = fl_machine_type_find(&node->cluster.machines, heartbeat->type);
	int zone = fl_symbol_find(&node->cluster.zones, heartbeat->zone);

	fl_cluster_describe(&node->cluster, machine, type, zone, heartbeat->spot,
	                    heartbeat->endpoint);
}

/*
 * Whether a report was sent before its worker knew of this leadership, maybe long before: after a
 * takeover nothing is known yet that would show a late copy to be old. Such a report is answered,
 * and does not count as contact. A worker that receives the answer reports again at once, with the
 * epoch.
 */
static bool predates_leadership(const struct fl_node *node, const struct fl_heartbeat *heartbeat)
{
	return heartbeat->fencing_token < node->leadership.first_fencing_token;
}

static void record_contact(struct fl_node *node, struct fl_machine *machine,
                           const struct fl_heartbeat *heartbeat, double now)
{
	bool changed = !machine->lifecycle.up;

	describe(node, machine, heartbeat);
	machine->heartbeat.incarnation = heartbeat->incarnation;
	machine->heartbeat.sequence = heartbeat->sequence;
	machine->heartbeat.last_at = now;
	machine->lifecycle.up = true;
	machine->heartbeat.orphan_task_count = 0;
	if (heartbeat->interruption_in_s >= 0 && machine->lifecycle.interruption_at == 0) {
		machine->lifecycle.interruption_at = now + heartbeat->interruption_in_s;
		fl_info("cloud", "%s will be taken back in %.0f s", machine->name,
		        heartbeat->interruption_in_s);
		changed = true;
	}
	if (changed)
		fl_condition_broadcast(&node->leadership.work_available);
}

int fl_reconcile_heartbeat(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                           struct fl_command_list *commands, enum fl_heartbeat_source source)
{
	double now = fl_now();
	struct fl_machine *machine = fl_machine_find(&node->cluster.machines, heartbeat->host);
	enum fl_reply_kind kind;

	if (machine && machine->lifecycle.decommissioned)
		return -ENOENT;
	if (heartbeat->fencing_token > node->leader_lease.fencing_token)
		return -ENOENT; /* our own epoch, being raised: the next report is taken */
	if (predates_leadership(node, heartbeat))
		return 0;
	if (!machine)
		machine = fl_machine_get(&node->cluster.machines, heartbeat->host, now);
	if (!machine)
		return -ENOENT;
	if (!newer(machine, heartbeat))
		return 0;
	if (source == FL_HEARTBEAT_FROM_COMMAND)
		fl_reachability_confirm(machine);
	else if (source == FL_HEARTBEAT_FROM_WORKER)
		fl_reachability_on_heartbeat(node, machine, heartbeat, now);
	record_contact(node, machine, heartbeat, now);
	if (source != FL_HEARTBEAT_FROM_DIGEST)
		machine->outbound.last_reachable_at = now;
	for (int i = 0; i < heartbeat->task_count; i++)
		handle_reported(node, machine, &heartbeat->tasks[i], heartbeat, commands, now);
	kind = handle_unreported(node, machine, heartbeat, commands, source, now);
	if (source == FL_HEARTBEAT_FROM_WORKER)
		fl_reachability_on_reply(node, machine, kind, now);
	return 0;
}

void fl_reconcile_renewal(struct fl_node *node, const struct fl_heartbeat *heartbeat)
{
	struct fl_machine *machine = fl_machine_find(&node->cluster.machines, heartbeat->host);

	if (machine && machine->lifecycle.up && newer(machine, heartbeat))
		fl_reachability_on_reply(node, machine, FL_REPLY_WITHOUT_START, fl_now());
}

bool fl_reconcile_collect_commands(struct fl_node *node, struct fl_machine *machine,
                                   struct fl_command_list *commands)
{
	bool starts = false;

	for (int i = 0; i < machine->assignment_count; i++) {
		struct fl_job *job = machine->assignments[i].job;
		uint32_t index = machine->assignments[i].index;
		struct fl_task *task = fl_task_peek(job, index);

		if (!should_run(job, task)) {
			fl_command_list_add(commands, FL_COMMAND_STOP, job->ref, index,
			                    task->attempt, grace_period_s(job, task));
		} else if (task->observed == FL_OBSERVED_NONE && fl_task_durable(job, index)) {
			fl_command_list_add(commands, FL_COMMAND_START, job->ref, index,
			                    task->attempt, 0);
			starts = true;
		}
	}
	if (starts)
		machine->outbound.direct_start_token = node->leader_lease.fencing_token;
	return commands->count > 0;
}

void fl_reconcile_decommission(struct fl_node *node, struct fl_machine *machine, const char *why)
{
	if (machine->lifecycle.decommissioned)
		return;
	fl_info("cloud", "%s is gone: %s (%d tasks on it)", machine->name, why,
	        machine->assignment_count);
	machine->lifecycle.decommissioned = true;
	machine->lifecycle.decommissioned_at = fl_now();
	machine->lifecycle.up = false;
	while (machine->assignment_count > 0)
		fl_task_release(&node->cluster, machine->assignments[0].job,
		                machine->assignments[0].index, 0);
	fl_condition_broadcast(&node->leadership.work_available);
}
