/*
 * Status queries while there is no leader: queries for one job share a read of its record, and all
 * reads stay within the node's share of the key-value store's request rate.
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
	char body[256]; /* of the response; empty until it has arrived */
	bool answered;
};

static void send_query(void *argument)
{
	struct query *query = argument;

	fl_route_client_request(
		&query->fixture->node,
		&(struct fl_client_request){.kind = FL_REQUEST_STATUS, .ref = query->ref},
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

/*
 * Configures the node to answer each status query from the records, without a leader and with this
 * request rate of the key-value store.
 */
static void configure_without_leader(struct frontend_fixture *fixture, double kv_request_rate)
{
	fixture->node.peer_count = 0;
	fixture->node.machine_types_loaded = fixture->node.live_jobs_loaded = true;
	fixture->config.state_rps = kv_request_rate;
	fl_job_lookups_init(&fixture->node);
}

/*
 * Two lookups, each a read of the live and of the final record, answer 40 queries: the first lookup
 * answers the first query, the second one all queries that arrive while the first is in flight.
 */
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
	/* The first read is in flight; it does not find the job, which is accepted only now. */
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
		note_failure(fixture,
		             "a status query was answered by a read sent before the query");
	if (fixture->record_reads != 4)
		note_failure(fixture, "%d record reads for one job", fixture->record_reads);
	/* A done job never changes again, so a later query needs no further read. */
	fixture->reads_gated = false;
	fixture->record_reads = 0;
	spawn_query(fixture, &queries[0], "run-000001");
	while (!queries[0].answered)
		fl_sleep(0.01);
	if (fixture->record_reads != 0 || queries[0].response.status != 200)
		note_failure(fixture, "the record of a done job was read again");
}

static void status_queries_for_one_job_share_reads_sent_after_their_arrival(void **state)
{
	run_in_coroutine(*state, query_one_job);
}

/* Queries beyond the node's share of the key-value store's request rate get 503 at once. */
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
		note_failure(fixture, "%d record reads at a request rate of 10 a second",
		             fixture->record_reads);
	for (int i = 0; i < QUERIES; i++)
		if (queries[i].response.status == 503 && queries[i].response.retry_after_s <= 0)
			note_failure(fixture, "a 503 response has no Retry-After");
}

static void status_queries_for_many_jobs_stay_within_the_read_budget(void **state)
{
	run_in_coroutine(*state, query_many_jobs);
}

/* A job finishes while the leader waits for its record: the response reports the job done. */
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
	/* The read begins before the job is finished and finds no record. */
	fixture->job_known = false;
	fixture->reads_gated = true;
	fixture->config.state_rps = 1000;
	fl_job_lookups_init(node);
	job = fl_job_add(&node->cluster, &spec, fl_wall_time(), 1);
	/* The outcome of the job's final write is unknown, so the leader has to read the record. */
	job->record.unresolved_writes = 1;
	spawn_query(fixture, &query, "run-000001");
	while (fixture->record_reads < 1)
		fl_sleep(0.01);
	fl_job_finalise(&node->cluster, job, FL_DONE);
	while (!query.answered) {
		fl_condition_broadcast(&fixture->read_gate);
		fl_sleep(0.01);
	}
	if (query.response.status != 200 || !strstr(query.body, "done"))
		note_failure(fixture, "the query of a done job returned status %d, body %s",
		             query.response.status, query.body);
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
