/* Workers' reports that a controller passes on to the leader, many to a message, and the answers.
 */
#ifndef FL_PROTOCOL_PEER_REPORTS_H
#define FL_PROTOCOL_PEER_REPORTS_H

#include "protocol/workers.h"

/* Where such messages go at another controller. */
#define FL_PATH_REPORTS "/reports"

/* Reports in one message at most, and the bytes that they may have together. */
enum { FL_PEER_REPORTS_MAX = 64, FL_PEER_REPORTS_BYTES = 60 * 1024 };

/* A message of reports. */
struct fl_peer_reports {
	bool last_hop;         /* must not be passed on again */
	bool disconnected;     /* the sender cannot reach the state service either */
	char via[FL_NAME_MAX]; /* the node that the workers sent them to */
	const cJSON *list;     /* the reports, still unchecked; in `tree` */
	cJSON *tree;           /* owned; see fl_peer_reports_free */
};

/* The answer to one of the reports. */
struct fl_report_answer {
	int status;
	char *body; /* owned, malloc'd; NULL: none */
};

/* An empty list of reports, to be deleted. */
cJSON *fl_report_list_begin(void);
/* Adds a report's text, which is copied. It must have been read by fl_report_decode. */
void fl_report_list_add(cJSON *list, const char *body);
/* The text of a message with this list, which stays the caller's. To be freed. */
char *fl_peer_reports_encode(cJSON *list, const char *via, bool last_hop, bool disconnected);
/* Reads a message: 0, or -EPROTO with nothing held. */
int fl_peer_reports_decode(const char *text, size_t len, struct fl_peer_reports *out);
/* Frees what a message holds. */
void fl_peer_reports_free(struct fl_peer_reports *m);
/* The text of the answers, to be freed. */
char *fl_report_answers_encode(const struct fl_report_answer *answers, int n);
/* Reads just as many answers: 0, or -EPROTO with nothing held. */
int fl_report_answers_decode(const char *text, size_t len, struct fl_report_answer *answers, int n);

#endif
