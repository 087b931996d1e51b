/* Random snapshots of a cluster, the same ones for the same seed. */
#ifndef FL_TESTS_SCHEDULE_RANDOM_H
#define FL_TESTS_SCHEDULE_RANDOM_H

#include <gsl/gsl_rng.h>

#include "schedule_fixture.h"

/* A whole number from 0 to limit - 1. */
double random_below(gsl_rng *rng, int limit);

/* At most so many jobs and machines, and so many tries to add an attempt that fits. */
void random_snapshot(gsl_rng *rng, struct snapshot *snapshot, int jobs, int machines,
                     int attempt_tries);

#endif
