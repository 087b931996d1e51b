/*
 * Stand-ins for the external systems: state service, cloud and workers, on loopback, speaking the
 * published protocol. They can be slow, refuse, lose answers, carry requests out late or twice.
 */
#ifndef FL_TESTS_FAKE_SERVICES_H
#define FL_TESTS_FAKE_SERVICES_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/workers.h"

struct fake_services {
	char kv_store_addr[32], cloud_addr[32];
	int controller_ports[8]; /* public ones, for the workers */
	int controller_count;
	/* Every so many requests; 0: never. */
	int kv_refuses_every, kv_loses_every, kv_slow_every, commands_repeat_every;
	int heartbeat_copies_every; /* every so many reports: a copy comes two leases later, to
	                               another node */
	int unreachable;            /* so many machines report and receive nothing */
	bool cloud_out;             /* the cloud refuses everything */
	/* Counts down with the state service's requests; at 0 `cut` is called, and that request is
	 * carried out after it, late. */
	int cut_after;
	void (*cut)(void);
	double report_s, lease_s, run_s;
	/* What the workers saw. */
	int starts, completed, twice, max_machines;
	/* What must never happen: an epoch used again, a name of a rental given out by two leaders,
	 * a launch on a machine that was returned to the cloud. */
	int tokens_reused, names_reused, starts_on_deleted;
};

extern struct fake_services fake_services;

/* Starts all of them in this process's loop. */
void fake_services_start(void);
/* Once their routines have ended. */
void fake_services_free(void);
/* The node that holds the lead, or an empty string. */
const char *fake_services_leader(void);
/* Machines that were rented, received nothing, and are not returned yet. */
int fake_services_unreachable_left(void);
/* Is anything of this job on any machine? */
int fake_services_task_is_live(const char *ref);

#endif
