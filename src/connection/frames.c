#include "connection/frames.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/settings.h"

#define FRAMES_READ_BYTES 65536u  /* maximum of one recv(2) */
#define FRAMES_BUFFER_BYTES 4096u /* initial capacity of a buffer */
#define FRAMES_PREFIX_BYTES 4u	  /* length field before each frame */
#define FRAMES_BACKLOG 64	  /* connections that wait for accept(2) */

struct buffer {
	uint8_t *data;
	size_t length;
	size_t capacity;
};

struct frame_stream {
	struct frames *frames;
	struct frame_stream *next;
	struct tevent_fd *fde;
	struct tevent_immediate *close_now;
	void *data;
	struct buffer in;
	struct buffer out;
	size_t reserved; /* bytes of the reserved frame, with its prefix */
	int fd;
	bool broken;
};

struct frames {
	struct frames_options options;
	struct tevent_context *ev;
	struct frame_stream *streams;
	struct frames_counters counters;
	struct tevent_fd *accept_fde;
	int listener; /* -1: none */
};

/* Buffers */

static uint8_t *buffer_extend(TALLOC_CTX *ctx, struct buffer *b, size_t length)
{
	size_t capacity = b->capacity ? b->capacity : FRAMES_BUFFER_BYTES;

	while (capacity < b->length + length)
		capacity *= 2;
	if (capacity != b->capacity) {
		b->data = talloc_realloc(ctx, b->data, uint8_t, capacity);
		assert(b->data);
		b->capacity = capacity;
	}
	return b->data + b->length;
}

static void buffer_consume(struct buffer *b, size_t length)
{
	if (!length)
		return;
	b->length -= length;
	memmove(b->data, b->data + length, b->length);
}

/* Streams */

static int stream_destroy(struct frame_stream *s)
{
	struct frame_stream **p = &s->frames->streams;

	while (*p && *p != s)
		p = &(*p)->next;
	if (*p)
		*p = s->next;
	TALLOC_FREE(s->fde);
	close(s->fd);
	return 0;
}

static void on_close_now(struct tevent_context *ev, struct tevent_immediate *im,
			 void *arg)
{
	struct frame_stream *s = arg;
	struct frames *f = s->frames;

	(void)ev;
	(void)im;
	f->options.closed(f->options.arg, s);
	talloc_free(s);
}

void frame_stream_break(struct frame_stream *s)
{
	if (s->broken)
		return;
	s->broken = true;
	tevent_fd_set_flags(s->fde, 0);
	tevent_schedule_immediate(s->close_now, s->frames->ev, on_close_now, s);
}

static void stream_flush(struct frame_stream *s)
{
	size_t sent = 0;
	ssize_t n;

	while (sent < s->out.length) {
		n = send(s->fd, s->out.data + sent, s->out.length - sent,
			 MSG_NOSIGNAL);
		if (n <= 0)
			break;
		s->frames->counters.bytes_out += (uint64_t)n;
		sent += (size_t)n;
	}
	buffer_consume(&s->out, sent);
	tevent_fd_set_flags(s->fde, s->out.length
					    ? TEVENT_FD_READ | TEVENT_FD_WRITE
					    : TEVENT_FD_READ);
}

uint8_t *frame_reserve(struct frame_stream *s, size_t length)
{
	uint32_t prefix = htonl((uint32_t)length);
	uint8_t *to;

	if (s->broken)
		return NULL;
	if (s->out.length + length > s->frames->options.out_max) {
		frame_stream_break(s);
		return NULL;
	}
	to = buffer_extend(s, &s->out, FRAMES_PREFIX_BYTES + length);
	memcpy(to, &prefix, FRAMES_PREFIX_BYTES);
	s->reserved = FRAMES_PREFIX_BYTES + length;
	return to + FRAMES_PREFIX_BYTES;
}

void frame_send(struct frame_stream *s)
{
	s->out.length += s->reserved;
	s->reserved = 0;
	s->frames->counters.frames_out++;
	stream_flush(s);
}

/* Handles each complete frame; false when one is too long or rejected. */
static bool handle_frames(struct frame_stream *s)
{
	const struct frames_options *o = &s->frames->options;
	size_t at = 0;
	uint32_t length;

	while (s->in.length - at >= FRAMES_PREFIX_BYTES) {
		memcpy(&length, s->in.data + at, FRAMES_PREFIX_BYTES);
		length = ntohl(length);
		if (length > o->frame_max)
			return false;
		if (s->in.length - at < FRAMES_PREFIX_BYTES + length)
			break;
		s->frames->counters.frames_in++;
		if (!o->frame(o->arg, s, s->in.data + at + FRAMES_PREFIX_BYTES,
			      length))
			return false;
		if (s->broken)
			return true;
		at += FRAMES_PREFIX_BYTES + length;
	}
	buffer_consume(&s->in, at);
	return true;
}

static void stream_read(struct frame_stream *s)
{
	uint8_t *to = buffer_extend(s, &s->in, FRAMES_READ_BYTES);
	ssize_t n = recv(s->fd, to, FRAMES_READ_BYTES, 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
		frame_stream_break(s);
		return;
	}
	if (n < 0)
		return;
	s->frames->counters.bytes_in += (uint64_t)n;
	s->in.length += (size_t)n;
	if (handle_frames(s))
		return;
	s->frames->counters.refused++;
	frame_stream_break(s);
}

static void on_event(struct tevent_context *ev, struct tevent_fd *fde,
		     uint16_t flags, void *arg)
{
	struct frame_stream *s = arg;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_WRITE)
		stream_flush(s);
	if (flags & TEVENT_FD_READ)
		stream_read(s);
}

static struct frame_stream *stream_new(struct frames *f, int fd)
{
	struct frame_stream *s = talloc_zero(f, struct frame_stream);
	int on = 1;

	assert(s);
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	s->frames = f;
	s->fd = fd;
	s->close_now = tevent_create_immediate(s);
	s->fde = tevent_add_fd(f->ev, s, fd, TEVENT_FD_READ, on_event, s);
	assert(s->close_now && s->fde);
	s->next = f->streams;
	f->streams = s;
	talloc_set_destructor(s, stream_destroy);
	return s;
}

bool frame_stream_has_unread(const struct frame_stream *s)
{
	uint8_t byte;

	return !s->broken &&
	       recv(s->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

void frame_stream_set_data(struct frame_stream *s, void *data)
{
	s->data = data;
}

void *frame_stream_data(const struct frame_stream *s)
{
	return s->data;
}

/* Listening and dialing */

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *arg)
{
	struct frames *f = arg;
	int fd = accept4(f->listener, NULL, NULL, SOCK_CLOEXEC);

	(void)ev;
	(void)fde;
	(void)flags;
	if (fd >= 0)
		f->options.opened(f->options.arg, stream_new(f, fd));
}

static bool address_of(const char *text, struct sockaddr_in *address)
{
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (!settings_address(text, ip, &port))
		return false;
	address->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

struct frame_stream *frames_dial(struct frames *f, const char *address)
{
	struct sockaddr_in to;
	int fd;

	if (!address_of(address, &to))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	return stream_new(f, fd);
}

static int listen_on(const char *text)
{
	struct sockaddr_in address;
	int on = 1;
	int fd;

	if (!address_of(text, &address))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, FRAMES_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int frames_destroy(struct frames *f)
{
	while (f->streams)
		talloc_free(f->streams);
	TALLOC_FREE(f->accept_fde);
	if (f->listener >= 0)
		close(f->listener);
	return 0;
}

struct frames *frames_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			  const struct frames_options *options)
{
	struct frames *f = talloc_zero(ctx, struct frames);

	if (!f)
		return NULL;
	f->options = *options;
	f->ev = ev;
	f->listener = options->address ? listen_on(options->address) : -1;
	if (options->address && f->listener < 0) {
		talloc_free(f);
		return NULL;
	}
	talloc_set_destructor(f, frames_destroy);
	return f;
}

void frames_accept(struct frames *f)
{
	f->accept_fde = tevent_add_fd(f->ev, f, f->listener, TEVENT_FD_READ,
				      on_accept, f);
	assert(f->accept_fde);
}

const struct frames_counters *frames_counters(const struct frames *f)
{
	return &f->counters;
}
