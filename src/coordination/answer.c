#include "coordination/answer.h"

#include <errno.h>
#include <stdlib.h>

#include "coordination/command.h"
#include "coordination/node.h"
#include "coordination/record_writer.h"
#include "transport/clock.h"
#include "transport/log.h"

static void say_final(struct fl_response *resp, const struct fl_finished_job *f, bool counts)
{
	resp->status = 200;
	resp->body = fl_status_encode(f->ref, (enum fl_status)f->status,
	                              !counts                ? -1
	                              : f->status == FL_DONE ? (int64_t)f->n_tasks
	                                                     : 0,
	                              0);
}

static void say_cancelled(struct fl_response *resp, const char *ref)
{
	resp->status = 200;
	resp->body = fl_status_encode(ref, FL_CANCELLED, -1, 0);
}

/* The record decides: for what this leader has not heard of, or has written and not confirmed. */
static void poll_record(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_job_record rec;
	struct fl_job *job;
	uint64_t rev;
	cJSON *v = NULL;
	int rc = fl_job_lookup_read(n, ref, &rec, &v, &rev);
	const struct fl_finished_job *f = fl_finished_find(&n->cluster, ref);

	if (f) {
		/* It came to its end while the record was on its way here. */
		say_final(resp, f, true);
	} else if (rc == -ENOENT) {
		fl_refuse(resp, 404, "no such job");
	} else if (rc != 0) {
		fl_later(resp, "the state service does not answer");
	} else if (rec.final) {
		job = n->leadership.active ? fl_job_find(&n->cluster, ref) : NULL;
		if (job && v && rev > job->rev)
			fl_record_writer_heard(n, job, &rec, rev);
		else if (!job && v)
			fl_finished_add(&n->cluster, ref, rec.status, rec.n_tasks,
			                fl_since(rec.cancelled));
		resp->status = 200;
		resp->body = fl_status_encode(ref, rec.status,
		                              rec.status == FL_DONE ? rec.n_tasks : 0, 0);
	} else {
		job = fl_cluster_apply(&n->cluster, ref, v, rev);
		resp->status = 200;
		resp->body = fl_status_encode(ref, job ? fl_job_status(job) : FL_PENDING,
		                              job ? job->n_done : 0, job ? job->n_running : 0);
	}
	cJSON_Delete(v);
}

struct fl_job_state fl_answer_from_memory(const struct fl_node *n, const char *ref)
{
	const struct fl_finished_job *f = fl_finished_find(&n->cluster, ref);
	const struct fl_job *job = f ? NULL : fl_job_find(&n->cluster, ref);

	if (f)
		return (struct fl_job_state){.known = true,
		                             .status = (enum fl_status)f->status,
		                             .done = f->status == FL_DONE ? f->n_tasks : 0};
	/* While a final write is under way, another node may already know its outcome. */
	if (!job || job->finishing || job->unsure)
		return (struct fl_job_state){0};
	return (struct fl_job_state){.known = true,
	                             .status = fl_job_status(job),
	                             .done = job->n_done,
	                             .running = job->n_running};
}

void fl_answer_poll(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_job_state state = fl_answer_from_memory(n, ref);

	if (!state.known) {
		poll_record(n, ref, resp);
		return;
	}
	resp->status = 200;
	resp->body = fl_status_encode(ref, state.status, state.done, state.running);
}

static int write_cancel(struct fl_node *n, struct fl_job *job, double cancelled, uint64_t *rev)
{
	struct fl_kv_txn txn;
	struct fl_job_spec run;
	char key[FL_KEY_MAX];

	fl_key_job(key, job->ref);
	fl_job_describe(&n->cluster, job, &run);
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, n->election.leader_mod_revision);
	fl_kv_txn_expect_revision(&txn, key, job->rev);
	fl_kv_txn_put(&txn, key, fl_job_record_cancelled(&run, job->submitted, cancelled), 0);
	return fl_kv_txn_commit(&n->kv_store, &txn, rev, NULL);
}

void fl_answer_cancel(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_finished_job *f = fl_finished_find(&n->cluster, ref);
	struct fl_job *job = f ? NULL : fl_job_find(&n->cluster, ref);
	enum fl_status status;
	struct fl_job_record rec = {.final = true, .cancelled = fl_wall()};
	uint64_t rev;
	bool done = false;
	int rc;

	if (!f && !job) {
		poll_record(n, ref, resp);
		job = fl_job_find(&n->cluster, ref);
		if (resp->status != 200 || !job)
			return;
		free(resp->body);
		resp->body = NULL;
	}
	if (f) {
		say_final(resp, f, false);
		return;
	}
	if (job->unsure && !job->finishing)
		fl_record_writer_reread_job(n, ref, &done, &status);
	job = fl_is_leader(n) ? fl_job_find(&n->cluster, ref) : NULL;
	if (job && job->cancelled) {
		say_cancelled(resp, ref);
		return;
	}
	if (!job || job->finishing || job->unsure) {
		fl_later(resp, "the job's state is being written");
		return;
	}
	/* Till this is answered, only the record knows: see fl_answer_poll. */
	job->unsure = true;
	rc = write_cancel(n, job, rec.cancelled, &rev);
	job = n->leadership.active ? fl_job_find(&n->cluster, ref) : NULL;
	if (job && rc == 0) {
		fl_cluster_cancelled(&n->cluster, job, &rec, rev);
		fl_command_stop_job(n, job);
		fl_info("jobs", "%s is cancelled", ref);
	} else if (job && rc == -EAGAIN) {
		job->unsure = false;
	} else if (job) {
		fl_record_writer_reread_job(n, ref, &done, &status);
	} else if (rc == 0) {
		fl_cluster_learn_cancelled(&n->cluster, ref, fl_since(rec.cancelled));
	}
	f = fl_finished_find(&n->cluster, ref);
	if (f)
		say_final(resp, f, false);
	else if (rc == 0)
		/* Stored, though this node leads no more: the next leader stops its tasks. */
		say_cancelled(resp, ref);
	else
		fl_later(resp, "the cancellation could not be stored");
}
