/* What controllers exchange: hearsay about leader and proof, and relayed requests. */
#ifndef FL_PROTOCOL_PEERS_H
#define FL_PROTOCOL_PEERS_H

#include "protocol/users.h"

struct fl_gossip {
	char node[FL_NAME_MAX], leader[FL_NAME_MAX]; /* leader empty: none known */
	uint64_t epoch;
	double proof_age_s; /* since the sending of the state read that the proof rests on */
	bool leads;         /* the sender holds a valid lease */
};

char *fl_gossip_encode(const struct fl_gossip *g);
int fl_gossip_decode(const char *body, size_t len, struct fl_gossip *out);

/* Relayed requests travel as they came, wrapped with where they belong. */
struct fl_relay {
	enum fl_user_call call;
	bool last_hop; /* must not be passed on again */
	char ref[FL_REF_MAX];
	const char *body; /* the report's text */
	cJSON *tree;      /* keeps body alive */
};

char *fl_relay_encode(enum fl_user_call call, bool last_hop, const char *ref, const char *body);
int fl_relay_decode(const char *text, size_t len, struct fl_relay *out);
void fl_relay_free(struct fl_relay *r);

#endif
