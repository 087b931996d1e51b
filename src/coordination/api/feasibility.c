#include "coordination/api/feasibility.h"

#include <string.h>

#include "storage/cluster.h"

static bool is_allowed_type(const struct fl_job_spec *spec, const char *name)
{
	if (spec->machine_type_count < 0)
		return true;
	for (int i = 0; i < spec->machine_type_count; i++)
		if (strcmp(spec->machine_types[i], name) == 0)
			return true;
	return false;
}

static bool task_fits(const struct fl_job_spec *spec, const struct fl_machine_type *machine_type)
{
	return spec->cpus <= machine_type->cpus && spec->gpus <= machine_type->gpus &&
	       spec->ram_gb <= machine_type->ram_gb;
}

/* A bit for each zone where an allowed machine type that a task fits is offered. */
static uint32_t find_feasible_zones(const struct fl_cluster *cluster,
                                    const struct fl_job_spec *spec)
{
	uint32_t zones = 0;

	for (int i = 0; i < cluster->machines.type_count; i++) {
		const struct fl_machine_type *machine_type = &cluster->machines.types[i];

		if (is_allowed_type(spec, machine_type->name) && task_fits(spec, machine_type))
			zones |= machine_type->zone_mask;
	}
	return zones;
}

/* All tasks of a service or a gang run at once; an array's can run one after the other. */
static bool runs_all_tasks_at_once(const struct fl_job_spec *spec)
{
	return spec->kind != FL_ARRAY && spec->task_count > 1;
}

static bool has_several_zones(uint32_t zones) { return (zones & (zones - 1)) != 0; }

/* A job that cannot have two zones could never place half of its tasks. */
static bool can_spread_over_zones(const struct fl_job_spec *spec, uint32_t zones)
{
	return !spec->same_zone && has_several_zones(zones);
}

static bool exceeds_team_limit(const struct fl_team *team, const struct fl_job_spec *spec)
{
	double task_count = runs_all_tasks_at_once(spec) ? spec->task_count : 1;

	return !fl_team_fits_maximum_quota(team, spec->cpus * task_count, spec->gpus * task_count);
}

enum fl_infeasibility fl_job_infeasibility(const struct fl_cluster *cluster,
                                           const struct fl_job_spec *spec)
{
	int team = fl_teams_find(&cluster->teams, spec->team), zone;
	uint32_t zones = find_feasible_zones(cluster, spec);

	if (team < 0)
		return FL_INFEASIBLE_UNKNOWN_TEAM;
	if (spec->cpus <= 0 && spec->gpus <= 0 && spec->ram_gb <= 0)
		return FL_INFEASIBLE_NO_RESOURCES;
	if (spec->has_zone) {
		zone = fl_symbol_find(&cluster->zones, spec->zone);
		if (zone < 0)
			return FL_INFEASIBLE_UNKNOWN_ZONE;
		zones &= 1u << zone;
	}
	/* A type that is offered in no zone of ours cannot be rented. */
	if (!zones)
		return FL_INFEASIBLE_NO_MACHINE_TYPE;
	if (runs_all_tasks_at_once(spec) && spec->spread_zones &&
	    !can_spread_over_zones(spec, zones))
		return FL_INFEASIBLE_SPREAD;
	if (exceeds_team_limit(&cluster->teams.by_index[team], spec))
		return FL_INFEASIBLE_TEAM_LIMIT;
	return FL_FEASIBLE;
}

const char *fl_infeasibility_text(enum fl_infeasibility infeasibility)
{
	switch (infeasibility) {
	case FL_FEASIBLE:
		return "feasible";
	case FL_INFEASIBLE_UNKNOWN_TEAM:
		return FL_FIELD_OWNER ": unknown team";
	case FL_INFEASIBLE_NO_RESOURCES:
		return "a task requests no resources";
	case FL_INFEASIBLE_UNKNOWN_ZONE:
		return FL_FIELD_ZONE ": unknown zone";
	case FL_INFEASIBLE_NO_MACHINE_TYPE:
		return "a task fits no allowed machine type";
	case FL_INFEASIBLE_SPREAD:
		return FL_FIELD_SPREAD_ZONES ": half of the tasks fit no allowed machine type";
	case FL_INFEASIBLE_TEAM_LIMIT:
		return "the job exceeds the team's limit";
	}
	return "infeasible";
}
