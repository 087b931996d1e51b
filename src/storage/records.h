/* All headers about the records in the key-value store, for those that use most of them. */
#ifndef FL_STORAGE_RECORDS_H
#define FL_STORAGE_RECORDS_H

#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "storage/keys.h"
#include "storage/progress_records.h"
#include "storage/write_ahead_log.h"
#include "storage/token_bucket.h"

#endif
