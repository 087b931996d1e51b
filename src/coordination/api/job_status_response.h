/*
 * Responses to users that carry the state of a job. Which task counts a user is given is decided
 * here alone: a status query is answered with counts (all tasks of a job that is done, none of a
 * cancelled one), a cancellation without.
 */
#ifndef FL_COORDINATION_API_JOB_STATUS_RESPONSE_H
#define FL_COORDINATION_API_JOB_STATUS_RESPONSE_H

#include "protocol/status_messages.h"
#include "storage/jobs.h"
#include "transport/http_server.h"

/* The report of a job that is over, from memory or from its record. */
struct fl_job_status_report fl_final_job_report(enum fl_job_status status, uint32_t task_count);
/* The report of a live job by what this node has of its tasks. */
struct fl_job_status_report fl_live_job_report(const struct fl_job *job);

/* Answers a status query: 200 with the status and the counts of a report that is `known`. */
void fl_respond_job_status(struct fl_http_response *response, const char *ref,
                           const struct fl_job_status_report *report);
/* Answers a cancellation: 200 with the final status, which may be DONE; no counts. */
void fl_respond_cancellation(struct fl_http_response *response, const char *ref,
                             enum fl_job_status status);
/* Answers a submission whose record is stored: 201, the job is pending. */
void fl_respond_job_accepted(struct fl_http_response *response, const char *ref);
/* 404: no job has this id. */
void fl_respond_no_such_job(struct fl_http_response *response);

#endif
