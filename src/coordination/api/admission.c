#include "coordination/api/admission.h"

#include <stdio.h>

#include "transport/memory.h"

static const struct {
	double usable_memory_share, body_memory_share, idle_connection_kb, idle_process_mb,
		forwarded_heartbeat_cpu_s, min_core_share;
} tunables = {
	/* Share of ram_mb above which no job is admitted; usage then stays within 80%. */
	.usable_memory_share = 0.75,
	.body_memory_share = 0.15, /* of ram_mb, for the bodies of requests being received */
	.idle_connection_kb = 9,   /* asserted by test_message_costs */
	.idle_process_mb = 6,      /* used by a controller that has just started */
	.forwarded_heartbeat_cpu_s = 0.00025, /* processor time of the leader, per heartbeat */
	/* Of a core; with less, a leader cannot serve hundreds of machines. */
	.min_core_share = 0.02,
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
	snprintf(
		text, cap,
		"memory setting low ram_mb=%g max_connections=%d connections_mb=%.0f limit_mb=%.0f "
		"effect=\"submissions get 503 above limit_mb\"",
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
	         "core setting low core_share=%g heartbeats_per_s=%.0f "
	         "effect=\"a leader delays heartbeats above heartbeats_per_s\"",
	         config->core_share, config->core_share / tunables.forwarded_heartbeat_cpu_s);
}

/* The checks for tight settings, which are logged but do not prevent a controller's start. */
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
