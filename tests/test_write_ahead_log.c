/* Lookup of the groups of the write-ahead log by job and task block. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "storage/write_ahead_log.h"

/* Reads one value of the log, with a group for each task block of each job. */
static void read_value_with_all_blocks(struct fl_wal *wal, uint32_t job_count, uint32_t block_count)
{
	cJSON *value = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(value, "log");

	for (uint32_t job = 0; job < job_count; job++)
		for (uint32_t task_block_index = 0; task_block_index < block_count;
		     task_block_index++) {
			cJSON *item = cJSON_CreateArray();
			char ref[FL_REF_MAX];

			snprintf(ref, sizeof(ref), "run-%06u", job);
			cJSON_AddItemToArray(item, cJSON_CreateString(ref));
			cJSON_AddItemToArray(item, cJSON_CreateNumber(task_block_index));
			cJSON_AddItemToArray(item, cJSON_CreateObject());
			cJSON_AddItemToArray(list, item);
		}
	assert_int_equal(fl_wal_read_value(wal, value), 0);
	cJSON_Delete(value);
}

/*
 * Lists the groups of all task blocks of four arrays of the largest size, read from three values:
 * no group may be visited more than once in all, since a failover lists the groups of every block.
 */
static void each_group_is_visited_once_when_groups_are_listed_by_block(void **state)
{
	const uint32_t job_count = 4,
		       block_count = (FL_TASKS_MAX + FL_TASK_BLOCK_SIZE - 1) / FL_TASK_BLOCK_SIZE,
		       value_count = 3;
	struct fl_wal wal = {0};
	uint32_t visited_group_count = 0;

	(void)state;
	for (uint32_t value_index = 0; value_index < value_count; value_index++)
		read_value_with_all_blocks(&wal, job_count, block_count);
	assert_int_equal(wal.group_count, job_count * block_count * value_count);
	for (uint32_t job = 0; job < job_count; job++)
		for (uint32_t task_block_index = 0; task_block_index < block_count;
		     task_block_index++) {
			char ref[FL_REF_MAX];
			int previous_group = -1;

			snprintf(ref, sizeof(ref), "run-%06u", job);
			for (int i = fl_wal_first_group(&wal, ref, task_block_index); i >= 0;
			     i = wal.groups[i].next_of_block) {
				assert_string_equal(wal.groups[i].ref, ref);
				assert_int_equal(wal.groups[i].block_index, task_block_index);
				assert_true(i > previous_group);
				previous_group = i;
				visited_group_count++;
			}
		}
	assert_int_equal(visited_group_count, job_count * block_count * value_count);
	assert_int_equal(fl_wal_first_group(&wal, "run-000000", block_count), -1);
	assert_int_equal(fl_wal_first_group(&wal, "run-999999", 0), -1);
	fl_wal_free(&wal);
	assert_int_equal(fl_wal_first_group(&wal, "run-000000", 0), -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_group_is_visited_once_when_groups_are_listed_by_block),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
