#include "storage/jobs.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/text.h"

struct fl_job *fl_job_find(const struct fl_cluster *b, const char *ref)
{
	struct fl_job *j;

	HASH_FIND_STR(b->jobs, ref, j);
	return j;
}

struct fl_finished_job *fl_finished_find(const struct fl_cluster *b, const char *ref)
{
	struct fl_finished_job *f;

	HASH_FIND_STR(b->finished, ref, f);
	return f;
}

void fl_finished_add(struct fl_cluster *b, const char *ref, enum fl_status status, uint32_t n_tasks,
                     double cancelled_at)
{
	struct fl_finished_job *f = fl_finished_find(b, ref);

	if (f)
		return; /* a final state never changes */
	f = calloc(1, sizeof(*f));
	if (!f) {
		b->finished_lost_at = fl_now();
		return;
	}
	fl_copy_string(f->ref, sizeof(f->ref), ref);
	f->status = (uint8_t)status;
	f->n_tasks = n_tasks;
	f->cancelled_at = cancelled_at;
	f->learned_at = fl_now();
	HASH_ADD_STR(b->finished, ref, f);
	if (b->finished_max > 0 && HASH_COUNT(b->finished) > b->finished_max) {
		struct fl_finished_job *oldest = b->finished;

		HASH_DEL(b->finished, oldest);
		b->finished_lost_at = oldest->learned_at;
		free(oldest);
	}
}

int fl_finished_cancelled_since(const struct fl_cluster *b, double since,
                                const struct fl_finished_job **out, int most)
{
	const struct fl_finished_job *f = NULL;
	int n = 0;

	if (b->finished_lost_at > since)
		return -E2BIG;
	if (b->finished)
		f = ELMT_FROM_HH(b->finished->hh.tbl, b->finished->hh.tbl->tail);
	for (; f && f->learned_at >= since; f = f->hh.prev) {
		if (f->status != FL_CANCELLED)
			continue;
		if (n == most)
			return -E2BIG;
		out[n++] = f;
	}
	return n;
}

void fl_cluster_learn_cancelled(struct fl_cluster *b, const char *ref, double cancelled_at)
{
	struct fl_job *job = fl_job_find(b, ref);

	if (fl_finished_find(b, ref))
		return;
	if (!job) {
		fl_finished_add(b, ref, FL_CANCELLED, 0, cancelled_at);
		return;
	}
	job->cancelled_at = cancelled_at;
	if (!b->leading) {
		fl_job_finalise(b, job, FL_CANCELLED);
		return;
	}
	/* A leader that is cut off: it still has the tasks to count, and reads the record later. */
	job->cancelled = true;
	fl_finished_add(b, ref, FL_CANCELLED, job->n_tasks, cancelled_at);
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

static void free_chunks(struct fl_job *j)
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
	free_chunks(job);
	free(job);
}

void fl_job_finalise(struct fl_cluster *b, struct fl_job *job, enum fl_status status)
{
	fl_finished_add(b, job->ref, status, job->n_tasks, job->cancelled_at);
	fl_job_drop(b, job);
}

struct fl_chunk *fl_job_chunk(const struct fl_job *job, uint32_t chunk)
{
	return job->chunks ? job->chunks[chunk] : NULL;
}

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
	if (t->observed == FL_OBSERVED_RUNNING || t->observed == FL_OBSERVED_FLUSHING)
		job->n_running--;
	t->observed = FL_OBSERVED_NONE;
	t->launch_sent = false;
	t->stop = FL_STOP_NONE;
	t->machine = -1;
	t->epoch = 0;
}

int fl_task_place(struct fl_cluster *b, struct fl_job *job, uint32_t index, struct fl_machine *m,
                  uint64_t epoch, double now)
{
	struct fl_task *t = fl_task_get(job, index);

	if (!t || t->phase != FL_TASK_WAITING || occupy(b, job, index, m) != 0)
		return -1;
	t->phase = FL_TASK_PLACED;
	t->attempt++;
	t->machine = m->id;
	t->session = m->session;
	t->epoch = epoch;
	t->observed = FL_OBSERVED_NONE;
	t->stop = FL_STOP_NONE;
	t->since = now;
	t->placed = fl_wall();
	job->n_waiting--;
	fl_task_touch(b, job, index);
	return 0;
}

int fl_task_restore(struct fl_cluster *b, struct fl_job *job, uint32_t index, uint32_t attempt,
                    struct fl_machine *m, uint64_t session, double placed, double now)
{
	struct fl_task *t = fl_task_get(job, index);

	if (!t || t->phase != FL_TASK_WAITING || occupy(b, job, index, m) != 0)
		return -1;
	t->phase = FL_TASK_PLACED;
	t->attempt = attempt;
	t->machine = m->id;
	t->session = session;
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
	bool was = t->observed == FL_OBSERVED_RUNNING || t->observed == FL_OBSERVED_FLUSHING;
	bool is = observed == FL_OBSERVED_RUNNING || observed == FL_OBSERVED_FLUSHING;

	if (is && !was) {
		job->n_running++;
		/*
		 * Read from a record and found running: it began long ago, at some time after its
		 * placement. Counted from now, every new leader would take old work for fresh, and
		 * stop what is nearly done to make room.
		 */
		if (t->epoch != 0 || t->observed != FL_OBSERVED_NONE)
			t->since = now;
	} else if (was && !is) {
		job->n_running--;
	}
	t->observed = (uint8_t)observed;
	t->launch_sent = false;
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
	for (int i = 0; i < m->n_slots; i++) {
		m->slots[i].job->zone_unknown--;
		m->slots[i].job->zone_placed[m->zone]++;
	}
}

void fl_cluster_purge(struct fl_cluster *b, double before)
{
	for (int i = b->machines.n - 1; i >= 0; i--) {
		struct fl_machine *m = b->machines.at[i], *moved;

		if (!m->gone || m->gone_at >= before || m->n_slots > 0 || m->pushing)
			continue;
		moved = fl_machine_drop(&b->machines, m);
		for (int k = 0; moved && k < moved->n_slots; k++)
			fl_task_peek(moved->slots[k].job, moved->slots[k].index)->machine =
				moved->id;
	}
}

enum fl_status fl_job_status(const struct fl_job *job)
{
	if (job->cancelled)
		return FL_CANCELLED;
	return job->n_running > 0 ? FL_RUNNING : FL_PENDING;
}

void fl_cluster_forget_tasks(struct fl_cluster *b)
{
	struct fl_job *j, *tmp;

	HASH_ITER (hh, b->jobs, j, tmp) {
		free_chunks(j);
		j->n_waiting = j->n_tasks;
		j->n_placed = j->n_running = j->n_done = 0;
		memset(j->zone_placed, 0, sizeof(j->zone_placed));
		j->zone_unknown = j->scan_from = 0;
		j->queued_dirty = j->finishing = j->unsure = false;
		j->not_before = j->window_until = 0;
		if (j->cancelled)
			fl_job_finalise(b, j, FL_CANCELLED);
	}
	b->dirty = NULL;
	for (int i = 0; i < b->teams.n; i++)
		b->teams.at[i].used_cpus = b->teams.at[i].used_gpus = 0;
	fl_machines_clear(&b->machines);
}

void fl_cluster_free(struct fl_cluster *b)
{
	struct fl_finished_job *f, *ftmp;
	struct fl_job *j, *jtmp;

	HASH_ITER (hh, b->jobs, j, jtmp) {
		HASH_DEL(b->jobs, j);
		free_chunks(j);
		free(j);
	}
	HASH_ITER (hh, b->finished, f, ftmp) {
		HASH_DEL(b->finished, f);
		free(f);
	}
	fl_machines_clear(&b->machines);
	fl_names_free(&b->classes);
	fl_names_free(&b->images);
	fl_names_free(&b->zones);
}
