/*
 * Fault injection of the simulation: faults are injected before a run, and each has a start and a
 * duration. Each part of the simulation looks up the active faults that change what it does, and
 * the network does so for every message.
 */
#ifndef FL_TESTS_SIM_FAULTS_H
#define FL_TESTS_SIM_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "kv_model.h"
#include "sim_limits.h"

enum sim_fault_kind {
	FAULT_KV_UNAVAILABLE,    /* 503 for all requests */
	FAULT_KV_REFUSES_NODE,   /* 503 for the requests of a node */
	FAULT_KV_SLOW,           /* replies take up to `magnitude` s */
	FAULT_DELAYED_WRITES,    /* a share of writes is applied 2 to 12 s late, without a reply */
	FAULT_PARTITION_FROM_KV, /* messages between a node and the key-value store are lost */
	FAULT_PARTITION_FROM_PEERS,   /* messages between a node and its peers are lost */
	FAULT_PARTITION_FROM_WORKERS, /* messages between a node and all workers are lost */
	FAULT_ZONE_PARTITION,         /* messages between a zone and all else are lost */
	FAULT_OUTBOUND_PARTITION,     /* heartbeats of some machines are lost, commands arrive */
	FAULT_INBOUND_PARTITION,      /* replies and commands to some machines are lost */
	FAULT_MACHINE_HANG,           /* some machines hang */
	FAULT_PACKETS_HELD,        /* requests between a node and workers arrive after the fault */
	FAULT_DELAYED_HEARTBEATS,  /* a share of the heartbeats arrives a second time, much later */
	FAULT_SLOW_LINKS,          /* latencies of up to `magnitude` s in each direction */
	FAULT_LOST_REPLIES,        /* a share of the replies to heartbeats and commands is lost */
	FAULT_NODE_DOWN,           /* controllers are killed, and restarted at the end */
	FAULT_CLOUD_UNAVAILABLE,   /* 503 for all requests */
	FAULT_MACHINE_TERMINATION, /* some machines are terminated, and listed for 30 s more */
	FAULT_CANCEL_RUNNING,      /* users cancel running jobs */
	FAULT_CANCEL_AT_COMPLETION, /* users cancel a share of jobs as their last task completes */
	FAULT_INVALID_REQUESTS, /* duplicate or invalid submissions, cancellations of done jobs */
	FAULT_SUBMISSION_BURST, /* `count` submissions within 2 s */
	/*
	 * The order is fixed, since kinds are drawn by number: random_faults draws from those
	 * above, random_timing_faults from all up to SIM_DRAWN_FAULT_KINDS.
	 */
	FAULT_DELAYED_COMMANDS, /* a share of direct commands is executed late, without a reply */
	FAULT_CONCURRENT_READS, /* users query all nodes within ms of a change of their job */
	FAULT_SLOW_NODES,       /* controllers take `magnitude` s for each piece of work */
	FAULT_PROCESS_PAUSE,    /* controllers are paused while their clocks run on */
	FAULT_SHARED_IMAGE_BANDWIDTH, /* concurrent image fetches share the machine's bandwidth */
	FAULT_IRREGULAR_BOOTS,        /* a share of new machines is up early, late or never */
	FAULT_STATUS_QUERY_STORM,     /* `magnitude` times as many status queries */
	SIM_DRAWN_FAULT_KINDS,
	/* The key-value store has `kv_limits` from the start of the fault on, also after its end.
	 */
	FAULT_KV_LIMITS_LOWERED = SIM_DRAWN_FAULT_KINDS,
	/* A share of the users' and workers' requests arrives late, in pieces, half, or twice. */
	FAULT_SLOW_REQUESTS,
	/* A share of rentals and deletions gets no reply and is carried out late. */
	FAULT_DELAYED_CLOUD_REQUESTS,
	/* A share of direct commands, executed and answered, reaches the worker once more. */
	FAULT_REPEATED_COMMANDS,
	SIM_FAULT_KINDS
};

enum { SIM_FIRST_TIMING_FAULT = FAULT_DELAYED_COMMANDS };

/* The target of a fault: a node, a zone, or one of these. */
enum { TARGET_LEADER = -1, TARGET_ANY_NODE = -2, TARGET_ALL_NODES = -3, TARGET_ANY_ZONE = -4 };

struct sim_fault {
	enum sim_fault_kind kind;
	double start_s, duration_s; /* start_s: since the beginning of the run */
	int target;                 /* resolved to a node, a zone or all nodes at the start */
	double magnitude;           /* probability, share, factor, or s */
	int count; /* number of jobs, or of machines; 0 machines: `magnitude` is their share */
	/* FAULT_DELAYED_COMMANDS, FAULT_REPEATED_COMMANDS: longest delay; 0: 16 s */
	double delay_max_s;
	double hang_s; /* FAULT_CANCEL_RUNNING: duration for which the jobs' machines hang */
	/* FAULT_DELAYED_WRITES: the write is not delayed, and only its reply is lost. */
	bool reply_lost_only;
	/* FAULT_KV_SLOW: replies to watches are delayed, too, for each node by itself. */
	bool delays_watches;
	/* FAULT_DELAYED_HEARTBEATS: copies wait for the next leader, then go to every node. */
	bool held_for_next_leader;
	struct kv_model_limits kv_limits; /* FAULT_KV_LIMITS_LOWERED */
	bool active;
	bool affects_machine[SIM_MACHINES]; /* chosen when the fault begins */
};

/* Adds a copy of the fault to the run, before the run starts. */
void sim_fault_inject(const struct sim_fault *fault);
/* The same with designated initializers: SIM_INJECT(FAULT_KV_SLOW, .start_s = 3, ...). */
#define SIM_INJECT(fault_kind, ...)                                                                \
	sim_fault_inject(&(struct sim_fault){.kind = (fault_kind), __VA_ARGS__})
void sim_faults_start(void);
/* Returns an active fault of this kind that affects the node or zone (-1: any), or NULL. */
const struct sim_fault *sim_fault_active(enum sim_fault_kind kind, int target);

#endif
