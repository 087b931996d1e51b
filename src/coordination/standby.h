/*
 * Standby renewal: any node may renew a worker's lease for the leader, since nothing here is ever
 * concluded from a lease having run out. Only a proof that is not too old bounds it, so that a
 * cancelled job's tasks end in time even where no leader can reach them.
 */
#ifndef FL_COORDINATION_STANDBY_H
#define FL_COORDINATION_STANDBY_H

#include <uthash.h>

#include "storage/records.h"
#include "protocol/peers.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/routine.h"

struct fl_node;
struct fl_peer;

/* Where a call stands: it came from outside, or from a node that asks only this one. */
enum fl_hop {
	FL_FIRST_HOP,
	FL_LAST_HOP,
	FL_LAST_HOP_DISCONNECTED /* and whose sender has lost the state service too */
};

struct fl_cached_report {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	uint64_t session, seq;
	char *text; /* the newest report, as it goes into a digest */
	double at;
	bool stored; /* went into a digest already */
};

enum { FL_DIGESTS_MAX = 64, FL_RELAYS_MAX = 64 };

/* A record of ours in the state service. */
struct fl_digest_slot {
	uint64_t rev;
	bool known; /* what rev stands there */
};

/* A worker that would be better off at another node. */
struct fl_misplaced_worker {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	double came, sent; /* steady; sent: away from here, 0: not yet */
};

struct fl_standby {
	struct fl_cached_report *cached;
	struct fl_misplaced_worker *misplaced;
	int relays; /* reports being relayed: a leader that stalls must not take all sockets */
	int away;   /* whose turn it is to get a worker that is sent away */
	struct fl_digest_slot digest[FL_DIGESTS_MAX];
	struct fl_budget writes;
	double refreshed_at;
	bool refreshing;
	struct fl_signal refreshed; /* the read for a fresher proof has come back */
};

void fl_standby_start(struct fl_node *n);
/* `via`: the node that the worker sent it to, by name; NULL or empty: not known. */
void fl_standby_report(struct fl_node *n, const char *body, size_t len, enum fl_hop hop,
                       const char *via, struct fl_response *resp);
/* Passes a call to the leader, direct or through a third node: 0 and the answer, or an errno. */
int fl_relay(struct fl_node *n, enum fl_user_call call, const char *ref, const char *via,
             const char *body, enum fl_hop hop, double patience_s, struct fl_reply *out);
/* s after a proof for which a node renews worker leases with it. */
double fl_standby_renewal_s(const struct fl_node *n);
/*
 * This node hears neither the state service nor any other controller: it can decide nothing, pass
 * nothing on, and nobody can order its workers' machines through it.
 */
bool fl_standby_alone(const struct fl_node *n);
/* What one controller asks another about once a second; the answer; and what the answer tells. */
char *fl_standby_gossip_request(struct fl_node *n);
void fl_standby_gossip(struct fl_node *n, const char *body, size_t len, struct fl_response *resp);
void fl_standby_gossip_answer(struct fl_node *n, struct fl_peer *p, const char *body, size_t len,
                              double sent);

#endif
