/*
 * Bodies arrive whole whatever their size, also across the sizes at which
 * their memory is moved. Bodies that grow in turn leave no gaps in the heap,
 * which are not given back and which the budget does not count. A server that
 * stops accepting refuses connections and still answers on those it has.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/httpd.h"

#define HEADER_MAX 16384u
#define BODY_MAX (256u << 10)
#define BUDGET_BYTES (32u << 20)
#define CLIENTS 40u
#define WAIT_ITERATIONS 5000 /* of the event loop, at least 1 ms each */
#define CAPACITY_MIN 1024u   /* of a body; it doubles */
#define CAPACITY_MAX (128u << 10)
/* A connection's memory in the heap beside the library's buffer */
#define HEAP_OTHER_BYTES (16u << 10)

struct world {
	struct tevent_context *ev;
	struct budget *budget;
	struct httpd *server;
	uint16_t port;
	uint32_t requests;
	size_t length; /* of the last body */
	bool intact;   /* the last body is what was sent */
};

static char byte_at(size_t i)
{
	return (char)('a' + i / 7 % 26);
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct world *w = arg;
	size_t i;

	w->requests++;
	w->length = request->body_length;
	w->intact = true;
	for (i = 0; i < request->body_length; i++)
		if (request->body[i] != byte_at(i))
			w->intact = false;
	httpd_answer(request, &(struct httpd_answer){ .code = MHD_HTTP_OK });
}

static void on_iteration(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *arg)
{
	(void)ev;
	(void)te;
	(void)now;
	(void)arg;
}

static void iterate(struct world *w)
{
	tevent_add_timer(w->ev, w->ev, tevent_timeval_current_ofs(0, 1000),
			 on_iteration, NULL);
	tevent_loop_once(w->ev);
}

static uint16_t free_port(void)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t length = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &length), 0);
	close(fd);
	return ntohs(a.sin_port);
}

static void listen_on_free_port(struct world *w)
{
	struct budget_options bounds = { .bytes_max = BUDGET_BYTES,
					 .connections_max = CLIENTS };
	struct httpd_options o = {
		.address = "127.0.0.1",
		.port = free_port(),
		.limits = { .header_max = HEADER_MAX, .body_max = BODY_MAX },
		.handler = on_request,
		.arg = w,
	};

	w->ev = tevent_context_init(NULL);
	assert_non_null(w->ev);
	w->budget = o.budget = budget_new(w->ev, &bounds);
	w->port = o.port;
	w->server = httpd_new(w->ev, w->ev, &o);
	assert_non_null(w->server);
}

/* Returns the socket, or -1 and sets errno. */
static int try_dial(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a)))
		return fd;
	close(fd);
	return -1;
}

static int dial(uint16_t port)
{
	int fd = try_dial(port);

	assert_true(fd >= 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), 0), strlen(text));
}

static void send_head(int fd)
{
	send_text(fd, "POST / HTTP/1.1\r\nHost: n\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n");
}

/* Sends bytes from..to of a body as one chunk. */
static void send_chunk(int fd, size_t from, size_t to)
{
	char *data = malloc(to - from);
	char size[32];
	size_t i;

	assert_non_null(data);
	for (i = from; i < to; i++)
		data[i - from] = byte_at(i);
	snprintf(size, sizeof(size), "%zx\r\n", to - from);
	send_text(fd, size);
	assert_int_equal(send(fd, data, to - from, 0), to - from);
	send_text(fd, "\r\n");
	free(data);
}

static void test_bodies_arrive_whole(void **state)
{
	static const struct row {
		size_t length, chunk;
	} rows[] = {
		{ 1, 1 },	   { 1024, 1024 },    { 1025, 1000 },
		{ 4096, 4096 },	   { 4097, 4096 },    { 4097, 4097 },
		{ 8192, 5000 },	   { 8193, 8192 },    { 100000, 3000 },
		{ 100000, 50000 }, { 262144, 20000 },
	};
	struct world w = { 0 };
	size_t i, sent;
	int fd, n;

	(void)state;
	listen_on_free_port(&w);
	fd = dial(w.port);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const struct row *row = &rows[i];

		send_head(fd);
		for (sent = 0; sent < row->length; sent += row->chunk) {
			size_t rest = row->length - sent;

			send_chunk(
				fd, sent,
				sent + (rest < row->chunk ? rest : row->chunk));
			for (n = 0; n < 3; n++)
				iterate(&w);
		}
		send_text(fd, "0\r\n\r\n");
		for (n = 0; n < WAIT_ITERATIONS && w.requests <= i; n++)
			iterate(&w);
		assert_int_equal(w.requests, i + 1);
		assert_int_equal(w.length, row->length);
		assert_true(w.intact);
	}
	for (n = 0; n < WAIT_ITERATIONS && budget_bytes(w.budget); n++)
		iterate(&w);
	assert_int_equal(budget_bytes(w.budget), 0);
	close(fd);
	talloc_free(w.ev);
}

static void test_growing_bodies_leave_no_gaps(void **state)
{
	struct world w = { 0 };
	size_t capacity, sent = 0;
	size_t heap = mallinfo2().arena;
	int fds[CLIENTS];
	uint32_t i;
	int n;

	(void)state;
	listen_on_free_port(&w);
	for (i = 0; i < CLIENTS; i++) {
		fds[i] = dial(w.port);
		send_head(fds[i]);
	}
	for (capacity = CAPACITY_MIN; capacity <= CAPACITY_MAX; capacity *= 2) {
		for (i = 0; i < CLIENTS; i++)
			send_chunk(fds[i], sent, capacity);
		sent = capacity;
		for (n = 0; n < WAIT_ITERATIONS &&
			    budget_bytes(w.budget) < CLIENTS * capacity;
		     n++)
			iterate(&w);
		assert_int_equal(budget_bytes(w.budget), CLIENTS * capacity);
		assert_in_range(mallinfo2().arena - heap, 0,
				CLIENTS * (httpd_connection_bytes(HEADER_MAX) +
					   HEAP_OTHER_BYTES));
	}
	for (i = 0; i < CLIENTS; i++)
		close(fds[i]);
	talloc_free(w.ev);
}

static void test_no_connection_waits_unread_once_it_stops_accepting(
	void **state)
{
	struct world w = { 0 };
	int fd, n;

	(void)state;
	listen_on_free_port(&w);
	fd = dial(w.port); /* not accepted yet */
	httpd_stop_accepting(w.server);
	httpd_stop_accepting(w.server);
	assert_int_equal(try_dial(w.port), -1);
	assert_int_equal(errno, ECONNREFUSED);
	send_text(fd, "GET / HTTP/1.1\r\nHost: n\r\n\r\n");
	for (n = 0; n < WAIT_ITERATIONS && !w.requests; n++)
		iterate(&w);
	assert_int_equal(w.requests, 1);
	close(fd);
	talloc_free(w.ev);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies_arrive_whole),
		cmocka_unit_test(test_growing_bodies_leave_no_gaps),
		cmocka_unit_test(
			test_no_connection_waits_unread_once_it_stops_accepting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
