/* Progress records and the log: a restore against a plain reading of the same changes. */
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

/* One state of a task, as a record or a group of the log has it. */
struct change {
	uint32_t index;
	enum fl_task_phase phase;
	uint32_t attempt;
	int machine;
	uint64_t incarnation;
	bool logged;
};

/* A record or a group of the log. */
struct group {
	int job;
	uint32_t chunk;
	struct change at[CHANGES_MAX];
	int n;
};

struct world {
	struct fl_cluster cluster;
	struct fl_job *job[JOBS];
	struct group record[JOBS][TASKS_MAX / FL_TASK_BLOCK_SIZE + 1];
	struct group group[GROUPS_MAX];
	int n_groups;
};

static uint64_t seed;

/* xorshift64: the same numbers on every machine. */
static uint32_t pick(uint32_t n)
{
	seed ^= seed << 13;
	seed ^= seed >> 7;
	seed ^= seed << 17;
	return (uint32_t)(seed >> 33) % n;
}

static void add_job(struct world *w, int i, uint32_t task_count)
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
	w->job[i] = fl_job_add(&w->cluster, &spec, 0, 1);
	assert_non_null(w->job[i]);
}

static struct world *create(void)
{
	struct world *w = calloc(1, sizeof(*w));

	assert_non_null(w);
	w->cluster.leading = true;
	w->cluster.teams.count = 1;
	snprintf(w->cluster.teams.by_index[0].name, sizeof(w->cluster.teams.by_index[0].name),
	         "team");
	return w;
}

static void destroy(struct world *w)
{
	fl_cluster_free(&w->cluster);
	free(w);
}

/* Some tasks of the chunk in rising order, each in a random state. */
static void fill(struct group *g, const struct world *w, int job, uint32_t block_index)
{
	uint32_t base = block_index * FL_TASK_BLOCK_SIZE;

	*g = (struct group){.job = job, .chunk = block_index};
	for (uint32_t i = pick(4); i < FL_TASK_BLOCK_SIZE && base + i < w->job[job]->task_count;
	     i += 1 + pick(5)) {
		if (g->n == CHANGES_MAX)
			break;
		g->at[g->n++] = (struct change){
			.index = base + i,
			.phase = (enum fl_task_phase)pick(3),
			.attempt = 1 + pick(3),
			.machine = (int)pick(MACHINES),
			.incarnation = 1 + pick(9),
		};
	}
}

static cJSON *numbers(double a, double b)
{
	const double at[] = {a, b};

	return cJSON_CreateDoubleArray(at, 2);
}

static cJSON *encode(const struct group *g)
{
	cJSON *object = cJSON_CreateObject();
	cJSON *done = cJSON_AddArrayToObject(object, "d"),
	      *waiting = cJSON_AddArrayToObject(object, "t");
	cJSON *placed = cJSON_AddArrayToObject(object, "m");

	for (int i = 0; i < g->n; i++) {
		const struct change *c = &g->at[i];
		char name[16];
		cJSON *item = numbers(c->index, c->phase == FL_TASK_DONE ? c->index : c->attempt);

		if (c->phase == FL_TASK_PLACED) {
			snprintf(name, sizeof(name), "host-%d", c->machine);
			cJSON_AddItemToArray(item, cJSON_CreateString(name));
			cJSON_AddItemToArray(item, cJSON_CreateNumber((double)c->incarnation));
			cJSON_AddItemToArray(item, cJSON_CreateNumber(1000));
		}
		cJSON_AddItemToArray(c->phase == FL_TASK_DONE     ? done
		                     : c->phase == FL_TASK_PLACED ? placed
		                                                  : waiting,
		                     item);
	}
	return object;
}

static void add_to_value(cJSON *value, const struct world *w, const struct group *g)
{
	cJSON *item = cJSON_CreateArray();
	char *text;

	cJSON_AddItemToArray(item, cJSON_CreateString(w->job[g->job]->ref));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(g->chunk));
	cJSON_AddItemToArray(item, encode(g));
	text = fl_json_print_and_delete(item);
	fl_wal_value_add(value, text);
	free(text);
}

/* The groups from `from` up to `to`, read from a value as the state service would return it. */
static void read_value(struct fl_wal *wal, const struct world *w, int from, int to)
{
	cJSON *value = fl_wal_value_begin(), *parsed;
	char *text;

	for (int i = from; i < to; i++)
		add_to_value(value, w, &w->group[i]);
	text = fl_json_print_and_delete(value);
	parsed = fl_json_parse(text, strlen(text));
	assert_non_null(parsed);
	assert_int_equal(fl_wal_read(wal, parsed), 0);
	cJSON_Delete(parsed);
	free(text);
}

static void read_log(struct fl_wal *wal, const struct world *w)
{
	int half = w->n_groups > 0 ? (int)pick((uint32_t)w->n_groups) : 0;

	read_value(wal, w, 0, half);
	read_value(wal, w, half, w->n_groups);
	assert_int_equal(wal->group_count, w->n_groups);
}

/* As a takeover does it: the records, then what only the log has. */
static void restore(struct world *w, struct fl_wal *wal)
{
	for (int j = 0; j < JOBS; j++)
		for (uint32_t k = 0; k < w->job[j]->block_count; k++) {
			cJSON *value = w->record[j][k].n > 0 ? encode(&w->record[j][k]) : NULL;

			if (value)
				assert_int_equal(
					fl_task_block_restore(
						&w->cluster, w->job[j], k,
						&(struct fl_task_block_source){value, 7, wal}, 0),
					0);
			cJSON_Delete(value);
		}
	for (int i = 0; i < wal->group_count; i++)
		if (!wal->groups[i].restored)
			assert_int_equal(fl_task_block_restore(
						 &w->cluster,
						 fl_job_find(&w->cluster, wal->groups[i].ref),
						 wal->groups[i].block_index,
						 &(struct fl_task_block_source){NULL, 0, wal}, 0),
			                 0);
}

/* The plain reading: of two states done counts, then the higher attempt, then one not placed. */
static void consider(struct change *best, const struct group *g, uint32_t index, bool logged)
{
	for (int i = 0; i < g->n; i++) {
		const struct change *c = &g->at[i];
		bool better = c->attempt > best->attempt;

		if (c->index != index || best->phase == FL_TASK_DONE)
			continue;
		if (c->phase == FL_TASK_DONE)
			better = true;
		else if (c->attempt == best->attempt)
			better = c->phase == FL_TASK_WAITING && best->phase == FL_TASK_PLACED;
		if (better) {
			*best = *c;
			best->logged = logged;
		}
	}
}

static void compare_task(const struct world *w, int j, uint32_t index, uint32_t counts[3])
{
	const struct fl_task *task = fl_task_peek(w->job[j], index);
	const struct fl_task_block *chunk =
		fl_job_task_block(w->job[j], index / FL_TASK_BLOCK_SIZE);
	struct change best = {.phase = FL_TASK_WAITING};
	char name[16];

	consider(&best, &w->record[j][index / FL_TASK_BLOCK_SIZE], index, false);
	for (int i = 0; i < w->n_groups; i++)
		if (w->group[i].job == j && w->group[i].chunk == index / FL_TASK_BLOCK_SIZE)
			consider(&best, &w->group[i], index, true);
	counts[best.phase]++;
	if (!task) {
		assert_true(best.phase == FL_TASK_WAITING && best.attempt == 0);
		return;
	}
	assert_int_equal(task->phase, best.phase);
	assert_int_equal(!fl_task_saved(chunk, task), best.logged);
	if (best.phase == FL_TASK_DONE)
		return;
	assert_int_equal(task->attempt, best.attempt);
	if (best.phase != FL_TASK_PLACED)
		return;
	snprintf(name, sizeof(name), "host-%d", best.machine);
	assert_string_equal(w->cluster.machines.by_id[task->machine]->name, name);
	assert_int_equal(task->incarnation, best.incarnation);
}

static void compare(const struct world *w)
{
	for (int j = 0; j < JOBS; j++) {
		uint32_t counts[3] = {0};

		for (uint32_t i = 0; i < w->job[j]->task_count; i++)
			compare_task(w, j, i, counts);
		assert_int_equal(w->job[j]->counts.waiting, counts[FL_TASK_WAITING]);
		assert_int_equal(w->job[j]->counts.placed, counts[FL_TASK_PLACED]);
		assert_int_equal(w->job[j]->counts.done, counts[FL_TASK_DONE]);
	}
}

static void restores_what_a_plain_reading_says(void **state)
{
	(void)state;
	for (int round = 0; round < ROUNDS; round++) {
		struct world *w = create();
		struct fl_wal wal = {0};

		seed = 0x9e3779b97f4a7c15ULL * (uint64_t)(round + 1);
		for (int j = 0; j < JOBS; j++) {
			add_job(w, j, 1 + pick(TASKS_MAX));
			for (uint32_t k = 0; k < w->job[j]->block_count; k++)
				if (pick(2))
					fill(&w->record[j][k], w, j, k);
		}
		w->n_groups = (int)pick(GROUPS_MAX + 1);
		for (int i = 0; i < w->n_groups; i++) {
			int j = (int)pick(JOBS);

			fill(&w->group[i], w, j, pick(w->job[j]->block_count));
		}
		read_log(&wal, w);
		restore(w, &wal);
		compare(w);
		fl_wal_free(&wal);
		destroy(w);
	}
}

/* One value of a log: a group for each chunk of each of these jobs. */
static void read_all_chunks(struct fl_wal *wal, uint32_t jobs, uint32_t chunks)
{
	cJSON *value = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(value, "log");

	for (uint32_t j = 0; j < jobs; j++)
		for (uint32_t k = 0; k < chunks; k++) {
			cJSON *item = cJSON_CreateArray();
			char ref[FL_REF_MAX];

			snprintf(ref, sizeof(ref), "run-%06u", j);
			cJSON_AddItemToArray(item, cJSON_CreateString(ref));
			cJSON_AddItemToArray(item, cJSON_CreateNumber(k));
			cJSON_AddItemToArray(item, cJSON_CreateObject());
			cJSON_AddItemToArray(list, item);
		}
	assert_int_equal(fl_wal_read(wal, value), 0);
	cJSON_Delete(value);
}

/* All chunks of a few arrays of the largest size, in three values: as many steps as groups. */
static void looks_at_each_group_once(void **state)
{
	const uint32_t jobs = 4,
		       chunks = (FL_TASKS_MAX + FL_TASK_BLOCK_SIZE - 1) / FL_TASK_BLOCK_SIZE,
		       values = 3;
	struct fl_wal wal = {0};
	uint32_t steps = 0;

	(void)state;
	for (uint32_t v = 0; v < values; v++)
		read_all_chunks(&wal, jobs, chunks);
	assert_int_equal(wal.group_count, jobs * chunks * values);
	for (uint32_t j = 0; j < jobs; j++)
		for (uint32_t k = 0; k < chunks; k++) {
			char ref[FL_REF_MAX];
			int before = -1;

			snprintf(ref, sizeof(ref), "run-%06u", j);
			for (int i = fl_wal_first(&wal, ref, k); i >= 0;
			     i = wal.groups[i].next_of_block) {
				assert_string_equal(wal.groups[i].ref, ref);
				assert_int_equal(wal.groups[i].block_index, k);
				assert_true(i > before);
				before = i;
				steps++;
			}
		}
	assert_int_equal(steps, jobs * chunks * values);
	assert_int_equal(fl_wal_first(&wal, "run-000000", chunks), -1);
	assert_int_equal(fl_wal_first(&wal, "run-999999", 0), -1);
	fl_wal_free(&wal);
	assert_int_equal(fl_wal_first(&wal, "run-000000", 0), -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(restores_what_a_plain_reading_says),
		cmocka_unit_test(looks_at_each_group_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
