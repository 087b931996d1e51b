#include "storage/finished_jobs.h"

#include <errno.h>
#include <stdlib.h>

#include "transport/clock.h"
#include "transport/text.h"

struct fl_finished_job *fl_finished_find(const struct fl_cluster *b, const char *ref)
{
	struct fl_finished_job *f;

	HASH_FIND_STR(b->finished, ref, f);
	return f;
}

void fl_finished_add(struct fl_cluster *b, const char *ref, enum fl_status status, uint32_t n_tasks,
                     double cancelled_at)
{
	struct fl_finished_job *f = fl_finished_find(b, ref);

	if (f)
		return; /* a final state never changes */
	f = calloc(1, sizeof(*f));
	if (!f) {
		b->finished_lost_at = fl_now();
		return;
	}
	fl_copy_string(f->ref, sizeof(f->ref), ref);
	f->status = (uint8_t)status;
	f->n_tasks = n_tasks;
	f->cancelled_at = cancelled_at;
	f->learned_at = fl_now();
	HASH_ADD_STR(b->finished, ref, f);
	if (b->finished_max > 0 && HASH_COUNT(b->finished) > b->finished_max) {
		struct fl_finished_job *oldest = b->finished;

		HASH_DEL(b->finished, oldest);
		b->finished_lost_at = oldest->learned_at;
		free(oldest);
	}
}

int fl_finished_cancelled_since(const struct fl_cluster *b, double since,
                                const struct fl_finished_job **out, int most)
{
	const struct fl_finished_job *f = NULL;
	int n = 0;

	if (b->finished_lost_at > since)
		return -E2BIG;
	if (b->finished)
		f = ELMT_FROM_HH(b->finished->hh.tbl, b->finished->hh.tbl->tail);
	for (; f && f->learned_at >= since; f = f->hh.prev) {
		if (f->status != FL_CANCELLED)
			continue;
		if (n == most)
			return -E2BIG;
		out[n++] = f;
	}
	return n;
}
