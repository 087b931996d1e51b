/*
 * What is not accepted: one node between a state service and a leader that are stand-ins of a few
 * lines each. The verdict on a submission must not depend on what the node can reach, and a record
 * that cannot be read decides nothing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "storage/records.h"
#include "coordination/node.h"
#include "coordination/takeover.h"
#include "transport/clock.h"
#include "transport/http_server.h"
#include "transport/routine.h"

struct fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_http_server *state, *leader;
	bool refused;         /* by the state service, this node alone */
	bool known;           /* the job was accepted before */
	const char *record;   /* the only job record there is, of run-000001 */
	const char *progress; /* and that of its progress */
	bool no_more;         /* a list does not say whether there is more of it */
	int writes, reads;    /* of job records */
	bool gated;           /* a read of one waits for the gate */
	struct fl_signal gate;
	bool seen; /* whether the job was known when it began */
	int ref;
	char failed[400];
};

/* Fields given twice: the first one counts. */
#define RECORD(fields) "{" fields ",\"Ref\":\"run-000001\",\"submitted\":5," BASE "}"
#define BASE                                                                                       \
	"\"JobClass\":\"c\",\"Owner\":\"t\",\"JobKind\":\"sweep\",\"Tier\":\"standard\","          \
	"\"Parts\":4,\"Vcpus\":1,\"Accelerators\":0,\"RamGb\":1,\"Bundle\":\"i\",\"ImageGb\":1,"   \
	"\"Together\":false,\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":1,"                 \
	"\"SnapshotEveryS\":0,\"SnapshotCostS\":0"

static void on_state(void *ctx, const struct fl_request *req, struct fl_response *resp)
{
	struct fixture *f = ctx;
	struct fl_buf b = {0};

	resp->status = 503;
	if (f->refused)
		return;
	resp->status = 200;
	if (strcmp(req->path, "/multi") == 0) {
		f->writes++;
		fl_buf_printf(&b, "{\"LedgerRev\":9}");
	} else if (strcmp(req->path, "/keys") == 0) {
		if (f->record && strstr(req->query, "Prefix=" FL_PREFIX_JOBS))
			fl_buf_printf(&b,
			              "{\"Items\":[{\"Key\":\"j/run-000001\",\"V\":%s,"
			              "\"KeyRev\":3}],\"More\":false,\"LedgerRev\":9}",
			              f->record);
		else if (f->progress && strstr(req->query, "Prefix=" FL_PREFIX_PROGRESS))
			fl_buf_printf(&b,
			              "{\"Items\":[{\"Key\":\"p/run-000001/0\",\"V\":%s,"
			              "\"KeyRev\":4}],\"More\":false,\"LedgerRev\":9}",
			              f->progress);
		else
			fl_buf_printf(&b, "{\"Items\":[],%s\"LedgerRev\":9}",
			              f->no_more ? "" : "\"More\":false,");
	} else if (strcmp(req->path, "/rentals") == 0) {
		fl_buf_printf(&b, "{%s\"Hosts\":[]}", f->no_more ? "" : "\"More\":false,");
	} else if ((f->gated ? f->seen : f->known) && strncmp(req->path, "/keys/f/", 8) == 0) {
		f->reads++;
		fl_buf_printf(&b, "{\"V\":{\"final\":\"done\",\"parts\":4},\"KeyRev\":3}");
	} else {
		f->reads++;
		f->seen = f->known;
		if (f->gated)
			fl_signal_wait(&f->gate, -1);
		resp->status = 404;
	}
	resp->body = b.data;
}

static void on_leader(void *ctx, const struct fl_request *req, struct fl_response *resp)
{
	struct fixture *f = ctx;
	struct fl_job_spec run;
	struct fl_relay r;
	cJSON *o;

	resp->status = 400;
	if (fl_relay_decode(req->body, req->body_len, &r) != 0)
		return;
	if (r.call == FL_CALL_SUBMIT) {
		o = fl_json_parse(r.body, strlen(r.body));
		resp->status = fl_job_spec_decode(o, &run) ? 400 : 201;
		cJSON_Delete(o);
	} else {
		resp->status = f->known ? 200 : 404;
	}
	resp->body = strdup("{\"Status\":\"done\"}");
	fl_relay_free(&r);
}

static void connect_to(struct fl_http_client *c, const struct fl_http_server *s)
{
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", fl_http_server_port(s));
	assert_int_equal(fl_http_client_init(c, addr, 1), 0);
}

static int set_up(void **state)
{
	struct fl_offered_type types[] = {
		{.name = "both", .cpus = 8, .ram_gb = 64, .zones = {"a", "b"}, .n_zones = 2},
		{.name = "one", .cpus = 96, .ram_gb = 64, .zones = {"a"}, .n_zones = 1},
		{.name = "elsewhere", .cpus = 900, .ram_gb = 64, .zones = {"y"}, .n_zones = 1},
	};
	struct fixture *f = calloc(1, sizeof(*f));
	struct fl_node *n = &f->node;

	fl_routines_init(ev_default_loop(0));
	n->config = &f->config;
	strcpy(f->config.node, "n0");
	f->config.lease_s = 10;
	f->config.cancel_s = 40;
	fl_names_add(&n->cluster.zones, "a");
	fl_names_add(&n->cluster.zones, "b");
	fl_machine_types_set(&n->cluster.machines, &n->cluster.zones, types, 3);
	strcpy(n->cluster.teams.at[0].name, "t");
	n->cluster.teams.at[0].cpus_max = 100;
	n->cluster.teams.n = 1;
	f->state = fl_http_serve("127.0.0.1:0", 16, 90, on_state, f);
	f->leader = fl_http_serve("127.0.0.1:0", 16, 90, on_leader, f);
	assert_true(f->state && f->leader);
	connect_to(&n->state.http, f->state);
	connect_to(&n->cloud.http, f->state);
	n->state.last_ok = n->leadership_confirmed_at = n->cancellations_known_until = fl_now();
	n->state.last_refusal = -1e9;
	n->types_known = n->jobs_known = true;
	strcpy(n->leader, "n1");
	n->n_peers = 1;
	strcpy(n->peers[0].name, "n1");
	n->peers[0].up = true;
	connect_to(&n->peers[0].http, f->leader);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	fl_http_client_close(&f->node.state.http);
	fl_http_client_close(&f->node.cloud.http);
	fl_http_client_close(&f->node.peers[0].http);
	fl_routines_shutdown();
	fl_cluster_free(&f->node.cluster);
	free(f->state);
	free(f->leader);
	free(f);
	return 0;
}

static int submit(struct fixture *f, const char *fields, int *retry_after)
{
	struct fl_response resp = {.status = 500};
	struct fl_buf b = {0};

	fl_buf_printf(&b, "{%s%s\"Ref\":\"run-%06d\",%s}", fields, *fields ? "," : "", ++f->ref,
	              BASE);
	fl_node_user_call(&f->node, FL_CALL_SUBMIT, "", b.data, b.len, FL_FIRST_HOP, &resp);
	fl_buf_free(&b);
	free(resp.body);
	if (retry_after)
		*retry_after = resp.retry_after_s;
	return resp.status;
}

static void expect(struct fixture *f, const char *fields, int want, const char *where)
{
	int got = submit(f, fields, NULL);

	if (got != want && !f->failed[0])
		snprintf(f->failed, sizeof(f->failed), "%d instead of %d, %s: %.200s", got, want,
		         where, fields);
}

static const struct {
	const char *fields;
	int status;
	bool unreadable; /* not even the Ref: 400 though it may be known */
} cases[] = {
	{"", 201, false},
	{"\"Parts\":null", 400, false},
	{"\"Parts\":0", 400, false},
	{"\"Parts\":100001", 400, false},
	{"\"Tier\":\"high\"", 400, false},
	{"\"Owner\":\"\"", 400, false},
	{"\"Vcpus\":-1", 400, false},
	{"\"RamGb\":1e999", 400, false},
	{"\"Site\":\"\"", 400, false},
	{"\"HostKinds\":[\"both\",\"\"]", 400, false},
	{"\"JobClass\":\"c\\u0000d\"", 400, true},
	{"\"Bundle\":\"\xc3(\"", 400, true},
	{"\"Owner\":\"nobody\"", 422, false},
	{"\"Site\":\"z\"", 422, false},
	{"\"HostKinds\":[]", 422, false},
	{"\"HostKinds\":[\"none\"]", 422, false},
	{"\"HostKinds\":[\"none\",\"both\"]", 201, false},
	{"\"Vcpus\":1000", 422, false},
	{"\"Vcpus\":0,\"RamGb\":0", 422, false},
	/* Offered in zone a only, and in no zone that is known. */
	{"\"Vcpus\":50", 201, false},
	{"\"Vcpus\":50,\"Site\":\"b\"", 422, false},
	{"\"Vcpus\":50,\"HostKinds\":[\"both\"]", 422, false},
	{"\"Vcpus\":99", 422, false},
	/* The limit: one task of an array, all of the others. */
	{"\"Parts\":101", 201, false},
	{"\"Parts\":101,\"JobKind\":\"standing\"", 422, false},
	{"\"Parts\":101,\"JobKind\":\"ensemble\"", 422, false},
	/* Zones that half of a service or a gang can never get. */
	{"\"Apart\":true,\"JobKind\":\"standing\"", 201, false},
	{"\"Apart\":true,\"JobKind\":\"standing\",\"Site\":\"a\"", 422, false},
	{"\"Apart\":true,\"JobKind\":\"ensemble\",\"Together\":true", 422, false},
	{"\"Apart\":true,\"JobKind\":\"standing\",\"Parts\":2,\"Vcpus\":50", 422, false},
	{"\"Apart\":true,\"JobKind\":\"standing\",\"Parts\":1,\"Vcpus\":50", 201, false},
	{"\"Apart\":true,\"Vcpus\":50,\"Together\":true", 201, false},
};

enum { CASES = sizeof(cases) / sizeof(cases[0]) };

static void judge(void *arg)
{
	struct fixture *f = arg;
	int retry_after;
	char *large;

	for (int i = 0; i < CASES; i++)
		expect(f, cases[i].fields, cases[i].status, "all is well");
	f->refused = true;
	for (int i = 0; i < CASES; i++)
		expect(f, cases[i].fields, cases[i].status, "refused by the state service");
	/* What the leader gets is what was read: this, escaped once more, would be too large. */
	large = malloc(50001);
	memset(large, ' ', 50000);
	for (size_t i = 0; i < 20000; i++)
		memcpy(large + 2 * i, "\n ", 2);
	memcpy(large, "\"Later\":", 8);
	memcpy(large + 49990, "[7]", 3);
	large[50000] = 0;
	expect(f, large, 201, "large");
	free(large);
	/* A repeat gets the job's state, whatever its body says. */
	f->known = true;
	for (int refused = 0; refused < 2; refused++) {
		f->refused = refused;
		for (int i = 0; i < CASES; i++)
			if (cases[i].status != 201)
				expect(f, cases[i].fields, cases[i].unreadable ? 400 : 200,
				       "known");
	}
	/* Nobody can tell: neither accepted nor refused. */
	f->known = false;
	f->refused = true;
	f->node.peers[0].up = false;
	f->node.n_peers = 0;
	for (int i = 0; i < CASES; i++)
		if (!cases[i].unreadable)
			expect(f, cases[i].fields, 503, "nobody can tell");
	f->refused = f->node.types_known = false;
	if (submit(f, "", &retry_after) != 503 || retry_after <= 0)
		strcpy(f->failed, "machine types unknown");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_verdict_is_the_same_wherever_it_is_asked(void **state)
{
	struct fixture *f = *state;

	fl_spawn(judge, f);
	fl_routines_run();
	if (f->failed[0])
		fail_msg("%s", f->failed);
}

static const char *const bad_records[] = {
	"{}",
	RECORD("\"Parts\":0"),
	RECORD("\"Ref\":\"run-000002\""),
	RECORD("\"Owner\":\"nobody\""),
	RECORD("\"Site\":\"z\""),
	RECORD("\"final\":7"),
	RECORD("\"final\":\"over\",\"parts\":4"),
	RECORD("\"final\":\"aborted\",\"parts\":4,\"Tier\":\"high\""),
	"{\"final\":\"aborted\"}",
};

/* What a list lacks is taken for gone: it must say that it is whole. */
static void half_lists(struct fixture *f)
{
	struct fl_listed *hosts;
	bool more;
	int n;

	if (fl_cloud_list(&f->node.cloud, NULL, &hosts, &n, &more) != 0)
		strcpy(f->failed, "a good list is not read");
	free(hosts);
	f->no_more = true;
	if (fl_takeover_load(&f->node) == 0 ||
	    fl_cloud_list(&f->node.cloud, NULL, &hosts, &n, &more) == 0)
		strcpy(f->failed, "half a list passes for a whole one");
	f->no_more = false;
}

static void take_over(void *arg)
{
	struct fixture *f = arg;

	f->node.lease.held = true;
	f->record = RECORD("\"Apart\":true");
	if (fl_takeover_load(&f->node) != 0 || !fl_job_find(&f->node.cluster, "run-000001"))
		strcpy(f->failed, "a good record is not read");
	half_lists(f);
	for (size_t i = 0; i < sizeof(bad_records) / sizeof(bad_records[0]); i++) {
		f->record = bad_records[i];
		fl_cluster_free(&f->node.cluster);
		f->node.cluster.jobs = NULL;
		f->node.cluster.finished = NULL;
		fl_names_add(&f->node.cluster.zones, "a");
		if ((fl_takeover_load(&f->node) != -EPROTO || f->node.cluster.finished) &&
		    !f->failed[0])
			snprintf(f->failed, sizeof(f->failed), "is decided by: %s", f->record);
	}
	if (f->writes)
		strcpy(f->failed, "something is written");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_new_leader_decides_nothing_over_a_bad_record(void **state)
{
	struct fixture *f = *state;

	fl_spawn(take_over, f);
	fl_routines_run();
	if (f->failed[0])
		fail_msg("%s", f->failed);
}

/* Nor does a node that hears of it in its watch: it neither runs nor is over. */
static void a_follower_takes_in_no_bad_record(void **state)
{
	struct fixture *f = *state;

	for (size_t i = 0; i < sizeof(bad_records) / sizeof(bad_records[0]); i++) {
		cJSON *v = fl_json_parse(bad_records[i], strlen(bad_records[i]));

		assert_non_null(v);
		assert_null(fl_cluster_apply(&f->node.cluster, "run-000001", v, 4));
		assert_null(f->node.cluster.jobs);
		assert_null(f->node.cluster.finished);
		cJSON_Delete(v);
	}
}

/* Loads one job with this progress; is its final state to be written? */
static bool is_to_be_finished(struct fixture *f, const char *record, const char *progress)
{
	f->record = record;
	f->progress = progress;
	if (fl_takeover_load(&f->node) != 0)
		strcpy(f->failed, "a good record is not read");
	return f->node.cluster.dirty &&
	       f->node.cluster.dirty == fl_job_find(&f->node.cluster, "run-000001");
}

static void take_over_what_is_over(void *arg)
{
	static const char cancelled[] = RECORD("\"final\":\"aborted\",\"parts\":4,\"cancelled\":5");
	struct fixture *f = arg;

	f->node.lease.held = true;
	if (is_to_be_finished(f, RECORD("\"Apart\":true"), "{\"d\":[[0,2]]}"))
		strcpy(f->failed, "one task is still to run");
	if (!is_to_be_finished(f, RECORD("\"Apart\":true"), "{\"d\":[[0,3]]}"))
		strcpy(f->failed, "all its tasks are done");
	if (!is_to_be_finished(f, cancelled, "{\"d\":[[0,2]]}"))
		strcpy(f->failed, "it is cancelled, and nothing of it is anywhere");
	if (is_to_be_finished(f, cancelled, "{\"m\":[[0,1,\"m-1\",1,5]]}"))
		strcpy(f->failed, "it is cancelled, and a task may still be about");
	ev_break(fl_loop(), EVBREAK_ALL);
}

/*
 * The leader before ended between the record of the last task and that of the job. Nothing of the
 * job changes any more: found as a job that stayed pending for ever with all its tasks done.
 */
static void a_new_leader_finishes_what_is_over(void **state)
{
	struct fixture *f = *state;

	fl_spawn(take_over_what_is_over, f);
	fl_routines_run();
	if (f->failed[0])
		fail_msg("%s", f->failed);
}

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

#define T(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_verdict_is_the_same_wherever_it_is_asked),
		T(a_new_leader_decides_nothing_over_a_bad_record),
		T(a_follower_takes_in_no_bad_record),
		T(a_new_leader_finishes_what_is_over),
		T(many_questions_leave_the_state_service_to_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
