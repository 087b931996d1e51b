/*
 * A plain simulation of a leader and its workers for the tests of reconciliation: reports, answers
 * and commands can be lost, late or repeated, and leaders follow each other. It checks after each
 * step that no task runs on two machines, no team is above its limit, and what is called done is
 * done.
 */
#ifndef FL_TESTS_RECONCILE_SIM_H
#define FL_TESTS_RECONCILE_SIM_H

#include <gsl/gsl_rng.h>

#include "coordination/node.h"
#include "coordination/reconcile.h"

enum { W = 4, JOBS = 3, TASKS = 5, MAIL = 400, ON_MACHINE = 64 };

struct entry {
	struct fl_task_report report;
	bool used;
};

struct worker {
	uint64_t session, seq, epoch;
	struct entry at[ON_MACHINE];
	char *answer; /* to the newest report, on its way; gone with the next report */
};

struct mail {
	int worker;
	char *text; /* a report, or the body of a direct command */
	bool command;
};

struct sim {
	struct fl_node node;
	struct fl_config config;
	struct worker worker[W];
	struct mail mail[MAIL];
	int n_mail;
	char *record[JOBS]; /* progress records, as the state service holds them */
	char *log[2]; /* and the log; a write need not fill both values, what was there stays */
	bool really_done[JOBS][TASKS];
	gsl_rng *g;
	uint64_t epoch;
	int launches, dones, takeovers, logs;
	int calm; /* the larger, the rarer a new epoch: late commands stay dangerous for longer */
};

int pick(struct sim *w, int n);

void ref_of(int job, char ref[FL_REF_MAX]);

void host_of(int worker, char host[FL_NAME_MAX]);

char *report_text(struct sim *w, int at);

void check_rules(struct sim *w);

void execute(struct sim *w, int at, const char *text, bool direct);

void drop_answer(struct worker *k);

struct fl_job *add_job(struct sim *w, int job);

void take_over(struct sim *w);

void place_some(struct sim *w);

void save_records(struct sim *w);

void leader_hears(struct sim *w, int at, const char *text, enum fl_report_source source);

void post(struct sim *w, int at, char *text, bool command);

void command_directly(struct sim *w, int at);

void deliver_late(struct sim *w);

void set_up(struct sim *w, unsigned long seed);

void tear_down(struct sim *w);

#endif
