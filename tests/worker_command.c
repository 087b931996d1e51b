#include "worker_command.h"

#include <stdlib.h>
#include <string.h>

#include "copy_text.h"

static enum fl_command_kind kind_from_verb(const char *verb)
{
	if (strcmp(verb, "launch") == 0)
		return FL_COMMAND_START;
	if (strcmp(verb, "kill") == 0)
		return FL_COMMAND_STOP;
	if (strcmp(verb, "forget") == 0)
		return FL_COMMAND_FORGET;
	abort();
}

struct worker_command worker_command_decode(const cJSON *item)
{
	struct worker_command command = {0};
	char verb[16] = "", name[64] = "", *slash;
	uint64_t attempt = 0;

	fl_json_get_string(item, "Verb", verb, sizeof(verb));
	fl_json_get_string(item, "Part", name, sizeof(name));
	fl_json_get_uint(item, "Try", &attempt);
	fl_json_get_amount(item, "WindDownS", &command.grace_period_s);
	slash = strchr(name, '/');
	if (!slash)
		abort();
	*slash = 0;
	command.kind = kind_from_verb(verb);
	copy_text(command.task.ref, sizeof(command.task.ref), name);
	command.task.index = (uint32_t)strtoul(slash + 1, NULL, 10);
	command.task.attempt = (uint32_t)attempt;
	return command;
}

bool worker_command_is_for_task(const struct fl_task_status *command,
                                const struct fl_task_status *task)
{
	return command->index == task->index && strcmp(command->ref, task->ref) == 0;
}

bool worker_command_is_for_attempt(const struct fl_task_status *command,
                                   const struct fl_task_status *task)
{
	return command->attempt == task->attempt && worker_command_is_for_task(command, task);
}
