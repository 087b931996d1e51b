/*
 * Virtual time without a network, for tests that define fl_http_call() themselves. Such a test must
 * also define sim_process_delay_if_slow().
 */
#ifndef FL_TESTS_VIRTUAL_TIME_FIXTURE_H
#define FL_TESTS_VIRTUAL_TIME_FIXTURE_H

#include "sim.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/* Ends the virtual time begun by sim_time_begin() and drops all timers that are still armed. */
void virtual_time_end(void);

/* Copies a server's response to the client's reply, and frees the body of the response. */
void move_response_to_reply(struct fl_http_response *response, struct fl_http_reply *reply);

#endif
