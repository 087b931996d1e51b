/* The token bucket, which limits the rate of writes and calls. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "storage/token_bucket.h"

static void a_token_bucket_grants_no_more_than_its_rate_and_burst(void **state)
{
	struct fl_token_bucket bucket;
	double now = 0, granted_tokens = 0;

	(void)state;
	fl_token_bucket_init(&bucket, 10, 10, now);
	while (now < 60) {
		double wait_s = fl_token_bucket_take(&bucket, 3, now);

		if (wait_s == 0)
			granted_tokens += 3;
		now += wait_s > 0 ? wait_s : 0;
	}

	assert_true(granted_tokens <= 10 + 600 + 3 && granted_tokens > 590);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_token_bucket_grants_no_more_than_its_rate_and_burst),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
