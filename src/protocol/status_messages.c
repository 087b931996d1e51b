#include "protocol/status_messages.h"

/* {"refs":["run-000412",...]} */
char *fl_status_query_encode(const char (*refs)[FL_REF_MAX], int count)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "refs");

	for (int i = 0; i < count; i++)
		cJSON_AddItemToArray(list, cJSON_CreateString(refs[i]));
	return fl_json_print_and_delete(object);
}

static enum fl_decode_result decode_refs(const cJSON *list, char (*refs)[FL_REF_MAX], int *count)
{
	const cJSON *item;

	*count = 0;
	if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) > FL_STATUS_QUERY_JOBS_MAX)
		return FL_DECODE_MALFORMED;
	cJSON_ArrayForEach (item, list) {
		if (!fl_job_ref_decode(item, refs[*count]))
			return FL_DECODE_MALFORMED;
		(*count)++;
	}
	return FL_DECODE_OK;
}

enum fl_decode_result fl_status_query_decode(const char *text, size_t length,
                                             char (*refs)[FL_REF_MAX], int *count)
{
	cJSON *object = fl_json_parse(text, length);
	enum fl_decode_result result = decode_refs(fl_json_get(object, "refs"), refs, count);

	cJSON_Delete(object);
	return result;
}

/* {"jobs":[[status,done,running],null,...]} */
char *fl_status_answer_encode(const struct fl_job_status_report *reports, int count)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "jobs");

	for (int i = 0; i < count; i++) {
		const struct fl_job_status_report *report = &reports[i];
		double values[] = {report->status, report->done_count, report->running_count};

		cJSON_AddItemToArray(list, report->status_known ? cJSON_CreateDoubleArray(values, 3)
		                                                : cJSON_CreateNull());
	}
	return fl_json_print_and_delete(object);
}

static enum fl_decode_result decode_report(const cJSON *item, struct fl_job_status_report *out)
{
	uint64_t status, done, running;

	*out = (struct fl_job_status_report){0};
	if (cJSON_IsNull(item))
		return FL_DECODE_OK;
	if (fl_json_get_uint_at(item, 0, FL_CANCELLED, &status) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 1, FL_TASKS_MAX, &done) != FL_JSON_OK ||
	    fl_json_get_uint_at(item, 2, FL_TASKS_MAX, &running) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	*out = (struct fl_job_status_report){.status_known = true,
	                                     .status = (enum fl_job_status)status,
	                                     .done_count = (uint32_t)done,
	                                     .running_count = (uint32_t)running};
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_reports(const cJSON *list, struct fl_job_status_report *reports,
                                            int count)
{
	const cJSON *item;
	int i = 0;

	if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) != count)
		return FL_DECODE_MALFORMED;
	cJSON_ArrayForEach (item, list)
		if (decode_report(item, &reports[i++]) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

enum fl_decode_result fl_status_answer_decode(const char *text, size_t length,
                                              struct fl_job_status_report *reports, int count)
{
	cJSON *object = fl_json_parse(text, length);
	enum fl_decode_result result = decode_reports(fl_json_get(object, "jobs"), reports, count);

	cJSON_Delete(object);
	return result;
}
