#include "storage/jobs.h"

#include <stdlib.h>

#include "transport/text.h"

struct fl_job *fl_job_find(const struct fl_cluster *cluster, const char *ref)
{
	struct fl_job *job;

	HASH_FIND_STR(cluster->jobs, ref, job);
	return job;
}

/* A bit for each allowed machine type that is known. */
static uint32_t machine_types_mask(const struct fl_cluster *cluster, const struct fl_job_spec *spec)
{
	uint32_t mask = 0;

	if (spec->machine_type_count == FL_ANY_MACHINE_TYPE)
		return UINT32_MAX;
	for (int i = 0; i < spec->machine_type_count; i++) {
		int type = fl_machine_type_find(&cluster->machines, spec->machine_types[i]);

		if (type != FL_INDEX_NONE)
			mask |= 1u << type;
	}
	return mask;
}

/* Copies the fields that need no translation into indexes of this process. */
static void copy_spec(struct fl_job *job, const struct fl_job_spec *spec)
{
	fl_copy_string(job->ref, sizeof(job->ref), spec->ref);
	job->kind = spec->kind;
	job->priority = spec->priority;
	job->task_count = spec->task_count;
	job->cpus = spec->cpus;
	job->gpus = spec->gpus;
	job->ram_gb = spec->ram_gb;
	job->image_gb = spec->image_gb;
	job->expected_s = spec->expected_s;
	job->checkpoint_every_s = spec->checkpoint_every_s;
	job->checkpoint_cost_s = spec->checkpoint_cost_s;
	job->due_s = spec->due_s;
	job->same_zone = spec->same_zone;
	job->spread_zones = spec->spread_zones;
	job->spot_allowed = spec->spot_allowed;
}

struct fl_job *fl_job_add(struct fl_cluster *cluster, const struct fl_job_spec *spec,
                          double submitted_wall, uint64_t revision)
{
	struct fl_job *job = fl_job_find(cluster, spec->ref);
	int team = fl_teams_find(&cluster->teams, spec->team);
	int zone = spec->has_zone ? fl_symbol_find(&cluster->zones, spec->zone) : FL_INDEX_NONE;

	if (job)
		return job;
	/* With an unknown zone as FL_INDEX_NONE, the job would run in any zone. */
	if (team == FL_INDEX_NONE || (spec->has_zone && zone == FL_INDEX_NONE))
		return NULL;
	job = calloc(1, sizeof(*job));
	if (!job)
		return NULL;
	copy_spec(job, spec);
	job->job_class = fl_symbol_intern(&cluster->classes, spec->job_class);
	job->image = fl_symbol_intern(&cluster->images, spec->image);
	job->team = team;
	job->zone = zone;
	job->allowed_type_mask = machine_types_mask(cluster, spec);
	job->submitted_wall = submitted_wall;
	job->record.mod_revision = revision;
	job->counts.waiting = spec->task_count;
	job->block_count = (spec->task_count + FL_TASK_BLOCK_SIZE - 1) / FL_TASK_BLOCK_SIZE;
	HASH_ADD_STR(cluster->jobs, ref, job);
	return job;
}

void fl_job_free_task_blocks(struct fl_job *job)
{
	for (uint32_t i = 0; job->blocks && i < job->block_count; i++)
		free(job->blocks[i]);
	free(job->blocks);
	job->blocks = NULL;
}

static void unlink_dirty(struct fl_cluster *cluster, struct fl_job *job)
{
	struct fl_job **link = &cluster->dirty_jobs;

	while (*link && *link != job)
		link = &(*link)->record.next_dirty;
	if (*link)
		*link = job->record.next_dirty;
	job->record.is_dirty = false;
}

void fl_job_drop(struct fl_cluster *cluster, struct fl_job *job)
{
	unlink_dirty(cluster, job);
	HASH_DEL(cluster->jobs, job);
	fl_job_free_task_blocks(job);
	free(job);
}

void fl_job_finalise(struct fl_cluster *cluster, struct fl_job *job, enum fl_job_status status)
{
	fl_finished_job_add(cluster, job->ref, status, job->task_count, job->cancelled_at);
	fl_job_drop(cluster, job);
}

void fl_job_mark_dirty(struct fl_cluster *cluster, struct fl_job *job)
{
	if (job->record.is_dirty)
		return;
	job->record.is_dirty = true;
	job->record.next_dirty = cluster->dirty_jobs;
	cluster->dirty_jobs = job;
}

bool fl_job_is_finished(const struct fl_job *job)
{
	return job->cancelled ? job->counts.placed == 0 : job->counts.done == job->task_count;
}

enum fl_job_status fl_job_current_status(const struct fl_job *job)
{
	if (job->cancelled)
		return FL_CANCELLED;
	return job->counts.running > 0 ? FL_RUNNING : FL_PENDING;
}

struct fl_task_block *fl_job_task_block(const struct fl_job *job, uint32_t block_index)
{
	return job->blocks ? job->blocks[block_index] : NULL;
}
