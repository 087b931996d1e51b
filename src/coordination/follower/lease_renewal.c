#include "coordination/follower/lease_renewal.h"

#include "coordination/follower/heartbeat_digest.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/workers/reconciliation.h"
#include "coordination/workers/renewal_rules.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double refresh_interval_s, wait_timeout_s;
} tunables = {
	.refresh_interval_s = 0.5, /* s between two reads of who leads, at least */
	.wait_timeout_s = 1.5,     /* s for which a heartbeat waits for such a read */
};

/*
 * Never a lower fencing token: the worker would drop the reply and wait there until its lease ends.
 * How old the token is does not matter: a lease renewed with an old one decides nothing, and a
 * worker that has seen a newer one drops the reply.
 */
static bool has_current_fencing_token(const struct fl_node *node, uint64_t fencing_token)
{
	return node->leader_view.fencing_token > 0 &&
	       node->leader_view.fencing_token >= fencing_token;
}

static bool can_renew(const struct fl_node *node, uint64_t fencing_token)
{
	return has_current_fencing_token(node, fencing_token) &&
	       fl_renewal_watermark_is_fresh(node);
}

/* Reads who leads; one read serves all that wait for it. */
static void refresh_fencing_token(struct fl_node *node, double deadline)
{
	struct fl_fencing_token_refresh *refresh = &node->follower.fencing_token_refresh;

	if (refresh->in_flight) {
		fl_condition_wait(&refresh->completed, deadline - fl_now());
	} else if (fl_now() > refresh->refreshed_at + tunables.refresh_interval_s) {
		refresh->in_flight = true;
		fl_leader_view_refresh(node);
		refresh->in_flight = false;
		refresh->refreshed_at = fl_now();
		fl_condition_broadcast(&refresh->completed);
	}
}

/*
 * A node that has just started gets heartbeats of many workers at once and knows neither a fencing
 * token nor the jobs, and so no cancellation watermark. It waits for both: a worker rejected
 * meanwhile loses seconds of its lease on nodes that are down. Found in logs of the return of all
 * controllers: whoever had waited for the token was rejected because the jobs were not listed yet,
 * some 50 workers each time.
 */
static bool wait_until_can_renew(struct fl_node *node, uint64_t fencing_token)
{
	double deadline = fl_now() + tunables.wait_timeout_s;

	if (can_renew(node, fencing_token))
		return true;
	if (!has_current_fencing_token(node, fencing_token))
		refresh_fencing_token(node, deadline);
	if (has_current_fencing_token(node, fencing_token) && !node->live_jobs_loaded &&
	    fl_now() < deadline)
		fl_condition_wait(&node->jobs_listed, deadline - fl_now());
	return can_renew(node, fencing_token);
}

void fl_lease_renewal_respond(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                              struct fl_http_response *response)
{
	struct fl_command_list commands;

	if (!wait_until_can_renew(node, heartbeat->fencing_token)) {
		fl_debug("follower",
		         "renewal rejected: %s fencing_token=%llu known=%llu watermark_age_s=%.1f",
		         heartbeat->host, (unsigned long long)heartbeat->fencing_token,
		         (unsigned long long)node->leader_view.fencing_token,
		         fl_now() - node->cancellation_watermark);
		fl_respond_error(response, 503, "leadership not confirmed");
		return;
	}
	/* Only now: a node that has just started knew of no cancellation before it waited. */
	if (fl_renewal_heartbeat_has_overdue_task(node, heartbeat)) {
		fl_debug("follower", "renewal rejected: %s holds a task of a cancelled job",
		         heartbeat->host);
		fl_respond_error(response, 503, "task of a cancelled job overdue");
		return;
	}
	fl_command_list_init(&commands, node->leader_view.fencing_token);
	fl_renewal_add_stop_commands(&node->cluster, heartbeat, &commands);
	response->status = 200;
	response->body = fl_command_list_take_body(&commands);
	fl_heartbeat_cache(node, heartbeat);
	if (node->leadership.active)
		fl_reconcile_record_renewal(node, heartbeat);
}
