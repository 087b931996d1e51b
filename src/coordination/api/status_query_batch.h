/*
 * Batches of status queries from a follower to the leader: queries that arrive while a request is
 * under way share the next one. A query is answered only by a request sent after it arrived, and
 * the leader answers from memory alone; user_requests.h says what follows when it cannot.
 */
#ifndef FL_COORDINATION_API_STATUS_QUERY_BATCH_H
#define FL_COORDINATION_API_STATUS_QUERY_BATCH_H

#include <stddef.h>

#include "transport/http_server.h"

struct fl_node;

/* Status requests of one node that are under way to the leader at once, at most. */
enum { FL_STATUS_REQUESTS_MAX = 4 };

/* The result of a status query. */
enum fl_query_result {
	FL_QUERY_ANSWERED,      /* the response is filled in */
	FL_QUERY_NOT_IN_MEMORY, /* only records tell the leader: forward the query alone */
	FL_QUERY_FAILED,        /* the leader cannot be reached, or is the leader no more */
	FL_QUERY_OVERLOADED     /* too many queries are waiting */
};

/* Sends the query to the leader, in a batch with others. Waits. */
enum fl_query_result fl_status_query_send(struct fl_node *node, const char *ref,
                                          struct fl_http_response *response);
/*
 * Answers another controller's batch, from memory alone: 200, 400 if it is malformed, 421 if this
 * node is not the leader, 503 without memory. Does not wait.
 */
void fl_status_query_serve(struct fl_node *node, const char *body, size_t len,
                           struct fl_http_response *response);

#endif
