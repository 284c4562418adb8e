/*
 * log - log lines on standard error
 *
 * One line per change of state: time, level, component, text. Requests are
 * counted (metric.h), never logged.
 */
#ifndef LOG_H
#define LOG_H

enum log_level { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG };

/*
 * log_init - set the least severe level that is written and the process's name
 *
 * Keeps a reference to the name.
 */
void log_init(enum log_level max_level, const char *name);

/* log_write - write one line; thread-safe */
__attribute__((format(printf, 3, 4))) void log_write(enum log_level level,
						     const char *component,
						     const char *fmt, ...);

#endif
