/*
 * Calls between the nodes of a site. As in libcurl, an answer that is read
 * after its deadline counts as a timeout.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/rig/site.h"

/* Processor time, in us of a whole core */
#define COST_SEND 100.0
#define COST_SERVE 200.0
#define COST_ANSWER 100.0

#define DELAY_MIN_US 200u
#define DELAY_US 1000u /* and up to this more */

struct httpc {
	struct host *host;
};

struct http_call {
	struct host *from, *to;
	uint32_t references; /* events to come */
	bool over;
	bool config; /* asks for the configuration */
	uint64_t deadline_us;
	uint8_t *body;
	size_t body_length;
	struct httpc_answer answer;
	httpc_done_fn done;
	void *arg;
};

static void call_release(struct http_call *call)
{
	if (!--call->references)
		talloc_free(call);
}

static uint64_t delay_us(struct site *s, const struct host *a,
			 const struct host *b)
{
	return DELAY_MIN_US + (uint64_t)(site_random(s) * DELAY_US) +
	       (uint64_t)(site_random(s) * 1000 * (a->delay_ms + b->delay_ms));
}

static void finish(void *arg)
{
	struct http_call *call = arg;
	struct httpc_answer timeout = { .status = HTTPC_TIMEOUT };
	bool late = call->from->site->now_us >= call->deadline_us;

	if (!call->over) {
		call->over = true;
		call->done(call->arg, late ? &timeout : &call->answer);
	}
	call_release(call);
}

static void on_answer(void *arg)
{
	struct http_call *call = arg;

	if (call->over)
		call_release(call);
	else
		host_post(call->from, COST_ANSWER, finish, call);
}

static void send_answer(struct http_call *call)
{
	struct site *s = call->from->site;

	site_at(s, call->to->free_us + delay_us(s, call->to, call->from),
		on_answer, call);
}

/* As in peer_server.c */
static void serve(void *arg)
{
	struct http_call *call = arg;
	struct node *n = call->to->node;
	Fleet__Beat *heartbeat =
		fleet__beat__unpack(NULL, call->body_length, call->body);
	bool newer;

	assert(heartbeat);
	gossip_receive(n, heartbeat);
	newer = n->config && heartbeat->config_version < n->config->version;
	fleet__beat__free_unpacked(heartbeat, NULL);
	call->answer.status = HTTPC_OK;
	call->answer.code = 200;
	call->answer.body.data = (char *)gossip_pack(
		n, call, call->config && newer, &call->answer.body.length);
	send_answer(call);
}

static void on_request(void *arg)
{
	struct http_call *call = arg;
	struct site *s = call->from->site;

	if (call->to->node && !call->to->killed) {
		host_post(call->to, COST_SERVE, serve, call);
		return;
	}
	call->answer.status = HTTPC_NOT_SENT;
	call->answer.refused = true;
	site_at(s, s->now_us + DELAY_MIN_US, on_answer, call);
}

/* The host whose index is in the address of a URL, see site_new() */
static struct host *find_host(struct site *s, const char *url)
{
	unsigned int i;

	return sscanf(url, "http://10.0.0.%u:", &i) == 1 && i < s->host_count
		       ? &s->hosts[i]
		       : NULL;
}

struct httpc *httpc_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			uint32_t connections_max, uint32_t host_max)
{
	struct node *n = talloc_get_type_abort(ctx, struct node);
	struct httpc *c = talloc_zero(ctx, struct httpc);

	(void)ev;
	(void)connections_max;
	(void)host_max;
	assert(c);
	c->host = n->services->impl;
	return c;
}

void httpc_start(struct httpc *c, const struct httpc_request *r)
{
	struct site *s = c->host->site;
	struct http_call *call = talloc_zero(s->ctx, struct http_call);

	assert(call);
	call->from = c->host;
	call->to = find_host(s, r->url);
	assert(call->to);
	call->references = 2;
	call->config = strstr(r->url, "/config") != NULL;
	call->deadline_us = s->now_us + 1000u * r->timeout_ms;
	call->body = talloc_memdup(call, r->body, r->body_length);
	call->body_length = r->body_length;
	call->done = r->done;
	call->arg = r->arg;
	host_spend(c->host, COST_SEND);
	site_at(s, c->host->free_us + delay_us(s, call->from, call->to),
		on_request, call);
	site_at(s, call->deadline_us, on_answer, call);
}

char *httpc_take(struct httpc_buffer *buffer, size_t *length)
{
	char *data = malloc(buffer->length + 1);

	assert(data);
	memcpy(data, buffer->data, buffer->length);
	*length = buffer->length;
	return data;
}

uint32_t httpc_active(const struct httpc *c)
{
	(void)c;
	return 0;
}

bool peer_server_start(struct node *n)
{
	(void)n;
	return true;
}
