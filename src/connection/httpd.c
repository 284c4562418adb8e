#include "connection/httpd.h"

#include <arpa/inet.h>
#include <assert.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <linux/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/clock.h"
#include "process/mtimer.h"

#define HTTPD_BODY_BYTES 1024u /* initial capacity of a body */
/*
 * A larger body has a mapping of its own. Bodies that grow in the heap leave
 * gaps between the memory of connections, which are not given back.
 */
#define HTTPD_BODY_HEAP_BYTES 4096u
/*
 * libmicrohttpd keeps the headers twice in a connection's memory: as received,
 * and as a table. It gets no more than 32 KB from malloc(3): above that it
 * maps the memory of each connection.
 */
#define HTTPD_HEADER_COPIES 2u
#define HTTPD_CONNECTION_BYTES_MIN (8u << 10)
#define HTTPD_CONNECTIONS_MARGIN 16u /* being closed, above the limit */
/*
 * Smaller answers are sent without being counted: they fit into the socket's
 * buffer, and the caller learns the outcome of its request.
 */
#define HTTPD_ANSWER_FREE_BYTES 4096u
/*
 * A connection that gets an answer larger than the first gets the second as
 * the size of its socket's buffer, which grows to several MB otherwise: what
 * clients leave unread there is not counted.
 */
#define HTTPD_ANSWER_LARGE_BYTES (64u << 10)
#define HTTPD_SEND_BUFFER_BYTES (64 << 10)

/*
 * tevent runs immediates before timers, and timers before sockets: a server
 * that always has work would keep all others from theirs. After this much work
 * it pauses.
 */
#define HTTPD_WORK_US 5000u
#define HTTPD_PAUSE_MS 1u

struct httpd {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	struct mtimer *timer;
	struct mtimer *sweep;
	struct tevent_immediate *immediate; /* runs MHD_run again */
	struct MHD_Daemon *daemon;
	struct httpd_options options;
	struct budget *budget;
	uint32_t pending;
	uint64_t worked_us; /* since the last pause */
	bool paused;
	bool running;	/* inside MHD_run */
	bool run_again; /* a request was answered inside MHD_run */
	bool quiesced;	/* after httpd_stop_accepting */
};

struct exchange;

struct client {
	struct budget_client budget; /* first member */
	struct exchange *exchange;   /* the request under way, or NULL */
	int fd;
	bool counted; /* by the budget */
};

/* A request, from its first header to the end of its answer. */
struct exchange {
	struct httpd_request request; /* first member */
	struct client *client;
	struct MHD_Connection *connection;
	struct MHD_Response *response;
	char *path;
	char *query;
	size_t capacity;   /* bytes allocated for the body */
	size_t discarded;  /* bytes of the body that were not kept */
	unsigned int code; /* status of the answer */
	bool begun;	   /* its headers have arrived */
	bool keeps_no_body;
	bool dispatched; /* passed to the handler */
	bool abandoned;	 /* its connection is closed without an answer */
};

static void serve(struct httpd *s);

static const struct httpd_limits *limits_of(const struct httpd *s)
{
	return s->options.current_limits
		       ? s->options.current_limits(s->options.arg)
		       : &s->options.limits;
}

/* Refusals: the request was not passed to the handler. */

static const struct refusal {
	unsigned int code;
	enum budget_cause cause;
	const char *status;
	const char *text;
	const char *retry_after_s; /* NULL: the same request fails again */
} refusals[] = {
	{ MHD_HTTP_CONTENT_TOO_LARGE, BUDGET_REFUSED_BODY, "Content Too Large",
	  "{\"error\":\"request body too large\"}\n", NULL },
	{ MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, BUDGET_REFUSED_HEADERS,
	  "Request Header Fields Too Large",
	  "{\"error\":\"request headers too large\"}\n", NULL },
	{ MHD_HTTP_SERVICE_UNAVAILABLE, BUDGET_REFUSED_BYTES,
	  "Service Unavailable", "{\"error\":\"too many bodies at once\"}\n",
	  "1" },
};
#define REFUSED_BODY (&refusals[0])
#define REFUSED_HEADERS (&refusals[1])
#define REFUSED_BYTES (&refusals[2])

static struct MHD_Response *refusal_response(const struct refusal *r)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(r->text), (void *)r->text, MHD_RESPMEM_PERSISTENT);

	if (!response)
		return NULL;
	MHD_add_response_header(response, "Jackdawwell-Outcome", "not-run");
	MHD_add_response_header(response, "Content-Type", "application/json");
	MHD_add_response_header(response, "Connection", "close");
	if (r->retry_after_s)
		MHD_add_response_header(response, "Retry-After",
					r->retry_after_s);
	return response;
}

static bool is_mapped(size_t capacity)
{
	return capacity > HTTPD_BODY_HEAP_BYTES;
}

static void free_buffer(char *buffer, size_t capacity)
{
	if (is_mapped(capacity))
		munmap(buffer, capacity);
	else
		free(buffer);
}

/* Like realloc(3); keeps the first length bytes. */
static char *grow_buffer(char *buffer, size_t length, size_t old_capacity,
			 size_t capacity)
{
	char *grown;

	if (!is_mapped(capacity))
		return realloc(buffer, capacity);
	if (is_mapped(old_capacity)) {
		grown = mremap(buffer, old_capacity, capacity, MREMAP_MAYMOVE);
		return grown == MAP_FAILED ? NULL : grown;
	}
	grown = mmap(NULL, capacity, PROT_READ | PROT_WRITE,
		     MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
	if (grown == MAP_FAILED)
		return NULL;
	if (length)
		memcpy(grown, buffer, length);
	free(buffer);
	return grown;
}

static void free_body(struct exchange *x)
{
	free_buffer(x->request.body, x->capacity);
	x->request.body = NULL;
	x->request.body_length = 0;
	x->capacity = 0;
	budget_release(x->request.server->budget, &x->client->budget);
}

/* The rest of the body is discarded, and the answer sent after it. */
static void refuse(struct exchange *x, const struct refusal *r)
{
	struct httpd *s = x->request.server;

	free_body(x);
	x->keeps_no_body = true;
	x->code = r->code;
	x->response = refusal_response(r);
	x->abandoned = !x->response;
	budget_refused(s->budget, r->cause, clock_now_ms());
}

static enum MHD_Result send_response(struct exchange *x)
{
	budget_set_phase(x->request.server->budget, &x->client->budget,
			 BUDGET_ANSWER, clock_now_ms());
	return MHD_queue_response(x->connection, x->code, x->response);
}

/* Bodies */

static bool body_reserve(struct exchange *x, size_t length)
{
	struct httpd *s = x->request.server;
	size_t capacity = x->capacity ? x->capacity : HTTPD_BODY_BYTES;
	char *grown;

	while (capacity < length)
		capacity *= 2;
	if (capacity == x->capacity)
		return true;
	if (!budget_take(s->budget, &x->client->budget, capacity - x->capacity,
			 clock_now_ms()))
		return false;
	grown = grow_buffer(x->request.body, x->request.body_length,
			    x->capacity, capacity);
	if (!grown)
		return false;
	x->request.body = grown;
	x->capacity = capacity;
	return true;
}

static void body_add(struct exchange *x, const char *data, size_t length)
{
	struct httpd_request *r = &x->request;
	size_t max = limits_of(r->server)->body_max;

	if (x->keeps_no_body) {
		x->discarded += length;
		if (x->discarded > max)
			x->abandoned = true;
		return;
	}
	if (r->body_length + length > max) {
		refuse(x, REFUSED_BODY);
		return;
	}
	if (!body_reserve(x, r->body_length + length)) {
		refuse(x, REFUSED_BYTES);
		return;
	}
	memcpy(r->body + r->body_length, data, length);
	r->body_length += length;
}

/* Connections */

/*
 * Tells a client whose body is incomplete that its request was not run. The
 * library sends no answer before the end of a body, and has sent nothing yet.
 */
static void send_dropped(const struct client *c)
{
	const struct refusal *r = REFUSED_BYTES;
	char text[512];
	int length = snprintf(text, sizeof(text),
			      "HTTP/1.1 %u %s\r\n"
			      "Jackdawwell-Outcome: not-run\r\n"
			      "Content-Type: application/json\r\n"
			      "Connection: close\r\n"
			      "Retry-After: %s\r\n"
			      "Content-Length: %zu\r\n\r\n%s",
			      r->code, r->status, r->retry_after_s,
			      strlen(r->text), r->text);

	(void)!send(c->fd, text, (size_t)length, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* The library closes the connection when it reads the end of the stream. */
static void on_drop(void *arg, struct budget_client *budget_client)
{
	struct client *c = (struct client *)budget_client;

	(void)arg;
	if (c->exchange) {
		c->exchange->abandoned = true;
		if (budget_client->phase == BUDGET_BODY) {
			free_body(c->exchange);
			send_dropped(c);
		}
	}
	shutdown(c->fd, SHUT_RDWR);
}

static uint32_t address_of(struct MHD_Connection *con)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		con, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *in;

	if (!info || !info->client_addr ||
	    info->client_addr->sa_family != AF_INET)
		return 0;
	in = (const struct sockaddr_in *)(const void *)info->client_addr;
	return in->sin_addr.s_addr;
}

static void open_client(struct httpd *s, struct MHD_Connection *con,
			void **context)
{
	int fd = MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD)
			 ->connect_fd;
	struct client *c = calloc(1, sizeof(*c));

	*context = c;
	if (c) {
		c->fd = fd;
		c->counted = budget_open(s->budget, &c->budget, address_of(con),
					 clock_now_ms());
	}
	if (!c || !c->counted)
		shutdown(fd, SHUT_RDWR);
	else if (!mtimer_pending(s->sweep))
		mtimer_every(s->sweep, BUDGET_SWEEP_MS);
}

static void on_connection(void *arg, struct MHD_Connection *con, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct httpd *s = arg;
	struct client *c = *context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		open_client(s, con, context);
		return;
	}
	if (c && c->counted)
		budget_close(s->budget, &c->budget);
	free(c);
	*context = NULL;
}

static struct client *client_of(struct MHD_Connection *con)
{
	return MHD_get_connection_info(con, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

/* Whether the client has sent part of its first request. */
static bool has_received(const struct client *c)
{
	struct tcp_info info = { 0 };
	socklen_t length = sizeof(info);

	return !getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &length) &&
	       info.tcpi_bytes_received > 0;
}

static void on_sweep(void *arg)
{
	struct httpd *s = arg;
	const struct httpd_limits *l = limits_of(s);
	const uint32_t timeouts_ms[BUDGET_PHASES] = {
		[BUDGET_OPENED] = l->header_timeout_ms,
		[BUDGET_IDLE] = l->idle_timeout_ms,
		[BUDGET_HEADERS] = l->header_timeout_ms,
		[BUDGET_BODY] = l->idle_timeout_ms,
		[BUDGET_ANSWER] = l->idle_timeout_ms,
	};
	struct budget_client *c;
	uint64_t now;

	if (!budget_connections(s->budget)) {
		mtimer_clear(s->sweep);
		return;
	}
	if (!budget_sweep(s->budget, clock_now_ms()))
		return;
	serve(s);	      /* reads what has arrived in time */
	now = clock_now_ms(); /* phases may have begun while serving */
	while ((c = budget_expired(s->budget, timeouts_ms, now))) {
		if (c->phase == BUDGET_OPENED &&
		    !has_received((struct client *)c))
			budget_set_phase(s->budget, c, BUDGET_IDLE, now);
		else
			budget_drop(s->budget, c, BUDGET_DROPPED_TIMEOUT, now);
	}
}

/* libmicrohttpd's callbacks */

static void free_exchange(struct exchange *x)
{
	if (x->response)
		MHD_destroy_response(x->response);
	free_buffer(x->request.body, x->capacity);
	free(x->path);
	free(x->query);
	free(x);
}

static void *on_uri(void *arg, const char *uri, struct MHD_Connection *con)
{
	struct httpd *s = arg;
	struct client *c = client_of(con);
	struct exchange *x;
	const char *mark;

	if (!c || !c->counted || c->budget.dropped)
		return NULL;
	x = calloc(1, sizeof(*x));
	if (!x)
		return NULL;
	mark = strchr(uri, '?');
	x->request.server = s;
	x->request.internal = x;
	x->connection = con;
	x->path = mark ? strndup(uri, (size_t)(mark - uri)) : strdup(uri);
	x->query = strdup(mark ? mark + 1 : "");
	if (!x->path || !x->query) {
		free_exchange(x);
		return NULL;
	}
	x->request.path = x->path;
	x->request.query = x->query;
	x->client = c;
	c->exchange = x;
	budget_set_phase(s->budget, &c->budget, BUDGET_HEADERS, clock_now_ms());
	return x;
}

static enum MHD_Result dispatch(struct exchange *x)
{
	struct httpd *s = x->request.server;

	x->dispatched = true;
	s->pending++;
	budget_set_phase(s->budget, &x->client->budget, BUDGET_WORKING,
			 clock_now_ms());
	MHD_suspend_connection(x->connection);
	s->options.handler(s->options.arg, &x->request);
	return MHD_YES;
}

/* The size of a body that is announced; whether there is a body at all. */
static bool has_body(const struct exchange *x, size_t *announced)
{
	const char *length = MHD_lookup_connection_value(
		x->connection, MHD_HEADER_KIND, "Content-Length");

	*announced = length ? strtoull(length, NULL, 10) : 0;
	return *announced ||
	       MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND,
					   "Transfer-Encoding");
}

static size_t header_size(const struct exchange *x)
{
	return MHD_get_connection_info(x->connection,
				       MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
		->header_size;
}

static bool admit(struct exchange *x)
{
	struct httpd *s = x->request.server;

	return !s->options.admit ||
	       s->options.admit(s->options.arg, &x->request);
}

/*
 * Called once the headers have arrived. A refusal of what cannot be held is
 * sent at once; the connection is closed with it.
 */
static enum MHD_Result begin(struct exchange *x, const char *method)
{
	struct httpd *s = x->request.server;
	const struct httpd_limits *l = limits_of(s);
	uint64_t now = clock_now_ms();
	size_t announced;

	x->begun = true;
	x->request.method = method;
	if (l->header_max && header_size(x) > l->header_max)
		refuse(x, REFUSED_HEADERS);
	else if (!has_body(x, &announced))
		return MHD_YES;
	else if (announced > l->body_max)
		refuse(x, REFUSED_BODY);
	else if (!budget_has_room(s->budget, &x->client->budget, announced,
				  now))
		refuse(x, REFUSED_BYTES);
	if (x->abandoned)
		return MHD_NO;
	if (x->response)
		return send_response(x);
	budget_set_phase(s->budget, &x->client->budget, BUDGET_BODY, now);
	x->keeps_no_body = !admit(x);
	/* A client that waits for 100 Continue does not send its body. */
	if (x->response && MHD_lookup_connection_value(
				   x->connection, MHD_HEADER_KIND, "Expect")) {
		MHD_add_response_header(x->response, "Connection", "close");
		return send_response(x);
	}
	return MHD_YES;
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *con,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **state)
{
	struct exchange *x = *state;

	(void)arg;
	(void)con;
	(void)url;
	(void)version;
	if (!x || x->abandoned)
		return MHD_NO;
	if (!x->begun)
		return begin(x, method);
	if (*size) {
		body_add(x, data, *size);
		*size = 0;
		return x->abandoned ? MHD_NO : MHD_YES;
	}
	if (x->response)
		return send_response(x);
	return dispatch(x);
}

static void on_completed(void *arg, struct MHD_Connection *con, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct httpd *s = arg;
	struct exchange *x = *state;

	(void)con;
	(void)code;
	if (!x)
		return;
	if (x->dispatched)
		s->pending--;
	budget_release(s->budget, &x->client->budget);
	budget_set_phase(s->budget, &x->client->budget, BUDGET_IDLE,
			 clock_now_ms());
	x->client->exchange = NULL;
	free_exchange(x);
	*state = NULL;
}

/* Event loop */

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *arg)
{
	(void)ev;
	(void)fde;
	(void)flags;
	serve(arg);
}

static void on_timer(void *arg)
{
	struct httpd *s = arg;

	if (s->paused)
		tevent_fd_set_flags(s->fde, TEVENT_FD_READ);
	s->paused = false;
	serve(s);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im,
			 void *arg)
{
	struct httpd *s = arg;

	(void)ev;
	(void)im;
	if (!s->paused)
		serve(s);
}

static void schedule_run(struct httpd *s)
{
	if (!s->paused)
		tevent_schedule_immediate(s->immediate, s->ev, on_immediate, s);
}

static void pause_serving(struct httpd *s)
{
	s->worked_us = 0;
	s->paused = true;
	tevent_fd_set_flags(s->fde, 0);
	mtimer_set(s->timer, HTTPD_PAUSE_MS);
}

static void serve(struct httpd *s)
{
	MHD_UNSIGNED_LONG_LONG ms;
	uint64_t begun_us = clock_now_us();

	s->running = true;
	s->run_again = false;
	MHD_run(s->daemon);
	s->running = false;
	s->worked_us += clock_now_us() - begun_us;
	if (!s->paused && s->worked_us >= HTTPD_WORK_US)
		pause_serving(s);
	if (s->paused)
		return;
	if (s->run_again) {
		schedule_run(s);
		return;
	}
	if (MHD_get_timeout(s->daemon, &ms) != MHD_YES) {
		mtimer_clear(s->timer);
		return;
	}
	if (ms == 0)
		schedule_run(s);
	else if (!mtimer_pending(s->timer))
		mtimer_set(s->timer, ms);
}

static int httpd_destroy(struct httpd *s)
{
	TALLOC_FREE(s->fde);
	TALLOC_FREE(s->sweep);
	MHD_stop_daemon(s->daemon);
	return 0;
}

size_t httpd_connection_bytes(size_t header_max)
{
	size_t bytes = header_max * HTTPD_HEADER_COPIES;

	return bytes < HTTPD_CONNECTION_BYTES_MIN ? HTTPD_CONNECTION_BYTES_MIN
						  : bytes;
}

static struct budget *private_budget(struct httpd *s)
{
	struct budget_options options = {
		.bytes_max = SIZE_MAX,
		.connections_max = s->options.connections_max,
	};

	return budget_new(s, &options);
}

struct httpd *httpd_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			const struct httpd_options *options)
{
	struct httpd *s = talloc_zero(ctx, struct httpd);
	struct sockaddr_in address = { .sin_family = AF_INET };
	const union MHD_DaemonInfo *info;

	if (!s)
		return NULL;
	s->ev = ev;
	s->options = *options;
	s->immediate = tevent_create_immediate(s);
	s->timer = mtimer_new(s, ev, on_timer, s);
	s->sweep = mtimer_new(s, ev, on_sweep, s);
	s->budget = options->budget ? options->budget : private_budget(s);
	assert(s->immediate && s->timer && s->sweep && s->budget);
	budget_set_drop(s->budget, on_drop, s);
	address.sin_port = htons(options->port);
	if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1)
		goto fail;
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options->port, NULL,
		NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
		MHD_OPTION_CONNECTION_LIMIT,
		budget_connections_max(s->budget) + HTTPD_CONNECTIONS_MARGIN,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		httpd_connection_bytes(options->limits.header_max),
		MHD_OPTION_END);
	if (!s->daemon)
		goto fail;
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	s->fde = tevent_add_fd(ev, s, info->epoll_fd, TEVENT_FD_READ,
			       on_readable, s);
	assert(s->fde);
	talloc_set_destructor(s, httpd_destroy);
	return s;
fail:
	talloc_free(s);
	return NULL;
}

/* Requests */

const char *httpd_header(const struct httpd_request *request, const char *name)
{
	const struct exchange *x = request->internal;

	return MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND,
					   name);
}

struct header_visitor {
	void (*fn)(void *arg, const char *name, const char *value);
	void *arg;
};

static enum MHD_Result on_header(void *arg, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	struct header_visitor *visitor = arg;

	(void)kind;
	visitor->fn(visitor->arg, name, value ? value : "");
	return MHD_YES;
}

void httpd_for_each_header(const struct httpd_request *request,
			   void (*fn)(void *arg, const char *name,
				      const char *value),
			   void *arg)
{
	const struct exchange *x = request->internal;
	struct header_visitor visitor = { fn, arg };

	MHD_get_connection_values(x->connection, MHD_HEADER_KIND, on_header,
				  &visitor);
}

int httpd_descriptor(const struct httpd_request *request)
{
	const struct exchange *x = request->internal;

	return MHD_get_connection_info(x->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
}

bool httpd_hung_up(const struct httpd_request *request)
{
	char byte;

	return recv(httpd_descriptor(request), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) == 0;
}

static bool add_headers(struct MHD_Response *response, const char *lines,
			size_t length)
{
	char *copy = strndup(lines, length);
	char *save;
	char *line;

	if (!copy)
		return false;
	for (line = strtok_r(copy, "\r\n", &save); line;
	     line = strtok_r(NULL, "\r\n", &save)) {
		char *colon = strchr(line, ':');

		if (!colon)
			continue;
		*colon++ = '\0';
		colon += strspn(colon, " \t");
		MHD_add_response_header(response, line, colon);
	}
	free(copy);
	return true;
}

/* Takes the answer's body; false if the answer can't be held. */
static bool build_response(struct exchange *x, const struct httpd_answer *a)
{
	static const int send_buffer = HTTPD_SEND_BUFFER_BYTES;
	struct budget *b = x->request.server->budget;

	if (a->body_length > HTTPD_ANSWER_FREE_BYTES &&
	    !budget_take(b, &x->client->budget, a->body_length,
			 clock_now_ms())) {
		budget_refused(b, BUDGET_REFUSED_ANSWER, clock_now_ms());
		free(a->body);
		return false;
	}
	if (a->body_length > HTTPD_ANSWER_LARGE_BYTES)
		setsockopt(x->client->fd, SOL_SOCKET, SO_SNDBUF, &send_buffer,
			   sizeof(send_buffer));
	x->response = MHD_create_response_from_buffer(
		a->body_length, a->body,
		a->body ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
	if (!x->response) {
		free(a->body);
		return false;
	}
	return !a->headers ||
	       add_headers(x->response, a->headers, a->headers_length);
}

void httpd_answer(struct httpd_request *request,
		  const struct httpd_answer *answer)
{
	struct exchange *x = request->internal;
	struct httpd *s = request->server;

	assert(!x->response);
	x->code = answer->code;
	if (!build_response(x, answer))
		x->abandoned = true;
	if (!x->dispatched)
		return; /* of httpd_admit_fn: sent after the request's body */
	MHD_resume_connection(x->connection);
	if (s->running)
		s->run_again = true;
	else
		schedule_run(s);
}

void httpd_stop_accepting(struct httpd *s)
{
	if (s->quiesced)
		return;
	if (!s->running)
		serve(s); /* accepts the connections that are there */
	s->quiesced = true;
	/* An open listener would queue connections that nobody accepts. */
	close(MHD_quiesce_daemon(s->daemon));
}

uint32_t httpd_pending(const struct httpd *s)
{
	return s->pending;
}
