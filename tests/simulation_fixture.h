/* cmocka setup and teardown functions: each test gets a simulated leader with its workers. */
#ifndef FL_TESTS_SIMULATION_FIXTURE_H
#define FL_TESTS_SIMULATION_FIXTURE_H

#include <stdlib.h>

#include "reconciliation_sim.h"

static inline int begin_simulation(void **state)
{
	struct simulation *sim = malloc(sizeof(*sim));

	if (!sim)
		return 1;
	set_up(sim, 1);
	*state = sim;
	return 0;
}

static inline int end_simulation(void **state)
{
	tear_down(*state);
	free(*state);
	return 0;
}

#endif
