/*
 * A simulation of a leader and its workers for the tests of reconciliation. The tests run it in
 * random steps: heartbeats, replies and commands can be lost, late or repeated, and leaders replace
 * each other. The leader runs the real code, and the next leader reads its progress records and its
 * write-ahead log. After each step no task runs on two machines, the team does not exceed its
 * quota, and only completed tasks are marked as done; a violation fails the test.
 */
#ifndef FL_TESTS_RECONCILIATION_SIM_H
#define FL_TESTS_RECONCILIATION_SIM_H

#include <gsl/gsl_rng.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"

enum { WORKERS = 4, JOBS = 3, TASKS = 5, MESSAGES = 400, WORKER_TASKS = 64, WAL_VALUES = 2 };

struct worker_task {
	struct fl_task_status status;
	bool used; /* the slot holds a task */
};

struct worker {
	uint64_t incarnation, sequence, fencing_token;
	struct worker_task tasks[WORKER_TASKS];
	char *reply_in_flight; /* reply to the newest heartbeat, dropped at the next; NULL: none */
};

/* A message that may be delivered late, any number of times. */
struct message {
	int worker;
	char *text; /* a heartbeat, or the body of a direct command */
	bool is_command;
};

struct simulation {
	struct fl_node node; /* the leader */
	struct fl_config config;
	struct worker workers[WORKERS];
	struct message messages[MESSAGES];
	int message_count;
	char *records[JOBS]; /* progress records in the key-value store; NULL: not written yet */
	/* Values of the write-ahead log. A write may replace only some; the others stay. */
	char *wal_values[WAL_VALUES];
	bool completed[JOBS][TASKS]; /* an attempt of the task has exited as done */
	gsl_rng *random;
	uint64_t fencing_token;
	int starts, completions, failovers, wal_writes;
	/* Factor of the mean number of steps between new fencing tokens; with a larger one, late
	 * commands stay valid for longer. */
	int token_change_interval;
};

/* Initialises the simulation with a seed; tear_down() frees its content. */
void set_up(struct simulation *sim, unsigned long seed);
void tear_down(struct simulation *sim);

/* Returns the simulation's next random number, from 0 to count - 1. */
int random_below(struct simulation *sim, int count);
void format_ref(int job, char ref[FL_REF_MAX]);
void format_host(int worker, char host[FL_NAME_MAX]);

/* ---- workers, by their index ---- */

/* Encodes the worker's next heartbeat, which the caller frees. */
char *encode_heartbeat(struct simulation *sim, int index);
/* Executes the commands of a reply or, if `direct`, of a direct command, unless it is stale. */
void execute_commands(struct simulation *sim, int index, const char *text, bool direct);
void drop_reply(struct worker *worker);
/* Checks that no task runs twice, and that the team does not exceed its quota. */
void check_invariants(struct simulation *sim);

/* ---- the leader ---- */

struct fl_job *add_job(struct simulation *sim, int job);
/* A new leader takes over, with the state in the write-ahead log and the records. */
void fail_over(struct simulation *sim);
/* Places tasks of a random job. */
void place_some_tasks(struct simulation *sim);
/* Writes the write-ahead log, or random ones of the records. */
void save_some_records(struct simulation *sim);
/* Lets the leader reconcile a heartbeat; if the worker itself sent it, its reply is in flight. */
void deliver_heartbeat(struct simulation *sim, int index, const char *text,
                       enum fl_heartbeat_source source);
/* The leader sends a direct command, which may be executed now and is kept to arrive late. */
void send_direct_command(struct simulation *sim, int worker);
/* Keeps a message for deliver_late_message(); takes ownership of the text. */
void queue_message(struct simulation *sim, int worker, char *text, bool is_command);
/* Delivers a random one of the kept messages, if there are any. */
void deliver_late_message(struct simulation *sim);

#endif
