/*
 * The cost of an array of 100,000 tasks, the maximum of the protocol: memory, records and the work
 * of a scheduling cycle, measured by counts rather than by time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/scheduling/scheduling_snapshot.h"
#include "coordination/scheduling/schedule.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "transport/clock.h"

enum {
	MACHINES = 300,
	TASKS_PER_MACHINE = 48,
	VALUE_MAX_BYTES = 4096, /* of the smallest key-value store in use */
	PLACEMENT_MAX_BYTES = 48
};

struct site {
	struct fl_node node;
	struct fl_config config;
	struct fl_job *job;
	struct fl_machine *machines[MACHINES];
};

static int set_up(void **state)
{
	struct site *site = calloc(1, sizeof(*site));
	struct fl_cloud_machine_type type = {
		.name = "t", .cpus = 12, .ram_gb = 96, .pull_gb_per_s = 1};
	struct fl_job_spec spec = {.ref = "run-471286",
	                           .job_class = "whole",
	                           .team = "guest",
	                           .image = "i",
	                           .kind = FL_ARRAY,
	                           .task_count = FL_TASKS_MAX,
	                           .machine_type_count = -1,
	                           .cpus = 0.25,
	                           .ram_gb = 1,
	                           .expected_s = 4,
	                           .spot_allowed = true};
	struct fl_cluster *cluster;

	assert_non_null(site);
	*state = site;
	site->node.config = &site->config;
	site->config.report_s = 2;
	cluster = &site->node.cluster;
	cluster->teams.count = 1;
	snprintf(cluster->teams.by_index[0].name, FL_NAME_MAX, "guest");
	assert_int_equal(fl_symbol_intern(&cluster->zones, "a"), 0);
	fl_machine_types_set(&cluster->machines, &cluster->zones, &type, 1);
	site->job = fl_job_add(cluster, &spec, fl_wall_time(), 1);
	assert_non_null(site->job);
	for (int i = 0; i < MACHINES; i++) {
		char name[FL_NAME_MAX];

		snprintf(name, sizeof(name), "m-%06d", i);
		site->machines[i] = fl_machine_get_or_add(&cluster->machines, name, fl_now());
		fl_cluster_describe_machine(site->machines[i], 0, 0, true, "x");
		site->machines[i]->lifecycle.up = true;
		site->machines[i]->heartbeat.incarnation = 1;
		site->machines[i]->outbound.last_reachable_at = fl_now();
	}
	return 0;
}

static int tear_down(void **state)
{
	struct site *site = *state;

	fl_cluster_free_leader_state(&site->node.cluster);
	fl_cluster_free(&site->node.cluster);
	free(site);
	return 0;
}

static uint32_t allocated_block_count(const struct fl_job *job)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < job->block_count; i++)
		count += fl_job_task_block(job, i) != NULL;
	return count;
}

/* Places the first tasks in order, as many as fit on the machines; returns their number. */
static uint32_t fill_machines(struct site *site)
{
	uint32_t index = 0;

	for (int i = 0; i < MACHINES; i++)
		for (int k = 0; k < TASKS_PER_MACHINE; k++, index++)
			assert_int_equal(
				fl_task_place(&site->node.cluster, site->job, index,
			                      &(struct fl_new_attempt){site->machines[i], 7},
			                      fl_now()),
				0);
	return index;
}

static void a_large_array_allocates_blocks_only_for_changed_tasks(void **state)
{
	struct site *site = *state;
	uint32_t placed;

	assert_int_equal(allocated_block_count(site->job), 0);
	placed = fill_machines(site);
	assert_int_equal(allocated_block_count(site->job),
	                 (placed + FL_TASK_BLOCK_SIZE - 1) / FL_TASK_BLOCK_SIZE);
	assert_true(sizeof(struct fl_task_block) <= (size_t)FL_TASK_BLOCK_SIZE * 80);
}

/* The work for 100,000 waiting tasks is no more than for those that one cycle may start. */
static void a_scheduling_cycle_examines_few_tasks_of_a_large_array(void **state)
{
	struct site *site = *state;
	struct fl_sched_output output;
	struct fl_snapshot snapshot;

	assert_int_equal(fl_snapshot_take(&site->node, &snapshot, fl_now()), FL_SCHEDULE_OK);
	assert_int_equal(snapshot.input.job_count, 1);
	assert_int_equal(snapshot.input.machine_count, MACHINES);
	assert_int_equal(snapshot.input.jobs[0].startable_count, 2 * MACHINES);
	assert_int_equal(fl_schedule(&snapshot.input, &output), FL_SCHEDULE_OK);
	assert_int_equal(snapshot.input.jobs[0].startable_count, 0);
	assert_true(output.start_count > 200);
	assert_true(output.machines_examined <= 2L * MACHINES);
	fl_sched_output_free(&output);
	fl_snapshot_free(&snapshot);

	/* A scheduling cycle allocates no task blocks. */
	assert_int_equal(allocated_block_count(site->job), 0);
}

/* All tasks of an array are alike, so the plan examines each machine once, not once per task. */
static void a_scale_out_plan_examines_each_machine_once_for_a_large_array(void **state)
{
	struct site *site = *state;
	const uint32_t missing_tasks = 20000;

	for (int i = 0; i < MACHINES; i++) {
		site->machines[i]->lifecycle.up = false;
		site->machines[i]->lifecycle.first_seen_at = fl_now();
	}
	site->node.cluster.machines.types[0].boot_time_s = 60;
	site->node.cluster.machines.types[0].zone_mask = 1;
	fl_autoscaler_plan_scale_out(&site->node, &site->job, &missing_tasks, 1);

	assert_true(site->node.autoscaler.request_count > 0);
	assert_true(site->node.autoscaler.machines_examined > MACHINES);
	assert_true(site->node.autoscaler.machines_examined <= MACHINES + 2L * (long)missing_tasks);
}

/* Every task block fits into a value, and a placement takes few bytes of the write-ahead log. */
static void each_task_block_of_a_large_array_fits_into_a_value(void **state)
{
	struct site *site = *state;
	struct fl_cluster *cluster = &site->node.cluster;
	uint32_t placed = fill_machines(site), groups = 0;
	size_t log_bytes = 0;

	for (uint32_t i = 0; i < site->job->block_count; i++) {
		char *group = fl_wal_group_encode(cluster, site->job, i, FL_WHOLE_BLOCK), *record;

		if (!group)
			continue;
		groups++;
		log_bytes += strlen(group);
		free(group);
		record = fl_json_print_and_delete(
			fl_task_block_encode(cluster, site->job, i, FL_WHOLE_BLOCK));
		assert_true(strlen(record) < VALUE_MAX_BYTES);
		free(record);
	}
	assert_int_equal(groups, allocated_block_count(site->job));
	assert_true(log_bytes <= (size_t)placed * PLACEMENT_MAX_BYTES);
}

/* Done tasks are stored as ranges, so a done block takes few bytes regardless of its history. */
static void a_done_task_block_is_stored_as_a_range(void **state)
{
	struct site *site = *state;
	struct fl_cluster *cluster = &site->node.cluster;
	char *record;

	fill_machines(site);
	for (uint32_t i = 0; i < FL_TASK_BLOCK_SIZE; i++)
		fl_task_mark_done(cluster, site->job, i);
	record = fl_json_print_and_delete(
		fl_task_block_encode(cluster, site->job, 0, FL_WHOLE_BLOCK));
	assert_true(strlen(record) <= 64);
	free(record);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_large_array_allocates_blocks_only_for_changed_tasks, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_scheduling_cycle_examines_few_tasks_of_a_large_array, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_scale_out_plan_examines_each_machine_once_for_a_large_array, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(each_task_block_of_a_large_array_fits_into_a_value,
	                                        set_up, tear_down),
		cmocka_unit_test_setup_teardown(a_done_task_block_is_stored_as_a_range, set_up,
	                                        tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
