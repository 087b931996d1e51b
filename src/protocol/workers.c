#include "protocol/workers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const task_state_names[] = {"pulling", "running", "flushing", "ended",
                                               "gathering"};
static const char *const exit_reason_names[] = {"done", "stopped", "error",      "no_room",
                                                "busy", "no_such", "mates_gone", "alone"};
static const char *const command_names[] = {"launch", "kill", "forget"};

/* HTTP statuses of a worker's response; with ACCEPTED and REJECTED it holds a heartbeat. */
enum { STATUS_ACCEPTED = 200, STATUS_REJECTED = 409, STATUS_INVALID = 400 };

/* Decodes the name of a task, such as "run-000412/3". */
static bool decode_task_name(const char *name, struct fl_task_status *status)
{
	const char *slash = strchr(name, '/');
	size_t ref_length;
	unsigned long index;
	char *end;

	if (!slash)
		return false;
	ref_length = (size_t)(slash - name);
	if (ref_length >= sizeof(status->ref) || slash[1] < '0' || slash[1] > '9')
		return false;
	memcpy(status->ref, name, ref_length);
	status->ref[ref_length] = 0;
	index = strtoul(slash + 1, &end, 10);
	if (*end || index >= FL_TASKS_MAX || !fl_job_ref_is_valid(status->ref))
		return false;
	status->index = (uint32_t)index;
	return true;
}

static enum fl_decode_result decode_task(const cJSON *item, struct fl_task_status *status)
{
	char name[FL_REF_MAX + 16];
	uint64_t attempt;
	int state, reason;

	if (fl_json_get_string(item, "Part", name, sizeof(name)) != FL_JSON_OK ||
	    !decode_task_name(name, status))
		return FL_DECODE_MALFORMED;
	if (fl_json_get_uint(item, "Try", &attempt) != FL_JSON_OK || attempt > UINT32_MAX)
		return FL_DECODE_MALFORMED;
	status->attempt = (uint32_t)attempt;
	if (fl_json_get_choice(item, "Status", task_state_names, FL_COUNT_OF(task_state_names),
	                       &state) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	status->state = (enum fl_task_state)state;
	status->exit_reason = FL_EXIT_OTHER;
	if (fl_json_get_choice(item, "ExitReason", exit_reason_names,
	                       FL_COUNT_OF(exit_reason_names), &reason) == FL_JSON_OK)
		status->exit_reason = (enum fl_exit_reason)reason;
	fl_json_get_bool(item, "Saved", &status->checkpoint_saved);
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_tasks(const cJSON *list, struct fl_heartbeat *out)
{
	int count = cJSON_GetArraySize(list);
	const cJSON *item;

	/*
	 * A heartbeat without the list must not be read as one without tasks: each task of the
	 * machine would be started again.
	 */
	if (!cJSON_IsArray(list))
		return FL_DECODE_MALFORMED;
	if (count == 0)
		return FL_DECODE_OK;
	out->tasks = calloc((size_t)count, sizeof(*out->tasks));
	if (!out->tasks)
		return FL_DECODE_NO_MEMORY;
	cJSON_ArrayForEach (item, list) {
		if (decode_task(item, &out->tasks[out->task_count]) != FL_DECODE_OK)
			return FL_DECODE_MALFORMED;
		out->task_count++;
	}
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_machine(const cJSON *object, struct fl_heartbeat *out)
{
	if (fl_json_get_string(object, "Host", out->host, sizeof(out->host)) != FL_JSON_OK ||
	    !out->host[0] ||
	    fl_json_get_string(object, "Endpoint", out->endpoint, sizeof(out->endpoint)) !=
	            FL_JSON_OK ||
	    fl_json_get_string(object, "HostKind", out->type, sizeof(out->type)) != FL_JSON_OK ||
	    fl_json_get_string(object, "Site", out->zone, sizeof(out->zone)) != FL_JSON_OK ||
	    fl_json_get_bool(object, "Reclaimable", &out->spot) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	return FL_DECODE_OK;
}

static enum fl_decode_result decode_heartbeat(const cJSON *object, struct fl_heartbeat *out)
{
	if (decode_machine(object, out) != FL_DECODE_OK ||
	    fl_json_get_uint(object, "Tenure", &out->incarnation) != FL_JSON_OK ||
	    fl_json_get_uint(object, "Serial", &out->sequence) != FL_JSON_OK ||
	    fl_json_get_uint(object, "Epoch", &out->fencing_token) != FL_JSON_OK)
		return FL_DECODE_MALFORMED;
	if (fl_json_get_amount(object, "ReclaimInS", &out->interruption_in_s) != FL_JSON_OK)
		out->interruption_in_s = -1;
	return decode_tasks(fl_json_get(object, "Parts"), out);
}

enum fl_decode_result fl_heartbeat_decode_json(const cJSON *object, struct fl_heartbeat *out)
{
	enum fl_decode_result result = FL_DECODE_MALFORMED;

	memset(out, 0, sizeof(*out));
	if (cJSON_IsObject(object))
		result = decode_heartbeat(object, out);
	if (result != FL_DECODE_OK)
		fl_heartbeat_free(out);
	return result;
}

enum fl_decode_result fl_heartbeat_decode(const char *body, size_t length, struct fl_heartbeat *out)
{
	cJSON *object = fl_json_parse(body, length);
	enum fl_decode_result result = fl_heartbeat_decode_json(object, out);

	cJSON_Delete(object);
	return result;
}

void fl_heartbeat_free(struct fl_heartbeat *heartbeat)
{
	free(heartbeat->tasks);
	heartbeat->tasks = NULL;
	heartbeat->task_count = 0;
}

static void add_task_name(cJSON *object, const char *ref, uint32_t index)
{
	char name[FL_REF_MAX + 16];

	snprintf(name, sizeof(name), "%s/%u", ref, index);
	cJSON_AddStringToObject(object, "Part", name);
}

static cJSON *encode_task(const struct fl_task_status *status)
{
	cJSON *item = cJSON_CreateObject();

	add_task_name(item, status->ref, status->index);
	cJSON_AddNumberToObject(item, "Try", status->attempt);
	cJSON_AddStringToObject(item, "Status", task_state_names[status->state]);
	if (status->state == FL_TASK_STATE_EXITED && status->exit_reason != FL_EXIT_OTHER)
		cJSON_AddStringToObject(item, "ExitReason", exit_reason_names[status->exit_reason]);
	if (status->checkpoint_saved)
		cJSON_AddBoolToObject(item, "Saved", true);
	return item;
}

char *fl_heartbeat_encode(const struct fl_heartbeat *heartbeat)
{
	cJSON *object = cJSON_CreateObject(), *list;

	cJSON_AddStringToObject(object, "Host", heartbeat->host);
	cJSON_AddStringToObject(object, "Endpoint", heartbeat->endpoint);
	cJSON_AddStringToObject(object, "HostKind", heartbeat->type);
	cJSON_AddStringToObject(object, "Site", heartbeat->zone);
	cJSON_AddBoolToObject(object, "Reclaimable", heartbeat->spot);
	cJSON_AddNumberToObject(object, "Tenure", (double)heartbeat->incarnation);
	cJSON_AddNumberToObject(object, "Serial", (double)heartbeat->sequence);
	cJSON_AddNumberToObject(object, "Epoch", (double)heartbeat->fencing_token);
	if (heartbeat->interruption_in_s >= 0)
		cJSON_AddNumberToObject(object, "ReclaimInS", heartbeat->interruption_in_s);
	list = cJSON_AddArrayToObject(object, "Parts");
	for (int i = 0; i < heartbeat->task_count; i++)
		cJSON_AddItemToArray(list, encode_task(&heartbeat->tasks[i]));
	return fl_json_print_and_delete(object);
}

void fl_command_list_init(struct fl_command_list *commands, uint64_t fencing_token)
{
	commands->root = cJSON_CreateObject();
	cJSON_AddNumberToObject(commands->root, "Epoch", (double)fencing_token);
	commands->list = cJSON_AddArrayToObject(commands->root, "Orders");
	commands->count = commands->forget_count = 0;
}

bool fl_command_list_has_room(const struct fl_command_list *commands, enum fl_command_kind kind)
{
	if (kind == FL_COMMAND_FORGET && commands->forget_count == FL_FORGET_COMMANDS_MAX)
		return false;
	return commands->count < FL_COMMANDS_MAX;
}

void fl_command_list_bind_incarnation(struct fl_command_list *commands, uint64_t incarnation)
{
	cJSON_AddNumberToObject(commands->root, "Tenure", (double)incarnation);
}

void fl_command_list_add(struct fl_command_list *commands, const struct fl_command *command)
{
	cJSON *item;

	if (!fl_command_list_has_room(commands, command->kind))
		return;
	item = cJSON_CreateObject();
	cJSON_AddStringToObject(item, "Verb", command_names[command->kind]);
	add_task_name(item, command->ref, command->index);
	cJSON_AddNumberToObject(item, "Try", command->attempt);
	if (command->kind == FL_COMMAND_STOP)
		cJSON_AddNumberToObject(item, "WindDownS", command->grace_period_s);
	cJSON_AddItemToArray(commands->list, item);
	commands->count++;
	commands->forget_count += command->kind == FL_COMMAND_FORGET;
}

char *fl_command_list_take_body(struct fl_command_list *commands)
{
	char *text = fl_json_print_and_delete(commands->root);

	commands->root = commands->list = NULL;
	return text;
}

static enum fl_worker_result decode_reply(const struct fl_http_reply *reply,
                                          struct fl_heartbeat *heartbeat)
{
	if (reply->status == STATUS_INVALID)
		return FL_WORKER_INVALID;
	if (reply->status != STATUS_ACCEPTED && reply->status != STATUS_REJECTED)
		return FL_WORKER_OUTCOME_UNKNOWN;
	if (fl_heartbeat_decode(reply->body.data, reply->body.length, heartbeat) != FL_DECODE_OK)
		return FL_WORKER_OUTCOME_UNKNOWN;
	return reply->status == STATUS_ACCEPTED ? FL_WORKER_ACCEPTED : FL_WORKER_REJECTED;
}

enum fl_worker_result fl_worker_send_commands(const char *endpoint, const char *body,
                                              double timeout_s, struct fl_heartbeat *heartbeat)
{
	struct fl_http_client client;
	struct fl_http_reply reply;
	enum fl_worker_result result;

	memset(heartbeat, 0, sizeof(*heartbeat));
	if (fl_http_client_init(&client, endpoint, 0) != 0 ||
	    fl_http_call(&client, "POST", "/commands", body, timeout_s, &reply) != 0)
		return FL_WORKER_OUTCOME_UNKNOWN;
	result = decode_reply(&reply, heartbeat);
	fl_buffer_free(&reply.body);
	return result;
}

char *fl_redirect_encode(const char *node)
{
	cJSON *object = cJSON_CreateObject();

	if (node)
		cJSON_AddStringToObject(object, "Steward", node);
	return fl_json_print_and_delete(object);
}
