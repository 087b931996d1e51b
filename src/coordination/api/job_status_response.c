#include "coordination/api/job_status_response.h"

#include "coordination/responses.h"
#include "transport/log.h"

struct fl_job_status_report fl_final_job_report(enum fl_job_status status, uint32_t task_count)
{
	return (struct fl_job_status_report){.status_known = true,
	                                     .status = status,
	                                     .done_count = status == FL_DONE ? task_count : 0};
}

struct fl_job_status_report fl_live_job_report(const struct fl_job *job)
{
	return (struct fl_job_status_report){.status_known = true,
	                                     .status = fl_job_current_status(job),
	                                     .done_count = job->counts.done,
	                                     .running_count = job->counts.running};
}

void fl_respond_job_status(struct fl_http_response *response, const char *ref,
                           const struct fl_job_status_report *report)
{
	response->status = 200;
	response->body = fl_job_status_encode(ref, report->status, report->done_count,
	                                      report->running_count);
}

/* Responds with a job's status, without task counts. */
static void respond_without_counts(struct fl_http_response *response, int http_status,
                                   const char *ref, enum fl_job_status status)
{
	response->status = http_status;
	response->body = fl_job_status_encode(ref, status, -1, 0);
}

void fl_respond_cancellation(struct fl_http_response *response, const char *ref,
                             enum fl_job_status status)
{
	respond_without_counts(response, 200, ref, status);
}

void fl_respond_job_accepted(struct fl_http_response *response, const char *ref)
{
	respond_without_counts(response, 201, ref, FL_PENDING);
}

void fl_respond_no_such_job(struct fl_http_response *response, const char *ref, const char *source)
{
	fl_debug("jobs", "job not found job=%s source=%s", ref, source);
	fl_respond_error(response, 404, "no such job");
}
