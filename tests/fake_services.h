/*
 * Fakes of the external systems: key-value store, cloud and workers, on loopback, speaking the
 * published protocol in real time. They can be slow, refuse, lose replies, and carry requests out
 * late or twice; they count what must never happen. All run in the event loop of the test's
 * process, which owns the one instance, `fake_services`.
 */
#ifndef FL_TESTS_FAKE_SERVICES_H
#define FL_TESTS_FAKE_SERVICES_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/workers.h"

struct fake_services {
	/* Set by fake_services_start(). */
	char kv_store_addr[32], cloud_addr[32];

	/* Set by the test: the controllers' public ports, for the workers. */
	int controller_ports[8];
	int controller_count;
	double heartbeat_interval_s, lease_s, task_duration_s;

	/* Faults, one every so many requests; 0: never. */
	int kv_refused_request_every, kv_lost_reply_every, kv_slow_request_every,
		repeated_command_every;
	/* One every so many heartbeats: a copy comes two leases later, to another controller. */
	int delayed_heartbeat_every;
	/* So many of the machines rented next exchange no messages; counts down. */
	int unreachable_machines_to_rent;
	bool cloud_unavailable;
	/* Counts down with the requests of the key-value store; at 0 `interrupt` is called, and
	 * that request is applied after it, late. */
	int interrupt_after_requests;
	void (*interrupt)(void);

	/* What the workers saw. */
	int starts, completions, max_machines;
	/* What must never happen: a task started while it runs elsewhere, a fencing token used
	 * again, a rental's name used by two leaders, a start on a machine that was returned. */
	int duplicate_starts, tokens_reused, rental_names_reused, starts_on_deleted_machines;
};

extern struct fake_services fake_services;

/* Starts all of them in this process's loop. */
void fake_services_start(void);
/* Once their coroutines have ended. */
void fake_services_free(void);
/* The node that holds the leader's key, or an empty string; valid until the next call. */
const char *fake_services_leader_node(void);
/* Unreachable machines that are rented and not returned yet. */
int fake_services_unreachable_machine_count(void);
/* The tasks of this job that run on any machine. */
int fake_services_running_task_count(const char *ref);

#endif
