/* One command of a controller to a worker, as the fakes of workers read it. */
#ifndef FL_TESTS_WORKER_COMMAND_H
#define FL_TESTS_WORKER_COMMAND_H

#include "protocol/json.h"
#include "protocol/workers.h"

struct worker_command {
	enum fl_command_kind kind;
	struct fl_task_status task; /* ref, index and attempt; the rest is zero */
	double grace_period_s;      /* of a stop */
};

/* Aborts for what the protocol does not know. */
struct worker_command worker_command_decode(const cJSON *item);

bool worker_command_is_for_task(const struct fl_task_status *command,
                                const struct fl_task_status *task);
bool worker_command_is_for_attempt(const struct fl_task_status *command,
                                   const struct fl_task_status *task);

#endif
