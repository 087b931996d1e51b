/* Responses that are the same for every client: users, workers and other controllers. */
#ifndef FL_COORDINATION_RESPONSES_H
#define FL_COORDINATION_RESPONSES_H

#include "transport/http_server.h"

/* Responds with a status and an error text in the body, in place of any earlier body. */
void fl_respond_error(struct fl_http_response *response, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* Responds 503, with the time after which to retry, on another connection; `reason` is the text. */
void fl_respond_unavailable(struct fl_http_response *response, const char *reason);

#endif
