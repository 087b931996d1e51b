/* What users send and are told. */
#ifndef FL_PROTOCOL_USERS_H
#define FL_PROTOCOL_USERS_H

#include "protocol/json.h"

#define FL_REF_BEGIN "run-" /* of every job id; digits follow */

enum { FL_NAME_MAX = 64, FL_REF_MAX = 24, FL_ALLOWED_TYPES_MAX = 16, FL_TASKS_MAX = 100000 };

/* A gang starts only whole. */
enum fl_job_kind { FL_ARRAY, FL_SERVICE, FL_GANG };
/* In rising order; the exponent of the priority's queue factor is priority - 1. */
enum fl_priority { FL_BEST_EFFORT, FL_STANDARD, FL_URGENT, FL_CRITICAL };
enum fl_status { FL_PENDING, FL_RUNNING, FL_DONE, FL_CANCELLED };

struct fl_job_spec {
	char ref[FL_REF_MAX];
	char job_class[FL_NAME_MAX], team[FL_NAME_MAX], image[FL_NAME_MAX], zone[FL_NAME_MAX];
	char machine_types[FL_ALLOWED_TYPES_MAX][FL_NAME_MAX];
	int n_machine_types; /* -1: any */
	enum fl_job_kind kind;
	enum fl_priority priority;
	uint32_t n_tasks;
	double cpus, gpus, ram_gb, image_gb;
	double expected_s, checkpoint_every_s, checkpoint_cost_s, due_s; /* due_s < 0: none */
	bool has_zone, together, apart, reclaimable;
};

bool fl_ref_ok(const char *ref);
/* Returns NULL, or the name of the first bad field. */
const char *fl_job_spec_decode(const cJSON *o, struct fl_job_spec *out);
cJSON *fl_job_spec_encode(const struct fl_job_spec *spec);
char *fl_status_encode(const char *ref, enum fl_status status, int64_t done, int64_t running);
const char *fl_status_name(enum fl_status status);

/* The users' paths, taken apart. */
enum fl_user_call {
	FL_CALL_NONE,
	FL_CALL_SUBMIT,
	FL_CALL_POLL,
	FL_CALL_CANCEL,
	FL_CALL_READY,
	FL_CALL_REPORT
};
enum fl_user_call fl_user_route(const char *path, char ref[FL_REF_MAX]);

#endif
