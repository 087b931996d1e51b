#include "protocol/peers.h"

#include <errno.h>
#include <string.h>

char *fl_gossip_encode(const struct fl_gossip *g)
{
	cJSON *o = cJSON_CreateObject();

	cJSON_AddStringToObject(o, "node", g->node);
	cJSON_AddStringToObject(o, "leader", g->leader);
	cJSON_AddNumberToObject(o, "epoch", (double)g->epoch);
	cJSON_AddNumberToObject(o, "proof_age_s", g->proof_age_s);
	cJSON_AddBoolToObject(o, "leads", g->leads);
	return fl_json_take(o);
}

int fl_gossip_decode(const char *body, size_t len, struct fl_gossip *out)
{
	cJSON *o = fl_json_parse(body, len);
	int rc = 0;

	memset(out, 0, sizeof(*out));
	if (fl_json_str(o, "node", out->node, sizeof(out->node)) != FL_FIELD_OK ||
	    fl_json_str(o, "leader", out->leader, sizeof(out->leader)) != FL_FIELD_OK ||
	    fl_json_count(o, "epoch", &out->epoch) != FL_FIELD_OK ||
	    fl_json_amount(o, "proof_age_s", &out->proof_age_s) != FL_FIELD_OK ||
	    fl_json_bool(o, "leads", &out->leads) != FL_FIELD_OK)
		rc = -EPROTO;
	cJSON_Delete(o);
	return rc;
}

char *fl_relay_encode(enum fl_user_call call, bool last_hop, const char *ref, const char *body)
{
	cJSON *o = cJSON_CreateObject();

	cJSON_AddNumberToObject(o, "call", call);
	cJSON_AddBoolToObject(o, "last_hop", last_hop);
	if (ref)
		cJSON_AddStringToObject(o, "ref", ref);
	if (body)
		cJSON_AddStringToObject(o, "body", body);
	return fl_json_take(o);
}

int fl_relay_decode(const char *text, size_t len, struct fl_relay *out)
{
	const cJSON *body;
	uint64_t call;

	memset(out, 0, sizeof(*out));
	out->tree = fl_json_parse(text, len);
	body = fl_json_get(out->tree, "body");
	if (fl_json_count(out->tree, "call", &call) != FL_FIELD_OK || call > FL_CALL_REPORT ||
	    fl_json_bool(out->tree, "last_hop", &out->last_hop) != FL_FIELD_OK ||
	    fl_json_str(out->tree, "ref", out->ref, sizeof(out->ref)) == FL_FIELD_BAD ||
	    (body && !cJSON_IsString(body))) {
		fl_relay_free(out);
		return -EPROTO;
	}
	out->call = (enum fl_user_call)call;
	out->body = body ? body->valuestring : NULL;
	return 0;
}

void fl_relay_free(struct fl_relay *r)
{
	cJSON_Delete(r->tree);
	r->tree = NULL;
}
