/*
 * Messages in which a controller forwards batches of workers' heartbeats to the leader, and the
 * responses with one reply to each heartbeat, in the same order. A heartbeat is forwarded as its
 * worker sent it, and the leader decodes it.
 */
#ifndef FL_PROTOCOL_PEER_HEARTBEATS_H
#define FL_PROTOCOL_PEER_HEARTBEATS_H

#include "protocol/workers.h"

/* The path at another controller for these messages. */
#define FL_PATH_HEARTBEATS "/reports"

/*
 * Limits of one message: the number of heartbeats, and their total size in bytes if there are
 * several. A larger heartbeat has a message of its own.
 */
enum { FL_PEER_HEARTBEATS_MAX = 64, FL_PEER_HEARTBEATS_BYTES_MAX = 60 * 1024 };
/* Limit of the body of a message: the largest heartbeat, and the other fields. */
enum { FL_PEER_HEARTBEATS_BODY_BYTES_MAX = FL_HEARTBEAT_BYTES_MAX + 1024 };

/* A message with forwarded heartbeats. */
struct fl_peer_heartbeats {
	bool last_hop;                /* the receiver must not forward it again */
	bool sender_kv_unavailable;   /* the sender reaches neither leader nor key-value store */
	char entry_node[FL_NAME_MAX]; /* the node that the workers sent the heartbeats to */
	const cJSON *heartbeat_list;  /* the heartbeats, not yet validated; in `tree` */
	cJSON *tree;                  /* owned; see fl_peer_heartbeats_free */
};

/* The reply to one heartbeat. */
struct fl_heartbeat_reply {
	int status; /* HTTP status code */
	char *body; /* owned, malloc'd; NULL: none */
};

/* Creates an empty list of heartbeats; the caller deletes it. */
cJSON *fl_heartbeat_list_create(void);
/* Adds the text of a heartbeat, which is copied. fl_heartbeat_decode must have accepted it. */
void fl_heartbeat_list_add(cJSON *list, const char *body);
/* Encodes a message with `list`, which the caller keeps; the caller frees the text. */
char *fl_peer_heartbeats_encode(cJSON *list, const char *entry_node, bool last_hop,
                                bool sender_kv_unavailable);
/* Decodes a message. */
enum fl_decode_result fl_peer_heartbeats_decode(const char *text, size_t length,
                                                struct fl_peer_heartbeats *out);
/* Frees what a message holds, not the struct itself. */
void fl_peer_heartbeats_free(struct fl_peer_heartbeats *message);
/* Encodes the replies; the caller frees the text. */
char *fl_heartbeat_replies_encode(const struct fl_heartbeat_reply *replies, int count);
/* Decodes a response, which must have exactly `count` replies. */
enum fl_decode_result fl_heartbeat_replies_decode(const char *text, size_t length,
                                                  struct fl_heartbeat_reply *replies, int count);

#endif
