/* Leadership: what a leader holds, and the coming and going of its duties. */
#ifndef FL_COORDINATION_LEADER_H
#define FL_COORDINATION_LEADER_H

#include "storage/records.h"
#include "transport/routine.h"

struct fl_node;

enum { FL_DUTIES_MAX = 8 };

struct fl_leadership {
	bool loading;         /* the cluster state is being loaded, by a routine of its own */
	bool active;          /* duties run, the cluster state is loaded */
	uint64_t first_epoch; /* the epoch of the takeover; raised ones lie above it */
	double since;         /* steady; since when machines could be heard without a break */
	int running;          /* routines that use the leader's cluster state */
	struct fl_routine *duty[FL_DUTIES_MAX];
	int n_duties;
	struct fl_signal work;  /* something to decide */
	struct fl_signal dirty; /* something to write */
	struct fl_signal ended; /* a routine has ended */
	struct fl_budget writes;
	uint64_t log_rev; /* KeyRev of the log's first value, which every write of it replaces */
	bool log_known;
	struct fl_pending_deletion
		*pending_deletions; /* records of jobs that are over, still to be deleted */
	bool due;                   /* a pass is wanted */
	int resume;
	int pushes;
	int unforgotten; /* finished entries that only a higher epoch lets go */
	uint64_t passes;
};

/* Its the cluster state is loaded and its lease holds. */
bool fl_leading(const struct fl_node *n);
/*
 * Loads the cluster state and begins the duties, in a routine of its own: the lease must be renewed
 * meanwhile. It gives up when the lease is lost, and may be called again when `loading` is over.
 */
void fl_leader_begin(struct fl_node *n);
void fl_leader_end(struct fl_node *n);

#endif
