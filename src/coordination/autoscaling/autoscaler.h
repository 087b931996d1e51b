/* Machines: renting what is short, returning what idles, has failed, or no longer reports. */
#ifndef FL_COORDINATION_AUTOSCALING_AUTOSCALER_H
#define FL_COORDINATION_AUTOSCALING_AUTOSCALER_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/records.h"

struct fl_node;
struct fl_job;

/* Rentals that one plan may ask for. */
enum { FL_SCALE_OUT_REQUESTS_MAX = 32 };

/* Machines of one kind to be rented with one call. */
struct fl_scale_out_request {
	int type, zone, count;
	bool spot;
};

/* What a leader knows about its machines beside the machines themselves. */
struct fl_autoscaler {
	struct fl_scale_out_request requests[FL_SCALE_OUT_REQUESTS_MAX];
	int request_count;
	long machines_examined;   /* at planned machines, by the last plan: its work */
	bool scale_out_in_flight; /* a call is under way: what is short is unknown until it returns
	                           */
	uint64_t rental_name_count; /* given out in this epoch */
	double no_capacity_until[FL_MACHINE_TYPES_MAX][FL_ZONES_MAX]
				[2];               /* last index: spot or not */
	double zone_suspected_until[FL_ZONES_MAX]; /* too many machines of the zone are silent */
	double listed_at, types_at; /* steady; of the last list and the last look at prices */
	struct fl_token_bucket call_budget;
	double spot_losses,
		spot_machine_seconds; /* spot machines reclaimed, and the time that such were up */
	double spot_counted_at;       /* steady */
	/*
	 * How many accelerators the ordinary machines could be returned with before the reserve for
	 * services is cut into: by zone, or one number if there is one share; no shares: no
	 * reserve.
	 */
	int headroom_surplus[FL_ZONES_MAX], headroom_shares;
};

/* Resets all this, when a leader begins. */
void fl_autoscaler_begin(struct fl_node *node);
/* The routine of a leader, with its fl_node. */
void fl_autoscaler_run(struct fl_node *node);
/* Chance a second that a spot machine is reclaimed, as seen lately. */
double fl_autoscaler_spot_loss_rate(const struct fl_node *node);
/* Plans rentals for what the last pass left without room; `unplaced_tasks`: tasks, by job. */
void fl_autoscaler_plan_scale_out(struct fl_node *node, struct fl_job **jobs,
                                  const uint32_t *unplaced_tasks, int count);

#endif
