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
		sim_check_left(t->job, t->report.index);
	t->counted = false;
}

static void end_task(struct sim_machine *m, struct sim_task *t, enum fl_exit why)
{
	leave(t);
	t->report.state = FL_ENDED;
	t->report.exit = why;
	sim_machine_changed(m);
}

static double done_so_far(const struct sim_task *t)
{
	return t->job->progress[t->report.index] + fl_now() - t->began;
}

static void keep_progress(struct sim_task *t, bool saved)
{
	double every = t->job->run.checkpoint_every_s, done = done_so_far(t);

	if (saved)
		t->job->progress[t->report.index] = done;
	else if (every > 0)
		t->job->progress[t->report.index] = (double)(int)(done / every) * every;
}

static void begin(struct sim_machine *m, struct sim_task *t)
{
	struct sim_job *job = t->job;
	uint32_t i = t->report.index;

	t->report.state = FL_EXECUTING;
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

	job->completed[t->report.index] = true;
	sim.completions++;
	end_task(m, t, FL_EXIT_DONE);
	for (uint32_t i = 0; i < job->run.n_tasks; i++)
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
	return t->used && t->report.state == FL_PULLING && t->until > fl_now();
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
	if (t->report.state == FL_ENDED || t->until < 0 || fl_now() < t->until)
		return;
	if (t->report.state == FL_PULLING) {
		fetched(m, t);
	} else if (t->report.state == FL_EXECUTING) {
		completed(m, t);
	} else {
		t->report.saved = true;
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

static struct sim_task *find(struct sim_machine *m, const struct fl_task_report *p, bool attempt)
{
	for (int i = 0; i < m->n_tasks; i++) {
		struct sim_task *t = &m->task[i];

		if (t->used && t->report.index == p->index && strcmp(t->report.ref, p->ref) == 0 &&
		    (attempt ? t->report.attempt == p->attempt : t->report.state != FL_ENDED))
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

		if (!t->used || t->report.state == FL_ENDED)
			continue;
		cpus += t->job->run.cpus;
		gpus += t->job->run.gpus;
		ram += t->job->run.ram_gb;
	}
	return cpus <= k->cpus && gpus <= k->gpus && ram <= k->ram_gb;
}

static struct sim_task *new_task(struct sim_machine *m, const struct fl_task_report *p)
{
	for (int i = 0; i < SIM_TASKS; i++) {
		if (m->task[i].used)
			continue;
		if (i >= m->n_tasks)
			m->n_tasks = i + 1;
		m->task[i] = (struct sim_task){.used = true, .report = *p};
		return &m->task[i];
	}
	abort();
}

static void launch(struct sim_machine *m, const struct fl_task_report *p)
{
	struct sim_job *job = sim_job_find(p->ref);
	enum fl_exit refusal = FL_EXIT_OTHER;
	struct sim_task *t;

	if (find(m, p, true))
		return;
	if (!job || job->sent == 0 || p->index >= job->run.n_tasks)
		refusal = FL_EXIT_NO_SUCH;
	else if (find(m, p, false))
		refusal = FL_EXIT_BUSY;
	else if (!has_room(m, job))
		refusal = FL_EXIT_NO_ROOM;
	t = new_task(m, p);
	t->job = job;
	if (refusal != FL_EXIT_OTHER) {
		end_task(m, t, refusal);
		return;
	}
	t->report.state = FL_PULLING;
	t->until = fl_now() +
	           (has_image(m, job->run.image) ? 0 : job->run.image_gb * sim_between(0.8, 1.3));
	sim_machine_changed(m);
	look_at(m, t);
}

static void stop(struct sim_machine *m, struct sim_task *t, double wind_down_s)
{
	const struct fl_job_spec *run = &t->job->run;

	if (t->report.state == FL_FLUSHING) {
		if (wind_down_s <= 0)
			end_task(m, t, FL_EXIT_STOPPED);
		return;
	}
	if (t->report.state == FL_EXECUTING && run->checkpoint_every_s > 0 &&
	    wind_down_s >= run->checkpoint_cost_s) {
		keep_progress(t, true);
		t->report.state = FL_FLUSHING;
		t->until = fl_now() + run->checkpoint_cost_s;
		sim_machine_changed(m);
		return;
	}
	if (t->report.state == FL_EXECUTING)
		keep_progress(t, false);
	end_task(m, t, FL_EXIT_STOPPED);
}

static void order(struct sim_machine *m, const cJSON *e)
{
	struct fl_task_report p = {0};
	char verb[16] = "", name[64] = "";
	uint64_t attempt = 0;
	double wind_down_s = 0;
	struct sim_task *t;
	char *slash;

	fl_json_str(e, "Verb", verb, sizeof(verb));
	fl_json_str(e, "Part", name, sizeof(name));
	fl_json_count(e, "Try", &attempt);
	fl_json_amount(e, "WindDownS", &wind_down_s);
	slash = strchr(name, '/');
	sim_must(slash);
	*slash = 0;
	snprintf(p.ref, sizeof(p.ref), "%.*s", (int)sizeof(p.ref) - 1, name);
	p.index = (uint32_t)strtoul(slash + 1, NULL, 10);
	p.attempt = (uint32_t)attempt;
	t = find(m, &p, true);
	if (strcmp(verb, "launch") == 0)
		launch(m, &p);
	else if (strcmp(verb, "kill") == 0 && t && t->report.state != FL_ENDED)
		stop(m, t, wind_down_s);
	else if (strcmp(verb, "forget") == 0 && t && t->report.state == FL_ENDED)
		t->used = false;
}

void sim_tasks_command(struct sim_machine *m, const cJSON *o)
{
	const cJSON *e;

	cJSON_ArrayForEach (e, fl_json_get(o, "Orders"))
		order(m, e);
}
