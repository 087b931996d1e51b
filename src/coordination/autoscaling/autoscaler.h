/*
 * The autoscaler of a leader: machines are rented for tasks that the last scheduling cycle could
 * not place (scale out), and returned when they are idle, have failed or are silent (scale in).
 *
 * All calls to the cloud are made by one coroutine, within a budget of calls a second and only
 * while the leader lease is valid. The plan of what to rent is made by the scheduling cycle, which
 * never waits; while a rental is in flight no plan is made, so that nothing is rented twice.
 */
#ifndef FL_COORDINATION_AUTOSCALING_AUTOSCALER_H
#define FL_COORDINATION_AUTOSCALING_AUTOSCALER_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/machines.h"
#include "storage/placement_rules.h"
#include "storage/token_bucket.h"

struct fl_node;
struct fl_job;

/* Rentals that one plan may ask for. */
enum { FL_SCALE_OUT_REQUESTS_MAX = 32 };

/* Machines of one kind to be rented with one call. */
struct fl_scale_out_request {
	struct fl_machine_kind kind;
	int count;
};

/* The state of a leader's autoscaler, beside the machines themselves; reset at each failover. */
struct fl_autoscaler {
	struct fl_scale_out_request requests[FL_SCALE_OUT_REQUESTS_MAX];
	int request_count;
	long machines_examined; /* planned machines examined by the last plan: its work */
	/* Calls are under way: which machines there will be is unknown until they return. */
	bool scale_out_in_flight;
	uint64_t rental_name_count; /* names given out by this leadership */
	/* By type, zone and spot or not; steady: until then no such machine is requested. */
	double no_capacity_until[FL_MACHINE_TYPES_MAX][FL_ZONES_MAX][2];
	/* Steady; until then too many machines of the zone are silent. */
	double zone_suspected_until[FL_ZONES_MAX];
	double last_list_started_at; /* steady; when the last complete list began */
	double types_refreshed_at;   /* steady; when types and prices were last requested */
	struct fl_token_bucket call_budget;
	double spot_losses;             /* spot machines that were reclaimed */
	double spot_machine_seconds;    /* the time that spot machines were up */
	double spot_time_counted_until; /* steady; up to when that is counted */
	/*
	 * How many accelerators the machines that are not spot could be returned with before the
	 * headroom for services is cut into: by zone, or one number if there is one share; no
	 * shares: no headroom is kept.
	 */
	int headroom_surplus[FL_ZONES_MAX], headroom_share_count;
};

/* Resets the autoscaler, when leadership begins. */
void fl_autoscaler_reset(struct fl_node *node);
/* The coroutine of a leader, with its fl_node; returns when it is cancelled. */
void fl_autoscaler_run(struct fl_node *node);
/* Chance a second that a spot machine is reclaimed, from the losses under this leadership. */
double fl_autoscaler_spot_loss_rate(const struct fl_autoscaler *autoscaler);
/*
 * Plans rentals for what the last cycle could not place, and for headroom (autoscaler_plan.c).
 * `unplaced_tasks`: their number, by job. Does nothing while a rental is in flight.
 */
void fl_autoscaler_plan_scale_out(struct fl_node *node, struct fl_job **jobs,
                                  const uint32_t *unplaced_tasks, int count);

#endif
