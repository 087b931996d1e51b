/*
 * Messages between controllers: the regular exchange about leader and cancellations, relayed
 * requests, and digests of cached reports.
 */
#ifndef FL_PROTOCOL_PEERS_H
#define FL_PROTOCOL_PEERS_H

#include "protocol/workers.h"

/* A cancellation, and how long ago it was made. */
struct fl_cancellation {
	char ref[FL_REF_MAX];
	double age_s;
};

/* Most cancellations in one message. */
enum { FL_GOSSIP_CANCELLED_MAX = 512 };

/* A message of the regular exchange: a request, or the answer to one. */
struct fl_gossip {
	char node[FL_NAME_MAX], leader[FL_NAME_MAX]; /* leader empty: none known */
	uint64_t fencing_token;
	double leadership_age_s; /* since the sending of the state read that leader and epoch rest
	                            on */
	bool is_leader;          /* the sender holds a valid lease */
	double watermark_age_s;  /* since when the sender may lack a cancellation */
	/*
	 * Of an answer: `cancelled` is all that the sender has learned since what the asker knows.
	 * Else it is nothing to rely on.
	 */
	bool complete;
	struct fl_cancellation *cancelled; /* owned; see fl_gossip_free */
	int cancelled_count;
};

/* The text of a message; the caller frees it. */
char *fl_gossip_encode(const struct fl_gossip *gossip);
/* Reads a message: 0, or -EPROTO or -ENOMEM with nothing held. */
int fl_gossip_decode(const char *body, size_t len, struct fl_gossip *out);
/* Frees what a message holds, not the struct itself. */
void fl_gossip_free(struct fl_gossip *gossip);

/* Where users' calls that are relayed go at another controller. */
#define FL_PATH_FORWARD "/relay"

/* A user's call travels as it came, wrapped with where it belongs. */
struct fl_forwarded_request {
	enum fl_user_request kind;
	bool last_hop; /* must not be passed on again */
	char ref[FL_REF_MAX];
	const char *body; /* of a submission */
	cJSON *tree;      /* keeps body alive */
};

/* The text of a relayed call; `ref` and `body` may be NULL. The caller frees it. */
char *fl_forwarded_request_encode(enum fl_user_request kind, bool last_hop, const char *ref,
                                  const char *body);
/* Reads a relayed request: 0, or -EPROTO with nothing held. */
int fl_forwarded_request_decode(const char *text, size_t len,
                                struct fl_forwarded_request *forwarded);
/* Frees what a relayed request holds, its body included. */
void fl_forwarded_request_free(struct fl_forwarded_request *forwarded);

/*
 * A cached report as it goes through the state service, where every byte of hundreds of machines
 * counts against values and writes: what is on the machine, but not what is known of it anyway.
 */
char *fl_cached_heartbeat_encode(const struct fl_heartbeat *heartbeat);
/* Machine type, zone and endpoint stay empty. 0, or -EPROTO or -ENOMEM with nothing held. */
int fl_cached_heartbeat_decode(const cJSON *item, struct fl_heartbeat *out);
/* A new record of cached reports, without any. */
cJSON *fl_digest_begin(uint64_t fencing_token);
/* Adds a text of fl_cached_heartbeat_encode. */
void fl_digest_add(cJSON *digest, const char *cached);
/* The list of cached reports in a record that was read, still unchecked; NULL: there is none. */
const cJSON *fl_digest_heartbeats(const cJSON *digest);

#endif
