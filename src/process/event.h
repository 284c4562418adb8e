/*
 * event - structured log: one JSON object per line on standard output
 *
 * Lines are buffered and written without blocking, so that a slow reader never
 * delays a decision. Lines of kinds that are logged often wait in a queue of
 * their own, which is written after the other one, so they displace no line of
 * a rare kind; `ms` tells the order. Lines that don't fit in the queue while
 * the reader takes none, and lines above the rate limit of their kind, are
 * dropped and counted; the count is logged.
 *
 * Lines of a few preferred kinds are written before all others and have no rate
 * limit. While the reader takes none, the newest of them are kept.
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
 * event_prefer - prefer lines of this kind, for those that sum up a state
 *
 * Called before the first such line, for at most 8 kinds; may be repeated.
 * Keeps a reference to the name.
 */
void event_prefer(const char *kind);

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

/*
 * event_flush - write buffered lines to standard output
 *
 * Writes only whole lines, and no more than a reader takes at once: a program
 * calls this many times a second. Writes nothing right after event_log() has
 * done so because a queue was full.
 */
void event_flush(void);

/* event_close - write all buffered lines that standard output takes now */
void event_close(void);

/* event_dropped - number of lines dropped so far */
uint64_t event_dropped(void);

#endif
