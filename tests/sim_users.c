/* Users and their balancer: submissions, polls, cancellations, and odd requests. */
#include "sim.h"

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

struct sim_team sim_teams[SIM_TEAMS] = {
	{"vision", 64, 128, 4, 10},
	{"speech", 48, 96, 4, 8},
};

static struct {
	bool healthy, ever;
	int fails, good;
	double away_until;
} node[SIM_NODES];

/* ---- the balancer ---- */

static void probe_duty(void *arg)
{
	int at = *(const int *)arg;

	while (fl_sleep(1.0) == 0) {
		struct fl_http_reply reply;
		int rc = sim_call((struct sim_endpoint){ENDPOINT_USER, 0},
		                  (struct sim_endpoint){ENDPOINT_NODE, at}, "GET", "/ready", NULL,
		                  1.0, &reply);
		bool good = rc == 0 && reply.status == 200;

		if (rc == 0)
			fl_buffer_free(&reply.body);
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
                     struct fl_http_reply *out)
{
	double until = fl_now() + timeout_s;
	int rc = -EHOSTUNREACH;

	for (int tries = 0; tries < 3 && rc && rc != -ETIMEDOUT; tries++) {
		int fit = 0, at = -1;

		for (int i = 0; i < sim.node_count; i++)
			if (node[i].healthy && sim_pick(++fit) == 0)
				at = i;
		if (at < 0)
			return fl_coroutine_cancelled() ? -ECANCELED : -EHOSTUNREACH;
		rc = sim_call((struct sim_endpoint){ENDPOINT_USER, 0},
		              (struct sim_endpoint){ENDPOINT_NODE, at}, method, path, body,
		              until - fl_now(), out);
		if (rc == -ECANCELED)
			break;
	}
	return rc;
}

/* ---- a job's user ---- */

struct sim_job *sim_job_find(const char *ref)
{
	for (int i = 0; i < sim.job_count; i++)
		if (strcmp(sim.jobs[i].spec.ref, ref) == 0)
			return &sim.jobs[i];
	return NULL;
}

/* What a user was told, and who looks again because of it. */
struct news {
	bool accepted, done, cancelled;
};

static struct news news_of(const struct sim_job *job)
{
	return (struct news){job->accepted > 0, job->told_done > 0, job->told_cancelled > 0};
}

static void look_if_new(struct sim_job *job, struct news before)
{
	struct news now = news_of(job);

	if (now.accepted != before.accepted || now.done != before.done ||
	    now.cancelled != before.cancelled)
		sim_user_reads_all_nodes(job);
}

static void submit_once(struct sim_job *job)
{
	struct news before = news_of(job);
	double sent = fl_now();
	struct fl_http_reply reply;

	if (job->sent == 0)
		job->sent = sent;
	if (user_call("POST", "/v2/runs", job->text, rule.submit_s, &reply) != 0)
		return;
	sim_check_submitted(job, sent, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
	look_if_new(job, before);
}

static void poll_once(struct sim_job *job)
{
	struct news before = news_of(job);
	double sent = fl_now();
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), "/v2/runs/%s", job->spec.ref);
	if (user_call("GET", path, NULL, rule.poll_s, &reply) != 0)
		return;
	sim.polls++;
	sim_check_polled(job, sent, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
	look_if_new(job, before);
}

static double storm(void)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_STATUS_QUERY_STORM, -1);

	return fault ? fault->magnitude : 1;
}

static void user(void *arg)
{
	struct sim_job *job = arg;
	double first;

	if (fl_sleep(sim.begin + job->submit - fl_now()) != 0)
		return;
	first = fl_now();
	while (job->accepted == 0 && job->refused == 0 && fl_now() < first + rule.give_up_s) {
		submit_once(job);
		if (job->accepted == 0 && fl_sleep(rule.retry_s * sim_between(1, 2)) == -ECANCELED)
			return;
	}
	while (job->accepted > 0) {
		bool over = job->told_done > 0 || job->told_cancelled > 0;

		if (fl_sleep((over ? rule.later_s : rule.every_s) * sim_between(0.9, 1.1) /
		             storm()) != 0)
			return;
		poll_once(job);
	}
}

static void ask_routine(void *arg)
{
	for (int i = 0; i < rule.asks; i++) {
		if (fl_sleep(sim_between(0, 0.4)) != 0)
			return;
		poll_once(arg);
	}
}

void sim_user_polls(struct sim_job *job)
{
	for (int i = 0; i < 2; i++)
		sim_spawn(0, ask_routine, job);
}

static void cancel_routine(void *arg)
{
	struct sim_job *job = arg;
	char path[64];
	bool answered = false;

	snprintf(path, sizeof(path), "/v2/runs/%s/cancel", job->spec.ref);
	job->cancel_sent = fl_now();
	while (!answered) {
		struct news before = news_of(job);
		double sent = fl_now();
		struct fl_http_reply reply;

		if (user_call("POST", path, NULL, rule.submit_s, &reply) == 0) {
			answered = reply.status == 200;
			sim_check_cancelled(job, sent, reply.status, reply.body.data);
			fl_buffer_free(&reply.body);
			look_if_new(job, before);
		}
		if (!answered && fl_sleep(rule.retry_s * sim_between(1, 1.5)) != 0)
			return;
	}
}

void sim_user_cancels(struct sim_job *job)
{
	if (job->cancelling || job->accepted == 0)
		return;
	job->cancelling = true;
	sim_user_polls(job);
	sim_spawn(0, cancel_routine, job);
}

static void repeat_routine(void *arg)
{
	struct sim_job *job = arg;

	submit_once(job);
	job->repeating = false;
}

void sim_user_repeats(struct sim_job *job)
{
	if (job->repeating || job->accepted == 0)
		return;
	job->repeating = true;
	sim_spawn(0, repeat_routine, job);
}

static void cancel_duty(void *arg)
{
	struct sim_job *job = arg;

	if (fl_sleep(sim.begin + job->cancel - fl_now()) != 0)
		return;
	while (job->accepted == 0)
		if (job->refused > 0 || fl_sleep(1) != 0)
			return;
	sim_user_cancels(job);
}

/* ---- jobs nobody submitted, and second thoughts ---- */

static void ask_for_nothing(const char *method, const char *path)
{
	struct fl_http_reply reply;

	if (user_call(method, path, NULL, rule.poll_s, &reply) != 0)
		return;
	if (reply.status == 200)
		sim_violation("invented", "%s %s is answered 200", method, path);
	fl_buffer_free(&reply.body);
}

static void odd_duty(void *arg)
{
	char path[64];

	(void)arg;
	while (fl_sleep(sim_between(1, 4)) == 0) {
		struct sim_job *job = &sim.jobs[sim_pick(sim.job_count)];

		snprintf(path, sizeof(path), "/v2/runs/run-9%05d%s", sim_pick(99999),
		         sim_chance(0.5) ? "" : "/cancel");
		ask_for_nothing(strchr(path, 'l') ? "POST" : "GET", path);
		if (!sim_fault_active(FAULT_INVALID_REQUESTS, -1))
			continue;
		sim_user_repeats(job);
		if (job->told_done > 0)
			sim_user_cancels(job);
		if (sim_chance(0.3) && sim.job_count < SIM_USUAL_JOBS - 1) {
			job = sim_job_add(sim_time());
			job->bad = true;
			job->spec.cpus = 500;
			sim_job_rewritten(job);
			if (sim_chance(0.5))
				job->text[strlen(job->text) / 2] = 0;
			sim_spawn(0, user, job);
		}
	}
}

/* ---- the day's jobs ---- */

static void shape(struct fl_job_spec *spec)
{
	spec->kind = sim_chance(0.3) ? FL_SERVICE : FL_ARRAY;
	spec->priority = (enum fl_priority)sim_pick(4);
	spec->task_count = 1 + (uint32_t)sim_pick(spec->kind == FL_SERVICE ? 4 : 6);
	spec->cpus = 4 * (1 + sim_pick(3));
	spec->gpus = sim_chance(0.3) ? 1 : 0;
	spec->ram_gb = 8 * (1 + sim_pick(3));
	spec->image_gb = sim_between(0.5, 4);
	spec->machine_type_count = -1;
	if (sim_chance(0.25)) {
		spec->machine_type_count = 1;
		sim_copy(spec->machine_types[0], sizeof(spec->machine_types[0]),
		         sim_machine_types[spec->gpus > 0 ? 1 : sim_pick(2)].name);
	}
	spec->has_zone = sim_chance(0.3);
	if (spec->has_zone)
		sim_copy(spec->zone, sizeof(spec->zone),
		         sim.config[0].zones[sim_pick(sim.zone_count)]);
	spec->same_zone = sim_chance(0.15);
	spec->spread_zones = !spec->same_zone && !spec->has_zone && sim_chance(0.25);
	spec->spot_allowed = sim_chance(0.5);
}

struct sim_job *sim_job_add(double submit)
{
	struct sim_job *job = &sim.jobs[sim.job_count];
	struct fl_job_spec *spec = &job->spec;

	sim_require(sim.job_count < SIM_JOBS);
	memset(job, 0, sizeof(*job));
	shape(spec);
	snprintf(spec->ref, sizeof(spec->ref), "run-%06d", 1000 + (sim.job_count * 7919) % 90000);
	sim_copy(spec->job_class, sizeof(spec->job_class),
	         spec->kind == FL_SERVICE ? "serve" : "train");
	sim_copy(spec->team, sizeof(spec->team), sim_teams[sim_pick(SIM_TEAMS)].name);
	snprintf(spec->image, sizeof(spec->image), "img-%02d", sim_pick(8));
	spec->due_s = -1;
	if (spec->kind == FL_ARRAY) {
		spec->expected_s = sim_between(8, 70);
		if (sim_chance(0.6)) {
			spec->checkpoint_every_s = sim_between(4, 10);
			spec->checkpoint_cost_s = sim_between(0.5, 2);
		}
	}
	for (uint32_t i = 0; i < SIM_JOB_TASKS; i++) {
		job->duration_s[i] = spec->expected_s * sim_between(0.5, 1.6);
		job->last_machine[i] = -1;
	}
	job->submit = submit;
	job->cancel = -1;
	if (spec->kind == FL_SERVICE ? sim_chance(0.5) : sim_chance(0.15))
		job->cancel = submit + sim_between(20, 90);
	job->text = fl_json_print_and_delete(fl_job_spec_encode(spec));
	sim.job_count++;
	return job;
}

void sim_job_rewritten(struct sim_job *job)
{
	free(job->text);
	job->text = fl_json_print_and_delete(fl_job_spec_encode(&job->spec));
}

void sim_user_submits(struct sim_job *job)
{
	sim_spawn(0, user, job);
	if (job->cancel >= 0)
		sim_spawn(0, cancel_duty, job);
}

static int places[SIM_NODES] = {0, 1, 2, 3, 4};

void sim_users_begin(void)
{
	memset(node, 0, sizeof(node));
	for (int i = 0; i < sim.node_count; i++)
		sim_spawn(0, probe_duty, &places[i]);
	for (int i = 0; i < sim.job_count; i++)
		sim_user_submits(&sim.jobs[i]);
	sim_spawn(0, odd_duty, NULL);
}
