/* Machines: renting what is short, returning what idles, failed, or no longer answers. */
#ifndef FL_COORDINATION_PROVISION_H
#define FL_COORDINATION_PROVISION_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/records.h"

struct fl_node;
struct fl_job;

enum { FL_WANT_MAX = 32 };

struct fl_want {
	int type, zone, count;
	bool spot;
};

struct fl_provision {
	struct fl_want want[FL_WANT_MAX];
	int n_want;
	bool busy; /* a rental is under way: what is short is not known till it is answered */
	uint64_t rentals; /* names given out in this epoch */
	double refused_until[FL_MACHINE_TYPES_MAX][FL_ZONES_MAX][2];
	double doubted_until[FL_ZONES_MAX]; /* too many machines of the zone fell silent */
	double listed_at, types_at;
	struct fl_budget calls;
	double spot_lost, spot_s; /* cheap machines taken back, and the time that such were up */
	double counted_at;        /* steady */
	/* Tasks of services for which ordinary machines may be returned without cutting into the
	 * reserve: by zone, or in all if there is one share; with none there is no reserve. */
	int spare[FL_ZONES_MAX], spare_shares;
};

void fl_provision_begin(struct fl_node *n);
void fl_provision_duty(void *node);
/* Chance a second that a cheap machine is taken back, as seen lately. */
double fl_provision_spot_loss(const struct fl_node *n);
/* What the last pass left without room; `short_of` by job. */
void fl_provision_shortage(struct fl_node *n, struct fl_job **jobs, const uint32_t *short_of,
                           int count);

#endif
