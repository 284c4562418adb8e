/*
 * With a slow reader of the log, each line is either written whole or counted
 * as dropped: a partial write must not cut a line, and frequent lines must not
 * displace the few that summarize them.
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
#include <unistd.h>

#include "process/event.h"

#define PIPE_BYTES 4096 /* smallest pipe that the kernel allows */
#define LINES 900u	/* below the rate limit of one kind */
#define FLUSH_LINES 20u /* lines between two flushes */
#define SUMMARIES 5u	/* lines after the frequent ones */

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
			event_flush();
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
	for (i = 0; i < LINES; i++)
		event_log("frequent", NULL, "\"n\":%u,\"text\":\"%0200u\"", i,
			  i);
	for (i = 0; i < SUMMARIES; i++)
		event_log("summary", NULL, "\"n\":%u", i);
	do {
		before = used;
		event_flush();
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lines_stay_whole),
		cmocka_unit_test(test_summaries_are_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
