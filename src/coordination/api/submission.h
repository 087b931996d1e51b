/*
 * Submissions: a job is validated and its record stored, by this node or through the leader, and
 * only then is the user told that it is accepted. Step by step:
 *
 *  1. the body is decoded; without an id in it: 400
 *  2. a node that reaches neither the key-value store nor another controller: 503
 *  3. a job that this node knows is a duplicate: a status query (user_requests.h) answers it
 *  4. machine types not known yet: 503; a job that can never run (feasibility.h): 422
 *  5. memory is low (admission.h): 503
 *  6. its record is stored, unless there is one: 201; through the leader if this node cannot
 *     (request_forwarding.h); if neither can: 503
 *
 * A duplicate submission is answered with the state of the job, whatever its body says, and however
 * little this node can decide at the moment: before it answers 400 for an invalid field, or as in
 * steps 4 and 5, it reads the job's record or asks the leader.
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
