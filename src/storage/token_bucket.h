/* A token bucket that limits how many requests or records a second a node spends. */
#ifndef FL_STORAGE_TOKEN_BUCKET_H
#define FL_STORAGE_TOKEN_BUCKET_H

/* `tokens` tokens as of time `updated_at`; `rate` tokens come in a second, up to `burst` of them.
 */
struct fl_token_bucket {
	double rate, burst, tokens, updated_at;
};

/* A full bucket. */
void fl_token_bucket_init(struct fl_token_bucket *bucket, double rate, double burst, double now);
/* Seconds to wait before `n` may be spent; 0 spends them. */
double fl_token_bucket_take(struct fl_token_bucket *bucket, double n, double now);
/* What may be spent now. */
double fl_token_bucket_available(struct fl_token_bucket *bucket, double now);

#endif
