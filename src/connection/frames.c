#include "connection/frames.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/clock.h"
#include "process/mtimer.h"
#include "process/settings.h"

#define FRAMES_READ_BYTES 65536u  /* maximum of one recv(2) */
#define FRAMES_BUFFER_BYTES 4096u /* initial capacity of a buffer */
#define FRAMES_PREFIX_BYTES 4u	  /* length field before each frame */
#define FRAMES_BACKLOG 64	  /* connections that wait for accept(2) */
/* An empty buffer that has grown beyond this is freed. */
#define FRAMES_BUFFER_KEEP_BYTES 65536u
/* 8 MB, the longest frame between nodes, take 6.7 s on a link of 10 Mbit/s. */
#define FRAMES_INCOMPLETE_MS 10000u

struct buffer {
	uint8_t *data;
	size_t length;
	size_t capacity;
};

struct frame_stream {
	struct budget_client budget; /* first member */
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
	bool counted; /* by the budget: it was accepted */
};

struct frames {
	struct frames_options options;
	struct tevent_context *ev;
	struct frame_stream *streams;
	struct frames_counters counters;
	struct tevent_fd *accept_fde;
	struct mtimer *sweep; /* NULL without a budget */
	int listener;	      /* -1: none */
	uint8_t received[FRAMES_READ_BYTES];
};

/* Buffers */

/* Counts the buffers again; false if the budget has no room for them. */
static bool count_buffers(struct frame_stream *s, size_t more)
{
	struct budget *b = s->frames->options.budget;
	size_t wanted = s->in.capacity + s->out.capacity + more;

	if (!s->counted)
		return true;
	if (wanted < s->budget.bytes)
		budget_release(b, &s->budget);
	return wanted == s->budget.bytes ||
	       budget_take(b, &s->budget, wanted - s->budget.bytes,
			   clock_now_ms());
}

/*
 * Capacities double up to what the longest frame and one more read need: the
 * budget of a small machine holds that, but not twice as much.
 */
static size_t next_capacity(const struct frame_stream *s, size_t capacity,
			    size_t needed)
{
	size_t frame = s->frames->options.frame_max + FRAMES_PREFIX_BYTES +
		       FRAMES_READ_BYTES;

	if (!capacity)
		capacity = FRAMES_BUFFER_BYTES;
	while (capacity < needed)
		capacity *= 2;
	return capacity > frame && needed <= frame ? frame : capacity;
}

/* Room for length more bytes; NULL if there is none. */
static uint8_t *buffer_extend(struct frame_stream *s, struct buffer *b,
			      size_t length)
{
	size_t capacity = b->capacity;
	uint8_t *grown;

	if (!capacity || capacity < b->length + length)
		capacity = next_capacity(s, capacity, b->length + length);
	if (capacity != b->capacity) {
		if (!count_buffers(s, capacity - b->capacity))
			return NULL;
		grown = talloc_realloc(s, b->data, uint8_t, capacity);
		if (!grown)
			return NULL;
		b->data = grown;
		b->capacity = capacity;
	}
	return b->data + b->length;
}

static void buffer_consume(struct frame_stream *s, struct buffer *b,
			   size_t length)
{
	if (!length)
		return;
	b->length -= length;
	memmove(b->data, b->data + length, b->length);
	if (b->length || b->capacity <= FRAMES_BUFFER_KEEP_BYTES)
		return;
	TALLOC_FREE(b->data);
	b->capacity = 0;
	count_buffers(s, 0);
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
	if (s->counted)
		budget_close(s->frames->options.budget, &s->budget);
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
	buffer_consume(s, &s->out, sent);
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
	if (!to) {
		frame_stream_break(s);
		return NULL;
	}
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

/*
 * Handles each complete frame in the bytes received and sets how many bytes
 * these took; false when one is too long or rejected.
 */
static bool handle_frames(struct frame_stream *s, const uint8_t *data,
			  size_t length, size_t *taken)
{
	const struct frames_options *o = &s->frames->options;
	uint32_t frame;

	*taken = 0;
	while (length - *taken >= FRAMES_PREFIX_BYTES) {
		memcpy(&frame, data + *taken, FRAMES_PREFIX_BYTES);
		frame = ntohl(frame);
		if (frame > o->frame_max)
			return false;
		if (length - *taken < FRAMES_PREFIX_BYTES + frame)
			break;
		s->frames->counters.frames_in++;
		if (!o->frame(o->arg, s, data + *taken + FRAMES_PREFIX_BYTES,
			      frame))
			return false;
		if (s->broken)
			return true;
		*taken += FRAMES_PREFIX_BYTES + frame;
	}
	return true;
}

static bool buffer_append(struct frame_stream *s, const uint8_t *data,
			  size_t length)
{
	uint8_t *to = buffer_extend(s, &s->in, length);

	if (!to)
		return false;
	memcpy(to, data, length);
	s->in.length += length;
	return true;
}

/* The time of an incomplete frame counts from its first bytes. */
static void note_progress(struct frame_stream *s, bool whole_frames)
{
	enum budget_phase phase = s->in.length ? BUDGET_BODY : BUDGET_IDLE;

	if (s->counted && (whole_frames || s->budget.phase != phase))
		budget_set_phase(s->frames->options.budget, &s->budget, phase,
				 clock_now_ms());
}

/* Only the bytes of incomplete frames are kept. */
static bool receive(struct frame_stream *s, const uint8_t *data, size_t length)
{
	size_t taken;

	if (!s->in.length) {
		if (!handle_frames(s, data, length, &taken))
			return false;
		if (!s->broken && taken < length &&
		    !buffer_append(s, data + taken, length - taken))
			return false;
	} else {
		if (!buffer_append(s, data, length) ||
		    !handle_frames(s, s->in.data, s->in.length, &taken))
			return false;
		buffer_consume(s, &s->in, taken);
	}
	note_progress(s, taken > 0);
	return true;
}

static void stream_read(struct frame_stream *s)
{
	struct frames *f = s->frames;
	ssize_t n = recv(s->fd, f->received, sizeof(f->received), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
		frame_stream_break(s);
		return;
	}
	if (n < 0)
		return;
	f->counters.bytes_in += (uint64_t)n;
	if (receive(s, f->received, (size_t)n))
		return;
	f->counters.refused++;
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

static void on_drop(void *arg, struct budget_client *client)
{
	(void)arg;
	frame_stream_break((struct frame_stream *)client);
}

static void on_sweep(void *arg)
{
	struct frames *f = arg;
	struct budget *b = f->options.budget;
	const uint32_t timeouts_ms[BUDGET_PHASES] = {
		[BUDGET_BODY] = FRAMES_INCOMPLETE_MS,
	};
	uint64_t now = clock_now_ms();
	struct budget_client *c;

	if (!budget_connections(b)) {
		mtimer_clear(f->sweep);
		return;
	}
	if (!budget_sweep(b, now))
		return;
	while ((c = budget_expired(b, timeouts_ms, now)))
		budget_drop(b, c, BUDGET_DROPPED_TIMEOUT, now);
}

static bool count_stream(struct frame_stream *s, uint32_t address)
{
	struct frames *f = s->frames;

	if (!f->options.budget)
		return true;
	s->counted = budget_open(f->options.budget, &s->budget, address,
				 clock_now_ms());
	if (s->counted && !mtimer_pending(f->sweep))
		mtimer_every(f->sweep, BUDGET_SWEEP_MS);
	return s->counted;
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *arg)
{
	struct frames *f = arg;
	struct sockaddr_in from = { 0 };
	socklen_t length = sizeof(from);
	int fd = accept4(f->listener, (struct sockaddr *)&from, &length,
			 SOCK_CLOEXEC);
	struct frame_stream *s;

	(void)ev;
	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	s = stream_new(f, fd);
	if (count_stream(s, from.sin_addr.s_addr))
		f->options.opened(f->options.arg, s);
	else
		talloc_free(s);
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
	TALLOC_FREE(f->sweep);
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
	if (options->budget) {
		f->sweep = mtimer_new(f, ev, on_sweep, f);
		assert(f->sweep);
		budget_set_drop(options->budget, on_drop, f);
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
