#include "coordination/leader.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/hearing.h"
#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "coordination/schedule.h"
#include "coordination/takeover.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double pass_gap_s;    /* s between two passes at least: many reports, one pass */
	double pass_most_s;   /* s between two passes at most */
	double pass_budget_s; /* s of a pass before it stops and goes on next time */
	int waiting_most;     /* tasks of one job looked at in one pass */
	double fresh_reports; /* report intervals after which a silent machine gets no new task */
	double write_share;  /* share of the state service's writes that the leader's records use */
	double retry_s;      /* s after a refused write */
	int pushes;          /* direct commands under way at once */
	double push_wait_s;  /* s for a direct command */
	double hold_s;       /* s; length of a watch */
	double forget_s;     /* s; finished entries wait this long for a higher epoch */
	double cancel_share; /* share of cancel_s after which a machine is given up for a task */
	double batch_bytes;  /* bytes of records in one transaction, of 64 KiB */
} choice = {0.1, 1.0, 0.03, 256, 3, 0.7, 0.2, 24, 2.0, 10.0, 40.0, 0.45, 40000};

static bool leading(const struct fl_node *n) { return n->lead.active && fl_lease_valid(n); }

/* ---- passes ---- */

struct snapshot {
	struct fl_sched_in in;
	struct fl_job **jobs;
	struct fl_machine **machines;
	struct fl_slot *runs;
	double until;
};

static uint32_t count_startable(struct fl_job *job, double now)
{
	uint32_t most = job->kind == FL_ENSEMBLE ? job->parts : (uint32_t)choice.waiting_most;
	uint32_t at = 0, count = 0;

	if (job->not_before > now)
		return 0;
	/* An ensemble starts only whole: all that is not done, and none of it anywhere yet. */
	if (job->kind == FL_ENSEMBLE && job->n_placed > 0)
		return 0;
	while (count < most && (at = fl_task_next_waiting(job, at, now)) < job->parts) {
		count++;
		at++;
	}
	return job->kind == FL_ENSEMBLE && count < job->n_waiting ? 0 : count;
}

static void snap_job(struct snapshot *s, struct fl_job *job, double now, double wall)
{
	struct fl_sched_job *j = &s->in.jobs[s->in.n_jobs];

	memset(j, 0, sizeof(*j));
	j->waiting = count_startable(job, now);
	if (j->waiting == 0)
		return;
	j->tier = job->tier;
	j->standing = job->kind == FL_STANDING;
	j->whole = job->kind == FL_ENSEMBLE;
	j->team = job->owner;
	j->waited_s = wall - job->submitted;
	j->est_s = job->expected_s;
	j->cpus = job->cpus;
	j->gpus = job->gpus;
	j->ram_gb = job->ram_gb;
	j->image_gb = job->image_gb;
	j->parts = job->parts;
	j->kinds = job->kinds;
	j->site = job->site;
	j->together = job->together;
	j->apart = job->apart;
	j->reclaimable = job->reclaimable;
	memcpy(j->zone_placed, job->zone_placed, sizeof(j->zone_placed));
	j->zone_unknown = job->zone_unknown;
	j->bundle = job->bundle;
	j->owed = job->owed;
	j->window_left = job->window_until > 0 ? fmax(0, job->window_until - now) : -1;
	s->jobs[s->in.n_jobs++] = job;
}

static bool usable(const struct fl_node *n, const struct fl_machine *m, double now)
{
	return m && m->up && m->described && !m->deleting && !m->gone && m->foreign == 0 &&
	       m->reclaim_at == 0 && m->avoid_until <= now &&
	       now - m->reached < choice.fresh_reports * n->config->report_s &&
	       !fl_hearing_doubted(m);
}

static double estimated_left(const struct fl_job *job, const struct fl_task *t, double now)
{
	double est = job->expected_s > 0 ? job->expected_s : fl_sched_defaults.default_est_s;

	if (job->kind == FL_STANDING)
		return INFINITY;
	if (t->sight == FL_SEEN_RUNNING || t->sight == FL_SEEN_FLUSHING)
		est -= now - t->since;
	/* Past its estimate: it counts as ending by the next pass. */
	return fmax(est, choice.pass_most_s);
}

static void snap_run(struct snapshot *s, int at, const struct fl_slot *slot, double now)
{
	struct fl_sched_run *r = &s->in.runs[s->in.n_runs];
	struct fl_job *job = slot->job;
	const struct fl_task *t = fl_task_peek(job, slot->index);

	memset(r, 0, sizeof(*r));
	r->machine = at;
	r->team = job->owner;
	r->tier = job->tier;
	r->standing = job->kind == FL_STANDING;
	r->stopping = job->aborted || t->stop != FL_STOP_NONE;
	r->movable = !r->stopping;
	r->cpus = job->cpus;
	r->gpus = job->gpus;
	r->ram_gb = job->ram_gb;
	r->left_s = estimated_left(job, t, now);
	r->lost_s = t->sight == FL_SEEN_RUNNING ? now - t->since : 0;
	if (job->snapshot_every_s > 0)
		r->lost_s = fmin(r->lost_s, job->snapshot_cost_s);
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
static void mark_owed(struct fl_books *b, struct fl_job **scratch)
{
	double cpus[FL_TEAMS_MAX] = {0}, gpus[FL_TEAMS_MAX] = {0};
	struct fl_job *job, *tmp;
	size_t n = 0;

	HASH_ITER (hh, b->jobs, job, tmp)
		if (!job->aborted)
			scratch[n++] = job;
	qsort(scratch, n, sizeof(*scratch), by_submission);
	for (size_t i = 0; i < n; i++) {
		job = scratch[i];
		cpus[job->owner] += job->cpus * job->parts;
		gpus[job->owner] += job->gpus * job->parts;
		job->owed = fl_team_within_guarantee(&b->teams.at[job->owner], cpus[job->owner],
		                                     gpus[job->owner]);
	}
}

static int take_snapshot(struct fl_node *n, struct snapshot *s, double now)
{
	struct fl_books *b = &n->books;
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
	mark_owed(b, s->jobs);
	HASH_ITER (hh, b->jobs, job, tmp)
		if (!job->aborted && job->n_waiting > 0)
			snap_job(s, job, now, wall);
	for (int i = 0; i < b->machines.n; i++) {
		struct fl_machine *m = b->machines.at[i];
		const struct fl_kind *k;
		struct fl_sched_machine *sm;

		if (!usable(n, m, now))
			continue;
		k = &b->machines.kinds[m->kind];
		sm = &s->in.machines[s->in.n_machines];
		*sm = (struct fl_sched_machine){.kind = m->kind,
		                                .zone = m->zone,
		                                .spot = m->spot,
		                                .cpus = k->cpus - m->used_cpus,
		                                .gpus = k->gpus - m->used_gpus,
		                                .ram_gb = k->ram_gb - m->used_ram,
		                                .pull_gb_s = k->pull_gb_s,
		                                .cache = m->cache};
		for (int k2 = 0; k2 < m->n_slots; k2++) {
			snap_run(s, s->in.n_machines, &m->slots[k2], now);
			sm->held = sm->held || m->slots[k2].job->kind == FL_STANDING;
		}
		s->machines[s->in.n_machines++] = m;
	}
	s->in.resume = n->lead.resume;
	s->in.out_of_time = late;
	s->in.ctx = s;
	s->until = now + choice.pass_budget_s;
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

		if (index >= job->parts ||
		    fl_task_place(&n->books, job, index, m, n->lease.epoch, now) != 0)
			continue;
		fl_machine_note_bundle(m, job->bundle);
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
		fl_leader_push(n, n->books.machines.at[t->machine]);
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
	fl_provision_shortage(n, s.jobs, out.short_of, s.in.n_jobs);
	n->lead.passes++;
	fl_debug("schedule", "pass %llu: %d jobs, %d machines, %d starts, %d stops, %.1f ms%s",
	         (unsigned long long)n->lead.passes, s.in.n_jobs, s.in.n_machines, out.n_starts,
	         out.n_stops, (fl_now() - now) * 1000, out.resume ? ", to be continued" : "");
	if (n->books.dirty)
		fl_signal_wake(&n->lead.dirty);
out:
	fl_sched_free(&out);
	free_snapshot(&s);
}

static void drain_reclaimed(struct fl_node *n)
{
	for (int i = 0; i < n->books.machines.n; i++) {
		struct fl_machine *m = n->books.machines.at[i];

		if (m->gone || m->reclaim_at == 0)
			continue;
		for (int k = 0; k < m->n_slots; k++) {
			struct fl_job *job = m->slots[k].job;
			struct fl_task *t = fl_task_peek(job, m->slots[k].index);

			if (t->stop != FL_STOP_NONE || job->aborted)
				continue;
			/* What cannot save runs on: it may yet end before the machine goes. */
			if (job->kind == FL_STANDING || job->snapshot_every_s > 0) {
				t->stop = FL_STOP_DRAIN;
				fl_leader_push(n, m);
			}
		}
	}
}

/* An ensemble that lost a part cannot go on: the rest is stopped, and it starts again whole. */
static void stop_broken_ensembles(struct fl_node *n)
{
	for (int i = 0; i < n->books.machines.n; i++) {
		struct fl_machine *m = n->books.machines.at[i];

		for (int k = 0; k < m->n_slots; k++) {
			struct fl_job *job = m->slots[k].job;
			struct fl_task *t = fl_task_peek(job, m->slots[k].index);

			if (job->kind != FL_ENSEMBLE || job->n_waiting == 0 ||
			    t->stop != FL_STOP_NONE)
				continue;
			t->stop = FL_STOP_DRAIN;
			fl_leader_push(n, m);
		}
	}
}

static void pass_duty(void *arg)
{
	struct fl_node *n = arg;
	double last = 0;

	while (!fl_cancelled()) {
		double wait = n->lead.due ? choice.pass_gap_s : choice.pass_most_s;

		if (fl_signal_wait(&n->lead.work, wait) == -ECANCELED)
			break;
		if (fl_now() < last + choice.pass_gap_s &&
		    fl_sleep(last + choice.pass_gap_s - fl_now()) != 0)
			break;
		if (!leading(n))
			continue;
		last = fl_now();
		drain_reclaimed(n);
		stop_broken_ensembles(n);
		pass(n);
		if (n->books.dirty)
			fl_signal_wake(&n->lead.dirty);
		if (n->lead.unforgotten > 0 && last > n->lease.raised_at + choice.forget_s)
			n->lease.want_epoch = true;
		n->lead.unforgotten = 0;
	}
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
}

/* ---- direct commands ---- */

struct push {
	struct fl_node *n;
	struct fl_machine *m;
};

static void push_once(struct fl_node *n, struct fl_machine *m)
{
	struct fl_orders orders;
	struct fl_report r;
	char *body;
	int rc;

	m->want_push = false;
	if (!leading(n) || !m->up || m->gone || !m->endpoint[0])
		return;
	fl_orders_init(&orders, n->lease.epoch);
	fl_orders_tenure(&orders, m->tenure);
	if (!fl_reconcile_direct(n, m, &orders)) {
		cJSON_Delete(orders.root);
		return;
	}
	body = fl_orders_take(&orders);
	rc = fl_worker_command(m->endpoint, body, choice.push_wait_s, &r);
	free(body);
	if (rc == 200 || rc == 409) {
		if (leading(n))
			fl_reconcile_report(n, &r, NULL, FL_WAY_COMMAND);
		fl_report_free(&r);
	}
}

static void push_routine(void *arg)
{
	struct push *p = arg;
	struct fl_node *n = p->n;

	while (p->m->want_push && !fl_cancelled())
		push_once(n, p->m);
	p->m->pushing = false;
	n->lead.pushes--;
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
	free(p);
}

void fl_leader_push(struct fl_node *n, struct fl_machine *m)
{
	struct push *p;

	m->want_push = true;
	if (m->pushing || n->lead.pushes >= choice.pushes)
		return; /* the worker's next report brings the orders all the same */
	p = malloc(sizeof(*p));
	if (!p)
		return;
	*p = (struct push){n, m};
	if (!fl_spawn(push_routine, p)) {
		free(p);
		return;
	}
	m->pushing = true;
	n->lead.pushes++;
	n->lead.running++;
}

static void push_placed(struct fl_node *n)
{
	for (int i = 0; i < n->books.machines.n; i++) {
		struct fl_machine *m = n->books.machines.at[i];

		if (m->want_push && m->up && !m->gone)
			fl_leader_push(n, m);
	}
}

/* ---- records ---- */

static void stop_everywhere(struct fl_node *n, struct fl_job *job)
{
	job->aborted = true;
	job->aborted_at = fl_now();
	for (int i = 0; i < n->books.machines.n; i++) {
		struct fl_machine *m = n->books.machines.at[i];

		for (int k = 0; k < m->n_slots; k++) {
			if (m->slots[k].job == job) {
				fl_leader_push(n, m);
				break;
			}
		}
	}
	if (!job->queued_dirty) {
		job->queued_dirty = true;
		job->next_dirty = n->books.dirty;
		n->books.dirty = job;
	}
	fl_signal_wake(&n->lead.dirty);
	fl_signal_wake(&n->lead.work);
}

struct batch_item {
	struct fl_job *job;
	uint32_t chunk;
	uint64_t gen;
};

enum { BATCH_MAX = 128 };

/* A write of this record went unanswered or met another revision: read what stands. */
static int reread(struct fl_node *n, struct fl_job *job, uint32_t chunk)
{
	struct fl_chunk *c = job->chunks[chunk];
	char key[FL_KEY_MAX];
	uint64_t rev = 0;
	cJSON *v;
	int rc;

	fl_key_chunk(key, job->ref, chunk);
	rc = fl_state_get(&n->state, key, &v, &rev, NULL);
	cJSON_Delete(v);
	if (rc && rc != -ENOENT)
		return rc;
	c->rev = rc == -ENOENT ? 0 : rev;
	c->rev_unknown = false;
	return 0;
}

/*
 * A final write went unanswered: what do the records say? By ref, not by pointer: the job may be
 * gone when the answer comes. Only the writing routine may let go of it, so if it turns out to be
 * over it stays unsure, and `*over` is told.
 */
static int reread_job(struct fl_node *n, const char *ref, bool *over, enum fl_status *status)
{
	struct fl_job_record rec;
	struct fl_job *job;
	uint64_t rev = 0;
	cJSON *v = NULL;
	int rc = fl_ledger_read(&n->state, ref, &rec, &v, &rev);

	*over = rc == 0 && v == NULL;
	*status = rec.status;
	job = n->lead.active ? fl_job_find(&n->books, ref) : NULL;
	if (rc == 0 && v && job) {
		job->rev = rev;
		job->unsure = false;
		if (rec.final && !job->aborted) {
			fl_final_add(&n->books, ref, FL_ABORTED, job->parts);
			stop_everywhere(n, job);
		}
	}
	cJSON_Delete(v);
	return rc;
}

static int await_budget(struct fl_node *n, double ops)
{
	double wait;

	while ((wait = fl_budget_take(&n->lead.writes, ops, fl_now())) > 0)
		if (fl_sleep(wait) != 0)
			return -ECANCELED;
	return 0;
}

static bool is_over(const struct fl_job *job)
{
	return job->aborted ? job->n_placed == 0 : job->n_done == job->parts;
}

static bool has_record(const struct fl_chunk *c) { return c && (c->rev != 0 || c->rev_unknown); }

/* Writes the final state and removes the progress records, all at once if they are few. */
static int finalise(struct fl_node *n, struct fl_job *job)
{
	enum fl_status status;
	struct fl_multi m;
	char key[FL_KEY_MAX], failed[FL_KEY_MAX];
	uint64_t rev;
	bool done = false;
	uint32_t rest = 0; /* the first chunk whose record does not go with this write */
	int rc;

	if (job->unsure && (rc = reread_job(n, job->ref, &done, &status)) != 0)
		return rc;
	if (done) {
		fl_info("jobs", "%s is %s", job->ref, fl_status_name(status));
		fl_job_finalise(&n->books, job, status);
		return 0;
	}
	if (!is_over(job))
		return 0;
	status = job->aborted ? FL_ABORTED : FL_DONE;
	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	fl_key_job(key, job->ref);
	fl_multi_when(&m, key, job->rev);
	fl_multi_delete(&m, key);
	fl_key_final(key, job->ref);
	fl_multi_put(&m, key, fl_job_record_final(status, job->parts, NULL, 0), 0);
	for (; rest < job->n_chunks && m.n_apply < n->config->txn_ops; rest++) {
		if (!has_record(fl_job_chunk(job, rest)))
			continue;
		fl_key_chunk(key, job->ref, rest);
		fl_multi_delete(&m, key);
	}
	rc = await_budget(n, m.n_apply);
	if (rc || !leading(n)) {
		fl_multi_free(&m);
		return rc ? rc : -EAGAIN;
	}
	job->finishing = true;
	rc = fl_state_multi(&n->state, &m, &rev, failed);
	if (rc == 0) {
		for (; rest < job->n_chunks; rest++) {
			if (!has_record(fl_job_chunk(job, rest)))
				continue;
			fl_key_chunk(key, job->ref, rest);
			fl_leader_discard(n, key);
		}
		fl_info("jobs", "%s is %s", job->ref, fl_status_name(status));
		fl_job_finalise(&n->books, job, status);
		return 0;
	}
	job->finishing = false;
	job->unsure = rc != -EAGAIN;
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEAD) == 0)
		fl_lease_lost(n, "another leads");
	return rc;
}

static int collect(struct fl_node *n, struct fl_multi *m, struct batch_item *items, int *count)
{
	struct fl_job *job, *next;
	char key[FL_KEY_MAX];

	*count = 0;
	for (job = n->books.dirty; job; job = next) {
		next = job->next_dirty;
		for (uint32_t i = 0; i < job->n_chunks; i++) {
			struct fl_chunk *c = fl_job_chunk(job, i);

			if (!c || c->gen <= c->saved_gen)
				continue;
			if (*count >= n->config->txn_ops || *count >= BATCH_MAX ||
			    *count * n->config->value_kb * 1024 > choice.batch_bytes)
				return 0;
			if (c->rev_unknown)
				return 1; /* must be read first; the caller does so */
			fl_key_chunk(key, job->ref, i);
			fl_multi_when(m, key, c->rev);
			fl_multi_put(m, key, fl_chunk_encode(&n->books, job, i), 0);
			items[(*count)++] = (struct batch_item){job, i, c->gen};
		}
	}
	return 0;
}

static int reread_unknown(struct fl_node *n)
{
	for (struct fl_job *job = n->books.dirty; job; job = job->next_dirty)
		for (uint32_t i = 0; i < job->n_chunks; i++) {
			const struct fl_chunk *c = fl_job_chunk(job, i);

			if (c && c->rev_unknown)
				return reread(n, job, i);
		}
	return 0;
}

static int write_batch(struct fl_node *n)
{
	struct batch_item items[BATCH_MAX];
	char failed[FL_KEY_MAX];
	struct fl_multi m;
	uint64_t rev;
	int count, rc;

	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	rc = collect(n, &m, items, &count);
	if (rc || count == 0) {
		fl_multi_free(&m);
		return rc ? reread_unknown(n) : 0;
	}
	rc = await_budget(n, count);
	if (rc || !leading(n)) {
		fl_multi_free(&m);
		return rc ? rc : -EAGAIN;
	}
	rc = fl_state_multi(&n->state, &m, &rev, failed);
	for (int i = 0; i < count; i++) {
		struct fl_chunk *c = items[i].job->chunks[items[i].chunk];

		if (rc == 0) {
			c->saved_gen = items[i].gen;
			c->rev = rev;
		} else if (rc != -EAGAIN) {
			c->rev_unknown = true;
		}
	}
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEAD) == 0)
		fl_lease_lost(n, "another leads");
	return rc;
}

static void undirty(struct fl_node *n)
{
	struct fl_job **at = &n->books.dirty;

	while (*at) {
		struct fl_job *job = *at;
		bool dirty = false;

		for (uint32_t i = 0; i < job->n_chunks && !dirty; i++) {
			const struct fl_chunk *c = fl_job_chunk(job, i);

			dirty = c && c->gen > c->saved_gen;
		}
		if (dirty || is_over(job)) {
			at = &job->next_dirty;
		} else {
			*at = job->next_dirty;
			job->queued_dirty = false;
		}
	}
}

struct fl_trash {
	struct fl_trash *next;
	char key[FL_KEY_MAX];
};

void fl_leader_discard(struct fl_node *n, const char *key)
{
	struct fl_trash *t = malloc(sizeof(*t));

	if (!t)
		return; /* it costs a record's room, nothing else */
	strcpy(t->key, key);
	t->next = n->lead.trash;
	n->lead.trash = t;
}

static void free_trash(struct fl_node *n)
{
	while (n->lead.trash) {
		struct fl_trash *t = n->lead.trash;

		n->lead.trash = t->next;
		free(t);
	}
}

static int empty_trash(struct fl_node *n)
{
	struct fl_trash *t = n->lead.trash;
	struct fl_multi m;
	uint64_t rev;
	int rc;

	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	for (; t && m.n_apply < n->config->txn_ops; t = t->next)
		fl_multi_delete(&m, t->key);
	rc = await_budget(n, m.n_apply);
	if (rc || !leading(n)) {
		fl_multi_free(&m);
		return rc ? rc : -EAGAIN;
	}
	rc = fl_state_multi(&n->state, &m, &rev, NULL);
	while (rc == 0 && n->lead.trash != t) {
		struct fl_trash *gone = n->lead.trash;

		n->lead.trash = gone->next;
		free(gone);
	}
	return rc;
}

static int write_all(struct fl_node *n)
{
	struct fl_job *job, *next;
	int rc = write_batch(n);

	if (rc)
		return rc;
	push_placed(n);
	for (job = n->books.dirty; job; job = next) {
		next = job->next_dirty;
		if (is_over(job))
			return finalise(n, job);
	}
	undirty(n);
	return 0;
}

static void write_duty(void *arg)
{
	struct fl_node *n = arg;

	while (!fl_cancelled()) {
		if (!leading(n) || !n->books.dirty) {
			if (leading(n) && n->lead.trash)
				empty_trash(n);
			if (fl_signal_wait(&n->lead.dirty, 0.5) == -ECANCELED)
				break;
			continue;
		}
		if (write_all(n) != 0 && fl_sleep(choice.retry_s) != 0)
			break;
	}
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
}

/* ---- what other nodes kept and could not relay ---- */

static void on_kept(void *ctx, const struct fl_change *ch)
{
	struct fl_node *n = ctx;
	const cJSON *e;

	if (!ch->value || !leading(n))
		return;
	cJSON_ArrayForEach (e, fl_digest_reports(ch->value)) {
		struct fl_report r;

		if (fl_kept_decode(e, &r) != 0)
			continue;
		/* Heard of, but not to be reached: it is alive, and gets no new task. */
		fl_reconcile_report(n, &r, NULL, FL_WAY_HEARSAY);
		fl_report_free(&r);
	}
}

static void kept_duty(void *arg)
{
	struct fl_node *n = arg;
	uint64_t rev = 0;

	while (!fl_cancelled()) {
		int rc = rev == 0 ? fl_state_list(&n->state, FL_PREFIX_KEPT, on_kept, n, &rev)
		                  : fl_state_follow(&n->state, FL_PREFIX_KEPT, &rev, choice.hold_s,
		                                    on_kept, n);
		if (rc == -ERANGE)
			rev = 0;
		if (rc && fl_sleep(choice.retry_s) != 0)
			break;
	}
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
}

/* ---- cancelled jobs must be gone in time ---- */

static void enforce_duty(void *arg)
{
	struct fl_node *n = arg;

	while (fl_sleep(1.0) == 0) {
		double now = fl_now();

		if (!leading(n))
			continue;
		for (int i = 0; i < n->books.machines.n; i++) {
			struct fl_machine *m = n->books.machines.at[i];

			for (int k = 0; k < m->n_slots && !m->gone; k++) {
				struct fl_job *job = m->slots[k].job;

				if (!job->aborted)
					continue;
				if (now > job->aborted_at +
				                    choice.cancel_share * n->config->cancel_s &&
				    !m->deleting) {
					fl_info("workers", "%s does not let go of %s: returned",
					        m->name, job->ref);
					m->deleting = true;
				}
				fl_leader_push(n, m);
			}
		}
	}
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
}

/* ---- coming and going ---- */

static void duty(struct fl_node *n, void (*fn)(void *))
{
	struct fl_routine *r = fl_spawn(fn, n);

	if (!r) {
		fl_error("leader", "no room for a routine");
		return;
	}
	n->lead.duty[n->lead.n_duties++] = r;
	n->lead.running++;
}

void fl_leader_begin(struct fl_node *n)
{
	double rate = n->config->state_write_rps * choice.write_share;

	free_trash(n);
	memset(&n->lead, 0, sizeof(n->lead));
	if (fl_takeover_load(n) != 0 || !fl_lease_valid(n)) {
		fl_books_forget_tasks(&n->books);
		n->books.leading = false;
		return;
	}
	n->lead.first_epoch = n->lease.epoch;
	n->lead.since = fl_now();
	n->lead.active = true;
	n->lead.due = true;
	fl_budget_init(&n->lead.writes, rate, rate, fl_now());
	duty(n, pass_duty);
	duty(n, write_duty);
	duty(n, kept_duty);
	duty(n, enforce_duty);
	fl_provision_begin(n);
	duty(n, fl_provision_duty);
}

void fl_leader_end(struct fl_node *n)
{
	n->lead.active = false;
	for (int i = 0; i < n->lead.n_duties; i++)
		fl_cancel(n->lead.duty[i]);
	n->lead.n_duties = 0;
	while (n->lead.running > 0 && fl_signal_wait(&n->lead.ended, 1.0) != -ECANCELED)
		;
	fl_books_forget_tasks(&n->books);
	n->books.leading = false;
	fl_info("leader", "%s has laid down the lead", n->config->node);
}

/* ---- users ---- */

static void say_final(struct fl_response *resp, const struct fl_final *f, bool counts)
{
	resp->status = 200;
	resp->body = fl_status_encode(f->ref, (enum fl_status)f->status,
	                              !counts                ? -1
	                              : f->status == FL_DONE ? (int64_t)f->parts
	                                                     : 0,
	                              0);
}

static void say_aborted(struct fl_response *resp, const char *ref)
{
	resp->status = 200;
	resp->body = fl_status_encode(ref, FL_ABORTED, -1, 0);
}

static void say_job(struct fl_response *resp, const struct fl_job *job)
{
	resp->status = 200;
	resp->body = fl_status_encode(job->ref, fl_job_status(job), job->n_done, job->n_running);
}

/* The record decides: for what this leader has not heard of, or has written and not confirmed. */
static void poll_record(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_job_record rec;
	struct fl_job *job;
	uint64_t rev;
	cJSON *v = NULL;
	int rc = fl_ledger_read(&n->state, ref, &rec, &v, &rev);
	const struct fl_final *f = fl_final_find(&n->books, ref);

	if (f) {
		/* It came to its end while the record was on its way here. */
		say_final(resp, f, true);
	} else if (rc == -ENOENT) {
		fl_refuse(resp, 404, "no such job");
	} else if (rc != 0) {
		fl_later(resp, "the state service does not answer");
	} else if (rec.final) {
		resp->status = 200;
		resp->body =
			fl_status_encode(ref, rec.status, rec.status == FL_DONE ? rec.parts : 0, 0);
	} else {
		job = fl_books_apply(&n->books, ref, v, rev);
		resp->status = 200;
		resp->body = fl_status_encode(ref, job ? fl_job_status(job) : FL_PENDING,
		                              job ? job->n_done : 0, job ? job->n_running : 0);
	}
	cJSON_Delete(v);
}

void fl_leader_poll(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_final *f = fl_final_find(&n->books, ref);
	struct fl_job *job = f ? NULL : fl_job_find(&n->books, ref);

	if (f)
		say_final(resp, f, true);
	/* While a final write is under way, another node may already know its outcome. */
	else if (job && !job->finishing && !job->unsure)
		say_job(resp, job);
	else
		poll_record(n, ref, resp);
}

static int write_cancel(struct fl_node *n, struct fl_job *job, uint64_t *rev)
{
	struct fl_multi m;
	struct fl_run run;
	char key[FL_KEY_MAX];

	fl_key_job(key, job->ref);
	fl_job_describe(&n->books, job, &run);
	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	fl_multi_when(&m, key, job->rev);
	fl_multi_put(&m, key, fl_job_record_final(FL_ABORTED, job->parts, &run, job->submitted), 0);
	return fl_state_multi(&n->state, &m, rev, NULL);
}

void fl_leader_cancel(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_final *f = fl_final_find(&n->books, ref);
	struct fl_job *job = f ? NULL : fl_job_find(&n->books, ref);
	enum fl_status status;
	uint64_t rev;
	bool done = false;
	int rc;

	if (!f && !job) {
		poll_record(n, ref, resp);
		job = fl_job_find(&n->books, ref);
		if (resp->status != 200 || !job)
			return;
		free(resp->body);
		resp->body = NULL;
	}
	if (f) {
		say_final(resp, f, false);
		return;
	}
	if (job->unsure && !job->finishing)
		reread_job(n, ref, &done, &status);
	job = leading(n) ? fl_job_find(&n->books, ref) : NULL;
	if (job && job->aborted) {
		say_aborted(resp, ref);
		return;
	}
	if (!job || job->finishing || job->unsure) {
		fl_later(resp, "the job's state is being written");
		return;
	}
	/* Till this is answered, only the record knows: see fl_leader_poll. */
	job->unsure = true;
	rc = write_cancel(n, job, &rev);
	job = n->lead.active ? fl_job_find(&n->books, ref) : NULL;
	if (job && rc == 0) {
		job->unsure = false;
		job->rev = rev;
		fl_final_add(&n->books, ref, FL_ABORTED, job->parts);
		stop_everywhere(n, job);
		fl_info("jobs", "%s is cancelled", ref);
	} else if (job && rc == -EAGAIN) {
		job->unsure = false;
	} else if (job) {
		reread_job(n, ref, &done, &status);
	}
	f = fl_final_find(&n->books, ref);
	if (f)
		say_final(resp, f, false);
	else if (rc == 0)
		/* Stored, though this node leads no more: the next leader stops its tasks. */
		say_aborted(resp, ref);
	else
		fl_later(resp, "the cancellation could not be stored");
}
