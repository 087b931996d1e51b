/* Random machines, attempts and jobs. The order of the draws is fixed: seeds depend on it. */
#include "schedule_random.h"

#include <math.h>
#include <string.h>

double random_below(gsl_rng *rng, int limit)
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
		                                  .pull_gb_per_s = 0.5,
		                                  .cached_images = snapshot->cached_images[i]};
		snapshot->machines[i].reserved.active = random_below(rng, 4) == 0;
		snapshot->machines[i].reserved.by_guarantee = random_below(rng, 2) > 0;
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
		attempt.holds_guarantee = random_below(rng, 3) == 0;
		attempt.last_running_task = !attempt.service && random_below(rng, 3) == 0;
		attempt.used.cpus = 1 + random_below(rng, 6);
		attempt.used.gpus = random_below(rng, 3);
		attempt.used.ram_gb = 4 + random_below(rng, 12);
		attempt.estimated_remaining_s =
			attempt.service ? INFINITY : 1 + random_below(rng, 200);
		attempt.stop_loss_s = random_below(rng, 100) + 0.001 * i;
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
		job->within_guaranteed_quota = random_below(rng, 3) == 0;
		/* In most snapshots the same; not drawn, so that known seeds give known jobs. */
		job->holds_guarantee = job->within_guaranteed_quota != (i % 5 == 4);
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
		job->window_remaining_s = random_below(rng, 2) ? -1 : random_below(rng, 300);
		job->held_s = i % 3 == 2 ? 60 : i % 3 * 59; /* not drawn, as above */
	}
}

void random_snapshot(gsl_rng *rng, struct snapshot *snapshot, int jobs, int machines,
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
