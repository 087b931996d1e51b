/*
 * The watch of the election keys, which keeps the leader view up to date and wakes the election
 * when the leader key is deleted or a higher fencing token is stored.
 */
#ifndef FL_COORDINATION_ELECTION_ELECTION_WATCH_H
#define FL_COORDINATION_ELECTION_ELECTION_WATCH_H

struct fl_node;

/* Starts the coroutine of the watch, which runs until it is cancelled. */
void fl_election_watch_start(struct fl_node *node);

#endif
