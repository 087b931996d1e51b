/*
 * Feasibility of a job: whether it can ever run on the known machine types, in the known zones and
 * within its team's limit. The resources that are free at the moment are not considered.
 */
#ifndef FL_COORDINATION_API_FEASIBILITY_H
#define FL_COORDINATION_API_FEASIBILITY_H

#include "protocol/users.h"

struct fl_cluster;

/* Why a job can never run. */
enum fl_infeasibility {
	FL_FEASIBLE, /* the job can run */
	FL_INFEASIBLE_UNKNOWN_TEAM,
	FL_INFEASIBLE_NO_RESOURCES, /* a task that requests nothing cannot be placed */
	FL_INFEASIBLE_UNKNOWN_ZONE,
	FL_INFEASIBLE_NO_MACHINE_TYPE, /* no allowed type is large enough and offered */
	FL_INFEASIBLE_SPREAD,          /* half of the tasks could never be placed */
	FL_INFEASIBLE_TEAM_LIMIT
};

/* Returns the first reason found, or FL_FEASIBLE. The machine types must be known. */
enum fl_infeasibility fl_job_infeasibility(const struct fl_cluster *cluster,
                                           const struct fl_job_spec *spec);
/* Returns the text of the reason for an error response. */
const char *fl_infeasibility_text(enum fl_infeasibility infeasibility);

#endif
