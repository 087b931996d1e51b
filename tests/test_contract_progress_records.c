/*
 * Golden test of stored progress records, write-ahead log and heartbeat digests. One literal text
 * of each kind is decoded to the expected value of every field, and encoded from that state, byte
 * for byte. Renaming a stored field, key or word fails here, even if it is renamed in both encoder
 * and decoder.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "contract_heartbeats.h"
#include "contract_records_fixture.h"
#include "contract_text.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "protocol/heartbeat_digests.h"

/* ---- progress records and the write-ahead log ---- */

static void a_progress_record_lists_tasks_by_phase(void **state)
{
	struct fl_cluster decoded = {0}, built = {0};
	struct fl_job *job = add_live_job(&decoded);
	cJSON *tree = parse_json(PROGRESS_RECORD);

	(void)state;
	assert_int_equal(fl_task_block_restore(&decoded, job, 1,
	                                       &(struct fl_task_block_source){tree, 6, NULL}, 1),
	                 0);
	cJSON_Delete(tree);
	assert_recorded_progress(&decoded, job);
	assert_int_equal(job->blocks[1]->parts[0].mod_revision, 6);
	assert_json_text_and_delete(fl_task_block_encode(&decoded, job, 1, FL_WHOLE_BLOCK),
	                            PROGRESS_RECORD);

	job = add_live_job(&built);
	set_recorded_progress(&built, job);
	assert_json_text_and_delete(fl_task_block_encode(&built, job, 1, FL_WHOLE_BLOCK),
	                            PROGRESS_RECORD);
	assert_json_text_and_delete(fl_task_block_encode_unsaved(&built, job, 1, FL_WHOLE_BLOCK),
	                            PROGRESS_RECORD);
	fl_cluster_free(&decoded);
	fl_cluster_free(&built);
}

static void task_counts_are_read_from_a_progress_record(void **state)
{
	cJSON *tree = parse_json(PROGRESS_RECORD);
	uint32_t done = 10, placed = 20;

	(void)state;
	assert_int_equal(fl_progress_record_add_counts(tree, &done, &placed), 0);
	cJSON_Delete(tree);
	assert_int_equal(done, 14);
	assert_int_equal(placed, 22);
}

static void the_write_ahead_log_is_written_as_groups_of_changes(void **state)
{
	struct fl_cluster cluster = {0};
	struct fl_job *job = add_live_job(&cluster);
	cJSON *value = fl_wal_value_create();
	static const char *const expected[] = {NULL, WAL_GROUP, OTHER_WAL_GROUP};

	(void)state;
	set_recorded_progress(&cluster, job);
	for (uint32_t block_index = 1; block_index <= 2; block_index++) {
		char *group = fl_wal_group_encode(&cluster, job, block_index, FL_WHOLE_BLOCK);

		assert_string_equal(group, expected[block_index]);
		fl_wal_value_add_group(value, group);
		free(group);
	}
	assert_json_text_and_delete(value, WAL_VALUE);
	fl_cluster_free(&cluster);
}

static void the_write_ahead_log_is_read_as_groups_of_changes(void **state)
{
	struct fl_cluster cluster = {0};
	struct fl_job *job = add_live_job(&cluster);
	cJSON *tree = parse_json(WAL_VALUE);
	struct fl_wal wal = {0};

	(void)state;
	assert_int_equal(fl_wal_read_value(&wal, tree), 0);
	cJSON_Delete(tree);
	assert_int_equal(wal.group_count, 2);
	assert_string_equal(wal.groups[0].ref, "run-000412");
	assert_string_equal(wal.groups[1].ref, "run-000412");
	assert_int_equal(wal.groups[0].block_index, 1);
	assert_int_equal(wal.groups[1].block_index, 2);
	assert_json_text_and_delete(cJSON_Duplicate(wal.groups[0].changes, true), PROGRESS_RECORD);
	assert_int_equal(fl_task_block_restore(&cluster, job, 1,
	                                       &(struct fl_task_block_source){NULL, 0, &wal}, 1),
	                 0);
	assert_true(wal.groups[0].restored && !wal.groups[1].restored);
	assert_recorded_progress(&cluster, job);
	assert_false(fl_task_change_is_saved(fl_job_task_block(job, 1), fl_task_find(job, 68)));
	fl_wal_free(&wal);
	fl_cluster_free(&cluster);
}

/* ---- cached heartbeats ---- */

static void assert_cached_heartbeat(const struct fl_heartbeat *decoded,
                                    const struct fl_heartbeat *expected)
{
	assert_string_equal(decoded->host, expected->host);
	assert_int_equal(decoded->incarnation, expected->incarnation);
	assert_int_equal(decoded->sequence, expected->sequence);
	assert_int_equal(decoded->fencing_token, expected->fencing_token);
	assert_true(decoded->interruption_in_s == expected->interruption_in_s);
	assert_heartbeat_tasks_equal(decoded, expected);
}

static void a_digest_is_written_as_cached_heartbeats(void **state)
{
	struct fl_task_status tasks[CACHED_TASK_COUNT];
	struct fl_heartbeat heartbeat = make_cached_heartbeat(tasks);
	char *cached = fl_cached_heartbeat_encode(&heartbeat);
	cJSON *digest = fl_digest_create(108);

	(void)state;
	assert_string_equal(cached, CACHED_HEARTBEAT);

	fl_digest_add_heartbeat(digest, cached);
	free(cached);
	cached = fl_cached_heartbeat_encode(&cached_idle_heartbeat);
	assert_string_equal(cached, CACHED_IDLE_HEARTBEAT);

	fl_digest_add_heartbeat(digest, cached);
	free(cached);
	assert_json_text_and_delete(digest, DIGEST_RECORD);
}

static void a_digest_is_read_as_cached_heartbeats(void **state)
{
	struct fl_task_status tasks[CACHED_TASK_COUNT];
	struct fl_heartbeat expected = make_cached_heartbeat(tasks), decoded;
	cJSON *digest = parse_json(DIGEST_RECORD);
	const cJSON *list = fl_digest_heartbeats(digest);

	(void)state;
	assert_int_equal(cJSON_GetArraySize(list), 2);
	assert_int_equal(fl_cached_heartbeat_decode(cJSON_GetArrayItem(list, 0), &decoded), 0);
	assert_cached_heartbeat(&decoded, &expected);
	fl_heartbeat_free(&decoded);
	assert_int_equal(fl_cached_heartbeat_decode(cJSON_GetArrayItem(list, 1), &decoded), 0);
	assert_cached_heartbeat(&decoded, &cached_idle_heartbeat);
	fl_heartbeat_free(&decoded);
	cJSON_Delete(digest);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_progress_record_lists_tasks_by_phase),
		cmocka_unit_test(task_counts_are_read_from_a_progress_record),
		cmocka_unit_test(the_write_ahead_log_is_written_as_groups_of_changes),
		cmocka_unit_test(the_write_ahead_log_is_read_as_groups_of_changes),
		cmocka_unit_test(a_digest_is_written_as_cached_heartbeats),
		cmocka_unit_test(a_digest_is_read_as_cached_heartbeats),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
