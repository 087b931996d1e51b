/* Teams: guarantees, limits, and what their tasks may be using right now. */
#ifndef FL_STORAGE_TEAMS_H
#define FL_STORAGE_TEAMS_H

#include <stdbool.h>

/* Teams at most. */
enum { FL_TEAMS_MAX = 64 };

/* A team, as configured, and what it uses. */
struct fl_team {
	char name[64];
	double guaranteed_cpus, guaranteed_gpus; /* guaranteed; 0: none */
	double max_cpus, max_gpus;               /* limit; 0: none */
	double used_cpus, used_gpus;
};

/* All teams, by index. */
struct fl_teams {
	struct fl_team by_index[FL_TEAMS_MAX];
	int count;
};

/* Index of the team; -1: unknown. */
int fl_teams_find(const struct fl_teams *teams, const char *name);
/* Would the team stay within its limit with this much in use? */
bool fl_team_within_maximum(const struct fl_team *team, double cpus, double gpus);
/* Does this much fit into what the team is guaranteed? A team with no guarantee has none. */
bool fl_team_within_guaranteed(const struct fl_team *team, double cpus, double gpus);

#endif
