/* Declarations shared by the source files of the fakes. */
#ifndef FL_TESTS_FAKE_SERVICES_INTERNAL_H
#define FL_TESTS_FAKE_SERVICES_INTERNAL_H

#include "fake_services.h"
#include "kv_model.h"
#include "transport/http_server.h"

/* Returns whether a fault of every n-th request (`every`; 0: none) occurs at number `count`. */
bool fault_is_due(int every, unsigned count);

/* Registers a server, which fake_services_free() frees. */
void fake_server_add(struct fl_http_server *server);

/* ---- key-value store ---- */

struct fl_http_server *fake_kv_start(void);
/* Returns the entry of a key, or NULL if the key does not exist. */
const struct kv_entry *fake_kv_find(const char *key);
void fake_kv_free(void);

/* ---- cloud ---- */

struct fl_http_server *fake_cloud_start(void);
void fake_cloud_free(void);

/* ---- workers ---- */

enum { FAKE_MACHINE_TASKS = 64, FAKE_MACHINES = 512 };

struct fake_task {
	struct fl_task_status status;
	double completes_at;   /* monotonic clock, s; not used for services */
	bool used, is_service; /* used: the slot holds a task */
};

struct fake_machine {
	char name[64], addr[32];
	bool deleted, unreachable;
	uint64_t incarnation, sequence, fencing_token;
	double lease_started_at; /* send time of the last accepted heartbeat; monotonic clock, s */
	struct fake_task tasks[FAKE_MACHINE_TASKS];
	int next_controller; /* controller that gets the next heartbeat, modulo their number */
	unsigned heartbeat_count;
	char *repeated_command; /* body of a direct command to be executed again; NULL: none */
};

/* All machines rented so far, including deleted ones. */
extern struct fake_machine *fake_machines[FAKE_MACHINES];
extern int fake_machine_count;

/* Rents a machine and starts its worker. */
struct fake_machine *fake_machine_add(void);
void fake_workers_free(void);

#endif
