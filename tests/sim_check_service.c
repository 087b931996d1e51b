/*
 * The invariants on service levels: after the last fault no job waits for long beside free
 * capacity, and by the end of the run at least half of the jobs of each class and team, and all of
 * the largest ones, have started, if they had time to start.
 */
#include "sim.h"

#include <string.h>

#include "transport/clock.h"

static const struct {
	double max_waiting_s;   /* time that a job may wait beside free capacity */
	double largest_start_s; /* time within which the largest jobs of a class must start */
	int min_jobs;           /* least size of a group of jobs of which half must have started */
} tunables = {90, 240, 8};

/* A run has more jobs than the teams' quotas allow at once, so jobs beyond a quota may wait. */
static bool team_is_full(const struct sim_job *job)
{
	const struct sim_team *team = sim_check_team_of(job);
	double cpus, gpus;

	sim_check_team_usage(team, &cpus, &gpus);
	return cpus + job->spec.cpus > team->cpus_max || gpus + job->spec.gpus > team->gpus_max;
}

/* ---- starvation ---- */

static bool could_run_on(const struct sim_job *job, const struct sim_machine *machine)
{
	return machine->up && !machine->terminated && !machine->hung &&
	       machine->interruption_at <= 0 && !sim_check_placement_violation(job, machine) &&
	       sim_machine_has_capacity(machine, job);
}

static bool waits_to_run(const struct sim_job *job)
{
	return job->accepted_at > 0 && !job->invalid && !job->cancel_requested &&
	       !sim_job_is_completed(job) && !sim_job_is_running(job);
}

static bool waits_beside_capacity(const struct sim_job *job)
{
	if (!waits_to_run(job) || team_is_full(job))
		return false;
	for (int i = 0; i < sim.machine_count; i++)
		if (could_run_on(job, &sim.machines[i]))
			return true;
	return false;
}

void sim_check_starvation(void)
{
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];

		if (sim_elapsed_s() < sim.faults_end_s || !waits_beside_capacity(job)) {
			job->starving_since = fl_now();
		} else if (fl_now() > job->starving_since + tunables.max_waiting_s &&
		           !job->starvation_reported) {
			sim_violation("starvation", "job waiting beside free capacity job=%s",
			              job->spec.ref);
			job->starvation_reported = true;
		}
	}
}

/* ---- service levels ---- */

/* Counts of the jobs that had enough time to start, and of those that did start. */
struct service_level {
	int job_count, started_count;
};

static bool had_time_to_start(const struct sim_job *job)
{
	return job->accepted_at > 0 && !job->invalid && !job->cancel_requested &&
	       fl_now() > job->accepted_at + tunables.max_waiting_s &&
	       (job->starts > 0 || !team_is_full(job));
}

static void count_job(struct service_level *level, const struct sim_job *job)
{
	level->job_count++;
	level->started_count += job->starts > 0;
}

static void check_half_started(const char *group, const char *name, struct service_level level)
{
	if (level.job_count >= tunables.min_jobs && 2 * level.started_count < level.job_count)
		sim_violation("not_started",
		              "fewer than half of the jobs started group=\"%s\" name=%s jobs=%d "
		              "started=%d",
		              group, name, level.job_count, level.started_count);
}

static double total_cpus(const struct sim_job *job)
{
	return job->spec.task_count * job->spec.cpus;
}

/* Returns whether the job has at least 75 % of the CPUs of the largest job of its class. */
static bool is_among_largest(const struct sim_job *job)
{
	double largest = 0;

	for (int i = 0; i < sim.job_count; i++) {
		const struct sim_job *other = &sim.jobs[i];

		if (had_time_to_start(other) &&
		    strcmp(other->spec.job_class, job->spec.job_class) == 0 &&
		    total_cpus(other) > largest)
			largest = total_cpus(other);
	}
	return total_cpus(job) >= 0.75 * largest;
}

static void check_class(const char *name)
{
	struct service_level all = {0}, largest = {0};

	for (int i = 0; i < sim.job_count; i++) {
		const struct sim_job *job = &sim.jobs[i];

		if (!had_time_to_start(job) || strcmp(job->spec.job_class, name) != 0)
			continue;
		count_job(&all, job);
		if (!is_among_largest(job))
			continue;
		count_job(&largest, job);
		if (job->starts == 0 && fl_now() > job->accepted_at + tunables.largest_start_s)
			sim_violation("not_started",
			              "one of the largest jobs never started job=%s class=%s",
			              job->spec.ref, name);
	}
	check_half_started("class", name, all);
	check_half_started("largest of class", name, largest);
}

static void check_team(const struct sim_team *team)
{
	struct service_level level = {0};

	for (int i = 0; i < sim.job_count; i++)
		if (had_time_to_start(&sim.jobs[i]) && sim_check_team_of(&sim.jobs[i]) == team)
			count_job(&level, &sim.jobs[i]);
	check_half_started("team", team->name, level);
}

void sim_check_service_levels(void)
{
	check_class("serve");
	check_class("train");
	for (int i = 0; i < SIM_TEAMS; i++)
		check_team(&sim_teams[i]);
}
