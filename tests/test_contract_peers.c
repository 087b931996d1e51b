/*
 * The wire contract with the other controllers, byte for byte. C identifiers may be renamed, but a
 * change of a field, word or path in these texts makes the protocol incompatible with the other
 * side. The texts are written out here and never produced by the code under test.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "contract_heartbeats.h"
#include "contract_text.h"
#include "protocol/heartbeat_digests.h"
#include "protocol/peer_heartbeats.h"
#include "protocol/peers.h"
#include "protocol/status_messages.h"

static void assert_gossip_round_trip(const char *text, const struct fl_gossip *expected)
{
	struct fl_gossip got;

	assert_int_equal(fl_gossip_decode(text, strlen(text), &got), 0);
	assert_string_equal(got.node, expected->node);
	assert_string_equal(got.leader, expected->leader);
	assert_int_equal(got.fencing_token, expected->fencing_token);
	assert_true(got.leader_confirmed_age_s == expected->leader_confirmed_age_s);
	assert_int_equal(got.sender_is_leader, expected->sender_is_leader);
	assert_true(got.watermark_age_s == expected->watermark_age_s);
	assert_int_equal(got.cancellations_complete, expected->cancellations_complete);
	assert_int_equal(got.cancelled_count, expected->cancelled_count);
	for (int i = 0; i < expected->cancelled_count; i++) {
		assert_string_equal(got.cancelled[i].ref, expected->cancelled[i].ref);
		assert_true(got.cancelled[i].age_s == expected->cancelled[i].age_s);
	}
	fl_gossip_free(&got);
	assert_text_and_free(fl_gossip_encode(expected), text);
}

static void a_gossip_message_has_leader_fencing_token_and_cancellations(void **state)
{
	struct fl_cancellation cancelled[] = {{"run-000412", 1.5}, {"run-000413", 20}};
	const struct fl_gossip leader_gossip = {.node = "host-1",
	                                        .leader = "host-1",
	                                        .fencing_token = 41,
	                                        .leader_confirmed_age_s = 0.25,
	                                        .sender_is_leader = true,
	                                        .watermark_age_s = 3.5,
	                                        .cancelled = cancelled,
	                                        .cancelled_count = COUNT_OF(cancelled)};
	const struct fl_gossip follower_gossip = {.node = "host-2",
	                                          .leader = "host-3",
	                                          .fencing_token = 42,
	                                          .leader_confirmed_age_s = 5,
	                                          .watermark_age_s = 6,
	                                          .cancellations_complete = true};

	(void)state;
	assert_gossip_round_trip(
		"{\"node\":\"host-1\",\"leader\":\"host-1\",\"epoch\":41,\"proof_age_s\":0.25,"
		"\"leads\":true,\"known_age_s\":3.5,\"whole\":false,"
		"\"cancelled\":[[\"run-000412\",1.5],[\"run-000413\",20]]}",
		&leader_gossip);
	assert_gossip_round_trip(
		"{\"node\":\"host-2\",\"leader\":\"host-3\",\"epoch\":42,\"proof_age_s\":5,"
		"\"leads\":false,\"known_age_s\":6,\"whole\":true,\"cancelled\":[]}",
		&follower_gossip);
}

static void a_forwarded_request_has_the_number_of_its_request_kind(void **state)
{
	static const struct {
		const char *text;
		enum fl_request_kind request_kind;
		bool last_hop;
		const char *ref, *body;
	} forwarded[] = {
		{"{\"call\":1,\"last_hop\":true,\"body\":\"{\\\"Ref\\\":\\\"run-000412\\\"}\"}",
	         FL_REQUEST_SUBMIT, true, NULL, "{\"Ref\":\"run-000412\"}"},
		{"{\"call\":2,\"last_hop\":false,\"ref\":\"run-000413\"}", FL_REQUEST_STATUS, false,
	         "run-000413", NULL},
		{"{\"call\":3,\"last_hop\":true,\"ref\":\"run-000414\"}", FL_REQUEST_CANCEL, true,
	         "run-000414", NULL},
	};

	(void)state;
	for (int i = 0; i < COUNT_OF(forwarded); i++) {
		struct fl_forwarded_request got;

		assert_int_equal(fl_forwarded_request_decode(forwarded[i].text,
		                                             strlen(forwarded[i].text), &got),
		                 0);
		assert_int_equal(got.kind, forwarded[i].request_kind);
		assert_int_equal(got.last_hop, forwarded[i].last_hop);
		assert_string_equal(got.ref, forwarded[i].ref ? forwarded[i].ref : "");
		if (forwarded[i].body)
			assert_string_equal(got.body, forwarded[i].body);
		else
			assert_null(got.body);
		fl_forwarded_request_free(&got);
		assert_text_and_free(fl_forwarded_request_encode(
					     forwarded[i].request_kind, forwarded[i].last_hop,
					     forwarded[i].ref, forwarded[i].body),
		                     forwarded[i].text);
	}
}

static void forwarded_messages_have_their_paths(void **state)
{
	(void)state;
	assert_string_equal(FL_PATH_FORWARD, "/relay");
	assert_string_equal(FL_PATH_HEARTBEATS, "/reports");
	assert_string_equal(FL_PATH_STATUS, "/status");
}

static const char last_hop_heartbeats_text[] =
	"{\"last_hop\":true,\"via\":\"host-2\",\"reports\":[]}";
static const char forwarded_heartbeats_text[] =
	"{\"last_hop\":false,\"adrift\":true,\"via\":\"host-3\",\"reports\":["
	"{\"Host\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
	"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Tenure\":1,\"Serial\":88,\"Epoch\":41,"
	"\"Parts\":[]}]}";

static void forwarded_heartbeats_name_their_entry_node(void **state)
{
	struct fl_peer_heartbeats got;
	struct fl_heartbeat heartbeat;
	cJSON *list = fl_heartbeat_list_create();

	(void)state;
	assert_text_and_free(fl_peer_heartbeats_encode(list, "host-2", true, false),
	                     last_hop_heartbeats_text);

	fl_heartbeat_list_add(list, idle_heartbeat_text);
	assert_text_and_free(fl_peer_heartbeats_encode(list, "host-3", false, true),
	                     forwarded_heartbeats_text);
	cJSON_Delete(list);
	assert_int_equal(fl_peer_heartbeats_decode(forwarded_heartbeats_text,
	                                           strlen(forwarded_heartbeats_text), &got),
	                 0);
	assert_false(got.last_hop);
	assert_true(got.sender_kv_unavailable);
	assert_string_equal(got.entry_node, "host-3");
	assert_int_equal(cJSON_GetArraySize(got.heartbeat_list), 1);
	assert_int_equal(
		fl_heartbeat_decode_json(cJSON_GetArrayItem(got.heartbeat_list, 0), &heartbeat), 0);
	assert_heartbeat_equal(&heartbeat, &idle_heartbeat);
	fl_peer_heartbeats_free(&got);
	assert_int_equal(fl_peer_heartbeats_decode(last_hop_heartbeats_text,
	                                           strlen(last_hop_heartbeats_text), &got),
	                 0);
	assert_true(got.last_hop);
	assert_false(got.sender_kv_unavailable);
	assert_string_equal(got.entry_node, "host-2");
	assert_int_equal(cJSON_GetArraySize(got.heartbeat_list), 0);
	fl_peer_heartbeats_free(&got);
}

static void replies_to_forwarded_heartbeats_have_status_and_body(void **state)
{
	static const char text[] =
		"[{\"status\":200,\"body\":\"{\\\"Epoch\\\":41,\\\"Orders\\\":[]}\"},"
		"{\"status\":421,\"body\":\"{\\\"Steward\\\":\\\"host-2\\\"}\"},{\"status\":503}]";
	const struct fl_heartbeat_reply expected[] = {
		{200, (char[]){"{\"Epoch\":41,\"Orders\":[]}"}},
		{421, (char[]){"{\"Steward\":\"host-2\"}"}},
		{503, NULL},
	};
	struct fl_heartbeat_reply got[COUNT_OF(expected)];

	(void)state;
	assert_int_equal(fl_heartbeat_replies_decode(text, strlen(text), got, COUNT_OF(expected)),
	                 0);
	for (int i = 0; i < COUNT_OF(expected); i++) {
		assert_int_equal(got[i].status, expected[i].status);
		if (expected[i].body)
			assert_string_equal(got[i].body, expected[i].body);
		else
			assert_null(got[i].body);
		free(got[i].body);
	}
	assert_text_and_free(fl_heartbeat_replies_encode(expected, COUNT_OF(expected)), text);
}

static void a_status_query_is_a_list_of_job_ids(void **state)
{
	static const char text[] = "{\"refs\":[\"run-000412\",\"run-000413\"]}";
	static const char refs[][FL_REF_MAX] = {"run-000412", "run-000413"};
	char got[FL_STATUS_QUERY_JOBS_MAX][FL_REF_MAX];
	int count;

	(void)state;
	assert_int_equal(fl_status_query_decode(text, strlen(text), got, &count), FL_DECODE_OK);
	assert_int_equal(count, COUNT_OF(refs));
	assert_string_equal(got[0], refs[0]);
	assert_string_equal(got[1], refs[1]);
	assert_text_and_free(fl_status_query_encode(refs, COUNT_OF(refs)), text);
}

static void a_status_query_response_has_the_number_of_each_status(void **state)
{
	static const char text[] = "{\"jobs\":[[0,1,2],[1,3,13],null,[2,16,4],[3,5,6]]}";
	static const struct fl_job_status_report expected[] = {
		{true, FL_PENDING, 1, 2}, {true, FL_RUNNING, 3, 13},  {false, FL_PENDING, 0, 0},
		{true, FL_DONE, 16, 4},   {true, FL_CANCELLED, 5, 6},
	};
	struct fl_job_status_report got[COUNT_OF(expected)];

	(void)state;
	assert_int_equal(fl_status_answer_decode(text, strlen(text), got, COUNT_OF(expected)), 0);
	for (int i = 0; i < COUNT_OF(expected); i++) {
		assert_int_equal(got[i].status_known, expected[i].status_known);
		assert_int_equal(got[i].status, expected[i].status);
		assert_int_equal(got[i].done_count, expected[i].done_count);
		assert_int_equal(got[i].running_count, expected[i].running_count);
	}
	assert_text_and_free(fl_status_answer_encode(expected, COUNT_OF(expected)), text);
}

/* ---- cached heartbeats, which a new leader reads from the key-value store ---- */

static const char cached_heartbeat_text[] =
	"[\"m-000231\",3,4123456789,912345678901234,27.5,["
	"[\"run-000401\",0,1,0],[\"run-000402\",3,2,1],"
	"[\"run-000403\",99999,4294967295,2],[\"run-000404\",5,4,4],"
	"[\"run-000405\",6,5,3,0],[\"run-000406\",7,6,3,1],[\"run-000407\",8,7,3,2],"
	"[\"run-000408\",9,8,3,3],[\"run-000409\",10,9,3,4],[\"run-000410\",11,10,3,5],"
	"[\"run-000411\",12,11,3,6],[\"run-000412\",13,12,3,7],[\"run-000413\",14,13,3,8]]]";
static const char cached_idle_heartbeat_text[] = "[\"m-000232\",1,88,41,-1,[]]";

static void assert_cached_heartbeat(const cJSON *tree, const struct fl_heartbeat *expected)
{
	struct fl_heartbeat got;

	assert_int_equal(fl_cached_heartbeat_decode(tree, &got), 0);
	assert_string_equal(got.host, expected->host);
	assert_string_equal(got.endpoint, "");
	assert_string_equal(got.type, "");
	assert_string_equal(got.zone, "");
	assert_int_equal(got.incarnation, expected->incarnation);
	assert_int_equal(got.sequence, expected->sequence);
	assert_int_equal(got.fencing_token, expected->fencing_token);
	assert_true(got.interruption_in_s == expected->interruption_in_s);
	assert_heartbeat_tasks_equal(&got, expected);
	fl_heartbeat_free(&got);
}

static void a_cached_heartbeat_has_the_numbers_of_task_states_and_exit_reasons(void **state)
{
	const struct fl_heartbeat busy = busy_heartbeat();
	cJSON *tree = parse_json(cached_heartbeat_text);

	(void)state;
	assert_cached_heartbeat(tree, &busy);
	cJSON_Delete(tree);
	assert_text_and_free(fl_cached_heartbeat_encode(&busy), cached_heartbeat_text);
	assert_text_and_free(fl_cached_heartbeat_encode(&idle_heartbeat),
	                     cached_idle_heartbeat_text);
}

static void a_digest_has_the_fencing_token_and_the_cached_heartbeats(void **state)
{
	static const char text[] = "{\"epoch\":41,\"kept\":[[\"m-000232\",1,88,41,-1,[]],"
				   "[\"m-000232\",1,88,41,-1,[]]]}";
	cJSON *digest = fl_digest_create(41), *tree = parse_json(text);
	const cJSON *list = fl_digest_heartbeats(tree);

	(void)state;
	assert_int_equal(cJSON_GetArraySize(list), 2);
	assert_cached_heartbeat(cJSON_GetArrayItem(list, 0), &idle_heartbeat);
	assert_cached_heartbeat(cJSON_GetArrayItem(list, 1), &idle_heartbeat);
	cJSON_Delete(tree);
	fl_digest_add_heartbeat(digest, cached_idle_heartbeat_text);
	fl_digest_add_heartbeat(digest, cached_idle_heartbeat_text);
	assert_text_and_free(fl_json_print_and_delete(digest), text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_gossip_message_has_leader_fencing_token_and_cancellations),
		cmocka_unit_test(a_forwarded_request_has_the_number_of_its_request_kind),
		cmocka_unit_test(forwarded_messages_have_their_paths),
		cmocka_unit_test(forwarded_heartbeats_name_their_entry_node),
		cmocka_unit_test(replies_to_forwarded_heartbeats_have_status_and_body),
		cmocka_unit_test(a_status_query_is_a_list_of_job_ids),
		cmocka_unit_test(a_status_query_response_has_the_number_of_each_status),
		cmocka_unit_test(
			a_cached_heartbeat_has_the_numbers_of_task_states_and_exit_reasons),
		cmocka_unit_test(a_digest_has_the_fencing_token_and_the_cached_heartbeats),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
