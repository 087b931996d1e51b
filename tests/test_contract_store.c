/*
 * Golden test of the records in the key-value store other than those of the leader election: a node
 * reads literal records under literal keys, and its own writes are compared byte for byte.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "contract_records_fixture.h"
#include "contract_store_fixture.h"
#include "contract_text.h"
#include "coordination/follower/heartbeat_digest.h"
#include "coordination/leadership/failover.h"
#include "coordination/persistence/record_txn.h"
#include "coordination/persistence/wal_writer.h"
#include "protocol/peers.h"
#include "storage/job_records.h"
#include "storage/token_bucket.h"
#include "transport/clock.h"

static void hold_leader_lease(struct fl_node *node)
{
	node->leader_lease.held = node->leadership.active = node->cluster.has_leader_state = true;
	node->leader_lease.valid_until = fl_now() + 1e6;
	node->leader_lease.leader_mod_revision = 33;
}

static void write_wal(struct fl_node *node)
{
	hold_leader_lease(node);
	store_fixture.action_result = fl_wal_writer_write(node);
}

static void a_leader_writes_the_write_ahead_log_under_its_key(void **state)
{
	struct fl_node *node = *state;
	struct fl_job *job = add_live_job(&node->cluster);

	store_record("w/0", "{\"log\":[]}", 34, 0);
	set_recorded_progress(&node->cluster, job);
	fl_record_write_budget_init(node);
	run_action_on_node(write_wal, 1);

	assert_int_equal(store_fixture.transaction_count, 1);
	assert_transaction_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":33},{\"Key\":\"w/0\","
	                           "\"KeyRev\":34}],\"Apply\":[{\"Put\":\"w/0\",\"V\":" WAL_VALUE
	                           "}]}");
}

static void load_records(struct fl_node *node)
{
	node->leader_lease.held = true;
	store_fixture.action_result = fl_failover_load_cluster(node);
}

static void a_new_leader_loads_the_stored_records(void **state)
{
	struct fl_node *node = *state;
	const struct fl_job *job;

	store_record("j/run-000412", LIVE_JOB_RECORD, 35, 0);
	store_record("j/run-000413", CANCELLED_JOB_RECORD, 36, 0);
	store_record("p/run-000412/1", PROGRESS_RECORD, 37, 0);
	store_record("p/run-000413/0", "{\"d\":[],\"t\":[],\"m\":[[8,1,\"m-000014\",103,9]]}", 38,
	             0);
	store_record("w/0", "{\"log\":[" OTHER_WAL_GROUP "]}", 39, 0);
	run_action_on_node(load_records, 2);
	job = fl_job_find(&node->cluster, "run-000412");
	assert_non_null(job);
	assert_int_equal(job->record.mod_revision, 35);
	assert_recorded_progress(&node->cluster, job);
	assert_task_state(&node->cluster, job, 128, FL_TASK_WAITING, 6, NULL, 0, 0);
	assert_int_equal(node->record_writer.wal_mod_revision, 39);

	job = fl_job_find(&node->cluster, "run-000413");
	assert_true(job && job->cancelled);
	assert_task_state(&node->cluster, job, 8, FL_TASK_PLACED, 1, "m-000014", 103, 9);
	assert_int_equal(fl_finished_job_find(&node->cluster, "run-000413")->status, FL_CANCELLED);
}

static struct {
	struct fl_job_record record;
	cJSON *value;
	uint64_t mod_revision;
	int result;
} live_read, final_read;

static void read_records(struct fl_node *node)
{
	live_read.result = fl_job_record_read(&node->kv_store, "run-000412", &live_read.record,
	                                      &live_read.value, &live_read.mod_revision);
	final_read.result = fl_job_record_read(&node->kv_store, "run-000414", &final_read.record,
	                                       &final_read.value, &final_read.mod_revision);
}

static void a_job_record_is_read_by_its_live_key_or_its_final_key(void **state)
{
	(void)state;
	store_record("j/run-000412", LIVE_JOB_RECORD, 35, 0);
	store_record("f/run-000414", FINAL_RECORD_DONE, 40, 0);
	live_read.result = final_read.result = -1;
	run_action_on_node(read_records, 1);

	assert_int_equal(live_read.result, 0);
	assert_false(live_read.record.final);
	assert_int_equal(live_read.mod_revision, 35);
	assert_json_text_and_delete(live_read.value, LIVE_JOB_RECORD);
	assert_int_equal(final_read.result, 0);
	assert_true(final_read.record.final);
	assert_int_equal(final_read.record.status, FL_DONE);
	assert_int_equal(final_read.mod_revision, 40);
	assert_null(final_read.value);
}

static void write_digest(struct fl_node *node)
{
	struct fl_task_status tasks[CACHED_TASK_COUNT];
	struct fl_heartbeat heartbeat = make_cached_heartbeat(tasks);

	strcpy(node->leader_view.leader, "host-2");
	node->leader_view.fencing_token = 108;
	fl_heartbeat_digest_init(node, 2);
	fl_heartbeat_cache(node, &heartbeat);
	fl_heartbeat_cache(node, &cached_idle_heartbeat);
	fl_heartbeat_digest_write(node, fl_now(), 2);
}

static void a_follower_writes_its_digest_under_its_node_name(void **state)
{
	(void)state;
	store_record("k/host-1/0", "{\"epoch\":1,\"kept\":[]}", 41, 0);
	run_action_on_node(write_digest, 1);
	assert_int_equal(store_fixture.transaction_count, 1);
	assert_transaction_written("{\"When\":[{\"Key\":\"k/host-1/0\",\"KeyRev\":41}],"
	                           "\"Apply\":[{\"Put\":\"k/host-1/0\",\"V\":" DIGEST_RECORD "}]}");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(a_leader_writes_the_write_ahead_log_under_its_key,
	                                        set_up_node, tear_down_node),
		cmocka_unit_test_setup_teardown(a_new_leader_loads_the_stored_records, set_up_node,
	                                        tear_down_node),
		cmocka_unit_test_setup_teardown(
			a_job_record_is_read_by_its_live_key_or_its_final_key, set_up_node,
			tear_down_node),
		cmocka_unit_test_setup_teardown(a_follower_writes_its_digest_under_its_node_name,
	                                        set_up_node, tear_down_node),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
