/* What the files of provisioning share: the plan of rentals, and the steps of the duty. */
#ifndef FL_COORDINATION_AUTOSCALING_AUTOSCALER_INTERNAL_H
#define FL_COORDINATION_AUTOSCALING_AUTOSCALER_INTERNAL_H

#include "coordination/node.h"
#include "coordination/autoscaling/autoscaler.h"

/* Machines rented by one plan at most. */
enum { FL_PLANNED_RENTALS_MAX = 400 };

/* Whether a planned machine is rented already. */
enum fl_planned_origin {
	FL_PLANNED_BOOTING, /* rented, not up yet */
	FL_PLANNED_RENTAL   /* to be rented by this plan */
};

/* A machine that the plan places tasks on: the amounts are what it has left. */
struct fl_planned_machine {
	int type, zone;
	bool spot;
	enum fl_planned_origin origin;
	double cpus, gpus, ram_gb;
};

/* A plan of which machines to rent, made afresh after each pass. */
struct fl_autoscaler_plan {
	struct fl_node *node;
	struct fl_planned_machine *machines;
	int count, capacity, rental_count;
	double tasks_ending_soon; /* tasks that end before a rented machine could boot */
	int machines_by_zone[FL_ZONES_MAX];
	double now, wall;
};

/* ---- planning (autoscaler_plan.c, planned_machines.c, headroom.c) ---- */

/* Whether the job's type, zone and price constraints admit such a machine. */
bool fl_autoscaler_job_allows(const struct fl_job *job, int type, int zone, bool spot);
/* Whether one more task may go to this zone; `placed`: the job's tasks by zone. */
bool fl_autoscaler_zone_allows(const struct fl_job *job, const uint32_t *placed, int zone);
/* Whether one task of the job fits into these amounts. */
bool fl_autoscaler_task_fits(const struct fl_job *job, double cpus, double gpus, double ram_gb);
/* Adds an empty machine of this kind to the plan; NULL if the plan is full. */
struct fl_planned_machine *fl_autoscaler_add_planned(struct fl_autoscaler_plan *plan, int type,
                                                     int zone, bool spot,
                                                     enum fl_planned_origin origin);
/* How many tasks of the job fit into these amounts. */
uint32_t fl_autoscaler_placement_capacity(const struct fl_job *job, double cpus, double gpus,
                                          double ram_gb);
/*
 * Adds the cheapest rental for one task of the job; NULL if there is none. `placed`: its tasks by
 * zone; `only_zone`: -1 for any.
 */
struct fl_planned_machine *fl_autoscaler_plan_machine(struct fl_autoscaler_plan *plan,
                                                      const struct fl_job *job,
                                                      const uint32_t *placed, int only_zone);
/* Adds rentals for the reserve that lets services start at once. */
void fl_autoscaler_plan_headroom(struct fl_autoscaler_plan *plan);

/* ---- calls to the cloud (call_budget.c, scale_out.c, scale_in.c) ---- */

/* Waits until a call is within the budget; an error if the routine or the lease has ended. */
enum fl_cloud_result fl_autoscaler_await_call_budget(struct fl_node *node);
/* Rents what the last plan asked for. */
enum fl_cloud_result fl_autoscaler_scale_out(struct fl_node *node);
/* Lists all machines, and concludes which are gone. */
enum fl_cloud_result fl_autoscaler_list_machines(struct fl_node *node);
/* Returns machines that are idle, faulty, silent or given up. */
enum fl_cloud_result fl_autoscaler_scale_in(struct fl_node *node);

#endif
