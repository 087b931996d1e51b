/*
 * One node without connections, for the tests of what it does with reports: these are handed in,
 * and its answers looked at.
 */
#ifndef FL_TESTS_NODE_FIXTURE_H
#define FL_TESTS_NODE_FIXTURE_H

#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "protocol/workers.h"

enum { EPOCH = 7 };

struct fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_job *job;
	uint64_t seq;
};

void lead(struct fixture *f, uint64_t epoch);

int set_up(void **state);

int tear_down(void **state);

struct fl_report report(uint64_t session, uint64_t seq, uint64_t epoch,
                        struct fl_task_report *tasks, int n);

/* Hands a report in; the number of orders in its answer, or the refusal. */
int hear(struct fixture *f, struct fl_report r, enum fl_report_source source);

struct fl_machine *machine(struct fixture *f);

/* The machine has waited: its last answer was given so long ago. */
void ago(struct fixture *f, double seconds);

struct fl_task *place(struct fixture *f, uint32_t index);

struct fl_task_report running(uint32_t index, uint32_t attempt);

void follow(struct fixture *f, int peers);

struct fl_response call(struct fixture *f, enum fl_user_call what, const char *ref,
                        const char *body);

extern int kills_in_answer; /* of the report sent last */

int send_report(struct fixture *f, struct fl_report r, char *to);

/* The record of the job, cancelled so long ago. */
cJSON *cancelled_record(struct fixture *f, double seconds);

/* As every node hears of it. */
void hear_of_cancel(struct fixture *f, double seconds);

/* A test entry with a node of its own. */
#define NODE_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
