/*
 * The leader as this node knows it, from its own reads of the key-value store, from a watch or from
 * gossip. It may be outdated, so nothing is decided by it; the fencing token in it only rises.
 */
#ifndef FL_COORDINATION_ELECTION_LEADER_VIEW_H
#define FL_COORDINATION_ELECTION_LEADER_VIEW_H

#include "protocol/kv_store.h"
#include "storage/election_records.h"
#include "transport/coroutine.h"

struct fl_node;

/* The known leader, with the time at which that was certainly true. */
struct fl_leader_view {
	char leader[FL_NAME_MAX];    /* the name of its node; empty: none is known */
	uint64_t fencing_token;      /* the highest known; 0: none yet */
	double confirmed_at;         /* steady; when the read it rests on was sent */
	struct fl_condition changed; /* the leader key is deleted or taken, or the lease given up */
};

/* The election keys as one read found them. */
struct fl_election_state {
	bool has_leader;
	struct fl_leader_record leader;
	uint64_t leader_mod_revision, fencing_token, token_mod_revision;
};

/* A view of no leader. */
void fl_leader_view_init(struct fl_leader_view *view);
/* The view was true at this time (steady); an earlier time than the known one has no effect. */
void fl_leader_view_confirm(struct fl_leader_view *view, double confirmed_at);
/*
 * Adopts what another controller knows, if it is newer: a higher token, or the same one
 * confirmed later (`confirmed_at`: steady, by this node's clock). A leader that is not known there
 * (empty) replaces none.
 */
void fl_leader_view_merge(struct fl_leader_view *view, uint64_t fencing_token, const char *leader,
                          double confirmed_at);
/* Reads leader and fencing token, and updates the view unless the token is outdated. */
enum fl_kv_result fl_leader_view_read(struct fl_leader_view *view, struct fl_kv_store *store,
                                      struct fl_election_state *out);
/* The same on a node's own view, for those that need no more than a fresh view. */
enum fl_kv_result fl_leader_view_refresh(struct fl_node *node);

#endif
