#include "connection/peer.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "connection/frames.h"

#define PEER_REDIAL_MS 500 /* between attempts to dial a peer */

struct link {
	struct peer_net *net;
	struct link *next;
	struct frame_stream *stream;
	uint64_t incarnation; /* of the peer; 0 until its Hello */
	bool broken;	      /* its stream will be closed */
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
	struct frames *frames;
	struct link *links;
	struct target *targets;
	struct peer_counters counters;
	uint64_t incarnation; /* this entry's */
};

/* Links */

static struct link *link_new(struct peer_net *net, struct frame_stream *stream)
{
	struct link *link = talloc_zero(net, struct link);

	assert(link);
	link->net = net;
	link->stream = stream;
	frame_stream_set_data(stream, link);
	link->next = net->links;
	net->links = link;
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

static void link_break(struct link *link)
{
	link->broken = true;
	frame_stream_break(link->stream);
}

static void on_closed(void *arg, struct frame_stream *stream)
{
	struct peer_net *net = arg;
	struct link *link = frame_stream_data(stream);
	uint64_t incarnation = link->incarnation;
	struct link **p = &net->links;
	struct target *t;

	for (t = net->targets; t; t = t->next)
		if (t->link == link)
			t->link = NULL;
	while (*p != link)
		p = &(*p)->next;
	*p = link->next;
	talloc_free(link);
	if (incarnation && !link_find(net, incarnation))
		net->options.callbacks.down(net->options.callbacks.arg,
					    incarnation);
}

static void link_send(struct link *link, const Jackdawwell__PeerFrame *frame)
{
	uint8_t *to = frame_reserve(
		link->stream, jackdawwell__peer_frame__get_packed_size(frame));

	if (!to) {
		link->broken = true;
		return;
	}
	jackdawwell__peer_frame__pack(frame, to);
	frame_send(link->stream);
}

/* The Hello's keyed hash proves that the sender knows the fleet's secret. */

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

static bool handle_hello(struct link *link, const Jackdawwell__PeerFrame *frame)
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

static bool on_frame(void *arg, struct frame_stream *stream,
		     const uint8_t *data, size_t length)
{
	struct peer_net *net = arg;
	struct link *link = frame_stream_data(stream);
	Jackdawwell__PeerFrame *frame;
	bool valid = true;

	frame = jackdawwell__peer_frame__unpack(NULL, length, data);
	if (frame && !link->incarnation)
		valid = handle_hello(link, frame);
	else if (frame)
		net->options.callbacks.frame(net->options.callbacks.arg,
					     link->incarnation, frame);
	if (!frame || !valid)
		link->broken = true;
	if (frame)
		jackdawwell__peer_frame__free_unpacked(frame, NULL);
	return !link->broken;
}

/* Listening and dialing */

static void on_opened(void *arg, struct frame_stream *stream)
{
	send_hello(link_new(arg, stream));
}

static void dial(struct target *t, struct peer_net *net)
{
	struct frame_stream *stream = frames_dial(net->frames, t->address);

	if (!stream)
		return;
	t->link = link_new(net, stream);
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

struct peer_net *peer_net_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			      const struct peer_options *options)
{
	struct peer_net *net = talloc_zero(ctx, struct peer_net);
	struct frames_options frames = {
		.address = options->address,
		.frame_max = PEER_FRAME_MAX,
		.out_max = PEER_OUT_MAX,
		.opened = on_opened,
		.frame = on_frame,
		.closed = on_closed,
		.arg = net,
	};

	if (!net)
		return NULL;
	net->options = *options;
	net->ev = ev;
	net->frames = frames_new(net, ev, &frames);
	if (!net->frames) {
		talloc_free(net);
		return NULL;
	}
	return net;
}

void peer_identify(struct peer_net *net, uint64_t incarnation)
{
	net->incarnation = incarnation;
	frames_accept(net->frames);
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
	link_break(link);
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

const struct peer_counters *peer_counters(struct peer_net *net)
{
	const struct frames_counters *c = frames_counters(net->frames);

	net->counters = (struct peer_counters){
		.frames_in = c->frames_in,
		.frames_out = c->frames_out,
		.bytes_in = c->bytes_in,
		.bytes_out = c->bytes_out,
		.refused = c->refused,
	};
	return &net->counters;
}
