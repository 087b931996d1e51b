/*
 * Heartbeat digests: cached heartbeats of hundreds of machines in the compact form in which they
 * are stored in the key-value store, whose value sizes and writes are limited. A digest holds the
 * tasks on each machine, but not its type, zone and endpoint, which are in the cloud's list of
 * machines.
 */
#ifndef FL_PROTOCOL_HEARTBEAT_DIGESTS_H
#define FL_PROTOCOL_HEARTBEAT_DIGESTS_H

#include "protocol/workers.h"

/* Encodes a cached heartbeat as an entry of a digest; the caller frees the text. */
char *fl_cached_heartbeat_encode(const struct fl_heartbeat *heartbeat);
/*
 * Returns the encoded heartbeat without its tasks, of which the entry then says nothing, for a
 * machine with more of them than fit into a value. It takes less than 200 bytes; the caller frees
 * it. NULL: out of memory.
 */
char *fl_cached_heartbeat_without_tasks(const char *encoded_heartbeat);
/* Decodes an entry of a digest; machine type, zone and endpoint stay empty. */
enum fl_decode_result fl_cached_heartbeat_decode(const cJSON *item, struct fl_heartbeat *out);
/* Creates a digest without heartbeats; the caller owns it. */
cJSON *fl_digest_create(uint64_t fencing_token);
/* Adds a text encoded by fl_cached_heartbeat_encode, which is copied. */
void fl_digest_add_heartbeat(cJSON *digest, const char *encoded_heartbeat);
/* Returns the entries of a parsed digest, not yet validated, in its tree; NULL: there are none. */
const cJSON *fl_digest_heartbeats(const cJSON *digest);

#endif
