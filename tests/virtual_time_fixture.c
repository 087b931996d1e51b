/* The clocks and coroutines of the simulation without its controllers and its network. */
#include "virtual_time_fixture.h"

#include <stdlib.h>
#include <string.h>

struct sim sim;

static void drop_timer(struct sim_timer *timer) { (void)timer; }

void virtual_time_end(void) { sim_time_end(drop_timer); }

int virtual_time_set_up(void **state)
{
	(void)state;
	sim_time_begin();
	return 0;
}

int virtual_time_tear_down(void **state)
{
	(void)state;
	virtual_time_end();
	return 0;
}

void move_response_to_reply(struct fl_http_response *response, struct fl_http_reply *reply)
{
	memset(reply, 0, sizeof(*reply));
	reply->status = response->status;
	fl_buffer_append(&reply->body, response->body, strlen(response->body));
	free(response->body);
}
