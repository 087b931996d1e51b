#include "storage/token_bucket.h"

static const double slack_tokens = 1e-9;

void fl_token_bucket_init(struct fl_token_bucket *bucket, double rate, double burst, double now)
{
	bucket->rate = rate;
	bucket->burst = burst;
	bucket->tokens = burst;
	bucket->updated_at = now;
}

double fl_token_bucket_available(struct fl_token_bucket *bucket, double now)
{
	if (now > bucket->updated_at)
		bucket->tokens += (now - bucket->updated_at) * bucket->rate;
	if (bucket->tokens > bucket->burst)
		bucket->tokens = bucket->burst;
	bucket->updated_at = now;
	return bucket->tokens;
}

void fl_token_bucket_set_rate(struct fl_token_bucket *bucket, double rate, double burst, double now)
{
	if (rate == bucket->rate && burst == bucket->burst)
		return;
	fl_token_bucket_available(bucket, now);
	bucket->rate = rate;
	bucket->burst = burst;
	fl_token_bucket_available(bucket, now);
}

double fl_token_bucket_take(struct fl_token_bucket *bucket, double count, double now)
{
	fl_token_bucket_available(bucket, now);
	/* Tolerates a tiny shortage: the wait could be too short for the clock to advance. */
	if (bucket->tokens >= count - slack_tokens || bucket->tokens >= bucket->burst) {
		bucket->tokens -= count;
		return 0;
	}
	return (count - bucket->tokens) / bucket->rate;
}
