#include "protocol/users.h"
#include "protocol/workers.h"

#include <ctype.h>
#include <string.h>

#include "transport/text.h"

static const char *const priority_names[] = {"best_effort", "standard", "urgent", "critical"};
static const char *const kind_names[] = {"sweep", "standing", "ensemble"};
static const char *const status_names[] = {"pending", "running", "done", "aborted"};

/* The paths of the API; the path of a job is the jobs path, '/' and the job id. */
static const char jobs_path[] = "/v2/runs";
static const char heartbeat_path[] = FL_PATH_WORKER_HEARTBEAT;
static const char ready_path[] = "/ready";
static const char cancel_suffix[] = "/cancel";

const char *fl_job_status_name(enum fl_job_status status) { return status_names[status]; }

bool fl_job_ref_is_valid(const char *ref)
{
	size_t prefix_length = sizeof(FL_JOB_REF_PREFIX) - 1, digit_count;

	if (strncmp(ref, FL_JOB_REF_PREFIX, prefix_length) != 0)
		return false;
	digit_count = strspn(ref + prefix_length, "0123456789");
	return digit_count >= 6 && digit_count <= 12 && ref[prefix_length + digit_count] == 0;
}

bool fl_job_ref_decode(const cJSON *value, char ref[FL_REF_MAX])
{
	char text[FL_REF_MAX];

	if (fl_json_read_string(value, text, sizeof(text)) != FL_JSON_OK ||
	    !fl_job_ref_is_valid(text))
		return false;
	fl_copy_string(ref, FL_REF_MAX, text);
	return true;
}

/*
 * Returns whether the name is not empty and has no control characters. Each of them takes six bytes
 * when escaped, so that a record with such names could exceed the size limit.
 */
static bool is_valid_name(const char *name)
{
	if (!*name)
		return false;
	for (; *name; name++)
		if (iscntrl((unsigned char)*name))
			return false;
	return true;
}

static bool decode_name(const cJSON *object, const char *field, char out[FL_NAME_MAX])
{
	return fl_json_get_string(object, field, out, FL_NAME_MAX) == FL_JSON_OK &&
	       is_valid_name(out);
}

static bool decode_machine_types(const cJSON *object, struct fl_job_spec *out)
{
	const cJSON *value = fl_json_get(object, FL_FIELD_MACHINE_TYPES), *item;

	out->machine_type_count = FL_ANY_MACHINE_TYPE;
	if (!value)
		return true;
	if (!cJSON_IsArray(value) || cJSON_GetArraySize(value) > FL_ALLOWED_TYPES_MAX)
		return false;
	out->machine_type_count = 0;
	cJSON_ArrayForEach (item, value) {
		char *name = out->machine_types[out->machine_type_count++];

		if (fl_json_read_string(item, name, FL_NAME_MAX) != FL_JSON_OK ||
		    !is_valid_name(name))
			return false;
	}
	return true;
}

static bool decode_kind(const cJSON *object, struct fl_job_spec *out)
{
	int kind;

	if (fl_json_get_choice(object, FL_FIELD_KIND, kind_names, FL_COUNT_OF(kind_names), &kind) !=
	    FL_JSON_OK)
		return false;
	out->kind = (enum fl_job_kind)kind;
	return true;
}

static bool decode_priority(const cJSON *object, struct fl_job_spec *out)
{
	int priority;

	if (fl_json_get_choice(object, FL_FIELD_PRIORITY, priority_names,
	                       FL_COUNT_OF(priority_names), &priority) != FL_JSON_OK)
		return false;
	out->priority = (enum fl_priority)priority;
	return true;
}

static bool decode_task_count(const cJSON *object, struct fl_job_spec *out)
{
	uint64_t task_count;

	if (fl_json_get_uint(object, FL_FIELD_TASK_COUNT, &task_count) != FL_JSON_OK ||
	    task_count < 1 || task_count > FL_TASKS_MAX)
		return false;
	out->task_count = (uint32_t)task_count;
	return true;
}

static bool decode_zone(const cJSON *object, struct fl_job_spec *out)
{
	switch (fl_json_get_string(object, FL_FIELD_ZONE, out->zone, sizeof(out->zone))) {
	case FL_JSON_OK:
		out->has_zone = is_valid_name(out->zone);
		return out->has_zone;
	case FL_JSON_ABSENT:
		return true;
	case FL_JSON_INVALID:
		break;
	}
	return false;
}

/* Decodes the job's identity, kind, size and image; returns NULL or the first bad field. */
static const char *decode_identity_fields(const cJSON *object, struct fl_job_spec *out)
{
	if (!fl_job_ref_decode(fl_json_get(object, FL_FIELD_REF), out->ref))
		return FL_FIELD_REF;
	if (!decode_name(object, FL_FIELD_JOB_CLASS, out->job_class))
		return FL_FIELD_JOB_CLASS;
	if (!decode_name(object, FL_FIELD_OWNER, out->team))
		return FL_FIELD_OWNER;
	if (!decode_kind(object, out))
		return FL_FIELD_KIND;
	if (!decode_priority(object, out))
		return FL_FIELD_PRIORITY;
	if (!decode_task_count(object, out))
		return FL_FIELD_TASK_COUNT;
	if (!decode_name(object, FL_FIELD_IMAGE, out->image))
		return FL_FIELD_IMAGE;
	return NULL;
}

/* Decodes where the job may run; returns NULL or the first bad field. */
static const char *decode_placement_fields(const cJSON *object, struct fl_job_spec *out)
{
	if (!decode_machine_types(object, out))
		return FL_FIELD_MACHINE_TYPES;
	if (!decode_zone(object, out))
		return FL_FIELD_ZONE;
	if (fl_json_get_bool(object, FL_FIELD_SAME_ZONE, &out->same_zone) != FL_JSON_OK)
		return FL_FIELD_SAME_ZONE;
	if (fl_json_get_bool(object, FL_FIELD_SPREAD_ZONES, &out->spread_zones) != FL_JSON_OK)
		return FL_FIELD_SPREAD_ZONES;
	if (fl_json_get_bool(object, FL_FIELD_SPOT_ALLOWED, &out->spot_allowed) != FL_JSON_OK)
		return FL_FIELD_SPOT_ALLOWED;
	return NULL;
}

/* Decodes the job's resources and durations; returns NULL or the first bad field. */
static const char *decode_amount_fields(const cJSON *object, struct fl_job_spec *out)
{
	const struct {
		const char *field;
		double *amount;
	} required[] = {
		{FL_FIELD_CPUS, &out->cpus},
		{FL_FIELD_GPUS, &out->gpus},
		{FL_FIELD_RAM_GB, &out->ram_gb},
		{FL_FIELD_IMAGE_GB, &out->image_gb},
		{FL_FIELD_EXPECTED_S, &out->expected_s},
		{FL_FIELD_CHECKPOINT_EVERY_S, &out->checkpoint_every_s},
		{FL_FIELD_CHECKPOINT_COST_S, &out->checkpoint_cost_s},
	};
	enum fl_json_result due;

	for (int i = 0; i < FL_COUNT_OF(required); i++)
		if (fl_json_get_amount(object, required[i].field, required[i].amount) != FL_JSON_OK)
			return required[i].field;
	due = fl_json_get_amount(object, FL_FIELD_DUE_S, &out->due_s);
	if (due == FL_JSON_ABSENT)
		out->due_s = -1;
	return due == FL_JSON_INVALID ? FL_FIELD_DUE_S : NULL;
}

const char *fl_job_spec_decode(const cJSON *object, struct fl_job_spec *out)
{
	const char *bad_field;

	memset(out, 0, sizeof(*out));
	bad_field = decode_identity_fields(object, out);
	if (!bad_field)
		bad_field = decode_placement_fields(object, out);
	if (!bad_field)
		bad_field = decode_amount_fields(object, out);
	return bad_field;
}

static void encode_machine_types(cJSON *object, const struct fl_job_spec *spec)
{
	cJSON *types;

	if (spec->machine_type_count == FL_ANY_MACHINE_TYPE)
		return;
	types = cJSON_AddArrayToObject(object, FL_FIELD_MACHINE_TYPES);
	for (int i = 0; i < spec->machine_type_count; i++)
		cJSON_AddItemToArray(types, cJSON_CreateString(spec->machine_types[i]));
}

cJSON *fl_job_spec_encode(const struct fl_job_spec *spec)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddStringToObject(object, FL_FIELD_REF, spec->ref);
	cJSON_AddStringToObject(object, FL_FIELD_JOB_CLASS, spec->job_class);
	cJSON_AddStringToObject(object, FL_FIELD_OWNER, spec->team);
	cJSON_AddStringToObject(object, FL_FIELD_KIND, kind_names[spec->kind]);
	cJSON_AddStringToObject(object, FL_FIELD_PRIORITY, priority_names[spec->priority]);
	cJSON_AddNumberToObject(object, FL_FIELD_TASK_COUNT, spec->task_count);
	cJSON_AddNumberToObject(object, FL_FIELD_CPUS, spec->cpus);
	cJSON_AddNumberToObject(object, FL_FIELD_GPUS, spec->gpus);
	cJSON_AddNumberToObject(object, FL_FIELD_RAM_GB, spec->ram_gb);
	cJSON_AddStringToObject(object, FL_FIELD_IMAGE, spec->image);
	cJSON_AddNumberToObject(object, FL_FIELD_IMAGE_GB, spec->image_gb);
	encode_machine_types(object, spec);
	if (spec->has_zone)
		cJSON_AddStringToObject(object, FL_FIELD_ZONE, spec->zone);
	cJSON_AddBoolToObject(object, FL_FIELD_SAME_ZONE, spec->same_zone);
	cJSON_AddBoolToObject(object, FL_FIELD_SPREAD_ZONES, spec->spread_zones);
	cJSON_AddBoolToObject(object, FL_FIELD_SPOT_ALLOWED, spec->spot_allowed);
	cJSON_AddNumberToObject(object, FL_FIELD_EXPECTED_S, spec->expected_s);
	cJSON_AddNumberToObject(object, FL_FIELD_CHECKPOINT_EVERY_S, spec->checkpoint_every_s);
	cJSON_AddNumberToObject(object, FL_FIELD_CHECKPOINT_COST_S, spec->checkpoint_cost_s);
	if (spec->due_s >= 0)
		cJSON_AddNumberToObject(object, FL_FIELD_DUE_S, spec->due_s);
	return object;
}

char *fl_job_status_encode(const char *ref, enum fl_job_status status, int64_t done,
                           int64_t running)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddStringToObject(object, FL_FIELD_REF, ref);
	cJSON_AddStringToObject(object, "Status", status_names[status]);
	if (done >= 0) {
		cJSON_AddNumberToObject(object, "done", (double)done);
		cJSON_AddNumberToObject(object, "running", (double)running);
	}
	return fl_json_print_and_delete(object);
}

/* Copies the job id from `id` up to `end`; leaves `ref` empty if it is not valid. */
static void copy_valid_ref(char ref[FL_REF_MAX], const char *id, const char *end)
{
	size_t length = (size_t)(end - id);

	if (length == 0 || length >= FL_REF_MAX)
		return;
	memcpy(ref, id, length);
	ref[length] = 0;
	if (!fl_job_ref_is_valid(ref))
		ref[0] = 0;
}

enum fl_request_kind fl_request_parse_path(const char *path, char ref[FL_REF_MAX])
{
	size_t prefix_length = sizeof(jobs_path) - 1;
	const char *id, *suffix;

	ref[0] = 0;
	if (strcmp(path, heartbeat_path) == 0)
		return FL_REQUEST_HEARTBEAT;
	if (strcmp(path, ready_path) == 0)
		return FL_REQUEST_READY;
	if (strncmp(path, jobs_path, prefix_length) != 0)
		return FL_REQUEST_UNKNOWN;
	if (path[prefix_length] == 0)
		return FL_REQUEST_SUBMIT;
	if (path[prefix_length] != '/')
		return FL_REQUEST_UNKNOWN;
	id = path + prefix_length + 1;
	suffix = strchr(id, '/');
	if (suffix && strcmp(suffix, cancel_suffix) != 0)
		return FL_REQUEST_UNKNOWN;
	/* A path with an invalid job id is still valid: the response is that no such job exists. */
	copy_valid_ref(ref, id, suffix ? suffix : id + strlen(id));
	return suffix ? FL_REQUEST_CANCEL : FL_REQUEST_STATUS;
}
