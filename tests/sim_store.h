/* What the simulated state service keeps: keys, their changes, and the leases they hang on. */
#ifndef FL_TESTS_SIM_STORE_H
#define FL_TESTS_SIM_STORE_H

#include <stdint.h>
#include <uthash.h>

#include "sim.h"

enum { SIM_HOLDS = 128, SIM_KEY = 200, SIM_STATE_RPS = 220, SIM_STATE_WRITE_RPS = 70 };

struct sim_key {
	UT_hash_handle hh;
	char name[SIM_KEY];
	char *value;
	uint64_t rev, grant;
};

struct sim_change {
	char name[SIM_KEY];
	char *value; /* NULL: deleted */
	uint64_t rev;
};

struct sim_hold {
	uint64_t grant;
	double ttl, until;
};

struct sim_store {
	struct sim_key *keys;
	struct sim_change *log;
	int n_log, cap_log;
	struct sim_hold hold[SIM_HOLDS];
	int n_holds;
	uint64_t rev, grants;
	struct fl_condition changed;
	double calls, writes, counted; /* token buckets */
};
extern struct sim_store sim_store;

struct sim_key *sim_store_find(const char *name);
/* Takes the value. */
void sim_store_put(const char *name, char *value, uint64_t lease_id);
void sim_store_remove(struct sim_key *entry);
/* The place of a lease; -1: there is none. */
int sim_store_hold(uint64_t lease_id);
void sim_store_end_hold(int at);

#endif
