#include "protocol/kv_limits.h"

#include "transport/log.h"

static const double value_fill_share = 0.85;

static bool exceeds(const struct fl_kv_txn_size *size, const struct fl_kv_write_limits *limits)
{
	return size->largest_value_bytes > limits->value_bytes ||
	       size->operation_count > limits->txn_operations;
}

/* Lowers each limit that is above the other one. */
static void lower_to(struct fl_kv_write_limits *limits, const struct fl_kv_write_limits *other)
{
	if (limits->value_bytes > other->value_bytes)
		limits->value_bytes = other->value_bytes;
	if (limits->txn_operations > other->txn_operations)
		limits->txn_operations = other->txn_operations;
	if (limits->writes_per_s > other->writes_per_s)
		limits->writes_per_s = other->writes_per_s;
}

void fl_kv_limits_init(struct fl_kv_limits *limits, const struct fl_kv_write_limits *current,
                       const struct fl_kv_write_limits *announced)
{
	limits->in_force = limits->announced = *current;
	lower_to(&limits->announced, announced);
}

static void log_limits(const struct fl_kv_write_limits *limits, const char *reason)
{
	fl_info("records",
	        "store limits lowered value_bytes=%zu txn_operations=%d writes_per_s=%g "
	        "reason=\"%s\"",
	        limits->value_bytes, limits->txn_operations, limits->writes_per_s, reason);
}

static size_t half_but_at_least(size_t amount, size_t minimum)
{
	return amount / 2 > minimum ? amount / 2 : minimum;
}

/*
 * Halves what may have been too large. The response does not tell whether it was a value or the
 * number of operations, so both are halved, unless one is small enough for any store.
 */
static void lower_below(struct fl_kv_write_limits *limits, const struct fl_kv_txn_size *size)
{
	struct fl_kv_write_limits half = *limits;

	if (size->largest_value_bytes > FL_KV_VALUE_BYTES_MIN)
		half.value_bytes =
			half_but_at_least(size->largest_value_bytes, FL_KV_VALUE_BYTES_MIN);
	if (size->operation_count > FL_KV_TXN_OPERATIONS_MIN)
		half.txn_operations = (int)half_but_at_least((size_t)size->operation_count,
		                                             FL_KV_TXN_OPERATIONS_MIN);
	lower_to(limits, &half);
}

bool fl_kv_limits_on_refusal(struct fl_kv_limits *limits, const struct fl_kv_txn_size *size)
{
	/* It was built before another refusal lowered the limits. */
	if (exceeds(size, &limits->in_force))
		return true;
	if (exceeds(size, &limits->announced)) {
		lower_to(&limits->in_force, &limits->announced);
		log_limits(&limits->in_force,
		           "a transaction above the announced limits was refused");
		return true;
	}
	lower_below(&limits->in_force, size);
	if (!exceeds(size, &limits->in_force))
		return false;
	log_limits(&limits->in_force, "a transaction within the known limits was refused");
	return true;
}

size_t fl_kv_limits_fill_bytes(const struct fl_kv_limits *limits)
{
	return (size_t)((double)limits->in_force.value_bytes * value_fill_share);
}

void fl_kv_limits_on_throttling(struct fl_kv_limits *limits)
{
	if (limits->in_force.writes_per_s <= limits->announced.writes_per_s)
		return;
	limits->in_force.writes_per_s = limits->announced.writes_per_s;
	log_limits(&limits->in_force, "a transaction was refused for its rate");
}
