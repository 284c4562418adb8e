#include "connection/httpd.h"

#include <arpa/inet.h>
#include <assert.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/mtimer.h"

#define HTTPD_BODY_BYTES 1024u		  /* initial capacity of a body */
#define HTTPD_CONNECTION_BYTES (8u << 10) /* limits the headers */

struct httpd {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	struct mtimer *timer;
	struct tevent_immediate *immediate; /* runs MHD_run again */
	struct MHD_Daemon *daemon;
	struct httpd_options options;
	uint32_t pending;
	bool running;	 /* inside MHD_run */
	bool run_again;	 /* a request was answered inside MHD_run */
	int quiesced_fd; /* listener after httpd_stop_accepting, or -1 */
};

/* A request, from its first header to the end of its answer. */
struct exchange {
	struct httpd_request request; /* first member */
	struct MHD_Connection *connection;
	struct MHD_Response *response;
	char *path;
	char *query;
	size_t capacity;   /* bytes allocated for the body */
	unsigned int code; /* status of the answer */
	bool too_large;
	bool dispatched; /* passed to the handler */
};

static void serve(struct httpd *s);

/* Bodies */

static bool body_add(struct exchange *x, const char *data, size_t length)
{
	struct httpd_request *r = &x->request;
	size_t capacity = x->capacity ? x->capacity : HTTPD_BODY_BYTES;
	char *grown;

	if (r->body_length + length > r->server->options.body_max)
		return false;
	while (capacity < r->body_length + length)
		capacity *= 2;
	if (capacity != x->capacity) {
		grown = realloc(r->body, capacity);
		if (!grown)
			return false;
		r->body = grown;
		x->capacity = capacity;
	}
	memcpy(r->body + r->body_length, data, length);
	r->body_length += length;
	return true;
}

/* libmicrohttpd's callbacks */

static void *on_uri(void *arg, const char *uri, struct MHD_Connection *con)
{
	struct exchange *x = calloc(1, sizeof(*x));
	const char *mark;

	assert(x);
	mark = strchr(uri, '?');
	x->request.server = arg;
	x->request.internal = x;
	x->connection = con;
	x->path = mark ? strndup(uri, (size_t)(mark - uri)) : strdup(uri);
	x->query = strdup(mark ? mark + 1 : "");
	assert(x->path && x->query);
	x->request.path = x->path;
	x->request.query = x->query;
	return x;
}

static enum MHD_Result send_too_large(struct exchange *x)
{
	static const char text[] = "{\"error\":\"request body too large\"}\n";
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(
		sizeof(text) - 1, (void *)text, MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(response, "Jackdawwell-Outcome", "not-run");
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(x->connection, MHD_HTTP_CONTENT_TOO_LARGE,
				    response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result dispatch(struct exchange *x, const char *method)
{
	struct httpd *s = x->request.server;

	if (x->too_large)
		return send_too_large(x);
	x->dispatched = true;
	x->request.method = method;
	s->pending++;
	MHD_suspend_connection(x->connection);
	s->options.handler(s->options.arg, &x->request);
	return MHD_YES;
}

static bool declared_too_large(const struct exchange *x)
{
	const char *value = MHD_lookup_connection_value(
		x->connection, MHD_HEADER_KIND, "Content-Length");

	return value &&
	       strtoull(value, NULL, 10) > x->request.server->options.body_max;
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
	if (x->response)
		return MHD_queue_response(con, x->code, x->response);
	if (!x->request.method) {
		x->request.method = method;
		x->too_large = declared_too_large(x);
		return x->too_large ? send_too_large(x) : MHD_YES;
	}
	if (*size) {
		if (!x->too_large && !body_add(x, data, *size))
			x->too_large = true;
		*size = 0;
		return MHD_YES;
	}
	return dispatch(x, method);
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
	if (x->response)
		MHD_destroy_response(x->response);
	free(x->request.body);
	free(x->path);
	free(x->query);
	free(x);
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
	serve(arg);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im,
			 void *arg)
{
	(void)ev;
	(void)im;
	serve(arg);
}

static void schedule_run(struct httpd *s)
{
	tevent_schedule_immediate(s->immediate, s->ev, on_immediate, s);
}

static void serve(struct httpd *s)
{
	MHD_UNSIGNED_LONG_LONG ms;

	s->running = true;
	s->run_again = false;
	MHD_run(s->daemon);
	s->running = false;
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
	MHD_stop_daemon(s->daemon);
	if (s->quiesced_fd >= 0)
		close(s->quiesced_fd);
	return 0;
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
	s->quiesced_fd = -1;
	s->immediate = tevent_create_immediate(s);
	s->timer = mtimer_new(s, ev, on_timer, s);
	assert(s->immediate && s->timer);
	address.sin_port = htons(options->port);
	if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1)
		goto fail;
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options->port, NULL,
		NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
		MHD_OPTION_CONNECTION_LIMIT, options->connections_max,
		MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HTTPD_CONNECTION_BYTES, MHD_OPTION_END);
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

static void add_headers(struct MHD_Response *response, const char *lines,
			size_t length)
{
	char *copy = strndup(lines, length);
	char *save;
	char *line;

	assert(copy);
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
}

void httpd_answer(struct httpd_request *request,
		  const struct httpd_answer *answer)
{
	struct exchange *x = request->internal;
	struct httpd *s = request->server;

	assert(!x->response);
	x->code = answer->code;
	x->response = MHD_create_response_from_buffer(
		answer->body_length, answer->body,
		answer->body ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
	assert(x->response);
	if (answer->headers)
		add_headers(x->response, answer->headers,
			    answer->headers_length);
	MHD_resume_connection(x->connection);
	if (s->running)
		s->run_again = true;
	else
		schedule_run(s);
}

void httpd_stop_accepting(struct httpd *s)
{
	if (s->quiesced_fd < 0)
		s->quiesced_fd = MHD_quiesce_daemon(s->daemon);
}

uint32_t httpd_pending(const struct httpd *s)
{
	return s->pending;
}
