#include "process/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#define LOG_LINE_MAX 1024 /* bytes */

static enum log_level log_max_level = LOG_INFO;
static const char *log_name = "jackdawwell";

void log_init(enum log_level max_level, const char *name)
{
	log_max_level = max_level;
	log_name = name;
}

void log_write(enum log_level level, const char *component, const char *fmt,
	       ...)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	char text[LOG_LINE_MAX];
	struct timespec ts;
	struct tm tm;
	char stamp[32];
	va_list ap;

	if (level > log_max_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(stderr, "%s.%03ldZ %s %s %s: %s\n", stamp, ts.tv_nsec / 1000000,
		log_name, names[level], component, text);
}
