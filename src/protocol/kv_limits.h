/*
 * The limits of the key-value store on what is written to it. The store may lower them at any time
 * without notice; the settings may announce to which values. What is stored already stays readable.
 * The client of the store (kv_store) owns the limits in force and lowers them when the store
 * refuses a transaction; every module that sizes or paces its writes reads them from there at the
 * time of the write.
 */
#ifndef FL_PROTOCOL_KV_LIMITS_H
#define FL_PROTOCOL_KV_LIMITS_H

#include <stdbool.h>
#include <stddef.h>

/*
 * The smallest limits that this program can work with: each record is split until it fits, and a
 * transaction that moves a record has one put and one deletion.
 */
enum { FL_KV_VALUE_BYTES_MIN = 1024, FL_KV_TXN_OPERATIONS_MIN = 2 };

/* What the store accepts. */
struct fl_kv_write_limits {
	size_t value_bytes;  /* maximum bytes of one value, as JSON text */
	int txn_operations;  /* maximum number of puts and deletions in a transaction */
	double writes_per_s; /* maximum rate of puts and deletions */
};

/* The limits of a store, as far as this process knows. */
struct fl_kv_limits {
	struct fl_kv_write_limits in_force;
	/* The limits that the store may change to; not above those in force at the start. */
	struct fl_kv_write_limits announced;
};

/* The size of a transaction, to be compared with the limits. */
struct fl_kv_txn_size {
	size_t largest_value_bytes;
	int operation_count;
};

/* Sets the limits; of the announced ones, those that are higher than the current ones are ignored.
 */
void fl_kv_limits_init(struct fl_kv_limits *limits, const struct fl_kv_write_limits *current,
                       const struct fl_kv_write_limits *announced);
/*
 * Lowers the limits after the store has refused a transaction of this size as invalid: to the
 * announced ones if these explain the refusal, otherwise to half of the transaction's size. Returns
 * whether a transaction of this size exceeds the limits now in force, so that a smaller one may be
 * accepted; false: its size is not the reason for the refusal.
 */
bool fl_kv_limits_on_refusal(struct fl_kv_limits *limits, const struct fl_kv_txn_size *size);
/*
 * Returns how many bytes a value may have that is filled with as much as fits: less than the limit,
 * since the store may count a value's bytes in another form, with spaces or escapes.
 */
size_t fl_kv_limits_fill_bytes(const struct fl_kv_limits *limits);
/* Lowers the rate to the announced one after the store has refused a transaction for its rate. */
void fl_kv_limits_on_throttling(struct fl_kv_limits *limits);

#endif
