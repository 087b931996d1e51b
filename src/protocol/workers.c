#include "protocol/workers.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {"pulling", "running", "flushing", "ended", "gathering"};
static const char *const exit_names[] = {"done", "stopped", "error",      "no_room",
                                         "busy", "no_such", "mates_gone", "alone"};
static const char *const verb_names[] = {"launch", "kill", "forget"};

static int find(const char *s, const char *const *names, int n)
{
	for (int i = 0; i < n; i++)
		if (strcmp(s, names[i]) == 0)
			return i;
	return -1;
}

/* "run-000412/3" */
static int split_task(const char *name, struct fl_task_status *status)
{
	const char *slash = strchr(name, '/');
	char *end;
	unsigned long index;

	if (!slash || (size_t)(slash - name) >= sizeof(status->ref) || slash[1] < '0' ||
	    slash[1] > '9')
		return -EPROTO;
	memcpy(status->ref, name, (size_t)(slash - name));
	status->ref[slash - name] = 0;
	index = strtoul(slash + 1, &end, 10);
	if (*end || index >= FL_TASKS_MAX || !fl_job_ref_is_valid(status->ref))
		return -EPROTO;
	status->index = (uint32_t)index;
	return 0;
}

static int decode_task(const cJSON *item, struct fl_task_status *status)
{
	char name[FL_REF_MAX + 16], word[32];
	uint64_t attempt;
	int k;

	if (fl_json_get_string(item, "Part", name, sizeof(name)) != FL_JSON_OK ||
	    split_task(name, status) != 0)
		return -EPROTO;
	if (fl_json_get_count(item, "Try", &attempt) != FL_JSON_OK || attempt > UINT32_MAX)
		return -EPROTO;
	status->attempt = (uint32_t)attempt;
	if (fl_json_get_string(item, "Status", word, sizeof(word)) != FL_JSON_OK)
		return -EPROTO;
	k = find(word, state_names, 5);
	if (k < 0)
		return -EPROTO;
	status->state = (enum fl_task_state)k;
	status->exit = FL_EXIT_OTHER;
	if (fl_json_get_string(item, "ExitReason", word, sizeof(word)) == FL_JSON_OK) {
		k = find(word, exit_names, 8);
		if (k >= 0)
			status->exit = (enum fl_exit)k;
	}
	fl_json_get_bool(item, "Saved", &status->saved);
	return 0;
}

static int decode_tasks(const cJSON *list, struct fl_heartbeat *out)
{
	const cJSON *item;
	int n = cJSON_GetArraySize(list);

	if (n == 0)
		return 0;
	out->tasks = calloc((size_t)n, sizeof(*out->tasks));
	if (!out->tasks)
		return -ENOMEM;
	cJSON_ArrayForEach (item, list) {
		int rc = decode_task(item, &out->tasks[out->task_count]);

		if (rc)
			return rc;
		out->task_count++;
	}
	return 0;
}

static int decode_fields(const cJSON *object, struct fl_heartbeat *out)
{
	const cJSON *list = fl_json_get(object, "Parts");
	enum fl_json_result f;

	if (fl_json_get_string(object, "Host", out->host, sizeof(out->host)) != FL_JSON_OK ||
	    !out->host[0] ||
	    fl_json_get_string(object, "Endpoint", out->endpoint, sizeof(out->endpoint)) !=
	            FL_JSON_OK ||
	    fl_json_get_string(object, "HostKind", out->type, sizeof(out->type)) != FL_JSON_OK ||
	    fl_json_get_string(object, "Site", out->zone, sizeof(out->zone)) != FL_JSON_OK ||
	    fl_json_get_bool(object, "Reclaimable", &out->spot) != FL_JSON_OK ||
	    fl_json_get_count(object, "Tenure", &out->incarnation) != FL_JSON_OK ||
	    fl_json_get_count(object, "Serial", &out->sequence) != FL_JSON_OK ||
	    fl_json_get_count(object, "Epoch", &out->fencing_token) != FL_JSON_OK)
		return -EPROTO;
	f = fl_json_get_amount(object, "ReclaimInS", &out->interruption_in_s);
	if (f != FL_JSON_OK)
		out->interruption_in_s = -1;
	/* Without its tasks a report would say that none is there, and each would start again. */
	return cJSON_IsArray(list) ? decode_tasks(list, out) : -EPROTO;
}

int fl_heartbeat_decode_json(const cJSON *object, struct fl_heartbeat *out)
{
	int rc;

	memset(out, 0, sizeof(*out));
	rc = cJSON_IsObject(object) ? decode_fields(object, out) : -EPROTO;
	if (rc)
		fl_heartbeat_free(out);
	return rc;
}

int fl_heartbeat_decode(const char *body, size_t len, struct fl_heartbeat *out)
{
	cJSON *object = fl_json_parse(body, len);
	int rc = fl_heartbeat_decode_json(object, out);

	cJSON_Delete(object);
	return rc;
}

void fl_heartbeat_free(struct fl_heartbeat *heartbeat)
{
	free(heartbeat->tasks);
	heartbeat->tasks = NULL;
	heartbeat->task_count = 0;
}

static void add_part_name(cJSON *object, const char *ref, uint32_t index)
{
	char name[FL_REF_MAX + 16];

	snprintf(name, sizeof(name), "%s/%u", ref, index);
	cJSON_AddStringToObject(object, "Part", name);
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
	for (int i = 0; i < heartbeat->task_count; i++) {
		const struct fl_task_status *status = &heartbeat->tasks[i];
		cJSON *item = cJSON_CreateObject();

		add_part_name(item, status->ref, status->index);
		cJSON_AddNumberToObject(item, "Try", status->attempt);
		cJSON_AddStringToObject(item, "Status", state_names[status->state]);
		if (status->state == FL_TASK_STATE_EXITED && status->exit != FL_EXIT_OTHER)
			cJSON_AddStringToObject(item, "ExitReason", exit_names[status->exit]);
		if (status->saved)
			cJSON_AddBoolToObject(item, "Saved", true);
		cJSON_AddItemToArray(list, item);
	}
	return fl_json_print_and_delete(object);
}

void fl_command_list_init(struct fl_command_list *commands, uint64_t fencing_token)
{
	commands->root = cJSON_CreateObject();
	cJSON_AddNumberToObject(commands->root, "Epoch", (double)fencing_token);
	commands->list = cJSON_AddArrayToObject(commands->root, "Orders");
	commands->count = 0;
}

void fl_command_list_bind_incarnation(struct fl_command_list *commands, uint64_t incarnation)
{
	cJSON_AddNumberToObject(commands->root, "Tenure", (double)incarnation);
}

void fl_command_list_add(struct fl_command_list *commands, enum fl_command_kind kind,
                         const char *ref, uint32_t index, uint32_t attempt, double grace_period_s)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, "Verb", verb_names[kind]);
	add_part_name(item, ref, index);
	cJSON_AddNumberToObject(item, "Try", attempt);
	if (kind == FL_COMMAND_STOP)
		cJSON_AddNumberToObject(item, "WindDownS", grace_period_s);
	cJSON_AddItemToArray(commands->list, item);
	commands->count++;
}

char *fl_command_list_take(struct fl_command_list *commands)
{
	char *s = fl_json_print_and_delete(commands->root);

	commands->root = commands->list = NULL;
	return s;
}

int fl_worker_send_commands(const char *endpoint, const char *body, double timeout_s,
                            struct fl_heartbeat *out)
{
	struct fl_http_client client;
	struct fl_http_reply reply;
	int rc = fl_http_client_init(&client, endpoint, 0);

	memset(out, 0, sizeof(*out));
	if (rc)
		return rc;
	rc = fl_http_call(&client, "POST", "/commands", body, timeout_s, &reply);
	if (rc)
		return rc;
	rc = reply.status;
	if (rc == 200 || rc == 409) {
		int bad = fl_heartbeat_decode(reply.body.data, reply.body.length, out);

		if (bad)
			rc = bad;
	}
	fl_buffer_free(&reply.body);
	return rc;
}

char *fl_redirect_encode(const char *node)
{
	cJSON *object = cJSON_CreateObject();

	if (node)
		cJSON_AddStringToObject(object, "Steward", node);
	return fl_json_print_and_delete(object);
}
