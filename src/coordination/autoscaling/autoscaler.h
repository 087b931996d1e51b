/*
 * The autoscaler of a leader rents machines for tasks that the last scheduling cycle could not
 * place (scale out), and returns machines that are idle, failed or silent (scale in).
 *
 * One coroutine makes all calls to the cloud, within a rate limit and only while the leader lease
 * is valid. The scheduling cycle, which never waits, plans the rentals; it makes no plan while a
 * rental is in flight, so that no rental is made twice.
 *
 * Points in time are of the monotonic clock, in seconds.
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

/* Maximum number of requests in one plan. */
enum { FL_SCALE_OUT_REQUESTS_MAX = 32 };

/* A request for machines of one kind, which one call rents. */
struct fl_scale_out_request {
	struct fl_machine_kind kind;
	int count;
};

/* The state of a leader's autoscaler, except the machines; reset at each failover. */
struct fl_autoscaler {
	struct fl_scale_out_request requests[FL_SCALE_OUT_REQUESTS_MAX];
	int request_count;
	/* Number of planned machines that the last plan examined: a measure of its work. */
	long machines_examined;
	/* Rental calls are in flight; until they return, the rented machines are unknown. */
	bool scale_out_in_flight;
	uint64_t rental_name_count; /* rental names used by this leader since the failover */
	/* By type, zone, and on-demand (0) or spot (1): no such machine is requested until then. */
	double no_capacity_until[FL_MACHINE_TYPES_MAX][FL_ZONES_MAX][2];
	/* By zone: rentals cost more until then, as too many machines of the zone were silent. */
	double zone_suspected_until[FL_ZONES_MAX];
	double last_list_started_at; /* start of the last complete machine list */
	double types_refreshed_at;   /* time of the last request for types and prices */
	struct fl_token_bucket call_budget;
	double spot_losses;             /* spot machines that were reclaimed or fell silent */
	double spot_machine_seconds;    /* total time for which spot machines were up */
	double spot_time_counted_until; /* end of the time that spot_machine_seconds covers */
	/*
	 * Headroom beyond what services need, in tasks of the model service (headroom.c): by zone,
	 * or one entry for all zones if there is one share. Scale in deducts the accelerators of
	 * each on-demand machine that it returns. With no shares, no headroom is kept.
	 */
	int headroom_surplus[FL_ZONES_MAX], headroom_share_count;
};

/* Resets the autoscaler when a leadership begins. */
void fl_autoscaler_reset(struct fl_node *node);
/* Runs the autoscaler in a coroutine of the leader; returns when the coroutine is cancelled. */
void fl_autoscaler_run(struct fl_node *node);
/* Returns the probability per second that a spot machine is reclaimed, by this leader's losses. */
double fl_autoscaler_spot_loss_rate(const struct fl_autoscaler *autoscaler);
/*
 * Plans rentals for tasks that the last cycle could not place, and for headroom
 * (autoscaler_plan.c). `unplaced_tasks`: the number of such tasks of each job. Does nothing while a
 * rental is in flight.
 */
void fl_autoscaler_plan_scale_out(struct fl_node *node, struct fl_job **jobs,
                                  const uint32_t *unplaced_tasks, int count);

#endif
