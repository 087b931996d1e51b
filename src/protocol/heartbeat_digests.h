/*
 * Digests of cached heartbeats, as they go through the key-value store, where every byte of
 * hundreds of machines counts against values and writes: what is on a machine, but not what is
 * known of it anyway (machine type, zone, endpoint).
 */
#ifndef FL_PROTOCOL_HEARTBEAT_DIGESTS_H
#define FL_PROTOCOL_HEARTBEAT_DIGESTS_H

#include "protocol/workers.h"

/* The text of one cached heartbeat in a digest, to be freed. */
char *fl_cached_heartbeat_encode(const struct fl_heartbeat *heartbeat);
/* Reads one; machine type, zone and endpoint stay empty. */
enum fl_decode_result fl_cached_heartbeat_decode(const cJSON *item, struct fl_heartbeat *out);
/* A new digest without heartbeats, owned by the caller. */
cJSON *fl_digest_create(uint64_t fencing_token);
/* Adds a text of fl_cached_heartbeat_encode, which is copied. */
void fl_digest_add_heartbeat(cJSON *digest, const char *encoded_heartbeat);
/* The heartbeats of a digest that was read, still unchecked, in its tree; NULL: there are none. */
const cJSON *fl_digest_heartbeats(const cJSON *digest);

#endif
