#include "coordination/job_lookup.h"

#include <errno.h>
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

void fl_job_lookups_init(struct fl_node *n)
{
	double rate = n->config->state_rps * tunables.share / (n->n_peers + 1);

	fl_budget_init(&n->poll_reads, rate, rate * tunables.burst_s, fl_now());
}

/*
 * Found with 580 jobs and no leader for a moment: each poll read the records, 185 a second against
 * the 70 requests that the state service takes. The new leader's own reads were refused, and it was
 * 14 s before it led. Beyond their share polls are told to come again, at once.
 */
bool fl_job_lookup_affords(struct fl_node *n, double requests)
{
	/* While one leads, the others pass their polls on to it, and ask nothing themselves. */
	if (fl_is_leader(n))
		requests /= n->n_peers + 1;
	return fl_budget_take(&n->poll_reads, requests, fl_now()) <= 0;
}

static struct fl_job_lookup *create(const char *ref)
{
	struct fl_job_lookup *q = calloc(1, sizeof(*q));

	if (q)
		fl_copy_string(q->ref, sizeof(q->ref), ref);
	return q;
}

static void release(struct fl_job_lookup *q, int held)
{
	q->users -= held;
	if (q->users > 0)
		return;
	cJSON_Delete(q->v);
	free(q);
}

/* From here on it is being asked: who comes later waits for the next. */
static void enter(struct fl_node *n, struct fl_job_lookup *q)
{
	HASH_ADD_STR(n->job_lookups, ref, q);
	q->users++;
}

/* The table's hold on it passes to the caller. */
static void read_records(struct fl_node *n, struct fl_job_lookup *q)
{
	q->rc = fl_job_lookup_affords(n, tunables.reads)
	                ? fl_records_read(&n->kv_store, q->ref, &q->rec, &q->v, &q->rev)
	                : -EAGAIN;
	/* It never changes again: who asks next is answered from memory. */
	if (!q->rc && q->rec.final && !q->v && q->rec.status == FL_DONE)
		fl_finished_add(&n->cluster, q->ref, FL_DONE, q->rec.n_tasks, 0);
	HASH_DEL(n->job_lookups, q);
	if (q->next)
		enter(n, q->next);
	q->over = true;
	fl_signal_wake(&q->done);
}

/*
 * The first of those that came after the sending reads for all of them. Returns how often the
 * caller holds `q` then.
 */
static int read_after(struct fl_node *n, struct fl_job_lookup *before, struct fl_job_lookup *q)
{
	int held = 1;

	before->next = q;
	before->users++;
	while (!before->over && fl_signal_wait(&before->done, tunables.patience_s) == 0)
		;
	if (before->over) {
		read_records(n, q);
		held++;
	} else {
		before->next = NULL;
		q->rc = -EAGAIN;
		q->over = true;
		fl_signal_wake(&q->done);
	}
	release(before, 1);
	return held;
}

int fl_job_lookup_read(struct fl_node *n, const char *ref, struct fl_job_record *rec, cJSON **v,
                       uint64_t *rev)
{
	struct fl_job_lookup *q, *sent;
	int rc, held = 1;

	*v = NULL;
	HASH_FIND_STR(n->job_lookups, ref, sent);
	q = sent && sent->next ? sent->next : create(ref);
	if (!q)
		return -ENOMEM;
	q->users++;
	if (!sent) {
		enter(n, q);
		read_records(n, q);
		held++;
	} else if (!sent->next) {
		held = read_after(n, sent, q);
	} else {
		while (!q->over && fl_signal_wait(&q->done, tunables.patience_s) == 0)
			;
	}
	rc = q->over ? q->rc : -EAGAIN;
	if (!rc) {
		*rec = q->rec;
		*rev = q->rev;
		*v = q->v ? cJSON_Duplicate(q->v, true) : NULL;
		if (q->v && !*v)
			rc = -ENOMEM;
	}
	release(q, held);
	return rc;
}
