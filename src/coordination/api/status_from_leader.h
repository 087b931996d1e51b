/*
 * The status of a job on the leader, the node whose lease is valid now: from memory where the
 * status is certain, else from the job's record. The caller has just checked fl_is_leader.
 */
#ifndef FL_COORDINATION_API_STATUS_FROM_LEADER_H
#define FL_COORDINATION_API_STATUS_FROM_LEADER_H

#include "protocol/status_messages.h"
#include "storage/job_records.h"
#include "transport/http_server.h"

struct fl_cluster;
struct fl_node;

/*
 * Returns the report from memory, with `status_known` false if the record must be read. Does not
 * wait.
 */
struct fl_job_status_report fl_job_status_from_memory(const struct fl_cluster *cluster,
                                                      const char *ref);
/*
 * Reads the record of a job whose status is not certain from memory: the leader does not have the
 * job, or the outcome of the job's last write is unknown. Applies the record to the cluster state.
 * Waits. `report` is set only for FL_RECORD_FOUND.
 */
enum fl_record_result fl_job_status_from_record(struct fl_node *node, const char *ref,
                                                struct fl_job_status_report *report);
/* Responds with the result of fl_job_status_from_record: the status, 404 or 503. */
void fl_respond_record_status(struct fl_http_response *response, const char *ref,
                              enum fl_record_result result,
                              const struct fl_job_status_report *report);
/* Answers a status query, from memory where the status is certain, else from the record. */
void fl_leader_respond_job_status(struct fl_node *node, const char *ref,
                                  struct fl_http_response *response);

#endif
