#include "storage/progress_log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "storage/progress.h"
#include "transport/text.h"

struct log_key {
	char ref[FL_REF_MAX];
	uint32_t chunk;
};

/* The groups of one chunk: a list through their `next`. */
struct fl_log_chunk {
	UT_hash_handle hh;
	struct log_key key;
	int first, last;
};

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

/* The key is hashed and compared as bytes, so all of them are set. */
static struct fl_log_chunk *find_chunk(const struct fl_log *log, const char *ref, uint32_t chunk)
{
	struct fl_log_chunk *c;
	struct log_key key;

	memset(&key, 0, sizeof(key));
	fl_copy_string(key.ref, sizeof(key.ref), ref);
	key.chunk = chunk;
	HASH_FIND(hh, log->chunks, &key, sizeof(key), c);
	return c;
}

/* Appends the group at this index to the list of its chunk. */
static int index_group(struct fl_log *log, int at)
{
	struct fl_log_group *g = &log->at[at];
	struct fl_log_chunk *c = find_chunk(log, g->ref, g->chunk);

	if (c) {
		log->at[c->last].next = at;
		c->last = at;
		return 0;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		return -ENOMEM;
	fl_copy_string(c->key.ref, sizeof(c->key.ref), g->ref);
	c->key.chunk = g->chunk;
	c->first = c->last = at;
	HASH_ADD(hh, log->chunks, key, sizeof(c->key), c);
	return 0;
}

int fl_log_first(const struct fl_log *log, const char *ref, uint32_t chunk)
{
	const struct fl_log_chunk *c = find_chunk(log, ref, chunk);

	return c ? c->first : -1;
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
	*g = (struct fl_log_group){.chunk = (uint32_t)chunk, .next = -1};
	fl_copy_string(g->ref, sizeof(g->ref), ref->valuestring);
	g->changes = cJSON_Duplicate(changes, true);
	return g->changes ? index_group(log, log->n - 1) : -ENOMEM;
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
	struct fl_log_chunk *c, *tmp;

	HASH_ITER (hh, log->chunks, c, tmp) {
		HASH_DEL(log->chunks, c);
		free(c);
	}
	for (int i = 0; i < log->n; i++)
		cJSON_Delete(log->at[i].changes);
	free(log->at);
	memset(log, 0, sizeof(*log));
}
