/* One command of a controller to a worker, as the fake workers decode it. */
#ifndef FL_TESTS_WORKER_COMMAND_H
#define FL_TESTS_WORKER_COMMAND_H

#include "protocol/json.h"
#include "protocol/workers.h"

struct worker_command {
	enum fl_command_kind kind;
	struct fl_task_status task; /* ref, index and attempt; the rest is zero */
	double grace_period_s;      /* of a stop command */
};

/* Decodes a command; aborts if the protocol has no such command. */
struct worker_command worker_command_decode(const cJSON *item);

/* Return whether the task of a command is this task, or this attempt of this task. */
bool worker_command_is_for_task(const struct fl_task_status *command_task,
                                const struct fl_task_status *task);
bool worker_command_is_for_attempt(const struct fl_task_status *command_task,
                                   const struct fl_task_status *task);

#endif
