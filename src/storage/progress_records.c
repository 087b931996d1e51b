#include "storage/progress_records.h"

#include <math.h>
#include <string.h>

#include "storage/write_ahead_log.h"
#include "transport/text.h"

/* Which tasks of a block are encoded. */
enum task_scope { ALL_TASKS, UNSAVED_TASKS };

/* Returns the array [first,second]. */
static cJSON *encode_number_pair(double first, double second)
{
	cJSON *item = cJSON_CreateArray();

	cJSON_AddItemToArray(item, cJSON_CreateNumber(first));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(second));
	return item;
}

static cJSON *encode_placed(const struct fl_cluster *cluster, uint32_t index,
                            const struct fl_task *task)
{
	cJSON *item = encode_number_pair(index, task->attempt);

	cJSON_AddItemToArray(item,
	                     cJSON_CreateString(cluster->machines.by_id[task->machine_id]->name));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)task->incarnation));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(round(task->placed_wall)));
	return item;
}

/*
 * Returns the last of the done tasks that begin at `first`, before `end`. They may include tasks
 * that are already saved; the log may repeat them.
 */
static uint32_t last_of_done_tasks(const struct fl_task_block *block, uint32_t first, uint32_t end)
{
	uint32_t last = first;

	while (last + 1 < end && block->tasks[last + 1].phase == FL_TASK_DONE)
		last++;
	return last;
}

/*
 * Encodes a block as {"d":[[first,last],...],"t":[[index,attempt],...],
 * "m":[[index,attempt,machine,incarnation,placed],...]}: ranges of done tasks, waiting tasks with
 * earlier attempts, and placed tasks with the wall-clock time of their placement.
 */
static cJSON *encode_block(const struct fl_cluster *cluster, const struct fl_job *job,
                           uint32_t block_index, struct fl_task_range range, enum task_scope scope)
{
	const struct fl_task_block *block = job->blocks[block_index];
	uint32_t base = block_index * FL_TASK_BLOCK_SIZE;
	cJSON *object = cJSON_CreateObject();
	cJSON *done = cJSON_AddArrayToObject(object, "d");
	cJSON *waiting = cJSON_AddArrayToObject(object, "t");
	cJSON *placed = cJSON_AddArrayToObject(object, "m");

	for (uint32_t i = range.first; i < range.end && base + i < job->task_count; i++) {
		const struct fl_task *task = &block->tasks[i];

		if (scope == UNSAVED_TASKS && fl_task_change_is_saved(block, task))
			continue;
		if (task->phase == FL_TASK_DONE) {
			uint32_t last = last_of_done_tasks(block, i, range.end);

			cJSON_AddItemToArray(done, encode_number_pair(base + i, base + last));
			i = last;
		} else if (task->phase == FL_TASK_PLACED) {
			cJSON_AddItemToArray(placed, encode_placed(cluster, base + i, task));
		} else if (task->attempt > 0) {
			cJSON_AddItemToArray(waiting, encode_number_pair(base + i, task->attempt));
		}
	}
	return object;
}

cJSON *fl_task_block_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                            uint32_t block_index, struct fl_task_range range)
{
	return encode_block(cluster, job, block_index, range, ALL_TASKS);
}

cJSON *fl_task_block_encode_unsaved(const struct fl_cluster *cluster, const struct fl_job *job,
                                    uint32_t block_index, struct fl_task_range range)
{
	return encode_block(cluster, job, block_index, range, UNSAVED_TASKS);
}

/*
 * Returns whether `state` is newer than `other`: DONE is final, attempt numbers only increase, and
 * within an attempt the release follows the placement.
 */
static bool task_state_is_newer(const struct fl_stored_task_state *state,
                                const struct fl_stored_task_state *other)
{
	if (state->phase == FL_TASK_DONE || other->phase == FL_TASK_DONE)
		return other->phase != FL_TASK_DONE;
	if (state->attempt != other->attempt)
		return state->attempt > other->attempt;
	return state->phase == FL_TASK_WAITING && other->phase == FL_TASK_PLACED;
}

/* Keeps the newer of a task's merged state and `state`; MALFORMED if the block has no such task. */
static enum fl_decode_result merge_task(struct fl_block_merge *merge, uint64_t index,
                                        const struct fl_stored_task_state *state)
{
	uint64_t base = (uint64_t)merge->block_index * FL_TASK_BLOCK_SIZE;
	struct fl_stored_task_state *newest;

	if (index < base || index >= base + FL_TASK_BLOCK_SIZE || index >= merge->job->task_count)
		return FL_DECODE_MALFORMED;
	newest = &merge->states[index - base];
	if (index - base >= merge->record_end)
		merge->record_end = (uint32_t)(index - base) + 1;
	if (task_state_is_newer(state, newest))
		*newest = *state;
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_range(const cJSON *item, uint64_t *first, uint64_t *last)
{
	if (fl_json_get_uint_at(item, 0, FL_TASKS_MAX, first) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 1, FL_TASKS_MAX, last) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

static enum fl_decode_result merge_done(struct fl_block_merge *merge, const cJSON *item)
{
	const struct fl_stored_task_state state = {.phase = FL_TASK_DONE, .source = merge->source};
	uint64_t first, last;

	if (decode_range(item, &first, &last) != FL_DECODE_OK)
		return FL_DECODE_MALFORMED;
	for (uint64_t i = first; i <= last; i++)
		if (merge_task(merge, i, &state) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

static enum fl_decode_result merge_waiting(struct fl_block_merge *merge, const cJSON *item)
{
	struct fl_stored_task_state state = {.phase = FL_TASK_WAITING, .source = merge->source};
	uint64_t index, attempt;

	if (fl_json_get_uint_at(item, 0, FL_TASKS_MAX, &index) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 1, UINT32_MAX, &attempt) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	state.attempt = (uint32_t)attempt;
	return merge_task(merge, index, &state);
}

static enum fl_decode_result merge_placed(struct fl_block_merge *merge, const cJSON *item)
{
	struct fl_stored_task_state state = {.phase = FL_TASK_PLACED, .source = merge->source};
	const cJSON *name = cJSON_GetArrayItem(item, 2);
	uint64_t index, attempt, placed = 0;

	if (fl_json_get_uint_at(item, 0, FL_TASKS_MAX, &index) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 1, UINT32_MAX, &attempt) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 3, FL_JSON_UINT_MAX, &state.incarnation) != FL_JSON_OK ||
	    /* Records of earlier versions have no time; the task then counts as placed now. */
	    fl_json_get_uint_at(item, 4, FL_JSON_UINT_MAX, &placed) == FL_JSON_INVALID ||
	    !cJSON_IsString(name) || strlen(name->valuestring) >= FL_NAME_MAX)
		return FL_DECODE_MALFORMED;
	state.attempt = (uint32_t)attempt;
	fl_copy_string(state.machine, sizeof(state.machine), name->valuestring);
	state.placed_wall = (double)placed;
	return merge_task(merge, index, &state);
}

/* Merges the task states of a progress record, or of a group of the log, into the block. */
static enum fl_decode_result merge_record(struct fl_block_merge *merge, const cJSON *value)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, fl_json_get(value, "d"))
		if (merge_done(merge, item) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
	cJSON_ArrayForEach (item, fl_json_get(value, "t"))
		if (merge_waiting(merge, item) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
	cJSON_ArrayForEach (item, fl_json_get(value, "m"))
		if (merge_placed(merge, item) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

static enum fl_decode_result restore_placed(struct fl_cluster *cluster, struct fl_job *job,
                                            uint32_t index,
                                            const struct fl_stored_task_state *state, double now)
{
	struct fl_recorded_attempt recorded = {
		.attempt = state->attempt,
		.machine = fl_machine_get_or_add(&cluster->machines, state->machine, now),
		.incarnation = state->incarnation,
		.placed_wall = state->placed_wall};

	if (!recorded.machine ||
	    fl_task_restore(cluster, job, index, &recorded, now) != FL_PLACE_OK)
		return FL_DECODE_NO_MEMORY;
	return FL_DECODE_OK;
}

static enum fl_decode_result restore_task(struct fl_cluster *cluster, struct fl_job *job,
                                          uint32_t index, const struct fl_stored_task_state *state,
                                          double now)
{
	struct fl_task *task = fl_task_get_or_alloc(job, index);
	enum fl_decode_result result = FL_DECODE_OK;

	if (!task || task->phase != FL_TASK_WAITING)
		return FL_DECODE_MALFORMED;
	switch (state->phase) {
	case FL_TASK_WAITING:
		task->attempt = state->attempt;
		break;
	case FL_TASK_PLACED:
		result = restore_placed(cluster, job, index, state, now);
		break;
	case FL_TASK_DONE:
		task->phase = FL_TASK_DONE;
		job->counts.waiting--;
		job->counts.done++;
		break;
	}
	if (result != FL_DECODE_OK)
		return result;
	/* The next write replaces the log, so it must include changes that no record holds yet. */
	if (state->source == FL_STATE_FROM_LOG)
		fl_task_mark_changed(cluster, job, index);
	return FL_DECODE_OK;
}

/* Merges the block's groups in the log, and marks them as restored. */
static enum fl_decode_result merge_log(struct fl_block_merge *merge, struct fl_wal *wal)
{
	int i = fl_wal_first_group(wal, merge->job->ref, merge->block_index);

	merge->source = FL_STATE_FROM_LOG;
	for (; i != FL_INDEX_NONE; i = wal->groups[i].next_of_block) {
		wal->groups[i].restored = true;
		if (merge_record(merge, wal->groups[i].changes) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
	}
	return FL_DECODE_OK;
}

void fl_block_merge_begin(struct fl_block_merge *merge, struct fl_job *job, uint32_t block_index)
{
	memset(merge, 0, sizeof(*merge));
	merge->job = job;
	merge->block_index = block_index;
}

enum fl_decode_result fl_block_merge_record(struct fl_block_merge *merge, int part_index,
                                            const cJSON *value, uint64_t revision)
{
	enum fl_decode_result result;

	merge->source = FL_STATE_FROM_RECORD;
	merge->record_end = 0;
	result = merge_record(merge, value);
	merge->mod_revisions[part_index] = revision;
	merge->record_ends[part_index] = merge->record_end;
	return result;
}

/*
 * Restores which parts have records. If the last leader ended between the writes of the two halves
 * of a part, the record of the first half still has tasks of the second one.
 */
static void restore_parts(const struct fl_block_merge *merge, struct fl_cluster *cluster,
                          struct fl_task_block *block)
{
	for (int i = 0; i < FL_BLOCK_PARTS_MAX; i++) {
		block->parts[i].mod_revision = merge->mod_revisions[i];
		block->parts[i].is_split_off = i > 0 && merge->mod_revisions[i] != 0;
	}
	for (int i = FL_BLOCK_PARTS_MAX; (i = fl_block_part_before(block, i)) >= 0;) {
		if (merge->record_ends[i] <= fl_block_part_range(block, i).end)
			continue;
		block->parts[i].must_rewrite = true;
		fl_job_mark_dirty(cluster, merge->job);
	}
}

enum fl_decode_result fl_block_merge_restore(struct fl_block_merge *merge,
                                             struct fl_cluster *cluster, struct fl_wal *wal,
                                             double now)
{
	uint32_t base = merge->block_index * FL_TASK_BLOCK_SIZE;
	enum fl_decode_result result = FL_DECODE_OK;
	struct fl_job *job = merge->job;

	if (merge->block_index >= job->block_count || !fl_task_get_or_alloc(job, base))
		return FL_DECODE_MALFORMED;
	restore_parts(merge, cluster, job->blocks[merge->block_index]);
	if (wal)
		result = merge_log(merge, wal);
	for (uint32_t i = 0; i < FL_TASK_BLOCK_SIZE && result == FL_DECODE_OK; i++)
		if (merge->states[i].phase != FL_TASK_WAITING || merge->states[i].attempt > 0)
			result = restore_task(cluster, job, base + i, &merge->states[i], now);
	return result;
}

enum fl_decode_result fl_task_block_restore(struct fl_cluster *cluster, struct fl_job *job,
                                            uint32_t block_index,
                                            const struct fl_task_block_source *source, double now)
{
	struct fl_block_merge merge;
	enum fl_decode_result result = FL_DECODE_OK;

	fl_block_merge_begin(&merge, job, block_index);
	if (source->value)
		result = fl_block_merge_record(&merge, 0, source->value, source->revision);
	return result == FL_DECODE_OK ? fl_block_merge_restore(&merge, cluster, source->wal, now)
	                              : result;
}

enum fl_decode_result fl_progress_record_add_counts(const cJSON *value, uint32_t *done,
                                                    uint32_t *placed)
{
	uint64_t first, last;
	const cJSON *item;

	cJSON_ArrayForEach (item, fl_json_get(value, "d")) {
		if (decode_range(item, &first, &last) != FL_DECODE_OK || last < first)
			return FL_DECODE_MALFORMED;
		*done += (uint32_t)(last - first) + 1;
	}
	*placed += (uint32_t)cJSON_GetArraySize(fl_json_get(value, "m"));
	return FL_DECODE_OK;
}
