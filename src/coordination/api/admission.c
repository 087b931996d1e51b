#include "coordination/api/admission.h"

#include <stdio.h>

#include "transport/memory.h"

static const struct {
	double usable_memory_share, body_memory_share, idle_connection_kb, idle_process_mb,
		forwarded_heartbeat_cpu_s, min_core_share;
} tunables = {
	.usable_memory_share =
		0.75, /* of the memory; with more in use no job is admitted: 80% holds */
	.body_memory_share = 0.15, /* of the memory, for bodies of requests being received */
	.idle_connection_kb = 9,   /* of an idle connection; test_message_costs holds it */
	.idle_process_mb = 6,      /* of a controller that has just started */
	.forwarded_heartbeat_cpu_s =
		0.00025,        /* processor time that a forwarded heartbeat costs the leader */
	.min_core_share = 0.02, /* of a core; with less, hundreds of machines are too many */
};

static const double bytes_per_mb = 1024.0 * 1024.0;

static double usable_memory_mb(const struct fl_config *config)
{
	return config->ram_mb * tunables.usable_memory_share;
}

bool fl_admission_has_memory(const struct fl_config *config)
{
	return (double)fl_memory_in_use() < usable_memory_mb(config) * bytes_per_mb;
}

size_t fl_admission_max_body_bytes(const struct fl_config *config)
{
	return (size_t)(config->ram_mb * bytes_per_mb * tunables.body_memory_share);
}

static double connections_mb(const struct fl_config *config)
{
	return config->max_connections * tunables.idle_connection_kb / 1024;
}

static bool memory_is_tight(const struct fl_config *config)
{
	return tunables.idle_process_mb + connections_mb(config) > usable_memory_mb(config);
}

static void describe_memory(const struct fl_config *config, char *text, size_t cap)
{
	snprintf(text, cap,
	         "ram_mb is %g: %d connections take %.0f MB, and beyond %.0f MB in use submissions "
	         "get 503",
	         config->ram_mb, config->max_connections, connections_mb(config),
	         usable_memory_mb(config));
}

static bool core_share_is_tight(const struct fl_config *config)
{
	return config->core_share < tunables.min_core_share;
}

static void describe_core_share(const struct fl_config *config, char *text, size_t cap)
{
	snprintf(text, cap,
	         "core_share is %g: a leader answers about %.0f heartbeats a second, and more than "
	         "that wait",
	         config->core_share, config->core_share / tunables.forwarded_heartbeat_cpu_s);
}

/* The settings that a controller can be started with although they are tight. */
static const struct {
	bool (*is_tight)(const struct fl_config *config);
	void (*describe)(const struct fl_config *config, char *text, size_t cap);
} setting_checks[] = {
	{memory_is_tight, describe_memory},
	{core_share_is_tight, describe_core_share},
};

bool fl_admission_describe_tight_setting(const struct fl_config *config, int index, char *text,
                                         size_t cap)
{
	for (size_t i = 0; i < sizeof(setting_checks) / sizeof(setting_checks[0]); i++) {
		if (!setting_checks[i].is_tight(config) || index-- > 0)
			continue;
		setting_checks[i].describe(config, text, cap);
		return true;
	}
	return false;
}
