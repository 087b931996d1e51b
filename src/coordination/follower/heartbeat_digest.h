/*
 * Digests of cached heartbeats: the newest heartbeat of each worker whose lease this node has
 * renewed without the leader is stored in the key-value store, many to a record, where the leader
 * reads it (workers/digest_reader). No other node writes these records.
 */
#ifndef FL_COORDINATION_FOLLOWER_HEARTBEAT_DIGEST_H
#define FL_COORDINATION_FOLLOWER_HEARTBEAT_DIGEST_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "protocol/workers.h"

struct fl_node;

/* The newest heartbeat of one worker; owned by struct fl_follower. */
struct fl_cached_heartbeat {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	uint64_t incarnation, sequence;
	char *digest_entry; /* owned; as it goes into a digest */
	double cached_at;   /* steady */
	bool in_digest;     /* a digest holds it already */
};

/* Maximum number of digest records of one node: 4,000 machines, forty to a value of 4 KiB. */
enum { FL_DIGESTS_MAX = 128 };

/* A digest record of this node in the key-value store. */
struct fl_digest_slot {
	uint64_t mod_revision;
	bool revision_known; /* mod_revision is the stored one; 0: there is no record */
};

/* Sets up the write budget, for digests that are written every `interval_s` seconds. */
void fl_heartbeat_digest_init(struct fl_node *node, double interval_s);
/* Caches a heartbeat for the next digest, unless it or a newer one of its worker is cached. */
void fl_heartbeat_cache(struct fl_node *node, const struct fl_heartbeat *heartbeat);
/*
 * Drops old heartbeats and writes the others that no digest holds yet, unless this node leads,
 * knows of no leader or has lost the key-value store. `now`: steady, as of the call. It waits.
 */
void fl_heartbeat_digest_write(struct fl_node *node, double now, double interval_s);

#endif
