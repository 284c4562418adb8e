#include "connection/httpc.h"

#include <assert.h>
#include <errno.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>
#include <xxhash.h>

#include "process/clock.h"
#include "process/mtimer.h"

#define HTTPC_BUFFER_BYTES 1024u      /* initial capacity of a buffer */
#define HTTPC_BUFFER_KEEP_BYTES 4096u /* larger ones aren't reused */
#define HTTPC_HEADERS_MAX (64u << 10) /* bytes of one answer's headers */
#define HTTPC_WATCHES_EXTRA 64	      /* spare entries of a grown table */
#define HTTPC_READ_BYTES 16384L	      /* maximum of one recv(2) */
#define HTTPC_IDLE_HANDLES 256u	      /* easy handles kept for reuse */
/*
 * libcurl iterates over all connections of a multi handle when a request ends.
 * Hosts are distributed over several handles, so that each has few connections.
 */
#define HTTPC_SHARDS 16u

struct httpc;

/* A multi handle, which serves some of the hosts. */
struct shard {
	struct httpc *client;
	CURLM *multi;
	struct tevent_immediate *immediate; /* runs a libcurl timeout of zero */
	uint64_t due_ms; /* libcurl's next timeout; 0: none */
};

struct exchange {
	struct httpc *client;
	struct shard *shard; /* runs the request */
	struct exchange *next_idle;
	struct exchange *prev, *next; /* of the in_flight list */
	CURL *easy;
	struct curl_slist *headers;
	char error[CURL_ERROR_SIZE];
	size_t body_length;
	size_t answer_max;
	uint64_t send_before_us;
	uint64_t progress_ms; /* time of the last byte, or of the start */
	uint32_t stall_timeout_ms;
	uint32_t attempts; /* to send, allowed by on_prerequest */
	bool once;
	bool framed; /* has Content-Length or Transfer-Encoding */
	bool too_large;
	bool late; /* not sent: send_before_us had passed */
	bool head; /* the method is HEAD */
	httpc_done_fn done;
	void *arg;
	struct httpc_answer answer;
};

struct watch;

struct httpc {
	struct tevent_context *ev;
	struct mtimer *timer;  /* shared by all shards */
	uint64_t timer_due_ms; /* when the timer fires; 0: not set */
	struct shard shards[HTTPC_SHARDS];
	struct exchange *idle;
	struct exchange *in_flight;
	struct watch **watches; /* indexed by descriptor */
	int watch_capacity;
	uint32_t idle_count;
	uint32_t active;
};

/* Answer buffers */

static bool buffer_add(struct httpc_buffer *b, const char *data, size_t length)
{
	size_t capacity = b->capacity ? b->capacity : HTTPC_BUFFER_BYTES;
	char *grown;

	while (capacity < b->length + length)
		capacity *= 2;
	if (capacity != b->capacity) {
		grown = realloc(b->data, capacity);
		if (!grown)
			return false;
		b->data = grown;
		b->capacity = capacity;
	}
	memcpy(b->data + b->length, data, length);
	b->length += length;
	return true;
}

/* Empties a buffer; its memory is kept unless it is large. */
static struct httpc_buffer buffer_recycle(struct httpc_buffer *b)
{
	struct httpc_buffer kept = { b->data, 0, b->capacity };

	if (b->capacity <= HTTPC_BUFFER_KEEP_BYTES)
		return kept;
	free(b->data);
	return (struct httpc_buffer){ 0 };
}

char *httpc_take(struct httpc_buffer *buffer, size_t *length)
{
	char *data = buffer->data;

	*length = buffer->length;
	memset(buffer, 0, sizeof(*buffer));
	return data;
}

static int on_close(void *arg, curl_socket_t fd);

/* libcurl's callbacks for one exchange */

static int on_prerequest(void *arg, char *remote, char *local, int rport,
			 int lport)
{
	struct exchange *x = arg;

	(void)remote;
	(void)local;
	(void)rport;
	(void)lport;
	if (x->once && x->attempts)
		return CURL_PREREQFUNC_ABORT;
	if (x->send_before_us && clock_now_us() > x->send_before_us) {
		x->late = true;
		return CURL_PREREQFUNC_ABORT;
	}
	x->attempts++;
	return CURL_PREREQFUNC_OK;
}

static size_t on_write(char *data, size_t size, size_t count, void *arg)
{
	struct exchange *x = arg;

	x->progress_ms = clock_now_ms();
	if (x->answer.body.length + size * count > x->answer_max) {
		x->too_large = true;
		return 0;
	}
	return buffer_add(&x->answer.body, data, size * count) ? size * count
							       : 0;
}

static bool header_is(const char *line, size_t length, const char *name)
{
	size_t n = strlen(name);

	return length > n && !strncasecmp(line, name, n) && line[n] == ':';
}

static size_t on_header(char *line, size_t size, size_t count, void *arg)
{
	struct exchange *x = arg;
	size_t length = size * count;

	x->progress_ms = clock_now_ms();
	if (length >= 5 && !memcmp(line, "HTTP/", 5)) {
		/* Any headers so far were those of an interim answer. */
		x->answer.headers.length = 0;
		x->framed = false;
		return length;
	}
	if (length <= 2)
		return length;
	if (x->answer.headers.length + length > HTTPC_HEADERS_MAX) {
		x->too_large = true;
		return 0;
	}
	if (header_is(line, length, "Content-Length") ||
	    header_is(line, length, "Transfer-Encoding"))
		x->framed = true;
	return buffer_add(&x->answer.headers, line, length) ? length : 0;
}

/* Exchanges, reused with their easy handles */

/* Clears the request; the easy handle keeps the options that never change. */
static void exchange_reset(struct exchange *x)
{
	CURL *easy = x->easy;
	struct httpc *client = x->client;

	struct httpc_buffer headers = buffer_recycle(&x->answer.headers);
	struct httpc_buffer body = buffer_recycle(&x->answer.body);

	curl_slist_free_all(x->headers);
	memset(x, 0, sizeof(*x));
	x->easy = easy;
	x->client = client;
	x->answer.headers = headers;
	x->answer.body = body;
}

static void exchange_free(struct exchange *x)
{
	curl_slist_free_all(x->headers);
	free(x->answer.headers.data);
	free(x->answer.body.data);
	curl_easy_cleanup(x->easy);
	free(x);
}

static void set_fixed_options(struct exchange *x)
{
	CURL *e = x->easy;

	curl_easy_setopt(e, CURLOPT_PRIVATE, x);
	curl_easy_setopt(e, CURLOPT_ERRORBUFFER, x->error);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prerequest);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, x->client);
	/* Hosts are IP addresses; libcurl would scan the cache each time. */
	curl_easy_setopt(e, CURLOPT_DNS_CACHE_TIMEOUT, 0L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, HTTPC_READ_BYTES);
}

static struct exchange *exchange_get(struct httpc *c)
{
	struct exchange *x = c->idle;

	if (x) {
		c->idle = x->next_idle;
		c->idle_count--;
		x->next_idle = NULL;
		return x;
	}
	x = calloc(1, sizeof(*x));
	assert(x);
	x->easy = curl_easy_init();
	assert(x->easy);
	x->client = c;
	set_fixed_options(x);
	return x;
}

static void exchange_release(struct exchange *x)
{
	struct httpc *c = x->client;

	if (c->idle_count >= HTTPC_IDLE_HANDLES) {
		exchange_free(x);
		return;
	}
	exchange_reset(x);
	x->next_idle = c->idle;
	c->idle = x;
	c->idle_count++;
}

static bool answer_has_no_body(const struct exchange *x, long code)
{
	return x->head || code == 204 || code == 304;
}

static enum httpc_status exchange_status(struct exchange *x, CURLcode code)
{
	if (!x->attempts)
		return HTTPC_NOT_SENT;
	if (x->too_large)
		return HTTPC_TOO_LARGE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return HTTPC_TIMEOUT;
	if (code != CURLE_OK)
		return HTTPC_BROKEN;
	if (!x->framed && !answer_has_no_body(x, x->answer.code)) {
		snprintf(x->error, sizeof(x->error),
			 "answer without a length: cannot tell whether it is "
			 "complete");
		return HTTPC_BROKEN;
	}
	return HTTPC_OK;
}

/* The remote machine reports that no process listens on the port. */
static bool connection_refused(struct exchange *x, CURLcode code)
{
	long os_error = 0;

	if (code != CURLE_COULDNT_CONNECT)
		return false;
	curl_easy_getinfo(x->easy, CURLINFO_OS_ERRNO, &os_error);
	return os_error == ECONNREFUSED;
}

static void exchange_finish(struct exchange *x, CURLcode code)
{
	struct httpc *c = x->client;

	curl_multi_remove_handle(x->shard->multi, x->easy);
	DL_DELETE(c->in_flight, x);
	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &x->answer.code);
	x->answer.status = exchange_status(x, code);
	x->answer.refused = connection_refused(x, code);
	if (x->late)
		x->answer.message =
			"not sent: its deadline for sending had passed";
	else if (x->error[0])
		x->answer.message = x->error;
	else
		x->answer.message = curl_easy_strerror(code);
	c->active--;
	x->done(x->arg, &x->answer);
	exchange_release(x);
}

static void finish_completed(struct shard *s)
{
	struct CURLMsg *msg;
	struct exchange *x;
	int left;

	while ((msg = curl_multi_info_read(s->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&x);
		exchange_finish(x, msg->data.result);
	}
}

/* Sockets and timer */

/*
 * A socket stays watched for reading between two requests, which saves the
 * system calls that remove and add it; libcurl closes it through on_close. A
 * socket that never connected is closed by libcurl before it calls on_watch
 * with CURL_POLL_REMOVE, and the event loop must not hold a closed descriptor.
 * So a duplicate is watched until libcurl polls for reading only, which shows
 * that the socket is connected.
 */
struct watch {
	struct shard *shard;
	struct tevent_fd *fde;
	curl_socket_t fd;
	int duplicate; /* of fd, watched instead; -1: none */
	bool unused;   /* libcurl does not poll it now */
};

static int watch_destroy(struct watch *w)
{
	TALLOC_FREE(w->fde);
	if (w->duplicate >= 0)
		close(w->duplicate);
	return 0;
}

static void on_socket(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *arg)
{
	struct watch *w = arg;
	struct shard *s = w->shard;
	curl_socket_t fd = w->fd;
	int mask = 0;
	int running;

	(void)ev;
	if (w->unused) {
		tevent_fd_set_flags(fde, 0);
		return;
	}
	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(s->multi, fd, mask, &running);
	finish_completed(s);
}

static struct watch *watch_of(struct httpc *c, curl_socket_t fd)
{
	return fd < c->watch_capacity ? c->watches[fd] : NULL;
}

static struct watch *watch_new(struct shard *s, curl_socket_t fd)
{
	struct httpc *c = s->client;
	struct watch *w = talloc_zero(c, struct watch);
	int capacity = c->watch_capacity;

	assert(w);
	w->shard = s;
	w->fd = fd;
	w->duplicate = -1;
	talloc_set_destructor(w, watch_destroy);
	if (fd >= capacity) {
		c->watch_capacity = fd * 2 + HTTPC_WATCHES_EXTRA;
		c->watches = talloc_realloc(c, c->watches, struct watch *,
					    c->watch_capacity);
		assert(c->watches);
		memset(c->watches + capacity, 0,
		       (size_t)(c->watch_capacity - capacity) *
			       sizeof(*c->watches));
	}
	c->watches[fd] = w;
	return w;
}

static void watch_remove(struct httpc *c, struct watch *w)
{
	c->watches[w->fd] = NULL;
	talloc_free(w);
}

static void watch_set_flags(struct watch *w, struct tevent_context *ev,
			    uint16_t flags, bool connected)
{
	if (connected && w->duplicate >= 0) {
		TALLOC_FREE(w->fde);
		close(w->duplicate);
		w->duplicate = -1;
	}
	if (!w->fde) {
		if (!connected)
			w->duplicate = fcntl(w->fd, F_DUPFD_CLOEXEC, 0);
		w->fde = tevent_add_fd(ev, w,
				       w->duplicate >= 0 ? w->duplicate : w->fd,
				       flags, on_socket, w);
		assert(w->fde);
	} else if (tevent_fd_get_flags(w->fde) != flags) {
		tevent_fd_set_flags(w->fde, flags);
	}
}

static int on_watch(CURL *easy, curl_socket_t fd, int what, void *arg,
		    void *unused)
{
	struct shard *s = arg;
	struct httpc *c = s->client;
	struct watch *w = watch_of(c, fd);
	uint16_t flags = 0;

	(void)easy;
	(void)unused;
	if (what == CURL_POLL_REMOVE) {
		if (w && w->duplicate >= 0)
			watch_remove(c, w);
		else if (w)
			w->unused = true;
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (!w)
		w = watch_new(s, fd);
	w->unused = false;
	watch_set_flags(w, c->ev, flags, what == CURL_POLL_IN);
	return 0;
}

/*
 * Makes close(2) reset the connection. Otherwise the system, and whoever
 * forwards its packets, go on delivering a request after it was given up, for
 * instance when a cut ends. A connection with a whole answer has nothing left
 * to deliver.
 */
static void reset_on_close(int fd)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

static int on_close(void *arg, curl_socket_t fd)
{
	struct httpc *c = arg;
	struct watch *w = watch_of(c, fd);

	if (w)
		watch_remove(c, w);
	reset_on_close(fd);
	return close(fd);
}

static void shard_run_timeout(struct shard *s)
{
	int running;

	s->due_ms = 0;
	curl_multi_socket_action(s->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed(s);
}

/*
 * Makes the timer fire at due_ms or earlier: a timer that is already set for
 * an earlier time stays, since firing early is cheaper than resetting it.
 */
static void timer_set_by(struct httpc *c, uint64_t due_ms, uint64_t now)
{
	if (c->timer_due_ms && c->timer_due_ms <= due_ms)
		return;
	c->timer_due_ms = due_ms;
	mtimer_set(c->timer, due_ms > now ? due_ms - now : 1);
}

static void end_stalled(struct httpc *c, uint64_t now)
{
	struct exchange *x, *next;

	for (x = c->in_flight; x; x = next) {
		uint64_t due_ms;

		next = x->next;
		if (!x->stall_timeout_ms)
			continue;
		due_ms = x->progress_ms + x->stall_timeout_ms;
		if (due_ms > now) {
			timer_set_by(c, due_ms, now);
			continue;
		}
		snprintf(x->error, sizeof(x->error),
			 "no byte of the answer for %u ms",
			 x->stall_timeout_ms);
		exchange_finish(x, CURLE_OPERATION_TIMEDOUT);
	}
}

static void on_timer(void *arg)
{
	struct httpc *c = arg;
	uint64_t now = clock_now_ms();
	uint32_t i;

	c->timer_due_ms = 0;
	end_stalled(c, now);
	for (i = 0; i < HTTPC_SHARDS; i++)
		if (c->shards[i].due_ms && c->shards[i].due_ms <= now)
			shard_run_timeout(&c->shards[i]);
	for (i = 0; i < HTTPC_SHARDS; i++)
		if (c->shards[i].due_ms)
			timer_set_by(c, c->shards[i].due_ms, now);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im,
			 void *arg)
{
	(void)ev;
	(void)im;
	shard_run_timeout(arg);
}

static int on_timeout_change(CURLM *multi, long ms, void *arg)
{
	struct shard *s = arg;
	uint64_t now = clock_now_ms();

	(void)multi;
	s->due_ms = 0;
	if (ms < 0)
		return 0;
	if (ms == 0) {
		tevent_schedule_immediate(s->immediate, s->client->ev,
					  on_immediate, s);
		return 0;
	}
	s->due_ms = now + (uint64_t)ms;
	timer_set_by(s->client, s->due_ms, now);
	return 0;
}

static int httpc_destroy(struct httpc *c)
{
	struct exchange *x;
	uint32_t i;

	/* The owner freed the client: done is not called. */
	while ((x = c->in_flight)) {
		DL_DELETE(c->in_flight, x);
		curl_multi_remove_handle(x->shard->multi, x->easy);
		exchange_free(x);
	}
	while ((x = c->idle)) {
		c->idle = x->next_idle;
		exchange_free(x);
	}
	for (i = 0; i < HTTPC_SHARDS; i++)
		curl_multi_cleanup(c->shards[i].multi);
	return 0;
}

static bool shard_open(struct httpc *c, struct shard *s,
		       uint32_t connections_max, uint32_t host_max)
{
	s->client = c;
	s->immediate = tevent_create_immediate(c);
	s->multi = curl_multi_init();
	if (!s->immediate || !s->multi)
		return false;
	curl_multi_setopt(s->multi, CURLMOPT_SOCKETFUNCTION, on_watch);
	curl_multi_setopt(s->multi, CURLMOPT_SOCKETDATA, s);
	curl_multi_setopt(s->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(s->multi, CURLMOPT_TIMERDATA, s);
	curl_multi_setopt(s->multi, CURLMOPT_MAXCONNECTS,
			  (long)connections_max);
	curl_multi_setopt(s->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)host_max);
	return true;
}

struct httpc *httpc_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			uint32_t connections_max, uint32_t host_max)
{
	struct httpc *c = talloc_zero(ctx, struct httpc);
	uint32_t i;

	if (!c)
		return NULL;
	c->ev = ev;
	c->timer = mtimer_new(c, ev, on_timer, c);
	talloc_set_destructor(c, httpc_destroy);
	if (!c->timer)
		goto failed;
	for (i = 0; i < HTTPC_SHARDS; i++)
		if (!shard_open(c, &c->shards[i],
				connections_max / HTTPC_SHARDS + 1, host_max))
			goto failed;
	return c;
failed:
	talloc_free(c);
	return NULL;
}

/* Chosen by host and port, so that requests to a host share connections. */
static struct shard *shard_of(struct httpc *c, const char *url)
{
	const char *host = strstr(url, "://");
	size_t length;

	host = host ? host + 3 : url;
	length = strcspn(host, "/");
	return &c->shards[XXH64(host, length, 0) % HTTPC_SHARDS];
}

static void set_headers(struct exchange *x, const char *const *headers)
{
	/* An empty value removes a header that libcurl adds by itself. */
	x->headers = curl_slist_append(NULL, "Expect:");
	if (!x->body_length)
		x->headers = curl_slist_append(x->headers, "Content-Type:");
	for (; headers && *headers; headers++)
		x->headers = curl_slist_append(x->headers, *headers);
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
}

static void set_method(struct exchange *x, const struct httpc_request *r)
{
	CURL *e = x->easy;

	x->head = !strcmp(r->method, "HEAD");
	curl_easy_setopt(e, CURLOPT_NOBODY, (long)x->head);
	if (x->head)
		return;
	if (r->body_length || !strcmp(r->method, "POST")) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)r->body_length);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS,
				 r->body_length ? r->body : "");
	} else {
		curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, r->method);
}

void httpc_start(struct httpc *c, const struct httpc_request *r)
{
	struct exchange *x = exchange_get(c);
	CURL *e = x->easy;

	x->body_length = r->body_length;
	x->answer_max = r->answer_max ? r->answer_max : HTTPC_ANSWER_MAX;
	x->once = r->once;
	x->send_before_us = r->send_before_us;
	x->stall_timeout_ms = r->stall_timeout_ms;
	x->progress_ms = clock_now_ms();
	x->done = r->done;
	x->arg = r->arg;
	set_method(x, r);
	set_headers(x, r->headers);
	curl_easy_setopt(e, CURLOPT_URL, r->url);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)r->timeout_ms);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)r->connect_timeout_ms);
	x->shard = shard_of(c, r->url);
	c->active++;
	DL_APPEND(c->in_flight, x);
	curl_multi_add_handle(x->shard->multi, e);
	if (x->stall_timeout_ms)
		timer_set_by(c, x->progress_ms + x->stall_timeout_ms,
			     x->progress_ms);
}

uint32_t httpc_active(const struct httpc *c)
{
	return c->active;
}
