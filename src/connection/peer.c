#include "connection/peer.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/log.h"
#include "process/settings.h"

#define PEER_REDIAL_MS 500
#define PEER_READ_BYTES 65536u
#define PEER_PREFIX 4u /* bytes of a frame's length */
#define PEER_BACKLOG 64

struct buffer {
	uint8_t *data;
	size_t length;
	size_t room;
};

struct link {
	struct peer_net *net;
	struct link *next;
	struct tevent_fd *fde;
	uint64_t incarnation; /* 0 before its Hello */
	struct buffer in;
	struct buffer out;
	int fd;
	bool broken; /* to be closed from the loop */
};

/* A peer that this entry dials. */
struct target {
	struct target *next;
	uint64_t incarnation;
	char *address;
	struct link *link;
};

struct peer_net {
	struct peer_options options;
	struct tevent_context *ev;
	struct link *links;
	struct target *targets;
	struct peer_counters counters;
	uint64_t incarnation; /* this entry's */
	int listener;
};

static void link_event(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *arg);

/* Buffers */

static uint8_t *buffer_extend(TALLOC_CTX *ctx, struct buffer *b, size_t length)
{
	size_t room = b->room ? b->room : 4096;

	while (room < b->length + length)
		room *= 2;
	if (room != b->room) {
		b->data = talloc_realloc(ctx, b->data, uint8_t, room);
		assert(b->data);
		b->room = room;
	}
	return b->data + b->length;
}

static void buffer_drop(struct buffer *b, size_t length)
{
	if (!length)
		return;
	b->length -= length;
	memmove(b->data, b->data + length, b->length);
}

/* Links */

static int link_destroy(struct link *link)
{
	struct link **p = &link->net->links;

	while (*p && *p != link)
		p = &(*p)->next;
	if (*p)
		*p = link->next;
	TALLOC_FREE(link->fde);
	close(link->fd);
	return 0;
}

static struct link *link_new(struct peer_net *net, int fd)
{
	struct link *link = talloc_zero(net, struct link);
	int on = 1;

	assert(link);
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	link->net = net;
	link->fd = fd;
	link->fde = tevent_add_fd(net->ev, link, fd, TEVENT_FD_READ, link_event,
				  link);
	assert(link->fde);
	link->next = net->links;
	net->links = link;
	talloc_set_destructor(link, link_destroy);
	return link;
}

static struct link *link_find(struct peer_net *net, uint64_t incarnation)
{
	struct link *link;

	for (link = net->links; link; link = link->next)
		if (link->incarnation == incarnation && !link->broken)
			return link;
	return NULL;
}

static void link_close(struct link *link)
{
	struct peer_net *net = link->net;
	uint64_t incarnation = link->incarnation;
	struct target *t;

	for (t = net->targets; t; t = t->next)
		if (t->link == link)
			t->link = NULL;
	talloc_free(link);
	if (incarnation && !link_find(net, incarnation))
		net->options.callbacks.down(net->options.callbacks.arg,
					    incarnation);
}

static void link_flush(struct link *link)
{
	ssize_t n;

	while (link->out.length) {
		n = send(link->fd, link->out.data, link->out.length,
			 MSG_NOSIGNAL);
		if (n <= 0)
			break;
		link->net->counters.bytes_out += (uint64_t)n;
		buffer_drop(&link->out, (size_t)n);
	}
	if (link->out.length)
		tevent_fd_set_flags(link->fde,
				    TEVENT_FD_READ | TEVENT_FD_WRITE);
	else
		tevent_fd_set_flags(link->fde, TEVENT_FD_READ);
}

static void link_send(struct link *link, const Jackdawwell__PeerFrame *frame)
{
	size_t length = jackdawwell__peer_frame__get_packed_size(frame);
	uint32_t prefix = htonl((uint32_t)length);
	uint8_t *to;

	if (link->out.length + length > PEER_OUT_MAX) {
		link->broken = true;
		return;
	}
	to = buffer_extend(link, &link->out, PEER_PREFIX + length);
	memcpy(to, &prefix, PEER_PREFIX);
	jackdawwell__peer_frame__pack(frame, to + PEER_PREFIX);
	link->out.length += PEER_PREFIX + length;
	link->net->counters.frames_out++;
	link_flush(link);
}

/* Hello: a keyed hash shows that the sender knows the fleet's secret. */

#define PROOF_BYTES 32

static void make_proof(const struct peer_net *net, const char *name,
		       uint64_t incarnation, uint8_t *proof)
{
	crypto_generichash_state state;
	const char *secret = net->options.secret;
	uint8_t key[crypto_generichash_KEYBYTES];

	crypto_generichash(key, sizeof(key), (const uint8_t *)secret,
			   strlen(secret), NULL, 0);
	crypto_generichash_init(&state, key, sizeof(key), PROOF_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)name, strlen(name));
	crypto_generichash_update(&state, (const uint8_t *)&incarnation,
				  sizeof(incarnation));
	crypto_generichash_final(&state, proof, PROOF_BYTES);
}

static void send_hello(struct link *link)
{
	struct peer_net *net = link->net;
	Jackdawwell__PeerFrame frame = JACKDAWWELL__PEER_FRAME__INIT;
	Jackdawwell__Hello hello = JACKDAWWELL__HELLO__INIT;
	uint8_t proof[PROOF_BYTES];

	make_proof(net, net->options.name, net->incarnation, proof);
	hello.name = (char *)net->options.name;
	hello.incarnation = net->incarnation;
	hello.proof.data = proof;
	hello.proof.len = sizeof(proof);
	frame.body_case = JACKDAWWELL__PEER_FRAME__BODY_HELLO;
	frame.hello = &hello;
	link_send(link, &frame);
}

static bool take_hello(struct link *link, const Jackdawwell__PeerFrame *frame)
{
	uint8_t proof[PROOF_BYTES];
	const Jackdawwell__Hello *hello = frame->hello;

	if (frame->body_case != JACKDAWWELL__PEER_FRAME__BODY_HELLO ||
	    !hello->incarnation || hello->proof.len != sizeof(proof))
		return false;
	make_proof(link->net, hello->name, hello->incarnation, proof);
	if (sodium_memcmp(proof, hello->proof.data, sizeof(proof)))
		return false;
	link->incarnation = hello->incarnation;
	link->net->options.callbacks.up(link->net->options.callbacks.arg,
					hello->incarnation);
	return true;
}

/* Reading */

static bool take_frame(struct link *link, const uint8_t *data, size_t length)
{
	Jackdawwell__PeerFrame *frame;
	struct peer_net *net = link->net;
	bool good = true;

	frame = jackdawwell__peer_frame__unpack(NULL, length, data);
	if (!frame)
		return false;
	net->counters.frames_in++;
	if (!link->incarnation)
		good = take_hello(link, frame);
	else
		net->options.callbacks.frame(net->options.callbacks.arg,
					     link->incarnation, frame);
	jackdawwell__peer_frame__free_unpacked(frame, NULL);
	return good;
}

/* Handles every whole frame; false when the bytes make no sense. */
static bool take_frames(struct link *link)
{
	size_t at = 0;
	uint32_t length;

	while (link->in.length - at >= PEER_PREFIX) {
		memcpy(&length, link->in.data + at, PEER_PREFIX);
		length = ntohl(length);
		if (length > PEER_FRAME_MAX)
			return false;
		if (link->in.length - at < PEER_PREFIX + length)
			break;
		if (!take_frame(link, link->in.data + at + PEER_PREFIX, length))
			return false;
		at += PEER_PREFIX + length;
	}
	buffer_drop(&link->in, at);
	return true;
}

static void link_read(struct link *link)
{
	uint8_t *to = buffer_extend(link, &link->in, PEER_READ_BYTES);
	ssize_t n = recv(link->fd, to, PEER_READ_BYTES, 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
		link->broken = true;
		return;
	}
	if (n < 0)
		return;
	link->net->counters.bytes_in += (uint64_t)n;
	link->in.length += (size_t)n;
	if (take_frames(link))
		return;
	link->net->counters.refused++;
	link->broken = true;
}

static void link_event(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *arg)
{
	struct link *link = arg;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_WRITE)
		link_flush(link);
	if (flags & TEVENT_FD_READ)
		link_read(link);
	if (link->broken)
		link_close(link);
}

/* Listening and dialling */

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *arg)
{
	struct peer_net *net = arg;
	int fd = accept4(net->listener, NULL, NULL, SOCK_CLOEXEC);

	(void)ev;
	(void)fde;
	(void)flags;
	if (fd >= 0)
		send_hello(link_new(net, fd));
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

static void dial(struct target *t, struct peer_net *net)
{
	struct sockaddr_in address;
	int fd;

	if (!address_of(t->address, &address))
		return;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return;
	}
	t->link = link_new(net, fd);
	send_hello(t->link);
}

static void on_redial(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *arg);

static void redial_later(struct peer_net *net)
{
	struct tevent_timer *te = tevent_add_timer(
		net->ev, net,
		tevent_timeval_current_ofs(0, PEER_REDIAL_MS * 1000), on_redial,
		net);

	assert(te);
}

static void on_redial(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *arg)
{
	struct peer_net *net = arg;
	struct target *t;

	(void)ev;
	(void)te;
	(void)now;
	for (t = net->targets; t; t = t->next)
		if (!t->link && !link_find(net, t->incarnation))
			dial(t, net);
	redial_later(net);
}

static int net_destroy(struct peer_net *net)
{
	close(net->listener);
	return 0;
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
	    listen(fd, PEER_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

struct peer_net *peer_net_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			      const struct peer_options *options)
{
	struct peer_net *net = talloc_zero(ctx, struct peer_net);

	if (!net)
		return NULL;
	net->options = *options;
	net->ev = ev;
	net->listener = listen_on(options->address);
	if (net->listener < 0) {
		talloc_free(net);
		return NULL;
	}
	talloc_set_destructor(net, net_destroy);
	return net;
}

void peer_identify(struct peer_net *net, uint64_t incarnation)
{
	struct tevent_fd *fde;

	net->incarnation = incarnation;
	fde = tevent_add_fd(net->ev, net, net->listener, TEVENT_FD_READ,
			    on_accept, net);
	assert(fde);
	redial_later(net);
}

void peer_dial(struct peer_net *net, uint64_t incarnation, const char *address)
{
	struct target *t;

	for (t = net->targets; t; t = t->next)
		if (t->incarnation == incarnation)
			return;
	t = talloc_zero(net, struct target);
	assert(t);
	t->incarnation = incarnation;
	t->address = talloc_strdup(t, address);
	t->next = net->targets;
	net->targets = t;
	dial(t, net);
}

void peer_forget(struct peer_net *net, uint64_t incarnation)
{
	struct target **p = &net->targets;
	struct target *t;
	struct link *link;

	while (*p && (*p)->incarnation != incarnation)
		p = &(*p)->next;
	t = *p;
	if (t) {
		*p = t->next;
		talloc_free(t);
	}
	link = link_find(net, incarnation);
	if (!link)
		return;
	link->broken = true; /* closed by its own event */
	shutdown(link->fd, SHUT_RDWR);
}

bool peer_linked(struct peer_net *net, uint64_t incarnation)
{
	return link_find(net, incarnation) != NULL;
}

bool peer_send(struct peer_net *net, uint64_t incarnation,
	       const Jackdawwell__PeerFrame *frame)
{
	struct link *link = link_find(net, incarnation);

	if (!link)
		return false;
	link_send(link, frame);
	return true;
}

const struct peer_counters *peer_counters(const struct peer_net *net)
{
	return &net->counters;
}
