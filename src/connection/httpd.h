/*
 * httpd - HTTP server over libmicrohttpd, driven by tevent
 *
 * One server belongs to one thread and one tevent context; several servers
 * may listen on one port. The handler is called when the whole body has been
 * received. The request is then suspended until httpd_answer is called, from
 * the handler or later, in the server's thread.
 *
 * The sizes of headers and bodies, the time that a client takes for them, the
 * number of connections and the bytes held for all clients are limited. A
 * request that is refused for these limits (413, 431, 503) was not passed to
 * the handler, and its answer says so. An answer that cannot be held for a
 * client that reads slowly is not sent: the connection is closed.
 */
#ifndef HTTPD_H
#define HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "connection/budget.h"

struct httpd;

struct httpd_request {
	const char *method;
	const char *path;  /* without the query */
	const char *query; /* after the '?', "" without one */
	char *body;
	size_t body_length;
	void *user; /* for use by the handler */
	struct httpd *server;
	void *internal;
};

/*
 * Called for each complete request. The handler or a later event answers it
 * with httpd_answer, exactly once.
 */
typedef void (*httpd_handler_fn)(void *arg, struct httpd_request *request);

/*
 * Called when the headers of a request with a body have arrived. False: it has
 * called httpd_answer, and the body is not kept.
 */
typedef bool (*httpd_admit_fn)(void *arg, struct httpd_request *request);

struct httpd_limits {
	/* bytes; larger headers get status 431; 0: what 8 KB of memory hold */
	size_t header_max;
	size_t body_max; /* bytes; a larger body gets status 413 */
	uint32_t
		header_timeout_ms; /* until the headers have arrived; 0: none */
	/* Without a request, until the body has come or the answer is read */
	uint32_t idle_timeout_ms;
};

struct httpd_options {
	const char *address; /* IP address */
	uint16_t port;
	struct httpd_limits limits;
	/*
	 * The limits in force now, or NULL if they don't change. header_max
	 * never exceeds the one above.
	 */
	const struct httpd_limits *(*current_limits)(void *arg);
	/* Connections and bytes held; NULL: connections_max, no other bound */
	struct budget *budget;
	uint32_t connections_max;
	httpd_admit_fn admit; /* may be NULL */
	httpd_handler_fn handler;
	void *arg;
};

/* httpd_connection_bytes - memory of a connection with these headers */
size_t httpd_connection_bytes(size_t header_max);

/* httpd_new - start listening; NULL when the address cannot be bound */
struct httpd *httpd_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			const struct httpd_options *options);

/* httpd_header - value of a request header or NULL */
const char *httpd_header(const struct httpd_request *request, const char *name);

/* httpd_for_each_header - call fn for each request header in order */
void httpd_for_each_header(const struct httpd_request *request,
			   void (*fn)(void *arg, const char *name,
				      const char *value),
			   void *arg);

/*
 * httpd_hung_up - whether the caller has closed its end
 *
 * A half-closed connection counts as closed too.
 */
bool httpd_hung_up(const struct httpd_request *request);

/* httpd_descriptor - the connection's socket */
int httpd_descriptor(const struct httpd_request *request);

struct httpd_answer {
	unsigned int code;
	const char *headers; /* "Name: value\r\n" lines or NULL; copied */
	size_t headers_length;
	char *body; /* from malloc(3), owned by the server; may be NULL */
	size_t body_length;
};

/* httpd_answer - answer a request, which is freed once the answer is sent */
void httpd_answer(struct httpd_request *request,
		  const struct httpd_answer *answer);

/* httpd_stop_accepting - refuse new connections; open ones continue */
void httpd_stop_accepting(struct httpd *s);

/* httpd_pending - number of requests passed to the handler and not yet sent */
uint32_t httpd_pending(const struct httpd *s);

#endif
