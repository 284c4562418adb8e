#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/walk/upkeep_world_internal.h"

#define CALL_MIN_MS 5u
#define CALL_MAX_MS 50u /* one way */
#define LOST_ORDER_MS 500u
#define STORE_MIN_MS 5u
#define STORE_MAX_MS 30u
#define STORE_SLOW_MIN_MS 500u
#define STORE_SLOW_MAX_MS 4000u
#define WRITES_MAX 3u /* transactions in flight */
#define CHANGES_MAX 100u
#define CONFIRM_MS 400u
#define CONFIRMED_MS 1500u	  /* orders need a confirmation this recent */
#define LIST_UNRESPONSIVE_MS 400u /* between two reads while one is silent */
#define RESERVATIONS 2u
#define LEASE_MS 4000u
#define LIST_LATE_MAX_MS 4000u
#define REPORT_LATE_MAX_MS 400u
#define ORDER_LATE_MIN_MS 500u /* of orders that get no answer in time */
#define ORDER_LATE_MAX_MS 5000u

static struct upkeep_call *call_new(struct upkeep_world *w,
				    enum upkeep_call_kind kind)
{
	struct upkeep_call *c = talloc_zero(w->ctx, struct upkeep_call);

	assert(c);
	c->kind = kind;
	c->fence = w->epoch;
	c->sent_ms = w->now;
	c->exec_ms = w->now + upkeep_between(w, CALL_MIN_MS, CALL_MAX_MS);
	c->answer_ms = UPKEEP_NEVER;
	DL_APPEND(w->calls, c);
	return c;
}

static uint64_t one_way_ms(struct upkeep_world *w)
{
	return w->now + upkeep_between(w, CALL_MIN_MS, CALL_MAX_MS);
}

static uint64_t store_answer_ms(struct upkeep_world *w)
{
	return w->now +
	       (upkeep_fault_active(w, w->store_faults)
			? upkeep_between(w, STORE_SLOW_MIN_MS,
					 STORE_SLOW_MAX_MS)
			: upkeep_between(w, STORE_MIN_MS, STORE_MAX_MS));
}

/* An instance answers once a run has ended, or after the wait. */
static bool exec_poll(struct upkeep_world *w, struct upkeep_call *c)
{
	struct upkeep_machine *m = site_instance(w, c->instance);
	uint32_t n, kept = 0;

	if (!m || w->now < m->silent_until_ms || c->fence < m->fence) {
		c->answer_ms = c->sent_ms + c->poll.timeout_ms;
		return true;
	}
	m->fence = c->fence;
	if (fault_has_leases(w) && c->poll.lease_until)
		site_extend_lease(w, m, c->poll.lease_until);
	for (n = 0; n < m->end_count; n++)
		if (m->ends[n].seq > c->poll.acked)
			m->ends[kept++] = m->ends[n];
	m->end_count = kept;
	if (!kept && w->now < c->exec_ms + c->poll.wait_ms)
		return false;
	site_report(w, c);
	c->answer_ms = one_way_ms(w);
	if (upkeep_fault_active(w, w->list_faults)) {
		c->answer_ms += upkeep_random(w, REPORT_LATE_MAX_MS);
		c->answered = upkeep_random(w, 4) &&
			      c->answer_ms < c->sent_ms + c->poll.timeout_ms;
		if (!c->answered)
			c->answer_ms = c->sent_ms + c->poll.timeout_ms;
	}
	return true;
}

/* What an order to a machine comes to while such orders fail. */
static void exec_failing_action(struct upkeep_world *w, struct upkeep_call *c)
{
	switch (upkeep_random(w, 4)) {
	case 0:
		c->action_result = FLEET_BUSY;
		break;
	case 1:
		c->action_result = FLEET_REFUSED;
		break;
	case 2:
		c->action_result = FLEET_UNKNOWN;
		if (upkeep_random(w, 2))
			site_action(w, &c->action);
		c->answer_ms = c->sent_ms + LOST_ORDER_MS;
		break;
	default:
		c->action_result = site_action(w, &c->action);
		break;
	}
}

/* Nobody waits for the answer any more when the order is carried out. */
static void execute_late(struct upkeep_world *w, const struct upkeep_call *c,
			 uint64_t exec_ms)
{
	struct upkeep_call *late = call_new(w, UPKEEP_CALL_ORDER);

	late->late = true;
	late->exec_ms = exec_ms;
	late->order = c->order;
	late->fence = c->fence;
	late->instance = c->instance;
	if (w->late_until_ms < exec_ms)
		w->late_until_ms = exec_ms;
}

static void exec_order(struct upkeep_world *w, struct upkeep_call *c)
{
	const struct upkeep_machine *m = site_instance(w, c->instance);
	bool silent = m && w->now < m->silent_until_ms;
	uint32_t outcome = UINT32_MAX;

	if (!silent && c->order.kind != ORDER_THROTTLE && !c->late &&
	    upkeep_fault_active(w, w->answer_faults))
		outcome = upkeep_random(w, 8);
	c->order_result = ORDER_UNKNOWN;
	c->answer_ms = c->sent_ms + LOST_ORDER_MS;
	if (silent && m->stands_still)
		execute_late(w, c, m->silent_until_ms);
	else if (outcome == 0)
		execute_late(w, c,
			     w->now + upkeep_between(w, ORDER_LATE_MIN_MS,
						     ORDER_LATE_MAX_MS));
	else if (outcome == 1) {
		c->unanswered = true;
		site_order(w, c);
	} else if (outcome != 2 && !silent) {
		c->order_result = site_order(w, c);
		c->answer_ms = one_way_ms(w);
	}
}

/* The list may show what was true seconds ago, or not come at all. */
static void exec_list(struct upkeep_world *w, struct upkeep_call *c)
{
	bool fault = upkeep_fault_active(w, w->list_faults);

	c->answered = !fault || upkeep_random(w, 3);
	if (c->answered)
		site_list(w, c);
	c->answer_ms = one_way_ms(w);
	if (fault)
		c->answer_ms += upkeep_random(w, LIST_LATE_MAX_MS);
}

static void exec_call(struct upkeep_world *w, struct upkeep_call *c)
{
	c->executed = true;
	switch (c->kind) {
	case UPKEEP_CALL_ORDER:
		exec_order(w, c);
		return;
	case UPKEEP_CALL_POLL:
		c->executed = exec_poll(w, c);
		return;
	case UPKEEP_CALL_WRITE:
		rows_apply(w, c);
		/* fallthrough */
	case UPKEEP_CALL_CONFIRM:
		c->answer_ms = store_answer_ms(w);
		return;
	case UPKEEP_CALL_LIST:
		exec_list(w, c);
		return;
	case UPKEEP_CALL_ACTION:
		c->answer_ms = one_way_ms(w);
		if (c->action.kind != FLEET_ACTION_WAVE_STATE &&
		    upkeep_fault_active(w, w->order_faults))
			exec_failing_action(w, c);
		else if (c->action.kind != FLEET_ACTION_WAVE_STATE &&
			 upkeep_fault_active(w, w->list_faults) &&
			 upkeep_random(w, 2))
			c->action_result = FLEET_REFUSED; /* the rate limit */
		else
			c->action_result = site_action(w, &c->action);
		return;
	}
}

static void machines_listed(struct upkeep_world *w, const struct upkeep_call *c)
{
	uint32_t i;

	w->listing = false;
	if (!c->answered)
		return;
	fleet_set_machines(w->fleet, c->machines, c->machine_count, w->now);
	for (i = 0; i < c->machine_count; i++) {
		const struct fleet_machine_info *m = &c->machines[i];

		if (*c->instances[i])
			sched_expect_instance(w->sched, c->instances[i],
					      m->pool, m->machine, w->now);
		sched_machine_listed(w->sched, m->machine, c->instances[i],
				     c->sent_ms, w->now);
	}
	sched_expect_complete(w->sched, w->now);
}

static void poll_answered(struct upkeep_world *w, const struct upkeep_call *c)
{
	struct sched_report r = { .clock_ms = c->report_ms,
				  .started_unix_ms = c->born_ms,
				  .running = c->running,
				  .running_count = c->running_count,
				  .ended = c->ended,
				  .ended_count = c->ended_count };

	sched_poll_done(w->sched, c->poll.instance, c->answered ? &r : NULL,
			c->sent_ms, w->now);
}

static void answer_call(struct upkeep_world *w, struct upkeep_call *c)
{
	switch (c->kind) {
	case UPKEEP_CALL_ORDER:
		sched_order_done(w->sched, &c->order, c->order_result,
				 c->exec_ms, c->sent_ms, w->now);
		break;
	case UPKEEP_CALL_POLL:
		poll_answered(w, c);
		break;
	case UPKEEP_CALL_WRITE:
		w->writes--;
		sched_batch_done(w->sched, c->batch, true, w->now);
		break;
	case UPKEEP_CALL_CONFIRM:
		w->confirming = false;
		w->confirmed_ms = c->sent_ms;
		sched_leader_confirmed(w->sched, c->sent_ms);
		break;
	case UPKEEP_CALL_LIST:
		machines_listed(w, c);
		break;
	case UPKEEP_CALL_ACTION:
		if (c->action.kind == FLEET_ACTION_MAINTENANCE &&
		    c->action_result == FLEET_DONE)
			site_record(w, &c->action);
		fleet_action_result(w->fleet, w->sched, &c->action,
				    c->action_result, w->now);
		break;
	}
}

void lead_calls_advance(struct upkeep_world *w)
{
	struct upkeep_call *c, *next;

	DL_FOREACH_SAFE(w->calls, c, next)
	{
		if (!c->executed && w->now >= c->exec_ms)
			exec_call(w, c);
		if (!c->executed || w->now < c->answer_ms)
			continue;
		DL_DELETE(w->calls, c);
		if (!c->late)
			answer_call(w, c);
		talloc_free(c);
	}
}

static void send_calls(struct upkeep_world *w)
{
	struct sched_order order;
	struct sched_poll poll;
	struct upkeep_call *c;

	while (sched_next_order(w->sched, w->now, &order)) {
		c = call_new(w, UPKEEP_CALL_ORDER);
		c->order = order;
		c->order.instance_id = talloc_strdup(c, order.instance_id);
		assert(c->order.instance_id);
		c->instance = (uint32_t)atoi(order.instance_id + 2);
	}
	while (sched_next_poll(w->sched, w->now, &poll)) {
		c = call_new(w, UPKEEP_CALL_POLL);
		c->poll = poll;
		c->instance = (uint32_t)atoi(poll.instance_id + 2);
	}
}

static void write_changes(struct upkeep_world *w)
{
	while (w->writes < WRITES_MAX && sched_change_pending(w->sched)) {
		struct sched_change change;
		struct upkeep_call *c = call_new(w, UPKEEP_CALL_WRITE);
		uint32_t count = 0;

		c->batch = ++w->last_batch;
		w->writes++;
		while (count++ < CHANGES_MAX &&
		       sched_next_change(w->sched, c->batch, &change))
			rows_add(c, &change);
	}
}

static void plan(struct upkeep_world *w)
{
	struct fleet_action action;

	if (w->now < w->plan_due_ms)
		return;
	w->plan_due_ms = w->now + UPKEEP_PLAN_MS;
	if (!w->listing &&
	    (fleet_needs_machine_list(w->fleet, w->now) ||
	     (sched_needs_machine_list(w->sched) &&
	      w->now - w->list_sent_ms >= LIST_UNRESPONSIVE_MS))) {
		w->listing = true;
		w->list_sent_ms = w->now;
		fleet_list_requested(w->fleet, w->now);
		call_new(w, UPKEEP_CALL_LIST);
	}
	if (w->now - w->confirmed_ms > CONFIRMED_MS) {
		fleet_release_needed(w->fleet, w->sched, w->now);
		return;
	}
	while (fleet_next_action(w->fleet, w->sched, w->now, &action)) {
		struct upkeep_call *c = call_new(w, UPKEEP_CALL_ACTION);

		c->action = action;
	}
}

static void trace_decision(void *arg, const char *kind, const char *id,
			   const char *text)
{
	static const char *const kinds[] = { "relocate", "reserve",
					     "instance-silent", "run-lost" };
	const struct upkeep_world *w = arg;
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		if (!strcmp(kind, kinds[i]))
			upkeep_trace(w, "sched: %s %s {%s}", kind, id, text);
}

void lead_begin(struct upkeep_world *w)
{
	struct sched_options options = { .lease_ms = LEASE_MS,
					 .lease_max_ms = UPKEEP_LEASE_MAX_MS,
					 .predecessor_orders_ms = 6000,
					 .start_wait_ms = 1000,
					 .end_keep_ms = 120000,
					 .placement_reservations =
						 RESERVATIONS };
	struct fleet_options fleet_options = {
		.maintenance_ms = UPKEEP_MAINTENANCE_MS,
		.move_ms = UPKEEP_MOVE_MS,
		.forecast_trust_max = w->forecast_trust_max,
	};
	bool predecessor_gone = true;

	w->sched = sched_new(w->ctx, &options);
	sched_set_clock(w->sched, w->now);
	sched_configure(w->sched, w->config_now, w->now);
	if (w->verbose)
		sched_set_trace(w->sched, trace_decision, w);
	if (++w->epoch > 1) {
		rows_load(w);
		predecessor_gone = upkeep_random(w, 2);
		upkeep_trace(w, "leader of epoch %llu",
			     (unsigned long long)w->epoch);
	}
	sched_become_leader(w->sched, w->epoch, predecessor_gone, w->now);
	w->fleet = fleet_new(w->ctx, &fleet_options);
	fleet_configure(w->fleet, w->config_now);
	if (w->epoch > 1) {
		site_load_waves(w);
		fault_tell_evacuated(w);
	}
}

void lead_end(struct upkeep_world *w)
{
	struct upkeep_call *c, *next;

	upkeep_trace(w, "the leader ends");
	DL_FOREACH_SAFE(w->calls, c, next)
	{
		c->late = true;
		if (c->kind == UPKEEP_CALL_ORDER ||
		    c->kind == UPKEEP_CALL_ACTION)
			continue;
		DL_DELETE(w->calls, c);
		talloc_free(c);
	}
	TALLOC_FREE(w->sched);
	TALLOC_FREE(w->fleet);
	w->writes = 0;
	w->confirming = w->listing = false;
	rows_forget_unwritten(w);
}

void lead_advance(struct upkeep_world *w)
{
	if (!w->confirming && (w->now - w->confirmed_ms >= CONFIRM_MS ||
			       sched_needs_confirmation(w->sched, w->now))) {
		w->confirming = true;
		call_new(w, UPKEEP_CALL_CONFIRM);
	}
	sched_tick(w->sched, w->now, w->now);
	send_calls(w);
	write_changes(w);
	plan(w);
}
