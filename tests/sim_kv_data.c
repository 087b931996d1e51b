/* The keys of the simulated state service, their changes, and the leases they hang on. */
#include "sim_kv_data.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

struct sim_kv_store sim_kv_store;

struct sim_kv_entry *sim_kv_find(const char *name)
{
	struct sim_kv_entry *entry;

	HASH_FIND_STR(sim_kv_store.keys, name, entry);
	return entry;
}

static void note(const char *name, const char *value)
{
	struct sim_kv_event *c;

	if (sim_kv_store.event_count == sim_kv_store.event_capacity) {
		sim_kv_store.event_capacity =
			sim_kv_store.event_capacity ? 2 * sim_kv_store.event_capacity : 256;
		sim_kv_store.events =
			realloc(sim_kv_store.events,
		                (size_t)sim_kv_store.event_capacity * sizeof(*sim_kv_store.events));
		sim_require(sim_kv_store.events);
	}
	c = &sim_kv_store.events[sim_kv_store.event_count++];
	snprintf(c->name, sizeof(c->name), "%s", name);
	c->value = value ? strdup(value) : NULL;
	c->mod_revision = sim_kv_store.revision;
	fl_condition_broadcast(&sim_kv_store.changed);
}

void sim_kv_remove(struct sim_kv_entry *entry)
{
	sim.kv_changes++;
	note(entry->name, NULL);
	HASH_DEL(sim_kv_store.keys, entry);
	free(entry->value);
	free(entry);
}

void sim_kv_put(const char *name, char *value, uint64_t lease_id)
{
	struct sim_kv_entry *entry = sim_kv_find(name);

	if (!entry && strcmp(name, "c/lead") == 0)
		sim_heartbeats_release_held();
	if (!entry) {
		entry = calloc(1, sizeof(*entry));
		if (!entry)
			abort();
		snprintf(entry->name, sizeof(entry->name), "%s", name);
		HASH_ADD_STR(sim_kv_store.keys, name, entry);
	}
	free(entry->value);
	entry->value = value;
	entry->mod_revision = sim_kv_store.revision;
	entry->lease_id = lease_id;
	sim.kv_changes++;
	note(name, value);
}

/* ---- holds ---- */

int sim_kv_lease_find(uint64_t lease_id)
{
	for (int i = 0; i < sim_kv_store.lease_count; i++)
		if (sim_kv_store.leases[i].lease_id == lease_id)
			return i;
	return -1;
}

void sim_kv_lease_end(int at)
{
	uint64_t lease_id = sim_kv_store.leases[at].lease_id;
	struct sim_kv_entry *entry, *tmp;

	sim_kv_store.leases[at] = sim_kv_store.leases[--sim_kv_store.lease_count];
	sim_kv_store.revision++;
	HASH_ITER (hh, sim_kv_store.keys, entry, tmp)
		if (entry->lease_id == lease_id)
			sim_kv_remove(entry);
}

/* After an outage every lease has its full time again. */
static void hold_duty(void *arg)
{
	bool was_out = false;

	(void)arg;
	while (fl_sleep(0.02) == 0) {
		bool out = sim_fault_active(FAULT_KV_UNAVAILABLE, -1) != NULL;

		for (int i = sim_kv_store.lease_count - 1; i >= 0; i--) {
			if (was_out && !out)
				sim_kv_store.leases[i].until =
					fl_now() + sim_kv_store.leases[i].ttl;
			else if (!out && fl_now() > sim_kv_store.leases[i].until)
				sim_kv_lease_end(i);
		}
		if (was_out && !out)
			fl_condition_broadcast(&sim_kv_store.changed);
		was_out = out;
	}
}

void sim_kv_begin(void)
{
	sim_kv_store.calls = SIM_KV_REQUESTS_PER_S;
	sim_kv_store.writes = SIM_KV_WRITES_PER_S;
	sim_kv_store.counted = fl_now();
	sim_spawn(0, hold_duty, NULL);
}

void sim_kv_end(void)
{
	struct sim_kv_entry *entry, *tmp;

	HASH_ITER (hh, sim_kv_store.keys, entry, tmp) {
		HASH_DEL(sim_kv_store.keys, entry);
		free(entry->value);
		free(entry);
	}
	for (int i = 0; i < sim_kv_store.event_count; i++)
		free(sim_kv_store.events[i].value);
	free(sim_kv_store.events);
	memset(&sim_kv_store, 0, sizeof(sim_kv_store));
}
