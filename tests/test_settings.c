/* Settings files that are rejected with an error that names the setting. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "config.h"

static const char good_settings[] =
	"node = \"n0\"\nlocation = \"a\"\nbind = \"127.0.0.1:1\"\n"
	"cluster_listen = \"127.0.0.1:2\"\nextra = 3\n"
	"[external]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n"
	"[settings]\nzones = [\"a\"]\n"
	"[settings.workers]\nreport_s = 2\nlease_s = 14.0\ncancel_s = 44.0\n"
	"[settings.state]\nrps = 70.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 20\n"
	"[settings.cloud]\nrps = 3.0\nlist_lag_s = 10.0\n"
	"[settings.resources]\ncore_share = 0.12\nram_mb = 72.0\nmax_connections = 1500\n";

/* Reads good_settings with `old` replaced by `new`; `old` NULL: unchanged. */
static int read_settings_with(const char *old, const char *new, char *error, size_t size)
{
	struct fl_config *config = calloc(1, sizeof(*config));
	const char *position = old ? strstr(good_settings, old) : NULL;
	char name[64];
	FILE *file;
	struct fl_config_error config_error;
	int rc;

	snprintf(name, sizeof(name), "settings-%d.toml", (int)getpid());
	file = fopen(name, "w");
	assert_non_null(file);
	assert_true(!old || position);
	if (position)
		fprintf(file, "%.*s%s%s", (int)(position - good_settings), good_settings, new,
		        position + strlen(old));
	else
		fputs(good_settings, file);
	fclose(file);
	error[0] = 0;
	rc = fl_config_read(name, config, &config_error);
	if (rc != FL_CONFIG_OK)
		fl_config_error_text(&config_error, error, size);
	unlink(name);
	free(config);
	return rc;
}

static void an_invalid_setting_is_rejected_and_named(void **state)
{
	static const struct {
		const char *old, *new, *expected_error;
	} malformed[] = {
		{"node = \"n0\"\n", "", "node: missing"},
		{"\"n0\"", "7", "node: must be a string"},
		{"\"127.0.0.1:1\"", "\"nowhere\"", "bind: must be an IPv4 address"},
		{"lease_s = 14.0", "lease_s = \"x\"", "settings.workers.lease_s: must be a number"},
		{"lease_s = 14.0", "lease_s = -1", "settings.workers.lease_s: must lie"},
		{"txn_ops = 20", "txn_ops = 2.5", "settings.state.txn_ops: must be a whole"},
		{"[settings.cloud]", "[settings.state.next]\ntxn_ops = 1\n[settings.cloud]",
	         "settings.state.next.txn_ops: must lie"},
		{"[settings.cloud]", "[settings.state.next]\nvalue_kb = \"x\"\n[settings.cloud]",
	         "settings.state.next.value_kb: must be a number"},
		{"txn_ops = 20", "txn_ops = 20\nnext = 5", "settings.state.next: must be a table"},
		{"[settings.cloud]", "[settings.clouds]", "settings.cloud: missing"},
		{"zones = [\"a\"]", "zones = []", "settings.zones: must name"},
		{"[external]", "[external", "line 6"},
		{"core_share = 0.12", "core_share = 0", "settings.resources.core_share: must lie"},
		{"core_share = 0.12", "core_share = -1", "settings.resources.core_share: must lie"},
		{"core_share = 0.12", "core_share = nan", "core_share: must be a number"},
		{"core_share = 0.12", "core_share = \"x\"", "core_share: must be a number"},
		{"core_share = 0.12", "core_share = 0.001", "core_share: must lie"},
		{"ram_mb = 72.0", "ram_mb = 0", "settings.resources.ram_mb: must lie"},
		{"ram_mb = 72.0", "ram_mb = -72", "settings.resources.ram_mb: must lie"},
		{"ram_mb = 72.0", "ram_mb = inf", "ram_mb: must be a number"},
		{"ram_mb = 72.0", "ram_mb = 8", "settings.resources.ram_mb: must lie"},
		{"max_connections = 1500", "max_connections = 0", "max_connections: must lie"},
		{"max_connections = 1500", "max_connections = 32", "max_connections: must lie"},
		{"max_connections = 1500", "max_connections = 99.5", "must be a whole"},
	};
	char error[512];

	(void)state;
	assert_int_equal(read_settings_with(NULL, NULL, error, sizeof(error)), 0);
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		assert_int_not_equal(read_settings_with(malformed[i].old, malformed[i].new, error,
		                                        sizeof(error)),
		                     0);
		if (!strstr(error, malformed[i].expected_error))
			fail_msg("error text '%s' does not contain '%s'", error,
			         malformed[i].expected_error);
	}
}

static void an_unreadable_settings_file_is_named(void **state)
{
	struct fl_config *config = calloc(1, sizeof(*config));
	struct fl_config_error config_error;
	char error[512];

	(void)state;
	assert_int_equal(fl_config_read("no/such/file", config, &config_error),
	                 FL_CONFIG_UNREADABLE);
	fl_config_error_text(&config_error, error, sizeof(error));
	assert_non_null(strstr(error, "no/such/file"));
	free(config);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_invalid_setting_is_rejected_and_named),
		cmocka_unit_test(an_unreadable_settings_file_is_named),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
