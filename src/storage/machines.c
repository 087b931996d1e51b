#include "storage/machines.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "storage/array.h"
#include "transport/log.h"
#include "transport/text.h"

/* Initial capacities of arrays, in items. */
enum { INITIAL_MACHINE_CAPACITY = 64, INITIAL_ASSIGNMENT_CAPACITY = 4 };

int fl_machine_type_find(const struct fl_machines *machines, const char *name)
{
	for (int i = 0; i < machines->type_count; i++)
		if (strcmp(machines->types[i].name, name) == 0)
			return i;
	return FL_INDEX_NONE;
}

/* Returns a mask with one bit for each zone of the type that is configured on this node. */
static uint32_t configured_zones_mask(const struct fl_cloud_machine_type *offered,
                                      const struct fl_symbol_table *zones)
{
	uint32_t mask = 0;

	for (int i = 0; i < offered->zone_count; i++) {
		int zone = fl_symbol_find(zones, offered->zones[i]);

		if (zone != FL_INDEX_NONE && zone < FL_ZONES_MAX)
			mask |= 1u << zone;
	}
	return mask;
}

static void set_machine_type(struct fl_machine_type *machine_type,
                             const struct fl_cloud_machine_type *offered,
                             const struct fl_symbol_table *zones)
{
	memset(machine_type, 0, sizeof(*machine_type));
	fl_copy_string(machine_type->name, sizeof(machine_type->name), offered->name);
	machine_type->cpus = offered->cpus;
	machine_type->gpus = offered->gpus;
	machine_type->ram_gb = offered->ram_gb;
	machine_type->cache_gb = offered->cache_gb;
	machine_type->pull_gb_per_s = offered->pull_gb_per_s;
	machine_type->price = offered->price;
	machine_type->spot_price = offered->spot_price;
	machine_type->boot_time_s = offered->boot_time_s;
	machine_type->zone_mask = configured_zones_mask(offered, zones);
}

void fl_machine_types_set(struct fl_machines *machines, const struct fl_symbol_table *zones,
                          const struct fl_cloud_machine_type *types, int count)
{
	for (int i = 0; i < count; i++) {
		int index = fl_machine_type_find(machines, types[i].name);

		if (index == FL_INDEX_NONE && machines->type_count == FL_MACHINE_TYPES_MAX) {
			fl_error("cloud", "machine type limit reached; type ignored type=%s max=%d",
			         types[i].name, FL_MACHINE_TYPES_MAX);
			continue;
		}
		if (index == FL_INDEX_NONE)
			index = machines->type_count++;
		set_machine_type(&machines->types[index], &types[i], zones);
	}
}

struct fl_machine *fl_machine_find(const struct fl_machines *machines, const char *name)
{
	struct fl_machine *machine;

	HASH_FIND_STR(machines->by_name, name, machine);
	return machine;
}

struct fl_machine *fl_machine_get_or_add(struct fl_machines *machines, const char *name, double now)
{
	struct fl_machine *machine = fl_machine_find(machines, name), **by_id;

	if (machine)
		return machine;
	by_id = fl_array_grow(machines->by_id, machines->count, &machines->capacity, sizeof(*by_id),
	                      INITIAL_MACHINE_CAPACITY);
	if (!by_id)
		return NULL;
	machines->by_id = by_id;
	machine = calloc(1, sizeof(*machine));
	if (!machine)
		return NULL;
	fl_copy_string(machine->name, sizeof(machine->name), name);
	machine->id = machines->count;
	machine->type = machine->zone = FL_INDEX_NONE;
	machine->lifecycle.first_seen_at = now;
	for (int i = 0; i < FL_IMAGE_CACHE_MAX; i++)
		machine->cached_images[i] = FL_INDEX_NONE;
	machines->by_id[machines->count++] = machine;
	HASH_ADD_STR(machines->by_name, name, machine);
	return machine;
}

void fl_machine_set_description(struct fl_machine *machine, int type, int zone, bool spot,
                                const char *endpoint)
{
	if (type == FL_INDEX_NONE || zone == FL_INDEX_NONE)
		return;
	if (!machine->described) {
		machine->type = type;
		machine->zone = zone;
		machine->spot = spot;
		machine->described = true;
	}
	if (endpoint && *endpoint)
		fl_copy_string(machine->endpoint, sizeof(machine->endpoint), endpoint);
}

bool fl_machine_add_assignment(struct fl_machine *machine, struct fl_job *job, uint32_t index)
{
	struct fl_assignment *assignments = fl_array_grow(
		machine->assignments, machine->assignment_count, &machine->assignment_capacity,
		sizeof(*assignments), INITIAL_ASSIGNMENT_CAPACITY);

	if (!assignments)
		return false;
	machine->assignments = assignments;
	machine->assignments[machine->assignment_count++] = (struct fl_assignment){job, index};
	return true;
}

void fl_machine_remove_assignment(struct fl_machine *machine, const struct fl_job *job,
                                  uint32_t index)
{
	for (int i = 0; i < machine->assignment_count; i++) {
		if (machine->assignments[i].job == job &&
		    machine->assignments[i].task_index == index) {
			machine->assignments[i] = machine->assignments[--machine->assignment_count];
			return;
		}
	}
}

void fl_machine_record_image(struct fl_machine *machine, int image)
{
	int i = 0;

	while (i < FL_IMAGE_CACHE_MAX - 1 && machine->cached_images[i] != image)
		i++;
	memmove(machine->cached_images + 1, machine->cached_images,
	        (size_t)i * sizeof(machine->cached_images[0]));
	machine->cached_images[0] = image;
}

uint32_t fl_fitting_task_count(struct fl_resources need, struct fl_resources available)
{
	const double max_count = 1e6;
	double count = max_count;

	if (need.cpus > 0)
		count = fmin(count, floor(available.cpus / need.cpus + FL_RESOURCES_EPSILON));
	if (need.gpus > 0)
		count = fmin(count, floor(available.gpus / need.gpus + FL_RESOURCES_EPSILON));
	if (need.ram_gb > 0)
		count = fmin(count, floor(available.ram_gb / need.ram_gb + FL_RESOURCES_EPSILON));
	return count > 0 ? (uint32_t)count : 0;
}

static void free_machine(struct fl_machine *machine)
{
	fl_direct_starts_clear(&machine->outbound.direct_starts);
	free(machine->assignments);
	free(machine);
}

struct fl_machine *fl_machine_drop(struct fl_machines *machines, struct fl_machine *machine)
{
	struct fl_machine *last = machines->by_id[--machines->count];

	HASH_DEL(machines->by_name, machine);
	if (last != machine) {
		machines->by_id[machine->id] = last;
		last->id = machine->id;
	}
	free_machine(machine);
	return last != machine ? last : NULL;
}

void fl_machines_clear(struct fl_machines *machines)
{
	HASH_CLEAR(hh, machines->by_name);
	for (int i = 0; i < machines->count; i++)
		free_machine(machines->by_id[i]);
	free(machines->by_id);
	machines->by_id = NULL;
	machines->count = machines->capacity = 0;
}
