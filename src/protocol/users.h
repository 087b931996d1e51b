/*
 * The API for users: job descriptions, responses to status queries, and paths. The names of a
 * description's fields on the wire are defined only here; an error text that names a field uses its
 * constant. All input is checked for type, range and length before it is stored.
 */
#ifndef FL_PROTOCOL_USERS_H
#define FL_PROTOCOL_USERS_H

#include "protocol/json.h"

#define FL_JOB_REF_PREFIX "run-" /* begins every job id; 6 to 12 digits follow */

/* The field names of a job description in users' requests and in stored job records. */
#define FL_FIELD_REF "Ref"
#define FL_FIELD_JOB_CLASS "JobClass"
#define FL_FIELD_OWNER "Owner"
#define FL_FIELD_KIND "JobKind"
#define FL_FIELD_PRIORITY "Tier"
#define FL_FIELD_TASK_COUNT "Parts"
#define FL_FIELD_CPUS "Vcpus"
#define FL_FIELD_GPUS "Accelerators"
#define FL_FIELD_RAM_GB "RamGb"
#define FL_FIELD_IMAGE "Bundle"
#define FL_FIELD_IMAGE_GB "ImageGb"
#define FL_FIELD_MACHINE_TYPES "HostKinds"
#define FL_FIELD_ZONE "Site"
#define FL_FIELD_SAME_ZONE "Together"
#define FL_FIELD_SPREAD_ZONES "Apart"
#define FL_FIELD_SPOT_ALLOWED "Reclaimable"
#define FL_FIELD_EXPECTED_S "ExpectedS"
#define FL_FIELD_CHECKPOINT_EVERY_S "SnapshotEveryS"
#define FL_FIELD_CHECKPOINT_COST_S "SnapshotCostS"
#define FL_FIELD_DUE_S "DueS"

/* Sizes of strings in bytes with the terminator, and limits of a job description. */
enum { FL_NAME_MAX = 64, FL_REF_MAX = 24, FL_ALLOWED_TYPES_MAX = 16, FL_TASKS_MAX = 100000 };

/* The `machine_type_count` of a job that may run on every type. */
enum { FL_ANY_MACHINE_TYPE = -1 };

/*
 * The kind of a job. ARRAY: independent tasks. SERVICE: long-running tasks. GANG: tasks that start
 * all together or not at all.
 */
enum fl_job_kind { FL_ARRAY, FL_SERVICE, FL_GANG };
/* The priority of a job, lowest first; priority - 1 is the exponent of its weight in the queue. */
enum fl_priority { FL_BEST_EFFORT, FL_STANDARD, FL_URGENT, FL_CRITICAL };
/* The status of a job. PENDING: no task is running. DONE and CANCELLED are final. */
enum fl_job_status { FL_PENDING, FL_RUNNING, FL_DONE, FL_CANCELLED };

/* A job as its user describes it. */
struct fl_job_spec {
	char ref[FL_REF_MAX];
	char job_class[FL_NAME_MAX], team[FL_NAME_MAX], image[FL_NAME_MAX], zone[FL_NAME_MAX];
	char machine_types[FL_ALLOWED_TYPES_MAX][FL_NAME_MAX];
	int machine_type_count; /* or FL_ANY_MACHINE_TYPE */
	enum fl_job_kind kind;
	enum fl_priority priority;
	uint32_t task_count;
	double cpus, gpus, ram_gb, image_gb;                             /* per task */
	double expected_s, checkpoint_every_s, checkpoint_cost_s, due_s; /* due_s < 0: none */
	bool has_zone, same_zone, spread_zones, spot_allowed;
};

/* Returns whether the string is a well-formed job id. */
bool fl_job_ref_is_valid(const char *ref);
/* Reads a job id from JSON; returns false and leaves `ref` unchanged if the value is invalid. */
bool fl_job_ref_decode(const cJSON *value, char ref[FL_REF_MAX]);
/*
 * Decodes and validates a job description; returns NULL, or the wire name of the first bad field.
 * `out->ref` is set if the job id is valid, even if a later field is bad; otherwise it is empty.
 */
const char *fl_job_spec_decode(const cJSON *object, struct fl_job_spec *out);
/* Encodes a description as fl_job_spec_decode reads it; the caller owns the tree. */
cJSON *fl_job_spec_encode(const struct fl_job_spec *spec);
/* Encodes the response to a status query, without counts if `done` < 0; the caller frees it. */
char *fl_job_status_encode(const char *ref, enum fl_job_status status, int64_t done,
                           int64_t running);
/* Returns the name of a status in responses and records. */
const char *fl_job_status_name(enum fl_job_status status);

/* The kind of a client's request, which its path determines. */
enum fl_request_kind {
	FL_REQUEST_UNKNOWN,
	FL_REQUEST_SUBMIT,
	FL_REQUEST_STATUS,
	FL_REQUEST_CANCEL,
	FL_REQUEST_READY,
	FL_REQUEST_HEARTBEAT
};
/* Parses a path; `ref` receives the job id, or is empty if the path has no valid job id. */
enum fl_request_kind fl_request_parse_path(const char *path, char ref[FL_REF_MAX]);

#endif
