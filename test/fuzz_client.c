/*
 * fuzz_client - malformed requests and peer frames from a fixed seed
 *
 * Sends mutated HTTP requests to the callers' port and mutated frames to the
 * peers' port of an entry, one connection at a time, and discards the answers.
 * Malformed input must not crash the entry or keep it from serving, which the
 * caller of this program checks afterwards.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PER_CONNECTION 2 /* messages */
#define MESSAGE_MAX 2048 /* bytes */
#define ANSWER_WAIT_MS 2 /* between bytes of the answers */

static uint64_t random_state; /* of an xorshift generator */

static uint32_t random_below(uint32_t n)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return (uint32_t)((random_state >> 11) % n);
}

static const char *const requests[] = {
	"POST /run/renew HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a.b\r\n"
	"Content-Length: 4\r\n\r\nbody",
	"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /run/renew/a/b?c=d HTTP/1.1\r\nHost: x\r\n"
	"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HEAD /run/ HTTP/1.0\r\n\r\n",
	"PUT /run/renew HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n"
	"\r\n",
};

static const uint8_t frames[][24] = {
	{ 0, 0, 0, 8, 0x0a, 0x06, 0x0a, 0x01, 'e', 0x10, 0x05, 0x1a },
	{ 0, 0, 0, 4, 0x12, 0x02, 0x08, 0x01 },
	{ 0, 0, 0, 9, 0x3a, 0x07, 0x08, 0x01, 0x12, 0x03, 't', ':', 'x' },
	{ 0xff, 0xff, 0xff, 0xff, 0x0a },
	{ 0, 0, 0, 0 },
};

static size_t mutate(uint8_t *m, size_t length)
{
	uint32_t changes = random_below(6);
	uint32_t i;

	for (i = 0; i < changes && length > 1; i++) {
		uint32_t at = random_below((uint32_t)length);

		switch (random_below(4)) {
		case 0:
			m[at] = (uint8_t)random_below(256);
			break;
		case 1: /* truncate */
			length = at + 1;
			break;
		case 2: /* repeat a part */
			if (length * 2 < MESSAGE_MAX) {
				memcpy(m + length, m + at, length - at);
				length += length - at;
			}
			break;
		default:
			m[at] ^= (uint8_t)(1u << random_below(8));
			break;
		}
	}
	return length;
}

static size_t make_message(bool http, uint8_t *m)
{
	size_t length;

	if (http) {
		const char *r = requests[random_below(sizeof(requests) /
						      sizeof(requests[0]))];

		length = strlen(r);
		memcpy(m, r, length);
	} else {
		uint32_t i = random_below(sizeof(frames) / sizeof(frames[0]));

		length = sizeof(frames[i]);
		memcpy(m, frames[i], length);
	}
	return mutate(m, length);
}

static int dial(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct linger reset_on_close = { 1, 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		perror("fuzz_client: connect");
		exit(1);
	}
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
		   sizeof(reset_on_close));
	return fd;
}

/* Discards received bytes; false when the other side has closed. */
static bool discard_input(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char buffer[4096];

	while (poll(&p, 1, 0) > 0)
		if (read(fd, buffer, sizeof(buffer)) <= 0)
			return false;
	return true;
}

static void fuzz(uint16_t port, bool http, uint32_t count)
{
	uint8_t m[MESSAGE_MAX];
	uint32_t sent = 0;

	while (sent < count) {
		struct pollfd p;
		uint32_t i;
		int fd = dial(port);

		for (i = 0; i < PER_CONNECTION; i++, sent++) {
			size_t length = make_message(http, m);

			if (send(fd, m, length, MSG_NOSIGNAL) < 0 ||
			    !discard_input(fd))
				break;
		}
		sent++;
		shutdown(fd, SHUT_WR);
		p = (struct pollfd){ .fd = fd, .events = POLLIN };
		while (poll(&p, 1, ANSWER_WAIT_MS) > 0 && discard_input(fd))
			;
		close(fd);
	}
}

int main(int argc, char **argv)
{
	struct arg_int *http = arg_int1(NULL, "http", "PORT", "callers' port");
	struct arg_int *peer = arg_int1(NULL, "peer", "PORT", "peers' port");
	struct arg_int *seed =
		arg_int1(NULL, "seed", "N", "of the random generator");
	struct arg_int *count = arg_int1(NULL, "count", "N", "messages");
	struct arg_end *end = arg_end(4);
	void *table[] = { http, peer, seed, count, end };

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "fuzz_client");
		return 2;
	}
	random_state = (uint64_t)seed->ival[0] * 0x9e3779b97f4a7c15u + 1;
	fuzz((uint16_t)http->ival[0], true, (uint32_t)count->ival[0] / 2);
	fuzz((uint16_t)peer->ival[0], false, (uint32_t)count->ival[0] / 2);
	return 0;
}
