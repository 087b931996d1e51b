/* The protocol with workers: their reports, and the orders that they get. */
#ifndef FL_PROTOCOL_WORKERS_H
#define FL_PROTOCOL_WORKERS_H

#include "protocol/users.h"
#include "transport/http_client.h"

/* Gathering: a gang's task that waits for the others to be there. */
enum fl_task_state {
	FL_TASK_STATE_PULLING,
	FL_TASK_STATE_RUNNING,
	FL_TASK_STATE_CHECKPOINTING,
	FL_TASK_STATE_EXITED,
	FL_TASK_STATE_AWAITING_GANG
};
/* Why a task ended. */
enum fl_exit {
	FL_EXIT_DONE,
	FL_EXIT_STOPPED,
	FL_EXIT_ERROR,
	FL_EXIT_NO_ROOM,
	FL_EXIT_BUSY,
	FL_EXIT_UNKNOWN_TASK,
	FL_EXIT_GANG_PEERS_LOST,
	FL_EXIT_GANG_INCOMPLETE,
	FL_EXIT_OTHER
};

/* A task in a report. */
struct fl_task_status {
	char ref[FL_REF_MAX];
	uint32_t index;
	uint32_t attempt;
	enum fl_task_state state;
	enum fl_exit exit;
	bool saved;
};

/* A worker's report. */
struct fl_heartbeat {
	char host[FL_NAME_MAX], endpoint[FL_NAME_MAX], type[FL_NAME_MAX], zone[FL_NAME_MAX];
	bool spot;
	uint64_t incarnation, sequence, fencing_token;
	double interruption_in_s; /* < 0: no notice */
	struct fl_task_status *tasks;
	int task_count;
	int entry_node; /* not in the report: the node it was sent to, by an index; 0: not known */
};

/* What a worker is to do with an attempt. */
enum fl_command_kind { FL_COMMAND_START, FL_COMMAND_STOP, FL_COMMAND_FORGET };

/* Builds the answer to a report, or the body of a direct command. */
struct fl_command_list {
	cJSON *root, *list;
	int count;
};

/* Decodes a report: 0, or -EPROTO with nothing held. */
int fl_heartbeat_decode(const char *body, size_t len, struct fl_heartbeat *out);
/* The same from JSON that has been read; NULL is no report. */
int fl_heartbeat_decode_json(const cJSON *object, struct fl_heartbeat *out);
/* Frees what a report holds. */
void fl_heartbeat_free(struct fl_heartbeat *heartbeat);
/* The report as fl_heartbeat_decode reads it, to be freed; the tests' workers send it. */
char *fl_heartbeat_encode(const struct fl_heartbeat *heartbeat);

/* Begins orders that carry this epoch. */
void fl_command_list_init(struct fl_command_list *commands, uint64_t fencing_token);
/* Adds an order; `grace_period_s` is for FL_COMMAND_STOP. */
void fl_command_list_add(struct fl_command_list *commands, enum fl_command_kind kind,
                         const char *ref, uint32_t index, uint32_t attempt, double grace_period_s);
/* Makes the orders valid for this session of the worker only, as a direct command must be. */
void fl_command_list_bind_incarnation(struct fl_command_list *commands, uint64_t incarnation);
/* The body, to be freed; the builder is used up. */
char *fl_command_list_take(struct fl_command_list *commands);

/* POST /commands: the status, or a negative errno; `out` is filled on 200 and 409. */
int fl_worker_send_commands(const char *endpoint, const char *body, double timeout_s,
                            struct fl_heartbeat *out);
/* The answer that names the node to report to (NULL: none is known), to be freed. */
char *fl_redirect_encode(const char *node);

#endif
