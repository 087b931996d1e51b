/*
 * Responses to users with the status of a job. Only this module decides which task counts a user
 * gets: the response to a status query has counts (all tasks of a done job, none of a cancelled
 * one), the response to a cancellation has none.
 */
#ifndef FL_COORDINATION_API_JOB_STATUS_RESPONSE_H
#define FL_COORDINATION_API_JOB_STATUS_RESPONSE_H

#include "protocol/status_messages.h"
#include "storage/jobs.h"
#include "transport/http_server.h"

/* Returns the report of a finished job, found in memory or in its record. */
struct fl_job_status_report fl_final_job_report(enum fl_job_status status, uint32_t task_count);
/* Returns the report of a live job from this node's counts of its tasks. */
struct fl_job_status_report fl_live_job_report(const struct fl_job *job);

/* Answers a status query: 200 with the status, which must be known, and the task counts. */
void fl_respond_job_status(struct fl_http_response *response, const char *ref,
                           const struct fl_job_status_report *report);
/* Answers a cancellation: 200 with the final status, which may be DONE, without counts. */
void fl_respond_cancellation(struct fl_http_response *response, const char *ref,
                             enum fl_job_status status);
/* Answers a submission whose record is stored: 201 with the status pending. */
void fl_respond_job_accepted(struct fl_http_response *response, const char *ref);
/* Responds 404: no job has this id. `source`, for the log, is where that was found. */
void fl_respond_no_such_job(struct fl_http_response *response, const char *ref, const char *source);

#endif
