/*
 * The invariant checker: the protocol's rules on what workers run, from nothing else. No task runs
 * twice, on a wrong machine, beyond its team's quota, or after its cancellation was confirmed.
 */
#include "sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "transport/clock.h"

static const struct {
	double check_interval_s;
	double max_unanswered_s; /* s without an answer after which a job counts as forgotten */
} tunables = {0.5, 75};

double sim_elapsed_s(void) { return fl_now() - sim.started_at; }

void sim_violation(const char *invariant, const char *fmt, ...)
{
	char text[256];
	va_list ap;
	size_t used;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	sim.violation_count++;
	used = strlen(sim.violations);
	snprintf(sim.violations + used, sizeof(sim.violations) - used,
	         "  %8.2f s  invariant violated: %s: %s\n", sim_elapsed_s(), invariant, text);
}

/* ---- placement ---- */

const struct sim_team *sim_check_team_of(const struct sim_job *job)
{
	for (int i = 0; i < SIM_TEAMS; i++)
		if (strcmp(sim_teams[i].name, job->spec.team) == 0)
			return &sim_teams[i];
	abort();
}

void sim_check_team_usage(const struct sim_team *team, double *cpus, double *gpus)
{
	*cpus = *gpus = 0;
	for (int i = 0; i < sim.job_count; i++) {
		const struct sim_job *job = &sim.jobs[i];

		if (sim_check_team_of(job) != team)
			continue;
		for (uint32_t k = 0; k < job->spec.task_count; k++) {
			*cpus += job->copies_running[k] * job->spec.cpus;
			*gpus += job->copies_running[k] * job->spec.gpus;
		}
	}
}

static bool allows_type(const struct fl_job_spec *spec, const char *type)
{
	for (int i = 0; i < spec->machine_type_count; i++)
		if (strcmp(spec->machine_types[i], type) == 0)
			return true;
	return spec->machine_type_count < 0;
}

/* Where the other tasks of the job run: how many in this zone, and how many elsewhere. */
static void count_tasks_by_zone(const struct sim_job *job, int zone, int *here, int *elsewhere)
{
	*here = *elsewhere = 0;
	for (uint32_t k = 0; k < job->spec.task_count; k++) {
		if (job->copies_running[k] == 0)
			continue;
		if (sim.machines[job->last_machine[k]].zone == zone)
			++*here;
		else
			++*elsewhere;
	}
}

const char *sim_check_placement_violation(const struct sim_job *job,
                                          const struct sim_machine *machine)
{
	const struct fl_job_spec *spec = &job->spec;
	int here, elsewhere;

	count_tasks_by_zone(job, machine->zone, &here, &elsewhere);
	if (!allows_type(spec, sim_machine_types[machine->type].name))
		return "wrong machine type";
	if (spec->has_zone && strcmp(spec->zone, sim.config[0].zones[machine->zone]) != 0)
		return "wrong zone";
	if (machine->spot && !spec->spot_allowed)
		return "spot machine not allowed";
	if (spec->same_zone && elsewhere > 0)
		return "not in the same zone";
	if (spec->spread_zones && here + 1 > ((int)spec->task_count + 1) / 2)
		return "not spread over zones";
	return NULL;
}

/* ---- starts ---- */

static bool cancellation_is_overdue(const struct sim_job *job)
{
	return job->reported_cancelled_at > 0 &&
	       fl_now() > job->reported_cancelled_at + sim.cancel_s;
}

static void check_quota(const struct sim_job *job, uint32_t index)
{
	const struct sim_team *team = sim_check_team_of(job);
	double cpus, gpus;

	sim_check_team_usage(team, &cpus, &gpus);
	if (cpus > team->cpus_max + 1e-6 || gpus > team->gpus_max + 1e-6)
		sim_violation("quota", "team %s: cpus=%g gpus=%g with %s/%u", team->name, cpus,
		              gpus, job->spec.ref, index);
}

static void check_not_cancelled(struct sim_job *job, uint32_t index, const char *machine)
{
	if (cancellation_is_overdue(job)) {
		sim_violation("ran_cancelled", "%s/%u starts on %s, %.1f s after its user was told",
		              job->spec.ref, index, machine, fl_now() - job->reported_cancelled_at);
	} else if (job->reported_cancelled_at > 0) {
		job->starts_after_cancellation++;
		sim.starts_after_cancellation++;
	}
}

void sim_check_task_started(struct sim_job *job, uint32_t index, int machine_index)
{
	const struct sim_machine *machine = &sim.machines[machine_index];
	const char *misplaced = sim_check_placement_violation(job, machine);

	sim.starts++;
	job->starts++;
	if (++job->task_starts[index] > sim.max_task_starts)
		sim.max_task_starts = job->task_starts[index];
	if (job->copies_running[index] > 0)
		sim_violation("ran_twice", "%s/%u starts on %s and is on %s", job->spec.ref, index,
		              machine->name, sim.machines[job->last_machine[index]].name);
	if (misplaced)
		sim_violation("wrong_place", "%s/%u on %s: %s", job->spec.ref, index, machine->name,
		              misplaced);
	job->copies_running[index]++;
	job->last_machine[index] = machine_index;
	check_quota(job, index);
	check_not_cancelled(job, index, machine->name);
	if (job->invalid)
		sim_violation("accepted", "%s is invalid and starts", job->spec.ref);
}

void sim_check_task_ended(struct sim_job *job, uint32_t index) { job->copies_running[index]--; }

/* ---- from time to time ---- */

static void check_cancelled_task(const struct sim_machine *machine, const struct sim_task *task)
{
	struct sim_job *job = task->job;

	if (!task->used || !task->counted_running || !cancellation_is_overdue(job) ||
	    job->overdue_violation_reported)
		return;
	sim_violation("ran_cancelled", "%s/%u is on %s, %.1f s after its user was told",
	              job->spec.ref, task->status.index, machine->name,
	              fl_now() - job->reported_cancelled_at);
	job->overdue_violation_reported = true;
}

static void check_cancelled_tasks(void)
{
	for (int i = 0; i < sim.machine_count; i++) {
		const struct sim_machine *machine = &sim.machines[i];
		/* A machine that hangs ends its tasks before it resumes. */
		bool lease_expired =
			machine->hung && fl_now() > machine->lease_started_at + sim.lease_s;

		if (machine->terminated || lease_expired)
			continue;
		for (int k = 0; k < machine->task_slots_used; k++)
			check_cancelled_task(machine, &machine->tasks[k]);
	}
}

static void run_periodic_checks(void *arg)
{
	(void)arg;
	while (fl_sleep(tunables.check_interval_s) == 0) {
		check_cancelled_tasks();
		sim_check_starvation();
	}
}

void sim_check_begin(void)
{
	sim_check_unique_ids_begin();
	sim_spawn(0, run_periodic_checks, NULL);
}

/* ---- at the end ---- */

static void check_not_forgotten(const struct sim_job *job)
{
	double since = sim.started_at + sim.faults_end_s;

	if (job->last_answered_at > since)
		since = job->last_answered_at;
	if (job->accepted_at > 0 && fl_now() > since + tunables.max_unanswered_s)
		sim_violation("forgotten", "%s: no answer for %.0f s", job->spec.ref,
		              fl_now() - since);
}

void sim_check_end(void)
{
	for (int i = 0; i < sim.job_count; i++)
		check_not_forgotten(&sim.jobs[i]);
	sim_check_service_levels();
	if (sim.starts == 0)
		sim_violation("nothing_ran", "no task was started");
}
