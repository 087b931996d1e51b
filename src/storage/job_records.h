/*
 * Job records: their shape, and how one is read from the key-value store. A job has a live record
 * until it is over, then a final one that takes its place in one transaction.
 */
#ifndef FL_STORAGE_JOB_RECORDS_H
#define FL_STORAGE_JOB_RECORDS_H

#include "protocol/kv_store.h"
#include "storage/jobs.h"

/* What reading a job's records found. */
enum fl_record_result {
	FL_RECORD_FOUND,
	FL_RECORD_NOT_FOUND,  /* there is no such job */
	FL_RECORD_UNREADABLE, /* there is one, which this version cannot decode */
	FL_RECORD_UNAVAILABLE /* the store cannot tell now */
};

/* A job record: either the description or the final state. */
struct fl_job_record {
	bool final;
	enum fl_job_status status; /* when final */
	uint32_t task_count;
	bool has_spec; /* a cancelled job keeps its description until its tasks are gone */
	struct fl_job_spec spec;
	double submitted_wall;
	double cancelled_wall; /* 0: not cancelled, or not known */
};

/*
 * What the records say of a job: its live record, or the final one that took its place in one
 * transaction, so that reading them in this order misses neither. `*value` is the live record's
 * value, owned by the caller, or NULL. Both are set only if one was found.
 */
enum fl_record_result fl_job_record_read(struct fl_kv_store *store, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision);

/* The record of a live job; owned by the caller, like the two below. */
cJSON *fl_job_record_live(const struct fl_job_spec *spec, double submitted_wall);
/* The record of a job that is over. */
cJSON *fl_job_record_final(enum fl_job_status status, uint32_t task_count);
/* The record of a job that its user has cancelled and whose tasks have still to be stopped. */
cJSON *fl_job_record_cancelled(const struct fl_job_spec *spec, double submitted_wall,
                               double cancelled_wall);
/* The description that a job was submitted with, from its state in memory. */
void fl_job_describe(const struct fl_cluster *cluster, const struct fl_job *job,
                     struct fl_job_spec *out);
/* Decodes the record of the job with this id; MALFORMED if any of it cannot be read. */
enum fl_decode_result fl_job_record_decode(const cJSON *value, const char *ref,
                                           struct fl_job_record *out);

#endif
