/*
 * session - looks at instances and orders to them, while this node leads
 */
#include <assert.h>
#include <string.h>

#include "node/node_internal.h"

#define ORDER_MS 300u	    /* an order's answer; 3 ms on a calm day */
#define ADVICE_MS 4000u	    /* calls wait for one another there */
#define ADVICE_CALLS_MAX 4u /* 32 may wait; a long line only ages */

struct look_call {
	struct node *node;
	uint64_t lead_epoch;
	uint64_t sent_ms;
	instance_handle_t instance;
};

struct order_call {
	struct node *node;
	uint64_t lead_epoch;
	uint64_t sent_ms;
	struct sched_order order;
	char instance_id[128];
};

static void on_looked(void *arg, enum look_result result,
		      const struct sched_report *report)
{
	struct look_call *call = arg;
	struct node *n = call->node;
	uint64_t now = clock_now_ms();

	if (call->lead_epoch != n->lead_epoch) {
		talloc_free(call);
		return;
	}
	switch (result) {
	case LOOK_LOST:
		sched_poll_lost(n->sched, call->instance, now);
		break;
	case LOOK_NEWER_LEAD:
		/* The store is asked before more is ordered. */
		n->confirmed_ms = 0;
		/* fallthrough */
	case LOOK_UNANSWERED:
		n->looks_failed++;
		/* fallthrough */
	case LOOK_ANSWERED:
		sched_poll_done(n->sched, call->instance, report, call->sent_ms,
				now);
		break;
	}
	node_pump(n);
	talloc_free(call);
}

static void on_ordered(void *arg, enum sched_order_result result,
		       uint64_t clock_ms)
{
	struct order_call *call = arg;
	struct node *n = call->node;

	if (call->lead_epoch == n->lead_epoch) {
		call->order.instance_id = call->instance_id;
		sched_order_done(n->sched, &call->order, result, clock_ms,
				 call->sent_ms, clock_now_ms());
		if (result == ORDER_REFUSED_FENCE)
			n->confirmed_ms = 0;
		node_pump(n);
	}
	talloc_free(call);
}

static void send_order(struct node *n, const struct sched_order *order,
		       uint64_t now)
{
	struct order_call *call = talloc_zero(n, struct order_call);

	assert(call);
	call->node = n;
	call->lead_epoch = n->lead_epoch;
	call->sent_ms = now;
	call->order = *order;
	memcpy(call->instance_id, order->instance_id,
	       strnlen(order->instance_id, sizeof(call->instance_id) - 1));
	n->orders++;
	if (relay_order(n, order, ORDER_MS, on_ordered, call))
		return;
	n->services->order(n->services->impl, order, n->fence, ORDER_MS,
			   on_ordered, call);
}

static void send_look(struct node *n, const struct sched_poll *look,
		      uint64_t now)
{
	struct look_call *call = talloc_zero(n, struct look_call);

	assert(call);
	call->node = n;
	call->lead_epoch = n->lead_epoch;
	call->sent_ms = now;
	call->instance = look->instance;
	n->looks++;
	if (relay_look(n, look, look->timeout_ms, on_looked, call))
		return;
	n->services->look(n->services->impl, look, n->fence, look->timeout_ms,
			  on_looked, call);
}

struct advice_call {
	struct node *node;
	uint64_t lead_epoch;
	uint64_t sent_ms;
	char step[SCHED_TASK_MAX];
};

static void on_advised(void *arg, const struct sched_approval *rows,
		       uint32_t count, uint32_t valid_ms)
{
	struct advice_call *call = arg;
	struct node *n = call->node;

	if (call->lead_epoch == n->lead_epoch) {
		n->advising--;
		sched_advice_done(n->sched, call->step, rows, count, valid_ms,
				  call->sent_ms, clock_now_ms());
		node_pump(n);
	}
	talloc_free(call);
}

static void ask_adviser(struct node *n, const struct sched_advice *advice,
			uint64_t now)
{
	struct advice_call *call = talloc_zero(n, struct advice_call);

	assert(call);
	call->node = n;
	call->lead_epoch = n->lead_epoch;
	call->sent_ms = now;
	memcpy(call->step, advice->step, sizeof(call->step));
	n->advising++;
	n->services->advise(n->services->impl, advice, ADVICE_MS, on_advised,
			    call);
}

void session_run(struct node *n, uint64_t now)
{
	struct sched_advice advice;
	struct sched_order order;
	struct sched_poll look;

	if (!lead_may_order(n, now) || n->releasing ||
	    relay_is_gathering(n, now))
		return;
	while (n->advising < ADVICE_CALLS_MAX &&
	       sched_next_advice(n->sched, now, &advice))
		ask_adviser(n, &advice, now);
	while (sched_next_order(n->sched, now, &order))
		send_order(n, &order, now);
	while (sched_next_poll(n->sched, now, &look))
		send_look(n, &look, now);
	relay_flush(n);
}
