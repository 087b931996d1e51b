/* What the files of provisioning share: the plan of rentals, and the steps of the duty. */
#ifndef FL_COORDINATION_PROVISION_INTERNAL_H
#define FL_COORDINATION_PROVISION_INTERNAL_H

#include "coordination/node.h"
#include "coordination/provision.h"

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
struct fl_provision_plan {
	struct fl_node *n;
	struct fl_planned_machine *machines;
	int count, capacity, rentals;
	double ending_soon; /* tasks that end before a rented machine could boot */
	int zone_machines[FL_ZONES_MAX];
	double now, wall;
};

/* ---- planning (provision_plan.c, provision_reserve.c) ---- */

/* Whether the job's type, zone and price constraints admit such a machine. */
bool fl_provision_job_allows(const struct fl_job *job, int type, int zone, bool spot);
/* How many tasks of the job fit into these amounts. */
uint32_t fl_provision_tasks_fit(const struct fl_job *job, double cpus, double gpus, double ram_gb);
/*
 * Adds the cheapest rental for one task of the job; NULL if there is none. `placed`: its tasks by
 * zone; `only_zone`: -1 for any.
 */
struct fl_planned_machine *fl_provision_plan_rental(struct fl_provision_plan *plan,
                                                    const struct fl_job *job,
                                                    const uint32_t *placed, int only_zone);
/* Adds rentals for the reserve that lets services start at once. */
void fl_provision_plan_reserve(struct fl_provision_plan *plan);

/* ---- calls to the cloud (provision.c, provision_rent.c, provision_return.c) ---- */

/* Waits until a call is within the budget; an error if the routine or the lease has ended. */
int fl_provision_spend_call(struct fl_node *n);
/* Rents what the last plan asked for. */
int fl_provision_rent_requested(struct fl_node *n);
/* Lists all machines, and concludes which are gone. */
int fl_provision_list_machines(struct fl_node *n);
/* Returns machines that are idle, faulty, silent or given up. */
int fl_provision_return_machines(struct fl_node *n);

#endif
