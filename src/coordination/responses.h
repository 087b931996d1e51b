/* Error responses, which are the same for users, workers and other controllers. */
#ifndef FL_COORDINATION_RESPONSES_H
#define FL_COORDINATION_RESPONSES_H

#include "transport/http_server.h"

/* Responds with a status and an error text in the body, which replaces any earlier body. */
void fl_respond_error(struct fl_http_response *response, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* Responds with 503 and the error text `reason`; the client is to retry on a new connection. */
void fl_respond_unavailable(struct fl_http_response *response, const char *reason);

#endif
