/*
 * log - lines for changes of state
 *
 * One line an event on standard error: time, level, component, text. What
 * happens per request is counted (metric.h), never logged.
 */
#ifndef LOG_H
#define LOG_H

enum log_level { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG };

/*
 * log_init - set the lowest level that is written and the process's name
 *
 * The name is kept by reference.
 */
void log_init(enum log_level lowest, const char *name);

/*
 * log_event - write one line; thread-safe
 */
__attribute__((format(printf, 3, 4))) void log_event(enum log_level level,
						     const char *component,
						     const char *fmt, ...);

#endif
