/*
 * The keys of all records in the key-value store. They are stored data: a change would lose what
 * earlier versions wrote. The parts of a key are a prefix, a job id and a number.
 */
#ifndef FL_STORAGE_KEYS_H
#define FL_STORAGE_KEYS_H

#include "protocol/kv_store.h"
#include "protocol/users.h"

/* Keys, and the prefixes of keys that continue with a job's id or a number. */
#define FL_KEY_LEADER "c/lead"
#define FL_KEY_FENCING_TOKEN "c/epoch"
#define FL_PREFIX_ELECTION "c/"
#define FL_KEY_MACHINE_TYPES "m/kinds"
#define FL_PREFIX_JOBS "j/"
#define FL_PREFIX_FINISHED "f/"
#define FL_PREFIX_PROGRESS "p/"
#define FL_PREFIX_HEARTBEAT_DIGESTS "k/"
#define FL_PREFIX_WAL "w/"
#define FL_KEY_WAL_FIRST_VALUE "w/0" /* in every write of the log */

/* The key of a live or cancelled job. */
void fl_key_job(char key[FL_KEY_MAX], const char *ref);
/* The key of a job's final record. */
void fl_key_finished(char key[FL_KEY_MAX], const char *ref);
/* The key of a progress record. */
void fl_key_progress(char key[FL_KEY_MAX], const char *ref, uint32_t block_index);
/* Takes "p/run-000412/3" apart. */
enum fl_decode_result fl_key_progress_parse(const char *key, char ref[FL_REF_MAX],
                                            uint32_t *block_index);

#endif
