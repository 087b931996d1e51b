/*
 * Between controllers: status queries for many jobs in one request, answered in the same order. Job
 * ids and counts are checked where they enter.
 */
#ifndef FL_PROTOCOL_STATUS_MESSAGES_H
#define FL_PROTOCOL_STATUS_MESSAGES_H

#include "protocol/users.h"

/* Where such queries go at another controller. */
#define FL_PATH_STATUS "/status"

/* Jobs in one query at most. */
enum { FL_STATUS_QUERY_JOBS_MAX = 256 };

/* The status of a job as its user sees it. */
struct fl_job_status_report {
	bool status_known; /* else the leader cannot answer from memory: read the records */
	enum fl_job_status status;
	uint32_t done_count, running_count; /* tasks, for display */
};

/* The text of a query for `count` jobs, to be freed. */
char *fl_status_query_encode(const char (*refs)[FL_REF_MAX], int count);
/* Reads a query of at most FL_STATUS_QUERY_JOBS_MAX jobs into `refs`. */
enum fl_decode_result fl_status_query_decode(const char *text, size_t length,
                                             char (*refs)[FL_REF_MAX], int *count);
/* The text of the answer, to be freed; `reports` in the order of the query. */
char *fl_status_answer_encode(const struct fl_job_status_report *reports, int count);
/* Reads an answer, which must be of exactly `count` jobs. */
enum fl_decode_result fl_status_answer_decode(const char *text, size_t length,
                                              struct fl_job_status_report *reports, int count);

#endif
