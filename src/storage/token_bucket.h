/*
 * A token bucket, which limits the rate of requests or records of a node. It does not wait: the
 * caller sleeps for the returned time or abandons the operation.
 */
#ifndef FL_STORAGE_TOKEN_BUCKET_H
#define FL_STORAGE_TOKEN_BUCKET_H

/*
 * `tokens` are available at `updated_at` (monotonic clock, s); `rate` tokens are added per second,
 * up to `burst`.
 */
struct fl_token_bucket {
	double rate, burst, tokens, updated_at;
};

/* Initialises a full bucket; `now` is on the monotonic clock, s, here and below. */
void fl_token_bucket_init(struct fl_token_bucket *bucket, double rate, double burst, double now);
/*
 * Takes `count` tokens and returns 0, or takes none and returns the seconds to wait before the next
 * try. A count above the burst is taken when the bucket is full, and leaves a negative number of
 * tokens.
 */
double fl_token_bucket_take(struct fl_token_bucket *bucket, double count, double now);
/* Changes the rate and the burst; the tokens that are available at `now` stay, up to the burst. */
void fl_token_bucket_set_rate(struct fl_token_bucket *bucket, double rate, double burst,
                              double now);
/* Returns the number of tokens available at `now`. */
double fl_token_bucket_available(struct fl_token_bucket *bucket, double now);

#endif
