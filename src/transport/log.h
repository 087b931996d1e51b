/*
 * Logging with levels to standard error. Every line has the form "LEVEL area: event key=value ...";
 * the area is a short noun, and the event a subject and a participle, such as "job accepted".
 */
#ifndef FL_TRANSPORT_LOG_H
#define FL_TRANSPORT_LOG_H

#include <stdbool.h>

/* Log levels, in increasing order of detail. */
enum fl_log_level { FL_LOG_ERROR, FL_LOG_INFO, FL_LOG_DEBUG };

/* Sets the level up to which lines are written; returns 0, or -EINVAL for an unknown name. */
int fl_log_set_level(const char *name);
/* Returns whether lines of this level are written. */
bool fl_log_enabled(enum fl_log_level level);
/* Writes a line, truncated at about 1,000 bytes; called through fl_error, fl_info and fl_debug. */
void fl_log(enum fl_log_level level, const char *area, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Limits how often a line that clients can cause is written. Zero-initialised: none was written. */
struct fl_log_limit {
	bool used;
	double last_written_at;
	unsigned suppressed;
};

/*
 * Returns whether a line may be written at `now` (monotonic clock, s), `interval_s` after the last
 * one at the earliest; sets `*suppressed` to the number of lines left out since then.
 */
bool fl_log_limit_take(struct fl_log_limit *limit, double interval_s, double now,
                       unsigned *suppressed);

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
