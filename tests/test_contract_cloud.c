/*
 * The wire contract with the cloud, byte for byte. C identifiers may be renamed, but a change of a
 * field, word or path in these texts makes the protocol incompatible with the other side. The texts
 * are written out here and never produced by the code under test.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "contract_fixture.h"
#include "contract_text.h"
#include "protocol/cloud.h"

static const char machine_types_text[] =
	"{\"HostKinds\":[{\"Name\":\"g8\",\"Vcpus\":96,\"Accelerators\":8,\"RamGb\":768,"
	"\"LocalGb\":200.5,\"PullGbPerS\":1.25,\"Price\":12.5,\"SpotPrice\":4.5,\"ReadyS\":45,"
	"\"Sites\":[\"zone-a\",\"zone-b\"]},"
	"{\"Name\":\"c32\",\"Vcpus\":32,\"Accelerators\":0,\"RamGb\":128,\"LocalGb\":0,"
	"\"PullGbPerS\":0.5,\"Price\":2,\"SpotPrice\":0.75,\"ReadyS\":20,\"Sites\":[]}]}";
static const struct fl_cloud_machine_type offered_types[] = {
	{.name = "g8",
         .cpus = 96,
         .gpus = 8,
         .ram_gb = 768,
         .cache_gb = 200.5,
         .pull_gb_per_s = 1.25,
         .price = 12.5,
         .spot_price = 4.5,
         .boot_time_s = 45,
         .zones = {"zone-a", "zone-b"},
         .zone_count = 2},
	{.name = "c32",
         .cpus = 32,
         .ram_gb = 128,
         .pull_gb_per_s = 0.5,
         .price = 2,
         .spot_price = 0.75,
         .boot_time_s = 20},
};

static void assert_machine_types(const struct fl_cloud_machine_type *got, int count)
{
	assert_int_equal(count, COUNT_OF(offered_types));
	for (int i = 0; i < count; i++) {
		const struct fl_cloud_machine_type *expected = &offered_types[i];

		assert_string_equal(got[i].name, expected->name);
		assert_true(got[i].cpus == expected->cpus);
		assert_true(got[i].gpus == expected->gpus);
		assert_true(got[i].ram_gb == expected->ram_gb);
		assert_true(got[i].cache_gb == expected->cache_gb);
		assert_true(got[i].pull_gb_per_s == expected->pull_gb_per_s);
		assert_true(got[i].price == expected->price);
		assert_true(got[i].spot_price == expected->spot_price);
		assert_true(got[i].boot_time_s == expected->boot_time_s);
		assert_int_equal(got[i].zone_count, expected->zone_count);
		for (int zone = 0; zone < expected->zone_count; zone++)
			assert_string_equal(got[i].zones[zone], expected->zones[zone]);
	}
}

static void machine_types_have_the_contract_fields(void **state)
{
	cJSON *tree = parse_json(machine_types_text);
	struct fl_cloud_machine_type *got;
	int count;

	(void)state;
	assert_int_equal(fl_machine_types_decode(tree, &got, &count), 0);
	cJSON_Delete(tree);
	assert_machine_types(got, count);
	free(got);
	assert_text_and_free(fl_json_print_and_delete(fl_machine_types_encode(
				     offered_types, COUNT_OF(offered_types))),
	                     machine_types_text);
}

struct machine_type_results {
	enum fl_cloud_result result[3];
	struct fl_cloud_machine_type *types;
	int count;
};

static void request_machine_types(const char *address, void *results)
{
	struct machine_type_results *got = results;
	struct fl_cloud_machine_type *unused_types;
	struct fl_cloud cloud;
	int unused_count;

	fl_http_client_init(&cloud.http, address, 1);
	got->result[0] = fl_cloud_get_machine_types(&cloud, &got->types, &got->count);
	got->result[1] = fl_cloud_get_machine_types(&cloud, &unused_types, &unused_count);
	got->result[2] = fl_cloud_get_machine_types(&cloud, &unused_types, &unused_count);
	fl_http_client_close(&cloud.http);
}

static void machine_types_are_requested_from_the_cloud(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /machine_types\n", 200, machine_types_text},
		{"GET /machine_types\n", 429, "{}"},
		{"GET /machine_types\n", 503, "{\"error\":\"trouble\"}"},
	};
	struct machine_type_results got = {0};

	(void)state;
	contract_run_exchanges(request_machine_types, &got, script, COUNT_OF(script));
	assert_int_equal(got.result[0], FL_CLOUD_OK);
	assert_machine_types(got.types, got.count);
	free(got.types);
	assert_int_equal(got.result[1], FL_CLOUD_UNAVAILABLE);
	assert_int_equal(got.result[2], FL_CLOUD_UNAVAILABLE);
}

struct rental_results {
	enum fl_cloud_result result[4];
	char (*hosts[3])[FL_NAME_MAX];
	int count[3];
};

static void rent_and_delete_machines(const char *address, void *results)
{
	static const struct fl_cloud_rental rentals[] = {
		{"r-17", "g8", "zone-a", true, 12},
		{"r-18", "c32", "zone-b", false, 1},
		{"r-18", "c32", "zone-b", false, 1},
	};
	static const char *const deleted_hosts[] = {"m-000231", "m-000232"};
	struct rental_results *got = results;
	struct fl_cloud cloud;

	fl_http_client_init(&cloud.http, address, 1);
	for (int i = 0; i < 3; i++)
		got->result[i] =
			fl_cloud_rent_machines(&cloud, &rentals[i], &got->hosts[i], &got->count[i]);
	got->result[3] = fl_cloud_delete_machines(&cloud, deleted_hosts, COUNT_OF(deleted_hosts));
	fl_http_client_close(&cloud.http);
}

static void machines_are_rented_and_deleted(void **state)
{
	static const struct contract_exchange script[] = {
		{"POST /rentals\n"
	         "{\"Rental\":\"r-17\",\"HostKind\":\"g8\",\"Site\":\"zone-a\","
	         "\"Reclaimable\":true,\"Count\":12}",
	         200, "{\"Hosts\":[\"m-000231\",\"m-000232\"]}"},
		{"POST /rentals\n"
	         "{\"Rental\":\"r-18\",\"HostKind\":\"c32\",\"Site\":\"zone-b\","
	         "\"Reclaimable\":false,\"Count\":1}",
	         503, "{\"error\":\"no capacity\"}"},
		{"POST /rentals\n"
	         "{\"Rental\":\"r-18\",\"HostKind\":\"c32\",\"Site\":\"zone-b\","
	         "\"Reclaimable\":false,\"Count\":1}",
	         503, "{\"error\":\"trouble\"}"},
		{"POST /rentals/delete\n{\"Hosts\":[\"m-000231\",\"m-000232\"]}", 200, "{}"},
	};
	struct rental_results got = {0};

	(void)state;
	contract_run_exchanges(rent_and_delete_machines, &got, script, COUNT_OF(script));
	assert_int_equal(got.result[0], FL_CLOUD_OK);
	assert_int_equal(got.count[0], 2);
	assert_string_equal(got.hosts[0][0], "m-000231");
	assert_string_equal(got.hosts[0][1], "m-000232");
	free(got.hosts[0]);
	assert_int_equal(got.result[1], FL_CLOUD_NO_CAPACITY);
	assert_int_equal(got.result[2], FL_CLOUD_UNAVAILABLE);
	assert_int_equal(got.result[3], FL_CLOUD_OK);
}

static const char first_page_text[] =
	"{\"Hosts\":[{\"Ref\":\"m-000231\",\"Endpoint\":\"10.1.0.232:9000\",\"HostKind\":\"g8\","
	"\"Site\":\"zone-a\",\"Reclaimable\":true,\"Status\":\"running\",\"AgeS\":61.5},"
	"{\"Ref\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
	"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Status\":\"booting\",\"AgeS\":4}],"
	"\"More\":true}";
static const char last_page_text[] =
	"{\"Hosts\":[{\"Ref\":\"m-000240\",\"Endpoint\":\"10.1.0.241:9000\",\"HostKind\":\"g4\","
	"\"Site\":\"zone-c\",\"Reclaimable\":false,\"Status\":\"failed\",\"AgeS\":300}],"
	"\"More\":false}";

struct rental_list_results {
	enum fl_cloud_result result[2];
	int count[2];
	struct fl_cloud_machine *hosts[2];
	bool more[2];
};

static void list_machines(const char *address, void *results)
{
	static const char *const from[] = {NULL, "m-000232"};
	struct rental_list_results *got = results;
	struct fl_cloud cloud;

	fl_http_client_init(&cloud.http, address, 1);
	for (int i = 0; i < 2; i++)
		got->result[i] = fl_cloud_list_machines(&cloud, from[i], &got->hosts[i],
		                                        &got->count[i], &got->more[i]);
	fl_http_client_close(&cloud.http);
}

static void assert_listed_machine(const struct fl_cloud_machine *got,
                                  const struct fl_cloud_machine *expected)
{
	assert_string_equal(got->host, expected->host);
	assert_string_equal(got->endpoint, expected->endpoint);
	assert_string_equal(got->type, expected->type);
	assert_string_equal(got->zone, expected->zone);
	assert_int_equal(got->spot, expected->spot);
	assert_int_equal(got->status, expected->status);
	assert_true(got->age_s == expected->age_s);
}

static void rented_machines_are_listed_page_by_page(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /rentals?Page=500\n", 200, first_page_text},
		{"GET /rentals?From=m-000232&Page=500\n", 200, last_page_text},
	};
	static const struct fl_cloud_machine expected[] = {
		{"m-000231", "10.1.0.232:9000", "g8", "zone-a", true, FL_CLOUD_MACHINE_RUNNING,
	         61.5},
		{"m-000232", "10.1.0.233:9000", "c32", "zone-b", false, FL_CLOUD_MACHINE_BOOTING,
	         4},
		{"m-000240", "10.1.0.241:9000", "g4", "zone-c", false, FL_CLOUD_MACHINE_FAILED,
	         300},
	};
	struct rental_list_results got = {0};

	(void)state;
	contract_run_exchanges(list_machines, &got, script, COUNT_OF(script));
	assert_int_equal(got.result[0], FL_CLOUD_OK);
	assert_int_equal(got.count[0], 2);
	assert_true(got.more[0]);
	assert_listed_machine(&got.hosts[0][0], &expected[0]);
	assert_listed_machine(&got.hosts[0][1], &expected[1]);
	assert_int_equal(got.result[1], FL_CLOUD_OK);
	assert_int_equal(got.count[1], 1);
	assert_false(got.more[1]);
	assert_listed_machine(&got.hosts[1][0], &expected[2]);
	free(got.hosts[0]);
	free(got.hosts[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(machine_types_have_the_contract_fields),
		cmocka_unit_test(machine_types_are_requested_from_the_cloud),
		cmocka_unit_test(machines_are_rented_and_deleted),
		cmocka_unit_test(rented_machines_are_listed_page_by_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
