/*
 * Whether a job can run at all on the machine types, in the zones and within the team's limit that
 * this controller knows of, however long it waits. What is free at the moment plays no part.
 */
#ifndef FL_COORDINATION_API_FEASIBILITY_H
#define FL_COORDINATION_API_FEASIBILITY_H

#include "protocol/users.h"

struct fl_cluster;

/* Why a job can never run. */
enum fl_infeasibility {
	FL_FEASIBLE, /* it can */
	FL_INFEASIBLE_UNKNOWN_TEAM,
	FL_INFEASIBLE_NO_RESOURCES, /* a task that needs nothing cannot be placed */
	FL_INFEASIBLE_UNKNOWN_ZONE,
	FL_INFEASIBLE_NO_MACHINE_TYPE, /* none that is allowed is large enough and offered */
	FL_INFEASIBLE_SPREAD,          /* half of the tasks could never be placed */
	FL_INFEASIBLE_TEAM_LIMIT
};

/* The first reason found. The machine types must be known. */
enum fl_infeasibility fl_job_infeasibility(const struct fl_cluster *cluster,
                                           const struct fl_job_spec *spec);
/* The reason, as the text of an error response. */
const char *fl_infeasibility_text(enum fl_infeasibility infeasibility);

#endif
