/* The tasks on a machine: commands, image fetches, runs, saves and ends. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

static int index_of(const struct sim_machine *m) { return (int)(m - sim.machine); }

static void leave(struct sim_task *t)
{
	if (t->counted)
		sim_check_left(t->job, t->status.index);
	t->counted = false;
}

static void end_task(struct sim_machine *m, struct sim_task *t, enum fl_exit why)
{
	leave(t);
	t->status.state = FL_TASK_STATE_EXITED;
	t->status.exit = why;
	sim_machine_changed(m);
}

static double done_so_far(const struct sim_task *t)
{
	return t->job->progress[t->status.index] + fl_now() - t->began;
}

static void keep_progress(struct sim_task *t, bool saved)
{
	double every = t->job->run.checkpoint_every_s, done = done_so_far(t);

	if (saved)
		t->job->progress[t->status.index] = done;
	else if (every > 0)
		t->job->progress[t->status.index] = (double)(int)(done / every) * every;
}

static void begin(struct sim_machine *m, struct sim_task *t)
{
	struct sim_job *job = t->job;
	uint32_t i = t->status.index;

	t->status.state = FL_TASK_STATE_RUNNING;
	t->began = fl_now();
	t->counted = true;
	sim_check_started(job, i, index_of(m));
	t->until = job->run.kind == FL_SERVICE ? -1 : fl_now() + job->real_s[i] - job->progress[i];
	if (job->completed[i])
		end_task(m, t, FL_EXIT_DONE);
	else
		sim_machine_changed(m);
}

static bool has_image(const struct sim_machine *m, const char *image)
{
	for (int i = 0; i < 4 && i < m->n_images; i++)
		if (strcmp(m->images[i], image) == 0)
			return true;
	return false;
}

static void fetched(struct sim_machine *m, struct sim_task *t)
{
	if (!has_image(m, t->job->run.image))
		sim_copy(m->images[m->n_images++ % 4], sizeof(m->images[0]), t->job->run.image);
	begin(m, t);
}

static void completed(struct sim_machine *m, struct sim_task *t)
{
	struct sim_job *job = t->job;
	const struct sim_trouble *end = sim_troubled(CANCEL_AT_END, -1);
	bool last = true;

	job->completed[t->status.index] = true;
	sim.completions++;
	end_task(m, t, FL_EXIT_DONE);
	for (uint32_t i = 0; i < job->run.task_count; i++)
		last = last && job->completed[i];
	if (last)
		sim_user_looks(job);
	if (last && end)
		sim_user_asks(job);
	if (last && end && sim_chance(end->much)) {
		sim_user_cancels(job);
		sim_user_repeats(job);
	}
}

static bool fetches(const struct sim_task *t)
{
	return t->used && t->status.state == FL_TASK_STATE_PULLING && t->until > fl_now();
}

/* The task for which this one's image is being fetched already; itself if for none. */
static int first_with_image(const struct sim_machine *m, int at)
{
	for (int i = 0; i < at; i++)
		if (fetches(&m->task[i]) && m->task[at].used &&
		    strcmp(m->task[i].job->run.image, m->task[at].job->run.image) == 0)
			return i;
	return at;
}

/* Several images that are fetched at once share the machine's rate; tasks share their image's. */
static void share_fetches(struct sim_machine *m)
{
	double seconds = m->looked > 0 ? fl_now() - m->looked : 0;
	int images = 0;

	m->looked = fl_now();
	for (int i = 0; i < m->n_tasks; i++)
		images += fetches(&m->task[i]) && first_with_image(m, i) == i;
	/* Each of n images has an n-th of the rate, and so is late by the rest of the time. */
	for (int i = 0; i < m->n_tasks && images > 1; i++)
		if (fetches(&m->task[i]))
			m->task[i].until += seconds * (images - 1) / images;
	for (int i = 0; i < m->n_tasks; i++) {
		const struct sim_task *first = &m->task[first_with_image(m, i)];

		if (fetches(&m->task[i]) && first->until < m->task[i].until)
			m->task[i].until = first->until;
	}
}

static void look_at(struct sim_machine *m, struct sim_task *t)
{
	if (t->status.state == FL_TASK_STATE_EXITED || t->until < 0 || fl_now() < t->until)
		return;
	if (t->status.state == FL_TASK_STATE_PULLING) {
		fetched(m, t);
	} else if (t->status.state == FL_TASK_STATE_RUNNING) {
		completed(m, t);
	} else {
		t->status.saved = true;
		end_task(m, t, FL_EXIT_STOPPED);
	}
}

void sim_tasks_tick(struct sim_machine *m)
{
	if (sim_troubled(SHARED_FETCHES, -1))
		share_fetches(m);
	for (int i = 0; i < m->n_tasks; i++)
		if (m->task[i].used)
			look_at(m, &m->task[i]);
}

void sim_tasks_drop(struct sim_machine *m)
{
	for (int i = 0; i < m->n_tasks; i++) {
		if (m->task[i].used)
			leave(&m->task[i]);
		m->task[i].used = false;
	}
}

void sim_tasks_stood_still(struct sim_machine *m, double seconds)
{
	for (int i = 0; i < m->n_tasks; i++) {
		struct sim_task *t = &m->task[i];

		if (!t->used)
			continue;
		t->began += seconds;
		if (t->until >= 0)
			t->until += seconds;
	}
}

/* ---- orders ---- */

static struct sim_task *find(struct sim_machine *m, const struct fl_task_status *status,
                             bool attempt)
{
	for (int i = 0; i < m->n_tasks; i++) {
		struct sim_task *t = &m->task[i];

		if (t->used && t->status.index == status->index &&
		    strcmp(t->status.ref, status->ref) == 0 &&
		    (attempt ? t->status.attempt == status->attempt
		             : t->status.state != FL_TASK_STATE_EXITED))
			return t;
	}
	return NULL;
}

static bool has_room(const struct sim_machine *m, const struct sim_job *job)
{
	const struct sim_machine_type *k = &sim_machine_types[m->type];
	double cpus = job->run.cpus, gpus = job->run.gpus, ram = job->run.ram_gb;

	for (int i = 0; i < m->n_tasks; i++) {
		const struct sim_task *t = &m->task[i];

		if (!t->used || t->status.state == FL_TASK_STATE_EXITED)
			continue;
		cpus += t->job->run.cpus;
		gpus += t->job->run.gpus;
		ram += t->job->run.ram_gb;
	}
	return cpus <= k->cpus && gpus <= k->gpus && ram <= k->ram_gb;
}

static struct sim_task *new_task(struct sim_machine *m, const struct fl_task_status *status)
{
	for (int i = 0; i < SIM_TASKS; i++) {
		if (m->task[i].used)
			continue;
		if (i >= m->n_tasks)
			m->n_tasks = i + 1;
		m->task[i] = (struct sim_task){.used = true, .status = *status};
		return &m->task[i];
	}
	abort();
}

static void launch(struct sim_machine *m, const struct fl_task_status *status)
{
	struct sim_job *job = sim_job_find(status->ref);
	enum fl_exit refusal = FL_EXIT_OTHER;
	struct sim_task *t;

	if (find(m, status, true))
		return;
	if (!job || job->sent == 0 || status->index >= job->run.task_count)
		refusal = FL_EXIT_UNKNOWN_TASK;
	else if (find(m, status, false))
		refusal = FL_EXIT_BUSY;
	else if (!has_room(m, job))
		refusal = FL_EXIT_NO_ROOM;
	t = new_task(m, status);
	t->job = job;
	if (refusal != FL_EXIT_OTHER) {
		end_task(m, t, refusal);
		return;
	}
	t->status.state = FL_TASK_STATE_PULLING;
	t->until = fl_now() +
	           (has_image(m, job->run.image) ? 0 : job->run.image_gb * sim_between(0.8, 1.3));
	sim_machine_changed(m);
	look_at(m, t);
}

static void stop(struct sim_machine *m, struct sim_task *t, double grace_period_s)
{
	const struct fl_job_spec *spec = &t->job->run;

	if (t->status.state == FL_TASK_STATE_CHECKPOINTING) {
		if (grace_period_s <= 0)
			end_task(m, t, FL_EXIT_STOPPED);
		return;
	}
	if (t->status.state == FL_TASK_STATE_RUNNING && spec->checkpoint_every_s > 0 &&
	    grace_period_s >= spec->checkpoint_cost_s) {
		keep_progress(t, true);
		t->status.state = FL_TASK_STATE_CHECKPOINTING;
		t->until = fl_now() + spec->checkpoint_cost_s;
		sim_machine_changed(m);
		return;
	}
	if (t->status.state == FL_TASK_STATE_RUNNING)
		keep_progress(t, false);
	end_task(m, t, FL_EXIT_STOPPED);
}

static void order(struct sim_machine *m, const cJSON *e)
{
	struct fl_task_status status = {0};
	char verb[16] = "", name[64] = "";
	uint64_t attempt = 0;
	double grace_period_s = 0;
	struct sim_task *t;
	char *slash;

	fl_json_get_string(e, "Verb", verb, sizeof(verb));
	fl_json_get_string(e, "Part", name, sizeof(name));
	fl_json_get_count(e, "Try", &attempt);
	fl_json_get_amount(e, "WindDownS", &grace_period_s);
	slash = strchr(name, '/');
	sim_must(slash);
	*slash = 0;
	snprintf(status.ref, sizeof(status.ref), "%.*s", (int)sizeof(status.ref) - 1, name);
	status.index = (uint32_t)strtoul(slash + 1, NULL, 10);
	status.attempt = (uint32_t)attempt;
	t = find(m, &status, true);
	if (strcmp(verb, "launch") == 0)
		launch(m, &status);
	else if (strcmp(verb, "kill") == 0 && t && t->status.state != FL_TASK_STATE_EXITED)
		stop(m, t, grace_period_s);
	else if (strcmp(verb, "forget") == 0 && t && t->status.state == FL_TASK_STATE_EXITED)
		t->used = false;
}

void sim_tasks_command(struct sim_machine *m, const cJSON *o)
{
	const cJSON *e;

	cJSON_ArrayForEach (e, fl_json_get(o, "Orders"))
		order(m, e);
}
