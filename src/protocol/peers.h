/*
 * Messages between controllers: the periodic gossip about leader and cancellations, and users'
 * requests that are forwarded to the leader. Ages are in seconds at the sending, as the clocks of
 * two controllers cannot be compared.
 */
#ifndef FL_PROTOCOL_PEERS_H
#define FL_PROTOCOL_PEERS_H

#include "protocol/workers.h"

/* Where gossip requests go at another controller. */
#define FL_PATH_GOSSIP "/gossip"

/* A cancelled job, and how long ago it was cancelled. */
struct fl_cancellation {
	char ref[FL_REF_MAX];
	double age_s;
};

/* Cancellations in one message at most. */
enum { FL_GOSSIP_CANCELLED_MAX = 512 };

/* A gossip message: a request, or the answer to one. */
struct fl_gossip {
	char node[FL_NAME_MAX], leader[FL_NAME_MAX]; /* leader empty: none known */
	uint64_t fencing_token;
	/* Since the sending of the read of the store that leader and fencing token rest on. */
	double leader_confirmed_age_s;
	bool sender_is_leader;  /* the sender holds a valid lease */
	double watermark_age_s; /* since when the sender may lack a cancellation */
	/*
	 * In an answer: `cancelled` has every cancellation that the sender has learned of since
	 * the asker's watermark. If false, some may be missing: the watermark must not rise.
	 */
	bool cancellations_complete;
	struct fl_cancellation *cancelled; /* owned; see fl_gossip_free */
	int cancelled_count;
};

/* The text of a message; the caller frees it. */
char *fl_gossip_encode(const struct fl_gossip *gossip);
/* Reads a message. */
enum fl_decode_result fl_gossip_decode(const char *body, size_t length, struct fl_gossip *out);
/* Frees what a message holds, not the struct itself. */
void fl_gossip_free(struct fl_gossip *gossip);

/* Where users' requests that are forwarded go at another controller. */
#define FL_PATH_FORWARD "/relay"

/* A user's request as it is forwarded: its body is unchanged, and the leader decodes it. */
struct fl_forwarded_request {
	enum fl_user_request kind;
	bool last_hop; /* must not be forwarded again */
	char ref[FL_REF_MAX];
	const char *body; /* of a submission, in `tree`; else NULL */
	cJSON *tree;      /* owned; see fl_forwarded_request_free */
};

/* The text of a forwarded request; `ref` and `body` may be NULL. The caller frees it. */
char *fl_forwarded_request_encode(enum fl_user_request kind, bool last_hop, const char *ref,
                                  const char *body);
/* Reads a forwarded request. */
enum fl_decode_result fl_forwarded_request_decode(const char *text, size_t length,
                                                  struct fl_forwarded_request *forwarded);
/* Frees what a forwarded request holds, its body included. */
void fl_forwarded_request_free(struct fl_forwarded_request *forwarded);

#endif
