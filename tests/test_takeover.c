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

#include "coordination/takeover.h"
#include "frontend_fixture.h"

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

/* What a list lacks is taken for gone: it must say that it is whole. */
static void half_lists(struct fixture *f)
{
	struct fl_listed *hosts;
	bool more;
	int n;

	if (fl_cloud_list(&f->node.cloud, NULL, &hosts, &n, &more) != 0)
		strcpy(f->failed, "a good list is not read");
	free(hosts);
	f->no_more = true;
	if (fl_takeover_load(&f->node) == 0 ||
	    fl_cloud_list(&f->node.cloud, NULL, &hosts, &n, &more) == 0)
		strcpy(f->failed, "half a list passes for a whole one");
	f->no_more = false;
}

static void take_over(void *arg)
{
	struct fixture *f = arg;

	f->node.lease.held = true;
	f->record = RECORD("\"Apart\":true");
	if (fl_takeover_load(&f->node) != 0 || !fl_job_find(&f->node.cluster, "run-000001"))
		strcpy(f->failed, "a good record is not read");
	half_lists(f);
	for (size_t i = 0; i < sizeof(bad_records) / sizeof(bad_records[0]); i++) {
		f->record = bad_records[i];
		fl_cluster_free(&f->node.cluster);
		f->node.cluster.jobs = NULL;
		f->node.cluster.finished = NULL;
		fl_names_add(&f->node.cluster.zones, "a");
		if ((fl_takeover_load(&f->node) != -EPROTO || f->node.cluster.finished) &&
		    !f->failed[0])
			snprintf(f->failed, sizeof(f->failed), "is decided by: %s", f->record);
	}
	if (f->writes)
		strcpy(f->failed, "something is written");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_new_leader_decides_nothing_over_a_bad_record(void **state)
{
	struct fixture *f = *state;

	fl_spawn(take_over, f);
	fl_routines_run();
	if (f->failed[0])
		fail_msg("%s", f->failed);
}

/* Nor does a node that hears of it in its watch: it neither runs nor is over. */
static void a_follower_takes_in_no_bad_record(void **state)
{
	struct fixture *f = *state;

	for (size_t i = 0; i < sizeof(bad_records) / sizeof(bad_records[0]); i++) {
		cJSON *v = fl_json_parse(bad_records[i], strlen(bad_records[i]));

		assert_non_null(v);
		assert_null(fl_cluster_apply(&f->node.cluster, "run-000001", v, 4));
		assert_null(f->node.cluster.jobs);
		assert_null(f->node.cluster.finished);
		cJSON_Delete(v);
	}
}

/* Loads one job with this progress; is its final state to be written? */
static bool is_to_be_finished(struct fixture *f, const char *record, const char *progress)
{
	f->record = record;
	f->progress = progress;
	if (fl_takeover_load(&f->node) != 0)
		strcpy(f->failed, "a good record is not read");
	return f->node.cluster.dirty &&
	       f->node.cluster.dirty == fl_job_find(&f->node.cluster, "run-000001");
}

static void take_over_what_is_over(void *arg)
{
	static const char cancelled[] = RECORD("\"final\":\"aborted\",\"parts\":4,\"cancelled\":5");
	struct fixture *f = arg;

	f->node.lease.held = true;
	if (is_to_be_finished(f, RECORD("\"Apart\":true"), "{\"d\":[[0,2]]}"))
		strcpy(f->failed, "one task is still to run");
	if (!is_to_be_finished(f, RECORD("\"Apart\":true"), "{\"d\":[[0,3]]}"))
		strcpy(f->failed, "all its tasks are done");
	if (!is_to_be_finished(f, cancelled, "{\"d\":[[0,2]]}"))
		strcpy(f->failed, "it is cancelled, and nothing of it is anywhere");
	if (is_to_be_finished(f, cancelled, "{\"m\":[[0,1,\"m-1\",1,5]]}"))
		strcpy(f->failed, "it is cancelled, and a task may still be about");
	ev_break(fl_loop(), EVBREAK_ALL);
}

/*
 * The leader before ended between the record of the last task and that of the job. Nothing of the
 * job changes any more: found as a job that stayed pending for ever with all its tasks done.
 */
static void a_new_leader_finishes_what_is_over(void **state)
{
	struct fixture *f = *state;

	fl_spawn(take_over_what_is_over, f);
	fl_routines_run();
	if (f->failed[0])
		fail_msg("%s", f->failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(a_new_leader_decides_nothing_over_a_bad_record),
		FRONTEND_TEST(a_follower_takes_in_no_bad_record),
		FRONTEND_TEST(a_new_leader_finishes_what_is_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
