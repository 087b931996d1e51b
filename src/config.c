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

static void complain(struct reader *r, const char *fmt, ...)
{
	int n;
	va_list ap;

	if (r->failed)
		return;
	r->failed = true;
	n = snprintf(r->error, r->cap, "%s: ", r->file);
	if (n < 0 || (size_t)n >= r->cap)
		return;
	va_start(ap, fmt);
	vsnprintf(r->error + n, r->cap - (size_t)n, fmt, ap);
	va_end(ap);
}

static const cJSON *need(struct reader *r, const cJSON *o, const char *where, const char *key)
{
	const cJSON *v = cJSON_GetObjectItemCaseSensitive(o, key);

	if (!v)
		complain(r, "%s%s: missing", where, key);
	return v;
}

static void get_str(struct reader *r, const cJSON *o, const char *where, const char *key,
                    char out[FL_CONFIG_NAME])
{
	const cJSON *v = need(r, o, where, key);

	if (!v)
		return;
	if (!cJSON_IsString(v))
		complain(r, "%s%s: must be a string", where, key);
	else if (!v->valuestring[0])
		complain(r, "%s%s: must not be empty", where, key);
	else if (strlen(v->valuestring) >= FL_CONFIG_NAME)
		complain(r, "%s%s: longer than %d characters", where, key, FL_CONFIG_NAME - 1);
	else
		fl_copy_string(out, FL_CONFIG_NAME, v->valuestring);
}

static void get_addr(struct reader *r, const cJSON *o, const char *where, const char *key,
                     char out[FL_CONFIG_NAME])
{
	struct sockaddr_in sa;

	get_str(r, o, where, key, out);
	if (!r->failed && fl_parse_addr(out, &sa) != 0)
		complain(r, "%s%s: must be an IPv4 address and port, like 10.0.0.1:8080", where,
		         key);
}

static void get_num(struct reader *r, const cJSON *o, const char *where, const char *key,
                    double low, double high, double *out)
{
	const cJSON *v = need(r, o, where, key);

	if (!v)
		return;
	if (!cJSON_IsNumber(v) || !isfinite(v->valuedouble))
		complain(r, "%s%s: must be a number", where, key);
	else if (v->valuedouble < low || v->valuedouble > high)
		complain(r, "%s%s: must lie between %g and %g", where, key, low, high);
	else
		*out = v->valuedouble;
}

static void get_int(struct reader *r, const cJSON *o, const char *where, const char *key,
                    double low, double high, int *out)
{
	double d = 0;

	get_num(r, o, where, key, low, high, &d);
	if (!r->failed && d != floor(d))
		complain(r, "%s%s: must be a whole number", where, key);
	*out = (int)d;
}

static const cJSON *get_table(struct reader *r, const cJSON *o, const char *where, const char *key)
{
	const cJSON *v = need(r, o, where, key);

	if (v && !cJSON_IsObject(v)) {
		complain(r, "%s%s: must be a table", where, key);
		return NULL;
	}
	return v;
}

/* An array that may be missing; NULL then, or when it is ill-typed. */
static const cJSON *get_list(struct reader *r, const cJSON *o, const char *where, const char *key,
                             int most)
{
	const cJSON *v = cJSON_GetObjectItemCaseSensitive(o, key);

	if (!v)
		return NULL;
	if (!cJSON_IsArray(v)) {
		complain(r, "%s%s: must be an array", where, key);
		return NULL;
	}
	if (cJSON_GetArraySize(v) > most) {
		complain(r, "%s%s: more than %d entries", where, key, most);
		return NULL;
	}
	return v;
}

static void read_peers(struct reader *r, const cJSON *root, struct fl_config *c)
{
	const cJSON *list = get_list(r, root, "", "known", FL_CONFIG_PEERS), *e;
	char where[48];

	cJSON_ArrayForEach (e, list) {
		struct fl_config_peer *p = &c->peers[c->n_peers];

		snprintf(where, sizeof(where), "known[%d].", c->n_peers);
		get_str(r, e, where, "node", p->node);
		get_str(r, e, where, "location", p->location);
		get_addr(r, e, where, "addr", p->addr);
		c->n_peers++;
	}
}

static void read_zones(struct reader *r, const cJSON *s, struct fl_config *c)
{
	const cJSON *list, *e;

	if (!need(r, s, "settings.", "zones"))
		return;
	list = get_list(r, s, "settings.", "zones", FL_CONFIG_ZONES);
	cJSON_ArrayForEach (e, list) {
		if (!cJSON_IsString(e) || strlen(e->valuestring) >= FL_CONFIG_NAME) {
			complain(r, "settings.zones: must hold names");
			return;
		}
		fl_copy_string(c->zones[c->n_zones++], FL_CONFIG_NAME, e->valuestring);
	}
	if (c->n_zones == 0)
		complain(r, "settings.zones: must name at least one zone");
}

static void read_teams(struct reader *r, const cJSON *s, struct fl_config *c)
{
	const cJSON *list = get_list(r, s, "settings.", "teams", FL_CONFIG_TEAMS), *e;
	char where[48];

	cJSON_ArrayForEach (e, list) {
		struct fl_config_team *t = &c->teams[c->n_teams];

		snprintf(where, sizeof(where), "settings.teams[%d].", c->n_teams);
		get_str(r, e, where, "name", t->name);
		get_num(r, e, where, "cpus", 0, 1e9, &t->cpus);
		get_num(r, e, where, "cpus_max", 0, 1e9, &t->cpus_max);
		get_num(r, e, where, "gpus", 0, 1e9, &t->gpus);
		get_num(r, e, where, "gpus_max", 0, 1e9, &t->gpus_max);
		c->n_teams++;
	}
}

static void read_objectives(struct reader *r, const cJSON *s, struct fl_config *c)
{
	const cJSON *list = get_list(r, s, "settings.", "objectives", FL_CONFIG_OBJECTIVES), *e;
	char where[48];

	cJSON_ArrayForEach (e, list) {
		struct fl_config_objective *o = &c->objectives[c->n_objectives];

		snprintf(where, sizeof(where), "settings.objectives[%d].", c->n_objectives);
		get_str(r, e, where, "kind", o->kind);
		if (cJSON_GetObjectItemCaseSensitive(e, "class"))
			get_str(r, e, where, "class", o->job_class);
		get_num(r, e, where, "within_s", 0, 1e9, &o->within_s);
		get_num(r, e, where, "share", 0, 1, &o->share);
		c->n_objectives++;
	}
}

static void read_settings(struct reader *r, const cJSON *s, struct fl_config *c)
{
	const cJSON *t;

	read_zones(r, s, c);
	read_teams(r, s, c);
	read_objectives(r, s, c);
	t = get_table(r, s, "settings.", "workers");
	if (t) {
		get_num(r, t, "settings.workers.", "report_s", 0.05, 600, &c->report_s);
		get_num(r, t, "settings.workers.", "lease_s", 0.5, 3600, &c->lease_s);
		get_num(r, t, "settings.workers.", "cancel_s", 0.5, 36000, &c->cancel_s);
	}
	t = get_table(r, s, "settings.", "state");
	if (t) {
		get_num(r, t, "settings.state.", "rps", 1, 1e6, &c->state_rps);
		get_num(r, t, "settings.state.", "write_rps", 1, 1e6, &c->state_write_rps);
		get_num(r, t, "settings.state.", "value_kb", 1, 1e6, &c->value_kb);
		get_int(r, t, "settings.state.", "txn_ops", 2, 1e6, &c->txn_ops);
	}
	t = get_table(r, s, "settings.", "cloud");
	if (t) {
		get_num(r, t, "settings.cloud.", "rps", 0.01, 1e6, &c->cloud_rps);
		get_num(r, t, "settings.cloud.", "list_lag_s", 0, 3600, &c->list_lag_s);
	}
	t = get_table(r, s, "settings.", "resources");
	if (t) {
		get_num(r, t, "settings.resources.", "core_share", least.core_share, 1024,
		        &c->core_share);
		get_num(r, t, "settings.resources.", "ram_mb", least.ram_mb, 1e9, &c->ram_mb);
		get_int(r, t, "settings.resources.", "max_connections", least.connections, 1e6,
		        &c->max_connections);
	}
}

int fl_config_read(const char *path, struct fl_config *out, char *error, size_t cap)
{
	struct reader r = {.file = path, .error = error, .cap = cap};
	cJSON *root = fl_toml_read(path, error, cap);
	const cJSON *t;

	memset(out, 0, sizeof(*out));
	if (!root)
		return -1;
	get_str(&r, root, "", "node", out->node);
	get_str(&r, root, "", "location", out->location);
	get_addr(&r, root, "", "bind", out->bind);
	get_addr(&r, root, "", "cluster_listen", out->cluster_listen);
	read_peers(&r, root, out);
	t = get_table(&r, root, "", "external");
	if (t) {
		get_addr(&r, t, "external.", "cloud", out->cloud);
		get_addr(&r, t, "external.", "state", out->state);
	}
	t = get_table(&r, root, "", "settings");
	if (t)
		read_settings(&r, t, out);
	cJSON_Delete(root);
	return r.failed ? -1 : 0;
}
