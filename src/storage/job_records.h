/*
 * Job records: their shape, and how one is read from the key-value store. A job has a live record
 * until it is over, then a final one that takes its place in one transaction.
 */
#ifndef FL_STORAGE_JOB_RECORDS_H
#define FL_STORAGE_JOB_RECORDS_H

#include "protocol/kv_store.h"
#include "storage/jobs.h"

/* The result of reading a job's records. */
enum fl_record_result {
	FL_RECORD_FOUND,
	FL_RECORD_NOT_FOUND,  /* there is no such job */
	FL_RECORD_UNREADABLE, /* there is one, which this version cannot decode */
	FL_RECORD_UNAVAILABLE /* the store gave no usable answer: try again later */
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
 * Reads a job's live record, or else its final one, which takes the place of the live one in one
 * transaction: read in this order, neither is missed. `*value` is the live record's value, or NULL;
 * the caller owns it whatever the result is, since an unreadable one is returned, too. `*record` is
 * valid if the result is FL_RECORD_FOUND. Waits for the store: only from a coroutine.
 */
enum fl_record_result fl_job_record_read(struct fl_kv_store *store, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision);

/* The record of a live job; owned by the caller, like the two below. */
cJSON *fl_job_record_encode_live(const struct fl_job_spec *spec, double submitted_wall);
/* The record of a job that is over. */
cJSON *fl_job_record_encode_final(enum fl_job_status status, uint32_t task_count);
/* The record of a job that its user has cancelled and whose tasks have still to be stopped. */
cJSON *fl_job_record_encode_cancelled(const struct fl_job_spec *spec, double submitted_wall,
                                      double cancelled_wall);
/* The description that a job was submitted with, from its state in memory. */
void fl_job_to_spec(const struct fl_cluster *cluster, const struct fl_job *job,
                    struct fl_job_spec *out);
/* Decodes the record of the job with this id; MALFORMED if any of it cannot be read. */
enum fl_decode_result fl_job_record_decode(const cJSON *value, const char *ref,
                                           struct fl_job_record *out);

#endif
