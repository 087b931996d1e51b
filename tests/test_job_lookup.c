/*
 * Polls without a leader: questions for one job share a read of its record, and the reads stay
 * within the node's share of the state service.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "frontend_fixture.h"

struct question {
	struct fixture *f;
	char ref[FL_REF_MAX];
	struct fl_response resp;
	bool answered;
};

static void ask(void *arg)
{
	struct question *q = arg;

	fl_node_user_call(&q->f->node, FL_CALL_POLL, q->ref, NULL, 0, FL_FIRST_HOP, &q->resp);
	free(q->resp.body);
	q->answered = true;
}

enum { ASKERS = 40 };

static int answered_with(const struct question *q, int from, int to, int status)
{
	int count = 0;

	for (int i = from; i < to; i++)
		count += q[i].answered && q[i].resp.status == status;
	return count;
}

static bool answered_by_all(const struct question *q)
{
	for (int i = 0; i < ASKERS; i++)
		if (!q[i].answered)
			return false;
	return true;
}

static void question(struct fixture *f, struct question *q, const char *ref)
{
	memset(q, 0, sizeof(*q));
	q->f = f;
	copy_text(q->ref, sizeof(q->ref), ref);
	fl_spawn(ask, q);
}

static void storm(void *arg)
{
	static struct question q[ASKERS];
	struct fixture *f = arg;
	char ref[FL_REF_MAX];

	/* Nobody leads: each poll is answered by the records, and twenty by one look at them. */
	f->node.n_peers = 0;
	f->node.types_known = f->node.jobs_known = true;
	f->gated = true;
	f->config.state_rps = 1000;
	fl_job_lookups_init(&f->node);
	for (int i = 0; i < ASKERS / 2; i++)
		question(f, &q[i], "run-000001");
	while (f->reads < 1)
		fl_sleep(0.01);
	/* The first look is on its way, and sees nothing of what is accepted now. */
	f->known = true;
	for (int i = ASKERS / 2; i < ASKERS; i++)
		question(f, &q[i], "run-000001");
	fl_sleep(0.01);
	while (!answered_by_all(q)) {
		fl_signal_wake(&f->gate);
		fl_sleep(0.01);
	}
	if (answered_with(q, 0, 1, 404) != 1 || answered_with(q, 1, ASKERS, 200) != ASKERS - 1)
		strcpy(f->failed, "a question is answered by an older read");
	if (f->reads != 4)
		snprintf(f->failed, sizeof(f->failed), "%d reads for one job", f->reads);
	/* What is done stays so: one read serves all that ask later. */
	f->gated = false;
	f->reads = 0;
	question(f, &q[0], "run-000001");
	while (!q[0].answered)
		fl_sleep(0.01);
	if (f->reads != 0 || q[0].resp.status != 200)
		strcpy(f->failed, "what is done is read again");
	/* Many jobs: what goes beyond the share of the state service is told so at once. */
	f->known = false;
	f->reads = 0;
	f->gated = false;
	f->config.state_rps = 10;
	fl_job_lookups_init(&f->node);
	for (int i = 0; i < ASKERS; i++) {
		snprintf(ref, sizeof(ref), "run-%06d", 100 + i);
		question(f, &q[i], ref);
	}
	while (!answered_by_all(q))
		fl_sleep(0.01);
	if (f->reads < 4 || f->reads > 12 || answered_with(q, 0, ASKERS, 404) * 2 != f->reads ||
	    answered_with(q, 0, ASKERS, 503) + f->reads / 2 != ASKERS)
		snprintf(f->failed, sizeof(f->failed), "%d reads of 10 a second", f->reads);
	for (int i = 0; i < ASKERS; i++)
		if (q[i].resp.status == 503 && q[i].resp.retry_after_s <= 0)
			strcpy(f->failed, "not told when to come again");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void many_questions_leave_the_state_service_to_others(void **state)
{
	struct fixture *f = *state;

	fl_spawn(storm, f);
	fl_routines_run();
	if (f->failed[0])
		fail_msg("%s", f->failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(many_questions_leave_the_state_service_to_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
