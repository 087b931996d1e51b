/* The jobs of a simulated site, which are random, and their submissions. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "protocol/json.h"

struct sim_team sim_teams[SIM_TEAMS] = {
	{"vision", 64, 128, 4, 10},
	{"speech", 48, 96, 4, 8},
};

static void choose_constraints(struct fl_job_spec *spec)
{
	spec->machine_type_count = -1;
	if (sim_chance(0.25)) {
		spec->machine_type_count = 1;
		copy_text(spec->machine_types[0], sizeof(spec->machine_types[0]),
		          sim_machine_types[spec->gpus > 0 ? 1 : sim_random_index(2)].name);
	}
	spec->has_zone = sim_chance(0.3);
	if (spec->has_zone)
		copy_text(spec->zone, sizeof(spec->zone),
		          sim.config[0].zones[sim_random_index(sim.zone_count)]);
	spec->same_zone = sim_chance(0.15);
	spec->spread_zones = !spec->same_zone && !spec->has_zone && sim_chance(0.25);
	spec->spot_allowed = sim_chance(0.5);
}

static void choose_resources(struct fl_job_spec *spec)
{
	spec->kind = sim_chance(0.3) ? FL_SERVICE : FL_ARRAY;
	spec->priority = (enum fl_priority)sim_random_index(4);
	spec->task_count = 1 + (uint32_t)sim_random_index(spec->kind == FL_SERVICE ? 4 : 6);
	spec->cpus = 4 * (1 + sim_random_index(3));
	spec->gpus = sim_chance(0.3) ? 1 : 0;
	spec->ram_gb = 8 * (1 + sim_random_index(3));
	spec->image_gb = sim_random_between(0.5, 4);
}

static void choose_names(struct fl_job_spec *spec, int number)
{
	snprintf(spec->ref, sizeof(spec->ref), "run-%06d", 1000 + (number * 7919) % 90000);
	copy_text(spec->job_class, sizeof(spec->job_class),
	          spec->kind == FL_SERVICE ? "serve" : "train");
	copy_text(spec->team, sizeof(spec->team), sim_teams[sim_random_index(SIM_TEAMS)].name);
	snprintf(spec->image, sizeof(spec->image), "img-%02d", sim_random_index(8));
}

static void choose_durations(struct sim_job *job)
{
	struct fl_job_spec *spec = &job->spec;

	spec->due_s = -1;
	if (spec->kind == FL_ARRAY) {
		spec->expected_s = sim_random_between(8, 70);
		if (sim_chance(0.6)) {
			spec->checkpoint_every_s = sim_random_between(4, 10);
			spec->checkpoint_cost_s = sim_random_between(0.5, 2);
		}
	}
	for (uint32_t i = 0; i < SIM_JOB_TASKS; i++)
		job->duration_s[i] = spec->expected_s * sim_random_between(0.5, 1.6);
}

static void choose_user_actions(struct sim_job *job, double submit_s)
{
	job->submit_s = submit_s;
	job->cancel_s = -1;
	if (sim_chance(job->spec.kind == FL_SERVICE ? 0.5 : 0.15))
		job->cancel_s = submit_s + sim_random_between(20, 90);
}

struct sim_job *sim_job_add_random(double submit_s)
{
	struct sim_job *job = &sim.jobs[sim.job_count];

	sim_require(sim.job_count < SIM_JOBS);
	memset(job, 0, sizeof(*job));
	for (int i = 0; i < SIM_JOB_TASKS; i++)
		job->last_machine[i] = -1;
	choose_resources(&job->spec);
	choose_constraints(&job->spec);
	choose_names(&job->spec, sim.job_count);
	choose_durations(job);
	choose_user_actions(job, submit_s);
	sim_job_encode_request(job);
	sim.job_count++;
	return job;
}

void sim_job_encode_request(struct sim_job *job)
{
	free(job->request_body);
	job->request_body = fl_json_print_and_delete(fl_job_spec_encode(&job->spec));
}

void sim_job_remove_constraints(struct sim_job *job)
{
	struct fl_job_spec *spec = &job->spec;

	spec->machine_type_count = -1;
	spec->has_zone = spec->same_zone = spec->spread_zones = false;
}

struct sim_job *sim_job_find(const char *ref)
{
	for (int i = 0; i < sim.job_count; i++)
		if (strcmp(sim.jobs[i].spec.ref, ref) == 0)
			return &sim.jobs[i];
	return NULL;
}

bool sim_job_is_running(const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		if (job->copies_running[i] > 0)
			return true;
	return false;
}

bool sim_job_is_completed(const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		if (!job->completed[i])
			return false;
	return job->spec.kind != FL_SERVICE;
}
