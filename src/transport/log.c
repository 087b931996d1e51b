#include "transport/log.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static enum fl_log_level level_now = FL_LOG_INFO;
static const char *const level_names[] = {"error", "info", "debug"};

int fl_log_set_level(const char *name)
{
	for (int i = 0; i < 3; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			level_now = (enum fl_log_level)i;
			return 0;
		}
	}
	return -EINVAL;
}

int fl_log_enabled(enum fl_log_level level) { return level <= level_now; }

void fl_log(enum fl_log_level level, const char *area, const char *fmt, ...)
{
	char line[1024];
	va_list ap;
	int n;

	if (!fl_log_enabled(level))
		return;
	n = snprintf(line, sizeof(line), "%s %s: ", level_names[level], area);
	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	/* One write a line, so that lines of several processes never mix. */
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return;
}
