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
	bool stopped_now[RUNS];
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

/* ---- the rules, which decide nothing by themselves ---- */

bool model_allowed(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

bool model_room(const struct fl_sched_job *job, double cpus, double gpus, double ram_gb);

bool model_zone(const struct fl_sched_job *job, int zone);

bool model_team(const struct model *model, const struct fl_sched_job *job);

bool model_in_guarantee(const struct fl_team *team, double cpus, double gpus);

bool model_ahead(const struct fl_sched_job *job);

bool model_holds(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

double model_score(const struct model *model, const struct fl_sched_job *job,
                   const struct fl_sched_machine *machine);

int model_zone_choice(const struct model *model, const struct fl_sched_job *job);

bool model_victim(const struct model *model, const struct fl_sched_job *job,
                  const struct fl_sched_run *run, bool within_guarantee);

/* Free or about to become free on a machine, less what is reserved to one before `job`. */
void model_open(const struct model *model, const struct fl_sched_job *job, int index,
                double open[3]);

double model_wait(const struct model *model, const struct fl_sched_job *job);

#endif
