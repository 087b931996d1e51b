/*
 * Status queries and cancellations of users, step by step (for submissions see submission.h). The
 * first that can answer does:
 *
 *  1. this node's memory of finished jobs: storage/finished_jobs.h
 *  2. this node, if it is the leader: status_from_leader.h, cancellation.h
 *  3. the leader, if another node is. A query goes in a batch (status_query_batch.h), and by
 *     itself if the leader has to read records for it; a cancellation goes by itself
 *     (request_forwarding.h)
 *  4. for a query, without an answer from a leader, the stored records: status_from_records.h
 *
 * A node that reaches neither the key-value store nor another controller answers 503 before step 3;
 * so does one that cannot forward a cancellation. A request that another controller forwards ends
 * with step 3: only the leader answers it, else 421. Reads of records, in steps 2 and 4, are shared
 * and have a budget: job_lookup.h.
 */
#ifndef FL_COORDINATION_API_USER_REQUESTS_H
#define FL_COORDINATION_API_USER_REQUESTS_H

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/* Answers a status query of the job `ref`; an empty one is no job's. Waits. */
void fl_handle_status_request(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                              struct fl_http_response *response);
/* Answers a cancellation of the job `ref`; an empty one is no job's. Waits. */
void fl_handle_cancellation(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                            struct fl_http_response *response);

#endif
