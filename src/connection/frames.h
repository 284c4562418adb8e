/*
 * frames - length-prefixed messages over TCP streams
 *
 * Frames arrive whole and in order while a stream is up, and are lost when it
 * breaks. A stream that broke is closed from the event loop: its owner hears
 * of it by `closed`, once, and must not use it afterwards.
 */
#ifndef FRAMES_H
#define FRAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct frames;
struct frame_stream;

struct frames_options {
	const char *address; /* IP number and port to listen on; NULL: none */
	size_t frame_max;    /* bytes; a longer frame breaks its stream */
	size_t out_max;	     /* bytes queued before a stream breaks */
	/* A stream was accepted. */
	void (*opened)(void *arg, struct frame_stream *stream);
	/* False breaks the stream. */
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
	uint64_t refused; /* streams with bytes that make no sense */
};

/*
 * frames_new - hold the address; NULL when it cannot be bound
 *
 * Streams are accepted only after frames_accept.
 */
struct frames *frames_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			  const struct frames_options *options);
void frames_accept(struct frames *f);

/* frames_dial - a stream to address; NULL when it fails at once */
struct frame_stream *frames_dial(struct frames *f, const char *address);

/*
 * frame_room, frame_send - fill length bytes, then send them as one frame
 *
 * frame_room returns NULL when too much waits already; the stream then breaks.
 */
uint8_t *frame_room(struct frame_stream *stream, size_t length);
void frame_send(struct frame_stream *stream);

/* frame_stream_waits - whether bytes from the peer wait to be read */
bool frame_stream_waits(const struct frame_stream *stream);

/* frame_stream_break - close it from the event loop */
void frame_stream_break(struct frame_stream *stream);

/* The owner's data of a stream, NULL at first. */
void frame_stream_set(struct frame_stream *stream, void *data);
void *frame_stream_data(const struct frame_stream *stream);

const struct frames_counters *frames_counters(const struct frames *f);

#endif
