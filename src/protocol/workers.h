/*
 * The protocol with workers: their heartbeats, and the commands that they get as the answer to one
 * or directly. Encoded texts are the caller's to free. What a worker sends is checked field by
 * field: a heartbeat that is decoded holds valid job ids, indexes and states only.
 */
#ifndef FL_PROTOCOL_WORKERS_H
#define FL_PROTOCOL_WORKERS_H

#include "protocol/users.h"
#include "transport/http_client.h"

/* The state of a task in a heartbeat. AWAITING_GANG: it waits for the gang's other tasks. */
enum fl_task_state {
	FL_TASK_STATE_PULLING,
	FL_TASK_STATE_RUNNING,
	FL_TASK_STATE_CHECKPOINTING,
	FL_TASK_STATE_EXITED,
	FL_TASK_STATE_AWAITING_GANG
};
/* Why a task ended. OTHER: no reason is given, or none that this version knows. */
enum fl_exit_reason {
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

/* A task in a heartbeat. */
struct fl_task_status {
	char ref[FL_REF_MAX];
	uint32_t index;
	uint32_t attempt;
	enum fl_task_state state;
	enum fl_exit_reason exit_reason; /* valid if EXITED */
	bool checkpoint_saved;           /* its checkpoint is stored */
};

/* A worker's heartbeat. */
struct fl_heartbeat {
	char host[FL_NAME_MAX], endpoint[FL_NAME_MAX], type[FL_NAME_MAX], zone[FL_NAME_MAX];
	bool spot;
	uint64_t incarnation, sequence, fencing_token;
	double interruption_in_s;     /* seconds until the machine is taken back; < 0: no notice */
	struct fl_task_status *tasks; /* owned; see fl_heartbeat_free */
	int task_count;
	int entry_node_index; /* not in the message: the node it was sent to, by an index; 0: not
	                         known */
};

/* What a worker is to do with an attempt. */
enum fl_command_kind { FL_COMMAND_START, FL_COMMAND_STOP, FL_COMMAND_FORGET };

/* A command to a worker, about one attempt of a task. */
struct fl_command {
	enum fl_command_kind kind;
	const char *ref; /* the job; not owned */
	uint32_t index, attempt;
	double grace_period_s; /* of FL_COMMAND_STOP; not sent with the others */
};

/* Builds the answer to a heartbeat, or the body of a direct command. */
struct fl_command_list {
	cJSON *root, *list;
	int count;
};

/* Decodes a heartbeat. */
enum fl_decode_result fl_heartbeat_decode(const char *body, size_t length,
                                          struct fl_heartbeat *out);
/* The same from JSON that has been parsed; NULL is malformed. */
enum fl_decode_result fl_heartbeat_decode_json(const cJSON *object, struct fl_heartbeat *out);
/* Frees what a heartbeat holds, not the struct itself. */
void fl_heartbeat_free(struct fl_heartbeat *heartbeat);
/* The heartbeat as fl_heartbeat_decode reads it, to be freed; the tests' workers send it. */
char *fl_heartbeat_encode(const struct fl_heartbeat *heartbeat);

/* Begins commands that carry this fencing token. */
void fl_command_list_init(struct fl_command_list *commands, uint64_t fencing_token);
/* Adds a command, whose strings are copied. */
void fl_command_list_add(struct fl_command_list *commands, const struct fl_command *command);
/* Makes the commands valid for this incarnation of the worker only, as direct ones must be. */
void fl_command_list_bind_incarnation(struct fl_command_list *commands, uint64_t incarnation);
/* The body, to be freed; the builder is used up. */
char *fl_command_list_take_body(struct fl_command_list *commands);

/* The result of a direct command. */
enum fl_worker_result {
	FL_WORKER_ACCEPTED, /* carried out; the heartbeat shows its effect */
	FL_WORKER_REJECTED, /* of another incarnation or fencing token; the heartbeat shows why */
	FL_WORKER_INVALID,  /* refused as malformed (400); no heartbeat */
	FL_WORKER_OUTCOME_UNKNOWN /* no heartbeat: it may or may not have been carried out */
};

/*
 * POST /commands to a worker. `heartbeat` is the caller's to free if ACCEPTED or REJECTED, and
 * empty else. Waits for at most `timeout_s`, so it must be called from a coroutine.
 */
enum fl_worker_result fl_worker_send_commands(const char *endpoint, const char *body,
                                              double timeout_s, struct fl_heartbeat *heartbeat);
/* The answer that names the node to send heartbeats to (NULL: none is known), to be freed. */
char *fl_redirect_encode(const char *node);

#endif
