/*
 * Submissions: validation of a job specification, and its storage in the state service, by this
 * node or through the leader. A repeated submission is answered with the state of the job.
 */
#ifndef FL_COORDINATION_API_SUBMISSION_H
#define FL_COORDINATION_API_SUBMISSION_H

#include <stddef.h>

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/* Answers a submission: 201 only once the job's record is stored. */
void fl_submit(struct fl_node *node, const char *body, size_t len, enum fl_forward_hop hop,
               struct fl_http_response *response);

#endif
