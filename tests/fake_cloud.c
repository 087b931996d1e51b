/* The fake of the cloud: one machine type, rentals by name, deletion, and a list. */
#include "fake_services_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "copy_text.h"
#include "json_response.h"

struct rental {
	UT_hash_handle hh;
	char name[64];
	cJSON *machines;
	uint64_t fencing_token; /* of the leader that asked for it */
};

static struct rental *rentals;

static struct rental *add_rental(const char *name, uint64_t fencing_token, uint64_t count)
{
	struct rental *rental = calloc(1, sizeof(*rental));

	assert(rental);
	copy_text(rental->name, sizeof(rental->name), name);
	rental->fencing_token = fencing_token;
	rental->machines = cJSON_CreateArray();
	for (uint64_t i = 0; i < count && fake_machine_count < FAKE_MACHINES; i++)
		cJSON_AddItemToArray(rental->machines,
		                     cJSON_CreateString(fake_machine_add()->name));
	HASH_ADD_STR(rentals, name, rental);
	return rental;
}

/* The same name again rents nothing; reused by another leader it would prevent its rental. */
static const struct rental *find_or_add_rental(const cJSON *body)
{
	const struct kv_entry *leader = fake_kv_find("c/lead");
	char name[64] = "";
	struct rental *rental;
	uint64_t count = 0;

	fl_json_get_string(body, "Rental", name, sizeof(name));
	fl_json_get_uint(body, "Count", &count);
	HASH_FIND_STR(rentals, name, rental);
	if (!rental)
		return add_rental(name, leader ? leader->mod_revision : 0, count);
	if (leader && rental->fencing_token != leader->mod_revision)
		fake_services.rental_names_reused++;
	return rental;
}

static void serve_machine_types(struct fl_http_response *response)
{
	static const char types[] =
		"{\"HostKinds\":[{\"Name\":\"small\",\"Vcpus\":4,\"Accelerators\":0,\"RamGb\":16,"
		"\"LocalGb\":50,\"PullGbPerS\":1.0,\"Price\":1.0,\"SpotPrice\":0.4,\"ReadyS\":1,"
		"\"Sites\":[\"a\"]}]}";

	set_json_response(response, 200, fl_json_parse(types, strlen(types)));
}

static void serve_rental(const struct fl_http_request *request, struct fl_http_response *response)
{
	cJSON *body = fl_json_parse(request->body, request->body_len);
	cJSON *object = cJSON_CreateObject();

	cJSON_AddItemToObject(object, "Hosts",
	                      cJSON_Duplicate(find_or_add_rental(body)->machines, true));
	cJSON_Delete(body);
	set_json_response(response, 200, object);
}

static void delete_machine(const char *name)
{
	for (int i = 0; i < fake_machine_count; i++)
		if (strcmp(fake_machines[i]->name, name) == 0)
			fake_machines[i]->deleted = true;
}

static void serve_deletion(const struct fl_http_request *request, struct fl_http_response *response)
{
	cJSON *body = fl_json_parse(request->body, request->body_len);
	cJSON *object = cJSON_CreateObject();
	const cJSON *name;

	cJSON_ArrayForEach (name, fl_json_get(body, "Hosts"))
		delete_machine(name->valuestring);
	cJSON_Delete(body);
	cJSON_AddArrayToObject(object, "Hosts");
	set_json_response(response, 200, object);
}

static cJSON *encode_machine(const struct fake_machine *machine)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, "Ref", machine->name);
	cJSON_AddStringToObject(item, "Endpoint", machine->addr);
	cJSON_AddStringToObject(item, "HostKind", "small");
	cJSON_AddStringToObject(item, "Site", "a");
	cJSON_AddBoolToObject(item, "Reclaimable", false);
	cJSON_AddStringToObject(item, "Status", "running");
	return item;
}

static void serve_list(struct fl_http_response *response)
{
	cJSON *object = cJSON_CreateObject();
	cJSON *list = cJSON_AddArrayToObject(object, "Hosts");

	for (int i = 0; i < fake_machine_count; i++)
		if (!fake_machines[i]->deleted)
			cJSON_AddItemToArray(list, encode_machine(fake_machines[i]));
	cJSON_AddBoolToObject(object, "More", false);
	set_json_response(response, 200, object);
}

static void on_cloud_request(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response)
{
	(void)context;
	if (fake_services.cloud_unavailable) {
		cJSON *object = cJSON_CreateObject();

		cJSON_AddStringToObject(object, "error", "unavailable");
		set_json_response(response, 503, object);
	} else if (strcmp(request->path, "/machine_types") == 0) {
		serve_machine_types(response);
	} else if (strcmp(request->path, "/rentals/delete") == 0) {
		serve_deletion(request, response);
	} else if (request->method == HTTP_POST) {
		serve_rental(request, response);
	} else {
		serve_list(response);
	}
}

struct fl_http_server *fake_cloud_start(void)
{
	return fl_http_serve("127.0.0.1:0", 64, 90, on_cloud_request, NULL);
}

void fake_cloud_free(void)
{
	struct rental *rental, *tmp;

	HASH_ITER (hh, rentals, rental, tmp) {
		HASH_DEL(rentals, rental);
		cJSON_Delete(rental->machines);
		free(rental);
	}
}
