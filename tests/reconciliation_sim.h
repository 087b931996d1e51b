/*
 * A plain simulation of a leader and its workers for the tests of reconciliation: reports, answers
 * and commands can be lost, late or repeated, and leaders follow each other. It checks after each
 * step that no task runs on two machines, no team is above its limit, and what is called done is
 * done.
 */
#ifndef FL_TESTS_RECONCILIATION_SIM_H
#define FL_TESTS_RECONCILIATION_SIM_H

#include <gsl/gsl_rng.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"

enum { WORKERS = 4, JOBS = 3, TASKS = 5, MESSAGES = 400, ENTRIES = 64 };

struct entry {
	struct fl_task_status status;
	bool used;
};

struct worker {
	uint64_t incarnation, sequence, fencing_token;
	struct entry at[ENTRIES];
	char *answer; /* to the newest report, in flight; dropped with the next report */
};

struct message {
	int worker;
	char *text; /* a report, or the body of a direct command */
	bool command;
};

struct simulation {
	struct fl_node node;
	struct fl_config config;
	struct worker worker[WORKERS];
	struct message messages[MESSAGES];
	int n_messages;
	char *record[JOBS]; /* progress records, as the state service holds them */
	char *log[2]; /* and the log; a write need not fill both values, what was there stays */
	bool actually_done[JOBS][TASKS];
	gsl_rng *rng;
	uint64_t fencing_token;
	int launches, dones, takeovers, logs;
	int calm; /* the larger, the rarer a new epoch: late commands stay valid for longer */
};

/* A random number from 0 to n - 1, of the case's stream. */
int random_below(struct simulation *sim, int n);

void format_ref(int job, char ref[FL_REF_MAX]);

void format_host(int worker, char host[FL_NAME_MAX]);

/* The next report of a worker, encoded. */
char *report_text(struct simulation *sim, int at);

/* No task runs twice, and no team is above its limit. */
void check_invariants(struct simulation *sim);

/* What a worker does with an answer or, if `direct`, with a command. */
void execute_orders(struct simulation *sim, int at, const char *text, bool direct);

void drop_answer(struct worker *worker);

struct fl_job *add_job(struct simulation *sim, int job);

/* Another leader begins, with what the log and the records hold. */
void take_over(struct simulation *sim);

/* Places tasks of a random job. */
void place_some(struct simulation *sim);

/* Writes the log, or some of the records. */
void save_some(struct simulation *sim);

/* The leader takes a report in, and its answer is in flight. */
void deliver_report(struct simulation *sim, int at, const char *text,
                    enum fl_heartbeat_source source);

/* For deliver_late(), any number of times. */
void queue_message(struct simulation *sim, int at, char *text, bool command);

/* The leader sends a command; it may arrive now, and late. */
void command_directly(struct simulation *sim, int at);

void deliver_late(struct simulation *sim);

/* The case of this seed. */
void set_up(struct simulation *sim, unsigned long seed);

void tear_down(struct simulation *sim);

#endif
