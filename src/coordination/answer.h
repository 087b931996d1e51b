/* Answers to users, by the node whose lease is valid now. */
#ifndef FL_COORDINATION_ANSWER_H
#define FL_COORDINATION_ANSWER_H

#include "transport/http_server.h"

struct fl_node;

void fl_answer_poll(struct fl_node *n, const char *ref, struct fl_response *resp);
void fl_answer_cancel(struct fl_node *n, const char *ref, struct fl_response *resp);

#endif
