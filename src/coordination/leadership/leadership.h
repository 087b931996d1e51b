/*
 * Leadership: the state of a leader, and the start and end of the coroutines that only a leader
 * runs. Leadership begins with a failover, which loads the cluster state, and ends when the lease
 * is lost.
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
	bool loading; /* a separate coroutine is loading the cluster state */
	bool active;  /* the cluster state is loaded and the leader's coroutines run */
	uint64_t first_fencing_token; /* token when the failover completed; later ones are higher */
	/* Since when heartbeats could arrive without interruption; monotonic clock, s. */
	double heartbeats_receivable_since;
	struct fl_leader_coroutine coroutines[FL_LEADER_COROUTINES_MAX];
	int coroutine_count;
	int coroutines_running; /* including those that send commands (workers/command) */
	struct fl_condition coroutine_ended;
	struct fl_condition work_available; /* signalled when a scheduling cycle may be needed */
	bool cycle_due;                     /* a scheduling cycle is requested */
	/* Position in the order of jobs where the last cycle ran out of time. */
	int order_resume_position;
	uint64_t cycle_count;
	int commands_in_flight;  /* direct commands in progress */
	int retained_exit_count; /* exited tasks that workers may forget only after a token raise */
};

/*
 * Starts a coroutine that loads the cluster state and then starts the leader's coroutines; the
 * caller must renew the lease meanwhile. The coroutine stops if the lease is lost. May be called
 * again once `loading` is false. Does not wait.
 */
void fl_leadership_begin(struct fl_node *node);
/* Cancels the leader's coroutines, waits until they have ended, and drops the leader's state. */
void fl_leadership_end(struct fl_node *node);

#endif
