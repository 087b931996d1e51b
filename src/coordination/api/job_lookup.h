/* Reads of job records for users' requests: requests for one job at a time share one read. */
#ifndef FL_COORDINATION_API_JOB_LOOKUP_H
#define FL_COORDINATION_API_JOB_LOOKUP_H

#include "storage/records.h"
#include "transport/coroutine.h"

struct fl_node;

/* A read that is under way, or waits for the one before it. */
struct fl_job_lookup {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	int holder_count; /* routines that hold it, the table included */
	bool done;
	struct fl_condition completed;
	struct fl_job_lookup *next;   /* requests since the sending wait for this read */
	enum fl_record_result result; /* as of fl_job_record_read, and what it read */
	struct fl_job_record record;
	cJSON *value;
	uint64_t mod_revision;
};

/* Sets up the budget of reads that polls may cause. */
void fl_job_lookups_init(struct fl_node *node);
/*
 * Like fl_job_record_read, of a read sent after the call. FL_RECORD_UNAVAILABLE
 * also when status queries have used their share of the store. `*value` is the caller's.
 */
enum fl_record_result fl_job_lookup_read(struct fl_node *node, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision);
/* May a poll make one more request to the state service now? */
bool fl_job_lookup_within_budget(struct fl_node *node, double requests);

#endif
