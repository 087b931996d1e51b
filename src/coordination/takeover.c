#include "coordination/takeover.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/record_writer.h"
#include "transport/clock.h"
#include "transport/log.h"

struct load {
	struct fl_node *n;
	double now;
	int chunks, orphans, bad;
	struct fl_log log;
};

static void load_job(void *ctx, const struct fl_kv_event *event)
{
	struct load *l = ctx;
	struct fl_cluster *b = &l->n->cluster;
	const char *ref = event->key + strlen(FL_PREFIX_JOBS);
	struct fl_job_record rec;
	struct fl_job *job;

	if (strlen(ref) >= FL_REF_MAX || !event->value ||
	    fl_job_record_decode(event->value, ref, &rec) != 0) {
		fl_error("takeover", "%s: cannot be read", event->key);
		l->bad++;
		return;
	}
	if (rec.has_spec) {
		job = fl_job_add(b, &rec.spec, rec.submitted, event->mod_revision);
		if (!job) {
			/* Its progress would pass for left behind, and be deleted. */
			fl_error("takeover", "%s: names what is unknown here", event->key);
			l->bad++;
			return;
		}
		job->rev = event->mod_revision;
		job->listed = true;
	}
	if (!rec.final)
		return;
	/* A cancelled job whose tasks may still be about stays, to be stopped and counted. */
	if (rec.has_spec) {
		job->cancelled = true;
		/* Each new leader counting anew, one that leads briefly stops nothing. */
		job->cancelled_at = fl_since(rec.cancelled);
	}
	fl_finished_add(b, ref, rec.status, rec.n_tasks, fl_since(rec.cancelled));
}

static void load_chunk(void *ctx, const struct fl_kv_event *event)
{
	struct load *l = ctx;
	char ref[FL_REF_MAX];
	uint32_t chunk;
	struct fl_job *job;

	if (fl_key_chunk_parse(event->key, ref, &chunk) != 0) {
		l->bad++;
		return;
	}
	job = fl_job_find(&l->n->cluster, ref);
	if (!job) {
		/* Left behind by a final write that had more to delete than fits in one. */
		l->orphans++;
		fl_record_writer_discard(l->n, event->key);
		return;
	}
	if (fl_chunk_restore(&l->n->cluster, job, chunk, event->value, event->mod_revision, &l->log,
	                     l->now) != 0) {
		fl_error("takeover", "%s: cannot be read", event->key);
		l->bad++;
	}
	l->chunks++;
}

static void load_log(void *ctx, const struct fl_kv_event *event)
{
	struct load *l = ctx;

	if (fl_log_read(&l->log, event->value) != 0) {
		fl_error("takeover", "%s: cannot be read", event->key);
		l->bad++;
	}
	if (strcmp(event->key, FL_KEY_WAL) == 0)
		l->n->lead.log_rev = event->mod_revision;
}

/* Chunks that only the log tells of: their records were still to be made. */
static void load_rest_of_log(struct load *l)
{
	struct fl_cluster *b = &l->n->cluster;

	for (int i = 0; i < l->log.n; i++) {
		const struct fl_log_group *g = &l->log.at[i];
		struct fl_job *job = fl_job_find(b, g->ref);

		/* No such job: it is over, and older writes of the log may stand for ever. */
		if (g->taken || !job)
			continue;
		if (fl_chunk_restore(b, job, g->chunk, NULL, 0, &l->log, l->now) != 0) {
			fl_error("takeover", "the log's %s/%u: cannot be read", g->ref, g->chunk);
			l->bad++;
		}
	}
}

int fl_takeover_load(struct fl_node *n)
{
	struct load l = {.n = n, .now = fl_now()};
	struct fl_job *job, *tmp;
	uint64_t rev;
	int rc, jobs = 0;
	double sent = fl_now();

	fl_cluster_forget_tasks(&n->cluster);
	n->cluster.leading = true;
	fl_cluster_list_begin(&n->cluster);
	rc = fl_kv_list(&n->kv_store, FL_PREFIX_JOBS, load_job, &l, &rev);
	if (!rc) {
		fl_cluster_list_end(&n->cluster, rev);
		n->cluster.list_rev = rev;
		n->cancellations_known_until = fmax(n->cancellations_known_until, sent);
		rc = fl_kv_list(&n->kv_store, FL_PREFIX_WAL, load_log, &l, &rev);
	}
	if (!rc && !n->lease.held)
		rc = -EAGAIN; /* lost meanwhile: the rest is no use, and half a state must not be
		                 used */
	if (!rc)
		rc = fl_kv_list(&n->kv_store, FL_PREFIX_PROGRESS, load_chunk, &l, &rev);
	if (!rc)
		load_rest_of_log(&l);
	n->lead.log_known = rc == 0;
	fl_log_free(&l.log);
	if (rc)
		return rc;
	if (l.bad) {
		/* Something may be on a machine that could not be read: nothing may be decided. */
		fl_error("takeover", "%d records cannot be read", l.bad);
		return -EPROTO;
	}
	HASH_ITER (hh, n->cluster.jobs, job, tmp) {
		jobs++;
		/*
		 * Found when all controllers ended again and again: the leader before had recorded
		 * the last task as done and not yet the job. No task of it changes any more, so
		 * nothing else would ever have it finished.
		 */
		if (fl_job_is_over(job))
			fl_job_mark_dirty(&n->cluster, job);
	}
	fl_info("takeover", "%d jobs, %d progress records, %d left over; took %.2f s", jobs,
	        l.chunks, l.orphans, fl_now() - l.now);
	return 0;
}
