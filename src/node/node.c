/*
 * node - start, stop, tick, and scheduling of the leader's passes
 */
#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "node/node_internal.h"

#define PASS_PAUSE_MIN_MS 4u /* as long as a store call takes */
#define PASS_PAUSE_MAX_MS 100u
#define STALL_MS 1000u	   /* 20 ticks; under load the loop lags up to 0.7 s */
#define STORE_SLOW_MS 150u /* a normal call takes a tenth of it or less */
#define NODE_CONNECTIONS_MAX 256u /* persistent, to other nodes */

/*
 * A process that was frozen or suspended may have missed configurations, so it
 * reads the newest one. A leader may also have been replaced, and its knowledge
 * of instances is outdated: it needs a new confirmation by the store before it
 * gives orders.
 */
static void check_stall(struct node *n, uint64_t now)
{
	uint64_t stalled_ms = now - n->last_iteration_ms;

	n->last_iteration_ms = now;
	if (stalled_ms < STALL_MS)
		return;
	watch_from(n, FEED_OPERATOR, 0);
	leader_doubted(n, now);
	if (n->phase == LEADER_NONE)
		return;
	event_log("stood-still", NULL, "\"for_ms\":%llu,\"epoch\":%llu",
		  (unsigned long long)stalled_ms,
		  (unsigned long long)n->leader.epoch);
}

static void run_pass(void *arg)
{
	struct node *n = arg;
	uint64_t now = clock_now_ms();
	uint64_t begun_us;

	n->pass_scheduled = false;
	n->pass_ended_ms = now;
	check_stall(n, now);
	if (n->phase != LEADER_DECIDING)
		return;
	begun_us = clock_now_us();
	n->load.passes++;
	evacuations_tick(n, now);
	sched_set_busy(n->sched, load_busy_us(n), now);
	sched_tick(n->sched, node_unix_ms(n), now);
	load_add(n, LOAD_DECIDE, begun_us);
	begun_us = clock_now_us();
	session_send_calls(n, now);
	load_add(n, LOAD_CALLS, begun_us);
	begun_us = clock_now_us();
	commit_run(n, now);
	load_add(n, LOAD_COMMIT, begun_us);
	n->pass_ended_ms = clock_now_ms();
	n->pass_duration_ms = n->pass_ended_ms - now;
}

static void on_pass_now(struct tevent_context *ev, struct tevent_immediate *im,
			void *arg)
{
	(void)ev;
	(void)im;
	run_pass(arg);
}

uint32_t node_pass_pause_ms(uint64_t took_ms)
{
	if (took_ms < PASS_PAUSE_MIN_MS)
		return PASS_PAUSE_MIN_MS;
	return took_ms < PASS_PAUSE_MAX_MS ? (uint32_t)took_ms
					   : PASS_PAUSE_MAX_MS;
}

/*
 * node_schedule_pass - schedule a pass about what the last events have changed
 *
 * At once if the last pass is long over; else one pass, after a pause, for all
 * events until then.
 */
void node_schedule_pass(struct node *n)
{
	uint64_t since_ms = clock_now_ms() - n->pass_ended_ms;
	uint32_t pause_ms = node_pass_pause_ms(n->pass_duration_ms);

	if (n->pass_scheduled)
		return;
	n->pass_scheduled = true;
	if (since_ms < pause_ms) {
		mtimer_set(n->pass_timer, pause_ms - since_ms);
		return;
	}
	tevent_schedule_immediate(n->pass_now, n->ev, on_pass_now, n);
}

/* Notes how late this tick comes. */
static void measure_lag(struct node *n, uint64_t now)
{
	uint64_t since_ms = now - n->last_tick_ms;
	uint64_t late_ms =
		since_ms > NODE_TICK_MS ? since_ms - NODE_TICK_MS : 0;

	if (late_ms > NODE_LAG_MAX_MS)
		late_ms = NODE_LAG_MAX_MS;
	n->last_tick_ms = now;
	n->loop_lag_ms = n->loop_lag_ms * 15 / 16;
	if (late_ms > n->loop_lag_ms)
		n->loop_lag_ms = (uint32_t)late_ms;
}

static void on_tick(void *arg)
{
	struct node *n = arg;
	uint64_t now = clock_now_ms();
	uint64_t begun_us;

	measure_lag(n, now);
	check_stall(n, now);
	load_tick(n, now);
	leader_tick(n, now);
	term_tick(n, clock_now_ms());
	takeover_log(n, clock_now_ms());
	watch_tick(n, now);
	gossip_tick(n, now);
	relay_server_tick(n, now);
	staleness_tick(n, now);
	evacuations_tick(n, now);
	if (n->phase == LEADER_DECIDING) {
		relay_tick(n, now);
		begun_us = clock_now_us();
		machines_tick(n, now);
		load_add(n, LOAD_MACHINES, begun_us);
		waiters_tick(n, now);
		node_schedule_pass(n);
	}
	event_flush();
}

/* Serializes a protobuf message; owned by ctx, never NULL. */
uint8_t *node_pack(TALLOC_CTX *ctx, const void *message, size_t *length)
{
	uint8_t *bytes;

	*length = protobuf_c_message_get_packed_size(message);
	bytes = talloc_size(ctx, *length ? *length : 1);
	assert(bytes);
	protobuf_c_message_pack(message, bytes);
	return bytes;
}

/* First key of the page after one that ends with key; owned by ctx. */
char *node_key_after(TALLOC_CTX *ctx, const char *key)
{
	char *after = talloc_asprintf(ctx, "%s%c", key, '\x01');

	assert(after);
	return after;
}

/* End of a range that starts at a job's id and holds no other; owned by ctx. */
char *node_key_end(TALLOC_CTX *ctx, const char *key)
{
	char *end = talloc_asprintf(ctx, "%s~", key);

	assert(end);
	return end;
}

/* Logs when store calls begin to fail and when they succeed again. */
void node_store_result(struct node *n, const char *call,
		       enum store_status status)
{
	uint64_t now = clock_now_ms();
	bool ok = status == STORE_OK || status == STORE_CONFLICT ||
		  status == STORE_HISTORY_LOST || status == STORE_INVALID;

	n->store_calls++;
	if (status == STORE_UNKNOWN)
		n->store_unknown++;
	if (status == STORE_REFUSED)
		n->store_refused++;
	if (ok)
		n->store_refusing_since_ms = 0;
	else if (status == STORE_REFUSED && !n->store_refusing_since_ms)
		n->store_refusing_since_ms = now;
	if (ok == n->store_ok)
		return;
	event_log(ok ? "store-regained" : "store-lost", NULL,
		  "\"call\":\"%s\",\"status\":\"%s\",\"failing_ms\":%" PRIu64
		  ",\"phase\":\"%s\"",
		  call, store_status_name(status),
		  n->store_failing_since_ms ? now - n->store_failing_since_ms
					    : 0,
		  leader_phase_name(n->phase));
	n->store_ok = ok;
	n->store_failing_since_ms = ok ? 0 : now;
	if (ok)
		leader_store_recovered(n);
}

void node_store_count_unanswered(struct node *n)
{
	n->store_calls++;
	n->store_unknown++;
}

void node_store_timed_result(struct node *n, const char *call,
			     enum store_status status, uint64_t sent_ms)
{
	uint64_t now = clock_now_ms();

	if (status == STORE_REFUSED || now - sent_ms >= STORE_SLOW_MS)
		n->store_last_slow_ms = now;
	node_store_result(n, call, status);
}

/* Lines that tell why long-running tasks wait; at most 28 a second. */
static void prefer_waits(void)
{
	event_prefer("lasting-longest");
	event_prefer("lasting-waits");
	event_prefer("machines-wanted");
	event_prefer("pool-short");
}

struct node *node_new(TALLOC_CTX *ctx, struct tevent_context *ev,
		      const struct node_settings *settings,
		      const struct services *services)
{
	struct node *n = talloc_zero(ctx, struct node);
	struct timespec ts;

	assert(n);
	n->ev = ev;
	n->settings = *settings;
	n->services = services;
	if (!n->settings.budgets)
		n->settings.budgets = budget_process_new(n, 0, 0, 0);
	assert(n->settings.budgets);
	randombytes_buf(&n->incarnation, sizeof(n->incarnation));
	n->incarnation >>= 1; /* positive also where it is printed as signed */
	n->started_ms = clock_now_ms();
	n->leader_last_heard_ms = n->last_iteration_ms = n->started_ms;
	n->last_tick_ms = n->started_ms;
	n->store_ok = true;
	clock_gettime(CLOCK_REALTIME, &ts);
	n->unix_offset_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000 -
			    (int64_t)n->started_ms;
	prefer_waits();
	n->states = states_new(n);
	n->pass_now = tevent_create_immediate(n);
	n->http = httpc_new(n, ev, NODE_CONNECTIONS_MAX, 0);
	n->tick = mtimer_new(n, ev, on_tick, n);
	n->pass_timer = mtimer_new(n, ev, run_pass, n);
	if (!n->pass_now || !n->pass_timer || !n->http || !n->tick ||
	    !peer_server_start(n) || !relay_start(n) ||
	    !relay_server_start(n)) {
		talloc_free(n);
		return NULL;
	}
	event_log("start", NULL,
		  "\"zone\":\"%s\",\"peers\":\"%s\",\"incarnation\":%llu",
		  settings->zone, settings->peers,
		  (unsigned long long)n->incarnation);
	mtimer_every(n->tick, NODE_TICK_MS);
	load_start(n);
	on_tick(n);
	return n;
}

const struct config *node_config(const struct node *n)
{
	return n->config;
}

bool node_config_is_current(const struct node *n)
{
	return staleness_in_bound(n, clock_now_ms());
}

bool node_ready(const struct node *n)
{
	return node_config_is_current(n) && !n->stopping;
}

void node_stop(struct node *n, void (*done)(void *arg), void *arg)
{
	n->stopping = true;
	n->stopped = done;
	n->stopped_arg = arg;
	event_log("stop", NULL, "\"phase\":%d", n->phase);
	leader_release(n);
}
