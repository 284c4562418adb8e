/*
 * peer_server - HTTP server for other nodes and for operators
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"
#include "process/settings.h"

#define SERVER_BODY_MAX (1u << 20) /* a configuration is at most 1 MB */
#define CONFIGS_SENT_PER_S 3u	   /* by one node: half of a 10 Mbit/s link */
#define REQUEST_TIMEOUT_MS 2000u   /* until the job or cancellation is stored */
#define SERVER_IDLE_MS 60000u
#define SERVER_HEADER_MAX (16u << 10) /* bytes */
#define SERVER_HEADER_MS 5000u
#define CONNECTIONS_PER_PEER 2 /* accepted */
#define ANSWER_BYTES_MAX 64    /* of an encoded Fleet__Answer: 5 integers */

static void send_code(struct httpd_request *request, unsigned int code)
{
	struct httpd_answer answer = { .code = code };

	httpd_answer(request, &answer);
}

static void send_bytes(struct httpd_request *request, const uint8_t *bytes,
		       size_t length)
{
	struct httpd_answer answer = { .code = 200, .body_length = length };

	answer.body = malloc(length ? length : 1);
	if (!answer.body) {
		send_code(request, 503);
		return;
	}
	memcpy(answer.body, bytes, length);
	httpd_answer(request, &answer);
}

/*
 * Limits the rate of configurations sent to peers. Designed for many nodes that
 * missed a large configuration and fetch it from the few that have it: each
 * node sends no more than its link carries, and a node that has received the
 * configuration serves it too.
 */
static bool may_send_config(struct node *n, uint64_t now)
{
	if (n->configs_window_s != now / 1000) {
		n->configs_window_s = now / 1000;
		n->configs_sent = 0;
	}
	return n->configs_sent++ < CONFIGS_SENT_PER_S;
}

static void serve_heartbeat(struct node *n, struct httpd_request *request,
			    bool with_config)
{
	Fleet__Beat *heartbeat =
		node_unpack(n->server_budget, &fleet__beat__descriptor,
			    request->body_length, (uint8_t *)request->body);
	bool newer;
	uint8_t *bytes;
	size_t length;

	if (!heartbeat) {
		send_code(request, 400);
		return;
	}
	gossip_receive(n, heartbeat);
	newer = n->config && heartbeat->config_version < n->config->version;
	fleet__beat__free_unpacked(heartbeat, NULL);
	if (with_config && newer && !may_send_config(n, clock_now_ms())) {
		send_code(request, 503);
		return;
	}
	bytes = gossip_pack(n, n, with_config && newer, &length);
	send_bytes(request, bytes, length);
	talloc_free(bytes);
}

static void on_decided(void *arg, const struct node_answer *r)
{
	Fleet__Answer out = FLEET__ANSWER__INIT;
	uint8_t bytes[ANSWER_BYTES_MAX];

	out.result = r->result;
	out.state = r->state;
	out.pending = r->pending;
	out.retry_after_ms = r->retry_after_ms;
	out.valid_ms = r->valid_ms;
	send_bytes(arg, bytes, fleet__answer__pack(&out, bytes));
}

static void serve_node_request(struct node *n, struct httpd_request *request)
{
	Fleet__Ask *in =
		node_unpack(n->server_budget, &fleet__ask__descriptor,
			    request->body_length, (uint8_t *)request->body);
	struct node_request req = { .timeout_ms = REQUEST_TIMEOUT_MS,
				    .fn = on_decided,
				    .arg = request };

	/* Requests are counted by their verb; decoding accepts any number. */
	if (!in || strlen(in->id) > SCHED_ID_BYTES ||
	    (uint32_t)in->verb > FLEET__VERB__PENDING) {
		send_code(request, 400);
		goto out;
	}
	req.config_version = in->config_version;
	req.config_stale = in->config_old;
	req.verb = in->verb;
	req.id = in->id;
	req.queue = in->queue;
	if (in->verb == FLEET__VERB__SUBMIT) {
		req.job = node_unpack(n->server_budget,
				      &fleet__job_row__descriptor, in->job.len,
				      in->job.data);
		if (!req.job) {
			send_code(request, 400);
			goto out;
		}
	}
	request_decide(n, &req);
	if (req.job)
		fleet__job_row__free_unpacked(req.job, NULL);
out:
	if (in)
		fleet__ask__free_unpacked(in, NULL);
}

/* For operators: the bytes that the configuration was loaded from. */
static void serve_document(struct node *n, struct httpd_request *request)
{
	if (!n->config)
		send_code(request, 404);
	else if (!may_send_config(n, clock_now_ms()))
		send_code(request, 503);
	else
		send_bytes(request, n->config_bytes, n->config_length);
}

static void serve_metrics(struct node *n, struct httpd_request *request)
{
	struct httpd_answer answer = { .code = 200 };

	answer.headers = "Content-Type: text/plain; version=0.0.4\r\n";
	answer.headers_length = strlen(answer.headers);
	answer.body = node_metrics(n);
	answer.body_length = strlen(answer.body);
	httpd_answer(request, &answer);
}

static void serve_explain(struct node *n, struct httpd_request *request,
			  const char *id)
{
	char *text = n->sched ? sched_explain(n->sched, n, id) : NULL;

	if (!text) {
		send_code(request, 404);
		return;
	}
	send_bytes(request, (const uint8_t *)text, strlen(text));
	talloc_free(text);
}

/* For operators. Names aren't escaped: they come from settings and rows. */
static void serve_status(struct node *n, struct httpd_request *request)
{
	static const char *const phases[] = { "no", "reads the store", "yes" };
	struct httpd_answer answer = { .code = 200 };
	struct sched_stats s = { 0 };
	char *text;
	char *zones = evacuations_list(n, n);

	if (n->sched)
		sched_stats(n->sched, &s);
	text = talloc_asprintf(
		n,
		"{\"node\":\"%s\",\"zone\":\"%s\",\"leads\":\"%s\","
		"\"lead\":\"%s\",\"epoch\":%" PRIu64 ",\"config\":%" PRIu64
		",\"config_age_ms\":%u,\"store\":%s,\"peers\":%u,\"jobs\":%u,"
		"\"instances\":%u,\"evacuated\":\"%s\","
		"\"evacuations_age_ms\":%u}\n",
		n->settings.name, n->settings.zone, phases[n->phase],
		n->leader.node, n->leader.epoch,
		n->config ? n->config->version : 0,
		staleness_ms(n, clock_now_ms()), n->store_ok ? "true" : "false",
		n->peer_count, s.jobs, s.instances, zones,
		evacuations_age_ms(n, clock_now_ms()));
	talloc_free(zones);
	assert(text);
	answer.body = strdup(text);
	assert(answer.body);
	answer.body_length = strlen(answer.body);
	talloc_free(text);
	httpd_answer(request, &answer);
}

static void on_request(void *arg, struct httpd_request *request)
{
	struct node *n = arg;

	if (!strcmp(request->path, "/beat"))
		serve_heartbeat(n, request, false);
	else if (!strcmp(request->path, "/config"))
		serve_heartbeat(n, request, true);
	else if (!strcmp(request->path, "/config/document") &&
		 !strcmp(request->method, "GET"))
		serve_document(n, request);
	else if (!strcmp(request->path, "/ask"))
		serve_node_request(n, request);
	else if (!strcmp(request->path, "/metrics"))
		serve_metrics(n, request);
	else if (!strcmp(request->path, "/status"))
		serve_status(n, request);
	else if (!strncmp(request->path, "/explain/", 9))
		serve_explain(n, request, request->path + 9);
	else
		send_code(request, 404);
}

static bool admit(void *arg, struct httpd_request *request)
{
	static const char *const with_body[] = { "/beat", "/config", "/ask" };
	size_t i;

	(void)arg;
	for (i = 0; i < sizeof(with_body) / sizeof(with_body[0]); i++)
		if (!strcmp(request->path, with_body[i]))
			return true;
	send_code(request, 404);
	return false;
}

bool peer_server_start(struct node *n)
{
	char ip[64];
	struct httpd_options options = {
		.address = ip,
		.limits = {
			.header_max = SERVER_HEADER_MAX,
			.body_max = SERVER_BODY_MAX,
			.header_timeout_ms = SERVER_HEADER_MS,
			.idle_timeout_ms = SERVER_IDLE_MS,
		},
		.admit = admit,
		.handler = on_request,
		.arg = n,
	};

	if (!settings_address(n->settings.peers, ip, &options.port))
		return false;
	n->server_budget =
		budget_listener_new(n->settings.budgets, BUDGET_PEERS,
				    NODE_PEERS_MAX * CONNECTIONS_PER_PEER);
	assert(n->server_budget);
	options.budget = n->server_budget;
	n->server = httpd_new(n, n->ev, &options);
	return n->server != NULL;
}
