/*
 * Jobs, attempts and records under random interleavings: reports late or repeated, answers and
 * commands lost, late or carried out twice, leaders that end and are followed by others. A plain
 * simulation of workers watches that no task is ever on two machines, no team above its limit, no
 * finished job run again, and that what is called done is done.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "transport/clock.h"

enum { W = 4, JOBS = 3, TASKS = 5, MAIL = 400, ON_MACHINE = 64 };

struct entry {
	struct fl_task_report report;
	bool used;
};

struct worker {
	uint64_t session, seq, epoch;
	struct entry at[ON_MACHINE];
	char *answer; /* to the newest report, on its way; gone with the next report */
};

struct mail {
	int worker;
	char *text; /* a report, or the body of a direct command */
	bool command;
};

struct sim {
	struct fl_node node;
	struct fl_config config;
	struct worker worker[W];
	struct mail mail[MAIL];
	int n_mail;
	char *record[JOBS]; /* progress records, as the state service holds them */
	char *log[2]; /* and the log; a write need not fill both values, what was there stays */
	bool really_done[JOBS][TASKS];
	gsl_rng *g;
	uint64_t epoch;
	int launches, dones, takeovers, logs;
	int calm; /* the larger, the rarer a new epoch: late commands stay dangerous for longer */
};

static int pick(struct sim *w, int n) { return (int)gsl_rng_uniform_int(w->g, (unsigned long)n); }

static void ref_of(int job, char ref[FL_REF_MAX]) { snprintf(ref, FL_REF_MAX, "run-%06d", job); }

static void host_of(int worker, char host[FL_NAME_MAX])
{
	snprintf(host, FL_NAME_MAX, "m-%06d", worker);
}

/* ---- workers ---- */

static char *report_text(struct sim *w, int at)
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

static void check_rules(struct sim *w)
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

static void execute(struct sim *w, int at, const char *text, bool direct)
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

static void drop_answer(struct worker *k)
{
	free(k->answer);
	k->answer = NULL;
}

/* ---- the leader ---- */

static struct fl_job *add_job(struct sim *w, int job)
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

static void take_over(struct sim *w)
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

static void place_some(struct sim *w)
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

static void save_records(struct sim *w)
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

static void leader_hears(struct sim *w, int at, const char *text, enum fl_report_source source)
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

static void post(struct sim *w, int at, char *text, bool command)
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

static void command_directly(struct sim *w, int at)
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

static void deliver_late(struct sim *w)
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

/* ---- what happens ---- */

static void worker_reports(struct sim *w, int at)
{
	struct worker *k = &w->worker[at];
	char *text;

	/* An answer still on its way is carried out before the next report or never. */
	if (k->answer && pick(w, 4))
		execute(w, at, k->answer, false);
	drop_answer(k);
	text = report_text(w, at);
	if (pick(w, 5))
		leader_hears(w, at, text, FL_SOURCE_REPORT);
	post(w, at, text, false);
}

static void something_ends(struct sim *w, int at)
{
	struct worker *k = &w->worker[at];
	struct fl_task_report *p;

	/* Drawn and not used: the seeds play the same cases as before this was found. */
	(void)pick(w, ON_MACHINE);
	for (int i = 0; i < ON_MACHINE; i++) {
		if (!k->at[i].used || k->at[i].report.state == FL_ENDED || pick(w, 3))
			continue;
		p = &k->at[i].report;
		p->state = FL_ENDED;
		p->exit = pick(w, 4) == 0 ? FL_EXIT_DONE : FL_EXIT_ERROR;
		if (p->exit == FL_EXIT_DONE) {
			w->really_done[atoi(p->ref + 4)][p->index] = true;
			w->dones++;
		}
		return;
	}
}

static void session_ends(struct sim *w, int at)
{
	struct worker *k = &w->worker[at];

	memset(k->at, 0, sizeof(k->at));
	k->session++;
	drop_answer(k);
}

static void step(struct sim *w)
{
	int at = pick(w, W);

	switch (pick(w, 24)) {
	case 0:
		if (pick(w, 4) == 0)
			session_ends(w, at);
		break;
	case 1:
		if (pick(w, 4 * w->calm) == 0)
			take_over(w);
		break;
	case 2:
		if (pick(w, 3 * w->calm) == 0)
			w->node.lease.epoch = ++w->epoch;
		break;
	case 3:
	case 4:
	case 5:
		deliver_late(w);
		break;
	case 6:
	case 7:
		command_directly(w, at);
		break;
	case 8:
	case 9:
		something_ends(w, at);
		break;
	case 10:
	case 11:
	case 12:
		save_records(w);
		break;
	case 13:
	case 14:
		place_some(w);
		break;
	case 15: {
		/* The scheduler stops something to make room. */
		struct fl_machine *m =
			w->node.cluster.machines.n ? w->node.cluster.machines.at[0] : NULL;

		if (m && m->n_slots > 0)
			fl_task_peek(m->slots[0].job, m->slots[0].index)->stop = FL_STOP_PREEMPT;
		break;
	}
	default:
		worker_reports(w, at);
	}
	check_rules(w);
}

static void set_up(struct sim *w, unsigned long seed)
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

static void tear_down(struct sim *w)
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

static void no_interleaving_breaks_a_rule(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	int launches = 0, dones = 0, takeovers = 0, finished = 0;

	(void)state;
	for (unsigned long seed = 1; seed <= 150; seed++) {
		set_up(w, seed);
		for (int i = 0; i < 1500; i++)
			step(w);
		launches += w->launches;
		dones += w->dones;
		takeovers += w->takeovers;
		for (int j = 0; j < JOBS; j++) {
			bool all = true;

			for (int p = 0; p < TASKS; p++)
				all = all && w->really_done[j][p];
			finished += all;
		}
		tear_down(w);
	}
	/* The walk must get somewhere: jobs finish, leaders change. */
	assert_true(launches > 4000 && dones > 600 && takeovers > 500 && finished > 10);
	free(w);
}

/* A job cancelled before any task was placed has no chunks: it once ended the leader. */
static void a_job_without_chunks_is_harmless(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_job *job;

	(void)state;
	set_up(w, 1);
	job = fl_job_find(&w->node.cluster, "run-000000");
	assert_null(fl_job_chunk(job, 0));
	assert_true(fl_task_durable(job, 0));
	assert_null(fl_task_peek(job, TASKS - 1));
	fl_job_finalise(&w->node.cluster, job, FL_CANCELLED);
	assert_int_equal(fl_finished_find(&w->node.cluster, "run-000000")->status, FL_CANCELLED);
	tear_down(w);
	free(w);
}

/* A machine's attempts count in their zone from when the zone is known, and not before. */
static void zones_are_counted_when_they_become_known(void **state)
{
	static const char record[] = "{\"d\":[[0,1]],\"t\":[[2,7]],\"m\":[[3,2,\"m-000009\",1]]}";
	struct sim *w = malloc(sizeof(*w));
	struct fl_cluster *b;
	struct fl_job *job;
	cJSON *v;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	job = fl_job_find(b, "run-000001");
	v = fl_json_parse(record, strlen(record));
	assert_int_equal(fl_chunk_restore(b, job, 0, v, 5, NULL, fl_now()), 0);
	cJSON_Delete(v);
	assert_int_equal(job->n_done, 2);
	assert_int_equal(job->zone_unknown, 1);
	assert_int_equal(fl_task_peek(job, 2)->attempt, 7);
	fl_cluster_describe(b, fl_machine_find(&b->machines, "m-000009"), 0, 1, false, "x");
	assert_int_equal(job->zone_unknown, 0);
	assert_int_equal(job->zone_placed[1], 1);
	fl_task_release(b, job, 3, 0);
	assert_int_equal(job->zone_placed[1], 0);
	assert_int_equal(job->n_placed, 0);
	tear_down(w);
	free(w);
}

/*
 * The log is read with the records, whichever is newer: what is done stays done, a higher attempt
 * counts, and an attempt that was let go of is not placed again by an older word.
 */
static void log_and_record_say_the_later_of_two_things(void **state)
{
	static const char record[] = "{\"d\":[[0,0]],\"t\":[[1,4]],\"m\":[[2,2,\"m-000005\",1,9],"
				     "[3,1,\"m-000006\",1,9]]}";
	static const char older[] = "{\"log\":[[\"run-000001\",0,{\"d\":[],\"t\":[],\"m\":["
				    "[0,1,\"m-000007\",1,9],[1,4,\"m-000007\",1,9],"
				    "[2,1,\"m-000007\",1,9]]}]]}";
	static const char newer[] = "{\"log\":[[\"run-000001\",0,{\"d\":[[3,3]],\"t\":[[2,2]],"
				    "\"m\":[[4,1,\"m-000008\",1,9]]}]]}";
	static const char *const bad[] = {"{}", "{\"log\":[[\"x\",0,{}]]}",
	                                  "{\"log\":[[\"run-000001\",-1,{}]]}",
	                                  "{\"log\":[[\"run-000001\",0]]}"};
	struct sim *w = malloc(sizeof(*w));
	struct fl_log log = {0};
	struct fl_cluster *b;
	struct fl_job *job;
	cJSON *v;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	job = fl_job_find(b, "run-000001");
	for (int i = 0; i < 2; i++) {
		v = fl_json_parse(i ? newer : older, strlen(i ? newer : older));
		assert_int_equal(fl_log_read(&log, v), 0);
		cJSON_Delete(v);
	}
	v = fl_json_parse(record, strlen(record));
	assert_int_equal(fl_chunk_restore(b, job, 0, v, 5, &log, fl_now()), 0);
	cJSON_Delete(v);
	assert_true(log.at[0].taken && log.at[1].taken);
	assert_int_equal(fl_task_peek(job, 0)->phase, FL_TASK_DONE);
	assert_int_equal(fl_task_peek(job, 1)->phase, FL_TASK_WAITING);
	assert_int_equal(fl_task_peek(job, 1)->attempt, 4);
	assert_int_equal(fl_task_peek(job, 2)->phase, FL_TASK_WAITING);
	assert_int_equal(fl_task_peek(job, 2)->attempt, 2);
	assert_int_equal(fl_task_peek(job, 3)->phase, FL_TASK_DONE);
	assert_int_equal(fl_task_peek(job, 4)->phase, FL_TASK_PLACED);
	assert_int_equal(job->n_placed, 1);
	assert_int_equal(job->n_done, 2);
	/* What only the log holds is unsaved here too, so that the next log holds it again. */
	assert_true(job->queued_dirty);
	assert_false(fl_task_saved(fl_job_chunk(job, 0), fl_task_peek(job, 4)));
	assert_true(fl_task_saved(fl_job_chunk(job, 0), fl_task_peek(job, 1)));
	fl_log_free(&log);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		v = fl_json_parse(bad[i], strlen(bad[i]));
		assert_int_not_equal(fl_log_read(&log, v), 0);
		cJSON_Delete(v);
		fl_log_free(&log);
	}
	tear_down(w);
	free(w);
}

/* Hundreds of tasks of many jobs become durable in a few values, where records take one each. */
static void the_log_holds_many_jobs_in_few_values(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	size_t bytes = 0;
	int groups = 0;

	(void)state;
	set_up(w, 1);
	w->node.cluster.teams.at[0].cpus_max = 0;
	for (int j = 100; j < 160; j++) {
		struct fl_job *job = add_job(w, j);

		for (uint32_t p = 0; p < TASKS; p++) {
			char host[FL_NAME_MAX], *group;

			host_of(1000 + j * 2 + (int)p % 2, host);
			assert_int_equal(
				fl_task_place(&w->node.cluster, job, p,
			                      fl_machine_get(&w->node.cluster.machines, host, 0), 1,
			                      0),
				0);
			if (p + 1 < TASKS)
				continue;
			group = fl_log_group_encode(&w->node.cluster, job, 0);
			assert_non_null(group);
			bytes += strlen(group) + 1;
			groups++;
			free(group);
		}
	}
	assert_int_equal(groups, 60);
	/* 300 placements: at most five values of 4 KiB instead of sixty. */
	assert_true(bytes < 5 * 0.85 * 4096);
	tear_down(w);
	free(w);
}

/* A watch lags: the submission of a job that was over before the takeover is heard after it. */
static void a_late_word_brings_no_job_back(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_job_spec run = {.n_tasks = 1, .cpus = 1, .n_machine_types = -1, .due_s = -1};
	struct fl_cluster *b;
	cJSON *v;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	strcpy(run.ref, "run-000077");
	strcpy(run.team, "team");
	strcpy(run.job_class, "c");
	strcpy(run.image, "i");
	v = fl_job_record_live(&run, 5);
	b->list_rev = 100;
	assert_null(fl_cluster_apply(b, run.ref, v, 90));
	assert_non_null(fl_cluster_apply(b, run.ref, v, 101));
	/* Nor does a late word heard while the takeover lists: only its own list marks jobs. */
	b->list_rev = 0;
	fl_cluster_list_begin(b);
	assert_non_null(fl_cluster_apply(b, run.ref, v, 102));
	fl_cluster_list_end(b, 103);
	assert_null(fl_job_find(b, run.ref));
	assert_non_null(fl_cluster_apply(b, run.ref, v, 104));
	/* A follower drops what is deleted, and what a new list no longer holds. */
	b->leading = false;
	assert_null(fl_cluster_apply(b, run.ref, NULL, 110));
	assert_null(fl_job_find(b, run.ref));
	assert_non_null(fl_cluster_apply(b, run.ref, v, 120));
	fl_cluster_list_begin(b);
	fl_cluster_list_end(b, 119);
	assert_non_null(fl_job_find(b, run.ref));
	fl_cluster_list_end(b, 120);
	assert_null(fl_job_find(b, run.ref));
	cJSON_Delete(v);
	tear_down(w);
	free(w);
}

/* Final states are kept at hand up to a bound; the oldest are left to their records. */
static void final_states_at_hand_are_bounded(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_cluster *b;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	b->finished_max = 10;
	for (int i = 0; i < 25; i++) {
		char ref[FL_REF_MAX];

		ref_of(1000 + i, ref);
		fl_finished_add(b, ref, FL_DONE, 1, 0);
	}
	assert_int_equal(HASH_COUNT(b->finished), 10);
	assert_null(fl_finished_find(b, "run-001014"));
	assert_non_null(fl_finished_find(b, "run-001015"));
	tear_down(w);
	free(w);
}

/* A job that fails everywhere waits longer and longer, and does not make machines look faulty. */
static void a_job_that_always_fails_does_not_spin(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_machine *m;
	struct fl_cluster *b;
	struct fl_job *job;
	double now = fl_now(), last = 0;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	job = fl_job_find(b, "run-000000");
	for (int i = 0; i < 12; i++) {
		struct fl_report r = {.session = 1, .seq = 1, .epoch = 1, .reclaim_in_s = -1};
		struct fl_task_report p = {
			.index = (uint32_t)(i % TASKS), .state = FL_ENDED, .exit = FL_EXIT_ERROR};

		host_of(60 + i, r.host);
		m = fl_machine_get(&b->machines, r.host, 0);
		fl_cluster_describe(b, m, 0, 0, false, "x");
		m->session = 1;
		assert_int_equal(fl_task_place(b, job, p.index, m, 1, 0), 0);
		copy_text(p.ref, sizeof(p.ref), job->ref);
		p.attempt = fl_task_peek(job, p.index)->attempt;
		r.tasks = &p;
		r.n_tasks = 1;
		assert_int_equal(fl_reconcile_report(&w->node, &r, NULL, FL_SOURCE_COMMAND), 0);
		assert_true(m->avoid_until <= now);
		assert_true(i < 4 || job->not_before >= last);
		last = job->not_before;
	}
	assert_true(job->not_before > now + 30 && job->not_before < now + 90);
	tear_down(w);
	free(w);
}

/* A dropped tombstone gives its id to another machine, whose tasks must follow. */
static void purged_machines_leave_the_cluster_whole(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_machine *m[3];
	struct fl_cluster *b;
	struct fl_job *job;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	job = fl_job_find(b, "run-000000");
	for (int i = 0; i < 3; i++) {
		char host[FL_NAME_MAX];

		host_of(50 + i, host);
		m[i] = fl_machine_get(&b->machines, host, 0);
		fl_cluster_describe(b, m[i], 0, 0, false, "x");
		assert_int_equal(fl_task_place(b, job, (uint32_t)i, m[i], 1, 0), 0);
	}
	fl_reconcile_gone(&w->node, m[0], "test");
	fl_cluster_purge(b, fl_now() + 1);
	assert_int_equal(b->machines.n, 2);
	assert_null(fl_machine_find(&b->machines, "m-000050"));
	assert_ptr_equal(b->machines.at[fl_task_peek(job, 2)->machine], m[2]);
	assert_ptr_equal(b->machines.at[fl_task_peek(job, 1)->machine], m[1]);
	fl_task_release(b, job, 2, 0);
	assert_int_equal(m[2]->n_slots, 0);
	assert_int_equal(b->teams.at[0].used_cpus, 1);
	tear_down(w);
	free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_job_that_always_fails_does_not_spin),
		cmocka_unit_test(purged_machines_leave_the_cluster_whole),
		cmocka_unit_test(log_and_record_say_the_later_of_two_things),
		cmocka_unit_test(the_log_holds_many_jobs_in_few_values),
		cmocka_unit_test(a_late_word_brings_no_job_back),
		cmocka_unit_test(final_states_at_hand_are_bounded),
		cmocka_unit_test(no_interleaving_breaks_a_rule),
		cmocka_unit_test(a_job_without_chunks_is_harmless),
		cmocka_unit_test(zones_are_counted_when_they_become_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
