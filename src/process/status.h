/*
 * status - text of an error message
 *
 * Each module has its own status enum; a status_message holds the text that
 * goes with a failure. It names what failed and where.
 */
#ifndef STATUS_H
#define STATUS_H

#include <stdarg.h>
#include <stdio.h>

#define STATUS_MESSAGE_MAX 512 /* bytes, including the final NUL */

struct status_message {
	char text[STATUS_MESSAGE_MAX];
};

/* status_set - format a message, truncated to STATUS_MESSAGE_MAX bytes */
__attribute__((format(printf, 2, 3))) static inline void status_set(
	struct status_message *m, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(m->text, sizeof(m->text), fmt, ap);
	va_end(ap);
}

#endif
