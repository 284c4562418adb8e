/*
 * The HTTP client. A client that is freed with requests in flight must not leak
 * memory, which the address sanitizer shows, nor call done. An answer that
 * stalls must not hold its request until the total timeout. A connection that
 * is never established must leave no descriptor in the event loop, and must not
 * be taken for a refused one, which proves that the process has ended.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/httpc.h"

#define BACKLOG_FILL 8 /* connections; more than a backlog of 0 holds */
#define CONSECUTIVE 8  /* requests of test_unconnected_sockets */
#define ITERATIONS 3   /* of the event loop; requests are sent by then */

/* Listens on a loopback port and never answers. */
static int listen_silent(uint16_t *port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t length = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(listen(fd, 8), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &length), 0);
	*port = ntohs(a.sin_port);
	return fd;
}

static void on_done(void *arg, struct httpc_answer *answer)
{
	(void)arg;
	(void)answer;
	fail_msg("a freed client called done");
}

static void test_freed_in_flight(void **state)
{
	static const int requests[] = { 0, 1, 5 };
	size_t c;
	int i;

	(void)state;
	for (c = 0; c < sizeof(requests) / sizeof(requests[0]); c++) {
		struct tevent_context *ev = tevent_context_init(NULL);
		struct httpc *client = httpc_new(ev, ev, 4, 0);
		uint16_t port;
		int fd = listen_silent(&port);
		char url[64];
		struct httpc_request r = { .method = "GET",
					   .url = url,
					   .timeout_ms = 60000,
					   .connect_timeout_ms = 60000,
					   .done = on_done };

		snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
		for (i = 0; i < requests[c]; i++)
			httpc_start(client, &r);
		for (i = 0; requests[c] && i < ITERATIONS; i++)
			tevent_loop_once(ev);
		assert_int_equal(httpc_active(client), requests[c]);
		talloc_free(client);
		talloc_free(ev);
		close(fd);
	}
}

static void on_stalled(void *arg, struct httpc_answer *answer)
{
	assert_int_equal(answer->status, HTTPC_TIMEOUT);
	*(bool *)arg = true;
}

/* The server sends part of an answer and then stops. */
static void test_stalled_answer(void **state)
{
	static const char *const parts[] = {
		"",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(parts) / sizeof(parts[0]); c++) {
		struct tevent_context *ev = tevent_context_init(NULL);
		struct httpc *client = httpc_new(ev, ev, 4, 0);
		uint16_t port;
		int fd = listen_silent(&port);
		int peer = -1;
		bool ended = false;
		char url[64];
		struct httpc_request r = { .method = "GET",
					   .url = url,
					   .timeout_ms = 60000,
					   .stall_timeout_ms = 50,
					   .connect_timeout_ms = 60000,
					   .done = on_stalled,
					   .arg = &ended };

		snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
		httpc_start(client, &r);
		tevent_loop_once(ev); /* starts connecting */
		peer = accept(fd, NULL, NULL);
		assert_int_equal(write(peer, parts[c], strlen(parts[c])),
				 strlen(parts[c]));
		while (!ended)
			tevent_loop_once(ev);
		assert_int_equal(httpc_active(client), 0);
		talloc_free(client);
		talloc_free(ev);
		close(peer);
		close(fd);
	}
}

static void on_ended(void *arg, struct httpc_answer *answer)
{
	assert_int_equal(answer->status, HTTPC_TIMEOUT);
	*(bool *)arg = true;
}

/* Reads all that comes; returns whether the peer reset the connection. */
static bool read_until_reset(int fd)
{
	static char buffer[65536];
	ssize_t n;

	while ((n = read(fd, buffer, sizeof(buffer))) > 0)
		;
	return n < 0 && errno == ECONNRESET;
}

/* What a server hadn't received when its caller gave up doesn't arrive later */
static void test_request_that_timed_out_is_not_delivered(void **state)
{
	const size_t body_length = 16u << 20; /* more than sockets hold */
	struct tevent_context *ev = tevent_context_init(NULL);
	struct httpc *client = httpc_new(ev, ev, 4, 0);
	char *body = talloc_zero_size(ev, body_length);
	uint16_t port;
	int fd = listen_silent(&port);
	bool ended = false;
	char url[64];
	struct httpc_request r = { .method = "POST",
				   .url = url,
				   .body = body,
				   .body_length = body_length,
				   .timeout_ms = 200,
				   .connect_timeout_ms = 200,
				   .done = on_ended,
				   .arg = &ended };
	int peer;

	(void)state;
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
	httpc_start(client, &r);
	tevent_loop_once(ev); /* starts connecting */
	peer = accept(fd, NULL, NULL);
	while (!ended)
		tevent_loop_once(ev);
	assert_true(read_until_reset(peer));
	talloc_free(client);
	talloc_free(ev);
	close(peer);
	close(fd);
}

/* Fills a port's backlog, so that the next connection stays pending. */
static void fill_backlog(uint16_t port, int *fds, int count)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	int i;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < count; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(fds[i], (struct sockaddr *)&a, sizeof(a));
	}
}

static void on_loop_message(void *arg, enum tevent_debug_level level,
			    const char *fmt, va_list ap)
{
	if (level > TEVENT_DEBUG_ERROR)
		return;
	vprintf(fmt, ap);
	(*(int *)arg)++;
}

static void on_failed(void *arg, struct httpc_answer *answer)
{
	assert_int_not_equal(answer->status, HTTPC_OK);
	(*(int *)arg)++;
}

/*
 * A connection that is never established must leave no descriptor in the event
 * loop, since its number is soon reused.
 */
static void test_unconnected_sockets(void **state)
{
	struct tevent_context *ev = tevent_context_init_byname(NULL, "epoll");
	struct httpc *client = httpc_new(ev, ev, 4, 0);
	uint16_t ports[2];
	int listeners[2] = { listen_silent(&ports[0]),
			     listen_silent(&ports[1]) };
	int fillers[BACKLOG_FILL];
	int messages = 0;
	int done = 0;
	char urls[2][64];
	int i;

	(void)state;
	listen(listeners[0], 0);
	fill_backlog(ports[0], fillers, BACKLOG_FILL);
	tevent_set_debug(ev, on_loop_message, &messages);
	for (i = 0; i < CONSECUTIVE; i++) {
		struct httpc_request r = { .method = "GET",
					   .url = urls[i % 2],
					   .timeout_ms = 60,
					   .connect_timeout_ms = 30,
					   .done = on_failed,
					   .arg = &done };

		snprintf(urls[i % 2], sizeof(urls[0]), "http://127.0.0.1:%u/",
			 ports[i % 2]);
		httpc_start(client, &r);
		while (done <= i)
			tevent_loop_once(ev);
	}
	assert_int_equal(messages, 0);
	talloc_free(client);
	talloc_free(ev);
	for (i = 0; i < BACKLOG_FILL; i++)
		close(fillers[i]);
	close(listeners[0]);
	close(listeners[1]);
}

struct outcome {
	bool done, refused;
	enum httpc_status status;
};

static void on_outcome(void *arg, struct httpc_answer *answer)
{
	struct outcome *outcome = arg;

	outcome->done = true;
	outcome->refused = answer->refused;
	outcome->status = answer->status;
}

/* Only a port on which no process listens counts as refusing connections. */
static void test_refused(void **state)
{
	static const struct {
		const char *what;
		bool listens, full, refused;
		enum httpc_status status;
	} cases[] = {
		{ "no process listens", false, false, true, HTTPC_NOT_SENT },
		{ "full backlog", true, true, false, HTTPC_NOT_SENT },
		{ "no answer", true, false, false, HTTPC_TIMEOUT },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct tevent_context *ev = tevent_context_init(NULL);
		struct httpc *client = httpc_new(ev, ev, 4, 0);
		struct outcome outcome = { 0 };
		int fillers[BACKLOG_FILL];
		char url[64];
		uint16_t port;
		int fd = listen_silent(&port);
		struct httpc_request r = { .method = "GET",
					   .url = url,
					   .timeout_ms = 200,
					   .connect_timeout_ms = 100,
					   .done = on_outcome,
					   .arg = &outcome };

		if (!cases[c].listens)
			close(fd);
		if (cases[c].full) {
			listen(fd, 0);
			fill_backlog(port, fillers, BACKLOG_FILL);
		}
		snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
		httpc_start(client, &r);
		while (!outcome.done)
			tevent_loop_once(ev);
		if (outcome.refused != cases[c].refused ||
		    outcome.status != cases[c].status)
			fail_msg("%s: refused %d, status %d", cases[c].what,
				 outcome.refused, outcome.status);
		talloc_free(ev);
		if (cases[c].listens)
			close(fd);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_freed_in_flight),
		cmocka_unit_test(test_stalled_answer),
		cmocka_unit_test(test_unconnected_sockets),
		cmocka_unit_test(test_refused),
		cmocka_unit_test(test_request_that_timed_out_is_not_delivered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
