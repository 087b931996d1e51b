/*
 * Leadership: the state of a leader, and the start and end of the coroutines that only a leader
 * runs. It begins with a failover, which loads the cluster state, and ends when the lease is lost.
 */
#ifndef FL_COORDINATION_LEADERSHIP_LEADERSHIP_H
#define FL_COORDINATION_LEADERSHIP_LEADERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "transport/coroutine.h"

struct fl_node;

/* Maximum number of a leader's coroutines. */
enum { FL_LEADER_COROUTINES_MAX = 8 };

/* A coroutine of a leader, which works on the cluster state until it returns. */
struct fl_leader_coroutine {
	struct fl_node *node;
	void (*run)(struct fl_node *node);
	struct fl_coroutine *coroutine;
};

/* The state of a leader; reset when a leadership begins. */
struct fl_leadership {
	bool loading; /* the cluster state is being loaded, by a coroutine of its own */
	bool active;  /* the cluster state is loaded, the coroutines run */
	uint64_t first_fencing_token;       /* at the failover; later ones are higher */
	double heartbeats_receivable_since; /* steady; since when heartbeats could arrive
	                                       uninterrupted */
	struct fl_leader_coroutine coroutines[FL_LEADER_COROUTINES_MAX];
	int coroutine_count;
	int coroutines_running; /* these, and the ones that send commands (workers/command) */
	struct fl_condition coroutine_ended;
	struct fl_condition work_available; /* a scheduling cycle may have something to decide */
	bool cycle_due;                     /* a scheduling cycle is wanted */
	int queue_resume_position; /* place in the queue order where the last cycle ran out of time
	                            */
	uint64_t cycle_count;
	int commands_in_flight;  /* direct commands in progress */
	int retained_exit_count; /* exited tasks, to be forgotten only after a higher token */
};

/*
 * Loads the cluster state and starts the leader's coroutines, in a coroutine of its own: the lease
 * must be renewed meanwhile. It gives up when the lease is lost, and may be called again when
 * `loading` is false. It does not wait.
 */
void fl_leadership_begin(struct fl_node *node);
/* Cancels the coroutines, waits until they have ended, and drops the state of a leader. */
void fl_leadership_end(struct fl_node *node);

#endif
