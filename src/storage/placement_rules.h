/*
 * The rules of a job's constraints by which a task may go to a machine or a zone. They stand here
 * once, for the scheduling cycle, which places tasks on machines, and for the autoscaler, which
 * plans machines for them: if they differed, machines would be rented that no task may use. What
 * is free on a machine plays no part.
 */
#ifndef FL_STORAGE_PLACEMENT_RULES_H
#define FL_STORAGE_PLACEMENT_RULES_H

#include <stdbool.h>
#include <stdint.h>

/* In place of the index of a zone: any zone is possible. */
#define FL_ANY_ZONE (-1)

/* A kind of machine: indices of its type and zone, and whether it is a spot machine. */
struct fl_machine_kind {
	int type, zone;
	bool spot;
};

/* The kinds of machine that a job may use. */
struct fl_kind_rule {
	uint32_t allowed_types; /* one bit each */
	int zone;               /* the only one; negative: any */
	bool spot_allowed;
};

/* How a job's tasks may be distributed over the zones, and where they are. It owns nothing. */
struct fl_zone_rule {
	bool same_zone;    /* all tasks in one zone */
	bool spread_zones; /* at most half of the tasks, rounded up, in one zone */
	uint32_t task_count;
	const uint32_t *placed_by_zone; /* FL_ZONES_MAX counts */
	uint32_t placed_in_unknown_zone;
};

/*
 * Whether the rule admits machines of this kind. Inline: a scheduling cycle calls it for each job
 * and machine.
 */
static inline bool fl_kind_rule_admits(struct fl_kind_rule rule, struct fl_machine_kind kind)
{
	if (!(rule.allowed_types >> kind.type & 1))
		return false;
	if (rule.zone >= 0 && rule.zone != kind.zone)
		return false;
	return rule.spot_allowed || !kind.spot;
}

/* Whether one more task may go to this zone. */
bool fl_zone_rule_admits(const struct fl_zone_rule *rule, int zone);

#endif
