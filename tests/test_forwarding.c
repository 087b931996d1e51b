/*
 * Forwarding of requests to the leader: which peers get a request, and the result that each kind of
 * reply leads to. The test defines fl_http_call() itself.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/follower/forwarding.h"
#include "coordination/node.h"
#include "node_fixture.h"

enum { PEERS = 2 };

/* The outcome of calls to a peer, and the number of calls so far. */
struct link {
	int rc, status;
	int calls;
	bool last_hop; /* whether the last call was marked as the last hop */
};

static struct {
	struct fl_node *node;
	struct link links[PEERS];
} network;

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct link *link = &network.links[client == &network.node->peers[0].http ? 0 : 1];

	(void)method, (void)path;
	assert_true(timeout_s > 0);
	link->calls++;
	link->last_hop = strcmp(body, "last") == 0;
	if (link->rc)
		return link->rc;
	memset(out, 0, sizeof(*out));
	out->status = link->status;
	fl_buffer_append(&out->body, "x", 1);
	return 0;
}

static char *encode_hop(const void *context, const struct fl_forward_flags *flags)
{
	(void)context;
	return strdup(flags->last_hop ? "last" : "first");
}

static char *fail_to_encode(const void *context, const struct fl_forward_flags *flags)
{
	(void)context, (void)flags;
	return NULL;
}

/* Returns the decode result that the test has set. */
static enum fl_decode_result return_decode_result(void *decode_context, const char *body,
                                                  size_t len)
{
	assert_int_equal(len, 1);
	assert_int_equal(body[0], 'x');
	return *(const enum fl_decode_result *)decode_context;
}

static struct fl_forward_request make_request(enum fl_forward_hop hop)
{
	return (struct fl_forward_request){
		.path = "/x", .encode = encode_hop, .hop = hop, .timeout_s = 2};
}

static enum fl_forward_result forward_request(struct node_fixture *fixture, enum fl_forward_hop hop,
                                              struct link leader, struct link third)
{
	const struct fl_forward_request request = make_request(hop);
	enum fl_forward_result result;
	struct fl_http_reply reply;

	network.node = &fixture->node;
	network.links[0] = leader;
	network.links[1] = third;
	result = fl_forward_to_leader(&fixture->node, &request, &reply);
	if (result == FL_FORWARD_ANSWERED)
		fl_buffer_free(&reply.body);
	return result;
}

/* Makes the node a follower of n1, with n2 as a third controller; both are up. */
static void become_follower_of_n1(struct node_fixture *fixture)
{
	become_follower(fixture, PEERS);
	strcpy(fixture->node.leader_view.leader, "n1");
	for (int i = 0; i < PEERS; i++)
		fixture->node.peers[i].up = true;
}

static const struct link down = {.rc = -ECONNREFUSED}, answers = {.status = 200},
			 does_not_lead = {.status = 421};

static void a_third_node_gets_a_request_only_if_the_exchange_with_the_leader_fails(void **state)
{
	struct node_fixture *fixture = *state;

	become_follower_of_n1(fixture);
	assert_int_equal(forward_request(fixture, FL_HOP_FIRST, answers, down),
	                 FL_FORWARD_ANSWERED);
	assert_true(network.links[0].last_hop);
	assert_int_equal(network.links[1].calls, 0);
	assert_int_equal(forward_request(fixture, FL_HOP_FIRST, down, answers),
	                 FL_FORWARD_ANSWERED);
	assert_false(network.links[1].last_hop);
	assert_int_equal(forward_request(fixture, FL_HOP_FIRST, does_not_lead, answers),
	                 FL_FORWARD_ANSWERED);
	/* On its last hop a request is sent to the leader only. */
	assert_int_equal(forward_request(fixture, FL_HOP_LAST, does_not_lead, answers),
	                 FL_FORWARD_NO_LEADER);
	assert_int_equal(network.links[1].calls, 0);
	/* A leader that is down gets no request, unless there is no other peer. */
	fixture->node.peers[0].up = false;
	assert_false(fl_forward_leader_is_reachable(&fixture->node));
	assert_int_equal(forward_request(fixture, FL_HOP_FIRST, answers, answers),
	                 FL_FORWARD_ANSWERED);
	assert_int_equal(network.links[0].calls, 0);
	fixture->node.peer_count = 1;
	assert_true(fl_forward_leader_is_reachable(&fixture->node));
	assert_int_equal(forward_request(fixture, FL_HOP_LAST, answers, down), FL_FORWARD_ANSWERED);
	assert_int_equal(network.links[0].calls, 1);
}

static void each_failure_returns_its_own_result(void **state)
{
	struct node_fixture *fixture = *state;
	const struct link times_out = {.rc = -ETIMEDOUT}, cancelled = {.rc = -ECANCELED};

	become_follower_of_n1(fixture);
	assert_int_equal(forward_request(fixture, FL_HOP_FIRST, down, down),
	                 FL_FORWARD_CONNECTION_LOST);
	assert_int_equal(forward_request(fixture, FL_HOP_FIRST, down, does_not_lead),
	                 FL_FORWARD_NO_LEADER);
	assert_int_equal(forward_request(fixture, FL_HOP_LAST, times_out, answers),
	                 FL_FORWARD_TIMED_OUT);
	assert_int_equal(forward_request(fixture, FL_HOP_LAST, cancelled, answers),
	                 FL_FORWARD_CANCELLED);
	fixture->node.leader_view.leader[0] = '\0';
	assert_int_equal(forward_request(fixture, FL_HOP_FIRST, answers, answers),
	                 FL_FORWARD_NO_LEADER);
	assert_int_equal(network.links[0].calls + network.links[1].calls, 0);
	assert_false(fl_forward_leader_is_reachable(&fixture->node));
}

static enum fl_forward_result forward_and_decode(struct node_fixture *fixture, int status,
                                                 enum fl_decode_result decoded)
{
	const struct fl_forward_request request = make_request(FL_HOP_LAST);

	network.node = &fixture->node;
	network.links[0] = (struct link){.status = status};
	return fl_forward_and_decode(&fixture->node, &request, return_decode_result, &decoded);
}

static void the_result_depends_on_status_and_body_of_the_reply(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_forward_request request = make_request(FL_HOP_LAST);
	struct fl_http_reply reply;

	become_follower_of_n1(fixture);
	assert_int_equal(forward_and_decode(fixture, 200, FL_DECODE_OK), FL_FORWARD_ANSWERED);
	assert_int_equal(forward_and_decode(fixture, 200, FL_DECODE_MALFORMED),
	                 FL_FORWARD_MALFORMED_REPLY);
	assert_int_equal(forward_and_decode(fixture, 200, FL_DECODE_NO_MEMORY),
	                 FL_FORWARD_OUT_OF_MEMORY);
	assert_int_equal(forward_and_decode(fixture, 503, FL_DECODE_OK), FL_FORWARD_REJECTED);
	assert_int_equal(forward_and_decode(fixture, 421, FL_DECODE_OK), FL_FORWARD_NO_LEADER);
	request.encode = fail_to_encode;
	network.links[0].calls = 0;
	assert_int_equal(fl_forward_to_leader(&fixture->node, &request, &reply),
	                 FL_FORWARD_OUT_OF_MEMORY);
	assert_int_equal(network.links[0].calls, 0);
}

/* Gossip never lowers the known fencing token; it may bring a later confirmation of the token. */
static void a_leader_view_merges_only_newer_views(void **state)
{
	struct fl_leader_view view;

	(void)state;
	fl_leader_view_init(&view);
	fl_leader_view_merge(&view, 0, "n1", 5);
	assert_string_equal(view.leader, "");
	fl_leader_view_merge(&view, 7, "n1", 5);
	assert_true(view.fencing_token == 7 && view.confirmed_at == 5);
	assert_string_equal(view.leader, "n1");
	fl_leader_view_merge(&view, 6, "n2", 9);
	fl_leader_view_merge(&view, 7, "n2", 5);
	assert_true(view.fencing_token == 7 && view.confirmed_at == 5);
	assert_string_equal(view.leader, "n1");
	/* The same token, confirmed later by a node that knows no leader. */
	fl_leader_view_merge(&view, 7, "", 6);
	assert_true(view.confirmed_at == 6);
	assert_string_equal(view.leader, "n1");
	/* A higher token replaces the known one even if its confirmation is older. */
	fl_leader_view_merge(&view, 8, "n2", 1);
	assert_true(view.fencing_token == 8 && view.confirmed_at == 6);
	assert_string_equal(view.leader, "n2");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_third_node_gets_a_request_only_if_the_exchange_with_the_leader_fails),
		NODE_TEST(each_failure_returns_its_own_result),
		NODE_TEST(the_result_depends_on_status_and_body_of_the_reply),
		NODE_TEST(a_leader_view_merges_only_newer_views),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
