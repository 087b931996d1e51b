#include "protocol/users.h"

#include <ctype.h>
#include <string.h>

#include "transport/text.h"

static const char *const priority_names[] = {"best_effort", "standard", "urgent", "critical"};
static const char *const kind_names[] = {"sweep", "standing", "ensemble"};
static const char *const status_names[] = {"pending", "running", "done", "aborted"};

static const char runs_path[] = "/v2/runs";

const char *fl_status_name(enum fl_job_status status) { return status_names[status]; }

bool fl_job_ref_is_valid(const char *ref)
{
	size_t n, begin = sizeof(FL_REF_BEGIN) - 1;

	if (strncmp(ref, FL_REF_BEGIN, begin) != 0)
		return false;
	n = strspn(ref + begin, "0123456789");
	return n >= 6 && n <= 12 && ref[begin + n] == 0;
}

static int pick(const char *name, const char *const *names, int n)
{
	for (int i = 0; i < n; i++)
		if (strcmp(name, names[i]) == 0)
			return i;
	return -1;
}

static bool name_ok(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++)
		if (iscntrl((unsigned char)*s))
			return false;
	return true;
}

static bool get_name(const cJSON *object, const char *key, char out[FL_NAME_MAX])
{
	return fl_json_get_string(object, key, out, FL_NAME_MAX) == FL_JSON_OK && name_ok(out);
}

static bool get_types(const cJSON *object, struct fl_job_spec *out)
{
	const cJSON *value = fl_json_get(object, "HostKinds"), *item;

	out->machine_type_count = -1;
	if (!value)
		return true;
	if (!cJSON_IsArray(value) || cJSON_GetArraySize(value) > FL_ALLOWED_TYPES_MAX)
		return false;
	out->machine_type_count = 0;
	cJSON_ArrayForEach (item, value) {
		/* Control characters would be escaped sixfold, and the record outgrow its key. */
		if (!cJSON_IsString(item) || strlen(item->valuestring) >= FL_NAME_MAX ||
		    !name_ok(item->valuestring))
			return false;
		fl_copy_string(out->machine_types[out->machine_type_count++], FL_NAME_MAX,
		               item->valuestring);
	}
	return true;
}

static const char *decode_amounts(const cJSON *object, struct fl_job_spec *out)
{
	const struct {
		const char *key;
		double *to;
	} amounts[] = {
		{"Vcpus", &out->cpus},
		{"Accelerators", &out->gpus},
		{"RamGb", &out->ram_gb},
		{"ImageGb", &out->image_gb},
		{"ExpectedS", &out->expected_s},
		{"SnapshotEveryS", &out->checkpoint_every_s},
		{"SnapshotCostS", &out->checkpoint_cost_s},
	};
	enum fl_json_result f;

	for (size_t i = 0; i < sizeof(amounts) / sizeof(amounts[0]); i++)
		if (fl_json_get_amount(object, amounts[i].key, amounts[i].to) != FL_JSON_OK)
			return amounts[i].key;
	f = fl_json_get_amount(object, "DueS", &out->due_s);
	if (f == FL_JSON_ABSENT)
		out->due_s = -1;
	return f == FL_JSON_INVALID ? "DueS" : NULL;
}

const char *fl_job_spec_decode(const cJSON *object, struct fl_job_spec *out)
{
	char word[FL_NAME_MAX];
	enum fl_json_result f;
	uint64_t n;
	int k;

	memset(out, 0, sizeof(*out));
	if (fl_json_get_string(object, "Ref", out->ref, sizeof(out->ref)) != FL_JSON_OK ||
	    !fl_job_ref_is_valid(out->ref)) {
		out->ref[0] = 0;
		return "Ref";
	}
	if (!get_name(object, "JobClass", out->job_class))
		return "JobClass";
	if (!get_name(object, "Owner", out->team))
		return "Owner";
	if (fl_json_get_string(object, "JobKind", word, sizeof(word)) != FL_JSON_OK ||
	    (k = pick(word, kind_names, 3)) < 0)
		return "JobKind";
	out->kind = (enum fl_job_kind)k;
	if (fl_json_get_string(object, "Tier", word, sizeof(word)) != FL_JSON_OK ||
	    (k = pick(word, priority_names, 4)) < 0)
		return "Tier";
	out->priority = (enum fl_priority)k;
	if (fl_json_get_count(object, "Parts", &n) != FL_JSON_OK || n < 1 || n > FL_TASKS_MAX)
		return "Parts";
	out->task_count = (uint32_t)n;
	if (!get_name(object, "Bundle", out->image))
		return "Bundle";
	if (!get_types(object, out))
		return "HostKinds";
	f = fl_json_get_string(object, "Site", out->zone, sizeof(out->zone));
	if (f == FL_JSON_INVALID || (f == FL_JSON_OK && !name_ok(out->zone)))
		return "Site";
	out->has_zone = f == FL_JSON_OK;
	if (fl_json_get_bool(object, "Together", &out->same_zone) != FL_JSON_OK)
		return "Together";
	if (fl_json_get_bool(object, "Apart", &out->spread_zones) != FL_JSON_OK)
		return "Apart";
	if (fl_json_get_bool(object, "Reclaimable", &out->spot_allowed) != FL_JSON_OK)
		return "Reclaimable";
	return decode_amounts(object, out);
}

cJSON *fl_job_spec_encode(const struct fl_job_spec *spec)
{
	cJSON *object = cJSON_CreateObject(), *types;

	cJSON_AddStringToObject(object, "Ref", spec->ref);
	cJSON_AddStringToObject(object, "JobClass", spec->job_class);
	cJSON_AddStringToObject(object, "Owner", spec->team);
	cJSON_AddStringToObject(object, "JobKind", kind_names[spec->kind]);
	cJSON_AddStringToObject(object, "Tier", priority_names[spec->priority]);
	cJSON_AddNumberToObject(object, "Parts", spec->task_count);
	cJSON_AddNumberToObject(object, "Vcpus", spec->cpus);
	cJSON_AddNumberToObject(object, "Accelerators", spec->gpus);
	cJSON_AddNumberToObject(object, "RamGb", spec->ram_gb);
	cJSON_AddStringToObject(object, "Bundle", spec->image);
	cJSON_AddNumberToObject(object, "ImageGb", spec->image_gb);
	if (spec->machine_type_count >= 0) {
		types = cJSON_AddArrayToObject(object, "HostKinds");
		for (int i = 0; i < spec->machine_type_count; i++)
			cJSON_AddItemToArray(types, cJSON_CreateString(spec->machine_types[i]));
	}
	if (spec->has_zone)
		cJSON_AddStringToObject(object, "Site", spec->zone);
	cJSON_AddBoolToObject(object, "Together", spec->same_zone);
	cJSON_AddBoolToObject(object, "Apart", spec->spread_zones);
	cJSON_AddBoolToObject(object, "Reclaimable", spec->spot_allowed);
	cJSON_AddNumberToObject(object, "ExpectedS", spec->expected_s);
	cJSON_AddNumberToObject(object, "SnapshotEveryS", spec->checkpoint_every_s);
	cJSON_AddNumberToObject(object, "SnapshotCostS", spec->checkpoint_cost_s);
	if (spec->due_s >= 0)
		cJSON_AddNumberToObject(object, "DueS", spec->due_s);
	return object;
}

char *fl_status_encode(const char *ref, enum fl_job_status status, int64_t done, int64_t running)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddStringToObject(object, "Ref", ref);
	cJSON_AddStringToObject(object, "Status", status_names[status]);
	if (done >= 0) {
		cJSON_AddNumberToObject(object, "done", (double)done);
		cJSON_AddNumberToObject(object, "running", (double)running);
	}
	return fl_json_print_and_delete(object);
}

enum fl_user_request fl_user_route(const char *path, char ref[FL_REF_MAX])
{
	size_t root = sizeof(runs_path) - 1, n;
	const char *id, *end;

	ref[0] = 0;
	if (strcmp(path, "/hello") == 0)
		return FL_USER_REQUEST_HEARTBEAT;
	if (strcmp(path, "/ready") == 0)
		return FL_USER_REQUEST_READY;
	if (strncmp(path, runs_path, root) != 0)
		return FL_USER_REQUEST_UNKNOWN;
	if (path[root] == 0)
		return FL_USER_REQUEST_SUBMIT;
	if (path[root] != '/')
		return FL_USER_REQUEST_UNKNOWN;
	id = path + root + 1;
	end = strchr(id, '/');
	n = end ? (size_t)(end - id) : strlen(id);
	if (end && strcmp(end, "/cancel") != 0)
		return FL_USER_REQUEST_UNKNOWN;
	/* An id that no job can have is a job nobody submitted: found, but with no ref. */
	if (n > 0 && n < FL_REF_MAX) {
		memcpy(ref, id, n);
		ref[n] = 0;
		if (!fl_job_ref_is_valid(ref))
			ref[0] = 0;
	}
	return end ? FL_USER_REQUEST_CANCEL : FL_USER_REQUEST_STATUS;
}
