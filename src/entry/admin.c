/*
 * admin - administration API
 *
 *	GET  /v1/status		this entry's state
 *	GET  /v1/config		{"version", "config"}
 *	POST /v1/config		{"base", "id", "change"}
 *	POST /v1/keys		{"base", "id", "name", "team"}
 *	GET  /metrics, /healthz, /readyz	without credentials
 */
#include <assert.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry/entry_internal.h"
#include "process/clock.h"

#define ADMIN_BODY_MAX (64u << 20) /* bytes */
#define ADMIN_CONNECTIONS_MAX 256
#define ADMIN_IDLE_TIMEOUT_MS 60000u
#define ADMIN_ERROR_MAX (JSON_ERROR_TEXT_LENGTH + 64) /* bytes */

struct change_request {
	struct entry *entry;
	struct httpd_request *http;
	char key[KEY_TEXT_MAX]; /* key issued by this change, else "" */
};

static void send_body(struct httpd_request *http, unsigned int code,
		      const char *type, char *body, size_t length)
{
	struct httpd_answer answer = { .code = code,
				       .body = body,
				       .body_length = length };
	char headers[64];

	answer.headers_length = (size_t)snprintf(headers, sizeof(headers),
						 "Content-Type: %s\r\n", type);
	answer.headers = headers;
	httpd_answer(http, &answer);
}

/* Takes over body. */
static void send_json(struct httpd_request *http, unsigned int code,
		      json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(body);
	send_body(http, code, "application/json", text, strlen(text));
}

static void send_error(struct httpd_request *http, unsigned int code,
		       const char *text)
{
	send_json(http, code, json_pack("{s:s}", "error", text));
}

/* Authentication */

static bool tokens_equal(const char *a, const char *b)
{
	return strlen(a) == strlen(b) && !sodium_memcmp(a, b, strlen(a));
}

static const char *authenticate(const struct entry *e,
				const struct httpd_request *http)
{
	const char *value = httpd_header(http, "Authorization");
	const struct settings *s = e->settings;
	uint32_t i;

	if (!value || strncasecmp(value, "Bearer ", 7))
		return NULL;
	for (i = 0; i < s->operators_count; i++)
		if (tokens_equal(s->operators[i].token, value + 7))
			return s->operators[i].name;
	return NULL;
}

/* Status */

static json_t *member_status(const struct entry *e, const struct member *m)
{
	static const char *const states[] = { "joining", "full", "dead" };

	return json_pack("{s:s, s:s, s:s, s:I, s:b}", "name", m->name, "zone",
			 m->zone, "state", states[m->state], "incarnation",
			 (json_int_t)m->incarnation, "self",
			 m->incarnation == e->incarnation);
}

static json_t *domain_status(const struct ledger_domain_view *view)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:b}", "limit",
			 (json_int_t)view->total, "held",
			 (json_int_t)view->held, "running",
			 (json_int_t)view->running, "free",
			 (json_int_t)view->free, "closed", (int)view->closed);
}

static json_t *ledger_status(struct entry *e)
{
	struct ledger *l = core_ledger(e->core);
	json_t *domains = json_object();
	struct ledger_domain_view view;
	domain_handle d;

	for (d.i = 0; d.i < ledger_domain_count(l); d.i++) {
		ledger_view(l, d, &view);
		json_object_set_new(domains, ledger_domain_name(l, d),
				    domain_status(&view));
	}
	return domains;
}

static json_t *traffic_status(const struct entry *e)
{
	const struct platform_counters *p = platform_counters(e->platform);
	const struct peer_counters *n = peer_counters(e->net);

	return json_pack("{s:I, s:I, s:I, s:I, s:I}", "store_reads",
			 (json_int_t)p->reads, "store_writes",
			 (json_int_t)p->writes, "store_bytes",
			 (json_int_t)p->bytes, "peer_bytes_in",
			 (json_int_t)n->bytes_in, "peer_bytes_out",
			 (json_int_t)n->bytes_out);
}

static void on_status(struct entry *e, struct httpd_request *http)
{
	static const char *const states[] = { "starting", "serving", "notice",
					      "draining", "gone" };
	json_t *members = json_array();
	uint64_t until = freshness_until(&e->freshness, &e->members,
					 e->incarnation, e->cfg->version);
	json_t *body;
	uint32_t i;

	for (i = 0; i < e->members.count; i++)
		json_array_append_new(members,
				      member_status(e, &e->members.list[i]));
	body = json_pack("{s:s, s:s, s:s, s:I, s:I, s:b, s:o, s:o}", "name",
			 e->settings->name, "zone", e->settings->zone, "state",
			 states[entry_state(e)], "incarnation",
			 (json_int_t)e->incarnation, "version",
			 (json_int_t)e->cfg->version, "fresh",
			 until > clock_now_ms(), "entries", members, "traffic",
			 traffic_status(e));
	pthread_mutex_lock(&e->core_lock);
	if (e->core) {
		json_object_set_new(body, "units", ledger_status(e));
		json_object_set_new(body, "waiting",
				    json_integer(core_waiting(e->core)));
	}
	pthread_mutex_unlock(&e->core_lock);
	send_json(http, 200, body);
}

static void on_metrics(struct entry *e, struct httpd_request *http)
{
	const struct platform_counters *p = platform_counters(e->platform);
	char *text = NULL;
	size_t length = 0;
	FILE *out = open_memstream(&text, &length);

	assert(out);
	front_print_metrics(e, out);
	fprintf(out, "jackdawwell_config_version %" PRIu64 "\n",
		e->cfg->version);
	fprintf(out, "jackdawwell_store_reads_total %" PRIu64 "\n", p->reads);
	fprintf(out, "jackdawwell_store_writes_total %" PRIu64 "\n", p->writes);
	pthread_mutex_lock(&e->core_lock);
	if (e->core)
		core_print_metrics(e->core, out, clock_now_ms());
	pthread_mutex_unlock(&e->core_lock);
	fclose(out);
	send_body(http, 200, "text/plain; version=0.0.4", text, length);
}

static void on_config(struct entry *e, struct httpd_request *http)
{
	send_json(http, 200,
		  json_pack("{s:I, s:O}", "version",
			    (json_int_t)e->cfg->version, "config",
			    e->cfg->doc));
}

/* Changes */

static void on_changed(void *arg, unsigned int code, json_t *body)
{
	struct change_request *call = arg;

	if (*call->key && code <= 202)
		json_object_set_new(body, "key", json_string(call->key));
	send_json(call->http, code, body);
	talloc_free(call);
}

static void random_id(char *id)
{
	uint8_t bytes[ENTRY_CHANGE_ID_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(id, sizeof(bytes) * 2 + 1, bytes, sizeof(bytes));
}

/* The version that the operator's change is based on; default: the current. */
static uint64_t base_version(const struct entry *e, const json_t *body)
{
	const json_t *base = json_object_get(body, "base");

	return base ? (uint64_t)json_integer_value(base) : e->cfg->version;
}

static void start_change(struct entry *e, struct httpd_request *http,
			 const json_t *body, const json_t *change,
			 const char *operator_name, const char *key)
{
	struct change_request *call = talloc_zero(e, struct change_request);
	const char *id = json_string_value(json_object_get(body, "id"));
	char generated[ENTRY_CHANGE_ID_BYTES * 2 + 1];

	assert(call);
	call->entry = e;
	call->http = http;
	snprintf(call->key, sizeof(call->key), "%s", key);
	if (!id) {
		random_id(generated);
		id = generated;
	}
	entry_change(e, base_version(e, body), change, id, operator_name,
		     on_changed, call);
}

static void on_change(struct entry *e, struct httpd_request *http,
		      const json_t *body, const char *operator_name)
{
	const json_t *change = json_object_get(body, "change");

	if (!json_is_object(change)) {
		send_error(http, 400, "field \"change\": wanted an object");
		return;
	}
	start_change(e, http, body, change, operator_name, "");
}

static void on_key(struct entry *e, struct httpd_request *http,
		   const json_t *body, const char *operator_name)
{
	const char *name = json_string_value(json_object_get(body, "name"));
	const char *team = json_string_value(json_object_get(body, "team"));
	uint8_t hash[CFG_HASH_BYTES];
	char hex[CFG_HASH_BYTES * 2 + 1];
	char key[KEY_TEXT_MAX];
	json_t *change;

	if (!name || !team || strlen(name) > CFG_NAME_MAX) {
		send_error(http, 400,
			   "fields \"name\" and \"team\": wanted texts");
		return;
	}
	if (cfg_find_key(e->cfg, name)) {
		send_error(http, 422, "a key of that name exists");
		return;
	}
	key_issue(&e->hasher, name, key, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	change = json_pack("{s:{s:{s:s, s:s}}}", "keys", name, "team", team,
			   "hash", hex);
	start_change(e, http, body, change, operator_name, key);
	json_decref(change);
}

static void on_post(struct entry *e, struct httpd_request *http,
		    const char *operator_name)
{
	json_error_t error;
	json_t *body = json_loadb(http->body ? http->body : "",
				  http->body_length, 0, &error);
	char text[ADMIN_ERROR_MAX];

	if (!body) {
		snprintf(text, sizeof(text), "body, line %d: %s", error.line,
			 error.text);
		send_error(http, 400, text);
		return;
	}
	if (!strcmp(http->path, "/v1/config"))
		on_change(e, http, body, operator_name);
	else if (!strcmp(http->path, "/v1/keys"))
		on_key(e, http, body, operator_name);
	else
		send_error(http, 404, "no such resource");
	json_decref(body);
}

static void on_get(struct entry *e, struct httpd_request *http)
{
	if (!strcmp(http->path, "/v1/status"))
		on_status(e, http);
	else if (!strcmp(http->path, "/v1/config"))
		on_config(e, http);
	else
		send_error(http, 404, "no such resource");
}

static void on_request(void *arg, struct httpd_request *http)
{
	struct entry *e = arg;
	const char *operator_name;

	if (!strcmp(http->path, "/metrics")) {
		on_metrics(e, http);
		return;
	}
	if (!strcmp(http->path, "/healthz")) {
		send_body(http, 200, "text/plain", strdup("ok\n"), 3);
		return;
	}
	if (!strcmp(http->path, "/readyz")) {
		bool ready = entry_state(e) == ENTRY_SERVING;

		send_body(http, ready ? 200 : 503, "text/plain",
			  strdup(ready ? "ok\n" : "no\n"), 3);
		return;
	}
	operator_name = authenticate(e, http);
	if (!operator_name)
		send_error(http, 401, "no valid operator's token");
	else if (!strcmp(http->method, "POST"))
		on_post(e, http, operator_name);
	else
		on_get(e, http);
}

bool admin_listen(struct entry *e)
{
	char ip[INET_ADDRSTRLEN];
	struct httpd_options options = {
		.address = ip,
		.limits = {
			.body_max = ADMIN_BODY_MAX,
			.header_timeout_ms = ADMIN_IDLE_TIMEOUT_MS,
			.idle_timeout_ms = ADMIN_IDLE_TIMEOUT_MS,
		},
		.connections_max = ADMIN_CONNECTIONS_MAX,
		.handler = on_request,
		.arg = e,
	};

	settings_address(e->settings->admin, ip, &options.port);
	e->admin = httpd_new(e, e->ev, &options);
	return e->admin != NULL;
}
