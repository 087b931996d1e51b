#include "config.h"

#include <cjson/cJSON.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "toml.h"
#include "transport/http.h"
#include "transport/text.h"

/* With less than these a controller cannot serve at all. */
static const struct {
	double core_share, ram_mb, connections;
} least = {
	.core_share = 0.005, /* of a core; the exchange with four others alone takes 0.004 */
	.ram_mb = 16,        /* MB; the program takes 6, and a whole list of records some more */
	.connections = 64,   /* 48 are for state service, cloud and commands */
};

struct reader {
	const char *file;
	char *error;
	size_t cap;
	bool failed;
};

static void record_error(struct reader *reader, const char *fmt, ...)
{
	int n;
	va_list ap;

	if (reader->failed)
		return;
	reader->failed = true;
	n = snprintf(reader->error, reader->cap, "%s: ", reader->file);
	if (n < 0 || (size_t)n >= reader->cap)
		return;
	va_start(ap, fmt);
	vsnprintf(reader->error + n, reader->cap - (size_t)n, fmt, ap);
	va_end(ap);
}

static const cJSON *require_key(struct reader *reader, const cJSON *object, const char *where,
                                const char *key)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, key);

	if (!value)
		record_error(reader, "%s%s: missing", where, key);
	return value;
}

static void get_str(struct reader *reader, const cJSON *object, const char *where, const char *key,
                    char out[FL_CONFIG_NAME])
{
	const cJSON *value = require_key(reader, object, where, key);

	if (!value)
		return;
	if (!cJSON_IsString(value))
		record_error(reader, "%s%s: must be a string", where, key);
	else if (!value->valuestring[0])
		record_error(reader, "%s%s: must not be empty", where, key);
	else if (strlen(value->valuestring) >= FL_CONFIG_NAME)
		record_error(reader, "%s%s: longer than %d characters", where, key,
		             FL_CONFIG_NAME - 1);
	else
		fl_copy_string(out, FL_CONFIG_NAME, value->valuestring);
}

static void get_addr(struct reader *reader, const cJSON *object, const char *where, const char *key,
                     char out[FL_CONFIG_NAME])
{
	struct sockaddr_in address;

	get_str(reader, object, where, key, out);
	if (!reader->failed && fl_address_parse(out, &address) != 0)
		record_error(reader, "%s%s: must be an IPv4 address and port, like 10.0.0.1:8080",
		             where, key);
}

static void get_num(struct reader *reader, const cJSON *object, const char *where, const char *key,
                    double low, double high, double *out)
{
	const cJSON *value = require_key(reader, object, where, key);

	if (!value)
		return;
	if (!cJSON_IsNumber(value) || !isfinite(value->valuedouble))
		record_error(reader, "%s%s: must be a number", where, key);
	else if (value->valuedouble < low || value->valuedouble > high)
		record_error(reader, "%s%s: must lie between %g and %g", where, key, low, high);
	else
		*out = value->valuedouble;
}

static void get_int(struct reader *reader, const cJSON *object, const char *where, const char *key,
                    double low, double high, int *out)
{
	double d = 0;

	get_num(reader, object, where, key, low, high, &d);
	if (!reader->failed && d != floor(d))
		record_error(reader, "%s%s: must be a whole number", where, key);
	*out = (int)d;
}

static const cJSON *get_table(struct reader *reader, const cJSON *object, const char *where,
                              const char *key)
{
	const cJSON *value = require_key(reader, object, where, key);

	if (value && !cJSON_IsObject(value)) {
		record_error(reader, "%s%s: must be a table", where, key);
		return NULL;
	}
	return value;
}

/* An array that may be missing; NULL then, or when it is ill-typed. */
static const cJSON *get_list(struct reader *reader, const cJSON *object, const char *where,
                             const char *key, int most)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, key);

	if (!value)
		return NULL;
	if (!cJSON_IsArray(value)) {
		record_error(reader, "%s%s: must be an array", where, key);
		return NULL;
	}
	if (cJSON_GetArraySize(value) > most) {
		record_error(reader, "%s%s: more than %d entries", where, key, most);
		return NULL;
	}
	return value;
}

static void read_peers(struct reader *reader, const cJSON *root, struct fl_config *config)
{
	const cJSON *list = get_list(reader, root, "", "known", FL_CONFIG_PEERS), *item;
	char where[48];

	cJSON_ArrayForEach (item, list) {
		struct fl_config_peer *peer = &config->peers[config->peer_count];

		snprintf(where, sizeof(where), "known[%d].", config->peer_count);
		get_str(reader, item, where, "node", peer->node);
		get_str(reader, item, where, "location", peer->location);
		get_addr(reader, item, where, "addr", peer->addr);
		config->peer_count++;
	}
}

static void read_zones(struct reader *reader, const cJSON *s, struct fl_config *config)
{
	const cJSON *list, *item;

	if (!require_key(reader, s, "settings.", "zones"))
		return;
	list = get_list(reader, s, "settings.", "zones", FL_CONFIG_ZONES);
	cJSON_ArrayForEach (item, list) {
		if (!cJSON_IsString(item) || strlen(item->valuestring) >= FL_CONFIG_NAME) {
			record_error(reader, "settings.zones: must hold names");
			return;
		}
		fl_copy_string(config->zones[config->zone_count++], FL_CONFIG_NAME,
		               item->valuestring);
	}
	if (config->zone_count == 0)
		record_error(reader, "settings.zones: must name at least one zone");
}

static void read_teams(struct reader *reader, const cJSON *s, struct fl_config *config)
{
	const cJSON *list = get_list(reader, s, "settings.", "teams", FL_CONFIG_TEAMS), *item;
	char where[48];

	cJSON_ArrayForEach (item, list) {
		struct fl_config_team *team = &config->teams[config->team_count];

		snprintf(where, sizeof(where), "settings.teams[%d].", config->team_count);
		get_str(reader, item, where, "name", team->name);
		get_num(reader, item, where, "cpus", 0, 1e9, &team->cpus);
		get_num(reader, item, where, "cpus_max", 0, 1e9, &team->cpus_max);
		get_num(reader, item, where, "gpus", 0, 1e9, &team->gpus);
		get_num(reader, item, where, "gpus_max", 0, 1e9, &team->gpus_max);
		config->team_count++;
	}
}

static void read_objectives(struct reader *reader, const cJSON *s, struct fl_config *config)
{
	const cJSON *list = get_list(reader, s, "settings.", "objectives", FL_CONFIG_SLOS), *item;
	char where[48];

	cJSON_ArrayForEach (item, list) {
		struct fl_config_slo *slo = &config->slos[config->slo_count];

		snprintf(where, sizeof(where), "settings.objectives[%d].", config->slo_count);
		get_str(reader, item, where, "kind", slo->kind);
		if (cJSON_GetObjectItemCaseSensitive(item, "class"))
			get_str(reader, item, where, "class", slo->job_class);
		get_num(reader, item, where, "within_s", 0, 1e9, &slo->within_s);
		get_num(reader, item, where, "share", 0, 1, &slo->share);
		config->slo_count++;
	}
}

static void read_settings(struct reader *reader, const cJSON *s, struct fl_config *config)
{
	const cJSON *t;

	read_zones(reader, s, config);
	read_teams(reader, s, config);
	read_objectives(reader, s, config);
	t = get_table(reader, s, "settings.", "workers");
	if (t) {
		get_num(reader, t, "settings.workers.", "report_s", 0.05, 600, &config->report_s);
		get_num(reader, t, "settings.workers.", "lease_s", 0.5, 3600, &config->lease_s);
		get_num(reader, t, "settings.workers.", "cancel_s", 0.5, 36000, &config->cancel_s);
	}
	t = get_table(reader, s, "settings.", "state");
	if (t) {
		get_num(reader, t, "settings.state.", "rps", 1, 1e6, &config->state_rps);
		get_num(reader, t, "settings.state.", "write_rps", 1, 1e6,
		        &config->state_write_rps);
		get_num(reader, t, "settings.state.", "value_kb", 1, 1e6, &config->value_kb);
		get_int(reader, t, "settings.state.", "txn_ops", 2, 1e6, &config->txn_ops);
	}
	t = get_table(reader, s, "settings.", "cloud");
	if (t) {
		get_num(reader, t, "settings.cloud.", "rps", 0.01, 1e6, &config->cloud_rps);
		get_num(reader, t, "settings.cloud.", "list_lag_s", 0, 3600, &config->list_lag_s);
	}
	t = get_table(reader, s, "settings.", "resources");
	if (t) {
		get_num(reader, t, "settings.resources.", "core_share", least.core_share, 1024,
		        &config->core_share);
		get_num(reader, t, "settings.resources.", "ram_mb", least.ram_mb, 1e9,
		        &config->ram_mb);
		get_int(reader, t, "settings.resources.", "max_connections", least.connections, 1e6,
		        &config->max_connections);
	}
}

int fl_config_read(const char *path, struct fl_config *out, char *error, size_t cap)
{
	struct reader reader = {.file = path, .error = error, .cap = cap};
	cJSON *root = fl_toml_read(path, error, cap);
	const cJSON *t;

	memset(out, 0, sizeof(*out));
	if (!root)
		return -1;
	get_str(&reader, root, "", "node", out->node);
	get_str(&reader, root, "", "location", out->location);
	get_addr(&reader, root, "", "bind", out->bind);
	get_addr(&reader, root, "", "cluster_listen", out->cluster_listen);
	read_peers(&reader, root, out);
	t = get_table(&reader, root, "", "external");
	if (t) {
		get_addr(&reader, t, "external.", "cloud", out->cloud);
		get_addr(&reader, t, "external.", "state", out->state);
	}
	t = get_table(&reader, root, "", "settings");
	if (t)
		read_settings(&reader, t, out);
	cJSON_Delete(root);
	return reader.failed ? -1 : 0;
}
