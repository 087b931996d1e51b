#include "coordination/responses.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "protocol/json.h"

static const struct {
	int retry_after_s;
} tunables = {
	.retry_after_s = 1, /* Retry-After header of a 503 response */
};

void fl_respond_error(struct fl_http_response *response, int status, const char *fmt, ...)
{
	char text[256];
	va_list arguments;

	va_start(arguments, fmt);
	vsnprintf(text, sizeof(text), fmt, arguments);
	va_end(arguments);
	free(response->body);
	response->status = status;
	response->body = fl_json_error("%s", text);
}

void fl_respond_unavailable(struct fl_http_response *response, const char *reason)
{
	fl_respond_error(response, 503, "%s", reason);
	response->retry_after_s = tunables.retry_after_s;
	/* On a new connection the load balancer may choose a better node for the retry. */
	response->close_connection = true;
}
