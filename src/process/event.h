/*
 * event - structured log: one JSON object per line on standard output
 *
 * Lines are buffered and written without blocking, so that a slow reader never
 * delays a decision. Lines that do not fit in the buffer while the pipe is
 * full, and lines above the rate limit of their kind, are dropped and counted;
 * the count is logged once the buffer has been written. Part of the buffer is
 * kept for kinds with few lines, so that frequent ones don't displace them.
 */
#ifndef EVENT_H
#define EVENT_H

#include <stdint.h>

/*
 * event_open - set the node's name; makes standard output non-blocking
 *
 * Keeps a reference to the name.
 */
void event_open(const char *node);

/*
 * event_log - log time, node, kind, id and the "key":value pairs of fmt
 *
 * id may be NULL. Strings must not need JSON escapes; pass external text
 * through event_sanitize. kind must be a literal.
 */
__attribute__((format(printf, 3, 4))) void event_log(const char *kind,
						     const char *id,
						     const char *fmt, ...);

/*
 * event_sanitize - a copy of text with "?" for bytes that are unsafe in JSON
 *
 * The copy is in a static buffer, truncated, and valid until the next call.
 */
const char *event_sanitize(const char *text);

/* event_flush - write the buffered lines to standard output */
void event_flush(void);

/* event_dropped - number of lines dropped so far */
uint64_t event_dropped(void);

#endif
