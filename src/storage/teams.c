#include "storage/teams.h"

#include <string.h>

#include "storage/resources.h"

int fl_teams_find(const struct fl_teams *teams, const char *name)
{
	for (int i = 0; i < teams->count; i++)
		if (strcmp(teams->by_index[i].name, name) == 0)
			return i;
	return FL_INDEX_NONE;
}

bool fl_team_fits_maximum_quota(const struct fl_team *team, double cpus, double gpus)
{
	if (team->max_cpus > 0 && cpus > team->max_cpus + FL_RESOURCES_EPSILON)
		return false;
	return !(team->max_gpus > 0 && gpus > team->max_gpus + FL_RESOURCES_EPSILON);
}

bool fl_team_fits_guaranteed_quota(const struct fl_team *team, double cpus, double gpus)
{
	if (team->guaranteed_cpus <= 0 && team->guaranteed_gpus <= 0)
		return false;
	if (team->guaranteed_cpus > 0 && cpus > team->guaranteed_cpus + FL_RESOURCES_EPSILON)
		return false;
	if (team->guaranteed_gpus > 0 ? gpus > team->guaranteed_gpus + FL_RESOURCES_EPSILON
	                              : gpus > FL_RESOURCES_EPSILON)
		return false;
	return true;
}
