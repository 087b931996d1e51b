/* Combinations around load: quotas, bursts of jobs and queries, and concurrent user requests. */
#include "fault_combinations.h"

#include "sim.h"

/* A failover with teams at their quotas and machines unreachable, while jobs are cancelled. */
static void quota_reached_at_failover(int variant)
{
	double start_s = sim_random_between(45, 55);

	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 20, .duration_s = 1, .count = 24);
	/* Stale heartbeats from before the start of the cancelled tasks must free no capacity. */
	SIM_INJECT(FAULT_DELAYED_HEARTBEATS, .start_s = 15, .duration_s = 80, .magnitude = 0.9);
	inject_leader_down(start_s, sim_random_between(5, 30));
	SIM_INJECT(variant % 2 ? FAULT_INBOUND_PARTITION : FAULT_OUTBOUND_PARTITION,
	           .start_s = start_s - 1, .duration_s = sim.lease_s + sim_random_between(-4, 20),
	           .magnitude = 0.5);
	SIM_INJECT(FAULT_MACHINE_HANG, .start_s = start_s - 2,
	           .duration_s = sim_random_between(4, 25), .magnitude = 0.3);
	inject_cancel_running(start_s + sim_random_between(1, 8), 6, 0);
}

/* More jobs than there is capacity for, of all priorities, over slow links. */
static void overload(int variant)
{
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 20, .duration_s = 1, .count = 40);
	SIM_INJECT(FAULT_SLOW_LINKS, .start_s = 15, .duration_s = 70,
	           .magnitude = variant % 2 ? 0.4 : 0.9);
	inject_cancel_running(sim_random_between(40, 60), 8, 0);
	if (variant % 3 == 2)
		inject_leader_down(50, 10);
}

/*
 * Jobs are submitted continuously for minutes: the largest jobs and jobs of every team must start
 * nevertheless.
 */
static void sustained_submissions(int variant)
{
	for (int i = 0; i < 25; i++)
		SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 10 + 8 * i, .duration_s = 1,
		           .count = 2);
	SIM_INJECT(FAULT_MACHINE_TERMINATION, .start_s = sim_random_between(60, 90),
	           .duration_s = 1, .magnitude = 0.4);
	if (variant % 2)
		inject_leader_down_within(50, 50, sim_random_between(5, 20));
}

/* An array of the lowest priority whose tasks, of `duration_s`, were estimated as `expected_s`. */
static void make_array(struct sim_job *job, double expected_s, double duration_s)
{
	job->spec.kind = FL_ARRAY;
	job->spec.priority = FL_BEST_EFFORT;
	job->spec.expected_s = expected_s;
	job->spec.checkpoint_every_s = 0;
	for (int i = 0; i < SIM_JOB_TASKS; i++)
		job->duration_s[i] = duration_s;
}

/* Services that go before arrays take the GPUs that they wait for; others need no GPU. */
static void make_displacing_jobs(int variant)
{
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];
		bool with_gpu = i < sim.job_count / 2;

		job->spec.gpus = with_gpu ? 1 : 0;
		job->spec.cpus = 3;
		job->spec.ram_gb = 8;
		sim_job_remove_constraints(job);
		job->cancel_s = -1;
		if (with_gpu && i % 2 == 0) {
			job->spec.kind = FL_SERVICE;
			job->spec.priority = FL_CRITICAL;
			job->submit_s = sim_random_between(5, 50);
		} else if (with_gpu) {
			make_array(job, 20, variant % 2 ? 20 : 400);
			job->submit_s = sim_random_between(0, 20);
		} else {
			make_array(job, 300, 300);
			job->submit_s = sim_random_between(50, 60);
		}
		sim_job_encode_request(job);
	}
}

/*
 * The cloud has no more machines: services that arrive take the places that arrays wait for, or
 * tasks run on long past their estimates.
 */
static void no_more_machines(int variant)
{
	sim.cloud_capacity = 1;
	make_displacing_jobs(variant);
	SIM_INJECT(FAULT_CANCEL_RUNNING, .start_s = 60, .duration_s = 1, .count = 1);
}

/* An array of tasks that run for seconds, of which a machine holds many. */
static void add_small_tasks(double submit_s, double cpus, double ram_gb)
{
	struct sim_job *job = sim_job_add_random(submit_s);

	make_array(job, 4, 4);
	job->spec.task_count = SIM_JOB_TASKS;
	job->spec.cpus = cpus;
	job->spec.gpus = 0;
	job->spec.ram_gb = ram_gb;
	job->spec.image_gb = 0.5;
	sim_job_remove_constraints(job);
	for (int i = 0; i < SIM_JOB_TASKS; i++)
		job->duration_s[i] = sim_random_between(2, 5);
	sim_job_encode_request(job);
}

/*
 * Machines run small, short tasks one after the other; some leaders fail meanwhile. In some
 * variants a machine would have room for more tasks than a heartbeat can list.
 */
static void short_tasks(int variant)
{
	bool tiny = variant / 2 % 2;

	sim.cloud_capacity = 1;
	for (int i = 0; i < 240; i++)
		add_small_tasks(sim_random_between(5, 40), tiny ? 0.02 : 0.25, tiny ? 0.05 : 0.9);
	inject_cancel_running(50, 5, 0);
	if (variant % 2)
		inject_leader_down(60, 4);
	SIM_INJECT(FAULT_LOST_REPLIES, .start_s = 20, .duration_s = 100, .magnitude = 0.05);
}

/* Jobs are cancelled, queried and submitted again as their last task completes. */
static void cancel_at_completion(int variant)
{
	/* Without another fault, or with late writes or replies of the key-value store. */
	if (variant % 3 == 1)
		SIM_INJECT(FAULT_DELAYED_WRITES, .start_s = 20, .duration_s = 90, .magnitude = 0.4);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_KV_SLOW, .start_s = 20, .duration_s = 90, .magnitude = 1.4);
	SIM_INJECT(FAULT_CANCEL_AT_COMPLETION, .start_s = 10, .duration_s = 100, .magnitude = 0.6);
	SIM_INJECT(FAULT_INVALID_REQUESTS, .start_s = 20, .duration_s = 80);
}

/* Users query all nodes, and submit again, within milliseconds of each change of their job. */
static void concurrent_reads(int variant)
{
	SIM_INJECT(FAULT_CONCURRENT_READS, .start_s = 1, .duration_s = 100);
	SIM_INJECT(FAULT_CANCEL_AT_COMPLETION, .start_s = 10, .duration_s = 90, .magnitude = 0.3);
	for (int i = 0; i < 6; i++)
		inject_cancel_running(25 + 9 * i, 2, 0);
	if (variant % 3 == 1)
		SIM_INJECT(FAULT_KV_SLOW, .start_s = 20, .duration_s = 70, .magnitude = 1.2);
	if (variant % 3 == 2)
		inject_leader_down_within(40, 20, sim_random_between(1, 9));
}

/* Every team is at its quota, and the machines of cancelled jobs are partitioned or hang. */
static void all_quotas_reached(int variant)
{
	double start_s = sim_random_between(48, 58);

	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 15, .duration_s = 1, .count = 50);
	SIM_INJECT(variant % 2 ? FAULT_INBOUND_PARTITION : FAULT_OUTBOUND_PARTITION,
	           .start_s = start_s - 2, .duration_s = sim.lease_s + sim_random_between(-3, 25),
	           .magnitude = 0.6);
	inject_cancel_running(start_s, 8, sim.lease_s + sim_random_between(-6, 6));
	inject_leader_down_within(start_s - 1, 4, sim_random_between(2, 20));
	inject_cancel_running(start_s + sim_random_between(4, 9), 6, variant % 3 ? 5 : 0);
}

/* Jobs of one task, four per second, of which a quarter are cancelled. */
static void small_jobs(int variant)
{
	/* One change for the submission, one for the placement in the write-ahead log or a record,
	 * and three at the end of the job; jobs share the other changes. */
	sim.max_kv_changes_per_job = 6;
	for (int i = 0; i < 200; i++) {
		struct sim_job *job = sim_job_add_random(8 + 0.25 * i);

		job->spec.kind = FL_ARRAY;
		job->spec.task_count = 1;
		job->spec.cpus = 2;
		job->spec.gpus = 0;
		job->spec.expected_s = sim_random_between(1, 6);
		sim_job_remove_constraints(job);
		job->duration_s[0] = job->spec.expected_s;
		job->cancel_s = sim_chance(0.25) ? job->submit_s + sim_random_between(0, 9) : -1;
		sim_job_encode_request(job);
	}
	if (variant % 2)
		inject_leader_down(sim_random_between(25, 50), 8);
}

/* All controllers are several times slower, with more jobs and, in most variants, a failover. */
static void slow_controllers(int variant)
{
	double start_s = sim_random_between(25, 35);

	SIM_INJECT(FAULT_SLOW_NODES, .start_s = start_s, .duration_s = 45,
	           .target = TARGET_ALL_NODES, .magnitude = variant % 2 ? 0.001 : 0.0025);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s + 5, .duration_s = 1, .count = 20);
	inject_cancel_running(start_s + 15, 4, 0);
	if (variant % 3)
		inject_leader_down(start_s + sim_random_between(15, 25), 6);
	inject_cancel_running(start_s + 30, 4, 0);
}

/* Eight times as many status queries, during a failover. */
static void status_query_storm(int variant)
{
	double start_s = sim_random_between(40, 50);

	SIM_INJECT(FAULT_STATUS_QUERY_STORM, .start_s = 10, .duration_s = 80, .magnitude = 8);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 15, .duration_s = 1, .count = 30);
	inject_leader_down(start_s, sim_random_between(1, 12));
	if (variant % 2)
		SIM_INJECT(FAULT_KV_SLOW, .start_s = start_s - 3, .duration_s = 15,
		           .magnitude = 0.8);
	inject_cancel_running(start_s + sim_random_between(1, 6), 4, 0);
}

/* Users and workers send late, in pieces, half and twice, while leaders fail. */
static void slow_requests(int variant)
{
	SIM_INJECT(FAULT_SLOW_REQUESTS, .start_s = 5, .duration_s = 110,
	           .magnitude = variant % 2 ? 0.7 : 0.35);
	SIM_INJECT(FAULT_INVALID_REQUESTS, .start_s = 15, .duration_s = 90);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 20, .duration_s = 1, .count = 20);
	inject_leader_down_within(35, 15, sim_random_between(1, 9));
	inject_cancel_running(sim_random_between(30, 60), 6, 0);
	if (variant % 3 == 1)
		SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = 60, .duration_s = 8);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_SLOW_LINKS, .start_s = 25, .duration_s = 50, .magnitude = 0.4);
	inject_leader_down_within(75, 15, sim_random_between(1, 9));
}

static const struct combination combinations[] = {
	{.name = "slow_requests",
         .seed_name = "slow_requests",
         .inject_faults = slow_requests,
         .first_variant = 0,
         .variant_count = 6,
         .protects = "http_connection.c: a request that is not whole gets no final status"},
	{.name = "quota_reached_at_failover",
         .seed_name = "at_limit",
         .inject_faults = quota_reached_at_failover,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "tasks.c: every task that may be on a machine counts against its team; "
                     "reconciliation.c"},
	{.name = "quota_reached_at_failover",
         .seed_name = "at_limit",
         .inject_faults = quota_reached_at_failover,
         .first_variant = 25,
         .variant_count = 3,
         .protects = "reconciliation_contact.c: fl_reconcile_predates_leadership"},
	{.name = "overload",
         .seed_name = "overload",
         .inject_faults = overload,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "schedule_constraints.c: quotas, reservations; wal_writer.c"},
	{.name = "sustained_submissions",
         .seed_name = "stream",
         .inject_faults = sustained_submissions,
         .first_variant = 0,
         .variant_count = 2,
         .protects = "schedule_order.c: rank, growing weight of the waiting time"},
	/* Guards against a window that is kept when the top job fits nowhere any more. */
	{.name = "no_more_machines",
         .seed_name = "no_more_machines",
         .inject_faults = no_more_machines,
         .first_variant = 52,
         .variant_count = 2,
         .protects = "schedule_backfill.c: windows of jobs that fit nowhere"},
	/* Guards against a window that holds jobs without end while its estimates are wrong. */
	{.name = "no_more_machines",
         .seed_name = "no_more_machines",
         .inject_faults = no_more_machines,
         .first_variant = 158,
         .variant_count = 1,
         .protects = "schedule_backfill.c: the time for which a window holds other jobs"},
	/* Guards against heartbeats that grow with each task that ends (review case 5). */
	{.name = "short_tasks",
         .seed_name = "short_tasks",
         .inject_faults = short_tasks,
         .first_variant = 0,
         .variant_count = 4,
         .protects = "reconciliation_reported.c: forget_is_safe; direct_starts.c; machines.h: "
                     "fl_machine_free_task_slots"},
	{.name = "cancel_at_completion",
         .seed_name = "cancel_at_end",
         .inject_faults = cancel_at_completion,
         .first_variant = 0,
         .variant_count = 4,
         .protects = "status_from_leader.c: unconfirmed final statuses; final_record_writer.c"},
	{.name = "concurrent_reads",
         .seed_name = "close_looks",
         .inject_faults = concurrent_reads,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "status_from_leader.c: unconfirmed final statuses; job_lookup.c"},
	{.name = "concurrent_reads",
         .seed_name = "close_looks",
         .inject_faults = concurrent_reads,
         .first_variant = 163,
         .variant_count = 1,
         .protects = "status_from_leader.c: unknown outcomes of writes"},
	/* Guards against two jobs that preempt each other, one by priority and one by quota. */
	{.name = "concurrent_reads",
         .seed_name = "close_looks",
         .inject_faults = concurrent_reads,
         .first_variant = 132,
         .variant_count = 1,
         .protects = "schedule_preemption.c: preemption classes"},
	{.name = "all_quotas_reached",
         .seed_name = "all_limits",
         .inject_faults = all_quotas_reached,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "tasks.c: every task that may be on a machine counts against its team"},
	{.name = "small_jobs",
         .seed_name = "small_jobs",
         .inject_faults = small_jobs,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "wal_writer.c; final_record_writer.c"},
	{.name = "slow_controllers",
         .seed_name = "slow_controllers",
         .inject_faults = slow_controllers,
         .first_variant = 1,
         .variant_count = 1,
         .protects = "election.c, lease_renewal.c: urgent coroutines and deadlines"},
	{.name = "status_query_storm",
         .seed_name = "poll_storm",
         .inject_faults = status_query_storm,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "job_lookup.c: fl_job_lookup_take_budget"},
};

const struct combination_group load_combinations = {combinations,
                                                    sizeof(combinations) / sizeof(combinations[0])};
