/*
 * Messages between controllers: periodic gossip about the leader and cancellations, and users'
 * requests that are forwarded to the leader. Points in time are sent as ages, in seconds at the
 * time of sending, because the clocks of two controllers cannot be compared.
 */
#ifndef FL_PROTOCOL_PEERS_H
#define FL_PROTOCOL_PEERS_H

#include "protocol/workers.h"

/* The path at another controller for gossip requests. */
#define FL_PATH_GOSSIP "/gossip"

/* A cancelled job, and how long ago it was cancelled. */
struct fl_cancellation {
	char ref[FL_REF_MAX];
	double age_s;
};

/* Maximum number of cancellations in one message. */
enum { FL_GOSSIP_CANCELLED_MAX = 512 };

/* A gossip message: a request, or the reply to one. */
struct fl_gossip {
	char node[FL_NAME_MAX], leader[FL_NAME_MAX]; /* `leader` is empty if none is known */
	uint64_t fencing_token;
	/* Time since the sending of the store read that shows this leader and fencing token. */
	double leader_confirmed_age_s;
	bool sender_is_leader; /* the sender holds a valid leader lease */
	/* Age of the sender's cancellation watermark; the sender may lack later cancellations. */
	double watermark_age_s;
	/*
	 * In a reply: `cancelled` has every cancellation that the sender has learned of since the
	 * requester's watermark. If false, some may be missing, and the requester must not raise
	 * its watermark.
	 */
	bool cancellations_complete;
	struct fl_cancellation *cancelled; /* owned; see fl_gossip_free */
	int cancelled_count;
};

/* Encodes a message; the caller frees the text. */
char *fl_gossip_encode(const struct fl_gossip *gossip);
/* Decodes a message. */
enum fl_decode_result fl_gossip_decode(const char *body, size_t length, struct fl_gossip *out);
/* Frees what a message holds, not the struct itself. */
void fl_gossip_free(struct fl_gossip *gossip);

/* The path at another controller for forwarded users' requests. */
#define FL_PATH_FORWARD "/relay"

/* A forwarded user's request. Its body is forwarded unchanged, and the leader decodes it. */
struct fl_forwarded_request {
	enum fl_request_kind kind;
	bool last_hop; /* the receiver must not forward it again */
	char ref[FL_REF_MAX];
	const char *body; /* the body of a submission, in `tree`; else NULL */
	cJSON *tree;      /* owned; see fl_forwarded_request_free */
};

/* Encodes a request to forward; `ref` and `body` may be NULL. The caller frees the text. */
char *fl_forwarded_request_encode(enum fl_request_kind kind, bool last_hop, const char *ref,
                                  const char *body);
/* Decodes a forwarded request. */
enum fl_decode_result fl_forwarded_request_decode(const char *text, size_t length,
                                                  struct fl_forwarded_request *forwarded);
/* Frees what a forwarded request holds, including its body. */
void fl_forwarded_request_free(struct fl_forwarded_request *forwarded);

#endif
