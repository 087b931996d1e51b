/* The cluster state that the literal records describe, built without decoding them. */
#include "contract_records_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "contract_text.h"
#include "transport/clock.h"

const struct fl_job_spec live_job_spec = {
	.ref = "run-000412",
	.job_class = "nightly",
	.team = "physics",
	.image = "solver:7",
	.zone = "north",
	.machine_types = {"large", "small"},
	.machine_type_count = 2,
	.kind = FL_GANG,
	.priority = FL_URGENT,
	.task_count = 130,
	.cpus = 1.5,
	.gpus = 2,
	.ram_gb = 3.25,
	.image_gb = 4.5,
	.expected_s = 5.5,
	.checkpoint_every_s = 60.5,
	.checkpoint_cost_s = 7.5,
	.due_s = 88.5,
	.has_zone = true,
	.same_zone = true,
};

const struct fl_heartbeat cached_idle_heartbeat = {.host = "m-000013",
                                                   .incarnation = 105,
                                                   .sequence = 106,
                                                   .fencing_token = 107,
                                                   .interruption_in_s = -1};

void add_zones_and_teams(struct fl_cluster *cluster)
{
	fl_symbol_intern(&cluster->zones, "south");
	fl_symbol_intern(&cluster->zones, "north");
	cluster->teams.count = 2;
	strcpy(cluster->teams.by_index[0].name, "biology");
	strcpy(cluster->teams.by_index[1].name, "physics");
}

struct fl_job *add_live_job(struct fl_cluster *cluster)
{
	struct fl_job *job;
	struct fl_cloud_machine_type *types;
	cJSON *tree = parse_json(MACHINE_TYPES_RECORD);
	int count;

	assert_int_equal(fl_machine_types_decode(tree, &types, &count), 0);
	cJSON_Delete(tree);
	add_zones_and_teams(cluster);
	fl_machine_types_set(&cluster->machines, &cluster->zones, types, count);
	free(types);
	cluster->has_leader_state = true;
	job = fl_job_add(cluster, &live_job_spec, 1700000100.25, 5);
	assert_non_null(job);
	return job;
}

static void restore_placed_task(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                uint32_t attempt, const char *machine, uint64_t incarnation,
                                double placed_wall_time)
{
	struct fl_machine *placed_on = fl_machine_get_or_add(&cluster->machines, machine, 1);

	assert_non_null(placed_on);
	assert_int_equal(fl_task_restore(cluster, job, index,
	                                 &(struct fl_recorded_attempt){
						 attempt, placed_on, incarnation, placed_wall_time},
	                                 fl_now()),
	                 FL_PLACE_OK);
	fl_task_mark_changed(cluster, job, index);
}

static void set_waiting_attempt(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                uint32_t attempt)
{
	fl_task_get_or_alloc(job, index)->attempt = attempt;
	fl_task_mark_changed(cluster, job, index);
}

void set_recorded_progress(struct fl_cluster *cluster, struct fl_job *job)
{
	for (uint32_t index = 64; index <= 66; index++)
		fl_task_mark_done(cluster, job, index);
	set_waiting_attempt(cluster, job, 67, 2);
	restore_placed_task(cluster, job, 68, 3, "m-000012", 101, 1700000123);
	fl_task_mark_done(cluster, job, 70);
	set_waiting_attempt(cluster, job, 72, 5);
	restore_placed_task(cluster, job, 127, 4, "m-000013", 102, 1700000456);
	set_waiting_attempt(cluster, job, 128, 6);
}

void assert_task_state(const struct fl_cluster *cluster, const struct fl_job *job, uint32_t index,
                       enum fl_task_phase phase, uint32_t attempt, const char *machine,
                       uint64_t incarnation, double placed_wall_time)
{
	const struct fl_task *task = fl_task_find(job, index);

	assert_non_null(task);
	assert_int_equal(task->phase, phase);
	assert_int_equal(task->attempt, attempt);
	if (phase != FL_TASK_PLACED)
		return;
	assert_string_equal(cluster->machines.by_id[task->machine_id]->name, machine);
	assert_int_equal(task->incarnation, incarnation);
	assert_true(task->placed_wall == placed_wall_time);
}

void assert_recorded_progress(const struct fl_cluster *cluster, const struct fl_job *job)
{
	for (uint32_t index = 64; index < 128; index++) {
		if (index <= 66 || index == 70)
			assert_task_state(cluster, job, index, FL_TASK_DONE, 0, NULL, 0, 0);
		else if (index == 67)
			assert_task_state(cluster, job, index, FL_TASK_WAITING, 2, NULL, 0, 0);
		else if (index == 68)
			assert_task_state(cluster, job, index, FL_TASK_PLACED, 3, "m-000012", 101,
			                  1700000123);
		else if (index == 72)
			assert_task_state(cluster, job, index, FL_TASK_WAITING, 5, NULL, 0, 0);
		else if (index == 127)
			assert_task_state(cluster, job, index, FL_TASK_PLACED, 4, "m-000013", 102,
			                  1700000456);
		else
			assert_task_state(cluster, job, index, FL_TASK_WAITING, 0, NULL, 0, 0);
	}
	assert_int_equal(job->counts.done, 4);
	assert_int_equal(job->counts.placed, 2);
	assert_int_equal(job->counts.waiting, 124);
}

struct fl_heartbeat make_cached_heartbeat(struct fl_task_status tasks[CACHED_TASK_COUNT])
{
	static const enum fl_task_state states[] = {FL_TASK_STATE_PULLING, FL_TASK_STATE_RUNNING,
	                                            FL_TASK_STATE_CHECKPOINTING,
	                                            FL_TASK_STATE_AWAITING_GANG};
	static const enum fl_exit_reason exits[] = {FL_EXIT_DONE,
	                                            FL_EXIT_STOPPED,
	                                            FL_EXIT_ERROR,
	                                            FL_EXIT_NO_ROOM,
	                                            FL_EXIT_BUSY,
	                                            FL_EXIT_UNKNOWN_TASK,
	                                            FL_EXIT_GANG_PEERS_LOST,
	                                            FL_EXIT_GANG_INCOMPLETE,
	                                            FL_EXIT_OTHER};
	struct fl_heartbeat heartbeat = {.host = "m-000012",
	                                 .incarnation = 101,
	                                 .sequence = 102,
	                                 .fencing_token = 103,
	                                 .interruption_in_s = 104.5,
	                                 .tasks = tasks,
	                                 .task_count = CACHED_TASK_COUNT};

	for (uint32_t i = 0; i < CACHED_TASK_COUNT; i++) {
		tasks[i] = (struct fl_task_status){.index = 3 + i, .attempt = 21 + i};
		snprintf(tasks[i].ref, sizeof(tasks[i].ref), "run-%06u", 412 + i);
		tasks[i].state = i < 4 ? states[i] : FL_TASK_STATE_EXITED;
		tasks[i].exit_reason = i < 4 ? FL_EXIT_OTHER : exits[i - 4];
	}
	return heartbeat;
}
