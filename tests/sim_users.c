/* Users and their balancer: submissions, polls, cancellations, and odd requests. */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "protocol/json.h"
#include "transport/clock.h"

static const struct {
	double submit_timeout_s, query_timeout_s; /* s for an answer */
	double query_interval_s;                  /* s between two polls */
	double final_query_interval_s;            /* s between two polls of a job that is over */
	double retry_interval_s;                  /* s before a request is repeated */
	double submit_give_up_s;                  /* s after which a submission is given up */
	int repeated_query_count;                 /* polls in a row of one who cannot wait */
} rule = {5.0, 2.0, 5.0, 15.0, 1.0, 60.0, 10};

struct sim_team sim_teams[SIM_TEAMS] = {
	{"vision", 64, 128, 4, 10},
	{"speech", 48, 96, 4, 8},
};

static struct {
	bool healthy, was_healthy;
	int failed_probes, passed_probes;
	double unhealthy_until;
} node[SIM_NODES];

/* ---- the balancer ---- */

static void probe_node(void *arg)
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
		node[at].failed_probes = good ? 0 : node[at].failed_probes + 1;
		node[at].passed_probes = good ? node[at].passed_probes + 1 : 0;
		if (node[at].failed_probes == 2 && node[at].healthy) {
			node[at].healthy = false;
			node[at].unhealthy_until = fl_now() + 3;
		}
		if (node[at].passed_probes >= (node[at].was_healthy ? 2 : 1) &&
		    fl_now() > node[at].unhealthy_until)
			node[at].healthy = node[at].was_healthy = true;
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

static struct news user_view_of(const struct sim_job *job)
{
	return (struct news){job->accepted_at > 0, job->reported_done_at > 0,
	                     job->reported_cancelled_at > 0};
}

static void read_if_changed(struct sim_job *job, struct news before)
{
	struct news now = user_view_of(job);

	if (now.accepted != before.accepted || now.done != before.done ||
	    now.cancelled != before.cancelled)
		sim_user_read_all_nodes(job);
}

static void submit_once(struct sim_job *job)
{
	struct news before = user_view_of(job);
	double sent = fl_now();
	struct fl_http_reply reply;

	if (job->first_sent_at == 0)
		job->first_sent_at = sent;
	if (user_call("POST", "/v2/runs", job->request_body, rule.submit_timeout_s, &reply) != 0)
		return;
	sim_check_submit_reply(job, sent, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
	read_if_changed(job, before);
}

static void query_once(struct sim_job *job)
{
	struct news before = user_view_of(job);
	double sent = fl_now();
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), "/v2/runs/%s", job->spec.ref);
	if (user_call("GET", path, NULL, rule.query_timeout_s, &reply) != 0)
		return;
	sim.status_queries++;
	sim_check_query_reply(job, sent, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
	read_if_changed(job, before);
}

static double query_rate_factor(void)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_STATUS_QUERY_STORM, -1);

	return fault ? fault->magnitude : 1;
}

static void run_user(void *arg)
{
	struct sim_job *job = arg;
	double first;

	if (fl_sleep(sim.started_at + job->submit_s - fl_now()) != 0)
		return;
	first = fl_now();
	while (job->accepted_at == 0 && job->rejected_at == 0 &&
	       fl_now() < first + rule.submit_give_up_s) {
		submit_once(job);
		if (job->accepted_at == 0 &&
		    fl_sleep(rule.retry_interval_s * sim_between(1, 2)) == -ECANCELED)
			return;
	}
	while (job->accepted_at > 0) {
		bool over = job->reported_done_at > 0 || job->reported_cancelled_at > 0;

		if (fl_sleep((over ? rule.final_query_interval_s : rule.query_interval_s) *
		             sim_between(0.9, 1.1) / query_rate_factor()) != 0)
			return;
		query_once(job);
	}
}

static void query_repeatedly(void *arg)
{
	for (int i = 0; i < rule.repeated_query_count; i++) {
		if (fl_sleep(sim_between(0, 0.4)) != 0)
			return;
		query_once(arg);
	}
}

void sim_user_query_repeatedly(struct sim_job *job)
{
	for (int i = 0; i < 2; i++)
		sim_spawn(0, query_repeatedly, job);
}

static void cancel_until_answered(void *arg)
{
	struct sim_job *job = arg;
	char path[64];
	bool answered = false;

	snprintf(path, sizeof(path), "/v2/runs/%s/cancel", job->spec.ref);
	job->cancel_sent_at = fl_now();
	while (!answered) {
		struct news before = user_view_of(job);
		double sent = fl_now();
		struct fl_http_reply reply;

		if (user_call("POST", path, NULL, rule.submit_timeout_s, &reply) == 0) {
			answered = reply.status == 200;
			sim_check_cancel_reply(job, sent, reply.status, reply.body.data);
			fl_buffer_free(&reply.body);
			read_if_changed(job, before);
		}
		if (!answered && fl_sleep(rule.retry_interval_s * sim_between(1, 1.5)) != 0)
			return;
	}
}

void sim_user_cancel(struct sim_job *job)
{
	if (job->cancel_requested || job->accepted_at == 0)
		return;
	job->cancel_requested = true;
	sim_user_query_repeatedly(job);
	sim_spawn(0, cancel_until_answered, job);
}

static void resubmit(void *arg)
{
	struct sim_job *job = arg;

	submit_once(job);
	job->resubmitting = false;
}

void sim_user_resubmit(struct sim_job *job)
{
	if (job->resubmitting || job->accepted_at == 0)
		return;
	job->resubmitting = true;
	sim_spawn(0, resubmit, job);
}

static void cancel_when_due(void *arg)
{
	struct sim_job *job = arg;

	if (fl_sleep(sim.started_at + job->cancel_s - fl_now()) != 0)
		return;
	while (job->accepted_at == 0)
		if (job->rejected_at > 0 || fl_sleep(1) != 0)
			return;
	sim_user_cancel(job);
}

/* ---- jobs nobody submitted, and second thoughts ---- */

static void query_unknown_job(const char *method, const char *path)
{
	struct fl_http_reply reply;

	if (user_call(method, path, NULL, rule.query_timeout_s, &reply) != 0)
		return;
	if (reply.status == 200)
		sim_violation("invented", "%s %s is answered 200", method, path);
	fl_buffer_free(&reply.body);
}

static void send_invalid_requests(void *arg)
{
	char path[64];

	(void)arg;
	while (fl_sleep(sim_between(1, 4)) == 0) {
		struct sim_job *job = &sim.jobs[sim_pick(sim.job_count)];

		snprintf(path, sizeof(path), "/v2/runs/run-9%05d%s", sim_pick(99999),
		         sim_chance(0.5) ? "" : "/cancel");
		query_unknown_job(strchr(path, 'l') ? "POST" : "GET", path);
		if (!sim_fault_active(FAULT_INVALID_REQUESTS, -1))
			continue;
		sim_user_resubmit(job);
		if (job->reported_done_at > 0)
			sim_user_cancel(job);
		if (sim_chance(0.3) && sim.job_count < SIM_BURST_JOBS_MAX - 1) {
			job = sim_job_add(sim_time());
			job->invalid = true;
			job->spec.cpus = 500;
			sim_job_encode_request(job);
			if (sim_chance(0.5))
				job->request_body[strlen(job->request_body) / 2] = 0;
			sim_spawn(0, run_user, job);
		}
	}
}

/* ---- the day's jobs ---- */

static void choose_spec(struct fl_job_spec *spec)
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
		copy_text(spec->machine_types[0], sizeof(spec->machine_types[0]),
		          sim_machine_types[spec->gpus > 0 ? 1 : sim_pick(2)].name);
	}
	spec->has_zone = sim_chance(0.3);
	if (spec->has_zone)
		copy_text(spec->zone, sizeof(spec->zone),
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
	choose_spec(spec);
	snprintf(spec->ref, sizeof(spec->ref), "run-%06d", 1000 + (sim.job_count * 7919) % 90000);
	copy_text(spec->job_class, sizeof(spec->job_class),
	          spec->kind == FL_SERVICE ? "serve" : "train");
	copy_text(spec->team, sizeof(spec->team), sim_teams[sim_pick(SIM_TEAMS)].name);
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
	job->submit_s = submit;
	job->cancel_s = -1;
	if (spec->kind == FL_SERVICE ? sim_chance(0.5) : sim_chance(0.15))
		job->cancel_s = submit + sim_between(20, 90);
	job->request_body = fl_json_print_and_delete(fl_job_spec_encode(spec));
	sim.job_count++;
	return job;
}

void sim_job_encode_request(struct sim_job *job)
{
	free(job->request_body);
	job->request_body = fl_json_print_and_delete(fl_job_spec_encode(&job->spec));
}

void sim_user_start(struct sim_job *job)
{
	sim_spawn(0, run_user, job);
	if (job->cancel_s >= 0)
		sim_spawn(0, cancel_when_due, job);
}

static int places[SIM_NODES] = {0, 1, 2, 3, 4};

void sim_users_begin(void)
{
	memset(node, 0, sizeof(node));
	for (int i = 0; i < sim.node_count; i++)
		sim_spawn(0, probe_node, &places[i]);
	for (int i = 0; i < sim.job_count; i++)
		sim_user_start(&sim.jobs[i]);
	sim_spawn(0, send_invalid_requests, NULL);
}
