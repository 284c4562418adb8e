#include "entry/front_internal.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "process/clock.h"

#define FRONT_SEND_TIMEOUT_MS 1000    /* from a job's start to the first byte */
#define FRONT_CONNECT_TIMEOUT_MS 1000 /* to connect to a worker */
#define FRONT_URL_MAX 8192	      /* bytes */

__thread struct front *front_in_core;

/* Answers to callers */

void front_send_text(struct front *f, struct httpd_request *http,
		     unsigned int code, enum outcome outcome,
		     const char *reason)
{
	struct httpd_answer answer = { .code = code };
	char headers[128];
	char *body;

	atomic_fetch_add(&f->outcomes[outcome], 1);
	answer.headers_length =
		(size_t)snprintf(headers, sizeof(headers),
				 "Jackdawwell-Outcome: %s\r\nContent-Type: "
				 "application/json\r\n",
				 outcome_name(outcome));
	answer.headers = headers;
	if (asprintf(&body, "{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
		     outcome_name(outcome), reason) < 0)
		abort();
	answer.body = body;
	answer.body_length = strlen(body);
	httpd_answer(http, &answer);
}

void front_request_free(struct request *r)
{
	uint32_t i;

	for (i = 0; i < r->header_count; i++)
		free((char *)r->headers[i]);
	atomic_fetch_sub(&r->front->pending, 1);
	free(r);
}

static void finish(struct request *r, const struct outcome_input *input)
{
	struct outcome_answer a = outcome_of(input);

	front_send_text(r->front, r->http, a.code, a.outcome, a.reason);
	front_request_free(r);
}

void front_finish_refused(struct request *r, enum job_refusal refusal)
{
	struct outcome_input input = { .refused = true, .refusal = refusal };

	input.may_have_run = r->job.may_have_run;
	finish(r, &input);
}

/* Whether a header is not forwarded: hop-by-hop ones and this system's own. */
static bool is_hop_header(const char *name, size_t length)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Transfer-Encoding",
		"Content-Length",
		"Upgrade",
		"TE",
		"Trailer",
		"Host",
		"Expect",
		"Authorization",
		"Jackdawwell-Outcome",
		"Jackdawwell-Not-Run",
		"Jackdawwell-Lease-Ms",
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strlen(names[i]) == length &&
		    !strncasecmp(names[i], name, length))
			return true;
	return false;
}

/* Removes all but the end-to-end headers of a worker's answer, in place. */
static size_t filter_headers(char *headers, size_t length)
{
	size_t kept = 0;
	size_t at = 0;

	while (at < length) {
		char *line = headers + at;
		char *end = memchr(line, '\n', length - at);
		size_t n = end ? (size_t)(end - line) + 1 : length - at;
		char *colon = memchr(line, ':', n);

		if (colon && !is_hop_header(line, (size_t)(colon - line))) {
			memmove(headers + kept, line, n);
			kept += n;
		}
		at += n;
	}
	return kept;
}

static void forward_answer(struct request *r, struct httpc_answer *http)
{
	static const char outcome[] = "Jackdawwell-Outcome: answered\r\n";
	struct front *f = r->front;
	struct httpd_answer answer = { .code = (unsigned int)http->code };
	size_t kept = filter_headers(http->headers.data, http->headers.length);
	char *headers = malloc(kept + sizeof(outcome));

	assert(headers);
	memcpy(headers, outcome, sizeof(outcome) - 1);
	if (kept)
		memcpy(headers + sizeof(outcome) - 1, http->headers.data, kept);
	answer.headers = headers;
	answer.headers_length = sizeof(outcome) - 1 + kept;
	answer.body = httpc_take(&http->body, &answer.body_length);
	atomic_fetch_add(&f->outcomes[OUTCOME_ANSWERED], 1);
	httpd_answer(r->http, &answer);
	free(headers);
	front_request_free(r);
}

/* Workers */

static bool reports_not_run(const struct httpc_answer *http)
{
	static const char name[] = "\nJackdawwell-Not-Run:";

	if (http->code != 503 || !http->headers.data)
		return false;
	if (!strncasecmp(http->headers.data, name + 1, sizeof(name) - 2))
		return true;
	return memmem(http->headers.data, http->headers.length, name,
		      sizeof(name) - 1) != NULL;
}

static enum job_result attempt_result(const struct httpc_answer *http)
{
	switch (http->status) {
	case HTTPC_NOT_SENT:
		return JOB_NOT_SENT;
	case HTTPC_OK:
		if (reports_not_run(http))
			return JOB_NOT_RUN;
		return http->code >= 500 ? JOB_FAILED : JOB_ENDED;
	default:
		return JOB_POSSIBLY_RUNNING;
	}
}

enum core_next front_end_attempt(struct request *r, enum job_result result)
{
	struct entry *e = r->front->entry;
	enum core_next next;

	front_in_core = r->front;
	pthread_mutex_lock(&e->core_lock);
	next = core_end_attempt(e->core, &r->job, result, clock_now_ms());
	pthread_mutex_unlock(&e->core_lock);
	front_in_core = NULL;
	return next;
}

static void on_answer(void *arg, struct httpc_answer *http)
{
	struct request *r = arg;
	struct front *f = r->front;
	enum job_result result = attempt_result(http);
	struct outcome_input input = { .result = result };

	input.timed_out = http->status == HTTPC_TIMEOUT;
	if (front_end_attempt(r, result) == CORE_FINISHED) {
		input.may_have_run = r->job.may_have_run;
		if (outcome_of(&input).outcome == OUTCOME_ANSWERED)
			forward_answer(r, http);
		else
			finish(r, &input);
	}
	front_process_messages(f);
}

static void add_header(void *arg, const char *name, const char *value)
{
	struct request *r = arg;
	char *line;

	if (r->header_count >= FRONT_HEADERS_MAX - 1 ||
	    is_hop_header(name, strlen(name)))
		return;
	/* For libcurl a final ';' means a header with an empty value. */
	if (asprintf(&line, *value ? "%s: %s" : "%s;", name, value) < 0)
		abort();
	r->headers[r->header_count++] = line;
}

static void add_lease(struct request *r)
{
	char text[16];
	char *line;

	snprintf(text, sizeof(text), "%" PRIu32, r->job.run_max_ms);
	if (asprintf(&line, "Jackdawwell-Lease-Ms: %s", text) < 0)
		abort();
	r->headers[r->header_count++] = line;
}

void front_send_to_worker(struct request *r)
{
	struct front *f = r->front;
	struct httpd_request *http = r->http;
	char url[FRONT_URL_MAX];
	struct httpc_request out = {
		.method = http->method,
		.url = url,
		.headers = r->headers,
		.body = http->body,
		.body_length = http->body_length,
		.timeout_ms = r->job.run_max_ms + FRONT_CONNECT_TIMEOUT_MS,
		.connect_timeout_ms = FRONT_CONNECT_TIMEOUT_MS,
		.once = !r->job.idempotent,
		.send_before_us =
			(r->job.started_ms + FRONT_SEND_TIMEOUT_MS) * 1000,
		.done = on_answer,
		.arg = r,
	};
	const char *mark = *http->query ? "?" : "";

	if (!r->header_count) {
		httpd_for_each_header(http, add_header, r);
		add_lease(r);
	}
	snprintf(url, sizeof(url), "http://%s/%s%s%s%s",
		 f->cfg->instances[r->job.instance.i].address, r->job.queue,
		 r->path_suffix, mark, http->query);
	httpc_start(f->client, &out);
}
