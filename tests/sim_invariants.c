/* The protocol's rules, from what workers run and what users are told, and from nothing else. */
#include "sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

enum { NAMES = 512 };
static const struct {
	double max_waiting_s;    /* s that a job may be left waiting beside room */
	double max_unanswered_s; /* s without an answer after which a job is forgotten */
	double check_interval_s; /* s between two looks */
	double largest_start_s;  /* s within which the largest jobs of a class begin */
	int min_jobs;            /* jobs of which half can be asked for */
} rule = {90, 75, 0.5, 240, 8};

static struct {
	char rental_names[NAMES][64];
	int rental_users[NAMES], rental_count;
	uint64_t fencing_tokens[NAMES];
	int token_users[NAMES], token_count;
} seen;

double sim_time(void) { return fl_now() - sim.started_at; }

void sim_violation(const char *name, const char *fmt, ...)
{
	char text[256];
	va_list ap;
	size_t used;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	sim.violation_count++;
	used = strlen(sim.violations);
	snprintf(sim.violations + used, sizeof(sim.violations) - used, "  %8.2f s  %s: %s\n",
	         sim_time(), name, text);
}

/* ---- what runs ---- */

static const struct sim_team *team_of(const struct sim_job *job)
{
	for (int i = 0; i < SIM_TEAMS; i++)
		if (strcmp(sim_teams[i].name, job->spec.team) == 0)
			return &sim_teams[i];
	abort();
}

static void team_usage(const struct sim_team *team, double *cpus, double *gpus)
{
	*cpus = *gpus = 0;
	for (int i = 0; i < sim.job_count; i++) {
		const struct sim_job *job = &sim.jobs[i];

		if (team_of(job) != team)
			continue;
		for (uint32_t k = 0; k < job->spec.task_count; k++) {
			*cpus += job->copies_running[k] * job->spec.cpus;
			*gpus += job->copies_running[k] * job->spec.gpus;
		}
	}
}

static bool type_allowed(const struct fl_job_spec *spec, const char *kind)
{
	for (int i = 0; i < spec->machine_type_count; i++)
		if (strcmp(spec->machine_types[i], kind) == 0)
			return true;
	return spec->machine_type_count < 0;
}

/* Where the other tasks of the job are: those in this zone, and those elsewhere. */
static void count_by_zone(const struct sim_job *job, int zone, int *here, int *away)
{
	*here = *away = 0;
	for (uint32_t k = 0; k < job->spec.task_count; k++) {
		if (job->copies_running[k] == 0)
			continue;
		if (sim.machines[job->last_machine[k]].zone == zone)
			++*here;
		else
			++*away;
	}
}

/* NULL, or why no further task of the job may begin here. */
static const char *placement_violation(const struct sim_job *job, const struct sim_machine *machine)
{
	const struct fl_job_spec *spec = &job->spec;
	int here, away;

	count_by_zone(job, machine->zone, &here, &away);
	if (!type_allowed(spec, sim_machine_types[machine->type].name))
		return "type";
	if (spec->has_zone && strcmp(spec->zone, sim.config[0].zones[machine->zone]) != 0)
		return "zone";
	if (machine->spot && !spec->spot_allowed)
		return "spot";
	if (spec->same_zone && away > 0)
		return "not together";
	if (spec->spread_zones && here + 1 > ((int)spec->task_count + 1) / 2)
		return "not apart";
	return NULL;
}

static bool is_overdue(const struct sim_job *job)
{
	return job->reported_cancelled_at > 0 &&
	       fl_now() > job->reported_cancelled_at + sim.cancel_s;
}

void sim_check_task_started(struct sim_job *job, uint32_t index, int machine)
{
	const struct sim_machine *state = &sim.machines[machine];
	const struct sim_team *team = team_of(job);
	const char *why = placement_violation(job, state);
	double cpus, gpus;

	sim.starts++;
	job->starts++;
	if (++job->task_starts[index] > sim.max_task_starts)
		sim.max_task_starts = job->task_starts[index];
	if (job->copies_running[index] > 0)
		sim_violation("ran_twice", "%s/%u begins on %s and is on %s", job->spec.ref, index,
		              state->name, sim.machines[job->last_machine[index]].name);
	if (why)
		sim_violation("wrong_place", "%s/%u on %s: %s", job->spec.ref, index, state->name,
		              why);
	job->copies_running[index]++;
	job->last_machine[index] = machine;
	team_usage(team, &cpus, &gpus);
	if (cpus > team->cpus_max + 1e-6 || gpus > team->gpus_max + 1e-6)
		sim_violation("quota", "%s: %g cpus, %g gpus with %s/%u", team->name, cpus, gpus,
		              job->spec.ref, index);
	if (is_overdue(job))
		sim_violation("ran_cancelled", "%s/%u begins on %s, %.1f s after its user was told",
		              job->spec.ref, index, state->name,
		              fl_now() - job->reported_cancelled_at);
	else if (job->reported_cancelled_at > 0)
		job->late_starts++, sim.late_starts++;
	if (job->invalid)
		sim_violation("accepted", "%s cannot run and begins", job->spec.ref);
}

void sim_check_task_left(struct sim_job *job, uint32_t index) { job->copies_running[index]--; }

static void check_cancelled_tasks(void)
{
	for (int i = 0; i < sim.machine_count; i++) {
		struct sim_machine *machine = &sim.machines[i];
		/* A machine that stands still ends its tasks before it goes on. */
		bool lapsed = machine->hung && fl_now() > machine->lease_started_at + sim.lease_s;

		for (int k = 0; k < machine->task_slots_used && !machine->terminated && !lapsed;
		     k++) {
			struct sim_task *task = &machine->tasks[k];

			if (!task->used || !task->counted_running || !is_overdue(task->job) ||
			    task->job->overdue_violation_reported)
				continue;
			sim_violation("ran_cancelled",
			              "%s/%u is on %s, %.1f s after its user was told",
			              task->job->spec.ref, task->status.index, machine->name,
			              fl_now() - task->job->reported_cancelled_at);
			task->job->overdue_violation_reported = true;
		}
	}
}

/* ---- what users are told ---- */

static bool all_completed(const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		if (!job->completed[i])
			return false;
	return job->spec.kind != FL_SERVICE;
}

/* Only an answer to a question asked after it shows that something was taken back. */
static void check_status(struct sim_job *job, double sent, const char *body, const char *how)
{
	cJSON *object = fl_json_parse(body, strlen(body));
	char status[32] = "", ref[FL_REF_MAX] = "";
	bool cancelled, done;

	fl_json_get_string(object, "Status", status, sizeof(status));
	fl_json_get_string(object, "Ref", ref, sizeof(ref));
	cJSON_Delete(object);
	cancelled = strcmp(status, "aborted") == 0;
	done = strcmp(status, "done") == 0;
	if (strcmp(ref, job->spec.ref) != 0)
		sim_violation("answer", "%s of %s tells of '%s'", how, job->spec.ref, ref);
	if (job->reported_done_at > 0 && sent > job->reported_done_at && !done)
		sim_violation("went_back", "%s was done and is '%s' (%s)", job->spec.ref, status,
		              how);
	if (job->reported_cancelled_at > 0 && sent > job->reported_cancelled_at && !cancelled)
		sim_violation("went_back", "%s was cancelled and is '%s' (%s)", job->spec.ref,
		              status, how);
	if (cancelled && job->cancel_sent_at == 0)
		sim_violation("went_back", "%s is cancelled and nobody cancelled it",
		              job->spec.ref);
	if (done && !all_completed(job))
		sim_violation("not_done", "%s is called done (%s)", job->spec.ref, how);
	if (cancelled && job->reported_cancelled_at == 0)
		job->reported_cancelled_at = fl_now();
	if (done && job->reported_done_at == 0)
		job->reported_done_at = fl_now();
}

void sim_check_submit_reply(struct sim_job *job, double sent, int status, const char *body)
{
	if (status == 200 || status == 201) {
		if (job->invalid)
			sim_violation("accepted", "%s cannot run or lacks a field", job->spec.ref);
		if (job->accepted_at > 0 && status == 201 && sent > job->accepted_at)
			sim_violation("went_back", "%s is accepted anew", job->spec.ref);
		if (job->accepted_at == 0)
			job->accepted_at = job->last_answered_at = fl_now();
		check_status(job, sent, body, "submission");
	} else if (status == 400 || status == 422) {
		if (job->accepted_at > 0)
			sim_violation("forgotten", "%s: repeated, and %d", job->spec.ref, status);
		else if (!job->invalid)
			sim_violation("refused", "%s: %d %s", job->spec.ref, status, body);
		job->rejected_at = fl_now();
	}
}

void sim_check_query_reply(struct sim_job *job, double sent, int status, const char *body)
{
	if (status == 404 && sent > job->accepted_at)
		sim_violation("forgotten", "%s: 404", job->spec.ref);
	if (status != 200)
		return;
	job->last_answered_at = fl_now();
	check_status(job, sent, body, "poll");
}

void sim_check_cancel_reply(struct sim_job *job, double sent, int status, const char *body)
{
	if (status == 404)
		sim_violation("forgotten", "%s: cancelled, and 404", job->spec.ref);
	if (status == 200)
		check_status(job, sent, body, "cancel");
}

/* ---- names that belong to one process ---- */

void sim_check_fencing_token(uint64_t fencing_token, int process)
{
	for (int i = 0; i < seen.token_count; i++)
		if (seen.fencing_tokens[i] == fencing_token) {
			if (seen.token_users[i] != process)
				sim_violation("epoch", "%llu is used by two processes",
				              (unsigned long long)fencing_token);
			return;
		}
	if (seen.token_count == NAMES)
		return;
	seen.fencing_tokens[seen.token_count] = fencing_token;
	seen.token_users[seen.token_count++] = process;
}

void sim_check_rental_name(const char *name, int process)
{
	for (int i = 0; i < seen.rental_count; i++)
		if (strcmp(seen.rental_names[i], name) == 0) {
			if (seen.rental_users[i] != process)
				sim_violation("rental", "%s is used by two processes", name);
			return;
		}
	if (seen.rental_count == NAMES)
		return;
	snprintf(seen.rental_names[seen.rental_count], sizeof(seen.rental_names[0]), "%s", name);
	seen.rental_users[seen.rental_count++] = process;
}

/* ---- once the troubles are over ---- */

static bool has_capacity(const struct sim_machine *machine, const struct sim_job *job)
{
	const struct sim_machine_type *k = &sim_machine_types[machine->type];
	double cpus = job->spec.cpus, gpus = job->spec.gpus, ram = job->spec.ram_gb;

	if (!machine->up || machine->terminated || machine->hung || machine->interruption_at > 0 ||
	    placement_violation(job, machine))
		return false;
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].used &&
		    machine->tasks[i].status.state != FL_TASK_STATE_EXITED) {
			cpus += machine->tasks[i].job->spec.cpus;
			gpus += machine->tasks[i].job->spec.gpus;
			ram += machine->tasks[i].job->spec.ram_gb;
		}
	return cpus <= k->cpus && gpus <= k->gpus && ram <= k->ram_gb;
}

/* Plays bring more jobs than their teams may run at once: those beyond the limits have to wait. */
static bool team_is_full(const struct sim_job *job)
{
	const struct sim_team *team = team_of(job);
	double cpus, gpus;

	team_usage(team, &cpus, &gpus);
	return cpus + job->spec.cpus > team->cpus_max || gpus + job->spec.gpus > team->gpus_max;
}

static bool is_starved(const struct sim_job *job)
{
	if (job->accepted_at == 0 || job->invalid || job->cancel_requested || all_completed(job))
		return false;
	for (uint32_t k = 0; k < job->spec.task_count; k++)
		if (job->copies_running[k] > 0)
			return false;
	if (team_is_full(job))
		return false;
	for (int i = 0; i < sim.machine_count; i++)
		if (has_capacity(&sim.machines[i], job))
			return true;
	return false;
}

static void check_starvation(void)
{
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];

		if (sim_time() < sim.faults_end_s || !is_starved(job))
			job->waiting_since = fl_now();
		else if (fl_now() > job->waiting_since + rule.max_waiting_s &&
		         !job->starvation_reported) {
			sim_violation("waiting", "%s waits beside room", job->spec.ref);
			job->starvation_reported = true;
		}
	}
}

static void run_checks(void *arg)
{
	(void)arg;
	while (fl_sleep(rule.check_interval_s) == 0) {
		check_cancelled_tasks();
		check_starvation();
	}
}

/* ---- how much was served, by class and team ---- */

/* Jobs that had a fair time to begin, and of those the ones that did. */
struct service {
	int job_count, started_count;
};

static bool had_time_to_start(const struct sim_job *job)
{
	return job->accepted_at > 0 && !job->invalid && !job->cancel_requested &&
	       fl_now() > job->accepted_at + rule.max_waiting_s &&
	       (job->starts > 0 || !team_is_full(job));
}

static void count_service(struct service *service, const struct sim_job *job)
{
	service->job_count++;
	service->started_count += job->starts > 0;
}

static void check_half_started(const char *what, const char *name, struct service service)
{
	if (service.job_count >= rule.min_jobs && 2 * service.started_count < service.job_count)
		sim_violation("unserved", "%s %s: %d of %d jobs began", what, name,
		              service.started_count, service.job_count);
}

static double total_cpus(const struct sim_job *job)
{
	return job->spec.task_count * job->spec.cpus;
}

/* Those within a quarter of the size of the class's largest. */
static bool is_among_largest(const struct sim_job *job)
{
	double most = 0;

	for (int i = 0; i < sim.job_count; i++)
		if (had_time_to_start(&sim.jobs[i]) &&
		    strcmp(sim.jobs[i].spec.job_class, job->spec.job_class) == 0 &&
		    total_cpus(&sim.jobs[i]) > most)
			most = total_cpus(&sim.jobs[i]);
	return total_cpus(job) >= 0.75 * most;
}

static void check_class(const char *name)
{
	struct service all = {0}, largest = {0};

	for (int i = 0; i < sim.job_count; i++) {
		const struct sim_job *job = &sim.jobs[i];

		if (!had_time_to_start(job) || strcmp(job->spec.job_class, name) != 0)
			continue;
		count_service(&all, job);
		if (!is_among_largest(job))
			continue;
		count_service(&largest, job);
		if (job->starts == 0 && fl_now() > job->accepted_at + rule.largest_start_s)
			sim_violation("unserved", "%s, among the largest of %s, never began",
			              job->spec.ref, name);
	}
	check_half_started("class", name, all);
	check_half_started("largest of class", name, largest);
}

static void check_service_levels(void)
{
	static const char *const classes[] = {"serve", "train"};

	for (size_t i = 0; i < sizeof(classes) / sizeof(classes[0]); i++)
		check_class(classes[i]);
	for (int i = 0; i < SIM_TEAMS; i++) {
		struct service team = {0};

		for (int k = 0; k < sim.job_count; k++)
			if (had_time_to_start(&sim.jobs[k]) &&
			    team_of(&sim.jobs[k]) == &sim_teams[i])
				count_service(&team, &sim.jobs[k]);
		check_half_started("team", sim_teams[i].name, team);
	}
}

void sim_check_begin(void)
{
	memset(&seen, 0, sizeof(seen));
	sim_spawn(0, run_checks, NULL);
}

void sim_check_end(void)
{
	for (int i = 0; i < sim.job_count; i++) {
		const struct sim_job *job = &sim.jobs[i];
		double since = sim.started_at + sim.faults_end_s;

		if (job->last_answered_at > since)
			since = job->last_answered_at;
		if (job->accepted_at > 0 && fl_now() > since + rule.max_unanswered_s)
			sim_violation("forgotten", "%s: no answer for %.0f s", job->spec.ref,
			              fl_now() - since);
	}
	check_service_levels();
	if (sim.starts == 0)
		sim_violation("nothing_ran", "no task was started");
}
