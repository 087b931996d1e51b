/*
 * Placement constraints of jobs: which machines and zones their tasks may use. The scheduling
 * cycle, which places tasks on machines, and the autoscaler, which plans machines for tasks, share
 * these rules; if their rules differed, machines would be rented that no task may use. The free
 * resources of a machine are not considered here.
 */
#ifndef FL_STORAGE_PLACEMENT_RULES_H
#define FL_STORAGE_PLACEMENT_RULES_H

#include <stdbool.h>
#include <stdint.h>

/* Used in place of a zone index: any zone is possible. */
#define FL_ANY_ZONE (-1)

/* A kind of machine: the indexes of its type and zone, and whether it is a spot machine. */
struct fl_machine_kind {
	int type, zone;
	bool spot;
};

/* The kinds of machine that a job may use. */
struct fl_kind_rule {
	uint32_t allowed_types; /* one bit per machine type */
	int zone;               /* the only zone allowed; negative: any zone */
	bool spot_allowed;
};

/* How a job's tasks may be distributed over zones, and where they are placed. Owns no memory. */
struct fl_zone_rule {
	bool same_zone;    /* all tasks in one zone */
	bool spread_zones; /* at most half of the tasks, rounded up, in one zone */
	uint32_t task_count;
	const uint32_t *placed_by_zone; /* FL_ZONES_MAX counts */
	uint32_t placed_in_unknown_zone;
};

/*
 * Returns whether the rule admits machines of this kind. Inline because a scheduling cycle calls it
 * for each job and machine.
 */
static inline bool fl_kind_rule_admits(struct fl_kind_rule rule, struct fl_machine_kind kind)
{
	if (!(rule.allowed_types >> kind.type & 1))
		return false;
	if (rule.zone >= 0 && rule.zone != kind.zone)
		return false;
	return rule.spot_allowed || !kind.spot;
}

/* Returns whether one more task may be placed in this zone. */
bool fl_zone_rule_admits(const struct fl_zone_rule *rule, int zone);

#endif
