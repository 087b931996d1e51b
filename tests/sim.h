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
	SIM_USUAL_JOBS = 96, /* what bursts and odd requests stop at */
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

/* Into an array of that size; a text that does not fit is a mistake of the test. */
void sim_copy(char *out, size_t size, const char *text);

/* ---- time and routines ---- */

struct sim_timer {
	double when;
	uint64_t seq;
	int at; /* place in the heap, from 1; 0: not armed */
	void (*fn)(void *);
	void *arg;
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
int sim_process_routines(int process);
/* Nothing of it runs before then, while its clocks run on: its timers fire late. */
void sim_process_waits(int process, double until);
/* It runs one piece of work: if it is slow now, the next has to wait. */
void sim_process_computes(int process);

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
	int at;
};

/* A handler's status when no answer is ever to come. */
enum { SIM_NO_REPLY = -1 };

int sim_call(struct sim_endpoint from, struct sim_endpoint to, const char *method, const char *path,
             const char *body, double timeout_s, struct fl_http_reply *out);
void sim_address(struct sim_endpoint e, char out[FL_CONFIG_NAME]);
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

enum { SIM_FIRST_NEW_KIND = FAULT_DELAYED_COMMANDS };

/* Whom: a node, a zone, or one of these. */
enum { TARGET_LEADER = -1, TARGET_ANY_NODE = -2, TARGET_ALL_NODES = -3, TARGET_ANY_ZONE = -4 };

struct sim_fault {
	enum sim_fault_kind kind;
	double at, for_s; /* s from the beginning */
	int target;       /* a node or a zone; TARGET_LEADER is found out when it begins */
	double magnitude; /* share or s */
	int count;        /* machines or jobs; 0: all that there are */
	double hang_s;    /* FAULT_CANCEL_RUNNING: what the machines of those jobs do next */
	bool at_once;  /* FAULT_DELAYED_WRITES: carried out at once, and only the answer is lost */
	bool for_next; /* FAULT_DELAYED_HEARTBEATS: kept for the next leader, sent to every node
	                  then */
	bool active, over;
	uint8_t machine[SIM_MACHINES];
};

struct sim_fault *sim_fault(enum sim_fault_kind kind, double at, double for_s, int whom,
                            double much, int count);
void sim_faults_start(void);
/* An active one that meets the node or machine; -1: any. */
const struct sim_fault *sim_fault_active(enum sim_fault_kind kind, int whom);
bool sim_hung(int machine);
/* Is a message lost now? `reply`: the way back of a call. */
bool sim_lost(struct sim_endpoint from, struct sim_endpoint to, bool reply);
bool sim_holds(struct sim_endpoint from, struct sim_endpoint to);
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
	char *text;    /* as it is submitted */
	bool bad;      /* must be refused */
	double submit; /* s from the beginning */
	double cancel; /* the same; < 0: never */
	double duration_s[SIM_JOB_TASKS];
	/* What its tasks did. */
	double progress[SIM_JOB_TASKS];
	bool completed[SIM_JOB_TASKS];
	int copies_running[SIM_JOB_TASKS]; /* machines on which it is, at any moment */
	int last_machine[SIM_JOB_TASKS];   /* the latest of them */
	/* What its user did and was told; times of day of the simulation, 0: not yet. */
	double sent, accepted, refused, cancel_sent, told_cancelled, told_done, answered;
	bool cancelling, repeating, said_overdue, said_waiting;
	double waits_since;
	int starts, late_starts, begun[SIM_JOB_TASKS];
};

struct sim_task {
	struct sim_job *job;
	struct fl_task_status status;
	bool used;
	bool counted; /* it is on the machine, as the checker counts */
	double until; /* of what it is doing now; < 0: without end */
	double began;
};

struct sim_machine {
	char name[32];
	int type, zone;
	bool spot, up, terminated, failed, never_up, listed, hung;
	double rented, ready, terminated_at, hung_since, interruption_at;
	uint64_t incarnation, sequence, fencing_token;
	double lease_started_at;   /* when the last answered report was sent */
	double fetches_checked_at; /* when its fetches were last looked at */
	double token_told_at, last_sent;
	bool changed;
	struct fl_condition work, goes_on;
	int node;
	struct sim_task tasks[SIM_TASKS];
	int task_slots; /* places ever used */
	char images[4][FL_NAME_MAX];
	int image_count;
};

struct sim {
	uint64_t seed;
	const char *name;
	int node_count, zone_count;
	double report_s, lease_s, cancel_s, begin, calm_s, end_s;
	struct fl_config config[SIM_NODES];
	struct sim_fault faults[SIM_FAULTS_MAX];
	int fault_count;
	struct sim_job jobs[SIM_JOBS];
	int job_count;
	struct sim_machine machines[SIM_MACHINES];
	int machine_count;
	int capacity;                  /* machines of each type, zone and kind of rental */
	bool reliable;                 /* every machine boots as it should, and stays */
	int most_starts;               /* of one task */
	int changes;                   /* puts and deletions in the state service */
	int max_changes;               /* of them for each job; 0: not bounded */
	int calls[SIM_ENDPOINT_KINDS]; /* that arrived, by who was called */
	int failures, starts, completions, late_starts, polls;
	char report[8192];
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
void sim_cloud_end(void);
void sim_workers_begin(void);
/* A new leader begins: what was kept for it arrives. */
void sim_reports_for_leader(void);
void sim_reports_end(void);
/* It has something to report. */
void sim_machine_changed(struct sim_machine *machine);
void sim_tasks_tick(struct sim_machine *machine);
/* All tasks are gone. */
void sim_tasks_drop(struct sim_machine *machine);
void sim_tasks_stood_still(struct sim_machine *machine, double seconds);
void sim_tasks_command(struct sim_machine *machine, const cJSON *object);
void sim_worker_boot(int machine);
/* The machine ends now, with all on it. */
void sim_machine_ends(int machine);
void sim_machine_hangs(int machine, bool hangs);
void sim_users_begin(void);
struct sim_job *sim_job_add(double submit);
/* Its description was changed before it is submitted. */
void sim_job_rewritten(struct sim_job *job);
void sim_user_submits(struct sim_job *job);
void sim_user_cancels(struct sim_job *job);
void sim_user_repeats(struct sim_job *job);
/* Asks again and again for a while: what is told must not go back. */
void sim_user_polls(struct sim_job *job);
/* Something new was said of it, or its last task has just ended. */
void sim_user_reads_all_nodes(struct sim_job *job);
struct sim_job *sim_job_find(const char *ref);

/* ---- the rules ---- */

void sim_violation(const char *name, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void sim_check_begin(void);
void sim_check_started(struct sim_job *job, uint32_t index, int machine);
void sim_check_left(struct sim_job *job, uint32_t index);
void sim_check_submitted(struct sim_job *job, double sent, int status, const char *body);
void sim_check_polled(struct sim_job *job, double sent, int status, const char *body);
void sim_check_cancelled(struct sim_job *job, double sent, int status, const char *body);
void sim_check_epoch(uint64_t fencing_token, int process);
void sim_check_rental(const char *name, int process);
void sim_check_end(void);

#endif
