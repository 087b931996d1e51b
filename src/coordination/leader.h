/* Leadership: the state of a leader, and the start and end of its routines. */
#ifndef FL_COORDINATION_LEADER_H
#define FL_COORDINATION_LEADER_H

#include "storage/records.h"
#include "transport/routine.h"

struct fl_node;

/* Routines of a leader. */
enum { FL_DUTIES_MAX = 8 };

/* The state of a leader; reset when a leadership begins. */
struct fl_leadership {
	bool loading;         /* the cluster state is being loaded, by a routine of its own */
	bool active;          /* the cluster state is loaded, the routines run */
	uint64_t first_epoch; /* the epoch of the takeover; later ones are higher */
	double since;         /* steady; since when reports could arrive without a break */
	int running;          /* routines that use the leader's cluster state */
	struct fl_routine *duty[FL_DUTIES_MAX];
	int n_duties;
	struct fl_signal work;   /* something to decide */
	struct fl_signal dirty;  /* something to write */
	struct fl_signal ended;  /* a routine has ended */
	struct fl_budget writes; /* of records, a second */
	uint64_t log_rev; /* KeyRev of the log's first value, which every write of it replaces */
	bool log_known;
	struct fl_pending_deletion
		*pending_deletions; /* records of jobs that are over, still to be deleted */
	bool due;                   /* a pass is wanted */
	int resume;                 /* place in the order where the last pass ran out of time */
	int pushes;                 /* direct commands under way */
	int retained_entries; /* finished, and safe to be forgotten only after a higher epoch */
	uint64_t passes;
};

/* Whether the cluster state is loaded and the lease is valid. */
bool fl_leading(const struct fl_node *n);
/*
 * Loads the cluster state and starts the leader's routines, in a routine of its own: the lease must
 * be renewed meanwhile. It gives up when the lease is lost, and may be called again when `loading`
 * is false.
 */
void fl_leader_begin(struct fl_node *n);
/* Ends the routines, waits for them, and forgets what only a leader knows. */
void fl_leader_end(struct fl_node *n);

#endif
