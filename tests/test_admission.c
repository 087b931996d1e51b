/* Limits by the resource settings: how connections are shared, and which settings are tight. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "coordination/api/admission.h"
#include "coordination/node.h"

/* The number of connections reserved for peers grows with the peers, not with the machines. */
static void public_connections_grow_with_the_connection_limit(void **state)
{
	struct fl_config config = {.max_connections = 3565, .peer_count = 4};

	(void)state;
	assert_true(fl_node_public_connections_max(&config) >= 3000);
	config.max_connections = 16;
	assert_in_range(fl_node_public_connections_max(&config), 8, 15);
}

/*
 * Four peers may each open all their connections to a leader with few connections while users and
 * workers use all public ones: peers, key-value store, cloud and direct commands keep their share,
 * and so do users and workers.
 */
static void connection_shares_stay_within_the_connection_limit(void **state)
{
	static const int limits[] = {900, 1500, 4000};
	const int other_outgoing_connections = 48; /* key-value store, cloud, direct commands */

	(void)state;
	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		struct fl_config config = {.peer_count = 4, .max_connections = limits[i]};
		int public_connections = fl_node_public_connections_max(&config);
		int connections_from_peers = config.peer_count * FL_PEER_CONNECTIONS_MAX;
		int connections_to_leader = FL_PEER_CONNECTIONS_MAX + config.peer_count;

		assert_true(public_connections >= (int)(0.6 * limits[i]));
		assert_true(limits[i] - public_connections >= connections_from_peers);
		assert_true(public_connections + connections_from_peers + connections_to_leader +
		                    other_outgoing_connections <=
		            limits[i]);
	}
}

static void a_tight_setting_is_described_with_its_resource_use(void **state)
{
	struct fl_config config = {.core_share = 0.029, .ram_mb = 37, .max_connections = 900};
	char text[256];

	(void)state;
	assert_false(fl_admission_describe_tight_setting(&config, 0, text, sizeof(text)));

	config.ram_mb = 16;
	assert_true(fl_admission_describe_tight_setting(&config, 0, text, sizeof(text)));
	assert_non_null(strstr(text, "ram_mb=16 max_connections=900 connections_mb=8 "));

	config.core_share = 0.01;
	assert_true(fl_admission_describe_tight_setting(&config, 1, text, sizeof(text)));
	assert_non_null(strstr(text, "core_share=0.01 heartbeats_per_s=40 "));
	assert_false(fl_admission_describe_tight_setting(&config, 2, text, sizeof(text)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(public_connections_grow_with_the_connection_limit),
		cmocka_unit_test(connection_shares_stay_within_the_connection_limit),
		cmocka_unit_test(a_tight_setting_is_described_with_its_resource_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
