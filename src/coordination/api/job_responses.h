/* Answers to users, by the node whose lease is valid now. */
#ifndef FL_COORDINATION_API_JOB_RESPONSES_H
#define FL_COORDINATION_API_JOB_RESPONSES_H

#include "protocol/status_messages.h"
#include "transport/http_server.h"

struct fl_node;

/* What this leader knows of a job without a wait; not `known` if only its record can tell. */
struct fl_job_status_report fl_job_status_from_memory(const struct fl_node *node, const char *ref);
/* Answers a poll, from memory where that is certain, else from the record. */
void fl_respond_job_status(struct fl_node *node, const char *ref,
                           struct fl_http_response *response);
/* Cancels a job, and answers once that is stored; a finished one keeps its state. */
void fl_respond_cancel(struct fl_node *node, const char *ref, struct fl_http_response *response);

#endif
