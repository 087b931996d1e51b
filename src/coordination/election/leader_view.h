/*
 * The leader as known to this node, from its own reads of the key-value store, from a watch or from
 * gossip. The view may be outdated, so no decision relies on it; its fencing token only increases.
 * Times are in seconds of the monotonic clock.
 */
#ifndef FL_COORDINATION_ELECTION_LEADER_VIEW_H
#define FL_COORDINATION_ELECTION_LEADER_VIEW_H

#include "protocol/kv_store.h"
#include "storage/election_records.h"
#include "transport/coroutine.h"

struct fl_node;

/* The known leader, and when the view was last confirmed to be correct. */
struct fl_leader_view {
	char leader[FL_NAME_MAX];    /* name of the leader's node; empty if none is known */
	uint64_t fencing_token;      /* highest known token; 0 if none is known yet */
	double confirmed_at;         /* when the last request that confirmed the view was sent */
	struct fl_condition changed; /* signalled by a change of the leader key or a step down */
};

/* The election records, as returned by one read of the key-value store. */
struct fl_election_state {
	bool has_leader;
	struct fl_leader_record leader;
	uint64_t leader_mod_revision, fencing_token, token_mod_revision;
};

/* Initialises a view without a known leader. */
void fl_leader_view_init(struct fl_leader_view *view);
/* Records that the view was correct at this time, unless a later time is recorded already. */
void fl_leader_view_confirm(struct fl_leader_view *view, double confirmed_at);
/*
 * Merges the view of another controller if it is newer: if its token is higher, or if it confirmed
 * the same token later (`confirmed_at`, by this node's clock). An empty `leader` means that the
 * other controller knows none, and does not replace a known one.
 */
void fl_leader_view_merge(struct fl_leader_view *view, uint64_t fencing_token, const char *leader,
                          double confirmed_at);
/* Reads the leader and the fencing token, and updates the view unless the token is outdated. */
enum fl_kv_result fl_leader_view_read(struct fl_leader_view *view, struct fl_kv_store *store,
                                      struct fl_election_state *out);
/* Updates the node's own view by a read, for callers that do not need the records themselves. */
enum fl_kv_result fl_leader_view_refresh(struct fl_node *node);

#endif
