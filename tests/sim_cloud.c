/* The cloud: machine types, rentals by name, deletion, and a list that lags. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_response.h"
#include "transport/clock.h"

enum { RENTALS = 512, PAGE = 500 };

const struct sim_machine_type sim_machine_types[SIM_MACHINE_TYPES] = {
	{"c32", 32, 0, 128, 4.0, 6},
	{"g4", 32, 4, 256, 12.0, 8},
};

static struct {
	struct rental {
		char name[64];
		int first, count;
	} rentals[RENTALS];
	int count;
} cl;

static void respond_unavailable(struct fl_http_response *response, const char *why)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddStringToObject(object, "error", why);
	json_response(response, 503, object);
}

static void serve_machine_types(struct fl_http_response *response)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "HostKinds");

	for (int i = 0; i < SIM_MACHINE_TYPES; i++) {
		const struct sim_machine_type *k = &sim_machine_types[i];
		cJSON *item = cJSON_CreateObject(), *zones;

		cJSON_AddStringToObject(item, "Name", k->name);
		cJSON_AddNumberToObject(item, "Vcpus", k->cpus);
		cJSON_AddNumberToObject(item, "Accelerators", k->gpus);
		cJSON_AddNumberToObject(item, "RamGb", k->ram_gb);
		cJSON_AddNumberToObject(item, "LocalGb", 100);
		cJSON_AddNumberToObject(item, "PullGbPerS", 1.0);
		cJSON_AddNumberToObject(item, "Price", k->price);
		cJSON_AddNumberToObject(item, "SpotPrice", k->price * 0.4);
		cJSON_AddNumberToObject(item, "ReadyS", k->ready_s);
		zones = cJSON_AddArrayToObject(item, "Sites");
		for (int z = 0; z < sim.zone_count; z++)
			cJSON_AddItemToArray(zones, cJSON_CreateString(sim.config[0].zones[z]));
		cJSON_AddItemToArray(list, item);
	}
	json_response(response, 200, object);
}

static int type_index(const char *name)
{
	for (int i = 0; i < SIM_MACHINE_TYPES; i++)
		if (strcmp(sim_machine_types[i].name, name) == 0)
			return i;
	return -1;
}

static int zone_index(const char *name)
{
	for (int z = 0; z < sim.zone_count; z++)
		if (strcmp(sim.config[0].zones[z], name) == 0)
			return z;
	return -1;
}

static int rented_count(int type, int zone, bool spot)
{
	int n = 0;

	for (int i = 0; i < sim.machine_count; i++) {
		const struct sim_machine *machine = &sim.machines[i];

		n += !machine->terminated && machine->type == type && machine->zone == zone &&
		     machine->spot == spot;
	}
	return n;
}

/* Up within a second or two, several times too late, or never. */
static void apply_irregular_boot(struct sim_machine *machine)
{
	const struct sim_fault *odd = sim_fault_active(FAULT_IRREGULAR_BOOTS, -1);

	if (!odd || !sim_chance(odd->magnitude))
		return;
	switch (sim_pick(4)) {
	case 0:
		machine->never_boots = true;
		break;
	case 1:
		machine->ready_at =
			fl_now() + sim_between(2, 6) * sim_machine_types[machine->type].ready_s;
		break;
	default:
		machine->ready_at = fl_now() + sim_between(0.2, 2);
		break;
	}
}

static void rent_machine(int type, int zone, bool spot)
{
	struct sim_machine *machine = &sim.machines[sim.machine_count];

	sim_require(sim.machine_count < SIM_MACHINES);
	memset(machine, 0, sizeof(*machine));
	snprintf(machine->name, sizeof(machine->name), "m-%06d", sim.machine_count + 1);
	machine->type = type;
	machine->zone = zone;
	machine->spot = spot;
	machine->rented_at = fl_now();
	machine->never_boots = sim_chance(0.04) && !sim.reliable_machines;
	/* At times up within a second or two: long before it is listed. */
	machine->ready_at = fl_now() + (sim_chance(0.2) ? sim_between(0.5, 2)
	                                                : sim_between(0.6, 1.5) *
	                                                          sim_machine_types[type].ready_s);
	apply_irregular_boot(machine);
	if (spot && sim_chance(0.15) && !sim.reliable_machines)
		machine->interruption_at = fl_now() + sim_between(30, 120);
	sim_machine_boot(sim.machine_count++);
}

static void respond_rental(const struct rental *r, struct fl_http_response *response)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "Hosts");

	for (int i = 0; i < r->count; i++)
		cJSON_AddItemToArray(list, cJSON_CreateString(sim.machines[r->first + i].name));
	json_response(response, 200, object);
}

static void serve_rental(int process, const struct fl_http_request *request,
                         struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(request->body, request->body_len);
	char name[64] = "", type[64] = "", zone[64] = "";
	double count = 0;
	bool spot = false;
	int k, z, room;

	fl_json_get_string(object, "Rental", name, sizeof(name));
	fl_json_get_string(object, "HostKind", type, sizeof(type));
	fl_json_get_string(object, "Site", zone, sizeof(zone));
	fl_json_get_bool(object, "Reclaimable", &spot);
	fl_json_get_amount(object, "Count", &count);
	cJSON_Delete(object);
	k = type_index(type);
	z = zone_index(zone);
	if (!name[0] || k < 0 || z < 0 || count < 1 || count > 50) {
		json_response(response, 400, NULL);
		return;
	}
	sim_check_rental_name(name, process);
	for (int i = 0; i < cl.count; i++)
		if (strcmp(cl.rentals[i].name, name) == 0) {
			respond_rental(&cl.rentals[i], response);
			return;
		}
	room = sim.cloud_capacity - rented_count(k, z, spot);
	if (room <= 0) {
		respond_unavailable(response, "no capacity");
		return;
	}
	sim_require(cl.count < RENTALS);
	snprintf(cl.rentals[cl.count].name, sizeof(cl.rentals[0].name), "%s", name);
	cl.rentals[cl.count].first = sim.machine_count;
	cl.rentals[cl.count].count = count < room ? (int)count : room;
	for (int i = 0; i < cl.rentals[cl.count].count; i++)
		rent_machine(k, z, spot);
	respond_rental(&cl.rentals[cl.count++], response);
}

static int machine_index(const char *name)
{
	for (int i = 0; i < sim.machine_count; i++)
		if (strcmp(sim.machines[i].name, name) == 0)
			return i;
	return -1;
}

static void serve_deletion(const struct fl_http_request *request, struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(request->body, request->body_len), *item;

	cJSON_ArrayForEach (item, fl_json_get(object, "Hosts")) {
		int at = cJSON_IsString(item) ? machine_index(item->valuestring) : -1;

		if (at >= 0) {
			sim.machines[at].failed = false;
			sim_machine_terminate(at);
		}
	}
	cJSON_Delete(object);
	json_response(response, 200, NULL);
}

/* At a moment past: once listed it stays so till it is gone. */
static bool is_listed(struct sim_machine *machine, double then)
{
	if (machine->failed)
		return true;
	if (machine->terminated && machine->terminated_at <= then)
		return false;
	if (machine->rented_at > then && !machine->listed)
		return false;
	machine->listed = true;
	return true;
}

static void serve_list(const struct fl_http_request *request, struct fl_http_response *response)
{
	double then = fl_now() - sim_between(0, sim_chance(0.1) ? 2 : 1) * sim.config[0].list_lag_s;
	cJSON *object = cJSON_CreateObject(), *hosts = cJSON_AddArrayToObject(object, "Hosts");
	const char *from = strstr(request->query, "From=");
	bool more = false;
	int count = 0;

	for (int i = 0; i < sim.machine_count && !more; i++) {
		struct sim_machine *machine = &sim.machines[i];
		char addr[FL_CONFIG_NAME];
		cJSON *item;

		if (from && strncmp(machine->name, from + 5, strlen(machine->name)) <= 0)
			continue;
		if (!is_listed(machine, then))
			continue;
		more = ++count > PAGE;
		if (more)
			break;
		item = cJSON_CreateObject();
		sim_address((struct sim_endpoint){ENDPOINT_WORKER, i}, addr);
		cJSON_AddStringToObject(item, "Ref", machine->name);
		cJSON_AddStringToObject(item, "Endpoint", addr);
		cJSON_AddStringToObject(item, "HostKind", sim_machine_types[machine->type].name);
		cJSON_AddStringToObject(item, "Site", sim.config[0].zones[machine->zone]);
		cJSON_AddBoolToObject(item, "Reclaimable", machine->spot);
		cJSON_AddStringToObject(item, "Status",
		                        machine->failed ? "failed"
		                        : machine->never_boots || machine->ready_at > then
		                                ? "booting"
		                                : "running");
		cJSON_AddNumberToObject(item, "AgeS",
		                        then > machine->rented_at ? then - machine->rented_at : 0);
		cJSON_AddItemToArray(hosts, item);
	}
	cJSON_AddBoolToObject(object, "More", more);
	json_response(response, 200, object);
}

void sim_cloud_serve(struct sim_endpoint from, const struct fl_http_request *request,
                     struct fl_http_response *response)
{
	if (fl_sleep(sim_between(0.01, 0.1)) != 0)
		return;
	if (sim_fault_active(FAULT_CLOUD_UNAVAILABLE, -1))
		respond_unavailable(response, "trouble");
	else if (strcmp(request->path, "/machine_types") == 0)
		serve_machine_types(response);
	else if (strcmp(request->path, "/rentals") == 0 && request->method == HTTP_POST)
		serve_rental(sim_node_process(from.index), request, response);
	else if (strcmp(request->path, "/rentals/delete") == 0)
		serve_deletion(request, response);
	else
		serve_list(request, response);
}

void sim_cloud_end(void) { memset(&cl, 0, sizeof(cl)); }
