/* Machines: renting what is short, returning what idles, has failed, or no longer reports. */
#ifndef FL_COORDINATION_PROVISION_H
#define FL_COORDINATION_PROVISION_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/records.h"

struct fl_node;
struct fl_job;

/* Rentals that one plan may ask for. */
enum { FL_RENTAL_REQUESTS_MAX = 32 };

/* Machines of one kind to be rented with one call. */
struct fl_rental_request {
	int type, zone, count;
	bool spot;
};

/* What a leader knows about its machines beside the machines themselves. */
struct fl_provision {
	struct fl_rental_request requests[FL_RENTAL_REQUESTS_MAX];
	int n_requests;
	long looks;            /* at planned machines, by the last plan: its work */
	bool renting;          /* a call is under way: what is short is unknown until it returns */
	uint64_t rental_names; /* given out in this epoch */
	double refused_until[FL_MACHINE_TYPES_MAX][FL_ZONES_MAX][2]; /* last index: spot or not */
	double suspected_until[FL_ZONES_MAX]; /* too many machines of the zone are silent */
	double listed_at, types_at; /* steady; of the last list and the last look at prices */
	struct fl_token_bucket calls;
	double spot_lost, spot_s; /* spot machines reclaimed, and the time that such were up */
	double spot_counted_at;   /* steady */
	/*
	 * How many accelerators the ordinary machines could be returned with before the reserve for
	 * services is cut into: by zone, or one number if there is one share; no shares: no
	 * reserve.
	 */
	int reserve_surplus[FL_ZONES_MAX], reserve_shares;
};

/* Resets all this, when a leader begins. */
void fl_provision_begin(struct fl_node *n);
/* The routine of a leader, with its fl_node. */
void fl_provision_duty(void *arg);
/* Chance a second that a spot machine is reclaimed, as seen lately. */
double fl_provision_spot_loss(const struct fl_node *n);
/* Plans rentals for what the last pass left without room; `short_of`: tasks, by job. */
void fl_provision_shortage(struct fl_node *n, struct fl_job **jobs, const uint32_t *short_of,
                           int count);

#endif
