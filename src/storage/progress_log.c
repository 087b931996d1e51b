#include "storage/progress_log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "storage/progress.h"
#include "transport/text.h"

/* A group: ["run-000412",3,{...}] */
char *fl_log_group_encode(const struct fl_cluster *b, const struct fl_job *job, uint32_t chunk)
{
	const struct fl_chunk *c = fl_job_chunk(job, chunk);
	cJSON *e;

	if (!c || c->gen <= c->saved_gen)
		return NULL;
	e = cJSON_CreateArray();
	cJSON_AddItemToArray(e, cJSON_CreateString(job->ref));
	cJSON_AddItemToArray(e, cJSON_CreateNumber(chunk));
	cJSON_AddItemToArray(e, fl_chunk_encode_unsaved(b, job, chunk));
	return fl_json_take(e);
}

cJSON *fl_log_value_begin(void)
{
	cJSON *o = cJSON_CreateObject();

	cJSON_AddArrayToObject(o, "log");
	return o;
}

void fl_log_value_add(cJSON *value, const char *group)
{
	cJSON_AddItemToArray(cJSON_GetObjectItemCaseSensitive(value, "log"),
	                     cJSON_CreateRaw(group));
}

static int read_group(struct fl_log *log, const cJSON *e)
{
	const cJSON *ref = cJSON_GetArrayItem(e, 0), *changes = cJSON_GetArrayItem(e, 2);
	struct fl_log_group *g;
	uint64_t chunk;

	if (!cJSON_IsString(ref) || strlen(ref->valuestring) >= FL_REF_MAX ||
	    !fl_ref_ok(ref->valuestring) ||
	    fl_json_item(e, 1, FL_TASKS_MAX / FL_CHUNK + 1, &chunk) != FL_FIELD_OK ||
	    !cJSON_IsObject(changes))
		return -EPROTO;
	if (log->n == log->cap) {
		int cap = log->cap ? 2 * log->cap : 64;

		g = realloc(log->at, (size_t)cap * sizeof(*g));
		if (!g)
			return -ENOMEM;
		log->at = g;
		log->cap = cap;
	}
	g = &log->at[log->n++];
	*g = (struct fl_log_group){.chunk = (uint32_t)chunk};
	fl_copy_string(g->ref, sizeof(g->ref), ref->valuestring);
	g->changes = cJSON_Duplicate(changes, true);
	return g->changes ? 0 : -ENOMEM;
}

int fl_log_read(struct fl_log *log, const cJSON *value)
{
	const cJSON *list = fl_json_get(value, "log"), *e;

	if (!cJSON_IsArray(list))
		return -EPROTO;
	cJSON_ArrayForEach (e, list) {
		int rc = read_group(log, e);

		if (rc)
			return rc;
	}
	return 0;
}

void fl_log_free(struct fl_log *log)
{
	for (int i = 0; i < log->n; i++)
		cJSON_Delete(log->at[i].changes);
	free(log->at);
	memset(log, 0, sizeof(*log));
}
