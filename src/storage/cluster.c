#include "storage/cluster.h"

#include <stdlib.h>
#include <string.h>

#include "storage/jobs.h"

void fl_cluster_learn_cancelled(struct fl_cluster *b, const char *ref, double cancelled_at)
{
	struct fl_job *job = fl_job_find(b, ref);

	if (fl_finished_find(b, ref))
		return;
	if (!job) {
		fl_finished_add(b, ref, FL_CANCELLED, 0, cancelled_at);
		return;
	}
	job->cancelled_at = cancelled_at;
	if (!b->leading) {
		fl_job_finalise(b, job, FL_CANCELLED);
		return;
	}
	/* A leader that is cut off: it still has the tasks to count, and reads the record later. */
	job->cancelled = true;
	fl_finished_add(b, ref, FL_CANCELLED, job->n_tasks, cancelled_at);
}

void fl_cluster_describe(struct fl_cluster *b, struct fl_machine *m, int type, int zone, bool spot,
                         const char *endpoint)
{
	bool was_known = m->zone >= 0;

	(void)b;
	if (zone >= FL_ZONES_MAX)
		return;
	fl_machine_describe(m, type, zone, spot, endpoint);
	if (was_known || m->zone < 0)
		return;
	for (int i = 0; i < m->n_slots; i++) {
		m->slots[i].job->zone_unknown--;
		m->slots[i].job->zone_placed[m->zone]++;
	}
}

void fl_cluster_purge(struct fl_cluster *b, double before)
{
	for (int i = b->machines.n - 1; i >= 0; i--) {
		struct fl_machine *m = b->machines.at[i], *moved;

		if (!m->decommissioned || m->decommissioned_at >= before || m->n_slots > 0 ||
		    m->command_in_flight)
			continue;
		moved = fl_machine_drop(&b->machines, m);
		for (int k = 0; moved && k < moved->n_slots; k++)
			fl_task_peek(moved->slots[k].job, moved->slots[k].index)->machine =
				moved->id;
	}
}

void fl_cluster_forget_tasks(struct fl_cluster *b)
{
	struct fl_job *j, *tmp;

	HASH_ITER (hh, b->jobs, j, tmp) {
		fl_job_free_chunks(j);
		j->n_waiting = j->n_tasks;
		j->n_placed = j->n_running = j->n_done = 0;
		memset(j->zone_placed, 0, sizeof(j->zone_placed));
		j->zone_unknown = j->scan_from = 0;
		j->queued_dirty = j->finishing = j->unsure = false;
		j->not_before = j->window_until = 0;
		if (j->cancelled)
			fl_job_finalise(b, j, FL_CANCELLED);
	}
	b->dirty = NULL;
	for (int i = 0; i < b->teams.n; i++)
		b->teams.at[i].used_cpus = b->teams.at[i].used_gpus = 0;
	fl_machines_clear(&b->machines);
}

void fl_cluster_free(struct fl_cluster *b)
{
	struct fl_finished_job *f, *ftmp;
	struct fl_job *j, *jtmp;

	HASH_ITER (hh, b->jobs, j, jtmp) {
		HASH_DEL(b->jobs, j);
		fl_job_free_chunks(j);
		free(j);
	}
	HASH_ITER (hh, b->finished, f, ftmp) {
		HASH_DEL(b->finished, f);
		free(f);
	}
	fl_machines_clear(&b->machines);
	fl_names_free(&b->classes);
	fl_names_free(&b->images);
	fl_names_free(&b->zones);
}
