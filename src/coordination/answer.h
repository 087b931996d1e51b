/* Answers to users, by the node whose lease is valid now. */
#ifndef FL_COORDINATION_ANSWER_H
#define FL_COORDINATION_ANSWER_H

#include "protocol/job_states.h"
#include "transport/http_server.h"

struct fl_node;

/* What this leader knows of a job without a wait; not `known` if only its record can tell. */
struct fl_job_status_report fl_answer_from_memory(const struct fl_node *n, const char *ref);
/* Answers a poll, from memory where that is certain, else from the record. */
void fl_answer_poll(struct fl_node *n, const char *ref, struct fl_response *resp);
/* Cancels a job, and answers once that is stored; a finished one keeps its state. */
void fl_answer_cancel(struct fl_node *n, const char *ref, struct fl_response *resp);

#endif
