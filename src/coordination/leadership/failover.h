/*
 * Failover: how a new leader restores the state of the cluster from the records of the one before,
 * in full and before it decides anything. A first start is a failover without records.
 */
#ifndef FL_COORDINATION_LEADERSHIP_FAILOVER_H
#define FL_COORDINATION_LEADERSHIP_FAILOVER_H

struct fl_node;

/*
 * The result of a failover. Unless it is FL_FAILOVER_LOADED, the cluster state is incomplete and
 * must not be used.
 */
enum fl_failover_result {
	FL_FAILOVER_LOADED = 0,
	FL_FAILOVER_STORE_FAILED, /* a read failed: start again from the beginning */
	FL_FAILOVER_LEASE_LOST,   /* the lease was lost meanwhile: do not lead */
	/* A record cannot be read, so unknown tasks may run; the log names it. */
	FL_FAILOVER_UNREADABLE_RECORD
};

/*
 * Loads jobs, the write-ahead log and progress records into the cluster state, of which nothing of
 * an earlier leadership is kept. It waits for the key-value store.
 */
enum fl_failover_result fl_failover_load_cluster(struct fl_node *node);

#endif
