/*
 * The status of a job without a leader in reach: the stored records decide, which are never older
 * than what any user was told before.
 */
#ifndef FL_COORDINATION_API_STATUS_FROM_RECORDS_H
#define FL_COORDINATION_API_STATUS_FROM_RECORDS_H

#include "transport/http_server.h"

struct fl_node;

/* Answers a status query from the job's record and, while it is live, its progress. Waits. */
void fl_respond_status_from_records(struct fl_node *node, const char *ref,
                                    struct fl_http_response *response);

#endif
