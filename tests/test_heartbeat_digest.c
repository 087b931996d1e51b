/*
 * Heartbeat digests that the key-value store refuses or that would be too large: the leader must
 * learn of every machine whose lease a follower renews. One follower in virtual time, whose store
 * refuses what is beyond its limits.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/follower/heartbeat_digest.h"
#include "coordination/node.h"
#include "protocol/heartbeat_digests.h"
#include "scripted_store.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

enum { MACHINES = 30, TASKS_MAX = 200 };
static const double digest_interval_s = 2;

static struct {
	struct fl_node node;
	struct fl_config config;
	struct fl_task_status tasks[TASKS_MAX];
} scenario;

static int set_up(void **state)
{
	struct fl_node *node = &scenario.node;

	(void)state;
	memset(&scenario, 0, sizeof(scenario));
	scripted_store_begin();
	sim_time_begin();
	scripted_store.limits = (struct kv_model_limits){2, 4, 18};
	strcpy(scenario.config.node, "n0");
	scenario.config.value_kb = 4;
	scenario.config.txn_ops = 8;
	scenario.config.state_write_rps = 25;
	scenario.config.next_value_kb = 2;
	node->config = &scenario.config;
	node->kv_store.last_failure_at = -1e9;
	strcpy(node->leader_view.leader, "n1");
	fl_node_init_store_limits(node);
	fl_heartbeat_digest_init(node, digest_interval_s);
	for (int i = 0; i < TASKS_MAX; i++)
		scenario.tasks[i] = (struct fl_task_status){.ref = "run-000001",
		                                            .index = (uint32_t)i,
		                                            .attempt = 1,
		                                            .state = FL_TASK_STATE_RUNNING};
	return 0;
}

static int tear_down(void **state)
{
	struct fl_cached_heartbeat *cached, *next;

	(void)state;
	virtual_time_end();
	HASH_ITER (hh, scenario.node.follower.cached_heartbeats, cached, next)
		fl_cached_heartbeat_drop(&scenario.node.follower, cached);
	scripted_store_end();
	return 0;
}

/* ---- the follower ---- */

static void cache_heartbeat(int machine, int task_count)
{
	struct fl_heartbeat heartbeat = {.incarnation = 1,
	                                 .sequence = 5,
	                                 .fencing_token = 7,
	                                 .interruption_in_s = -1,
	                                 .tasks = scenario.tasks,
	                                 .task_count = task_count};

	snprintf(heartbeat.host, sizeof(heartbeat.host), "m-%06d", machine);
	fl_heartbeat_cache(&scenario.node, &heartbeat);
}

static void write_digests(void *argument)
{
	(void)argument;
	for (int i = 0; i < 3; i++) {
		fl_heartbeat_digest_write(&scenario.node, fl_now(), digest_interval_s);
		fl_sleep(digest_interval_s / 2);
	}
}

/* Lets the follower write digests three times, while the worker sends no newer heartbeat. */
static void run_digest_writes(void)
{
	assert_non_null(sim_spawn(0, write_digests, NULL));
	sim_time_run(fl_now() + 3 * digest_interval_s);
}

/* ---- what a leader reads ---- */

/* Decodes the stored heartbeat of a machine; returns false if no digest has it. */
static bool find_stored_heartbeat(int machine, struct fl_heartbeat *out)
{
	const struct kv_event *events = scripted_store.model.events;
	char host[FL_NAME_MAX];
	bool found = false;

	memset(out, 0, sizeof(*out));
	snprintf(host, sizeof(host), "m-%06d", machine);
	for (int i = 0; i < scripted_store.model.event_count && !found; i++) {
		cJSON *digest = fl_json_parse(events[i].value, strlen(events[i].value));
		const cJSON *item;

		cJSON_ArrayForEach (item, fl_digest_heartbeats(digest)) {
			if (found)
				break;
			assert_int_equal(fl_cached_heartbeat_decode(item, out), FL_DECODE_OK);
			found = strcmp(out->host, host) == 0;
			if (!found)
				fl_heartbeat_free(out);
		}
		cJSON_Delete(digest);
	}
	return found;
}

/*
 * Guards against machines that the leader considers lost although a follower renews their leases:
 * the heartbeats of a digest that was refused as too large were not written again.
 */
static void the_heartbeats_of_a_refused_digest_are_written_in_smaller_ones(void **state)
{
	(void)state;
	for (int i = 0; i < MACHINES; i++)
		cache_heartbeat(i, 4);
	run_digest_writes();
	assert_int_equal(scripted_store.too_large_count, 1);
	assert_int_equal(scripted_store.repeated_too_large_count, 0);
	for (int i = 0; i < MACHINES; i++) {
		struct fl_heartbeat heartbeat;

		assert_true(find_stored_heartbeat(i, &heartbeat));
		assert_int_equal(heartbeat.task_count, 4);
		fl_heartbeat_free(&heartbeat);
	}
}

/*
 * Guards against the same for a machine with more tasks than a value has room for, whose heartbeat
 * was in no digest: the leader learns at least that the machine is up.
 */
static void a_heartbeat_larger_than_a_value_is_written_without_its_tasks(void **state)
{
	struct fl_heartbeat heartbeat;

	(void)state;
	scripted_store.limits.value_kb = 4;
	cache_heartbeat(1, TASKS_MAX);
	cache_heartbeat(2, 40);
	run_digest_writes();
	assert_true(find_stored_heartbeat(1, &heartbeat));
	assert_true(heartbeat.tasks_omitted);
	assert_int_equal(heartbeat.task_count, 0);
	assert_true(heartbeat.incarnation == 1 && heartbeat.sequence == 5);
	assert_true(heartbeat.fencing_token == 7 && heartbeat.interruption_in_s == -1);
	fl_heartbeat_free(&heartbeat);
	assert_true(find_stored_heartbeat(2, &heartbeat));
	assert_false(heartbeat.tasks_omitted);
	assert_int_equal(heartbeat.task_count, 40);
	fl_heartbeat_free(&heartbeat);
}

int main(void)
{
#define DIGEST_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		DIGEST_TEST(the_heartbeats_of_a_refused_digest_are_written_in_smaller_ones),
		DIGEST_TEST(a_heartbeat_larger_than_a_value_is_written_without_its_tasks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
