#include "coordination/workers/renewal_rules.h"

#include "coordination/node.h"
#include "transport/clock.h"

static const struct {
	double margin_s;
} tunables = {
	.margin_s = 1.0, /* s off the renewal window, for drift and late timers */
};

double fl_renewal_window_s(const struct fl_config *config)
{
	return config->cancel_s - config->lease_s - tunables.margin_s;
}

bool fl_renewal_watermark_is_fresh(const struct fl_node *node)
{
	return fl_now() - node->cancellation_watermark <= fl_renewal_window_s(node->config);
}

/* The cancelled job that a reported task which has not exited belongs to; NULL: there is none. */
static const struct fl_finished_job *cancelled_job_of(const struct fl_cluster *cluster,
                                                      const struct fl_task_status *status)
{
	const struct fl_finished_job *finished;

	if (status->state == FL_TASK_STATE_EXITED)
		return NULL;
	finished = fl_finished_job_find(cluster, status->ref);
	return finished && finished->status == FL_CANCELLED ? finished : NULL;
}

bool fl_renewal_heartbeat_has_overdue_task(const struct fl_node *node,
                                           const struct fl_heartbeat *heartbeat)
{
	double before = fl_now() - fl_renewal_window_s(node->config);

	for (int i = 0; i < heartbeat->task_count; i++) {
		const struct fl_finished_job *job =
			cancelled_job_of(&node->cluster, &heartbeat->tasks[i]);

		if (job && job->cancelled_at < before)
			return true;
	}
	return false;
}

void fl_renewal_add_stop_commands(const struct fl_cluster *cluster,
                                  const struct fl_heartbeat *heartbeat,
                                  struct fl_command_list *commands)
{
	for (int i = 0; i < heartbeat->task_count; i++) {
		const struct fl_task_status *status = &heartbeat->tasks[i];

		if (cancelled_job_of(cluster, status))
			fl_command_list_add(
				commands, &(struct fl_command){FL_COMMAND_STOP, status->ref,
			                                       status->index, status->attempt, 0});
	}
}
