#include "protocol/heartbeat_digests.h"

#include <stdlib.h>
#include <string.h>

static cJSON *encode_task(const struct fl_task_status *status)
{
	cJSON *entry = cJSON_CreateArray();

	cJSON_AddItemToArray(entry, cJSON_CreateString(status->ref));
	cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->index));
	cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->attempt));
	cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->state));
	if (status->state == FL_TASK_STATE_EXITED)
		cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->exit_reason));
	return entry;
}

/* The index of the tasks in the array that a heartbeat is encoded as. */
enum { TASKS_INDEX = 5 };

/*
 * Format: [host,incarnation,sequence,fencing token,interruption_in_s,
 *          [[ref,index,attempt,state,exit reason],...]]; the exit reason only of an exited task.
 * With null in place of the tasks, nothing is known of them; earlier versions skip such an entry.
 */
char *fl_cached_heartbeat_encode(const struct fl_heartbeat *heartbeat)
{
	cJSON *item = cJSON_CreateArray(), *tasks = cJSON_CreateArray();

	cJSON_AddItemToArray(item, cJSON_CreateString(heartbeat->host));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)heartbeat->incarnation));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)heartbeat->sequence));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)heartbeat->fencing_token));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(heartbeat->interruption_in_s));
	for (int i = 0; i < heartbeat->task_count; i++)
		cJSON_AddItemToArray(tasks, encode_task(&heartbeat->tasks[i]));
	cJSON_AddItemToArray(item, tasks);
	return fl_json_print_and_delete(item);
}

char *fl_cached_heartbeat_without_tasks(const char *encoded_heartbeat)
{
	cJSON *item = fl_json_parse(encoded_heartbeat, strlen(encoded_heartbeat));

	if (!item)
		return NULL;
	cJSON_ReplaceItemInArray(item, TASKS_INDEX, cJSON_CreateNull());
	return fl_json_print_and_delete(item);
}

static enum fl_decode_result decode_task(const cJSON *entry, struct fl_task_status *status)
{
	uint64_t index, attempt, state, reason = FL_EXIT_OTHER;

	if (!fl_job_ref_decode(cJSON_GetArrayItem(entry, 0), status->ref) ||
	    fl_json_get_uint_at(entry, 1, FL_TASKS_MAX - 1, &index) != FL_JSON_OK ||
	    fl_json_get_uint_at(entry, 2, UINT32_MAX, &attempt) != FL_JSON_OK ||
	    fl_json_get_uint_at(entry, 3, FL_TASK_STATE_AWAITING_GANG, &state) != FL_JSON_OK ||
	    fl_json_get_uint_at(entry, 4, FL_EXIT_OTHER, &reason) == FL_JSON_INVALID)
		return FL_DECODE_MALFORMED;
	status->index = (uint32_t)index;
	status->attempt = (uint32_t)attempt;
	status->state = (enum fl_task_state)state;
	status->exit_reason = (enum fl_exit_reason)reason;
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_tasks(const cJSON *tasks, struct fl_heartbeat *out)
{
	const cJSON *entry;

	out->tasks_omitted = cJSON_IsNull(tasks);
	if (!cJSON_IsArray(tasks) && !out->tasks_omitted)
		return FL_DECODE_MALFORMED;
	out->tasks = calloc((size_t)cJSON_GetArraySize(tasks) + 1, sizeof(*out->tasks));
	if (!out->tasks)
		return FL_DECODE_NO_MEMORY;
	cJSON_ArrayForEach (entry, tasks) {
		if (decode_task(entry, &out->tasks[out->task_count]) != FL_DECODE_OK) {
			fl_heartbeat_free(out);
			return FL_DECODE_MALFORMED;
		}
		out->task_count++;
	}
	return FL_DECODE_OK;
}

enum fl_decode_result fl_cached_heartbeat_decode(const cJSON *item, struct fl_heartbeat *out)
{
	const cJSON *interruption = cJSON_GetArrayItem(item, 4);

	memset(out, 0, sizeof(*out));
	if (fl_json_read_string(cJSON_GetArrayItem(item, 0), out->host, sizeof(out->host)) !=
	            FL_JSON_OK ||
	    !out->host[0] ||
	    fl_json_get_uint_at(item, 1, FL_JSON_UINT_MAX, &out->incarnation) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 2, FL_JSON_UINT_MAX, &out->sequence) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 3, FL_JSON_UINT_MAX, &out->fencing_token) != FL_JSON_OK ||
	    !cJSON_IsNumber(interruption))
		return FL_DECODE_MALFORMED;
	out->interruption_in_s = interruption->valuedouble >= 0 ? interruption->valuedouble : -1;
	return decode_tasks(cJSON_GetArrayItem(item, TASKS_INDEX), out);
}

cJSON *fl_digest_create(uint64_t fencing_token)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddNumberToObject(object, "epoch", (double)fencing_token);
	cJSON_AddArrayToObject(object, "kept");
	return object;
}

void fl_digest_add_heartbeat(cJSON *digest, const char *encoded_heartbeat)
{
	cJSON_AddItemToArray(cJSON_GetObjectItemCaseSensitive(digest, "kept"),
	                     cJSON_CreateRaw(encoded_heartbeat));
}

const cJSON *fl_digest_heartbeats(const cJSON *digest) { return fl_json_get(digest, "kept"); }
