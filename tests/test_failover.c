/*
 * What a new leader and a follower read from the key-value store: a record that cannot be read and
 * a list that is not whole decide nothing, and a job that is over is finished.
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

#include "coordination/leadership/failover.h"
#include "frontend_fixture.h"
#include "storage/job_updates.h"

static const char *const malformed_records[] = {
	"{}",
	JOB_RECORD("\"Parts\":0"),
	JOB_RECORD("\"Ref\":\"run-000002\""),
	JOB_RECORD("\"Owner\":\"nobody\""),
	JOB_RECORD("\"Site\":\"z\""),
	JOB_RECORD("\"final\":7"),
	JOB_RECORD("\"final\":\"over\",\"parts\":4"),
	JOB_RECORD("\"final\":\"aborted\",\"parts\":4,\"Tier\":\"high\""),
	"{\"final\":\"aborted\"}",
};

/* What a list lacks counts as deleted: it must say that it is complete. */
static void check_partial_lists(struct frontend_fixture *fixture)
{
	struct fl_cloud_machine *machines;
	bool more;
	int count;

	if (fl_cloud_list_machines(&fixture->node.cloud, NULL, &machines, &count, &more) != 0)
		note_failure(fixture, "a good list is not read");
	free(machines);
	fixture->lists_lack_more_field = true;
	if (fl_failover_load_cluster(&fixture->node) == FL_FAILOVER_LOADED ||
	    fl_cloud_list_machines(&fixture->node.cloud, NULL, &machines, &count, &more) == 0)
		note_failure(fixture, "half a list passes for a whole one");
	fixture->lists_lack_more_field = false;
}

static void load_malformed_records(void *argument)
{
	struct frontend_fixture *fixture = argument;

	fixture->node.leader_lease.held = true;
	fixture->job_record = JOB_RECORD("\"Apart\":true");
	if (fl_failover_load_cluster(&fixture->node) != FL_FAILOVER_LOADED ||
	    !fl_job_find(&fixture->node.cluster, "run-000001"))
		note_failure(fixture, "a good record is not read");
	check_partial_lists(fixture);
	for (size_t i = 0; i < sizeof(malformed_records) / sizeof(malformed_records[0]); i++) {
		fixture->job_record = malformed_records[i];
		fl_cluster_free(&fixture->node.cluster);
		fixture->node.cluster.jobs = NULL;
		fixture->node.cluster.finished = NULL;
		fl_symbol_intern(&fixture->node.cluster.zones, "a");
		if (fl_failover_load_cluster(&fixture->node) != FL_FAILOVER_UNREADABLE_RECORD ||
		    fixture->node.cluster.finished)
			note_failure(fixture, "is decided by: %s", fixture->job_record);
	}
	if (fixture->record_writes)
		note_failure(fixture, "something is written");
}

static void a_new_leader_makes_no_decision_if_a_record_is_malformed(void **state)
{
	run_in_coroutine(*state, load_malformed_records);
}

/* Nor does a node whose watch brings it: the job neither runs nor is over. */
static void a_follower_ignores_a_malformed_record(void **state)
{
	struct frontend_fixture *fixture = *state;

	for (size_t i = 0; i < sizeof(malformed_records) / sizeof(malformed_records[0]); i++) {
		cJSON *record = fl_json_parse(malformed_records[i], strlen(malformed_records[i]));

		assert_non_null(record);
		assert_null(fl_cluster_apply_job_record(&fixture->node.cluster, "run-000001",
		                                        record, 4));
		assert_null(fixture->node.cluster.jobs);
		assert_null(fixture->node.cluster.finished);
		cJSON_Delete(record);
	}
}

/* Loads one job with this progress; is its final state to be written? */
static bool loaded_job_is_finished(struct frontend_fixture *fixture, const char *record,
                                   const char *progress)
{
	fixture->job_record = record;
	fixture->progress_record = progress;
	if (fl_failover_load_cluster(&fixture->node) != FL_FAILOVER_LOADED)
		note_failure(fixture, "a good record is not read");
	return fixture->node.cluster.dirty_jobs &&
	       fixture->node.cluster.dirty_jobs ==
	               fl_job_find(&fixture->node.cluster, "run-000001");
}

static void load_finished_jobs(void *argument)
{
	static const char cancelled[] =
		JOB_RECORD("\"final\":\"aborted\",\"parts\":4,\"cancelled\":5");
	struct frontend_fixture *fixture = argument;

	fixture->node.leader_lease.held = true;
	if (loaded_job_is_finished(fixture, JOB_RECORD("\"Apart\":true"), "{\"d\":[[0,2]]}"))
		note_failure(fixture, "one task is still to run");
	if (!loaded_job_is_finished(fixture, JOB_RECORD("\"Apart\":true"), "{\"d\":[[0,3]]}"))
		note_failure(fixture, "all its tasks are done");
	if (!loaded_job_is_finished(fixture, cancelled, "{\"d\":[[0,2]]}"))
		note_failure(fixture, "it is cancelled, and nothing of it is anywhere");
	if (loaded_job_is_finished(fixture, cancelled, "{\"m\":[[0,1,\"m-1\",1,5]]}"))
		note_failure(fixture, "it is cancelled, and a task may still run");
}

/*
 * The previous leader ended between the record of the last task and that of the job. Nothing of the
 * job changes any more: found as a job that stayed pending for ever with all its tasks done.
 */
static void a_new_leader_finishes_jobs_whose_tasks_have_all_ended(void **state)
{
	run_in_coroutine(*state, load_finished_jobs);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(a_new_leader_makes_no_decision_if_a_record_is_malformed),
		FRONTEND_TEST(a_follower_ignores_a_malformed_record),
		FRONTEND_TEST(a_new_leader_finishes_jobs_whose_tasks_have_all_ended),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
