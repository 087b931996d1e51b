/*
 * The scheduling pass against the slow, plain model of the same rules: on random snapshots, and
 * over many passes in which each continues from the decisions of the one before.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "schedule_model.h"

static double pick(gsl_rng *rng, int n)
{
	return (double)gsl_rng_uniform_int(rng, (unsigned long)n);
}

static void random_machines(gsl_rng *rng, struct snapshot *snapshot)
{
	for (int i = 0; i < snapshot->n_machines; i++) {
		for (int c = 0; c < FL_IMAGE_CACHE_MAX; c++)
			snapshot->cache[i][c] = c < 2 ? (int)pick(rng, 5) : -1;
		snapshot->machines[i] =
			(struct fl_sched_machine){.type = (int)pick(rng, 2),
		                                  .zone = (int)pick(rng, ZONES),
		                                  .spot = pick(rng, 2) > 0,
		                                  .runs_service = pick(rng, 2) > 0,
		                                  .free.cpus = 16,
		                                  .free.gpus = 4,
		                                  .free.ram_gb = 64,
		                                  .pull_gb_s = 0.5,
		                                  .cached_images = snapshot->cache[i]};
		snapshot->machines[i].reserved.active = pick(rng, 4) == 0;
		snapshot->machines[i].reserved.within_guaranteed = pick(rng, 2) > 0;
		snapshot->machines[i].reserved.priority = (enum fl_priority)pick(rng, 4);
		snapshot->machines[i].reserved.resources.cpus = pick(rng, 12);
		snapshot->machines[i].reserved.resources.gpus = pick(rng, 3);
		snapshot->machines[i].reserved.resources.ram_gb = pick(rng, 30);
	}
}

static void random_runs(gsl_rng *rng, struct snapshot *snapshot, int tries)
{
	for (int i = 0; i < tries; i++) {
		struct fl_sched_attempt run = {0};
		struct fl_sched_machine *machine;

		run.machine = (int)pick(rng, snapshot->n_machines);
		machine = &snapshot->machines[run.machine];
		run.team = (int)pick(rng, TEAMS);
		run.priority = (enum fl_priority)pick(rng, 4);
		run.service = pick(rng, 3) == 0;
		run.stopping = pick(rng, 6) == 0;
		run.preemptible = !run.stopping;
		run.within_guaranteed = pick(rng, 3) == 0;
		run.last_running_task = !run.service && pick(rng, 3) == 0;
		run.used.cpus = 1 + pick(rng, 6);
		run.used.gpus = pick(rng, 3);
		run.used.ram_gb = 4 + pick(rng, 12);
		run.left_s = run.service ? INFINITY : 1 + pick(rng, 200);
		run.lost_s = pick(rng, 100) + 0.001 * i;
		if (run.used.cpus > machine->free.cpus || run.used.gpus > machine->free.gpus ||
		    run.used.ram_gb > machine->free.ram_gb)
			continue;
		machine->free.cpus -= run.used.cpus;
		machine->free.gpus -= run.used.gpus;
		machine->free.ram_gb -= run.used.ram_gb;
		snapshot->teams[run.team].used_cpus += run.used.cpus;
		snapshot->teams[run.team].used_gpus += run.used.gpus;
		snapshot->runs[snapshot->n_runs++] = run;
	}
}

static void random_jobs(gsl_rng *rng, struct snapshot *snapshot)
{
	for (int i = 0; i < snapshot->n_jobs; i++) {
		struct fl_sched_job *job = &snapshot->jobs[i];

		job->service = pick(rng, 3) == 0;
		job->gang = !job->service && pick(rng, 4) == 0;
		job->priority = (enum fl_priority)pick(rng, 4);
		job->team = (int)pick(rng, TEAMS);
		job->within_guaranteed = pick(rng, 3) == 0;
		job->begun = pick(rng, 2) > 0;
		job->waited_s = pick(rng, 300) + 0.01 * i;
		job->estimate_s = job->service || pick(rng, 8) == 0 ? 0 : 10 + pick(rng, 300);
		job->need.cpus = 1 + pick(rng, 6);
		job->need.gpus = pick(rng, 3);
		job->need.ram_gb = 1 + pick(rng, 16);
		job->image_gb = pick(rng, 10);
		job->task_count = 1 + (uint32_t)pick(rng, 8);
		job->startable_count = 1 + (uint32_t)pick(rng, (int)job->task_count);
		job->allowed_types = pick(rng, 3) ? UINT32_MAX : 1u + (uint32_t)pick(rng, 2);
		job->zone = pick(rng, 5) ? -1 : (int)pick(rng, ZONES);
		job->same_zone = pick(rng, 5) == 0;
		job->spread_zones = !job->same_zone && pick(rng, 3) == 0;
		job->spot_allowed = pick(rng, 2) > 0;
		job->image = (int)pick(rng, 5);
		job->window_left_s = pick(rng, 2) ? -1 : pick(rng, 300);
	}
}

static void random_snapshot(gsl_rng *rng, struct snapshot *snapshot, int jobs, int machines,
                            int tries)
{
	memset(snapshot, 0, sizeof(*snapshot));
	snapshot->n_jobs = 1 + (int)pick(rng, jobs);
	snapshot->n_machines = 1 + (int)pick(rng, machines);
	for (int t = 0; t < TEAMS; t++) {
		snapshot->teams[t].guaranteed_gpus = pick(rng, 2) ? pick(rng, 9) : 0;
		snapshot->teams[t].max_gpus = pick(rng, 2) ? 4 + pick(rng, 20) : 0;
		snapshot->teams[t].max_cpus = pick(rng, 3) ? 0 : 20 + pick(rng, 60);
	}
	random_machines(rng, snapshot);
	random_runs(rng, snapshot, tries);
	random_jobs(rng, snapshot);
}

struct counts {
	long starts, stops, tops, looks, bound;
};

static void compare(struct model *model, struct snapshot *snapshot, struct counts *counts)
{
	struct fl_sched_output output;

	memset(model, 0, sizeof(*model));
	snapshot->spot_loss = snapshot->n_machines % 2 * 0.002;
	model->snapshot = *snapshot;
	model_pass(model);
	run_schedule(snapshot, &output);
	assert_int_equal(output.start_count, model->n_starts);
	for (int i = 0; i < output.start_count; i++) {
		assert_int_equal(output.starts[i].job, model->starts[i].job);
		assert_int_equal(output.starts[i].machine, model->starts[i].machine);
	}
	assert_int_equal(output.preemption_count, model->n_stops);
	for (int i = 0; i < output.preemption_count; i++)
		assert_int_equal(output.preemptions[i], model->stops[i]);
	for (int i = 0; i < snapshot->n_machines; i++) {
		const struct fl_reservation *c = &snapshot->machines[i].requested;

		assert_int_equal(c->active, model->snapshot.machines[i].requested.active);
		assert_int_equal(c->within_guaranteed,
		                 model->snapshot.machines[i].requested.within_guaranteed);
		assert_int_equal(c->priority, model->snapshot.machines[i].requested.priority);
		assert_true(fabs(c->resources.cpus -
		                 model->snapshot.machines[i].requested.resources.cpus) < 1e-6 &&
		            fabs(c->resources.gpus -
		                 model->snapshot.machines[i].requested.resources.gpus) < 1e-6 &&
		            fabs(c->resources.ram_gb -
		                 model->snapshot.machines[i].requested.resources.ram_gb) < 1e-6);
	}
	assert_int_equal(output.top_job, model->top);
	if (model->top >= 0)
		assert_true(output.window_s == model->window ||
		            fabs(output.window_s - model->window) < 1e-6);
	for (int i = 0; i < snapshot->n_jobs; i++)
		assert_int_equal(output.unplaced_tasks[i], model->short_of[i]);
	counts->starts += output.start_count;
	counts->stops += output.preemption_count;
	counts->tops += output.top_job >= 0;
	counts->looks += output.machines_examined;
	/* Each start, each task reserved room and each job that finds none looks once or twice. */
	counts->bound += (long)snapshot->n_machines *
	                 (output.start_count + 2 * snapshot->n_jobs + 2 * output.preemption_count);
	fl_sched_output_free(&output);
}

static void the_pass_decides_like_the_model(void **state)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct model *model = malloc(sizeof(*model));
	struct snapshot *snapshot = malloc(sizeof(*snapshot));
	struct counts small = {0}, large = {0};

	(void)state;
	gsl_rng_set(rng, 7);
	for (int round = 0; round < 4000; round++) {
		random_snapshot(rng, snapshot, 14, 9, 24);
		compare(model, snapshot, &small);
	}
	/* The snapshots must reach all of it. */
	assert_true(small.starts > 4000 && small.stops > 400 && small.tops > 400);
	/* Hundreds of machines: the same decisions, and no more work than starts times machines. */
	for (int round = 0; round < 60; round++) {
		random_snapshot(rng, snapshot, JOBS, MACHINES, RUNS);
		for (int t = 0; t < TEAMS; t++) {
			snapshot->teams[t].guaranteed_gpus *= 30;
			snapshot->teams[t].max_gpus *= 30;
			snapshot->teams[t].max_cpus *= 30;
		}
		compare(model, snapshot, &large);
	}
	assert_true(large.starts > 500 && large.stops > 50);
	assert_true(large.looks <= large.bound);
	free(model);
	free(snapshot);
	gsl_rng_free(rng);
}

/* Applies the model's starts to the snapshot, as a leader would. */
static long apply_starts(struct snapshot *snapshot, const struct model *model)
{
	for (int i = 0; i < model->n_starts && snapshot->n_runs < RUNS; i++) {
		struct fl_sched_job *job = &snapshot->jobs[model->starts[i].job];
		struct fl_sched_machine *machine = &snapshot->machines[model->starts[i].machine];

		snapshot->runs[snapshot->n_runs] =
			(struct fl_sched_attempt){.machine = model->starts[i].machine,
		                                  .team = job->team,
		                                  .priority = job->priority,
		                                  .service = job->service,
		                                  .preemptible = true,
		                                  .used.cpus = job->need.cpus,
		                                  .used.gpus = job->need.gpus,
		                                  .used.ram_gb = job->need.ram_gb,
		                                  .left_s = job->service ? INFINITY : 50,
		                                  .lost_s = 0.001 * snapshot->n_runs};
		snapshot->n_runs++;
		machine->free.cpus -= job->need.cpus;
		machine->free.gpus -= job->need.gpus;
		machine->free.ram_gb -= job->need.ram_gb;
		snapshot->teams[job->team].used_cpus += job->need.cpus;
		snapshot->teams[job->team].used_gpus += job->need.gpus;
		job->placed_by_zone[machine->zone]++;
		job->startable_count--;
		job->begun = true;
	}
	return model->n_starts;
}

/* Some runs end: what was stopped, and of the rest one in so many. */
static void end_runs(gsl_rng *rng, struct snapshot *snapshot, const struct model *model, int one_in)
{
	bool stopped[RUNS] = {false};

	for (int i = 0; i < model->n_stops; i++)
		stopped[model->stops[i]] = true;
	for (int i = snapshot->n_runs - 1; i >= 0; i--) {
		const struct fl_sched_attempt *attempt = &snapshot->runs[i];
		struct fl_sched_machine *machine = &snapshot->machines[attempt->machine];

		if (!stopped[i] && pick(rng, one_in) != 0)
			continue;
		machine->free.cpus += attempt->used.cpus;
		machine->free.gpus += attempt->used.gpus;
		machine->free.ram_gb += attempt->used.ram_gb;
		snapshot->teams[attempt->team].used_cpus -= attempt->used.cpus;
		snapshot->teams[attempt->team].used_gpus -= attempt->used.gpus;
		snapshot->runs[i] = snapshot->runs[--snapshot->n_runs];
	}
}

/*
 * Hundreds of machines and thousands of tasks over many passes: the decisions are
 * the plain model's all along, and the work stays in proportion to what is started.
 */
static void the_model_agrees_over_many_passes_on_hundreds_of_machines(void **state)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct model *model = malloc(sizeof(*model));
	struct snapshot *snapshot = malloc(sizeof(*snapshot)), *fresh = malloc(sizeof(*fresh));
	struct snapshot *before = malloc(sizeof(*before));
	struct counts counts = {0};
	long started = 0;

	(void)state;
	gsl_rng_set(rng, 11);
	do
		random_snapshot(rng, snapshot, JOBS, MACHINES, 0);
	while (snapshot->n_jobs < JOBS - 10 || snapshot->n_machines < MACHINES - 20);
	for (int i = 0; i < TEAMS; i++)
		snapshot->teams[i] = (struct fl_team){.guaranteed_gpus = 200 * i, .max_gpus = 600};
	for (int pass = 0; pass < 30; pass++) {
		*before = *snapshot;
		compare(model, snapshot, &counts);
		*snapshot = *before;
		started += apply_starts(snapshot, model);
		end_runs(rng, snapshot, model, 3);
		/* Jobs without waiting tasks are replaced by others; the rest wait on. */
		do
			random_snapshot(rng, fresh, JOBS, MACHINES, 0);
		while (fresh->n_jobs < snapshot->n_jobs);
		for (int i = 0; i < snapshot->n_jobs; i++) {
			snapshot->jobs[i].waited_s += 7;
			if (snapshot->jobs[i].startable_count == 0)
				snapshot->jobs[i] = fresh->jobs[i];
		}
	}
	assert_true(started > 2000);
	assert_true(counts.looks <= counts.bound);
	free(model);
	free(snapshot);
	free(fresh);
	free(before);
	gsl_rng_free(rng);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_pass_decides_like_the_model),
		cmocka_unit_test(the_model_agrees_over_many_passes_on_hundreds_of_machines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
