/* What the sources of the stand-ins share among themselves. */
#ifndef FL_TESTS_FAKE_SERVICES_INTERNAL_H
#define FL_TESTS_FAKE_SERVICES_INTERNAL_H

#include <uthash.h>

#include "protocol/json.h"
#include "fake_services.h"
#include "transport/http_server.h"

/* The response has this status and body, an empty object if NULL; takes `object`. */
void respond(struct fl_http_response *response, int status, cJSON *object);

/* Does a fault that comes with every so many requests come with this one? 0: never. */
bool every_nth(int every, unsigned count);

/* For fake_services_free(). */
void add_server(struct fl_http_server *server);

/* ---- state service ---- */

struct key {
	UT_hash_handle hh;
	char name[200];
	char *value;
	uint64_t mod_revision, lease_id;
};

/* Or NULL. */
struct key *find_key(const char *name);

/* Ends holds that are not renewed; a routine that runs throughout. */
void hold_routine(void *arg);

void on_state(void *context, const struct fl_http_request *request,
              struct fl_http_response *response);

/* ---- workers ---- */

enum { TASKS = 64, MACHINES = 512 };

struct task {
	struct fl_task_status status;
	double until;
	bool used, service;
};

struct machine {
	char name[64], addr[32];
	bool gone;
	uint64_t incarnation, sequence, fencing_token;
	double answered;
	struct task at[TASKS];
	int node;
	bool unreachable;
	unsigned reports;
	char *late; /* a command to be carried out once more */
};

/* All that were ever rented. */
extern struct machine *machines[MACHINES];

extern int n_machines;

/* Rents one, whose worker begins to report; its name. */
const char *add_machine(void);

#endif
