#include "storage/job_updates.h"

#include "transport/clock.h"
#include "transport/log.h"

void fl_cluster_begin_job_list(struct fl_cluster *cluster)
{
	struct fl_job *job, *next;

	HASH_ITER (hh, cluster->jobs, job, next)
		job->record.seen_in_list = false;
}

void fl_cluster_end_job_list(struct fl_cluster *cluster, uint64_t revision)
{
	struct fl_job *job, *next;

	/* A job stored after the list's revision is not in the list, but is not finished either. */
	HASH_ITER (hh, cluster->jobs, job, next)
		if (!job->record.seen_in_list && job->record.mod_revision <= revision &&
		    job->counts.placed == 0)
			fl_job_drop(cluster, job);
}

bool fl_cluster_update_live_job(struct fl_cluster *cluster, struct fl_job *job,
                                const struct fl_job_record *record, uint64_t revision)
{
	/* Writes that expect the older revision can no longer be executed. */
	if (revision > job->record.mod_revision) {
		job->record.mod_revision = revision;
		job->record.unresolved_writes = 0;
	}
	if (!record->final || job->cancelled)
		return false;
	job->cancelled = true;
	job->cancelled_at = fl_monotonic_from_wall(record->cancelled_wall);
	fl_finished_job_add(cluster, job->ref, FL_CANCELLED, job->task_count, job->cancelled_at);
	return true;
}

static struct fl_job *apply_live_record(struct fl_cluster *cluster, struct fl_job *job,
                                        const char *ref, const struct fl_job_record *record,
                                        uint64_t revision)
{
	if (!job)
		job = fl_job_add(cluster, &record->spec, record->submitted_wall, revision);
	if (!job)
		fl_error("jobs",
		         "job record ignored: unknown team or zone, or out of memory job=%s", ref);
	if (job && !cluster->has_leader_state)
		job->record.seen_in_list = true;
	return job;
}

static struct fl_job *apply_final_record(struct fl_cluster *cluster, struct fl_job *job,
                                         const char *ref, const struct fl_job_record *record,
                                         uint64_t revision)
{
	/*
	 * A leader finalises a job when its tasks have stopped. It must not mistake this record for
	 * its own write: while it was still loading its cluster state, another node may have been
	 * the leader and cancelled the job. If the record were ignored, the job would stay live on
	 * this node indefinitely.
	 */
	if (job && cluster->has_leader_state) {
		fl_cluster_update_live_job(cluster, job, record, revision);
		return job;
	}
	if (job) {
		job->cancelled_at = fl_monotonic_from_wall(record->cancelled_wall);
		fl_job_finalise(cluster, job, record->status);
	} else {
		fl_finished_job_add(cluster, ref, record->status, record->task_count,
		                    fl_monotonic_from_wall(record->cancelled_wall));
	}
	return NULL;
}

struct fl_job *fl_cluster_apply_job_record(struct fl_cluster *cluster, const char *ref,
                                           const cJSON *value, uint64_t revision)
{
	struct fl_job *job = fl_job_find(cluster, ref);
	struct fl_job_record record;

	/*
	 * On a leader, only the failover sets `seen_in_list`: a watch that lists again or lags
	 * meanwhile must neither keep a job that the failover's list lacks nor drop a job that this
	 * list contains.
	 */
	if (job && !cluster->has_leader_state)
		job->record.seen_in_list = true;
	if (job && !value && !cluster->has_leader_state && revision > job->record.mod_revision)
		fl_job_drop(cluster, job);
	if (!value || fl_finished_job_find(cluster, ref))
		return NULL;
	/*
	 * A watch may lag behind the job list that the failover read. A job that was no longer in
	 * this list is finished, and a late event of its submission must not make it live again.
	 */
	if (!job && cluster->has_leader_state && revision <= cluster->job_list_revision)
		return NULL;
	if (job && revision <= job->record.mod_revision)
		return job;
	if (fl_job_record_decode(value, ref, &record) != FL_DECODE_OK) {
		fl_error("jobs", "job record unreadable; ignored job=%s", ref);
		return NULL;
	}
	return record.final ? apply_final_record(cluster, job, ref, &record, revision)
	                    : apply_live_record(cluster, job, ref, &record, revision);
}
