/* Literal JSON texts and job descriptions, compared in full. */
#include "contract_text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

cJSON *parse_json(const char *text)
{
	cJSON *tree = fl_json_parse(text, strlen(text));

	assert_non_null(tree);
	return tree;
}

void assert_text_and_free(char *text, const char *expected)
{
	assert_non_null(text);
	assert_string_equal(text, expected);
	free(text);
}

void assert_json_text_and_delete(cJSON *tree, const char *expected)
{
	assert_text_and_free(fl_json_print_and_delete(tree), expected);
}

void assert_job_spec_equal(const struct fl_job_spec *got, const struct fl_job_spec *expected)
{
	assert_string_equal(got->ref, expected->ref);
	assert_string_equal(got->job_class, expected->job_class);
	assert_string_equal(got->team, expected->team);
	assert_string_equal(got->image, expected->image);
	assert_string_equal(got->zone, expected->zone);
	assert_int_equal(got->machine_type_count, expected->machine_type_count);
	for (int i = 0; i < expected->machine_type_count; i++)
		assert_string_equal(got->machine_types[i], expected->machine_types[i]);
	assert_int_equal(got->kind, expected->kind);
	assert_int_equal(got->priority, expected->priority);
	assert_int_equal(got->task_count, expected->task_count);
	assert_true(got->cpus == expected->cpus);
	assert_true(got->gpus == expected->gpus);
	assert_true(got->ram_gb == expected->ram_gb);
	assert_true(got->image_gb == expected->image_gb);
	assert_true(got->expected_s == expected->expected_s);
	assert_true(got->checkpoint_every_s == expected->checkpoint_every_s);
	assert_true(got->checkpoint_cost_s == expected->checkpoint_cost_s);
	assert_true(got->due_s == expected->due_s);
	assert_int_equal(got->has_zone, expected->has_zone);
	assert_int_equal(got->same_zone, expected->same_zone);
	assert_int_equal(got->spread_zones, expected->spread_zones);
	assert_int_equal(got->spot_allowed, expected->spot_allowed);
}
