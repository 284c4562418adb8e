/*
 * httpc - HTTP client over libcurl's multi interface, driven by tevent
 *
 * One client belongs to one thread and one tevent context. Every HTTP request
 * of this process passes through httpc_start, which guarantees that a request
 * marked `once` is sent at most once, so that a caller's work is not run twice.
 * libcurl itself resends a request when a reused connection closes before the
 * first byte of an answer; the client's pre-request callback aborts this second
 * attempt.
 */
#ifndef HTTPC_H
#define HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct httpc;

enum httpc_status {
	HTTPC_OK,	 /* complete answer, checked by its framing */
	HTTPC_NOT_SENT,	 /* no byte of the request left this process */
	HTTPC_BROKEN,	 /* possibly sent; no complete answer */
	HTTPC_TIMEOUT,	 /* as HTTPC_BROKEN, after one of the timeouts */
	HTTPC_TOO_LARGE, /* sent; the answer exceeds answer_max */
};

struct httpc_buffer {
	char *data;
	size_t length;	 /* bytes in use */
	size_t capacity; /* bytes allocated */
};

struct httpc_answer {
	enum httpc_status status;
	long code;    /* HTTP status, 0 without an answer */
	bool refused; /* connection refused: no process listens */
	/* "Name: value\r\n" lines, without the status line */
	struct httpc_buffer headers;
	struct httpc_buffer body;
	const char *message; /* error text; valid in the callback */
};

typedef void (*httpc_done_fn)(void *arg, struct httpc_answer *answer);

struct httpc_request {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", NULL at the end */
	const void *body;	    /* must stay valid until done */
	size_t body_length;
	uint32_t timeout_ms;	     /* for the whole exchange */
	uint32_t connect_timeout_ms; /* for connecting alone */
	uint32_t stall_timeout_ms;   /* between received bytes; 0: none */
	size_t answer_max;	     /* bytes of body; 0: HTTPC_ANSWER_MAX */
	bool once;		     /* sent at most once */
	uint64_t send_before_us;     /* not sent after this time; 0: none */
	httpc_done_fn done;	     /* called once, never from httpc_start */
	void *arg;
};

#define HTTPC_ANSWER_MAX (16u << 20) /* bytes */

/*
 * httpc_new - a client on ev, owned by ctx; NULL when libcurl fails
 *
 * Up to about connections_max connections are kept open for reuse. At most
 * host_max connections to one host are open (0: no limit); further requests to
 * this host wait for a free connection.
 */
struct httpc *httpc_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			uint32_t connections_max, uint32_t host_max);

/*
 * httpc_start - send one request
 *
 * Method, URL and headers are copied. The answer's buffers belong to the
 * client and are valid during the callback; httpc_take takes ownership of one.
 */
void httpc_start(struct httpc *c, const struct httpc_request *request);

/* httpc_take - take a buffer's bytes; the caller frees them with free(3) */
char *httpc_take(struct httpc_buffer *buffer, size_t *length);

/* httpc_active - number of requests in flight */
uint32_t httpc_active(const struct httpc *c);

#endif
