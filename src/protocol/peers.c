#include "protocol/peers.h"

#include <stdlib.h>
#include <string.h>

char *fl_gossip_encode(const struct fl_gossip *gossip)
{
	cJSON *object = cJSON_CreateObject(), *list, *item;

	cJSON_AddStringToObject(object, "node", gossip->node);
	cJSON_AddStringToObject(object, "leader", gossip->leader);
	cJSON_AddNumberToObject(object, "epoch", (double)gossip->fencing_token);
	cJSON_AddNumberToObject(object, "proof_age_s", gossip->leader_confirmed_age_s);
	cJSON_AddBoolToObject(object, "leads", gossip->sender_is_leader);
	cJSON_AddNumberToObject(object, "known_age_s", gossip->watermark_age_s);
	cJSON_AddBoolToObject(object, "whole", gossip->cancellations_complete);
	list = cJSON_AddArrayToObject(object, "cancelled");
	for (int i = 0; i < gossip->cancelled_count; i++) {
		item = cJSON_CreateArray();
		cJSON_AddItemToArray(item, cJSON_CreateString(gossip->cancelled[i].ref));
		cJSON_AddItemToArray(item, cJSON_CreateNumber(gossip->cancelled[i].age_s));
		cJSON_AddItemToArray(list, item);
	}
	return fl_json_print_and_delete(object);
}

static enum fl_decode_result decode_cancellation(const cJSON *item, struct fl_cancellation *out)
{
	const cJSON *age = cJSON_GetArrayItem(item, 1);

	if (!fl_job_ref_decode(cJSON_GetArrayItem(item, 0), out->ref) || !cJSON_IsNumber(age) ||
	    !(age->valuedouble >= 0))
		return FL_DECODE_MALFORMED;
	out->age_s = age->valuedouble;
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_cancellations(const cJSON *list, struct fl_gossip *out)
{
	int count = cJSON_GetArraySize(list);
	const cJSON *item;

	if (!cJSON_IsArray(list) || count > FL_GOSSIP_CANCELLED_MAX)
		return FL_DECODE_MALFORMED;
	out->cancelled = calloc((size_t)count + 1, sizeof(*out->cancelled));
	if (!out->cancelled)
		return FL_DECODE_NO_MEMORY;
	cJSON_ArrayForEach (item, list)
		if (decode_cancellation(item, &out->cancelled[out->cancelled_count++]) !=
		    FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_gossip(const cJSON *object, struct fl_gossip *out)
{
	if (fl_json_get_string(object, "node", out->node, sizeof(out->node)) != FL_JSON_OK ||
	    fl_json_get_string(object, "leader", out->leader, sizeof(out->leader)) != FL_JSON_OK ||
	    fl_json_get_uint(object, "epoch", &out->fencing_token) != FL_JSON_OK ||
	    fl_json_get_amount(object, "proof_age_s", &out->leader_confirmed_age_s) != FL_JSON_OK ||
	    fl_json_get_bool(object, "leads", &out->sender_is_leader) != FL_JSON_OK ||
	    fl_json_get_amount(object, "known_age_s", &out->watermark_age_s) != FL_JSON_OK ||
	    fl_json_get_bool(object, "whole", &out->cancellations_complete) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	return decode_cancellations(fl_json_get(object, "cancelled"), out);
}

enum fl_decode_result fl_gossip_decode(const char *body, size_t length, struct fl_gossip *out)
{
	cJSON *object = fl_json_parse(body, length);
	enum fl_decode_result result;

	memset(out, 0, sizeof(*out));
	result = decode_gossip(object, out);
	if (result != FL_DECODE_OK)
		fl_gossip_free(out);
	cJSON_Delete(object);
	return result;
}

void fl_gossip_free(struct fl_gossip *gossip)
{
	free(gossip->cancelled);
	gossip->cancelled = NULL;
	gossip->cancelled_count = 0;
}

char *fl_forwarded_request_encode(enum fl_request_kind kind, bool last_hop, const char *ref,
                                  const char *body)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddNumberToObject(object, "call", kind);
	cJSON_AddBoolToObject(object, "last_hop", last_hop);
	if (ref)
		cJSON_AddStringToObject(object, "ref", ref);
	if (body)
		cJSON_AddStringToObject(object, "body", body);
	return fl_json_print_and_delete(object);
}

/* Returns whether nodes forward this kind of request and its body and job id are as required. */
static bool is_forwardable(uint64_t kind, const char *ref, const cJSON *body)
{
	if (kind == FL_REQUEST_SUBMIT)
		return cJSON_IsString(body) && !ref[0];
	return (kind == FL_REQUEST_STATUS || kind == FL_REQUEST_CANCEL) && !body &&
	       fl_job_ref_is_valid(ref);
}

static enum fl_decode_result decode_forwarded(const cJSON *object, struct fl_forwarded_request *out)
{
	const cJSON *body = fl_json_get(object, "body");
	uint64_t kind;

	if (fl_json_get_uint(object, "call", &kind) != FL_JSON_OK ||
	    fl_json_get_bool(object, "last_hop", &out->last_hop) != FL_JSON_OK ||
	    fl_json_get_string(object, "ref", out->ref, sizeof(out->ref)) == FL_JSON_INVALID ||
	    !is_forwardable(kind, out->ref, body))
		return FL_DECODE_MALFORMED;
	out->kind = (enum fl_request_kind)kind;
	out->body = body ? body->valuestring : NULL;
	return FL_DECODE_OK;
}

enum fl_decode_result fl_forwarded_request_decode(const char *text, size_t length,
                                                  struct fl_forwarded_request *forwarded)
{
	enum fl_decode_result result;

	memset(forwarded, 0, sizeof(*forwarded));
	forwarded->tree = fl_json_parse(text, length);
	result = decode_forwarded(forwarded->tree, forwarded);
	if (result != FL_DECODE_OK)
		fl_forwarded_request_free(forwarded);
	return result;
}

void fl_forwarded_request_free(struct fl_forwarded_request *forwarded)
{
	cJSON_Delete(forwarded->tree);
	forwarded->tree = NULL;
}
