/*
 * The keys of all records in the key-value store. They must not change, because records written by
 * earlier versions would not be found any more. The key of a job's record consists of a prefix, the
 * job id and, in a progress record, the block index.
 */
#ifndef FL_STORAGE_KEYS_H
#define FL_STORAGE_KEYS_H

#include "protocol/kv_store.h"
#include "protocol/users.h"

/* Complete keys (FL_KEY_*) and prefixes of keys (FL_PREFIX_*). */
#define FL_KEY_LEADER "c/lead"
#define FL_KEY_FENCING_TOKEN "c/epoch"
#define FL_PREFIX_ELECTION "c/"
#define FL_KEY_MACHINE_TYPES "m/kinds"
#define FL_PREFIX_JOBS "j/"
#define FL_PREFIX_FINISHED "f/"
#define FL_PREFIX_PROGRESS "p/"
#define FL_PREFIX_HEARTBEAT_DIGESTS "k/"
#define FL_PREFIX_WAL "w/"
#define FL_KEY_WAL_FIRST_VALUE "w/0" /* the log's first value, part of every write of the log */

/* Writes the key of the record of a live or cancelled job. */
void fl_key_job(char key[FL_KEY_MAX], const char *ref);
/* Writes the key of a job's final record. */
void fl_key_finished(char key[FL_KEY_MAX], const char *ref);
/* The progress record that a key names. */
struct fl_progress_key {
	char ref[FL_REF_MAX];
	uint32_t block_index;
	int part_index; /* of the part of the block */
};

/*
 * Writes the key of the progress record of a part of a task block: for the first part
 * "p/run-000412/3", for the others the offset of their first task follows, as in
 * "p/run-000412/3/32".
 */
void fl_key_progress(char key[FL_KEY_MAX], const char *ref, uint32_t block_index, int part_index);
/* Parses the key of a progress record. */
enum fl_decode_result fl_key_progress_parse(const char *key, struct fl_progress_key *out);

#endif
