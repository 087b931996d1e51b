/*
 * Starvation: under adversarial streams of jobs every job begins in bounded time, and a pass that
 * runs out of time continues with the jobs that the last one did not reach.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "schedule_fixture.h"

static int allowance;

static bool allowance_spent(void *context)
{
	(void)context;
	return allowance-- <= 0;
}

/* A pass that runs out of time is resumed where it ended: every job is looked at in the end. */
static void a_pass_resumes_where_the_last_one_ran_out_of_time(void **state)
{
	struct snapshot snapshot = {.n_jobs = 12, .n_machines = 1, .n_runs = 1};
	bool started[JOBS] = {false};
	int resume = 0, passes = 0;

	(void)state;
	snapshot.jobs[0] = plain_job(64, 1, 60, 5000);
	for (int i = 1; i < snapshot.n_jobs; i++)
		snapshot.jobs[i] = plain_job(1, 1, 10, 100 - i);
	snapshot.machines[0] = plain_machine(32);
	snapshot.runs[0] = plain_run(0, 60, 1000);
	do {
		struct fl_sched_input input = {.params = &fl_sched_defaults,
		                               .jobs = snapshot.jobs,
		                               .job_count = snapshot.n_jobs,
		                               .machines = snapshot.machines,
		                               .machine_count = 1,
		                               .attempts = snapshot.runs,
		                               .attempt_count = 1,
		                               .teams = snapshot.teams,
		                               .resume_position = resume,
		                               .out_of_time = allowance_spent};
		struct fl_sched_output output;

		allowance = 3;
		assert_int_equal(fl_schedule(&input, &output), FL_SCHEDULE_OK);
		for (int i = 0; i < output.start_count; i++)
			started[output.starts[i].job] = true;
		resume = output.resume_position;
		fl_sched_output_free(&output);
		passes++;
	} while (resume != 0 && passes < 20);
	assert_true(passes > 2 && passes < 20);
	for (int i = 1; i < snapshot.n_jobs; i++)
		assert_true(started[i]);
}

enum { QUEUE = 800, SLOTS = 32, SECONDS = 900, CLASSES = 3 };

struct stream {
	enum fl_priority priority;
	int team;
	bool within_guarantee;
	uint32_t n_tasks;
	double est, every; /* s of a task; s between two jobs */
};

struct arrival {
	struct fl_sched_job job;
	int class;
	double at, begun; /* begun < 0: not yet */
	uint32_t started;
};

struct load {
	struct arrival arrival[QUEUE];
	int node, running[SLOTS]; /* the job that holds each slot, -1: none */
	double until[SLOTS];
};

/* The input of one pass, and the arrival or slot of each of its jobs and runs. */
static struct {
	struct fl_sched_machine machines[SLOTS];
	struct fl_sched_attempt runs[SLOTS];
	struct fl_sched_job jobs[QUEUE];
	int of_job[QUEUE], of_run[SLOTS];
	struct fl_team used[TEAMS];
} pass_input;

static void add_arrivals(struct load *load, const struct stream *streams, double *next, int now)
{
	for (int c = 0; c < CLASSES; c++) {
		const struct stream *stream = &streams[c];

		for (; stream->n_tasks && next[c] <= now && load->node < QUEUE;
		     next[c] += stream->every) {
			struct arrival *arrival = &load->arrival[load->node++];

			arrival->job = plain_job(1, stream->n_tasks, stream->est, 0);
			arrival->job.priority = stream->priority;
			arrival->job.team = stream->team;
			arrival->job.within_guaranteed = stream->within_guarantee;
			arrival->class = c;
			arrival->at = next[c];
			arrival->begun = -1;
		}
	}
}

/* The machines, and the tasks on them that have not ended yet. */
static void fill_machines(struct load *load, struct fl_sched_input *input, int now)
{
	for (int i = 0; i < SLOTS; i++) {
		struct fl_sched_attempt *attempt = &pass_input.runs[input->attempt_count];

		pass_input.machines[i] = plain_machine(1);
		if (load->running[i] >= 0 && load->until[i] <= now)
			load->running[i] = -1;
		if (load->running[i] < 0)
			continue;
		pass_input.machines[i].free.cpus = 0;
		*attempt = plain_run(i, 1, load->until[i] - now);
		attempt->priority = load->arrival[load->running[i]].job.priority;
		attempt->team = load->arrival[load->running[i]].job.team;
		attempt->lost_s = 1;
		pass_input.of_run[input->attempt_count++] = i;
		pass_input.used[attempt->team].used_cpus += 1;
	}
}

static void fill_jobs(const struct load *load, struct fl_sched_input *input, int now)
{
	for (int i = 0; i < load->node; i++) {
		struct fl_sched_job *job = &pass_input.jobs[input->job_count];

		if (load->arrival[i].job.startable_count == 0)
			continue;
		*job = load->arrival[i].job;
		job->waited_s = now - load->arrival[i].at;
		job->begun = load->arrival[i].started > 0;
		pass_input.of_job[input->job_count++] = i;
	}
	for (int r = 0; r < input->attempt_count; r++) {
		int at = load->running[pass_input.of_run[r]], held = 0;

		for (int i = 0; i < SLOTS; i++)
			held += load->running[i] == at;
		pass_input.runs[r].last_running_task =
			held == 1 && now - load->arrival[at].at > fl_sched_defaults.overdue_after_s;
	}
}

static void apply_decisions(struct load *load, const struct fl_sched_output *output, int now)
{
	for (int k = 0; k < output->start_count; k++) {
		struct arrival *arrival = &load->arrival[pass_input.of_job[output->starts[k].job]];
		int slot = output->starts[k].machine;

		assert_int_equal(load->running[slot], -1);
		load->running[slot] = pass_input.of_job[output->starts[k].job];
		load->until[slot] = now + arrival->job.estimate_s;
		arrival->job.startable_count--;
		arrival->started++;
		if (arrival->begun < 0)
			arrival->begun = now;
	}
	for (int k = 0; k < output->preemption_count; k++) {
		int slot = pass_input.of_run[output->preemptions[k]];
		struct arrival *arrival = &load->arrival[load->running[slot]];

		arrival->job.startable_count++;
		arrival->started--;
		load->running[slot] = -1;
	}
}

/* Runs `SLOTS` one-task machines under the streams; each job's begin and starts are noted. */
static void play_load(struct load *load, const struct stream *streams, const struct fl_team *teams)
{
	double next[CLASSES] = {0};

	memset(load, 0, sizeof(*load));
	for (int i = 0; i < SLOTS; i++)
		load->running[i] = -1;
	for (int now = 0; now < SECONDS; now++) {
		struct fl_sched_input input = {.params = &fl_sched_defaults,
		                               .jobs = pass_input.jobs,
		                               .machines = pass_input.machines,
		                               .machine_count = SLOTS,
		                               .attempts = pass_input.runs,
		                               .teams = pass_input.used};
		struct fl_sched_output output;

		add_arrivals(load, streams, next, now);
		memcpy(pass_input.used, teams, sizeof(pass_input.used));
		fill_machines(load, &input, now);
		fill_jobs(load, &input, now);
		assert_int_equal(fl_schedule(&input, &output), FL_SCHEDULE_OK);
		apply_decisions(load, &output, now);
		fl_sched_output_free(&output);
	}
}

/* Every job that arrived early enough has begun within four minutes. */
static void check_begun(const struct load *load)
{
	for (int i = 0; i < load->node; i++) {
		const struct arrival *arrival = &load->arrival[i];

		if (arrival->at > SECONDS - 240)
			continue;
		assert_true(arrival->begun >= 0);
		assert_true(arrival->begun - arrival->at <= 240);
		/* And what it began with was not preempted for ever. */
		assert_true(arrival->started > 0);
	}
}

/* Share of the tasks of a class that were started, of those that came before the last minutes. */
static double started_share(const struct load *load, int class)
{
	double started = 0, all = 0;

	for (int i = 0; i < load->node; i++) {
		if (load->arrival[i].class != class || load->arrival[i].at > SECONDS - 240)
			continue;
		started += load->arrival[i].started;
		all += load->arrival[i].job.task_count;
	}
	return all > 0 ? started / all : 1;
}

static void adversarial_arrivals_starve_no_job(void **state)
{
	static const struct fl_team teams[TEAMS] = {
		{.guaranteed_cpus = 64}, {.max_cpus = 0}, {.max_cpus = 0}};
	/* 32 slots. A stream of small jobs that fills nearly all of them, and ever more wide ones.
	 */
	static const struct stream small_and_wide[CLASSES] = {
		{FL_STANDARD, 1, false, 2, 20, 1.35}, {FL_STANDARD, 2, false, 60, 100, 300}};
	/* One team within its guarantee fills all; another has none. */
	static const struct stream within_guarantee_and_not[CLASSES] = {
		{FL_STANDARD, 0, true, 4, 30, 3}, {FL_STANDARD, 1, false, 10, 40, 120}};
	/* Standard work fills all, and best effort may be stopped for it. */
	static const struct stream priorities[CLASSES] = {{FL_STANDARD, 1, false, 4, 30, 3},
	                                                  {FL_BEST_EFFORT, 2, false, 10, 40, 120}};
	struct load *load = malloc(sizeof(*load));

	(void)state;
	play_load(load, small_and_wide, teams);
	assert_true(load->node < QUEUE);
	check_begun(load);
	for (int c = 0; c < CLASSES; c++)
		assert_true(started_share(load, c) >= 0.5);
	play_load(load, within_guarantee_and_not, teams);
	assert_true(load->node < QUEUE);
	check_begun(load);
	play_load(load, priorities, teams);
	check_begun(load);
	free(load);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(adversarial_arrivals_starve_no_job),
		cmocka_unit_test(a_pass_resumes_where_the_last_one_ran_out_of_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
