/*
 * The status of a job as the leader knows it, the node whose lease is valid now: from memory where
 * that is certain, else from the job's record. The caller has just checked fl_is_leader.
 */
#ifndef FL_COORDINATION_API_STATUS_FROM_LEADER_H
#define FL_COORDINATION_API_STATUS_FROM_LEADER_H

#include "protocol/status_messages.h"
#include "storage/records.h"
#include "transport/http_server.h"

struct fl_cluster;
struct fl_node;

/* What this leader knows of a job. Does not wait; not `known` if only its record can tell. */
struct fl_job_status_report fl_job_status_from_memory(const struct fl_cluster *cluster,
                                                      const char *ref);
/*
 * What the record says of a job that memory does not settle: one that this leader does not know,
 * or whose last write has no known result yet. What was read is applied to the cluster state.
 * Waits. `report` is set only for FL_RECORD_FOUND.
 */
enum fl_record_result fl_job_status_from_record(struct fl_node *node, const char *ref,
                                                struct fl_job_status_report *report);
/* Answers with the result of fl_job_status_from_record: the status, 404 or 503. */
void fl_respond_record_status(struct fl_http_response *response, const char *ref,
                              enum fl_record_result result,
                              const struct fl_job_status_report *report);
/* Answers a status query, from memory where that is certain, else from the record. */
void fl_leader_respond_job_status(struct fl_node *node, const char *ref,
                                  struct fl_http_response *response);

#endif
