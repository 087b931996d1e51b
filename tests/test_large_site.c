/*
 * A site of about 4,000 machines at full load, in virtual time: start, heartbeats, scheduling, a
 * failover, a restart of all controllers, and a cloud list of many pages. Guards against an
 * internal limit below this size, against records and transactions beyond the key-value store's
 * limits, and against more requests than the bounds allow.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "protocol/users.h"
#include "sim.h"
#include "transport/clock.h"
#include "transport/log.h"

enum {
	CLOUD_CAPACITY = 350, /* machines per type, zone, and spot or on-demand; 4,200 in all */
	JOBS = 16,
	TASKS_PER_JOB = 501,
	TASKS_PER_MACHINE = 2,
	TASKS = JOBS * TASKS_PER_JOB,
	MACHINES = TASKS / TASKS_PER_MACHINE, /* 4,008 */
	UNLIMITED_QUOTA = 1000000             /* CPUs or GPUs, more than the site has */
};

/* Seconds since the beginning of the run. */
static const double all_started_s = 110; /* by then, all tasks have started */
static const double leader_down_s = 115, all_down_s = 145, run_duration_s = 200;

struct sim sim;

static void configure_site(void)
{
	memset(&sim, 0, sizeof(sim));

	sim_seed(4000);
	sim.node_count = SIM_NODES;
	sim.zone_count = SIM_ZONES;
	sim.cloud_capacity = CLOUD_CAPACITY;
	sim.reliable_machines = true;
	/* A long interval, which keeps the number of heartbeats in the test low. */
	sim.heartbeat_interval_s = 10;
	sim.lease_s = 40;
	sim.cancel_s = 100;
	for (int i = 0; i < SIM_TEAMS; i++)
		sim_teams[i].cpus_max = sim_teams[i].gpus_max = UNLIMITED_QUOTA;
	for (int i = 0; i < sim.node_count; i++) {
		sim_configure_node(i);
		sim.config[i].max_connections = 1500;
	}
}

/* Adds an array whose tasks outlast the test; two of them fit on each machine. */
static void add_job(void)
{
	struct sim_job *job = sim_job_add_random(sim_random_between(0, 5));
	struct fl_job_spec *spec = &job->spec;

	spec->kind = FL_ARRAY;
	spec->priority = FL_STANDARD;
	spec->task_count = TASKS_PER_JOB;
	spec->cpus = sim_machine_types[0].cpus / TASKS_PER_MACHINE;
	spec->gpus = 0;
	spec->ram_gb = sim_machine_types[0].ram_gb / TASKS_PER_MACHINE;
	spec->image_gb = 0.5;
	sim_job_remove_constraints(job);
	spec->spot_allowed = true;
	spec->expected_s = 10 * run_duration_s;
	spec->checkpoint_every_s = 0;
	job->cancel_s = -1;
	for (int i = 0; i < SIM_JOB_TASKS; i++)
		job->duration_s[i] = spec->expected_s;
	sim_job_encode_request(job);
}

static int set_up(void **state)
{
	(void)state;
	sim_time_begin();
	configure_site();
	for (int i = 0; i < JOBS; i++)
		add_job();
	sim.started_at = fl_now();
	sim.faults_end_s = run_duration_s - 1;
	SIM_INJECT(FAULT_NODE_DOWN, .start_s = leader_down_s, .duration_s = 8,
	           .target = TARGET_LEADER);
	SIM_INJECT(FAULT_NODE_DOWN, .start_s = all_down_s, .duration_s = 8,
	           .target = TARGET_ALL_NODES);
	sim_start();
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	sim_end();
	return 0;
}

/* Returns the number of machines that are up and run as many tasks as fit on them. */
static int full_machine_count(void)
{
	int count = 0;

	for (int i = 0; i < sim.machine_count; i++) {
		const struct sim_machine *machine = &sim.machines[i];
		int running = 0;

		for (int k = 0; k < machine->task_slots_used; k++)
			running += machine->tasks[k].used &&
			           machine->tasks[k].status.state == FL_TASK_STATE_RUNNING;
		count += machine->up && !machine->terminated && running == TASKS_PER_MACHINE;
	}
	return count;
}

static void run_until(double seconds) { sim_time_run(sim.started_at + seconds); }

/*
 * Checks upper bounds. The run has 871 changes and 3,635 requests of the key-value store, 559
 * requests to the cloud, and 62,396 between controllers for 95,362 heartbeats and users' requests.
 */
static void check_request_counts(void)
{
	print_message("kv_changes=%d kv_requests=%d cloud_requests=%d peer_requests=%d "
	              "public_requests=%d\n",
	              sim_kv_change_count(), sim.requests[ENDPOINT_KV_STORE],
	              sim.requests[ENDPOINT_CLOUD], sim.requests[ENDPOINT_PEER],
	              sim.requests[ENDPOINT_NODE]);
	assert_true(sim_kv_change_count() <= TASKS / 6);
	assert_true(sim.requests[ENDPOINT_KV_STORE] <= 5000);
	assert_true(sim.requests[ENDPOINT_CLOUD] <=
	            (int)(sim.config[0].cloud_rps * run_duration_s));
	assert_true(sim.requests[ENDPOINT_PEER] < sim.requests[ENDPOINT_NODE]);
}

static void four_thousand_machines_stay_in_use_through_failovers(void **state)
{
	(void)state;
	run_until(all_started_s);
	assert_int_equal(full_machine_count(), MACHINES);
	assert_int_equal(sim.starts, TASKS);
	run_until(run_duration_s);
	/* The failover and the restart of all controllers lost no task and started none again. */
	assert_int_equal(full_machine_count(), MACHINES);
	assert_int_equal(sim.starts, TASKS);
	for (int i = 0; i < sim.machine_count; i++)
		assert_int_equal(sim.machines[i].incarnation, 1);
	sim_check_end();
	if (sim.violation_count > 0)
		fail_msg("%d invariants violated\n%s", sim.violation_count, sim.violations);
	check_request_counts();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			four_thousand_machines_stay_in_use_through_failovers, set_up, tear_down),
	};

	fl_log_set_level(getenv("SIM_LOG") ? getenv("SIM_LOG") : "error");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
