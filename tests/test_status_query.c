/*
 * Status queries on their way to the leader: how many requests they cost, and that none is
 * answered by a request that was sent before it came. Virtual time, and a link made here.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/api/status_query_batch.h"
#include "protocol/status_messages.h"
#include "sim.h"
#include "transport/clock.h"

enum { QUERIES = 300 };
static const double way_s = 0.005;      /* s each way of a request */
static const double standstill_s = 1.0; /* s for which a leader stands still that is overloaded */

struct sim sim;

static struct {
	struct fl_node follower, leader;
	int requests;
	bool link_down, leader_stands_still;
} world;

struct query {
	char ref[FL_REF_MAX];
	double at; /* s from the beginning */
	enum fl_query_result result;
	struct fl_http_response resp;
	bool over;
	double took;
};

/* No controller here is slow. */
void sim_process_compute(int process) { (void)process; }

/* The link between the two: the leader answers half-way, by what it knows at that moment. */
int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct fl_http_response response = {0};

	(void)client, (void)method;
	assert_string_equal(path, FL_PATH_STATUS);
	world.requests++;
	if (world.link_down) {
		fl_sleep(timeout_s);
		return -ETIMEDOUT;
	}
	if (world.leader_stands_still && timeout_s < standstill_s + 2 * way_s) {
		fl_sleep(timeout_s);
		return -ETIMEDOUT;
	}
	fl_sleep(world.leader_stands_still ? standstill_s : way_s);
	fl_status_query_serve(&world.leader, body, strlen(body), &response);
	fl_sleep(way_s);
	memset(out, 0, sizeof(*out));
	out->status = response.status;
	fl_buffer_append(&out->body, response.body, strlen(response.body));
	free(response.body);
	return 0;
}

static void ask(void *arg)
{
	struct query *q = arg;
	double came;

	if (fl_sleep(q->at) != 0)
		return;
	came = fl_now();
	q->result = fl_status_query(&world.follower, q->ref, &q->resp);
	q->took = fl_now() - came;
	q->over = true;
}

static void drop_timer(struct sim_timer *timer) { (void)timer; }

static void run(struct query *queries, int count)
{
	for (int i = 0; i < count; i++)
		sim_spawn(0, ask, &queries[i]);
	sim_time_run(fl_now() + 10);
	sim_time_end(drop_timer);
	for (int i = 0; i < count; i++)
		assert_true(queries[i].over);
}

static void ref_of(char ref[FL_REF_MAX], int at) { snprintf(ref, FL_REF_MAX, "run-%06d", at); }

static int set_up(void **state)
{
	struct fl_job_spec spec = {.task_count = 8, .machine_type_count = -1, .kind = FL_ARRAY};

	(void)state;
	memset(&world, 0, sizeof(world));
	sim_time_begin();
	snprintf(world.follower.leader_view.leader, sizeof(world.follower.leader_view.leader),
	         "host-2");
	world.follower.peer_count = 2;
	world.follower.peers[1].up = true;
	snprintf(world.follower.peers[1].name, sizeof(world.follower.peers[1].name), "host-2");
	world.leader.leadership.active = true;
	world.leader.leader_lease.held = true;
	world.leader.leader_lease.valid_until = fl_now() + 1000;
	world.leader.cluster.teams.count = 1;
	snprintf(world.leader.cluster.teams.by_index[0].name, FL_NAME_MAX, "vision");
	snprintf(spec.team, sizeof(spec.team), "vision");
	for (int i = 0; i < QUERIES; i++) {
		ref_of(spec.ref, i);
		assert_non_null(fl_job_add(&world.leader.cluster, &spec, 0, 1));
	}
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	fl_cluster_free(&world.leader.cluster);
	return 0;
}

static void free_answers(struct query *queries, int count)
{
	for (int i = 0; i < count; i++)
		free(queries[i].resp.body);
	free(queries);
}

/* Found with 1,918 jobs asked about eight times as often: a connection to the leader for each. */
static void many_queries_cost_few_requests(void **state)
{
	struct query *queries = calloc(QUERIES, sizeof(*queries));
	int answered = 0, overloaded = 0;

	(void)state;
	for (int i = 0; i < QUERIES; i++)
		ref_of(queries[i].ref, i);
	run(queries, QUERIES);
	for (int i = 0; i < QUERIES; i++) {
		answered += queries[i].result == FL_QUERY_ANSWERED;
		overloaded += queries[i].result == FL_QUERY_OVERLOADED;
	}
	/* Those that went at once, one each, and a full request after them. */
	assert_int_equal(world.requests, FL_STATUS_REQUESTS_MAX + 1);
	assert_int_equal(answered, FL_STATUS_REQUESTS_MAX + FL_STATUS_QUERY_MAX);
	assert_int_equal(overloaded, QUERIES - answered);
	free_answers(queries, QUERIES);
}

static void finish_job(void *arg)
{
	/* Between the leader's answer to the first query and the arrival of that answer. */
	fl_sleep(way_s * 1.5);
	fl_job_finalise(&world.leader.cluster, fl_job_find(&world.leader.cluster, arg), FL_DONE);
}

/* Another controller may have said `done_count` meanwhile, so no earlier answer will do. */
static void a_query_rests_on_a_request_sent_after_it(void **state)
{
	struct query *queries = calloc(2, sizeof(*queries));

	(void)state;
	ref_of(queries[0].ref, 7);
	ref_of(queries[1].ref, 7);
	queries[1].at = way_s * 1.6;
	assert_non_null(sim_spawn(0, finish_job, queries[0].ref));
	run(queries, 2);
	assert_int_equal(queries[0].result, FL_QUERY_ANSWERED);
	assert_non_null(strstr(queries[0].resp.body, "pending"));
	assert_int_equal(queries[1].result, FL_QUERY_ANSWERED);
	assert_non_null(strstr(queries[1].resp.body, "done"));
	free_answers(queries, 2);
}

static void what_memory_does_not_settle_is_not_answered(void **state)
{
	struct query *queries = calloc(3, sizeof(*queries));

	(void)state;
	ref_of(queries[0].ref, QUERIES + 1);
	ref_of(queries[1].ref, 1);
	ref_of(queries[2].ref, 2);
	fl_job_find(&world.leader.cluster, queries[1].ref)->record.final_write_in_flight = true;
	fl_job_find(&world.leader.cluster, queries[2].ref)->record.final_write_unknown = true;
	run(queries, 3);
	for (int i = 0; i < 3; i++) {
		assert_int_equal(queries[i].result, FL_QUERY_NOT_IN_MEMORY);
		assert_null(queries[i].resp.body);
	}
	free_answers(queries, 3);
}

static void who_leads_no_more_answers_nothing(void **state)
{
	struct query *queries = calloc(1, sizeof(*queries));

	(void)state;
	ref_of(queries[0].ref, 1);
	world.leader.leader_lease.valid_until = fl_now();
	run(queries, 1);
	assert_int_equal(queries[0].result, FL_QUERY_FAILED);
	free_answers(queries, 1);
}

/* A user waits 2 s, and the records may still have to answer. */
static void a_silent_leader_holds_nobody_up(void **state)
{
	struct query *queries = calloc(QUERIES, sizeof(*queries));

	(void)state;
	world.link_down = true;
	for (int i = 0; i < QUERIES; i++) {
		ref_of(queries[i].ref, i);
		queries[i].at = i * 0.002;
	}
	run(queries, QUERIES);
	for (int i = 0; i < QUERIES; i++) {
		assert_int_not_equal(queries[i].result, FL_QUERY_ANSWERED);
		assert_true(queries[i].took <= 1.7);
	}
	free_answers(queries, QUERIES);
}

/*
 * Found with 3% of a core: an overloaded leader stands still for a second at a time. All that asked
 * then went to the records, and most of 1,900 jobs had no answer for 75 s.
 */
static void a_leader_that_stands_still_for_a_second_is_waited_for(void **state)
{
	struct query *queries = calloc(QUERIES, sizeof(*queries));

	(void)state;
	world.leader_stands_still = true;
	for (int i = 0; i < FL_STATUS_REQUESTS_MAX; i++)
		ref_of(queries[i].ref, i);
	run(queries, FL_STATUS_REQUESTS_MAX);
	for (int i = 0; i < FL_STATUS_REQUESTS_MAX; i++)
		assert_int_equal(queries[i].result, FL_QUERY_ANSWERED);
	free_answers(queries, FL_STATUS_REQUESTS_MAX);
}

static enum fl_decode_result decode_query(const char *text)
{
	char refs[FL_STATUS_QUERY_MAX][FL_REF_MAX];
	int count;

	return fl_status_query_decode(text, strlen(text), refs, &count);
}

static enum fl_decode_result decode_answer(const char *text, int count)
{
	struct fl_job_status_report states[4];

	return fl_status_answer_decode(text, strlen(text), states, count);
}

static void malformed_messages_decide_nothing(void **state)
{
	char refs[2][FL_REF_MAX] = {"run-000001", "run-000412"},
	     back[FL_STATUS_QUERY_MAX][FL_REF_MAX];
	struct fl_job_status_report states[2] = {{true, FL_RUNNING, 3, 13}, {0}}, got[2];
	char *text = fl_status_query_encode(refs, 2);
	int count;

	(void)state;
	assert_int_equal(fl_status_query_decode(text, strlen(text), back, &count), FL_DECODE_OK);
	assert_int_equal(count, 2);
	assert_string_equal(back[1], refs[1]);
	free(text);
	assert_int_equal(decode_query("{}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":[\"run-1\"]}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":[\"../../etc\"]}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":[7]}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":{}}"), FL_DECODE_MALFORMED);
	text = fl_status_answer_encode(states, 2);
	assert_int_equal(fl_status_answer_decode(text, strlen(text), got, 2), FL_DECODE_OK);
	assert_true(got[0].known && got[0].status == FL_RUNNING);
	assert_int_equal(got[0].done_count, 3);
	assert_int_equal(got[0].running_count, 13);
	assert_false(got[1].known);
	free(text);
	assert_int_equal(decode_answer("{\"jobs\":[null]}", 2), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[[9,0,0]]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[[1,0]]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[[1,-1,0]]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[true]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("", 0), FL_DECODE_MALFORMED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(many_queries_cost_few_requests, set_up, tear_down),
		cmocka_unit_test_setup_teardown(a_query_rests_on_a_request_sent_after_it, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(what_memory_does_not_settle_is_not_answered, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(who_leads_no_more_answers_nothing, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(a_silent_leader_holds_nobody_up, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_leader_that_stands_still_for_a_second_is_waited_for, set_up, tear_down),
		cmocka_unit_test(malformed_messages_decide_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
