/* An HTTP client that opens no connections, for tests that define fl_http_call() themselves. */
#include "transport/http_client.h"

int fl_http_client_init(struct fl_http_client *client, const char *addr, int max_idle)
{
	(void)client, (void)addr, (void)max_idle;
	return 0;
}

void fl_http_client_close(struct fl_http_client *client) { (void)client; }
