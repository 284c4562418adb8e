/*
 * relay_server - makes calls to instances for the leader
 *
 * The calls carry the leader's fence, which instances check, so calls of a
 * replaced leader have no effect. Results are batched for RESULT_BATCH_MS and
 * sent as one frame. After a stall of the process, the calls that arrived
 * during it are dropped and their connection is closed.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

#define SERVER_FRAME_MAX (8u << 20) /* bytes */
#define LINKS_MAX 64u		    /* from the leader and former ones */
#define SERVER_OUT_MAX (8u << 20)   /* bytes queued for one leader */
#define RESULT_BATCH_MS 2u	    /* delay until results are sent */
#define KEEPALIVE_INTERVAL_MS 100u  /* between two frames on an idle link */
#define STALL_MAX_MS 500u	    /* ten ticks: waiting calls are outdated */

struct relayed_call;

/* A connection from a leader. */
struct leader_link {
	struct leader_link *prev, *next;
	struct relay_server *server;
	struct frame_stream *stream;
	struct relayed_call *calls;
	uint64_t sent_ms; /* of the last frame */
	uint8_t *batch;	  /* packed results to send */
	size_t batch_length;
	size_t batch_capacity;
};

struct relayed_call {
	struct relayed_call *prev, *next; /* calls of the same link */
	struct leader_link *link;	  /* NULL: the connection was lost */
	struct node *node;
	uint32_t id;
};

struct relay_server {
	struct node *node;
	struct frames *frames;
	struct budget *budget;
	struct mtimer *flush;
	struct leader_link *links;
};

static void send_results(struct leader_link *link, uint64_t now)
{
	Fleet__CallResults end = FLEET__CALL_RESULTS__INIT;
	size_t length;
	uint8_t *to;

	end.stopping = link->server->node->stopping;
	length = fleet__call_results__get_packed_size(&end);
	to = frame_reserve(link->stream, link->batch_length + length);
	if (to) {
		memcpy(to, link->batch, link->batch_length);
		fleet__call_results__pack(&end, to + link->batch_length);
		frame_send(link->stream);
	}
	link->batch_length = 0;
	link->sent_ms = now;
}

static void on_flush(void *arg)
{
	struct relay_server *server = arg;
	uint64_t now = clock_now_ms();
	struct leader_link *link;

	DL_FOREACH(server->links, link)
	if (link->batch_length)
		send_results(link, now);
}

static void queue_result(struct relayed_call *c, Fleet__CallResult *result)
{
	struct leader_link *link = c->link;
	Fleet__CallResults results = FLEET__CALL_RESULTS__INIT;
	size_t length;

	if (!link)
		goto out;
	result->id = c->id;
	results.results = &result;
	results.n_results = 1;
	length = fleet__call_results__get_packed_size(&results);
	if (link->batch_length + length > link->batch_capacity) {
		link->batch_capacity = 2 * (link->batch_length + length);
		link->batch = talloc_realloc(link, link->batch, uint8_t,
					     link->batch_capacity);
		assert(link->batch);
	}
	link->batch_length += fleet__call_results__pack(
		&results, link->batch + link->batch_length);
	if (!mtimer_pending(link->server->flush))
		mtimer_set(link->server->flush, RESULT_BATCH_MS);
	DL_DELETE(link->calls, c);
out:
	talloc_free(c);
}

static void on_order_answer(void *arg, enum sched_order_result result,
			    uint64_t clock_ms)
{
	Fleet__CallResult out = FLEET__CALL_RESULT__INIT;

	out.result = result;
	out.clock_ms = clock_ms;
	queue_result(arg, &out);
}

static void fill_report(TALLOC_CTX *ctx, const struct sched_report *report,
			Fleet__CallReport *out)
{
	Fleet__CallRunning *running = talloc_array(ctx, Fleet__CallRunning,
						   report->running_count + 1);
	Fleet__CallEnded *ended =
		talloc_array(ctx, Fleet__CallEnded, report->ended_count + 1);
	uint32_t i;

	out->running = talloc_array(ctx, Fleet__CallRunning *,
				    report->running_count + 1);
	out->ended =
		talloc_array(ctx, Fleet__CallEnded *, report->ended_count + 1);
	assert(running && ended && out->running && out->ended);
	for (i = 0; i < report->running_count; i++) {
		const struct sched_running *from = &report->running[i];

		fleet__call_running__init(&running[i]);
		running[i].task = (char *)from->task;
		running[i].number = from->number;
		running[i].saved = (char *)from->checkpoint;
		running[i].percent = from->percent;
		running[i].load = from->load;
		out->running[i] = &running[i];
	}
	for (i = 0; i < report->ended_count; i++) {
		const struct sched_ended *from = &report->ended[i];

		fleet__call_ended__init(&ended[i]);
		ended[i].n = from->seq;
		ended[i].task = (char *)from->task;
		ended[i].number = from->number;
		ended[i].how = from->outcome;
		ended[i].saved = (char *)from->checkpoint;
		out->ended[i] = &ended[i];
	}
	out->n_running = report->running_count;
	out->n_ended = report->ended_count;
	out->more_ended = report->more_ended;
	out->clock_ms = report->clock_ms;
	out->born = report->started_unix_ms;
}

static void on_poll_answer(void *arg, enum poll_result result,
			   const struct sched_report *report)
{
	struct relayed_call *c = arg;
	Fleet__CallResult out = FLEET__CALL_RESULT__INIT;
	Fleet__CallReport filled = FLEET__CALL_REPORT__INIT;

	out.newer_lead = result == POLL_NEWER_LEADER;
	if (result == POLL_ANSWERED) {
		fill_report(c, report, &filled);
		out.report = &filled;
	}
	queue_result(c, &out);
}

static void make_order(struct node *n, const Fleet__Call *call,
		       enum sched_order_kind kind, uint64_t fence,
		       struct relayed_call *c)
{
	struct sched_order order = { .kind = kind };

	memcpy(order.task, call->task, strlen(call->task) + 1);
	order.instance_id = call->instance;
	order.address = call->address;
	order.number = call->number;
	order.lease_until = call->lease_until;
	order.payload = call->payload;
	order.checkpoint = call->saved;
	order.ticket = call->ticket;
	order.percent = call->percent;
	/* The call may be old: the evacuation may have been known since. */
	if (kind == ORDER_START &&
	    !evacuations_allow_start(n, call->zone, clock_now_ms())) {
		on_order_answer(c, ORDER_REFUSED_LATE, 0);
		return;
	}
	n->services->order(n->services->impl, &order, fence, call->timeout_ms,
			   on_order_answer, c);
}

static void make_poll(struct node *n, const Fleet__Call *call, uint64_t fence,
		      struct relayed_call *c)
{
	struct sched_poll poll = {
		.instance_id = call->instance,
		.address = call->address,
		.lease_until = call->lease_until,
		.acked = call->acked,
		.wait_ms = call->wait_ms,
	};

	n->services->poll(n->services->impl, &poll, fence, call->timeout_ms,
			  on_poll_answer, c);
}

static void make_call(struct leader_link *link, const Fleet__Call *call,
		      uint64_t fence)
{
	struct node *n = link->server->node;
	struct relayed_call *c = talloc_zero(n, struct relayed_call);

	assert(c);
	c->link = link;
	c->node = n;
	c->id = call->id;
	DL_APPEND(link->calls, c);
	n->calls_served++;
	switch (call->kind) {
	case FLEET__CALL_KIND__LOOK:
		make_poll(n, call, fence, c);
		break;
	case FLEET__CALL_KIND__START:
		make_order(n, call, ORDER_START, fence, c);
		break;
	case FLEET__CALL_KIND__STOP:
		make_order(n, call, ORDER_STOP, fence, c);
		break;
	case FLEET__CALL_KIND__PACE:
	default:
		make_order(n, call, ORDER_THROTTLE, fence, c);
		break;
	}
}

static bool calls_valid(const Fleet__Calls *calls)
{
	size_t i;

	for (i = 0; i < calls->n_calls; i++) {
		const Fleet__Call *call = calls->calls[i];

		if (strlen(call->task) >= SCHED_TASK_MAX || !*call->address ||
		    call->kind > FLEET__CALL_KIND__PACE)
			return false;
	}
	return true;
}

static bool on_frame(void *arg, struct frame_stream *stream,
		     const uint8_t *data, size_t length)
{
	struct relay_server *server = arg;
	struct leader_link *link = frame_stream_data(stream);
	uint64_t stalled_ms = clock_now_ms() - server->node->last_iteration_ms;
	Fleet__Calls *calls;
	bool valid;
	size_t i;

	if (stalled_ms >= STALL_MAX_MS) {
		event_log("calls-dropped", NULL, "\"stood_still_ms\":%" PRIu64,
			  stalled_ms);
		frame_stream_break(stream);
		return true;
	}
	calls = node_unpack(server->budget, &fleet__calls__descriptor, length,
			    data);
	valid = calls && calls_valid(calls);
	for (i = 0; valid && i < calls->n_calls; i++)
		make_call(link, calls->calls[i], calls->fence);
	if (calls)
		fleet__calls__free_unpacked(calls, NULL);
	return valid;
}

static void on_opened(void *arg, struct frame_stream *stream)
{
	struct relay_server *server = arg;
	struct leader_link *link = talloc_zero(server, struct leader_link);

	assert(link);
	link->server = server;
	link->stream = stream;
	frame_stream_set_data(stream, link);
	DL_APPEND(server->links, link);
	send_results(link, clock_now_ms());
}

static void on_closed(void *arg, struct frame_stream *stream)
{
	struct relay_server *server = arg;
	struct leader_link *link = frame_stream_data(stream);
	struct relayed_call *c, *next;

	DL_FOREACH_SAFE(link->calls, c, next)
	{
		DL_DELETE(link->calls, c);
		c->link = NULL;
	}
	DL_DELETE(server->links, link);
	talloc_free(link);
}

void relay_server_tick(struct node *n, uint64_t now)
{
	struct leader_link *link;

	if (!n->relay_server)
		return;
	DL_FOREACH(n->relay_server->links, link)
	if (now - link->sent_ms >= KEEPALIVE_INTERVAL_MS)
		send_results(link, now);
}

bool relay_server_start(struct node *n)
{
	struct relay_server *server;
	struct frames_options options = {
		.address = n->settings.links,
		.frame_max = SERVER_FRAME_MAX,
		.out_max = SERVER_OUT_MAX,
		.opened = on_opened,
		.frame = on_frame,
		.closed = on_closed,
	};

	if (!n->settings.links || !*n->settings.links)
		return true; /* makes no calls for other nodes */
	server = talloc_zero(n, struct relay_server);
	assert(server);
	server->node = n;
	server->flush = mtimer_new(server, n->ev, on_flush, server);
	options.arg = server;
	server->budget = budget_listener_new(n->settings.budgets, BUDGET_LINKS,
					     LINKS_MAX);
	assert(server->budget);
	options.budget = server->budget;
	server->frames = frames_new(server, n->ev, &options);
	if (!server->flush || !server->frames)
		return false;
	frames_accept(server->frames);
	n->relay_server = server;
	return true;
}
