/* What the sources of the fakes share among themselves. */
#ifndef FL_TESTS_FAKE_SERVICES_INTERNAL_H
#define FL_TESTS_FAKE_SERVICES_INTERNAL_H

#include "fake_services.h"
#include "kv_model.h"
#include "transport/http_server.h"

/* Does a fault that comes with every so many requests come with this one? 0: never. */
bool fault_is_due(int every, unsigned count);

/* For fake_services_free(). */
void fake_server_add(struct fl_http_server *server);

/* ---- key-value store ---- */

struct fl_http_server *fake_kv_start(void);
/* NULL: there is no such key. */
const struct kv_entry *fake_kv_find(const char *key);
void fake_kv_free(void);

/* ---- cloud ---- */

struct fl_http_server *fake_cloud_start(void);
void fake_cloud_free(void);

/* ---- workers ---- */

enum { FAKE_MACHINE_TASKS = 64, FAKE_MACHINES = 512 };

struct fake_task {
	struct fl_task_status status;
	double completes_at;
	bool used, is_service;
};

struct fake_machine {
	char name[64], addr[32];
	bool deleted, unreachable;
	uint64_t incarnation, sequence, fencing_token;
	double lease_started_at; /* when the last answered heartbeat was sent */
	struct fake_task tasks[FAKE_MACHINE_TASKS];
	int next_controller; /* where the next heartbeat goes, modulo their number */
	unsigned heartbeat_count;
	char *repeated_command; /* to be executed once more; NULL: none */
};

/* All that were ever rented. */
extern struct fake_machine *fake_machines[FAKE_MACHINES];
extern int fake_machine_count;

/* Rents one, whose worker begins to send heartbeats. */
struct fake_machine *fake_machine_add(void);
void fake_workers_free(void);

#endif
