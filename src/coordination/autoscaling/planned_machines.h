/*
 * The machines of a plan, on which it places the tasks that the last scheduling cycle could not
 * place: those that boot, and rentals that it adds at the lowest cost. A plan is made afresh after
 * each cycle and never waits.
 */
#ifndef FL_COORDINATION_AUTOSCALING_PLANNED_MACHINES_H
#define FL_COORDINATION_AUTOSCALING_PLANNED_MACHINES_H

#include "coordination/autoscaling/autoscaler.h"
#include "storage/jobs.h"

/* Rentals of one plan at most. */
enum { FL_PLANNED_RENTALS_MAX = 400 };

/* Whether a planned machine is rented already. */
enum fl_planned_origin {
	FL_PLANNED_BOOTING, /* rented, not up yet */
	FL_PLANNED_RENTAL   /* to be rented by this plan */
};

/* A machine that the plan places tasks on. */
struct fl_planned_machine {
	struct fl_machine_kind kind;
	enum fl_planned_origin origin;
	struct fl_resources free; /* what the plan's tasks leave of it */
};

/* A plan of which machines to rent. */
struct fl_autoscaler_plan {
	struct fl_autoscaler *autoscaler;
	const struct fl_cluster *cluster;
	struct fl_planned_machine *machines; /* owned */
	int planned_machine_count, planned_machine_capacity, rental_count;
	double tasks_ending_soon; /* tasks that end before a rented machine could boot */
	int machines_by_zone[FL_ZONES_MAX];
	double now, now_wall; /* steady, and of the time of day */
};

/* A job whose tasks are placed by the plan. */
struct fl_planned_job {
	const struct fl_job *job;
	uint32_t placed_by_zone[FL_ZONES_MAX]; /* its tasks, those placed by the plan included */
};

/* Whether the job's type, zone and price constraints admit such a machine. */
bool fl_autoscaler_job_allows_kind(const struct fl_job *job, struct fl_machine_kind kind);
/* Whether one more task may go to this zone. */
bool fl_autoscaler_job_allows_zone(const struct fl_planned_job *planned, int zone);
/* Adds an empty machine of this kind to the plan; NULL if the plan is full. */
struct fl_planned_machine *fl_autoscaler_add_planned_machine(struct fl_autoscaler_plan *plan,
                                                             struct fl_machine_kind kind,
                                                             enum fl_planned_origin origin);
/*
 * Adds the cheapest rental for one task of the job, in this zone or in FL_ANY_ZONE; NULL if there
 * is none.
 */
struct fl_planned_machine *fl_autoscaler_add_cheapest_rental(struct fl_autoscaler_plan *plan,
                                                             const struct fl_planned_job *planned,
                                                             int only_zone);

#endif
