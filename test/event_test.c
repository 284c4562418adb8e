/*
 * With a slow reader of the log, each line is either written whole or counted
 * as dropped: a partial write must not cut a line, and frequent lines must not
 * displace the few that summarize them. In virtual time: what is written when
 * depends on the time that logging takes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "process/event.h"

#define PIPE_BYTES 4096	 /* smallest pipe that the kernel allows */
#define LINES 900u	 /* below the rate limit of one kind */
#define FLUSH_LINES 20u	 /* lines between two flushes */
#define SUMMARIES 5u	 /* lines after the frequent ones */
#define TICK_MS 50u	 /* of a node, which flushes at the end of each */
#define SECONDS_MS 2000u /* after which no kind counts as frequent */

static uint64_t now_ms = 1000000;

int clock_gettime(clockid_t id, struct timespec *ts)
{
	(void)id;
	ts->tv_sec = (time_t)(now_ms / 1000);
	ts->tv_nsec = (long)(now_ms % 1000) * 1000000;
	return 0;
}

static void tick(void)
{
	now_ms += TICK_MS;
	event_flush();
}

/* Appends up to max bytes from the pipe to text. */
static size_t read_some(int fd, char *text, size_t used, size_t max)
{
	ssize_t n = read(fd, text + used, max);

	return used + (n > 0 ? (size_t)n : 0);
}

static uint32_t count_lines(char *text, const char *kind)
{
	uint32_t lines = 0;
	json_error_t error;
	char *line, *rest = text;

	while ((line = strsep(&rest, "\n")) && *line) {
		json_t *o = json_loads(line, 0, &error);

		if (!o)
			fail_msg("not a complete line: %s", line);
		if (!strcmp(json_string_value(json_object_get(o, "event")),
			    kind))
			lines++;
		json_decref(o);
	}
	return lines;
}

static void test_lines_stay_whole(void **state)
{
	/* Bytes read after each flush */
	static const size_t read_sizes[] = { 1, 7, 1000, 4096 };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(read_sizes) / sizeof(read_sizes[0]); c++) {
		size_t text_size = LINES * 1024;
		char *text = calloc(1, text_size);
		uint64_t dropped = event_dropped();
		int saved = dup(STDOUT_FILENO);
		size_t used = 0, before;
		uint32_t i, lines;
		int ends[2];

		assert_int_equal(pipe2(ends, O_NONBLOCK), 0);
		fcntl(ends[1], F_SETPIPE_SZ, PIPE_BYTES);
		fflush(stdout);
		dup2(ends[1], STDOUT_FILENO);
		event_open("node-1");
		now_ms += SECONDS_MS;
		for (i = 0; i < LINES; i++) {
			event_log("probe", NULL, "\"n\":%u,\"text\":\"%0*u\"",
				  i, (int)(i % 200), i);
			if (i % FLUSH_LINES)
				continue;
			event_flush();
			used = read_some(ends[0], text, used, read_sizes[c]);
		}
		do {
			before = used;
			tick();
			used = read_some(ends[0], text, used, PIPE_BYTES);
		} while (used > before);
		dup2(saved, STDOUT_FILENO);
		lines = count_lines(text, "probe");
		assert_int_equal(lines + event_dropped() - dropped, LINES);
		close(ends[0]);
		close(ends[1]);
		close(saved);
		free(text);
	}
}

/* A reader that has stopped for a while gets the summaries of that time. */
static void test_summaries_are_kept(void **state)
{
	size_t text_size = LINES * 1024;
	char *text = calloc(1, text_size);
	uint64_t dropped = event_dropped();
	int saved = dup(STDOUT_FILENO);
	size_t used = 0, before;
	uint32_t i;
	int ends[2];

	(void)state;
	assert_int_equal(pipe2(ends, O_NONBLOCK), 0);
	fcntl(ends[1], F_SETPIPE_SZ, PIPE_BYTES);
	fflush(stdout);
	dup2(ends[1], STDOUT_FILENO);
	event_open("node-1");
	now_ms += SECONDS_MS;
	for (i = 0; i < LINES; i++)
		event_log("frequent", NULL, "\"n\":%u,\"text\":\"%0200u\"", i,
			  i);
	for (i = 0; i < SUMMARIES; i++)
		event_log("summary", NULL, "\"n\":%u", i);
	do {
		before = used;
		tick();
		used = read_some(ends[0], text, used, PIPE_BYTES);
	} while (used > before);
	dup2(saved, STDOUT_FILENO);
	assert_true(event_dropped() > dropped);
	assert_int_equal(count_lines(text, "summary"), SUMMARIES);
	close(ends[0]);
	close(ends[1]);
	close(saved);
	free(text);
}

#define BURST_LINES 600u /* of a frequent kind, within a second */
#define RARE_KINDS 4u
#define RARE_LINES 3u /* of each rare kind */
#define READ_MAX 8192 /* bytes that the reader keeps of what it finds */
#define READ_MS 20u   /* between two reads */
#define READS 100u
#define TICKS 40u /* after the burst, in which its lines are written */

/* Reads all that it finds, every READ_MS, and keeps the first READ_MAX bytes.
 */
struct reader {
	int fd;
	uint64_t next_ms;
	char *text;
	size_t used;
};

static void reader_run(struct reader *r)
{
	static char all[1 << 20];
	size_t n;

	if (now_ms < r->next_ms)
		return;
	r->next_ms = now_ms + READ_MS;
	n = read_some(r->fd, all, 0, sizeof(all));
	if (n > READ_MAX)
		n = READ_MAX;
	assert_true(r->used + n < (size_t)READS * READ_MAX);
	memcpy(r->text + r->used, all, n);
	r->used += n;
}

static void redirect_begin(int ends[2], int *saved, int pipe_bytes)
{
	assert_int_equal(pipe2(ends, O_NONBLOCK), 0);
	fcntl(ends[1], F_SETPIPE_SZ, pipe_bytes);
	fflush(stdout);
	*saved = dup(STDOUT_FILENO);
	dup2(ends[1], STDOUT_FILENO);
	event_open("node-1");
	now_ms += SECONDS_MS;
}

static void redirect_end(const int ends[2], int saved)
{
	dup2(saved, STDOUT_FILENO);
	close(saved);
	close(ends[0]);
	close(ends[1]);
}

static void log_burst(uint32_t lines)
{
	uint32_t i;

	for (i = 0; i < lines; i++)
		event_log("burst", NULL, "\"n\":%u,\"text\":\"%0100u\"", i, i);
}

/*
 * A reader that takes 8 kB at a time and drops the rest, as a burst is logged
 * around a few rare lines: no line is cut, and each rare line comes, with the
 * first flush after it.
 */
static void test_burst_of_frequent_lines_keeps_rare_ones(void **state)
{
	static const char *const kinds[RARE_KINDS] = { "claim", "takeover",
						       "resign", "store-lost" };
	static const struct {
		const char *name;
		uint32_t flushed_ms;   /* since the last flush */
		uint32_t lines_per_ms; /* 0: all in a moment */
		uint32_t ticks;	       /* until all rare lines are there */
	} cases[] = {
		{ "right after a flush", 0, 0, 1 },
		{ "before a flush", TICK_MS, 0, 2 },
		{ "for 15 ms before a flush", TICK_MS, 40, 2 },
		{ "for 60 ms", TICK_MS, 10, 2 },
		{ "for 600 ms", TICK_MS, 1, 2 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct reader r = { .text = calloc(READS, READ_MAX) };
		uint32_t i, k, burst;
		int ends[2], saved;
		size_t first = 0;
		char *copy;

		redirect_begin(ends, &saved, 1 << 16);
		r.fd = ends[0];
		event_flush();
		now_ms += cases[c].flushed_ms;
		r.next_ms = now_ms + READ_MS;
		for (i = 0; i < BURST_LINES; i++) {
			event_log("burst", NULL, "\"n\":%u,\"text\":\"%0100u\"",
				  i, i);
			if (cases[c].lines_per_ms &&
			    i % cases[c].lines_per_ms == 0)
				now_ms++;
			reader_run(&r);
			if ((i + 1) % (BURST_LINES / RARE_LINES))
				continue;
			for (k = 0; k < RARE_KINDS; k++)
				event_log(kinds[k], NULL, "\"epoch\":%u", i);
		}
		for (i = 1; i <= TICKS; i++) {
			event_flush();
			now_ms += TICK_MS;
			reader_run(&r);
			if (i == cases[c].ticks)
				first = r.used;
		}
		redirect_end(ends, saved);
		for (k = 0; k < RARE_KINDS; k++) {
			copy = strndup(r.text, first);
			if (count_lines(copy, kinds[k]) != RARE_LINES)
				fail_msg("%s: lines of %s are missing",
					 cases[c].name, kinds[k]);
			free(copy);
		}
		burst = count_lines(r.text, "burst");
		if (burst <= BURST_LINES / 2)
			fail_msg("%s: %u frequent lines", cases[c].name, burst);
		free(r.text);
	}
}

/* While nobody reads for several seconds, rare lines wait without a loss. */
static void test_stopped_reader_loses_no_rare_line(void **state)
{
	size_t text_size = LINES * 1024;
	char *text = calloc(1, text_size);
	size_t used = 0, before;
	int ends[2], saved;
	uint32_t i;
	char *copy;

	(void)state;
	redirect_begin(ends, &saved, PIPE_BYTES);
	for (i = 0; i < 3; i++) {
		log_burst(BURST_LINES);
		event_flush();
		event_log("resign", NULL, "\"epoch\":%u", i);
		event_log("claim", NULL, "\"epoch\":%u", i);
		event_flush();
		now_ms += 1010;
	}
	do {
		before = used;
		tick();
		used = read_some(ends[0], text, used, PIPE_BYTES);
	} while (used > before);
	redirect_end(ends, saved);
	copy = strdup(text);
	assert_int_equal(count_lines(copy, "resign"), 3);
	free(copy);
	assert_int_equal(count_lines(text, "claim"), 3);
	free(text);
}

/* A socket, unlike a pipe, takes a part of a line. */
static void test_partial_writes_cut_no_line(void **state)
{
	size_t text_size = LINES * 1024;
	char *text = calloc(1, text_size);
	uint64_t dropped = event_dropped();
	int bytes = 1, saved, ends[2];
	size_t used = 0, before;
	uint32_t i, burst;
	char *copy;

	(void)state;
	assert_int_equal(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
	setsockopt(ends[1], SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	fflush(stdout);
	saved = dup(STDOUT_FILENO);
	dup2(ends[1], STDOUT_FILENO);
	event_open("node-1");
	now_ms += SECONDS_MS;
	for (i = 0; i < LINES; i++) {
		event_log("burst", NULL, "\"n\":%u,\"text\":\"%0*u\"", i,
			  (int)(i % 500), i);
		if (!(i % FLUSH_LINES))
			event_log("rare", NULL, "\"n\":%u", i);
		event_flush();
		if (!(i % 3))
			used = read_some(ends[0], text, used, 700);
	}
	do {
		before = used;
		tick();
		used = read_some(ends[0], text, used, PIPE_BYTES);
	} while (used > before);
	redirect_end(ends, saved);
	copy = strdup(text);
	burst = count_lines(copy, "burst");
	free(copy);
	assert_int_equal(burst + count_lines(text, "rare") + event_dropped() -
				 dropped,
			 LINES + LINES / FLUSH_LINES);
	free(text);
}

#define PREFERRED_KINDS 4u
#define PREFERRED_MS 1000u /* between two lines of a preferred kind */

/*
 * Frequent and rare kinds log more than the reader takes: the lines that sum up
 * come all the same, and those of a stopped reader's last second.
 */
static void test_load_loses_lines_that_sum_up(void **state)
{
	static const char *const rare[] = { "r-0", "r-1", "r-2", "r-3", "r-4",
					    "r-5", "r-6", "r-7", "r-8", "r-9" };
	static const char *const kinds[PREFERRED_KINDS] = { "sum-0", "sum-1",
							    "sum-2", "sum-3" };
	static const struct {
		const char *name;
		uint32_t seconds;
		size_t read_bytes;  /* in a tick, until the last of them */
		uint32_t lines_min; /* of each preferred kind */
	} cases[] = {
		{ "a slow reader", 5, 1000, 5 },
		{ "a reader that stops", 30, 0, 1 },
	};
	uint32_t k, t, i;
	size_t c;

	(void)state;
	for (k = 0; k < PREFERRED_KINDS; k++)
		event_prefer(kinds[k]);
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		const uint32_t ticks = cases[c].seconds * 1000 / TICK_MS;
		char *text = calloc(1, 4u << 20);
		size_t used = 0, before;
		int ends[2], saved;

		redirect_begin(ends, &saved, PIPE_BYTES);
		for (t = 0; t < ticks; t++) {
			log_burst(100);
			for (i = 0; t % 4 == 0 && i < 10; i++)
				event_log(rare[i], NULL, "\"text\":\"%0600u\"",
					  i);
			if (t % (PREFERRED_MS / TICK_MS) == 0)
				for (k = 0; k < PREFERRED_KINDS; k++)
					event_log(kinds[k], NULL,
						  "\"n\":%u,\"s\":\"%0400u\"",
						  t, t);
			tick();
			used = read_some(ends[0], text, used,
					 cases[c].read_bytes);
		}
		do {
			before = used;
			tick();
			used = read_some(ends[0], text, used, PIPE_BYTES);
		} while (used > before);
		redirect_end(ends, saved);
		for (k = 0; k < PREFERRED_KINDS; k++) {
			char *copy = strdup(text);
			uint32_t lines = count_lines(copy, kinds[k]);

			free(copy);
			if (lines < cases[c].lines_min)
				fail_msg("%s: %u lines of %s", cases[c].name,
					 lines, kinds[k]);
		}
		free(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_load_loses_lines_that_sum_up),
		cmocka_unit_test(test_lines_stay_whole),
		cmocka_unit_test(test_summaries_are_kept),
		cmocka_unit_test(test_burst_of_frequent_lines_keeps_rare_ones),
		cmocka_unit_test(test_stopped_reader_loses_no_rare_line),
		cmocka_unit_test(test_partial_writes_cut_no_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
