/*
 * relay - calls to instances that peers make for the leader
 *
 * Designed for more instances than one node can call. The leader decides; the
 * strongest peers make its calls under its fence, each to its own share of the
 * instances, so that connections are reused. The calls of a pass for one peer
 * are batched into one frame. An unresponsive peer is disconnected; the outcome
 * of its pending calls is unknown, like that of any call without an answer, but
 * doesn't count as a failure of the instances.
 */
#include <assert.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "node/node_internal.h"

#define RELAY_FRAME_MAX (8u << 20) /* bytes */
#define RELAY_OUT_MAX (8u << 20)   /* bytes queued for one peer */
#define RELAY_UNRESPONSIVE_MS 600u /* six keepalive intervals */
/* Longest time in which a busy leader reads what waits */
#define RELAY_UNREAD_MS 600u
#define RELAY_RETRY_MS 2000u	   /* delay before a peer is dialed again */
#define RELAY_FIRST_RETRY_MS 400u  /* same, if it was never linked */
#define RELAY_ANSWER_SLACK_MS 300u /* for the round trip to the peer */
#define RELAY_CHOICE_MS 200u	   /* between two choices of peers */
#define RELAY_CONNECT_WAIT_MS 300u /* a new leader's longest wait for links */
#define RELAY_PEERS_MAX 24u
#define RELAY_POWER_PER_INSTANCE 6u /* thousandths of a core */

enum relay_kind { RELAY_ORDER, RELAY_POLL };

struct relay_peer;

struct relay_call {
	struct relay_call *prev, *next; /* calls of the same peer */
	struct relay_peer *peer;
	uint32_t id;
	uint64_t deadline_ms;
	enum relay_kind kind;
	union {
		order_fn order;
		poll_fn poll;
	} done;
	void *arg;
	UT_hash_handle hh;
};

struct relay_peer {
	struct relay_peer *prev, *next;
	char name[NODE_NAME_MAX];
	uint64_t hash;
	uint32_t power;
	struct frame_stream *stream; /* NULL: disconnected */
	bool linked;   /* the peer has sent a frame on the stream */
	bool stopping; /* the peer takes no new calls */
	uint64_t last_heard_ms;
	uint64_t retry_ms; /* not dialed again before this time */
	struct relay_call *calls;
	uint8_t *batch; /* packed calls to send */
	size_t batch_length;
	size_t batch_capacity;
};

struct relay {
	struct node *node;
	struct frames *frames;
	struct relay_peer *peers;
	struct relay_call *by_id;
	uint32_t next_id;
	uint64_t next_choice_ms;
	uint64_t leader_since_ms;
	struct relay_stats stats;
};

/* Calls */

static void call_remove(struct relay *r, struct relay_call *c)
{
	DL_DELETE(c->peer->calls, c);
	HASH_DEL(r->by_id, c);
}

/* Ends a call whose outcome the peer will not report. */
static void call_fail(struct relay *r, struct relay_call *c)
{
	call_remove(r, c);
	r->stats.lost++;
	switch (c->kind) {
	case RELAY_ORDER:
		c->done.order(c->arg, ORDER_LOST, 0);
		break;
	case RELAY_POLL:
		c->done.poll(c->arg, POLL_LOST, NULL);
		break;
	}
	talloc_free(c);
}

static void calls_fail_all(struct relay *r, struct relay_peer *p)
{
	struct relay_call *c, *next;

	DL_FOREACH_SAFE(p->calls, c, next)
	call_fail(r, c);
}

static void peer_disconnect(struct relay *r, struct relay_peer *p,
			    const char *why, uint64_t now)
{
	event_log("relay-lost", p->name,
		  "\"why\":\"%s\",\"linked\":%d,\"heard_ms_ago\":%" PRIu64, why,
		  p->linked, now - p->last_heard_ms);
	if (p->stream) {
		frame_stream_set_data(p->stream, NULL);
		frame_stream_break(p->stream);
	}
	p->stream = NULL;
	p->retry_ms = now + (p->linked ? RELAY_RETRY_MS : RELAY_FIRST_RETRY_MS);
	p->linked = false;
	p->batch_length = 0;
	calls_fail_all(r, p);
}

double relay_score(uint64_t instance, uint64_t peer, uint32_t power)
{
	uint64_t pair[2] = { instance, peer };
	/* Uniform between 0 and 1, both excluded */
	double u = ((double)(XXH64(pair, sizeof(pair), 0) >> 11) + 0.5) /
		   (double)(1ull << 53);

	return (power ? power : 1) / -log(u);
}

/*
 * Weighted rendezvous hashing: an instance keeps its peer while no link
 * changes, and each peer gets a part of the instances as large as its part of
 * the power.
 */
static struct relay_peer *peer_for(struct relay *r, const char *instance)
{
	uint64_t hash = XXH64(instance, strlen(instance), 0);
	struct relay_peer *best = NULL;
	struct relay_peer *p;
	double best_score = 0;

	DL_FOREACH(r->peers, p)
	{
		double score;

		if (!p->linked || p->stopping)
			continue;
		score = relay_score(hash, p->hash, p->power);
		if (best && score <= best_score)
			continue;
		best = p;
		best_score = score;
	}
	return best;
}

/* Concatenated protobuf messages of one type parse as one message. */
static void batch_add(struct relay_peer *p, const Fleet__Calls *calls)
{
	size_t length = fleet__calls__get_packed_size(calls);

	if (p->batch_length + length > p->batch_capacity) {
		p->batch_capacity = 2 * (p->batch_length + length);
		p->batch =
			talloc_realloc(p, p->batch, uint8_t, p->batch_capacity);
		assert(p->batch);
	}
	p->batch_length +=
		fleet__calls__pack(calls, p->batch + p->batch_length);
}

static struct relay_call *call_new(struct relay *r, struct relay_peer *p,
				   Fleet__Call *call, enum relay_kind kind,
				   uint32_t timeout_ms, void *arg)
{
	struct relay_call *c = talloc_zero(r, struct relay_call);
	Fleet__Calls calls = FLEET__CALLS__INIT;

	assert(c);
	c->peer = p;
	c->id = ++r->next_id;
	c->kind = kind;
	c->arg = arg;
	c->deadline_ms = clock_now_ms() + timeout_ms + RELAY_ANSWER_SLACK_MS;
	DL_APPEND(p->calls, c);
	HASH_ADD_INT(r->by_id, id, c);
	call->id = c->id;
	call->timeout_ms = timeout_ms;
	calls.calls = &call;
	calls.n_calls = 1;
	batch_add(p, &calls);
	r->stats.calls++;
	return c;
}

bool relay_order(struct node *n, const struct sched_order *order,
		 uint32_t timeout_ms, order_fn fn, void *arg)
{
	static const Fleet__CallKind kinds[] = {
		[ORDER_START] = FLEET__CALL_KIND__START,
		[ORDER_STOP] = FLEET__CALL_KIND__STOP,
		[ORDER_THROTTLE] = FLEET__CALL_KIND__PACE,
	};
	struct relay_peer *p = peer_for(n->relay, order->instance_id);
	Fleet__Call call = FLEET__CALL__INIT;

	if (!p)
		return false;
	call.kind = kinds[order->kind];
	call.instance = (char *)order->instance_id;
	call.address = (char *)order->address;
	call.task = (char *)order->task;
	call.number = order->number;
	if (order->kind == ORDER_START) {
		call.lease_until = order->lease_until;
		call.zone = (char *)order->zone;
		call.payload = (char *)order->payload;
		call.saved =
			(char *)(order->checkpoint ? order->checkpoint : "");
		call.ticket = (char *)(order->ticket ? order->ticket : "");
	}
	call.percent = order->percent;
	call_new(n->relay, p, &call, RELAY_ORDER, timeout_ms, arg)->done.order =
		fn;
	return true;
}

bool relay_poll(struct node *n, const struct sched_poll *poll,
		uint32_t timeout_ms, poll_fn fn, void *arg)
{
	struct relay_peer *p = peer_for(n->relay, poll->instance_id);
	Fleet__Call call = FLEET__CALL__INIT;

	if (!p)
		return false;
	call.kind = FLEET__CALL_KIND__LOOK;
	call.instance = (char *)poll->instance_id;
	call.address = (char *)poll->address;
	call.lease_until = poll->lease_until;
	call.acked = poll->acked;
	call.wait_ms = poll->wait_ms;
	call_new(n->relay, p, &call, RELAY_POLL, timeout_ms, arg)->done.poll =
		fn;
	return true;
}

void relay_flush(struct node *n)
{
	struct relay_peer *p;

	DL_FOREACH(n->relay->peers, p)
	{
		Fleet__Calls calls = FLEET__CALLS__INIT;
		uint8_t *to;

		if (!p->batch_length || !p->stream)
			continue;
		calls.fence = n->fence;
		batch_add(p, &calls);
		to = frame_reserve(p->stream, p->batch_length);
		if (to) {
			memcpy(to, p->batch, p->batch_length);
			frame_send(p->stream);
		}
		p->batch_length = 0;
	}
}

/* Results */

static struct sched_report *report_of(TALLOC_CTX *ctx,
				      const Fleet__CallReport *in)
{
	struct sched_report *report = talloc_zero(ctx, struct sched_report);
	struct sched_running *running =
		talloc_zero_array(ctx, struct sched_running, in->n_running + 1);
	struct sched_ended *ended =
		talloc_zero_array(ctx, struct sched_ended, in->n_ended + 1);
	size_t i;

	assert(report && running && ended);
	for (i = 0; i < in->n_running; i++) {
		const Fleet__CallRunning *from = in->running[i];

		running[i] = (struct sched_running){ from->task, from->number,
						     from->saved, from->percent,
						     from->load };
	}
	for (i = 0; i < in->n_ended; i++) {
		const Fleet__CallEnded *from = in->ended[i];

		ended[i] =
			(struct sched_ended){ from->n, from->task, from->number,
					      (enum sched_outcome)from->how,
					      from->saved };
	}
	report->clock_ms = in->clock_ms;
	report->started_unix_ms = in->born;
	report->running_count = (uint32_t)in->n_running;
	report->ended_count = (uint32_t)in->n_ended;
	report->running = running;
	report->ended = ended;
	report->more_ended = in->more_ended;
	return report;
}

static void deliver_result(struct relay *r, const Fleet__CallResult *result)
{
	struct sched_report *report = NULL;
	enum poll_result poll = POLL_UNANSWERED;
	struct relay_call *c;

	HASH_FIND_INT(r->by_id, &result->id, c);
	if (!c)
		return;
	call_remove(r, c);
	switch (c->kind) {
	case RELAY_ORDER:
		c->done.order(c->arg, (enum sched_order_result)result->result,
			      result->clock_ms);
		break;
	case RELAY_POLL:
		if (result->report) {
			report = report_of(c, result->report);
			poll = POLL_ANSWERED;
		} else if (result->newer_lead) {
			poll = POLL_NEWER_LEADER;
		}
		c->done.poll(c->arg, poll, report);
		break;
	}
	talloc_free(c);
}

static bool results_valid(const Fleet__CallResults *results)
{
	size_t i, e;

	for (i = 0; i < results->n_results; i++) {
		const Fleet__CallReport *report = results->results[i]->report;

		if (results->results[i]->result > ORDER_LOST)
			return false;
		for (e = 0; report && e < report->n_ended; e++)
			if (report->ended[e]->how > SCHED_GANG_INCOMPLETE)
				return false;
	}
	return true;
}

static bool on_frame(void *arg, struct frame_stream *stream,
		     const uint8_t *data, size_t length)
{
	struct relay *r = arg;
	struct relay_peer *p = frame_stream_data(stream);
	uint64_t begun_us = clock_now_us();
	Fleet__CallResults *results =
		fleet__call_results__unpack(NULL, length, data);
	bool valid = results && results_valid(results);
	size_t i;

	if (p && valid) {
		p->last_heard_ms = clock_now_ms();
		p->stopping = results->stopping;
		if (!p->linked)
			event_log("relay-linked", p->name, "\"power\":%u",
				  p->power);
		p->linked = true;
		for (i = 0; i < results->n_results; i++)
			deliver_result(r, results->results[i]);
	}
	if (results)
		fleet__call_results__free_unpacked(results, NULL);
	load_add(r->node, LOAD_RESULTS, begun_us);
	return valid;
}

static void on_closed(void *arg, struct frame_stream *stream)
{
	struct relay *r = arg;
	struct relay_peer *p = frame_stream_data(stream);

	if (!p)
		return;
	p->stream = NULL;
	peer_disconnect(r, p, "the connection was lost", clock_now_ms());
	node_schedule_pass(r->node);
}

/* Peers */

static struct relay_peer *find_peer(struct relay *r, const char *name)
{
	struct relay_peer *p;

	DL_FOREACH(r->peers, p)
	if (!strcmp(p->name, name))
		return p;
	return NULL;
}

uint32_t relay_power_needed(uint32_t instances, uint32_t direct_max)
{
	return instances > direct_max ? instances * RELAY_POWER_PER_INSTANCE
				      : 0;
}

static uint32_t power_needed(const struct node *n)
{
	struct sched_stats stats;

	if (!n->sched)
		return 0;
	sched_stats(n->sched, &stats);
	return relay_power_needed(stats.instances,
				  n->settings.direct_calls_max);
}

static void peer_dial(struct relay *r, const struct peer_node *from,
		      uint64_t now)
{
	struct relay_peer *p = find_peer(r, from->name);

	if (!p) {
		p = talloc_zero(r, struct relay_peer);
		assert(p);
		snprintf(p->name, sizeof(p->name), "%s", from->name);
		p->hash = XXH64(p->name, strlen(p->name), 0);
		DL_APPEND(r->peers, p);
	}
	p->power = from->power;
	p->stopping = false;
	p->last_heard_ms = now;
	p->retry_ms = now + RELAY_RETRY_MS;
	p->stream = frames_dial(r->frames, from->links);
	if (p->stream)
		frame_stream_set_data(p->stream, p);
}

/* The strongest node that is not yet a relay and may be dialed; NULL: none. */
static const struct peer_node *strongest_candidate(struct relay *r,
						   uint64_t now)
{
	const struct node *n = r->node;
	const struct peer_node *best = NULL;
	uint32_t i;

	for (i = 0; i < n->peer_count; i++) {
		const struct peer_node *from = &n->peers[i];
		const struct relay_peer *p;

		if (!*from->links || (best && from->power <= best->power))
			continue;
		p = find_peer(r, from->name);
		if (p && (p->stream || now < p->retry_ms))
			continue;
		best = from;
	}
	return best;
}

static void choose_peers(struct relay *r, uint64_t now)
{
	const struct peer_node *from;
	struct relay_peer *p;
	uint32_t needed = power_needed(r->node);
	uint32_t power = 0;
	uint32_t count = 0;

	r->next_choice_ms = now + RELAY_CHOICE_MS;
	DL_FOREACH(r->peers, p)
	{
		if (!p->stream || p->stopping)
			continue;
		power += p->power;
		count++;
	}
	while (power < needed && count < RELAY_PEERS_MAX &&
	       (from = strongest_candidate(r, now))) {
		peer_dial(r, from, now);
		power += from->power ? from->power : 1;
		count++;
	}
}

bool relay_waits_for_links(uint32_t dialed, uint32_t linked, uint64_t since_ms,
			   uint32_t loop_lag_ms)
{
	return linked * 2 < dialed &&
	       since_ms < RELAY_CONNECT_WAIT_MS + 2 * loop_lag_ms;
}

bool relay_is_connecting(const struct node *n, uint64_t now)
{
	const struct relay_peer *p;
	uint32_t dialed = 0, linked = 0;

	DL_FOREACH(n->relay->peers, p)
	{
		dialed += p->stream != NULL;
		linked += p->linked;
	}
	return relay_waits_for_links(dialed, linked,
				     now - n->relay->leader_since_ms,
				     n->loop_lag_ms);
}

void relay_begin(struct node *n)
{
	struct relay *r = n->relay;

	r->leader_since_ms = clock_now_ms();
	choose_peers(r, r->leader_since_ms);
}

void relay_end(struct node *n)
{
	struct relay *r = n->relay;
	struct relay_peer *p, *next;
	uint64_t now = clock_now_ms();

	DL_FOREACH_SAFE(r->peers, p, next)
	{
		peer_disconnect(r, p, "this node no longer leads", now);
		DL_DELETE(r->peers, p);
		talloc_free(p);
	}
}

bool relay_call_is_lost(uint64_t deadline_ms, bool unread, uint64_t now)
{
	return now >= deadline_ms + (unread ? RELAY_UNREAD_MS : 0);
}

static void calls_expire(struct relay *r, struct relay_peer *p, bool unread,
			 uint64_t now)
{
	struct relay_call *c, *next;

	DL_FOREACH_SAFE(p->calls, c, next)
	if (relay_call_is_lost(c->deadline_ms, unread, now))
		call_fail(r, c);
}

bool relay_is_unresponsive(uint64_t heard_ms, bool unread, uint64_t now)
{
	return !unread && now - heard_ms >= RELAY_UNRESPONSIVE_MS;
}

void relay_tick(struct node *n, uint64_t now)
{
	struct relay *r = n->relay;
	struct relay_peer *p;

	DL_FOREACH(r->peers, p)
	{
		bool unread = p->stream && frame_stream_has_unread(p->stream);

		if (p->stream &&
		    relay_is_unresponsive(p->last_heard_ms, unread, now))
			peer_disconnect(r, p, "no answer", now);
		else
			calls_expire(r, p, unread, now);
	}
	if (now >= r->next_choice_ms)
		choose_peers(r, now);
}

void relay_stats(const struct node *n, struct relay_stats *stats)
{
	const struct relay_peer *p;

	*stats = n->relay->stats;
	stats->peers = 0;
	DL_FOREACH(n->relay->peers, p)
	stats->peers += p->linked;
}

static int relay_destroy(struct relay *r)
{
	HASH_CLEAR(hh, r->by_id);
	return 0;
}

bool relay_start(struct node *n)
{
	struct relay *r = talloc_zero(n, struct relay);
	struct frames_options options = {
		.frame_max = RELAY_FRAME_MAX,
		.out_max = RELAY_OUT_MAX,
		.frame = on_frame,
		.closed = on_closed,
		.arg = r,
	};

	assert(r);
	r->node = n;
	r->frames = frames_new(r, n->ev, &options);
	n->relay = r;
	talloc_set_destructor(r, relay_destroy);
	return r->frames != NULL;
}
