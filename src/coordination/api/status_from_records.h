/*
 * The status of a job while no leader is reachable, from the stored records. A final status is
 * stored before any user receives it; the task counts of a live job may be older than those that
 * the leader has reported.
 */
#ifndef FL_COORDINATION_API_STATUS_FROM_RECORDS_H
#define FL_COORDINATION_API_STATUS_FROM_RECORDS_H

#include "transport/http_server.h"

struct fl_node;

/* Answers a status query from the records of the job and, if it is live, its tasks. Waits. */
void fl_respond_status_from_records(struct fl_node *node, const char *ref,
                                    struct fl_http_response *response);

#endif
