/* Placement: chooses a machine for each task, and starts the tasks. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>

/* The limits on where, for how long and how many tasks of the job being considered may run. */
struct start_limits {
	int zone;                     /* the only allowed zone, or FL_ANY_ZONE */
	const double *max_duration_s; /* per machine; NULL: no limit */
	uint32_t max_count;           /* number of tasks */
};

/* Returns the cost of a start on one machine; INFINITY: not possible. */
static double start_cost(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                         struct start_limits limits, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	struct fl_resources available = fl_sched_available_resources(cycle, job, machine_index);

	if (limits.zone != FL_ANY_ZONE && machine->zone != limits.zone)
		return INFINITY;
	/* `available` includes resources still being freed: the task must also fit without them. */
	if (!fl_resources_fit(job->need, available) || !fl_resources_fit(job->need, machine->free))
		return INFINITY;
	if (!fl_sched_job_allows_machine(job, machine) ||
	    !fl_sched_job_allows_zone(job, machine->zone))
		return INFINITY;
	if (limits.max_duration_s && limits.max_duration_s[machine_index] < job->estimate_s) {
		cycle->window_kept_task = true;
		return INFINITY;
	}
	return fl_sched_placement_cost(cycle->input, job, machine);
}

static void compute_start_costs(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                                struct start_limits limits)
{
	cycle->output->machines_examined += cycle->input->machine_count;
	for (int i = 0; i < cycle->input->machine_count; i++)
		cycle->start_cost[i] = start_cost(cycle, job, limits, i);
}

/*
 * Returns the zone for a job whose tasks must share one: the zone of its placed tasks, otherwise
 * the zone where most of its tasks fit. Returns FL_ANY_ZONE for other jobs, or if no task fits.
 */
static int choose_zone(const struct fl_sched_input *input, const struct fl_sched_job *job)
{
	double capacity[FL_ZONES_MAX] = {0};
	int best = FL_ANY_ZONE;

	if (!job->same_zone)
		return FL_ANY_ZONE;
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (job->placed_by_zone[z] > 0)
			return z;
	for (int i = 0; i < input->machine_count; i++) {
		const struct fl_sched_machine *machine = &input->machines[i];

		if (fl_sched_job_allows_machine(job, machine))
			capacity[machine->zone] += fl_sched_placement_capacity(job, machine->free);
	}
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (capacity[z] > 0 && (best == FL_ANY_ZONE || capacity[z] > capacity[best]))
			best = z;
	return best;
}

static void start_task(struct fl_sched_cycle *cycle, int job_index, int machine_index)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	struct fl_team *team = &cycle->input->teams[job->team];
	struct fl_sched_output *output = cycle->output;
	struct fl_sched_start *starts;

	starts = fl_array_grow(output->starts, output->start_count, &output->start_capacity,
	                       sizeof(*starts), FL_SCHED_FIRST_CAPACITY);
	if (!starts) {
		cycle->out_of_memory = true;
		return;
	}
	output->starts = starts;
	output->starts[output->start_count++] = (struct fl_sched_start){job_index, machine_index};
	fl_resources_subtract(&machine->free, job->need);
	team->used_cpus += job->need.cpus;
	team->used_gpus += job->need.gpus;
	job->placed_by_zone[machine->zone]++;
	job->startable_count--;
}

/* Undoes the starts after the first `kept_count`, the last one first. */
static void undo_starts(struct fl_sched_cycle *cycle, int kept_count)
{
	while (cycle->output->start_count > kept_count) {
		const struct fl_sched_start *undone =
			&cycle->output->starts[--cycle->output->start_count];
		struct fl_sched_job *job = &cycle->input->jobs[undone->job];
		struct fl_sched_machine *machine = &cycle->input->machines[undone->machine];
		struct fl_team *team = &cycle->input->teams[job->team];

		fl_resources_add(&machine->free, job->need);
		team->used_cpus -= job->need.cpus;
		team->used_gpus -= job->need.gpus;
		job->placed_by_zone[machine->zone]--;
		job->startable_count++;
	}
}

/* Updates the cost of `machine_index` after a start, and all costs if they depend on zones. */
static void update_start_costs(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                               struct start_limits limits, int machine_index)
{
	if (fl_sched_cost_depends_on_zones(job))
		compute_start_costs(cycle, job, limits);
	else
		cycle->start_cost[machine_index] = start_cost(cycle, job, limits, machine_index);
}

/*
 * Starts the job's tasks one by one, each on the machine of the lowest cost. Returns whether fewer
 * than `limits.max_count` were started for lack of capacity.
 */
static bool start_tasks_one_by_one(struct fl_sched_cycle *cycle, int job_index,
                                   struct start_limits limits)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	uint32_t remaining_count = job->startable_count - limits.max_count;

	cycle->tasks_awaiting_image = 0;
	cycle->window_kept_task = false;
	compute_start_costs(cycle, job, limits);
	while (job->startable_count > remaining_count + cycle->tasks_awaiting_image &&
	       !cycle->out_of_memory) {
		int best;

		if (!fl_sched_within_team_maximum(cycle->input, job))
			return false;
		best = fl_sched_lowest_cost_index(cycle->start_cost, cycle->input->machine_count);
		if (best < 0)
			return true;
		if (fl_sched_request_machine_with_image(cycle, job, best)) {
			cycle->tasks_awaiting_image++;
			compute_start_costs(cycle, job, limits);
			continue;
		}
		start_task(cycle, job_index, best);
		update_start_costs(cycle, job, limits, best);
	}
	return false;
}

/* Starts up to `max_count` tasks; of a gang all or none. Returns as start_tasks_one_by_one. */
static bool start_tasks(struct fl_sched_cycle *cycle, int job_index, uint32_t max_count,
                        const double *max_duration_s)
{
	const struct fl_sched_job *job = &cycle->input->jobs[job_index];
	struct start_limits limits = {.zone = choose_zone(cycle->input, job),
	                              .max_duration_s = max_duration_s,
	                              .max_count = job->gang ? job->startable_count : max_count};
	int earlier_count = cycle->output->start_count;
	bool short_of_capacity = start_tasks_one_by_one(cycle, job_index, limits);

	if (job->gang && job->startable_count > 0)
		undo_starts(cycle, earlier_count);
	return short_of_capacity;
}

/* Of an overdue array, only one task is started. */
bool fl_sched_start_fitting_tasks(struct fl_sched_cycle *cycle, int job_index,
                                  const double *max_duration_s)
{
	const struct fl_sched_job *job = &cycle->input->jobs[job_index];
	bool overdue = fl_sched_is_overdue(cycle->input->params, job);

	return start_tasks(cycle, job_index, overdue ? 1 : job->startable_count, max_duration_s);
}

void fl_sched_start_held_task(struct fl_sched_cycle *cycle, int job_index)
{
	start_tasks(cycle, job_index, 1, NULL);
}

bool fl_sched_gang_could_start(struct fl_sched_cycle *cycle, int job_index)
{
	const struct fl_sched_job *job = &cycle->input->jobs[job_index];
	int earlier_count = cycle->output->start_count;
	bool could_start;

	start_tasks(cycle, job_index, job->startable_count, NULL);
	could_start = job->startable_count == 0;
	undo_starts(cycle, earlier_count);
	return could_start;
}
