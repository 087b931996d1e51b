/* Responses that are the same whoever asked. */
#ifndef FL_COORDINATION_RESPONSES_H
#define FL_COORDINATION_RESPONSES_H

#include "transport/http_server.h"

/* Responds with a status and an error text in the body. */
void fl_respond_error(struct fl_http_response *response, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* "Not now": 503 at once, with the time after which to try again, on another connection. */
void fl_respond_unavailable(struct fl_http_response *response, const char *reason);

#endif
