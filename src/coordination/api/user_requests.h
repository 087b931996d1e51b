/*
 * Status queries and cancellations of users (for submissions see submission.h). A request is
 * answered from the first of these sources that has an answer:
 *
 *  1. this node's memory of finished jobs: storage/finished_jobs.h
 *  2. this node, if it is the leader: status_from_leader.h, cancellation.h
 *  3. the leader, if it is another node. A query is sent in a batch (status_query_batch.h), and
 *     then alone if the batch fails or the leader has to read records for it; a cancellation is
 *     sent alone (request_forwarding.h)
 *  4. the stored records, for a query that the leader did not answer: status_from_records.h
 *
 * A node that reaches neither the key-value store nor another controller responds 503 before step
 * 3; a node that cannot forward a cancellation also responds 503. A request that another controller
 * has forwarded ends with step 3: if the leader does not answer it, the response is 421. Reads of
 * records, in steps 2 and 4, are shared and limited in rate: job_lookup.h.
 */
#ifndef FL_COORDINATION_API_USER_REQUESTS_H
#define FL_COORDINATION_API_USER_REQUESTS_H

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/* Answers a status query for the job `ref`; 404 if `ref` is empty. Waits. */
void fl_handle_status_request(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                              struct fl_http_response *response);
/* Answers a cancellation of the job `ref`; 404 if `ref` is empty. Waits. */
void fl_handle_cancellation(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                            struct fl_http_response *response);

#endif
