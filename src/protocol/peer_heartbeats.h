/* Workers' reports that a controller passes on to the leader, many to a message, and the answers.
 */
#ifndef FL_PROTOCOL_PEER_HEARTBEATS_H
#define FL_PROTOCOL_PEER_HEARTBEATS_H

#include "protocol/workers.h"

/* Where such messages go at another controller. */
#define FL_PATH_HEARTBEATS "/reports"

/* Reports in one message at most, and the bytes that they may have together. */
enum { FL_PEER_HEARTBEATS_MAX = 64, FL_PEER_HEARTBEATS_BYTES = 60 * 1024 };

/* A message of reports. */
struct fl_peer_heartbeats {
	bool last_hop;                /* must not be passed on again */
	bool disconnected;            /* the sender cannot reach the state service either */
	char entry_node[FL_NAME_MAX]; /* the node that the workers sent them to */
	const cJSON *list;            /* the reports, still unchecked; in `tree` */
	cJSON *tree;                  /* owned; see fl_peer_heartbeats_free */
};

/* The answer to one of the reports. */
struct fl_heartbeat_reply {
	int status;
	char *body; /* owned, malloc'd; NULL: none */
};

/* An empty list of reports, to be deleted. */
cJSON *fl_heartbeat_list_begin(void);
/* Adds a report's text, which is copied. It must have been read by fl_heartbeat_decode. */
void fl_heartbeat_list_add(cJSON *list, const char *body);
/* The text of a message with this list, which stays the caller's. To be freed. */
char *fl_peer_heartbeats_encode(cJSON *list, const char *entry_node, bool last_hop,
                                bool disconnected);
/* Reads a message: 0, or -EPROTO with nothing held. */
int fl_peer_heartbeats_decode(const char *text, size_t len, struct fl_peer_heartbeats *out);
/* Frees what a message holds. */
void fl_peer_heartbeats_free(struct fl_peer_heartbeats *message);
/* The text of the answers, to be freed. */
char *fl_heartbeat_replies_encode(const struct fl_heartbeat_reply *answers, int n);
/* Reads just as many answers: 0, or -EPROTO with nothing held. */
int fl_heartbeat_replies_decode(const char *text, size_t len, struct fl_heartbeat_reply *answers,
                                int n);

#endif
