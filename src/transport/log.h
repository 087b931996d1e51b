/*
 * Logging with levels to standard error. Every line has the form "LEVEL area: text"; the area is a
 * short noun, and the text begins with its subject.
 */
#ifndef FL_TRANSPORT_LOG_H
#define FL_TRANSPORT_LOG_H

#include <stdbool.h>

/* In increasing order of detail. */
enum fl_log_level { FL_LOG_ERROR, FL_LOG_INFO, FL_LOG_DEBUG };

/* Sets the level up to which lines are written: 0, or -EINVAL if there is no level of this name. */
int fl_log_set_level(const char *name);
/* Whether lines of this level are written. */
bool fl_log_enabled(enum fl_log_level level);
/* Writes a line, cut off at about a thousand bytes; fl_error, fl_info and fl_debug call it. */
void fl_log(enum fl_log_level level, const char *area, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define fl_error(area, ...) fl_log(FL_LOG_ERROR, area, __VA_ARGS__)
#define fl_info(area, ...)                                                                         \
	do {                                                                                       \
		if (fl_log_enabled(FL_LOG_INFO))                                                   \
			fl_log(FL_LOG_INFO, area, __VA_ARGS__);                                    \
	} while (0)
#define fl_debug(area, ...)                                                                        \
	do {                                                                                       \
		if (fl_log_enabled(FL_LOG_DEBUG))                                                  \
			fl_log(FL_LOG_DEBUG, area, __VA_ARGS__);                                   \
	} while (0)

#endif
