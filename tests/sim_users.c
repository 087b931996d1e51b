/* Users: submissions, status queries, cancellations, and invalid requests. */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "transport/clock.h"

static const struct {
	double submit_timeout_s, query_timeout_s;
	double query_interval_s;
	double final_query_interval_s; /* interval for a job that is done or cancelled */
	double retry_interval_s;       /* delay before a request is repeated */
	double submit_retry_timeout_s; /* time after which a submission is no longer retried */
	int repeated_queries;          /* queries of one user in quick succession */
} tunables = {5.0, 2.0, 5.0, 15.0, 1.0, 60.0, 10};

/* ---- one request ---- */

/* The state of a job that replies have reported; when it changes, users may query all nodes. */
struct user_view {
	bool accepted, done, cancelled;
};

static struct user_view user_view_of(const struct sim_job *job)
{
	return (struct user_view){job->accepted_at > 0, job->reported_done_at > 0,
	                          job->reported_cancelled_at > 0};
}

static void read_all_nodes_if_changed(struct sim_job *job, struct user_view before)
{
	struct user_view now = user_view_of(job);

	if (now.accepted != before.accepted || now.done != before.done ||
	    now.cancelled != before.cancelled)
		sim_user_read_all_nodes(job);
}

static void resubmit(void *arg);

/* A request that is sent twice: the copy goes to any node, at the same time. */
static void resubmit_if_sent_twice(struct sim_job *job)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_SLOW_REQUESTS, -1);

	if (!fault || job->resubmitting || !sim_chance(fault->magnitude))
		return;
	job->resubmitting = true;
	sim_spawn(0, resubmit, job);
}

static void submit_once(struct sim_job *job)
{
	struct user_view before = user_view_of(job);
	double sent_at = fl_now();
	struct fl_http_reply reply;

	if (job->first_sent_at == 0)
		job->first_sent_at = sent_at;
	resubmit_if_sent_twice(job);
	if (sim_load_balancer_call("POST", "/v2/runs", job->request_body, tunables.submit_timeout_s,
	                           &reply) != 0)
		return;
	sim_check_submit_reply(job, sent_at, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
	read_all_nodes_if_changed(job, before);
}

static void query_once(struct sim_job *job)
{
	struct user_view before = user_view_of(job);
	double sent_at = fl_now();
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), "/v2/runs/%s", job->spec.ref);
	if (sim_load_balancer_call("GET", path, NULL, tunables.query_timeout_s, &reply) != 0)
		return;
	sim.status_queries++;
	sim_check_query_reply(job, sent_at, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
	read_all_nodes_if_changed(job, before);
}

/* Returns whether the cancellation was answered with 200. */
static bool cancel_once(struct sim_job *job)
{
	struct user_view before = user_view_of(job);
	double sent_at = fl_now();
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), "/v2/runs/%s/cancel", job->spec.ref);
	if (sim_load_balancer_call("POST", path, NULL, tunables.submit_timeout_s, &reply) != 0)
		return false;
	sim_check_cancel_reply(job, sent_at, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
	read_all_nodes_if_changed(job, before);
	return reply.status == 200;
}

/* ---- a job's user ---- */

static double query_rate_factor(void)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_STATUS_QUERY_STORM, -1);

	return fault ? fault->magnitude : 1;
}

static double query_interval_s(const struct sim_job *job)
{
	bool is_final = job->reported_done_at > 0 || job->reported_cancelled_at > 0;

	return is_final ? tunables.final_query_interval_s : tunables.query_interval_s;
}

/* Returns false if the coroutine was cancelled. */
static bool submit_until_answered(struct sim_job *job)
{
	double retry_until = fl_now() + tunables.submit_retry_timeout_s;

	while (job->accepted_at == 0 && job->rejected_at == 0 && fl_now() < retry_until) {
		submit_once(job);
		if (job->accepted_at == 0 &&
		    fl_sleep(tunables.retry_interval_s * sim_random_between(1, 2)) == -ECANCELED)
			return false;
	}
	return true;
}

static void run_user(void *arg)
{
	struct sim_job *job = arg;

	if (fl_sleep(sim.started_at + job->submit_s - fl_now()) != 0)
		return;
	if (!submit_until_answered(job))
		return;
	while (job->accepted_at > 0) {
		double interval_s = query_interval_s(job) * sim_random_between(0.9, 1.1);

		if (fl_sleep(interval_s / query_rate_factor()) != 0)
			return;
		query_once(job);
	}
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

void sim_user_start(struct sim_job *job)
{
	sim_spawn(0, run_user, job);
	if (job->cancel_s >= 0)
		sim_spawn(0, cancel_when_due, job);
}

/* ---- requests caused by faults and tasks ---- */

static void query_repeatedly(void *arg)
{
	for (int i = 0; i < tunables.repeated_queries; i++) {
		if (fl_sleep(sim_random_between(0, 0.4)) != 0)
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

	job->cancel_sent_at = fl_now();
	while (!cancel_once(job))
		if (fl_sleep(tunables.retry_interval_s * sim_random_between(1, 1.5)) != 0)
			return;
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

/* ---- requests for unknown jobs, and invalid requests ---- */

static void request_unknown_job(bool cancel)
{
	const char *method = cancel ? "POST" : "GET";
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), "/v2/runs/run-9%05d%s", sim_random_index(99999),
	         cancel ? "/cancel" : "");
	if (sim_load_balancer_call(method, path, NULL, tunables.query_timeout_s, &reply) != 0)
		return;
	if (reply.status == 200)
		sim_violation("unknown_job_found",
		              "request for an unknown job succeeded method=%s path=%s status=200",
		              method, path);
	fl_buffer_free(&reply.body);
}

static void submit_invalid_job(void)
{
	struct sim_job *job = sim_job_add_random(sim_elapsed_s());

	job->invalid = true;
	job->spec.cpus = 500;
	sim_job_encode_request(job);
	if (sim_chance(0.5))
		job->request_body[strlen(job->request_body) / 2] = 0;
	sim_spawn(0, run_user, job);
}

static void send_invalid_requests(void *arg)
{
	(void)arg;
	while (fl_sleep(sim_random_between(1, 4)) == 0) {
		struct sim_job *job = &sim.jobs[sim_random_index(sim.job_count)];

		request_unknown_job(!sim_chance(0.5));
		if (!sim_fault_active(FAULT_INVALID_REQUESTS, -1))
			continue;
		sim_user_resubmit(job);
		if (job->reported_done_at > 0)
			sim_user_cancel(job);
		if (sim_chance(0.3) && sim.job_count < SIM_BURST_JOBS_MAX - 1)
			submit_invalid_job();
	}
}

void sim_users_begin(void)
{
	sim_load_balancer_begin();
	for (int i = 0; i < sim.job_count; i++)
		sim_user_start(&sim.jobs[i]);
	sim_spawn(0, send_invalid_requests, NULL);
}
