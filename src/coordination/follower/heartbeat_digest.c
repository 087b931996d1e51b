#include "coordination/follower/heartbeat_digest.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/workers/heartbeat.h"
#include "protocol/heartbeat_digests.h"
#include "storage/keys.h"
#include "storage/token_bucket.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double kv_write_share, max_cached_age_intervals, max_written_age_intervals;
} tunables = {
	.kv_write_share = 0.12,         /* of the store's write rate, for one node's digests */
	.max_cached_age_intervals = 5,  /* digest intervals until a cached heartbeat is dropped */
	.max_written_age_intervals = 2, /* digest intervals until a heartbeat is too old to write */
};

/*
 * A duplicate of a heartbeat may arrive long after the original, also when a newer one is cached.
 * It does not show that the worker is alive now, and so replaces nothing.
 */
void fl_heartbeat_cache(struct fl_node *node, const struct fl_heartbeat *heartbeat)
{
	struct fl_cached_heartbeat *cached;
	char *text;

	HASH_FIND_STR(node->follower.cached_heartbeats, heartbeat->host, cached);
	if (cached && !fl_heartbeat_is_newer_than(heartbeat, cached->incarnation, cached->sequence))
		return;
	text = fl_cached_heartbeat_encode(heartbeat);
	if (!text)
		return;
	if (!cached) {
		cached = calloc(1, sizeof(*cached));
		if (!cached) {
			free(text);
			return;
		}
		fl_copy_string(cached->host, sizeof(cached->host), heartbeat->host);
		HASH_ADD_STR(node->follower.cached_heartbeats, host, cached);
	}
	free(cached->digest_entry);
	cached->digest_entry = text;
	cached->incarnation = heartbeat->incarnation;
	cached->sequence = heartbeat->sequence;
	cached->cached_at = fl_now();
	cached->in_digest = false;
}

void fl_cached_heartbeat_drop(struct fl_follower *follower, struct fl_cached_heartbeat *cached)
{
	HASH_DEL(follower->cached_heartbeats, cached);
	free(cached->digest_entry);
	free(cached);
}

/* Reads the revision of a slot's stored record, unless it is known. */
static enum fl_kv_result read_slot_revision(struct fl_node *node, const char *key,
                                            struct fl_digest_slot *slot)
{
	enum fl_kv_result result;

	if (slot->revision_known)
		return FL_KV_OK;
	result = fl_kv_get_revision(&node->kv_store, key, &slot->mod_revision);
	slot->revision_known = result == FL_KV_OK;
	return result;
}

/*
 * Writes a digest record only over the revision that this process knows to be stored: a late write
 * of this process or of its predecessor must not replace a newer record. Consumes the digest.
 */
static enum fl_kv_result write_digest(struct fl_node *node, int index, cJSON *digest)
{
	struct fl_digest_slot *slot = &node->follower.digest_slots[index];
	char key[FL_KEY_MAX];
	struct fl_kv_txn txn;
	uint64_t revision;
	enum fl_kv_result result;

	snprintf(key, sizeof(key), FL_PREFIX_HEARTBEAT_DIGESTS "%s/%d", node->config->node, index);
	result = read_slot_revision(node, key, slot);
	if (!slot->revision_known) {
		cJSON_Delete(digest);
		return result;
	}
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, key, slot->mod_revision);
	fl_kv_txn_put(&txn, key, digest, 0);
	result = fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
	if (result == FL_KV_OK)
		slot->mod_revision = revision;
	else if (!fl_kv_write_was_refused(result))
		slot->revision_known = false;
	fl_debug("follower", "heartbeat digest write finished index=%d result=\"%s\"", index,
	         fl_kv_result_text(result));
	return result;
}

/* Leaves out the tasks of a cached heartbeat that is larger than a value may be. */
static void shorten_entry(struct fl_cached_heartbeat *cached, size_t limit)
{
	char *shorter;

	if (strlen(cached->digest_entry) < limit)
		return;
	shorter = fl_cached_heartbeat_without_tasks(cached->digest_entry);
	if (!shorter)
		return;
	free(cached->digest_entry);
	cached->digest_entry = shorter;
}

/*
 * Builds a digest of as many heartbeats as fit into one record, from those that were cached since
 * `since` and are not in a digest yet. The caller deletes it; NULL if there are none.
 */
static cJSON *build_digest(struct fl_node *node, double since)
{
	size_t limit = fl_kv_limits_fill_bytes(&node->kv_store.limits), used = 0;
	struct fl_cached_heartbeat *cached, *tmp;
	cJSON *digest = NULL;

	node->follower.digest_count++;
	HASH_ITER (hh, node->follower.cached_heartbeats, cached, tmp) {
		size_t len;

		if (cached->in_digest || cached->cached_at < since)
			continue;
		shorten_entry(cached, limit);
		len = strlen(cached->digest_entry) + 1;
		if (used + len > limit)
			break;
		if (!digest)
			digest = fl_digest_create(node->leader_view.fencing_token);
		fl_digest_add_heartbeat(digest, cached->digest_entry);
		used += len;
		cached->in_digest = true;
		cached->digest_number = node->follower.digest_count;
		/* Moved to the end, so that a small write budget is shared by all machines. */
		HASH_DEL(node->follower.cached_heartbeats, cached);
		HASH_ADD_STR(node->follower.cached_heartbeats, host, cached);
	}
	return digest;
}

/* Lets the next digest have the heartbeats of the last one, whose write was refused. */
static void release_heartbeats(struct fl_follower *follower)
{
	struct fl_cached_heartbeat *cached;

	for (cached = follower->cached_heartbeats; cached; cached = cached->hh.next)
		if (cached->digest_number == follower->digest_count)
			cached->in_digest = false;
}

/*
 * The leader must not consider a machine lost whose lease is renewed by this node and whose
 * heartbeats do not reach the leader. These heartbeats are passed on through the key-value store,
 * many to a record, within a share of its writes: the leader's own records and the users'
 * submissions need the rest.
 */
static void write_digests(struct fl_node *node, double since)
{
	for (int i = 0; i < FL_DIGESTS_MAX; i++) {
		enum fl_kv_result result;
		cJSON *digest;

		if (fl_token_bucket_take(&node->follower.digest_write_budget, 1, fl_now()) > 0)
			return;
		digest = build_digest(node, since);
		if (!digest)
			return;
		result = write_digest(node, i, digest);
		if (fl_kv_write_was_refused(result))
			release_heartbeats(&node->follower);
		if (result != FL_KV_OK)
			return;
	}
}

static double digest_write_rate(const struct fl_node *node)
{
	return node->kv_store.limits.in_force.writes_per_s * tunables.kv_write_share;
}

void fl_heartbeat_digest_init(struct fl_node *node, double interval_s)
{
	double writes_per_s = digest_write_rate(node);

	fl_token_bucket_init(&node->follower.digest_write_budget, writes_per_s,
	                     writes_per_s * interval_s, fl_now());
}

void fl_heartbeat_digest_write(struct fl_node *node, double now, double interval_s)
{
	struct fl_cached_heartbeat *cached, *tmp;

	HASH_ITER (hh, node->follower.cached_heartbeats, cached, tmp)
		if (cached->cached_at < now - tunables.max_cached_age_intervals * interval_s)
			fl_cached_heartbeat_drop(&node->follower, cached);
	if (!node->follower.cached_heartbeats || fl_leader_lease_is_valid(&node->leader_lease) ||
	    !node->leader_view.leader[0] || fl_kv_is_unavailable(&node->kv_store))
		return;
	fl_token_bucket_set_rate(&node->follower.digest_write_budget, digest_write_rate(node),
	                         digest_write_rate(node) * interval_s, now);
	write_digests(node, now - tunables.max_written_age_intervals * interval_s);
}
