#include "storage/jobs.h"

#include <stdlib.h>

#include "transport/text.h"

struct fl_job *fl_job_find(const struct fl_cluster *b, const char *ref)
{
	struct fl_job *j;

	HASH_FIND_STR(b->jobs, ref, j);
	return j;
}

static uint32_t types_mask(const struct fl_cluster *b, const struct fl_job_spec *spec)
{
	uint32_t mask = 0;

	if (spec->n_machine_types < 0)
		return UINT32_MAX;
	for (int i = 0; i < spec->n_machine_types; i++) {
		int k = fl_machine_type_find(&b->machines, spec->machine_types[i]);

		if (k >= 0)
			mask |= 1u << k;
	}
	return mask;
}

struct fl_job *fl_job_add(struct fl_cluster *b, const struct fl_job_spec *spec, double submitted,
                          uint64_t rev)
{
	struct fl_job *j = fl_job_find(b, spec->ref);
	int team = fl_teams_find(&b->teams, spec->team);
	int zone = spec->has_zone ? fl_names_find(&b->zones, spec->zone) : -1;

	/* A zone that is not known must not pass for any zone. */
	if (j || team < 0 || (spec->has_zone && zone < 0))
		return j;
	j = calloc(1, sizeof(*j));
	if (!j)
		return NULL;
	fl_copy_string(j->ref, sizeof(j->ref), spec->ref);
	j->job_class = fl_names_add(&b->classes, spec->job_class);
	j->image = fl_names_add(&b->images, spec->image);
	j->team = team;
	j->zone = zone;
	j->kind = spec->kind;
	j->priority = spec->priority;
	j->n_tasks = spec->n_tasks;
	j->cpus = spec->cpus;
	j->gpus = spec->gpus;
	j->ram_gb = spec->ram_gb;
	j->image_gb = spec->image_gb;
	j->expected_s = spec->expected_s;
	j->checkpoint_every_s = spec->checkpoint_every_s;
	j->checkpoint_cost_s = spec->checkpoint_cost_s;
	j->due_s = spec->due_s;
	j->types = types_mask(b, spec);
	j->together = spec->together;
	j->apart = spec->apart;
	j->reclaimable = spec->reclaimable;
	j->submitted = submitted;
	j->rev = rev;
	j->n_waiting = spec->n_tasks;
	j->n_chunks = (spec->n_tasks + FL_CHUNK - 1) / FL_CHUNK;
	HASH_ADD_STR(b->jobs, ref, j);
	return j;
}

void fl_job_free_chunks(struct fl_job *j)
{
	for (uint32_t i = 0; j->chunks && i < j->n_chunks; i++)
		free(j->chunks[i]);
	free(j->chunks);
	j->chunks = NULL;
}

static void unlink_dirty(struct fl_cluster *b, struct fl_job *job)
{
	struct fl_job **at = &b->dirty;

	while (*at && *at != job)
		at = &(*at)->next_dirty;
	if (*at)
		*at = job->next_dirty;
	job->queued_dirty = false;
}

void fl_job_drop(struct fl_cluster *b, struct fl_job *job)
{
	unlink_dirty(b, job);
	HASH_DEL(b->jobs, job);
	fl_job_free_chunks(job);
	free(job);
}

void fl_job_finalise(struct fl_cluster *b, struct fl_job *job, enum fl_status status)
{
	fl_finished_add(b, job->ref, status, job->n_tasks, job->cancelled_at);
	fl_job_drop(b, job);
}

void fl_job_mark_dirty(struct fl_cluster *b, struct fl_job *job)
{
	if (job->queued_dirty)
		return;
	job->queued_dirty = true;
	job->next_dirty = b->dirty;
	b->dirty = job;
}

bool fl_job_is_over(const struct fl_job *job)
{
	return job->cancelled ? job->n_placed == 0 : job->n_done == job->n_tasks;
}

enum fl_status fl_job_status(const struct fl_job *job)
{
	if (job->cancelled)
		return FL_CANCELLED;
	return job->n_running > 0 ? FL_RUNNING : FL_PENDING;
}

struct fl_chunk *fl_job_chunk(const struct fl_job *job, uint32_t chunk)
{
	return job->chunks ? job->chunks[chunk] : NULL;
}
