/*
 * Reads heartbeat digests, in which followers store the heartbeats that they could not forward to
 * the leader. These machines are up, though the leader may not reach them. A malformed heartbeat in
 * a digest is logged and skipped.
 */
#ifndef FL_COORDINATION_WORKERS_DIGEST_READER_H
#define FL_COORDINATION_WORKERS_DIGEST_READER_H

struct fl_node;

/* Reads and watches the digests; runs in a coroutine of the leader until it is cancelled. */
void fl_digest_reader_run(struct fl_node *node);

#endif
