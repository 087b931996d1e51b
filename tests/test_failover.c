/*
 * What a new leader and a follower read from the state service: a record that cannot be read and a
 * list that is not whole decide nothing, and a job that is over is finished.
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

static const char *const bad_records[] = {
	"{}",
	RECORD("\"Parts\":0"),
	RECORD("\"Ref\":\"run-000002\""),
	RECORD("\"Owner\":\"nobody\""),
	RECORD("\"Site\":\"z\""),
	RECORD("\"final\":7"),
	RECORD("\"final\":\"over\",\"parts\":4"),
	RECORD("\"final\":\"aborted\",\"parts\":4,\"Tier\":\"high\""),
	"{\"final\":\"aborted\"}",
};

/* What a list lacks counts as deleted: it must say that it is complete. */
static void check_partial_lists(struct fixture *fixture)
{
	struct fl_cloud_machine *hosts;
	bool more;
	int n;

	if (fl_cloud_list(&fixture->node.cloud, NULL, &hosts, &n, &more) != 0)
		strcpy(fixture->failed, "a good list is not read");
	free(hosts);
	fixture->without_more = true;
	if (fl_failover_load(&fixture->node) == FL_FAILOVER_LOADED ||
	    fl_cloud_list(&fixture->node.cloud, NULL, &hosts, &n, &more) == 0)
		strcpy(fixture->failed, "half a list passes for a whole one");
	fixture->without_more = false;
}

static void load_bad_records(void *arg)
{
	struct fixture *fixture = arg;

	fixture->node.leader_lease.held = true;
	fixture->record = RECORD("\"Apart\":true");
	if (fl_failover_load(&fixture->node) != FL_FAILOVER_LOADED ||
	    !fl_job_find(&fixture->node.cluster, "run-000001"))
		strcpy(fixture->failed, "a good record is not read");
	check_partial_lists(fixture);
	for (size_t i = 0; i < sizeof(bad_records) / sizeof(bad_records[0]); i++) {
		fixture->record = bad_records[i];
		fl_cluster_free(&fixture->node.cluster);
		fixture->node.cluster.jobs = NULL;
		fixture->node.cluster.finished = NULL;
		fl_symbol_intern(&fixture->node.cluster.zones, "a");
		if ((fl_failover_load(&fixture->node) != FL_FAILOVER_UNREADABLE_RECORD ||
		     fixture->node.cluster.finished) &&
		    !fixture->failed[0])
			snprintf(fixture->failed, sizeof(fixture->failed), "is decided by: %s",
			         fixture->record);
	}
	if (fixture->writes)
		strcpy(fixture->failed, "something is written");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_new_leader_decides_nothing_over_a_bad_record(void **state)
{
	struct fixture *fixture = *state;

	fl_coroutine_spawn(load_bad_records, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

/* Nor does a node whose watch reports it: the job neither runs nor is over. */
static void a_follower_applies_no_bad_record(void **state)
{
	struct fixture *fixture = *state;

	for (size_t i = 0; i < sizeof(bad_records) / sizeof(bad_records[0]); i++) {
		cJSON *record = fl_json_parse(bad_records[i], strlen(bad_records[i]));

		assert_non_null(record);
		assert_null(fl_cluster_apply_job_record(&fixture->node.cluster, "run-000001",
		                                        record, 4));
		assert_null(fixture->node.cluster.jobs);
		assert_null(fixture->node.cluster.finished);
		cJSON_Delete(record);
	}
}

/* Loads one job with this progress; is its final state to be written? */
static bool is_to_be_finished(struct fixture *fixture, const char *record, const char *progress)
{
	fixture->record = record;
	fixture->progress = progress;
	if (fl_failover_load(&fixture->node) != FL_FAILOVER_LOADED)
		strcpy(fixture->failed, "a good record is not read");
	return fixture->node.cluster.dirty &&
	       fixture->node.cluster.dirty == fl_job_find(&fixture->node.cluster, "run-000001");
}

static void load_finished_jobs(void *arg)
{
	static const char cancelled[] = RECORD("\"final\":\"aborted\",\"parts\":4,\"cancelled\":5");
	struct fixture *fixture = arg;

	fixture->node.leader_lease.held = true;
	if (is_to_be_finished(fixture, RECORD("\"Apart\":true"), "{\"d\":[[0,2]]}"))
		strcpy(fixture->failed, "one task is still to run");
	if (!is_to_be_finished(fixture, RECORD("\"Apart\":true"), "{\"d\":[[0,3]]}"))
		strcpy(fixture->failed, "all its tasks are done");
	if (!is_to_be_finished(fixture, cancelled, "{\"d\":[[0,2]]}"))
		strcpy(fixture->failed, "it is cancelled, and nothing of it is anywhere");
	if (is_to_be_finished(fixture, cancelled, "{\"m\":[[0,1,\"m-1\",1,5]]}"))
		strcpy(fixture->failed, "it is cancelled, and a task may still be about");
	ev_break(fl_loop(), EVBREAK_ALL);
}

/*
 * The previous leader ended between the record of the last task and that of the job. Nothing of the
 * job changes any more: found as a job that stayed pending for ever with all its tasks done.
 */
static void a_new_leader_finishes_jobs_that_are_over(void **state)
{
	struct fixture *fixture = *state;

	fl_coroutine_spawn(load_finished_jobs, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(a_new_leader_decides_nothing_over_a_bad_record),
		FRONTEND_TEST(a_follower_applies_no_bad_record),
		FRONTEND_TEST(a_new_leader_finishes_jobs_that_are_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
