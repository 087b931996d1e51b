/*
 * Submissions: a job is validated and its record stored, by this node or through the leader; the
 * user gets the acceptance only after that. The steps are:
 *
 *  1. The body is decoded; 400 if it has no valid job id.
 *  2. 503 if this node reaches neither the key-value store nor another controller.
 *  3. If this node has the job, the submission is a duplicate and is answered as a status query
 *     (user_requests.h).
 *  4. 503 if the machine types are not known yet; 422 if the job can never run (feasibility.h).
 *  5. 503 if memory is low (admission.h).
 *  6. The job's record is stored unless there is one: 201. If this node cannot store it, the leader
 *     does, or a third controller on the way to it (request_forwarding.h); 503 if none can.
 *
 * A duplicate submission is answered with the status of the job, even if its body has
 * invalid fields: before this node responds 400 for an invalid field or ends with step 4 or 5, it
 * reads the job's record or queries the leader.
 */
#ifndef FL_COORDINATION_API_SUBMISSION_H
#define FL_COORDINATION_API_SUBMISSION_H

#include <stddef.h>

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/*
 * Answers a submission: 201 only once the job's record is stored, 200 for a duplicate, 400 or 422
 * for a job that can never be accepted, 503 if that cannot be decided now. Waits.
 */
void fl_handle_submission(struct fl_node *node, const char *body, size_t len,
                          enum fl_forward_hop hop, struct fl_http_response *response);

#endif
