/*
 * Standby renewal: any node may renew a worker's lease for the leader, since nothing here is ever
 * concluded from a lease having run out. Only a proof that is not too old bounds it, so that a
 * cancelled job's tasks end in time even where no leader can reach them.
 */
#ifndef FL_COORDINATION_STANDBY_H
#define FL_COORDINATION_STANDBY_H

#include "coordination/relay.h"
#include "coordination/report_digest.h"
#include "coordination/worker_steering.h"
#include "storage/write_budget.h"
#include "transport/http_server.h"
#include "transport/routine.h"

struct fl_node;

/* What a node holds for the workers that report to it while it does not lead. */
struct fl_standby {
	struct fl_cached_report *cached;
	struct fl_misplaced_worker *misplaced;
	int away; /* whose turn it is to get a worker that is sent away */
	struct fl_digest_slot digest[FL_DIGESTS_MAX];
	struct fl_budget writes;
	double refreshed_at;
	bool refreshing;
	struct fl_signal refreshed; /* the read for a fresher proof has come back */
};

/* Starts the routines of the exchange between controllers, and of the digests. */
void fl_standby_start(struct fl_node *n);
/*
 * Answers a worker's report: with orders from the leader, with a renewal, or with another node to
 * report to.
 */
void fl_standby_report(struct fl_node *n, const char *body, size_t len, struct fl_response *resp);
/* Answers a report with the leader's orders; this node leads. It does not wait. */
void fl_standby_answer_leading(struct fl_node *n, const struct fl_report *r,
                               struct fl_response *resp);
/* s after a proof for which a node renews worker leases with it. */
double fl_standby_renewal_s(const struct fl_node *n);
/*
 * This node hears neither the state service nor any other controller: it can decide nothing, pass
 * nothing on, and nobody can order its workers' machines through it.
 */
bool fl_standby_alone(const struct fl_node *n);

#endif
