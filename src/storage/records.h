/* Records in the state service: their keys, their shape, and the budget of writes. */
#ifndef FL_STORAGE_RECORDS_H
#define FL_STORAGE_RECORDS_H

#include "storage/jobs.h"
#include "protocol/state.h"

#define FL_KEY_LEAD "c/lead"
#define FL_KEY_EPOCH "c/epoch"
#define FL_PREFIX_CONTROL "c/"
#define FL_KEY_MACHINE_TYPES "m/kinds"
#define FL_PREFIX_JOBS "j/"
#define FL_PREFIX_FINISHED "f/"
#define FL_PREFIX_PROGRESS "p/"
#define FL_PREFIX_CACHED "k/"
#define FL_PREFIX_LOG "w/"
#define FL_KEY_LOG "w/0" /* in every write of the log */

void fl_key_job(char key[FL_KEY_MAX], const char *ref);
void fl_key_finished(char key[FL_KEY_MAX], const char *ref);
void fl_key_chunk(char key[FL_KEY_MAX], const char *ref, uint32_t chunk);
/* "p/run-000412/3" taken apart. */
int fl_key_chunk_parse(const char *key, char ref[FL_REF_MAX], uint32_t *chunk);

/* A job record: either the description or the final state. */
struct fl_job_record {
	bool final;
	enum fl_status status; /* when final */
	uint32_t n_tasks;
	bool has_spec; /* a cancelled job keeps its description until its tasks are gone */
	struct fl_job_spec spec;
	double submitted;
	double cancelled; /* wall; 0: not, or not said */
};

/*
 * What the records say of a job: its live record, or the final one that took its place in one
 * transaction, so that reading them in this order misses neither. `*v` is the live record's value,
 * owned by the caller, or NULL. -ENOENT: no such job.
 */
int fl_records_read(struct fl_state *s, const char *ref, struct fl_job_record *rec, cJSON **v,
                    uint64_t *rev);

cJSON *fl_job_record_live(const struct fl_job_spec *spec, double submitted);
cJSON *fl_job_record_final(enum fl_status status, uint32_t n_tasks);
/* A job that its user has cancelled and whose tasks have still to go. */
cJSON *fl_job_record_cancelled(const struct fl_job_spec *spec, double submitted, double cancelled);
void fl_job_describe(const struct fl_cluster *b, const struct fl_job *job, struct fl_job_spec *out);
/* Of the job with this id; -EPROTO if any of it cannot be read. */
int fl_job_record_decode(const cJSON *v, const char *ref, struct fl_job_record *out);
/*
 * Takes a change of a job record into the cluster state; returns the live job, if it is one. A
 * deletion (no value) means that the job is over: only a leader keeps it, to finish what it is
 * doing. One that is cancelled it keeps as `cancelled`, until its tasks are gone.
 */
struct fl_job *fl_cluster_apply(struct fl_cluster *b, const char *ref, const cJSON *value,
                                uint64_t rev);

/* Takes in what the record of a leader's live job says; true if it is news that it is cancelled. */
bool fl_cluster_cancelled(struct fl_cluster *b, struct fl_job *job, const struct fl_job_record *rec,
                          uint64_t rev);

/* Around a whole list of job records: live jobs that it no longer holds are dropped. */
void fl_cluster_list_begin(struct fl_cluster *b);
void fl_cluster_list_end(struct fl_cluster *b, uint64_t rev);

cJSON *fl_chunk_encode(const struct fl_cluster *b, const struct fl_job *job, uint32_t chunk);

/*
 * The write-ahead log, a few values under FL_PREFIX_LOG: the changes that no progress record holds
 * yet, of many jobs in one write. Each write of it is complete, so the records can follow at
 * leisure. What older writes left in it does no harm: of two things said of a task the later one
 * counts, and attempts only rise.
 */
struct fl_log_group {
	char ref[FL_REF_MAX];
	uint32_t chunk;
	cJSON *changes;
	bool taken;
};

struct fl_log {
	struct fl_log_group *at;
	int n, cap;
};

/* One group as it goes into a value: the unsaved changes of a chunk; NULL if there are none. */
char *fl_log_group_encode(const struct fl_cluster *b, const struct fl_job *job, uint32_t chunk);
cJSON *fl_log_value_begin(void);
void fl_log_value_add(cJSON *value, const char *group);
/* Adds a value's groups; -EPROTO if it cannot be read. */
int fl_log_read(struct fl_log *log, const cJSON *value);
void fl_log_free(struct fl_log *log);

/*
 * Reads a progress record (NULL: there is none) and what the log says beyond it into tasks and
 * machines; machines not known yet are added. What only the log holds is marked as unsaved.
 */
int fl_chunk_restore(struct fl_cluster *b, struct fl_job *job, uint32_t chunk, const cJSON *v,
                     uint64_t rev, struct fl_log *log, double now);
/* Counts of a progress record, for a node that does not lead. */
int fl_chunk_count(const cJSON *v, uint32_t *done, uint32_t *placed);

/* A token bucket in records a second. */
struct fl_budget {
	double rate, burst, have, at;
};

void fl_budget_init(struct fl_budget *b, double rate, double burst, double now);
/* Seconds to wait before `n` may be spent; 0 spends them. */
double fl_budget_take(struct fl_budget *b, double n, double now);
/* What may be spent now. */
double fl_budget_left(struct fl_budget *b, double now);

#endif
