/*
 * One node without connections, for the tests of what it does with reports: these are delivered
 * directly, and its answers examined.
 */
#ifndef FL_TESTS_NODE_FIXTURE_H
#define FL_TESTS_NODE_FIXTURE_H

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
#include "protocol/workers.h"

enum { EPOCH = 7 };

struct fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_job *job;
	uint64_t seq;
};

/* The node leads from now on, with this epoch and without placed tasks. */
void become_leader(struct fixture *fixture, uint64_t fencing_token);

/* Before and after each test: a node with two zones, one machine type, team and job. */
int set_up(void **state);

int tear_down(void **state);

/* Of the machine m-000001. */
struct fl_heartbeat make_report(uint64_t incarnation, uint64_t sequence, uint64_t fencing_token,
                                struct fl_task_status *tasks, int n);

/* What deliver_report returns for a heartbeat that was rejected. */
#define REJECTED(result) (-(int)(result))
/* Delivers a heartbeat; the number of commands in its reply, or REJECTED with the result. */
int deliver_report(struct fixture *fixture, struct fl_heartbeat heartbeat,
                   enum fl_heartbeat_source source);

/* That machine, or NULL. */
struct fl_machine *only_machine(struct fixture *fixture);

/* Sets the time since the last answer to the machine. */
void answered_ago(struct fixture *fixture, double seconds);

/* Places a task of the job on it, as if its record were written. */
struct fl_task *place_task(struct fixture *fixture, uint32_t index);

/* For a report: this attempt of a task of the job is running. */
struct fl_task_status running_task(uint32_t index, uint32_t attempt);

/* Another node leads, and this one is in contact with the state service. */
void become_follower(struct fixture *fixture, int peers);

struct fl_http_response user_call(struct fixture *fixture, enum fl_user_request kind,
                                  const char *ref, const char *body);

extern int kills_in_answer; /* of the report sent last */

/* Makes the call of a worker; the status, and in `to`, if given, the node it is redirected to. */
int send_report(struct fixture *fixture, struct fl_heartbeat heartbeat, char *to);

/* The record of the job, cancelled so long ago. */
cJSON *cancelled_record(struct fixture *fixture, double seconds);

/* Applies that record, as every node does when it is written. */
void apply_cancellation(struct fixture *fixture, double seconds);

/* A test entry with a node of its own. */
#define NODE_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
