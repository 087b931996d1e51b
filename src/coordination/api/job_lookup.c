#include "coordination/api/job_lookup.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/text.h"

static const struct {
	double share, burst_s, reads, patience_s;
} tunables = {
	.share = 0.4,   /* of the state service's requests, for the polls of all controllers */
	.burst_s = 2.0, /* s of that share that may be asked at once */
	.reads = 2,     /* requests of one look at the records: the live one, then the final one */
	.patience_s = 1.8, /* s that a question waits for another's read; users wait 2 s */
};

void fl_job_lookups_init(struct fl_node *node)
{
	double rate = node->config->state_rps * tunables.share / (node->peer_count + 1);

	fl_token_bucket_init(&node->api.read_budget, rate, rate * tunables.burst_s, fl_now());
}

/*
 * Found with 580 jobs and no leader for a moment: each poll read the records, 185 a second against
 * the 70 requests that the state service takes. The new leader's own reads were refused, and it was
 * 14 s before it led. Beyond their share polls are told to come again, at once.
 */
bool fl_job_lookup_within_budget(struct fl_node *node, double requests)
{
	/* While one leads, the others pass their polls on to it, and ask nothing themselves. */
	if (fl_is_leader(node))
		requests /= node->peer_count + 1;
	return fl_token_bucket_take(&node->api.read_budget, requests, fl_now()) <= 0;
}

static struct fl_job_lookup *create(const char *ref)
{
	struct fl_job_lookup *lookup = calloc(1, sizeof(*lookup));

	if (lookup)
		fl_copy_string(lookup->ref, sizeof(lookup->ref), ref);
	return lookup;
}

static void release(struct fl_job_lookup *lookup, int held)
{
	lookup->holder_count -= held;
	if (lookup->holder_count > 0)
		return;
	cJSON_Delete(lookup->value);
	free(lookup);
}

/* From here on it is being asked: who comes later waits for the next. */
static void enter(struct fl_node *node, struct fl_job_lookup *lookup)
{
	HASH_ADD_STR(node->api.job_lookups, ref, lookup);
	lookup->holder_count++;
}

/* The table's hold on it passes to the caller. */
static void read_records(struct fl_node *node, struct fl_job_lookup *lookup)
{
	lookup->result = FL_RECORD_UNAVAILABLE;
	if (fl_job_lookup_within_budget(node, tunables.reads))
		lookup->result = fl_job_record_read(&node->kv_store, lookup->ref, &lookup->record,
		                                    &lookup->value, &lookup->mod_revision);
	/* It never changes again: who asks next is answered from memory. */
	if (lookup->result == FL_RECORD_FOUND && lookup->record.final && !lookup->value &&
	    lookup->record.status == FL_DONE)
		fl_finished_job_add(&node->cluster, lookup->ref, FL_DONE, lookup->record.task_count,
		                    0);
	HASH_DEL(node->api.job_lookups, lookup);
	if (lookup->next)
		enter(node, lookup->next);
	lookup->done = true;
	fl_condition_broadcast(&lookup->completed);
}

/*
 * The first of those that came after the sending reads for all of them. Returns how often the
 * caller holds `lookup` then.
 */
static int read_after(struct fl_node *node, struct fl_job_lookup *before,
                      struct fl_job_lookup *lookup)
{
	int held = 1;

	before->next = lookup;
	before->holder_count++;
	while (!before->done && fl_condition_wait(&before->completed, tunables.patience_s) == 0)
		;
	if (before->done) {
		read_records(node, lookup);
		held++;
	} else {
		before->next = NULL;
		lookup->result = FL_RECORD_UNAVAILABLE;
		lookup->done = true;
		fl_condition_broadcast(&lookup->completed);
	}
	release(before, 1);
	return held;
}

enum fl_record_result fl_job_lookup_read(struct fl_node *node, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision)
{
	struct fl_job_lookup *lookup, *sent;
	enum fl_record_result result;
	int held = 1;

	*value = NULL;
	HASH_FIND_STR(node->api.job_lookups, ref, sent);
	lookup = sent && sent->next ? sent->next : create(ref);
	if (!lookup)
		return FL_RECORD_UNAVAILABLE;
	lookup->holder_count++;
	if (!sent) {
		enter(node, lookup);
		read_records(node, lookup);
		held++;
	} else if (!sent->next) {
		held = read_after(node, sent, lookup);
	} else {
		while (!lookup->done &&
		       fl_condition_wait(&lookup->completed, tunables.patience_s) == 0)
			;
	}
	result = lookup->done ? lookup->result : FL_RECORD_UNAVAILABLE;
	if (result == FL_RECORD_FOUND) {
		*record = lookup->record;
		*revision = lookup->mod_revision;
		*value = lookup->value ? cJSON_Duplicate(lookup->value, true) : NULL;
		if (lookup->value && !*value)
			result = FL_RECORD_UNAVAILABLE;
	}
	release(lookup, held);
	return result;
}
