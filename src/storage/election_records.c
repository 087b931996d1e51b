#include "storage/election_records.h"

cJSON *fl_leader_record_encode(const char *node, const char *process_id)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddStringToObject(object, "node", node);
	cJSON_AddStringToObject(object, "boot", process_id);
	return object;
}

bool fl_leader_record_decode(const cJSON *value, struct fl_leader_record *out)
{
	struct fl_leader_record record = {0};

	if (fl_json_get_string(value, "node", record.node, sizeof(record.node)) != FL_JSON_OK)
		return false;
	fl_json_get_string(value, "boot", record.process_id, sizeof(record.process_id));
	*out = record;
	return true;
}

cJSON *fl_fencing_token_record_encode(uint64_t fencing_token)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddNumberToObject(object, "epoch", (double)fencing_token);
	return object;
}

bool fl_fencing_token_record_decode(const cJSON *value, uint64_t *out)
{
	return fl_json_get_uint(value, "epoch", out) == FL_JSON_OK;
}
