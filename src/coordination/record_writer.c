#include "coordination/record_writer.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/command.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double retry_s, batch_bytes;
	int log_from;
	double record_use;
} tunables = {
	.retry_s = 0.2,       /* s after a refused write */
	.batch_bytes = 40000, /* bytes of records in one transaction, of 64 KiB */
	.log_from = 3,        /* records that launches wait for, from which on the log is used */
	.record_use = 0.85,   /* share of a value's limit that the log fills */
};

struct batch_item {
	struct fl_job *job;
	uint32_t chunk;
	uint64_t gen;
};

enum { BATCH_MAX = 128 };

/* A write of this record went unanswered or met another revision: read what stands. */
static int reread(struct fl_node *n, struct fl_job *job, uint32_t chunk)
{
	struct fl_chunk *c = job->chunks[chunk];
	char key[FL_KEY_MAX];
	uint64_t rev = 0;
	cJSON *v;
	int rc;

	fl_key_chunk(key, job->ref, chunk);
	rc = fl_state_get(&n->state, key, &v, &rev, NULL);
	cJSON_Delete(v);
	if (rc && rc != -ENOENT)
		return rc;
	c->rev = rc == -ENOENT ? 0 : rev;
	c->rev_unknown = false;
	return 0;
}

void fl_record_writer_heard(struct fl_node *n, struct fl_job *job, const struct fl_job_record *rec,
                            uint64_t rev)
{
	if (!fl_cluster_cancelled(&n->cluster, job, rec, rev))
		return;
	fl_command_stop_job(n, job);
	fl_info("jobs", "%s is cancelled, says its record", job->ref);
}

/*
 * A final write went unanswered: what do the records say? By ref, not by pointer: the job may be
 * gone when the answer comes. Only the writing routine may let go of it, so if it turns out to be
 * over it stays unsure, and `*over` is told.
 */
int fl_record_writer_reread_job(struct fl_node *n, const char *ref, bool *over,
                                enum fl_status *status)
{
	struct fl_job_record rec;
	struct fl_job *job;
	uint64_t rev = 0;
	cJSON *v = NULL;
	int rc = fl_records_read(&n->state, ref, &rec, &v, &rev);

	*over = rc == 0 && v == NULL;
	*status = rec.status;
	job = n->lead.active ? fl_job_find(&n->cluster, ref) : NULL;
	if (rc == 0 && v && job)
		fl_record_writer_heard(n, job, &rec, rev);
	cJSON_Delete(v);
	return rc;
}

static int await_budget(struct fl_node *n, double ops)
{
	double wait;

	while ((wait = fl_budget_take(&n->lead.writes, ops, fl_now())) > 0)
		if (fl_sleep(wait) != 0)
			return -ECANCELED;
	return 0;
}

static bool has_record(const struct fl_chunk *c) { return c && (c->rev != 0 || c->rev_unknown); }

/* Writes the final state and removes the progress records, all at once if they are few. */
static int finalise(struct fl_node *n, struct fl_job *job)
{
	enum fl_status status;
	struct fl_multi m;
	char key[FL_KEY_MAX], failed[FL_KEY_MAX];
	uint64_t rev;
	bool done = false;
	uint32_t rest = 0; /* the first chunk whose record does not go with this write */
	int rc;

	if (job->unsure && (rc = fl_record_writer_reread_job(n, job->ref, &done, &status)) != 0)
		return rc;
	if (done) {
		fl_info("jobs", "%s is %s", job->ref, fl_status_name(status));
		fl_job_finalise(&n->cluster, job, status);
		return 0;
	}
	if (!fl_job_is_over(job))
		return 0;
	status = job->cancelled ? FL_CANCELLED : FL_DONE;
	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	fl_key_job(key, job->ref);
	fl_multi_when(&m, key, job->rev);
	fl_multi_delete(&m, key);
	fl_key_finished(key, job->ref);
	fl_multi_put(&m, key, fl_job_record_final(status, job->n_tasks), 0);
	for (; rest < job->n_chunks && m.n_apply < n->config->txn_ops; rest++) {
		if (!has_record(fl_job_chunk(job, rest)))
			continue;
		fl_key_chunk(key, job->ref, rest);
		fl_multi_delete(&m, key);
	}
	rc = await_budget(n, m.n_apply);
	if (rc || !fl_leading(n)) {
		fl_multi_free(&m);
		return rc ? rc : -EAGAIN;
	}
	job->finishing = true;
	rc = fl_state_multi(&n->state, &m, &rev, failed);
	if (rc == 0) {
		for (; rest < job->n_chunks; rest++) {
			if (!has_record(fl_job_chunk(job, rest)))
				continue;
			fl_key_chunk(key, job->ref, rest);
			fl_record_writer_discard(n, key);
		}
		fl_info("jobs", "%s is %s", job->ref, fl_status_name(status));
		fl_job_finalise(&n->cluster, job, status);
		return 0;
	}
	job->finishing = false;
	job->unsure = rc != -EAGAIN;
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEAD) == 0)
		fl_lease_lost(n, "another leads");
	return rc;
}

/* Does something wait for this chunk to be durable? A launch does; what is over can wait. */
static bool urgent(const struct fl_chunk *c)
{
	uint64_t durable = c->saved_gen > c->logged_gen ? c->saved_gen : c->logged_gen;

	if (c->gen <= durable)
		return false;
	for (int i = 0; i < FL_CHUNK; i++)
		if (c->task[i].phase == FL_TASK_PLACED && c->task[i].gen > durable)
			return true;
	return false;
}

static int count_urgent(const struct fl_node *n)
{
	int count = 0;

	for (const struct fl_job *job = n->cluster.dirty; job; job = job->next_dirty)
		for (uint32_t i = 0; i < job->n_chunks; i++) {
			const struct fl_chunk *c = fl_job_chunk(job, i);

			count += c && urgent(c);
		}
	return count;
}

static int collect(struct fl_node *n, struct fl_multi *m, struct batch_item *items, int *count,
                   int most, bool only_urgent)
{
	struct fl_job *job, *next;
	char key[FL_KEY_MAX];

	*count = 0;
	for (job = n->cluster.dirty; job; job = next) {
		next = job->next_dirty;
		for (uint32_t i = 0; i < job->n_chunks; i++) {
			struct fl_chunk *c = fl_job_chunk(job, i);

			if (!c || c->gen <= c->saved_gen || (only_urgent && !urgent(c)))
				continue;
			if (*count >= most || *count >= n->config->txn_ops || *count >= BATCH_MAX ||
			    *count * n->config->value_kb * 1024 > tunables.batch_bytes)
				return 0;
			if (c->rev_unknown)
				return 1; /* must be read first; the caller does so */
			fl_key_chunk(key, job->ref, i);
			fl_multi_when(m, key, c->rev);
			fl_multi_put(m, key, fl_chunk_encode(&n->cluster, job, i), 0);
			items[(*count)++] = (struct batch_item){job, i, c->gen};
		}
	}
	return 0;
}

static int reread_unknown(struct fl_node *n)
{
	for (struct fl_job *job = n->cluster.dirty; job; job = job->next_dirty)
		for (uint32_t i = 0; i < job->n_chunks; i++) {
			const struct fl_chunk *c = fl_job_chunk(job, i);

			if (c && c->rev_unknown)
				return reread(n, job, i);
		}
	return 0;
}

static int write_batch(struct fl_node *n, int most, bool only_urgent)
{
	struct batch_item items[BATCH_MAX];
	char failed[FL_KEY_MAX];
	struct fl_multi m;
	uint64_t rev;
	int count, rc;

	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	rc = collect(n, &m, items, &count, most, only_urgent);
	if (rc || count == 0) {
		fl_multi_free(&m);
		return rc ? reread_unknown(n) : 0;
	}
	rc = await_budget(n, count);
	if (rc || !fl_leading(n)) {
		fl_multi_free(&m);
		return rc ? rc : -EAGAIN;
	}
	rc = fl_state_multi(&n->state, &m, &rev, failed);
	for (int i = 0; i < count; i++) {
		struct fl_chunk *c = items[i].job->chunks[items[i].chunk];

		if (rc == 0) {
			c->saved_gen = items[i].gen;
			c->rev = rev;
		} else if (rc != -EAGAIN) {
			c->rev_unknown = true;
		}
	}
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEAD) == 0)
		fl_lease_lost(n, "another leads");
	return rc;
}

/* ---- the write-ahead log ---- */

static void log_key(char key[FL_KEY_MAX], int at)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_LOG "%d", at);
}

/* Room for one item more; false without memory. */
static bool reserve_item(struct batch_item **items, int count, int *cap)
{
	int wanted = *cap ? 2 * *cap : 64;
	struct batch_item *p;

	if (count < *cap)
		return true;
	p = realloc(*items, (size_t)wanted * sizeof(*p));
	if (!p)
		return false;
	*items = p;
	*cap = wanted;
	return true;
}

/* Everything unsaved, in as few values as it fits into; how many, or -E2BIG. */
static int fill_log(struct fl_node *n, struct fl_multi *m, struct batch_item **items, int *count)
{
	size_t limit = (size_t)(n->config->value_kb * 1024 * tunables.record_use), used = 0;
	int most = n->config->txn_ops, values = 0, cap = 0;
	cJSON *value = NULL;
	char key[FL_KEY_MAX];

	if (most > tunables.batch_bytes / (double)limit)
		most = (int)(tunables.batch_bytes / (double)limit);
	for (struct fl_job *job = n->cluster.dirty; job; job = job->next_dirty)
		for (uint32_t i = 0; i < job->n_chunks; i++) {
			char *group = fl_log_group_encode(&n->cluster, job, i);
			size_t len = group ? strlen(group) + 1 : 0;

			if (!group)
				continue;
			if (value && used + len > limit) {
				log_key(key, values++);
				fl_multi_put(m, key, value, 0);
				value = NULL;
			}
			if (len > limit || (!value && values == most) ||
			    !reserve_item(items, *count, &cap)) {
				free(group);
				cJSON_Delete(value);
				return -E2BIG;
			}
			if (!value) {
				value = fl_log_value_begin();
				used = 0;
			}
			fl_log_value_add(value, group);
			used += len;
			free(group);
			(*items)[(*count)++] =
				(struct batch_item){job, i, fl_job_chunk(job, i)->gen};
		}
	if (value) {
		log_key(key, values++);
		fl_multi_put(m, key, value, 0);
	}
	return values;
}

/* Any write of the log replaces the one before it, so each is made over what surely stands. */
static int know_log(struct fl_node *n)
{
	uint64_t rev = 0;
	cJSON *v;
	int rc;

	if (n->lead.log_known)
		return 0;
	rc = fl_state_get(&n->state, FL_KEY_LOG, &v, &rev, NULL);
	cJSON_Delete(v);
	if (rc && rc != -ENOENT)
		return rc;
	n->lead.log_rev = rc == -ENOENT ? 0 : rev;
	n->lead.log_known = true;
	return 0;
}

/* -E2BIG: it does not fit, the records themselves must be written. */
static int write_log(struct fl_node *n)
{
	struct batch_item *items = NULL;
	char failed[FL_KEY_MAX] = "";
	struct fl_multi m;
	int count = 0, values, rc = know_log(n);
	uint64_t rev;

	if (rc)
		return rc;
	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	fl_multi_when(&m, FL_KEY_LOG, n->lead.log_rev);
	values = fill_log(n, &m, &items, &count);
	rc = values < 0 ? values : await_budget(n, values);
	if (rc || !fl_leading(n)) {
		fl_multi_free(&m);
		rc = rc ? rc : -EAGAIN;
		goto out;
	}
	rc = fl_state_multi(&n->state, &m, &rev, failed);
	fl_debug("record", "log of %d records in %d values: %s", count, values,
	         rc ? strerror(-rc) : "stored");
	if (rc == 0)
		n->lead.log_rev = rev;
	else if (rc != -EAGAIN)
		n->lead.log_known = false;
	/* Only this routine lets go of jobs: those it counted are still there. */
	for (int i = 0; i < count && rc == 0; i++)
		items[i].job->chunks[items[i].chunk]->logged_gen = items[i].gen;
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEAD) == 0)
		fl_lease_lost(n, "another leads");
out:
	free(items);
	return rc;
}

/* What launches wait for: a few records by themselves, many at once by the log. */
static int write_urgent(struct fl_node *n)
{
	int count = count_urgent(n), rc = -E2BIG;

	if (count == 0)
		return 0;
	if (count >= tunables.log_from)
		rc = write_log(n);
	return rc == -E2BIG ? write_batch(n, n->config->txn_ops, true) : rc;
}

/* The records follow as the budget allows, and leave room for what is urgent. */
static int write_rest(struct fl_node *n)
{
	double left = fl_budget_left(&n->lead.writes, fl_now());

	return left < 1 ? 0 : write_batch(n, (int)left, false);
}

static void undirty(struct fl_node *n)
{
	struct fl_job **at = &n->cluster.dirty;

	while (*at) {
		struct fl_job *job = *at;
		bool dirty = false;

		for (uint32_t i = 0; i < job->n_chunks && !dirty; i++) {
			const struct fl_chunk *c = fl_job_chunk(job, i);

			dirty = c && c->gen > c->saved_gen;
		}
		if (dirty || fl_job_is_over(job)) {
			at = &job->next_dirty;
		} else {
			*at = job->next_dirty;
			job->queued_dirty = false;
		}
	}
}

struct fl_pending_deletion {
	struct fl_pending_deletion *next;
	char key[FL_KEY_MAX];
};

void fl_record_writer_discard(struct fl_node *n, const char *key)
{
	struct fl_pending_deletion *t = malloc(sizeof(*t));

	if (!t)
		return; /* it costs a record's room, nothing else */
	fl_copy_string(t->key, sizeof(t->key), key);
	t->next = n->lead.pending_deletions;
	n->lead.pending_deletions = t;
}

void fl_record_writer_free_pending(struct fl_node *n)
{
	while (n->lead.pending_deletions) {
		struct fl_pending_deletion *t = n->lead.pending_deletions;

		n->lead.pending_deletions = t->next;
		free(t);
	}
}

static int delete_pending(struct fl_node *n)
{
	struct fl_pending_deletion *t = n->lead.pending_deletions;
	struct fl_multi m;
	uint64_t rev;
	int rc;

	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	for (; t && m.n_apply < n->config->txn_ops; t = t->next)
		fl_multi_delete(&m, t->key);
	rc = await_budget(n, m.n_apply);
	if (rc || !fl_leading(n)) {
		fl_multi_free(&m);
		return rc ? rc : -EAGAIN;
	}
	rc = fl_state_multi(&n->state, &m, &rev, NULL);
	while (rc == 0 && n->lead.pending_deletions != t) {
		struct fl_pending_deletion *gone = n->lead.pending_deletions;

		n->lead.pending_deletions = gone->next;
		free(gone);
	}
	return rc;
}

/* One that cannot be finished now must not hold up the others. */
static int finalise_one(struct fl_node *n)
{
	struct fl_job *job, *next;
	int rc = 0;

	for (job = n->cluster.dirty; job; job = next) {
		/* Only this routine takes jobs off the list, so the next one stays on it. */
		next = job->next_dirty;
		if (!fl_job_is_over(job))
			continue;
		rc = finalise(n, job);
		if (rc == 0 || rc == -ECANCELED || !fl_leading(n))
			return rc;
	}
	return rc;
}

static int write_all(struct fl_node *n)
{
	int rc = write_urgent(n), finished;

	if (rc)
		return rc;
	fl_command_push_placed(n);
	finished = finalise_one(n);
	rc = fl_leading(n) ? write_rest(n) : -EAGAIN;
	if (!rc)
		undirty(n);
	return rc ? rc : finished;
}

/* Nothing can be written before the budget allows, but something urgent may come up. */
static int pause_for(struct fl_node *n)
{
	double left = fl_budget_left(&n->lead.writes, fl_now());

	if (!n->cluster.dirty || left >= 1)
		return 0;
	return fl_signal_wait(&n->lead.dirty, (1 - left) / n->lead.writes.rate) == -ECANCELED ? -1
	                                                                                      : 0;
}

void fl_record_writer_duty(void *arg)
{
	struct fl_node *n = arg;

	while (!fl_cancelled()) {
		if (!fl_leading(n) || !n->cluster.dirty) {
			if (fl_leading(n) && n->lead.pending_deletions)
				delete_pending(n);
			if (fl_signal_wait(&n->lead.dirty, 0.5) == -ECANCELED)
				break;
			continue;
		}
		if (write_all(n) != 0 ? fl_sleep(tunables.retry_s) != 0 : pause_for(n) != 0)
			break;
	}
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
}
