#include "protocol/peer_heartbeats.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* The statuses of HTTP. */
enum { STATUS_MIN = 100, STATUS_MAX = 599 };

cJSON *fl_heartbeat_list_begin(void) { return cJSON_CreateArray(); }

void fl_heartbeat_list_add(cJSON *list, const char *body)
{
	/* As it came: the leader reads it once, with the message. */
	cJSON_AddItemToArray(list, cJSON_CreateRaw(body));
}

char *fl_peer_heartbeats_encode(cJSON *list, const char *entry_node, bool last_hop,
                                bool disconnected)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddBoolToObject(object, "last_hop", last_hop);
	if (disconnected)
		cJSON_AddBoolToObject(object, "adrift", true);
	cJSON_AddStringToObject(object, "via", entry_node);
	cJSON_AddItemReferenceToObject(object, "reports", list);
	return fl_json_print_and_delete(object);
}

int fl_peer_heartbeats_decode(const char *text, size_t len, struct fl_peer_heartbeats *out)
{
	memset(out, 0, sizeof(*out));
	out->tree = fl_json_parse(text, len);
	out->list = fl_json_get(out->tree, "reports");
	if (fl_json_get_bool(out->tree, "last_hop", &out->last_hop) != FL_JSON_OK ||
	    fl_json_get_bool(out->tree, "adrift", &out->disconnected) == FL_JSON_INVALID ||
	    fl_json_get_string(out->tree, "via", out->entry_node, sizeof(out->entry_node)) !=
	            FL_JSON_OK ||
	    !cJSON_IsArray(out->list) || cJSON_GetArraySize(out->list) > FL_PEER_HEARTBEATS_MAX) {
		fl_peer_heartbeats_free(out);
		return -EPROTO;
	}
	return 0;
}

void fl_peer_heartbeats_free(struct fl_peer_heartbeats *message)
{
	cJSON_Delete(message->tree);
	message->tree = NULL;
	message->list = NULL;
}

char *fl_heartbeat_replies_encode(const struct fl_heartbeat_reply *answers, int n)
{
	cJSON *list = cJSON_CreateArray();

	for (int i = 0; i < n; i++) {
		cJSON *item = cJSON_CreateObject();

		cJSON_AddNumberToObject(item, "status", answers[i].status);
		if (answers[i].body)
			cJSON_AddStringToObject(item, "body", answers[i].body);
		cJSON_AddItemToArray(list, item);
	}
	return fl_json_print_and_delete(list);
}

static int decode_answer(const cJSON *item, struct fl_heartbeat_reply *out)
{
	const cJSON *body = fl_json_get(item, "body");
	uint64_t status;

	if (fl_json_get_count(item, "status", &status) != FL_JSON_OK || status < STATUS_MIN ||
	    status > STATUS_MAX || (body && !cJSON_IsString(body)))
		return -EPROTO;
	out->status = (int)status;
	if (!body)
		return 0;
	out->body = strdup(body->valuestring);
	return out->body ? 0 : -ENOMEM;
}

int fl_heartbeat_replies_decode(const char *text, size_t len, struct fl_heartbeat_reply *answers,
                                int n)
{
	cJSON *list = fl_json_parse(text, len);
	int rc = cJSON_IsArray(list) && cJSON_GetArraySize(list) == n ? 0 : -EPROTO;
	const cJSON *item;
	int at = 0;

	memset(answers, 0, (size_t)n * sizeof(*answers));
	cJSON_ArrayForEach (item, list) {
		if (rc)
			break;
		rc = decode_answer(item, &answers[at++]);
	}
	for (int i = 0; i < at && rc; i++) {
		free(answers[i].body);
		answers[i].body = NULL;
	}
	cJSON_Delete(list);
	return rc;
}
