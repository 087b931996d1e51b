#include "reconcile_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "transport/clock.h"

int pick(struct sim *w, int n) { return (int)gsl_rng_uniform_int(w->g, (unsigned long)n); }

void ref_of(int job, char ref[FL_REF_MAX]) { snprintf(ref, FL_REF_MAX, "run-%06d", job); }

void host_of(int worker, char host[FL_NAME_MAX]) { snprintf(host, FL_NAME_MAX, "m-%06d", worker); }

char *report_text(struct sim *w, int at)
{
	struct worker *k = &w->worker[at];
	struct fl_task_report tasks[ON_MACHINE];
	struct fl_report r = {.session = k->session,
	                      .seq = ++k->seq,
	                      .epoch = k->epoch,
	                      .reclaim_in_s = -1,
	                      .tasks = tasks};

	host_of(at, r.host);
	strcpy(r.endpoint, "127.0.0.1:1");
	strcpy(r.type, "g");
	copy_text(r.zone, sizeof(r.zone), at % 2 ? "a" : "b");
	for (int i = 0; i < ON_MACHINE; i++)
		if (k->at[i].used)
			tasks[r.n_tasks++] = k->at[i].report;
	return fl_report_encode(&r);
}

static int live_on(const struct worker *k, const char *ref, uint32_t index)
{
	int n = 0;

	for (int i = 0; i < ON_MACHINE; i++)
		n += k->at[i].used && k->at[i].report.state != FL_ENDED &&
		     k->at[i].report.index == index && strcmp(k->at[i].report.ref, ref) == 0;
	return n;
}

void check_rules(struct sim *w)
{
	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX];

		ref_of(j, ref);
		for (uint32_t p = 0; p < TASKS; p++) {
			int on = 0;

			for (int k = 0; k < W; k++)
				on += live_on(&w->worker[k], ref, p);
			assert_in_range(on, 0, 1); /* ran_twice */
		}
	}
	for (int t = 0; t < 1; t++) {
		int live = 0;

		for (int k = 0; k < W; k++)
			for (int i = 0; i < ON_MACHINE; i++)
				live += w->worker[k].at[i].used &&
				        w->worker[k].at[i].report.state != FL_ENDED;
		assert_in_range(live, 0, 6); /* quota: 6 cpus at most, one each */
	}
}

static void do_launch(struct sim *w, struct worker *k, const struct fl_task_report *p)
{
	int job = atoi(p->ref + 4);

	for (int i = 0; i < ON_MACHINE; i++)
		if (k->at[i].used && k->at[i].report.index == p->index &&
		    k->at[i].report.attempt == p->attempt &&
		    strcmp(k->at[i].report.ref, p->ref) == 0)
			return;
	for (int i = 0; i < ON_MACHINE; i++) {
		if (k->at[i].used)
			continue;
		k->at[i].used = true;
		k->at[i].report = *p;
		k->at[i].report.state = FL_EXECUTING;
		if (live_on(k, p->ref, p->index) > 1) {
			k->at[i].report.state = FL_ENDED;
			k->at[i].report.exit = FL_EXIT_BUSY;
		} else if (w->really_done[job][p->index]) {
			k->at[i].report.state = FL_ENDED;
			k->at[i].report.exit = FL_EXIT_DONE;
		}
		w->launches++;
		check_rules(w);
		return;
	}
	fail_msg("a worker's table is full: nothing is ever forgotten");
}

static struct entry *entry_of(struct worker *k, const struct fl_task_report *p)
{
	for (int i = 0; i < ON_MACHINE; i++)
		if (k->at[i].used && k->at[i].report.index == p->index &&
		    k->at[i].report.attempt == p->attempt &&
		    strcmp(k->at[i].report.ref, p->ref) == 0)
			return &k->at[i];
	return NULL;
}

void execute(struct sim *w, int at, const char *text, bool direct)
{
	struct worker *k = &w->worker[at];
	cJSON *o = fl_json_parse(text, strlen(text));
	uint64_t epoch, session;
	const cJSON *e;

	assert_int_equal(fl_json_count(o, "Epoch", &epoch), FL_FIELD_OK);
	if (epoch < k->epoch)
		goto out;
	if (direct &&
	    (fl_json_count(o, "Tenure", &session) != FL_FIELD_OK || session != k->session))
		goto out;
	k->epoch = epoch;
	cJSON_ArrayForEach (e, fl_json_get(o, "Orders")) {
		char verb[16], name[48];
		struct fl_task_report p = {0};
		struct entry *x;
		uint64_t attempt;

		fl_json_str(e, "Verb", verb, sizeof(verb));
		fl_json_str(e, "Part", name, sizeof(name));
		fl_json_count(e, "Try", &attempt);
		p.attempt = (uint32_t)attempt;
		p.index = (uint32_t)atoi(strchr(name, '/') + 1);
		*strchr(name, '/') = 0;
		copy_text(p.ref, sizeof(p.ref), name);
		x = entry_of(k, &p);
		if (strcmp(verb, "launch") == 0) {
			do_launch(w, k, &p);
		} else if (strcmp(verb, "kill") == 0 && x && x->report.state != FL_ENDED) {
			x->report.state = FL_ENDED;
			x->report.exit = FL_EXIT_STOPPED;
		} else if (strcmp(verb, "forget") == 0 && x && x->report.state == FL_ENDED) {
			x->used = false;
		}
	}
out:
	cJSON_Delete(o);
}

void drop_answer(struct worker *k)
{
	free(k->answer);
	k->answer = NULL;
}

struct fl_job *add_job(struct sim *w, int job)
{
	struct fl_job_spec run = {.n_tasks = TASKS,
	                          .cpus = 1,
	                          .ram_gb = 1,
	                          .priority = FL_STANDARD,
	                          .n_machine_types = -1,
	                          .reclaimable = true,
	                          .due_s = -1};

	ref_of(job, run.ref);
	strcpy(run.team, "team");
	strcpy(run.job_class, "c");
	strcpy(run.image, "i");
	return fl_job_add(&w->node.cluster, &run, 0, 1);
}

void take_over(struct sim *w)
{
	struct fl_node *n = &w->node;
	struct fl_log log = {0};

	fl_cluster_forget_tasks(&n->cluster);
	memset(&n->lead, 0, sizeof(n->lead));
	n->cluster.leading = n->lead.active = true;
	n->lease.held = true;
	n->lease.valid_until = 1e18;
	n->lease.epoch = n->lead.first_epoch = ++w->epoch;
	for (int i = 0; i < 2; i++) {
		cJSON *v = w->log[i] ? fl_json_parse(w->log[i], strlen(w->log[i])) : NULL;

		if (v)
			assert_int_equal(fl_log_read(&log, v), 0);
		cJSON_Delete(v);
	}
	for (int j = 0; j < JOBS; j++) {
		struct fl_job *job = add_job(w, j);
		cJSON *v = w->record[j] ? fl_json_parse(w->record[j], strlen(w->record[j])) : NULL;

		if (v || log.n > 0)
			assert_int_equal(
				fl_chunk_restore(&n->cluster, job, 0, v, 1, &log, fl_now()), 0);
		cJSON_Delete(v);
	}
	fl_log_free(&log);
	w->takeovers++;
}

void place_some(struct sim *w)
{
	struct fl_cluster *b = &w->node.cluster;
	struct fl_job *job = HASH_COUNT(b->jobs) ? b->jobs : NULL;
	struct fl_team *t = &b->teams.at[0];

	for (int skip = pick(w, JOBS); job && skip > 0; skip--)
		job = job->hh.next;
	for (int i = 0; job && i < b->machines.n; i++) {
		struct fl_machine *m = b->machines.at[(i + pick(w, W)) % b->machines.n];
		uint32_t index = fl_task_next_waiting(job, 0, 1e18);

		if (index >= job->n_tasks || !m->up || m->used_cpus >= 4 ||
		    !fl_team_within_max(t, t->used_cpus + 1, 0))
			continue;
		assert_int_equal(fl_task_place(b, job, index, m, w->node.lease.epoch, fl_now()), 0);
	}
}

/* All that no record holds, in one or two values. */
static void save_log(struct sim *w)
{
	cJSON *value[2] = {fl_log_value_begin(), fl_log_value_begin()};
	int values = 1 + pick(w, 2), n = 0;

	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX], *group;
		struct fl_job *job;

		ref_of(j, ref);
		job = fl_job_find(&w->node.cluster, ref);
		group = job ? fl_log_group_encode(&w->node.cluster, job, 0) : NULL;
		if (!group)
			continue;
		fl_log_value_add(value[n++ % values], group);
		free(group);
		fl_job_chunk(job, 0)->logged_gen = fl_job_chunk(job, 0)->gen;
	}
	for (int i = 0; i < 2; i++) {
		if (i >= values) {
			cJSON_Delete(value[i]);
			continue;
		}
		free(w->log[i]);
		w->log[i] = fl_json_take(value[i]);
	}
	w->logs++;
}

void save_records(struct sim *w)
{
	if (pick(w, 2)) {
		save_log(w);
		return;
	}
	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX];
		struct fl_job *job;

		/* Records follow one by one, in any order. */
		if (pick(w, 2))
			continue;
		ref_of(j, ref);
		job = fl_job_find(&w->node.cluster, ref);
		if (!job || !fl_job_chunk(job, 0))
			continue;
		free(w->record[j]);
		w->record[j] = fl_json_take(fl_chunk_encode(&w->node.cluster, job, 0));
		fl_job_chunk(job, 0)->saved_gen = fl_job_chunk(job, 0)->gen;
	}
}

static void check_done(struct sim *w)
{
	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX];
		struct fl_job *job;

		ref_of(j, ref);
		job = fl_job_find(&w->node.cluster, ref);
		for (uint32_t p = 0; job && p < TASKS; p++) {
			const struct fl_task *t = fl_task_peek(job, p);

			if (t && t->phase == FL_TASK_DONE)
				assert_true(w->really_done[j][p]);
		}
	}
}

void leader_hears(struct sim *w, int at, const char *text, enum fl_report_source source)
{
	struct fl_orders orders;
	struct fl_report r;

	assert_int_equal(fl_report_decode(text, strlen(text), &r), 0);
	fl_orders_init(&orders, w->node.lease.epoch);
	if (fl_reconcile_report(&w->node, &r, source == FL_SOURCE_REPORT ? &orders : NULL,
	                        source) == 0 &&
	    source == FL_SOURCE_REPORT) {
		drop_answer(&w->worker[at]);
		w->worker[at].answer = fl_orders_take(&orders);
	} else {
		cJSON_Delete(orders.root);
	}
	fl_report_free(&r);
	check_done(w);
}

void post(struct sim *w, int at, char *text, bool command)
{
	struct mail *m;

	if (w->n_mail == MAIL) {
		free(w->mail[0].text);
		memmove(w->mail, w->mail + 1, sizeof(w->mail[0]) * (MAIL - 1));
		w->n_mail--;
	}
	m = &w->mail[w->n_mail++];
	m->worker = at;
	m->text = text;
	m->command = command;
}

void command_directly(struct sim *w, int at)
{
	struct fl_orders orders;
	char host[FL_NAME_MAX], *text;
	struct fl_machine *m;

	host_of(at, host);
	m = fl_machine_find(&w->node.cluster.machines, host);
	if (!m || !m->up)
		return;
	fl_orders_init(&orders, w->node.lease.epoch);
	fl_orders_session(&orders, m->session);
	if (!fl_reconcile_direct(&w->node, m, &orders)) {
		cJSON_Delete(orders.root);
		return;
	}
	text = fl_orders_take(&orders);
	if (pick(w, 2)) {
		execute(w, at, text, true);
		if (pick(w, 2)) {
			char *r = report_text(w, at);

			leader_hears(w, at, r, FL_SOURCE_COMMAND);
			free(r);
		}
	}
	/* Late, or once more after it was carried out. */
	post(w, at, text, true);
}

void deliver_late(struct sim *w)
{
	struct mail *m;

	if (w->n_mail == 0)
		return;
	m = &w->mail[pick(w, w->n_mail)];
	if (m->command)
		execute(w, m->worker, m->text, true);
	else
		leader_hears(w, m->worker, m->text, FL_SOURCE_FORWARDED);
}

void set_up(struct sim *w, unsigned long seed)
{
	struct fl_offered_type kind = {.name = "g",
	                               .cpus = 4,
	                               .ram_gb = 64,
	                               .pull_gb_s = 1,
	                               .price = 1,
	                               .ready_s = 10,
	                               .zones = {"a", "b"},
	                               .n_zones = 2};
	struct fl_cluster *b = &w->node.cluster;

	memset(w, 0, sizeof(*w));
	w->g = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(w->g, seed);
	w->node.config = &w->config;
	w->calm = seed % 3 == 0 ? 1 : seed % 3 == 1 ? 8 : 40;
	fl_names_add(&b->zones, "a");
	fl_names_add(&b->zones, "b");
	fl_machine_types_set(&b->machines, &b->zones, &kind, 1);
	strcpy(b->teams.at[0].name, "team");
	b->teams.at[0].cpus_max = 6;
	b->teams.n = 1;
	for (int i = 0; i < W; i++)
		w->worker[i].session = 1;
	take_over(w);
}

void tear_down(struct sim *w)
{
	for (int i = 0; i < w->n_mail; i++)
		free(w->mail[i].text);
	for (int i = 0; i < W; i++)
		drop_answer(&w->worker[i]);
	for (int i = 0; i < JOBS; i++)
		free(w->record[i]);
	free(w->log[0]);
	free(w->log[1]);
	fl_cluster_free(&w->node.cluster);
	gsl_rng_free(w->g);
}
