/* The stand-in of the cloud, and what starts and ends all of the stand-ins. */
#include "fake_services_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "transport/coroutine.h"

struct fake_services fake_services;

static struct fl_http_server *servers[MACHINES + 2];
static int n_servers;

void add_server(struct fl_http_server *server)
{
	assert(n_servers < MACHINES + 2);
	servers[n_servers++] = server;
}

void respond(struct fl_http_response *response, int status, cJSON *object)
{
	response->status = status;
	response->body = fl_json_print_and_delete(object ? object : cJSON_CreateObject());
}

bool every_nth(int every, unsigned count) { return every > 0 && count % (unsigned)every == 0; }

struct rental {
	UT_hash_handle hh;
	char name[64];
	cJSON *hosts;
	uint64_t fencing_token; /* of the leader that asked for it */
};

static struct rental *rentals;

/* The same name again rents nothing; reused by another leader it would prevent its rental. */
static const struct rental *rental_of(const cJSON *in, uint64_t count)
{
	char name[64] = "";
	struct rental *rental;
	struct key *key = find_key("c/lead");

	fl_json_get_string(in, "Rental", name, sizeof(name));
	HASH_FIND_STR(rentals, name, rental);
	if (rental) {
		fake_services.names_reused += key && rental->fencing_token != key->mod_revision;
		return rental;
	}
	rental = calloc(1, sizeof(*rental));
	copy_text(rental->name, sizeof(rental->name), name);
	rental->fencing_token = key ? key->mod_revision : 0;
	rental->hosts = cJSON_CreateArray();
	for (uint64_t i = 0; i < count && n_machines < MACHINES; i++)
		cJSON_AddItemToArray(rental->hosts, cJSON_CreateString(add_machine()));
	HASH_ADD_STR(rentals, name, rental);
	return rental;
}

static void on_cloud(void *context, const struct fl_http_request *request,
                     struct fl_http_response *response)
{
	static const char types[] =
		"{\"HostKinds\":[{\"Name\":\"small\",\"Vcpus\":4,\"Accelerators\":0,\"RamGb\":16,"
		"\"LocalGb\":50,\"PullGbPerS\":1.0,\"Price\":1.0,\"SpotPrice\":0.4,\"ReadyS\":1,"
		"\"Sites\":[\"a\"]}]}";
	cJSON *object = cJSON_CreateObject(), *in, *list;
	const cJSON *element;
	uint64_t count = 0;

	(void)context;
	if (fake_services.cloud_out) {
		cJSON_AddStringToObject(object, "error", "trouble");
		respond(response, 503, object);
		return;
	}
	if (strcmp(request->path, "/machine_types") == 0) {
		cJSON_Delete(object);
		respond(response, 200, fl_json_parse(types, strlen(types)));
		return;
	}
	list = cJSON_AddArrayToObject(object, "Hosts");
	in = fl_json_parse(request->body, request->body_len);
	if (strcmp(request->path, "/rentals/delete") == 0) {
		cJSON_ArrayForEach (element, fl_json_get(in, "Hosts"))
			for (int i = 0; i < n_machines; i++)
				if (strcmp(machines[i]->name, element->valuestring) == 0)
					machines[i]->gone = true;
	} else if (request->method == HTTP_POST) {
		fl_json_get_count(in, "Count", &count);
		cJSON_ReplaceItemInObject(object, "Hosts",
		                          cJSON_Duplicate(rental_of(in, count)->hosts, true));
	} else {
		for (int i = 0; i < n_machines; i++) {
			cJSON *h;

			if (machines[i]->gone)
				continue;
			h = cJSON_CreateObject();
			cJSON_AddStringToObject(h, "Ref", machines[i]->name);
			cJSON_AddStringToObject(h, "Endpoint", machines[i]->addr);
			cJSON_AddStringToObject(h, "HostKind", "small");
			cJSON_AddStringToObject(h, "Site", "a");
			cJSON_AddBoolToObject(h, "Reclaimable", false);
			cJSON_AddStringToObject(h, "Status", "running");
			cJSON_AddItemToArray(list, h);
		}
		cJSON_AddBoolToObject(object, "More", false);
	}
	cJSON_Delete(in);
	respond(response, 200, object);
}

void fake_services_start(void)
{
	struct fl_http_server *state = fl_http_serve("127.0.0.1:0", 256, 90, on_state, NULL);
	struct fl_http_server *cloud = fl_http_serve("127.0.0.1:0", 64, 90, on_cloud, NULL);

	assert(state && cloud);
	add_server(state);
	add_server(cloud);
	snprintf(fake_services.kv_store_addr, sizeof(fake_services.kv_store_addr), "127.0.0.1:%d",
	         fl_http_server_port(state));
	snprintf(fake_services.cloud_addr, sizeof(fake_services.cloud_addr), "127.0.0.1:%d",
	         fl_http_server_port(cloud));
	fl_coroutine_spawn(hold_routine, NULL);
}

void fake_services_free(void)
{
	struct rental *rental, *tmp;

	HASH_ITER (hh, rentals, rental, tmp) {
		HASH_DEL(rentals, rental);
		cJSON_Delete(rental->hosts);
		free(rental);
	}
	while (n_servers > 0)
		free(servers[--n_servers]);
}
