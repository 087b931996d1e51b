/* One node on loopback, with a minimal fake of the key-value store and one of the leader. */
#ifndef FL_TESTS_FRONTEND_FIXTURE_H
#define FL_TESTS_FRONTEND_FIXTURE_H

#include "coordination/node.h"
#include "transport/http_server.h"
#include "transport/coroutine.h"

struct frontend_fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_http_server *kv_store, *leader;
	bool kv_store_returns_503;       /* to this node only: the leader responds as before */
	bool job_known;                  /* the leader knows the job, and it has a final record */
	const char *job_record;          /* the record under j/run-000001; NULL: none */
	const char *progress_record;     /* progress record of its block 0; NULL: none */
	bool lists_lack_more_field;      /* empty lists are sent without the field More */
	int record_writes, record_reads; /* number of transactions, and of job record reads */
	bool reads_gated;                /* reads of a missing record wait for read_gate */
	struct fl_condition read_gate;
	bool job_known_at_read_start; /* job_known when the last read that got 404 began */
	int last_job_number;          /* number in the id of the last job submitted */
	char first_failure[400];      /* text of a failed check in a coroutine; empty: none */
};

/* A job record that begins with `fields`; of a field that occurs twice the first is used. */
#define JOB_RECORD(fields) "{" fields ",\"Ref\":\"run-000001\",\"submitted\":5," JOB_FIELDS "}"
#define JOB_FIELDS                                                                                 \
	"\"JobClass\":\"c\",\"Owner\":\"t\",\"JobKind\":\"sweep\",\"Tier\":\"standard\","          \
	"\"Parts\":4,\"Vcpus\":1,\"Accelerators\":0,\"RamGb\":1,\"Bundle\":\"i\",\"ImageGb\":1,"   \
	"\"Together\":false,\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":1,"                 \
	"\"SnapshotEveryS\":0,\"SnapshotCostS\":0"

/* Run before each test. The node follows leader n1; it has zones a and b, team t, three types. */
int set_up(void **state);

int tear_down(void **state);

/* Keeps the text of the first failure: a failed assertion must not jump out of a coroutine. */
void note_failure(struct frontend_fixture *fixture, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Runs the function as a coroutine to its end; fails the test if it noted a failure. */
void run_in_coroutine(struct frontend_fixture *fixture, void (*function)(void *fixture));

/* A test with its own node and fakes. */
#define FRONTEND_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
