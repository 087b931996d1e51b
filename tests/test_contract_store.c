/*
 * The golden test of what stands in the state service: a node finds literal records under literal
 * keys, leader and epoch among them, and what it writes there is compared byte for byte. Virtual
 * time, and a state service made here.
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

#include "copy_text.h"
#include "contract_records_fixture.h"
#include "coordination/election/election.h"
#include "coordination/node.h"
#include "coordination/persistence/wal_writer.h"
#include "coordination/follower/heartbeat_digest.h"
#include "coordination/leadership/failover.h"
#include "protocol/peers.h"
#include "sim.h"
#include "transport/clock.h"

/* ---- a state service that holds literals, and takes down what is written ---- */

enum { PROCESS = 1, KEYS_MAX = 8, WRITES_MAX = 16, TEXT_MAX = 8192, GRANT = 7 };

struct sim sim;

static struct {
	struct fl_node node;
	struct fl_config config;
	struct {
		const char *key, *value;
		int rev, grant;
	} stored[KEYS_MAX];
	int n_stored;
	char written[WRITES_MAX][TEXT_MAX]; /* the transactions, in their order */
	int n_written;
	const char *event;  /* what the watches learn once; NULL: nothing */
	bool lists_refused; /* of the state service */
	int holds, released;
	void (*duty)(struct fl_node *node);
	int result; /* of that, where it has one; 0 is good */
} world;

void sim_process_compute(int process) { (void)process; }

static void store(const char *key, const char *value, int rev, int grant)
{
	int at = world.n_stored++;

	sim_require(at < KEYS_MAX);
	world.stored[at].key = key;
	world.stored[at].value = value;
	world.stored[at].rev = rev;
	world.stored[at].grant = grant;
}

static int answer_get(const char *key, struct fl_buffer *body)
{
	for (int number = 0; number < world.n_stored; number++)
		if (strcmp(world.stored[number].key, key) == 0) {
			fl_buffer_printf(body, "{\"V\":%s,\"KeyRev\":%d,\"Grant\":%d}",
			                 world.stored[number].value, world.stored[number].rev,
			                 world.stored[number].grant);
			return 200;
		}
	fl_buffer_printf(body, "{}");
	return 404;
}

static int answer_list(const char *query, struct fl_buffer *body)
{
	size_t length = strcspn(query, "&");
	const char *comma = "";

	if (world.lists_refused)
		return 503;
	fl_buffer_printf(body, "{\"Items\":[");
	for (int number = 0; number < world.n_stored; number++)
		if (strncmp(world.stored[number].key, query, length) == 0) {
			fl_buffer_printf(body, "%s{\"Key\":\"%s\",\"V\":%s,\"KeyRev\":%d}", comma,
			                 world.stored[number].key, world.stored[number].value,
			                 world.stored[number].rev);
			comma = ",";
		}
	fl_buffer_printf(body, "],\"More\":false,\"LedgerRev\":90}");
	return 200;
}

static int answer_watch(const char *query, struct fl_buffer *body)
{
	const char *event = strncmp(query, "c/", 2) == 0 ? world.event : NULL;

	if (event)
		world.event = NULL;
	else
		fl_sleep(1);
	fl_buffer_printf(body, "{\"LedgerRev\":91,\"Log\":[%s]}", event ? event : "");
	return 200;
}

static int answer(const char *method, const char *path, const char *text, struct fl_buffer *body)
{
	static const char key[] = "/keys/", list[] = "/keys?Prefix=", watch[] = "/follow?Prefix=";

	if (strncmp(path, key, strlen(key)) == 0)
		return answer_get(path + strlen(key), body);
	if (strncmp(path, list, strlen(list)) == 0)
		return answer_list(path + strlen(list), body);
	if (strncmp(path, watch, strlen(watch)) == 0)
		return answer_watch(path + strlen(watch), body);
	if (strcmp(path, "/multi") == 0) {
		sim_require(world.n_written < WRITES_MAX);
		copy_text(world.written[world.n_written++], TEXT_MAX, text);
		fl_buffer_printf(body, "{\"LedgerRev\":92}");
	} else if (strcmp(path, "/machine_types") == 0) {
		fl_buffer_printf(body, "%s", MACHINE_TYPES);
	} else if (strcmp(path, "/holds") == 0) {
		world.holds++;
		fl_buffer_printf(body, "{\"Grant\":%d}", GRANT);
	} else if (strcmp(method, "DELETE") == 0) {
		world.released = atoi(path + strlen("/holds/"));
		/* The key ends with its lease. */
		for (int number = 0; number < world.n_stored; number++)
			if (world.stored[number].grant == world.released)
				world.stored[number].key = "gone";
		fl_buffer_printf(body, "{}");
	} else {
		fl_buffer_printf(body, "{\"Hosts\":[],\"More\":false}");
	}
	return 200;
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	(void)client, (void)timeout_s;
	memset(out, 0, sizeof(*out));
	if (fl_sleep(0.002) != 0)
		return -ECANCELED;
	out->status = answer(method, path, body, &out->body);
	return 0;
}

static struct fl_node *begin_node(void)
{
	struct fl_node *node = &world.node;

	memset(&world, 0, sizeof(world));
	sim_time_begin();
	node->config = &world.config;
	strcpy(world.config.node, "host-1");
	strcpy(node->process_id, "host-1-18.75");
	world.config.core_share = 1;
	world.config.ram_mb = 64;
	world.config.state_rps = world.config.state_write_rps = 100;
	world.config.value_kb = 4;
	world.config.txn_ops = 64;
	world.config.cloud_rps = 1;
	world.config.report_s = 2;
	world.config.lease_s = 10;
	world.config.cancel_s = 40;
	node->machine_types_known = node->jobs_known = true;
	node->kv_store.last_failure_at = -1e9;
	add_zones_and_teams(&node->cluster);
	return node;
}

static void drop_timer(struct sim_timer *timer) { (void)timer; }

static void end_node(void)
{
	struct fl_cached_heartbeat *cached, *next;

	sim_time_end(drop_timer);
	HASH_ITER (hh, world.node.follower.cached_heartbeats, cached, next) {
		HASH_DEL(world.node.follower.cached_heartbeats, cached);
		free(cached->text);
		free(cached);
	}
	fl_cluster_free(&world.node.cluster);
}

static void do_duty(void *arg)
{
	(void)arg;
	world.duty(&world.node);
}

/* Runs this as the node, for so long. */
static void run(void (*duty)(struct fl_node *node), double seconds)
{
	world.duty = duty;
	assert_non_null(sim_spawn(PROCESS, do_duty, NULL));
	sim_time_run(fl_now() + seconds);
	assert_int_equal(world.result, 0);
}

/* Among the transactions there is this one, byte for byte. */
static void assert_written(const char *expected)
{
	for (int number = 0; number < world.n_written; number++)
		if (strcmp(world.written[number], expected) == 0)
			return;
	for (int number = 0; number < world.n_written; number++)
		print_message("written: %s\n", world.written[number]);
	fail_msg("not written: %s", expected);
}

/* ---- what a node writes under the keys, and finds there ---- */

static void start_election(struct fl_node *node)
{
	static const struct fl_election_callbacks callbacks = {fl_leadership_begin,
	                                                       fl_leadership_end};

	fl_election_start(node, &callbacks);
}

static void acquires_and_raises_the_epoch(struct fl_node *node)
{
	start_election(node);
	fl_sleep(8);
	node->leader_lease.token_raise_wanted = true;
	fl_sleep(2);
}

static void a_leader_writes_its_name_process_and_epoch(void **state)
{
	const struct fl_node *node = begin_node();

	(void)state;
	store("c/epoch", EPOCH, 31, 0);
	run(acquires_and_raises_the_epoch, 12);
	assert_true(node->leader_lease.held);
	assert_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":0},"
	               "{\"Key\":\"c/epoch\",\"KeyRev\":31}],\"Apply\":[{\"Put\":\"c/"
	               "lead\",\"V\":" OWN_LEADER
	               ",\"Grant\":7},{\"Put\":\"c/epoch\",\"V\":" NEXT_EPOCH "}]}");
	assert_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":92},"
	               "{\"Key\":\"c/epoch\",\"KeyRev\":92}],"
	               "\"Apply\":[{\"Put\":\"c/epoch\",\"V\":" RAISED_EPOCH "}]}");
	assert_int_equal(node->leader_view.fencing_token, 43);
	assert_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":92}],"
	               "\"Apply\":[{\"Put\":\"m/kinds\",\"V\":" MACHINE_TYPES "}]}");
	end_node();
}

static void refresh(struct fl_node *node) { world.result = fl_leader_view_refresh(node); }

static void a_node_recognises_the_stored_leader_and_epoch(void **state)
{
	const struct fl_node *node = begin_node();

	(void)state;
	store("c/lead", LEADER, 32, 5);
	store("c/epoch", EPOCH, 31, 0);
	run(refresh, 1);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);
	run(start_election, 10);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);
	assert_false(node->leader_lease.held);
	assert_int_equal(world.holds, 0);
	assert_int_equal(world.n_written, 0);
	end_node();
}

/* Once it has started, lists are refused: only the watch can tell it. */
static void a_node_recognises_a_leader_and_epoch_that_change(void **state)
{
	const struct fl_node *node = begin_node();

	(void)state;
	store("c/lead", "{\"node\":\"host-9\",\"boot\":\"9\"}", 32, 5);
	run(start_election, 2.5);
	assert_string_equal(node->leader_view.leader, "host-9");
	assert_int_equal(node->leader_view.fencing_token, 0);
	world.lists_refused = true;
	world.event = "{\"KeyRev\":93,\"Put\":\"c/lead\",\"V\":" LEADER "},"
		      "{\"KeyRev\":93,\"Put\":\"c/epoch\",\"V\":" EPOCH "}";
	sim_time_run(fl_now() + 3);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);
	end_node();
}

static void a_node_releases_the_lease_of_its_earlier_process_only(void **state)
{
	const struct fl_node *node = begin_node();

	(void)state;
	store("c/lead", LEADER_BEFORE, 32, 5);
	store("c/epoch", EPOCH, 31, 0);
	run(start_election, 3);
	assert_int_equal(world.released, 5);
	assert_true(node->leader_lease.held);
	assert_int_equal(node->leader_view.fencing_token, 42);
	end_node();
	node = begin_node();
	store("c/lead", OWN_LEADER, 32, 5);
	run(start_election, 3);
	assert_int_equal(world.released, 0);
	assert_int_equal(world.holds, 0);
	assert_false(node->leader_lease.held);
	end_node();
}

static void lead(struct fl_node *node)
{
	node->leader_lease.held = node->leadership.active = node->cluster.leading = true;
	node->leader_lease.valid_until = fl_now() + 1e6;
	node->leader_lease.leader_mod_revision = 33;
}

static void write_log(struct fl_node *node)
{
	lead(node);
	world.result = fl_wal_writer_write(node);
}

static void a_leader_writes_the_log_under_its_key(void **state)
{
	struct fl_node *node = begin_node();
	struct fl_job *job = add_job(&node->cluster);

	(void)state;
	store("w/0", "{\"log\":[]}", 34, 0);
	make_progress(&node->cluster, job);
	fl_token_bucket_init(&node->record_writer.write_budget, 100, 100, fl_now());
	run(write_log, 1);
	assert_int_equal(world.n_written, 1);
	assert_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":33},{\"Key\":\"w/0\","
	               "\"KeyRev\":34}],\"Apply\":[{\"Put\":\"w/0\",\"V\":" LOG "}]}");
	end_node();
}

static void load(struct fl_node *node)
{
	node->leader_lease.held = true;
	world.result = fl_failover_load(node);
}

static void a_new_leader_loads_what_stands_under_the_keys(void **state)
{
	struct fl_node *node = begin_node();
	const struct fl_job *job;

	(void)state;
	store("j/run-000412", LIVE, 35, 0);
	store("j/run-000413", CANCELLED, 36, 0);
	store("p/run-000412/1", PROGRESS, 37, 0);
	store("p/run-000413/0", "{\"d\":[],\"t\":[],\"m\":[[8,1,\"m-000014\",103,9]]}", 38, 0);
	store("w/0", "{\"log\":[" OTHER_GROUP "]}", 39, 0);
	run(load, 2);
	job = fl_job_find(&node->cluster, "run-000412");
	assert_non_null(job);
	assert_int_equal(job->record.mod_revision, 35);
	assert_progress(&node->cluster, job);
	assert_task(&node->cluster, job, 128, FL_TASK_WAITING, 6, NULL, 0, 0);
	assert_int_equal(node->record_writer.wal_mod_revision, 39);
	job = fl_job_find(&node->cluster, "run-000413");
	assert_true(job && job->cancelled);
	assert_task(&node->cluster, job, 8, FL_TASK_PLACED, 1, "m-000014", 103, 9);
	assert_int_equal(fl_finished_job_find(&node->cluster, "run-000413")->status, FL_CANCELLED);
	end_node();
}

static struct {
	struct fl_job_record record;
	cJSON *value;
	uint64_t rev;
	int result;
} live, final;

static void read_records(struct fl_node *node)
{
	live.result = fl_job_record_read(&node->kv_store, "run-000412", &live.record, &live.value,
	                                 &live.rev);
	final.result = fl_job_record_read(&node->kv_store, "run-000414", &final.record,
	                                  &final.value, &final.rev);
}

static void a_job_is_found_by_its_live_and_by_its_final_key(void **state)
{
	(void)state;
	begin_node();
	store("j/run-000412", LIVE, 35, 0);
	store("f/run-000414", FINAL_DONE, 40, 0);
	live.result = final.result = -1;
	run(read_records, 1);
	assert_int_equal(live.result, 0);
	assert_false(live.record.final);
	assert_int_equal(live.rev, 35);
	assert_text(live.value, LIVE);
	assert_int_equal(final.result, 0);
	assert_true(final.record.final);
	assert_int_equal(final.record.status, FL_DONE);
	assert_int_equal(final.rev, 40);
	assert_null(final.value);
	end_node();
}

static void write_digest(struct fl_node *node)
{
	struct fl_task_status tasks[CACHED_TASKS];
	struct fl_heartbeat heartbeat = make_report(tasks);

	strcpy(node->leader_view.leader, "host-2");
	node->leader_view.fencing_token = 108;
	fl_heartbeat_digest_init(node, 2);
	fl_heartbeat_cache(node, &heartbeat);
	fl_heartbeat_cache(node, &without_tasks);
	fl_heartbeat_digest_write(node, fl_now(), 2);
}

static void a_follower_writes_its_digest_under_its_name(void **state)
{
	(void)state;
	begin_node();
	store("k/host-1/0", "{\"epoch\":1,\"kept\":[]}", 41, 0);
	run(write_digest, 1);
	assert_int_equal(world.n_written, 1);
	assert_written("{\"When\":[{\"Key\":\"k/host-1/0\",\"KeyRev\":41}],"
	               "\"Apply\":[{\"Put\":\"k/host-1/0\",\"V\":" DIGEST "}]}");
	end_node();
}

static void a_leader_reads_digests_and_finished_jobs(void **state)
{
	const struct fl_node *node = begin_node();
	const struct fl_machine *machine;

	(void)state;
	store("c/epoch", "{\"epoch\":102}", 31, 0); /* the epoch of the first report is next */
	store("f/run-000414", FINAL_DONE, 40, 0);
	store("k/host-2/0", DIGEST, 41, 0);
	run(start_election, 4);
	assert_true(node->leadership.active);
	machine = fl_machine_find(&node->cluster.machines, "m-000012");
	assert_non_null(machine);
	assert_int_equal(machine->heartbeat.incarnation, 101);
	assert_int_equal(machine->heartbeat.sequence, 102);
	assert_non_null(fl_finished_job_find(&node->cluster, "run-000414"));
	assert_int_equal(fl_finished_job_find(&node->cluster, "run-000414")->task_count, 71);
	end_node();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_leader_writes_its_name_process_and_epoch),
		cmocka_unit_test(a_node_recognises_the_stored_leader_and_epoch),
		cmocka_unit_test(a_node_recognises_a_leader_and_epoch_that_change),
		cmocka_unit_test(a_node_releases_the_lease_of_its_earlier_process_only),
		cmocka_unit_test(a_leader_writes_the_log_under_its_key),
		cmocka_unit_test(a_new_leader_loads_what_stands_under_the_keys),
		cmocka_unit_test(a_job_is_found_by_its_live_and_by_its_final_key),
		cmocka_unit_test(a_follower_writes_its_digest_under_its_name),
		cmocka_unit_test(a_leader_reads_digests_and_finished_jobs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
