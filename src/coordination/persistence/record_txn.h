/*
 * The transactions in which a leader writes its records. They succeed only while the node is
 * still the leader, and are limited to the leader's share of the store's write rate.
 */
#ifndef FL_COORDINATION_PERSISTENCE_RECORD_TXN_H
#define FL_COORDINATION_PERSISTENCE_RECORD_TXN_H

#include "protocol/kv_store.h"
#include "storage/token_bucket.h"

struct fl_leader_lease;
struct fl_node;

/* Sets up a full budget of the leader's writes, a share of the store's write rate in force. */
void fl_record_write_budget_init(struct fl_node *node);
/* Returns the budget of the leader's writes, at the store's write rate that is in force now. */
struct fl_token_bucket *fl_record_write_budget(struct fl_node *node);

/* Maximum bytes of values in one transaction, whose request may have 64 KiB in all. */
enum { FL_RECORD_TXN_BYTES_MAX = 40000 };

/* Begins a transaction that expects the leader key as the holder of this lease wrote it. */
void fl_record_txn_init(const struct fl_leader_lease *lease, struct fl_kv_txn *txn);
/*
 * Returns the maximum number of puts and deletions in one transaction, at least two: the limit in
 * force, or what the write budget allows at once if that is less.
 */
int fl_record_txn_operations_max(const struct fl_node *node);
/*
 * Waits until the write budget allows the transaction. Returns FL_KV_OK if it may be sent now.
 * Otherwise frees the builder without sending: FL_KV_UNAVAILABLE if this node is no longer the
 * leader, FL_KV_CANCELLED if the coroutine is cancelled.
 */
enum fl_kv_result fl_record_txn_admit(struct fl_node *node, struct fl_kv_txn *txn);
/* Sends an admitted transaction, freeing the builder; steps down if the leader key changed. */
enum fl_kv_result fl_record_txn_commit(struct fl_node *node, struct fl_kv_txn *txn,
                                       uint64_t *revision);

#endif
