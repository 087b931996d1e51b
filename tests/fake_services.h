/*
 * Fakes of the external systems (key-value store, cloud and workers) on loopback, which implement
 * the published protocol in real time. They can delay or refuse requests, lose replies and execute
 * commands twice, and they count violations of invariants. All run in the event loop of the test's
 * process, which has one instance, `fake_services`.
 */
#ifndef FL_TESTS_FAKE_SERVICES_H
#define FL_TESTS_FAKE_SERVICES_H

#include <stdbool.h>
#include <stdint.h>

#include "kv_model.h"
#include "protocol/workers.h"

struct fake_services {
	/* Set by fake_services_start(). */
	char kv_store_addr[32], cloud_addr[32];

	/* Set by the test: the controllers' public ports, for the workers. */
	int controller_ports[8];
	int controller_count;
	double heartbeat_interval_s, lease_s, task_duration_s;

	/* Faults: each affects every n-th request or direct command; 0: none. */
	int kv_refused_request_every, kv_lost_reply_every, kv_slow_request_every,
		repeated_command_every;
	/* A copy of a worker's every n-th heartbeat goes to another controller 2 leases later. */
	int delayed_heartbeat_every;
	/* Number of the next rented machines that get neither replies nor commands; counts down. */
	int unreachable_machines_to_rent;
	bool cloud_unavailable;
	/* The key-value store answers larger transactions with 400; txn_ops 0: no limits. */
	struct kv_model_limits kv_limits;
	/* Counts down with each request to the key-value store except watches. At 0 `interrupt` is
	 * called, and the request is applied 0.2 s later. */
	int interrupt_after_requests;
	void (*interrupt)(void);

	/* Transactions that were too large, and those of them equal to the one refused before. */
	int kv_too_large, kv_too_large_repeated;
	/* Totals of all workers; machines that were deleted later are included. */
	int starts, completions, machines_rented;
	/* Violations: starts of a task that is already running, fencing tokens that did not
	 * increase, rental names used by two leaders, starts on deleted machines. */
	int duplicate_starts, tokens_reused, rental_names_reused, starts_on_deleted_machines;
};

extern struct fake_services fake_services;

/* Starts the fakes in the event loop of this process. */
void fake_services_start(void);
/* Frees the fakes, whose coroutines must have ended. */
void fake_services_free(void);
/* Returns the node that the leader's key names, or ""; the text is valid until the next call. */
const char *fake_services_leader_node(void);
/* Returns the number of unreachable machines that have not been deleted. */
int fake_services_unreachable_machine_count(void);
/* Returns how many of the job's tasks run, on all machines that have not been deleted. */
int fake_services_running_task_count(const char *ref);

#endif
