#include "storage/placement_rules.h"

#include "storage/machines.h"

bool fl_zone_rule_admits(const struct fl_zone_rule *rule, int zone)
{
	uint32_t half = (rule->task_count + 1) / 2;

	/* A task in an unknown zone may be in any zone, so it counts against each of them. */
	if (rule->spread_zones &&
	    rule->placed_by_zone[zone] + rule->placed_in_unknown_zone + 1 > half)
		return false;
	if (!rule->same_zone)
		return true;
	if (rule->placed_in_unknown_zone > 0)
		return false;
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (z != zone && rule->placed_by_zone[z] > 0)
			return false;
	return true;
}
