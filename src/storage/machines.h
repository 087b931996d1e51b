/*
 * Machine types and machines, with every attempt that may be on each. A machine is found by its
 * name or by its id, which is dense: the last machine takes the id of one that is dropped. Times
 * are steady, in seconds.
 */
#ifndef FL_STORAGE_MACHINES_H
#define FL_STORAGE_MACHINES_H

#include <uthash.h>

#include "protocol/cloud.h"
#include "storage/resources.h"
#include "storage/symbol_table.h"

/* Limits; FL_IMAGE_CACHE_MAX: images recorded of one machine. */
enum { FL_MACHINE_TYPES_MAX = 32, FL_ZONES_MAX = 8, FL_IMAGE_CACHE_MAX = 16 };

/* A type of machine that the cloud offers. */
struct fl_machine_type {
	char name[FL_NAME_MAX];
	double cpus, gpus, ram_gb, cache_gb, pull_gb_s, price, spot_price, ready_s;
	uint32_t zone_mask; /* bit per zone index */
};

struct fl_job;

/* An attempt that may be on a machine. */
struct fl_assignment {
	struct fl_job *job;
	uint32_t task_index;
};

/* How far a machine is on its way from rental to return. */
struct fl_machine_lifecycle {
	double first_seen_at;     /* of its rental, or of its first heartbeat or listing */
	double idle_since;        /* 0: not idle */
	double interruption_at;   /* when the cloud takes it back, by its notice; 0: no notice */
	double decommissioned_at; /* valid if it is */
	bool up;                  /* a heartbeat has reached this leader */
	bool draining;            /* is to be returned; nothing more is placed here */
	bool scaled_in;           /* it has been returned to the cloud */
	bool seen_in_list;        /* was in the list being read */
	bool decommissioned;      /* proven gone: a tombstone that rejects late heartbeats */
};

/* The newest heartbeat. */
struct fl_machine_heartbeat {
	uint64_t incarnation, sequence; /* order heartbeats, in this order */
	double last_received_at;        /* when it came */
	int entry_node;        /* the node that it was sent to, by an index; 0: not known */
	int orphan_task_count; /* its tasks that no record accounts for */
};

/* Replies and commands to the machine, and signs of whether they reach it. */
struct fl_machine_outbound {
	double last_reachable_at;    /* of the newest heartbeat that a reply could answer */
	double last_reply_at;        /* of the newest reply to a heartbeat; 0: none */
	uint64_t last_reply_token;   /* the fencing token that it carried */
	double unacknowledged_since; /* of the first of the unacknowledged replies */
	uint64_t direct_start_token; /* highest token of a direct start command; 0: none */
	int unacknowledged_replies;  /* in a row, of which the next heartbeat showed no effect */
	bool last_reply_had_start;   /* it had a start command */
	bool last_reply_timed_out;   /* the worker seems to have given up waiting for it */
	bool command_in_flight;      /* a direct command is under way */
	bool command_pending;        /* something has to be sent by a direct command */
};

/* Resources reserved for a waiting job: see struct fl_reservation in schedule.h. */
struct fl_machine_reservation {
	double reserved_at; /* when it was last made; 0: never */
	double cpus, gpus, ram_gb;
	enum fl_priority priority : 8;
	bool within_guaranteed_quota;
};

/* What failures on the machine lead to. */
struct fl_machine_health {
	double quarantined_until; /* nothing is placed before */
	int fault_count;          /* in a row */
};

/* A machine, from its rental or its first heartbeat on. */
struct fl_machine {
	UT_hash_handle hh;
	char name[FL_NAME_MAX], endpoint[FL_NAME_MAX];
	int id;         /* dense; changes only in fl_cluster_purge_tombstones */
	int type, zone; /* indexes; FL_INDEX_NONE: not known */
	bool spot;
	bool described; /* type, zone and endpoint are known */
	struct fl_machine_lifecycle lifecycle;
	struct fl_machine_heartbeat heartbeat;
	struct fl_machine_outbound outbound;
	struct fl_machine_reservation reservation;
	struct fl_machine_health health;
	struct fl_assignment *assignments; /* attempts that may be on the machine */
	int assignment_count, assignment_capacity;
	struct fl_resources used;              /* by them */
	int cached_images[FL_IMAGE_CACHE_MAX]; /* latest first; FL_INDEX_NONE: none */
};

/* All machines and their types. Zero-initialised is empty. */
struct fl_machines {
	struct fl_machine_type types[FL_MACHINE_TYPES_MAX];
	int type_count;
	struct fl_machine *by_name;
	struct fl_machine **by_id; /* by id */
	int count, capacity;
};

/* Index of the type, or FL_INDEX_NONE. */
int fl_machine_type_find(const struct fl_machines *machines, const char *name);
/* Replaces what is known of the types; indexes of known names stay. */
void fl_machine_types_set(struct fl_machines *machines, const struct fl_symbol_table *zones,
                          const struct fl_cloud_machine_type *types, int count);
/* NULL: no such machine. */
struct fl_machine *fl_machine_find(const struct fl_machines *machines, const char *name);
/* The machine, added if it is not known yet; NULL without memory. */
struct fl_machine *fl_machine_get_or_add(struct fl_machines *machines, const char *name,
                                         double now);
/*
 * Sets type, zone and kind of rental, once, and the newest endpoint. Does nothing if type or zone
 * is FL_INDEX_NONE.
 */
void fl_machine_set_description(struct fl_machine *machine, int type, int zone, bool spot,
                                const char *endpoint);
/* Records that an attempt may be on the machine; false without memory. */
bool fl_machine_add_assignment(struct fl_machine *machine, struct fl_job *job, uint32_t index);
/* Undoes fl_machine_add_assignment. */
void fl_machine_remove_assignment(struct fl_machine *machine, const struct fl_job *job,
                                  uint32_t index);
/* Records that the image is on the machine; the least recently used one is forgotten. */
void fl_machine_record_image(struct fl_machine *machine, int image);
/* How many tasks that need `need` each fit into `available`. */
uint32_t fl_fitting_task_count(struct fl_resources need, struct fl_resources available);
/* What an empty machine of the type has. */
static inline struct fl_resources fl_machine_type_capacity(const struct fl_machine_type *type)
{
	return (struct fl_resources){type->cpus, type->gpus, type->ram_gb};
}
/*
 * Frees a machine that has no assignments; the last one takes its id. Returns that one, or NULL if
 * it was the last itself.
 */
struct fl_machine *fl_machine_drop(struct fl_machines *machines, struct fl_machine *machine);
/* Frees all machines; the types stay. */
void fl_machines_clear(struct fl_machines *machines);

#endif
