/* The protocol with workers: their reports, and the orders that they get. */
#ifndef FL_PROTOCOL_WORKERS_H
#define FL_PROTOCOL_WORKERS_H

#include "protocol/users.h"
#include "transport/http_client.h"

/* Gathering: a gang's task that waits for the others to be there. */
enum fl_task_state { FL_PULLING, FL_EXECUTING, FL_FLUSHING, FL_ENDED, FL_GATHERING };
/* Why a task ended. */
enum fl_exit {
	FL_EXIT_DONE,
	FL_EXIT_STOPPED,
	FL_EXIT_ERROR,
	FL_EXIT_NO_ROOM,
	FL_EXIT_BUSY,
	FL_EXIT_NO_SUCH,
	FL_EXIT_MATES_GONE,
	FL_EXIT_ALONE,
	FL_EXIT_OTHER
};

/* A task in a report. */
struct fl_task_report {
	char ref[FL_REF_MAX];
	uint32_t index;
	uint32_t attempt;
	enum fl_task_state state;
	enum fl_exit exit;
	bool saved;
};

/* A worker's report. */
struct fl_report {
	char host[FL_NAME_MAX], endpoint[FL_NAME_MAX], type[FL_NAME_MAX], zone[FL_NAME_MAX];
	bool spot;
	uint64_t incarnation, sequence, fencing_token;
	double reclaim_in_s; /* < 0: no notice */
	struct fl_task_report *tasks;
	int n_tasks;
	int via; /* not in the report: the node it was sent to, by an index; 0: not known */
};

/* What a worker is to do with an attempt. */
enum fl_verb { FL_LAUNCH, FL_KILL, FL_FORGET };

/* Builds the answer to a report, or the body of a direct command. */
struct fl_orders {
	cJSON *root, *list;
	int n;
};

/* Decodes a report: 0, or -EPROTO with nothing held. */
int fl_report_decode(const char *body, size_t len, struct fl_report *out);
/* The same from JSON that has been read; NULL is no report. */
int fl_report_decode_tree(const cJSON *o, struct fl_report *out);
/* Frees what a report holds. */
void fl_report_free(struct fl_report *r);
/* The report as fl_report_decode reads it, to be freed; the tests' workers send it. */
char *fl_report_encode(const struct fl_report *r);

/* Begins orders that carry this epoch. */
void fl_orders_init(struct fl_orders *o, uint64_t fencing_token);
/* Adds an order; `wind_down_s` is for FL_KILL. */
void fl_orders_add(struct fl_orders *o, enum fl_verb verb, const char *ref, uint32_t index,
                   uint32_t attempt, double wind_down_s);
/* Makes the orders valid for this session of the worker only, as a direct command must be. */
void fl_orders_session(struct fl_orders *o, uint64_t incarnation);
/* The body, to be freed; the builder is used up. */
char *fl_orders_take(struct fl_orders *o);

/* POST /commands: the status, or a negative errno; `out` is filled on 200 and 409. */
int fl_worker_command(const char *endpoint, const char *body, double timeout_s,
                      struct fl_report *out);
/* The answer that names the node to report to (NULL: none is known), to be freed. */
char *fl_steward_encode(const char *node);

#endif
