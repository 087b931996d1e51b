/* The leader of the reconciliation simulation, its records and its messages. */
#include "reconciliation_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "transport/clock.h"

static const double far_future_s = 1e18; /* monotonic clock */

int random_below(struct simulation *sim, int count)
{
	return (int)gsl_rng_uniform_int(sim->random, (unsigned long)count);
}

static struct fl_job *find_job(struct simulation *sim, int job)
{
	char ref[FL_REF_MAX];

	format_ref(job, ref);
	return fl_job_find(&sim->node.cluster, ref);
}

struct fl_job *add_job(struct simulation *sim, int job)
{
	struct fl_job_spec spec = {.task_count = TASKS,
	                           .cpus = 1,
	                           .ram_gb = 1,
	                           .priority = FL_STANDARD,
	                           .machine_type_count = -1,
	                           .spot_allowed = true,
	                           .due_s = -1};

	format_ref(job, spec.ref);
	copy_text(spec.team, sizeof(spec.team), "team");
	copy_text(spec.job_class, sizeof(spec.job_class), "c");
	copy_text(spec.image, sizeof(spec.image), "i");
	return fl_job_add(&sim->node.cluster, &spec, 0, 1);
}

/* ---- failover ---- */

static void start_leadership(struct simulation *sim)
{
	struct fl_node *node = &sim->node;

	memset(&node->leadership, 0, sizeof(node->leadership));
	node->cluster.has_leader_state = node->leadership.active = true;
	node->leader_lease.held = true;
	node->leader_lease.valid_until = far_future_s;
	node->leader_lease.fencing_token = node->leadership.first_fencing_token =
		++sim->fencing_token;
}

/* Returns NULL if nothing has been written yet. */
static cJSON *parse_stored_value(const char *text)
{
	return text ? fl_json_parse(text, strlen(text)) : NULL;
}

static void read_wal(struct simulation *sim, struct fl_wal *wal)
{
	for (int i = 0; i < WAL_VALUES; i++) {
		cJSON *value = parse_stored_value(sim->wal_values[i]);

		if (value)
			assert_int_equal(fl_wal_read_value(wal, value), 0);
		cJSON_Delete(value);
	}
}

static void restore_job(struct simulation *sim, int index, struct fl_wal *wal)
{
	struct fl_job *job = add_job(sim, index);
	cJSON *record = parse_stored_value(sim->records[index]);

	if (record || wal->group_count > 0)
		assert_int_equal(fl_task_block_restore(
					 &sim->node.cluster, job, 0,
					 &(struct fl_task_block_source){record, 1, wal}, fl_now()),
		                 0);
	cJSON_Delete(record);
}

void fail_over(struct simulation *sim)
{
	struct fl_wal wal = {0};

	fl_cluster_free_leader_state(&sim->node.cluster);
	start_leadership(sim);
	read_wal(sim, &wal);
	for (int job = 0; job < JOBS; job++)
		restore_job(sim, job, &wal);
	fl_wal_free(&wal);
	sim->failovers++;
}

/* ---- placement ---- */

static struct fl_machine *random_machine_after(struct simulation *sim, int index)
{
	const struct fl_machines *machines = &sim->node.cluster.machines;

	return machines->by_id[(index + random_below(sim, WORKERS)) % machines->count];
}

void place_some_tasks(struct simulation *sim)
{
	struct fl_cluster *cluster = &sim->node.cluster;
	struct fl_job *job = HASH_COUNT(cluster->jobs) ? cluster->jobs : NULL;
	struct fl_team *team = &cluster->teams.by_index[0];

	for (int skip = random_below(sim, JOBS); job && skip > 0; skip--)
		job = job->hh.next;
	for (int i = 0; job && i < cluster->machines.count; i++) {
		struct fl_machine *machine = random_machine_after(sim, i);
		uint32_t index = fl_task_next_waiting(job, 0, far_future_s);

		if (index >= job->task_count || !machine->lifecycle.up || machine->used.cpus >= 4 ||
		    !fl_team_fits_maximum_quota(team, team->used_cpus + 1, 0))
			continue;
		assert_int_equal(
			fl_task_place(cluster, job, index,
		                      &(struct fl_new_attempt){
					      machine, sim->node.leader_lease.fencing_token},
		                      fl_now()),
			0);
	}
}

/* ---- records ---- */

/* Adds to the value the changes that the job's record lacks; returns false if there are none. */
static bool add_wal_group(struct simulation *sim, struct fl_job *job, cJSON *value)
{
	struct fl_task_block *block;
	char *group = fl_wal_group_encode(&sim->node.cluster, job, 0, FL_WHOLE_BLOCK);

	if (!group)
		return false;
	fl_wal_value_add_group(value, group);
	free(group);
	block = fl_job_task_block(job, 0);
	block->logged_generation = block->generation;
	return true;
}

/* Writes the unsaved changes of all jobs to one or more values of the log. */
static void save_wal(struct simulation *sim)
{
	cJSON *values[WAL_VALUES] = {NULL};
	int value_count = 1 + random_below(sim, WAL_VALUES), group_count = 0;

	for (int i = 0; i < value_count; i++)
		values[i] = fl_wal_value_create();
	for (int i = 0; i < JOBS; i++) {
		struct fl_job *job = find_job(sim, i);

		if (job)
			group_count += add_wal_group(sim, job, values[group_count % value_count]);
	}
	for (int i = 0; i < value_count; i++) {
		free(sim->wal_values[i]);
		sim->wal_values[i] = fl_json_print_and_delete(values[i]);
	}
	sim->wal_writes++;
}

static void save_record(struct simulation *sim, int index)
{
	struct fl_job *job = find_job(sim, index);
	struct fl_task_block *block = job ? fl_job_task_block(job, 0) : NULL;

	if (!block)
		return;
	free(sim->records[index]);
	sim->records[index] = fl_json_print_and_delete(
		fl_task_block_encode(&sim->node.cluster, job, 0, FL_WHOLE_BLOCK));
	block->parts[0].saved_generation = block->generation;
}

void save_some_records(struct simulation *sim)
{
	if (random_below(sim, 2)) {
		save_wal(sim);
		return;
	}
	/* Each record is written separately, so any subset of the records may be written. */
	for (int job = 0; job < JOBS; job++)
		if (!random_below(sim, 2))
			save_record(sim, job);
}

/* ---- messages ---- */

static void check_completions(struct simulation *sim)
{
	for (int i = 0; i < JOBS; i++) {
		struct fl_job *job = find_job(sim, i);

		for (uint32_t index = 0; job && index < TASKS; index++) {
			const struct fl_task *task = fl_task_find(job, index);

			if (task && task->phase == FL_TASK_DONE)
				assert_true(sim->completed[i][index]);
		}
	}
}

void deliver_heartbeat(struct simulation *sim, int index, const char *text,
                       enum fl_heartbeat_source source)
{
	bool from_worker = source == FL_HEARTBEAT_FROM_WORKER;
	struct fl_command_list commands;
	struct fl_heartbeat heartbeat;

	assert_int_equal(fl_heartbeat_decode(text, strlen(text), &heartbeat), 0);
	fl_command_list_init(&commands, sim->node.leader_lease.fencing_token);
	if (!fl_reconcile_is_rejection(fl_reconcile_heartbeat(
		    &sim->node, &heartbeat, from_worker ? &commands : NULL, source)) &&
	    from_worker) {
		drop_reply(&sim->workers[index]);
		sim->workers[index].reply_in_flight = fl_command_list_take_body(&commands);
	} else {
		cJSON_Delete(commands.root);
	}
	fl_heartbeat_free(&heartbeat);
	check_completions(sim);
}

static void drop_oldest_message(struct simulation *sim)
{
	free(sim->messages[0].text);
	sim->message_count--;
	memmove(sim->messages, sim->messages + 1,
	        sizeof(sim->messages[0]) * (size_t)sim->message_count);
}

void queue_message(struct simulation *sim, int worker, char *text, bool is_command)
{
	struct message *message;

	if (sim->message_count == MESSAGES)
		drop_oldest_message(sim);
	message = &sim->messages[sim->message_count++];
	message->worker = worker;
	message->text = text;
	message->is_command = is_command;
}

static void deliver_command_now(struct simulation *sim, int worker, const char *text)
{
	char *reply;

	execute_commands(sim, worker, text, true);
	if (!random_below(sim, 2))
		return;
	reply = encode_heartbeat(sim, worker);
	deliver_heartbeat(sim, worker, reply, FL_HEARTBEAT_FROM_COMMAND);
	free(reply);
}

void send_direct_command(struct simulation *sim, int worker)
{
	struct fl_command_list commands;
	char host[FL_NAME_MAX], *text;
	struct fl_machine *machine;

	format_host(worker, host);
	machine = fl_machine_find(&sim->node.cluster.machines, host);
	if (!machine || !machine->lifecycle.up)
		return;
	fl_command_list_init(&commands, sim->node.leader_lease.fencing_token);
	fl_command_list_bind_incarnation(&commands, machine->heartbeat.incarnation);
	if (!fl_reconcile_collect_commands(&sim->node, machine, &commands)) {
		cJSON_Delete(commands.root);
		return;
	}
	text = fl_command_list_take_body(&commands);
	if (random_below(sim, 2))
		deliver_command_now(sim, worker, text);
	/* The command may arrive late, also after it has been executed. */
	queue_message(sim, worker, text, true);
}

void deliver_late_message(struct simulation *sim)
{
	const struct message *message;

	if (sim->message_count == 0)
		return;
	message = &sim->messages[random_below(sim, sim->message_count)];
	if (message->is_command)
		execute_commands(sim, message->worker, message->text, true);
	else
		deliver_heartbeat(sim, message->worker, message->text, FL_HEARTBEAT_FROM_DIGEST);
}

/* ---- setup and teardown ---- */

static void configure_cluster(struct fl_cluster *cluster)
{
	struct fl_cloud_machine_type type = {.name = "g",
	                                     .cpus = 4,
	                                     .ram_gb = 64,
	                                     .pull_gb_per_s = 1,
	                                     .price = 1,
	                                     .boot_time_s = 10,
	                                     .zones = {"a", "b"},
	                                     .zone_count = 2};
	struct fl_team *team = &cluster->teams.by_index[0];

	fl_symbol_intern(&cluster->zones, "a");
	fl_symbol_intern(&cluster->zones, "b");
	fl_machine_types_set(&cluster->machines, &cluster->zones, &type, 1);
	copy_text(team->name, sizeof(team->name), "team");
	team->max_cpus = 6;
	cluster->teams.count = 1;
}

void set_up(struct simulation *sim, unsigned long seed)
{
	static const int token_change_intervals[] = {1, 8, 40};

	memset(sim, 0, sizeof(*sim));
	sim->random = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(sim->random, seed);
	sim->node.config = &sim->config;
	sim->token_change_interval = token_change_intervals[seed % 3];
	configure_cluster(&sim->node.cluster);
	for (int i = 0; i < WORKERS; i++)
		sim->workers[i].incarnation = 1;
	fail_over(sim);
}

void tear_down(struct simulation *sim)
{
	for (int i = 0; i < sim->message_count; i++)
		free(sim->messages[i].text);
	for (int i = 0; i < WORKERS; i++)
		drop_reply(&sim->workers[i]);
	for (int i = 0; i < JOBS; i++)
		free(sim->records[i]);
	for (int i = 0; i < WAL_VALUES; i++)
		free(sim->wal_values[i]);
	fl_cluster_free(&sim->node.cluster);
	gsl_rng_free(sim->random);
}
