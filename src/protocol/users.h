/* The API for users: job descriptions, status answers and paths. */
#ifndef FL_PROTOCOL_USERS_H
#define FL_PROTOCOL_USERS_H

#include "protocol/json.h"

#define FL_REF_BEGIN "run-" /* of every job id; digits follow */

/* Sizes with the terminator, and limits of a description. */
enum { FL_NAME_MAX = 64, FL_REF_MAX = 24, FL_ALLOWED_TYPES_MAX = 16, FL_TASKS_MAX = 100000 };

/* A gang starts only whole. */
enum fl_job_kind { FL_ARRAY, FL_SERVICE, FL_GANG };
/* In rising order; the exponent of the priority's queue factor is priority - 1. */
enum fl_priority { FL_BEST_EFFORT, FL_STANDARD, FL_URGENT, FL_CRITICAL };
/* A job's status; DONE and CANCELLED are final. */
enum fl_job_status { FL_PENDING, FL_RUNNING, FL_DONE, FL_CANCELLED };

/* A job as its user describes it. */
struct fl_job_spec {
	char ref[FL_REF_MAX];
	char job_class[FL_NAME_MAX], team[FL_NAME_MAX], image[FL_NAME_MAX], zone[FL_NAME_MAX];
	char machine_types[FL_ALLOWED_TYPES_MAX][FL_NAME_MAX];
	int machine_type_count; /* -1: any */
	enum fl_job_kind kind;
	enum fl_priority priority;
	uint32_t task_count;
	double cpus, gpus, ram_gb, image_gb;
	double expected_s, checkpoint_every_s, checkpoint_cost_s, due_s; /* due_s < 0: none */
	bool has_zone, same_zone, spread_zones, spot_allowed;
};

/* Is it a well-formed job id? */
bool fl_job_ref_is_valid(const char *ref);
/* Decodes and checks a description; returns NULL, or the name of the first bad field. */
const char *fl_job_spec_decode(const cJSON *object, struct fl_job_spec *out);
/* The description as fl_job_spec_decode reads it. */
cJSON *fl_job_spec_encode(const struct fl_job_spec *spec);
/* The answer to a poll, to be freed. */
char *fl_status_encode(const char *ref, enum fl_job_status status, int64_t done, int64_t running);
/* The status as it is written. */
const char *fl_status_name(enum fl_job_status status);

/* What a path asks for. */
enum fl_user_request {
	FL_USER_REQUEST_UNKNOWN,
	FL_USER_REQUEST_SUBMIT,
	FL_USER_REQUEST_STATUS,
	FL_USER_REQUEST_CANCEL,
	FL_USER_REQUEST_READY,
	FL_USER_REQUEST_HEARTBEAT
};
/* Takes a path apart; `ref` gets the job id, if it has one. */
enum fl_user_request fl_user_route(const char *path, char ref[FL_REF_MAX]);

#endif
