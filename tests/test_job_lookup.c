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

static void send_query(void *arg)
{
	struct query *query = arg;

	fl_route_user_request(&query->fixture->node, FL_USER_REQUEST_STATUS, query->ref, NULL, 0,
	                      FL_HOP_FIRST, &query->response);
	if (query->response.body)
		copy_text(query->body, sizeof(query->body), query->response.body);
	free(query->response.body);
	query->answered = true;
}

enum { QUERIES = 40 };

static int answered_with(const struct query *query, int from, int to, int status)
{
	int count = 0;

	for (int i = from; i < to; i++)
		count += query[i].answered && query[i].response.status == status;
	return count;
}

static bool all_answered(const struct query *query)
{
	for (int i = 0; i < QUERIES; i++)
		if (!query[i].answered)
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

static void send_many_queries(void *arg)
{
	static struct query query[QUERIES];
	struct frontend_fixture *fixture = arg;
	char ref[FL_REF_MAX];

	/* Nobody leads: each status query is answered from the records, and twenty by one read of
	 * them. */
	fixture->node.peer_count = 0;
	fixture->node.machine_types_known = fixture->node.jobs_known = true;
	fixture->reads_gated = true;
	fixture->config.state_rps = 1000;
	fl_job_lookups_init(&fixture->node);
	for (int i = 0; i < QUERIES / 2; i++)
		spawn_query(fixture, &query[i], "run-000001");
	while (fixture->record_reads < 1)
		fl_sleep(0.01);
	/* The first read is in flight, and does not see what is accepted now. */
	fixture->job_known = true;
	for (int i = QUERIES / 2; i < QUERIES; i++)
		spawn_query(fixture, &query[i], "run-000001");
	fl_sleep(0.01);
	while (!all_answered(query)) {
		fl_condition_broadcast(&fixture->read_gate);
		fl_sleep(0.01);
	}
	if (answered_with(query, 0, 1, 404) != 1 ||
	    answered_with(query, 1, QUERIES, 200) != QUERIES - 1)
		strcpy(fixture->failed, "a question is answered by an older read");
	if (fixture->record_reads != 4)
		snprintf(fixture->failed, sizeof(fixture->failed), "%d reads for one job",
		         fixture->record_reads);
	/* What is done stays so: one read serves all that ask later. */
	fixture->reads_gated = false;
	fixture->record_reads = 0;
	spawn_query(fixture, &query[0], "run-000001");
	while (!query[0].answered)
		fl_sleep(0.01);
	if (fixture->record_reads != 0 || query[0].response.status != 200)
		strcpy(fixture->failed, "what is done is read again");
	/* Many jobs: status queries beyond the share of the key-value store are refused at once. */
	fixture->job_known = false;
	fixture->record_reads = 0;
	fixture->reads_gated = false;
	fixture->config.state_rps = 10;
	fl_job_lookups_init(&fixture->node);
	for (int i = 0; i < QUERIES; i++) {
		snprintf(ref, sizeof(ref), "run-%06d", 100 + i);
		spawn_query(fixture, &query[i], ref);
	}
	while (!all_answered(query))
		fl_sleep(0.01);
	if (fixture->record_reads < 4 || fixture->record_reads > 12 ||
	    answered_with(query, 0, QUERIES, 404) * 2 != fixture->record_reads ||
	    answered_with(query, 0, QUERIES, 503) + fixture->record_reads / 2 != QUERIES)
		snprintf(fixture->failed, sizeof(fixture->failed), "%d reads of 10 a second",
		         fixture->record_reads);
	for (int i = 0; i < QUERIES; i++)
		if (query[i].response.status == 503 && query[i].response.retry_after_s <= 0)
			strcpy(fixture->failed, "no time is given for the next try");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void many_status_queries_stay_within_the_read_share_of_the_key_value_store(void **state)
{
	struct frontend_fixture *fixture = *state;

	fl_coroutine_spawn(send_many_queries, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

/* The leader's own status query waits for a record, and the job ends meanwhile: its end is what is
 * said. */
static void end_while_read(void *arg)
{
	static struct query query;
	struct frontend_fixture *fixture = arg;
	struct fl_node *node = &fixture->node;
	struct fl_job_spec spec = {.ref = "run-000001",
	                           .team = "t",
	                           .task_count = 1,
	                           .machine_type_count = -1,
	                           .kind = FL_ARRAY};
	struct fl_job *job;

	node->leadership.active = node->leader_lease.held = node->cluster.leading = true;
	node->leader_lease.valid_until = fl_now() + 1000;
	/* What is read has not seen the end: nothing stands there. */
	fixture->job_known = false;
	fixture->reads_gated = true;
	fixture->config.state_rps = 1000;
	fl_job_lookups_init(node);
	job = fl_job_add(&node->cluster, &spec, fl_wall(), 1);
	/* A final write is under way: only the record may know its outcome. */
	job->record.final_write_unknown = true;
	spawn_query(fixture, &query, "run-000001");
	while (fixture->record_reads < 1)
		fl_sleep(0.01);
	fl_job_finalise(&node->cluster, job, FL_DONE);
	while (!query.answered) {
		fl_condition_broadcast(&fixture->read_gate);
		fl_sleep(0.01);
	}
	if (query.response.status != 200 || !strstr(query.body, "done"))
		snprintf(fixture->failed, sizeof(fixture->failed), "%d %s", query.response.status,
		         query.body);
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_status_query_reports_a_job_done_that_ends_while_its_record_is_read(void **state)
{
	struct frontend_fixture *fixture = *state;

	fl_coroutine_spawn(end_while_read, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(
			many_status_queries_stay_within_the_read_share_of_the_key_value_store),
		FRONTEND_TEST(a_status_query_reports_a_job_done_that_ends_while_its_record_is_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
