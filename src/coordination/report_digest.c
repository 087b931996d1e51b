#include "coordination/report_digest.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "protocol/peers.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double record_use, write_share;
} tunables = {
	.record_use = 0.85,  /* share of a value's limit that a digest fills */
	.write_share = 0.12, /* share of the state service's writes for one node's digests */
};

/*
 * A copy of a report may come long after it, also to a node that has cached newer ones: it is no
 * sign of life, and takes nothing's place.
 */
void fl_report_cache(struct fl_node *n, const struct fl_report *r)
{
	struct fl_cached_report *k;
	char *text;

	HASH_FIND_STR(n->standby.cached, r->host, k);
	if (k && (r->incarnation < k->incarnation ||
	          (r->incarnation == k->incarnation && r->sequence <= k->sequence)))
		return;
	text = fl_cached_report_encode(r);
	if (!text)
		return;
	if (!k) {
		k = calloc(1, sizeof(*k));
		if (!k) {
			free(text);
			return;
		}
		fl_copy_string(k->host, sizeof(k->host), r->host);
		HASH_ADD_STR(n->standby.cached, host, k);
	}
	free(k->text);
	k->text = text;
	k->incarnation = r->incarnation;
	k->sequence = r->sequence;
	k->at = fl_now();
	k->stored = false;
}

static void uncache(struct fl_node *n, struct fl_cached_report *k)
{
	HASH_DEL(n->standby.cached, k);
	free(k->text);
	free(k);
}

/*
 * Each record is written only over what this process knows to stand there: a write of its own, or
 * of the process before it, that is carried out late must not take a newer one's place.
 */
static int write_digest(struct fl_node *n, int at, cJSON *digest)
{
	struct fl_digest_slot *d = &n->standby.digest[at];
	char key[FL_KEY_MAX];
	struct fl_kv_txn txn;
	uint64_t rev = 0;
	cJSON *v;
	int rc = 0;

	snprintf(key, sizeof(key), FL_PREFIX_HEARTBEAT_DIGESTS "%s/%d", n->config->node, at);
	if (!d->known) {
		rc = fl_kv_get(&n->kv_store, key, &v, &rev, NULL);
		cJSON_Delete(v);
		d->known = rc == 0 || rc == -ENOENT;
		d->rev = rc == 0 ? rev : 0;
	}
	if (!d->known) {
		cJSON_Delete(digest);
		return rc;
	}
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, key, d->rev);
	fl_kv_txn_put(&txn, key, digest, 0);
	rc = fl_kv_txn_commit(&n->kv_store, &txn, &rev, NULL);
	if (rc == 0)
		d->rev = rev;
	else if (rc != -EAGAIN)
		d->known = false;
	fl_debug("standby", "digest %d: %s", at, rc ? strerror(-rc) : "stored");
	return rc;
}

/* What fits into one record, of what no digest holds yet. NULL: nothing is left. */
static cJSON *fill_digest(struct fl_node *n, double since)
{
	size_t limit = (size_t)(n->config->value_kb * 1024 * tunables.record_use), used = 0;
	struct fl_cached_report *k, *tmp;
	cJSON *digest = NULL;

	HASH_ITER (hh, n->standby.cached, k, tmp) {
		size_t len = strlen(k->text) + 1;

		if (k->stored || k->at < since || len > limit)
			continue;
		if (used + len > limit)
			break;
		if (!digest)
			digest = fl_digest_begin(n->fencing_token);
		fl_digest_add(digest, k->text);
		used += len;
		k->stored = true;
		/* Last in turn from now on: where writes are short, each machine gets its share. */
		HASH_DEL(n->standby.cached, k);
		HASH_ADD_STR(n->standby.cached, host, k);
	}
	return digest;
}

/*
 * The leader must not take machines for dead that are renewed here and that it cannot hear. Their
 * reports travel through the state service, many to a record, within a share of its writes: the
 * leader's own records and the users' submissions need the rest.
 */
static void write_digests(struct fl_node *n, double since)
{
	for (int at = 0; at < FL_DIGESTS_MAX; at++) {
		cJSON *digest;

		if (fl_budget_take(&n->standby.writes, 1, fl_now()) > 0)
			return;
		digest = fill_digest(n, since);
		if (!digest || write_digest(n, at, digest) != 0)
			return;
	}
}

void fl_report_digest_init(struct fl_node *n, double interval_s)
{
	double rate = n->config->state_write_rps * tunables.write_share;

	fl_budget_init(&n->standby.writes, rate, rate * interval_s, fl_now());
}

void fl_report_digest_write(struct fl_node *n, double now, double interval_s)
{
	struct fl_cached_report *k, *tmp;

	HASH_ITER (hh, n->standby.cached, k, tmp)
		if (k->at < now - 5 * interval_s)
			uncache(n, k);
	if (!n->standby.cached || fl_election_lease_valid(n) || !n->leader_name[0] ||
	    fl_kv_is_unavailable(&n->kv_store))
		return;
	write_digests(n, now - 2 * interval_s);
}
