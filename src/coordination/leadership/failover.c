#include "coordination/leadership/failover.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/persistence/pending_deletions.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "storage/keys.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "transport/clock.h"
#include "transport/log.h"

/* A failover in progress, and the records that it has counted so far. */
struct failover {
	struct fl_cluster *cluster;      /* the state being restored */
	struct fl_record_writer *writer; /* receives the log's revision and pending deletions */
	double started_at;               /* monotonic clock, s */
	struct fl_wal wal;
	struct fl_block_merge merge; /* the block whose records are being read; no job: none */
	int progress_record_count, orphan_record_count, unreadable_record_count;
};

static void report_unreadable_record(struct failover *failover, const char *key)
{
	fl_error("failover",
	         "record unreadable; scheduling is suspended until it is repaired key=%s", key);
	failover->unreadable_record_count++;
}

/* Adds a live job from its record; returns NULL if the record cannot be used. */
static struct fl_job *restore_live_job(struct failover *failover,
                                       const struct fl_job_record *record,
                                       const struct fl_kv_event *event)
{
	struct fl_job *job = fl_job_add(failover->cluster, &record->spec, record->submitted_wall,
	                                event->mod_revision);

	if (!job) {
		/* Without the job, its progress records would be deleted as orphans. */
		fl_error("failover",
		         "job not restored: unknown team or zone, or out of memory; scheduling is "
		         "suspended key=%s",
		         event->key);
		failover->unreadable_record_count++;
		return NULL;
	}
	job->record.mod_revision = event->mod_revision;
	job->record.seen_in_list = true;
	return job;
}

static void load_job_record(void *context, const struct fl_kv_event *event)
{
	struct failover *failover = context;
	const char *ref = event->key + strlen(FL_PREFIX_JOBS);
	struct fl_job_record record;
	struct fl_job *job = NULL;

	if (strlen(ref) >= FL_REF_MAX || !event->value ||
	    fl_job_record_decode(event->value, ref, &record) != FL_DECODE_OK) {
		report_unreadable_record(failover, event->key);
		return;
	}
	if (record.has_spec) {
		job = restore_live_job(failover, &record, event);
		if (!job)
			return;
	}
	if (!record.final)
		return;
	/* A cancelled job is kept while its tasks may run: they must be stopped and counted. */
	if (job) {
		job->cancelled = true;
		/* If each failover restarted the deadline, it might never be enforced. */
		job->cancelled_at = fl_monotonic_from_wall(record.cancelled_wall);
	}
	fl_finished_job_add(failover->cluster, ref, record.status, record.task_count,
	                    fl_monotonic_from_wall(record.cancelled_wall));
}

/* Restores the block whose records have all been read, if any. */
static void restore_merged_block(struct failover *failover)
{
	struct fl_block_merge *merge = &failover->merge;
	char key[FL_KEY_MAX];

	if (!merge->job)
		return;
	if (fl_block_merge_restore(merge, failover->cluster, &failover->wal,
	                           failover->started_at) != FL_DECODE_OK) {
		fl_key_progress(key, merge->job->ref, merge->block_index, 0);
		report_unreadable_record(failover, key);
	}
	merge->job = NULL;
}

/* Adds a record of a job's block; the records of a block come one after the other. */
static void merge_progress_record(struct failover *failover, struct fl_job *job,
                                  const struct fl_progress_key *progress_key,
                                  const struct fl_kv_event *event)
{
	struct fl_block_merge *merge = &failover->merge;

	if (merge->job != job || merge->block_index != progress_key->block_index) {
		restore_merged_block(failover);
		fl_block_merge_begin(merge, job, progress_key->block_index);
	}
	if (fl_block_merge_record(merge, progress_key->part_index, event->value,
	                          event->mod_revision) != FL_DECODE_OK)
		report_unreadable_record(failover, event->key);
	failover->progress_record_count++;
}

static void load_progress_record(void *context, const struct fl_kv_event *event)
{
	struct failover *failover = context;
	struct fl_progress_key progress_key;
	struct fl_job *job;

	if (fl_key_progress_parse(event->key, &progress_key) != FL_DECODE_OK) {
		report_unreadable_record(failover, event->key);
		return;
	}
	job = fl_job_find(failover->cluster, progress_key.ref);
	if (!job) {
		/* An orphan: a final write had more deletions than fit in one transaction. */
		failover->orphan_record_count++;
		fl_pending_deletions_add(&failover->writer->pending_deletions, event->key);
		return;
	}
	merge_progress_record(failover, job, &progress_key, event);
}

static void load_wal_value(void *context, const struct fl_kv_event *event)
{
	struct failover *failover = context;

	if (fl_wal_read_value(&failover->wal, event->value) != FL_DECODE_OK)
		report_unreadable_record(failover, event->key);
	if (strcmp(event->key, FL_KEY_WAL_FIRST_VALUE) == 0)
		failover->writer->wal_mod_revision = event->mod_revision;
}

/* Restores blocks held only by the write-ahead log: their records were not written yet. */
static void restore_wal_only_blocks(struct failover *failover)
{
	const struct fl_task_block_source source = {.wal = &failover->wal};

	for (int i = 0; i < failover->wal.group_count; i++) {
		const struct fl_wal_group *group = &failover->wal.groups[i];
		struct fl_job *job = fl_job_find(failover->cluster, group->ref);

		/* A missing job has finished: old values of the log may stay indefinitely. */
		if (group->restored || !job)
			continue;
		if (fl_task_block_restore(failover->cluster, job, group->block_index, &source,
		                          failover->started_at) != FL_DECODE_OK) {
			fl_error("failover",
			         "write-ahead log entry unreadable; scheduling is suspended until "
			         "it is repaired job=%s block=%u",
			         group->ref, group->block_index);
			failover->unreadable_record_count++;
		}
	}
}

/* Reads all live records, in the order in which they depend on each other. */
static enum fl_failover_result load_records(struct fl_node *node, struct failover *failover)
{
	struct fl_kv_store *store = &node->kv_store;
	double sent_at = fl_now();
	uint64_t revision;

	fl_cluster_begin_job_list(&node->cluster);
	if (fl_kv_list(store, FL_PREFIX_JOBS, load_job_record, failover, &revision) != FL_KV_OK)
		return FL_FAILOVER_STORE_FAILED;
	fl_cluster_end_job_list(&node->cluster, revision);
	node->cluster.job_list_revision = revision;
	node->cancellation_watermark = fmax(node->cancellation_watermark, sent_at);
	if (fl_kv_list(store, FL_PREFIX_WAL, load_wal_value, failover, &revision) != FL_KV_OK)
		return FL_FAILOVER_STORE_FAILED;
	/* Without the lease the state must not be used, so the remaining reads are skipped. */
	if (!node->leader_lease.held)
		return FL_FAILOVER_LEASE_LOST;
	if (fl_kv_list(store, FL_PREFIX_PROGRESS, load_progress_record, failover, &revision) !=
	    FL_KV_OK)
		return FL_FAILOVER_STORE_FAILED;
	restore_merged_block(failover);
	restore_wal_only_blocks(failover);
	return FL_FAILOVER_LOADED;
}

/*
 * Marks finished jobs as dirty, so that their final records are written. Guards against jobs that
 * never finish: when the previous leader ends after it has recorded the last task as done but
 * before it has written the final record, no later task change marks the job.
 */
static void mark_finished_jobs(struct fl_cluster *cluster)
{
	struct fl_job *job, *next;

	HASH_ITER (hh, cluster->jobs, job, next)
		if (fl_job_is_finished(job))
			fl_job_mark_dirty(cluster, job);
}

enum fl_failover_result fl_failover_load_cluster(struct fl_node *node)
{
	struct failover failover = {
		.cluster = &node->cluster, .writer = &node->record_writer, .started_at = fl_now()};
	enum fl_failover_result result;

	fl_cluster_free_leader_state(&node->cluster);
	node->cluster.has_leader_state = true;
	result = load_records(node, &failover);
	node->record_writer.wal_revision_known = result == FL_FAILOVER_LOADED;
	fl_wal_free(&failover.wal);
	if (result != FL_FAILOVER_LOADED)
		return result;
	if (failover.unreadable_record_count > 0) {
		/* A task may run on a machine whose record is unreadable: no decision is safe. */
		fl_error("failover",
		         "failover failed; retried until all records are readable "
		         "unreadable_records=%d",
		         failover.unreadable_record_count);
		return FL_FAILOVER_UNREADABLE_RECORD;
	}
	mark_finished_jobs(&node->cluster);
	fl_info("failover",
	        "cluster state loaded jobs=%u progress_records=%d orphan_records=%d took_s=%.2f",
	        HASH_COUNT(node->cluster.jobs), failover.progress_record_count,
	        failover.orphan_record_count, fl_now() - failover.started_at);
	return FL_FAILOVER_LOADED;
}
