/*
 * The records of the leader election: who leads, under the leader's lease, and the fencing token,
 * which only rises. The field names are those of the stored data and do not change.
 */
#ifndef FL_STORAGE_ELECTION_RECORDS_H
#define FL_STORAGE_ELECTION_RECORDS_H

#include "protocol/json.h"
#include "protocol/users.h"

/* Bytes of a process id with its terminator. */
enum { FL_PROCESS_ID_MAX = 96 };

/* The leader's record. */
struct fl_leader_record {
	char node[FL_NAME_MAX];
	char process_id[FL_PROCESS_ID_MAX]; /* empty if the record has none */
};

/* The value of FL_KEY_LEADER, owned by the caller. */
cJSON *fl_leader_record_encode(const char *node, const char *process_id);
/* Reads it; false, with `out` unchanged, if it names no node. */
bool fl_leader_record_decode(const cJSON *value, struct fl_leader_record *out);
/* The value of FL_KEY_FENCING_TOKEN, owned by the caller. */
cJSON *fl_fencing_token_record_encode(uint64_t fencing_token);
/* Reads it; false, with `out` unchanged, if it holds none. */
bool fl_fencing_token_record_decode(const cJSON *value, uint64_t *out);

#endif
