/*
 * Golden test of the settings file: every key with the field that it sets, and the rejection of a
 * file without the key. Existing installations keep their files, so these keys must not change when
 * identifiers are renamed in the sources.
 */
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

/* The lines of a complete settings file; the tests leave out one at a time. */
static const struct {
	const char *line;
	const char *expected_error; /* error text without this line; NULL: rejection not tested */
} settings[] = {
	{"node = \"host-1\"\n", "node: missing"},
	{"location = \"north\"\n", "location: missing"},
	{"bind = \"10.0.0.1:81\"\n", "bind: missing"},
	{"cluster_listen = \"10.0.0.1:82\"\n", "cluster_listen: missing"},
	{"[external]\n", "external: missing"},
	{"cloud = \"10.0.0.2:83\"\n", "external.cloud: missing"},
	{"state = \"10.0.0.3:84\"\n", "external.state: missing"},
	{"[[known]]\n", NULL},
	{"node = \"host-2\"\n", "known[0].node: missing"},
	{"location = \"south\"\n", "known[0].location: missing"},
	{"addr = \"10.0.0.4:85\"\n", "known[0].addr: missing"},
	{"[settings]\n", NULL},
	{"zones = [\"north\", \"south\"]\n", "settings.zones: missing"},
	{"[[settings.teams]]\n", NULL},
	{"name = \"physics\"\n", "settings.teams[0].name: missing"},
	{"cpus = 11.5\n", "settings.teams[0].cpus: missing"},
	{"cpus_max = 12.5\n", "settings.teams[0].cpus_max: missing"},
	{"gpus = 13.5\n", "settings.teams[0].gpus: missing"},
	{"gpus_max = 14.5\n", "settings.teams[0].gpus_max: missing"},
	{"[[settings.objectives]]\n", NULL},
	{"kind = \"wait\"\n", "settings.objectives[0].kind: missing"},
	{"class = \"nightly\"\n", NULL},
	{"within_s = 15.5\n", "settings.objectives[0].within_s: missing"},
	{"share = 0.625\n", "settings.objectives[0].share: missing"},
	{"[settings.workers]\n", "settings.workers: missing"},
	{"report_s = 2.5\n", "settings.workers.report_s: missing"},
	{"lease_s = 16.5\n", "settings.workers.lease_s: missing"},
	{"cancel_s = 47.5\n", "settings.workers.cancel_s: missing"},
	{"[settings.state]\n", "settings.state: missing"},
	{"rps = 118.5\n", "settings.state.rps: missing"},
	{"write_rps = 59.5\n", "settings.state.write_rps: missing"},
	{"value_kb = 4.5\n", "settings.state.value_kb: missing"},
	{"txn_ops = 65\n", "settings.state.txn_ops: missing"},
	{"[settings.cloud]\n", "settings.cloud: missing"},
	{"rps = 1.75\n", "settings.cloud.rps: missing"},
	{"list_lag_s = 20.5\n", "settings.cloud.list_lag_s: missing"},
	{"[settings.resources]\n", "settings.resources: missing"},
	{"core_share = 0.375\n", "settings.resources.core_share: missing"},
	{"ram_mb = 321.5\n", "settings.resources.ram_mb: missing"},
	{"max_connections = 1234\n", "settings.resources.max_connections: missing"},
};

enum { SETTING_LINES = sizeof(settings) / sizeof(settings[0]), SETTINGS_TEXT_MAX = 4096 };

/* Reads the text as a settings file; `error` is the error text after the file's name, or empty. */
static int read_settings(const char *text, struct fl_config *config, char error[256])
{
	char path[] = P_tmpdir "/contract-settings-XXXXXX", message[320] = "";
	int file = mkstemp(path), result;
	struct fl_config_error config_error;
	size_t length = strlen(text);

	assert_true(file >= 0);
	assert_int_equal(write(file, text, length), (ssize_t)length);
	close(file);
	result = fl_config_read(path, config, &config_error);
	unlink(path);
	error[0] = 0;
	if (result != FL_CONFIG_OK) {
		fl_config_error_text(&config_error, message, sizeof(message));
		assert_memory_equal(message, path, strlen(path));
		snprintf(error, 256, "%s", message + strlen(path) + strlen(": "));
	}
	return result;
}

/*
 * Builds the file without this line (-1: with all lines). A table's header is replaced with that of
 * a table that is not read, so that its keys do not become part of the previous table.
 */
static void build_settings_without(int omitted_line, char text[SETTINGS_TEXT_MAX])
{
	size_t length = 0;

	text[0] = 0;
	for (int line_number = 0; line_number < SETTING_LINES; line_number++) {
		const char *line = settings[line_number].line;

		if (line_number == omitted_line)
			line = line[0] == '[' ? "[elsewhere]\n" : "";
		length += (size_t)snprintf(text + length, SETTINGS_TEXT_MAX - length, "%s", line);
	}
	assert_true(length < SETTINGS_TEXT_MAX);
}

static void assert_lists(const struct fl_config *config)
{
	assert_int_equal(config->peer_count, 1);
	assert_string_equal(config->peers[0].node, "host-2");
	assert_string_equal(config->peers[0].location, "south");
	assert_string_equal(config->peers[0].addr, "10.0.0.4:85");
	assert_int_equal(config->zone_count, 2);
	assert_string_equal(config->zones[0], "north");
	assert_string_equal(config->zones[1], "south");
	assert_int_equal(config->team_count, 1);
	assert_string_equal(config->teams[0].name, "physics");
	assert_true(config->teams[0].cpus == 11.5);
	assert_true(config->teams[0].cpus_max == 12.5);
	assert_true(config->teams[0].gpus == 13.5);
	assert_true(config->teams[0].gpus_max == 14.5);
	assert_int_equal(config->slo_count, 1);
	assert_string_equal(config->slos[0].kind, "wait");
	assert_string_equal(config->slos[0].job_class, "nightly");
	assert_true(config->slos[0].within_s == 15.5);
	assert_true(config->slos[0].share == 0.625);
}

static void every_setting_is_read_from_its_key(void **state)
{
	struct fl_config config;
	char text[SETTINGS_TEXT_MAX], error[256];

	(void)state;
	build_settings_without(-1, text);
	if (read_settings(text, &config, error) != 0)
		fail_msg("%s", error);

	assert_string_equal(config.node, "host-1");
	assert_string_equal(config.location, "north");
	assert_string_equal(config.bind, "10.0.0.1:81");
	assert_string_equal(config.cluster_listen, "10.0.0.1:82");
	assert_string_equal(config.cloud, "10.0.0.2:83");
	assert_string_equal(config.state, "10.0.0.3:84");
	assert_lists(&config);
	assert_true(config.report_s == 2.5);
	assert_true(config.lease_s == 16.5);
	assert_true(config.cancel_s == 47.5);
	assert_true(config.state_rps == 118.5);
	assert_true(config.state_write_rps == 59.5);
	assert_true(config.value_kb == 4.5);
	assert_int_equal(config.txn_ops, 65);
	assert_true(config.cloud_rps == 1.75);
	assert_true(config.list_lag_s == 20.5);
	assert_true(config.core_share == 0.375);
	assert_true(config.ram_mb == 321.5);
	assert_int_equal(config.max_connections, 1234);
}

static void a_settings_file_that_lacks_a_key_is_rejected_and_the_key_named(void **state)
{
	struct fl_config config;
	char text[SETTINGS_TEXT_MAX], error[256];

	(void)state;
	for (int line_number = 0; line_number < SETTING_LINES; line_number++) {
		if (!settings[line_number].expected_error)
			continue;
		build_settings_without(line_number, text);
		assert_int_equal(read_settings(text, &config, error), FL_CONFIG_INVALID_SETTING);
		assert_string_equal(error, settings[line_number].expected_error);
	}

	build_settings_without(-1, text);
	*strstr(text, "[settings]") = 0;
	assert_int_equal(read_settings(text, &config, error), FL_CONFIG_INVALID_SETTING);
	assert_string_equal(error, "settings: missing");
}

static void an_objective_without_a_class_applies_to_all_classes(void **state)
{
	struct fl_config config;
	char text[SETTINGS_TEXT_MAX], error[256];

	(void)state;
	for (int line_number = 0; line_number < SETTING_LINES; line_number++) {
		if (strncmp(settings[line_number].line, "class", 5) != 0)
			continue;
		build_settings_without(line_number, text);
		assert_int_equal(read_settings(text, &config, error), 0);
		assert_string_equal(config.slos[0].job_class, "");
		assert_string_equal(config.slos[0].kind, "wait");
	}
}

/* The limits that the store may change to; most announce none, and others not all of them. */
static void announced_limits_of_the_store_are_optional(void **state)
{
	struct fl_config config;
	char text[SETTINGS_TEXT_MAX], error[256];
	size_t length;

	(void)state;
	build_settings_without(-1, text);
	length = strlen(text);
	assert_int_equal(read_settings(text, &config, error), 0);
	assert_true(config.next_state_write_rps == 0);
	assert_true(config.next_value_kb == 0);
	assert_int_equal(config.next_txn_ops, 0);

	snprintf(text + length, sizeof(text) - length, "%s",
	         "[settings.state.next]\nwrite_rps = 49.5\nvalue_kb = 3.5\ntxn_ops = 33\n");
	assert_int_equal(read_settings(text, &config, error), 0);
	assert_true(config.next_state_write_rps == 49.5);
	assert_true(config.next_value_kb == 3.5);
	assert_int_equal(config.next_txn_ops, 33);

	snprintf(text + length, sizeof(text) - length, "[settings.state.next]\ntxn_ops = 33\n");
	assert_int_equal(read_settings(text, &config, error), 0);
	assert_true(config.next_value_kb == 0);
	assert_int_equal(config.next_txn_ops, 33);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_setting_is_read_from_its_key),
		cmocka_unit_test(a_settings_file_that_lacks_a_key_is_rejected_and_the_key_named),
		cmocka_unit_test(an_objective_without_a_class_applies_to_all_classes),
		cmocka_unit_test(announced_limits_of_the_store_are_optional),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
