/*
 * platform_http - the platform's services over HTTP and JSON
 *
 * An installation with other formats replaces only this file.
 */
#include "process/platform.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "connection/httpc.h"
#include "process/clock.h"

#define PLATFORM_CONNECTIONS 4u		 /* kept open for reuse */
#define PLATFORM_URL_MAX 512		 /* bytes */
#define PLATFORM_ANSWER_MAX (256u << 20) /* bytes; a scan returns all rows */
/* Headers of a request and its answer, approximately; for counters.bytes. */
#define PLATFORM_HEADER_BYTES 250

struct platform {
	struct httpc *http;
	const char *url;
	struct platform_counters counters;
};

struct call {
	struct platform *platform;
	platform_fn fn;
	void *arg;
	char *body;
	uint64_t started_ms;
};

/* Transactions */

json_t *platform_txn(void)
{
	json_t *txn =
		json_pack("{s:[], s:[], s:[]}", "compare", "put", "delete");

	assert(txn);
	return txn;
}

void platform_compare(json_t *txn, const char *key, uint64_t version)
{
	json_array_append_new(json_object_get(txn, "compare"),
			      json_pack("{s:s, s:I}", "key", key, "version",
					(json_int_t)version));
}

void platform_put(json_t *txn, const char *key, json_t *value)
{
	json_array_append_new(
		json_object_get(txn, "put"),
		json_pack("{s:s, s:o}", "key", key, "value", value));
}

void platform_delete(json_t *txn, const char *key)
{
	json_array_append_new(json_object_get(txn, "delete"), json_string(key));
}

/* Calls */

static enum platform_status call_status(const struct httpc_answer *http,
					const json_t *value)
{
	switch (http->status) {
	case HTTPC_NOT_SENT:
		return PLATFORM_NOT_SENT;
	case HTTPC_OK:
		break;
	default:
		return PLATFORM_UNKNOWN;
	}
	if (http->code == 409)
		return PLATFORM_CONFLICT;
	if (http->code == 404)
		return PLATFORM_ABSENT;
	if (http->code != 200 || !value)
		return PLATFORM_UNKNOWN;
	return PLATFORM_OK;
}

static void on_done(void *arg, struct httpc_answer *http)
{
	struct call *call = arg;
	json_t *root = json_loadb(http->body.data ? http->body.data : "",
				  http->body.length, JSON_DECODE_ANY, NULL);
	struct platform_answer answer = {
		.status = call_status(http, root),
		.started_ms = call->started_ms,
		.message = http->message,
	};

	call->platform->counters.bytes += http->body.length;
	answer.revision =
		(uint64_t)json_integer_value(json_object_get(root, "revision"));
	answer.value = json_object_get(root, "value");
	call->fn(call->arg, &answer);
	json_decref(root);
	free(call->body);
	talloc_free(call);
}

static void start_call(struct platform *p, const char *method, const char *path,
		       char *body, platform_fn fn, void *arg)
{
	static const char *const json_headers[] = {
		"Content-Type: application/json", NULL
	};
	struct call *call = talloc_zero(p, struct call);
	char url[PLATFORM_URL_MAX];
	struct httpc_request request = {
		.method = method,
		.url = url,
		.headers = body ? json_headers : NULL,
		.body = body,
		.body_length = body ? strlen(body) : 0,
		.timeout_ms = PLATFORM_TIMEOUT_MS,
		.connect_timeout_ms = PLATFORM_TIMEOUT_MS,
		.answer_max = PLATFORM_ANSWER_MAX,
		.once = body != NULL, /* writes */
		.done = on_done,
		.arg = call,
	};

	assert(call);
	call->platform = p;
	call->fn = fn;
	call->arg = arg;
	call->body = body;
	call->started_ms = clock_now_ms();
	snprintf(url, sizeof(url), "%s%s", p->url, path);
	p->counters.bytes += request.body_length + PLATFORM_HEADER_BYTES;
	httpc_start(p->http, &request);
}

struct platform *platform_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			      const char *url)
{
	struct platform *p = talloc_zero(ctx, struct platform);

	if (!p)
		return NULL;
	p->http = httpc_new(p, ev, PLATFORM_CONNECTIONS, 0);
	p->url = talloc_strdup(p, url);
	if (!p->http || !p->url)
		TALLOC_FREE(p);
	return p;
}

void platform_commit(struct platform *p, const json_t *txn, platform_fn fn,
		     void *arg)
{
	p->counters.writes++;
	start_call(p, "POST", "/txn", json_dumps(txn, JSON_COMPACT), fn, arg);
}

void platform_scan(struct platform *p, const char *prefix, uint64_t after,
		   platform_fn fn, void *arg)
{
	char path[PLATFORM_URL_MAX];

	p->counters.reads++;
	snprintf(path, sizeof(path), "/rows?prefix=%s&after=%" PRIu64, prefix,
		 after);
	start_call(p, "GET", path, NULL, fn, arg);
}

void platform_put_object(struct platform *p, const char *name,
			 const json_t *value, platform_fn fn, void *arg)
{
	char path[PLATFORM_URL_MAX];

	p->counters.writes++;
	snprintf(path, sizeof(path), "/objects/%s", name);
	start_call(p, "PUT", path,
		   json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY), fn, arg);
}

void platform_get_object(struct platform *p, const char *name, platform_fn fn,
			 void *arg)
{
	char path[PLATFORM_URL_MAX];

	p->counters.reads++;
	snprintf(path, sizeof(path), "/objects/%s", name);
	start_call(p, "GET", path, NULL, fn, arg);
}

void platform_reboot(struct platform *p, const char *instance, uint32_t boots,
		     platform_fn fn, void *arg)
{
	char path[PLATFORM_URL_MAX];
	json_t *body = json_pack("{s:I}", "boots", (json_int_t)boots);

	p->counters.writes++;
	snprintf(path, sizeof(path), "/reboot/%s", instance);
	start_call(p, "POST", path, json_dumps(body, JSON_COMPACT), fn, arg);
	json_decref(body);
}

void platform_instances(struct platform *p, platform_fn fn, void *arg)
{
	p->counters.reads++;
	start_call(p, "GET", "/instances", NULL, fn, arg);
}

const struct platform_counters *platform_counters(const struct platform *p)
{
	return &p->counters;
}
