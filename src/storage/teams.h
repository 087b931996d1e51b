/*
 * Teams: guaranteed and maximum quotas, and what their placed tasks use. Usage counts a task from
 * its placement until it is proven gone.
 */
#ifndef FL_STORAGE_TEAMS_H
#define FL_STORAGE_TEAMS_H

#include <stdbool.h>

#include "storage/array.h"

/* Teams at most. */
enum { FL_TEAMS_MAX = 64 };

/* A team, as configured, and what it uses. */
struct fl_team {
	char name[64];
	double guaranteed_cpus, guaranteed_gpus; /* guaranteed quota; 0: none */
	double max_cpus, max_gpus;               /* maximum quota; 0: none */
	double used_cpus, used_gpus;             /* by placed tasks */
};

/* All teams, by index. */
struct fl_teams {
	struct fl_team by_index[FL_TEAMS_MAX];
	int count;
};

/* Index of the team, or FL_INDEX_NONE. */
int fl_teams_find(const struct fl_teams *teams, const char *name);
/* Would the team stay within its maximum with this much in use? */
bool fl_team_fits_maximum_quota(const struct fl_team *team, double cpus, double gpus);
/* Does this much fit into what the team is guaranteed? Nothing fits if nothing is. */
bool fl_team_fits_guaranteed_quota(const struct fl_team *team, double cpus, double gpus);

#endif
