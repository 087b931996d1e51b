/*
 * The cluster state in memory and its forms in the state service: progress records and the log,
 * jobs that appear and are deleted, final states, and machines whose entries are purged.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "reconcile_sim.h"
#include "transport/clock.h"

/* A job cancelled before any task was placed has no chunks: it once ended the leader. */
static void a_job_without_chunks_is_harmless(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_job *job;

	(void)state;
	set_up(w, 1);
	job = fl_job_find(&w->node.cluster, "run-000000");
	assert_null(fl_job_chunk(job, 0));
	assert_true(fl_task_durable(job, 0));
	assert_null(fl_task_peek(job, TASKS - 1));
	fl_job_finalise(&w->node.cluster, job, FL_CANCELLED);
	assert_int_equal(fl_finished_find(&w->node.cluster, "run-000000")->status, FL_CANCELLED);
	tear_down(w);
	free(w);
}

/* A machine's attempts count in their zone from when the zone is known, and not before. */
static void zones_are_counted_when_they_become_known(void **state)
{
	static const char record[] = "{\"d\":[[0,1]],\"t\":[[2,7]],\"m\":[[3,2,\"m-000009\",1]]}";
	struct sim *w = malloc(sizeof(*w));
	struct fl_cluster *b;
	struct fl_job *job;
	cJSON *v;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	job = fl_job_find(b, "run-000001");
	v = fl_json_parse(record, strlen(record));
	assert_int_equal(fl_chunk_restore(b, job, 0, v, 5, NULL, fl_now()), 0);
	cJSON_Delete(v);
	assert_int_equal(job->n_done, 2);
	assert_int_equal(job->zone_unknown, 1);
	assert_int_equal(fl_task_peek(job, 2)->attempt, 7);
	fl_cluster_describe(b, fl_machine_find(&b->machines, "m-000009"), 0, 1, false, "x");
	assert_int_equal(job->zone_unknown, 0);
	assert_int_equal(job->zone_placed[1], 1);
	fl_task_release(b, job, 3, 0);
	assert_int_equal(job->zone_placed[1], 0);
	assert_int_equal(job->n_placed, 0);
	tear_down(w);
	free(w);
}

/*
 * The log is read with the records, whichever is newer: what is done stays done, a higher attempt
 * counts, and an attempt that was let go of is not placed again by an older word.
 */
static void log_and_record_say_the_later_of_two_things(void **state)
{
	static const char record[] = "{\"d\":[[0,0]],\"t\":[[1,4]],\"m\":[[2,2,\"m-000005\",1,9],"
				     "[3,1,\"m-000006\",1,9]]}";
	static const char older[] = "{\"log\":[[\"run-000001\",0,{\"d\":[],\"t\":[],\"m\":["
				    "[0,1,\"m-000007\",1,9],[1,4,\"m-000007\",1,9],"
				    "[2,1,\"m-000007\",1,9]]}]]}";
	static const char newer[] = "{\"log\":[[\"run-000001\",0,{\"d\":[[3,3]],\"t\":[[2,2]],"
				    "\"m\":[[4,1,\"m-000008\",1,9]]}]]}";
	static const char *const bad[] = {"{}", "{\"log\":[[\"x\",0,{}]]}",
	                                  "{\"log\":[[\"run-000001\",-1,{}]]}",
	                                  "{\"log\":[[\"run-000001\",0]]}"};
	struct sim *w = malloc(sizeof(*w));
	struct fl_log log = {0};
	struct fl_cluster *b;
	struct fl_job *job;
	cJSON *v;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	job = fl_job_find(b, "run-000001");
	for (int i = 0; i < 2; i++) {
		v = fl_json_parse(i ? newer : older, strlen(i ? newer : older));
		assert_int_equal(fl_log_read(&log, v), 0);
		cJSON_Delete(v);
	}
	v = fl_json_parse(record, strlen(record));
	assert_int_equal(fl_chunk_restore(b, job, 0, v, 5, &log, fl_now()), 0);
	cJSON_Delete(v);
	assert_true(log.at[0].taken && log.at[1].taken);
	assert_int_equal(fl_task_peek(job, 0)->phase, FL_TASK_DONE);
	assert_int_equal(fl_task_peek(job, 1)->phase, FL_TASK_WAITING);
	assert_int_equal(fl_task_peek(job, 1)->attempt, 4);
	assert_int_equal(fl_task_peek(job, 2)->phase, FL_TASK_WAITING);
	assert_int_equal(fl_task_peek(job, 2)->attempt, 2);
	assert_int_equal(fl_task_peek(job, 3)->phase, FL_TASK_DONE);
	assert_int_equal(fl_task_peek(job, 4)->phase, FL_TASK_PLACED);
	assert_int_equal(job->n_placed, 1);
	assert_int_equal(job->n_done, 2);
	/* What only the log holds is unsaved here too, so that the next log holds it again. */
	assert_true(job->queued_dirty);
	assert_false(fl_task_saved(fl_job_chunk(job, 0), fl_task_peek(job, 4)));
	assert_true(fl_task_saved(fl_job_chunk(job, 0), fl_task_peek(job, 1)));
	fl_log_free(&log);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		v = fl_json_parse(bad[i], strlen(bad[i]));
		assert_int_not_equal(fl_log_read(&log, v), 0);
		cJSON_Delete(v);
		fl_log_free(&log);
	}
	tear_down(w);
	free(w);
}

/* Hundreds of tasks of many jobs become durable in a few values, where records take one each. */
static void the_log_holds_many_jobs_in_few_values(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	size_t bytes = 0;
	int groups = 0;

	(void)state;
	set_up(w, 1);
	w->node.cluster.teams.at[0].cpus_max = 0;
	for (int j = 100; j < 160; j++) {
		struct fl_job *job = add_job(w, j);

		for (uint32_t p = 0; p < TASKS; p++) {
			char host[FL_NAME_MAX], *group;

			host_of(1000 + j * 2 + (int)p % 2, host);
			assert_int_equal(
				fl_task_place(&w->node.cluster, job, p,
			                      fl_machine_get(&w->node.cluster.machines, host, 0), 1,
			                      0),
				0);
			if (p + 1 < TASKS)
				continue;
			group = fl_log_group_encode(&w->node.cluster, job, 0);
			assert_non_null(group);
			bytes += strlen(group) + 1;
			groups++;
			free(group);
		}
	}
	assert_int_equal(groups, 60);
	/* 300 placements: at most five values of 4 KiB instead of sixty. */
	assert_true(bytes < 5 * 0.85 * 4096);
	tear_down(w);
	free(w);
}

/* A watch lags: the submission of a job that was over before the takeover is heard after it. */
static void a_late_word_brings_no_job_back(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_job_spec run = {.n_tasks = 1, .cpus = 1, .n_machine_types = -1, .due_s = -1};
	struct fl_cluster *b;
	cJSON *v;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	strcpy(run.ref, "run-000077");
	strcpy(run.team, "team");
	strcpy(run.job_class, "c");
	strcpy(run.image, "i");
	v = fl_job_record_live(&run, 5);
	b->list_rev = 100;
	assert_null(fl_cluster_apply(b, run.ref, v, 90));
	assert_non_null(fl_cluster_apply(b, run.ref, v, 101));
	/* Nor does a late word heard while the takeover lists: only its own list marks jobs. */
	b->list_rev = 0;
	fl_cluster_list_begin(b);
	assert_non_null(fl_cluster_apply(b, run.ref, v, 102));
	fl_cluster_list_end(b, 103);
	assert_null(fl_job_find(b, run.ref));
	assert_non_null(fl_cluster_apply(b, run.ref, v, 104));
	/* A follower drops what is deleted, and what a new list no longer holds. */
	b->leading = false;
	assert_null(fl_cluster_apply(b, run.ref, NULL, 110));
	assert_null(fl_job_find(b, run.ref));
	assert_non_null(fl_cluster_apply(b, run.ref, v, 120));
	fl_cluster_list_begin(b);
	fl_cluster_list_end(b, 119);
	assert_non_null(fl_job_find(b, run.ref));
	fl_cluster_list_end(b, 120);
	assert_null(fl_job_find(b, run.ref));
	cJSON_Delete(v);
	tear_down(w);
	free(w);
}

/* Final states are kept at hand up to a bound; the oldest are left to their records. */
static void final_states_at_hand_are_bounded(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_cluster *b;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	b->finished_max = 10;
	for (int i = 0; i < 25; i++) {
		char ref[FL_REF_MAX];

		ref_of(1000 + i, ref);
		fl_finished_add(b, ref, FL_DONE, 1, 0);
	}
	assert_int_equal(HASH_COUNT(b->finished), 10);
	assert_null(fl_finished_find(b, "run-001014"));
	assert_non_null(fl_finished_find(b, "run-001015"));
	tear_down(w);
	free(w);
}

/* A dropped tombstone gives its id to another machine, whose tasks must follow. */
static void purged_machines_leave_the_cluster_whole(void **state)
{
	struct sim *w = malloc(sizeof(*w));
	struct fl_machine *m[3];
	struct fl_cluster *b;
	struct fl_job *job;

	(void)state;
	set_up(w, 1);
	b = &w->node.cluster;
	job = fl_job_find(b, "run-000000");
	for (int i = 0; i < 3; i++) {
		char host[FL_NAME_MAX];

		host_of(50 + i, host);
		m[i] = fl_machine_get(&b->machines, host, 0);
		fl_cluster_describe(b, m[i], 0, 0, false, "x");
		assert_int_equal(fl_task_place(b, job, (uint32_t)i, m[i], 1, 0), 0);
	}
	fl_reconcile_gone(&w->node, m[0], "test");
	fl_cluster_purge(b, fl_now() + 1);
	assert_int_equal(b->machines.n, 2);
	assert_null(fl_machine_find(&b->machines, "m-000050"));
	assert_ptr_equal(b->machines.at[fl_task_peek(job, 2)->machine], m[2]);
	assert_ptr_equal(b->machines.at[fl_task_peek(job, 1)->machine], m[1]);
	fl_task_release(b, job, 2, 0);
	assert_int_equal(m[2]->n_slots, 0);
	assert_int_equal(b->teams.at[0].used_cpus, 1);
	tear_down(w);
	free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(purged_machines_leave_the_cluster_whole),
		cmocka_unit_test(log_and_record_say_the_later_of_two_things),
		cmocka_unit_test(the_log_holds_many_jobs_in_few_values),
		cmocka_unit_test(a_late_word_brings_no_job_back),
		cmocka_unit_test(final_states_at_hand_are_bounded),
		cmocka_unit_test(a_job_without_chunks_is_harmless),
		cmocka_unit_test(zones_are_counted_when_they_become_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
