/*
 * Starvation: under adversarial streams of jobs every job begins in bounded time, and after a
 * scheduling cycle that ran out of time the next one resumes with the jobs not yet considered.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "schedule_fixture.h"

static bool is_out_of_time(void *context)
{
	int *checks_left = context;

	return (*checks_left)-- <= 0;
}

/* Each cycle has time for a few jobs only; after several cycles every job was considered. */
static void a_scheduling_cycle_resumes_where_the_last_one_ran_out_of_time(void **state)
{
	struct snapshot snapshot = {.job_count = 12, .machine_count = 1, .attempt_count = 1};
	bool started[JOBS_MAX] = {false};
	int resume_position = 0, cycles = 0;

	(void)state;
	snapshot.jobs[0] = plain_job(64, 1, 60, 5000);
	for (int i = 1; i < snapshot.job_count; i++)
		snapshot.jobs[i] = plain_job(1, 1, 10, 100 - i);
	snapshot.machines[0] = plain_machine(32);
	snapshot.attempts[0] = running_attempt(0, 60, 1000);
	do {
		int checks_left = 3;
		struct fl_sched_input input = {.params = &fl_sched_default_params,
		                               .jobs = snapshot.jobs,
		                               .job_count = snapshot.job_count,
		                               .machines = snapshot.machines,
		                               .machine_count = 1,
		                               .attempts = snapshot.attempts,
		                               .attempt_count = 1,
		                               .teams = snapshot.teams,
		                               .resume_position = resume_position,
		                               .out_of_time = is_out_of_time,
		                               .context = &checks_left};
		struct fl_sched_output output;

		assert_int_equal(fl_schedule(&input, &output), FL_SCHEDULE_OK);
		for (int i = 0; i < output.start_count; i++)
			started[output.starts[i].job] = true;
		resume_position = output.resume_position;
		fl_sched_output_free(&output);
		cycles++;
	} while (resume_position != 0 && cycles < 20);

	assert_true(cycles > 2 && cycles < 20);
	for (int i = 1; i < snapshot.job_count; i++)
		assert_true(started[i]);
}

enum { ARRIVALS_MAX = 800, SLOTS = 32, DURATION_S = 900, STREAMS = 3 };

struct stream {
	enum fl_priority priority;
	int team;
	bool within_guarantee;
	uint32_t task_count;
	double estimate_s, interval_s; /* duration of a task; time between two jobs */
};

struct arrival {
	struct fl_sched_job job;
	int source_stream;           /* index of the stream that the job belongs to */
	double arrived_at, begun_at; /* s since the beginning; begun_at < 0: not begun */
	uint32_t started_count;
};

struct load {
	struct arrival arrivals[ARRIVALS_MAX];
	int arrival_count;
	int running[SLOTS];    /* per slot, the arrival whose task runs there; -1: none */
	double ends_at[SLOTS]; /* end of that task, s since the beginning */
};

/* The input of one scheduling cycle, and the arrival or slot of each of its jobs and attempts. */
static struct {
	struct fl_sched_machine machines[SLOTS];
	struct fl_sched_attempt attempts[SLOTS];
	struct fl_sched_job jobs[ARRIVALS_MAX];
	int arrival_of_job[ARRIVALS_MAX], slot_of_attempt[SLOTS];
	struct fl_team team_usage[TEAMS];
} cycle_input;

static void add_arrivals(struct load *load, const struct stream *streams, double *next_at, int now)
{
	for (int stream_index = 0; stream_index < STREAMS; stream_index++) {
		const struct stream *stream = &streams[stream_index];

		for (; stream->task_count && next_at[stream_index] <= now &&
		       load->arrival_count < ARRIVALS_MAX;
		     next_at[stream_index] += stream->interval_s) {
			struct arrival *arrival = &load->arrivals[load->arrival_count++];

			arrival->job = plain_job(1, stream->task_count, stream->estimate_s, 0);
			arrival->job.priority = stream->priority;
			arrival->job.team = stream->team;
			arrival->job.within_guaranteed_quota = stream->within_guarantee;
			arrival->source_stream = stream_index;
			arrival->arrived_at = next_at[stream_index];
			arrival->begun_at = -1;
		}
	}
}

/* Adds the machines, and the attempts on them that have not ended yet. */
static void add_machines_and_attempts(struct load *load, struct fl_sched_input *input, int now)
{
	for (int i = 0; i < SLOTS; i++) {
		struct fl_sched_attempt *attempt = &cycle_input.attempts[input->attempt_count];

		cycle_input.machines[i] = plain_machine(1);
		if (load->running[i] >= 0 && load->ends_at[i] <= now)
			load->running[i] = -1;
		if (load->running[i] < 0)
			continue;
		cycle_input.machines[i].free.cpus = 0;
		*attempt = running_attempt(i, 1, load->ends_at[i] - now);
		attempt->priority = load->arrivals[load->running[i]].job.priority;
		attempt->team = load->arrivals[load->running[i]].job.team;
		attempt->stop_loss_s = 1;
		cycle_input.slot_of_attempt[input->attempt_count++] = i;
		cycle_input.team_usage[attempt->team].used_cpus += 1;
	}
}

static void add_waiting_jobs(const struct load *load, struct fl_sched_input *input, int now)
{
	for (int i = 0; i < load->arrival_count; i++) {
		struct fl_sched_job *job = &cycle_input.jobs[input->job_count];

		if (load->arrivals[i].job.startable_count == 0)
			continue;
		*job = load->arrivals[i].job;
		job->waited_s = now - load->arrivals[i].arrived_at;
		job->begun = load->arrivals[i].started_count > 0;
		cycle_input.arrival_of_job[input->job_count++] = i;
	}
	for (int attempt_index = 0; attempt_index < input->attempt_count; attempt_index++) {
		int arrival = load->running[cycle_input.slot_of_attempt[attempt_index]];
		int occupied_slots = 0;

		for (int i = 0; i < SLOTS; i++)
			occupied_slots += load->running[i] == arrival;
		cycle_input.attempts[attempt_index].last_running_task =
			occupied_slots == 1 && now - load->arrivals[arrival].arrived_at >
						       fl_sched_default_params.overdue_after_s;
	}
}

static void apply_decisions(struct load *load, const struct fl_sched_output *output, int now)
{
	for (int k = 0; k < output->start_count; k++) {
		struct arrival *arrival =
			&load->arrivals[cycle_input.arrival_of_job[output->starts[k].job]];
		int slot = output->starts[k].machine;

		assert_int_equal(load->running[slot], -1);
		load->running[slot] = cycle_input.arrival_of_job[output->starts[k].job];
		load->ends_at[slot] = now + arrival->job.estimate_s;
		arrival->job.startable_count--;
		arrival->started_count++;
		if (arrival->begun_at < 0)
			arrival->begun_at = now;
	}
	for (int k = 0; k < output->preemption_count; k++) {
		int slot = cycle_input.slot_of_attempt[output->preemptions[k]];
		struct arrival *arrival = &load->arrivals[load->running[slot]];

		arrival->job.startable_count++;
		arrival->started_count--;
		load->running[slot] = -1;
	}
}

/* Runs SLOTS machines of one task each; records for each job its first start and its starts. */
static void run_load(struct load *load, const struct stream *streams,
                     const struct fl_team *team_settings)
{
	double next_at[STREAMS] = {0};

	memset(load, 0, sizeof(*load));
	for (int i = 0; i < SLOTS; i++)
		load->running[i] = -1;
	for (int now = 0; now < DURATION_S; now++) {
		struct fl_sched_input input = {.params = &fl_sched_default_params,
		                               .jobs = cycle_input.jobs,
		                               .machines = cycle_input.machines,
		                               .machine_count = SLOTS,
		                               .attempts = cycle_input.attempts,
		                               .teams = cycle_input.team_usage};
		struct fl_sched_output output;

		add_arrivals(load, streams, next_at, now);
		memcpy(cycle_input.team_usage, team_settings, sizeof(cycle_input.team_usage));
		add_machines_and_attempts(load, &input, now);
		add_waiting_jobs(load, &input, now);
		assert_int_equal(fl_schedule(&input, &output), FL_SCHEDULE_OK);
		apply_decisions(load, &output, now);
		fl_sched_output_free(&output);
	}
}

/* Asserts that all jobs, except those of the last four minutes, began within four minutes. */
static void assert_all_begun(const struct load *load)
{
	for (int i = 0; i < load->arrival_count; i++) {
		const struct arrival *arrival = &load->arrivals[i];

		if (arrival->arrived_at > DURATION_S - 240)
			continue;
		assert_true(arrival->begun_at >= 0);
		assert_true(arrival->begun_at - arrival->arrived_at <= 240);
		/* At least one of its starts was not undone by a preemption. */
		assert_true(arrival->started_count > 0);
	}
}

/* Returns the started share of a stream's tasks, except those of the last four minutes. */
static double started_share(const struct load *load, int source_stream)
{
	double started = 0, all = 0;

	for (int i = 0; i < load->arrival_count; i++) {
		if (load->arrivals[i].source_stream != source_stream ||
		    load->arrivals[i].arrived_at > DURATION_S - 240)
			continue;
		started += load->arrivals[i].started_count;
		all += load->arrivals[i].job.task_count;
	}
	return all > 0 ? started / all : 1;
}

static int set_up_load(void **state)
{
	*state = malloc(sizeof(struct load));
	return *state ? 0 : 1;
}

static int tear_down_load(void **state)
{
	free(*state);
	return 0;
}

static const struct fl_team teams[TEAMS] = {
	{.guaranteed_cpus = 64}, {.max_cpus = 0}, {.max_cpus = 0}};

/* Small jobs that fill nearly all of the 32 slots, and a growing number of wide jobs. */
static void no_job_starves_when_small_jobs_compete_with_wide_ones(void **state)
{
	static const struct stream small_and_wide[STREAMS] = {
		{FL_STANDARD, 1, false, 2, 20, 1.35}, {FL_STANDARD, 2, false, 60, 100, 300}};
	struct load *load = *state;

	run_load(load, small_and_wide, teams);

	assert_true(load->arrival_count < ARRIVALS_MAX);
	assert_all_begun(load);
	for (int stream_index = 0; stream_index < STREAMS; stream_index++)
		assert_true(started_share(load, stream_index) >= 0.5);
}

static void no_job_starves_when_a_team_within_its_guarantee_fills_all_slots(void **state)
{
	static const struct stream within_guarantee_and_not[STREAMS] = {
		{FL_STANDARD, 0, true, 4, 30, 3}, {FL_STANDARD, 1, false, 10, 40, 120}};
	struct load *load = *state;

	run_load(load, within_guarantee_and_not, teams);

	assert_true(load->arrival_count < ARRIVALS_MAX);
	assert_all_begun(load);
}

/* Best-effort work may be preempted for standard work. */
static void no_job_starves_when_standard_work_fills_all_slots(void **state)
{
	static const struct stream priorities[STREAMS] = {{FL_STANDARD, 1, false, 4, 30, 3},
	                                                  {FL_BEST_EFFORT, 2, false, 10, 40, 120}};
	struct load *load = *state;

	run_load(load, priorities, teams);

	assert_all_begun(load);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			no_job_starves_when_small_jobs_compete_with_wide_ones, set_up_load,
			tear_down_load),
		cmocka_unit_test_setup_teardown(
			no_job_starves_when_a_team_within_its_guarantee_fills_all_slots,
			set_up_load, tear_down_load),
		cmocka_unit_test_setup_teardown(no_job_starves_when_standard_work_fills_all_slots,
	                                        set_up_load, tear_down_load),
		cmocka_unit_test(a_scheduling_cycle_resumes_where_the_last_one_ran_out_of_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
