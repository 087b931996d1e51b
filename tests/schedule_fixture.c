/* Default entries for snapshots, and a cycle of the real scheduler on a snapshot. */
#include "schedule_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static int default_cached_images[FL_IMAGE_CACHE_MAX];

void run_schedule(struct snapshot *snapshot, struct fl_sched_output *output)
{
	struct fl_sched_input input = {
		.params = &fl_sched_default_params,
		.jobs = snapshot->jobs,
		.job_count = snapshot->job_count,
		.machines = snapshot->machines,
		.machine_count = snapshot->machine_count,
		.attempts = snapshot->attempts,
		.attempt_count = snapshot->attempt_count,
		.teams = snapshot->teams,
		.spot_loss_rate = snapshot->spot_loss_rate,
	};

	assert_int_equal(fl_schedule(&input, output), FL_SCHEDULE_OK);
}

struct fl_sched_job plain_job(double cpus, uint32_t waiting_count, double estimate_s,
                              double waited_s)
{
	return (struct fl_sched_job){.priority = FL_STANDARD,
	                             .need.cpus = cpus,
	                             .need.ram_gb = 1,
	                             .task_count = waiting_count,
	                             .startable_count = waiting_count,
	                             .estimate_s = estimate_s,
	                             .waited_s = waited_s,
	                             .allowed_types = 1,
	                             .zone = -1,
	                             .window_remaining_s = -1};
}

struct fl_sched_machine plain_machine(double cpus)
{
	return (struct fl_sched_machine){.free.cpus = cpus,
	                                 .free.ram_gb = 64,
	                                 .pull_gb_per_s = 1,
	                                 .cached_images = default_cached_images};
}

struct fl_sched_attempt running_attempt(int machine, double cpus, double remaining_s)
{
	return (struct fl_sched_attempt){.machine = machine,
	                                 .priority = FL_STANDARD,
	                                 .preemptible = true,
	                                 .used.cpus = cpus,
	                                 .used.ram_gb = 1,
	                                 .estimated_remaining_s = remaining_s};
}
