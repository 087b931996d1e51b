#include "storage/cluster.h"

#include <stdlib.h>
#include <string.h>

#include "storage/jobs.h"

void fl_cluster_learn_cancelled(struct fl_cluster *cluster, const char *ref, double cancelled_at)
{
	struct fl_job *job = fl_job_find(cluster, ref);

	if (fl_finished_job_find(cluster, ref))
		return;
	if (!job) {
		fl_finished_job_add(cluster, ref, FL_CANCELLED, 0, cancelled_at);
		return;
	}
	job->cancelled_at = cancelled_at;
	if (!cluster->leading) {
		fl_job_finalise(cluster, job, FL_CANCELLED);
		return;
	}
	/* A leader that is cut off: it still has the tasks to count, and reads the record later. */
	job->cancelled = true;
	fl_finished_job_add(cluster, ref, FL_CANCELLED, job->task_count, cancelled_at);
}

void fl_cluster_describe(struct fl_cluster *cluster, struct fl_machine *machine, int type, int zone,
                         bool spot, const char *endpoint)
{
	bool was_known = machine->zone >= 0;

	(void)cluster;
	if (zone >= FL_ZONES_MAX)
		return;
	fl_machine_describe(machine, type, zone, spot, endpoint);
	if (was_known || machine->zone < 0)
		return;
	for (int i = 0; i < machine->assignment_count; i++) {
		machine->assignments[i].job->placement.in_unknown_zone--;
		machine->assignments[i].job->placement.by_zone[machine->zone]++;
	}
}

void fl_cluster_purge_tombstones(struct fl_cluster *cluster, double before)
{
	for (int i = cluster->machines.count - 1; i >= 0; i--) {
		struct fl_machine *machine = cluster->machines.by_id[i], *moved;

		if (!machine->lifecycle.decommissioned ||
		    machine->lifecycle.decommissioned_at >= before ||
		    machine->assignment_count > 0 || machine->outbound.command_in_flight)
			continue;
		moved = fl_machine_drop(&cluster->machines, machine);
		for (int k = 0; moved && k < moved->assignment_count; k++)
			fl_task_peek(moved->assignments[k].job, moved->assignments[k].index)
				->machine = moved->id;
	}
}

void fl_cluster_forget_tasks(struct fl_cluster *cluster)
{
	struct fl_job *job, *tmp;

	HASH_ITER (hh, cluster->jobs, job, tmp) {
		fl_job_free_task_blocks(job);
		job->counts.waiting = job->task_count;
		job->counts.placed = job->counts.running = job->counts.done = 0;
		memset(job->placement.by_zone, 0, sizeof(job->placement.by_zone));
		job->placement.in_unknown_zone = job->placement.scan_from = 0;
		job->record.is_dirty = job->record.final_write_in_flight =
			job->record.final_write_unknown = false;
		job->retry.not_before = job->placement.window_until = 0;
		if (job->cancelled)
			fl_job_finalise(cluster, job, FL_CANCELLED);
	}
	cluster->dirty = NULL;
	for (int i = 0; i < cluster->teams.count; i++)
		cluster->teams.by_index[i].used_cpus = cluster->teams.by_index[i].used_gpus = 0;
	fl_machines_clear(&cluster->machines);
}

void fl_cluster_free(struct fl_cluster *cluster)
{
	struct fl_finished_job *finished, *ftmp;
	struct fl_job *job, *jtmp;

	HASH_ITER (hh, cluster->jobs, job, jtmp) {
		HASH_DEL(cluster->jobs, job);
		fl_job_free_task_blocks(job);
		free(job);
	}
	HASH_ITER (hh, cluster->finished, finished, ftmp) {
		HASH_DEL(cluster->finished, finished);
		free(finished);
	}
	fl_machines_clear(&cluster->machines);
	fl_symbol_table_free(&cluster->classes);
	fl_symbol_table_free(&cluster->images);
	fl_symbol_table_free(&cluster->zones);
}
