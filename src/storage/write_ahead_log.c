#include "storage/write_ahead_log.h"

#include <stdlib.h>
#include <string.h>

#include "storage/progress_records.h"
#include "transport/text.h"

enum { INITIAL_GROUP_CAPACITY = 64 };

struct wal_block_key {
	char ref[FL_REF_MAX];
	uint32_t block_index;
};

/* The groups of one block, linked by `next_of_block`. */
struct fl_wal_block {
	UT_hash_handle hh;
	struct wal_block_key key;
	int first, last;
};

static bool has_unsaved_task(const struct fl_task_block *block, struct fl_task_range range)
{
	for (uint32_t i = range.first; i < range.end; i++)
		if (!fl_task_change_is_saved(block, &block->tasks[i]))
			return true;
	return false;
}

/* Encodes a group as [job id, block index, changes], e.g. ["run-000412",3,{...}]. */
char *fl_wal_group_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                          uint32_t block_index, struct fl_task_range range)
{
	const struct fl_task_block *block = fl_job_task_block(job, block_index);
	cJSON *item;

	if (!block || !has_unsaved_task(block, range))
		return NULL;
	item = cJSON_CreateArray();
	cJSON_AddItemToArray(item, cJSON_CreateString(job->ref));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(block_index));
	cJSON_AddItemToArray(item, fl_task_block_encode_unsaved(cluster, job, block_index, range));
	return fl_json_print_and_delete(item);
}

cJSON *fl_wal_value_create(void)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddArrayToObject(object, "log");
	return object;
}

void fl_wal_value_add_group(cJSON *value, const char *group)
{
	cJSON_AddItemToArray(cJSON_GetObjectItemCaseSensitive(value, "log"),
	                     cJSON_CreateRaw(group));
}

/* Finds a block's groups. The key is hashed and compared bytewise, so all its bytes are set. */
static struct fl_wal_block *find_block(const struct fl_wal *wal, const char *ref,
                                       uint32_t block_index)
{
	struct fl_wal_block *block;
	struct wal_block_key key;

	memset(&key, 0, sizeof(key));
	fl_copy_string(key.ref, sizeof(key.ref), ref);
	key.block_index = block_index;
	HASH_FIND(hh, wal->blocks, &key, sizeof(key), block);
	return block;
}

/* Appends the group with this index to its block's list; returns false if out of memory. */
static bool append_to_block_list(struct fl_wal *wal, int index)
{
	struct fl_wal_group *group = &wal->groups[index];
	struct fl_wal_block *block = find_block(wal, group->ref, group->block_index);

	if (block) {
		wal->groups[block->last].next_of_block = index;
		block->last = index;
		return true;
	}
	block = calloc(1, sizeof(*block));
	if (!block)
		return false;
	fl_copy_string(block->key.ref, sizeof(block->key.ref), group->ref);
	block->key.block_index = group->block_index;
	block->first = block->last = index;
	HASH_ADD(hh, wal->blocks, key, sizeof(block->key), block);
	return true;
}

int fl_wal_first_group(const struct fl_wal *wal, const char *ref, uint32_t block_index)
{
	const struct fl_wal_block *block = find_block(wal, ref, block_index);

	return block ? block->first : FL_INDEX_NONE;
}

/* Adds a group with a copy of its changes; returns false if out of memory. */
static bool add_group(struct fl_wal *wal, const struct fl_wal_group *group)
{
	struct fl_wal_group *groups =
		fl_array_grow(wal->groups, wal->group_count, &wal->group_capacity, sizeof(*groups),
	                      INITIAL_GROUP_CAPACITY);
	int index = wal->group_count;

	if (!groups)
		return false;
	wal->groups = groups;
	groups[index] = *group;
	groups[index].changes = cJSON_Duplicate(group->changes, true);
	wal->group_count++;
	return groups[index].changes && append_to_block_list(wal, index);
}

static enum fl_decode_result read_group(struct fl_wal *wal, const cJSON *item)
{
	struct fl_wal_group group = {.changes = cJSON_GetArrayItem(item, 2),
	                             .next_of_block = FL_INDEX_NONE};
	uint64_t block_index;

	if (!fl_job_ref_decode(cJSON_GetArrayItem(item, 0), group.ref) ||
	    fl_json_get_uint_at(item, 1, FL_TASKS_MAX / FL_TASK_BLOCK_SIZE + 1, &block_index) !=
	            FL_JSON_OK ||
	    !cJSON_IsObject(group.changes))
		return FL_DECODE_MALFORMED;
	group.block_index = (uint32_t)block_index;
	return add_group(wal, &group) ? FL_DECODE_OK : FL_DECODE_NO_MEMORY;
}

enum fl_decode_result fl_wal_read_value(struct fl_wal *wal, const cJSON *value)
{
	const cJSON *list = fl_json_get(value, "log"), *item;

	if (!cJSON_IsArray(list))
		return FL_DECODE_MALFORMED;
	cJSON_ArrayForEach (item, list) {
		enum fl_decode_result result = read_group(wal, item);

		if (result != FL_DECODE_OK)
			return result;
	}
	return FL_DECODE_OK;
}

void fl_wal_free(struct fl_wal *wal)
{
	struct fl_wal_block *block, *next;

	HASH_ITER (hh, wal->blocks, block, next) {
		HASH_DEL(wal->blocks, block);
		free(block);
	}
	for (int i = 0; i < wal->group_count; i++)
		cJSON_Delete(wal->groups[i].changes);
	free(wal->groups);
	memset(wal, 0, sizeof(*wal));
}
