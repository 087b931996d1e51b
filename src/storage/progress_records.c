#include "storage/progress_records.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#include "storage/write_ahead_log.h"

/* Which tasks of a chunk are written. */
enum scope { ALL_TASKS, UNSAVED_TASKS };

/* A list of numbers: [a,b]. */
static cJSON *number_pair(double a, double b)
{
	cJSON *item = cJSON_CreateArray();

	cJSON_AddItemToArray(item, cJSON_CreateNumber(a));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(b));
	return item;
}

static cJSON *encode_placed(const struct fl_cluster *cluster, uint32_t index,
                            const struct fl_task *task)
{
	cJSON *item = number_pair(index, task->attempt);

	cJSON_AddItemToArray(item,
	                     cJSON_CreateString(cluster->machines.by_id[task->machine]->name));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)task->incarnation));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(round(task->placed_wall)));
	return item;
}

/*
 * {"d":[[first,last],...],"t":[[index,attempt],...],
 *  "m":[[index,attempt,machine,session,placed],...]}:
 * done ranges, waiting tasks that have used attempts, placed tasks with their wall time.
 */
static cJSON *encode(const struct fl_cluster *cluster, const struct fl_job *job,
                     uint32_t block_index, enum scope scope)
{
	const struct fl_task_block *block = job->blocks[block_index];
	uint32_t base = block_index * FL_TASK_BLOCK_SIZE;
	cJSON *object = cJSON_CreateObject();
	cJSON *done = cJSON_AddArrayToObject(object, "d"),
	      *waiting = cJSON_AddArrayToObject(object, "t");
	cJSON *placed = cJSON_AddArrayToObject(object, "m");

	for (uint32_t i = 0; i < FL_TASK_BLOCK_SIZE && base + i < job->task_count; i++) {
		const struct fl_task *task = &block->tasks[i];

		if (scope == UNSAVED_TASKS && fl_task_saved(block, task))
			continue;
		if (task->phase == FL_TASK_DONE) {
			uint32_t last = i;

			/* What is done and saved already may stand in the log once more. */
			while (last + 1 < FL_TASK_BLOCK_SIZE &&
			       block->tasks[last + 1].phase == FL_TASK_DONE)
				last++;
			cJSON_AddItemToArray(done, number_pair(base + i, base + last));
			i = last;
		} else if (task->phase == FL_TASK_PLACED) {
			cJSON_AddItemToArray(placed, encode_placed(cluster, base + i, task));
		} else if (task->attempt > 0) {
			cJSON_AddItemToArray(waiting, number_pair(base + i, task->attempt));
		}
	}
	return object;
}

cJSON *fl_task_block_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                            uint32_t block_index)
{
	return encode(cluster, job, block_index, ALL_TASKS);
}

cJSON *fl_task_block_encode_unsaved(const struct fl_cluster *cluster, const struct fl_job *job,
                                    uint32_t block_index)
{
	return encode(cluster, job, block_index, UNSAVED_TASKS);
}

/* Where a state of a task was read from. */
enum source { FROM_RECORD, FROM_LOG };

/* A task's state as written. Of two states of a task the newer one counts. */
struct task_state {
	enum fl_task_phase phase;
	uint32_t attempt;
	const char *machine; /* in the value it was read from */
	uint64_t incarnation;
	double placed;
	enum source source; /* FROM_LOG: the log alone has it, no record */
};

/* Done is for ever; attempts only rise; an attempt is placed first and released after. */
static bool is_newer(const struct task_state *a, const struct task_state *b)
{
	if (a->phase == FL_TASK_DONE || b->phase == FL_TASK_DONE)
		return b->phase != FL_TASK_DONE;
	if (a->attempt != b->attempt)
		return a->attempt > b->attempt;
	return a->phase == FL_TASK_WAITING && b->phase == FL_TASK_PLACED;
}

/* Keeps the newer of a task's state so far and `state`; -EPROTO if the task is not in the chunk. */
static int merge_task(const struct fl_job *job, uint32_t block_index, struct task_state *states,
                      uint64_t index, const struct task_state *state)
{
	if (index < (uint64_t)block_index * FL_TASK_BLOCK_SIZE ||
	    index >= (uint64_t)(block_index + 1) * FL_TASK_BLOCK_SIZE || index >= job->task_count)
		return -EPROTO;
	if (is_newer(state, &states[index % FL_TASK_BLOCK_SIZE]))
		states[index % FL_TASK_BLOCK_SIZE] = *state;
	return 0;
}

static int read_placed(const cJSON *item, struct task_state *out, uint64_t *index)
{
	const cJSON *name = cJSON_GetArrayItem(item, 2);
	uint64_t attempt, placed = 0;

	if (fl_json_get_item(item, 0, FL_TASKS_MAX, index) != FL_JSON_OK ||
	    fl_json_get_item(item, 1, UINT32_MAX, &attempt) != FL_JSON_OK ||
	    fl_json_get_item(item, 3, FL_COUNT_MAX, &out->incarnation) != FL_JSON_OK ||
	    /* Records of earlier versions have no time: it counts as placed now. */
	    fl_json_get_item(item, 4, FL_COUNT_MAX, &placed) == FL_JSON_INVALID ||
	    !cJSON_IsString(name) || strlen(name->valuestring) >= FL_NAME_MAX)
		return -EPROTO;
	out->attempt = (uint32_t)attempt;
	out->machine = name->valuestring;
	out->placed = (double)placed;
	return 0;
}

/* Merges the states in a record, or in a group of the log, into the chunk's. */
static int merge_record(const struct fl_job *job, uint32_t block_index, const cJSON *value,
                        enum source source, struct task_state *states)
{
	uint64_t first, last, attempt;
	const cJSON *item;
	int rc = 0;

	cJSON_ArrayForEach (item, fl_json_get(value, "d")) {
		struct task_state state = {.phase = FL_TASK_DONE, .source = source};

		if (fl_json_get_item(item, 0, FL_TASKS_MAX, &first) != FL_JSON_OK ||
		    fl_json_get_item(item, 1, FL_TASKS_MAX, &last) != FL_JSON_OK)
			return -EPROTO;
		for (uint64_t i = first; i <= last && !rc; i++)
			rc = merge_task(job, block_index, states, i, &state);
	}
	cJSON_ArrayForEach (item, fl_json_get(value, "t")) {
		struct task_state state = {.phase = FL_TASK_WAITING, .source = source};

		if (fl_json_get_item(item, 0, FL_TASKS_MAX, &first) != FL_JSON_OK ||
		    fl_json_get_item(item, 1, UINT32_MAX, &attempt) != FL_JSON_OK)
			return -EPROTO;
		state.attempt = (uint32_t)attempt;
		if (!rc)
			rc = merge_task(job, block_index, states, first, &state);
	}
	cJSON_ArrayForEach (item, fl_json_get(value, "m")) {
		struct task_state state = {.phase = FL_TASK_PLACED, .source = source};

		if (read_placed(item, &state, &first) != 0)
			return -EPROTO;
		if (!rc)
			rc = merge_task(job, block_index, states, first, &state);
	}
	return rc;
}

static int restore_task(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                        const struct task_state *state, double now)
{
	struct fl_task *task = fl_task_get(job, index);
	struct fl_machine *machine;

	if (!task || task->phase != FL_TASK_WAITING)
		return -EPROTO;
	if (state->phase == FL_TASK_PLACED) {
		machine = fl_machine_get(&cluster->machines, state->machine, now);
		if (!machine || fl_task_restore(cluster, job, index, state->attempt, machine,
		                                state->incarnation, state->placed, now) != 0)
			return -ENOMEM;
	} else if (state->phase == FL_TASK_DONE) {
		task->phase = FL_TASK_DONE;
		job->counts.waiting--;
		job->counts.done++;
	} else {
		task->attempt = state->attempt;
	}
	/* The next write of the log replaces this one: it must hold it, until the record does. */
	if (state->source == FROM_LOG)
		fl_task_touch(cluster, job, index);
	return 0;
}

int fl_task_block_restore(struct fl_cluster *cluster, struct fl_job *job, uint32_t block_index,
                          const cJSON *value, uint64_t revision, struct fl_wal *wal, double now)
{
	struct task_state states[FL_TASK_BLOCK_SIZE];
	uint32_t base = block_index * FL_TASK_BLOCK_SIZE;
	int rc;

	memset(states, 0, sizeof(states));
	if (block_index >= job->block_count || !fl_task_get(job, base))
		return -EPROTO;
	rc = merge_record(job, block_index, value, FROM_RECORD, states);
	for (int i = wal ? fl_wal_first(wal, job->ref, block_index) : -1; i >= 0 && !rc;
	     i = wal->groups[i].next_of_block) {
		wal->groups[i].restored = true;
		rc = merge_record(job, block_index, wal->groups[i].changes, FROM_LOG, states);
	}
	for (uint32_t i = 0; i < FL_TASK_BLOCK_SIZE && !rc; i++)
		if (states[i].phase != FL_TASK_WAITING || states[i].attempt > 0)
			rc = restore_task(cluster, job, base + i, &states[i], now);
	job->blocks[block_index]->mod_revision = revision;
	return rc;
}

int fl_task_block_count(const cJSON *value, uint32_t *done, uint32_t *placed)
{
	uint64_t first, last;
	const cJSON *item;

	cJSON_ArrayForEach (item, fl_json_get(value, "d")) {
		if (fl_json_get_item(item, 0, FL_TASKS_MAX, &first) != FL_JSON_OK ||
		    fl_json_get_item(item, 1, FL_TASKS_MAX, &last) != FL_JSON_OK || last < first)
			return -EPROTO;
		*done += (uint32_t)(last - first) + 1;
	}
	*placed += (uint32_t)cJSON_GetArraySize(fl_json_get(value, "m"));
	return 0;
}
