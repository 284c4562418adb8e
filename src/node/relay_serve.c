/*
 * relay_serve - makes calls to instances for the node that leads
 *
 * The calls carry the lead's fence, which instances check: those of a lead
 * that was replaced do nothing. Results are gathered for a moment and leave
 * as one frame. A node that stood still drops what it was told before.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

#define SERVE_FRAME_MAX (8u << 20) /* bytes */
#define SERVE_OUT_MAX (8u << 20)   /* bytes that wait for one lead */
#define SERVE_GATHER_MS 2u	   /* results that leave together */
#define SERVE_ALIVE_MS 100u	   /* between two signs of life */
#define SERVE_STOOD_STILL_MS 500u  /* ten ticks: told things are old */

struct served_call;

/* A link from a lead. */
struct served {
	struct served *prev, *next;
	struct relay_serve *serve;
	struct frame_stream *stream;
	struct served_call *calls;
	uint64_t sent_ms;
	uint8_t *out; /* packed results that wait */
	size_t out_length;
	size_t out_room;
};

struct served_call {
	struct served_call *prev, *next; /* of the link */
	struct served *from;		 /* NULL: the link is gone */
	struct node *node;
	uint32_t id;
};

struct relay_serve {
	struct node *node;
	struct frames *frames;
	struct mtimer *flush;
	struct served *links;
};

static void send_results(struct served *s, uint64_t now)
{
	Fleet__CallResults end = FLEET__CALL_RESULTS__INIT;
	size_t length;
	uint8_t *to;

	end.stopping = s->serve->node->stopping;
	length = fleet__call_results__get_packed_size(&end);
	to = frame_room(s->stream, s->out_length + length);
	if (to) {
		memcpy(to, s->out, s->out_length);
		fleet__call_results__pack(&end, to + s->out_length);
		frame_send(s->stream);
	}
	s->out_length = 0;
	s->sent_ms = now;
}

static void on_flush(void *arg)
{
	struct relay_serve *serve = arg;
	uint64_t now = clock_now_ms();
	struct served *s;

	DL_FOREACH(serve->links, s)
	if (s->out_length)
		send_results(s, now);
}

static void give_result(struct served_call *c, Fleet__CallResult *result)
{
	struct served *s = c->from;
	Fleet__CallResults results = FLEET__CALL_RESULTS__INIT;
	size_t length;

	if (!s)
		goto out;
	result->id = c->id;
	results.results = &result;
	results.n_results = 1;
	length = fleet__call_results__get_packed_size(&results);
	if (s->out_length + length > s->out_room) {
		s->out_room = 2 * (s->out_length + length);
		s->out = talloc_realloc(s, s->out, uint8_t, s->out_room);
		assert(s->out);
	}
	s->out_length +=
		fleet__call_results__pack(&results, s->out + s->out_length);
	if (!mtimer_pending(s->serve->flush))
		mtimer_set(s->serve->flush, SERVE_GATHER_MS);
	DL_DELETE(s->calls, c);
out:
	talloc_free(c);
}

static void on_ordered(void *arg, enum sched_order_result result,
		       uint64_t clock_ms)
{
	Fleet__CallResult out = FLEET__CALL_RESULT__INIT;

	out.result = result;
	out.clock_ms = clock_ms;
	give_result(arg, &out);
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
	out->clock_ms = report->clock_ms;
	out->born = report->started_unix_ms;
}

static void on_looked(void *arg, enum look_result result,
		      const struct sched_report *report)
{
	struct served_call *c = arg;
	Fleet__CallResult out = FLEET__CALL_RESULT__INIT;
	Fleet__CallReport filled = FLEET__CALL_REPORT__INIT;

	out.newer_lead = result == LOOK_NEWER_LEAD;
	if (result == LOOK_ANSWERED) {
		fill_report(c, report, &filled);
		out.report = &filled;
	}
	give_result(c, &out);
}

static void make_order(struct node *n, const Fleet__Call *call,
		       enum sched_order_kind kind, uint64_t fence,
		       struct served_call *c)
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
	n->services->order(n->services->impl, &order, fence, call->timeout_ms,
			   on_ordered, c);
}

static void make_look(struct node *n, const Fleet__Call *call, uint64_t fence,
		      struct served_call *c)
{
	struct sched_poll look = {
		.instance_id = call->instance,
		.address = call->address,
		.lease_until = call->lease_until,
		.acked = call->acked,
		.wait_ms = call->wait_ms,
	};

	n->services->look(n->services->impl, &look, fence, call->timeout_ms,
			  on_looked, c);
}

static void make_call(struct served *s, const Fleet__Call *call, uint64_t fence)
{
	struct node *n = s->serve->node;
	struct served_call *c = talloc_zero(n, struct served_call);

	assert(c);
	c->from = s;
	c->node = n;
	c->id = call->id;
	DL_APPEND(s->calls, c);
	n->calls_served++;
	switch (call->kind) {
	case FLEET__CALL_KIND__LOOK:
		make_look(n, call, fence, c);
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

static bool calls_sound(const Fleet__Calls *calls)
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
	struct relay_serve *serve = arg;
	struct served *s = frame_stream_data(stream);
	uint64_t still_ms = clock_now_ms() - serve->node->awake_ms;
	Fleet__Calls *calls;
	bool sound;
	size_t i;

	if (still_ms >= SERVE_STOOD_STILL_MS) {
		event_log("calls-dropped", NULL, "\"stood_still_ms\":%" PRIu64,
			  still_ms);
		frame_stream_break(stream);
		return true;
	}
	calls = fleet__calls__unpack(NULL, length, data);
	sound = calls && calls_sound(calls);
	for (i = 0; sound && i < calls->n_calls; i++)
		make_call(s, calls->calls[i], calls->fence);
	if (calls)
		fleet__calls__free_unpacked(calls, NULL);
	return sound;
}

static void on_opened(void *arg, struct frame_stream *stream)
{
	struct relay_serve *serve = arg;
	struct served *s = talloc_zero(serve, struct served);

	assert(s);
	s->serve = serve;
	s->stream = stream;
	frame_stream_set(stream, s);
	DL_APPEND(serve->links, s);
	send_results(s, clock_now_ms());
}

static void on_closed(void *arg, struct frame_stream *stream)
{
	struct relay_serve *serve = arg;
	struct served *s = frame_stream_data(stream);
	struct served_call *c, *next;

	DL_FOREACH_SAFE(s->calls, c, next)
	{
		DL_DELETE(s->calls, c);
		c->from = NULL;
	}
	DL_DELETE(serve->links, s);
	talloc_free(s);
}

void relay_serve_tick(struct node *n, uint64_t now)
{
	struct served *s;

	if (!n->relay_serve)
		return;
	DL_FOREACH(n->relay_serve->links, s)
	if (now - s->sent_ms >= SERVE_ALIVE_MS)
		send_results(s, now);
}

bool relay_serve_start(struct node *n)
{
	struct relay_serve *serve;
	struct frames_options options = {
		.address = n->settings.links,
		.frame_max = SERVE_FRAME_MAX,
		.out_max = SERVE_OUT_MAX,
		.opened = on_opened,
		.frame = on_frame,
		.closed = on_closed,
	};

	if (!n->settings.links || !*n->settings.links)
		return true; /* it makes no calls for others */
	serve = talloc_zero(n, struct relay_serve);
	assert(serve);
	serve->node = n;
	serve->flush = mtimer_new(serve, n->ev, on_flush, serve);
	options.arg = serve;
	serve->frames = frames_new(serve, n->ev, &options);
	if (!serve->flush || !serve->frames)
		return false;
	frames_accept(serve->frames);
	n->relay_serve = serve;
	return true;
}
