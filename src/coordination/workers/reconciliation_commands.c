/* Determines the commands that the attempts on a machine need. */
#include "coordination/node.h"
#include "coordination/workers/reconciliation_internal.h"

static const struct {
	double checkpoint_margin_s;
} tunables = {
	.checkpoint_margin_s = 1.0, /* time for the stop, in addition to the checkpoint */
};

bool fl_attempt_should_run(const struct fl_job *job, const struct fl_task *task)
{
	return !job->cancelled && task->stop_reason == FL_STOP_NONE;
}

bool fl_attempt_may_start(const struct fl_job *job, uint32_t index)
{
	return job->record.unresolved_writes == 0 && fl_task_change_is_durable(job, index);
}

double fl_attempt_grace_period_s(const struct fl_job *job, const struct fl_task *task)
{
	if (job->cancelled || job->checkpoint_every_s <= 0 ||
	    task->last_observed_state == FL_OBSERVED_CHECKPOINTING)
		return 0;
	return job->checkpoint_cost_s + tunables.checkpoint_margin_s;
}

bool fl_reconcile_collect_commands(struct fl_node *node, struct fl_machine *machine,
                                   struct fl_command_list *commands)
{
	bool has_start = false;

	for (int i = 0; i < machine->assignment_count; i++) {
		struct fl_job *job = machine->assignments[i].job;
		uint32_t index = machine->assignments[i].task_index;
		struct fl_task *task = fl_task_find(job, index);

		if (!fl_attempt_should_run(job, task)) {
			fl_command_list_add(commands,
			                    &(struct fl_command){
						    FL_COMMAND_STOP, job->ref, index, task->attempt,
						    fl_attempt_grace_period_s(job, task)});
		} else if (task->last_observed_state == FL_OBSERVED_NONE &&
		           fl_attempt_may_start(job, index)) {
			fl_command_list_add(commands,
			                    &(struct fl_command){FL_COMMAND_START, job->ref, index,
			                                         task->attempt, 0});
			has_start = true;
		}
	}
	if (has_start)
		machine->outbound.direct_start_token = node->leader_lease.fencing_token;
	return commands->count > 0;
}
