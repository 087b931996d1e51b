/*
 * Cancellation of a job by the leader: one transaction stores the cancelled record if the leader
 * key and the job's record are unchanged. The job is cancelled in memory and its tasks are stopped
 * only after the record is stored.
 */
#ifndef FL_COORDINATION_API_CANCELLATION_H
#define FL_COORDINATION_API_CANCELLATION_H

#include "protocol/kv_store.h"
#include "transport/http_server.h"

struct fl_job;
struct fl_node;

/*
 * Cancels a job and responds once the cancellation is stored: 200 with the final status, which a
 * finished job keeps; 404 if there is no such job; 503 if the cancellation could not be stored or
 * the outcome of its write is unknown. Waits. The caller has just checked fl_is_leader.
 */
void fl_leader_cancel_job(struct fl_node *node, const char *ref, struct fl_http_response *response);
/*
 * Writes the cancelled record of a live job, applies what the result shows, and returns the result.
 * Waits; the job may be dropped meanwhile. The caller has just checked fl_is_leader.
 */
enum fl_kv_result fl_cancellation_write(struct fl_node *node, const struct fl_job *job);

#endif
