/*
 * Reads of job records for users' requests. Concurrent requests for one job share one read, and the
 * status queries of all controllers together are limited to a share of the key-value store's
 * request rate. A request is never answered by a read that was sent before the request arrived.
 */
#ifndef FL_COORDINATION_API_JOB_LOOKUP_H
#define FL_COORDINATION_API_JOB_LOOKUP_H

#include "storage/job_records.h"
#include "transport/coroutine.h"

struct fl_node;

/* A read that is in flight or waits for the job's previous read. Its last holder frees it. */
struct fl_job_lookup {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	int holder_count; /* coroutines that hold it: the reading one and the waiting ones */
	bool done;
	struct fl_condition completed;
	struct fl_job_lookup *next;   /* for requests that arrived after this read was sent */
	enum fl_record_result result; /* of fl_job_record_read, like the fields below */
	struct fl_job_record record;
	cJSON *value; /* owned */
	uint64_t mod_revision;
};

/* Initialises the rate limit of the reads that status queries cause. */
void fl_job_lookups_init(struct fl_node *node);
/*
 * Like fl_job_record_read, by a read that is sent after the call. Also FL_RECORD_UNAVAILABLE when
 * status queries have used up their share of the store's requests. The caller owns `*value`.
 */
enum fl_record_result fl_job_lookup_read(struct fl_node *node, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision);
/* Takes `request_count` requests from the share for status queries; false if it is used up. */
bool fl_job_lookup_take_budget(struct fl_node *node, double request_count);

#endif
