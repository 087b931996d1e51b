/*
 * A simulation of a site in one process: several controllers' real coordination code over a
 * network, a clock and outside systems that the test owns. What the fakes do follows the protocol's
 * pages; the invariant checker knows these pages too, and nothing of the code under test. Time is
 * virtual (sim_elapsed_s.h) and faults are injected (sim_faults.h). There is one site at a time,
 * `sim`, which the test program defines and zeroes. Points in time are seconds of the steady clock
 * unless they end in _s: those are durations, or seconds from the beginning of the run.
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
	ENDPOINT_PEER, /* its address for other controllers */
	ENDPOINT_WORKER,
	SIM_ENDPOINT_KINDS
};
struct sim_endpoint {
	enum sim_endpoint_kind kind;
	int index;
};

/* A handler's status when no reply is ever to come. */
enum { SIM_NO_REPLY = -1 };

/* 0 with a reply whose body is the caller's to free, or a negative errno as of fl_http_call(). */
int sim_call(struct sim_endpoint from, struct sim_endpoint to, const char *method, const char *path,
             const char *body, double timeout_s, struct fl_http_reply *out);
void sim_endpoint_address(struct sim_endpoint endpoint, char out[FL_CONFIG_NAME_SIZE]);
struct sim_endpoint sim_endpoint_from_address(const struct sockaddr_in *address);
/* Ends all calls, and with them all time. */
void sim_net_end(void);

/* What the faults do to a message now; `is_reply`: the way back of a call. */
bool sim_message_is_lost(struct sim_endpoint from, struct sim_endpoint to, bool is_reply);
bool sim_message_is_held(struct sim_endpoint from, struct sim_endpoint to);
double sim_message_latency(void);

/* ---- controllers ---- */

/* The settings of a node, by the site's numbers in `sim`. */
void sim_configure_node(int node);
int sim_node_zone(int node);
void sim_node_start(int node);
void sim_node_kill(int node);
/* The process that runs as this node now; 0: none. */
int sim_node_process(int node);
/* The node that this process runs as; -1: none. */
int sim_node_of_process(int process);
/* Serves a call to its public address, or else to the one for peers. */
void sim_node_serve(struct sim_endpoint to, const struct fl_http_request *request,
                    struct fl_http_response *response);
void sim_nodes_end(void);

/* ---- key-value store and cloud ---- */

struct sim_machine_type {
	const char *name;
	double cpus, gpus, ram_gb, price, ready_s;
};
extern const struct sim_machine_type sim_machine_types[SIM_MACHINE_TYPES];

void sim_kv_begin(void);
void sim_kv_serve(struct sim_endpoint from, const struct fl_http_request *request,
                  struct fl_http_response *response);
/* Puts and deletions so far, those by expired leases too. */
int sim_kv_change_count(void);
/* The node that holds the leader's key; -1: none. */
int sim_leader_node(void);
void sim_kv_end(void);

void sim_cloud_serve(struct sim_endpoint from, const struct fl_http_request *request,
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
	char *request_body; /* as it is submitted */
	bool invalid;       /* must be rejected */
	double submit_s;    /* s from the beginning */
	double cancel_s;    /* the same; < 0: never */
	double duration_s[SIM_JOB_TASKS];
	/* What its tasks did. */
	double progress_s[SIM_JOB_TASKS];
	bool completed[SIM_JOB_TASKS];
	int copies_running[SIM_JOB_TASKS]; /* machines on which it is, at any moment */
	int last_machine[SIM_JOB_TASKS];   /* the latest of them */
	int task_starts[SIM_JOB_TASKS];
	int starts,
		starts_after_cancellation; /* late: after its user was told that it is cancelled */
	/* What its user did and was told; 0: not yet. */
	double first_sent_at, accepted_at, rejected_at, cancel_sent_at;
	double reported_cancelled_at, reported_done_at, last_answered_at;
	bool cancel_requested, resubmitting;
	/* Of the checker. */
	double starving_since;
	bool overdue_violation_reported, starvation_reported;
};

/* A random one; it is in `sim` and stays there. */
struct sim_job *sim_job_add_random(double submit_s);
/* To be called when its spec was changed before it is submitted. */
void sim_job_encode_request(struct sim_job *job);
/* NULL: there is none. */
struct sim_job *sim_job_find(const char *ref);
/* Is any of its tasks on a machine? */
bool sim_job_is_running(const struct sim_job *job);
/* Has each of its tasks completed? Never true of a service. */
bool sim_job_is_completed(const struct sim_job *job);

void sim_users_begin(void);
/* It submits the job in time, and asks for its status for ever. */
void sim_user_start(struct sim_job *job);
void sim_user_cancel(struct sim_job *job);
void sim_user_resubmit(struct sim_job *job);
/* Asks again and again for a while: what is told must not go back. */
void sim_user_query_repeatedly(struct sim_job *job);
/* Something new was said of it, or its last task has just completed. */
void sim_user_read_all_nodes(struct sim_job *job);

/* The users' load balancer, which probes the nodes' readiness. As sim_call(). */
void sim_load_balancer_begin(void);
int sim_load_balancer_call(const char *method, const char *path, const char *body, double timeout_s,
                           struct fl_http_reply *out);

/* ---- machines and their workers ---- */

struct sim_task {
	struct sim_job *job;
	struct fl_task_status status;
	bool used;
	bool counted_running; /* it is on the machine, as the checker counts */
	double phase_ends_at; /* of what it is doing now; < 0: without end */
	double started_at;
};

struct sim_machine {
	char name[32];
	int type, zone;
	bool spot, up, terminated, failed, never_boots, listed, hung;
	double rented_at, ready_at, terminated_at, hung_at;
	double interruption_at; /* of a spot machine; 0: never */
	uint64_t incarnation, sequence, fencing_token;
	double lease_started_at;   /* when the last answered heartbeat was sent */
	double fetches_checked_at; /* when the progress of its fetches was last counted */
	double token_reported_at;  /* when a new fencing token last made a heartbeat due */
	double last_heartbeat_sent_at;
	bool heartbeat_pending; /* it has something to tell */
	struct fl_condition heartbeat_due, resumed;
	int next_node;
	struct sim_task tasks[SIM_MACHINE_TASKS];
	int task_slots_used; /* ever */
	char images[SIM_MACHINE_IMAGES][FL_NAME_MAX];
	int image_count;
};

void sim_workers_begin(void);
/* Its worker starts when the machine is up. */
void sim_machine_boot(int machine);
/* The machine ends now, with all on it. */
void sim_machine_terminate(int machine_index);
void sim_machine_set_hung(int machine_index, bool hung);
/* While it hangs, what comes waits. False if the machine has ended. */
bool sim_machine_wait_until_resumed(struct sim_machine *machine);
/* If its lease has expired, all tasks go and a new incarnation begins. */
void sim_machine_end_expired_lease(struct sim_machine *machine);
void sim_machine_raise_fencing_token(struct sim_machine *machine, uint64_t fencing_token);
int sim_machine_index(const struct sim_machine *machine);
void sim_worker_serve(int process, int machine_index, const struct fl_http_request *request,
                      struct fl_http_response *response);

/* A heartbeat, encoded; the caller's to free. */
char *sim_heartbeat_encode(struct sim_machine *machine);
void sim_heartbeat_make_due(struct sim_machine *machine);
/* Sends one; the s until the next may be due, < 0: as usual. */
double sim_heartbeat_send(struct sim_machine *machine);
/* A new leader begins: what was held for it arrives. */
void sim_heartbeats_release_held(void);
void sim_heartbeats_end(void);

void sim_tasks_tick(struct sim_machine *machine);
/* All tasks are gone. */
void sim_tasks_drop(struct sim_machine *machine);
/* The machine has hung for so long. */
void sim_tasks_postpone(struct sim_machine *machine, double seconds);
/* Executes the commands of a reply or of a direct command. */
void sim_tasks_execute_commands(struct sim_machine *machine, const cJSON *object);
/* Would the job's next task fit, by its resources? */
bool sim_machine_has_capacity(const struct sim_machine *machine, const struct sim_job *job);

/* ---- the site ---- */

struct sim {
	int node_count, zone_count;
	double heartbeat_interval_s, lease_s, cancel_s;
	int cloud_capacity;         /* machines of each type, zone and kind of rental */
	bool reliable_machines;     /* every machine boots as it should, and stays */
	int max_kv_changes_per_job; /* 0: not bounded */
	double started_at, faults_end_s, duration_s;
	struct fl_config config[SIM_NODES];
	struct sim_fault faults[SIM_FAULTS_MAX];
	int fault_count;
	struct sim_job jobs[SIM_JOBS];
	int job_count;
	struct sim_machine machines[SIM_MACHINES];
	int machine_count;
	/* Sums. */
	int requests[SIM_ENDPOINT_KINDS]; /* that arrived, by who was called */
	int starts, completions, starts_after_cancellation, status_queries;
	int max_task_starts; /* of one task */
	int violation_count;
	char violations[8192]; /* one a line */
};
extern struct sim sim;

double sim_elapsed_s(void); /* s from the beginning */
/* Starts all parts of the site: jobs and faults are there already. */
void sim_start(void);
/* Frees what a run has left. */
void sim_end(void);

/* ---- the invariant checker ---- */

void sim_violation(const char *invariant, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void sim_check_begin(void);
void sim_check_task_started(struct sim_job *job, uint32_t index, int machine_index);
void sim_check_task_ended(struct sim_job *job, uint32_t index);
/* What a user is told in reply to a request that was sent then. */
void sim_check_submit_reply(struct sim_job *job, double sent_at, int status, const char *body);
void sim_check_query_reply(struct sim_job *job, double sent_at, int status, const char *body);
void sim_check_cancel_reply(struct sim_job *job, double sent_at, int status, const char *body);
/* What only one process may ever use. */
void sim_check_fencing_token(uint64_t fencing_token, int process);
void sim_check_rental_name(const char *name, int process);
void sim_check_end(void);

/* What its parts share: how a team stands, and whether a job may be placed. */
const struct sim_team *sim_check_team_of(const struct sim_job *job);
void sim_check_team_usage(const struct sim_team *team, double *cpus, double *gpus);
/* NULL, or why no further task of the job may start on this machine. */
const char *sim_check_placement_violation(const struct sim_job *job,
                                          const struct sim_machine *machine);
/* Jobs that wait beside free capacity; and how many were served, at the end. */
void sim_check_starvation(void);
void sim_check_service_levels(void);
void sim_check_unique_ids_begin(void);

#endif
