/*
 * Admission control by memory: while memory is low, new jobs are rejected before anything is
 * stored, so that the accepted jobs can be kept. Settings that make such rejections or a slow
 * leader likely are logged at the start. Apart from the memory in use, all results depend on the
 * settings alone.
 */
#ifndef FL_COORDINATION_API_ADMISSION_H
#define FL_COORDINATION_API_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>

#include "config.h"

/* Returns whether the memory in use leaves room for one more job. */
bool fl_admission_has_memory(const struct fl_config *config);
/* Maximum number of bytes for the bodies of all requests that are being received. */
size_t fl_admission_max_body_bytes(const struct fl_config *config);
/*
 * Writes a log text that names a tight setting and its consequence. `index` counts the tight
 * settings from 0, so that the caller can log all of them; returns false if there are no more.
 */
bool fl_admission_describe_tight_setting(const struct fl_config *config, int index, char *text,
                                         size_t cap);

#endif
