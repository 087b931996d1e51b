/*
 * Status queries without a leader: those for one job share a read of its record, and the reads stay
 * within the node's share of the key-value store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "coordination/request_router.h"
#include "frontend_fixture.h"
#include "transport/clock.h"

struct query {
	struct frontend_fixture *fixture;
	char ref[FL_REF_MAX];
	struct fl_http_response response;
	char body[256]; /* of the answer, once it is there */
	bool answered;
};

static void send_query(void *argument)
{
	struct query *query = argument;

	fl_route_user_request(
		&query->fixture->node,
		&(struct fl_client_request){.kind = FL_USER_REQUEST_STATUS, .ref = query->ref},
		&query->response);
	if (query->response.body)
		copy_text(query->body, sizeof(query->body), query->response.body);
	free(query->response.body);
	query->answered = true;
}

enum { QUERIES = 40 };

static int count_answered_with(const struct query *queries, int from, int to, int status)
{
	int count = 0;

	for (int i = from; i < to; i++)
		count += queries[i].answered && queries[i].response.status == status;
	return count;
}

static bool all_answered(const struct query *queries)
{
	for (int i = 0; i < QUERIES; i++)
		if (!queries[i].answered)
			return false;
	return true;
}

static void spawn_query(struct frontend_fixture *fixture, struct query *query, const char *ref)
{
	memset(query, 0, sizeof(*query));
	query->fixture = fixture;
	copy_text(query->ref, sizeof(query->ref), ref);
	fl_coroutine_spawn(send_query, query);
}

/* Nobody leads: each status query is answered from the records, at so many reads a second. */
static void configure_without_leader(struct frontend_fixture *fixture, double reads_per_s)
{
	fixture->node.peer_count = 0;
	fixture->node.machine_types_loaded = fixture->node.live_jobs_loaded = true;
	fixture->config.state_rps = reads_per_s;
	fl_job_lookups_init(&fixture->node);
}

/* Twenty queries are answered by one read of the record. */
static void query_one_job(void *argument)
{
	static struct query queries[QUERIES];
	struct frontend_fixture *fixture = argument;

	configure_without_leader(fixture, 1000);
	fixture->reads_gated = true;
	for (int i = 0; i < QUERIES / 2; i++)
		spawn_query(fixture, &queries[i], "run-000001");
	while (fixture->record_reads < 1)
		fl_sleep(0.01);
	/* The first read is in flight, and does not see what is accepted now. */
	fixture->job_known = true;
	for (int i = QUERIES / 2; i < QUERIES; i++)
		spawn_query(fixture, &queries[i], "run-000001");
	fl_sleep(0.01);
	while (!all_answered(queries)) {
		fl_condition_broadcast(&fixture->read_gate);
		fl_sleep(0.01);
	}
	if (count_answered_with(queries, 0, 1, 404) != 1 ||
	    count_answered_with(queries, 1, QUERIES, 200) != QUERIES - 1)
		note_failure(fixture, "a status query is answered by an older read");
	if (fixture->record_reads != 4)
		note_failure(fixture, "%d reads for one job", fixture->record_reads);
	/* What is done stays so: one read serves all that ask later. */
	fixture->reads_gated = false;
	fixture->record_reads = 0;
	spawn_query(fixture, &queries[0], "run-000001");
	while (!queries[0].answered)
		fl_sleep(0.01);
	if (fixture->record_reads != 0 || queries[0].response.status != 200)
		note_failure(fixture, "what is done is read again");
}

static void status_queries_for_one_job_share_reads_sent_after_their_arrival(void **state)
{
	run_in_coroutine(*state, query_one_job);
}

/* Queries beyond the share of the key-value store are refused at once. */
static void query_many_jobs(void *argument)
{
	static struct query queries[QUERIES];
	struct frontend_fixture *fixture = argument;
	char ref[FL_REF_MAX];

	configure_without_leader(fixture, 10);
	for (int i = 0; i < QUERIES; i++) {
		snprintf(ref, sizeof(ref), "run-%06d", 100 + i);
		spawn_query(fixture, &queries[i], ref);
	}
	while (!all_answered(queries))
		fl_sleep(0.01);
	if (fixture->record_reads < 4 || fixture->record_reads > 12 ||
	    count_answered_with(queries, 0, QUERIES, 404) * 2 != fixture->record_reads ||
	    count_answered_with(queries, 0, QUERIES, 503) + fixture->record_reads / 2 != QUERIES)
		note_failure(fixture, "%d reads of 10 a second", fixture->record_reads);
	for (int i = 0; i < QUERIES; i++)
		if (queries[i].response.status == 503 && queries[i].response.retry_after_s <= 0)
			note_failure(fixture, "no time is given for the next try");
}

static void status_queries_for_many_jobs_stay_within_the_read_budget(void **state)
{
	run_in_coroutine(*state, query_many_jobs);
}

/* The leader itself waits for a record, and the job ends meanwhile: its end is what is said. */
static void finish_job_while_its_record_is_read(void *argument)
{
	static struct query query;
	struct frontend_fixture *fixture = argument;
	struct fl_node *node = &fixture->node;
	struct fl_job_spec spec = {.ref = "run-000001",
	                           .team = "t",
	                           .task_count = 1,
	                           .machine_type_count = -1,
	                           .kind = FL_ARRAY};
	struct fl_job *job;

	node->leadership.active = node->leader_lease.held = node->cluster.has_leader_state = true;
	node->leader_lease.valid_until = fl_now() + 1000;
	/* What is read has not seen the end: nothing stands there. */
	fixture->job_known = false;
	fixture->reads_gated = true;
	fixture->config.state_rps = 1000;
	fl_job_lookups_init(node);
	job = fl_job_add(&node->cluster, &spec, fl_wall_time(), 1);
	/* A final write is under way: only the record may know its outcome. */
	job->record.write_outcome_unknown = true;
	spawn_query(fixture, &query, "run-000001");
	while (fixture->record_reads < 1)
		fl_sleep(0.01);
	fl_job_finalise(&node->cluster, job, FL_DONE);
	while (!query.answered) {
		fl_condition_broadcast(&fixture->read_gate);
		fl_sleep(0.01);
	}
	if (query.response.status != 200 || !strstr(query.body, "done"))
		note_failure(fixture, "%d %s", query.response.status, query.body);
}

static void a_job_that_finishes_while_its_record_is_read_is_reported_done(void **state)
{
	run_in_coroutine(*state, finish_job_while_its_record_is_read);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(status_queries_for_one_job_share_reads_sent_after_their_arrival),
		FRONTEND_TEST(status_queries_for_many_jobs_stay_within_the_read_budget),
		FRONTEND_TEST(a_job_that_finishes_while_its_record_is_read_is_reported_done),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
