/*
 * The transactions in which a leader changes a job's record. A transaction that gets no answer may
 * be executed at any later time, as long as the leader key and the record are unchanged. Such
 * transactions are counted in `unresolved_writes` of the job, and while there are any, the record
 * and not the leader's memory shows the state of the job. Only a newer revision of the record
 * resolves them: reading the record unchanged, or the refusal of another transaction, does not. No
 * task of the job is started meanwhile.
 */
#ifndef FL_COORDINATION_PERSISTENCE_JOB_RECORD_TXN_H
#define FL_COORDINATION_PERSISTENCE_JOB_RECORD_TXN_H

#include "protocol/kv_store.h"
#include "storage/jobs.h"

struct fl_node;

/* A transaction on a job's record, and the revisions that it expects. */
struct fl_job_record_txn {
	struct fl_kv_txn txn; /* the caller adds the writes */
	char ref[FL_REF_MAX];
	uint64_t expected_revision; /* of the job's record */
	uint64_t leader_mod_revision;
};

/* Begins a transaction that expects the leader key and the job's record as this leader knows them.
 */
void fl_job_record_txn_begin(const struct fl_node *node, const struct fl_job *job,
                             struct fl_job_record_txn *txn);
/*
 * Sends the transaction, freeing its builder, and counts it as unresolved until the store has
 * refused it or the record has a newer revision. The caller applies the record that it has written
 * (FL_KV_OK). Steps down if the leader key changed. The job may be dropped during the wait.
 */
enum fl_kv_result fl_job_record_txn_commit(struct fl_node *node, struct fl_job_record_txn *txn,
                                           uint64_t *revision);

#endif
