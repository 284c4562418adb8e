/*
 * frames - length-prefixed messages over TCP streams
 *
 * Frames arrive whole and in order while a stream is open; pending frames are
 * lost when it breaks. A broken stream is closed from the event loop: `closed`
 * is called once, and its owner must not use the stream afterwards. frame_max
 * and out_max bound the memory that a malformed frame, or a peer that does not
 * read, can take up. With a budget, the accepted streams' buffers and number
 * are bounded together, and a stream that leaves a frame incomplete is broken.
 */
#ifndef FRAMES_H
#define FRAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "connection/budget.h"

struct frames;
struct frame_stream;

struct frames_options {
	const char *address; /* IP address and port to listen on; NULL: none */
	size_t frame_max;    /* bytes; a longer frame breaks its stream */
	size_t out_max;	     /* bytes queued; more breaks the stream */
	struct budget *budget; /* of accepted streams; NULL: no bounds */
	/* Called for each accepted stream. */
	void (*opened)(void *arg, struct frame_stream *stream);
	/* Called for each frame; false breaks the stream. */
	bool (*frame)(void *arg, struct frame_stream *stream,
		      const uint8_t *data, size_t length);
	void (*closed)(void *arg, struct frame_stream *stream);
	void *arg;
};

struct frames_counters {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t refused; /* streams broken by a too long or rejected frame */
};

/*
 * frames_new - bind the address; NULL when that fails
 *
 * Streams are accepted only after frames_accept.
 */
struct frames *frames_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			  const struct frames_options *options);
void frames_accept(struct frames *f);

/*
 * frames_dial - connect a stream to address; NULL when it fails at once
 *
 * A connection that fails later is closed like a broken stream.
 */
struct frame_stream *frames_dial(struct frames *f, const char *address);

/*
 * frame_reserve, frame_send - send one frame of length bytes
 *
 * The caller writes the bytes to the address that frame_reserve returns.
 * frame_reserve returns NULL when the stream is broken; it breaks the stream
 * when out_max would be exceeded.
 */
uint8_t *frame_reserve(struct frame_stream *stream, size_t length);
void frame_send(struct frame_stream *stream);

/* frame_stream_has_unread - whether the socket holds unread bytes */
bool frame_stream_has_unread(const struct frame_stream *stream);

/* frame_stream_break - close the stream from the event loop */
void frame_stream_break(struct frame_stream *stream);

/* The owner's data of a stream, initially NULL. */
void frame_stream_set_data(struct frame_stream *stream, void *data);
void *frame_stream_data(const struct frame_stream *stream);

const struct frames_counters *frames_counters(const struct frames *f);

#endif
