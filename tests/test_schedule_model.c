/*
 * Compares the scheduling cycle with the slow, plain model of the same rules: on random snapshots,
 * and over many cycles, each of which continues from the decisions of the previous one.
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
#include "schedule_random.h"

struct totals {
	long starts, preemptions, top_jobs, held_jobs, machines_examined, machines_examined_max;
};

static void assert_reservation(const struct fl_reservation *reservation,
                               const struct fl_reservation *expected)
{
	const struct fl_resources *resources = &reservation->resources;

	assert_int_equal(reservation->active, expected->active);
	assert_int_equal(reservation->by_guarantee, expected->by_guarantee);
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

/* Runs a cycle of the model and a real one, which changes the snapshot; asserts equal results. */
static void compare_with_model(struct model *model, struct snapshot *snapshot,
                               struct totals *totals)
{
	struct fl_sched_output output;

	memset(model, 0, sizeof(*model));
	snapshot->spot_loss_rate = snapshot->machine_count % 2 * 0.002;
	model->snapshot = *snapshot;
	model_run_cycle(model);
	run_schedule(snapshot, &output);
	assert_starts_and_preemptions(&output, model);
	for (int i = 0; i < snapshot->machine_count; i++)
		assert_reservation(&snapshot->machines[i].requested,
		                   &model->snapshot.machines[i].requested);
	assert_int_equal(output.top_job, model->top_job);
	if (model->top_job >= 0)
		assert_true(output.window_s == model->window_s ||
		            fabs(output.window_s - model->window_s) < 1e-6);
	for (int i = 0; i < snapshot->job_count; i++) {
		assert_int_equal(output.unplaced_tasks[i], model->unplaced_tasks[i]);
		assert_int_equal(output.holds[i] == FL_SCHED_HELD, model->held[i]);
		totals->held_jobs += model->held[i];
	}
	totals->starts += output.start_count;
	totals->preemptions += output.preemption_count;
	totals->top_jobs += output.top_job >= 0;
	totals->machines_examined += output.machines_examined;
	/* Each start, each reservation and each job that finds no machine examines all machines. */
	totals->machines_examined_max +=
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

static void scheduling_decisions_match_the_model(void **state)
{
	struct comparison *comparison = *state;
	struct model *model = &comparison->model;
	struct snapshot *snapshot = &comparison->snapshot;
	struct totals small = {0}, large = {0};
	gsl_rng *rng = comparison->rng;

	gsl_rng_set(rng, 7);
	for (int round = 0; round < 4000; round++) {
		random_snapshot(rng, snapshot, 14, 9, 24);
		compare_with_model(model, snapshot, &small);
	}

	/* The snapshots must lead to starts, preemptions, top jobs and held jobs. */
	assert_true(small.starts > 4000 && small.preemptions > 400 && small.top_jobs > 400);
	assert_true(small.held_jobs > 100);

	/* With hundreds of machines, decisions are equal and the work is bounded as above. */
	for (int round = 0; round < 60; round++) {
		random_snapshot(rng, snapshot, JOBS_MAX, MACHINES_MAX, ATTEMPTS_MAX);
		for (int i = 0; i < TEAMS; i++) {
			snapshot->teams[i].guaranteed_gpus *= 30;
			snapshot->teams[i].max_gpus *= 30;
			snapshot->teams[i].max_cpus *= 30;
		}
		compare_with_model(model, snapshot, &large);
	}
	assert_true(large.starts > 500 && large.preemptions > 50);
	assert_true(large.machines_examined <= large.machines_examined_max);
}

/* Applies the model's starts to the snapshot, as a leader would; returns their number. */
static long apply_starts(struct snapshot *snapshot, const struct model *model)
{
	for (int i = 0; i < model->start_count && snapshot->attempt_count < ATTEMPTS_MAX; i++) {
		struct fl_sched_job *job = &snapshot->jobs[model->starts[i].job];
		struct fl_sched_machine *machine = &snapshot->machines[model->starts[i].machine];

		snapshot->attempts[snapshot->attempt_count] = (struct fl_sched_attempt){
			.machine = model->starts[i].machine,
			.team = job->team,
			.priority = job->priority,
			.service = job->service,
			.preemptible = true,
			.used = job->need,
			.estimated_remaining_s = job->service ? INFINITY : 50,
			.stop_loss_s = 0.001 * snapshot->attempt_count};
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

/* Ends the preempted attempts, and one in `one_in` of the others at random. */
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

/* Increases the wait of all jobs, and replaces jobs without startable tasks by new ones. */
static void replace_finished_jobs(gsl_rng *rng, struct snapshot *snapshot,
                                  struct snapshot *replacement)
{
	do
		random_snapshot(rng, replacement, JOBS_MAX, MACHINES_MAX, 0);
	while (replacement->job_count < snapshot->job_count);
	for (int i = 0; i < snapshot->job_count; i++) {
		snapshot->jobs[i].waited_s += 7;
		if (snapshot->jobs[i].startable_count == 0)
			snapshot->jobs[i] = replacement->jobs[i];
	}
}

/*
 * Hundreds of machines and thousands of tasks over many scheduling cycles: in each cycle the
 * decisions equal those of the model, and the work stays in proportion to the starts.
 */
static void scheduling_decisions_on_hundreds_of_machines_match_the_model(void **state)
{
	struct comparison *comparison = *state;
	struct model *model = &comparison->model;
	struct snapshot *snapshot = &comparison->snapshot;
	struct snapshot *replacement = malloc(sizeof(*replacement)),
			*snapshot_before = malloc(sizeof(*snapshot_before));
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
		*snapshot_before = *snapshot;
		compare_with_model(model, snapshot, &totals);
		*snapshot = *snapshot_before;
		started += apply_starts(snapshot, model);
		end_attempts(rng, snapshot, model, 3);
		replace_finished_jobs(rng, snapshot, replacement);
	}

	assert_true(started > 2000);
	assert_true(totals.machines_examined <= totals.machines_examined_max);
	free(replacement);
	free(snapshot_before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(scheduling_decisions_match_the_model, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(
			scheduling_decisions_on_hundreds_of_machines_match_the_model, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
