/* Between controllers: status queries for many jobs in one request, answered in the same order. */
#ifndef FL_PROTOCOL_STATUS_MESSAGES_H
#define FL_PROTOCOL_STATUS_MESSAGES_H

#include "protocol/users.h"

#define FL_PATH_STATUS "/status"
enum { FL_STATUS_QUERY_MAX = 256 }; /* jobs in one request */

/* What a user is told of a job. */
struct fl_job_status_report {
	bool known; /* else the leader's memory does not settle it */
	enum fl_job_status status;
	uint32_t done_count, running_count; /* tasks, for display */
};

char *fl_status_query_encode(const char (*refs)[FL_REF_MAX], int count);
/* How many ids were read into `refs`, or -EPROTO. */
int fl_status_query_decode(const char *text, size_t len, char (*refs)[FL_REF_MAX]);
char *fl_status_answer_encode(const struct fl_job_status_report *states, int count);
/* The answer must be of exactly `count` jobs: 0, or -EPROTO. */
int fl_status_answer_decode(const char *text, size_t len, struct fl_job_status_report *states,
                            int count);

#endif
