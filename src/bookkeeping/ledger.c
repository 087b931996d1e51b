#include "bookkeeping/ledger.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void fl_key_job(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_JOBS "%s", ref);
}

void fl_key_final(char key[FL_KEY_MAX], const char *ref)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_FINALS "%s", ref);
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

cJSON *fl_job_record_live(const struct fl_run *run, double submitted)
{
	cJSON *o = fl_run_encode(run);

	cJSON_AddNumberToObject(o, "submitted", submitted);
	return o;
}

cJSON *fl_job_record_final(enum fl_status status, uint32_t parts, const struct fl_run *run,
                           double submitted)
{
	cJSON *o = run ? fl_job_record_live(run, submitted) : cJSON_CreateObject();

	cJSON_AddStringToObject(o, "final", fl_status_name(status));
	cJSON_AddNumberToObject(o, "parts", parts);
	return o;
}

void fl_job_describe(const struct fl_books *b, const struct fl_job *job, struct fl_run *out)
{
	memset(out, 0, sizeof(*out));
	strcpy(out->ref, job->ref);
	strcpy(out->job_class, fl_names_at(&b->classes, job->job_class));
	strcpy(out->owner, b->teams.at[job->owner].name);
	strcpy(out->bundle, fl_names_at(&b->bundles, job->bundle));
	out->has_site = job->site >= 0;
	strcpy(out->site, fl_names_at(&b->zones, job->site));
	out->n_host_kinds = job->kinds == UINT32_MAX ? -1 : 0;
	for (int k = 0; out->n_host_kinds >= 0 && k < b->machines.n_kinds; k++)
		if ((job->kinds >> k & 1) && out->n_host_kinds < FL_KINDS_MAX)
			strcpy(out->host_kinds[out->n_host_kinds++], b->machines.kinds[k].name);
	out->kind = job->kind;
	out->tier = job->tier;
	out->parts = job->parts;
	out->cpus = job->cpus;
	out->gpus = job->gpus;
	out->ram_gb = job->ram_gb;
	out->image_gb = job->image_gb;
	out->expected_s = job->expected_s;
	out->snapshot_every_s = job->snapshot_every_s;
	out->snapshot_cost_s = job->snapshot_cost_s;
	out->due_s = job->due_s;
	out->together = job->together;
	out->apart = job->apart;
	out->reclaimable = job->reclaimable;
}

int fl_job_record_decode(const cJSON *v, struct fl_job_record *out)
{
	char word[16];
	uint64_t parts;

	memset(out, 0, sizeof(*out));
	if (fl_json_str(v, "final", word, sizeof(word)) == FL_FIELD_OK) {
		out->final = true;
		out->status = strcmp(word, fl_status_name(FL_DONE)) == 0 ? FL_DONE : FL_ABORTED;
		if (fl_json_count(v, "parts", &parts) != FL_FIELD_OK || parts > FL_PARTS_MAX)
			return -EPROTO;
		out->parts = (uint32_t)parts;
		out->has_run = fl_json_get(v, "Ref") && fl_run_decode(v, &out->run) == NULL;
		fl_json_amount(v, "submitted", &out->submitted);
		return 0;
	}
	if (fl_run_decode(v, &out->run) != NULL)
		return -EPROTO;
	out->has_run = true;
	out->parts = out->run.parts;
	return fl_json_amount(v, "submitted", &out->submitted) == FL_FIELD_OK ? 0 : -EPROTO;
}

int fl_ledger_read(struct fl_state *s, const char *ref, struct fl_job_record *rec, cJSON **v,
                   uint64_t *rev)
{
	char key[FL_KEY_MAX];
	cJSON *final = NULL;
	int rc;

	fl_key_job(key, ref);
	rc = fl_state_get(s, key, v, rev, NULL);
	if (rc != -ENOENT)
		return rc ? rc : fl_job_record_decode(*v, rec);
	fl_key_final(key, ref);
	rc = fl_state_get(s, key, &final, rev, NULL);
	if (!rc)
		rc = fl_job_record_decode(final, rec);
	cJSON_Delete(final);
	return rc;
}

void fl_books_list_begin(struct fl_books *b)
{
	struct fl_job *job, *tmp;

	HASH_ITER (hh, b->jobs, job, tmp)
		job->listed = false;
}

void fl_books_list_end(struct fl_books *b, uint64_t rev)
{
	struct fl_job *job, *tmp;

	/* One that was stored after the list was made is not in it and not over. */
	HASH_ITER (hh, b->jobs, job, tmp)
		if (!job->listed && job->rev <= rev && job->n_placed == 0)
			fl_job_drop(b, job);
}

struct fl_job *fl_books_apply(struct fl_books *b, const char *ref, const cJSON *value, uint64_t rev)
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
	if (!value || fl_final_find(b, ref))
		return NULL;
	/*
	 * A watch may lag behind the list that a leader began with: what the list no longer held is
	 * over, and a late word of its submission must not bring it back to life.
	 */
	if (!job && b->leading && rev <= b->list_rev)
		return NULL;
	if (job && rev <= job->rev)
		return job;
	if (fl_job_record_decode(value, &rec) != 0)
		return NULL;
	if (!rec.final) {
		if (!job)
			job = fl_job_add(b, &rec.run, rec.submitted, rev);
		if (job && !b->leading)
			job->listed = true;
		return job;
	}
	/* A leader meets its own final writes again here; it finalises when the tasks are gone. */
	if (job && b->leading)
		return job;
	if (job)
		fl_job_finalise(b, job, rec.status);
	else
		fl_final_add(b, ref, rec.status, rec.parts);
	return NULL;
}

/*
 * {"d":[[first,last],...],"t":[[index,attempt],...],
 *  "m":[[index,attempt,machine,tenure,placed],...]}:
 * done ranges, waiting tasks that have used attempts, placed tasks with their wall time.
 */
cJSON *fl_chunk_encode(const struct fl_books *b, const struct fl_job *job, uint32_t chunk)
{
	const struct fl_chunk *c = job->chunks[chunk];
	uint32_t base = chunk * FL_CHUNK;
	cJSON *o = cJSON_CreateObject(), *d, *w, *m, *e;

	d = cJSON_AddArrayToObject(o, "d");
	w = cJSON_AddArrayToObject(o, "t");
	m = cJSON_AddArrayToObject(o, "m");
	for (uint32_t i = 0; i < FL_CHUNK && base + i < job->parts; i++) {
		const struct fl_task *t = &c->task[i];

		if (t->phase == FL_TASK_DONE) {
			uint32_t last = i;

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
			cJSON_AddItemToArray(e, cJSON_CreateNumber((double)t->tenure));
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

static bool item_number(const cJSON *e, int at, double max, double *out)
{
	const cJSON *n = cJSON_GetArrayItem(e, at);

	if (!cJSON_IsNumber(n) || !(n->valuedouble >= 0) || n->valuedouble > max)
		return false;
	*out = n->valuedouble;
	return true;
}

static int restore_placed(struct fl_books *b, struct fl_job *job, const cJSON *e, double now)
{
	const cJSON *name = cJSON_GetArrayItem(e, 2);
	double index, attempt, tenure, placed = 0;
	struct fl_machine *m;

	if (!item_number(e, 0, job->parts - 1, &index) ||
	    !item_number(e, 1, UINT32_MAX, &attempt) || !item_number(e, 3, 9e15, &tenure) ||
	    !cJSON_IsString(name) || strlen(name->valuestring) >= FL_NAME_MAX)
		return -EPROTO;
	/* Records of earlier versions have no time: it counts as placed now. */
	if (cJSON_GetArraySize(e) > 4 && !item_number(e, 4, 9e15, &placed))
		return -EPROTO;
	m = fl_machine_get(&b->machines, name->valuestring, now);
	if (!m)
		return -ENOMEM;
	return fl_task_restore(b, job, (uint32_t)index, (uint32_t)attempt, m, (uint64_t)tenure,
	                       placed, now);
}

int fl_chunk_restore(struct fl_books *b, struct fl_job *job, uint32_t chunk, const cJSON *v,
                     uint64_t rev, double now)
{
	double first, last, attempt;
	struct fl_chunk *c;
	const cJSON *e;

	if (chunk >= job->n_chunks || !fl_task_get(job, chunk * FL_CHUNK))
		return -EPROTO;
	c = job->chunks[chunk];
	cJSON_ArrayForEach (e, fl_json_get(v, "d")) {
		if (!item_number(e, 0, job->parts - 1, &first) ||
		    !item_number(e, 1, job->parts - 1, &last))
			return -EPROTO;
		for (uint32_t i = (uint32_t)first; i <= (uint32_t)last; i++) {
			struct fl_task *t = fl_task_get(job, i);

			if (!t || t->phase != FL_TASK_WAITING)
				return -EPROTO;
			t->phase = FL_TASK_DONE;
			job->n_waiting--;
			job->n_done++;
		}
	}
	cJSON_ArrayForEach (e, fl_json_get(v, "t")) {
		struct fl_task *t;

		if (!item_number(e, 0, job->parts - 1, &first) ||
		    !item_number(e, 1, UINT32_MAX, &attempt))
			return -EPROTO;
		t = fl_task_get(job, (uint32_t)first);
		if (!t)
			return -ENOMEM;
		t->attempt = (uint32_t)attempt;
	}
	cJSON_ArrayForEach (e, fl_json_get(v, "m")) {
		int rc = restore_placed(b, job, e, now);

		if (rc)
			return rc;
	}
	c->rev = rev;
	return 0;
}

int fl_chunk_count(const cJSON *v, uint32_t *done, uint32_t *placed)
{
	double first, last;
	const cJSON *e;

	cJSON_ArrayForEach (e, fl_json_get(v, "d")) {
		if (!item_number(e, 0, FL_PARTS_MAX, &first) ||
		    !item_number(e, 1, FL_PARTS_MAX, &last) || last < first)
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

double fl_budget_take(struct fl_budget *b, double n, double now)
{
	if (now > b->at)
		b->have += (now - b->at) * b->rate;
	if (b->have > b->burst)
		b->have = b->burst;
	b->at = now;
	/* A hair short counts as there: the wait for it could be too short to move a clock. */
	if (b->have >= n - 1e-9 || b->have >= b->burst) {
		b->have -= n;
		return 0;
	}
	return (n - b->have) / b->rate;
}
