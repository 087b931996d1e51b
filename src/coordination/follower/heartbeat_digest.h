/*
 * Digests of cached heartbeats: the newest heartbeat of each worker whose lease this node has
 * renewed without the leader is stored in the key-value store, many to a record, where the leader
 * reads it (workers/digest_reader). No other node writes these records. Points in time are seconds
 * of the monotonic clock.
 */
#ifndef FL_COORDINATION_FOLLOWER_HEARTBEAT_DIGEST_H
#define FL_COORDINATION_FOLLOWER_HEARTBEAT_DIGEST_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "protocol/workers.h"

struct fl_follower;
struct fl_node;

/* The newest heartbeat of one worker; owned by struct fl_follower. */
struct fl_cached_heartbeat {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	uint64_t incarnation, sequence;
	char *digest_entry; /* owned; the encoded heartbeat, without tasks if it was too large */
	double cached_at;
	bool in_digest;         /* already added to a digest, whose write has not been refused */
	uint64_t digest_number; /* number of that digest; valid if `in_digest` */
};

/* Maximum number of digest records of a node: for 4,000 machines, 40 to a value of 4 KiB. */
enum { FL_DIGESTS_MAX = 128 };

/* A digest record of this node in the key-value store. */
struct fl_digest_slot {
	uint64_t mod_revision;
	bool revision_known; /* mod_revision is that of the stored record; 0: there is none */
};

/* Initialises the rate limit of digest writes, which take place every `interval_s` seconds. */
void fl_heartbeat_digest_init(struct fl_node *node, double interval_s);
/* Removes a heartbeat from the cache and frees it. */
void fl_cached_heartbeat_drop(struct fl_follower *follower, struct fl_cached_heartbeat *cached);
/* Caches a heartbeat for the next digest, unless this or a newer one of its worker is cached. */
void fl_heartbeat_cache(struct fl_node *node, const struct fl_heartbeat *heartbeat);
/*
 * Drops old heartbeats and writes those that are not in a digest yet, unless this node leads, knows
 * no leader or cannot reach the key-value store. `now` is the time of the call. Waits.
 */
void fl_heartbeat_digest_write(struct fl_node *node, double now, double interval_s);

#endif
