/* A leader whose key-value store is scripted. */
#include "scripted_leader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "coordination/persistence/record_txn.h"
#include "coordination/persistence/record_writer.h"
#include "scripted_store.h"
#include "storage/job_records.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

static const double lease_s = 10000;

static void begin_leadership(struct fl_node *node)
{
	node->leader_lease.held = node->leadership.active = node->cluster.has_leader_state = true;
	node->leader_lease.valid_until = fl_now() + lease_s;
	node->leader_lease.leader_mod_revision =
		scripted_store_put(FL_KEY_LEADER, cJSON_CreateObject());
	fl_record_write_budget_init(node);
}

void scripted_leader_begin(struct fl_node *node, const struct fl_config *config)
{
	scripted_store_begin();
	sim_time_begin();
	node->config = config;
	strcpy(node->cluster.teams.by_index[0].name, "t");
	node->cluster.teams.count = 1;
	fl_job_lookups_init(node);
	fl_node_init_store_limits(node);
	begin_leadership(node);
}

void scripted_leader_end(struct fl_node *node)
{
	virtual_time_end();
	fl_cluster_free(&node->cluster);
	fl_record_writer_reset(&node->record_writer);
	scripted_store_end();
}

struct fl_job *scripted_leader_add_job(struct fl_node *node, const struct fl_job_spec *spec)
{
	double submitted_wall = fl_wall_time();
	struct fl_job *job;
	char key[FL_KEY_MAX];
	uint64_t revision;

	fl_key_job(key, spec->ref);
	revision = scripted_store_put(key, fl_job_record_encode_live(spec, submitted_wall));
	job = fl_job_add(&node->cluster, spec, submitted_wall, revision);
	assert_non_null(job);
	return job;
}
