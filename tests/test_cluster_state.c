/*
 * The cluster state in memory and in the key-value store: progress records, the write-ahead log,
 * added and deleted jobs, final states, and the purge of decommissioned machines.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "simulation_fixture.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "transport/clock.h"

/* Guards against a crash of the leader: a job cancelled before any placement has no task blocks. */
static void a_job_without_task_blocks_can_be_cancelled(void **state)
{
	struct simulation *sim = *state;
	struct fl_job *job = fl_job_find(&sim->node.cluster, "run-000000");

	assert_null(fl_job_task_block(job, 0));
	assert_true(fl_task_change_is_durable(job, 0));
	assert_null(fl_task_find(job, TASKS - 1));

	fl_job_finalise(&sim->node.cluster, job, FL_CANCELLED);
	assert_int_equal(fl_finished_job_find(&sim->node.cluster, "run-000000")->status,
	                 FL_CANCELLED);
}

/* Attempts on a machine are counted for its zone only once that zone is known. */
static void tasks_are_counted_by_zone_when_the_zone_becomes_known(void **state)
{
	static const char record[] = "{\"d\":[[0,1]],\"t\":[[2,7]],\"m\":[[3,2,\"m-000009\",1]]}";
	struct simulation *sim = *state;
	struct fl_cluster *cluster = &sim->node.cluster;
	struct fl_job *job = fl_job_find(cluster, "run-000001");
	cJSON *value;

	value = fl_json_parse(record, strlen(record));
	assert_int_equal(fl_task_block_restore(cluster, job, 0,
	                                       &(struct fl_task_block_source){value, 5, NULL},
	                                       fl_now()),
	                 0);
	cJSON_Delete(value);
	assert_int_equal(job->counts.done, 2);
	assert_int_equal(job->placement.in_unknown_zone, 1);
	assert_int_equal(fl_task_find(job, 2)->attempt, 7);

	fl_cluster_describe_machine(fl_machine_find(&cluster->machines, "m-000009"), 0, 1, false,
	                            "x");
	assert_int_equal(job->placement.in_unknown_zone, 0);
	assert_int_equal(job->placement.by_zone[1], 1);

	fl_task_release(cluster, job, 3, 0);
	assert_int_equal(job->placement.by_zone[1], 0);
	assert_int_equal(job->counts.placed, 0);
}

/*
 * A progress record and the write-ahead log are merged by the newer state of each task: a done task
 * stays done, the higher attempt number is used, and an older entry does not place a released
 * attempt again.
 */
static void write_ahead_log_and_record_are_merged_by_the_newer_entry(void **state)
{
	static const char record[] = "{\"d\":[[0,0]],\"t\":[[1,4]],\"m\":[[2,2,\"m-000005\",1,9],"
				     "[3,1,\"m-000006\",1,9]]}";
	static const char older[] = "{\"log\":[[\"run-000001\",0,{\"d\":[],\"t\":[],\"m\":["
				    "[0,1,\"m-000007\",1,9],[1,4,\"m-000007\",1,9],"
				    "[2,1,\"m-000007\",1,9]]}]]}";
	static const char newer[] = "{\"log\":[[\"run-000001\",0,{\"d\":[[3,3]],\"t\":[[2,2]],"
				    "\"m\":[[4,1,\"m-000008\",1,9]]}]]}";
	struct simulation *sim = *state;
	struct fl_wal wal = {0};
	struct fl_cluster *cluster = &sim->node.cluster;
	struct fl_job *job = fl_job_find(cluster, "run-000001");
	cJSON *value;

	for (int i = 0; i < 2; i++) {
		value = fl_json_parse(i ? newer : older, strlen(i ? newer : older));
		assert_int_equal(fl_wal_read_value(&wal, value), 0);
		cJSON_Delete(value);
	}

	value = fl_json_parse(record, strlen(record));
	assert_int_equal(fl_task_block_restore(cluster, job, 0,
	                                       &(struct fl_task_block_source){value, 5, &wal},
	                                       fl_now()),
	                 0);
	cJSON_Delete(value);
	assert_true(wal.groups[0].restored && wal.groups[1].restored);
	assert_int_equal(fl_task_find(job, 0)->phase, FL_TASK_DONE);
	assert_int_equal(fl_task_find(job, 1)->phase, FL_TASK_WAITING);
	assert_int_equal(fl_task_find(job, 1)->attempt, 4);
	assert_int_equal(fl_task_find(job, 2)->phase, FL_TASK_WAITING);
	assert_int_equal(fl_task_find(job, 2)->attempt, 2);
	assert_int_equal(fl_task_find(job, 3)->phase, FL_TASK_DONE);
	assert_int_equal(fl_task_find(job, 4)->phase, FL_TASK_PLACED);
	assert_int_equal(job->counts.placed, 1);
	assert_int_equal(job->counts.done, 2);

	/*
	 * Changes that only the write-ahead log holds count as unsaved, so that its next value
	 * contains them again.
	 */
	assert_true(job->record.is_dirty);
	assert_false(fl_task_change_is_saved(fl_job_task_block(job, 0), fl_task_find(job, 4)));
	assert_true(fl_task_change_is_saved(fl_job_task_block(job, 0), fl_task_find(job, 1)));
	fl_wal_free(&wal);
}

static void a_malformed_write_ahead_log_value_is_rejected(void **state)
{
	static const char *const malformed[] = {"{}", "{\"log\":[[\"x\",0,{}]]}",
	                                        "{\"log\":[[\"run-000001\",-1,{}]]}",
	                                        "{\"log\":[[\"run-000001\",0]]}"};
	struct fl_wal wal = {0};

	(void)state;
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		cJSON *value = fl_json_parse(malformed[i], strlen(malformed[i]));

		assert_int_not_equal(fl_wal_read_value(&wal, value), 0);
		cJSON_Delete(value);
		fl_wal_free(&wal);
	}
}

/* Placements of many jobs become durable in a few values; records would need one per job. */
static void the_write_ahead_log_holds_many_jobs_in_few_values(void **state)
{
	struct simulation *sim = *state;
	size_t bytes = 0;
	int groups = 0;

	sim->node.cluster.teams.by_index[0].max_cpus = 0;
	for (int j = 100; j < 160; j++) {
		struct fl_job *job = add_job(sim, j);

		for (uint32_t index = 0; index < TASKS; index++) {
			char host[FL_NAME_MAX], *group;

			format_host(1000 + j * 2 + (int)index % 2, host);
			assert_int_equal(
				fl_task_place(&sim->node.cluster, job, index,
			                      &(struct fl_new_attempt){
						      fl_machine_get_or_add(
							      &sim->node.cluster.machines, host, 0),
						      1},
			                      0),
				0);
			if (index + 1 < TASKS)
				continue;
			group = fl_wal_group_encode(&sim->node.cluster, job, 0, FL_WHOLE_BLOCK);
			assert_non_null(group);
			bytes += strlen(group) + 1;
			groups++;
			free(group);
		}
	}
	assert_int_equal(groups, 60);

	/* 300 placements take at most five values of 4 KiB instead of sixty. */
	assert_true(bytes < 5 * 0.85 * 4096);
}

/*
 * A watch may lag: the event of a submission can arrive after a failover although the job had
 * finished before the failover.
 */
static void a_deleted_job_is_not_restored_by_a_late_watch_event(void **state)
{
	struct simulation *sim = *state;
	struct fl_job_spec spec = {
		.task_count = 1, .cpus = 1, .machine_type_count = -1, .due_s = -1};
	struct fl_cluster *cluster = &sim->node.cluster;
	cJSON *record;

	strcpy(spec.ref, "run-000077");
	strcpy(spec.team, "team");
	strcpy(spec.job_class, "c");
	strcpy(spec.image, "i");
	record = fl_job_record_encode_live(&spec, 5);
	cluster->job_list_revision = 100;
	assert_null(fl_cluster_apply_job_record(cluster, spec.ref, record, 90));
	assert_non_null(fl_cluster_apply_job_record(cluster, spec.ref, record, 101));

	/*
	 * A late event while a failover reads the job list does not restore the job either: only
	 * the list marks jobs as present.
	 */
	cluster->job_list_revision = 0;
	fl_cluster_begin_job_list(cluster);
	assert_non_null(fl_cluster_apply_job_record(cluster, spec.ref, record, 102));

	fl_cluster_end_job_list(cluster, 103);
	assert_null(fl_job_find(cluster, spec.ref));
	assert_non_null(fl_cluster_apply_job_record(cluster, spec.ref, record, 104));

	/* A follower drops deleted jobs, and jobs that a new list no longer contains. */
	cluster->has_leader_state = false;
	assert_null(fl_cluster_apply_job_record(cluster, spec.ref, NULL, 110));
	assert_null(fl_job_find(cluster, spec.ref));
	assert_non_null(fl_cluster_apply_job_record(cluster, spec.ref, record, 120));

	fl_cluster_begin_job_list(cluster);
	fl_cluster_end_job_list(cluster, 119);
	assert_non_null(fl_job_find(cluster, spec.ref));

	fl_cluster_end_job_list(cluster, 120);
	assert_null(fl_job_find(cluster, spec.ref));
	cJSON_Delete(record);
}

/* Final states are cached up to a maximum number; older ones are only in their records. */
static void cached_final_states_are_bounded_by_their_maximum(void **state)
{
	struct simulation *sim = *state;
	struct fl_cluster *cluster = &sim->node.cluster;

	cluster->finished_max = 10;
	for (int i = 0; i < 25; i++) {
		char ref[FL_REF_MAX];

		format_ref(1000 + i, ref);
		fl_finished_job_add(cluster, ref, FL_DONE, 1, 0);
	}

	assert_int_equal(HASH_COUNT(cluster->finished), 10);
	assert_null(fl_finished_job_find(cluster, "run-001014"));
	assert_non_null(fl_finished_job_find(cluster, "run-001015"));
}

/* A purge gives the id of the purged machine to another, whose tasks must use the new id. */
static void tasks_refer_to_their_machine_after_another_was_purged(void **state)
{
	struct simulation *sim = *state;
	struct fl_machine *machine[3];
	struct fl_cluster *cluster = &sim->node.cluster;
	struct fl_job *job = fl_job_find(cluster, "run-000000");

	for (int i = 0; i < 3; i++) {
		char host[FL_NAME_MAX];

		format_host(50 + i, host);
		machine[i] = fl_machine_get_or_add(&cluster->machines, host, 0);
		fl_cluster_describe_machine(machine[i], 0, 0, false, "x");
		assert_int_equal(fl_task_place(cluster, job, (uint32_t)i,
		                               &(struct fl_new_attempt){machine[i], 1}, 0),
		                 0);
	}

	fl_reconcile_decommission(&sim->node, machine[0], "test");
	fl_cluster_purge_tombstones(cluster, fl_now() + 1);
	assert_int_equal(cluster->machines.count, 2);
	assert_null(fl_machine_find(&cluster->machines, "m-000050"));
	assert_ptr_equal(cluster->machines.by_id[fl_task_find(job, 2)->machine_id], machine[2]);
	assert_ptr_equal(cluster->machines.by_id[fl_task_find(job, 1)->machine_id], machine[1]);

	fl_task_release(cluster, job, 2, 0);
	assert_int_equal(machine[2]->assignment_count, 0);
	assert_int_equal(cluster->teams.by_index[0].used_cpus, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			tasks_refer_to_their_machine_after_another_was_purged, begin_simulation,
			end_simulation),
		cmocka_unit_test_setup_teardown(
			write_ahead_log_and_record_are_merged_by_the_newer_entry, begin_simulation,
			end_simulation),
		cmocka_unit_test(a_malformed_write_ahead_log_value_is_rejected),
		cmocka_unit_test_setup_teardown(the_write_ahead_log_holds_many_jobs_in_few_values,
	                                        begin_simulation, end_simulation),
		cmocka_unit_test_setup_teardown(a_deleted_job_is_not_restored_by_a_late_watch_event,
	                                        begin_simulation, end_simulation),
		cmocka_unit_test_setup_teardown(cached_final_states_are_bounded_by_their_maximum,
	                                        begin_simulation, end_simulation),
		cmocka_unit_test_setup_teardown(a_job_without_task_blocks_can_be_cancelled,
	                                        begin_simulation, end_simulation),
		cmocka_unit_test_setup_teardown(
			tasks_are_counted_by_zone_when_the_zone_becomes_known, begin_simulation,
			end_simulation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
