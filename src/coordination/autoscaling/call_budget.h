/* The rate limit for calls to the cloud: every call waits for its budget first. */
#ifndef FL_COORDINATION_AUTOSCALING_CALL_BUDGET_H
#define FL_COORDINATION_AUTOSCALING_CALL_BUDGET_H

struct fl_node;

/* Whether a call to the cloud may be made now. */
enum fl_call_permission {
	FL_CALL_ALLOWED = 0,
	FL_CALL_LEADERSHIP_LOST, /* make no call: another controller may be the leader by now */
	FL_CALL_CANCELLED        /* the calling coroutine is being cancelled and must unwind */
};

/* Waits until the rate limit allows one call, and counts it; returns whether it may be made. */
enum fl_call_permission fl_autoscaler_await_call_budget(struct fl_node *node);

#endif
