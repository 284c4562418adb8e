#include "process/event.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "process/clock.h"

#define EVENT_LINE_MAX 1024u   /* bytes */
#define EVENT_LINE_END_BYTES 3 /* closing brace, line feed, one spare */
#define EVENT_BUFFER_BYTES (64u << 10)
/* Kept free for kinds with few lines, whose lines summarize many others */
#define EVENT_RESERVED_BYTES (8u << 10)
#define EVENT_FREQUENT_PER_S 10u /* a kind with more lines is frequent */
#define EVENT_KINDS_MAX 64u	 /* further kinds are not rate limited */
/*
 * Lines per second of one kind: 5 times the mean rate of job starts on a busy
 * day.
 */
#define EVENT_RATE_MAX_PER_S 1000u
#define EVENT_TEXT_MAX 256u /* bytes; event_sanitize truncates to this */

struct kind {
	const char *name; /* a literal, compared by address */
	uint64_t second;  /* to which `count` belongs */
	uint32_t count;	  /* lines in that second */
};

static struct {
	const char *node;
	char buffer[EVENT_BUFFER_BYTES];
	size_t used;
	struct kind kinds[EVENT_KINDS_MAX];
	uint64_t dropped;	 /* lines so far */
	uint64_t dropped_logged; /* `dropped` as last logged */
} log_state = { .node = "" };

void event_open(const char *node)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_state.node = node;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Returns the number of lines of a kind in this second, with this one. */
static uint32_t count_line(const char *name, uint64_t now_ms)
{
	struct kind *k;
	uint32_t i;

	for (i = 0; i < EVENT_KINDS_MAX; i++) {
		k = &log_state.kinds[i];
		if (k->name == name || !k->name)
			break;
	}
	if (i == EVENT_KINDS_MAX)
		return 1;
	k->name = name;
	if (k->second != now_ms / 1000) {
		k->second = now_ms / 1000;
		k->count = 0;
	}
	return ++k->count;
}

static size_t line_format(char *line, const char *kind, const char *id,
			  uint64_t now_ms, const char *fmt, va_list ap)
{
	size_t n;

	n = (size_t)snprintf(line, EVENT_LINE_MAX,
			     "{\"ms\":%" PRIu64 ",\"node\":\"%s\","
			     "\"event\":\"%s\"%s%s%s",
			     now_ms, log_state.node, kind,
			     id ? ",\"id\":\"" : "", id ? id : "",
			     id ? "\"" : "");
	if (n < EVENT_LINE_MAX && *fmt) {
		line[n++] = ',';
		n += (size_t)vsnprintf(line + n, EVENT_LINE_MAX - n, fmt, ap);
	}
	if (n > EVENT_LINE_MAX - EVENT_LINE_END_BYTES)
		n = EVENT_LINE_MAX - EVENT_LINE_END_BYTES;
	line[n++] = '}';
	line[n++] = '\n';
	return n;
}

void event_log(const char *kind, const char *id, const char *fmt, ...)
{
	uint64_t now_ms = clock_now_ms();
	uint32_t count = count_line(kind, now_ms);
	size_t limit = EVENT_BUFFER_BYTES;
	char line[EVENT_LINE_MAX];
	size_t n;
	va_list ap;

	if (count > EVENT_RATE_MAX_PER_S) {
		log_state.dropped++;
		return;
	}
	va_start(ap, fmt);
	n = line_format(line, kind, id, now_ms, fmt, ap);
	va_end(ap);
	if (count > EVENT_FREQUENT_PER_S)
		limit -= EVENT_RESERVED_BYTES;
	if (log_state.used + n > limit)
		event_flush();
	if (log_state.used + n > limit) {
		log_state.dropped++;
		return;
	}
	memcpy(log_state.buffer + log_state.used, line, n);
	log_state.used += n;
}

const char *event_sanitize(const char *text)
{
	static char copy[EVENT_TEXT_MAX];
	size_t i;

	for (i = 0; text[i] && i + 1 < sizeof(copy); i++) {
		unsigned char c = (unsigned char)text[i];

		copy[i] = c < 0x20 || c == '"' || c == '\\' || c >= 0x7f
				  ? '?'
				  : (char)c;
	}
	copy[i] = '\0';
	return copy;
}

void event_flush(void)
{
	ssize_t n;

	if (!log_state.used)
		return;
	n = write(STDOUT_FILENO, log_state.buffer, log_state.used);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		log_state.used = 0; /* e.g. the reader closed the pipe */
		log_state.dropped++;
		return;
	}
	log_state.used -= (size_t)n;
	memmove(log_state.buffer, log_state.buffer + n, log_state.used);
	if (log_state.dropped == log_state.dropped_logged || log_state.used)
		return;
	log_state.dropped_logged = log_state.dropped;
	event_log("log-dropped", NULL, "\"lines\":%" PRIu64,
		  log_state.dropped_logged);
}

uint64_t event_dropped(void)
{
	return log_state.dropped;
}
