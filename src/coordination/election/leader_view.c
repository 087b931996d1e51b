#include "coordination/election/leader_view.h"

#include <string.h>

#include "coordination/node.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/text.h"

void fl_leader_view_init(struct fl_leader_view *view)
{
	memset(view, 0, sizeof(*view));
	view->confirmed_at = FL_LONG_AGO;
}

void fl_leader_view_confirm(struct fl_leader_view *view, double confirmed_at)
{
	if (confirmed_at > view->confirmed_at)
		view->confirmed_at = confirmed_at;
}

void fl_leader_view_merge(struct fl_leader_view *view, uint64_t fencing_token, const char *leader,
                          double confirmed_at)
{
	if (fencing_token < view->fencing_token || fencing_token == 0)
		return;
	if (fencing_token == view->fencing_token && confirmed_at <= view->confirmed_at)
		return;
	view->fencing_token = fencing_token;
	if (leader[0])
		fl_copy_string(view->leader, sizeof(view->leader), leader);
	fl_leader_view_confirm(view, confirmed_at);
}

static void on_election_key(void *context, const struct fl_kv_event *event)
{
	struct fl_election_state *state = context;

	if (strcmp(event->key, FL_KEY_LEADER) == 0 && event->value) {
		state->has_leader = fl_leader_record_decode(event->value, &state->leader);
		state->leader_mod_revision = event->mod_revision;
	} else if (strcmp(event->key, FL_KEY_FENCING_TOKEN) == 0 && event->value) {
		fl_fencing_token_record_decode(event->value, &state->fencing_token);
		state->token_mod_revision = event->mod_revision;
	}
}

enum fl_kv_result fl_leader_view_read(struct fl_leader_view *view, struct fl_kv_store *store,
                                      struct fl_election_state *out)
{
	double sent_at = fl_now();
	enum fl_kv_result result;
	uint64_t revision;

	memset(out, 0, sizeof(*out));
	result = fl_kv_list(store, FL_PREFIX_ELECTION, on_election_key, out, &revision);
	if (result != FL_KV_OK)
		return result;
	if (out->fencing_token < view->fencing_token)
		return FL_KV_OK;
	view->fencing_token = out->fencing_token;
	fl_leader_view_confirm(view, sent_at);
	fl_copy_string(view->leader, sizeof(view->leader), out->has_leader ? out->leader.node : "");
	return FL_KV_OK;
}

enum fl_kv_result fl_leader_view_refresh(struct fl_node *node)
{
	struct fl_election_state state;

	return fl_leader_view_read(&node->leader_view, &node->kv_store, &state);
}
