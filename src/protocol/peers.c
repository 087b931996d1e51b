#include "protocol/peers.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "transport/text.h"

char *fl_gossip_encode(const struct fl_gossip *gossip)
{
	cJSON *object = cJSON_CreateObject(), *list, *item;

	cJSON_AddStringToObject(object, "node", gossip->node);
	cJSON_AddStringToObject(object, "leader", gossip->leader);
	cJSON_AddNumberToObject(object, "epoch", (double)gossip->fencing_token);
	cJSON_AddNumberToObject(object, "proof_age_s", gossip->leadership_age_s);
	cJSON_AddBoolToObject(object, "leads", gossip->is_leader);
	cJSON_AddNumberToObject(object, "known_age_s", gossip->watermark_age_s);
	cJSON_AddBoolToObject(object, "whole", gossip->complete);
	list = cJSON_AddArrayToObject(object, "cancelled");
	for (int i = 0; i < gossip->cancelled_count; i++) {
		item = cJSON_CreateArray();
		cJSON_AddItemToArray(item, cJSON_CreateString(gossip->cancelled[i].ref));
		cJSON_AddItemToArray(item, cJSON_CreateNumber(gossip->cancelled[i].age_s));
		cJSON_AddItemToArray(list, item);
	}
	return fl_json_print_and_delete(object);
}

static int decode_cancelled(const cJSON *list, struct fl_gossip *out)
{
	int n = cJSON_GetArraySize(list);
	const cJSON *item;

	if (!cJSON_IsArray(list) || n > FL_GOSSIP_CANCELLED_MAX)
		return -EPROTO;
	out->cancelled = calloc((size_t)n + 1, sizeof(*out->cancelled));
	if (!out->cancelled)
		return -ENOMEM;
	cJSON_ArrayForEach (item, list) {
		const cJSON *ref = cJSON_GetArrayItem(item, 0), *age = cJSON_GetArrayItem(item, 1);
		struct fl_cancellation *cancellation = &out->cancelled[out->cancelled_count++];

		if (!cJSON_IsString(ref) || strlen(ref->valuestring) >= sizeof(cancellation->ref) ||
		    !fl_job_ref_is_valid(ref->valuestring) || !cJSON_IsNumber(age) ||
		    !(age->valuedouble >= 0))
			return -EPROTO;
		fl_copy_string(cancellation->ref, sizeof(cancellation->ref), ref->valuestring);
		cancellation->age_s = age->valuedouble;
	}
	return 0;
}

int fl_gossip_decode(const char *body, size_t len, struct fl_gossip *out)
{
	cJSON *object = fl_json_parse(body, len);
	int rc = 0;

	memset(out, 0, sizeof(*out));
	if (fl_json_get_string(object, "node", out->node, sizeof(out->node)) != FL_JSON_OK ||
	    fl_json_get_string(object, "leader", out->leader, sizeof(out->leader)) != FL_JSON_OK ||
	    fl_json_get_count(object, "epoch", &out->fencing_token) != FL_JSON_OK ||
	    fl_json_get_amount(object, "proof_age_s", &out->leadership_age_s) != FL_JSON_OK ||
	    fl_json_get_bool(object, "leads", &out->is_leader) != FL_JSON_OK ||
	    fl_json_get_amount(object, "known_age_s", &out->watermark_age_s) != FL_JSON_OK ||
	    fl_json_get_bool(object, "whole", &out->complete) != FL_JSON_OK)
		rc = -EPROTO;
	if (!rc)
		rc = decode_cancelled(fl_json_get(object, "cancelled"), out);
	if (rc)
		fl_gossip_free(out);
	cJSON_Delete(object);
	return rc;
}

void fl_gossip_free(struct fl_gossip *gossip)
{
	free(gossip->cancelled);
	gossip->cancelled = NULL;
	gossip->cancelled_count = 0;
}

char *fl_forwarded_request_encode(enum fl_user_request kind, bool last_hop, const char *ref,
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

/* Only what a node relays; nothing else may come by this way, and no id of another form. */
static bool is_forwardable(uint64_t call, const char *ref, const cJSON *body)
{
	if (call == FL_USER_REQUEST_SUBMIT)
		return cJSON_IsString(body) && !ref[0];
	return (call == FL_USER_REQUEST_STATUS || call == FL_USER_REQUEST_CANCEL) && !body &&
	       fl_job_ref_is_valid(ref);
}

int fl_forwarded_request_decode(const char *text, size_t len,
                                struct fl_forwarded_request *forwarded)
{
	const cJSON *body;
	uint64_t call;

	memset(forwarded, 0, sizeof(*forwarded));
	forwarded->tree = fl_json_parse(text, len);
	body = fl_json_get(forwarded->tree, "body");
	if (fl_json_get_count(forwarded->tree, "call", &call) != FL_JSON_OK ||
	    fl_json_get_bool(forwarded->tree, "last_hop", &forwarded->last_hop) != FL_JSON_OK ||
	    fl_json_get_string(forwarded->tree, "ref", forwarded->ref, sizeof(forwarded->ref)) ==
	            FL_JSON_INVALID ||
	    !is_forwardable(call, forwarded->ref, body)) {
		fl_forwarded_request_free(forwarded);
		return -EPROTO;
	}
	forwarded->kind = (enum fl_user_request)call;
	forwarded->body = body ? body->valuestring : NULL;
	return 0;
}

void fl_forwarded_request_free(struct fl_forwarded_request *forwarded)
{
	cJSON_Delete(forwarded->tree);
	forwarded->tree = NULL;
}

/* [host,session,sequence number,epoch,reclaim_in,[[ref,index,attempt,state,exit],...]] */
char *fl_cached_heartbeat_encode(const struct fl_heartbeat *heartbeat)
{
	cJSON *item = cJSON_CreateArray(), *tasks = cJSON_CreateArray();

	cJSON_AddItemToArray(item, cJSON_CreateString(heartbeat->host));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)heartbeat->incarnation));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)heartbeat->sequence));
	cJSON_AddItemToArray(item, cJSON_CreateNumber((double)heartbeat->fencing_token));
	cJSON_AddItemToArray(item, cJSON_CreateNumber(heartbeat->interruption_in_s));
	for (int i = 0; i < heartbeat->task_count; i++) {
		const struct fl_task_status *status = &heartbeat->tasks[i];
		cJSON *entry = cJSON_CreateArray();

		cJSON_AddItemToArray(entry, cJSON_CreateString(status->ref));
		cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->index));
		cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->attempt));
		cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->state));
		if (status->state == FL_TASK_STATE_EXITED)
			cJSON_AddItemToArray(entry, cJSON_CreateNumber(status->exit));
		cJSON_AddItemToArray(tasks, entry);
	}
	cJSON_AddItemToArray(item, tasks);
	return fl_json_print_and_delete(item);
}

static int decode_cached_task(const cJSON *entry, struct fl_task_status *status)
{
	const cJSON *ref = cJSON_GetArrayItem(entry, 0);
	uint64_t index, attempt, state, why = FL_EXIT_OTHER;

	if (!cJSON_IsString(ref) || strlen(ref->valuestring) >= FL_REF_MAX ||
	    !fl_job_ref_is_valid(ref->valuestring) ||
	    fl_json_get_item(entry, 1, FL_TASKS_MAX - 1, &index) != FL_JSON_OK ||
	    fl_json_get_item(entry, 2, UINT32_MAX, &attempt) != FL_JSON_OK ||
	    fl_json_get_item(entry, 3, FL_TASK_STATE_AWAITING_GANG, &state) != FL_JSON_OK ||
	    fl_json_get_item(entry, 4, FL_EXIT_OTHER, &why) == FL_JSON_INVALID)
		return -EPROTO;
	fl_copy_string(status->ref, sizeof(status->ref), ref->valuestring);
	status->index = (uint32_t)index;
	status->attempt = (uint32_t)attempt;
	status->state = (enum fl_task_state)state;
	status->exit = (enum fl_exit)why;
	return 0;
}

int fl_cached_heartbeat_decode(const cJSON *item, struct fl_heartbeat *out)
{
	const cJSON *host = cJSON_GetArrayItem(item, 0), *notice = cJSON_GetArrayItem(item, 4);
	const cJSON *tasks = cJSON_GetArrayItem(item, 5), *entry;

	memset(out, 0, sizeof(*out));
	if (!cJSON_IsString(host) || !host->valuestring[0] ||
	    strlen(host->valuestring) >= sizeof(out->host) ||
	    fl_json_get_item(item, 1, FL_COUNT_MAX, &out->incarnation) != FL_JSON_OK ||
	    fl_json_get_item(item, 2, FL_COUNT_MAX, &out->sequence) != FL_JSON_OK ||
	    fl_json_get_item(item, 3, FL_COUNT_MAX, &out->fencing_token) != FL_JSON_OK ||
	    !cJSON_IsNumber(notice) || !cJSON_IsArray(tasks))
		return -EPROTO;
	fl_copy_string(out->host, sizeof(out->host), host->valuestring);
	out->interruption_in_s = notice->valuedouble >= 0 ? notice->valuedouble : -1;
	out->tasks = calloc((size_t)cJSON_GetArraySize(tasks) + 1, sizeof(*out->tasks));
	if (!out->tasks)
		return -ENOMEM;
	cJSON_ArrayForEach (entry, tasks) {
		if (decode_cached_task(entry, &out->tasks[out->task_count]) != 0) {
			fl_heartbeat_free(out);
			return -EPROTO;
		}
		out->task_count++;
	}
	return 0;
}

cJSON *fl_digest_begin(uint64_t fencing_token)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddNumberToObject(object, "epoch", (double)fencing_token);
	cJSON_AddArrayToObject(object, "kept");
	return object;
}

void fl_digest_add(cJSON *digest, const char *cached)
{
	cJSON_AddItemToArray(cJSON_GetObjectItemCaseSensitive(digest, "kept"),
	                     cJSON_CreateRaw(cached));
}

const cJSON *fl_digest_heartbeats(const cJSON *digest) { return fl_json_get(digest, "kept"); }
