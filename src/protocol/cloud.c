#include "protocol/cloud.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/text.h"

static const struct {
	double timeout_s;
} tunables = {
	.timeout_s = 4.0, /* s; the cloud is slow at times, and a rental may be carried out late */
};

static int call(struct fl_cloud *cloud, const char *method, const char *path, cJSON *body,
                cJSON **out, int *status)
{
	char *text = body ? fl_json_print_and_delete(body) : NULL;
	struct fl_http_reply reply;
	int rc = fl_http_call(&cloud->http, method, path, text, tunables.timeout_s, &reply);

	free(text);
	if (rc)
		return rc;
	*status = reply.status;
	*out = fl_json_parse(reply.body.data, reply.body.length);
	fl_buffer_free(&reply.body);
	if (*status == 429 || *status == 503)
		rc = -EAGAIN;
	else if (*status != 200)
		rc = -EPROTO;
	return rc;
}

static int decode_type(const cJSON *e, struct fl_cloud_machine_type *type)
{
	const cJSON *zones = fl_json_get(e, "Sites"), *s;

	if (fl_json_get_string(e, "Name", type->name, sizeof(type->name)) != FL_JSON_OK ||
	    fl_json_get_amount(e, "Vcpus", &type->cpus) != FL_JSON_OK ||
	    fl_json_get_amount(e, "Accelerators", &type->gpus) != FL_JSON_OK ||
	    fl_json_get_amount(e, "RamGb", &type->ram_gb) != FL_JSON_OK ||
	    fl_json_get_amount(e, "Price", &type->price) != FL_JSON_OK ||
	    fl_json_get_amount(e, "ReadyS", &type->ready_s) != FL_JSON_OK || !cJSON_IsArray(zones))
		return -EPROTO;
	type->spot_price = type->price;
	type->pull_gb_s = 1.0;
	if (fl_json_get_amount(e, "SpotPrice", &type->spot_price) == FL_JSON_INVALID ||
	    fl_json_get_amount(e, "PullGbPerS", &type->pull_gb_s) == FL_JSON_INVALID ||
	    fl_json_get_amount(e, "LocalGb", &type->cache_gb) == FL_JSON_INVALID)
		return -EPROTO;
	if (type->pull_gb_s <= 0)
		type->pull_gb_s = 1.0;
	cJSON_ArrayForEach (s, zones) {
		if (!cJSON_IsString(s) || strlen(s->valuestring) >= FL_NAME_MAX ||
		    type->zone_count == FL_TYPE_ZONES_MAX)
			return -EPROTO;
		fl_copy_string(type->zones[type->zone_count++], FL_NAME_MAX, s->valuestring);
	}
	return 0;
}

int fl_machine_types_decode(const cJSON *o, struct fl_cloud_machine_type **out, int *n)
{
	const cJSON *list = fl_json_get(o, "HostKinds"), *e;
	int rc = 0;

	*out = NULL;
	*n = 0;
	if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) == 0)
		return -EPROTO;
	*out = calloc((size_t)cJSON_GetArraySize(list), sizeof(**out));
	if (!*out)
		return -ENOMEM;
	cJSON_ArrayForEach (e, list) {
		rc = decode_type(e, &(*out)[*n]);
		if (rc)
			break;
		(*n)++;
	}
	if (rc) {
		free(*out);
		*out = NULL;
		*n = 0;
	}
	return rc;
}

cJSON *fl_machine_types_encode(const struct fl_cloud_machine_type *types, int n)
{
	cJSON *o = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(o, "HostKinds");

	for (int i = 0; i < n; i++) {
		const struct fl_cloud_machine_type *type = &types[i];
		cJSON *e = cJSON_CreateObject(), *zones;

		cJSON_AddStringToObject(e, "Name", type->name);
		cJSON_AddNumberToObject(e, "Vcpus", type->cpus);
		cJSON_AddNumberToObject(e, "Accelerators", type->gpus);
		cJSON_AddNumberToObject(e, "RamGb", type->ram_gb);
		cJSON_AddNumberToObject(e, "LocalGb", type->cache_gb);
		cJSON_AddNumberToObject(e, "PullGbPerS", type->pull_gb_s);
		cJSON_AddNumberToObject(e, "Price", type->price);
		cJSON_AddNumberToObject(e, "SpotPrice", type->spot_price);
		cJSON_AddNumberToObject(e, "ReadyS", type->ready_s);
		zones = cJSON_AddArrayToObject(e, "Sites");
		for (int z = 0; z < type->zone_count; z++)
			cJSON_AddItemToArray(zones, cJSON_CreateString(type->zones[z]));
		cJSON_AddItemToArray(list, e);
	}
	return o;
}

int fl_cloud_machine_types(struct fl_cloud *cloud, struct fl_cloud_machine_type **out, int *n)
{
	cJSON *o = NULL;
	int status, rc = call(cloud, "GET", "/machine_types", NULL, &o, &status);

	*out = NULL;
	*n = 0;
	if (!rc)
		rc = fl_machine_types_decode(o, out, n);
	cJSON_Delete(o);
	return rc;
}

int fl_cloud_rent(struct fl_cloud *cloud, const char *request, const char *kind, const char *zone,
                  bool spot, int count, char (**hosts)[FL_NAME_MAX], int *n)
{
	cJSON *body = cJSON_CreateObject(), *o = NULL, *e;
	const cJSON *list;
	int status = 0, rc;

	*hosts = NULL;
	*n = 0;
	cJSON_AddStringToObject(body, "Rental", request);
	cJSON_AddStringToObject(body, "HostKind", kind);
	cJSON_AddStringToObject(body, "Site", zone);
	cJSON_AddBoolToObject(body, "Reclaimable", spot);
	cJSON_AddNumberToObject(body, "Count", count);
	rc = call(cloud, "POST", "/rentals", body, &o, &status);
	if (rc == -EAGAIN && status == 503) {
		char why[64] = "";

		fl_json_get_string(o, "error", why, sizeof(why));
		if (strcmp(why, "no capacity") == 0)
			rc = -ENOSPC;
	}
	if (rc)
		goto out;
	list = fl_json_get(o, "Hosts");
	rc = -EPROTO;
	if (!cJSON_IsArray(list))
		goto out;
	rc = 0;
	*hosts = calloc((size_t)cJSON_GetArraySize(list) + 1, sizeof(**hosts));
	if (!*hosts) {
		rc = -ENOMEM;
		goto out;
	}
	cJSON_ArrayForEach (e, list)
		if (cJSON_IsString(e) && strlen(e->valuestring) < FL_NAME_MAX)
			fl_copy_string((*hosts)[(*n)++], FL_NAME_MAX, e->valuestring);
out:
	cJSON_Delete(o);
	return rc;
}

int fl_cloud_delete(struct fl_cloud *cloud, const char *const *hosts, int n)
{
	cJSON *body = cJSON_CreateObject(), *o = NULL;
	int status, rc;

	cJSON_AddItemToObject(body, "Hosts", cJSON_CreateStringArray(hosts, n));
	rc = call(cloud, "POST", "/rentals/delete", body, &o, &status);
	cJSON_Delete(o);
	return rc;
}

static int decode_listed(const cJSON *e, struct fl_cloud_machine *machine)
{
	char status[32];

	if (fl_json_get_string(e, "Ref", machine->host, sizeof(machine->host)) != FL_JSON_OK ||
	    !machine->host[0] ||
	    fl_json_get_string(e, "HostKind", machine->type, sizeof(machine->type)) != FL_JSON_OK ||
	    fl_json_get_string(e, "Site", machine->zone, sizeof(machine->zone)) != FL_JSON_OK ||
	    fl_json_get_bool(e, "Reclaimable", &machine->spot) != FL_JSON_OK ||
	    fl_json_get_string(e, "Status", status, sizeof(status)) != FL_JSON_OK)
		return -EPROTO;
	fl_json_get_string(e, "Endpoint", machine->endpoint, sizeof(machine->endpoint));
	fl_json_get_amount(e, "AgeS", &machine->age_s);
	machine->status = strcmp(status, "failed") == 0    ? FL_CLOUD_MACHINE_FAILED
	                  : strcmp(status, "booting") == 0 ? FL_CLOUD_MACHINE_BOOTING
	                                                   : FL_CLOUD_MACHINE_RUNNING;
	return 0;
}

int fl_cloud_list(struct fl_cloud *cloud, const char *from, struct fl_cloud_machine **out, int *n,
                  bool *more)
{
	char path[FL_NAME_MAX + 64];
	cJSON *o = NULL, *e;
	const cJSON *list;
	int status, rc;

	*out = NULL;
	*n = 0;
	*more = false;
	if (from && *from)
		snprintf(path, sizeof(path), "/rentals?From=%s&Page=%d", from, FL_LIST_PAGE);
	else
		snprintf(path, sizeof(path), "/rentals?Page=%d", FL_LIST_PAGE);
	rc = call(cloud, "GET", path, NULL, &o, &status);
	if (rc)
		goto out;
	list = fl_json_get(o, "Hosts");
	rc = cJSON_IsArray(list) ? 0 : -EPROTO;
	if (rc)
		goto out;
	*out = calloc((size_t)cJSON_GetArraySize(list) + 1, sizeof(**out));
	if (!*out) {
		rc = -ENOMEM;
		goto out;
	}
	cJSON_ArrayForEach (e, list) {
		rc = decode_listed(e, &(*out)[*n]);
		/* A list read in part would make machines look returned. */
		if (rc)
			break;
		(*n)++;
	}
	if (!rc && fl_json_get_bool(o, "More", more) != FL_JSON_OK)
		rc = -EPROTO;
	if (rc) {
		free(*out);
		*out = NULL;
		*n = 0;
	}
out:
	cJSON_Delete(o);
	return rc;
}
