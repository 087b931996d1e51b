/*
 * Batches of status queries from a follower to the leader: queries that arrive while the maximum
 * number of requests is in flight share the next one. A query is answered only by a request that
 * was sent after the query arrived. The leader answers from memory alone; for a query that it
 * cannot answer see user_requests.h.
 */
#ifndef FL_COORDINATION_API_STATUS_QUERY_BATCH_H
#define FL_COORDINATION_API_STATUS_QUERY_BATCH_H

#include <stddef.h>

#include "transport/http_server.h"

struct fl_node;

/* Maximum number of status requests that one node has in flight to the leader. */
enum { FL_STATUS_REQUESTS_MAX = 4 };

/* The result of a status query. */
enum fl_query_result {
	FL_QUERY_ANSWERED,      /* the response is filled in */
	FL_QUERY_NOT_IN_MEMORY, /* the leader must read records: forward the query alone */
	FL_QUERY_FAILED,        /* no answer from the leader, or it no longer leads */
	FL_QUERY_OVERLOADED     /* too many queries are waiting, or out of memory */
};

/* Sends the query to the leader in a batch with others. Waits. */
enum fl_query_result fl_status_query_send(struct fl_node *node, const char *ref,
                                          struct fl_http_response *response);
/*
 * Answers another controller's batch from memory alone: 200, 400 if the batch is malformed, 421 if
 * this node is not the leader, 503 when out of memory. Does not wait.
 */
void fl_status_query_serve(struct fl_node *node, const char *body, size_t len,
                           struct fl_http_response *response);

#endif
