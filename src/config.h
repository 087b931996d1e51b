/*
 * The settings file, read and checked. All settings are required, except for the lists of peers,
 * teams and SLOs and the class of an SLO; unknown keys are ignored. The settings do not change
 * later.
 */
#ifndef FL_CONFIG_H
#define FL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>

/* Bytes of a name with its terminator, and maximum lengths of the lists. */
enum {
	FL_CONFIG_NAME_SIZE = 64,
	FL_CONFIG_PEERS_MAX = 16,
	FL_CONFIG_ZONES_MAX = 8,
	FL_CONFIG_TEAMS_MAX = 64,
	FL_CONFIG_SLOS_MAX = 64
};

/* Another controller. */
struct fl_config_peer {
	char node[FL_CONFIG_NAME_SIZE], location[FL_CONFIG_NAME_SIZE], addr[FL_CONFIG_NAME_SIZE];
};

/* The quota of a team: guaranteed and maximum resources; a maximum of 0 is no limit. */
struct fl_config_team {
	char name[FL_CONFIG_NAME_SIZE];
	double cpus, cpus_max, gpus, gpus_max;
};

/* An SLO: the share of the jobs of a class that is to meet a time; no class: of all jobs. */
struct fl_config_slo {
	char kind[FL_CONFIG_NAME_SIZE], job_class[FL_CONFIG_NAME_SIZE];
	double within_s, share;
};

/*
 * All settings. Fields that hold one setting are named like its key in the file, which operators
 * know; config.c maps them and checks the ranges. Durations are in seconds.
 */
struct fl_config {
	char node[FL_CONFIG_NAME_SIZE], location[FL_CONFIG_NAME_SIZE];
	/* Addresses of the two servers, the cloud and the key-value store. */
	char bind[FL_CONFIG_NAME_SIZE], cluster_listen[FL_CONFIG_NAME_SIZE];
	char cloud[FL_CONFIG_NAME_SIZE], state[FL_CONFIG_NAME_SIZE];
	struct fl_config_peer peers[FL_CONFIG_PEERS_MAX];
	int peer_count;
	char zones[FL_CONFIG_ZONES_MAX][FL_CONFIG_NAME_SIZE];
	int zone_count;
	struct fl_config_team teams[FL_CONFIG_TEAMS_MAX];
	int team_count;
	struct fl_config_slo slos[FL_CONFIG_SLOS_MAX];
	int slo_count;
	double report_s; /* between two heartbeats of a worker */
	double lease_s;  /* of a worker: without a reply for so long, it ends its tasks */
	double cancel_s; /* from a cancellation until the job's tasks must be gone */
	double state_rps, state_write_rps; /* limits of the key-value store, a second */
	double value_kb;                   /* and of the size of a value */
	int txn_ops;                       /* and of the operations in a transaction */
	double cloud_rps;                  /* limit of the cloud's API, a second */
	double list_lag_s;                 /* how far the cloud's list of machines may lag behind */
	double core_share;                 /* of a processor core, for this controller */
	double ram_mb;                     /* memory for this controller */
	int max_connections;
};

/* What a settings file is rejected for. */
enum fl_config_result {
	FL_CONFIG_OK = 0,
	FL_CONFIG_UNREADABLE,     /* the file cannot be opened or read */
	FL_CONFIG_MALFORMED,      /* it is not TOML */
	FL_CONFIG_INVALID_SETTING /* a setting is missing or has no valid value */
};

/* The first error in a settings file. */
struct fl_config_error {
	const char *file; /* the path as it was given; not owned */
	char key[96];     /* the full key of the setting; empty: the error is not in a setting */
	char reason[512];
};

/* Reads and checks the file. Unless it is FL_CONFIG_OK, `out` must not be used. */
enum fl_config_result fl_config_read(const char *path, struct fl_config *out,
                                     struct fl_config_error *error);
/* The message of an error: file, key if it has one, and reason. */
void fl_config_error_text(const struct fl_config_error *error, char *text, size_t size);

#endif
