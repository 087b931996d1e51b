/* Two heartbeats with their texts on the wire: one of a busy machine and one of an idle machine. */
#ifndef FL_TESTS_CONTRACT_HEARTBEATS_H
#define FL_TESTS_CONTRACT_HEARTBEATS_H

#include "protocol/workers.h"

/* A heartbeat with a task in each state, and an exited task for each exit reason. */
extern const char busy_heartbeat_text[];
extern const char idle_heartbeat_text[];
extern const struct fl_heartbeat idle_heartbeat;

/* Returns the heartbeat of busy_heartbeat_text; its tasks must not be freed or changed. */
struct fl_heartbeat busy_heartbeat(void);

/*
 * Asserts that both have the same number of tasks, and that the fields of each task that a cached
 * heartbeat contains are equal.
 */
void assert_heartbeat_tasks_equal(const struct fl_heartbeat *got,
                                  const struct fl_heartbeat *expected);

/* Asserts that all fields are equal. */
void assert_heartbeat_equal(const struct fl_heartbeat *got, const struct fl_heartbeat *expected);

#endif
