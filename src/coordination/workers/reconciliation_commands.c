/* Determines the commands that the attempts on a machine need. */
#include <string.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation_internal.h"
#include "storage/placement_rules.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double checkpoint_margin_s;
} tunables = {
	.checkpoint_margin_s = 1.0, /* time for the stop, in addition to the checkpoint */
};

bool fl_attempt_should_run(const struct fl_job *job, const struct fl_task *task)
{
	return !job->cancelled && task->stop_reason == FL_STOP_NONE;
}

/* Returns whether the job's zone rule admits the attempt, which is placed, in this zone. */
static bool zone_is_allowed(const struct fl_job *job, int zone)
{
	uint32_t others_by_zone[FL_ZONES_MAX];
	const struct fl_zone_rule rule = {.same_zone = job->same_zone,
	                                  .spread_zones = job->spread_zones,
	                                  .task_count = job->task_count,
	                                  .placed_by_zone = others_by_zone};

	memcpy(others_by_zone, job->placement.by_zone, sizeof(others_by_zone));
	others_by_zone[zone]--;
	return fl_zone_rule_admits(&rule, zone);
}

enum fl_attempt_permission fl_attempt_permission(const struct fl_cluster *cluster,
                                                 const struct fl_job *job, uint32_t index)
{
	const struct fl_team *team = &cluster->teams.by_index[job->team];
	const struct fl_task *task = fl_task_find(job, index);
	int zone;

	if (task->fencing_token != 0)
		return FL_ATTEMPT_PERMITTED;
	if (!fl_team_fits_maximum_quota(team, team->used_cpus, team->used_gpus))
		return FL_ATTEMPT_FORBIDDEN;
	if (!job->same_zone && !job->spread_zones)
		return FL_ATTEMPT_PERMITTED;
	zone = cluster->machines.by_id[task->machine_id]->zone;
	if (zone == FL_INDEX_NONE || job->placement.in_unknown_zone > 0)
		return FL_ATTEMPT_UNDECIDED;
	return zone_is_allowed(job, zone) ? FL_ATTEMPT_PERMITTED : FL_ATTEMPT_FORBIDDEN;
}

bool fl_attempt_may_start(const struct fl_cluster *cluster, const struct fl_job *job,
                          uint32_t index)
{
	return job->record.unresolved_writes == 0 && fl_task_change_is_durable(job, index) &&
	       fl_attempt_permission(cluster, job, index) == FL_ATTEMPT_PERMITTED;
}

double fl_attempt_grace_period_s(const struct fl_job *job, const struct fl_task *task)
{
	if (job->cancelled || job->checkpoint_every_s <= 0 ||
	    task->last_observed_state == FL_OBSERVED_CHECKPOINTING)
		return 0;
	return job->checkpoint_cost_s + tunables.checkpoint_margin_s;
}

void fl_reconcile_add_start(struct fl_command_list *commands, const struct fl_machine *machine,
                            const struct fl_job *job, uint32_t index)
{
	const struct fl_task *task = fl_task_find(job, index);

	fl_debug("workers", "start command task=%s/%u attempt=%u machine=%s reason=\"%s\"",
	         job->ref, index, task->attempt, machine->name,
	         task->fencing_token != 0 ? "placed by this leader" : "restored, within quota");
	fl_command_list_add(commands, &(struct fl_command){FL_COMMAND_START, job->ref, index,
	                                                   task->attempt, 0});
}

const char *fl_attempt_stop_reason(const struct fl_job *job)
{
	if (!job)
		return "unknown job";
	return job->cancelled ? "job cancelled" : "preempted, draining or not current";
}

/* Adds a command to stop an attempt that should not run. */
static void add_stop(struct fl_command_list *commands, const struct fl_machine *machine,
                     const struct fl_job *job, uint32_t index)
{
	const struct fl_task *task = fl_task_find(job, index);

	fl_debug("workers", "stop command task=%s/%u attempt=%u machine=%s reason=\"%s\"", job->ref,
	         index, task->attempt, machine->name, fl_attempt_stop_reason(job));
	fl_command_list_add(commands,
	                    &(struct fl_command){FL_COMMAND_STOP, job->ref, index, task->attempt,
	                                         fl_attempt_grace_period_s(job, task)});
}

/*
 * Records that an attempt is being started by a direct command. Returns false if too many of the
 * machine's direct starts may still arrive: then the reply to its next heartbeat starts it.
 */
static bool record_direct_start(const struct fl_node *node, struct fl_machine *machine,
                                const struct fl_job *job, uint32_t index)
{
	struct fl_direct_start start = {.index = index,
	                                .attempt = fl_task_find(job, index)->attempt,
	                                .fencing_token = node->leader_lease.fencing_token};

	fl_copy_string(start.ref, sizeof(start.ref), job->ref);
	return fl_direct_starts_add(&machine->outbound.direct_starts, &start);
}

bool fl_reconcile_collect_commands(struct fl_node *node, struct fl_machine *machine,
                                   struct fl_command_list *commands)
{
	for (int i = 0; i < machine->assignment_count; i++) {
		struct fl_job *job = machine->assignments[i].job;
		uint32_t index = machine->assignments[i].task_index;
		struct fl_task *task = fl_task_find(job, index);

		if (!fl_command_list_has_room(commands, FL_COMMAND_START))
			break;
		if (!fl_attempt_should_run(job, task)) {
			add_stop(commands, machine, job, index);
		} else if (task->last_observed_state == FL_OBSERVED_NONE &&
		           fl_attempt_may_start(&node->cluster, job, index) &&
		           record_direct_start(node, machine, job, index)) {
			fl_reconcile_add_start(commands, machine, job, index);
		}
	}
	return commands->count > 0;
}
