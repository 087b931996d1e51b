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

static int decode_type(const cJSON *item, struct fl_cloud_machine_type *type)
{
	const cJSON *zones = fl_json_get(item, "Sites"), *s;

	if (fl_json_get_string(item, "Name", type->name, sizeof(type->name)) != FL_JSON_OK ||
	    fl_json_get_amount(item, "Vcpus", &type->cpus) != FL_JSON_OK ||
	    fl_json_get_amount(item, "Accelerators", &type->gpus) != FL_JSON_OK ||
	    fl_json_get_amount(item, "RamGb", &type->ram_gb) != FL_JSON_OK ||
	    fl_json_get_amount(item, "Price", &type->price) != FL_JSON_OK ||
	    fl_json_get_amount(item, "ReadyS", &type->ready_s) != FL_JSON_OK ||
	    !cJSON_IsArray(zones))
		return -EPROTO;
	type->spot_price = type->price;
	type->pull_gb_s = 1.0;
	if (fl_json_get_amount(item, "SpotPrice", &type->spot_price) == FL_JSON_INVALID ||
	    fl_json_get_amount(item, "PullGbPerS", &type->pull_gb_s) == FL_JSON_INVALID ||
	    fl_json_get_amount(item, "LocalGb", &type->cache_gb) == FL_JSON_INVALID)
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

int fl_machine_types_decode(const cJSON *object, struct fl_cloud_machine_type **out, int *n)
{
	const cJSON *list = fl_json_get(object, "HostKinds"), *item;
	int rc = 0;

	*out = NULL;
	*n = 0;
	if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) == 0)
		return -EPROTO;
	*out = calloc((size_t)cJSON_GetArraySize(list), sizeof(**out));
	if (!*out)
		return -ENOMEM;
	cJSON_ArrayForEach (item, list) {
		rc = decode_type(item, &(*out)[*n]);
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
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "HostKinds");

	for (int i = 0; i < n; i++) {
		const struct fl_cloud_machine_type *type = &types[i];
		cJSON *item = cJSON_CreateObject(), *zones;

		cJSON_AddStringToObject(item, "Name", type->name);
		cJSON_AddNumberToObject(item, "Vcpus", type->cpus);
		cJSON_AddNumberToObject(item, "Accelerators", type->gpus);
		cJSON_AddNumberToObject(item, "RamGb", type->ram_gb);
		cJSON_AddNumberToObject(item, "LocalGb", type->cache_gb);
		cJSON_AddNumberToObject(item, "PullGbPerS", type->pull_gb_s);
		cJSON_AddNumberToObject(item, "Price", type->price);
		cJSON_AddNumberToObject(item, "SpotPrice", type->spot_price);
		cJSON_AddNumberToObject(item, "ReadyS", type->ready_s);
		zones = cJSON_AddArrayToObject(item, "Sites");
		for (int z = 0; z < type->zone_count; z++)
			cJSON_AddItemToArray(zones, cJSON_CreateString(type->zones[z]));
		cJSON_AddItemToArray(list, item);
	}
	return object;
}

int fl_cloud_machine_types(struct fl_cloud *cloud, struct fl_cloud_machine_type **out, int *n)
{
	cJSON *object = NULL;
	int status, rc = call(cloud, "GET", "/machine_types", NULL, &object, &status);

	*out = NULL;
	*n = 0;
	if (!rc)
		rc = fl_machine_types_decode(object, out, n);
	cJSON_Delete(object);
	return rc;
}

int fl_cloud_rent(struct fl_cloud *cloud, const char *request, const char *kind, const char *zone,
                  bool spot, int count, char (**hosts)[FL_NAME_MAX], int *n)
{
	cJSON *body = cJSON_CreateObject(), *object = NULL, *item;
	const cJSON *list;
	int status = 0, rc;

	*hosts = NULL;
	*n = 0;
	cJSON_AddStringToObject(body, "Rental", request);
	cJSON_AddStringToObject(body, "HostKind", kind);
	cJSON_AddStringToObject(body, "Site", zone);
	cJSON_AddBoolToObject(body, "Reclaimable", spot);
	cJSON_AddNumberToObject(body, "Count", count);
	rc = call(cloud, "POST", "/rentals", body, &object, &status);
	if (rc == -EAGAIN && status == 503) {
		char why[64] = "";

		fl_json_get_string(object, "error", why, sizeof(why));
		if (strcmp(why, "no capacity") == 0)
			rc = -ENOSPC;
	}
	if (rc)
		goto out;
	list = fl_json_get(object, "Hosts");
	rc = -EPROTO;
	if (!cJSON_IsArray(list))
		goto out;
	rc = 0;
	*hosts = calloc((size_t)cJSON_GetArraySize(list) + 1, sizeof(**hosts));
	if (!*hosts) {
		rc = -ENOMEM;
		goto out;
	}
	cJSON_ArrayForEach (item, list)
		if (cJSON_IsString(item) && strlen(item->valuestring) < FL_NAME_MAX)
			fl_copy_string((*hosts)[(*n)++], FL_NAME_MAX, item->valuestring);
out:
	cJSON_Delete(object);
	return rc;
}

int fl_cloud_delete(struct fl_cloud *cloud, const char *const *hosts, int n)
{
	cJSON *body = cJSON_CreateObject(), *object = NULL;
	int status, rc;

	cJSON_AddItemToObject(body, "Hosts", cJSON_CreateStringArray(hosts, n));
	rc = call(cloud, "POST", "/rentals/delete", body, &object, &status);
	cJSON_Delete(object);
	return rc;
}

static int decode_listed(const cJSON *item, struct fl_cloud_machine *machine)
{
	char status[32];

	if (fl_json_get_string(item, "Ref", machine->host, sizeof(machine->host)) != FL_JSON_OK ||
	    !machine->host[0] ||
	    fl_json_get_string(item, "HostKind", machine->type, sizeof(machine->type)) !=
	            FL_JSON_OK ||
	    fl_json_get_string(item, "Site", machine->zone, sizeof(machine->zone)) != FL_JSON_OK ||
	    fl_json_get_bool(item, "Reclaimable", &machine->spot) != FL_JSON_OK ||
	    fl_json_get_string(item, "Status", status, sizeof(status)) != FL_JSON_OK)
		return -EPROTO;
	fl_json_get_string(item, "Endpoint", machine->endpoint, sizeof(machine->endpoint));
	fl_json_get_amount(item, "AgeS", &machine->age_s);
	machine->status = strcmp(status, "failed") == 0    ? FL_CLOUD_MACHINE_FAILED
	                  : strcmp(status, "booting") == 0 ? FL_CLOUD_MACHINE_BOOTING
	                                                   : FL_CLOUD_MACHINE_RUNNING;
	return 0;
}

int fl_cloud_list(struct fl_cloud *cloud, const char *from, struct fl_cloud_machine **out, int *n,
                  bool *more)
{
	char path[FL_NAME_MAX + 64];
	cJSON *object = NULL, *item;
	const cJSON *list;
	int status, rc;

	*out = NULL;
	*n = 0;
	*more = false;
	if (from && *from)
		snprintf(path, sizeof(path), "/rentals?From=%s&Page=%d", from, FL_LIST_PAGE);
	else
		snprintf(path, sizeof(path), "/rentals?Page=%d", FL_LIST_PAGE);
	rc = call(cloud, "GET", path, NULL, &object, &status);
	if (rc)
		goto out;
	list = fl_json_get(object, "Hosts");
	rc = cJSON_IsArray(list) ? 0 : -EPROTO;
	if (rc)
		goto out;
	*out = calloc((size_t)cJSON_GetArraySize(list) + 1, sizeof(**out));
	if (!*out) {
		rc = -ENOMEM;
		goto out;
	}
	cJSON_ArrayForEach (item, list) {
		rc = decode_listed(item, &(*out)[*n]);
		/* A list read in part would make machines look returned. */
		if (rc)
			break;
		(*n)++;
	}
	if (!rc && fl_json_get_bool(object, "More", more) != FL_JSON_OK)
		rc = -EPROTO;
	if (rc) {
		free(*out);
		*out = NULL;
		*n = 0;
	}
out:
	cJSON_Delete(object);
	return rc;
}
