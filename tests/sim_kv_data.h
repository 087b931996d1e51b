/* What the simulated state service keeps: keys, their changes, and the leases they hang on. */
#ifndef FL_TESTS_SIM_KV_DATA_H
#define FL_TESTS_SIM_KV_DATA_H

#include <stdint.h>
#include <uthash.h>

#include "sim.h"

enum { SIM_KV_LEASES = 128, SIM_KEY = 200, SIM_KV_REQUESTS_PER_S = 220, SIM_KV_WRITES_PER_S = 70 };

struct sim_kv_entry {
	UT_hash_handle hh;
	char name[SIM_KEY];
	char *value;
	uint64_t mod_revision, lease_id;
};

struct sim_kv_event {
	char name[SIM_KEY];
	char *value; /* NULL: deleted */
	uint64_t mod_revision;
};

struct sim_kv_lease {
	uint64_t lease_id;
	double ttl, until;
};

struct sim_kv_store {
	struct sim_kv_entry *keys;
	struct sim_kv_event *events;
	int event_count, event_capacity;
	struct sim_kv_lease leases[SIM_KV_LEASES];
	int lease_count;
	uint64_t revision, lease_ids;
	struct fl_condition changed;
	double calls, writes, counted; /* token buckets */
};
extern struct sim_kv_store sim_kv_store;

struct sim_kv_entry *sim_kv_find(const char *name);
/* Takes the value. */
void sim_kv_put(const char *name, char *value, uint64_t lease_id);
void sim_kv_remove(struct sim_kv_entry *entry);
/* The place of a lease; -1: there is none. */
int sim_kv_lease_find(uint64_t lease_id);
void sim_kv_lease_end(int at);

#endif
