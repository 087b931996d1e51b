/*
 * Golden test of stored job records, machine types and keys. One literal text of each kind is
 * decoded to the expected value of every field, and encoded from that state, byte for byte.
 * Renaming a stored field, key or word fails here, even if it is renamed in both encoder and
 * decoder.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "contract_records_fixture.h"
#include "storage/job_records.h"
#include "storage/keys.h"
#include "contract_text.h"

/* ---- job records ---- */

static struct fl_job_record read_record(const char *text, const char *ref)
{
	struct fl_job_record record;
	cJSON *tree = parse_json(text);

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

static const struct fl_job_spec spot_spec = {
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

static void assert_live_job_record(const char *text, const struct fl_job_spec *spec,
                                   double submitted_wall_time)
{
	struct fl_job_record record = read_record(text, spec->ref);

	assert_false(record.final);
	assert_true(record.has_spec);
	assert_int_equal(record.task_count, spec->task_count);
	assert_true(record.submitted_wall == submitted_wall_time);
	assert_true(record.cancelled_wall == 0);
	assert_job_spec_equal(&record.spec, spec);
	assert_json_text_and_delete(fl_job_record_encode_live(spec, submitted_wall_time), text);
}

static void a_live_job_is_stored_with_every_field_of_its_description(void **state)
{
	(void)state;
	assert_live_job_record(LIVE_JOB_RECORD, &live_job_spec, 1700000100.25);
	assert_live_job_record(SPOT_JOB_RECORD, &spot_spec, 8);
	assert_live_job_record(STANDARD_JOB_RECORD, &standard_spec, 8);
}

static void a_cancelled_job_is_stored_with_its_description_and_cancellation_time(void **state)
{
	struct fl_job_record record = read_record(CANCELLED_JOB_RECORD, "run-000413");

	(void)state;
	assert_true(record.final);
	assert_int_equal(record.status, FL_CANCELLED);
	assert_true(record.has_spec);
	assert_int_equal(record.task_count, 9);
	assert_true(record.submitted_wall == 1700000200.5);
	assert_true(record.cancelled_wall == 1700000300.75);
	assert_job_spec_equal(&record.spec, &cancelled_spec);
	assert_json_text_and_delete(
		fl_job_record_encode_cancelled(&cancelled_spec, 1700000200.5, 1700000300.75),
		CANCELLED_JOB_RECORD);
}

static void assert_final_job_record(const char *text, enum fl_job_status status,
                                    uint32_t task_count)
{
	struct fl_job_record record = read_record(text, "run-000412");

	assert_true(record.final);
	assert_false(record.has_spec);
	assert_int_equal(record.status, status);
	assert_int_equal(record.task_count, task_count);
	assert_json_text_and_delete(fl_job_record_encode_final(status, task_count), text);
}

static void a_finished_job_is_stored_as_its_status_and_task_count(void **state)
{
	(void)state;
	assert_final_job_record(FINAL_RECORD_DONE, FL_DONE, 71);
	assert_final_job_record(FINAL_RECORD_CANCELLED, FL_CANCELLED, 72);
}

/* Job records are also written from the state in memory, which must keep the whole description. */
static void a_job_in_memory_is_encoded_as_the_record_that_it_came_from(void **state)
{
	struct fl_cluster cluster = {0};
	struct fl_job *job = add_live_job(&cluster);
	struct fl_job_spec spec;

	(void)state;
	fl_job_to_spec(&cluster, job, &spec);
	assert_json_text_and_delete(fl_job_record_encode_live(&spec, job->submitted_wall),
	                            LIVE_JOB_RECORD);
	fl_cluster_free(&cluster);
}

/* ---- machine types ---- */

static void assert_large_machine_type(const struct fl_cloud_machine_type *type)
{
	assert_string_equal(type->name, "large");
	assert_true(type->cpus == 96);
	assert_true(type->gpus == 8);
	assert_true(type->ram_gb == 768.5);
	assert_true(type->cache_gb == 900);
	assert_true(type->pull_gb_per_s == 1.25);
	assert_true(type->price == 9.5);
	assert_true(type->spot_price == 3.5);
	assert_true(type->boot_time_s == 45);
	assert_int_equal(type->zone_count, 2);
	assert_string_equal(type->zones[0], "north");
	assert_string_equal(type->zones[1], "south");
}

static void machine_types_are_stored_with_every_field(void **state)
{
	struct fl_cloud_machine_type *types;
	cJSON *tree = parse_json(MACHINE_TYPES_RECORD);
	int count;

	(void)state;
	assert_int_equal(fl_machine_types_decode(tree, &types, &count), 0);
	cJSON_Delete(tree);
	assert_int_equal(count, 2);
	assert_large_machine_type(&types[0]);
	assert_string_equal(types[1].name, "small");
	assert_json_text_and_delete(fl_machine_types_encode(types, count), MACHINE_TYPES_RECORD);
	free(types);
}

/* ---- keys ---- */

static void every_key_and_prefix_has_its_stored_form(void **state)
{
	struct fl_progress_key progress_key;
	char key[FL_KEY_MAX];

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
	assert_string_equal(FL_KEY_WAL_FIRST_VALUE, "w/0");
	assert_string_equal(FL_JOB_REF_PREFIX, "run-");
	assert_int_equal(FL_TASK_BLOCK_SIZE, 64);

	fl_key_job(key, "run-000412");
	assert_string_equal(key, "j/run-000412");

	fl_key_finished(key, "run-000413");
	assert_string_equal(key, "f/run-000413");

	fl_key_progress(key, "run-000414", 17, 0);
	assert_string_equal(key, "p/run-000414/17");
	assert_int_equal(fl_key_progress_parse("p/run-000415/18", &progress_key), 0);
	assert_string_equal(progress_key.ref, "run-000415");
	assert_int_equal(progress_key.block_index, 18);
	assert_int_equal(progress_key.part_index, 0);
	assert_int_not_equal(fl_key_progress_parse("j/run-000415/18", &progress_key), 0);
}

/* The key of a part of a block names the part's first task; no other offsets are valid. */
static void the_key_of_a_part_of_a_block_has_its_stored_form(void **state)
{
	static const char *const malformed[] = {"p/run-000415/18/",   "p/run-000415/18/0",
	                                        "p/run-000415/18/64", "p/run-000415/18/12",
	                                        "p/run-000415/18/8/", "p/run-000415/18/8x"};
	struct fl_progress_key progress_key;
	char key[FL_KEY_MAX];

	(void)state;
	fl_key_progress(key, "run-000414", 17, 4);
	assert_string_equal(key, "p/run-000414/17/32");
	assert_int_equal(fl_key_progress_parse("p/run-000415/18/56", &progress_key), 0);
	assert_string_equal(progress_key.ref, "run-000415");
	assert_int_equal(progress_key.block_index, 18);
	assert_int_equal(progress_key.part_index, 7);
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		assert_int_not_equal(fl_key_progress_parse(malformed[i], &progress_key), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_live_job_is_stored_with_every_field_of_its_description),
		cmocka_unit_test(
			a_cancelled_job_is_stored_with_its_description_and_cancellation_time),
		cmocka_unit_test(a_finished_job_is_stored_as_its_status_and_task_count),
		cmocka_unit_test(a_job_in_memory_is_encoded_as_the_record_that_it_came_from),
		cmocka_unit_test(machine_types_are_stored_with_every_field),
		cmocka_unit_test(every_key_and_prefix_has_its_stored_form),
		cmocka_unit_test(the_key_of_a_part_of_a_block_has_its_stored_form),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
