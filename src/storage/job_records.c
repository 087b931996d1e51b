#include "storage/job_records.h"

#include <string.h>

#include "storage/keys.h"
#include "transport/text.h"

cJSON *fl_job_record_encode_live(const struct fl_job_spec *spec, double submitted_wall)
{
	cJSON *object = fl_job_spec_encode(spec);

	cJSON_AddNumberToObject(object, "submitted", submitted_wall);
	return object;
}

static cJSON *add_final_fields(cJSON *object, enum fl_job_status status, uint32_t task_count)
{
	cJSON_AddStringToObject(object, "final", fl_job_status_name(status));
	cJSON_AddNumberToObject(object, "parts", task_count);
	return object;
}

cJSON *fl_job_record_encode_final(enum fl_job_status status, uint32_t task_count)
{
	return add_final_fields(cJSON_CreateObject(), status, task_count);
}

cJSON *fl_job_record_encode_cancelled(const struct fl_job_spec *spec, double submitted_wall,
                                      double cancelled_wall)
{
	cJSON *object = add_final_fields(fl_job_record_encode_live(spec, submitted_wall),
	                                 FL_CANCELLED, spec->task_count);

	cJSON_AddNumberToObject(object, "cancelled", cancelled_wall);
	return object;
}

static void describe_machine_types(const struct fl_cluster *cluster, const struct fl_job *job,
                                   struct fl_job_spec *out)
{
	if (job->allowed_type_mask == UINT32_MAX) {
		out->machine_type_count = FL_ANY_MACHINE_TYPE;
		return;
	}
	out->machine_type_count = 0;
	for (int i = 0; i < cluster->machines.type_count; i++)
		if ((job->allowed_type_mask >> i & 1) &&
		    out->machine_type_count < FL_ALLOWED_TYPES_MAX)
			fl_copy_string(out->machine_types[out->machine_type_count++], FL_NAME_MAX,
			               cluster->machines.types[i].name);
}

void fl_job_to_spec(const struct fl_cluster *cluster, const struct fl_job *job,
                    struct fl_job_spec *out)
{
	memset(out, 0, sizeof(*out));
	fl_copy_string(out->ref, sizeof(out->ref), job->ref);
	fl_copy_string(out->job_class, sizeof(out->job_class),
	               fl_symbol_name(&cluster->classes, job->job_class));
	fl_copy_string(out->team, sizeof(out->team), cluster->teams.by_index[job->team].name);
	fl_copy_string(out->image, sizeof(out->image),
	               fl_symbol_name(&cluster->images, job->image));
	out->has_zone = job->zone != FL_INDEX_NONE;
	fl_copy_string(out->zone, sizeof(out->zone), fl_symbol_name(&cluster->zones, job->zone));
	describe_machine_types(cluster, job, out);
	out->kind = job->kind;
	out->priority = job->priority;
	out->task_count = job->task_count;
	out->cpus = job->cpus;
	out->gpus = job->gpus;
	out->ram_gb = job->ram_gb;
	out->image_gb = job->image_gb;
	out->expected_s = job->expected_s;
	out->checkpoint_every_s = job->checkpoint_every_s;
	out->checkpoint_cost_s = job->checkpoint_cost_s;
	out->due_s = job->due_s;
	out->same_zone = job->same_zone;
	out->spread_zones = job->spread_zones;
	out->spot_allowed = job->spot_allowed;
}

static enum fl_decode_result decode_final_status(const char *name, enum fl_job_status *out)
{
	if (strcmp(name, fl_job_status_name(FL_DONE)) == 0)
		*out = FL_DONE;
	else if (strcmp(name, fl_job_status_name(FL_CANCELLED)) == 0)
		*out = FL_CANCELLED;
	else
		return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

/* Decodes the fields of the final state, if the record has one. */
static enum fl_decode_result decode_final_fields(const cJSON *value, struct fl_job_record *out)
{
	enum fl_json_result final;
	uint64_t task_count;
	char name[16];

	final = fl_json_get_string(value, "final", name, sizeof(name));
	if (final == FL_JSON_ABSENT)
		return FL_DECODE_OK;
	if (final == FL_JSON_INVALID || decode_final_status(name, &out->status) != FL_DECODE_OK)
		return FL_DECODE_MALFORMED;
	if (fl_json_get_uint(value, "parts", &task_count) != FL_JSON_OK ||
	    task_count > FL_TASKS_MAX ||
	    fl_json_get_amount(value, "cancelled", &out->cancelled_wall) == FL_JSON_INVALID)
		return FL_DECODE_MALFORMED;
	out->final = true;
	out->task_count = (uint32_t)task_count;
	return FL_DECODE_OK;
}

enum fl_decode_result fl_job_record_decode(const cJSON *value, const char *ref,
                                           struct fl_job_record *out)
{
	memset(out, 0, sizeof(*out));
	if (decode_final_fields(value, out) != FL_DECODE_OK)
		return FL_DECODE_MALFORMED;
	/*
	 * A cancelled job keeps its description. If the description is malformed, the whole record
	 * is rejected: without a description, the job's tasks would be neither counted nor stopped.
	 */
	out->has_spec = !out->final || fl_json_get(value, FL_FIELD_REF);
	if (!out->has_spec)
		return FL_DECODE_OK;
	if (fl_job_spec_decode(value, &out->spec) != NULL || strcmp(out->spec.ref, ref) != 0)
		return FL_DECODE_MALFORMED;
	if (!out->final)
		out->task_count = out->spec.task_count;
	if (fl_json_get_amount(value, "submitted", &out->submitted_wall) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

/* A job whose records are being read, and the destination of the decoded record. */
struct record_reader {
	struct fl_kv_store *store;
	const char *ref;
	struct fl_job_record *record;
};

static enum fl_record_result read_record(const struct record_reader *reader, const char *key,
                                         cJSON **value, uint64_t *revision)
{
	switch (fl_kv_get(reader->store, key, value, revision, NULL)) {
	case FL_KV_OK:
		if (fl_job_record_decode(*value, reader->ref, reader->record) != FL_DECODE_OK)
			return FL_RECORD_UNREADABLE;
		return FL_RECORD_FOUND;
	case FL_KV_NOT_FOUND:
		return FL_RECORD_NOT_FOUND;
	case FL_KV_COMPARE_FAILED:
	case FL_KV_COMPACTED:
	case FL_KV_UNAVAILABLE:
	case FL_KV_INVALID:
	case FL_KV_TOO_LARGE:
	case FL_KV_CANCELLED:
	case FL_KV_OUTCOME_UNKNOWN:
		break;
	}
	return FL_RECORD_UNAVAILABLE;
}

enum fl_record_result fl_job_record_read(struct fl_kv_store *store, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision)
{
	const struct record_reader reader = {store, ref, record};
	enum fl_record_result result;
	char key[FL_KEY_MAX];
	cJSON *final = NULL;

	fl_key_job(key, ref);
	result = read_record(&reader, key, value, revision);
	if (result != FL_RECORD_NOT_FOUND)
		return result;
	fl_key_finished(key, ref);
	result = read_record(&reader, key, &final, revision);
	cJSON_Delete(final);
	return result;
}
