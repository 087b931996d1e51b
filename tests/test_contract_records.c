/*
 * The golden test of stored records and their keys: one literal text of each kind is read, where
 * every field must get its value, and written from that state, byte for byte. A field, key or word
 * that is renamed in what is stored fails here, also if both sides are.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "contract_records_fixture.h"
#include "protocol/heartbeat_digests.h"
#include "storage/job_records.h"
#include "storage/keys.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"

/* ---- job records ---- */

static struct fl_job_record read_record(const char *text, const char *ref)
{
	struct fl_job_record record;
	cJSON *tree = parse(text);

	assert_int_equal(fl_job_record_decode(tree, ref, &record), 0);
	cJSON_Delete(tree);
	return record;
}

static const struct fl_job_spec cancelled_spec = {
	.ref = "run-000413",
	.job_class = "hourly",
	.team = "biology",
	.image = "fold:2",
	.machine_type_count = -1,
	.kind = FL_SERVICE,
	.priority = FL_CRITICAL,
	.task_count = 9,
	.cpus = 10.5,
	.gpus = 11,
	.ram_gb = 12.5,
	.image_gb = 13.5,
	.expected_s = 14.5,
	.checkpoint_every_s = 15.5,
	.checkpoint_cost_s = 16.5,
	.due_s = -1,
	.spread_zones = true,
};

static const struct fl_job_spec reclaimable_spec = {
	.ref = "run-000414",
	.job_class = "hourly",
	.team = "biology",
	.image = "fold:3",
	.kind = FL_ARRAY,
	.priority = FL_BEST_EFFORT,
	.task_count = 3,
	.cpus = 1,
	.ram_gb = 2,
	.image_gb = 4,
	.expected_s = 5,
	.checkpoint_every_s = 6,
	.checkpoint_cost_s = 7,
	.spot_allowed = true,
};

static const struct fl_job_spec standard_spec = {
	.ref = "run-000415",
	.job_class = "c",
	.team = "biology",
	.image = "i",
	.machine_type_count = -1,
	.kind = FL_ARRAY,
	.priority = FL_STANDARD,
	.task_count = 1,
	.cpus = 1,
	.ram_gb = 2,
	.image_gb = 4,
	.expected_s = 5,
	.checkpoint_every_s = 6,
	.checkpoint_cost_s = 7,
	.due_s = -1,
};

static void assert_spec(const struct fl_job_spec *read, const struct fl_job_spec *expected)
{
	assert_string_equal(read->ref, expected->ref);
	assert_string_equal(read->job_class, expected->job_class);
	assert_string_equal(read->team, expected->team);
	assert_string_equal(read->image, expected->image);
	assert_string_equal(read->zone, expected->zone);
	assert_int_equal(read->machine_type_count, expected->machine_type_count);
	for (int number = 0; number < expected->machine_type_count; number++)
		assert_string_equal(read->machine_types[number], expected->machine_types[number]);
	assert_int_equal(read->kind, expected->kind);
	assert_int_equal(read->priority, expected->priority);
	assert_int_equal(read->task_count, expected->task_count);
	assert_true(read->cpus == expected->cpus);
	assert_true(read->gpus == expected->gpus);
	assert_true(read->ram_gb == expected->ram_gb);
	assert_true(read->image_gb == expected->image_gb);
	assert_true(read->expected_s == expected->expected_s);
	assert_true(read->checkpoint_every_s == expected->checkpoint_every_s);
	assert_true(read->checkpoint_cost_s == expected->checkpoint_cost_s);
	assert_true(read->due_s == expected->due_s);
	assert_int_equal(read->has_zone, expected->has_zone);
	assert_int_equal(read->same_zone, expected->same_zone);
	assert_int_equal(read->spread_zones, expected->spread_zones);
	assert_int_equal(read->spot_allowed, expected->spot_allowed);
}

static void assert_live(const char *text, const struct fl_job_spec *spec, double submitted)
{
	struct fl_job_record record = read_record(text, spec->ref);

	assert_false(record.final);
	assert_true(record.has_spec);
	assert_int_equal(record.task_count, spec->task_count);
	assert_true(record.submitted_wall == submitted);
	assert_true(record.cancelled_wall == 0);
	assert_spec(&record.spec, spec);
	assert_text(fl_job_record_live(spec, submitted), text);
}

static void a_live_job_is_stored_with_every_field_of_its_description(void **state)
{
	(void)state;
	assert_live(LIVE, &live_spec, 1700000100.25);
	assert_live(RECLAIMABLE, &reclaimable_spec, 8);
	assert_live(STANDARD, &standard_spec, 8);
}

static void a_cancelled_job_is_stored_with_its_description_and_end(void **state)
{
	struct fl_job_record record = read_record(CANCELLED, "run-000413");

	(void)state;
	assert_true(record.final);
	assert_int_equal(record.status, FL_CANCELLED);
	assert_true(record.has_spec);
	assert_int_equal(record.task_count, 9);
	assert_true(record.submitted_wall == 1700000200.5);
	assert_true(record.cancelled_wall == 1700000300.75);
	assert_spec(&record.spec, &cancelled_spec);
	assert_text(fl_job_record_cancelled(&cancelled_spec, 1700000200.5, 1700000300.75),
	            CANCELLED);
}

static void assert_final(const char *text, enum fl_job_status status, uint32_t task_count)
{
	struct fl_job_record record = read_record(text, "run-000412");

	assert_true(record.final);
	assert_false(record.has_spec);
	assert_int_equal(record.status, status);
	assert_int_equal(record.task_count, task_count);
	assert_text(fl_job_record_final(status, task_count), text);
}

static void a_job_that_is_over_is_stored_as_its_status_and_size(void **state)
{
	(void)state;
	assert_final(FINAL_DONE, FL_DONE, 71);
	assert_final(FINAL_CANCELLED, FL_CANCELLED, 72);
}

/* ---- machine types ---- */

static void assert_large(const struct fl_cloud_machine_type *type)
{
	assert_string_equal(type->name, "large");
	assert_true(type->cpus == 96);
	assert_true(type->gpus == 8);
	assert_true(type->ram_gb == 768.5);
	assert_true(type->cache_gb == 900);
	assert_true(type->pull_gb_s == 1.25);
	assert_true(type->price == 9.5);
	assert_true(type->spot_price == 3.5);
	assert_true(type->ready_s == 45);
	assert_int_equal(type->zone_count, 2);
	assert_string_equal(type->zones[0], "north");
	assert_string_equal(type->zones[1], "south");
}

static void machine_types_are_stored_with_every_field(void **state)
{
	struct fl_cloud_machine_type *types;
	cJSON *tree = parse(MACHINE_TYPES);
	int count;

	(void)state;
	assert_int_equal(fl_machine_types_decode(tree, &types, &count), 0);
	cJSON_Delete(tree);
	assert_int_equal(count, 2);
	assert_large(&types[0]);
	assert_string_equal(types[1].name, "small");
	assert_text(fl_machine_types_encode(types, count), MACHINE_TYPES);
	free(types);
}

/* ---- progress records and the log ---- */

/* What a job was submitted with survives its stay in memory, where its record is written from. */
static void a_job_read_from_its_record_is_written_as_it_was(void **state)
{
	struct fl_cluster cluster = {0};
	struct fl_job *job = add_job(&cluster);
	struct fl_job_spec spec;

	(void)state;
	fl_job_describe(&cluster, job, &spec);
	assert_text(fl_job_record_live(&spec, job->submitted_wall), LIVE);
	fl_cluster_free(&cluster);
}

static void progress_is_stored_by_phase(void **state)
{
	struct fl_cluster read = {0}, made = {0};
	struct fl_job *job = add_job(&read);
	cJSON *tree = parse(PROGRESS);

	(void)state;
	assert_int_equal(fl_task_block_restore(&read, job, 1,
	                                       &(struct fl_task_block_source){tree, 6, NULL}, 1),
	                 0);
	cJSON_Delete(tree);
	assert_progress(&read, job);
	assert_int_equal(job->blocks[1]->mod_revision, 6);
	assert_text(fl_task_block_encode(&read, job, 1), PROGRESS);
	job = add_job(&made);
	make_progress(&made, job);
	assert_text(fl_task_block_encode(&made, job, 1), PROGRESS);
	assert_text(fl_task_block_encode_unsaved(&made, job, 1), PROGRESS);
	fl_cluster_free(&read);
	fl_cluster_free(&made);
}

static void progress_is_counted_from_its_record(void **state)
{
	cJSON *tree = parse(PROGRESS);
	uint32_t done = 10, placed = 20;

	(void)state;
	assert_int_equal(fl_task_block_count(tree, &done, &placed), 0);
	cJSON_Delete(tree);
	assert_int_equal(done, 14);
	assert_int_equal(placed, 22);
}

static void the_log_is_written_as_groups_of_changes(void **state)
{
	struct fl_cluster cluster = {0};
	struct fl_job *job = add_job(&cluster);
	cJSON *value = fl_wal_value_begin();
	static const char *const expected[] = {NULL, GROUP, OTHER_GROUP};

	(void)state;
	make_progress(&cluster, job);
	for (uint32_t block_index = 1; block_index <= 2; block_index++) {
		char *group = fl_wal_group_encode(&cluster, job, block_index);

		assert_string_equal(group, expected[block_index]);
		fl_wal_value_add(value, group);
		free(group);
	}
	assert_text(value, LOG);
	fl_cluster_free(&cluster);
}

static void the_log_is_read_as_groups_of_changes(void **state)
{
	struct fl_cluster cluster = {0};
	struct fl_job *job = add_job(&cluster);
	cJSON *tree = parse(LOG);
	struct fl_wal wal = {0};

	(void)state;
	assert_int_equal(fl_wal_read(&wal, tree), 0);
	cJSON_Delete(tree);
	assert_int_equal(wal.group_count, 2);
	assert_string_equal(wal.groups[0].ref, "run-000412");
	assert_string_equal(wal.groups[1].ref, "run-000412");
	assert_int_equal(wal.groups[0].block_index, 1);
	assert_int_equal(wal.groups[1].block_index, 2);
	assert_text(cJSON_Duplicate(wal.groups[0].changes, true), PROGRESS);
	assert_int_equal(fl_task_block_restore(&cluster, job, 1,
	                                       &(struct fl_task_block_source){NULL, 0, &wal}, 1),
	                 0);
	assert_true(wal.groups[0].restored && !wal.groups[1].restored);
	assert_progress(&cluster, job);
	assert_false(fl_task_saved(fl_job_task_block(job, 1), fl_task_peek(job, 68)));
	fl_wal_free(&wal);
	fl_cluster_free(&cluster);
}

/* ---- cached reports ---- */

static void assert_report(const struct fl_heartbeat *read, const struct fl_heartbeat *expected)
{
	assert_string_equal(read->host, expected->host);
	assert_int_equal(read->incarnation, expected->incarnation);
	assert_int_equal(read->sequence, expected->sequence);
	assert_int_equal(read->fencing_token, expected->fencing_token);
	assert_true(read->interruption_in_s == expected->interruption_in_s);
	assert_int_equal(read->task_count, expected->task_count);
	for (int number = 0; number < expected->task_count; number++) {
		assert_string_equal(read->tasks[number].ref, expected->tasks[number].ref);
		assert_int_equal(read->tasks[number].index, expected->tasks[number].index);
		assert_int_equal(read->tasks[number].attempt, expected->tasks[number].attempt);
		assert_int_equal(read->tasks[number].state, expected->tasks[number].state);
		assert_int_equal(read->tasks[number].exit, expected->tasks[number].exit);
	}
}

static void a_digest_is_written_as_cached_reports(void **state)
{
	struct fl_task_status tasks[CACHED_TASKS];
	struct fl_heartbeat heartbeat = make_report(tasks);
	char *cached = fl_cached_heartbeat_encode(&heartbeat);
	cJSON *digest = fl_digest_begin(108);

	(void)state;
	assert_string_equal(cached, CACHED);
	fl_digest_add(digest, cached);
	free(cached);
	cached = fl_cached_heartbeat_encode(&without_tasks);
	assert_string_equal(cached, CACHED_WITHOUT_TASKS);
	fl_digest_add(digest, cached);
	free(cached);
	assert_text(digest, DIGEST);
}

static void a_digest_is_read_as_cached_reports(void **state)
{
	struct fl_task_status tasks[CACHED_TASKS];
	struct fl_heartbeat expected = make_report(tasks), read;
	cJSON *digest = parse(DIGEST);
	const cJSON *list = fl_digest_heartbeats(digest);

	(void)state;
	assert_int_equal(cJSON_GetArraySize(list), 2);
	assert_int_equal(fl_cached_heartbeat_decode(cJSON_GetArrayItem(list, 0), &read), 0);
	assert_report(&read, &expected);
	fl_heartbeat_free(&read);
	assert_int_equal(fl_cached_heartbeat_decode(cJSON_GetArrayItem(list, 1), &read), 0);
	assert_report(&read, &without_tasks);
	fl_heartbeat_free(&read);
	cJSON_Delete(digest);
}

/* ---- keys ---- */

static void every_key_and_prefix_stays(void **state)
{
	char key[FL_KEY_MAX], ref[FL_REF_MAX];
	uint32_t block_index;

	(void)state;
	assert_string_equal(FL_KEY_LEADER, "c/lead");
	assert_string_equal(FL_KEY_FENCING_TOKEN, "c/epoch");
	assert_string_equal(FL_PREFIX_ELECTION, "c/");
	assert_string_equal(FL_KEY_MACHINE_TYPES, "m/kinds");
	assert_string_equal(FL_PREFIX_JOBS, "j/");
	assert_string_equal(FL_PREFIX_FINISHED, "f/");
	assert_string_equal(FL_PREFIX_PROGRESS, "p/");
	assert_string_equal(FL_PREFIX_HEARTBEAT_DIGESTS, "k/");
	assert_string_equal(FL_PREFIX_WAL, "w/");
	assert_string_equal(FL_KEY_WAL, "w/0");
	assert_string_equal(FL_REF_BEGIN, "run-");
	assert_int_equal(FL_TASK_BLOCK_SIZE, 64);
	fl_key_job(key, "run-000412");
	assert_string_equal(key, "j/run-000412");
	fl_key_finished(key, "run-000413");
	assert_string_equal(key, "f/run-000413");
	fl_key_progress(key, "run-000414", 17);
	assert_string_equal(key, "p/run-000414/17");
	assert_int_equal(fl_key_progress_parse("p/run-000415/18", ref, &block_index), 0);
	assert_string_equal(ref, "run-000415");
	assert_int_equal(block_index, 18);
	assert_int_not_equal(fl_key_progress_parse("j/run-000415/18", ref, &block_index), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_live_job_is_stored_with_every_field_of_its_description),
		cmocka_unit_test(a_cancelled_job_is_stored_with_its_description_and_end),
		cmocka_unit_test(a_job_that_is_over_is_stored_as_its_status_and_size),
		cmocka_unit_test(a_job_read_from_its_record_is_written_as_it_was),
		cmocka_unit_test(machine_types_are_stored_with_every_field),
		cmocka_unit_test(progress_is_stored_by_phase),
		cmocka_unit_test(progress_is_counted_from_its_record),
		cmocka_unit_test(the_log_is_written_as_groups_of_changes),
		cmocka_unit_test(the_log_is_read_as_groups_of_changes),
		cmocka_unit_test(a_digest_is_written_as_cached_reports),
		cmocka_unit_test(a_digest_is_read_as_cached_reports),
		cmocka_unit_test(every_key_and_prefix_stays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
