#include "transport/log.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const char *const level_names[] = {"error", "info", "debug"};
static enum fl_log_level current_level = FL_LOG_INFO;

int fl_log_set_level(const char *name)
{
	for (int i = FL_LOG_ERROR; i <= FL_LOG_DEBUG; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			current_level = (enum fl_log_level)i;
			return 0;
		}
	}
	return -EINVAL;
}

bool fl_log_enabled(enum fl_log_level level) { return level <= current_level; }

void fl_log(enum fl_log_level level, const char *area, const char *fmt, ...)
{
	char line[1024];
	const int length_max = (int)sizeof(line) - 2; /* the newline excluded */
	va_list ap;
	int length;

	if (!fl_log_enabled(level))
		return;
	length = snprintf(line, sizeof(line), "%s %s: ", level_names[level], area);
	va_start(ap, fmt);
	length += vsnprintf(line + length, sizeof(line) - (size_t)length - 1, fmt, ap);
	va_end(ap);
	if (length > length_max)
		length = length_max;
	line[length++] = '\n';
	/* Each line is one write, so that the lines of several processes do not interleave. */
	if (write(STDERR_FILENO, line, (size_t)length) < 0)
		return;
}

bool fl_log_limit_take(struct fl_log_limit *limit, double interval_s, double now,
                       unsigned *suppressed)
{
	if (limit->used && now < limit->last_written_at + interval_s) {
		limit->suppressed++;
		return false;
	}
	*suppressed = limit->suppressed;
	*limit = (struct fl_log_limit){.used = true, .last_written_at = now};
	return true;
}
