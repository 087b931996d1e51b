/* The token bucket, which limits the rate of writes and calls. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "storage/token_bucket.h"

static void a_token_bucket_holds_its_rate(void **state)
{
	struct fl_token_bucket bucket;
	double now = 0, spent = 0;

	(void)state;
	fl_token_bucket_init(&bucket, 10, 10, now);
	while (now < 60) {
		double wait_s = fl_token_bucket_take(&bucket, 3, now);

		if (wait_s == 0)
			spent += 3;
		now += wait_s > 0 ? wait_s : 0;
	}

	assert_true(spent <= 10 + 600 + 3 && spent > 590);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_token_bucket_holds_its_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
