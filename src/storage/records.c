#include "storage/records.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

void fl_key_job(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_JOBS "%s", ref);
}

void fl_key_finished(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_FINISHED "%s", ref);
}

void fl_key_chunk(char key[FL_KEY_MAX], const char *ref, uint32_t chunk)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_PROGRESS "%s/%u", ref, chunk);
}

int fl_key_chunk_parse(const char *key, char ref[FL_REF_MAX], uint32_t *chunk)
{
	size_t skip = strlen(FL_PREFIX_PROGRESS);
	const char *slash;
	char *end;

	if (strncmp(key, FL_PREFIX_PROGRESS, skip) != 0)
		return -EPROTO;
	slash = strchr(key + skip, '/');
	if (!slash || slash - key - (long)skip >= FL_REF_MAX)
		return -EPROTO;
	memcpy(ref, key + skip, (size_t)(slash - key) - skip);
	ref[(size_t)(slash - key) - skip] = 0;
	*chunk = (uint32_t)strtoul(slash + 1, &end, 10);
	return *end || !fl_ref_ok(ref) ? -EPROTO : 0;
}

cJSON *fl_job_record_live(const struct fl_job_spec *spec, double submitted)
{
	cJSON *o = fl_job_spec_encode(spec);

	cJSON_AddNumberToObject(o, "submitted", submitted);
	return o;
}

static cJSON *add_final(cJSON *o, enum fl_status status, uint32_t n_tasks)
{
	cJSON_AddStringToObject(o, "final", fl_status_name(status));
	cJSON_AddNumberToObject(o, "parts", n_tasks);
	return o;
}

cJSON *fl_job_record_final(enum fl_status status, uint32_t n_tasks)
{
	return add_final(cJSON_CreateObject(), status, n_tasks);
}

cJSON *fl_job_record_cancelled(const struct fl_job_spec *spec, double submitted, double cancelled)
{
	cJSON *o = add_final(fl_job_record_live(spec, submitted), FL_CANCELLED, spec->n_tasks);

	cJSON_AddNumberToObject(o, "cancelled", cancelled);
	return o;
}

void fl_job_describe(const struct fl_cluster *b, const struct fl_job *job, struct fl_job_spec *out)
{
	memset(out, 0, sizeof(*out));
	fl_copy_string(out->ref, sizeof(out->ref), job->ref);
	fl_copy_string(out->job_class, sizeof(out->job_class),
	               fl_names_at(&b->classes, job->job_class));
	fl_copy_string(out->team, sizeof(out->team), b->teams.at[job->team].name);
	fl_copy_string(out->image, sizeof(out->image), fl_names_at(&b->images, job->image));
	out->has_zone = job->zone >= 0;
	fl_copy_string(out->zone, sizeof(out->zone), fl_names_at(&b->zones, job->zone));
	out->n_machine_types = job->types == UINT32_MAX ? -1 : 0;
	for (int k = 0; out->n_machine_types >= 0 && k < b->machines.n_types; k++)
		if ((job->types >> k & 1) && out->n_machine_types < FL_ALLOWED_TYPES_MAX)
			fl_copy_string(out->machine_types[out->n_machine_types++], FL_NAME_MAX,
			               b->machines.types[k].name);
	out->kind = job->kind;
	out->priority = job->priority;
	out->n_tasks = job->n_tasks;
	out->cpus = job->cpus;
	out->gpus = job->gpus;
	out->ram_gb = job->ram_gb;
	out->image_gb = job->image_gb;
	out->expected_s = job->expected_s;
	out->checkpoint_every_s = job->checkpoint_every_s;
	out->checkpoint_cost_s = job->checkpoint_cost_s;
	out->due_s = job->due_s;
	out->together = job->together;
	out->apart = job->apart;
	out->reclaimable = job->reclaimable;
}

static int decode_final(const cJSON *v, const char *word, struct fl_job_record *out)
{
	uint64_t n_tasks;

	if (strcmp(word, fl_status_name(FL_DONE)) == 0)
		out->status = FL_DONE;
	else if (strcmp(word, fl_status_name(FL_CANCELLED)) == 0)
		out->status = FL_CANCELLED;
	else
		return -EPROTO;
	if (fl_json_count(v, "parts", &n_tasks) != FL_FIELD_OK || n_tasks > FL_TASKS_MAX)
		return -EPROTO;
	out->n_tasks = (uint32_t)n_tasks;
	return fl_json_amount(v, "cancelled", &out->cancelled) == FL_FIELD_BAD ? -EPROTO : 0;
}

int fl_job_record_decode(const cJSON *v, const char *ref, struct fl_job_record *out)
{
	enum fl_field final;
	char word[16];

	memset(out, 0, sizeof(*out));
	final = fl_json_str(v, "final", word, sizeof(word));
	if (final == FL_FIELD_BAD)
		return -EPROTO;
	out->final = final == FL_FIELD_OK;
	if (out->final && decode_final(v, word, out) != 0)
		return -EPROTO;
	/* One that is cancelled and cannot be read has tasks that nobody would count or stop. */
	out->has_spec = !out->final || fl_json_get(v, "Ref");
	if (!out->has_spec)
		return 0;
	if (fl_job_spec_decode(v, &out->spec) != NULL || strcmp(out->spec.ref, ref) != 0)
		return -EPROTO;
	if (!out->final)
		out->n_tasks = out->spec.n_tasks;
	return fl_json_amount(v, "submitted", &out->submitted) == FL_FIELD_OK ? 0 : -EPROTO;
}

int fl_records_read(struct fl_state *s, const char *ref, struct fl_job_record *rec, cJSON **v,
                    uint64_t *rev)
{
	char key[FL_KEY_MAX];
	cJSON *final = NULL;
	int rc;

	fl_key_job(key, ref);
	rc = fl_state_get(s, key, v, rev, NULL);
	if (rc != -ENOENT)
		return rc ? rc : fl_job_record_decode(*v, ref, rec);
	fl_key_finished(key, ref);
	rc = fl_state_get(s, key, &final, rev, NULL);
	if (!rc)
		rc = fl_job_record_decode(final, ref, rec);
	cJSON_Delete(final);
	return rc;
}

void fl_cluster_list_begin(struct fl_cluster *b)
{
	struct fl_job *job, *tmp;

	HASH_ITER (hh, b->jobs, job, tmp)
		job->listed = false;
}

void fl_cluster_list_end(struct fl_cluster *b, uint64_t rev)
{
	struct fl_job *job, *tmp;

	/* One that was stored after the list was made is not in it and not over. */
	HASH_ITER (hh, b->jobs, job, tmp)
		if (!job->listed && job->rev <= rev && job->n_placed == 0)
			fl_job_drop(b, job);
}

bool fl_cluster_cancelled(struct fl_cluster *b, struct fl_job *job, const struct fl_job_record *rec,
                          uint64_t rev)
{
	job->rev = rev;
	job->unsure = false;
	if (!rec->final || job->cancelled)
		return false;
	job->cancelled = true;
	job->cancelled_at = fl_since(rec->cancelled);
	fl_finished_add(b, job->ref, FL_CANCELLED, job->n_tasks, job->cancelled_at);
	return true;
}

struct fl_job *fl_cluster_apply(struct fl_cluster *b, const char *ref, const cJSON *value,
                                uint64_t rev)
{
	struct fl_job *job = fl_job_find(b, ref);
	struct fl_job_record rec;

	/*
	 * A leader's marks are its takeover's alone: a watch that lists anew or lags meanwhile must
	 * neither keep what the takeover's list no longer holds nor hide what it does.
	 */
	if (job && !b->leading)
		job->listed = true;
	if (job && !value && !b->leading && rev > job->rev)
		fl_job_drop(b, job);
	if (!value || fl_finished_find(b, ref))
		return NULL;
	/*
	 * A watch may lag behind the list that a leader began with: what the list no longer held is
	 * over, and a late word of its submission must not bring it back to life.
	 */
	if (!job && b->leading && rev <= b->list_rev)
		return NULL;
	if (job && rev <= job->rev)
		return job;
	if (fl_job_record_decode(value, ref, &rec) != 0) {
		fl_error("jobs", "the record of %s cannot be read", ref);
		return NULL;
	}
	if (!rec.final) {
		if (!job)
			job = fl_job_add(b, &rec.spec, rec.submitted, rev);
		if (!job)
			fl_error("jobs", "the record of %s names what is unknown here", ref);
		if (job && !b->leading)
			job->listed = true;
		return job;
	}
	/*
	 * A leader finalises when the tasks are gone. It must not take this for its own old news:
	 * while it was still loading its cluster state, another may have led and cancelled, and
	 * what was passed over then was kept as live by this node for ever.
	 */
	if (job && b->leading) {
		fl_cluster_cancelled(b, job, &rec, rev);
		return job;
	}
	if (job) {
		job->cancelled_at = fl_since(rec.cancelled);
		fl_job_finalise(b, job, rec.status);
	} else {
		fl_finished_add(b, ref, rec.status, rec.n_tasks, fl_since(rec.cancelled));
	}
	return NULL;
}

/*
 * {"d":[[first,last],...],"t":[[index,attempt],...],
 *  "m":[[index,attempt,machine,session,placed],...]}:
 * done ranges, waiting tasks that have used attempts, placed tasks with their wall time.
 */
static cJSON *encode(const struct fl_cluster *b, const struct fl_job *job, uint32_t chunk,
                     bool unsaved_only)
{
	const struct fl_chunk *c = job->chunks[chunk];
	uint32_t base = chunk * FL_CHUNK;
	cJSON *o = cJSON_CreateObject(), *d, *w, *m, *e;

	d = cJSON_AddArrayToObject(o, "d");
	w = cJSON_AddArrayToObject(o, "t");
	m = cJSON_AddArrayToObject(o, "m");
	for (uint32_t i = 0; i < FL_CHUNK && base + i < job->n_tasks; i++) {
		const struct fl_task *t = &c->task[i];

		if (unsaved_only && fl_task_saved(c, t))
			continue;
		if (t->phase == FL_TASK_DONE) {
			uint32_t last = i;

			/* What is done and saved already may stand in the log once more. */
			while (last + 1 < FL_CHUNK && c->task[last + 1].phase == FL_TASK_DONE)
				last++;
			e = cJSON_CreateArray();
			cJSON_AddItemToArray(e, cJSON_CreateNumber(base + i));
			cJSON_AddItemToArray(e, cJSON_CreateNumber(base + last));
			cJSON_AddItemToArray(d, e);
			i = last;
		} else if (t->phase == FL_TASK_PLACED) {
			e = cJSON_CreateArray();
			cJSON_AddItemToArray(e, cJSON_CreateNumber(base + i));
			cJSON_AddItemToArray(e, cJSON_CreateNumber(t->attempt));
			cJSON_AddItemToArray(e,
			                     cJSON_CreateString(b->machines.at[t->machine]->name));
			cJSON_AddItemToArray(e, cJSON_CreateNumber((double)t->session));
			cJSON_AddItemToArray(e, cJSON_CreateNumber(round(t->placed)));
			cJSON_AddItemToArray(m, e);
		} else if (t->attempt > 0) {
			e = cJSON_CreateArray();
			cJSON_AddItemToArray(e, cJSON_CreateNumber(base + i));
			cJSON_AddItemToArray(e, cJSON_CreateNumber(t->attempt));
			cJSON_AddItemToArray(w, e);
		}
	}
	return o;
}

cJSON *fl_chunk_encode(const struct fl_cluster *b, const struct fl_job *job, uint32_t chunk)
{
	return encode(b, job, chunk, false);
}

/* ["run-000412",3,{...}] */
char *fl_log_group_encode(const struct fl_cluster *b, const struct fl_job *job, uint32_t chunk)
{
	const struct fl_chunk *c = fl_job_chunk(job, chunk);
	cJSON *e;

	if (!c || c->gen <= c->saved_gen)
		return NULL;
	e = cJSON_CreateArray();
	cJSON_AddItemToArray(e, cJSON_CreateString(job->ref));
	cJSON_AddItemToArray(e, cJSON_CreateNumber(chunk));
	cJSON_AddItemToArray(e, encode(b, job, chunk, true));
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

/* What is written of one task. Of two such, the later one counts. */
struct said {
	enum fl_phase phase;
	uint32_t attempt;
	const char *machine; /* in the value it was read from */
	uint64_t session;
	double placed;
	bool logged; /* the log says so, and no record */
};

/* Done is for ever; attempts only rise; an attempt is placed first and let go of after. */
static bool later(const struct said *a, const struct said *b)
{
	if (a->phase == FL_TASK_DONE || b->phase == FL_TASK_DONE)
		return b->phase != FL_TASK_DONE;
	if (a->attempt != b->attempt)
		return a->attempt > b->attempt;
	return a->phase == FL_TASK_WAITING && b->phase == FL_TASK_PLACED;
}

static int hear(const struct fl_job *job, uint32_t chunk, struct said *said, uint64_t index,
                const struct said *what)
{
	if (index < (uint64_t)chunk * FL_CHUNK || index >= (uint64_t)(chunk + 1) * FL_CHUNK ||
	    index >= job->n_tasks)
		return -EPROTO;
	if (later(what, &said[index % FL_CHUNK]))
		said[index % FL_CHUNK] = *what;
	return 0;
}

static int read_placed(const cJSON *e, struct said *out, uint64_t *index)
{
	const cJSON *name = cJSON_GetArrayItem(e, 2);
	uint64_t attempt, placed = 0;

	if (fl_json_item(e, 0, FL_TASKS_MAX, index) != FL_FIELD_OK ||
	    fl_json_item(e, 1, UINT32_MAX, &attempt) != FL_FIELD_OK ||
	    fl_json_item(e, 3, FL_COUNT_MAX, &out->session) != FL_FIELD_OK ||
	    /* Records of earlier versions have no time: it counts as placed now. */
	    fl_json_item(e, 4, FL_COUNT_MAX, &placed) == FL_FIELD_BAD || !cJSON_IsString(name) ||
	    strlen(name->valuestring) >= FL_NAME_MAX)
		return -EPROTO;
	out->attempt = (uint32_t)attempt;
	out->machine = name->valuestring;
	out->placed = (double)placed;
	return 0;
}

static int read_said(const struct fl_job *job, uint32_t chunk, const cJSON *v, bool logged,
                     struct said *said)
{
	uint64_t first, last, attempt;
	const cJSON *e;
	int rc = 0;

	cJSON_ArrayForEach (e, fl_json_get(v, "d")) {
		struct said s = {.phase = FL_TASK_DONE, .logged = logged};

		if (fl_json_item(e, 0, FL_TASKS_MAX, &first) != FL_FIELD_OK ||
		    fl_json_item(e, 1, FL_TASKS_MAX, &last) != FL_FIELD_OK)
			return -EPROTO;
		for (uint64_t i = first; i <= last && !rc; i++)
			rc = hear(job, chunk, said, i, &s);
	}
	cJSON_ArrayForEach (e, fl_json_get(v, "t")) {
		struct said s = {.phase = FL_TASK_WAITING, .logged = logged};

		if (fl_json_item(e, 0, FL_TASKS_MAX, &first) != FL_FIELD_OK ||
		    fl_json_item(e, 1, UINT32_MAX, &attempt) != FL_FIELD_OK)
			return -EPROTO;
		s.attempt = (uint32_t)attempt;
		if (!rc)
			rc = hear(job, chunk, said, first, &s);
	}
	cJSON_ArrayForEach (e, fl_json_get(v, "m")) {
		struct said s = {.phase = FL_TASK_PLACED, .logged = logged};

		if (read_placed(e, &s, &first) != 0)
			return -EPROTO;
		if (!rc)
			rc = hear(job, chunk, said, first, &s);
	}
	return rc;
}

static int restore_task(struct fl_cluster *b, struct fl_job *job, uint32_t index,
                        const struct said *s, double now)
{
	struct fl_task *t = fl_task_get(job, index);
	struct fl_machine *m;

	if (!t || t->phase != FL_TASK_WAITING)
		return -EPROTO;
	if (s->phase == FL_TASK_PLACED) {
		m = fl_machine_get(&b->machines, s->machine, now);
		if (!m ||
		    fl_task_restore(b, job, index, s->attempt, m, s->session, s->placed, now) != 0)
			return -ENOMEM;
	} else if (s->phase == FL_TASK_DONE) {
		t->phase = FL_TASK_DONE;
		job->n_waiting--;
		job->n_done++;
	} else {
		t->attempt = s->attempt;
	}
	/* The next write of the log replaces this one: it must hold it, until the record does. */
	if (s->logged)
		fl_task_touch(b, job, index);
	return 0;
}

int fl_chunk_restore(struct fl_cluster *b, struct fl_job *job, uint32_t chunk, const cJSON *v,
                     uint64_t rev, struct fl_log *log, double now)
{
	struct said said[FL_CHUNK];
	uint32_t base = chunk * FL_CHUNK;
	int rc;

	memset(said, 0, sizeof(said));
	if (chunk >= job->n_chunks || !fl_task_get(job, base))
		return -EPROTO;
	rc = read_said(job, chunk, v, false, said);
	for (int i = 0; log && i < log->n && !rc; i++) {
		struct fl_log_group *g = &log->at[i];

		if (g->chunk != chunk || strcmp(g->ref, job->ref) != 0)
			continue;
		g->taken = true;
		rc = read_said(job, chunk, g->changes, true, said);
	}
	for (uint32_t i = 0; i < FL_CHUNK && !rc; i++)
		if (said[i].phase != FL_TASK_WAITING || said[i].attempt > 0)
			rc = restore_task(b, job, base + i, &said[i], now);
	job->chunks[chunk]->rev = rev;
	return rc;
}

int fl_chunk_count(const cJSON *v, uint32_t *done, uint32_t *placed)
{
	uint64_t first, last;
	const cJSON *e;

	cJSON_ArrayForEach (e, fl_json_get(v, "d")) {
		if (fl_json_item(e, 0, FL_TASKS_MAX, &first) != FL_FIELD_OK ||
		    fl_json_item(e, 1, FL_TASKS_MAX, &last) != FL_FIELD_OK || last < first)
			return -EPROTO;
		*done += (uint32_t)(last - first) + 1;
	}
	*placed += (uint32_t)cJSON_GetArraySize(fl_json_get(v, "m"));
	return 0;
}

void fl_budget_init(struct fl_budget *b, double rate, double burst, double now)
{
	b->rate = rate;
	b->burst = burst;
	b->have = burst;
	b->at = now;
}

double fl_budget_left(struct fl_budget *b, double now)
{
	if (now > b->at)
		b->have += (now - b->at) * b->rate;
	if (b->have > b->burst)
		b->have = b->burst;
	b->at = now;
	return b->have;
}

double fl_budget_take(struct fl_budget *b, double n, double now)
{
	fl_budget_left(b, now);
	/* A hair short counts as there: the wait for it could be too short to move a clock. */
	if (b->have >= n - 1e-9 || b->have >= b->burst) {
		b->have -= n;
		return 0;
	}
	return (n - b->have) / b->rate;
}
