/* Restores of random progress records and write-ahead logs, compared with a reference merge. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"

enum { JOBS = 5, TASKS_MAX = 300, GROUPS_MAX = 120, CHANGES_MAX = 24, MACHINES = 6, ROUNDS = 300 };

/* The state of a task in a progress record or in a group of the write-ahead log. */
struct change {
	uint32_t index;
	enum fl_task_phase phase;
	uint32_t attempt;
	int machine;
	uint64_t incarnation;
	bool from_wal;
};

/* The changes of one task block: a progress record or a group of the write-ahead log. */
struct group {
	int job;
	uint32_t block_index;
	struct change changes[CHANGES_MAX];
	int change_count;
};

struct scenario {
	struct fl_cluster cluster;
	struct fl_job *jobs[JOBS];
	struct group records[JOBS][TASKS_MAX / FL_TASK_BLOCK_SIZE + 1];
	struct group groups[GROUPS_MAX]; /* of the write-ahead log */
	int group_count;
};

static uint64_t seed;

/* xorshift64, which yields the same numbers on every machine. */
static uint32_t random_below(uint32_t limit)
{
	seed ^= seed << 13;
	seed ^= seed >> 7;
	seed ^= seed << 17;
	return (uint32_t)(seed >> 33) % limit;
}

static void add_job(struct scenario *scenario, int i, uint32_t task_count)
{
	struct fl_job_spec spec = {.task_count = task_count,
	                           .cpus = 1,
	                           .ram_gb = 1,
	                           .priority = FL_STANDARD,
	                           .machine_type_count = -1,
	                           .due_s = -1};

	snprintf(spec.ref, sizeof(spec.ref), "run-%06d", i + 1);
	snprintf(spec.team, sizeof(spec.team), "team");
	snprintf(spec.job_class, sizeof(spec.job_class), "class");
	snprintf(spec.image, sizeof(spec.image), "image");
	scenario->jobs[i] = fl_job_add(&scenario->cluster, &spec, 0, 1);
	assert_non_null(scenario->jobs[i]);
}

static struct scenario *create_scenario(void)
{
	struct scenario *scenario = calloc(1, sizeof(*scenario));

	assert_non_null(scenario);
	scenario->cluster.has_leader_state = true;
	scenario->cluster.teams.count = 1;
	snprintf(scenario->cluster.teams.by_index[0].name,
	         sizeof(scenario->cluster.teams.by_index[0].name), "team");
	return scenario;
}

static void destroy_scenario(struct scenario *scenario)
{
	fl_cluster_free(&scenario->cluster);
	free(scenario);
}

/* Fills the group with some tasks of the task block, in rising order and in random states. */
static void fill_group_randomly(struct group *group, const struct scenario *scenario, int job,
                                uint32_t block_index)
{
	uint32_t base = block_index * FL_TASK_BLOCK_SIZE;

	*group = (struct group){.job = job, .block_index = block_index};
	for (uint32_t i = random_below(4);
	     i < FL_TASK_BLOCK_SIZE && base + i < scenario->jobs[job]->task_count;
	     i += 1 + random_below(5)) {
		if (group->change_count == CHANGES_MAX)
			break;
		group->changes[group->change_count++] = (struct change){
			.index = base + i,
			.phase = (enum fl_task_phase)random_below(3),
			.attempt = 1 + random_below(3),
			.machine = (int)random_below(MACHINES),
			.incarnation = 1 + random_below(9),
		};
	}
}

static cJSON *create_number_pair(double first, double second)
{
	const double numbers[] = {first, second};

	return cJSON_CreateDoubleArray(numbers, 2);
}

static cJSON *encode_group(const struct group *group)
{
	cJSON *object = cJSON_CreateObject();
	cJSON *done = cJSON_AddArrayToObject(object, "d"),
	      *waiting = cJSON_AddArrayToObject(object, "t");
	cJSON *placed = cJSON_AddArrayToObject(object, "m");

	for (int i = 0; i < group->change_count; i++) {
		const struct change *change = &group->changes[i];
		char name[16];
		cJSON *item = create_number_pair(change->index, change->phase == FL_TASK_DONE
		                                                        ? change->index
		                                                        : change->attempt);

		if (change->phase == FL_TASK_PLACED) {
			snprintf(name, sizeof(name), "host-%d", change->machine);
			cJSON_AddItemToArray(item, cJSON_CreateString(name));
			cJSON_AddItemToArray(item, cJSON_CreateNumber((double)change->incarnation));
			cJSON_AddItemToArray(item, cJSON_CreateNumber(1000));
		}
		cJSON_AddItemToArray(change->phase == FL_TASK_DONE     ? done
		                     : change->phase == FL_TASK_PLACED ? placed
		                                                       : waiting,
		                     item);
	}
	return object;
}

static void add_group_to_value(cJSON *value, const struct scenario *scenario,
                               const struct group *group)
{
	cJSON *item = cJSON_CreateArray();
	char *text;

	cJSON_AddItemToArray(item, cJSON_CreateString(scenario->jobs[group->job]->ref));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(group->block_index));
	cJSON_AddItemToArray(item, encode_group(group));
	text = fl_json_print_and_delete(item);
	fl_wal_value_add_group(value, text);
	free(text);
}

/* Encodes the groups from `from` to `to` - 1 as one value of the log, and reads that value. */
static void read_wal_value(struct fl_wal *wal, const struct scenario *scenario, int from, int to)
{
	cJSON *value = fl_wal_value_create(), *parsed;
	char *text;

	for (int i = from; i < to; i++)
		add_group_to_value(value, scenario, &scenario->groups[i]);
	text = fl_json_print_and_delete(value);
	parsed = fl_json_parse(text, strlen(text));
	assert_non_null(parsed);
	assert_int_equal(fl_wal_read_value(wal, parsed), 0);
	cJSON_Delete(parsed);
	free(text);
}

static void read_wal(struct fl_wal *wal, const struct scenario *scenario)
{
	int half =
		scenario->group_count > 0 ? (int)random_below((uint32_t)scenario->group_count) : 0;

	read_wal_value(wal, scenario, 0, half);
	read_wal_value(wal, scenario, half, scenario->group_count);
	assert_int_equal(wal->group_count, scenario->group_count);
}

/* Restores as a failover does: first the records, then task blocks that only the log contains. */
static void restore_records_and_wal(struct scenario *scenario, struct fl_wal *wal)
{
	for (int job_index = 0; job_index < JOBS; job_index++)
		for (uint32_t task_block_index = 0;
		     task_block_index < scenario->jobs[job_index]->block_count;
		     task_block_index++) {
			cJSON *value =
				scenario->records[job_index][task_block_index].change_count > 0
					? encode_group(
						  &scenario->records[job_index][task_block_index])
					: NULL;

			if (value)
				assert_int_equal(
					fl_task_block_restore(
						&scenario->cluster, scenario->jobs[job_index],
						task_block_index,
						&(struct fl_task_block_source){value, 7, wal}, 0),
					0);
			cJSON_Delete(value);
		}
	for (int i = 0; i < wal->group_count; i++)
		if (!wal->groups[i].restored)
			assert_int_equal(
				fl_task_block_restore(
					&scenario->cluster,
					fl_job_find(&scenario->cluster, wal->groups[i].ref),
					wal->groups[i].block_index,
					&(struct fl_task_block_source){NULL, 0, wal}, 0),
				0);
}

/*
 * The reference merge. Of two states of a task, the one that is done is used, else the one with the
 * higher attempt, else the waiting one.
 */
static void merge_group_changes(struct change *best, const struct group *group, uint32_t index,
                                bool from_wal)
{
	for (int i = 0; i < group->change_count; i++) {
		const struct change *change = &group->changes[i];
		bool better = change->attempt > best->attempt;

		if (change->index != index || best->phase == FL_TASK_DONE)
			continue;
		if (change->phase == FL_TASK_DONE)
			better = true;
		else if (change->attempt == best->attempt)
			better = change->phase == FL_TASK_WAITING && best->phase == FL_TASK_PLACED;
		if (better) {
			*best = *change;
			best->from_wal = from_wal;
		}
	}
}

static void assert_restored_task(const struct scenario *scenario, int job_index, uint32_t index,
                                 uint32_t counts[3])
{
	const struct fl_task *task = fl_task_find(scenario->jobs[job_index], index);
	const struct fl_task_block *block =
		fl_job_task_block(scenario->jobs[job_index], index / FL_TASK_BLOCK_SIZE);
	struct change best = {.phase = FL_TASK_WAITING};
	char name[16];

	merge_group_changes(&best, &scenario->records[job_index][index / FL_TASK_BLOCK_SIZE], index,
	                    false);
	for (int i = 0; i < scenario->group_count; i++)
		if (scenario->groups[i].job == job_index &&
		    scenario->groups[i].block_index == index / FL_TASK_BLOCK_SIZE)
			merge_group_changes(&best, &scenario->groups[i], index, true);
	counts[best.phase]++;
	if (!task) {
		assert_true(best.phase == FL_TASK_WAITING && best.attempt == 0);
		return;
	}
	assert_int_equal(task->phase, best.phase);
	assert_int_equal(!fl_task_change_is_saved(block, task), best.from_wal);
	if (best.phase == FL_TASK_DONE)
		return;
	assert_int_equal(task->attempt, best.attempt);
	if (best.phase != FL_TASK_PLACED)
		return;
	snprintf(name, sizeof(name), "host-%d", best.machine);
	assert_string_equal(scenario->cluster.machines.by_id[task->machine_id]->name, name);
	assert_int_equal(task->incarnation, best.incarnation);
}

static void assert_restored_jobs(const struct scenario *scenario)
{
	for (int job_index = 0; job_index < JOBS; job_index++) {
		uint32_t counts[3] = {0};

		for (uint32_t i = 0; i < scenario->jobs[job_index]->task_count; i++)
			assert_restored_task(scenario, job_index, i, counts);
		assert_int_equal(scenario->jobs[job_index]->counts.waiting,
		                 counts[FL_TASK_WAITING]);
		assert_int_equal(scenario->jobs[job_index]->counts.placed, counts[FL_TASK_PLACED]);
		assert_int_equal(scenario->jobs[job_index]->counts.done, counts[FL_TASK_DONE]);
	}
}

static void a_restore_agrees_with_a_reference_merge_of_records_and_wal(void **state)
{
	(void)state;
	for (int round = 0; round < ROUNDS; round++) {
		struct scenario *scenario = create_scenario();
		struct fl_wal wal = {0};

		seed = 0x9e3779b97f4a7c15ULL * (uint64_t)(round + 1);
		for (int job_index = 0; job_index < JOBS; job_index++) {
			add_job(scenario, job_index, 1 + random_below(TASKS_MAX));
			for (uint32_t task_block_index = 0;
			     task_block_index < scenario->jobs[job_index]->block_count;
			     task_block_index++)
				if (random_below(2))
					fill_group_randomly(
						&scenario->records[job_index][task_block_index],
						scenario, job_index, task_block_index);
		}
		scenario->group_count = (int)random_below(GROUPS_MAX + 1);
		for (int i = 0; i < scenario->group_count; i++) {
			int job_index = (int)random_below(JOBS);

			fill_group_randomly(&scenario->groups[i], scenario, job_index,
			                    random_below(scenario->jobs[job_index]->block_count));
		}
		read_wal(&wal, scenario);
		restore_records_and_wal(scenario, &wal);
		assert_restored_jobs(scenario);
		fl_wal_free(&wal);
		destroy_scenario(scenario);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_restore_agrees_with_a_reference_merge_of_records_and_wal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
