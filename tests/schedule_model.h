/*
 * A slow, plain model of the scheduling rules, against which the real pass is compared: it looks at
 * every machine for every task and has none of the real pass's indexes.
 */
#ifndef FL_TESTS_SCHEDULE_MODEL_H
#define FL_TESTS_SCHEDULE_MODEL_H

#include "schedule_fixture.h"

enum { STARTS = 1000 };

struct model {
	struct snapshot snapshot;
	double later[MACHINES][3]; /* capacity that stops will free */
	struct fl_sched_start starts[STARTS];
	int stops[RUNS];
	int n_starts, n_stops, top;
	double window;
	uint32_t short_of[JOBS];
	uint32_t held; /* of the current job: tasks that wait for a machine with their image */
};

/* Plays one pass on the snapshot in the model, and notes what it decides. */
void model_pass(struct model *model);

/* ---- the rules, which change nothing ---- */

/* May a task of the job run there at all, by type, zone and reclaimability? */
bool model_allowed(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

/* Does one task of the job fit into this? */
bool model_room(const struct fl_sched_job *job, double cpus, double gpus, double ram_gb);

/* May one more task of the job be in this zone, by those it already has? */
bool model_zone(const struct fl_sched_job *job, int zone);

/* Is one more task of the job within the limits of its team? */
bool model_team(const struct model *model, const struct fl_sched_job *job);

/* Is this use within the guarantee of the team? */
bool model_in_guarantee(const struct fl_team *team, double cpus, double gpus);

/* Is it a service that goes before all other jobs? */
bool model_ahead(const struct fl_sched_job *job);

/* Is the image of the job in the cache of the machine? */
bool model_holds(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

/* Of a placement; the lowest is the best. */
double model_score(const struct model *model, const struct fl_sched_job *job,
                   const struct fl_sched_machine *machine);

/* The zone of a job whose tasks must be together; -1: any. */
int model_zone_choice(const struct model *model, const struct fl_sched_job *job);

/* May this run be stopped for the job? */
bool model_victim(const struct model *model, const struct fl_sched_job *job,
                  const struct fl_sched_attempt *attempt, bool within_guarantee);

/* Free or about to become free on a machine, less what is reserved to one before `job`. */
void model_open(const struct model *model, const struct fl_sched_job *job, int index,
                double open[3]);

/* Seconds until the next start of the job fits, by the estimates of the runs. */
double model_wait(const struct model *model, const struct fl_sched_job *job);

#endif
