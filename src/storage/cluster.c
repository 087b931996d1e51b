#include "storage/cluster.h"

#include <stdlib.h>
#include <string.h>

#include "storage/jobs.h"

void fl_cluster_mark_cancelled(struct fl_cluster *cluster, const char *ref, double cancelled_at)
{
	struct fl_job *job = fl_job_find(cluster, ref);

	if (fl_finished_job_find(cluster, ref))
		return;
	if (!job) {
		fl_finished_job_add(cluster, ref, FL_CANCELLED, 0, cancelled_at);
		return;
	}
	job->cancelled_at = cancelled_at;
	if (!cluster->has_leader_state) {
		fl_job_finalise(cluster, job, FL_CANCELLED);
		return;
	}
	/* A leader that may be isolated still counts the job's tasks and reads the record later. */
	job->cancelled = true;
	fl_finished_job_add(cluster, ref, FL_CANCELLED, job->task_count, cancelled_at);
}

void fl_cluster_describe_machine(struct fl_machine *machine, int type, int zone, bool spot,
                                 const char *endpoint)
{
	bool was_known = machine->zone != FL_INDEX_NONE;

	if (zone >= FL_ZONES_MAX)
		return;
	fl_machine_set_description(machine, type, zone, spot, endpoint);
	if (was_known || machine->zone == FL_INDEX_NONE)
		return;
	for (int i = 0; i < machine->assignment_count; i++) {
		machine->assignments[i].job->placement.in_unknown_zone--;
		machine->assignments[i].job->placement.by_zone[machine->zone]++;
	}
}

/* Returns whether the tombstone can be freed: no attempt and no command in flight refers to it. */
static bool tombstone_is_purgeable(const struct fl_machine *machine, double before)
{
	return machine->lifecycle.decommissioned && machine->lifecycle.decommissioned_at < before &&
	       machine->assignment_count == 0 && !machine->outbound.command_in_flight;
}

/* Updates the tasks of a machine whose id has changed; they refer to the machine by its id. */
static void update_machine_ids_of_tasks(const struct fl_machine *machine)
{
	for (int i = 0; i < machine->assignment_count; i++) {
		const struct fl_assignment *assignment = &machine->assignments[i];

		fl_task_find(assignment->job, assignment->task_index)->machine_id = machine->id;
	}
}

void fl_cluster_purge_tombstones(struct fl_cluster *cluster, double before)
{
	for (int i = cluster->machines.count - 1; i >= 0; i--) {
		struct fl_machine *machine = cluster->machines.by_id[i], *moved;

		if (!tombstone_is_purgeable(machine, before))
			continue;
		moved = fl_machine_drop(&cluster->machines, machine);
		if (moved)
			update_machine_ids_of_tasks(moved);
	}
}

static void clear_task_state(struct fl_job *job)
{
	fl_job_free_task_blocks(job);
	job->counts = (struct fl_job_counts){.waiting = job->task_count};
	job->placement = (struct fl_job_placement){0};
	job->retry.not_before = 0;
	job->record.is_dirty = false;
	job->record.final_write_in_flight = false;
	job->record.unresolved_writes = 0;
}

void fl_cluster_free_leader_state(struct fl_cluster *cluster)
{
	struct fl_job *job, *next;

	HASH_ITER (hh, cluster->jobs, job, next) {
		clear_task_state(job);
		if (job->cancelled)
			fl_job_finalise(cluster, job, FL_CANCELLED);
	}
	cluster->dirty_jobs = NULL;
	for (int i = 0; i < cluster->teams.count; i++)
		cluster->teams.by_index[i].used_cpus = cluster->teams.by_index[i].used_gpus = 0;
	fl_machines_clear(&cluster->machines);
}

void fl_cluster_free(struct fl_cluster *cluster)
{
	struct fl_finished_job *finished, *next_finished;
	struct fl_job *job, *next_job;

	HASH_ITER (hh, cluster->jobs, job, next_job) {
		HASH_DEL(cluster->jobs, job);
		fl_job_free_task_blocks(job);
		free(job);
	}
	HASH_ITER (hh, cluster->finished, finished, next_finished) {
		HASH_DEL(cluster->finished, finished);
		free(finished);
	}
	fl_machines_clear(&cluster->machines);
	fl_symbol_table_free(&cluster->classes);
	fl_symbol_table_free(&cluster->images);
	fl_symbol_table_free(&cluster->zones);
}
