/* Leadership: the state of a leader, and the start and end of its routines. */
#ifndef FL_COORDINATION_ELECTION_LEADERSHIP_H
#define FL_COORDINATION_ELECTION_LEADERSHIP_H

#include "storage/records.h"
#include "transport/coroutine.h"

struct fl_node;

/* Routines of a leader. */
enum { FL_LEADER_COROUTINES_MAX = 8 };

/* The state of a leader; reset when a leadership begins. */
struct fl_leadership {
	bool loading; /* the cluster state is being loaded, by a routine of its own */
	bool active;  /* the cluster state is loaded, the routines run */
	uint64_t first_fencing_token; /* the epoch of the takeover; later ones are higher */
	double heartbeats_since;      /* steady; since when reports could arrive without a break */
	int coroutines_running;       /* routines that use the leader's cluster state */
	struct fl_coroutine *coroutines[FL_LEADER_COROUTINES_MAX];
	int coroutine_count;
	struct fl_condition work_available;  /* something to decide */
	struct fl_condition writes_pending;  /* something to write */
	struct fl_condition coroutine_ended; /* a routine has ended */
	struct fl_token_bucket write_budget; /* of records, a second */
	uint64_t wal_mod_revision; /* KeyRev of the log's first value, which every write of it
	                              replaces */
	bool wal_revision_known;
	struct fl_pending_deletion
		*pending_deletions; /* records of jobs that are over, still to be deleted */
	bool cycle_due;             /* a pass is wanted */
	int resume_position;        /* place in the order where the last pass ran out of time */
	int commands_in_flight;     /* direct commands under way */
	int retained_exit_count; /* finished, and safe to be forgotten only after a higher epoch */
	uint64_t cycle_count;
};

/* Whether the cluster state is loaded and the lease is valid. */
bool fl_is_leader(const struct fl_node *node);
/*
 * Loads the cluster state and starts the leader's routines, in a routine of its own: the lease must
 * be renewed meanwhile. It gives up when the lease is lost, and may be called again when `loading`
 * is false.
 */
void fl_leadership_begin(struct fl_node *node);
/* Ends the routines, waits for them, and forgets what only a leader knows. */
void fl_leadership_end(struct fl_node *node);

#endif
