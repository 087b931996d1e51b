/*
 * Status queries on their way from a follower to the leader: those that arrive while a request is
 * under way share the next one. A query rests only on a request sent after it came.
 */
#ifndef FL_COORDINATION_API_STATUS_QUERY_H
#define FL_COORDINATION_API_STATUS_QUERY_H

#include <stddef.h>

#include "transport/http_server.h"

struct fl_node;
/* Status requests of one node that are under way to the leader at once, at most. */
enum { FL_STATUS_REQUESTS_MAX = 4 };

/* What came of a query. */
enum fl_query_result {
	FL_QUERY_ANSWERED,      /* the response is filled in */
	FL_QUERY_NOT_IN_MEMORY, /* the leader has to look into the records for this job */
	FL_QUERY_FAILED,        /* the leader cannot be reached, or leads no more */
	FL_QUERY_OVERLOADED     /* too many queries are waiting */
};

/* Asks the leader, together with the other queries of this moment. Waits. */
enum fl_query_result fl_status_query(struct fl_node *node, const char *ref,
                                     struct fl_http_response *response);
/* Answers another controller's request for many jobs, from memory alone. */
void fl_status_query_serve(struct fl_node *node, const char *body, size_t len,
                           struct fl_http_response *response);

#endif
