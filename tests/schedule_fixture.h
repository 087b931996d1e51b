/* What the tests of the scheduling pass share: a snapshot of a cluster and plain entries for it. */
#ifndef FL_TESTS_SCHEDULE_FIXTURE_H
#define FL_TESTS_SCHEDULE_FIXTURE_H

#include "coordination/scheduling/schedule.h"

enum { JOBS = 80, MACHINES = 300, RUNS = 700, TEAMS = 3, ZONES = 3 };

struct snapshot {
	struct fl_sched_job jobs[JOBS];
	struct fl_sched_machine machines[MACHINES];
	int cache[MACHINES][FL_IMAGE_CACHE_MAX];
	struct fl_sched_attempt runs[RUNS];
	struct fl_team teams[TEAMS];
	int n_jobs, n_machines, n_runs;
	double spot_loss; /* chance a second that a spot machine is reclaimed */
};

/* Runs one pass with the default parameters. */
void run_schedule(struct snapshot *snapshot, struct fl_sched_output *output);

struct fl_sched_job plain_job(double cpus, uint32_t waiting, double est, double waited);

struct fl_sched_machine plain_machine(double cpus);

struct fl_sched_attempt plain_run(int machine, double cpus, double left);

#endif
