#include "storage/job_updates.h"

#include "transport/clock.h"
#include "transport/log.h"

void fl_cluster_list_begin(struct fl_cluster *b)
{
	struct fl_job *job, *tmp;

	HASH_ITER (hh, b->jobs, job, tmp)
		job->listed = false;
}

void fl_cluster_list_end(struct fl_cluster *b, uint64_t rev)
{
	struct fl_job *job, *tmp;

	/* One that was stored after the list was made is not in it and not over. */
	HASH_ITER (hh, b->jobs, job, tmp)
		if (!job->listed && job->rev <= rev && job->n_placed == 0)
			fl_job_drop(b, job);
}

bool fl_cluster_cancelled(struct fl_cluster *b, struct fl_job *job, const struct fl_job_record *rec,
                          uint64_t rev)
{
	job->rev = rev;
	job->unsure = false;
	if (!rec->final || job->cancelled)
		return false;
	job->cancelled = true;
	job->cancelled_at = fl_since(rec->cancelled);
	fl_finished_add(b, job->ref, FL_CANCELLED, job->n_tasks, job->cancelled_at);
	return true;
}

static struct fl_job *apply_live(struct fl_cluster *b, struct fl_job *job, const char *ref,
                                 const struct fl_job_record *rec, uint64_t rev)
{
	if (!job)
		job = fl_job_add(b, &rec->spec, rec->submitted, rev);
	if (!job)
		fl_error("jobs", "the record of %s names what is unknown here", ref);
	if (job && !b->leading)
		job->listed = true;
	return job;
}

static struct fl_job *apply_final(struct fl_cluster *b, struct fl_job *job, const char *ref,
                                  const struct fl_job_record *rec, uint64_t rev)
{
	/*
	 * A leader finalises when the tasks are gone. It must not take this for its own write:
	 * while it was still loading its cluster state, another may have led and cancelled, and
	 * what was passed over then was kept as live by this node for ever.
	 */
	if (job && b->leading) {
		fl_cluster_cancelled(b, job, rec, rev);
		return job;
	}
	if (job) {
		job->cancelled_at = fl_since(rec->cancelled);
		fl_job_finalise(b, job, rec->status);
	} else {
		fl_finished_add(b, ref, rec->status, rec->n_tasks, fl_since(rec->cancelled));
	}
	return NULL;
}

struct fl_job *fl_cluster_apply(struct fl_cluster *b, const char *ref, const cJSON *value,
                                uint64_t rev)
{
	struct fl_job *job = fl_job_find(b, ref);
	struct fl_job_record rec;

	/*
	 * A leader's marks are its takeover's alone: a watch that lists anew or lags meanwhile must
	 * neither keep what the takeover's list no longer holds nor hide what it does.
	 */
	if (job && !b->leading)
		job->listed = true;
	if (job && !value && !b->leading && rev > job->rev)
		fl_job_drop(b, job);
	if (!value || fl_finished_find(b, ref))
		return NULL;
	/*
	 * A watch may lag behind the list that a leader began with: what the list no longer held is
	 * over, and a late event of its submission must not make it live again.
	 */
	if (!job && b->leading && rev <= b->list_rev)
		return NULL;
	if (job && rev <= job->rev)
		return job;
	if (fl_job_record_decode(value, ref, &rec) != 0) {
		fl_error("jobs", "the record of %s cannot be read", ref);
		return NULL;
	}
	return rec.final ? apply_final(b, job, ref, &rec, rev) : apply_live(b, job, ref, &rec, rev);
}
