/*
 * Keeping: any node may renew a worker's lease for the leader, since nothing here is ever
 * concluded from a lease having run out. Only a proof that is not too old bounds it, so that a
 * cancelled job's tasks end in time even where no leader can reach them.
 */
#ifndef FL_COORDINATION_KEEPER_H
#define FL_COORDINATION_KEEPER_H

#include <uthash.h>

#include "protocol/peers.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/routine.h"

struct fl_node;

struct fl_kept {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	char *body; /* the newest report */
	double at;
};

struct fl_sent_home {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	double at;
};

struct fl_keeper {
	struct fl_kept *kept;
	struct fl_sent_home *sent_home;
	double refreshed_at;
	bool refreshing;
	struct fl_signal refreshed; /* the read for a fresher proof has come back */
};

void fl_keeper_start(struct fl_node *n);
void fl_keeper_report(struct fl_node *n, const char *body, size_t len, bool last_hop,
                      struct fl_response *resp);
/* Passes a call to the leader, direct or through a third node: 0 and the answer, or an errno. */
int fl_relay(struct fl_node *n, enum fl_user_call call, const char *ref, const char *body,
             bool last_hop, double patience_s, struct fl_reply *out);
void fl_keeper_gossip(struct fl_node *n, const char *body, size_t len, struct fl_response *resp);

#endif
