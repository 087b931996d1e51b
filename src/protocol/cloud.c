#include "protocol/cloud.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	double request_timeout_s, default_pull_gb_per_s;
} tunables = {
	.request_timeout_s = 4.0, /* the cloud is slow at times and may make a rental after that */
	.default_pull_gb_per_s = 1.0, /* GB/s, for a type whose rate is missing or 0 */
};

static enum fl_cloud_result result_of_http_status(int status)
{
	switch (status) {
	case 200:
		return FL_CLOUD_OK;
	case 429:
	case 503:
		return FL_CLOUD_UNAVAILABLE;
	default:
		return FL_CLOUD_UNEXPECTED_RESPONSE;
	}
}

static enum fl_cloud_result result_of_decoding(enum fl_decode_result result)
{
	switch (result) {
	case FL_DECODE_OK:
		return FL_CLOUD_OK;
	case FL_DECODE_MALFORMED:
		return FL_CLOUD_UNEXPECTED_RESPONSE;
	case FL_DECODE_NO_MEMORY:
		break;
	}
	return FL_CLOUD_OUTCOME_UNKNOWN;
}

const char *fl_cloud_result_text(enum fl_cloud_result result)
{
	switch (result) {
	case FL_CLOUD_OK:
		return "done";
	case FL_CLOUD_NO_CAPACITY:
		return "no capacity";
	case FL_CLOUD_UNAVAILABLE:
		return "unavailable";
	case FL_CLOUD_CANCELLED:
		return "cancelled";
	case FL_CLOUD_OUTCOME_UNKNOWN:
		return "outcome unknown";
	case FL_CLOUD_UNEXPECTED_RESPONSE:
		return "unexpected response";
	}
	return "unknown result";
}

/* A response of the cloud. */
struct response {
	int status;  /* 0: no response */
	cJSON *tree; /* owned; NULL: none, or not valid JSON */
};

/* Sends a request and frees `body`. The caller owns `response->tree` on every result. */
static enum fl_cloud_result send_request(struct fl_cloud *cloud, const char *method,
                                         const char *path, cJSON *body, struct response *response)
{
	char *text = body ? fl_json_print_and_delete(body) : NULL;
	struct fl_http_reply reply;
	int rc = fl_http_call(&cloud->http, method, path, text, tunables.request_timeout_s, &reply);

	free(text);
	*response = (struct response){0};
	if (rc == -ECANCELED)
		return FL_CLOUD_CANCELLED;
	if (rc)
		return FL_CLOUD_OUTCOME_UNKNOWN;
	response->status = reply.status;
	response->tree = fl_json_parse(reply.body.data, reply.body.length);
	fl_buffer_free(&reply.body);
	return result_of_http_status(reply.status);
}

static enum fl_decode_result decode_machine_type_amounts(const cJSON *item,
                                                         struct fl_cloud_machine_type *type)
{
	if (fl_json_get_amount(item, "Vcpus", &type->cpus) != FL_JSON_OK ||
	    fl_json_get_amount(item, "Accelerators", &type->gpus) != FL_JSON_OK ||
	    fl_json_get_amount(item, "RamGb", &type->ram_gb) != FL_JSON_OK ||
	    fl_json_get_amount(item, "Price", &type->price) != FL_JSON_OK ||
	    fl_json_get_amount(item, "ReadyS", &type->boot_time_s) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	type->spot_price = type->price;
	type->pull_gb_per_s = tunables.default_pull_gb_per_s;
	if (fl_json_get_amount(item, "SpotPrice", &type->spot_price) == FL_JSON_INVALID ||
	    fl_json_get_amount(item, "PullGbPerS", &type->pull_gb_per_s) == FL_JSON_INVALID ||
	    fl_json_get_amount(item, "LocalGb", &type->cache_gb) == FL_JSON_INVALID)
		return FL_DECODE_MALFORMED;
	if (type->pull_gb_per_s <= 0)
		type->pull_gb_per_s = tunables.default_pull_gb_per_s;
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_machine_type(const cJSON *item,
                                                 struct fl_cloud_machine_type *type)
{
	const cJSON *zones = fl_json_get(item, "Sites"), *zone;

	if (fl_json_get_string(item, "Name", type->name, sizeof(type->name)) != FL_JSON_OK ||
	    decode_machine_type_amounts(item, type) != FL_DECODE_OK || !cJSON_IsArray(zones))
		return FL_DECODE_MALFORMED;
	cJSON_ArrayForEach (zone, zones) {
		if (type->zone_count == FL_TYPE_ZONES_MAX ||
		    fl_json_read_string(zone, type->zones[type->zone_count], FL_NAME_MAX) !=
		            FL_JSON_OK)
			return FL_DECODE_MALFORMED;
		type->zone_count++;
	}
	return FL_DECODE_OK;
}

enum fl_decode_result fl_machine_types_decode(const cJSON *object,
                                              struct fl_cloud_machine_type **types, int *count)
{
	const cJSON *list = fl_json_get(object, "HostKinds"), *item;

	*types = NULL;
	*count = 0;
	if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) == 0)
		return FL_DECODE_MALFORMED;
	*types = calloc((size_t)cJSON_GetArraySize(list), sizeof(**types));
	if (!*types)
		return FL_DECODE_NO_MEMORY;
	cJSON_ArrayForEach (item, list) {
		if (decode_machine_type(item, &(*types)[*count]) != FL_DECODE_OK) {
			free(*types);
			*types = NULL;
			*count = 0;
			return FL_DECODE_MALFORMED;
		}
		(*count)++;
	}
	return FL_DECODE_OK;
}

static cJSON *encode_machine_type(const struct fl_cloud_machine_type *type)
{
	cJSON *item = cJSON_CreateObject(), *zones;

	cJSON_AddStringToObject(item, "Name", type->name);
	cJSON_AddNumberToObject(item, "Vcpus", type->cpus);
	cJSON_AddNumberToObject(item, "Accelerators", type->gpus);
	cJSON_AddNumberToObject(item, "RamGb", type->ram_gb);
	cJSON_AddNumberToObject(item, "LocalGb", type->cache_gb);
	cJSON_AddNumberToObject(item, "PullGbPerS", type->pull_gb_per_s);
	cJSON_AddNumberToObject(item, "Price", type->price);
	cJSON_AddNumberToObject(item, "SpotPrice", type->spot_price);
	cJSON_AddNumberToObject(item, "ReadyS", type->boot_time_s);
	zones = cJSON_AddArrayToObject(item, "Sites");
	for (int z = 0; z < type->zone_count; z++)
		cJSON_AddItemToArray(zones, cJSON_CreateString(type->zones[z]));
	return item;
}

cJSON *fl_machine_types_encode(const struct fl_cloud_machine_type *types, int count)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "HostKinds");

	for (int i = 0; i < count; i++)
		cJSON_AddItemToArray(list, encode_machine_type(&types[i]));
	return object;
}

enum fl_cloud_result fl_cloud_get_machine_types(struct fl_cloud *cloud,
                                                struct fl_cloud_machine_type **types, int *count)
{
	struct response response;
	enum fl_cloud_result result = send_request(cloud, "GET", "/machine_types", NULL, &response);

	*types = NULL;
	*count = 0;
	if (result == FL_CLOUD_OK)
		result = result_of_decoding(fl_machine_types_decode(response.tree, types, count));
	cJSON_Delete(response.tree);
	return result;
}

/*
 * Returns whether the response is a 503 for lack of capacity, which lasts. A 503 with another
 * reason, or with none, is temporary.
 */
static bool is_out_of_capacity(const struct response *response)
{
	char reason[64];

	return response->status == 503 &&
	       fl_json_get_string(response->tree, "error", reason, sizeof(reason)) == FL_JSON_OK &&
	       strcmp(reason, "no capacity") == 0;
}

static enum fl_decode_result decode_rented_hosts(const cJSON *response, char (**hosts)[FL_NAME_MAX],
                                                 int *host_count)
{
	const cJSON *list = fl_json_get(response, "Hosts"), *item;

	if (!cJSON_IsArray(list))
		return FL_DECODE_MALFORMED;
	*hosts = calloc((size_t)cJSON_GetArraySize(list) + 1, sizeof(**hosts));
	if (!*hosts)
		return FL_DECODE_NO_MEMORY;
	cJSON_ArrayForEach (item, list)
		if (fl_json_read_string(item, (*hosts)[*host_count], FL_NAME_MAX) == FL_JSON_OK)
			(*host_count)++;
	return FL_DECODE_OK;
}

enum fl_cloud_result fl_cloud_rent_machines(struct fl_cloud *cloud,
                                            const struct fl_cloud_rental *rental,
                                            char (**hosts)[FL_NAME_MAX], int *host_count)
{
	cJSON *body = cJSON_CreateObject();
	enum fl_cloud_result result;
	struct response response;

	*hosts = NULL;
	*host_count = 0;
	cJSON_AddStringToObject(body, "Rental", rental->name);
	cJSON_AddStringToObject(body, "HostKind", rental->type);
	cJSON_AddStringToObject(body, "Site", rental->zone);
	cJSON_AddBoolToObject(body, "Reclaimable", rental->spot);
	cJSON_AddNumberToObject(body, "Count", rental->count);
	result = send_request(cloud, "POST", "/rentals", body, &response);
	if (result == FL_CLOUD_UNAVAILABLE && is_out_of_capacity(&response))
		result = FL_CLOUD_NO_CAPACITY;
	if (result == FL_CLOUD_OK)
		result = result_of_decoding(decode_rented_hosts(response.tree, hosts, host_count));
	cJSON_Delete(response.tree);
	return result;
}

enum fl_cloud_result fl_cloud_delete_machines(struct fl_cloud *cloud, const char *const *hosts,
                                              int count)
{
	cJSON *body = cJSON_CreateObject();
	enum fl_cloud_result result;
	struct response response;

	cJSON_AddItemToObject(body, "Hosts", cJSON_CreateStringArray(hosts, count));
	result = send_request(cloud, "POST", "/rentals/delete", body, &response);
	cJSON_Delete(response.tree);
	return result;
}

static enum fl_cloud_machine_status machine_status_of_name(const char *name)
{
	if (strcmp(name, "failed") == 0)
		return FL_CLOUD_MACHINE_FAILED;
	if (strcmp(name, "booting") == 0)
		return FL_CLOUD_MACHINE_BOOTING;
	return FL_CLOUD_MACHINE_RUNNING;
}

static enum fl_decode_result decode_machine(const cJSON *item, struct fl_cloud_machine *machine)
{
	char status[32];

	if (fl_json_get_string(item, "Ref", machine->host, sizeof(machine->host)) != FL_JSON_OK ||
	    !machine->host[0] ||
	    fl_json_get_string(item, "HostKind", machine->type, sizeof(machine->type)) !=
	            FL_JSON_OK ||
	    fl_json_get_string(item, "Site", machine->zone, sizeof(machine->zone)) != FL_JSON_OK ||
	    fl_json_get_bool(item, "Reclaimable", &machine->spot) != FL_JSON_OK ||
	    fl_json_get_string(item, "Status", status, sizeof(status)) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	fl_json_get_string(item, "Endpoint", machine->endpoint, sizeof(machine->endpoint));
	fl_json_get_amount(item, "AgeS", &machine->age_s);
	machine->status = machine_status_of_name(status);
	return FL_DECODE_OK;
}

/* Decodes one page of the list; the caller owns `*machines` on every result. */
static enum fl_decode_result decode_machine_page(const cJSON *response,
                                                 struct fl_cloud_machine **machines, int *count,
                                                 bool *more)
{
	const cJSON *list = fl_json_get(response, "Hosts"), *item;

	if (!cJSON_IsArray(list))
		return FL_DECODE_MALFORMED;
	*machines = calloc((size_t)cJSON_GetArraySize(list) + 1, sizeof(**machines));
	if (!*machines)
		return FL_DECODE_NO_MEMORY;
	cJSON_ArrayForEach (item, list) {
		/* Machines missing from a partial list would be treated as returned. */
		if (decode_machine(item, &(*machines)[*count]) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
		(*count)++;
	}
	if (fl_json_get_bool(response, "More", more) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

enum fl_cloud_result fl_cloud_list_machines(struct fl_cloud *cloud, const char *from,
                                            struct fl_cloud_machine **machines, int *count,
                                            bool *more)
{
	char path[FL_NAME_MAX + 64];
	enum fl_cloud_result result;
	struct response response;

	*machines = NULL;
	*count = 0;
	*more = false;
	if (from && *from)
		snprintf(path, sizeof(path), "/rentals?From=%s&Page=%d", from,
		         FL_CLOUD_LIST_PAGE_SIZE);
	else
		snprintf(path, sizeof(path), "/rentals?Page=%d", FL_CLOUD_LIST_PAGE_SIZE);
	result = send_request(cloud, "GET", path, NULL, &response);
	if (result == FL_CLOUD_OK)
		result = result_of_decoding(
			decode_machine_page(response.tree, machines, count, more));
	if (result != FL_CLOUD_OK) {
		free(*machines);
		*machines = NULL;
		*count = 0;
	}
	cJSON_Delete(response.tree);
	return result;
}
