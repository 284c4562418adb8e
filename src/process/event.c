#include "process/event.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "process/clock.h"

#define EVENT_LINE_MAX 1024u   /* bytes */
#define EVENT_LINE_END_BYTES 3 /* closing brace, line feed, one spare */
#define EVENT_PREFERRED_BYTES (16u << 10)
#define EVENT_RARE_BYTES (32u << 10)
#define EVENT_FREQUENT_BYTES (64u << 10)
#define EVENT_FREQUENT_PER_S 5u /* a kind with more lines is frequent */
#define EVENT_KINDS_MAX 128u	/* further kinds are not rate limited */
#define EVENT_PREFERRED_MAX 8u	/* kinds */

/* Bytes of one flush; a reader may take no more at once, and drop the rest. */
#define EVENT_FLUSH_MAX (8u << 10)
/* Before and after a flush of a full queue; the reader runs in between. */
#define EVENT_FLUSH_PAUSE_MS 20u
#define EVENT_DROPPED_LOG_MS 1000u /* between two log-dropped lines */

/*
 * Lines per second of one kind: 5 times the mean rate of job starts on a busy
 * day.
 */
#define EVENT_RATE_MAX_PER_S 1000u
#define EVENT_TEXT_MAX 256u /* bytes; event_sanitize truncates to this */

struct kind {
	const char *name;    /* a literal, compared by address */
	uint64_t second;     /* to which `count` belongs */
	uint32_t count;	     /* lines in that second */
	uint64_t frequent_s; /* newest second in which it was frequent */
	bool preferred;
};

/* Whole lines, but for the first one if it is partly written. */
struct queue {
	char *bytes;
	size_t size;
	size_t used;
	size_t begun; /* bytes left of a line that is partly written */
};

enum queue_index {
	QUEUE_PREFERRED, /* written first; its newest lines are kept */
	QUEUE_RARE,
	QUEUE_FREQUENT, /* lines of frequent kinds */
	QUEUES
};

static char preferred_bytes[EVENT_PREFERRED_BYTES];
static char rare_bytes[EVENT_RARE_BYTES];
static char frequent_bytes[EVENT_FREQUENT_BYTES];

static struct {
	const char *node;
	struct queue queues[QUEUES];
	struct kind kinds[EVENT_KINDS_MAX];
	const char *preferred[EVENT_PREFERRED_MAX];
	uint32_t preferred_count;
	uint64_t flushed_ms;	    /* last flush */
	uint64_t flushed_full_ms;   /* last one that a full queue caused */
	uint64_t dropped;	    /* lines so far */
	uint64_t dropped_logged;    /* `dropped` as last logged */
	uint64_t dropped_logged_ms; /* when it was */
} log_state = {
	.node = "",
	.queues = {
		[QUEUE_PREFERRED] = { .bytes = preferred_bytes,
				      .size = EVENT_PREFERRED_BYTES },
		[QUEUE_RARE] = { .bytes = rare_bytes,
				 .size = EVENT_RARE_BYTES },
		[QUEUE_FREQUENT] = { .bytes = frequent_bytes,
				     .size = EVENT_FREQUENT_BYTES },
	},
};

void event_open(const char *node)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_state.node = node;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static bool is_preferred(const char *name)
{
	uint32_t i;

	for (i = 0; i < log_state.preferred_count; i++)
		if (!strcmp(log_state.preferred[i], name))
			return true;
	return false;
}

void event_prefer(const char *kind)
{
	if (is_preferred(kind))
		return;
	assert(log_state.preferred_count < EVENT_PREFERRED_MAX);
	log_state.preferred[log_state.preferred_count++] = kind;
}

/* Counts a line of a kind; NULL if the kind is not rate limited. */
static struct kind *count_line(const char *name, uint64_t now_ms)
{
	struct kind *k;
	uint32_t i;

	for (i = 0; i < EVENT_KINDS_MAX; i++) {
		k = &log_state.kinds[i];
		if (k->name == name || !k->name)
			break;
	}
	if (i == EVENT_KINDS_MAX)
		return NULL;
	if (!k->name) {
		k->name = name;
		k->preferred = is_preferred(name);
	}
	if (k->second != now_ms / 1000) {
		k->second = now_ms / 1000;
		k->count = 0;
	}
	if (++k->count > EVENT_FREQUENT_PER_S)
		k->frequent_s = k->second;
	return k;
}

/* A kind is frequent until a whole second with few lines has passed. */
static bool is_frequent(const struct kind *k)
{
	return k && k->frequent_s && k->frequent_s + 1 >= k->second;
}

static enum queue_index queue_of(const struct kind *k)
{
	if (k && k->preferred)
		return QUEUE_PREFERRED;
	return is_frequent(k) ? QUEUE_FREQUENT : QUEUE_RARE;
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

static bool queue_add(struct queue *q, const char *line, size_t n)
{
	if (q->used + n > q->size)
		return false;
	memcpy(q->bytes + q->used, line, n);
	q->used += n;
	return true;
}

static void queue_remove(struct queue *q, size_t from, size_t n)
{
	q->used -= n;
	memmove(q->bytes + from, q->bytes + from + n, q->used - from);
}

/* Drops the oldest lines, but for one that is partly written, until n fit. */
static void queue_make_room(struct queue *q, size_t n)
{
	const char *first = q->bytes + q->begun;
	const char *end;

	while (q->used + n > q->size &&
	       (end = memchr(first, '\n', q->used - q->begun))) {
		queue_remove(q, q->begun, (size_t)(end - first) + 1);
		log_state.dropped++;
	}
}

static void flush(uint64_t now_ms);

void event_log(const char *kind, const char *id, const char *fmt, ...)
{
	uint64_t now_ms = clock_now_ms();
	struct kind *k = count_line(kind, now_ms);
	const enum queue_index queue = queue_of(k);
	struct queue *q = &log_state.queues[queue];
	char line[EVENT_LINE_MAX];
	size_t n;
	va_list ap;

	if (k && !k->preferred && k->count > EVENT_RATE_MAX_PER_S) {
		log_state.dropped++;
		return;
	}
	va_start(ap, fmt);
	n = line_format(line, kind, id, now_ms, fmt, ap);
	va_end(ap);
	if (q->used + n > q->size &&
	    now_ms - log_state.flushed_ms >= EVENT_FLUSH_PAUSE_MS) {
		flush(now_ms);
		log_state.flushed_full_ms = now_ms;
	}
	if (queue == QUEUE_PREFERRED)
		queue_make_room(q, n);
	if (queue_add(q, line, n))
		return;
	/* Many rare kinds may fill their queue while nobody reads. */
	if (queue == QUEUE_FREQUENT ||
	    !queue_add(&log_state.queues[QUEUE_FREQUENT], line, n))
		log_state.dropped++;
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

/* Drops all lines but the rest of one that is partly written. */
static void queue_drop(struct queue *q)
{
	size_t i;

	for (i = q->begun; i < q->used; i++)
		log_state.dropped += q->bytes[i] == '\n';
	q->used = q->begun;
}

/* Bytes of the whole lines at the start of a queue, up to max bytes. */
static size_t whole_lines(const struct queue *q, size_t max)
{
	const char *end;

	if (q->used <= max)
		return q->used;
	end = memrchr(q->bytes, '\n', max);
	return end ? (size_t)(end - q->bytes) + 1 : 0;
}

/*
 * Writes whole lines of a queue, up to max bytes; returns the number of bytes,
 * 0 if there are none or the reader takes no more. A pipe takes all or nothing
 * of PIPE_BUF bytes; other files may take a part of a line.
 */
static size_t queue_write(struct queue *q, size_t max)
{
	size_t length = whole_lines(q, max < PIPE_BUF ? max : PIPE_BUF);
	bool line_ended;
	const char *end;
	ssize_t n;

	if (!length)
		return 0;
	n = write(STDOUT_FILENO, q->bytes, length);
	if (n < 0) {
		if (errno != EAGAIN && errno != EINTR)
			queue_drop(q); /* e.g. the reader closed the pipe */
		return 0;
	}
	if (!n)
		return 0;
	line_ended = q->bytes[n - 1] == '\n';
	queue_remove(q, 0, (size_t)n);
	end = line_ended ? NULL : memchr(q->bytes, '\n', q->used);
	q->begun = end ? (size_t)(end - q->bytes) + 1 : 0;
	return (size_t)n < length ? 0 : length;
}

static size_t queue_flush(struct queue *q, size_t max)
{
	size_t n, written = 0;

	while (written < max && (n = queue_write(q, max - written)))
		written += n;
	return written;
}

static void log_dropped(void)
{
	uint64_t now_ms = clock_now_ms();

	if (log_state.dropped == log_state.dropped_logged ||
	    now_ms - log_state.dropped_logged_ms < EVENT_DROPPED_LOG_MS)
		return;
	log_state.dropped_logged = log_state.dropped;
	log_state.dropped_logged_ms = now_ms;
	event_log("log-dropped", NULL, "\"lines\":%" PRIu64,
		  log_state.dropped_logged);
}

static void flush(uint64_t now_ms)
{
	struct queue *q = log_state.queues;
	size_t written = 0;
	bool begun = false;
	uint32_t i;

	log_state.flushed_ms = now_ms;
	/* A line that was begun must end before another one follows. */
	for (i = 0; i < QUEUES; i++) {
		if (!q[i].begun)
			continue;
		written = queue_flush(&q[i], q[i].begun);
		begun |= q[i].begun > 0;
	}
	for (i = 0; i < QUEUES && !begun; i++) {
		written += queue_flush(&q[i], EVENT_FLUSH_MAX - written);
		if (q[i].used)
			break;
	}
	if (written)
		log_dropped();
}

void event_flush(void)
{
	uint64_t now_ms = clock_now_ms();

	if (now_ms - log_state.flushed_full_ms >= EVENT_FLUSH_PAUSE_MS)
		flush(now_ms);
}

static size_t bytes_waiting(void)
{
	size_t bytes = 0;
	uint32_t i;

	for (i = 0; i < QUEUES; i++)
		bytes += log_state.queues[i].used;
	return bytes;
}

void event_close(void)
{
	size_t before;

	do {
		before = bytes_waiting();
		flush(clock_now_ms());
	} while (bytes_waiting() < before);
}

uint64_t event_dropped(void)
{
	return log_state.dropped;
}
