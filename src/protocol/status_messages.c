#include "protocol/status_messages.h"

#include <errno.h>
#include <string.h>

/* {"refs":["run-000412",...]} */
char *fl_status_query_encode(const char (*refs)[FL_REF_MAX], int count)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "refs");

	for (int i = 0; i < count; i++)
		cJSON_AddItemToArray(list, cJSON_CreateString(refs[i]));
	return fl_json_print_and_delete(object);
}

int fl_status_query_decode(const char *text, size_t len, char (*refs)[FL_REF_MAX])
{
	cJSON *object = fl_json_parse(text, len);
	const cJSON *list = fl_json_get(object, "refs"), *item;
	int count = cJSON_IsArray(list) ? 0 : -EPROTO;

	if (cJSON_GetArraySize(list) > FL_STATUS_QUERY_MAX)
		count = -EPROTO;
	if (count == 0) {
		cJSON_ArrayForEach (item, list) {
			if (!cJSON_IsString(item) || strlen(item->valuestring) >= FL_REF_MAX ||
			    !fl_job_ref_is_valid(item->valuestring)) {
				count = -EPROTO;
				break;
			}
			memcpy(refs[count++], item->valuestring, strlen(item->valuestring) + 1);
		}
	}
	cJSON_Delete(object);
	return count;
}

/* {"jobs":[[status,done,running],null,...]} */
char *fl_status_answer_encode(const struct fl_job_status_report *states, int count)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "jobs");

	for (int i = 0; i < count; i++) {
		const struct fl_job_status_report *status = &states[i];
		double values[] = {status->status, status->done_count, status->running_count};

		cJSON_AddItemToArray(list, status->known ? cJSON_CreateDoubleArray(values, 3)
		                                         : cJSON_CreateNull());
	}
	return fl_json_print_and_delete(object);
}

static int decode_state(const cJSON *item, struct fl_job_status_report *out)
{
	uint64_t status, done, running;

	*out = (struct fl_job_status_report){0};
	if (cJSON_IsNull(item))
		return 0;
	if (fl_json_get_item(item, 0, FL_CANCELLED, &status) != FL_JSON_OK ||
	    fl_json_get_item(item, 1, FL_TASKS_MAX, &done) != FL_JSON_OK ||
	    fl_json_get_item(item, 2, FL_TASKS_MAX, &running) != FL_JSON_OK)
		return -EPROTO;
	*out = (struct fl_job_status_report){.known = true,
	                                     .status = (enum fl_job_status)status,
	                                     .done_count = (uint32_t)done,
	                                     .running_count = (uint32_t)running};
	return 0;
}

int fl_status_answer_decode(const char *text, size_t len, struct fl_job_status_report *states,
                            int count)
{
	cJSON *object = fl_json_parse(text, len);
	const cJSON *list = fl_json_get(object, "jobs"), *item;
	int at = 0, rc = 0;

	if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) != count)
		rc = -EPROTO;
	if (rc == 0) {
		cJSON_ArrayForEach (item, list) {
			rc = decode_state(item, &states[at++]);
			if (rc)
				break;
		}
	}
	cJSON_Delete(object);
	return rc;
}
