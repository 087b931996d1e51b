/*
 * Machine types, and machines with all attempts that may be on them. A machine is found by its name
 * or by its id. Ids are dense: when a machine is dropped, the last machine takes over its id.
 * Points in time are on the monotonic clock, in seconds.
 */
#ifndef FL_STORAGE_MACHINES_H
#define FL_STORAGE_MACHINES_H

#include <uthash.h>

#include "protocol/cloud.h"
#include "protocol/workers.h"
#include "storage/direct_starts.h"
#include "storage/resources.h"
#include "storage/symbol_table.h"

/* Limits; FL_IMAGE_CACHE_MAX is the number of cached images recorded per machine. */
enum { FL_MACHINE_TYPES_MAX = 32, FL_ZONES_MAX = 8, FL_IMAGE_CACHE_MAX = 16 };

/*
 * A type of machine that the cloud offers. `pull_gb_per_s` is the rate of pulling an image, GB/s;
 * `boot_time_s` is the time from the rental to the first heartbeat.
 */
struct fl_machine_type {
	char name[FL_NAME_MAX];
	double cpus, gpus, ram_gb, cache_gb, pull_gb_per_s, price, spot_price, boot_time_s;
	uint32_t zone_mask; /* one bit per zone index */
};

struct fl_job;

/* An attempt of a task that may be on a machine. */
struct fl_assignment {
	struct fl_job *job;
	uint32_t task_index;
};

/* The lifecycle of a machine from its rental to its return. */
struct fl_machine_lifecycle {
	double first_seen_at;   /* when first learned of, by a rental, heartbeat, list or record */
	double idle_since;      /* start of the idle time; 0: not idle */
	double interruption_at; /* time of the reclaim in the interruption notice; 0: no notice */
	double decommissioned_at; /* valid if `decommissioned` */
	bool up;             /* a heartbeat has reached this leader; not decommissioned since */
	bool draining;       /* to be returned; no more tasks are placed on it */
	bool scaled_in;      /* returned to the cloud */
	bool seen_in_list;   /* the list of rented machines being read contains it */
	bool decommissioned; /* proven gone; kept as a tombstone that rejects late heartbeats */
};

/* The newest heartbeat of a machine. */
struct fl_machine_heartbeat {
	uint64_t incarnation, sequence; /* order of heartbeats: incarnation, then sequence */
	double last_received_at;        /* when the heartbeat was received */
	int last_entry_node_index;      /* index of the node that it was sent to; 0: not known */
	int orphan_task_count;          /* tasks in the heartbeat that no record accounts for */
	int exited_task_count;          /* exited tasks that the worker has not forgotten */
};

/* Replies and commands to a machine, and evidence of whether they reach it. */
struct fl_machine_outbound {
	double last_reachable_at;    /* time of the newest heartbeat that could be replied to */
	double last_reply_at;        /* time of the newest reply to a heartbeat; 0: none */
	uint64_t last_reply_token;   /* fencing token in that reply */
	double unacknowledged_since; /* time of the first unacknowledged reply */
	struct fl_direct_starts direct_starts; /* commands that may still arrive */
	int unacknowledged_replies; /* consecutive replies without effect in the next heartbeat */
	bool last_reply_had_start;  /* the newest reply carried a start command */
	bool last_reply_timed_out;  /* the worker seems to have timed out before the last reply */
	bool command_in_flight;     /* a direct command is in flight */
	bool command_pending;       /* a direct command has to be sent */
};

/* Resources reserved for a waiting job; see struct fl_reservation in schedule.h. */
struct fl_machine_reservation {
	double reserved_at; /* when the reservation was last made; 0: none */
	double cpus, gpus, ram_gb;
	enum fl_priority priority : 8;
	bool by_guarantee;
};

/* Recent failures on a machine, and its quarantine. */
struct fl_machine_health {
	double quarantined_until; /* no task is placed on the machine before this time */
	int fault_count;          /* consecutive faults */
};

/* A machine that this node has learned of. */
struct fl_machine {
	UT_hash_handle hh;
	char name[FL_NAME_MAX], endpoint[FL_NAME_MAX];
	int id;         /* dense; changes only in fl_cluster_purge_tombstones */
	int type, zone; /* indexes; FL_INDEX_NONE: not known */
	bool spot;
	bool described; /* type, zone and spot are known */
	struct fl_machine_lifecycle lifecycle;
	struct fl_machine_heartbeat heartbeat;
	struct fl_machine_outbound outbound;
	struct fl_machine_reservation reservation;
	struct fl_machine_health health;
	struct fl_assignment *assignments; /* attempts that may be on the machine */
	int assignment_count, assignment_capacity;
	struct fl_resources used;              /* resources used by these attempts */
	int cached_images[FL_IMAGE_CACHE_MAX]; /* most recently used first; FL_INDEX_NONE: none */
};

/* All machines and their types; empty when zero-initialised. */
struct fl_machines {
	struct fl_machine_type types[FL_MACHINE_TYPES_MAX];
	int type_count;
	struct fl_machine *by_name;
	struct fl_machine **by_id;
	int count, capacity;
};

/* Returns the index of the type, or FL_INDEX_NONE. */
int fl_machine_type_find(const struct fl_machines *machines, const char *name);
/* Adds or updates the given machine types; a known type keeps its index. */
void fl_machine_types_set(struct fl_machines *machines, const struct fl_symbol_table *zones,
                          const struct fl_cloud_machine_type *types, int count);
/* Returns the machine with this name, or NULL if there is none. */
struct fl_machine *fl_machine_find(const struct fl_machines *machines, const char *name);
/* Returns the machine with this name, added if it is not known yet; NULL if out of memory. */
struct fl_machine *fl_machine_get_or_add(struct fl_machines *machines, const char *name,
                                         double now);
/*
 * Sets the type, zone and spot flag once, and the endpoint if one is given. Does nothing if the
 * type or zone is FL_INDEX_NONE.
 */
void fl_machine_set_description(struct fl_machine *machine, int type, int zone, bool spot,
                                const char *endpoint);
/* Records that an attempt may be on the machine; returns false if out of memory. */
bool fl_machine_add_assignment(struct fl_machine *machine, struct fl_job *job, uint32_t index);
/* Reverts fl_machine_add_assignment. */
void fl_machine_remove_assignment(struct fl_machine *machine, const struct fl_job *job,
                                  uint32_t index);
/* Returns how many more tasks may be placed on the machine: see FL_MACHINE_TASKS_MAX. */
static inline int fl_machine_free_task_slots(const struct fl_machine *machine)
{
	return FL_MACHINE_TASKS_MAX - machine->assignment_count -
	       machine->heartbeat.exited_task_count;
}
/* Records that the machine has the image, in place of the least recently used one if full. */
void fl_machine_record_image(struct fl_machine *machine, int image);
/* Returns how many tasks that need `need` each fit into `available`. */
uint32_t fl_fitting_task_count(struct fl_resources need, struct fl_resources available);
/* Returns the resources of an empty machine of the type. */
static inline struct fl_resources fl_machine_type_capacity(const struct fl_machine_type *type)
{
	return (struct fl_resources){type->cpus, type->gpus, type->ram_gb};
}
/*
 * Frees a machine that has no assignments; the last machine takes over its id. Returns the machine
 * whose id changed, or NULL if the freed machine was the last.
 */
struct fl_machine *fl_machine_drop(struct fl_machines *machines, struct fl_machine *machine);
/* Frees all machines; keeps the machine types. */
void fl_machines_clear(struct fl_machines *machines);

#endif
