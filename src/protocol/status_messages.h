/*
 * Messages between controllers: status queries for many jobs in one request, and the answers in the
 * same order. Job ids and counts are validated when they are decoded.
 */
#ifndef FL_PROTOCOL_STATUS_MESSAGES_H
#define FL_PROTOCOL_STATUS_MESSAGES_H

#include "protocol/users.h"

/* The path at another controller for status queries. */
#define FL_PATH_STATUS "/status"

/* Maximum number of jobs in one query. */
enum { FL_STATUS_QUERY_JOBS_MAX = 256 };

/* The status of a job as reported to its user. */
struct fl_job_status_report {
	bool status_known; /* if false, only the records show the status, not the leader's memory */
	enum fl_job_status status;
	uint32_t done_count, running_count; /* numbers of tasks, for display only */
};

/* Encodes a query for `count` jobs; the caller frees the text. */
char *fl_status_query_encode(const char (*refs)[FL_REF_MAX], int count);
/* Decodes a query for at most FL_STATUS_QUERY_JOBS_MAX jobs into `refs`. */
enum fl_decode_result fl_status_query_decode(const char *text, size_t length,
                                             char (*refs)[FL_REF_MAX], int *count);
/* Encodes an answer with `reports` in the order of the query; the caller frees the text. */
char *fl_status_answer_encode(const struct fl_job_status_report *reports, int count);
/* Decodes an answer, which must have exactly `count` reports. */
enum fl_decode_result fl_status_answer_decode(const char *text, size_t length,
                                              struct fl_job_status_report *reports, int count);

#endif
