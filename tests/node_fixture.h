/*
 * A node without connections, for tests of the handling of heartbeats: the test delivers heartbeats
 * by function calls and checks the replies.
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

/* Sets up a node with two zones, and one machine type, team and job; used for each test. */
int set_up(void **state);

int tear_down(void **state);

/* Makes the node the leader, with this fencing token and without placed tasks. */
void become_leader(struct node_fixture *fixture, uint64_t fencing_token);

/* Returns a heartbeat of the machine m-000001. */
struct fl_heartbeat make_heartbeat(uint64_t incarnation, uint64_t sequence, uint64_t fencing_token,
                                   struct fl_task_status *tasks, int task_count);

/* The return value of deliver_heartbeat for a heartbeat that was rejected with this result. */
#define REJECTED(result) (-(int)(result))

/* Delivers a heartbeat; returns the number of commands in its reply, or REJECTED(result). */
int deliver_heartbeat(struct node_fixture *fixture, struct fl_heartbeat heartbeat,
                      enum fl_heartbeat_source source);

/* The same for a heartbeat from the worker, with FENCING_TOKEN and no task or one task. */
int deliver_idle_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence);

int deliver_task_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence,
                           struct fl_task_status *status);

/*
 * Delivers idle heartbeats of incarnation 1 with the sequence numbers `first` to `last`, each
 * `last_reply_age_s` after the previous reply. Returns the number of commands in all replies.
 */
int deliver_idle_heartbeats(struct node_fixture *fixture, uint64_t first, uint64_t last,
                            double last_reply_age_s);

/* Returns the machine m-000001; NULL if the node does not know it yet. */
struct fl_machine *only_machine(struct node_fixture *fixture);

/* Sets the time since the last reply to the machine. */
void set_last_reply_age(struct node_fixture *fixture, double age_s);

/* Places a task of the job on m-000001, as if its progress record were written. */
struct fl_task *place_task(struct node_fixture *fixture, uint32_t index);

/*
 * Adds a job that was submitted now, in addition to the fixture's own, which is not scheduled any
 * more. `spec` has its kind, size and estimate; the other fields are set here.
 */
struct fl_job *add_fixture_job(struct node_fixture *fixture, const char *ref,
                               struct fl_job_spec spec);

/* Runs one scheduling cycle of the leader; returns the number of tasks that it decided to start. */
int run_scheduling_cycle(struct node_fixture *fixture);

/* Returns the status of a running attempt of one of the job's tasks, for a heartbeat. */
struct fl_task_status running_task_status(uint32_t index, uint32_t attempt);

/* Makes the node a follower of n1 that reaches the key-value store, but no peer has responded. */
void become_follower(struct node_fixture *fixture, int peer_count);

struct fl_http_response send_client_request(struct node_fixture *fixture, enum fl_request_kind kind,
                                            const char *ref, const char *body);

extern int stop_commands_in_last_reply; /* number of stop commands, set by send_heartbeat */

/*
 * Sends a heartbeat as a worker does and returns the status. `redirect_target` may be NULL; else it
 * is set to the node that a redirect names, or to an empty string.
 */
int send_heartbeat(struct node_fixture *fixture, struct fl_heartbeat heartbeat,
                   char *redirect_target);

/* The same for a heartbeat with FENCING_TOKEN and no task or one task. */
int send_idle_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence);

int send_task_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence,
                        struct fl_task_status *status);

/* A heartbeat whose handler waits until the node has read the records that it needs. */
struct waiting_heartbeat {
	struct node_fixture *fixture;
	struct fl_heartbeat heartbeat;
	struct ev_loop *loop;
	int status; /* of the response; 0: none yet */
};

/* Sends the heartbeat in a coroutine; `waiting` must exist until end_waiting_heartbeat. */
void send_waiting_heartbeat(struct waiting_heartbeat *waiting);

/* Runs the coroutines that are ready now. */
void run_waiting_heartbeat(const struct waiting_heartbeat *waiting);

void end_waiting_heartbeat(struct waiting_heartbeat *waiting);

/*
 * Returns for how many seconds after a cancellation worker leases may be renewed: a lease that is
 * renewed within this time expires within cancel_s.
 */
double lease_renewal_window_s(const struct node_fixture *fixture);

/* Returns the record of the job as cancelled `age_s` ago; the caller deletes it. */
cJSON *cancelled_job_record(struct node_fixture *fixture, double age_s);

/* Applies such a record to the node's state, as every node does when the record is written. */
void apply_cancellation(struct node_fixture *fixture, double age_s);

/* A cmocka test that is run with a new node. */
#define NODE_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
