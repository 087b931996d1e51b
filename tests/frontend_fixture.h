/* One node between a key-value store and a leader, each a fake of a few lines, on loopback. */
#ifndef FL_TESTS_FRONTEND_FIXTURE_H
#define FL_TESTS_FRONTEND_FIXTURE_H

#include "coordination/node.h"
#include "transport/http_server.h"
#include "transport/coroutine.h"

struct frontend_fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_http_server *kv_store, *leader;
	bool kv_store_returns_503;       /* this node alone; 503 to all requests */
	bool job_known;                  /* the job was accepted before */
	const char *job_record;          /* the only job record there is, of run-000001 */
	const char *progress_record;     /* and the only progress record */
	bool lists_lack_more_field;      /* a list does not say whether there is more of it */
	int record_writes, record_reads; /* of job records */
	bool reads_gated;                /* a read of one waits for the gate */
	struct fl_condition read_gate;
	bool job_known_at_read_start; /* whether the job was known when it began */
	int last_job_number;          /* number of the job submitted last */
	char first_failure[400];      /* the first one inside a coroutine; empty: none */
};

/* Fields given twice: the first one counts. */
#define JOB_RECORD(fields) "{" fields ",\"Ref\":\"run-000001\",\"submitted\":5," JOB_FIELDS "}"
#define JOB_FIELDS                                                                                 \
	"\"JobClass\":\"c\",\"Owner\":\"t\",\"JobKind\":\"sweep\",\"Tier\":\"standard\","          \
	"\"Parts\":4,\"Vcpus\":1,\"Accelerators\":0,\"RamGb\":1,\"Bundle\":\"i\",\"ImageGb\":1,"   \
	"\"Together\":false,\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":1,"                 \
	"\"SnapshotEveryS\":0,\"SnapshotCostS\":0"

/* Before each test: a node that follows n1, three machine types in zones a and b, team t. */
int set_up(void **state);

int tear_down(void **state);

/* Notes the first failure: an assertion must not leave a coroutine. */
void note_failure(struct frontend_fixture *fixture, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Runs the function as a coroutine to its end, and fails the test by what was noted in it. */
void run_in_coroutine(struct frontend_fixture *fixture, void (*function)(void *fixture));

/* A test entry with a node and fakes of its own. */
#define FRONTEND_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
