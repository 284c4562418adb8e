/*
 * worker - stand-in for an upstream worker
 *
 * Answers each request after its run time and records what ran. Headers of a
 * request select the behavior, so that one worker serves all tests:
 *	X-Hold-Ms	run time; the default is set by --hold
 *	X-Behave	fail: status 500; refuse: status 503, not run
 *			reset: closes the connection without an answer
 *			never: does not answer while the test runs
 *			truncate, chunkcut: an incomplete body
 *			unframed, badlength: no length, an invalid length
 *			chunked, big: a chunked body, a body of 8 MiB
 * A POST to /control changes the whole worker: {"fail": true} answers 500,
 * {"hold_ms": N} sets the default run time. GET /record lists how often each
 * request id was run, and [id, start, end] of each run in milliseconds of the
 * machine's monotonic clock; end is 0 while it runs.
 */
#include <argtable2.h>
#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "process/clock.h"
#include "process/log.h"
#include "standin/serve.h"

#define BIG_BYTES (8u << 20)
#define NEVER_ANSWER_MS 600000u /* longer than any test runs */

struct state {
	struct tevent_context *ev;
	json_t *runs;	   /* id -> number of runs */
	json_t *intervals; /* [id, start, end] */
	uint32_t running;
	uint64_t total;
	uint64_t last_start_ms;
	uint32_t hold_ms;
	bool fail;
	bool record; /* false: only the totals are counted */
};

struct run {
	struct state *state;
	struct httpd_request *request;
	const char *behavior;
	json_t *interval; /* borrowed; NULL when not recorded */
};

static const char *header(const struct httpd_request *r, const char *name)
{
	const char *value = httpd_header(r, name);

	return value ? value : "";
}

static void answer_text(struct httpd_request *r, unsigned int code,
			const char *headers, const char *text)
{
	struct httpd_answer answer = { .code = code, .headers = headers };

	answer.headers_length = headers ? strlen(headers) : 0;
	answer.body = strdup(text);
	answer.body_length = strlen(text);
	httpd_answer(r, &answer);
}

/* Echoes the request's body, so that callers can check that it is whole. */
static void answer_echo(struct httpd_request *r)
{
	struct httpd_answer answer = { .code = 200 };

	answer.headers = "X-Worker: echo\r\n";
	answer.headers_length = strlen(answer.headers);
	answer.body = malloc(r->body_length + 1);
	assert(answer.body);
	if (r->body_length)
		memcpy(answer.body, r->body, r->body_length);
	answer.body_length = r->body_length;
	httpd_answer(r, &answer);
}

static void answer_big(struct httpd_request *r)
{
	struct httpd_answer answer = { .code = 200 };

	answer.body = malloc(BIG_BYTES);
	assert(answer.body);
	memset(answer.body, 'b', BIG_BYTES);
	answer.body_length = BIG_BYTES;
	httpd_answer(r, &answer);
}

/* Writes raw bytes, bypassing the HTTP server, and closes the connection. */
static void send_raw_and_close(struct httpd_request *r, const char *raw)
{
	int fd = httpd_descriptor(r);

	if (*raw && write(fd, raw, strlen(raw)) < 0)
		log_write(LOG_WARN, "worker", "cannot write a raw answer");
	shutdown(fd, SHUT_RDWR);
	answer_text(r, 200, NULL, "");
}

static void finish_run(void *arg)
{
	struct run *run = arg;
	struct state *s = run->state;
	struct httpd_request *r = run->request;
	const char *b = run->behavior;

	s->running--;
	if (run->interval)
		json_array_set_new(run->interval, 2,
				   json_integer((json_int_t)clock_now_ms()));
	if (s->fail || !strcmp(b, "fail"))
		answer_text(r, 500, NULL, "failed\n");
	else if (!strcmp(b, "reset"))
		send_raw_and_close(r, "");
	else if (!strcmp(b, "truncate"))
		send_raw_and_close(
			r,
			"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort");
	else if (!strcmp(b, "badlength"))
		send_raw_and_close(
			r, "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nx");
	else if (!strcmp(b, "unframed"))
		send_raw_and_close(r, "HTTP/1.1 200 OK\r\n\r\nwhole or not");
	else if (!strcmp(b, "chunkcut"))
		send_raw_and_close(
			r,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			"5\r\nhello\r\n");
	else if (!strcmp(b, "chunked"))
		send_raw_and_close(
			r,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			"5\r\nhello\r\n0\r\n\r\n");
	else if (!strcmp(b, "big"))
		answer_big(r);
	else
		answer_echo(r);
	talloc_free(run);
}

static void count_run(struct state *s, struct run *run)
{
	const char *id = header(run->request, "X-Request-Id");
	json_t *times = json_object_get(s->runs, id);

	s->total++;
	s->running++;
	s->last_start_ms = clock_now_ms();
	if (!*id || !s->record)
		return;
	json_object_set_new(s->runs, id,
			    json_integer(json_integer_value(times) + 1));
	run->interval = json_pack("[s,I,I]", id, (json_int_t)s->last_start_ms,
				  (json_int_t)0);
	json_array_append_new(s->intervals, run->interval);
}

static void start_run(struct state *s, struct httpd_request *r)
{
	struct run *run = talloc_zero(s, struct run);
	const char *hold = header(r, "X-Hold-Ms");
	uint32_t ms = *hold ? (uint32_t)atoi(hold) : s->hold_ms;

	run->state = s;
	run->request = r;
	count_run(s, run);
	run->behavior = header(r, "X-Behave");
	if (!strcmp(run->behavior, "never"))
		ms = NEVER_ANSWER_MS;
	if (!ms) {
		finish_run(run);
		return;
	}
	serve_after(run, s->ev, ms, finish_run, run);
}

static void serve_control(struct state *s, struct httpd_request *r)
{
	json_t *c = json_loadb(r->body ? r->body : "{}",
			       r->body ? r->body_length : 2, 0, NULL);
	json_t *v;

	if ((v = json_object_get(c, "fail")))
		s->fail = json_is_true(v);
	if ((v = json_object_get(c, "hold_ms")))
		s->hold_ms = (uint32_t)json_integer_value(v);
	json_decref(c);
	answer_text(r, 200, NULL, "{}");
}

static void serve_record(struct state *s, struct httpd_request *r)
{
	json_t *body =
		json_pack("{s:O, s:O, s:i, s:I, s:I}", "runs", s->runs,
			  "intervals", s->intervals, "running", (int)s->running,
			  "total", (json_int_t)s->total, "idle_ms",
			  (json_int_t)(clock_now_ms() - s->last_start_ms));
	char *text = json_dumps(body, JSON_COMPACT);

	answer_text(r, 200, NULL, text);
	free(text);
	json_decref(body);
}

static void on_request(void *arg, struct httpd_request *r)
{
	struct state *s = arg;

	if (!strcmp(r->path, "/control"))
		serve_control(s, r);
	else if (!strcmp(r->path, "/record"))
		serve_record(s, r);
	else if (!strcmp(header(r, "X-Behave"), "refuse"))
		answer_text(r, 503, "Jackdawwell-Not-Run: 1\r\n", "full\n");
	else
		start_run(s, r);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1("p", "port", "PORT", "listen here");
	struct arg_int *hold = arg_int0(NULL, "hold", "MS", "run time");
	struct arg_lit *no_record = arg_lit0(
		NULL, "no-record", "record no request ids and intervals");
	struct arg_end *end = arg_end(4);
	void *arg_table[] = { port, hold, no_record, end };
	struct state *s = talloc_zero(NULL, struct state);

	hold->ival[0] = 0;
	if (arg_parse(argc, argv, arg_table)) {
		arg_print_errors(stderr, end, "worker");
		return 2;
	}
	s->ev = tevent_context_init(s);
	s->runs = json_object();
	s->intervals = json_array();
	s->hold_ms = (uint32_t)hold->ival[0];
	s->record = !no_record->count;
	if (!serve_listen(s, s->ev, "worker", port->ival[0], on_request, s))
		return 1;
	return tevent_loop_wait(s->ev);
}
