/* Users and their balancer: submissions, polls, cancellations, and odd requests. */
#include "world.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

static const struct {
	double submit_s, poll_s; /* s for an answer */
	double every_s;          /* s between two polls */
	double later_s;          /* s between two polls of a job that is over */
	double retry_s;          /* s before a request is repeated */
	double give_up_s;        /* s after which a submission is given up */
	int asks;                /* polls in a row of one who cannot wait */
} rule = {5.0, 2.0, 5.0, 15.0, 1.0, 60.0, 10};

const struct world_team world_teams[WORLD_TEAMS] = {
	{"vision", 64, 128, 4, 10},
	{"speech", 48, 96, 4, 8},
};

static struct {
	bool healthy, ever;
	int fails, good;
	double away_until;
} node[WORLD_NODES];

/* ---- the balancer ---- */

static void probe_duty(void *arg)
{
	int at = *(const int *)arg;

	while (fl_sleep(1.0) == 0) {
		struct fl_reply reply;
		int rc = world_call((struct world_end){END_USER, 0},
		                    (struct world_end){END_NODE, at}, "GET", "/ready", NULL, 1.0,
		                    &reply);
		bool good = rc == 0 && reply.status == 200;

		if (rc == 0)
			fl_buf_free(&reply.body);
		node[at].fails = good ? 0 : node[at].fails + 1;
		node[at].good = good ? node[at].good + 1 : 0;
		if (node[at].fails == 2 && node[at].healthy) {
			node[at].healthy = false;
			node[at].away_until = fl_now() + 3;
		}
		if (node[at].good >= (node[at].ever ? 2 : 1) && fl_now() > node[at].away_until)
			node[at].healthy = node[at].ever = true;
	}
}

static int user_call(const char *method, const char *path, const char *body, double timeout_s,
                     struct fl_reply *out)
{
	double until = fl_now() + timeout_s;
	int rc = -EHOSTUNREACH;

	for (int tries = 0; tries < 3 && rc && rc != -ETIMEDOUT; tries++) {
		int fit = 0, at = -1;

		for (int i = 0; i < world.n_nodes; i++)
			if (node[i].healthy && world_pick(++fit) == 0)
				at = i;
		if (at < 0)
			return fl_cancelled() ? -ECANCELED : -EHOSTUNREACH;
		rc = world_call((struct world_end){END_USER, 0}, (struct world_end){END_NODE, at},
		                method, path, body, until - fl_now(), out);
		if (rc == -ECANCELED)
			break;
	}
	return rc;
}

/* ---- a job's user ---- */

struct world_job *world_job_find(const char *ref)
{
	for (int i = 0; i < world.n_jobs; i++)
		if (strcmp(world.job[i].run.ref, ref) == 0)
			return &world.job[i];
	return NULL;
}

static void submit_once(struct world_job *job)
{
	double sent = fl_now();
	struct fl_reply reply;

	if (job->sent == 0)
		job->sent = sent;
	if (user_call("POST", "/v2/runs", job->text, rule.submit_s, &reply) != 0)
		return;
	world_check_submitted(job, sent, reply.status, reply.body.data);
	fl_buf_free(&reply.body);
}

static void poll_once(struct world_job *job)
{
	double sent = fl_now();
	struct fl_reply reply;
	char path[64];

	snprintf(path, sizeof(path), "/v2/runs/%s", job->run.ref);
	if (user_call("GET", path, NULL, rule.poll_s, &reply) != 0)
		return;
	world.polls++;
	world_check_polled(job, sent, reply.status, reply.body.data);
	fl_buf_free(&reply.body);
}

static void user(void *arg)
{
	struct world_job *job = arg;
	double first;

	if (fl_sleep(world.begin + job->submit - fl_now()) != 0)
		return;
	first = fl_now();
	while (job->accepted == 0 && job->refused == 0 && fl_now() < first + rule.give_up_s) {
		submit_once(job);
		if (job->accepted == 0 &&
		    fl_sleep(rule.retry_s * world_between(1, 2)) == -ECANCELED)
			return;
	}
	while (job->accepted > 0) {
		bool over = job->told_done > 0 || job->told_aborted > 0;

		if (fl_sleep((over ? rule.later_s : rule.every_s) * world_between(0.9, 1.1)) != 0)
			return;
		poll_once(job);
	}
}

static void ask_routine(void *arg)
{
	for (int i = 0; i < rule.asks; i++) {
		if (fl_sleep(world_between(0, 0.4)) != 0)
			return;
		poll_once(arg);
	}
}

void world_user_asks(struct world_job *job)
{
	for (int i = 0; i < 2; i++)
		world_spawn(0, ask_routine, job);
}

static void cancel_routine(void *arg)
{
	struct world_job *job = arg;
	char path[64];
	bool answered = false;

	snprintf(path, sizeof(path), "/v2/runs/%s/cancel", job->run.ref);
	job->cancel_sent = fl_now();
	while (!answered) {
		double sent = fl_now();
		struct fl_reply reply;

		if (user_call("POST", path, NULL, rule.submit_s, &reply) == 0) {
			answered = reply.status == 200;
			world_check_cancelled(job, sent, reply.status, reply.body.data);
			fl_buf_free(&reply.body);
		}
		if (!answered && fl_sleep(rule.retry_s * world_between(1, 1.5)) != 0)
			return;
	}
}

void world_user_cancels(struct world_job *job)
{
	if (job->cancelling || job->accepted == 0)
		return;
	job->cancelling = true;
	world_user_asks(job);
	world_spawn(0, cancel_routine, job);
}

static void repeat_routine(void *arg)
{
	struct world_job *job = arg;

	submit_once(job);
	job->repeating = false;
}

void world_user_repeats(struct world_job *job)
{
	if (job->repeating || job->accepted == 0)
		return;
	job->repeating = true;
	world_spawn(0, repeat_routine, job);
}

static void cancel_duty(void *arg)
{
	struct world_job *job = arg;

	if (fl_sleep(world.begin + job->cancel - fl_now()) != 0)
		return;
	while (job->accepted == 0)
		if (job->refused > 0 || fl_sleep(1) != 0)
			return;
	world_user_cancels(job);
}

/* ---- jobs nobody submitted, and second thoughts ---- */

static void ask_for_nothing(const char *method, const char *path)
{
	struct fl_reply reply;

	if (user_call(method, path, NULL, rule.poll_s, &reply) != 0)
		return;
	if (reply.status == 200)
		world_broken("invented", "%s %s is answered 200", method, path);
	fl_buf_free(&reply.body);
}

static void odd_duty(void *arg)
{
	char path[64];

	(void)arg;
	while (fl_sleep(world_between(1, 4)) == 0) {
		struct world_job *job = &world.job[world_pick(world.n_jobs)];

		snprintf(path, sizeof(path), "/v2/runs/run-9%05d%s", world_pick(99999),
		         world_chance(0.5) ? "" : "/cancel");
		ask_for_nothing(strchr(path, 'l') ? "POST" : "GET", path);
		if (!world_troubled(ODD_REQUESTS, -1))
			continue;
		world_user_repeats(job);
		if (job->told_done > 0)
			world_user_cancels(job);
		if (world_chance(0.3) && world.n_jobs < WORLD_JOBS - 1) {
			job = world_job_add(world_time());
			job->bad = true;
			free(job->text);
			job->run.cpus = 500;
			job->text = fl_json_take(fl_run_encode(&job->run));
			if (world_chance(0.5))
				job->text[strlen(job->text) / 2] = 0;
			world_spawn(0, user, job);
		}
	}
}

/* ---- the day's jobs ---- */

static void shape(struct fl_run *r)
{
	r->kind = world_chance(0.3) ? FL_STANDING : FL_SWEEP;
	r->tier = (enum fl_tier)world_pick(4);
	r->parts = 1 + (uint32_t)world_pick(r->kind == FL_STANDING ? 4 : 6);
	r->cpus = 4 * (1 + world_pick(3));
	r->gpus = world_chance(0.3) ? 1 : 0;
	r->ram_gb = 8 * (1 + world_pick(3));
	r->image_gb = world_between(0.5, 4);
	r->n_host_kinds = -1;
	if (world_chance(0.25)) {
		r->n_host_kinds = 1;
		strcpy(r->host_kinds[0], world_kinds[r->gpus > 0 ? 1 : world_pick(2)].name);
	}
	r->has_site = world_chance(0.3);
	if (r->has_site)
		strcpy(r->site, world.config[0].zones[world_pick(world.n_zones)]);
	r->together = world_chance(0.15);
	r->apart = !r->together && !r->has_site && world_chance(0.25);
	r->reclaimable = world_chance(0.5);
}

struct world_job *world_job_add(double submit)
{
	struct world_job *job = &world.job[world.n_jobs];
	struct fl_run *r = &job->run;

	world_must(world.n_jobs < WORLD_JOBS);
	memset(job, 0, sizeof(*job));
	shape(r);
	snprintf(r->ref, sizeof(r->ref), "run-%06d", 1000 + (world.n_jobs * 7919) % 90000);
	strcpy(r->job_class, r->kind == FL_STANDING ? "serve" : "train");
	strcpy(r->owner, world_teams[world_pick(WORLD_TEAMS)].name);
	snprintf(r->bundle, sizeof(r->bundle), "img-%02d", world_pick(8));
	r->due_s = -1;
	if (r->kind == FL_SWEEP) {
		r->expected_s = world_between(8, 70);
		if (world_chance(0.6)) {
			r->snapshot_every_s = world_between(4, 10);
			r->snapshot_cost_s = world_between(0.5, 2);
		}
	}
	for (uint32_t i = 0; i < WORLD_PARTS; i++) {
		job->real_s[i] = r->expected_s * world_between(0.5, 1.6);
		job->host[i] = -1;
	}
	job->submit = submit;
	job->cancel = -1;
	if (r->kind == FL_STANDING ? world_chance(0.5) : world_chance(0.15))
		job->cancel = submit + world_between(20, 90);
	job->text = fl_json_take(fl_run_encode(r));
	world.n_jobs++;
	return job;
}

void world_user_submits(struct world_job *job)
{
	world_spawn(0, user, job);
	if (job->cancel >= 0)
		world_spawn(0, cancel_duty, job);
}

static int places[WORLD_NODES] = {0, 1, 2, 3, 4};

void world_users_begin(void)
{
	memset(node, 0, sizeof(node));
	for (int i = 0; i < world.n_nodes; i++)
		world_spawn(0, probe_duty, &places[i]);
	for (int i = 0; i < world.n_jobs; i++)
		world_user_submits(&world.job[i]);
	world_spawn(0, odd_duty, NULL);
}
