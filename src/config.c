#include "config.h"

#include <cjson/cJSON.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "toml.h"
#include "transport/socket.h"
#include "transport/text.h"

enum setting_type { SETTING_STRING, SETTING_ADDRESS, SETTING_NUMBER, SETTING_INTEGER };

/* A setting: its key in the table that holds it, and the field that it is stored in. */
struct setting {
	const char *key;
	size_t offset;
	enum setting_type type;
	bool optional;
	double min, max; /* range of a number */
};

/* A table of settings that are read into struct fl_config. */
struct table {
	const char *key, *key_prefix; /* the settings' full keys begin with `key_prefix` */
	const struct setting *settings;
	size_t setting_count;
};

/* An optional list of tables, each read into an element of an array in struct fl_config. */
struct table_list {
	const char *key, *parent_prefix;
	const struct setting *settings;
	size_t setting_count;
	size_t array_offset, element_size, count_offset;
	int max;
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
/* Initialisers of a setting that is stored in a field of the struct `owner`. */
#define STRING(owner, field, name)                                                                 \
	{                                                                                          \
		(name), offsetof(owner, field), SETTING_STRING, false, 0, 0                        \
	}
#define OPTIONAL_STRING(owner, field, name)                                                        \
	{                                                                                          \
		(name), offsetof(owner, field), SETTING_STRING, true, 0, 0                         \
	}
#define ADDRESS(owner, field, name)                                                                \
	{                                                                                          \
		(name), offsetof(owner, field), SETTING_ADDRESS, false, 0, 0                       \
	}
#define NUMBER(owner, field, name, min, max)                                                       \
	{                                                                                          \
		(name), offsetof(owner, field), SETTING_NUMBER, false, (min), (max)                \
	}
#define OPTIONAL_NUMBER(owner, field, name, min, max)                                              \
	{                                                                                          \
		(name), offsetof(owner, field), SETTING_NUMBER, true, (min), (max)                 \
	}
#define OPTIONAL_INTEGER(owner, field, name, min, max)                                             \
	{                                                                                          \
		(name), offsetof(owner, field), SETTING_INTEGER, true, (min), (max)                \
	}
#define INTEGER(owner, field, name, min, max)                                                      \
	{                                                                                          \
		(name), offsetof(owner, field), SETTING_INTEGER, false, (min), (max)               \
	}

static const struct setting root_settings[] = {
	STRING(struct fl_config, node, "node"),
	STRING(struct fl_config, location, "location"),
	ADDRESS(struct fl_config, bind, "bind"),
	ADDRESS(struct fl_config, cluster_listen, "cluster_listen"),
};

static const struct setting peer_settings[] = {
	STRING(struct fl_config_peer, node, "node"),
	STRING(struct fl_config_peer, location, "location"),
	ADDRESS(struct fl_config_peer, addr, "addr"),
};

static const struct setting external_settings[] = {
	ADDRESS(struct fl_config, cloud, "cloud"),
	ADDRESS(struct fl_config, state, "state"),
};

static const struct setting team_settings[] = {
	STRING(struct fl_config_team, name, "name"),
	NUMBER(struct fl_config_team, cpus, "cpus", 0, 1e9),
	NUMBER(struct fl_config_team, cpus_max, "cpus_max", 0, 1e9),
	NUMBER(struct fl_config_team, gpus, "gpus", 0, 1e9),
	NUMBER(struct fl_config_team, gpus_max, "gpus_max", 0, 1e9),
};

static const struct setting slo_settings[] = {
	STRING(struct fl_config_slo, kind, "kind"),
	OPTIONAL_STRING(struct fl_config_slo, job_class, "class"),
	NUMBER(struct fl_config_slo, within_s, "within_s", 0, 1e9),
	NUMBER(struct fl_config_slo, share, "share", 0, 1),
};

static const struct setting worker_settings[] = {
	NUMBER(struct fl_config, report_s, "report_s", 0.05, 600),
	NUMBER(struct fl_config, lease_s, "lease_s", 0.5, 3600),
	NUMBER(struct fl_config, cancel_s, "cancel_s", 0.5, 36000),
};

static const struct setting state_settings[] = {
	NUMBER(struct fl_config, state_rps, "rps", 1, 1e6),
	NUMBER(struct fl_config, state_write_rps, "write_rps", 1, 1e6),
	NUMBER(struct fl_config, value_kb, "value_kb", 1, 1e6),
	INTEGER(struct fl_config, txn_ops, "txn_ops", 2, 1e6),
};

/* The bounds of these settings are those of the present limits. */
static const struct setting next_state_settings[] = {
	OPTIONAL_NUMBER(struct fl_config, next_state_write_rps, "write_rps", 1, 1e6),
	OPTIONAL_NUMBER(struct fl_config, next_value_kb, "value_kb", 1, 1e6),
	OPTIONAL_INTEGER(struct fl_config, next_txn_ops, "txn_ops", 2, 1e6),
};

static const struct setting cloud_settings[] = {
	NUMBER(struct fl_config, cloud_rps, "rps", 0.01, 1e6),
	NUMBER(struct fl_config, list_lag_s, "list_lag_s", 0, 3600),
};

/* Below these minimum values a controller cannot serve. */
static const struct setting resource_settings[] = {
	/* Cores; gossip with four peers alone takes 0.004. */
	NUMBER(struct fl_config, core_share, "core_share", 0.005, 1024),
	/* MB; the program takes 6, and a list of all records takes more. */
	NUMBER(struct fl_config, ram_mb, "ram_mb", 16, 1e9),
	/* 48 connections are for the key-value store, the cloud and commands to machines. */
	INTEGER(struct fl_config, max_connections, "max_connections", 64, 1e6),
};

static const struct table root_table = {NULL, "", root_settings, COUNT(root_settings)};
static const struct table external_table = {"external", "external.", external_settings,
                                            COUNT(external_settings)};
static const struct table next_state_table = {"next", "settings.state.next.", next_state_settings,
                                              COUNT(next_state_settings)};
static const struct table settings_tables[] = {
	{"workers", "settings.workers.", worker_settings, COUNT(worker_settings)},
	{"state", "settings.state.", state_settings, COUNT(state_settings)},
	{"cloud", "settings.cloud.", cloud_settings, COUNT(cloud_settings)},
	{"resources", "settings.resources.", resource_settings, COUNT(resource_settings)},
};

static const struct table_list peer_list = {
	.key = "known",
	.parent_prefix = "",
	.settings = peer_settings,
	.setting_count = COUNT(peer_settings),
	.array_offset = offsetof(struct fl_config, peers),
	.element_size = sizeof(struct fl_config_peer),
	.count_offset = offsetof(struct fl_config, peer_count),
	.max = FL_CONFIG_PEERS_MAX,
};

static const struct table_list team_list = {
	.key = "teams",
	.parent_prefix = "settings.",
	.settings = team_settings,
	.setting_count = COUNT(team_settings),
	.array_offset = offsetof(struct fl_config, teams),
	.element_size = sizeof(struct fl_config_team),
	.count_offset = offsetof(struct fl_config, team_count),
	.max = FL_CONFIG_TEAMS_MAX,
};

static const struct table_list slo_list = {
	.key = "objectives",
	.parent_prefix = "settings.",
	.settings = slo_settings,
	.setting_count = COUNT(slo_settings),
	.array_offset = offsetof(struct fl_config, slos),
	.element_size = sizeof(struct fl_config_slo),
	.count_offset = offsetof(struct fl_config, slo_count),
	.max = FL_CONFIG_SLOS_MAX,
};

/* The state of reading a settings file: its first error, and whether there is one. */
struct reader {
	struct fl_config_error *error;
	bool failed;
};

/* A value in the file; its full key is `key_prefix` followed by `key`. */
struct value {
	const cJSON *json;
	const char *key_prefix, *key;
};

__attribute__((format(printf, 4, 5))) static void
record_error(struct reader *reader, const char *key_prefix, const char *key, const char *fmt, ...)
{
	struct fl_config_error *error = reader->error;
	va_list ap;

	if (reader->failed)
		return;
	reader->failed = true;
	snprintf(error->key, sizeof(error->key), "%s%s", key_prefix, key);
	va_start(ap, fmt);
	vsnprintf(error->reason, sizeof(error->reason), fmt, ap);
	va_end(ap);
}

static const cJSON *require_key(struct reader *reader, const cJSON *object, const char *key_prefix,
                                const char *key)
{
	const cJSON *json = cJSON_GetObjectItemCaseSensitive(object, key);

	if (!json)
		record_error(reader, key_prefix, key, "missing");
	return json;
}

static void read_string(struct reader *reader, const struct value *value, char *out)
{
	const char *text = value->json->valuestring;

	if (!cJSON_IsString(value->json))
		record_error(reader, value->key_prefix, value->key, "must be a string");
	else if (!text[0])
		record_error(reader, value->key_prefix, value->key, "must not be empty");
	else if (strlen(text) >= FL_CONFIG_NAME_SIZE)
		record_error(reader, value->key_prefix, value->key,
		             "must have at most %d characters", FL_CONFIG_NAME_SIZE - 1);
	else
		fl_copy_string(out, FL_CONFIG_NAME_SIZE, text);
}

static void read_address(struct reader *reader, const struct value *value, char *out)
{
	struct sockaddr_in address;

	read_string(reader, value, out);
	if (!reader->failed && fl_address_parse(out, &address) != 0)
		record_error(reader, value->key_prefix, value->key,
		             "must be an IPv4 address and port, like 10.0.0.1:8080");
}

static void read_number(struct reader *reader, const struct value *value,
                        const struct setting *setting, double *out)
{
	double number = value->json->valuedouble;

	if (!cJSON_IsNumber(value->json) || !isfinite(number))
		record_error(reader, value->key_prefix, value->key, "must be a number");
	else if (number < setting->min || number > setting->max)
		record_error(reader, value->key_prefix, value->key, "must lie between %g and %g",
		             setting->min, setting->max);
	else
		*out = number;
}

static void read_integer(struct reader *reader, const struct value *value,
                         const struct setting *setting, int *out)
{
	double number = 0;

	read_number(reader, value, setting, &number);
	if (!reader->failed && number != floor(number))
		record_error(reader, value->key_prefix, value->key, "must be a whole number");
	*out = (int)number;
}

static void read_setting(struct reader *reader, const cJSON *object, const char *key_prefix,
                         const struct setting *setting, char *out)
{
	struct value value = {NULL, key_prefix, setting->key};

	if (setting->optional && !cJSON_GetObjectItemCaseSensitive(object, setting->key))
		return;
	value.json = require_key(reader, object, key_prefix, setting->key);
	if (!value.json)
		return;
	switch (setting->type) {
	case SETTING_STRING:
		read_string(reader, &value, out + setting->offset);
		break;
	case SETTING_ADDRESS:
		read_address(reader, &value, out + setting->offset);
		break;
	case SETTING_NUMBER:
		read_number(reader, &value, setting, (double *)(out + setting->offset));
		break;
	case SETTING_INTEGER:
		read_integer(reader, &value, setting, (int *)(out + setting->offset));
		break;
	}
}

/* Returns the table with this key; NULL, with an error recorded, if there is none. */
static const cJSON *require_table(struct reader *reader, const cJSON *object,
                                  const char *key_prefix, const char *key)
{
	const cJSON *json = require_key(reader, object, key_prefix, key);

	if (json && !cJSON_IsObject(json)) {
		record_error(reader, key_prefix, key, "must be a table");
		return NULL;
	}
	return json;
}

/* Returns an optional array; NULL if it is missing, or, with an error recorded, not valid. */
static const cJSON *get_optional_array(struct reader *reader, const cJSON *object,
                                       const char *key_prefix, const char *key, int max)
{
	const cJSON *json = cJSON_GetObjectItemCaseSensitive(object, key);

	if (!json)
		return NULL;
	if (!cJSON_IsArray(json)) {
		record_error(reader, key_prefix, key, "must be an array");
		return NULL;
	}
	if (cJSON_GetArraySize(json) > max) {
		record_error(reader, key_prefix, key, "must have at most %d entries", max);
		return NULL;
	}
	return json;
}

static void read_table(struct reader *reader, const cJSON *object, const struct table *table,
                       struct fl_config *config)
{
	for (size_t i = 0; i < table->setting_count; i++)
		read_setting(reader, object, table->key_prefix, &table->settings[i],
		             (char *)config);
}

static void read_table_list(struct reader *reader, const cJSON *object,
                            const struct table_list *list, struct fl_config *config)
{
	const cJSON *array =
		get_optional_array(reader, object, list->parent_prefix, list->key, list->max);
	int *count = (int *)((char *)config + list->count_offset);
	const cJSON *item;
	char key_prefix[48];

	cJSON_ArrayForEach (item, array) {
		char *element =
			(char *)config + list->array_offset + (size_t)*count * list->element_size;

		snprintf(key_prefix, sizeof(key_prefix), "%s%s[%d].", list->parent_prefix,
		         list->key, *count);
		for (size_t i = 0; i < list->setting_count; i++)
			read_setting(reader, item, key_prefix, &list->settings[i], element);
		(*count)++;
	}
}

static void read_zones(struct reader *reader, const cJSON *settings, struct fl_config *config)
{
	const cJSON *list, *item;

	if (!require_key(reader, settings, "settings.", "zones"))
		return;
	list = get_optional_array(reader, settings, "settings.", "zones", FL_CONFIG_ZONES_MAX);
	cJSON_ArrayForEach (item, list) {
		if (!cJSON_IsString(item) || strlen(item->valuestring) >= FL_CONFIG_NAME_SIZE) {
			record_error(reader, "settings.", "zones",
			             "each zone must be a string of valid length");
			return;
		}
		fl_copy_string(config->zones[config->zone_count++], FL_CONFIG_NAME_SIZE,
		               item->valuestring);
	}
	if (config->zone_count == 0)
		record_error(reader, "settings.", "zones", "must name at least one zone");
}

/* Reads the limits that the key-value store may change to, as far as they are announced. */
static void read_next_state_limits(struct reader *reader, const cJSON *settings,
                                   struct fl_config *config)
{
	const cJSON *state = cJSON_GetObjectItemCaseSensitive(settings, "state"), *next;

	if (!cJSON_HasObjectItem(state, next_state_table.key))
		return;
	next = require_table(reader, state, "settings.state.", next_state_table.key);
	if (next)
		read_table(reader, next, &next_state_table, config);
}

static void read_settings(struct reader *reader, const cJSON *settings, struct fl_config *config)
{
	read_zones(reader, settings, config);
	read_table_list(reader, settings, &team_list, config);
	read_table_list(reader, settings, &slo_list, config);
	for (size_t i = 0; i < COUNT(settings_tables); i++) {
		const struct table *table = &settings_tables[i];
		const cJSON *json = require_table(reader, settings, "settings.", table->key);

		if (json)
			read_table(reader, json, table, config);
	}
	read_next_state_limits(reader, settings, config);
}

static void read_root(struct reader *reader, const cJSON *root, struct fl_config *config)
{
	const cJSON *json;

	read_table(reader, root, &root_table, config);
	read_table_list(reader, root, &peer_list, config);
	json = require_table(reader, root, "", external_table.key);
	if (json)
		read_table(reader, json, &external_table, config);
	json = require_table(reader, root, "", "settings");
	if (json)
		read_settings(reader, json, config);
}

enum fl_config_result fl_config_read(const char *path, struct fl_config *out,
                                     struct fl_config_error *error)
{
	struct reader reader = {.error = error};
	cJSON *root;

	memset(out, 0, sizeof(*out));
	memset(error, 0, sizeof(*error));
	error->file = path;
	switch (fl_toml_read(path, &root, error->reason, sizeof(error->reason))) {
	case FL_TOML_OK:
		break;
	case FL_TOML_UNREADABLE:
		return FL_CONFIG_UNREADABLE;
	case FL_TOML_MALFORMED:
		return FL_CONFIG_MALFORMED;
	}
	read_root(&reader, root, out);
	cJSON_Delete(root);
	return reader.failed ? FL_CONFIG_INVALID_SETTING : FL_CONFIG_OK;
}

void fl_config_error_text(const struct fl_config_error *error, char *text, size_t size)
{
	snprintf(text, size, "%s: %s%s%s", error->file, error->key, error->key[0] ? ": " : "",
	         error->reason);
}
