/*
 * Reads the digests that followers store of heartbeats they could not forward: their machines live,
 * though they are not reachable for the leader. A malformed heartbeat in one is logged and skipped.
 */
#ifndef FL_COORDINATION_WORKERS_DIGEST_READER_H
#define FL_COORDINATION_WORKERS_DIGEST_READER_H

struct fl_node;

/* Runs in a coroutine of the leader, until that is cancelled. */
void fl_digest_reader_run(struct fl_node *node);

#endif
