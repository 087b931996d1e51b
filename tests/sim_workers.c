/* Machines: reports, leases, commands, and tasks that run, save, end, hang and go on. */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

enum { BODY_MOST = 64 * 1024 }; /* bytes of a request */

static const struct {
	double patience_s; /* s for an answer */
	double next_s;     /* s before the next node is tried */
	double gap_s;      /* s between two reports at least */
	double tick_s;     /* s between two looks at the tasks */
	double notice_s;   /* s of a spot machine's notice */
} rule = {4.0, 1.0, 0.5, 0.05, 20.0};

static int index_of(const struct sim_machine *m) { return (int)(m - sim.machine); }

static void change(struct sim_machine *m)
{
	m->changed = true;
	fl_signal_wake(&m->work);
}

/* ---- tasks ---- */

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
	change(m);
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
		change(m);
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
	if (last && end)
		sim_user_asks(job);
	if (last && end && sim_chance(end->much)) {
		sim_user_cancels(job);
		sim_user_repeats(job);
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

/* The lease has run out: everything goes, and a new session begins. */
static void lapse(struct sim_machine *m)
{
	if (fl_now() <= m->lease_from + sim.lease_s)
		return;
	for (int i = 0; i < m->n_tasks; i++) {
		if (m->task[i].used)
			leave(&m->task[i]);
		m->task[i].used = false;
	}
	m->session++;
	m->lease_from = fl_now();
	change(m);
}

static void tick(struct sim_machine *m)
{
	lapse(m);
	for (int i = 0; i < m->n_tasks; i++)
		if (m->task[i].used)
			look_at(m, &m->task[i]);
	if (m->reclaim_at > 0 && fl_now() > m->reclaim_at)
		sim_machine_ends(index_of(m));
}

static void tick_duty(void *arg)
{
	(void)arg;
	while (fl_sleep(rule.tick_s) == 0)
		for (int i = 0; i < sim.n_machines; i++) {
			struct sim_machine *m = &sim.machine[i];

			if (m->up && !m->gone && !m->hung)
				tick(m);
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
	change(m);
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
		change(m);
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

static void see_epoch(struct sim_machine *m, uint64_t epoch)
{
	if (epoch <= m->epoch)
		return;
	m->epoch = epoch;
	if (fl_now() < m->epoch_told + sim.lease_s / 2)
		return;
	m->epoch_told = fl_now();
	change(m);
}

static void orders(struct sim_machine *m, const cJSON *o)
{
	const cJSON *e;

	cJSON_ArrayForEach (e, fl_json_get(o, "Orders"))
		order(m, e);
}

/* ---- reports ---- */

static char *report_text(struct sim_machine *m)
{
	struct fl_task_report tasks[SIM_TASKS];
	struct fl_report r = {.session = m->session,
	                      .seq = ++m->seq,
	                      .epoch = m->epoch,
	                      .spot = m->spot,
	                      .reclaim_in_s = -1,
	                      .tasks = tasks};

	sim_copy(r.host, sizeof(r.host), m->name);
	sim_address((struct sim_end){END_WORKER, index_of(m)}, r.endpoint);
	sim_copy(r.type, sizeof(r.type), sim_machine_types[m->type].name);
	sim_copy(r.zone, sizeof(r.zone), sim.config[0].zones[m->zone]);
	if (m->reclaim_at > 0 && fl_now() > m->reclaim_at - rule.notice_s)
		r.reclaim_in_s = m->reclaim_at > fl_now() ? m->reclaim_at - fl_now() : 0;
	for (int i = 0; i < m->n_tasks; i++)
		if (m->task[i].used)
			tasks[r.n_tasks++] = m->task[i].report;
	return fl_report_encode(&r);
}

struct copy {
	char *text;
	int machine, node;
};

static void copy_routine(void *arg)
{
	struct copy *c = arg;
	struct fl_reply reply;

	/* From 2 s to well over a lease later, in any order, and nobody reads the answer. */
	if (fl_sleep(sim_between(2, 2.5 * sim.lease_s)) == 0 &&
	    sim_call((struct sim_end){END_WORKER, c->machine}, (struct sim_end){END_NODE, c->node},
	             "POST", "/hello", c->text, 4, &reply) == 0)
		fl_buf_free(&reply.body);
	free(c->text);
	free(c);
}

static void copy_later(const struct sim_machine *m, const char *text)
{
	const struct sim_trouble *late = sim_troubled(LATE_REPORTS, -1);
	struct copy *c;

	if (!late || !sim_chance(late->much))
		return;
	c = malloc(sizeof(*c));
	sim_must(c != NULL);
	*c = (struct copy){strdup(text), index_of(m), sim_pick(sim.n_nodes)};
	sim_spawn(0, copy_routine, c);
}

static void heed(struct sim_machine *m, double sent, uint64_t session, const cJSON *o)
{
	uint64_t epoch = 0;

	if (fl_json_count(o, "Epoch", &epoch) != FL_FIELD_OK || epoch < m->epoch ||
	    session != m->session)
		return; /* dropped: it stays here while its lease runs out */
	see_epoch(m, epoch);
	m->lease_from = sent;
	orders(m, o);
}

/* Where to next, and in how many seconds. */
static double move_on(struct sim_machine *m, const struct fl_reply *reply, int rc)
{
	cJSON *o = rc == 0 && reply->status == 421
	                   ? fl_json_parse(reply->body.data, reply->body.len)
	                   : NULL;
	char name[FL_NAME_MAX] = "";
	int to = -1;

	fl_json_str(o, "Steward", name, sizeof(name));
	cJSON_Delete(o);
	for (int i = 0; i < sim.n_nodes; i++)
		if (strcmp(sim.config[i].node, name) == 0)
			to = i;
	if (to >= 0 && to != m->node) {
		m->node = to;
		return sim_chance(0.5) ? 0 : sim_between(0, 0.5);
	}
	m->node = (m->node + 1) % sim.n_nodes;
	return rule.next_s;
}

/* Standing still: what comes meanwhile waits. False if the machine has ended. */
static bool goes_on(struct sim_machine *m)
{
	while (m->hung && !m->gone)
		if (fl_signal_wait(&m->goes_on, -1) == -ECANCELED)
			return false;
	return !m->gone && !fl_cancelled();
}

/* s until the next report may be due; < 0: as usual. */
static double report(struct sim_machine *m)
{
	double sent = fl_now(), pause = -1;
	uint64_t session = m->session;
	char *text = report_text(m);
	struct fl_reply reply;
	int rc;

	if (strlen(text) > BODY_MOST)
		sim_broken("too_large", "%s has to report %d tasks", m->name, m->n_tasks);
	m->last_sent = sent;
	m->changed = false;
	copy_later(m, text);
	rc = sim_call((struct sim_end){END_WORKER, index_of(m)},
	              (struct sim_end){END_NODE, m->node}, "POST", "/hello", text, rule.patience_s,
	              &reply);
	free(text);
	if (goes_on(m)) {
		if (rc == 0 && fl_now() > sent + rule.patience_s) {
			fl_buf_free(&reply.body);
			rc = -ETIMEDOUT;
		}
		lapse(m);
		if (rc == 0 && reply.status == 200) {
			cJSON *o = fl_json_parse(reply.body.data, reply.body.len);

			heed(m, sent, session, o);
			cJSON_Delete(o);
		} else {
			pause = move_on(m, &reply, rc);
		}
	}
	if (rc == 0)
		fl_buf_free(&reply.body);
	return pause;
}

static double due_in(const struct sim_machine *m, double due)
{
	double soonest = m->last_sent + rule.gap_s;

	if (m->changed && soonest < due)
		due = soonest;
	return due - fl_now();
}

static void worker(void *arg)
{
	struct sim_machine *m = arg;
	double due, wait, pause;

	if (m->never_up || fl_sleep(m->ready - fl_now()) != 0 || m->gone)
		return;
	m->up = true;
	m->session = 1;
	m->lease_from = fl_now();
	m->node = sim_pick(sim.n_nodes);
	m->last_sent = -1;
	due = fl_now();
	while (!m->gone) {
		while (!m->gone && (wait = due_in(m, due)) > 0)
			if (fl_signal_wait(&m->work, wait) == -ECANCELED)
				return;
		if (!goes_on(m))
			return;
		lapse(m);
		pause = report(m);
		if (pause > 0 && fl_sleep(pause) != 0)
			return;
		due = pause >= 0 ? fl_now() : m->last_sent + sim.report_s * sim_between(0.75, 1.25);
	}
}

/* ---- direct commands ---- */

static void say_report(struct sim_machine *m, struct fl_response *resp, int status)
{
	resp->status = status;
	resp->body = report_text(m);
}

void sim_worker_serve(struct sim_end from, int process, int machine, const struct fl_request *req,
                      struct fl_response *resp)
{
	struct sim_machine *m = &sim.machine[machine];
	uint64_t epoch = 0, session = 0;
	cJSON *o;

	(void)from;
	if (!goes_on(m)) {
		resp->status = SIM_SILENCE;
		return;
	}
	lapse(m);
	if (strcmp(req->path, "/show") == 0) {
		say_report(m, resp, 200);
		return;
	}
	o = fl_json_parse(req->body, req->body_len);
	if (fl_json_count(o, "Epoch", &epoch) != FL_FIELD_OK ||
	    fl_json_count(o, "Tenure", &session) != FL_FIELD_OK) {
		resp->status = 400;
	} else if (epoch < m->epoch || session != m->session) {
		sim_check_epoch(epoch, process);
		say_report(m, resp, 409);
	} else {
		sim_check_epoch(epoch, process);
		see_epoch(m, epoch);
		orders(m, o);
		say_report(m, resp, 200);
	}
	cJSON_Delete(o);
}

/* ---- their comings and goings ---- */

void sim_worker_boot(int machine) { sim_spawn(0, worker, &sim.machine[machine]); }

void sim_machine_ends(int machine)
{
	struct sim_machine *m = &sim.machine[machine];

	if (m->gone)
		return;
	m->gone = true;
	m->gone_at = fl_now();
	for (int i = 0; i < m->n_tasks; i++) {
		if (m->task[i].used)
			leave(&m->task[i]);
		m->task[i].used = false;
	}
	fl_signal_wake(&m->work);
	fl_signal_wake(&m->goes_on);
}

void sim_machine_hangs(int machine, bool hangs)
{
	struct sim_machine *m = &sim.machine[machine];

	if (m->hung == hangs || m->gone)
		return;
	m->hung = hangs;
	if (hangs) {
		m->hung_since = fl_now();
		return;
	}
	for (int i = 0; i < m->n_tasks; i++) {
		struct sim_task *t = &m->task[i];

		if (!t->used)
			continue;
		t->began += fl_now() - m->hung_since;
		if (t->until >= 0)
			t->until += fl_now() - m->hung_since;
	}
	lapse(m);
	fl_signal_wake(&m->goes_on);
}

void sim_workers_begin(void) { sim_spawn(0, tick_duty, NULL); }
