#include "protocol/peer_heartbeats.h"

#include <stdlib.h>
#include <string.h>

/* The range of HTTP statuses. */
enum { STATUS_MIN = 100, STATUS_MAX = 599 };

cJSON *fl_heartbeat_list_create(void) { return cJSON_CreateArray(); }

void fl_heartbeat_list_add(cJSON *list, const char *body)
{
	/* Raw: the leader decodes each heartbeat once, as a part of the message. */
	cJSON_AddItemToArray(list, cJSON_CreateRaw(body));
}

char *fl_peer_heartbeats_encode(cJSON *list, const char *entry_node, bool last_hop,
                                bool sender_kv_unavailable)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddBoolToObject(object, "last_hop", last_hop);
	if (sender_kv_unavailable)
		cJSON_AddBoolToObject(object, "adrift", true);
	cJSON_AddStringToObject(object, "via", entry_node);
	cJSON_AddItemReferenceToObject(object, "reports", list);
	return fl_json_print_and_delete(object);
}

static enum fl_decode_result decode_fields(struct fl_peer_heartbeats *message)
{
	const cJSON *tree = message->tree;

	message->heartbeat_list = fl_json_get(tree, "reports");
	if (fl_json_get_bool(tree, "last_hop", &message->last_hop) != FL_JSON_OK ||
	    fl_json_get_bool(tree, "adrift", &message->sender_kv_unavailable) == FL_JSON_INVALID ||
	    fl_json_get_string(tree, "via", message->entry_node, sizeof(message->entry_node)) !=
	            FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	if (!cJSON_IsArray(message->heartbeat_list) ||
	    cJSON_GetArraySize(message->heartbeat_list) > FL_PEER_HEARTBEATS_MAX)
		return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

enum fl_decode_result fl_peer_heartbeats_decode(const char *text, size_t length,
                                                struct fl_peer_heartbeats *out)
{
	enum fl_decode_result result;

	memset(out, 0, sizeof(*out));
	out->tree = fl_json_parse(text, length);
	result = decode_fields(out);
	if (result != FL_DECODE_OK)
		fl_peer_heartbeats_free(out);
	return result;
}

void fl_peer_heartbeats_free(struct fl_peer_heartbeats *message)
{
	cJSON_Delete(message->tree);
	message->tree = NULL;
	message->heartbeat_list = NULL;
}

char *fl_heartbeat_replies_encode(const struct fl_heartbeat_reply *replies, int count)
{
	cJSON *list = cJSON_CreateArray();

	for (int i = 0; i < count; i++) {
		cJSON *item = cJSON_CreateObject();

		cJSON_AddNumberToObject(item, "status", replies[i].status);
		if (replies[i].body)
			cJSON_AddStringToObject(item, "body", replies[i].body);
		cJSON_AddItemToArray(list, item);
	}
	return fl_json_print_and_delete(list);
}

static enum fl_decode_result decode_reply(const cJSON *item, struct fl_heartbeat_reply *out)
{
	const cJSON *body = fl_json_get(item, "body");
	uint64_t status;

	if (fl_json_get_uint(item, "status", &status) != FL_JSON_OK || status < STATUS_MIN ||
	    status > STATUS_MAX || (body && !cJSON_IsString(body)))
		return FL_DECODE_MALFORMED;
	out->status = (int)status;
	if (!body)
		return FL_DECODE_OK;
	out->body = strdup(body->valuestring);
	return out->body ? FL_DECODE_OK : FL_DECODE_NO_MEMORY;
}

static enum fl_decode_result decode_replies(const cJSON *list, struct fl_heartbeat_reply *replies,
                                            int count)
{
	enum fl_decode_result result = FL_DECODE_OK;
	const cJSON *item;
	int i = 0;

	if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) != count)
		return FL_DECODE_MALFORMED;
	cJSON_ArrayForEach (item, list) {
		result = decode_reply(item, &replies[i++]);
		if (result != FL_DECODE_OK)
			break;
	}
	return result;
}

enum fl_decode_result fl_heartbeat_replies_decode(const char *text, size_t length,
                                                  struct fl_heartbeat_reply *replies, int count)
{
	cJSON *list = fl_json_parse(text, length);
	enum fl_decode_result result;

	memset(replies, 0, (size_t)count * sizeof(*replies));
	result = decode_replies(list, replies, count);
	for (int i = 0; i < count && result != FL_DECODE_OK; i++) {
		free(replies[i].body);
		replies[i].body = NULL;
	}
	cJSON_Delete(list);
	return result;
}
