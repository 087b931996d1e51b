/* What the faults do to messages: partitions, packets that are held, latencies. */
#include "sim.h"

static bool is_node(struct sim_endpoint endpoint)
{
	return endpoint.kind == ENDPOINT_NODE || endpoint.kind == ENDPOINT_PEER;
}

/* -1: it is in no zone. */
static int zone_of(struct sim_endpoint endpoint)
{
	if (is_node(endpoint))
		return sim_node_zone(endpoint.index);
	return endpoint.kind == ENDPOINT_WORKER ? sim.machines[endpoint.index].zone : -1;
}

/* The node of a message between a node and something of this kind; -1: it is no such message. */
static int node_in_message_with(struct sim_endpoint from, struct sim_endpoint to,
                                enum sim_endpoint_kind kind)
{
	if (is_node(from) && to.kind == kind)
		return from.index;
	if (is_node(to) && from.kind == kind)
		return to.index;
	return -1;
}

static bool affects_worker(enum sim_fault_kind kind, struct sim_endpoint worker)
{
	for (int i = 0; i < sim.fault_count; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		if (fault->active && fault->kind == kind && fault->affects_machine[worker.index])
			return true;
	}
	return false;
}

static bool zone_is_partitioned(int zone)
{
	return zone >= 0 && sim_fault_active(FAULT_ZONE_PARTITION, zone);
}

static bool crosses_zone_partition(struct sim_endpoint from, struct sim_endpoint to)
{
	return zone_of(from) != zone_of(to) &&
	       (zone_is_partitioned(zone_of(from)) || zone_is_partitioned(zone_of(to)));
}

static bool is_lost_between_peers(struct sim_endpoint from, struct sim_endpoint to)
{
	return sim_fault_active(FAULT_PARTITION_FROM_PEERS, from.index) ||
	       sim_fault_active(FAULT_PARTITION_FROM_PEERS, to.index);
}

static bool is_lost_at_worker(struct sim_endpoint from, struct sim_endpoint to, bool is_reply)
{
	const struct sim_fault *lost_replies = sim_fault_active(FAULT_LOST_REPLIES, -1);

	if (is_reply && lost_replies && sim_chance(lost_replies->magnitude))
		return true;
	/* A call keeps its ends: `from` is the caller, also of a reply. */
	if (from.kind == ENDPOINT_WORKER)
		return affects_worker(is_reply ? FAULT_INBOUND_PARTITION : FAULT_OUTBOUND_PARTITION,
		                      from);
	return !is_reply && affects_worker(FAULT_INBOUND_PARTITION, to);
}

bool sim_message_is_lost(struct sim_endpoint from, struct sim_endpoint to, bool is_reply)
{
	int node = node_in_message_with(from, to, ENDPOINT_KV_STORE);

	if (crosses_zone_partition(from, to))
		return true;
	if (node >= 0 && sim_fault_active(FAULT_PARTITION_FROM_KV, node))
		return true;
	if (is_node(from) && is_node(to))
		return is_lost_between_peers(from, to);
	node = node_in_message_with(from, to, ENDPOINT_WORKER);
	if (node < 0)
		return false;
	return sim_fault_active(FAULT_PARTITION_FROM_WORKERS, node) ||
	       is_lost_at_worker(from, to, is_reply);
}

bool sim_message_is_held(struct sim_endpoint from, struct sim_endpoint to)
{
	int node = node_in_message_with(from, to, ENDPOINT_WORKER);

	return node >= 0 && sim_fault_active(FAULT_PACKETS_HELD, node);
}

double sim_message_latency(void)
{
	const struct sim_fault *slow = sim_fault_active(FAULT_SLOW_LINKS, -1);

	return slow ? sim_random_between(0, slow->magnitude) : sim_random_between(0.001, 0.006);
}
