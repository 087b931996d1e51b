/*
 * Teams: guaranteed and maximum quotas, and the resources used by their placed tasks. A task is
 * counted from its placement until it is proven gone.
 */
#ifndef FL_STORAGE_TEAMS_H
#define FL_STORAGE_TEAMS_H

#include <stdbool.h>

#include "storage/array.h"

/* Maximum number of teams. */
enum { FL_TEAMS_MAX = 64 };

/* A team's configuration and its current usage. */
struct fl_team {
	char name[64];
	double guaranteed_cpus, guaranteed_gpus; /* guaranteed quota; 0: none */
	double max_cpus, max_gpus;               /* maximum quota; 0: no limit */
	double used_cpus, used_gpus;             /* resources used by placed tasks */
};

/* All teams, by index. */
struct fl_teams {
	struct fl_team by_index[FL_TEAMS_MAX];
	int count;
};

/* Returns the index of the team, or FL_INDEX_NONE. */
int fl_teams_find(const struct fl_teams *teams, const char *name);
/* Returns whether this usage stays within the team's maximum quota. */
bool fl_team_fits_maximum_quota(const struct fl_team *team, double cpus, double gpus);
/*
 * Returns whether this usage fits into the team's guaranteed quota; false if the team has none. If
 * only GPUs are guaranteed, any usage of CPUs fits.
 */
bool fl_team_fits_guaranteed_quota(const struct fl_team *team, double cpus, double gpus);

#endif
