/*
 * The fencing token of a leader: raising it, and adopting the stored one after a raise whose
 * outcome is not known. Called while this node holds the leader lease; all functions wait for the
 * key-value store.
 */
#ifndef FL_COORDINATION_ELECTION_FENCING_TOKEN_H
#define FL_COORDINATION_ELECTION_FENCING_TOKEN_H

#include <stdbool.h>
#include <stdint.h>

struct fl_node;

/*
 * Raises the token, so that workers reject commands with the old one. If the write fails, the
 * stored token is adopted and `token_raise_wanted` stays set unless that token is higher.
 */
void fl_fencing_token_raise(struct fl_node *node);
/*
 * Raises the token unless it is above `fencing_token` already. Returns whether this node holds the
 * lease with a stored token above it; no command with `fencing_token` is then executed by a worker
 * that has got a reply since.
 */
bool fl_fencing_token_raise_above(struct fl_node *node, uint64_t fencing_token);
/*
 * Adopts the stored token: a raise without an answer may have been executed, or may be executed
 * later. Until the leader has the stored token, it neither reaches the workers that have seen a
 * higher one nor applies their heartbeats. Steps down if the leader key changed; if the read fails,
 * nothing changes.
 */
void fl_fencing_token_adopt_stored(struct fl_node *node);

#endif
