/*
 * The status of a job while no leader is reachable, from the stored records. They are never older
 * than a status that any user has received before.
 */
#ifndef FL_COORDINATION_API_STATUS_FROM_RECORDS_H
#define FL_COORDINATION_API_STATUS_FROM_RECORDS_H

#include "transport/http_server.h"

struct fl_node;

/* Answers a status query from the records of the job and, if it is live, its tasks. Waits. */
void fl_respond_status_from_records(struct fl_node *node, const char *ref,
                                    struct fl_http_response *response);

#endif
