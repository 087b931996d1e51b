/*
 * Cancellation of a job by the leader: a compare-and-swap on the job's record decides, against the
 * leader key and the record's revision; only what it stored is acted on, and the tasks are stopped
 * afterwards.
 */
#ifndef FL_COORDINATION_API_CANCELLATION_H
#define FL_COORDINATION_API_CANCELLATION_H

#include "transport/http_server.h"

struct fl_node;

/*
 * Cancels a job and answers once that is stored: 200 with its final status, which for a finished
 * job is the one it has; 404; 503 if the cancellation could not be stored, or its result is not
 * known. Waits. The caller has just checked fl_is_leader.
 */
void fl_leader_cancel_job(struct fl_node *node, const char *ref, struct fl_http_response *response);

#endif
