/* Starts and frees the fakes. */
#include "fake_services_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

struct fake_services fake_services;

static struct fl_http_server *servers[FAKE_MACHINES + 2];
static int server_count;

void fake_server_add(struct fl_http_server *server)
{
	assert(server && server_count < FAKE_MACHINES + 2);
	servers[server_count++] = server;
}

bool fault_is_due(int every, unsigned count) { return every > 0 && count % (unsigned)every == 0; }

static void add_service(struct fl_http_server *server, char addr[32])
{
	fake_server_add(server);
	snprintf(addr, 32, "127.0.0.1:%d", fl_http_server_port(server));
}

void fake_services_start(void)
{
	add_service(fake_kv_start(), fake_services.kv_store_addr);
	add_service(fake_cloud_start(), fake_services.cloud_addr);
}

void fake_services_free(void)
{
	fake_cloud_free();
	fake_kv_free();
	fake_workers_free();
	while (server_count > 0)
		free(servers[--server_count]);
}
