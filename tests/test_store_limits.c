/*
 * A key-value store that lowers its limits, announced or not: everything that a leader writes must
 * be stored all the same, and no transaction that was refused as too large may be sent again
 * unchanged. One leader in virtual time, with its record writer; its store refuses what is beyond
 * the limits as the protocol says.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/api/cancellation.h"
#include "coordination/autoscaling/machine_type_refresh.h"
#include "coordination/leadership/failover.h"
#include "coordination/machine_types.h"
#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "coordination/persistence/record_writer.h"
#include "scripted_leader.h"
#include "scripted_store.h"
#include "storage/job_records.h"
#include "storage/keys.h"
#include "storage/progress_records.h"
#include "transport/clock.h"
#include "transport/text.h"
#include "virtual_time_fixture.h"

enum { MACHINES = 200 };

/* The limits at the start, and those that the store changes to. */
static const struct kv_model_limits first_limits = {4, 8, 25};
static const struct kv_model_limits lowered_limits = {2, 4, 18};

static struct {
	struct fl_node node;
	struct fl_config config;
	bool writer_runs;
	enum fl_failover_result failover_result;
} scenario;

static void run_for(double seconds) { sim_time_run(fl_now() + seconds); }

/* ---- the leader ---- */

static void run_record_writer(void *argument)
{
	(void)argument;
	fl_record_writer_run(&scenario.node);
}

/* Ends the leadership as fl_leadership_end does, without its other coroutines. */
static void end_leadership(void)
{
	scenario.node.leadership.active = false;
	fl_cluster_free_leader_state(&scenario.node.cluster);
	fl_record_writer_reset(&scenario.node.record_writer);
	fl_record_write_budget_init(&scenario.node);
}

static void load_cluster(void *argument)
{
	(void)argument;
	scenario.failover_result = fl_failover_load_cluster(&scenario.node);
}

static void set_limits(const struct kv_model_limits *limits) { scripted_store.limits = *limits; }

static void configure(struct fl_config *config, const struct kv_model_limits *announced)
{
	config->value_kb = first_limits.value_kb;
	config->txn_ops = first_limits.txn_ops;
	config->state_rps = config->state_write_rps = first_limits.write_rps;
	config->next_value_kb = announced->value_kb;
	config->next_txn_ops = announced->txn_ops;
	config->next_state_write_rps = announced->write_rps;
}

static int set_up_with(const struct kv_model_limits *announced)
{
	memset(&scenario, 0, sizeof(scenario));
	configure(&scenario.config, announced);
	scripted_leader_begin(&scenario.node, &scenario.config);
	set_limits(&first_limits);
	return 0;
}

static int set_up(void **state)
{
	(void)state;
	return set_up_with(&lowered_limits);
}

/* Nothing is announced, so the leader learns of lower limits from refusals alone. */
static int set_up_unannounced(void **state)
{
	(void)state;
	return set_up_with(&(struct kv_model_limits){0});
}

static int tear_down(void **state)
{
	(void)state;
	scripted_leader_end(&scenario.node);
	return 0;
}

/* ---- jobs ---- */

static struct fl_job *add_job(int number, uint32_t task_count)
{
	struct fl_job_spec spec = {.job_class = "c",
	                           .team = "t",
	                           .image = "i",
	                           .task_count = task_count,
	                           .kind = FL_ARRAY,
	                           .cpus = 0.1,
	                           .ram_gb = 0.1,
	                           .due_s = -1,
	                           .machine_type_count = FL_ANY_MACHINE_TYPE};

	snprintf(spec.ref, sizeof(spec.ref), "run-%06d", number);
	return scripted_leader_add_job(&scenario.node, &spec);
}

/* Places the job's tasks on machines whose names have `name_bytes` characters. */
static void place_tasks(struct fl_job *job, int name_bytes)
{
	struct fl_cluster *cluster = &scenario.node.cluster;

	for (uint32_t i = 0; i < job->task_count; i++) {
		char name[FL_NAME_MAX];
		struct fl_machine *machine;

		snprintf(name, sizeof(name), "m-%0*u", name_bytes - 2, i % MACHINES);
		machine = fl_machine_get_or_add(&cluster->machines, name, fl_now());
		assert_non_null(machine);
		assert_int_equal(fl_task_place(cluster, job, i,
		                               &(struct fl_new_attempt){machine, 7}, fl_now()),
		                 FL_PLACE_OK);
	}
}

/* Adds jobs with the numbers from 0 on, and places their tasks. */
static void place_jobs(struct fl_job *jobs[], int job_count, uint32_t task_count, int name_bytes)
{
	for (int i = 0; i < job_count; i++) {
		jobs[i] = add_job(i, task_count);
		place_tasks(jobs[i], name_bytes);
	}
}

static void complete_tasks(struct fl_job *job)
{
	for (uint32_t i = 0; i < job->task_count; i++)
		fl_task_mark_done(&scenario.node.cluster, job, i);
}

static cJSON *parse(const char *text) { return fl_json_parse(text, strlen(text)); }

/* A machine type in the cloud's format, with this name. */
#define TYPE(name)                                                                                 \
	"{\"Name\":\"" name "\",\"Vcpus\":8,\"Accelerators\":0,\"RamGb\":64,\"LocalGb\":10,"       \
	"\"PullGbPerS\":1,\"Price\":1,\"SpotPrice\":1,\"ReadyS\":5,\"Sites\":[\"a\"]}"

/* Starts the record writer, unless it runs, and lets it write for a while. */
static void write_records_for(double seconds)
{
	if (!scenario.writer_runs)
		assert_non_null(sim_spawn(0, run_record_writer, NULL));
	scenario.writer_runs = true;
	fl_condition_broadcast(&scenario.node.record_writer.writes_pending);
	run_for(seconds);
}

/* ---- expectations ---- */

static void expect_durable(const struct fl_job *job)
{
	for (uint32_t i = 0; i < job->task_count; i++)
		assert_true(fl_task_change_is_durable(job, i));
}

static void expect_all_durable(struct fl_job *const jobs[], int job_count)
{
	for (int i = 0; i < job_count; i++)
		expect_durable(jobs[i]);
}

static bool key_exists(const char *key)
{
	return kv_model_find(&scripted_store.model, key) != NULL;
}

static void expect_finished(const char *ref)
{
	char key[FL_KEY_MAX];

	fl_key_finished(key, ref);
	assert_true(key_exists(key));
	fl_key_job(key, ref);
	assert_false(key_exists(key));
}

static int count_keys(const char *prefix)
{
	const struct kv_entry *entry;
	int count = 0;

	for (entry = scripted_store.model.entries; entry; entry = entry->hh.next)
		count += strncmp(entry->key, prefix, strlen(prefix)) == 0;
	return count;
}

/* Every refusal lowered the limits in force, and nothing was sent again unchanged. */
static void expect_refusals(int at_least, int at_most)
{
	assert_in_range(scripted_store.too_large_count, at_least, at_most);
	assert_int_equal(scripted_store.repeated_too_large_count, 0);
}

/* ---- failover ---- */

/* Loads the records as a new leader does; the cluster state is then that of the records. */
static void fail_over(void)
{
	assert_non_null(sim_spawn(0, load_cluster, NULL));
	run_for(5);
	assert_int_equal(scenario.failover_result, FL_FAILOVER_LOADED);
}

static void expect_all_placed(const char *ref, uint32_t task_count)
{
	const struct fl_job *job = fl_job_find(&scenario.node.cluster, ref);

	assert_non_null(job);
	assert_int_equal(job->counts.placed, task_count);
	for (uint32_t i = 0; i < task_count; i++)
		assert_int_equal(fl_task_find(job, i)->attempt, 1);
}

/* ---- the log ---- */

/*
 * Guards against a cluster in which nothing starts any more: after the store had lowered its
 * limits, the leader repeated a value of the write-ahead log that was too large, five times a
 * second, and wrote nothing else.
 */
static void placements_are_stored_after_the_limits_were_lowered(void **state)
{
	struct fl_job *jobs[6];

	(void)state;
	set_limits(&lowered_limits);
	place_jobs(jobs, 6, 40, 8);
	write_records_for(5);
	expect_refusals(1, 1);
	expect_all_durable(jobs, 6);
}

/* The same with more records in a transaction than the store takes now, each small enough. */
static void records_are_stored_with_fewer_changes_in_a_transaction(void **state)
{
	struct fl_job *jobs[24];

	(void)state;
	set_limits(&lowered_limits);
	place_jobs(jobs, 24, 1, 8);
	for (int i = 0; i < 24; i++)
		complete_tasks(jobs[i]);
	write_records_for(20);
	expect_refusals(0, 1);
	for (int i = 0; i < 24; i++) {
		char ref[FL_REF_MAX];

		snprintf(ref, sizeof(ref), "run-%06d", i);
		expect_finished(ref);
	}
}

/* The same without an announcement: each refusal halves what may have been too large. */
static void placements_are_stored_after_limits_were_lowered_unannounced(void **state)
{
	struct fl_job *jobs[6];

	(void)state;
	set_limits(&lowered_limits);
	place_jobs(jobs, 6, 40, 8);
	write_records_for(10);
	expect_refusals(1, 3);
	expect_all_durable(jobs, 6);
}

/*
 * Guards against starts that wait for one progress record after the other: the placements of one
 * block took more bytes than a value, so nothing went into the log.
 */
static void the_log_holds_placements_of_a_block_in_several_values(void **state)
{
	static const char *const refs[] = {"run-000000", "run-000001", "run-000002"};
	struct fl_job *jobs[3];

	(void)state;
	set_limits(&lowered_limits);
	place_jobs(jobs, 3, 64, 9);
	write_records_for(0.5);
	expect_refusals(1, 1);
	expect_all_durable(jobs, 3);
	assert_int_equal(count_keys("w/"), lowered_limits.txn_ops);
	end_leadership();
	fail_over();
	for (int i = 0; i < 3; i++)
		expect_all_placed(refs[i], 64);
}

/* ---- task blocks ---- */

/*
 * Guards against a task block that is never stored: 64 placements took more bytes than a value may
 * have since the limits were lowered. The parts into which the block is split must hold all of it,
 * for the next leader, too.
 */
static void a_block_larger_than_a_value_is_stored_in_parts(void **state)
{
	struct fl_job *job = add_job(1, 64);

	(void)state;
	set_limits(&lowered_limits);
	place_tasks(job, FL_NAME_MAX - 1);
	write_records_for(5);
	expect_refusals(1, 1);
	assert_false(fl_block_is_unsaved(job->blocks[0]));
	assert_in_range(count_keys("p/run-000001/"), 3, 4);
	end_leadership();
	fail_over();
	expect_all_placed("run-000001", 64);
}

/*
 * The same if the block was stored in one record before, by this leader or an earlier one. The old
 * record stays readable, and is replaced only when the rest of the block is stored elsewhere.
 */
static void a_stored_block_is_split_when_it_changes(void **state)
{
	struct fl_job *job = add_job(1, 64);

	(void)state;
	place_tasks(job, 24);
	write_records_for(5);
	assert_int_equal(count_keys("p/run-000001/"), 1);
	set_limits(&lowered_limits);
	end_leadership();
	fail_over();
	job = fl_job_find(&scenario.node.cluster, "run-000001");
	fl_task_mark_done(&scenario.node.cluster, job, 3);
	scenario.node.leadership.active = true;
	write_records_for(5);
	expect_refusals(1, 1);
	assert_in_range(count_keys("p/run-000001/"), 2, 4);
	end_leadership();
	fail_over();
	job = fl_job_find(&scenario.node.cluster, "run-000001");
	assert_int_equal(job->counts.placed, 63);
	assert_int_equal(job->counts.done, 1);
}

/*
 * The same if the leader ends after the second half of a block was stored, and before its first
 * half was: the record with the whole block is then older than the one of the second half.
 */
static void the_newer_state_counts_between_the_writes_of_two_halves(void **state)
{
	struct fl_job *job = add_job(1, 64);
	const struct fl_block_part *parts;
	char key[FL_KEY_MAX];

	(void)state;
	place_tasks(job, 8);
	write_records_for(5);
	fl_task_mark_done(&scenario.node.cluster, job, 50);
	assert_int_equal(fl_block_part_split(job->blocks[0], 0), 4);
	fl_key_progress(key, "run-000001", 0, 4);
	scripted_store_put(key, fl_task_block_encode(&scenario.node.cluster, job, 0,
	                                             fl_block_part_range(job->blocks[0], 4)));
	end_leadership();
	fail_over();
	job = fl_job_find(&scenario.node.cluster, "run-000001");
	assert_int_equal(job->counts.placed, 63);
	assert_int_equal(job->counts.done, 1);
	parts = job->blocks[0]->parts;
	assert_true(parts[4].is_split_off && !parts[4].must_rewrite);
	/* Otherwise a follower that adds up the records would count 32 tasks twice. */
	assert_true(parts[0].must_rewrite && job->record.is_dirty);
}

/* A part is deleted with its job, by the final write or later. */
static void the_parts_of_a_block_are_deleted_with_their_job(void **state)
{
	struct fl_job *job = add_job(1, 64);

	(void)state;
	set_limits(&lowered_limits);
	place_tasks(job, FL_NAME_MAX - 1);
	write_records_for(5);
	complete_tasks(job);
	write_records_for(10);
	expect_finished("run-000001");
	assert_int_equal(count_keys("p/"), 0);
}

/* With the least limits that the settings allow, and the longest names. */
static void a_block_is_stored_within_the_least_limits(void **state)
{
	const struct kv_model_limits least = {1, FL_KV_TXN_OPERATIONS_MIN, 4};
	struct fl_job *job = add_job(1, 64);

	(void)state;
	set_limits(&least);
	place_tasks(job, FL_NAME_MAX - 1);
	write_records_for(30);
	expect_refusals(1, 3);
	assert_false(fl_block_is_unsaved(job->blocks[0]));
	end_leadership();
	fail_over();
	expect_all_placed("run-000001", 64);
}

/* ---- final records ---- */

/*
 * Guards against a job that stays pending with all its tasks done: its final record was written
 * together with more deletions of progress records than the store took since its limits were
 * lowered.
 */
static void a_job_of_many_blocks_is_finished_after_the_limits_were_lowered(void **state)
{
	struct fl_job *job = add_job(1, 600);

	(void)state;
	place_tasks(job, 8);
	write_records_for(30);
	expect_durable(job);
	assert_int_equal(count_keys("p/"), 10);
	set_limits(&lowered_limits);
	complete_tasks(job);
	write_records_for(30);
	expect_refusals(1, 1);
	expect_finished("run-000001");
	assert_int_equal(count_keys("p/"), 0);
}

/* ---- cancellations ---- */

/* Adds a job whose record has all names of the longest kind: more than 1.5 KiB. */
static struct fl_job *add_job_with_long_names(void)
{
	struct fl_cloud_machine_type types[FL_ALLOWED_TYPES_MAX] = {0};
	struct fl_node *node = &scenario.node;
	struct fl_job_spec spec = {.ref = "run-000001",
	                           .team = "t",
	                           .kind = FL_SERVICE,
	                           .task_count = 2,
	                           .cpus = 1,
	                           .ram_gb = 1,
	                           .has_zone = true,
	                           .due_s = -1,
	                           .machine_type_count = FL_ALLOWED_TYPES_MAX};

	memset(spec.job_class, 'c', FL_NAME_MAX - 1);
	memset(spec.image, 'i', FL_NAME_MAX - 1);
	memset(spec.zone, 'z', FL_NAME_MAX - 1);
	fl_symbol_intern(&node->cluster.zones, spec.zone);
	for (int i = 0; i < FL_ALLOWED_TYPES_MAX; i++) {
		memset(types[i].name, 'a' + i, FL_NAME_MAX - 1);
		fl_copy_string(spec.machine_types[i], FL_NAME_MAX, types[i].name);
	}
	fl_machine_types_set(&node->cluster.machines, &node->cluster.zones, types,
	                     FL_ALLOWED_TYPES_MAX);
	return scripted_leader_add_job(node, &spec);
}

static void cancel_job(void *argument)
{
	fl_leader_cancel_job(&scenario.node, "run-000001", argument);
}

/*
 * Guards against a job that cannot be cancelled any more: the record of a cancelled job keeps the
 * job's description, which was stored when the store took larger values.
 */
static void a_job_with_a_large_record_is_cancelled_after_the_limits_were_lowered(void **state)
{
	const struct kv_model_limits least = {1, FL_KV_TXN_OPERATIONS_MIN, 18};
	struct fl_http_response response = {0};
	struct fl_job *job = add_job_with_long_names();

	(void)state;
	place_tasks(job, 8);
	write_records_for(5);
	set_limits(&least);
	assert_non_null(sim_spawn(0, cancel_job, &response));
	run_for(1);
	assert_int_equal(response.status, 200);
	assert_non_null(strstr(response.body, "aborted"));
	free(response.body);
	expect_refusals(1, 1);

	/* The next leader counts and stops the tasks. */
	end_leadership();
	fail_over();
	expect_all_placed("run-000001", 2);
	assert_true(fl_job_find(&scenario.node.cluster, "run-000001")->cancelled);
}

/* ---- machine types ---- */

enum { TYPES = 24 };

/* The cloud's response: types whose record takes several values. */
static char *describe_types(void)
{
	struct fl_cloud_machine_type types[TYPES] = {0};

	for (int i = 0; i < TYPES; i++) {
		snprintf(types[i].name, FL_NAME_MAX, "type-with-a-long-name-%02d", i);
		types[i].cpus = types[i].ram_gb = 8;
		types[i].zone_count = 1;
		strcpy(types[i].zones[0], "a");
	}
	return fl_json_print_and_delete(fl_machine_types_encode(types, TYPES));
}

static void refresh_types(void *argument)
{
	(void)argument;
	for (int i = 0; i < 4; i++)
		fl_autoscaler_refresh_machine_types(&scenario.node);
}

/*
 * Guards against controllers that cannot start during an outage of the cloud: the record of many
 * machine types was larger than a value, and the same write was refused every 30 s.
 */
static void many_machine_types_are_stored_in_several_values(void **state)
{
	struct fl_node *node = &scenario.node;

	(void)state;
	scenario.config.cloud_rps = 100;
	fl_autoscaler_reset(node);
	scripted_store.cloud_response = describe_types();
	set_limits(&lowered_limits);
	assert_non_null(sim_spawn(0, refresh_types, NULL));
	run_for(10);
	expect_refusals(1, 1);
	assert_int_equal(count_keys("m/kinds"), 3);

	/* A controller starts while the cloud is unavailable. */
	free(scripted_store.cloud_response);
	scripted_store.cloud_response = NULL;
	node->cluster.machines.type_count = 0;
	fl_machine_types_loader_start(node);
	run_for(5);
	assert_true(node->machine_types_loaded);
	assert_int_equal(node->cluster.machines.type_count, TYPES);
}

/* A reader that finds values of two writes waits until they belong together. */
static void values_of_two_sets_of_machine_types_are_not_mixed(void **state)
{
	struct fl_node *node = &scenario.node;

	(void)state;
	scripted_store_put("m/kinds",
	                   parse("{\"HostKinds\":[" TYPE("g8") "],\"values\":2,\"set\":7}"));
	scripted_store_put("m/kinds/1",
	                   parse("{\"HostKinds\":[" TYPE("c4") "],\"values\":2,\"set\":6}"));
	fl_machine_types_loader_start(node);
	run_for(5);
	assert_false(node->machine_types_loaded);
	scripted_store_put("m/kinds/1",
	                   parse("{\"HostKinds\":[" TYPE("c4") "],\"values\":2,\"set\":7}"));
	run_for(5);
	assert_true(node->machine_types_loaded);
	assert_int_equal(node->cluster.machines.type_count, 2);
}

/* ---- rate ---- */

/* Guards against a transaction with more changes than the rate allows in a second: refused each
 * time. */
static void no_transaction_has_more_changes_than_the_rate_allows(void **state)
{
	const struct kv_model_limits slow = {4, 8, 4};
	struct fl_job *job = add_job(1, 600);

	(void)state;
	place_tasks(job, 8);
	write_records_for(30);
	scenario.config.next_state_write_rps = slow.write_rps;
	fl_node_init_store_limits(&scenario.node);
	set_limits(&slow);
	complete_tasks(job);
	write_records_for(60);
	expect_finished("run-000001");
	assert_int_equal(count_keys("p/"), 0);
	assert_in_range(scripted_store.throttled_count, 1, 3);
}

int main(void)
{
#define LIMITS_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		LIMITS_TEST(placements_are_stored_after_the_limits_were_lowered),
		LIMITS_TEST(records_are_stored_with_fewer_changes_in_a_transaction),
		cmocka_unit_test_setup_teardown(
			placements_are_stored_after_limits_were_lowered_unannounced,
			set_up_unannounced, tear_down),
		LIMITS_TEST(the_log_holds_placements_of_a_block_in_several_values),
		LIMITS_TEST(a_block_larger_than_a_value_is_stored_in_parts),
		LIMITS_TEST(a_stored_block_is_split_when_it_changes),
		LIMITS_TEST(the_newer_state_counts_between_the_writes_of_two_halves),
		LIMITS_TEST(the_parts_of_a_block_are_deleted_with_their_job),
		cmocka_unit_test_setup_teardown(a_block_is_stored_within_the_least_limits,
	                                        set_up_unannounced, tear_down),
		LIMITS_TEST(a_job_of_many_blocks_is_finished_after_the_limits_were_lowered),
		cmocka_unit_test_setup_teardown(
			a_job_with_a_large_record_is_cancelled_after_the_limits_were_lowered,
			set_up_unannounced, tear_down),
		LIMITS_TEST(many_machine_types_are_stored_in_several_values),
		LIMITS_TEST(values_of_two_sets_of_machine_types_are_not_mixed),
		LIMITS_TEST(no_transaction_has_more_changes_than_the_rate_allows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
