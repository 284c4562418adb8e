/*
 * session - the leader's calls: polls of instances, orders to them, advice
 *
 * Calls to instances go through a relay if one is linked.
 */
#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "node/node_internal.h"

#define ORDER_MS 300u /* timeout; an answer normally takes 3 ms */

#define ADVICE_MS 4000u /* timeout */
/* One that the adviser handles, one that waits: advice ages while it waits. */
#define ADVICE_CALLS_MAX 2u

struct poll_call {
	struct node *node;
	uint64_t generation;
	uint64_t sent_ms;
	instance_handle_t instance;
	char instance_id[SCHED_NAME_MAX];
};

struct order_call {
	struct node *node;
	uint64_t generation;
	uint64_t sent_ms;
	struct sched_order order;
	char instance_id[SCHED_NAME_MAX];
};

/*
 * An instance has orders of a newer leader. No more orders are given before the
 * store confirms this one.
 */
static void newer_leader_seen(struct node *n, const char *instance,
			      const char *call, uint64_t now)
{
	event_log("newer-leader", instance,
		  "\"call\":\"%s\",\"epoch\":%" PRIu64 ",\"fence\":%" PRIu64
		  ",\"confirmed_ms_ago\":%" PRId64,
		  call, n->leader.epoch, n->fence,
		  n->confirmed_ms ? (int64_t)(now - n->confirmed_ms) : -1);
	leader_doubted(n, now);
}

static void on_polled(void *arg, enum poll_result result,
		      const struct sched_report *report)
{
	struct poll_call *call = arg;
	struct node *n = call->node;
	uint64_t now = clock_now_ms();

	if (call->generation != n->phase_generation) {
		talloc_free(call);
		return;
	}
	switch (result) {
	case POLL_LOST:
		sched_poll_lost(n->sched, call->instance, now);
		break;
	case POLL_NEWER_LEADER:
		newer_leader_seen(n, call->instance_id, "poll", now);
		/* fallthrough */
	case POLL_UNANSWERED:
		n->polls_failed++;
		/* fallthrough */
	case POLL_ANSWERED:
		sched_poll_done(n->sched, call->instance, report, call->sent_ms,
				now);
		break;
	}
	node_schedule_pass(n);
	talloc_free(call);
}

static void on_ordered(void *arg, enum sched_order_result result,
		       uint64_t clock_ms)
{
	struct order_call *call = arg;
	struct node *n = call->node;
	uint64_t now = clock_now_ms();

	if (call->generation == n->phase_generation) {
		call->order.instance_id = call->instance_id;
		sched_order_done(n->sched, &call->order, result, clock_ms,
				 call->sent_ms, now);
		if (result == ORDER_REFUSED_FENCE)
			newer_leader_seen(n, call->instance_id, "order", now);
		node_schedule_pass(n);
	}
	talloc_free(call);
}

static void copy_id(char to[SCHED_NAME_MAX], const char *id)
{
	memcpy(to, id, strnlen(id, SCHED_NAME_MAX - 1));
}

static void send_order(struct node *n, const struct sched_order *order,
		       uint64_t now)
{
	struct order_call *call;

	/* The process may have stood still since the pass began. */
	if (order->kind == ORDER_START &&
	    !evacuations_usable(n, clock_now_ms())) {
		sched_order_done(n->sched, order, ORDER_REFUSED_LATE, 0, now,
				 now);
		return;
	}
	call = talloc_zero(n, struct order_call);
	assert(call);
	call->node = n;
	call->generation = n->phase_generation;
	call->sent_ms = now;
	call->order = *order;
	copy_id(call->instance_id, order->instance_id);
	n->orders++;
	if (order->kind == ORDER_START)
		term_start_sent(n, order->task, now);
	if (relay_order(n, order, ORDER_MS, on_ordered, call))
		return;
	n->services->order(n->services->impl, order, n->fence, ORDER_MS,
			   on_ordered, call);
}

static void send_poll(struct node *n, const struct sched_poll *poll,
		      uint64_t now)
{
	struct poll_call *call = talloc_zero(n, struct poll_call);

	assert(call);
	call->node = n;
	call->generation = n->phase_generation;
	call->sent_ms = now;
	call->instance = poll->instance;
	copy_id(call->instance_id, poll->instance_id);
	n->polls++;
	if (relay_poll(n, poll, poll->timeout_ms, on_polled, call))
		return;
	n->services->poll(n->services->impl, poll, n->fence, poll->timeout_ms,
			  on_polled, call);
}

struct advice_call {
	struct node *node;
	uint64_t generation;
	uint64_t sent_ms;
	char step[SCHED_TASK_MAX];
};

static void on_advised(void *arg, const struct sched_approval *approvals,
		       uint32_t count, uint32_t valid_ms)
{
	struct advice_call *call = arg;
	struct node *n = call->node;

	if (call->generation == n->phase_generation) {
		n->advice_calls--;
		sched_advice_done(n->sched, call->step, approvals, count,
				  valid_ms, call->sent_ms, clock_now_ms());
		node_schedule_pass(n);
	}
	talloc_free(call);
}

static void request_advice(struct node *n, const struct sched_advice *advice,
			   uint64_t now)
{
	struct advice_call *call = talloc_zero(n, struct advice_call);

	assert(call);
	call->node = n;
	call->generation = n->phase_generation;
	call->sent_ms = now;
	memcpy(call->step, advice->step, sizeof(call->step));
	n->advice_calls++;
	n->services->advise(n->services->impl, advice, ADVICE_MS, on_advised,
			    call);
}

void session_send_calls(struct node *n, uint64_t now)
{
	struct sched_advice advice;
	struct sched_order order;
	struct sched_poll poll;

	if (!leader_may_order(n, now) || n->releasing ||
	    relay_is_connecting(n, now))
		return;
	while (n->advice_calls < ADVICE_CALLS_MAX &&
	       sched_next_advice(n->sched, now, &advice))
		request_advice(n, &advice, now);
	while (sched_next_order(n->sched, now, &order))
		send_order(n, &order, now);
	while (sched_next_poll(n->sched, now, &poll))
		send_poll(n, &poll, now);
	relay_flush(n);
}
