#include "coordination/pass.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/command.h"
#include "coordination/reachability.h"
#include "coordination/node.h"
#include "coordination/schedule.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double gap_s, most_s, share, budget_s;
	int waiting_most;
	double fresh_reports, forget_s, reservation_s;
} tunables = {
	.gap_s = 0.1,         /* s between two passes at least: many reports, one pass */
	.most_s = 1.0,        /* s between two passes at most */
	.share = 0.1,         /* of the time for passes at most, however slow this controller is */
	.budget_s = 0.03,     /* s of a pass before it stops and goes on next time */
	.waiting_most = 256,  /* tasks of one job looked at in one pass */
	.fresh_reports = 3,   /* report intervals after which a silent machine gets no new task */
	.forget_s = 40.0,     /* s; finished entries wait this long for a higher epoch */
	.reservation_s = 3.0, /* s for which room is kept for whom something was stopped there */
};

struct snapshot {
	struct fl_sched_in in;
	struct fl_job **jobs;
	struct fl_machine **machines;
	struct fl_slot *runs;
	double until;
};

static uint32_t count_startable(struct fl_job *job, double now)
{
	uint32_t most = job->kind == FL_GANG ? job->n_tasks : (uint32_t)tunables.waiting_most;
	uint32_t at = 0, count = 0;

	if (job->not_before > now)
		return 0;
	/* A gang starts only whole: all that is not done, and none of it anywhere yet. */
	if (job->kind == FL_GANG && job->n_placed > 0)
		return 0;
	while (count < most && (at = fl_task_next_waiting(job, at, now)) < job->n_tasks) {
		count++;
		at++;
	}
	return job->kind == FL_GANG && count < job->n_waiting ? 0 : count;
}

/* Urgent work and services count by their priority alone. */
static bool is_background(const struct fl_node *n, const struct fl_job *job)
{
	return n->n_expected_classes > 0 && job->job_class >= n->n_expected_classes &&
	       job->kind == FL_ARRAY && job->priority < FL_URGENT;
}

static void snap_job(const struct fl_node *n, struct snapshot *s, struct fl_job *job, double now,
                     double wall)
{
	struct fl_sched_job *j = &s->in.jobs[s->in.n_jobs];

	memset(j, 0, sizeof(*j));
	j->waiting = count_startable(job, now);
	if (j->waiting == 0)
		return;
	j->priority = job->priority;
	j->service = job->kind == FL_SERVICE;
	j->gang = job->kind == FL_GANG;
	j->team = job->team;
	j->waited_s = wall - job->submitted;
	j->est_s = job->expected_s;
	j->cpus = job->cpus;
	j->gpus = job->gpus;
	j->ram_gb = job->ram_gb;
	j->image_gb = job->image_gb;
	j->n_tasks = job->n_tasks;
	j->types = job->types;
	j->zone = job->zone;
	j->together = job->together;
	j->apart = job->apart;
	j->reclaimable = job->reclaimable;
	memcpy(j->zone_placed, job->zone_placed, sizeof(j->zone_placed));
	j->zone_unknown = job->zone_unknown;
	j->image = job->image;
	j->within_guarantee = job->within_guarantee;
	j->background = is_background(n, job);
	j->begun = job->n_placed > 0 || job->n_done > 0;
	j->window_left = job->window_until > 0 ? fmax(0, job->window_until - now) : -1;
	s->jobs[s->in.n_jobs++] = job;
}

static bool usable(const struct fl_node *n, const struct fl_machine *m, double now)
{
	return m && m->up && m->described && !m->deleting && !m->gone && m->foreign == 0 &&
	       m->reclaim_at == 0 && m->avoid_until <= now &&
	       now - m->reached < tunables.fresh_reports * n->config->report_s &&
	       !fl_reachability_doubted(m);
}

static double estimated_left(const struct fl_job *job, const struct fl_task *t, double now)
{
	double est = job->expected_s > 0 ? job->expected_s : fl_sched_defaults.default_est_s;

	if (job->kind == FL_SERVICE)
		return INFINITY;
	if (t->observed == FL_OBSERVED_RUNNING || t->observed == FL_OBSERVED_FLUSHING)
		est -= now - t->since;
	/* Past its estimate: it counts as ending by the next pass. */
	return fmax(est, tunables.most_s);
}

static void snap_run(struct snapshot *s, int at, const struct fl_slot *slot, double now,
                     double wall)
{
	struct fl_sched_run *r = &s->in.runs[s->in.n_runs];
	struct fl_job *job = slot->job;
	const struct fl_task *t = fl_task_peek(job, slot->index);

	memset(r, 0, sizeof(*r));
	r->machine = at;
	r->team = job->team;
	r->priority = job->priority;
	r->service = job->kind == FL_SERVICE;
	r->stopping = job->cancelled || t->stop != FL_STOP_NONE;
	r->movable = !r->stopping;
	r->within_guarantee = job->within_guarantee;
	r->cpus = job->cpus;
	r->gpus = job->gpus;
	r->ram_gb = job->ram_gb;
	r->left_s = estimated_left(job, t, now);
	r->lost_s = t->observed == FL_OBSERVED_RUNNING ? now - t->since : 0;
	if (job->checkpoint_every_s > 0)
		r->lost_s = fmin(r->lost_s, job->checkpoint_cost_s);
	r->last_running_task = job->kind != FL_SERVICE && job->n_placed == 1 &&
	                       wall - job->submitted > s->in.params->patience_s;
	s->runs[s->in.n_runs++] = *slot;
}

static bool late(void *ctx)
{
	const struct snapshot *s = ctx;

	return fl_now() > s->until;
}

static int by_submission(const void *pa, const void *pb)
{
	const struct fl_job *a = *(struct fl_job *const *)pa, *b = *(struct fl_job *const *)pb;

	if (a->submitted != b->submitted)
		return a->submitted < b->submitted ? -1 : 1;
	return strcmp(a->ref, b->ref);
}

/* Which jobs fit their team's guarantee together with the team's earlier ones not yet over. */
static void mark_within_guarantee(struct fl_cluster *b, struct fl_job **scratch)
{
	double cpus[FL_TEAMS_MAX] = {0}, gpus[FL_TEAMS_MAX] = {0};
	struct fl_job *job, *tmp;
	size_t n = 0;

	HASH_ITER (hh, b->jobs, job, tmp)
		if (!job->cancelled)
			scratch[n++] = job;
	qsort(scratch, n, sizeof(*scratch), by_submission);
	for (size_t i = 0; i < n; i++) {
		job = scratch[i];
		cpus[job->team] += job->cpus * job->n_tasks;
		gpus[job->team] += job->gpus * job->n_tasks;
		job->within_guarantee = fl_team_within_guarantee(&b->teams.at[job->team],
		                                                 cpus[job->team], gpus[job->team]);
	}
}

/*
 * A stopped task is gone when its machine says so, some passes later, and until then the job may
 * preemption elsewhere, where something looks better meanwhile. Found in the simulated fault
 * combinations: the room then went to what had been stopped, which was stopped again, every second
 * for minutes.
 */
static struct fl_reservation reservation_of(const struct fl_machine *m, double now)
{
	if (m->reserved_at <= 0 || now > m->reserved_at + tunables.reservation_s)
		return (struct fl_reservation){0};
	return (struct fl_reservation){.made = true,
	                               .within_guarantee = m->reserved_within_guarantee,
	                               .priority = (enum fl_priority)m->reserved_priority,
	                               .cpus = m->reserved_cpus,
	                               .gpus = m->reserved_gpus,
	                               .ram_gb = m->reserved_ram};
}

static void note_reservations(const struct snapshot *s, double now)
{
	for (int i = 0; i < s->in.n_machines; i++) {
		const struct fl_reservation *c = &s->in.machines[i].requested;

		/* A lower job that counts on the rest of the room takes nothing from a reservation.
		 */
		if (!c->made || (s->in.machines[i].reserved.made &&
		                 s->in.machines[i].reserved.priority > c->priority))
			continue;
		s->machines[i]->reserved_at = now;
		s->machines[i]->reserved_within_guarantee = c->within_guarantee;
		s->machines[i]->reserved_priority = (uint8_t)c->priority;
		s->machines[i]->reserved_cpus = c->cpus;
		s->machines[i]->reserved_gpus = c->gpus;
		s->machines[i]->reserved_ram = c->ram_gb;
	}
}

static int take_snapshot(struct fl_node *n, struct snapshot *s, double now)
{
	struct fl_cluster *b = &n->cluster;
	size_t n_jobs = HASH_COUNT(b->jobs) + 1, n_machines = (size_t)b->machines.n + 1, n_runs = 1;
	double wall = fl_wall();
	struct fl_job *job, *tmp;

	memset(s, 0, sizeof(*s));
	for (int i = 0; i < b->machines.n; i++)
		n_runs += (size_t)b->machines.at[i]->n_slots;
	s->jobs = malloc(n_jobs * sizeof(*s->jobs));
	s->machines = malloc(n_machines * sizeof(*s->machines));
	s->runs = malloc(n_runs * sizeof(*s->runs));
	s->in.jobs = malloc(n_jobs * sizeof(*s->in.jobs));
	s->in.machines = malloc(n_machines * sizeof(*s->in.machines));
	s->in.runs = malloc(n_runs * sizeof(*s->in.runs));
	s->in.teams = malloc(sizeof(b->teams.at));
	if (!s->jobs || !s->machines || !s->runs || !s->in.jobs || !s->in.machines || !s->in.runs ||
	    !s->in.teams)
		return -ENOMEM;
	s->in.params = &fl_sched_defaults;
	memcpy(s->in.teams, b->teams.at, sizeof(b->teams.at));
	mark_within_guarantee(b, s->jobs);
	HASH_ITER (hh, b->jobs, job, tmp)
		if (!job->cancelled && job->n_waiting > 0)
			snap_job(n, s, job, now, wall);
	for (int i = 0; i < b->machines.n; i++) {
		struct fl_machine *m = b->machines.at[i];
		const struct fl_machine_type *k;
		struct fl_sched_machine *sm;

		if (!usable(n, m, now))
			continue;
		k = &b->machines.types[m->type];
		sm = &s->in.machines[s->in.n_machines];
		*sm = (struct fl_sched_machine){.type = m->type,
		                                .zone = m->zone,
		                                .spot = m->spot,
		                                .reserved = reservation_of(m, now),
		                                .cpus = k->cpus - m->used_cpus,
		                                .gpus = k->gpus - m->used_gpus,
		                                .ram_gb = k->ram_gb - m->used_ram,
		                                .pull_gb_s = k->pull_gb_s,
		                                .cache = m->cache};
		for (int k2 = 0; k2 < m->n_slots; k2++) {
			snap_run(s, s->in.n_machines, &m->slots[k2], now, wall);
			sm->held = sm->held || m->slots[k2].job->kind == FL_SERVICE;
		}
		s->machines[s->in.n_machines++] = m;
	}
	s->in.spot_loss = fl_provision_spot_loss(n);
	s->in.resume = n->lead.resume;
	s->in.out_of_time = late;
	s->in.ctx = s;
	s->until = now + tunables.budget_s;
	return 0;
}

static void free_snapshot(struct snapshot *s)
{
	free(s->jobs);
	free(s->machines);
	free(s->runs);
	free(s->in.jobs);
	free(s->in.machines);
	free(s->in.runs);
	free(s->in.teams);
}

static void apply(struct fl_node *n, struct snapshot *s, const struct fl_sched_out *out, double now)
{
	for (int i = 0; i < out->n_starts; i++) {
		struct fl_job *job = s->jobs[out->starts[i].job];
		struct fl_machine *m = s->machines[out->starts[i].machine];
		uint32_t index = fl_task_next_waiting(job, 0, now);

		if (index >= job->n_tasks ||
		    fl_task_place(&n->cluster, job, index, m, n->lease.epoch, now) != 0)
			continue;
		fl_machine_note_image(m, job->image);
		/* What it was reserved for has come; who still waits requests it again in each
		 * pass. */
		if ((uint8_t)job->priority >= m->reserved_priority)
			m->reserved_at = 0;
		job->window_until = 0;
		m->want_push = true;
		fl_info("schedule", "%s/%u try %u on %s", job->ref, index,
		        fl_task_peek(job, index)->attempt, m->name);
	}
	for (int i = 0; i < out->n_stops; i++) {
		struct fl_job *job = s->runs[out->stops[i]].job;
		uint32_t index = s->runs[out->stops[i]].index;
		struct fl_task *t = fl_task_peek(job, index);

		t->stop = FL_STOP_PREEMPT;
		fl_info("schedule", "%s/%u is stopped to make room", job->ref, index);
		fl_command_push(n, n->cluster.machines.at[t->machine]);
	}
	if (out->top >= 0 && out->window_s < INFINITY) {
		struct fl_job *top = s->jobs[out->top];

		if (top->window_until <= 0)
			top->window_until = now + out->window_s;
	}
}

static void pass(struct fl_node *n)
{
	double now = fl_now();
	struct fl_sched_out out = {0};
	struct snapshot s;

	n->lead.due = false;
	if (take_snapshot(n, &s, now) != 0)
		goto out;
	if (fl_schedule(&s.in, &out) != 0) {
		fl_error("schedule", "a pass failed for want of memory");
		goto out;
	}
	n->lead.resume = out.resume;
	if (out.resume)
		n->lead.due = true;
	apply(n, &s, &out, now);
	note_reservations(&s, now);
	fl_provision_shortage(n, s.jobs, out.short_of, s.in.n_jobs);
	n->lead.passes++;
	fl_debug("schedule", "pass %llu: %d jobs, %d machines, %d starts, %d stops, %.1f ms%s",
	         (unsigned long long)n->lead.passes, s.in.n_jobs, s.in.n_machines, out.n_starts,
	         out.n_stops, (fl_now() - now) * 1000, out.resume ? ", to be continued" : "");
	if (n->cluster.dirty)
		fl_signal_wake(&n->lead.dirty);
out:
	fl_sched_free(&out);
	free_snapshot(&s);
}

static void drain_reclaimed(struct fl_node *n)
{
	for (int i = 0; i < n->cluster.machines.n; i++) {
		struct fl_machine *m = n->cluster.machines.at[i];

		if (m->gone || m->reclaim_at == 0)
			continue;
		for (int k = 0; k < m->n_slots; k++) {
			struct fl_job *job = m->slots[k].job;
			struct fl_task *t = fl_task_peek(job, m->slots[k].index);

			if (t->stop != FL_STOP_NONE || job->cancelled)
				continue;
			/* What cannot save runs on: it may yet end before the machine goes. */
			if (job->kind == FL_SERVICE || job->checkpoint_every_s > 0) {
				t->stop = FL_STOP_DRAIN;
				fl_command_push(n, m);
			}
		}
	}
}

/* A gang that lost a task cannot go on: the rest is stopped, and it starts again whole. */
static void stop_broken_gangs(struct fl_node *n)
{
	for (int i = 0; i < n->cluster.machines.n; i++) {
		struct fl_machine *m = n->cluster.machines.at[i];

		for (int k = 0; k < m->n_slots; k++) {
			struct fl_job *job = m->slots[k].job;
			struct fl_task *t = fl_task_peek(job, m->slots[k].index);

			if (job->kind != FL_GANG || job->n_waiting == 0 || t->stop != FL_STOP_NONE)
				continue;
			t->stop = FL_STOP_DRAIN;
			fl_command_push(n, m);
		}
	}
}

/* A slow controller passes seldom rather than leave workers and users unanswered. */
static double gap_after(double took)
{
	return fmin(tunables.most_s, fmax(tunables.gap_s, took / tunables.share));
}

void fl_pass_duty(void *arg)
{
	struct fl_node *n = arg;
	double last = 0, gap = tunables.gap_s;

	while (!fl_cancelled()) {
		double wait = n->lead.due ? tunables.gap_s : tunables.most_s;

		if (fl_signal_wait(&n->lead.work, wait) == -ECANCELED)
			break;
		if (fl_now() < last + gap && fl_sleep(last + gap - fl_now()) != 0)
			break;
		if (!fl_leading(n))
			continue;
		last = fl_now();
		drain_reclaimed(n);
		stop_broken_gangs(n);
		pass(n);
		gap = gap_after(fl_now() - last);
		if (n->cluster.dirty)
			fl_signal_wake(&n->lead.dirty);
		if (n->lead.unforgotten > 0 && last > n->lease.raised_at + tunables.forget_s)
			n->lease.want_epoch = true;
		n->lead.unforgotten = 0;
	}
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
}
