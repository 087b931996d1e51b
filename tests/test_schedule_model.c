/*
 * The scheduling cycle against the slow, plain model of the same rules: on random snapshots, and
 * over many scheduling cycles in which each continues from the decisions of the one before.
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

static double random_below(gsl_rng *rng, int limit)
{
	return (double)gsl_rng_uniform_int(rng, (unsigned long)limit);
}

static void random_machines(gsl_rng *rng, struct snapshot *snapshot)
{
	for (int i = 0; i < snapshot->machine_count; i++) {
		for (int k = 0; k < FL_IMAGE_CACHE_MAX; k++)
			snapshot->cached_images[i][k] = k < 2 ? (int)random_below(rng, 5) : -1;
		snapshot->machines[i] =
			(struct fl_sched_machine){.type = (int)random_below(rng, 2),
		                                  .zone = (int)random_below(rng, ZONES),
		                                  .spot = random_below(rng, 2) > 0,
		                                  .runs_service = random_below(rng, 2) > 0,
		                                  .free.cpus = 16,
		                                  .free.gpus = 4,
		                                  .free.ram_gb = 64,
		                                  .pull_gb_s = 0.5,
		                                  .cached_images = snapshot->cached_images[i]};
		snapshot->machines[i].reserved.active = random_below(rng, 4) == 0;
		snapshot->machines[i].reserved.within_guaranteed = random_below(rng, 2) > 0;
		snapshot->machines[i].reserved.priority = (enum fl_priority)random_below(rng, 4);
		snapshot->machines[i].reserved.resources.cpus = random_below(rng, 12);
		snapshot->machines[i].reserved.resources.gpus = random_below(rng, 3);
		snapshot->machines[i].reserved.resources.ram_gb = random_below(rng, 30);
	}
}

static void random_attempts(gsl_rng *rng, struct snapshot *snapshot, int attempt_tries)
{
	for (int i = 0; i < attempt_tries; i++) {
		struct fl_sched_attempt attempt = {0};
		struct fl_sched_machine *machine;

		attempt.machine = (int)random_below(rng, snapshot->machine_count);
		machine = &snapshot->machines[attempt.machine];
		attempt.team = (int)random_below(rng, TEAMS);
		attempt.priority = (enum fl_priority)random_below(rng, 4);
		attempt.service = random_below(rng, 3) == 0;
		attempt.stopping = random_below(rng, 6) == 0;
		attempt.preemptible = !attempt.stopping;
		attempt.within_guaranteed = random_below(rng, 3) == 0;
		attempt.last_running_task = !attempt.service && random_below(rng, 3) == 0;
		attempt.used.cpus = 1 + random_below(rng, 6);
		attempt.used.gpus = random_below(rng, 3);
		attempt.used.ram_gb = 4 + random_below(rng, 12);
		attempt.left_s = attempt.service ? INFINITY : 1 + random_below(rng, 200);
		attempt.lost_s = random_below(rng, 100) + 0.001 * i;
		if (attempt.used.cpus > machine->free.cpus ||
		    attempt.used.gpus > machine->free.gpus ||
		    attempt.used.ram_gb > machine->free.ram_gb)
			continue;
		fl_resources_subtract(&machine->free, attempt.used);
		snapshot->teams[attempt.team].used_cpus += attempt.used.cpus;
		snapshot->teams[attempt.team].used_gpus += attempt.used.gpus;
		snapshot->attempts[snapshot->attempt_count++] = attempt;
	}
}

static void random_jobs(gsl_rng *rng, struct snapshot *snapshot)
{
	for (int i = 0; i < snapshot->job_count; i++) {
		struct fl_sched_job *job = &snapshot->jobs[i];

		job->service = random_below(rng, 3) == 0;
		job->gang = !job->service && random_below(rng, 4) == 0;
		job->priority = (enum fl_priority)random_below(rng, 4);
		job->team = (int)random_below(rng, TEAMS);
		job->within_guaranteed = random_below(rng, 3) == 0;
		job->begun = random_below(rng, 2) > 0;
		job->waited_s = random_below(rng, 300) + 0.01 * i;
		job->estimate_s =
			job->service || random_below(rng, 8) == 0 ? 0 : 10 + random_below(rng, 300);
		job->need.cpus = 1 + random_below(rng, 6);
		job->need.gpus = random_below(rng, 3);
		job->need.ram_gb = 1 + random_below(rng, 16);
		job->image_gb = random_below(rng, 10);
		job->task_count = 1 + (uint32_t)random_below(rng, 8);
		job->startable_count = 1 + (uint32_t)random_below(rng, (int)job->task_count);
		job->allowed_types =
			random_below(rng, 3) ? UINT32_MAX : 1u + (uint32_t)random_below(rng, 2);
		job->zone = random_below(rng, 5) ? -1 : (int)random_below(rng, ZONES);
		job->same_zone = random_below(rng, 5) == 0;
		job->spread_zones = !job->same_zone && random_below(rng, 3) == 0;
		job->spot_allowed = random_below(rng, 2) > 0;
		job->image = (int)random_below(rng, 5);
		job->window_left_s = random_below(rng, 2) ? -1 : random_below(rng, 300);
	}
}

static void random_snapshot(gsl_rng *rng, struct snapshot *snapshot, int jobs, int machines,
                            int attempt_tries)
{
	memset(snapshot, 0, sizeof(*snapshot));
	snapshot->job_count = 1 + (int)random_below(rng, jobs);
	snapshot->machine_count = 1 + (int)random_below(rng, machines);
	for (int i = 0; i < TEAMS; i++) {
		snapshot->teams[i].guaranteed_gpus =
			random_below(rng, 2) ? random_below(rng, 9) : 0;
		snapshot->teams[i].max_gpus = random_below(rng, 2) ? 4 + random_below(rng, 20) : 0;
		snapshot->teams[i].max_cpus = random_below(rng, 3) ? 0 : 20 + random_below(rng, 60);
	}
	random_machines(rng, snapshot);
	random_attempts(rng, snapshot, attempt_tries);
	random_jobs(rng, snapshot);
}

struct totals {
	long starts, preemptions, top_jobs, machines_examined, examined_max;
};

static void assert_reservation(const struct fl_reservation *reservation,
                               const struct fl_reservation *expected)
{
	const struct fl_resources *resources = &reservation->resources;

	assert_int_equal(reservation->active, expected->active);
	assert_int_equal(reservation->within_guaranteed, expected->within_guaranteed);
	assert_int_equal(reservation->priority, expected->priority);
	assert_true(fabs(resources->cpus - expected->resources.cpus) < 1e-6 &&
	            fabs(resources->gpus - expected->resources.gpus) < 1e-6 &&
	            fabs(resources->ram_gb - expected->resources.ram_gb) < 1e-6);
}

static void assert_starts_and_preemptions(const struct fl_sched_output *output,
                                          const struct model *model)
{
	assert_int_equal(output->start_count, model->start_count);
	for (int i = 0; i < output->start_count; i++) {
		assert_int_equal(output->starts[i].job, model->starts[i].job);
		assert_int_equal(output->starts[i].machine, model->starts[i].machine);
	}
	assert_int_equal(output->preemption_count, model->preemption_count);
	for (int i = 0; i < output->preemption_count; i++)
		assert_int_equal(output->preemptions[i], model->preemptions[i]);
}

/* Runs one cycle of both on the snapshot, which the real one changes. */
static void compare_decisions(struct model *model, struct snapshot *snapshot, struct totals *totals)
{
	struct fl_sched_output output;

	memset(model, 0, sizeof(*model));
	snapshot->spot_loss_rate = snapshot->machine_count % 2 * 0.002;
	model->snapshot = *snapshot;
	model_cycle(model);
	run_schedule(snapshot, &output);
	assert_starts_and_preemptions(&output, model);
	for (int i = 0; i < snapshot->machine_count; i++)
		assert_reservation(&snapshot->machines[i].requested,
		                   &model->snapshot.machines[i].requested);
	assert_int_equal(output.top_job, model->top_job);
	if (model->top_job >= 0)
		assert_true(output.window_s == model->window_s ||
		            fabs(output.window_s - model->window_s) < 1e-6);
	for (int i = 0; i < snapshot->job_count; i++)
		assert_int_equal(output.unplaced_tasks[i], model->unplaced_tasks[i]);
	totals->starts += output.start_count;
	totals->preemptions += output.preemption_count;
	totals->top_jobs += output.top_job >= 0;
	totals->machines_examined += output.machines_examined;
	/* Each start, each reservation and each job that finds no machine examines all of them. */
	totals->examined_max +=
		(long)snapshot->machine_count *
		(output.start_count + 2 * snapshot->job_count + 2 * output.preemption_count);
	fl_sched_output_free(&output);
}

struct comparison {
	gsl_rng *rng;
	struct model model;
	struct snapshot snapshot;
};

static int set_up(void **state)
{
	struct comparison *comparison = calloc(1, sizeof(*comparison));

	if (!comparison)
		return 1;
	comparison->rng = gsl_rng_alloc(gsl_rng_mt19937);
	*state = comparison;
	return 0;
}

static int tear_down(void **state)
{
	struct comparison *comparison = *state;

	gsl_rng_free(comparison->rng);
	free(comparison);
	return 0;
}

static void a_scheduling_cycle_decides_like_the_model(void **state)
{
	struct comparison *comparison = *state;
	struct model *model = &comparison->model;
	struct snapshot *snapshot = &comparison->snapshot;
	struct totals small = {0}, large = {0};
	gsl_rng *rng = comparison->rng;

	gsl_rng_set(rng, 7);
	for (int round = 0; round < 4000; round++) {
		random_snapshot(rng, snapshot, 14, 9, 24);
		compare_decisions(model, snapshot, &small);
	}

	/* The snapshots must reach all of it. */
	assert_true(small.starts > 4000 && small.preemptions > 400 && small.top_jobs > 400);

	/* Hundreds of machines: the same decisions, and no more work than starts times machines. */
	for (int round = 0; round < 60; round++) {
		random_snapshot(rng, snapshot, JOBS_MAX, MACHINES_MAX, ATTEMPTS_MAX);
		for (int i = 0; i < TEAMS; i++) {
			snapshot->teams[i].guaranteed_gpus *= 30;
			snapshot->teams[i].max_gpus *= 30;
			snapshot->teams[i].max_cpus *= 30;
		}
		compare_decisions(model, snapshot, &large);
	}
	assert_true(large.starts > 500 && large.preemptions > 50);
	assert_true(large.machines_examined <= large.examined_max);
}

/* Applies the model's starts to the snapshot, as a leader would. */
static long apply_starts(struct snapshot *snapshot, const struct model *model)
{
	for (int i = 0; i < model->start_count && snapshot->attempt_count < ATTEMPTS_MAX; i++) {
		struct fl_sched_job *job = &snapshot->jobs[model->starts[i].job];
		struct fl_sched_machine *machine = &snapshot->machines[model->starts[i].machine];

		snapshot->attempts[snapshot->attempt_count] =
			(struct fl_sched_attempt){.machine = model->starts[i].machine,
		                                  .team = job->team,
		                                  .priority = job->priority,
		                                  .service = job->service,
		                                  .preemptible = true,
		                                  .used = job->need,
		                                  .left_s = job->service ? INFINITY : 50,
		                                  .lost_s = 0.001 * snapshot->attempt_count};
		snapshot->attempt_count++;
		fl_resources_subtract(&machine->free, job->need);
		snapshot->teams[job->team].used_cpus += job->need.cpus;
		snapshot->teams[job->team].used_gpus += job->need.gpus;
		job->placed_by_zone[machine->zone]++;
		job->startable_count--;
		job->begun = true;
	}
	return model->start_count;
}

/* Some attempts end: what was stopped, and of the rest one in so many. */
static void end_attempts(gsl_rng *rng, struct snapshot *snapshot, const struct model *model,
                         int one_in)
{
	bool stopped[ATTEMPTS_MAX] = {false};

	for (int i = 0; i < model->preemption_count; i++)
		stopped[model->preemptions[i]] = true;
	for (int i = snapshot->attempt_count - 1; i >= 0; i--) {
		const struct fl_sched_attempt *attempt = &snapshot->attempts[i];
		struct fl_sched_machine *machine = &snapshot->machines[attempt->machine];

		if (!stopped[i] && random_below(rng, one_in) != 0)
			continue;
		fl_resources_add(&machine->free, attempt->used);
		snapshot->teams[attempt->team].used_cpus -= attempt->used.cpus;
		snapshot->teams[attempt->team].used_gpus -= attempt->used.gpus;
		snapshot->attempts[i] = snapshot->attempts[--snapshot->attempt_count];
	}
}

/* Jobs without waiting tasks are replaced by others; the rest wait on. */
static void replace_finished_jobs(gsl_rng *rng, struct snapshot *snapshot, struct snapshot *fresh)
{
	do
		random_snapshot(rng, fresh, JOBS_MAX, MACHINES_MAX, 0);
	while (fresh->job_count < snapshot->job_count);
	for (int i = 0; i < snapshot->job_count; i++) {
		snapshot->jobs[i].waited_s += 7;
		if (snapshot->jobs[i].startable_count == 0)
			snapshot->jobs[i] = fresh->jobs[i];
	}
}

/*
 * Hundreds of machines and thousands of tasks over many scheduling cycles: the decisions are
 * the plain model's all along, and the work stays in proportion to what is started.
 */
static void scheduling_cycles_on_hundreds_of_machines_decide_like_the_model(void **state)
{
	struct comparison *comparison = *state;
	struct model *model = &comparison->model;
	struct snapshot *snapshot = &comparison->snapshot;
	struct snapshot *fresh = malloc(sizeof(*fresh)), *before = malloc(sizeof(*before));
	gsl_rng *rng = comparison->rng;
	struct totals totals = {0};
	long started = 0;

	gsl_rng_set(rng, 11);
	do
		random_snapshot(rng, snapshot, JOBS_MAX, MACHINES_MAX, 0);
	while (snapshot->job_count < JOBS_MAX - 10 || snapshot->machine_count < MACHINES_MAX - 20);
	for (int i = 0; i < TEAMS; i++)
		snapshot->teams[i] = (struct fl_team){.guaranteed_gpus = 200 * i, .max_gpus = 600};
	for (int cycle = 0; cycle < 30; cycle++) {
		*before = *snapshot;
		compare_decisions(model, snapshot, &totals);
		*snapshot = *before;
		started += apply_starts(snapshot, model);
		end_attempts(rng, snapshot, model, 3);
		replace_finished_jobs(rng, snapshot, fresh);
	}

	assert_true(started > 2000);
	assert_true(totals.machines_examined <= totals.examined_max);
	free(fresh);
	free(before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(a_scheduling_cycle_decides_like_the_model, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(
			scheduling_cycles_on_hundreds_of_machines_decide_like_the_model, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
