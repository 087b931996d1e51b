/* Two heartbeats and their texts on the wire: a busy machine's, and an idle one's. */
#ifndef FL_TESTS_CONTRACT_HEARTBEATS_H
#define FL_TESTS_CONTRACT_HEARTBEATS_H

#include "protocol/workers.h"

/* With a task in each state, and one that ended for each reason. */
extern const char busy_heartbeat_text[];
extern const char idle_heartbeat_text[];
extern const struct fl_heartbeat idle_heartbeat;

/* The heartbeat of busy_heartbeat_text; its tasks must not be freed or changed. */
struct fl_heartbeat busy_heartbeat(void);

/* All fields are equal that a cached heartbeat keeps of each task, and the tasks are as many. */
void assert_heartbeat_tasks_equal(const struct fl_heartbeat *got,
                                  const struct fl_heartbeat *expected);

/* All fields are equal. */
void assert_heartbeat_equal(const struct fl_heartbeat *got, const struct fl_heartbeat *expected);

#endif
