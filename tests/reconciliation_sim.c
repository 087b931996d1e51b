/* The simulation of a leader and its workers, and the invariants that it checks. */
#include "reconciliation_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "transport/clock.h"

int random_below(struct simulation *sim, int n)
{
	return (int)gsl_rng_uniform_int(sim->rng, (unsigned long)n);
}

void format_ref(int job, char ref[FL_REF_MAX]) { snprintf(ref, FL_REF_MAX, "run-%06d", job); }

void format_host(int worker, char host[FL_NAME_MAX])
{
	snprintf(host, FL_NAME_MAX, "m-%06d", worker);
}

char *report_text(struct simulation *sim, int at)
{
	struct worker *worker = &sim->worker[at];
	struct fl_task_status tasks[ENTRIES];
	struct fl_heartbeat heartbeat = {.incarnation = worker->incarnation,
	                                 .sequence = ++worker->sequence,
	                                 .fencing_token = worker->fencing_token,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks};

	format_host(at, heartbeat.host);
	strcpy(heartbeat.endpoint, "127.0.0.1:1");
	strcpy(heartbeat.type, "g");
	copy_text(heartbeat.zone, sizeof(heartbeat.zone), at % 2 ? "a" : "b");
	for (int i = 0; i < ENTRIES; i++)
		if (worker->at[i].used)
			tasks[heartbeat.task_count++] = worker->at[i].status;
	return fl_heartbeat_encode(&heartbeat);
}

static int live_on(const struct worker *worker, const char *ref, uint32_t index)
{
	int n = 0;

	for (int i = 0; i < ENTRIES; i++)
		n += worker->at[i].used && worker->at[i].status.state != FL_TASK_STATE_EXITED &&
		     worker->at[i].status.index == index &&
		     strcmp(worker->at[i].status.ref, ref) == 0;
	return n;
}

void check_invariants(struct simulation *sim)
{
	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX];

		format_ref(j, ref);
		for (uint32_t p = 0; p < TASKS; p++) {
			int on = 0;

			for (int k = 0; k < WORKERS; k++)
				on += live_on(&sim->worker[k], ref, p);
			assert_in_range(on, 0, 1); /* ran_twice */
		}
	}
	for (int t = 0; t < 1; t++) {
		int live = 0;

		for (int k = 0; k < WORKERS; k++)
			for (int i = 0; i < ENTRIES; i++)
				live += sim->worker[k].at[i].used &&
				        sim->worker[k].at[i].status.state != FL_TASK_STATE_EXITED;
		assert_in_range(live, 0, 6); /* quota: 6 cpus at most, one each */
	}
}

static void launch_task(struct simulation *sim, struct worker *worker,
                        const struct fl_task_status *status)
{
	int job = atoi(status->ref + 4);

	for (int i = 0; i < ENTRIES; i++)
		if (worker->at[i].used && worker->at[i].status.index == status->index &&
		    worker->at[i].status.attempt == status->attempt &&
		    strcmp(worker->at[i].status.ref, status->ref) == 0)
			return;
	for (int i = 0; i < ENTRIES; i++) {
		if (worker->at[i].used)
			continue;
		worker->at[i].used = true;
		worker->at[i].status = *status;
		worker->at[i].status.state = FL_TASK_STATE_RUNNING;
		if (live_on(worker, status->ref, status->index) > 1) {
			worker->at[i].status.state = FL_TASK_STATE_EXITED;
			worker->at[i].status.exit = FL_EXIT_BUSY;
		} else if (sim->actually_done[job][status->index]) {
			worker->at[i].status.state = FL_TASK_STATE_EXITED;
			worker->at[i].status.exit = FL_EXIT_DONE;
		}
		sim->launches++;
		check_invariants(sim);
		return;
	}
	fail_msg("a worker's table is full: no entry is ever removed");
}

static struct entry *entry_of(struct worker *worker, const struct fl_task_status *status)
{
	for (int i = 0; i < ENTRIES; i++)
		if (worker->at[i].used && worker->at[i].status.index == status->index &&
		    worker->at[i].status.attempt == status->attempt &&
		    strcmp(worker->at[i].status.ref, status->ref) == 0)
			return &worker->at[i];
	return NULL;
}

void execute_orders(struct simulation *sim, int at, const char *text, bool direct)
{
	struct worker *worker = &sim->worker[at];
	cJSON *object = fl_json_parse(text, strlen(text));
	uint64_t fencing_token, incarnation;
	const cJSON *element;

	assert_int_equal(fl_json_get_count(object, "Epoch", &fencing_token), FL_JSON_OK);
	if (fencing_token < worker->fencing_token)
		goto out;
	if (direct && (fl_json_get_count(object, "Tenure", &incarnation) != FL_JSON_OK ||
	               incarnation != worker->incarnation))
		goto out;
	worker->fencing_token = fencing_token;
	cJSON_ArrayForEach (element, fl_json_get(object, "Orders")) {
		char verb[16], name[48];
		struct fl_task_status status = {0};
		struct entry *entry;
		uint64_t attempt;

		fl_json_get_string(element, "Verb", verb, sizeof(verb));
		fl_json_get_string(element, "Part", name, sizeof(name));
		fl_json_get_count(element, "Try", &attempt);
		status.attempt = (uint32_t)attempt;
		status.index = (uint32_t)atoi(strchr(name, '/') + 1);
		*strchr(name, '/') = 0;
		copy_text(status.ref, sizeof(status.ref), name);
		entry = entry_of(worker, &status);
		if (strcmp(verb, "launch") == 0) {
			launch_task(sim, worker, &status);
		} else if (strcmp(verb, "kill") == 0 && entry &&
		           entry->status.state != FL_TASK_STATE_EXITED) {
			entry->status.state = FL_TASK_STATE_EXITED;
			entry->status.exit = FL_EXIT_STOPPED;
		} else if (strcmp(verb, "forget") == 0 && entry &&
		           entry->status.state == FL_TASK_STATE_EXITED) {
			entry->used = false;
		}
	}
out:
	cJSON_Delete(object);
}

void drop_answer(struct worker *worker)
{
	free(worker->answer);
	worker->answer = NULL;
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
	strcpy(spec.team, "team");
	strcpy(spec.job_class, "c");
	strcpy(spec.image, "i");
	return fl_job_add(&sim->node.cluster, &spec, 0, 1);
}

void take_over(struct simulation *sim)
{
	struct fl_node *node = &sim->node;
	struct fl_wal wal = {0};

	fl_cluster_forget_tasks(&node->cluster);
	memset(&node->leadership, 0, sizeof(node->leadership));
	node->cluster.leading = node->leadership.active = true;
	node->leader_lease.held = true;
	node->leader_lease.valid_until = 1e18;
	node->leader_lease.fencing_token = node->leadership.first_fencing_token =
		++sim->fencing_token;
	for (int i = 0; i < 2; i++) {
		cJSON *record =
			sim->log[i] ? fl_json_parse(sim->log[i], strlen(sim->log[i])) : NULL;

		if (record)
			assert_int_equal(fl_wal_read(&wal, record), 0);
		cJSON_Delete(record);
	}
	for (int j = 0; j < JOBS; j++) {
		struct fl_job *job = add_job(sim, j);
		cJSON *record = sim->record[j]
		                        ? fl_json_parse(sim->record[j], strlen(sim->record[j]))
		                        : NULL;

		if (record || wal.group_count > 0)
			assert_int_equal(fl_task_block_restore(
						 &node->cluster, job, 0,
						 &(struct fl_task_block_source){record, 1, &wal},
						 fl_now()),
			                 0);
		cJSON_Delete(record);
	}
	fl_wal_free(&wal);
	sim->takeovers++;
}

void place_some(struct simulation *sim)
{
	struct fl_cluster *cluster = &sim->node.cluster;
	struct fl_job *job = HASH_COUNT(cluster->jobs) ? cluster->jobs : NULL;
	struct fl_team *team = &cluster->teams.by_index[0];

	for (int skip = random_below(sim, JOBS); job && skip > 0; skip--)
		job = job->hh.next;
	for (int i = 0; job && i < cluster->machines.count; i++) {
		struct fl_machine *machine =
			cluster->machines
				.by_id[(i + random_below(sim, WORKERS)) % cluster->machines.count];
		uint32_t index = fl_task_next_waiting(job, 0, 1e18);

		if (index >= job->task_count || !machine->lifecycle.up || machine->used.cpus >= 4 ||
		    !fl_team_within_maximum(team, team->used_cpus + 1, 0))
			continue;
		assert_int_equal(
			fl_task_place(cluster, job, index,
		                      &(struct fl_new_attempt){
					      machine, sim->node.leader_lease.fencing_token},
		                      fl_now()),
			0);
	}
}

/* All that no record holds, in one or two values. */
static void save_log(struct simulation *sim)
{
	cJSON *value[2] = {fl_wal_value_begin(), fl_wal_value_begin()};
	int values = 1 + random_below(sim, 2), n = 0;

	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX], *group;
		struct fl_job *job;

		format_ref(j, ref);
		job = fl_job_find(&sim->node.cluster, ref);
		group = job ? fl_wal_group_encode(&sim->node.cluster, job, 0) : NULL;
		if (!group)
			continue;
		fl_wal_value_add(value[n++ % values], group);
		free(group);
		fl_job_task_block(job, 0)->logged_generation =
			fl_job_task_block(job, 0)->generation;
	}
	for (int i = 0; i < 2; i++) {
		if (i >= values) {
			cJSON_Delete(value[i]);
			continue;
		}
		free(sim->log[i]);
		sim->log[i] = fl_json_print_and_delete(value[i]);
	}
	sim->logs++;
}

void save_some(struct simulation *sim)
{
	if (random_below(sim, 2)) {
		save_log(sim);
		return;
	}
	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX];
		struct fl_job *job;

		/* Records follow one by one, in any order. */
		if (random_below(sim, 2))
			continue;
		format_ref(j, ref);
		job = fl_job_find(&sim->node.cluster, ref);
		if (!job || !fl_job_task_block(job, 0))
			continue;
		free(sim->record[j]);
		sim->record[j] =
			fl_json_print_and_delete(fl_task_block_encode(&sim->node.cluster, job, 0));
		fl_job_task_block(job, 0)->saved_generation = fl_job_task_block(job, 0)->generation;
	}
}

static void check_done(struct simulation *sim)
{
	for (int j = 0; j < JOBS; j++) {
		char ref[FL_REF_MAX];
		struct fl_job *job;

		format_ref(j, ref);
		job = fl_job_find(&sim->node.cluster, ref);
		for (uint32_t p = 0; job && p < TASKS; p++) {
			const struct fl_task *task = fl_task_peek(job, p);

			if (task && task->phase == FL_TASK_DONE)
				assert_true(sim->actually_done[j][p]);
		}
	}
}

void deliver_report(struct simulation *sim, int at, const char *text,
                    enum fl_heartbeat_source source)
{
	struct fl_command_list commands;
	struct fl_heartbeat heartbeat;

	assert_int_equal(fl_heartbeat_decode(text, strlen(text), &heartbeat), 0);
	fl_command_list_init(&commands, sim->node.leader_lease.fencing_token);
	if (!fl_reconcile_is_rejection(fl_reconcile_heartbeat(
		    &sim->node, &heartbeat, source == FL_HEARTBEAT_FROM_WORKER ? &commands : NULL,
		    source)) &&
	    source == FL_HEARTBEAT_FROM_WORKER) {
		drop_answer(&sim->worker[at]);
		sim->worker[at].answer = fl_command_list_take(&commands);
	} else {
		cJSON_Delete(commands.root);
	}
	fl_heartbeat_free(&heartbeat);
	check_done(sim);
}

void queue_message(struct simulation *sim, int at, char *text, bool command)
{
	struct message *message;

	if (sim->n_messages == MESSAGES) {
		free(sim->messages[0].text);
		memmove(sim->messages, sim->messages + 1,
		        sizeof(sim->messages[0]) * (MESSAGES - 1));
		sim->n_messages--;
	}
	message = &sim->messages[sim->n_messages++];
	message->worker = at;
	message->text = text;
	message->command = command;
}

void command_directly(struct simulation *sim, int at)
{
	struct fl_command_list commands;
	char host[FL_NAME_MAX], *text;
	struct fl_machine *machine;

	format_host(at, host);
	machine = fl_machine_find(&sim->node.cluster.machines, host);
	if (!machine || !machine->lifecycle.up)
		return;
	fl_command_list_init(&commands, sim->node.leader_lease.fencing_token);
	fl_command_list_bind_incarnation(&commands, machine->heartbeat.incarnation);
	if (!fl_reconcile_collect_commands(&sim->node, machine, &commands)) {
		cJSON_Delete(commands.root);
		return;
	}
	text = fl_command_list_take(&commands);
	if (random_below(sim, 2)) {
		execute_orders(sim, at, text, true);
		if (random_below(sim, 2)) {
			char *reply = report_text(sim, at);

			deliver_report(sim, at, reply, FL_HEARTBEAT_FROM_COMMAND);
			free(reply);
		}
	}
	/* Late, or once more after it was carried out. */
	queue_message(sim, at, text, true);
}

void deliver_late(struct simulation *sim)
{
	struct message *message;

	if (sim->n_messages == 0)
		return;
	message = &sim->messages[random_below(sim, sim->n_messages)];
	if (message->command)
		execute_orders(sim, message->worker, message->text, true);
	else
		deliver_report(sim, message->worker, message->text, FL_HEARTBEAT_FROM_DIGEST);
}

void set_up(struct simulation *sim, unsigned long seed)
{
	struct fl_cloud_machine_type kind = {.name = "g",
	                                     .cpus = 4,
	                                     .ram_gb = 64,
	                                     .pull_gb_s = 1,
	                                     .price = 1,
	                                     .ready_s = 10,
	                                     .zones = {"a", "b"},
	                                     .zone_count = 2};
	struct fl_cluster *cluster = &sim->node.cluster;

	memset(sim, 0, sizeof(*sim));
	sim->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(sim->rng, seed);
	sim->node.config = &sim->config;
	sim->calm = seed % 3 == 0 ? 1 : seed % 3 == 1 ? 8 : 40;
	fl_symbol_intern(&cluster->zones, "a");
	fl_symbol_intern(&cluster->zones, "b");
	fl_machine_types_set(&cluster->machines, &cluster->zones, &kind, 1);
	strcpy(cluster->teams.by_index[0].name, "team");
	cluster->teams.by_index[0].max_cpus = 6;
	cluster->teams.count = 1;
	for (int i = 0; i < WORKERS; i++)
		sim->worker[i].incarnation = 1;
	take_over(sim);
}

void tear_down(struct simulation *sim)
{
	for (int i = 0; i < sim->n_messages; i++)
		free(sim->messages[i].text);
	for (int i = 0; i < WORKERS; i++)
		drop_answer(&sim->worker[i]);
	for (int i = 0; i < JOBS; i++)
		free(sim->record[i]);
	free(sim->log[0]);
	free(sim->log[1]);
	fl_cluster_free(&sim->node.cluster);
	gsl_rng_free(sim->rng);
}
