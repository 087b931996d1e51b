/*
 * Virtual time without connections, for tests that make the link of fl_http_call themselves. Such a
 * test also defines sim_process_delay_if_slow.
 */
#ifndef FL_TESTS_VIRTUAL_TIME_FIXTURE_H
#define FL_TESTS_VIRTUAL_TIME_FIXTURE_H

#include "sim.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/* Ends what sim_time_begin began; timers that are still set are dropped. */
void virtual_time_end(void);

/* What a server answered becomes what the client got; the response is freed. */
void move_response_to_reply(struct fl_http_response *response, struct fl_http_reply *reply);

#endif
