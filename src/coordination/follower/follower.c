#include "coordination/follower/follower.h"

#include "coordination/follower/gossip.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/workers/leader_reply.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double digest_interval_s;
} tunables = {
	.digest_interval_s = 2.0, /* between two writes of digests to the key-value store */
};

void fl_follower_handle_heartbeat(struct fl_node *node, const char *body, size_t len,
                                  struct fl_http_response *response)
{
	const struct fl_peer *target;
	struct fl_heartbeat heartbeat;

	if (fl_heartbeat_decode(body, len, &heartbeat) != FL_DECODE_OK) {
		fl_error("workers", "heartbeat malformed; rejected");
		fl_respond_error(response, 400, "malformed heartbeat");
		return;
	}
	heartbeat.entry_node_index = fl_node_index(node, node->config->node);
	target = fl_redirect_target(node, &heartbeat);
	if (target) {
		fl_debug("follower", "worker redirected machine=%s peer=%s", heartbeat.host,
		         target->name);
		response->status = 421;
		response->body = fl_redirect_encode(target->name);
	} else if (fl_is_leader(node)) {
		fl_leader_reply_respond(node, &heartbeat, response);
	} else if (fl_heartbeat_forward(node, body, len, response) != FL_FORWARD_ANSWERED) {
		fl_lease_renewal_respond(node, &heartbeat, response);
	}
	fl_heartbeat_free(&heartbeat);
}

/*
 * Drops old misplaced workers and writes heartbeat digests, in one coroutine so that old workers
 * are dropped before a digest is written.
 */
static void maintenance_coroutine(void *arg)
{
	struct fl_node *node = arg;

	while (fl_sleep(tunables.digest_interval_s) == 0) {
		double now = fl_now();

		fl_redirect_expire_workers(node, now);
		fl_heartbeat_digest_write(node, now, tunables.digest_interval_s);
	}
}

void fl_follower_start(struct fl_node *node)
{
	fl_heartbeat_digest_init(node, tunables.digest_interval_s);
	fl_gossip_start(node);
	fl_coroutine_spawn(maintenance_coroutine, node);
}
