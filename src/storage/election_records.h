/*
 * The records of the leader election: the leader record, which exists under the leader's lease, and
 * the fencing token, which only increases. The field names belong to the stored data and must not
 * change.
 */
#ifndef FL_STORAGE_ELECTION_RECORDS_H
#define FL_STORAGE_ELECTION_RECORDS_H

#include "protocol/json.h"
#include "protocol/users.h"

/* Size of a process id in bytes, including the terminator. */
enum { FL_PROCESS_ID_MAX = 96 };

/* The leader record: the process that holds the leadership. */
struct fl_leader_record {
	char node[FL_NAME_MAX];
	char process_id[FL_PROCESS_ID_MAX]; /* empty if the record has none */
};

/* Returns the value of FL_KEY_LEADER, which the caller owns. */
cJSON *fl_leader_record_encode(const char *node, const char *process_id);
/* Decodes a leader record; returns false and leaves `out` unchanged if it names no node. */
bool fl_leader_record_decode(const cJSON *value, struct fl_leader_record *out);
/* Returns the value of FL_KEY_FENCING_TOKEN, which the caller owns. */
cJSON *fl_fencing_token_record_encode(uint64_t fencing_token);
/* Decodes a fencing token record; returns false and leaves `out` unchanged if it holds no token. */
bool fl_fencing_token_record_decode(const cJSON *value, uint64_t *out);

#endif
