/*
 * Failover: a new leader restores the whole cluster state from the records of the previous leader
 * before it makes any decision. A first start is a failover without records.
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
	FL_FAILOVER_STORE_FAILED, /* a read failed: repeat the whole failover */
	FL_FAILOVER_LEASE_LOST,   /* the lease was lost during the failover: do not lead */
	/* A record (named in the log) or its key is unreadable: unknown tasks may be running. */
	FL_FAILOVER_UNREADABLE_RECORD
};

/*
 * Loads jobs, the write-ahead log and progress records into the cluster state, after dropping the
 * tasks and machines of an earlier leadership. Waits for the key-value store.
 */
enum fl_failover_result fl_failover_load_cluster(struct fl_node *node);

#endif
