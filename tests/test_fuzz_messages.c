/*
 * A seeded fuzz test of everything that arrives from outside: HTTP requests, submissions,
 * heartbeats, messages of other controllers, and stored records. Mutated messages may be rejected,
 * but must neither end the process nor occupy a connection beyond its limit.
 *
 * test_fuzz_messages [SEED [ITERATIONS]]: iterations are per kind of message.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "contract_heartbeats.h"
#include "contract_records_fixture.h"
#include "protocol/cloud.h"
#include "protocol/heartbeat_digests.h"
#include "protocol/peer_heartbeats.h"
#include "protocol/peers.h"
#include "protocol/status_messages.h"
#include "sim_sockets.h"
#include "sim_time.h"
#include "storage/election_records.h"
#include "storage/job_records.h"
#include "storage/machine_type_records.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "transport/clock.h"
#include "transport/http_client.h"
#include "transport/http_connection.h"
#include "transport/log.h"
#include "virtual_time_fixture.h"

enum {
	DEFAULT_SEED = 43,
	DEFAULT_ITERATIONS = 20000,
	MUTATIONS_MAX = 6,
	HTTP_ITERATIONS_DIVISOR = 10, /* each HTTP request takes a connection of its own */
	PIECES_MAX = 30,
	BATCH_SIZE = 3
};

/* Within this time of its first byte, a request is answered or its connection is closed. */
static const double request_time_limit_s = 7;
/* A sent request's longest time before its first byte, and from there to its last byte. */
static const double idle_max_s = 2, duration_max_s = 12, idle_timeout_s = 20;

static int iterations = DEFAULT_ITERATIONS;

/* No process of this test is slow. */
void sim_process_delay_if_slow(int process) { (void)process; }

/* No message of this test is sent. */
int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	(void)client, (void)method, (void)path, (void)body, (void)timeout_s, (void)out;
	return -ECONNREFUSED;
}

/* ---- mutation ---- */

/* Texts that the decoders treat in a special way. */
static const char *const fragments[] = {"null",
                                        "-1",
                                        "1e999",
                                        "5e0",
                                        "18446744073709551616",
                                        "\"\"",
                                        "[",
                                        "{",
                                        "]",
                                        "}",
                                        "\\u0000",
                                        "\\ud800",
                                        "\"",
                                        "\\",
                                        "run-00041",
                                        "/",
                                        "0.5",
                                        "[[[[[[[[",
                                        "\r\n\r\n",
                                        "chunked",
                                        "true",
                                        "100000",
                                        "\xff",
                                        "{}",
                                        "[]",
                                        "Content-Length: 99\r\n"};

enum { FRAGMENTS = sizeof(fragments) / sizeof(fragments[0]) };

static void replace_range(struct fl_buffer *text, size_t from, size_t count, const char *with)
{
	struct fl_buffer result = {0};

	fl_buffer_append(&result, text->data, from);
	fl_buffer_append(&result, with, strlen(with));
	fl_buffer_append(&result, text->data + from + count, text->length - from - count);
	fl_buffer_free(text);
	*text = result;
}

static void mutate_once(struct fl_buffer *text)
{
	size_t from = (size_t)sim_random_index((int)text->length + 1);
	size_t left = text->length - from;
	size_t count = (size_t)sim_random_index((int)(left < 20 ? left : 20) + 1);
	char *copy;

	switch (sim_random_index(5)) {
	case 0: /* a changed byte */
		if (left > 0)
			text->data[from] = (char)sim_random_index(256);
		break;
	case 1: /* bytes lost */
		replace_range(text, from, count, "");
		break;
	case 2: /* cut off */
		replace_range(text, from, left, "");
		break;
	case 3:
		replace_range(text, from, count, fragments[sim_random_index(FRAGMENTS)]);
		break;
	default: /* bytes twice */
		copy = strndup(text->data + from, count);
		replace_range(text, from, 0, copy);
		free(copy);
		break;
	}
}

/* Returns a mutation of the text, whose data the caller frees. */
static struct fl_buffer mutate(const char *original)
{
	struct fl_buffer text = {0};

	fl_buffer_append(&text, original, strlen(original));
	for (int i = 1 + sim_random_index(MUTATIONS_MAX); i > 0; i--)
		mutate_once(&text);
	return text;
}

/* ---- decoders ---- */

/* Decodes a text as a submission and as a stored record; what is accepted is encoded again. */
static void decode_job(const char *text, size_t length)
{
	cJSON *object = fl_json_parse(text, length);
	struct fl_job_record record;
	struct fl_job_spec spec;

	if (fl_job_spec_decode(object, &spec) == NULL)
		cJSON_Delete(fl_job_spec_encode(&spec));
	fl_job_record_decode(object, "run-000413", &record);
	cJSON_Delete(object);
}

static void decode_heartbeat(const char *text, size_t length)
{
	struct fl_heartbeat heartbeat;

	if (fl_heartbeat_decode(text, length, &heartbeat) != FL_DECODE_OK)
		return;
	free(fl_cached_heartbeat_encode(&heartbeat));
	fl_heartbeat_free(&heartbeat);
}

static void decode_gossip(const char *text, size_t length)
{
	struct fl_gossip gossip;

	if (fl_gossip_decode(text, length, &gossip) == FL_DECODE_OK)
		fl_gossip_free(&gossip);
}

static void decode_forwarded_request(const char *text, size_t length)
{
	struct fl_forwarded_request forwarded;

	if (fl_forwarded_request_decode(text, length, &forwarded) == FL_DECODE_OK)
		fl_forwarded_request_free(&forwarded);
}

static void decode_forwarded_heartbeats(const char *text, size_t length)
{
	struct fl_heartbeat_reply replies[BATCH_SIZE] = {0};
	struct fl_peer_heartbeats message;

	if (fl_peer_heartbeats_decode(text, length, &message) == FL_DECODE_OK)
		fl_peer_heartbeats_free(&message);
	if (fl_heartbeat_replies_decode(text, length, replies, BATCH_SIZE) == FL_DECODE_OK)
		for (int i = 0; i < BATCH_SIZE; i++)
			free(replies[i].body);
}

static void decode_status_messages(const char *text, size_t length)
{
	static char refs[FL_STATUS_QUERY_JOBS_MAX][FL_REF_MAX];
	struct fl_job_status_report reports[BATCH_SIZE];
	int count;

	fl_status_query_decode(text, length, refs, &count);
	fl_status_answer_decode(text, length, reports, BATCH_SIZE);
}

static void decode_machine_types(const char *text, size_t length)
{
	cJSON *object = fl_json_parse(text, length);
	struct fl_cloud_machine_type *types;
	struct fl_machine_types_set set;
	int count;

	fl_machine_types_set_decode(object, &set);
	if (fl_machine_types_decode(object, &types, &count) == FL_DECODE_OK)
		free(types);
	cJSON_Delete(object);
}

static void decode_election_records(const char *text, size_t length)
{
	cJSON *object = fl_json_parse(text, length);
	struct fl_leader_record leader;
	uint64_t fencing_token;

	fl_leader_record_decode(object, &leader);
	fl_fencing_token_record_decode(object, &fencing_token);
	cJSON_Delete(object);
}

static void decode_digest(const char *text, size_t length)
{
	cJSON *object = fl_json_parse(text, length);
	const cJSON *item;
	struct fl_heartbeat heartbeat;

	cJSON_ArrayForEach (item, fl_digest_heartbeats(object))
		if (fl_cached_heartbeat_decode(item, &heartbeat) == FL_DECODE_OK)
			fl_heartbeat_free(&heartbeat);
	cJSON_Delete(object);
}

/* Restores a task block of a new cluster from a text, as a progress record and as the log. */
static void restore_block(const char *text, size_t length)
{
	static struct fl_cluster cluster;
	cJSON *object = fl_json_parse(text, length);
	struct fl_wal wal = {0};
	const struct fl_task_block_source source = {.value = object, .revision = 7, .wal = &wal};
	struct fl_job *job;

	memset(&cluster, 0, sizeof(cluster));
	job = add_live_job(&cluster);
	fl_wal_read_value(&wal, object);
	fl_task_block_restore(&cluster, job, 1, &source, fl_now());
	fl_wal_free(&wal);
	cJSON_Delete(object);
	fl_cluster_free(&cluster);
}

static void decode_progress_record(const char *text, size_t length)
{
	cJSON *object = fl_json_parse(text, length);
	uint32_t done = 0, placed = 0;

	fl_progress_record_add_counts(object, &done, &placed);
	cJSON_Delete(object);
	restore_block(text, length);
}

static const struct {
	const char *name, *original;
	void (*decode)(const char *text, size_t length);
} messages[] = {
	{"submission and live record", LIVE_JOB_RECORD, decode_job},
	{"cancelled record", CANCELLED_JOB_RECORD, decode_job},
	{"final record", FINAL_RECORD_DONE, decode_job},
	{"heartbeat", busy_heartbeat_text, decode_heartbeat},
	{"gossip",
         "{\"node\":\"host-1\",\"leader\":\"host-1\",\"epoch\":41,\"proof_age_s\":0.25,"
         "\"leads\":true,\"known_age_s\":3.5,\"whole\":false,"
         "\"cancelled\":[[\"run-000412\",1.5],[\"run-000413\",20]]}",
         decode_gossip},
	{"forwarded request", "{\"call\":1,\"last_hop\":true,\"body\":\"{\\\"Ref\\\":7}\"}",
         decode_forwarded_request},
	{"forwarded heartbeats",
         "{\"last_hop\":false,\"adrift\":true,\"via\":\"host-3\",\"reports\":[{},{}]}",
         decode_forwarded_heartbeats},
	{"replies to heartbeats",
         "[{\"status\":200,\"body\":\"{\\\"Epoch\\\":41}\"},{\"status\":503},"
         "{\"status\":421,\"body\":\"{}\"}]",
         decode_forwarded_heartbeats},
	{"status query", "{\"refs\":[\"run-000412\",\"run-000413\"]}", decode_status_messages},
	{"status answer", "{\"jobs\":[[0,1,2],null,[3,5,6]]}", decode_status_messages},
	{"machine types", MACHINE_TYPES_RECORD, decode_machine_types},
	{"leader record", LEADER_RECORD, decode_election_records},
	{"fencing token record", FENCING_TOKEN_RECORD, decode_election_records},
	{"heartbeat digest", DIGEST_RECORD, decode_digest},
	{"progress record", PROGRESS_RECORD, decode_progress_record},
	{"write-ahead log", WAL_VALUE, restore_block},
};

enum { MESSAGES = sizeof(messages) / sizeof(messages[0]) };

static void mutated_messages_do_not_end_the_process(void **state)
{
	(void)state;
	for (int i = 0; i < MESSAGES; i++) {
		messages[i].decode(messages[i].original, strlen(messages[i].original));
		for (int k = 0; k < iterations; k++) {
			struct fl_buffer text = mutate(messages[i].original);

			messages[i].decode(text.data, text.length);
			fl_buffer_free(&text);
		}
	}
}

/* ---- HTTP ---- */

static const char *const requests[] = {
	"POST /v2/runs HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n{\"Ref\":\"run-000412\"}",
	"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{\"a\": 5}\r\n0\r\n\r\n",
	"GET /v2/runs/run-000412?x=1 HTTP/1.1\r\nConnection: keep-alive\r\n\r\n",
	"HEAD /ready HTTP/1.0\r\n\r\n",
};

enum { REQUESTS = sizeof(requests) / sizeof(requests[0]) };

static void echo_body(void *context, const struct fl_http_request *request,
                      struct fl_http_response *response)
{
	(void)context;
	assert_int_equal(strlen(request->body) <= request->body_len, 1);
	response->status = 200;
	response->body = strdup(request->body);
}

static const struct fl_http_endpoint endpoint = {
	.connection_limit = 16, .idle_timeout_s = 20, .handler = echo_body};

static void serve_socket(void *arg) { fl_http_connection_serve(&endpoint, *(const int *)arg); }

static void send_mutated_request(void)
{
	struct fl_buffer text = mutate(requests[sim_random_index(REQUESTS)]);
	struct sim_transmission transmission = {.sent_share = 1};
	double latest_end;
	int fd;

	transmission.idle_s = sim_random_between(0, idle_max_s);
	transmission.duration_s = sim_random_between(0, duration_max_s);
	transmission.piece_count = 1 + sim_random_index(PIECES_MAX);
	transmission.closes_at_end = sim_chance(0.5);
	fd = sim_socket_open(text.data, text.length, &transmission);
	sim_spawn(0, serve_socket, &fd);
	/* The rest of an answered request may be idle time of its connection. */
	latest_end = fl_now() + transmission.idle_s + 2 * request_time_limit_s + idle_timeout_s;
	sim_time_run(latest_end);
	assert_true(sim_socket_closed_at(fd) > 0);
	sim_socket_free(fd);
	fl_buffer_free(&text);
}

static void mutated_http_requests_do_not_occupy_their_connections(void **state)
{
	(void)state;
	for (int i = 0; i < iterations / HTTP_ITERATIONS_DIVISOR; i++)
		send_mutated_request();
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		VIRTUAL_TIME_TEST(mutated_messages_do_not_end_the_process),
		VIRTUAL_TIME_TEST(mutated_http_requests_do_not_occupy_their_connections),
	};

	sim_seed(argc > 1 ? strtoull(argv[1], NULL, 10) : DEFAULT_SEED);
	if (argc > 2)
		iterations = atoi(argv[2]);
	fl_log_set_level("error");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
