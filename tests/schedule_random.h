/* Random snapshots of a cluster; equal seeds give equal snapshots. */
#ifndef FL_TESTS_SCHEDULE_RANDOM_H
#define FL_TESTS_SCHEDULE_RANDOM_H

#include <gsl/gsl_rng.h>

#include "schedule_fixture.h"

/* Returns a random integer from 0 to limit - 1. */
double random_below(gsl_rng *rng, int limit);

/*
 * Fills the snapshot with at most `jobs` jobs and `machines` machines, and with those of
 * `attempt_tries` random attempts that fit on their machine.
 */
void random_snapshot(gsl_rng *rng, struct snapshot *snapshot, int jobs, int machines,
                     int attempt_tries);

#endif
