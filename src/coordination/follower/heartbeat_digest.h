/*
 * Digests of cached reports: the newest report of each worker that this node has renewed without
 * the leader is stored in the state service, many to a record, where the leader reads it.
 */
#ifndef FL_COORDINATION_FOLLOWER_HEARTBEAT_DIGEST_H
#define FL_COORDINATION_FOLLOWER_HEARTBEAT_DIGEST_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "storage/records.h"
#include "protocol/workers.h"

struct fl_node;

/* The newest report of one worker. */
struct fl_cached_heartbeat {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	uint64_t incarnation, sequence;
	char *text; /* the newest report, as it goes into a digest */
	double at;
	bool stored; /* went into a digest already */
};

/* Most records that one node's digests take: 4,000 machines, forty to a value of 4 KiB. */
enum { FL_DIGESTS_MAX = 128 };

/* A record of ours in the state service. */
struct fl_digest_slot {
	uint64_t mod_revision;
	bool revision_known; /* what rev stands there */
};

/* Sets up the budget of writes, for digests that are written every `interval_s` seconds. */
void fl_heartbeat_digest_init(struct fl_node *node, double interval_s);
/* Caches a report for the next digest, unless a newer one of its worker is cached. */
void fl_heartbeat_cache(struct fl_node *node, const struct fl_heartbeat *heartbeat);
/*
 * Drops old reports and writes the others that no digest holds yet, unless this node leads, knows
 * of no leader or does not reach the state service. `now`: steady, as of the call.
 */
void fl_heartbeat_digest_write(struct fl_node *node, double now, double interval_s);

#endif
