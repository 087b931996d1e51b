/*
 * Polls without a leader: those for one job share a read of its record, and the reads stay
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
#include "coordination/request_router.h"
#include "frontend_fixture.h"
#include "transport/clock.h"

struct question {
	struct fixture *fixture;
	char ref[FL_REF_MAX];
	struct fl_http_response resp;
	char body[256]; /* of the answer, once it is there */
	bool answered;
};

static void ask(void *arg)
{
	struct question *question = arg;

	fl_route_user_request(
		&question->fixture->node,
		&(struct fl_client_request){.kind = FL_USER_REQUEST_STATUS, .ref = question->ref},
		&question->resp);
	if (question->resp.body)
		copy_text(question->body, sizeof(question->body), question->resp.body);
	free(question->resp.body);
	question->answered = true;
}

enum { ASKERS = 40 };

static int answered_with(const struct question *question, int from, int to, int status)
{
	int count = 0;

	for (int i = from; i < to; i++)
		count += question[i].answered && question[i].resp.status == status;
	return count;
}

static bool answered_by_all(const struct question *question)
{
	for (int i = 0; i < ASKERS; i++)
		if (!question[i].answered)
			return false;
	return true;
}

static void spawn_question(struct fixture *fixture, struct question *question, const char *ref)
{
	memset(question, 0, sizeof(*question));
	question->fixture = fixture;
	copy_text(question->ref, sizeof(question->ref), ref);
	fl_coroutine_spawn(ask, question);
}

static void ask_many(void *arg)
{
	static struct question question[ASKERS];
	struct fixture *fixture = arg;
	char ref[FL_REF_MAX];

	/* Nobody leads: each poll is answered from the records, and twenty by one read of them. */
	fixture->node.peer_count = 0;
	fixture->node.machine_types_known = fixture->node.jobs_known = true;
	fixture->gated = true;
	fixture->config.state_rps = 1000;
	fl_job_lookups_init(&fixture->node);
	for (int i = 0; i < ASKERS / 2; i++)
		spawn_question(fixture, &question[i], "run-000001");
	while (fixture->reads < 1)
		fl_sleep(0.01);
	/* The first read is in flight, and does not see what is accepted now. */
	fixture->known = true;
	for (int i = ASKERS / 2; i < ASKERS; i++)
		spawn_question(fixture, &question[i], "run-000001");
	fl_sleep(0.01);
	while (!answered_by_all(question)) {
		fl_condition_broadcast(&fixture->gate);
		fl_sleep(0.01);
	}
	if (answered_with(question, 0, 1, 404) != 1 ||
	    answered_with(question, 1, ASKERS, 200) != ASKERS - 1)
		strcpy(fixture->failed, "a question is answered by an older read");
	if (fixture->reads != 4)
		snprintf(fixture->failed, sizeof(fixture->failed), "%d reads for one job",
		         fixture->reads);
	/* What is done stays so: one read serves all that ask later. */
	fixture->gated = false;
	fixture->reads = 0;
	spawn_question(fixture, &question[0], "run-000001");
	while (!question[0].answered)
		fl_sleep(0.01);
	if (fixture->reads != 0 || question[0].resp.status != 200)
		strcpy(fixture->failed, "what is done is read again");
	/* Many jobs: polls beyond the share of the state service are refused at once. */
	fixture->known = false;
	fixture->reads = 0;
	fixture->gated = false;
	fixture->config.state_rps = 10;
	fl_job_lookups_init(&fixture->node);
	for (int i = 0; i < ASKERS; i++) {
		snprintf(ref, sizeof(ref), "run-%06d", 100 + i);
		spawn_question(fixture, &question[i], ref);
	}
	while (!answered_by_all(question))
		fl_sleep(0.01);
	if (fixture->reads < 4 || fixture->reads > 12 ||
	    answered_with(question, 0, ASKERS, 404) * 2 != fixture->reads ||
	    answered_with(question, 0, ASKERS, 503) + fixture->reads / 2 != ASKERS)
		snprintf(fixture->failed, sizeof(fixture->failed), "%d reads of 10 a second",
		         fixture->reads);
	for (int i = 0; i < ASKERS; i++)
		if (question[i].resp.status == 503 && question[i].resp.retry_after_s <= 0)
			strcpy(fixture->failed, "no time is given for the next try");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void many_polls_stay_within_the_share_of_the_state_service(void **state)
{
	struct fixture *fixture = *state;

	fl_coroutine_spawn(ask_many, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

/* The leader's own poll waits for a record, and the job ends meanwhile: its end is what is said. */
static void end_while_read(void *arg)
{
	static struct question question;
	struct fixture *fixture = arg;
	struct fl_node *node = &fixture->node;
	struct fl_job_spec spec = {.ref = "run-000001",
	                           .team = "t",
	                           .task_count = 1,
	                           .machine_type_count = -1,
	                           .kind = FL_ARRAY};
	struct fl_job *job;

	node->leadership.active = node->leader_lease.held = node->cluster.leading = true;
	node->leader_lease.valid_until = fl_now() + 1000;
	/* What is read has not seen the end: nothing stands there. */
	fixture->known = false;
	fixture->gated = true;
	fixture->config.state_rps = 1000;
	fl_job_lookups_init(node);
	job = fl_job_add(&node->cluster, &spec, fl_wall(), 1);
	/* A final write is under way: only the record may know its outcome. */
	job->record.final_write_unknown = true;
	spawn_question(fixture, &question, "run-000001");
	while (fixture->reads < 1)
		fl_sleep(0.01);
	fl_job_finalise(&node->cluster, job, FL_DONE);
	while (!question.answered) {
		fl_condition_broadcast(&fixture->gate);
		fl_sleep(0.01);
	}
	if (question.resp.status != 200 || !strstr(question.body, "done"))
		snprintf(fixture->failed, sizeof(fixture->failed), "%d %s", question.resp.status,
		         question.body);
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_job_that_ends_while_its_record_is_read_is_done(void **state)
{
	struct fixture *fixture = *state;

	fl_coroutine_spawn(end_while_read, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(many_polls_stay_within_the_share_of_the_state_service),
		FRONTEND_TEST(a_job_that_ends_while_its_record_is_read_is_done),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
