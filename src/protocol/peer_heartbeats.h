/*
 * Workers' heartbeats that a controller forwards to the leader, many to a message, and the replies
 * to them, one for each and in the same order. Each heartbeat stays as its worker sent it and is
 * decoded once, by the leader.
 */
#ifndef FL_PROTOCOL_PEER_HEARTBEATS_H
#define FL_PROTOCOL_PEER_HEARTBEATS_H

#include "protocol/workers.h"

/* Where such messages go at another controller. */
#define FL_PATH_HEARTBEATS "/reports"

/* Heartbeats in one message at most, and the bytes that they may have together. */
enum { FL_PEER_HEARTBEATS_MAX = 64, FL_PEER_HEARTBEATS_BYTES_MAX = 60 * 1024 };

/* A message of heartbeats. */
struct fl_peer_heartbeats {
	bool last_hop;                /* must not be forwarded again */
	bool sender_kv_unavailable;   /* the sender cannot reach the key-value store either */
	char entry_node[FL_NAME_MAX]; /* the node that the workers sent them to */
	const cJSON *heartbeat_list;  /* the heartbeats, still unchecked; in `tree` */
	cJSON *tree;                  /* owned; see fl_peer_heartbeats_free */
};

/* The reply to one of the heartbeats. */
struct fl_heartbeat_reply {
	int status;
	char *body; /* owned, malloc'd; NULL: none */
};

/* An empty list of heartbeats, to be deleted. */
cJSON *fl_heartbeat_list_create(void);
/* Adds a heartbeat's text, which is copied. fl_heartbeat_decode must have accepted it. */
void fl_heartbeat_list_add(cJSON *list, const char *body);
/* The text of a message with this list, which stays the caller's. To be freed. */
char *fl_peer_heartbeats_encode(cJSON *list, const char *entry_node, bool last_hop,
                                bool sender_kv_unavailable);
/* Reads a message. */
enum fl_decode_result fl_peer_heartbeats_decode(const char *text, size_t length,
                                                struct fl_peer_heartbeats *out);
/* Frees what a message holds. */
void fl_peer_heartbeats_free(struct fl_peer_heartbeats *message);
/* The text of the replies, to be freed. */
char *fl_heartbeat_replies_encode(const struct fl_heartbeat_reply *replies, int count);
/* Reads exactly `count` replies. */
enum fl_decode_result fl_heartbeat_replies_decode(const char *text, size_t length,
                                                  struct fl_heartbeat_reply *replies, int count);

#endif
