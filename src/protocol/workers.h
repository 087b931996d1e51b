/*
 * The protocol with workers: their heartbeats, and the commands sent to them in the reply to a
 * heartbeat or directly. The caller frees encoded texts. Every field that a worker sends is
 * validated: a decoded heartbeat holds only valid job ids, task indexes and states.
 */
#ifndef FL_PROTOCOL_WORKERS_H
#define FL_PROTOCOL_WORKERS_H

#include "protocol/users.h"
#include "transport/http_client.h"

/*
 * Limit of the tasks of one machine, exited ones included until the worker forgets them: the leader
 * places no more on it. A heartbeat lists all of them, and stays within the protocol's 64 KiB for a
 * request body. The reply, with one command for each, stays within 64 KiB for a line.
 */
enum { FL_MACHINE_TASKS_MAX = 448 };
/*
 * Limits of the commands in one list, and of those that let the worker forget an attempt: the rest
 * of the list is for stops and starts. What does not fit goes with the next reply.
 */
enum { FL_COMMANDS_MAX = 512, FL_FORGET_COMMANDS_MAX = 256 };

/* The path at a controller for heartbeats. */
#define FL_PATH_WORKER_HEARTBEAT "/hello"
/*
 * Limit of a heartbeat's body. A worker should not send more than 64 KiB, but one that does must
 * lose neither its tasks nor its lease.
 */
enum { FL_HEARTBEAT_BYTES_MAX = 1024 * 1024 };

/* The state of a task in a heartbeat. AWAITING_GANG: it waits for the other tasks of its gang. */
enum fl_task_state {
	FL_TASK_STATE_PULLING,
	FL_TASK_STATE_RUNNING,
	FL_TASK_STATE_CHECKPOINTING,
	FL_TASK_STATE_EXITED,
	FL_TASK_STATE_AWAITING_GANG
};
/* Why a task ended. OTHER: the reason is missing, or this version does not know it. */
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
	enum fl_exit_reason exit_reason; /* valid only if `state` is EXITED */
	bool checkpoint_saved;           /* the task's checkpoint is stored */
};

/* A worker's heartbeat. */
struct fl_heartbeat {
	char host[FL_NAME_MAX], endpoint[FL_NAME_MAX], type[FL_NAME_MAX], zone[FL_NAME_MAX];
	bool spot;
	uint64_t incarnation, sequence, fencing_token;
	double interruption_in_s; /* time until the cloud reclaims the machine; < 0: no notice */
	struct fl_task_status *tasks; /* owned; see fl_heartbeat_free */
	int task_count;
	/* The message says nothing of the tasks on the machine: only of a cached heartbeat. */
	bool tasks_omitted;
	/* Index of the node that the heartbeat was sent to; 0: unknown. Not in the message. */
	int entry_node_index;
};

/* The action of a command on an attempt of a task. */
enum fl_command_kind { FL_COMMAND_START, FL_COMMAND_STOP, FL_COMMAND_FORGET };

/* A command to a worker, for one attempt of a task. */
struct fl_command {
	enum fl_command_kind kind;
	const char *ref; /* the job id; not owned */
	uint32_t index, attempt;
	double grace_period_s; /* sent only with FL_COMMAND_STOP */
};

/* A builder of the reply to a heartbeat, or of the body of a direct command. */
struct fl_command_list {
	cJSON *root, *list;
	int count, forget_count;
};

/* Decodes a heartbeat. */
enum fl_decode_result fl_heartbeat_decode(const char *body, size_t length,
                                          struct fl_heartbeat *out);
/* Decodes a heartbeat from parsed JSON; NULL is malformed. */
enum fl_decode_result fl_heartbeat_decode_json(const cJSON *object, struct fl_heartbeat *out);
/* Frees what a heartbeat holds, not the struct itself. */
void fl_heartbeat_free(struct fl_heartbeat *heartbeat);
/* Encodes a heartbeat as fl_heartbeat_decode reads it; used by the workers of the tests. */
char *fl_heartbeat_encode(const struct fl_heartbeat *heartbeat);

/* Begins an empty list of commands with this fencing token. */
void fl_command_list_init(struct fl_command_list *commands, uint64_t fencing_token);
/* Returns whether one more command of this kind stays within the limits of a list. */
bool fl_command_list_has_room(const struct fl_command_list *commands, enum fl_command_kind kind);
/* Adds a command, whose strings are copied; does nothing if the list has no room for it. */
void fl_command_list_add(struct fl_command_list *commands, const struct fl_command *command);
/* Makes the commands valid only for this incarnation of the worker; required for direct ones. */
void fl_command_list_bind_incarnation(struct fl_command_list *commands, uint64_t incarnation);
/* Returns the encoded body and consumes the builder. */
char *fl_command_list_take_body(struct fl_command_list *commands);

/* The result of a direct command. */
enum fl_worker_result {
	FL_WORKER_ACCEPTED, /* executed; the heartbeat shows the effect */
	FL_WORKER_REJECTED, /* another incarnation or fencing token; the heartbeat shows which */
	FL_WORKER_INVALID,  /* rejected as malformed (400); no heartbeat */
	FL_WORKER_OUTCOME_UNKNOWN /* no heartbeat; the command may have been executed */
};

/*
 * Sends commands to a worker by POST /commands. If the result is ACCEPTED or REJECTED, the caller
 * frees `heartbeat`; otherwise it is empty. Waits for at most `timeout_s`, so it must be called
 * from a coroutine.
 */
enum fl_worker_result fl_worker_send_commands(const char *endpoint, const char *body,
                                              double timeout_s, struct fl_heartbeat *heartbeat);
/* Encodes the reply that redirects a worker's heartbeats to `node`; NULL: no node is known. */
char *fl_redirect_encode(const char *node);

#endif
