/*
 * Reads of job records for users' requests. Concurrent requests for one job share one read, and
 * status queries of all controllers together have a share of the key-value store's requests. No
 * request is answered by a read that was sent before it came.
 */
#ifndef FL_COORDINATION_API_JOB_LOOKUP_H
#define FL_COORDINATION_API_JOB_LOOKUP_H

#include "storage/job_records.h"
#include "transport/coroutine.h"

struct fl_node;

/* A read that is under way, or waits for the one before it. Its last holder frees it. */
struct fl_job_lookup {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	int holder_count; /* coroutines that hold it: the one that reads, and those that wait */
	bool done;
	struct fl_condition completed;
	struct fl_job_lookup *next;   /* for the requests since this read was sent */
	enum fl_record_result result; /* as of fl_job_record_read, and what it read */
	struct fl_job_record record;
	cJSON *value; /* owned */
	uint64_t mod_revision;
};

/* Sets up the budget of reads that status queries may cause. */
void fl_job_lookups_init(struct fl_node *node);
/*
 * Like fl_job_record_read, of a read sent after the call. FL_RECORD_UNAVAILABLE also when status
 * queries have used their share of the store. `*value` is the caller's.
 */
enum fl_record_result fl_job_lookup_read(struct fl_node *node, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision);
/* Takes `request_count` requests from status queries' share of the store; false: used up. */
bool fl_job_lookup_take_budget(struct fl_node *node, double request_count);

#endif
