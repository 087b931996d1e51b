#include "storage/token_bucket.h"

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

double fl_token_bucket_take(struct fl_token_bucket *bucket, double n, double now)
{
	fl_token_bucket_available(bucket, now);
	/* A hair short counts as there: the wait for it could be too short to move a clock. */
	if (bucket->tokens >= n - 1e-9 || bucket->tokens >= bucket->burst) {
		bucket->tokens -= n;
		return 0;
	}
	return (n - bucket->tokens) / bucket->rate;
}
