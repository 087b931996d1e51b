/*
 * Virtual time without a network, for tests that define fl_http_call() themselves. Such a test must
 * also define sim_process_delay_if_slow().
 */
#ifndef FL_TESTS_VIRTUAL_TIME_FIXTURE_H
#define FL_TESTS_VIRTUAL_TIME_FIXTURE_H

#include "sim.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/* Set-up and tear-down for cmocka: begin virtual time, and end it. */
int virtual_time_set_up(void **state);
int virtual_time_tear_down(void **state);

/* A test in virtual time of its own. */
#define VIRTUAL_TIME_TEST(name)                                                                    \
	cmocka_unit_test_setup_teardown(name, virtual_time_set_up, virtual_time_tear_down)

/* Ends the virtual time begun by sim_time_begin() and drops all timers that are still armed. */
void virtual_time_end(void);

/* Copies a server's response to the client's reply, and frees the body of the response. */
void move_response_to_reply(struct fl_http_response *response, struct fl_http_reply *reply);

#endif
