/* Shared by the scheduling tests: a snapshot of a cluster, and default entries for it. */
#ifndef FL_TESTS_SCHEDULE_FIXTURE_H
#define FL_TESTS_SCHEDULE_FIXTURE_H

#include "coordination/scheduling/schedule.h"

enum { JOBS_MAX = 80, MACHINES_MAX = 300, ATTEMPTS_MAX = 700, TEAMS = 3, ZONES = 3 };

struct snapshot {
	struct fl_sched_job jobs[JOBS_MAX];
	struct fl_sched_machine machines[MACHINES_MAX];
	int cached_images[MACHINES_MAX][FL_IMAGE_CACHE_MAX];
	struct fl_sched_attempt attempts[ATTEMPTS_MAX];
	struct fl_team teams[TEAMS];
	int job_count, machine_count, attempt_count;
	double spot_loss_rate; /* probability per second that a spot machine is reclaimed */
};

/* Runs one scheduling cycle with the default parameters; the caller frees the output. */
void run_schedule(struct snapshot *snapshot, struct fl_sched_output *output);

/* Returns an array of standard priority with this many waiting tasks, each with these CPUs. */
struct fl_sched_job plain_job(double cpus, uint32_t waiting_count, double estimate_s,
                              double waited_s);

/* Returns an on-demand machine without attempts; only the image of plain jobs is cached. */
struct fl_sched_machine plain_machine(double cpus);

/* Returns a preemptible attempt of standard priority on a machine, given by its index. */
struct fl_sched_attempt running_attempt(int machine, double cpus, double remaining_s);

#endif
