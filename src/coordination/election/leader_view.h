/*
 * What this node knows of who leads, whether by its own reads of the key-value store, by a watch or
 * by gossip. The fencing token known here only rises.
 */
#ifndef FL_COORDINATION_ELECTION_LEADER_VIEW_H
#define FL_COORDINATION_ELECTION_LEADER_VIEW_H

#include "protocol/kv_store.h"
#include "storage/election_records.h"
#include "transport/coroutine.h"

struct fl_node;

/* What is known of the leadership, with the time at which it was surely true. */
struct fl_leader_view {
	char leader[FL_NAME_MAX]; /* the leader's name; empty: none is known */
	uint64_t fencing_token;   /* the highest known; 0: none yet */
	double confirmed_at;      /* steady; of the sending of the read it rests on */
	struct fl_condition changed;
};

/* The keys of the election as one read found them. */
struct fl_election_state {
	bool has_leader;
	struct fl_leader_record leader;
	uint64_t leader_mod_revision, fencing_token, token_mod_revision;
};

/* Nothing is known yet. */
void fl_leader_view_init(struct fl_leader_view *view);
/* What is known was true at this time (steady). */
void fl_leader_view_confirm(struct fl_leader_view *view, double at);
/*
 * Takes over what another controller knows, if it is newer: a higher token, or the same one
 * confirmed later (`confirmed_at`: steady, by this node's clock). A leader that is not known there
 * (empty) replaces none.
 */
void fl_leader_view_learn(struct fl_leader_view *view, uint64_t fencing_token, const char *leader,
                          double confirmed_at);
/* Reads leader and fencing token, and takes them into the view unless the token is outdated. */
enum fl_kv_result fl_leader_view_read(struct fl_node *node, struct fl_election_state *out);
/* The same, for those who only want the view to be fresh. */
enum fl_kv_result fl_leader_view_refresh(struct fl_node *node);

#endif
