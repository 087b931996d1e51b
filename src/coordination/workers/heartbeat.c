#include "coordination/workers/heartbeat.h"

#include <string.h>

#include "storage/jobs.h"

bool fl_heartbeat_is_newer_than(const struct fl_heartbeat *heartbeat, uint64_t incarnation,
                                uint64_t sequence)
{
	if (heartbeat->incarnation != incarnation)
		return heartbeat->incarnation > incarnation;
	return heartbeat->sequence > sequence;
}

bool fl_heartbeat_reports_attempt(const struct fl_heartbeat *heartbeat,
                                  struct fl_assignment assignment)
{
	uint32_t attempt = fl_task_find(assignment.job, assignment.task_index)->attempt;

	for (int i = 0; i < heartbeat->task_count; i++) {
		const struct fl_task_status *status = &heartbeat->tasks[i];

		if (status->index == assignment.task_index && status->attempt == attempt &&
		    strcmp(status->ref, assignment.job->ref) == 0)
			return true;
	}
	return false;
}
