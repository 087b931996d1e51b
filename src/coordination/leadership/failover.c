#include "coordination/leadership/failover.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/persistence/pending_deletions.h"
#include "transport/clock.h"
#include "transport/log.h"

/* A failover under way, and what it has met so far. */
struct load {
	struct fl_node *node;
	double now;
	int progress_record_count, orphan_record_count, unreadable_record_count;
	struct fl_wal wal;
};

static void load_job(void *context, const struct fl_kv_event *event)
{
	struct load *load = context;
	struct fl_cluster *cluster = &load->node->cluster;
	const char *ref = event->key + strlen(FL_PREFIX_JOBS);
	struct fl_job_record record;
	struct fl_job *job;

	if (strlen(ref) >= FL_REF_MAX || !event->value ||
	    fl_job_record_decode(event->value, ref, &record) != FL_DECODE_OK) {
		fl_error("failover", "unreadable record: %s", event->key);
		load->unreadable_record_count++;
		return;
	}
	if (record.has_spec) {
		job = fl_job_add(cluster, &record.spec, record.submitted_wall, event->mod_revision);
		if (!job) {
			/* Its progress would pass for left behind, and be deleted. */
			fl_error("failover", "record names an unknown team or zone: %s",
			         event->key);
			load->unreadable_record_count++;
			return;
		}
		job->record.mod_revision = event->mod_revision;
		job->record.listed = true;
	}
	if (!record.final)
		return;
	/* A cancelled job whose tasks may still be about stays, to be stopped and counted. */
	if (record.has_spec) {
		job->cancelled = true;
		/* Each new leader counting anew, one that leads briefly stops nothing. */
		job->cancelled_at = fl_since(record.cancelled_wall);
	}
	fl_finished_job_add(cluster, ref, record.status, record.task_count,
	                    fl_since(record.cancelled_wall));
}

static void load_progress_record(void *context, const struct fl_kv_event *event)
{
	struct load *load = context;
	char ref[FL_REF_MAX];
	uint32_t block_index;
	struct fl_job *job;

	if (fl_key_progress_parse(event->key, ref, &block_index) != FL_DECODE_OK) {
		load->unreadable_record_count++;
		return;
	}
	job = fl_job_find(&load->node->cluster, ref);
	if (!job) {
		/* Left behind by a final write that had more to delete than fits in one. */
		load->orphan_record_count++;
		fl_pending_deletions_add(&load->node->record_writer.pending_deletions, event->key);
		return;
	}
	if (fl_task_block_restore(&load->node->cluster, job, block_index, event->value,
	                          event->mod_revision, &load->wal, load->now) != FL_DECODE_OK) {
		fl_error("failover", "unreadable record: %s", event->key);
		load->unreadable_record_count++;
	}
	load->progress_record_count++;
}

static void load_wal_value(void *context, const struct fl_kv_event *event)
{
	struct load *load = context;

	if (fl_wal_read(&load->wal, event->value) != FL_DECODE_OK) {
		fl_error("failover", "unreadable record: %s", event->key);
		load->unreadable_record_count++;
	}
	if (strcmp(event->key, FL_KEY_WAL) == 0)
		load->node->record_writer.wal_mod_revision = event->mod_revision;
}

/* Blocks that only the write-ahead log holds: their records were still to be made. */
static void restore_wal_only_blocks(struct load *load)
{
	struct fl_cluster *cluster = &load->node->cluster;

	for (int i = 0; i < load->wal.group_count; i++) {
		const struct fl_wal_group *group = &load->wal.groups[i];
		struct fl_job *job = fl_job_find(cluster, group->ref);

		/* No such job: it is over, and older writes of the log may stand for ever. */
		if (group->restored || !job)
			continue;
		if (fl_task_block_restore(cluster, job, group->block_index, NULL, 0, &load->wal,
		                          load->now) != FL_DECODE_OK) {
			fl_error("failover", "unreadable write-ahead log: job=%s block=%u",
			         group->ref, group->block_index);
			load->unreadable_record_count++;
		}
	}
}

/* Reads all records that are live, in the order in which they depend on each other. */
static enum fl_failover_result load_records(struct load *load)
{
	struct fl_node *node = load->node;
	double sent = fl_now();
	uint64_t revision;

	fl_cluster_list_begin(&node->cluster);
	if (fl_kv_list(&node->kv_store, FL_PREFIX_JOBS, load_job, load, &revision) != FL_KV_OK)
		return FL_FAILOVER_STORE_FAILED;
	fl_cluster_list_end(&node->cluster, revision);
	node->cluster.list_revision = revision;
	node->cancellation_watermark = fmax(node->cancellation_watermark, sent);
	if (fl_kv_list(&node->kv_store, FL_PREFIX_WAL, load_wal_value, load, &revision) != FL_KV_OK)
		return FL_FAILOVER_STORE_FAILED;
	/* The rest would be no use, and half of the state must not be used. */
	if (!node->leader_lease.held)
		return FL_FAILOVER_LEASE_LOST;
	if (fl_kv_list(&node->kv_store, FL_PREFIX_PROGRESS, load_progress_record, load,
	               &revision) != FL_KV_OK)
		return FL_FAILOVER_STORE_FAILED;
	restore_wal_only_blocks(load);
	return FL_FAILOVER_LOADED;
}

/*
 * Has the final record of a job written that is over. Found when all controllers ended again and
 * again: the leader before had recorded the last task as done and not yet the job. No task of it
 * changes any more, so nothing else would ever have it finished.
 */
static void mark_finished_jobs(struct fl_cluster *cluster)
{
	struct fl_job *job, *tmp;

	HASH_ITER (hh, cluster->jobs, job, tmp)
		if (fl_job_is_over(job))
			fl_job_mark_dirty(cluster, job);
}

enum fl_failover_result fl_failover_load(struct fl_node *node)
{
	struct load load = {.node = node, .now = fl_now()};
	enum fl_failover_result result;

	fl_cluster_forget_tasks(&node->cluster);
	node->cluster.leading = true;
	result = load_records(&load);
	node->record_writer.wal_revision_known = result == FL_FAILOVER_LOADED;
	fl_wal_free(&load.wal);
	if (result != FL_FAILOVER_LOADED)
		return result;
	if (load.unreadable_record_count > 0) {
		/* Something may be on a machine that could not be read: nothing may be decided. */
		fl_error("failover", "no decisions: unreadable_records=%d",
		         load.unreadable_record_count);
		return FL_FAILOVER_UNREADABLE_RECORD;
	}
	mark_finished_jobs(&node->cluster);
	fl_info("failover",
	        "cluster state loaded jobs=%u progress_records=%d orphan_records=%d took=%.2fs",
	        HASH_COUNT(node->cluster.jobs), load.progress_record_count,
	        load.orphan_record_count, fl_now() - load.now);
	return FL_FAILOVER_LOADED;
}
