#include "coordination/api/admission.h"

#include <stdio.h>

#include "transport/memory.h"

static const struct {
	double memory_share, body_share, connection_kb, program_mb, report_s, roomy_share;
} tunables = {
	.memory_share = 0.75, /* of the memory; beyond it no new job is taken, so that 80% holds */
	.body_share = 0.15,   /* of the memory, for bodies of requests being received */
	.connection_kb = 9,   /* of an idle connection; test_message_costs holds it */
	.program_mb = 6,      /* of a controller that has just started */
	.report_s = 0.00025,  /* s of processor time that a relayed report costs the leader */
	.roomy_share = 0.02,  /* of a core; with less, hundreds of machines are too many */
};

static const double bytes_a_mb = 1024.0 * 1024.0;

bool fl_admission_has_memory(const struct fl_config *config)
{
	return (double)fl_memory_in_use() < config->ram_mb * bytes_a_mb * tunables.memory_share;
}

size_t fl_admission_body_bytes(const struct fl_config *config)
{
	return (size_t)(config->ram_mb * bytes_a_mb * tunables.body_share);
}

static bool tight_memory(const struct fl_config *config, char *text, size_t cap)
{
	double connections_mb = config->max_connections * tunables.connection_kb / 1024;
	double usable_mb = config->ram_mb * tunables.memory_share;

	if (tunables.program_mb + connections_mb <= usable_mb)
		return false;
	snprintf(text, cap,
	         "ram_mb is %g: %d connections take %.0f MB, and beyond %.0f MB in use submissions "
	         "get 503",
	         config->ram_mb, config->max_connections, connections_mb, usable_mb);
	return true;
}

static bool tight_processor(const struct fl_config *config, char *text, size_t cap)
{
	if (config->core_share >= tunables.roomy_share)
		return false;
	snprintf(text, cap,
	         "core_share is %g: a leader answers about %.0f reports a second, and what comes "
	         "beyond waits",
	         config->core_share, config->core_share / tunables.report_s);
	return true;
}

bool fl_admission_tight_setting(const struct fl_config *config, int at, char *text, size_t cap)
{
	bool (*const checks[])(const struct fl_config *, char *, size_t) = {tight_memory,
	                                                                    tight_processor};

	for (size_t i = 0; i < sizeof(checks) / sizeof(checks[0]); i++)
		if (checks[i](config, text, cap) && at-- == 0)
			return true;
	return false;
}
