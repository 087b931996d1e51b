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
 * Cancels a job and answers once that is stored; a finished one keeps its state. Waits. To be
 * called by the node whose lease is valid now.
 */
void fl_leader_cancel_job(struct fl_node *node, const char *ref, struct fl_http_response *response);

#endif
