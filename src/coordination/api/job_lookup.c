#include "coordination/api/job_lookup.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "storage/job_records.h"
#include "storage/token_bucket.h"
#include "transport/clock.h"
#include "transport/text.h"

static const struct {
	double kv_request_share, burst_s, reads_per_lookup, wait_timeout_s;
} tunables = {
	.kv_request_share = 0.4, /* of the store's request rate, for status queries of all nodes */
	.burst_s = 2.0,          /* seconds of that rate that may be used at once */
	.reads_per_lookup = 2,   /* the live record, then the final one */
	.wait_timeout_s = 1.8,   /* for another request's read; users wait 2 s */
};

void fl_job_lookups_init(struct fl_node *node)
{
	double rate = node->config->state_rps * tunables.kv_request_share / (node->peer_count + 1);

	fl_token_bucket_init(&node->api.record_read_budget, rate, rate * tunables.burst_s,
	                     fl_now());
}

/*
 * Beyond their share, status queries get 503 at once. Without this limit, when there was no leader
 * for a moment, the status queries for 580 jobs read records at a rate of 185 a second, while the
 * key-value store takes 70 requests a second: it refused the new leader's own reads, and the
 * failover took 14 s.
 */
bool fl_job_lookup_take_budget(struct fl_node *node, double request_count)
{
	/* The leader may use the whole share: the other nodes forward their queries to it. */
	if (fl_is_leader(node))
		request_count /= node->peer_count + 1;
	return fl_token_bucket_take(&node->api.record_read_budget, request_count, fl_now()) <= 0;
}

static struct fl_job_lookup *create_lookup(const char *ref)
{
	struct fl_job_lookup *lookup = calloc(1, sizeof(*lookup));

	if (lookup)
		fl_copy_string(lookup->ref, sizeof(lookup->ref), ref);
	return lookup;
}

static void release_lookup(struct fl_job_lookup *lookup)
{
	if (--lookup->holder_count > 0)
		return;
	cJSON_Delete(lookup->value);
	free(lookup);
}

/*
 * Adds a lookup to the table when its read begins: requests that arrive later wait for the next
 * lookup. The reading coroutine holds the lookup and removes it from the table itself.
 */
static void add_lookup(struct fl_node *node, struct fl_job_lookup *lookup)
{
	HASH_ADD_STR(node->api.job_lookups, ref, lookup);
}

static void complete_lookup(struct fl_job_lookup *lookup)
{
	lookup->done = true;
	fl_condition_broadcast(&lookup->completed);
}

/* Waits until the lookup is done; returns false if that timed out or was cancelled. */
static bool await_lookup(struct fl_job_lookup *lookup)
{
	while (!lookup->done && fl_condition_wait(&lookup->completed, tunables.wait_timeout_s) == 0)
		;
	return lookup->done;
}

/* A done job never changes again, so later queries for it are answered from memory. */
static void cache_done_job(struct fl_node *node, const struct fl_job_lookup *lookup)
{
	if (lookup->result == FL_RECORD_FOUND && lookup->record.final && !lookup->value &&
	    lookup->record.status == FL_DONE)
		fl_finished_job_add(&node->cluster, lookup->ref, FL_DONE, lookup->record.task_count,
		                    0);
}

/* Reads the records for all holders of `lookup`, and removes it from the table. */
static void read_records(struct fl_node *node, struct fl_job_lookup *lookup)
{
	lookup->result = FL_RECORD_UNAVAILABLE;
	if (fl_job_lookup_take_budget(node, tunables.reads_per_lookup))
		lookup->result = fl_job_record_read(&node->kv_store, lookup->ref, &lookup->record,
		                                    &lookup->value, &lookup->mod_revision);
	cache_done_job(node, lookup);
	HASH_DEL(node->api.job_lookups, lookup);
	if (lookup->next)
		add_lookup(node, lookup->next);
	complete_lookup(lookup);
}

/* Waits for the previous read, then reads for all requests that arrived since it was sent. */
static void read_after_previous(struct fl_node *node, struct fl_job_lookup *previous,
                                struct fl_job_lookup *lookup)
{
	previous->next = lookup;
	previous->holder_count++;
	if (await_lookup(previous)) {
		read_records(node, lookup);
	} else {
		previous->next = NULL;
		lookup->result = FL_RECORD_UNAVAILABLE;
		complete_lookup(lookup);
	}
	release_lookup(previous);
}

/* Copies the lookup's result for one of its holders. */
static enum fl_record_result copy_result(const struct fl_job_lookup *lookup,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision)
{
	if (!lookup->done)
		return FL_RECORD_UNAVAILABLE;
	if (lookup->result != FL_RECORD_FOUND)
		return lookup->result;
	*record = lookup->record;
	*revision = lookup->mod_revision;
	*value = lookup->value ? cJSON_Duplicate(lookup->value, true) : NULL;
	return lookup->value && !*value ? FL_RECORD_UNAVAILABLE : FL_RECORD_FOUND;
}

enum fl_record_result fl_job_lookup_read(struct fl_node *node, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision)
{
	struct fl_job_lookup *lookup, *current;
	enum fl_record_result result;

	*value = NULL;
	HASH_FIND_STR(node->api.job_lookups, ref, current);
	lookup = current && current->next ? current->next : create_lookup(ref);
	if (!lookup)
		return FL_RECORD_UNAVAILABLE;
	lookup->holder_count++;
	if (!current) {
		add_lookup(node, lookup);
		read_records(node, lookup);
	} else if (!current->next) {
		read_after_previous(node, current, lookup);
	} else {
		await_lookup(lookup);
	}
	result = copy_result(lookup, record, value, revision);
	release_lookup(lookup);
	return result;
}
