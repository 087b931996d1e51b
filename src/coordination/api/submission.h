/*
 * Submissions: a job is validated and its record stored, by this node or through the leader; the
 * user is told of it only then. A duplicate submission is answered with the state of the job,
 * whatever its body says, and however little this node can decide at the moment.
 */
#ifndef FL_COORDINATION_API_SUBMISSION_H
#define FL_COORDINATION_API_SUBMISSION_H

#include <stddef.h>

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/*
 * Answers a submission: 201 only once the job's record is stored, 200 for a duplicate, 400 or 422
 * for what can never be accepted, 503 for what cannot be decided now. Waits.
 */
void fl_handle_submission(struct fl_node *node, const char *body, size_t len,
                          enum fl_forward_hop hop, struct fl_http_response *response);

#endif
