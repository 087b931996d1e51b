/*
 * Reads and checks the settings file. All settings are required, except for the lists of peers,
 * teams and SLOs, the class of an SLO and the announced limits of the key-value store; unknown keys
 * are ignored. The settings do not change while the process runs.
 */
#ifndef FL_CONFIG_H
#define FL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>

/* Bytes of a name with its terminator, and the maximum lengths of the lists. */
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

/* The quota of a team: guaranteed and maximum resources; a maximum of 0 means no limit. */
struct fl_config_team {
	char name[FL_CONFIG_NAME_SIZE];
	double cpus, cpus_max, gpus, gpus_max;
};

/* An SLO: the share of a class's jobs that must meet a time limit; no class means all jobs. */
struct fl_config_slo {
	char kind[FL_CONFIG_NAME_SIZE], job_class[FL_CONFIG_NAME_SIZE];
	double within_s, share;
};

/*
 * All settings. A field that holds one setting is named after its key in the file, which operators
 * know; config.c maps the keys to the fields and checks the ranges. Durations are in seconds.
 */
struct fl_config {
	char node[FL_CONFIG_NAME_SIZE], location[FL_CONFIG_NAME_SIZE];
	/* Addresses of this node's two servers, of the cloud and of the key-value store. */
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
	double report_s; /* interval between the heartbeats of a worker */
	double lease_s;  /* lease of a worker, which ends its tasks without a reply for this long */
	double cancel_s; /* time after a cancellation until the job's tasks must have ended */
	double state_rps, state_write_rps; /* limits of the key-value store, requests per second */
	double value_kb;                   /* maximum size of a value, KB */
	int txn_ops;                       /* maximum number of operations in a transaction */
	/* The same limits as announced for later (settings.state.next); 0: no change is announced.
	 */
	double next_state_write_rps, next_value_kb;
	int next_txn_ops;
	double cloud_rps;  /* limit of the cloud's API, requests per second */
	double list_lag_s; /* maximum delay of the cloud's list of machines */
	double core_share; /* processor cores for this controller */
	double ram_mb;     /* memory for this controller, MB */
	int max_connections;
};

/* Why a settings file is rejected. */
enum fl_config_result {
	FL_CONFIG_OK = 0,
	FL_CONFIG_UNREADABLE,     /* the file cannot be opened or read */
	FL_CONFIG_MALFORMED,      /* the file is not valid TOML, or out of memory */
	FL_CONFIG_INVALID_SETTING /* a setting is missing or has no valid value */
};

/* The first error in a settings file. */
struct fl_config_error {
	const char *file; /* the path passed to fl_config_read; not owned */
	char key[96];     /* full key of the setting; empty if the error is not in a setting */
	char reason[512];
};

/* Reads and checks the file. `out` must only be used if the result is FL_CONFIG_OK. */
enum fl_config_result fl_config_read(const char *path, struct fl_config *out,
                                     struct fl_config_error *error);
/* Formats an error as a message: file, key if there is one, and reason. */
void fl_config_error_text(const struct fl_config_error *error, char *text, size_t size);

#endif
