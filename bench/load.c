/*
 * load - closed-loop load generator for one HTTP/1.1 server
 *
 * Sends one request at a time on each of a number of connections and prints
 * the rate and the latencies. Answers must have a Content-Length.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/clock.h"

#define ANSWER_MAX_BYTES 65536
#define SAMPLES_MAX 2000000

struct connection {
	int fd;
	uint64_t sent_us;
	size_t received;
	char answer[ANSWER_MAX_BYTES];
};

struct load {
	struct sockaddr_in address;
	char request[8192];
	size_t request_length;
	int epoll;
	uint32_t unsent; /* requests not sent yet */
	uint32_t done;
	uint32_t errors; /* answers with a status other than 200 */
	uint32_t *samples_us;
	struct connection *connections;
};

static void connect_one(struct load *l, struct connection *c)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = c };
	int on = 1;

	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(c->fd, (struct sockaddr *)&l->address,
		    sizeof(l->address))) {
		perror("load: connect");
		exit(1);
	}
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	epoll_ctl(l->epoll, EPOLL_CTL_ADD, c->fd, &event);
}

static void send_next(struct load *l, struct connection *c)
{
	if (!l->unsent)
		return;
	l->unsent--;
	c->received = 0;
	c->sent_us = clock_now_us();
	if (write(c->fd, l->request, l->request_length) !=
	    (ssize_t)l->request_length) {
		perror("load: write");
		exit(1);
	}
}

/* Length of the answer with its headers, 0 until these are complete. */
static size_t answer_length(const struct connection *c)
{
	const char *end = memmem(c->answer, c->received, "\r\n\r\n", 4);
	const char *field;

	if (!end)
		return 0;
	field = memmem(c->answer, (size_t)(end - c->answer),
		       "Content-Length: ", 16);
	if (!field)
		return 0;
	return (size_t)(end - c->answer) + 4 + strtoul(field + 16, NULL, 10);
}

static void on_readable(struct load *l, struct connection *c)
{
	ssize_t n = read(c->fd, c->answer + c->received,
			 ANSWER_MAX_BYTES - c->received);
	size_t length;

	if (n <= 0) {
		fprintf(stderr, "load: connection closed\n");
		exit(1);
	}
	c->received += (size_t)n;
	length = answer_length(c);
	if (!length || c->received < length)
		return;
	l->errors += memcmp(c->answer + 9, "200", 3) != 0;
	l->samples_us[l->done++ % SAMPLES_MAX] =
		(uint32_t)(clock_now_us() - c->sent_us);
	send_next(l, c);
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void run(struct load *l, uint32_t connections, uint32_t requests)
{
	struct epoll_event events[64];
	uint64_t start;
	double seconds;
	uint32_t i;
	int n;

	l->unsent = requests;
	for (i = 0; i < connections; i++)
		connect_one(l, &l->connections[i]);
	start = clock_now_us();
	for (i = 0; i < connections; i++)
		send_next(l, &l->connections[i]);
	while (l->done < requests) {
		n = epoll_wait(l->epoll, events, 64, -1);
		while (n-- > 0)
			on_readable(l, events[n].data.ptr);
	}
	seconds = (double)(clock_now_us() - start) / 1e6;
	qsort(l->samples_us, requests, sizeof(uint32_t), compare_u32);
	printf("{\"rate\": %.0f, \"p50_us\": %u, \"p99_us\": %u, \"bad\": "
	       "%u}\n",
	       requests / seconds, l->samples_us[requests / 2],
	       l->samples_us[requests - 1 - requests / 100], l->errors);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "PORT", "on loopback");
	struct arg_str *path =
		arg_str1(NULL, "path", "PATH", "of the requests");
	struct arg_str *key = arg_str0(NULL, "key", "KEY", "credential");
	struct arg_int *requests = arg_int0(NULL, "requests", "N", "in total");
	struct arg_int *connections =
		arg_int0(NULL, "connections", "N", "concurrent");
	struct arg_int *body = arg_int0(NULL, "body", "BYTES", "per request");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, path, key, requests, connections, body, end };
	struct load *l = calloc(1, sizeof(*l));

	requests->ival[0] = 20000;
	connections->ival[0] = 8;
	body->ival[0] = 64;
	key->sval[0] = "none.none";
	if (arg_parse(argc, argv, table) || body->ival[0] > 4096 ||
	    requests->ival[0] > SAMPLES_MAX) {
		arg_print_errors(stderr, end, "load");
		return 2;
	}
	l->address.sin_family = AF_INET;
	l->address.sin_port = htons((uint16_t)port->ival[0]);
	inet_pton(AF_INET, "127.0.0.1", &l->address.sin_addr);
	l->epoll = epoll_create1(0);
	l->samples_us = calloc((size_t)requests->ival[0], sizeof(uint32_t));
	l->connections =
		calloc((size_t)connections->ival[0], sizeof(struct connection));
	l->request_length = (size_t)snprintf(
		l->request, sizeof(l->request),
		"POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
		"%s\r\nContent-Length: %d\r\n\r\n%0*d",
		path->sval[0], key->sval[0], body->ival[0], body->ival[0], 0);
	run(l, (uint32_t)connections->ival[0], (uint32_t)requests->ival[0]);
	return 0;
}
