/*
 * A simulation of a site in one process: several controllers run their real coordination code on a
 * simulated network and clock, with fakes of the key-value store, the cloud and the workers. The
 * fakes and the invariant checker are written from the protocol's documentation, and the checker
 * uses no coordination code. Time is virtual (sim_time.h) and faults are injected
 * (sim_faults.h). There is one site at a time, `sim`, which the test program defines and zeroes.
 * Points in time are seconds of the monotonic clock; names in _s are durations, or seconds since
 * the beginning of the run.
 */
#ifndef FL_TESTS_SIM_H
#define FL_TESTS_SIM_H

#include "config.h"
#include "protocol/workers.h"
#include "sim_faults.h"
#include "sim_limits.h"
#include "sim_time.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/* ---- network ---- */

enum sim_endpoint_kind {
	ENDPOINT_USER,
	ENDPOINT_KV_STORE,
	ENDPOINT_CLOUD,
	ENDPOINT_NODE, /* a controller's public address */
	ENDPOINT_PEER, /* a controller's address for other controllers */
	ENDPOINT_WORKER,
	SIM_ENDPOINT_KINDS
};
struct sim_endpoint {
	enum sim_endpoint_kind kind;
	int index;
};

/* The status that a handler sets if the request gets no reply. */
enum { SIM_NO_REPLY = -1 };

/*
 * Sends a request and waits for its reply. Returns 0, with a reply whose body the caller frees, or
 * a negative errno as fl_http_call() does.
 */
int sim_call(struct sim_endpoint from, struct sim_endpoint to, const char *method, const char *path,
             const char *body, double timeout_s, struct fl_http_reply *out);
void sim_endpoint_address(struct sim_endpoint endpoint, char out[FL_CONFIG_NAME_SIZE]);
struct sim_endpoint sim_endpoint_from_address(const struct sockaddr_in *address);
/* Drops all messages and ends virtual time. */
void sim_net_end(void);

/* The active faults' effect on a message; `is_reply`: it is the reply of a call. */
bool sim_message_is_lost(struct sim_endpoint from, struct sim_endpoint to, bool is_reply);
bool sim_message_is_held(struct sim_endpoint from, struct sim_endpoint to);
double sim_message_latency(void);

/* A request as its client sends it. */
struct sim_text_request {
	const char *method, *path, *body;
};

/* Draws whether a request to a controller is sent slowly, under FAULT_SLOW_REQUESTS. */
bool sim_request_is_slow(struct sim_endpoint from, struct sim_endpoint to);
/*
 * Serves a request that arrives late, in pieces or half on a connection of its own. Returns 0 with
 * the response, or -ECONNRESET if the connection was closed without one.
 */
int sim_serve_slow_request(struct sim_endpoint from, const struct sim_text_request *request,
                           fl_http_handler handler, void *context,
                           struct fl_http_response *response);

/* ---- controllers ---- */

/* Sets the configuration of a node from the site's parameters in `sim`. */
void sim_configure_node(int node);
int sim_node_zone(int node);
void sim_node_start(int node);
void sim_node_kill(int node);
/* The number of the node's current process; 0: the node is down. */
int sim_node_process(int node);
/* The node that runs as this process; -1: none. */
int sim_node_of_process(int process);
/* Serves a call to the node's public address or to its address for peers. */
void sim_node_serve(struct sim_endpoint to, const struct fl_http_request *request,
                    struct fl_http_response *response);
void sim_nodes_end(void);

/* ---- key-value store and cloud ---- */

struct sim_machine_type {
	const char *name;
	double cpus, gpus, ram_gb, price, boot_time_s;
};
extern const struct sim_machine_type sim_machine_types[SIM_MACHINE_TYPES];

void sim_kv_begin(void);
void sim_kv_serve(struct sim_endpoint from, const struct fl_http_request *request,
                  struct fl_http_response *response);
/* The number of puts and deletions so far, including deletions by expired leases. */
int sim_kv_change_count(void);
/* The node that the leader's key names; -1: there is no leader. */
int sim_leader_node(void);
void sim_kv_end(void);

/* Serves a request that a process has sent. */
void sim_cloud_serve(int process, const struct fl_http_request *request,
                     struct fl_http_response *response);
void sim_cloud_end(void);

/* ---- jobs and users ---- */

struct sim_team {
	const char *name;
	double cpus, cpus_max, gpus, gpus_max;
};
extern struct sim_team sim_teams[SIM_TEAMS];

struct sim_job {
	struct fl_job_spec spec;
	char *request_body; /* body of the submission */
	bool invalid;       /* the submission must be rejected */
	double submit_s;    /* time since the beginning of the run */
	double cancel_s;    /* time since the beginning of the run; < 0: never */
	double duration_s[SIM_JOB_TASKS];
	/* What its tasks have done. */
	double progress_s[SIM_JOB_TASKS];
	bool completed[SIM_JOB_TASKS];
	int copies_running[SIM_JOB_TASKS]; /* number of machines that run the task now */
	int last_machine[SIM_JOB_TASKS];   /* machine on which the task last started */
	int task_starts[SIM_JOB_TASKS];
	/* Starts of all tasks; the second: within cancel_s after a confirmed cancellation. */
	int starts, starts_after_cancellation;
	/* When its user sent requests and got replies; 0: not yet. */
	double first_sent_at, accepted_at, rejected_at, cancel_sent_at;
	double reported_cancelled_at, reported_done_at, last_answered_at;
	bool cancel_requested, resubmitting;
	/* Used by the invariant checker. */
	double starving_since; /* last time when it did not wait beside free capacity */
	bool overdue_violation_reported, starvation_reported;
};

/* Adds a random job to sim.jobs, where it stays. */
struct sim_job *sim_job_add_random(double submit_s);
/* Encodes the submission again, after a change of the job's spec. */
void sim_job_encode_request(struct sim_job *job);
/* Lets the job's tasks run on machines of any type and in any zones; spot machines as before. */
void sim_job_remove_constraints(struct sim_job *job);
/* Returns NULL if there is no such job. */
struct sim_job *sim_job_find(const char *ref);
/* Returns whether any task of the job runs on a machine. */
bool sim_job_is_running(const struct sim_job *job);
/* Returns whether all tasks of the job have completed; always false for a service. */
bool sim_job_is_completed(const struct sim_job *job);

void sim_users_begin(void);
/* Starts the user, who submits the job, queries its status until the end, and may cancel it. */
void sim_user_start(struct sim_job *job);
void sim_user_cancel(struct sim_job *job);
void sim_user_resubmit(struct sim_job *job);
/* Queries the status in quick succession for a while: a final status must not be reverted. */
void sim_user_query_repeatedly(struct sim_job *job);
/* Under FAULT_CONCURRENT_READS, users query all nodes after a change of the job's state. */
void sim_user_read_all_nodes(struct sim_job *job);

/* The users' load balancer, which probes the nodes. Calls return what sim_call() does. */
void sim_load_balancer_begin(void);
int sim_load_balancer_call(const char *method, const char *path, const char *body, double timeout_s,
                           struct fl_http_reply *out);

/* ---- machines and their workers ---- */

struct sim_task {
	struct sim_job *job;
	struct fl_task_status status;
	bool used;            /* the slot holds a task */
	bool counted_running; /* the invariant checker counts the task as running here */
	double phase_ends_at; /* end of the fetch, run or checkpoint; < 0: none */
	double started_at;
};

struct sim_machine {
	char name[32];
	int type, zone;
	bool spot, up, terminated, failed, never_boots, listed, hung;
	double rented_at, ready_at, terminated_at, hung_at;
	double interruption_at; /* interruption of a spot machine; 0: never */
	uint64_t incarnation, sequence, fencing_token;
	double lease_started_at;   /* send time of the last accepted heartbeat */
	double fetches_checked_at; /* last update of its image fetches */
	double token_reported_at;  /* last time a new fencing token made a heartbeat due */
	double last_heartbeat_sent_at;
	bool heartbeat_pending; /* a change is to be reported */
	struct fl_condition heartbeat_due, resumed;
	int next_node; /* node that gets the next heartbeat */
	struct sim_task tasks[SIM_MACHINE_TASKS];
	int task_slots_used; /* entries of `tasks` that were ever in use */
	char images[SIM_MACHINE_IMAGES][FL_NAME_MAX];
	int image_count; /* images fetched so far; the last ones are kept */
};

void sim_workers_begin(void);
/* Boots the machine; its worker starts when the machine is up. */
void sim_machine_boot(int machine);
/* Terminates the machine and all tasks on it. */
void sim_machine_terminate(int machine_index);
void sim_machine_set_hung(int machine_index, bool hung);
/* Waits while the machine hangs. Returns false if it was terminated or the wait was cancelled. */
bool sim_machine_wait_until_resumed(struct sim_machine *machine);
/* If the machine's lease has expired, drops all tasks and begins a new incarnation. */
void sim_machine_end_expired_lease(struct sim_machine *machine);
void sim_machine_raise_fencing_token(struct sim_machine *machine, uint64_t fencing_token);
int sim_machine_index(const struct sim_machine *machine);
void sim_worker_serve(int process, int machine_index, const struct fl_http_request *request,
                      struct fl_http_response *response);

/* Encodes the machine's next heartbeat, which the caller frees. */
char *sim_heartbeat_encode(struct sim_machine *machine);
void sim_heartbeat_make_due(struct sim_machine *machine);
/* Sends a heartbeat; returns the delay of the next one in s, < 0: the usual interval. */
double sim_heartbeat_send(struct sim_machine *machine);
/* Delivers the heartbeats that were held for the next leader. */
void sim_heartbeats_release_held(void);
void sim_heartbeats_end(void);

/* Moves each task whose phase has ended to its next state. */
void sim_tasks_tick(struct sim_machine *machine);
/* Removes all tasks from the machine. */
void sim_tasks_drop(struct sim_machine *machine);
/* Postpones the start and the end of the phase of all tasks by the duration of a hang. */
void sim_tasks_postpone(struct sim_machine *machine, double seconds);
/* Executes the commands in the reply to a heartbeat or in a direct command. */
void sim_tasks_execute_commands(struct sim_machine *machine, const cJSON *object);
/* Returns whether the machine has free resources for one more task of the job. */
bool sim_machine_has_capacity(const struct sim_machine *machine, const struct sim_job *job);

/* ---- the site ---- */

struct sim {
	int node_count, zone_count;
	double heartbeat_interval_s, lease_s, cancel_s;
	int cloud_capacity;         /* machines per type, zone, and spot or on-demand */
	bool reliable_machines;     /* every machine boots, and no spot machine is interrupted */
	int max_kv_changes_per_job; /* 0: no limit */
	double started_at, faults_end_s, duration_s;
	struct fl_config config[SIM_NODES];
	struct sim_fault faults[SIM_FAULTS_MAX];
	int fault_count;
	struct sim_job jobs[SIM_JOBS];
	int job_count;
	struct sim_machine machines[SIM_MACHINES];
	int machine_count;
	/* Totals of the run. */
	int requests[SIM_ENDPOINT_KINDS]; /* requests received, by kind of endpoint */
	int starts, completions, starts_after_cancellation, status_queries;
	int max_task_starts; /* most starts of any one task */
	int violation_count;
	char violations[8192]; /* one per line */
};
extern struct sim sim;

double sim_elapsed_s(void); /* time since the beginning of the run */
/* Starts all parts of the site, whose jobs and faults have been added before. */
void sim_start(void);
/* Frees everything that belongs to the run. */
void sim_end(void);

/* ---- the invariant checker ---- */

void sim_violation(const char *invariant, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void sim_check_begin(void);
void sim_check_task_started(struct sim_job *job, uint32_t index, int machine_index);
void sim_check_task_ended(struct sim_job *job, uint32_t index);
/* Check the reply to a user's request that was sent at `sent_at`. */
void sim_check_submit_reply(struct sim_job *job, double sent_at, int status, const char *body);
void sim_check_query_reply(struct sim_job *job, double sent_at, int status, const char *body);
void sim_check_cancel_reply(struct sim_job *job, double sent_at, int status, const char *body);
/* Check that no other process has used the same fencing token or rental name. */
void sim_check_fencing_token(uint64_t fencing_token, int process);
void sim_check_rental_name(const char *name, int process);
void sim_check_end(void);

/* Shared by the checker's files: the usage of a team, and the rules of placement. */
const struct sim_team *sim_check_team_of(const struct sim_job *job);
void sim_check_team_usage(const struct sim_team *team, double *cpus, double *gpus);
/* Returns NULL, or the reason why no further task of the job may start on this machine. */
const char *sim_check_placement_violation(const struct sim_job *job,
                                          const struct sim_machine *machine);
/*
 * Check that no job waits beside free capacity, and, at the end of the run, that enough jobs have
 * started.
 */
void sim_check_starvation(void);
void sim_check_service_levels(void);
void sim_check_unique_ids_begin(void);

#endif
