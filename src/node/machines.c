/*
 * machines - carries out the decisions of fleet/ while this node is the leader
 *
 * The orders of two leaders to machines must be at least holder_ms apart. A new
 * leader waits that long, and a leader that isn't confirmed stops giving
 * orders. After a restart of all nodes no order of the predecessor is in
 * flight, so the new leader needn't wait.
 */
#include <assert.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

#define LIST_RETRY_MS 200u
/* Between two reads of the machine list while an instance is unresponsive. */
#define LIST_UNRESPONSIVE_MS 400u
#define POOLS_LOG_MS 1000u
#define DEMANDS_LOG_MS 1000u
/* Pools with a line a second: more would make the kind one of the frequent. */
#define DEMANDS_LOGGED_MAX 4u
#define FORECAST_LOG_MS 5000u /* between two lines about one pool */
#define FORECAST_LOG_STEP 0.5 /* of the trust */

/* A wave read this soon after the process started may be an old request. */
#define WAVE_REPLAY_MS 5000u
#define HOLDER_MARGIN_MS 300u	 /* added to holder_ms */
#define ORDER_CONFIRMED_MS 1500u /* orders need a confirmation this recent */
#define MAINTENANCE_RETRY_MS 300u

/* What was last logged of a pool's forecast. */
struct forecast_logged {
	uint64_t at_ms;
	uint32_t period_ms;
	double trust;
};

struct machines {
	struct fleet *fleet; /* NULL while this node isn't the leader */
	uint32_t wave_count;
	struct wave_request **waves; /* all that operators requested */
	bool listing;
	bool list_failed; /* the last machine list was incomplete */
	uint64_t list_retry_ms;
	uint64_t list_sent_ms;	  /* when the list was last requested */
	uint64_t pools_logged_ms; /* when the pools' load was last logged */
	uint64_t demands_logged_ms;
	bool maintenance_read; /* all of the maintenance table was read */
	uint64_t maintenance_retry_ms;
	bool maintenance_reading;
	char *maintenance_next_key; /* first key of the next page */
	uint32_t unwritten_count;   /* ordered maintenance not yet stored */
	char **unwritten;	    /* keys of its rows */
	bool writing;
	uint64_t write_retry_ms;
	struct forecast_logged forecast_logged[FORECAST_POOLS_MAX];
};

struct machine_call {
	struct node *node;
	uint64_t phase_generation;
	struct fleet_action action;
	uint64_t sent_ms;
};

static struct machines *machines_get(struct node *n)
{
	if (!n->machines)
		n->machines = talloc_zero(n, struct machines);
	assert(n->machines);
	return n->machines;
}

static void start_wave(struct machines *m, const struct wave_request *w)
{
	fleet_add_wave(m->fleet, w->name, w->number, w->max_concurrent,
		       w->duration_ms, (const char *const *)w->machines,
		       w->machine_count, w->started_ms);
}

void machines_add_wave(struct node *n, struct wave_request *request)
{
	struct machines *m = machines_get(n);
	uint64_t now = clock_now_ms();
	uint32_t i;

	for (i = 0; i < m->wave_count; i++)
		if (m->waves[i]->number == request->number) {
			talloc_free(request);
			return;
		}
	event_log("wave", request->name,
		  "\"wave\":%" PRIu64 ",\"machines\":%u,\"at_once\":%u,"
		  "\"duration_ms\":%u",
		  request->number, request->machine_count,
		  request->max_concurrent, request->duration_ms);
	request->started_ms = now;
	/*
	 * The wave may have been requested long before this process started,
	 * so all of its duration counts as over.
	 */
	if (!n->settings.first_start && now - n->started_ms < WAVE_REPLAY_MS)
		request->started_ms = now - request->duration_ms;
	m->waves = talloc_realloc(m, m->waves, struct wave_request *,
				  m->wave_count + 1);
	assert(m->waves);
	m->waves[m->wave_count++] = talloc_steal(m, request);
	if (m->fleet)
		start_wave(m, request);
}

void machines_set_evacuated(struct node *n, const char *const *zones,
			    uint32_t count)
{
	if (n->machines && n->machines->fleet)
		fleet_set_evacuated(n->machines->fleet, zones, count);
}

void machines_end(struct node *n)
{
	if (n->machines)
		TALLOC_FREE(n->machines->fleet);
}

/*
 * The instance directory may lack new instances for a while and keep entries of
 * instances that are gone. The machine list shows which instances are up.
 */
static void expect_instances(struct node *n,
			     const struct machine_info *machines,
			     uint32_t count, uint64_t sent_ms)
{
	uint64_t now = clock_now_ms();
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct machine_info *m = &machines[i];
		const char *up = m->state == MACHINE_UP ? m->instance : "";

		if (*up)
			sched_expect_instance(n->sched, up, m->pool, m->machine,
					      now);
		sched_machine_listed(n->sched, m->machine, up, sent_ms, now);
	}
	sched_expect_complete(n->sched, now);
	node_schedule_pass(n);
}

/* Logs when the machine list becomes unavailable or available again. */
static void log_list_result(struct machines *m, bool complete)
{
	if (complete == !m->list_failed)
		return;
	m->list_failed = !complete;
	event_log(complete ? "fleet-regained" : "fleet-lost", NULL,
		  "\"list\":%d", complete);
}

static void on_list(void *arg, bool complete,
		    const struct machine_info *machines, uint32_t count)
{
	static const enum fleet_machine_state states[] = {
		[MACHINE_UP] = FLEET_UP,
		[MACHINE_MOVING] = FLEET_MOVING,
		[MACHINE_MAINTENANCE] = FLEET_IN_MAINTENANCE,
		[MACHINE_DOWN] = FLEET_DOWN,
	};
	struct machine_call *call = arg;
	struct node *n = call->node;
	struct machines *m = n->machines;
	struct fleet_machine_info *infos;
	uint32_t i;

	if (call->phase_generation == n->phase_generation && m->fleet) {
		m->listing = false;
		log_list_result(m, complete);
		infos = talloc_zero_array(call, struct fleet_machine_info,
					  count ? count : 1);
		assert(infos);
		for (i = 0; i < count; i++) {
			infos[i].machine = machines[i].machine;
			infos[i].pool = machines[i].pool;
			infos[i].rack = machines[i].rack;
			infos[i].zone = machines[i].zone;
			infos[i].state = states[machines[i].state];
		}
		if (complete) {
			fleet_set_machines(m->fleet, infos, count,
					   clock_now_ms());
			expect_instances(n, machines, count, call->sent_ms);
		} else {
			m->list_retry_ms = clock_now_ms() + LIST_RETRY_MS;
		}
	}
	talloc_free(call);
}

static struct machine_call *call_new(struct node *n)
{
	struct machine_call *call = talloc_zero(n, struct machine_call);

	assert(call);
	call->node = n;
	call->phase_generation = n->phase_generation;
	call->sent_ms = clock_now_ms();
	return call;
}

static void read_list(struct node *n)
{
	n->machines->listing = true;
	n->machines->list_sent_ms = clock_now_ms();
	fleet_list_requested(n->machines->fleet, n->machines->list_sent_ms);
	n->services->machines(n->services->impl, on_list, call_new(n));
}

void machines_begin(struct node *n)
{
	struct machines *m = machines_get(n);
	struct fleet_options options = {
		.maintenance_ms = n->settings.maintenance_ms,
		.move_ms = n->settings.move_ms,
		.forecast_trust_max = n->settings.forecast_trust_max,
	};
	uint32_t i;

	m->fleet = fleet_new(n, &options);
	m->listing = m->maintenance_read = m->maintenance_reading = false;
	m->list_retry_ms = m->maintenance_retry_ms = 0;
	memset(m->forecast_logged, 0, sizeof(m->forecast_logged));
	TALLOC_FREE(m->maintenance_next_key);
	for (i = 0; i < m->wave_count; i++)
		start_wave(m, m->waves[i]);
	n->evacuation.changed = true; /* this planner knows of none yet */
	read_list(n);
}

static void load_maintenance(struct machines *m,
			     const struct store_answer *answer)
{
	uint32_t i;

	for (i = 0; i < answer->row_count; i++) {
		uint64_t wave;
		char machine[FLEET_NAME_MAX];

		if (sscanf(answer->rows[i].key, "%" SCNu64 "/%127s", &wave,
			   machine) == 2)
			fleet_record_maintenance(m->fleet, wave, machine);
	}
}

/* Handles one page; a wave of hundreds of machines takes several. */
static void on_maintenance(void *arg, const struct store_answer *answer)
{
	struct machine_call *call = arg;
	struct node *n = call->node;
	struct machines *m = n->machines;

	node_store_result(n, "read upkeep", answer->status);
	if (call->phase_generation != n->phase_generation || !m->fleet)
		goto out;
	m->maintenance_reading = false;
	if (answer->status != STORE_OK) {
		m->maintenance_retry_ms = clock_now_ms() + MAINTENANCE_RETRY_MS;
		goto out;
	}
	load_maintenance(m, answer);
	m->maintenance_read = !answer->more || !answer->row_count;
	if (!m->maintenance_read) {
		talloc_free(m->maintenance_next_key);
		m->maintenance_next_key = node_key_after(
			m, answer->rows[answer->row_count - 1].key);
	}
out:
	talloc_free(call);
}

struct maintenance_write {
	struct node *node;
	struct store_txn txn;
	uint32_t count;
};

static void on_maintenance_written(void *arg, const struct store_answer *answer)
{
	struct maintenance_write *w = arg;
	struct machines *m = w->node->machines;

	node_store_result(w->node, "write upkeep", answer->status);
	m->writing = false;
	if (answer->status == STORE_OK) {
		while (w->count-- > 0) {
			talloc_free(m->unwritten[0]);
			memmove(m->unwritten, m->unwritten + 1,
				--m->unwritten_count * sizeof(*m->unwritten));
		}
	} else {
		m->write_retry_ms = clock_now_ms() + MAINTENANCE_RETRY_MS;
	}
	talloc_free(w);
}

/* Stores ordered maintenance in as few transactions as possible. */
static void write_maintenance(struct node *n, uint64_t now)
{
	struct machines *m = n->machines;
	struct maintenance_write *w;
	uint32_t i;

	if (m->writing || !m->unwritten_count || now < m->write_retry_ms)
		return;
	w = talloc_zero(n, struct maintenance_write);
	assert(w);
	w->node = n;
	for (i = 0; i < m->unwritten_count && i < STORE_TXN_MAX; i++)
		w->txn.puts[i] = (struct store_put){ NODE_TABLE_MAINTENANCE,
						     m->unwritten[i],
						     (const uint8_t *)"1", 1 };
	w->txn.put_count = w->count = i;
	m->writing = true;
	n->services->txn(n->services->impl, &w->txn, NODE_STORE_MS,
			 on_maintenance_written, w);
}

static void queue_maintenance(struct node *n, const struct fleet_action *a)
{
	struct machines *m = n->machines;

	m->unwritten =
		talloc_realloc(m, m->unwritten, char *, m->unwritten_count + 1);
	assert(m->unwritten);
	m->unwritten[m->unwritten_count++] =
		talloc_asprintf(m, "%" PRIu64 "/%s", a->wave, a->machine);
}

/* Orders */

static void on_machine_answer(void *arg, enum machine_result result)
{
	static const enum fleet_result results[] = {
		[MACHINE_OK] = FLEET_DONE,
		[MACHINE_BUSY] = FLEET_BUSY,
		[MACHINE_DENIED] = FLEET_REFUSED,
		[MACHINE_UNKNOWN] = FLEET_UNKNOWN,
	};
	struct machine_call *call = arg;
	struct node *n = call->node;

	event_log("machine-answer", call->action.machine,
		  "\"kind\":%d,\"result\":%d,\"took_ms\":%" PRIu64,
		  call->action.kind, result, clock_now_ms() - call->sent_ms);
	if (call->phase_generation == n->phase_generation &&
	    n->machines->fleet) {
		fleet_action_result(n->machines->fleet, n->sched, &call->action,
				    results[result], clock_now_ms());
		if (result == MACHINE_OK &&
		    call->action.kind == FLEET_ACTION_MAINTENANCE)
			queue_maintenance(n, &call->action);
		node_schedule_pass(n);
	}
	talloc_free(call);
}

static void on_wave_state_written(void *arg, const struct store_answer *answer)
{
	struct machine_call *call = arg;
	struct node *n = call->node;

	node_store_result(n, "write wave", answer->status);
	if (call->phase_generation == n->phase_generation && n->machines->fleet)
		fleet_action_result(n->machines->fleet, n->sched, &call->action,
				    answer->status == STORE_OK ? FLEET_DONE
							       : FLEET_REFUSED,
				    clock_now_ms());
	talloc_free(call);
}

static void write_wave_state(struct node *n, struct machine_call *call)
{
	const struct fleet_action *a = &call->action;
	struct store_txn *txn = talloc_zero(call, struct store_txn);
	char *text = n->services->wave_status(call, a->wave, a->completed);

	assert(txn && text);
	event_log("wave-state", a->wave_name, "\"completed\":%d", a->completed);
	txn->condition_count = 1;
	txn->conditions[0] =
		(struct store_condition){ NODE_TABLE_LEADER, NODE_LEADER_KEY,
					  n->leader.revision };
	txn->put_count = 1;
	txn->puts[0].table = n->services->status_table;
	txn->puts[0].key = a->wave_name;
	txn->puts[0].value = (const uint8_t *)text;
	txn->puts[0].length = strlen(text);
	n->services->txn(n->services->impl, txn, NODE_STORE_MS,
			 on_wave_state_written, call);
}

static void run_action(struct node *n, const struct fleet_action *a)
{
	struct machine_holder holder = { n->settings.name, n->fence };
	struct machine_call *call = call_new(n);

	call->action = *a;
	switch (a->kind) {
	case FLEET_ACTION_WAVE_STATE:
		write_wave_state(n, call);
		return;
	case FLEET_ACTION_MAINTENANCE:
		event_log("upkeep-order", a->machine, "\"wave\":%" PRIu64,
			  a->wave);
		n->services->machine_maintenance(n->services->impl, &holder,
						 a->machine, a->wave,
						 on_machine_answer, call);
		return;
	case FLEET_ACTION_MOVE:
		event_log("move-order", a->machine, "\"pool\":\"%s\"", a->pool);
		n->services->machine_move(n->services->impl, &holder,
					  a->machine, a->pool,
					  on_machine_answer, call);
		return;
	}
}

bool machines_wait_is_over(const struct machines_wait *w, uint64_t now)
{
	if (now - w->leader_since_ms >= w->holder_ms + HOLDER_MARGIN_MS)
		return true;
	return w->predecessor_ended && now - w->started_ms < w->holder_ms;
}

static bool may_order(const struct node *n, uint64_t now)
{
	struct machines_wait wait = { n->started_ms, n->leader_since_ms,
				      n->settings.holder_ms,
				      n->predecessor_ended };

	return machines_wait_is_over(&wait, now) &&
	       leader_confirmed_within(n, now, ORDER_CONFIRMED_MS) &&
	       !n->releasing && !n->stopping;
}

/* machines_stats - false while this node is not the leader */
bool machines_stats(const struct node *n, struct fleet_stats *stats)
{
	if (!n->machines || !n->machines->fleet)
		return false;
	fleet_stats(n->machines->fleet, stats);
	return true;
}

const struct forecast *machines_forecast(const struct node *n)
{
	return n->machines && n->machines->fleet
		       ? fleet_forecast(n->machines->fleet)
		       : NULL;
}

/*
 * Logs a pool's forecast when its period is found, changed or lost, or when its
 * trust has changed by FORECAST_LOG_STEP; each pool at most once in
 * FORECAST_LOG_MS.
 */
static void log_forecast(struct node *n, uint64_t now)
{
	struct machines *m = n->machines;
	const struct forecast *f = machines_forecast(n);
	struct forecast_stats s;
	uint32_t i;

	for (i = 0; f && forecast_stats(f, i, &s); i++) {
		struct forecast_logged *l = &m->forecast_logged[i];

		if (now - l->at_ms < FORECAST_LOG_MS ||
		    (l->period_ms == s.period_ms &&
		     fabs(l->trust - s.trust) < FORECAST_LOG_STEP))
			continue;
		event_log("forecast", s.pool,
			  "\"period_ms\":%u,\"trust\":%.2f,"
			  "\"expected_work\":%.0f,\"observed_work\":%.0f",
			  s.period_ms, s.trust, s.expected, s.observed);
		*l = (struct forecast_logged){ now, s.period_ms, s.trust };
	}
}

/* Logs the load of the pools in which work waits. */
static void log_pools(struct node *n, uint64_t now)
{
	uint32_t i;

	if (now - n->machines->pools_logged_ms < POOLS_LOG_MS)
		return;
	n->machines->pools_logged_ms = now;
	for (i = 0; i < n->config->pool_count; i++) {
		const char *name = n->config->pools[i].name;
		struct sched_pool_load l;

		if (!sched_pool_load(n->sched, name, &l) || !l.waiting_work)
			continue;
		event_log("pool-waits", name,
			  "\"instances\":%u,\"pinned\":%u,\"cpu\":%" PRId64
			  ",\"used_cpu\":%" PRId64 ",\"waiting_cpu\":%" PRId64
			  ",\"waiting_work\":%" PRIu64,
			  l.instances, l.pinned, l.capacity.cpu, l.used.cpu,
			  l.waiting.cpu, l.waiting_work);
	}
}

static void log_demand(const struct fleet_pool_demand *d, uint32_t pools)
{
	if (d->wanted_ms)
		event_log("machines-wanted", d->pool,
			  "\"for_ms\":%" PRIu64 ",\"machines\":%u,"
			  "\"instances\":%u,\"draining\":%u,\"ordered\":%u,"
			  "\"open\":%u,\"given_up\":%u,\"arrived\":%u,\"kept_"
			  "for_waves\":%u,"
			  "\"kept_for_moves\":%u,\"away\":%u,\"pools\":%u",
			  d->wanted_ms, d->wanted, d->instances,
			  d->incoming_draining, d->incoming_ordered,
			  d->incoming_open, d->given_up, d->arrived,
			  d->kept_for_waves, d->kept_for_moves, d->away, pools);
	if (d->short_ms)
		event_log("pool-short", d->pool,
			  "\"for_ms\":%" PRIu64 ",\"deficit_cpu\":%" PRId64
			  ",\"long_running_machines\":%u,\"incoming\":%u,"
			  "\"spare\":%u,\"others_unpinned\":%u,"
			  "\"others_cpu\":%" PRId64
			  ",\"others_used_cpu\":%" PRId64
			  ",\"largest\":\"%s\",\"largest_unpinned\":%u,"
			  "\"pools\":%u",
			  d->short_ms, d->deficit, d->wanted,
			  d->incoming_draining + d->incoming_ordered, d->spare,
			  d->others_unpinned, d->others_cpu, d->others_used_cpu,
			  d->largest ? d->largest : "", d->largest_unpinned,
			  pools);
}

/* Logs the pools that lack machines, and what there is elsewhere. */
static void log_demands(struct node *n, uint64_t now)
{
	struct machines *m = n->machines;
	struct fleet_pool_demand *list;
	uint32_t count, i;

	if (now - m->demands_logged_ms < DEMANDS_LOG_MS)
		return;
	m->demands_logged_ms = now;
	count = fleet_demands(m->fleet, m, DEMANDS_LOG_MS, now, &list,
			      DEMANDS_LOGGED_MAX);
	for (i = 0; i < count && i < DEMANDS_LOGGED_MAX; i++)
		log_demand(&list[i], count);
	talloc_free(list);
}

void machines_tick(struct node *n, uint64_t now)
{
	struct machines *m = machines_get(n);
	struct fleet_action action;

	if (!m->fleet || !n->config)
		return;
	fleet_configure(m->fleet, n->config);
	log_pools(n, now);
	log_demands(n, now);
	log_forecast(n, now);
	write_maintenance(n, now);
	if (!m->maintenance_read) {
		if (m->maintenance_reading || now < m->maintenance_retry_ms)
			return;
		m->maintenance_reading = true;
		n->services->read(n->services->impl, NODE_TABLE_MAINTENANCE,
				  m->maintenance_next_key, NULL, NODE_STORE_MS,
				  on_maintenance, call_new(n));
		return;
	}
	if (!m->listing && now >= m->list_retry_ms &&
	    (fleet_needs_machine_list(m->fleet, now) ||
	     (sched_needs_machine_list(n->sched) &&
	      now - m->list_sent_ms >= LIST_UNRESPONSIVE_MS)))
		read_list(n);
	if (!may_order(n, now)) {
		fleet_release_needed(m->fleet, n->sched, now);
		return;
	}
	while (fleet_next_action(m->fleet, n->sched, now, &action))
		run_action(n, &action);
}
