/*
 * Admission by memory: while it is low new jobs are rejected before anything is stored, so that
 * accepted ones can be kept. Settings with which that, or a slow leader, is likely are named at the
 * start. Pure functions of the settings, but for the memory in use.
 */
#ifndef FL_COORDINATION_API_ADMISSION_H
#define FL_COORDINATION_API_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>

#include "config.h"

/* Whether there is memory for one more job, with all that is accepted already. */
bool fl_admission_has_memory(const struct fl_config *config);
/* Bytes that the bodies of all requests being received may take together. */
size_t fl_admission_max_body_bytes(const struct fl_config *config);
/*
 * Writes a text that names a tight setting and what it costs; false: there are no more. `index`
 * counts the tight ones from 0, so that the caller can log all of them.
 */
bool fl_admission_describe_tight_setting(const struct fl_config *config, int index, char *text,
                                         size_t cap);

#endif
