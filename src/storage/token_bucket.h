/*
 * A token bucket, which limits the rate of requests or records of a node. It does not wait: callers
 * sleep for as long as it returns, or give up.
 */
#ifndef FL_STORAGE_TOKEN_BUCKET_H
#define FL_STORAGE_TOKEN_BUCKET_H

/* `tokens` as of the steady time `updated_at`; `rate` tokens come in a second, up to `burst`. */
struct fl_token_bucket {
	double rate, burst, tokens, updated_at;
};

/* A full bucket; `now` is steady here and below. */
void fl_token_bucket_init(struct fl_token_bucket *bucket, double rate, double burst, double now);
/*
 * Seconds to wait before `count` tokens may be taken; 0: they are taken. More than the burst are
 * taken when the bucket is full, and leave a debt.
 */
double fl_token_bucket_take(struct fl_token_bucket *bucket, double count, double now);
/* How many tokens may be taken now. */
double fl_token_bucket_available(struct fl_token_bucket *bucket, double now);

#endif
