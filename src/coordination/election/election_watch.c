#include "coordination/election/election_watch.h"

#include <string.h>

#include "coordination/node.h"
#include "protocol/kv_follow.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/text.h"

static const struct {
	double retry_s, watch_timeout_s;
} tunables = {
	.retry_s = 0.3,          /* delay after a failed request */
	.watch_timeout_s = 10.0, /* duration of one watch request */
};

static void on_leader_key_change(struct fl_node *node, const cJSON *value)
{
	struct fl_leader_view *view = &node->leader_view;
	struct fl_leader_record leader;

	if (!value)
		view->leader[0] = 0;
	else if (fl_leader_record_decode(value, &leader))
		fl_copy_string(view->leader, sizeof(view->leader), leader.node);
	if (!node->leader_lease.held)
		fl_condition_broadcast(&view->changed);
}

static void on_fencing_token_change(struct fl_node *node, const cJSON *value)
{
	struct fl_leader_view *view = &node->leader_view;
	uint64_t fencing_token;

	if (!value || !fl_fencing_token_record_decode(value, &fencing_token) ||
	    fencing_token <= view->fencing_token)
		return;
	view->fencing_token = fencing_token;
	/* A raise of this leader was executed late: see fl_fencing_token_adopt_stored. */
	if (node->leader_lease.held && fencing_token > node->leader_lease.fencing_token)
		fl_condition_broadcast(&view->changed);
}

static void on_election_event(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;

	if (strcmp(event->key, FL_KEY_LEADER) == 0)
		on_leader_key_change(node, event->value);
	else if (strcmp(event->key, FL_KEY_FENCING_TOKEN) == 0)
		on_fencing_token_change(node, event->value);
}

/* Lists the election keys. A watch can continue from `*revision`, the revision of the list. */
static enum fl_kv_result list_election_keys(void *context, uint64_t *revision)
{
	struct fl_node *node = context;
	double sent_at = fl_now();
	enum fl_kv_result result =
		fl_kv_list(&node->kv_store, FL_PREFIX_ELECTION, on_election_event, node, revision);

	/* The list confirms the view, so a node that has just started can renew worker leases. */
	if (result == FL_KV_OK)
		fl_leader_view_confirm(&node->leader_view, sent_at);
	return result;
}

/*
 * Watches the election keys, so that the loss of a leader is noticed within milliseconds; periodic
 * reads would take up to a second.
 */
static void watch_coroutine(void *arg)
{
	struct fl_node *node = arg;
	const struct fl_kv_follow follow = {.watch = {.prefix = FL_PREFIX_ELECTION,
	                                              .timeout_s = tunables.watch_timeout_s,
	                                              .on_event = on_election_event,
	                                              .context = node},
	                                    .retry_s = tunables.retry_s,
	                                    .list = list_election_keys};

	fl_coroutine_set_urgent();
	fl_kv_follow(&node->kv_store, &follow);
}

void fl_election_watch_start(struct fl_node *node) { fl_coroutine_spawn(watch_coroutine, node); }
