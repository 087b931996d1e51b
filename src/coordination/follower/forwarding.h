/*
 * Forwarding of requests to the leader: directly, or through a third controller if the leader is
 * not reachable from this one. A request passes through one such controller at most, since the last
 * hop is marked in it.
 */
#ifndef FL_COORDINATION_FOLLOWER_FORWARDING_H
#define FL_COORDINATION_FOLLOWER_FORWARDING_H

#include "protocol/users.h"
#include "transport/http_client.h"

struct fl_node;

/* The hop of a request: received from a client, or forwarded by another controller. */
enum fl_forward_hop { FL_HOP_FIRST, FL_HOP_LAST };

/* The result of a request to the leader. */
enum fl_forward_result {
	FL_FORWARD_ANSWERED = 0,    /* the reply is there, to be judged by its status */
	FL_FORWARD_NO_LEADER,       /* none is known, or the peers do not reach one either */
	FL_FORWARD_REJECTED,        /* the reply has another status than the one wanted */
	FL_FORWARD_CONNECTION_LOST, /* not made, or broken; then it may have been executed */
	FL_FORWARD_OVERLOADED,      /* not sent, since too many are in flight */
	FL_FORWARD_TOO_LARGE,       /* not sent, since it fits into no request */
	FL_FORWARD_TIMED_OUT,       /* it may still be executed */
	FL_FORWARD_CANCELLED,       /* this coroutine is to end; it may still be executed */
	FL_FORWARD_MALFORMED_REPLY, /* the peer uses another protocol */
	FL_FORWARD_OUT_OF_MEMORY    /* not sent */
};

/* What a forwarded request says to the controller that receives it. */
struct fl_forward_flags {
	bool last_hop;             /* the receiver must not forward it */
	bool kv_store_unavailable; /* the sender has lost the key-value store */
};

/* Makes the text of a forwarded request, to be freed; NULL: no memory. */
typedef char *(*fl_forward_encoder)(const void *context, const struct fl_forward_flags *flags);
/* Reads the body of a reply with status 200. */
typedef enum fl_decode_result (*fl_forward_decoder)(void *context, const char *body, size_t len);

/* A request to be forwarded; nothing in it is owned. */
struct fl_forward_request {
	const char *path;
	fl_forward_encoder encode;
	const void *context; /* for `encode` */
	enum fl_forward_hop hop;
	double timeout_s; /* for all attempts together */
};

/* A small number for a controller's name: 1 this node, above it the others; 0: not known. */
int fl_node_index(struct fl_node *node, const char *name);
/* Whether another controller is known to lead, to which requests may be sent directly. */
bool fl_forward_leader_is_reachable(struct fl_node *node);
/* Whether a forwarded request that this node cannot answer must not be forwarded from here. */
bool fl_forward_is_forbidden(const struct fl_node *node, bool last_hop);
/*
 * Forwards a request to the leader, direct or, on the first hop, through a third node. With
 * FL_FORWARD_ANSWERED `out` is filled in, whose body the caller frees. It waits.
 */
enum fl_forward_result fl_forward_to_leader(struct fl_node *node,
                                            const struct fl_forward_request *request,
                                            struct fl_http_reply *reply);
/* The same, if the reply must have status 200 and a body that `decode` reads, with `into`. */
enum fl_forward_result fl_forward_and_decode(struct fl_node *node,
                                             const struct fl_forward_request *request,
                                             fl_forward_decoder decode, void *decode_context);

#endif
