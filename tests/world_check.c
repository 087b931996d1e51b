/* The protocol's rules, from what workers run and what users are told, and from nothing else. */
#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

enum { NAMES = 512 };
static const struct {
	double wait_s;   /* s that a job may be left waiting beside room */
	double forget_s; /* s without an answer after which a job is forgotten */
	double round_s;  /* s between two looks */
} rule = {90, 75, 0.5};

static struct {
	char rental[NAMES][64];
	int rental_by[NAMES], n_rentals;
	uint64_t epoch[NAMES];
	int epoch_by[NAMES], n_epochs;
} seen;

double world_time(void) { return fl_now() - world.begin; }

void world_broken(const char *name, const char *fmt, ...)
{
	size_t used = strlen(world.report);
	char text[256];
	va_list ap;

	world.failures++;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	snprintf(world.report + used, sizeof(world.report) - used, "  %8.2f s  %s: %s\n",
	         world_time(), name, text);
}

/* ---- what runs ---- */

static const struct world_team *team_of(const struct world_job *job)
{
	for (int i = 0; i < WORLD_TEAMS; i++)
		if (strcmp(world_teams[i].name, job->run.owner) == 0)
			return &world_teams[i];
	abort();
}

static void team_use(const struct world_team *team, double *cpus, double *gpus)
{
	*cpus = *gpus = 0;
	for (int i = 0; i < world.n_jobs; i++) {
		const struct world_job *job = &world.job[i];

		if (team_of(job) != team)
			continue;
		for (uint32_t k = 0; k < job->run.parts; k++) {
			*cpus += job->on[k] * job->run.cpus;
			*gpus += job->on[k] * job->run.gpus;
		}
	}
}

static bool kind_allowed(const struct fl_run *r, const char *kind)
{
	for (int i = 0; i < r->n_host_kinds; i++)
		if (strcmp(r->host_kinds[i], kind) == 0)
			return true;
	return r->n_host_kinds < 0;
}

/* Where the other tasks of the job are: those in this zone, and those elsewhere. */
static void spread(const struct world_job *job, int zone, int *here, int *away)
{
	*here = *away = 0;
	for (uint32_t k = 0; k < job->run.parts; k++) {
		if (job->on[k] == 0)
			continue;
		if (world.machine[job->host[k]].zone == zone)
			++*here;
		else
			++*away;
	}
}

/* NULL, or why no further task of the job may begin here. */
static const char *misplaced(const struct world_job *job, const struct world_machine *m)
{
	const struct fl_run *r = &job->run;
	int here, away;

	spread(job, m->zone, &here, &away);
	if (!kind_allowed(r, world_kinds[m->kind].name))
		return "type";
	if (r->has_site && strcmp(r->site, world.config[0].zones[m->zone]) != 0)
		return "zone";
	if (m->spot && !r->reclaimable)
		return "spot";
	if (r->together && away > 0)
		return "not together";
	if (r->apart && here + 1 > ((int)r->parts + 1) / 2)
		return "not apart";
	return NULL;
}

static bool overdue(const struct world_job *job)
{
	return job->told_aborted > 0 && fl_now() > job->told_aborted + world.cancel_s;
}

void world_check_started(struct world_job *job, uint32_t index, int machine)
{
	const struct world_machine *m = &world.machine[machine];
	const struct world_team *team = team_of(job);
	const char *why = misplaced(job, m);
	double cpus, gpus;

	world.starts++;
	job->starts++;
	if (++job->begun[index] > world.most_starts)
		world.most_starts = job->begun[index];
	if (job->on[index] > 0)
		world_broken("ran_twice", "%s/%u begins on %s and is on %s", job->run.ref, index,
		             m->name, world.machine[job->host[index]].name);
	if (why)
		world_broken("wrong_place", "%s/%u on %s: %s", job->run.ref, index, m->name, why);
	job->on[index]++;
	job->host[index] = machine;
	team_use(team, &cpus, &gpus);
	if (cpus > team->cpus_max + 1e-6 || gpus > team->gpus_max + 1e-6)
		world_broken("quota", "%s: %g cpus, %g gpus with %s/%u", team->name, cpus, gpus,
		             job->run.ref, index);
	if (overdue(job))
		world_broken("ran_cancelled", "%s/%u begins on %s, %.1f s after its user was told",
		             job->run.ref, index, m->name, fl_now() - job->told_aborted);
	else if (job->told_aborted > 0)
		job->late_starts++, world.late_starts++;
	if (job->bad)
		world_broken("accepted", "%s cannot run and begins", job->run.ref);
}

void world_check_left(struct world_job *job, uint32_t index) { job->on[index]--; }

static void check_cancelled_tasks(void)
{
	for (int i = 0; i < world.n_machines; i++) {
		struct world_machine *m = &world.machine[i];
		/* A machine that stands still ends its tasks before it goes on. */
		bool lapsed = m->hung && fl_now() > m->lease_from + world.lease_s;

		for (int k = 0; k < m->n_tasks && !m->gone && !lapsed; k++) {
			struct world_task *t = &m->task[k];

			if (!t->used || !t->counted || !overdue(t->job) || t->job->said_overdue)
				continue;
			world_broken("ran_cancelled",
			             "%s/%u is on %s, %.1f s after its user was told",
			             t->job->run.ref, t->part.index, m->name,
			             fl_now() - t->job->told_aborted);
			t->job->said_overdue = true;
		}
	}
}

/* ---- what users are told ---- */

static bool all_completed(const struct world_job *job)
{
	for (uint32_t i = 0; i < job->run.parts; i++)
		if (!job->completed[i])
			return false;
	return job->run.kind != FL_STANDING;
}

/* Only an answer to a question asked after it shows that something was taken back. */
static void told(struct world_job *job, double sent, const char *body, const char *how)
{
	cJSON *o = fl_json_parse(body, strlen(body));
	char status[32] = "", ref[FL_REF_MAX] = "";
	bool aborted, done;

	fl_json_str(o, "Status", status, sizeof(status));
	fl_json_str(o, "Ref", ref, sizeof(ref));
	cJSON_Delete(o);
	aborted = strcmp(status, "aborted") == 0;
	done = strcmp(status, "done") == 0;
	if (strcmp(ref, job->run.ref) != 0)
		world_broken("answer", "%s of %s tells of '%s'", how, job->run.ref, ref);
	if (job->told_done > 0 && sent > job->told_done && !done)
		world_broken("went_back", "%s was done and is '%s' (%s)", job->run.ref, status,
		             how);
	if (job->told_aborted > 0 && sent > job->told_aborted && !aborted)
		world_broken("went_back", "%s was aborted and is '%s' (%s)", job->run.ref, status,
		             how);
	if (aborted && job->cancel_sent == 0)
		world_broken("went_back", "%s is aborted and nobody cancelled it", job->run.ref);
	if (done && !all_completed(job))
		world_broken("not_done", "%s is called done (%s)", job->run.ref, how);
	if (aborted && job->told_aborted == 0)
		job->told_aborted = fl_now();
	if (done && job->told_done == 0)
		job->told_done = fl_now();
}

void world_check_submitted(struct world_job *job, double sent, int status, const char *body)
{
	if (status == 200 || status == 201) {
		if (job->bad)
			world_broken("accepted", "%s cannot run or lacks a field", job->run.ref);
		if (job->accepted > 0 && status == 201 && sent > job->accepted)
			world_broken("went_back", "%s is accepted anew", job->run.ref);
		if (job->accepted == 0)
			job->accepted = job->answered = fl_now();
		told(job, sent, body, "submission");
	} else if (status == 400 || status == 422) {
		if (job->accepted > 0)
			world_broken("forgotten", "%s: repeated, and %d", job->run.ref, status);
		else if (!job->bad)
			world_broken("refused", "%s: %d %s", job->run.ref, status, body);
		job->refused = fl_now();
	}
}

void world_check_polled(struct world_job *job, double sent, int status, const char *body)
{
	if (status == 404 && sent > job->accepted)
		world_broken("forgotten", "%s: 404", job->run.ref);
	if (status != 200)
		return;
	job->answered = fl_now();
	told(job, sent, body, "poll");
}

void world_check_cancelled(struct world_job *job, double sent, int status, const char *body)
{
	if (status == 404)
		world_broken("forgotten", "%s: cancelled, and 404", job->run.ref);
	if (status == 200)
		told(job, sent, body, "cancel");
}

/* ---- names that belong to one process ---- */

void world_check_epoch(uint64_t epoch, int process)
{
	for (int i = 0; i < seen.n_epochs; i++)
		if (seen.epoch[i] == epoch) {
			if (seen.epoch_by[i] != process)
				world_broken("epoch", "%llu is used by two processes",
				             (unsigned long long)epoch);
			return;
		}
	if (seen.n_epochs == NAMES)
		return;
	seen.epoch[seen.n_epochs] = epoch;
	seen.epoch_by[seen.n_epochs++] = process;
}

void world_check_rental(const char *name, int process)
{
	for (int i = 0; i < seen.n_rentals; i++)
		if (strcmp(seen.rental[i], name) == 0) {
			if (seen.rental_by[i] != process)
				world_broken("rental", "%s is used by two processes", name);
			return;
		}
	if (seen.n_rentals == NAMES)
		return;
	snprintf(seen.rental[seen.n_rentals], sizeof(seen.rental[0]), "%s", name);
	seen.rental_by[seen.n_rentals++] = process;
}

/* ---- once the troubles are over ---- */

static bool has_room(const struct world_machine *m, const struct world_job *job)
{
	const struct world_host_kind *k = &world_kinds[m->kind];
	double cpus = job->run.cpus, gpus = job->run.gpus, ram = job->run.ram_gb;

	if (!m->up || m->gone || m->hung || m->reclaim_at > 0 || misplaced(job, m))
		return false;
	for (int i = 0; i < m->n_tasks; i++)
		if (m->task[i].used && m->task[i].part.state != FL_ENDED) {
			cpus += m->task[i].job->run.cpus;
			gpus += m->task[i].job->run.gpus;
			ram += m->task[i].job->run.ram_gb;
		}
	return cpus <= k->cpus && gpus <= k->gpus && ram <= k->ram_gb;
}

static bool waits_beside_room(const struct world_job *job)
{
	const struct world_team *team = team_of(job);
	double cpus, gpus;

	if (job->accepted == 0 || job->bad || job->cancelling || all_completed(job))
		return false;
	for (uint32_t k = 0; k < job->run.parts; k++)
		if (job->on[k] > 0)
			return false;
	team_use(team, &cpus, &gpus);
	if (cpus + job->run.cpus > team->cpus_max || gpus + job->run.gpus > team->gpus_max)
		return false;
	for (int i = 0; i < world.n_machines; i++)
		if (has_room(&world.machine[i], job))
			return true;
	return false;
}

static void check_waiting(void)
{
	for (int i = 0; i < world.n_jobs; i++) {
		struct world_job *job = &world.job[i];

		if (world_time() < world.calm_s || !waits_beside_room(job))
			job->waits_since = fl_now();
		else if (fl_now() > job->waits_since + rule.wait_s && !job->said_waiting) {
			world_broken("waiting", "%s waits beside room", job->run.ref);
			job->said_waiting = true;
		}
	}
}

static void check_duty(void *arg)
{
	(void)arg;
	while (fl_sleep(rule.round_s) == 0) {
		check_cancelled_tasks();
		check_waiting();
	}
}

void world_check_begin(void)
{
	memset(&seen, 0, sizeof(seen));
	world_spawn(0, check_duty, NULL);
}

void world_check_end(void)
{
	for (int i = 0; i < world.n_jobs; i++) {
		const struct world_job *job = &world.job[i];
		double since = world.begin + world.calm_s;

		if (job->answered > since)
			since = job->answered;
		if (job->accepted > 0 && fl_now() > since + rule.forget_s)
			world_broken("forgotten", "%s: no answer for %.0f s", job->run.ref,
			             fl_now() - since);
	}
	if (world.starts == 0)
		world_broken("nothing_ran", "no task was started");
}
