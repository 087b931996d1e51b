/*
 * One node between a state service and a leader that are stand-ins of a few lines each, on
 * loopback.
 */
#ifndef FL_TESTS_FRONTEND_FIXTURE_H
#define FL_TESTS_FRONTEND_FIXTURE_H

#include "coordination/node.h"
#include "transport/http_server.h"
#include "transport/coroutine.h"

struct fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_http_server *kv_store, *leader;
	bool refused;         /* by the state service, this node alone */
	bool known;           /* the job was accepted before */
	const char *record;   /* the only job record there is, of run-000001 */
	const char *progress; /* and that of its progress */
	bool without_more;    /* a list does not say whether there is more of it */
	int writes, reads;    /* of job records */
	bool gated;           /* a read of one waits for the gate */
	struct fl_condition gate;
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

/* Before and after each test: a node that follows n1, three machine types in zones a and b, team t.
 */
int set_up(void **state);

int tear_down(void **state);

/* A test entry with a node and stand-ins of its own. */
#define FRONTEND_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
