/*
 * Forwarding of requests to the leader: directly, or through a third controller if this one cannot
 * reach the leader. A request passes through at most one third controller, since the request is
 * marked on its last hop.
 */
#ifndef FL_COORDINATION_FOLLOWER_FORWARDING_H
#define FL_COORDINATION_FOLLOWER_FORWARDING_H

#include "protocol/users.h"
#include "transport/http_client.h"

struct fl_node;

/* FL_HOP_FIRST: received from a client; FL_HOP_LAST: sent to the leader directly or not at all. */
enum fl_forward_hop { FL_HOP_FIRST, FL_HOP_LAST };

/* The result of a request to the leader. */
enum fl_forward_result {
	FL_FORWARD_ANSWERED = 0,    /* a reply has arrived; the caller checks its status */
	FL_FORWARD_NO_LEADER,       /* no leader is known, or no peer reaches it either */
	FL_FORWARD_REJECTED,        /* the reply does not have the expected status */
	FL_FORWARD_CONNECTION_LOST, /* not connected; or broken, and the request may be executed */
	FL_FORWARD_OVERLOADED,      /* not sent: too many requests are in flight */
	FL_FORWARD_TIMED_OUT,       /* no reply in time; the request may still be executed */
	FL_FORWARD_CANCELLED,       /* this coroutine is cancelled; the request may be executed */
	FL_FORWARD_MALFORMED_REPLY, /* the peer uses another protocol */
	FL_FORWARD_OUT_OF_MEMORY    /* request not sent, or its reply not decoded */
};

/* Flags in a forwarded request for the controller that receives it. */
struct fl_forward_flags {
	bool last_hop;             /* the receiver must not forward the request */
	bool kv_store_unavailable; /* the sender cannot reach the key-value store */
};

/* Returns the text of a forwarded request, which the caller frees; NULL if out of memory. */
typedef char *(*fl_forward_encoder)(const void *context, const struct fl_forward_flags *flags);
/* Decodes the body of a reply with status 200. */
typedef enum fl_decode_result (*fl_forward_decoder)(void *context, const char *body, size_t len);

/* A request to be forwarded. It owns nothing. */
struct fl_forward_request {
	const char *path;
	fl_forward_encoder encode;
	const void *context; /* passed to `encode` */
	enum fl_forward_hop hop;
	double timeout_s; /* for all attempts together */
};

/* Returns the index of a controller: 1 for this node, from 2 for its peers, 0 if unknown. */
int fl_node_index(struct fl_node *node, const char *name);
/* Returns whether a peer is known to lead and requests may be sent directly to it. */
bool fl_forward_leader_is_reachable(struct fl_node *node);
/* Returns whether this node must not forward a request that was forwarded to it. */
bool fl_forward_is_forbidden(const struct fl_node *node, bool last_hop);
/*
 * Forwards a request to the leader, directly or, on the first hop, through a third controller. With
 * FL_FORWARD_ANSWERED `leader_reply` is filled in, and the caller frees its body. Waits.
 */
enum fl_forward_result fl_forward_to_leader(struct fl_node *node,
                                            const struct fl_forward_request *request,
                                            struct fl_http_reply *leader_reply);
/*
 * Forwards a request as fl_forward_to_leader does, and passes the body of a reply with status 200
 * to `decode`. Returns FL_FORWARD_REJECTED for a reply with another status.
 */
enum fl_forward_result fl_forward_and_decode(struct fl_node *node,
                                             const struct fl_forward_request *request,
                                             fl_forward_decoder decode, void *decode_context);

#endif
