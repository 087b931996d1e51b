/* What the scheduling tests share: a snapshot of a cluster, and plain entries for it. */
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
	double spot_loss_rate; /* chance a second that a spot machine is interrupted */
};

/* Runs one scheduling cycle with the default parameters. */
void run_schedule(struct snapshot *snapshot, struct fl_sched_output *output);

struct fl_sched_job plain_job(double cpus, uint32_t waiting_count, double estimate_s,
                              double waited_s);

struct fl_sched_machine plain_machine(double cpus);

struct fl_sched_attempt running_attempt(int machine, double cpus, double remaining_s);

#endif
