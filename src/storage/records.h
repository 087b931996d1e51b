/* Everything about the records in the state service, for those that use most of it. */
#ifndef FL_STORAGE_RECORDS_H
#define FL_STORAGE_RECORDS_H

#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "storage/keys.h"
#include "storage/progress.h"
#include "storage/progress_log.h"
#include "storage/write_budget.h"

#endif
