/*
 * peer - links between entries: TCP, length-prefixed protobuf frames
 *
 * Frames arrive in order while a link is up; pending frames are lost when it
 * breaks. Both sides first send a Hello that proves knowledge of the fleet's
 * secret. Of two entries, the newer incarnation dials, and dials again when
 * the link breaks.
 */
#ifndef PEER_H
#define PEER_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "proto/peer.pb-c.h"

#define PEER_FRAME_MAX (4u << 20) /* bytes */
#define PEER_OUT_MAX (16u << 20)  /* bytes queued; more breaks the link */

struct peer_net;

struct peer_callbacks {
	/* A link is up: the peer's Hello was valid. */
	void (*up)(void *arg, uint64_t incarnation);
	/* The last link to the peer is closed. */
	void (*down)(void *arg, uint64_t incarnation);
	void (*frame)(void *arg, uint64_t incarnation,
		      const Jackdawwell__PeerFrame *frame);
	void *arg;
};

struct peer_options {
	const char *address; /* IP address and port to listen on */
	const char *name;    /* of this entry */
	const char *secret;  /* of the fleet, the same for all entries */
	struct peer_callbacks callbacks;
};

struct peer_counters {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t refused; /* connections with an invalid frame or proof */
};

/*
 * peer_net_new - bind the address; NULL when that fails
 *
 * No link is made before peer_identify, so that the address is bound before
 * the incarnation is registered.
 */
struct peer_net *peer_net_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			      const struct peer_options *options);

/* peer_identify - start to accept and dial as this incarnation */
void peer_identify(struct peer_net *net, uint64_t incarnation);

/* peer_dial - keep a link to an older incarnation at address */
void peer_dial(struct peer_net *net, uint64_t incarnation, const char *address);

/* peer_forget - close the link and stop dialing */
void peer_forget(struct peer_net *net, uint64_t incarnation);

/* peer_linked - whether there is a link */
bool peer_linked(struct peer_net *net, uint64_t incarnation);

/* peer_send - queue a frame; false when there is no link */
bool peer_send(struct peer_net *net, uint64_t incarnation,
	       const Jackdawwell__PeerFrame *frame);

const struct peer_counters *peer_counters(struct peer_net *net);

#endif
