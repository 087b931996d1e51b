/* Status queries and their answers between controllers: encoded, decoded, and refused. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/status_messages.h"

static enum fl_decode_result decode_query(const char *text)
{
	char refs[FL_STATUS_QUERY_JOBS_MAX][FL_REF_MAX];
	int count;

	return fl_status_query_decode(text, strlen(text), refs, &count);
}

static enum fl_decode_result decode_answer(const char *text, int count)
{
	struct fl_job_status_report reports[4];

	return fl_status_answer_decode(text, strlen(text), reports, count);
}

static void status_messages_round_trip_and_malformed_ones_are_rejected(void **state)
{
	char refs[2][FL_REF_MAX] = {"run-000001", "run-000412"},
	     decoded[FL_STATUS_QUERY_JOBS_MAX][FL_REF_MAX];
	struct fl_job_status_report reports[2] = {{true, FL_RUNNING, 3, 13}, {0}},
				    decoded_reports[2];
	char *text = fl_status_query_encode(refs, 2);
	int count;

	(void)state;
	assert_int_equal(fl_status_query_decode(text, strlen(text), decoded, &count), FL_DECODE_OK);
	assert_int_equal(count, 2);
	assert_string_equal(decoded[1], refs[1]);
	free(text);
	assert_int_equal(decode_query("{}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":[\"run-1\"]}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":[\"../../etc\"]}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":[7]}"), FL_DECODE_MALFORMED);
	assert_int_equal(decode_query("{\"refs\":{}}"), FL_DECODE_MALFORMED);

	text = fl_status_answer_encode(reports, 2);
	assert_int_equal(fl_status_answer_decode(text, strlen(text), decoded_reports, 2),
	                 FL_DECODE_OK);
	assert_true(decoded_reports[0].status_known && decoded_reports[0].status == FL_RUNNING);
	assert_int_equal(decoded_reports[0].done_count, 3);
	assert_int_equal(decoded_reports[0].running_count, 13);
	assert_false(decoded_reports[1].status_known);
	free(text);
	assert_int_equal(decode_answer("{\"jobs\":[null]}", 2), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[[9,0,0]]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[[1,0]]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[[1,-1,0]]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("{\"jobs\":[true]}", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_answer("", 0), FL_DECODE_MALFORMED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(status_messages_round_trip_and_malformed_ones_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
