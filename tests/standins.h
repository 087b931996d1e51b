/*
 * Stand-ins for the systems outside: state service, cloud and workers, on loopback, speaking the
 * published protocol. They can be slow, refuse, lose answers, carry requests out late or twice.
 */
#ifndef FL_TESTS_STANDINS_H
#define FL_TESTS_STANDINS_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/workers.h"

struct standins {
	char state_addr[32], cloud_addr[32];
	int controller_ports[8]; /* public ones, for the workers */
	int n_controllers;
	/* Every so many requests; 0: never. */
	int state_refuses, state_loses, state_slow, commands_repeat;
	double report_s, lease_s, run_s;
	/* What the workers saw. */
	int launches, completed, twice, max_machines;
};

extern struct standins standins;

/* Starts all of them in this process's loop. */
void standins_start(void);
/* Once their routines have ended. */
void standins_free(void);
/* The node that holds the lead, or an empty string. */
const char *standins_leader(void);
/* Is anything of this job on any machine? */
int standins_live(const char *ref);

#endif
