/*
 * A plain simulation of a leader and its workers for the tests of reconciliation, driven step by
 * step at random: heartbeats, replies and commands can be lost, late or repeated, and leaders
 * follow each other. The leader's code is the real one; its records and its write-ahead log are
 * what the next leader reads. After each step no task runs on two machines, no team is above its
 * quota, and what is called done is done; a violation fails the test.
 */
#ifndef FL_TESTS_RECONCILIATION_SIM_H
#define FL_TESTS_RECONCILIATION_SIM_H

#include <gsl/gsl_rng.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"

enum { WORKERS = 4, JOBS = 3, TASKS = 5, MESSAGES = 400, WORKER_TASKS = 64, WAL_VALUES = 2 };

struct worker_task {
	struct fl_task_status status;
	bool used;
};

struct worker {
	uint64_t incarnation, sequence, fencing_token;
	struct worker_task tasks[WORKER_TASKS];
	char *reply_in_flight; /* to the newest heartbeat; dropped with the next one */
};

/* One that may arrive late, any number of times. */
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
	char *records[JOBS]; /* progress records, as the key-value store holds them */
	/* And the write-ahead log; a write need not fill all values, what was there stays. */
	char *wal_values[WAL_VALUES];
	bool completed[JOBS][TASKS];
	gsl_rng *random;
	uint64_t fencing_token;
	int starts, completions, failovers, wal_writes;
	/* The larger, the rarer a new fencing token: late commands stay valid for longer. */
	int token_change_interval;
};

/* The case of this seed; torn down by tear_down(). */
void set_up(struct simulation *sim, unsigned long seed);
void tear_down(struct simulation *sim);

/* A random number from 0 to count - 1, of the case's sequence. */
int random_below(struct simulation *sim, int count);
void format_ref(int job, char ref[FL_REF_MAX]);
void format_host(int worker, char host[FL_NAME_MAX]);

/* ---- workers, by their index ---- */

/* The next heartbeat of a worker, encoded; the caller's to free. */
char *encode_heartbeat(struct simulation *sim, int index);
/* What a worker does with a reply or, if `direct`, with a direct command. */
void execute_commands(struct simulation *sim, int index, const char *text, bool direct);
void drop_reply(struct worker *worker);
/* No task runs twice, and no team is above its quota. */
void check_invariants(struct simulation *sim);

/* ---- the leader ---- */

struct fl_job *add_job(struct simulation *sim, int job);
/* Another leader begins, with what the write-ahead log and the records hold. */
void fail_over(struct simulation *sim);
/* Places tasks of a random job. */
void place_some_tasks(struct simulation *sim);
/* Writes the write-ahead log, or some of the records. */
void save_some_records(struct simulation *sim);
/* The leader takes a heartbeat in, and its reply is in flight. */
void deliver_heartbeat(struct simulation *sim, int index, const char *text,
                       enum fl_heartbeat_source source);
/* The leader sends a direct command; it may arrive now, and late. */
void send_direct_command(struct simulation *sim, int worker);
/* Keeps the text, which it takes, for deliver_late_message(). */
void queue_message(struct simulation *sim, int worker, char *text, bool is_command);
void deliver_late_message(struct simulation *sim);

#endif
