#include "storage/cluster.h"

#include <stdlib.h>
#include <string.h>

#include "storage/jobs.h"

void fl_cluster_learn_cancelled(struct fl_cluster *b, const char *ref, double cancelled_at)
{
	struct fl_job *job = fl_job_find(b, ref);

	if (fl_finished_job_find(b, ref))
		return;
	if (!job) {
		fl_finished_job_add(b, ref, FL_CANCELLED, 0, cancelled_at);
		return;
	}
	job->cancelled_at = cancelled_at;
	if (!b->leading) {
		fl_job_finalise(b, job, FL_CANCELLED);
		return;
	}
	/* A leader that is cut off: it still has the tasks to count, and reads the record later. */
	job->cancelled = true;
	fl_finished_job_add(b, ref, FL_CANCELLED, job->task_count, cancelled_at);
}

void fl_cluster_describe(struct fl_cluster *b, struct fl_machine *m, int type, int zone, bool spot,
                         const char *endpoint)
{
	bool was_known = m->zone >= 0;

	(void)b;
	if (zone >= FL_ZONES_MAX)
		return;
	fl_machine_describe(m, type, zone, spot, endpoint);
	if (was_known || m->zone < 0)
		return;
	for (int i = 0; i < m->assignment_count; i++) {
		m->assignments[i].job->placed_in_unknown_zone--;
		m->assignments[i].job->placed_by_zone[m->zone]++;
	}
}

void fl_cluster_purge_tombstones(struct fl_cluster *b, double before)
{
	for (int i = b->machines.count - 1; i >= 0; i--) {
		struct fl_machine *m = b->machines.by_id[i], *moved;

		if (!m->decommissioned || m->decommissioned_at >= before ||
		    m->assignment_count > 0 || m->command_in_flight)
			continue;
		moved = fl_machine_drop(&b->machines, m);
		for (int k = 0; moved && k < moved->assignment_count; k++)
			fl_task_peek(moved->assignments[k].job, moved->assignments[k].index)
				->machine = moved->id;
	}
}

void fl_cluster_forget_tasks(struct fl_cluster *b)
{
	struct fl_job *job, *tmp;

	HASH_ITER (hh, b->jobs, job, tmp) {
		fl_job_free_task_blocks(job);
		job->waiting_count = job->task_count;
		job->placed_count = job->running_count = job->done_count = 0;
		memset(job->placed_by_zone, 0, sizeof(job->placed_by_zone));
		job->placed_in_unknown_zone = job->scan_from = 0;
		job->is_dirty = job->final_write_in_flight = job->final_write_unknown = false;
		job->not_before = job->window_until = 0;
		if (job->cancelled)
			fl_job_finalise(b, job, FL_CANCELLED);
	}
	b->dirty = NULL;
	for (int i = 0; i < b->teams.count; i++)
		b->teams.by_index[i].used_cpus = b->teams.by_index[i].used_gpus = 0;
	fl_machines_clear(&b->machines);
}

void fl_cluster_free(struct fl_cluster *b)
{
	struct fl_finished_job *finished, *ftmp;
	struct fl_job *job, *jtmp;

	HASH_ITER (hh, b->jobs, job, jtmp) {
		HASH_DEL(b->jobs, job);
		fl_job_free_task_blocks(job);
		free(job);
	}
	HASH_ITER (hh, b->finished, finished, ftmp) {
		HASH_DEL(b->finished, finished);
		free(finished);
	}
	fl_machines_clear(&b->machines);
	fl_symbol_table_free(&b->classes);
	fl_symbol_table_free(&b->images);
	fl_symbol_table_free(&b->zones);
}
