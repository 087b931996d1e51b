/* The settings file, read and checked. */
#ifndef FL_CONFIG_H
#define FL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>

/* Bytes of a name with its terminator, and entries of each list at most. */
enum {
	FL_CONFIG_NAME = 64,
	FL_CONFIG_PEERS = 16,
	FL_CONFIG_ZONES = 8,
	FL_CONFIG_TEAMS = 64,
	FL_CONFIG_SLOS = 64
};

/* Another controller. */
struct fl_config_peer {
	char node[FL_CONFIG_NAME], location[FL_CONFIG_NAME], addr[FL_CONFIG_NAME];
};

/* A team: what it is guaranteed, and its limits; 0: none. */
struct fl_config_team {
	char name[FL_CONFIG_NAME];
	double cpus, cpus_max, gpus, gpus_max;
};

/* A service objective: the share of jobs of a class that is to meet a time. */
struct fl_config_slo {
	char kind[FL_CONFIG_NAME], job_class[FL_CONFIG_NAME];
	double within_s, share;
};

/* All settings. */
struct fl_config {
	char node[FL_CONFIG_NAME], location[FL_CONFIG_NAME];
	char bind[FL_CONFIG_NAME], cluster_listen[FL_CONFIG_NAME];
	char cloud[FL_CONFIG_NAME], state[FL_CONFIG_NAME];
	struct fl_config_peer peers[FL_CONFIG_PEERS];
	int peer_count;
	char zones[FL_CONFIG_ZONES][FL_CONFIG_NAME];
	int zone_count;
	struct fl_config_team teams[FL_CONFIG_TEAMS];
	int team_count;
	struct fl_config_slo slos[FL_CONFIG_SLOS];
	int slo_count;
	double report_s, lease_s, cancel_s;
	double state_rps, state_write_rps, value_kb;
	int txn_ops;
	double cloud_rps, list_lag_s;
	double core_share, ram_mb;
	int max_connections;
};

/* Reads and checks the file: 0, or -1 with a message that names file, key and reason. */
int fl_config_read(const char *path, struct fl_config *out, char *error, size_t cap);

#endif
