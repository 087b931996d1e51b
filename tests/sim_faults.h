/*
 * Fault injection of the simulation: faults are injected before a run and begin and end at their
 * times. Each part of the simulation asks whether a fault is active where it would do something
 * else then; the network asks here about every message.
 */
#ifndef FL_TESTS_SIM_FAULTS_H
#define FL_TESTS_SIM_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "sim_limits.h"

enum sim_fault_kind {
	FAULT_KV_UNAVAILABLE,         /* 503 for all */
	FAULT_KV_REFUSES_NODE,        /* 503 for one node */
	FAULT_KV_SLOW,                /* replies take up to `magnitude` s */
	FAULT_DELAYED_WRITES,         /* a share gets no reply and is applied 2 to 12 s later */
	FAULT_PARTITION_FROM_KV,      /* a node's packets to the key-value store are lost */
	FAULT_PARTITION_FROM_PEERS,   /* and those to other controllers */
	FAULT_PARTITION_FROM_WORKERS, /* and those to and from machines */
	FAULT_ZONE_PARTITION,         /* no packets between a zone and all else */
	FAULT_OUTBOUND_PARTITION,     /* machines that reach no controller, and are reached */
	FAULT_INBOUND_PARTITION,      /* machines that get no replies and no commands */
	FAULT_MACHINE_HANG,           /* machines that stand still */
	FAULT_PACKETS_HELD,         /* packets between controllers and machines wait for its end */
	FAULT_DELAYED_HEARTBEATS,   /* a share of the heartbeats comes once more, much later */
	FAULT_SLOW_LINKS,           /* up to `magnitude` s each way */
	FAULT_LOST_REPLIES,         /* a share of the replies to heartbeats and commands */
	FAULT_NODE_DOWN,            /* killed, and started again at the end */
	FAULT_CLOUD_UNAVAILABLE,    /* 503 */
	FAULT_MACHINE_TERMINATION,  /* machines die */
	FAULT_CANCEL_RUNNING,       /* users cancel jobs that run */
	FAULT_CANCEL_AT_COMPLETION, /* a share of jobs is cancelled as its last task completes */
	FAULT_INVALID_REQUESTS,     /* duplicate submissions, invalid jobs, cancelled twice */
	FAULT_SUBMISSION_BURST,     /* a burst of submissions */
	/* From here on in the order in which the random faults came to know them. */
	FAULT_DELAYED_COMMANDS,       /* a share of direct commands is executed late, no reply */
	FAULT_CONCURRENT_READS,       /* users read at all nodes within ms of whatever changed */
	FAULT_SLOW_NODES,             /* controllers compute `magnitude` s at each piece of work */
	FAULT_PROCESS_PAUSE,          /* controllers are paused, and their clocks run on */
	FAULT_SHARED_IMAGE_BANDWIDTH, /* images that a machine fetches at once share its rate */
	FAULT_IRREGULAR_BOOTS,        /* a share of new machines is up at once, late or never */
	FAULT_STATUS_QUERY_STORM,     /* `magnitude` times as many status queries */
	SIM_FAULT_KINDS
};

enum { SIM_FIRST_TIMING_FAULT = FAULT_DELAYED_COMMANDS };

/* The target of a fault: a node, a zone, or one of these. */
enum { TARGET_LEADER = -1, TARGET_ANY_NODE = -2, TARGET_ALL_NODES = -3, TARGET_ANY_ZONE = -4 };

struct sim_fault {
	enum sim_fault_kind kind;
	double start_s, duration_s; /* s from the beginning */
	int target;                 /* TARGET_LEADER is resolved when it begins */
	double magnitude;           /* a probability, or s */
	int count;                  /* machines or jobs; 0: all that there are */
	double hang_s; /* FAULT_CANCEL_RUNNING: how long the machines of those jobs hang */
	/* FAULT_DELAYED_WRITES: applied at once, and only the reply is lost. */
	bool reply_lost_only;
	/* FAULT_DELAYED_HEARTBEATS: held for the next leader, and sent to every node then. */
	bool held_for_next_leader;
	bool active;
	bool affects_machine[SIM_MACHINES]; /* chosen when it begins */
};

/* Takes a copy into the run, before its start. */
void sim_fault_inject(const struct sim_fault *fault);
/* The same with the fields by name, as in SIM_INJECT(FAULT_KV_SLOW, .start_s = 3, ...). */
#define SIM_INJECT(fault_kind, ...)                                                                \
	sim_fault_inject(&(struct sim_fault){.kind = (fault_kind), __VA_ARGS__})
void sim_faults_start(void);
/* An active fault of this kind that affects the node or zone; -1: any. NULL: none. */
const struct sim_fault *sim_fault_active(enum sim_fault_kind kind, int target);

#endif
