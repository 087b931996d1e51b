/*
 * Job records: their encoding, and how they are read from the key-value store. A job has a live
 * record until it is finished; one transaction then replaces it with a final record.
 */
#ifndef FL_STORAGE_JOB_RECORDS_H
#define FL_STORAGE_JOB_RECORDS_H

#include "protocol/kv_store.h"
#include "storage/jobs.h"

/* The result of reading a job's records. */
enum fl_record_result {
	FL_RECORD_FOUND,
	FL_RECORD_NOT_FOUND,  /* the job does not exist */
	FL_RECORD_UNREADABLE, /* the record exists, but this version cannot decode it */
	FL_RECORD_UNAVAILABLE /* the store gave no usable reply; to be retried */
};

/* A decoded job record: the job's description, its final state, or both if it is cancelled. */
struct fl_job_record {
	bool final;
	enum fl_job_status status; /* valid if final */
	uint32_t task_count;
	bool has_spec; /* a cancelled job keeps its description until its tasks have stopped */
	struct fl_job_spec spec;
	double submitted_wall;
	double cancelled_wall; /* 0: not cancelled, or time not known */
};

/*
 * Reads a job's live record or, if there is none, its final record. The final record replaces the
 * live one in one transaction, so reading them in this order misses neither. `*value` is the live
 * record's value, or NULL; the caller owns it for every result, because an unreadable value is
 * returned too. `*record` is valid if the result is FL_RECORD_FOUND. Waits for the store, so it
 * must be called from a coroutine.
 */
enum fl_record_result fl_job_record_read(struct fl_kv_store *store, const char *ref,
                                         struct fl_job_record *record, cJSON **value,
                                         uint64_t *revision);

/*
 * Returns the record of a live job. The caller owns the result of this function and of the next
 * two.
 */
cJSON *fl_job_record_encode_live(const struct fl_job_spec *spec, double submitted_wall);
/* Returns the final record of a finished job. */
cJSON *fl_job_record_encode_final(enum fl_job_status status, uint32_t task_count);
/* Returns the record of a job that was cancelled and whose tasks may still have to be stopped. */
cJSON *fl_job_record_encode_cancelled(const struct fl_job_spec *spec, double submitted_wall,
                                      double cancelled_wall);
/* Writes the description that a job was submitted with to `out`, from the job's state in memory. */
void fl_job_to_spec(const struct fl_cluster *cluster, const struct fl_job *job,
                    struct fl_job_spec *out);
/* Decodes the record of the job with this id; MALFORMED if any part of the record is invalid. */
enum fl_decode_result fl_job_record_decode(const cJSON *value, const char *ref,
                                           struct fl_job_record *out);

#endif
