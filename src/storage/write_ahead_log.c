#include "storage/write_ahead_log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "storage/progress_records.h"
#include "transport/text.h"

struct wal_block_key {
	char ref[FL_REF_MAX];
	uint32_t block_index;
};

/* The groups of one chunk: a list through their `next_of_block`. */
struct fl_wal_block {
	UT_hash_handle hh;
	struct wal_block_key key;
	int first, last;
};

/* A group: ["run-000412",3,{...}] */
char *fl_wal_group_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                          uint32_t block_index)
{
	const struct fl_task_block *block = fl_job_task_block(job, block_index);
	cJSON *item;

	if (!block || block->generation <= block->saved_generation)
		return NULL;
	item = cJSON_CreateArray();
	cJSON_AddItemToArray(item, cJSON_CreateString(job->ref));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(block_index));
	cJSON_AddItemToArray(item, fl_task_block_encode_unsaved(cluster, job, block_index));
	return fl_json_print_and_delete(item);
}

cJSON *fl_wal_value_begin(void)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddArrayToObject(object, "log");
	return object;
}

void fl_wal_value_add(cJSON *value, const char *group)
{
	cJSON_AddItemToArray(cJSON_GetObjectItemCaseSensitive(value, "log"),
	                     cJSON_CreateRaw(group));
}

/* The key is hashed and compared as bytes, so all of them are set. */
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

/* Appends the group at this index to the list of its chunk. */
static int index_group(struct fl_wal *wal, int at)
{
	struct fl_wal_group *group = &wal->groups[at];
	struct fl_wal_block *block = find_block(wal, group->ref, group->block_index);

	if (block) {
		wal->groups[block->last].next_of_block = at;
		block->last = at;
		return 0;
	}
	block = calloc(1, sizeof(*block));
	if (!block)
		return -ENOMEM;
	fl_copy_string(block->key.ref, sizeof(block->key.ref), group->ref);
	block->key.block_index = group->block_index;
	block->first = block->last = at;
	HASH_ADD(hh, wal->blocks, key, sizeof(block->key), block);
	return 0;
}

int fl_wal_first(const struct fl_wal *wal, const char *ref, uint32_t block_index)
{
	const struct fl_wal_block *block = find_block(wal, ref, block_index);

	return block ? block->first : -1;
}

static int read_group(struct fl_wal *wal, const cJSON *item)
{
	const cJSON *ref = cJSON_GetArrayItem(item, 0), *changes = cJSON_GetArrayItem(item, 2);
	struct fl_wal_group *group;
	uint64_t block_index;

	if (!cJSON_IsString(ref) || strlen(ref->valuestring) >= FL_REF_MAX ||
	    !fl_job_ref_is_valid(ref->valuestring) ||
	    fl_json_get_item(item, 1, FL_TASKS_MAX / FL_TASK_BLOCK_SIZE + 1, &block_index) !=
	            FL_JSON_OK ||
	    !cJSON_IsObject(changes))
		return -EPROTO;
	if (wal->group_count == wal->group_capacity) {
		int cap = wal->group_capacity ? 2 * wal->group_capacity : 64;

		group = realloc(wal->groups, (size_t)cap * sizeof(*group));
		if (!group)
			return -ENOMEM;
		wal->groups = group;
		wal->group_capacity = cap;
	}
	group = &wal->groups[wal->group_count++];
	*group = (struct fl_wal_group){.block_index = (uint32_t)block_index, .next_of_block = -1};
	fl_copy_string(group->ref, sizeof(group->ref), ref->valuestring);
	group->changes = cJSON_Duplicate(changes, true);
	return group->changes ? index_group(wal, wal->group_count - 1) : -ENOMEM;
}

int fl_wal_read(struct fl_wal *wal, const cJSON *value)
{
	const cJSON *list = fl_json_get(value, "log"), *item;

	if (!cJSON_IsArray(list))
		return -EPROTO;
	cJSON_ArrayForEach (item, list) {
		int rc = read_group(wal, item);

		if (rc)
			return rc;
	}
	return 0;
}

void fl_wal_free(struct fl_wal *wal)
{
	struct fl_wal_block *block, *tmp;

	HASH_ITER (hh, wal->blocks, block, tmp) {
		HASH_DEL(wal->blocks, block);
		free(block);
	}
	for (int i = 0; i < wal->group_count; i++)
		cJSON_Delete(wal->groups[i].changes);
	free(wal->groups);
	memset(wal, 0, sizeof(*wal));
}
