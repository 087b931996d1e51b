/* The keys of the simulated state service, their changes, and the leases they hang on. */
#include "sim_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

struct sim_store sim_store;

struct sim_key *sim_store_find(const char *name)
{
	struct sim_key *entry;

	HASH_FIND_STR(sim_store.keys, name, entry);
	return entry;
}

static void note(const char *name, const char *value)
{
	struct sim_change *c;

	if (sim_store.n_log == sim_store.cap_log) {
		sim_store.cap_log = sim_store.cap_log ? 2 * sim_store.cap_log : 256;
		sim_store.log =
			realloc(sim_store.log, (size_t)sim_store.cap_log * sizeof(*sim_store.log));
		sim_must(sim_store.log);
	}
	c = &sim_store.log[sim_store.n_log++];
	snprintf(c->name, sizeof(c->name), "%s", name);
	c->value = value ? strdup(value) : NULL;
	c->rev = sim_store.rev;
	fl_condition_broadcast(&sim_store.changed);
}

void sim_store_remove(struct sim_key *entry)
{
	sim.changes++;
	note(entry->name, NULL);
	HASH_DEL(sim_store.keys, entry);
	free(entry->value);
	free(entry);
}

void sim_store_put(const char *name, char *value, uint64_t lease_id)
{
	struct sim_key *entry = sim_store_find(name);

	if (!entry && strcmp(name, "c/lead") == 0)
		sim_reports_for_leader();
	if (!entry) {
		entry = calloc(1, sizeof(*entry));
		if (!entry)
			abort();
		snprintf(entry->name, sizeof(entry->name), "%s", name);
		HASH_ADD_STR(sim_store.keys, name, entry);
	}
	free(entry->value);
	entry->value = value;
	entry->rev = sim_store.rev;
	entry->grant = lease_id;
	sim.changes++;
	note(name, value);
}

/* ---- holds ---- */

int sim_store_hold(uint64_t lease_id)
{
	for (int i = 0; i < sim_store.n_holds; i++)
		if (sim_store.hold[i].grant == lease_id)
			return i;
	return -1;
}

void sim_store_end_hold(int at)
{
	uint64_t lease_id = sim_store.hold[at].grant;
	struct sim_key *entry, *tmp;

	sim_store.hold[at] = sim_store.hold[--sim_store.n_holds];
	sim_store.rev++;
	HASH_ITER (hh, sim_store.keys, entry, tmp)
		if (entry->grant == lease_id)
			sim_store_remove(entry);
}

/* After an outage every lease has its full time again. */
static void hold_duty(void *arg)
{
	bool was_out = false;

	(void)arg;
	while (fl_sleep(0.02) == 0) {
		bool out = sim_troubled(STATE_OUT, -1) != NULL;

		for (int i = sim_store.n_holds - 1; i >= 0; i--) {
			if (was_out && !out)
				sim_store.hold[i].until = fl_now() + sim_store.hold[i].ttl;
			else if (!out && fl_now() > sim_store.hold[i].until)
				sim_store_end_hold(i);
		}
		if (was_out && !out)
			fl_condition_broadcast(&sim_store.changed);
		was_out = out;
	}
}

void sim_state_begin(void)
{
	sim_store.calls = SIM_STATE_RPS;
	sim_store.writes = SIM_STATE_WRITE_RPS;
	sim_store.counted = fl_now();
	sim_spawn(0, hold_duty, NULL);
}

void sim_state_end(void)
{
	struct sim_key *entry, *tmp;

	HASH_ITER (hh, sim_store.keys, entry, tmp) {
		HASH_DEL(sim_store.keys, entry);
		free(entry->value);
		free(entry);
	}
	for (int i = 0; i < sim_store.n_log; i++)
		free(sim_store.log[i].value);
	free(sim_store.log);
	memset(&sim_store, 0, sizeof(sim_store));
}
