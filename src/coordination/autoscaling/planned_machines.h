/*
 * The machines of a plan, on which the plan places the tasks that the last scheduling cycle could
 * not place: booting machines, and rentals that the plan adds at the lowest cost. A new plan is
 * made after each cycle; planning never waits.
 */
#ifndef FL_COORDINATION_AUTOSCALING_PLANNED_MACHINES_H
#define FL_COORDINATION_AUTOSCALING_PLANNED_MACHINES_H

#include "coordination/autoscaling/autoscaler.h"
#include "storage/jobs.h"

/* Maximum number of rentals in one plan. */
enum { FL_PLANNED_RENTALS_MAX = 400 };

/* Whether a planned machine is already rented. */
enum fl_planned_origin {
	FL_PLANNED_BOOTING, /* rented, not up yet */
	FL_PLANNED_RENTAL   /* to be rented by this plan */
};

/* A machine on which the plan places tasks. */
struct fl_planned_machine {
	struct fl_machine_kind kind;
	enum fl_planned_origin origin;
	struct fl_resources free; /* resources that the plan's tasks leave free */
};

/* A plan of which machines to rent. */
struct fl_autoscaler_plan {
	struct fl_autoscaler *autoscaler;
	const struct fl_cluster *cluster;
	struct fl_planned_machine *machines; /* owned */
	int planned_machine_count, planned_machine_capacity, rental_count;
	double tasks_ending_soon;           /* tasks that end before a rented machine could boot */
	int machines_by_zone[FL_ZONES_MAX]; /* number of machines, with the planned rentals */
	double now, now_wall;               /* monotonic clock, s; wall clock, s */
};

/* A job whose tasks the plan places. */
struct fl_planned_job {
	const struct fl_job *job;
	uint32_t placed_by_zone[FL_ZONES_MAX]; /* the job's tasks, also those placed by the plan */
};

/* Returns whether the job's type, zone and spot constraints admit this kind of machine. */
bool fl_autoscaler_job_allows_kind(const struct fl_job *job, struct fl_machine_kind kind);
/* Returns whether one more task of the job may run in this zone. */
bool fl_autoscaler_job_allows_zone(const struct fl_planned_job *planned, int zone);
/* Adds an empty machine of this kind to the plan; returns NULL if the plan is full. */
struct fl_planned_machine *fl_autoscaler_add_planned_machine(struct fl_autoscaler_plan *plan,
                                                             struct fl_machine_kind kind,
                                                             enum fl_planned_origin origin);
/*
 * Adds the cheapest rental for one task of the job, in `only_zone` (FL_ANY_ZONE: in any zone);
 * returns NULL if no rental is possible.
 */
struct fl_planned_machine *fl_autoscaler_add_cheapest_rental(struct fl_autoscaler_plan *plan,
                                                             const struct fl_planned_job *planned,
                                                             int only_zone);

#endif
