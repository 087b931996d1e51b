/*
 * A simulation for several controllers in one process: their real coordination code over a
 * transport, a clock and counterparts that the test owns. Time is virtual, chance comes from one
 * seed, so the same seed always gives the same run. What the counterparts do follows the protocol's
 * pages.
 */
#ifndef FL_TESTS_SIM_H
#define FL_TESTS_SIM_H

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

#include "config.h"
#include "protocol/workers.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/coroutine.h"

enum {
	SIM_NODES = 5,
	SIM_ZONES = 3,
	SIM_MACHINE_TYPES = 2,
	SIM_BURST_JOBS_MAX = 96, /* what bursts and odd requests stop at */
	SIM_FAULTS_MAX = 64
};

/* Machines and jobs at most, tasks of a job, and tasks on a machine, exited ones included. */
#ifdef SIM_LARGE_SITE
enum { SIM_MACHINES = 4400, SIM_JOBS = 32, SIM_JOB_TASKS = 512, SIM_TASKS = 16 };
#else
enum { SIM_MACHINES = 160, SIM_JOBS = 400, SIM_JOB_TASKS = 32, SIM_TASKS = 1024 };
#endif

/* Holds in every build, also where assert() is compiled out. */
static inline void sim_require(bool holds)
{
	if (!holds)
		abort();
}

/* ---- time and routines ---- */

struct sim_timer {
	double due_at;
	uint64_t sequence;
	int heap_index; /* place in the heap, from 1; 0: not armed */
	void (*function)(void *);
	void *argument;
};

void sim_time_begin(void);
/* Runs everything that is due up to then. */
void sim_time_run(double until);
/* Cancels every routine and drops every timer through `drop`. */
void sim_time_end(void (*drop)(struct sim_timer *timer));
void sim_timer_arm(struct sim_timer *timer, double seconds);
void sim_timer_disarm(struct sim_timer *timer);
/* The first that is due by then, disarmed, with the clocks put to it; NULL: none. */
struct sim_timer *sim_timer_next(double until);
/* Any one, disarmed, and no clock moves. */
struct sim_timer *sim_timer_any(void);
void sim_clock_begin(void);
void sim_clock_set(double now);
void sim_clock_end(void);
/* A process is a number above 0; 0 is whatever is no controller. */
int sim_process(void);
struct fl_coroutine *sim_spawn(int process, void (*fn)(void *), void *arg);
/* Its routines unwind at this very moment: gone after the caller's next wait. */
void sim_process_cancel(int process);
int sim_process_coroutine_count(int process);
/* Nothing of it runs before then, while its clocks run on: its timers fire late. */
void sim_process_pause_until(int process, double until);
/* It runs one piece of work: if it is slow now, the next has to wait. */
void sim_process_compute(int process);

/* ---- chance ---- */

void sim_seed(uint64_t seed);
double sim_between(double low, double high);
int sim_pick(int n);
bool sim_chance(double share);

/* ---- hosts and messages ---- */

enum sim_endpoint_kind {
	ENDPOINT_USER,
	ENDPOINT_KV_STORE,
	ENDPOINT_CLOUD,
	ENDPOINT_NODE,
	ENDPOINT_PEER,
	ENDPOINT_WORKER,
	SIM_ENDPOINT_KINDS
};
struct sim_endpoint {
	enum sim_endpoint_kind kind;
	int index;
};

/* A handler's status when no answer is ever to come. */
enum { SIM_NO_REPLY = -1 };

int sim_call(struct sim_endpoint from, struct sim_endpoint to, const char *method, const char *path,
             const char *body, double timeout_s, struct fl_http_reply *out);
void sim_address(struct sim_endpoint endpoint, char out[FL_CONFIG_NAME]);
bool sim_node_alive(int node);
/* The process that runs as this node now; 0: none. */
int sim_node_process(int node);
void sim_node_start(int node);
void sim_node_kill(int node);
void sim_net_end(void);

void sim_kv_serve(struct sim_endpoint from, const struct fl_http_request *request,
                  struct fl_http_response *response);
void sim_cloud_serve(struct sim_endpoint from, const struct fl_http_request *request,
                     struct fl_http_response *response);
void sim_worker_serve(struct sim_endpoint from, int process, int machine,
                      const struct fl_http_request *request, struct fl_http_response *response);

/* ---- troubles ---- */

enum sim_fault_kind {
	FAULT_KV_UNAVAILABLE,       /* 503 for all */
	FAULT_KV_REFUSES_NODE,      /* 503 for one node */
	FAULT_KV_SLOW,              /* answers take up to `magnitude` s */
	FAULT_DELAYED_WRITES,       /* a share goes unanswered and is carried out 2 to 12 s later */
	FAULT_PARTITION_FROM_KV,    /* a node's packets to the state service are lost */
	FAULT_PARTITION_FROM_PEERS, /* and those to other controllers */
	FAULT_PARTITION_FROM_WORKERS, /* and those to and from machines */
	FAULT_ZONE_PARTITION,         /* a zone and all else do not hear each other */
	FAULT_OUTBOUND_PARTITION,     /* machines that reach no controller, and are reached */
	FAULT_INBOUND_PARTITION,      /* machines that get no answers and no commands */
	FAULT_MACHINE_HANG,           /* machines that stand still */
	FAULT_PACKETS_HELD, /* packets between controllers and machines are held back till the end
	                     */
	FAULT_DELAYED_HEARTBEATS, /* a share of the reports comes once more, much later */
	FAULT_SLOW_LINKS,         /* up to `magnitude` s each way */
	FAULT_LOST_REPLIES,       /* a share of the answers to reports and commands never arrives */
	FAULT_NODE_DOWN,          /* killed, and started again at the end */
	FAULT_CLOUD_UNAVAILABLE,  /* 503 */
	FAULT_MACHINES_DIE,       /* machines die */
	FAULT_CANCEL_RUNNING,     /* users call off jobs that run */
	FAULT_CANCEL_AT_COMPLETION, /* a share of jobs is called off as its last task ends */
	FAULT_INVALID_REQUESTS,     /* repeated submissions, bad jobs, cancelled twice */
	FAULT_SUBMISSION_BURST,     /* a burst of submissions */
	/* From here on in the order in which the random pairs got to know them. */
	FAULT_DELAYED_COMMANDS, /* a share of direct commands is carried out late, and not answered
	                         */
	FAULT_CONCURRENT_READS, /* users ask at all nodes within ms of whatever changed for them */
	FAULT_SLOW_NODES,       /* controllers compute for `magnitude` s at each piece of work */
	FAULT_PROCESS_PAUSE,    /* controllers stand still, and their clocks run on */
	FAULT_SHARED_IMAGE_BANDWIDTH, /* images that a machine fetches at once share its rate */
	FAULT_IRREGULAR_BOOTS,        /* a share of new machines is up at once, late or never */
	FAULT_STATUS_QUERY_STORM,     /* `magnitude` times as many polls */
	SIM_FAULT_KINDS
};

enum { SIM_FIRST_TIMING_FAULT = FAULT_DELAYED_COMMANDS };

/* Whom: a node, a zone, or one of these. */
enum { TARGET_LEADER = -1, TARGET_ANY_NODE = -2, TARGET_ALL_NODES = -3, TARGET_ANY_ZONE = -4 };

struct sim_fault {
	enum sim_fault_kind kind;
	double start_s, duration_s; /* s from the beginning */
	int target;           /* a node or a zone; TARGET_LEADER is found out when it begins */
	double magnitude;     /* share or s */
	int count;            /* machines or jobs; 0: all that there are */
	double hang_s;        /* FAULT_CANCEL_RUNNING: what the machines of those jobs do next */
	bool reply_lost_only; /* FAULT_DELAYED_WRITES: carried out at once, and only the answer is
	                         lost */
	bool held_for_next_leader; /* FAULT_DELAYED_HEARTBEATS: kept for the next leader, sent to
	                  every node then */
	bool active, ended;
	uint8_t affects_machine[SIM_MACHINES];
};

/* Takes a copy into the play, before its start. */
void sim_fault_inject(const struct sim_fault *fault);
/* The same with the fields by name, as in SIM_INJECT(FAULT_KV_SLOW, .start_s = 3, ...). */
#define SIM_INJECT(fault_kind, ...)                                                                \
	sim_fault_inject(&(struct sim_fault){.kind = (fault_kind), __VA_ARGS__})
void sim_faults_start(void);
/* An active fault of this kind that affects the node or zone; -1: any. */
const struct sim_fault *sim_fault_active(enum sim_fault_kind kind, int target);
/* Is a message lost now? `reply`: the way back of a call. */
bool sim_message_is_lost(struct sim_endpoint from, struct sim_endpoint to, bool reply);
bool sim_message_is_held(struct sim_endpoint from, struct sim_endpoint to);
double sim_latency(struct sim_endpoint from, struct sim_endpoint to);
int sim_leader(void);

/* ---- counterparts ---- */

struct sim_machine_type {
	const char *name;
	double cpus, gpus, ram_gb, price, ready_s;
};
extern const struct sim_machine_type sim_machine_types[SIM_MACHINE_TYPES];

struct sim_team {
	const char *name;
	double cpus, cpus_max, gpus, gpus_max;
};
enum { SIM_TEAMS = 2 };
extern struct sim_team sim_teams[SIM_TEAMS];

struct sim_job {
	struct fl_job_spec spec;
	char *request_body; /* as it is submitted */
	bool invalid;       /* must be refused */
	double submit_s;    /* s from the beginning */
	double cancel_s;    /* the same; < 0: never */
	double duration_s[SIM_JOB_TASKS];
	/* What its tasks did. */
	double progress[SIM_JOB_TASKS];
	bool completed[SIM_JOB_TASKS];
	int copies_running[SIM_JOB_TASKS]; /* machines on which it is, at any moment */
	int last_machine[SIM_JOB_TASKS];   /* the latest of them */
	/* What its user did and was told; times of day of the simulation, 0: not yet. */
	double first_sent_at, accepted_at, rejected_at, cancel_sent_at, reported_cancelled_at,
		reported_done_at, last_answered_at;
	bool cancel_requested, resubmitting, overdue_violation_reported, starvation_reported;
	double waiting_since;
	int starts, late_starts, task_starts[SIM_JOB_TASKS];
};

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
	double rented_at, ready_at, terminated_at, hung_at, interruption_at;
	uint64_t incarnation, sequence, fencing_token;
	double lease_started_at;   /* when the last answered report was sent */
	double fetches_checked_at; /* when its fetches were last looked at */
	double token_reported_at, last_heartbeat_sent_at;
	bool heartbeat_pending;
	struct fl_condition heartbeat_due, resumed;
	int next_node;
	struct sim_task tasks[SIM_TASKS];
	int task_slots_used; /* places ever used */
	char images[4][FL_NAME_MAX];
	int image_count;
};

struct sim {
	int node_count, zone_count;
	double heartbeat_interval_s, lease_s, cancel_s, started_at, faults_end_s, duration_s;
	struct fl_config config[SIM_NODES];
	struct sim_fault faults[SIM_FAULTS_MAX];
	int fault_count;
	struct sim_job jobs[SIM_JOBS];
	int job_count;
	struct sim_machine machines[SIM_MACHINES];
	int machine_count;
	int cloud_capacity;               /* machines of each type, zone and kind of rental */
	bool reliable_machines;           /* every machine boots as it should, and stays */
	int max_task_starts;              /* of one task */
	int max_kv_changes_per_job;       /* of them for each job; 0: not bounded */
	int requests[SIM_ENDPOINT_KINDS]; /* that arrived, by who was called */
	int violation_count, starts, completions, late_starts, status_queries;
	char violations[8192];
};
extern struct sim sim;

double sim_time(void); /* s from the beginning */
int sim_node_zone(int node);
/* The settings of a node, by the site's numbers in `sim`. */
void sim_configure(int node);
/* Starts all parts of the site: jobs and troubles are there already. */
void sim_start(void);
/* Frees what a play has left. */
void sim_end(void);

void sim_kv_begin(void);
void sim_kv_end(void);
/* Puts and deletions so far, those by expired leases too. */
int sim_kv_change_count(void);
void sim_cloud_end(void);
void sim_workers_begin(void);
/* A new leader begins: what was kept for it arrives. */
void sim_heartbeats_release_held(void);
void sim_heartbeats_end(void);
/* It has something to report. */
void sim_machine_request_heartbeat(struct sim_machine *machine);
void sim_tasks_tick(struct sim_machine *machine);
/* All tasks are gone. */
void sim_tasks_drop(struct sim_machine *machine);
void sim_tasks_resume_after(struct sim_machine *machine, double seconds);
void sim_tasks_command(struct sim_machine *machine, const cJSON *object);
void sim_machine_boot(int machine);
/* The machine ends now, with all on it. */
void sim_machine_terminate(int machine);
void sim_machine_set_hung(int machine, bool hangs);
void sim_users_begin(void);
struct sim_job *sim_job_add(double submit);
/* Its description was changed before it is submitted. */
void sim_job_encode_request(struct sim_job *job);
void sim_user_start(struct sim_job *job);
void sim_user_cancel(struct sim_job *job);
void sim_user_resubmit(struct sim_job *job);
/* Asks again and again for a while: what is told must not go back. */
void sim_user_query_repeatedly(struct sim_job *job);
/* Something new was said of it, or its last task has just ended. */
void sim_user_read_all_nodes(struct sim_job *job);
struct sim_job *sim_job_find(const char *ref);

/* ---- the rules ---- */

void sim_violation(const char *name, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void sim_check_begin(void);
void sim_check_task_started(struct sim_job *job, uint32_t index, int machine);
void sim_check_task_left(struct sim_job *job, uint32_t index);
void sim_check_submit_reply(struct sim_job *job, double sent, int status, const char *body);
void sim_check_query_reply(struct sim_job *job, double sent, int status, const char *body);
void sim_check_cancel_reply(struct sim_job *job, double sent, int status, const char *body);
void sim_check_fencing_token(uint64_t fencing_token, int process);
void sim_check_rental_name(const char *name, int process);
void sim_check_end(void);

#endif
