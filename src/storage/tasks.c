#include "storage/tasks.h"

#include <math.h>
#include <stdlib.h>

#include "storage/jobs.h"
#include "transport/clock.h"

struct fl_task *fl_task_peek(const struct fl_job *job, uint32_t index)
{
	struct fl_chunk *c = fl_job_chunk(job, index / FL_CHUNK);

	return c ? &c->task[index % FL_CHUNK] : NULL;
}

struct fl_task *fl_task_get(struct fl_job *job, uint32_t index)
{
	struct fl_chunk **c;

	if (!job->chunks)
		job->chunks = calloc(job->n_chunks, sizeof(*job->chunks));
	if (!job->chunks)
		return NULL;
	c = &job->chunks[index / FL_CHUNK];
	if (!*c)
		*c = calloc(1, sizeof(**c));
	return *c ? &(*c)->task[index % FL_CHUNK] : NULL;
}

bool fl_task_durable(const struct fl_job *job, uint32_t index)
{
	const struct fl_chunk *c = fl_job_chunk(job, index / FL_CHUNK);

	return !c || c->task[index % FL_CHUNK].gen <= c->saved_gen ||
	       c->task[index % FL_CHUNK].gen <= c->logged_gen;
}

bool fl_task_saved(const struct fl_chunk *c, const struct fl_task *t)
{
	return t->gen <= c->saved_gen;
}

void fl_task_touch(struct fl_cluster *b, struct fl_job *job, uint32_t index)
{
	struct fl_chunk *c = job->chunks[index / FL_CHUNK];

	c->task[index % FL_CHUNK].gen = ++c->gen;
	fl_job_mark_dirty(b, job);
}

uint32_t fl_task_next_waiting(struct fl_job *job, uint32_t from, double now)
{
	uint32_t i = from > job->scan_from ? from : job->scan_from;
	bool lowest = i == job->scan_from;

	for (; i < job->n_tasks; i++) {
		const struct fl_task *t = fl_task_peek(job, i);

		if (t && t->phase != FL_TASK_WAITING) {
			if (lowest)
				job->scan_from = i + 1;
			continue;
		}
		lowest = false;
		if (!t || t->not_before <= now)
			return i;
	}
	return job->n_tasks;
}

static int occupy(struct fl_cluster *b, struct fl_job *job, uint32_t index, struct fl_machine *m)
{
	struct fl_team *team = &b->teams.at[job->team];

	if (fl_machine_add_slot(m, job, index) != 0)
		return -1;
	m->used_cpus += job->cpus;
	m->used_gpus += job->gpus;
	m->used_ram += job->ram_gb;
	team->used_cpus += job->cpus;
	team->used_gpus += job->gpus;
	if (m->zone >= 0)
		job->zone_placed[m->zone]++;
	else
		job->zone_unknown++;
	job->n_placed++;
	return 0;
}

static void vacate(struct fl_cluster *b, struct fl_job *job, uint32_t index, struct fl_task *t)
{
	struct fl_machine *m = b->machines.at[t->machine];
	struct fl_team *team = &b->teams.at[job->team];

	fl_machine_drop_slot(m, job, index);
	m->used_cpus -= job->cpus;
	m->used_gpus -= job->gpus;
	m->used_ram -= job->ram_gb;
	if (m->n_slots == 0)
		m->used_cpus = m->used_gpus = m->used_ram = 0;
	team->used_cpus -= job->cpus;
	team->used_gpus -= job->gpus;
	if (m->zone >= 0)
		job->zone_placed[m->zone]--;
	else
		job->zone_unknown--;
	job->n_placed--;
	if (t->observed == FL_OBSERVED_RUNNING || t->observed == FL_OBSERVED_CHECKPOINTING)
		job->n_running--;
	t->observed = FL_OBSERVED_NONE;
	t->start_sent = false;
	t->stop_reason = FL_STOP_NONE;
	t->machine = -1;
	t->fencing_token = 0;
}

int fl_task_place(struct fl_cluster *b, struct fl_job *job, uint32_t index, struct fl_machine *m,
                  uint64_t fencing_token, double now)
{
	struct fl_task *t = fl_task_get(job, index);

	if (!t || t->phase != FL_TASK_WAITING || occupy(b, job, index, m) != 0)
		return -1;
	t->phase = FL_TASK_PLACED;
	t->attempt++;
	t->machine = m->id;
	t->incarnation = m->incarnation;
	t->fencing_token = fencing_token;
	t->observed = FL_OBSERVED_NONE;
	t->stop_reason = FL_STOP_NONE;
	t->since = now;
	t->placed = fl_wall();
	job->n_waiting--;
	fl_task_touch(b, job, index);
	return 0;
}

int fl_task_restore(struct fl_cluster *b, struct fl_job *job, uint32_t index, uint32_t attempt,
                    struct fl_machine *m, uint64_t incarnation, double placed, double now)
{
	struct fl_task *t = fl_task_get(job, index);

	if (!t || t->phase != FL_TASK_WAITING || occupy(b, job, index, m) != 0)
		return -1;
	t->phase = FL_TASK_PLACED;
	t->attempt = attempt;
	t->machine = m->id;
	t->incarnation = incarnation;
	t->placed = placed;
	/* Placed by an earlier leader: what it has run since would be lost by stopping it. */
	t->since = fmin(now, fl_since(placed));
	/*
	 * Its image is there, and stays when the task is lost with its worker's session: after an
	 * end of all controllers hundreds of tasks start again, and best where they ran.
	 */
	fl_machine_note_image(m, job->image);
	job->n_waiting--;
	return 0;
}

void fl_task_release(struct fl_cluster *b, struct fl_job *job, uint32_t index, double not_before)
{
	struct fl_task *t = fl_task_peek(job, index);

	if (!t || t->phase != FL_TASK_PLACED)
		return;
	vacate(b, job, index, t);
	t->phase = FL_TASK_WAITING;
	t->not_before = not_before;
	job->n_waiting++;
	if (index < job->scan_from)
		job->scan_from = index;
	fl_task_touch(b, job, index);
}

void fl_task_done(struct fl_cluster *b, struct fl_job *job, uint32_t index)
{
	struct fl_task *t = fl_task_get(job, index);

	if (!t || t->phase == FL_TASK_DONE)
		return;
	if (t->phase == FL_TASK_PLACED)
		vacate(b, job, index, t);
	else
		job->n_waiting--;
	t->phase = FL_TASK_DONE;
	job->n_done++;
	fl_task_touch(b, job, index);
}

void fl_task_observe(struct fl_job *job, struct fl_task *t, enum fl_observed_state observed,
                     double now)
{
	bool was = t->observed == FL_OBSERVED_RUNNING || t->observed == FL_OBSERVED_CHECKPOINTING;
	bool is = observed == FL_OBSERVED_RUNNING || observed == FL_OBSERVED_CHECKPOINTING;

	if (is && !was) {
		job->n_running++;
		/*
		 * Read from a record and found running: it began long ago, at some time after its
		 * placement. Counted from now, every new leader would take old work for fresh, and
		 * stop what is nearly done to make room.
		 */
		if (t->fencing_token != 0 || t->observed != FL_OBSERVED_NONE)
			t->since = now;
	} else if (was && !is) {
		job->n_running--;
	}
	t->observed = (uint8_t)observed;
	t->start_sent = false;
}
