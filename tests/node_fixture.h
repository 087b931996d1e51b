/*
 * One node without connections, for the tests of what it does with heartbeats: these are delivered
 * directly, and its answers examined.
 */
#ifndef FL_TESTS_NODE_FIXTURE_H
#define FL_TESTS_NODE_FIXTURE_H

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
#include "protocol/workers.h"

enum { FENCING_TOKEN = 7 };

struct node_fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_job *job;
};

/* Before and after each test: a node with two zones, one machine type, team and job. */
int set_up(void **state);

int tear_down(void **state);

/* The node leads from now on, with this fencing token and without placed tasks. */
void become_leader(struct node_fixture *fixture, uint64_t fencing_token);

/* Of the machine m-000001. */
struct fl_heartbeat make_heartbeat(uint64_t incarnation, uint64_t sequence, uint64_t fencing_token,
                                   struct fl_task_status *tasks, int task_count);

/* What deliver_heartbeat returns for a heartbeat that was rejected. */
#define REJECTED(result) (-(int)(result))

/* Delivers a heartbeat; the number of commands in its reply, or REJECTED with the result. */
int deliver_heartbeat(struct node_fixture *fixture, struct fl_heartbeat heartbeat,
                      enum fl_heartbeat_source source);

/* The same from the worker itself, without tasks or with one, with FENCING_TOKEN. */
int deliver_idle_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence);

int deliver_task_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence,
                           struct fl_task_status *status);

/*
 * Idle heartbeats of incarnation 1 with the sequence numbers first to last, each so long after the
 * reply before it; the number of commands in their replies.
 */
int deliver_idle_heartbeats(struct node_fixture *fixture, uint64_t first, uint64_t last,
                            double last_reply_age_s);

/* That machine, or NULL. */
struct fl_machine *only_machine(struct node_fixture *fixture);

/* Sets the time since the last reply to the machine. */
void set_last_reply_age(struct node_fixture *fixture, double age_s);

/* Places a task of the job on it, as if its record were written. */
struct fl_task *place_task(struct node_fixture *fixture, uint32_t index);

/* For a heartbeat: this attempt of a task of the job is running. */
struct fl_task_status running_task_status(uint32_t index, uint32_t attempt);

/* Another node leads, and this one is in contact with the key-value store. */
void become_follower(struct node_fixture *fixture, int peer_count);

struct fl_http_response send_user_request(struct node_fixture *fixture, enum fl_user_request kind,
                                          const char *ref, const char *body);

extern int stop_commands_in_last_reply; /* to the heartbeat sent last */

/* Sends it as a worker does; the status, and in `to`, if given, the node of a redirect. */
int send_heartbeat(struct node_fixture *fixture, struct fl_heartbeat heartbeat,
                   char *redirect_target);

/* The same without tasks or with one, with FENCING_TOKEN. */
int send_idle_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence);

int send_task_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence,
                        struct fl_task_status *status);

/* A heartbeat whose answer waits until the node has learned something. */
struct waiting_heartbeat {
	struct node_fixture *fixture;
	struct fl_heartbeat heartbeat;
	struct ev_loop *loop;
	int status; /* 0: not answered yet */
};

/* Sends it in a coroutine; `waiting` lives until end_waiting_heartbeat. */
void send_waiting_heartbeat(struct waiting_heartbeat *waiting);

/* Runs what is ready now. */
void run_waiting_heartbeat(const struct waiting_heartbeat *waiting);

void end_waiting_heartbeat(struct waiting_heartbeat *waiting);

/* For so long after a cancellation leases may be renewed: one more then ends in time. */
double lease_renewal_window_s(const struct node_fixture *fixture);

/* The record of the job, cancelled so long ago. */
cJSON *cancelled_job_record(struct node_fixture *fixture, double age_s);

/* Applies that record, as every node does when it is written. */
void apply_cancellation(struct node_fixture *fixture, double age_s);

/* A test entry with a node of its own. */
#define NODE_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
