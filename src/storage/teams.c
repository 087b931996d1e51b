#include "storage/teams.h"

#include <string.h>

/* Sums of decimal fractions: a hair above the limit is the limit. */
static const double slack = 1e-6;

int fl_teams_find(const struct fl_teams *teams, const char *name)
{
	for (int i = 0; i < teams->n; i++)
		if (strcmp(teams->at[i].name, name) == 0)
			return i;
	return -1;
}

bool fl_team_within_max(const struct fl_team *t, double cpus, double gpus)
{
	if (t->cpus_max > 0 && cpus > t->cpus_max + slack)
		return false;
	return !(t->gpus_max > 0 && gpus > t->gpus_max + slack);
}

bool fl_team_within_guarantee(const struct fl_team *t, double cpus, double gpus)
{
	if (t->cpus <= 0 && t->gpus <= 0)
		return false;
	if (t->cpus > 0 && cpus > t->cpus + slack)
		return false;
	if (t->gpus > 0 ? gpus > t->gpus + slack : gpus > slack)
		return false;
	return true;
}
