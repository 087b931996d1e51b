/* The fake cloud: machine types, rentals by name, deletion, and a machine list that lags. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "json_response.h"
#include "transport/clock.h"

enum { RENTALS_MAX = 512, PAGE_MAX = 500 };

/* The bounds of the delay under FAULT_DELAYED_CLOUD_REQUESTS. */
static const double delay_min_s = 2, delay_max_s = 40;

const struct sim_machine_type sim_machine_types[SIM_MACHINE_TYPES] = {
	{"c32", 32, 0, 128, 4.0, 6},
	{"g4", 32, 4, 256, 12.0, 8},
};

struct rental {
	char name[64];
	int first_machine, machine_count;
};

static struct {
	struct rental rentals[RENTALS_MAX];
	int rental_count;
} cloud;

static void respond_unavailable(struct fl_http_response *response, const char *error)
{
	cJSON *object = cJSON_CreateObject();

	cJSON_AddStringToObject(object, "error", error);
	set_json_response(response, 503, object);
}

static void serve_machine_types(struct fl_http_response *response)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "HostKinds");

	for (int i = 0; i < SIM_MACHINE_TYPES; i++) {
		const struct sim_machine_type *type = &sim_machine_types[i];
		cJSON *item = cJSON_CreateObject(), *zones;

		cJSON_AddStringToObject(item, "Name", type->name);
		cJSON_AddNumberToObject(item, "Vcpus", type->cpus);
		cJSON_AddNumberToObject(item, "Accelerators", type->gpus);
		cJSON_AddNumberToObject(item, "RamGb", type->ram_gb);
		cJSON_AddNumberToObject(item, "LocalGb", 100);
		cJSON_AddNumberToObject(item, "PullGbPerS", 1.0);
		cJSON_AddNumberToObject(item, "Price", type->price);
		cJSON_AddNumberToObject(item, "SpotPrice", type->price * 0.4);
		cJSON_AddNumberToObject(item, "ReadyS", type->boot_time_s);
		zones = cJSON_AddArrayToObject(item, "Sites");
		for (int z = 0; z < sim.zone_count; z++)
			cJSON_AddItemToArray(zones, cJSON_CreateString(sim.config[0].zones[z]));
		cJSON_AddItemToArray(list, item);
	}
	set_json_response(response, 200, object);
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
	int count = 0;

	for (int i = 0; i < sim.machine_count; i++) {
		const struct sim_machine *machine = &sim.machines[i];

		count += !machine->terminated && machine->type == type && machine->zone == zone &&
		         machine->spot == spot;
	}
	return count;
}

/* The machine is up within 2 s, several times too late, or never. */
static void apply_irregular_boot(struct sim_machine *machine)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_IRREGULAR_BOOTS, -1);

	if (!fault || !sim_chance(fault->magnitude))
		return;
	switch (sim_random_index(4)) {
	case 0:
		machine->never_boots = true;
		break;
	case 1:
		machine->ready_at = fl_now() + sim_random_between(2, 6) *
		                                       sim_machine_types[machine->type].boot_time_s;
		break;
	default:
		machine->ready_at = fl_now() + sim_random_between(0.2, 2);
		break;
	}
}

static void rent_machine(int type, int zone, bool spot)
{
	struct sim_machine *machine = &sim.machines[sim.machine_count];
	double boot_s;

	sim_require(sim.machine_count < SIM_MACHINES);
	memset(machine, 0, sizeof(*machine));
	snprintf(machine->name, sizeof(machine->name), "m-%06d", sim.machine_count + 1);
	machine->type = type;
	machine->zone = zone;
	machine->spot = spot;
	machine->rented_at = fl_now();
	machine->never_boots = sim_chance(0.04) && !sim.reliable_machines;
	/* Some machines are up within 2 s, often before they are listed. */
	boot_s = sim_chance(0.2)
	                 ? sim_random_between(0.5, 2)
	                 : sim_random_between(0.6, 1.5) * sim_machine_types[type].boot_time_s;
	machine->ready_at = fl_now() + boot_s;
	apply_irregular_boot(machine);
	if (spot && sim_chance(0.15) && !sim.reliable_machines)
		machine->interruption_at = fl_now() + sim_random_between(30, 120);
	sim_machine_boot(sim.machine_count++);
}

static void respond_rental(const struct rental *rental, struct fl_http_response *response)
{
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "Hosts");

	for (int i = 0; i < rental->machine_count; i++)
		cJSON_AddItemToArray(
			list, cJSON_CreateString(sim.machines[rental->first_machine + i].name));
	set_json_response(response, 200, object);
}

struct rental_request {
	char name[64];
	int type, zone;
	bool spot;
	double count;
};

/* Returns false if the request is invalid. */
static bool decode_rental_request(const struct fl_http_request *request,
                                  struct rental_request *rental)
{
	cJSON *object = fl_json_parse(request->body, request->body_len);
	char type[64] = "", zone[64] = "";

	memset(rental, 0, sizeof(*rental));
	fl_json_get_string(object, "Rental", rental->name, sizeof(rental->name));
	fl_json_get_string(object, "HostKind", type, sizeof(type));
	fl_json_get_string(object, "Site", zone, sizeof(zone));
	fl_json_get_bool(object, "Reclaimable", &rental->spot);
	fl_json_get_amount(object, "Count", &rental->count);
	cJSON_Delete(object);
	rental->type = type_index(type);
	rental->zone = zone_index(zone);
	return rental->name[0] && rental->type >= 0 && rental->zone >= 0 && rental->count >= 1 &&
	       rental->count <= 50;
}

static const struct rental *find_rental(const char *name)
{
	for (int i = 0; i < cloud.rental_count; i++)
		if (strcmp(cloud.rentals[i].name, name) == 0)
			return &cloud.rentals[i];
	return NULL;
}

/* Returns NULL if there is no capacity. */
static const struct rental *add_rental(const struct rental_request *request)
{
	int capacity =
		sim.cloud_capacity - rented_count(request->type, request->zone, request->spot);
	struct rental *rental;

	if (capacity <= 0)
		return NULL;
	sim_require(cloud.rental_count < RENTALS_MAX);
	rental = &cloud.rentals[cloud.rental_count++];
	copy_text(rental->name, sizeof(rental->name), request->name);
	rental->first_machine = sim.machine_count;
	rental->machine_count = request->count < capacity ? (int)request->count : capacity;
	for (int i = 0; i < rental->machine_count; i++)
		rent_machine(request->type, request->zone, request->spot);
	return rental;
}

/* A name that was used before rents nothing, and gets the same reply. */
static void serve_rental(int process, const struct fl_http_request *http,
                         struct fl_http_response *response)
{
	struct rental_request request;
	const struct rental *rental;

	if (!decode_rental_request(http, &request)) {
		set_json_response(response, 400, NULL);
		return;
	}
	sim_check_rental_name(request.name, process);
	rental = find_rental(request.name);
	if (!rental)
		rental = add_rental(&request);
	if (rental)
		respond_rental(rental, response);
	else
		respond_unavailable(response, "no capacity");
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
		int machine = cJSON_IsString(item) ? machine_index(item->valuestring) : -1;

		if (machine >= 0) {
			sim.machines[machine].failed = false;
			sim_machine_terminate(machine);
		}
	}
	cJSON_Delete(object);
	set_json_response(response, 200, NULL);
}

/* Returns whether a list of that past time has the machine; once listed, it stays until its end. */
static bool is_listed(struct sim_machine *machine, double as_of)
{
	if (machine->failed)
		return true;
	if (machine->terminated && machine->terminated_at <= as_of)
		return false;
	if (machine->rented_at > as_of && !machine->listed)
		return false;
	machine->listed = true;
	return true;
}

static const char *machine_status_at(const struct sim_machine *machine, double as_of)
{
	if (machine->failed)
		return "failed";
	return machine->never_boots || machine->ready_at > as_of ? "booting" : "running";
}

static cJSON *encode_machine(int index, double as_of)
{
	const struct sim_machine *machine = &sim.machines[index];
	cJSON *item = cJSON_CreateObject();
	char address[FL_CONFIG_NAME_SIZE];

	sim_endpoint_address((struct sim_endpoint){ENDPOINT_WORKER, index}, address);
	cJSON_AddStringToObject(item, "Ref", machine->name);
	cJSON_AddStringToObject(item, "Endpoint", address);
	cJSON_AddStringToObject(item, "HostKind", sim_machine_types[machine->type].name);
	cJSON_AddStringToObject(item, "Site", sim.config[0].zones[machine->zone]);
	cJSON_AddBoolToObject(item, "Reclaimable", machine->spot);
	cJSON_AddStringToObject(item, "Status", machine_status_at(machine, as_of));
	cJSON_AddNumberToObject(item, "AgeS",
	                        as_of > machine->rented_at ? as_of - machine->rented_at : 0);
	return item;
}

/* Returns whether the machine comes after the previous page, whose last name is in `from`. */
static bool is_after_previous_page(const struct sim_machine *machine, const char *from)
{
	return !from || strncmp(machine->name, from + strlen("From="), strlen(machine->name)) > 0;
}

/* The list shows a past state, which is up to list_lag_s old, and at times twice that. */
static void serve_list(const struct fl_http_request *request, struct fl_http_response *response)
{
	double as_of = fl_now() -
	               sim_random_between(0, sim_chance(0.1) ? 2 : 1) * sim.config[0].list_lag_s;
	cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "Hosts");
	const char *from = strstr(request->query, "From=");
	bool more = false;
	int count = 0;

	for (int i = 0; i < sim.machine_count && !more; i++) {
		if (!is_after_previous_page(&sim.machines[i], from) ||
		    !is_listed(&sim.machines[i], as_of))
			continue;
		more = ++count > PAGE_MAX;
		if (!more)
			cJSON_AddItemToArray(list, encode_machine(i, as_of));
	}
	cJSON_AddBoolToObject(object, "More", more);
	set_json_response(response, 200, object);
}

/* Returns whether the request is held up: it is carried out late, and its reply is lost. */
static bool hold_up_request(const struct fl_http_request *request)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_CLOUD_REQUESTS, -1);

	if (!fault || request->method != HTTP_POST || !sim_chance(fault->magnitude))
		return false;
	fl_sleep(sim_random_between(delay_min_s, delay_max_s));
	return true;
}

void sim_cloud_serve(int process, const struct fl_http_request *request,
                     struct fl_http_response *response)
{
	bool held_up;

	if (fl_sleep(sim_random_between(0.01, 0.1)) != 0)
		return;
	held_up = hold_up_request(request);
	if (sim_fault_active(FAULT_CLOUD_UNAVAILABLE, -1))
		respond_unavailable(response, "unavailable");
	else if (strcmp(request->path, "/machine_types") == 0)
		serve_machine_types(response);
	else if (strcmp(request->path, "/rentals") == 0 && request->method == HTTP_POST)
		serve_rental(process, request, response);
	else if (strcmp(request->path, "/rentals/delete") == 0)
		serve_deletion(request, response);
	else
		serve_list(request, response);
	if (held_up)
		response->status = SIM_NO_REPLY;
}

void sim_cloud_end(void) { memset(&cloud, 0, sizeof(cloud)); }
