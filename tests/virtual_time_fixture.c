/* The simulation's time and coroutines, used without its processes and its network. */
#include "virtual_time_fixture.h"

#include <stdlib.h>
#include <string.h>

struct sim sim;

static void drop_timer(struct sim_timer *timer) { (void)timer; }

void virtual_time_end(void) { sim_time_end(drop_timer); }

void move_response_to_reply(struct fl_http_response *response, struct fl_http_reply *reply)
{
	memset(reply, 0, sizeof(*reply));
	reply->status = response->status;
	fl_buffer_append(&reply->body, response->body, strlen(response->body));
	free(response->body);
}
