#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "node/node_internal.h"

#define PUMP_PAUSE_MIN_MS 4u /* as long as a store call takes */
#define PUMP_PAUSE_MAX_MS 100u
#define STALL_MS 1000u	   /* 20 ticks; under load the loop lags up to 0.7 s */
#define STORE_SLOW_MS 150u /* ten times the normal duration of a call */
#define NODE_CONNECTIONS_MAX 256u /* persistent, to other nodes */

/*
 * A process that was frozen or suspended may have been replaced as leader, and
 * its knowledge of instances is old: it needs a new confirmation from the store
 * before it gives orders.
 */
static void check_stall(struct node *n, uint64_t now)
{
	uint64_t stalled_ms = now - n->last_iteration_ms;

	n->last_iteration_ms = now;
	if (stalled_ms < STALL_MS)
		return;
	watch_from(n, FEED_OPERATOR, 0);
	if (n->phase == LEADER_NONE)
		return;
	event_log("stood-still", NULL, "\"for_ms\":%llu,\"epoch\":%llu",
		  (unsigned long long)stalled_ms,
		  (unsigned long long)n->leader.epoch);
	n->confirmed_ms = 0;
}

static void pump(void *arg)
{
	struct node *n = arg;
	uint64_t now = clock_now_ms();

	n->pump_scheduled = false;
	n->pump_ended_ms = now;
	check_stall(n, now);
	if (n->phase != LEADER_DECIDING)
		return;
	sched_tick(n->sched, node_unix_ms(n), now);
	session_run(n, now);
	commit_run(n, now);
	n->pump_ended_ms = clock_now_ms();
	n->pump_duration_ms = n->pump_ended_ms - now;
}

static void on_pump_now(struct tevent_context *ev, struct tevent_immediate *im,
			void *arg)
{
	(void)ev;
	(void)im;
	pump(arg);
}

uint32_t node_pump_pause_ms(uint64_t took_ms)
{
	if (took_ms < PUMP_PAUSE_MIN_MS)
		return PUMP_PAUSE_MIN_MS;
	return took_ms < PUMP_PAUSE_MAX_MS ? (uint32_t)took_ms
					   : PUMP_PAUSE_MAX_MS;
}

/*
 * node_pump - schedule decisions about what the last events have changed
 *
 * At once if the node was idle; under load, one run for all events of a pause.
 */
void node_pump(struct node *n)
{
	uint64_t since_ms = clock_now_ms() - n->pump_ended_ms;
	uint32_t pause_ms = node_pump_pause_ms(n->pump_duration_ms);

	if (n->pump_scheduled)
		return;
	n->pump_scheduled = true;
	if (since_ms < pause_ms) {
		mtimer_set(n->pump_timer, pause_ms - since_ms);
		return;
	}
	tevent_schedule_immediate(n->pump_now, n->ev, on_pump_now, n);
}

static void on_tick(void *arg)
{
	struct node *n = arg;
	uint64_t now = clock_now_ms();

	check_stall(n, now);
	leader_tick(n, now);
	watch_tick(n, now);
	gossip_tick(n, now);
	relay_server_tick(n, now);
	staleness_tick(n, now);
	if (n->phase == LEADER_DECIDING) {
		relay_tick(n, now);
		machines_tick(n, now);
		waiters_tick(n, now);
		node_pump(n);
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

/* First key of the page after the one that ends with key; owned by ctx. */
char *node_key_after(TALLOC_CTX *ctx, const char *key)
{
	char *after = talloc_asprintf(ctx, "%s%c", key, '\x01');

	assert(after);
	return after;
}

/* End of the range that contains only key; owned by ctx. */
char *node_key_end(TALLOC_CTX *ctx, const char *key)
{
	char *end = talloc_asprintf(ctx, "%s~", key);

	assert(end);
	return end;
}

/* Counts a store reply and logs when the store is lost or regained. */
void node_store_result(struct node *n, enum store_status status)
{
	bool ok = status == STORE_OK || status == STORE_CONFLICT ||
		  status == STORE_HISTORY_LOST;

	n->store_calls++;
	if (status == STORE_UNKNOWN)
		n->store_unknown++;
	if (status == STORE_REFUSED)
		n->store_refused++;
	if (ok == n->store_ok)
		return;
	n->store_ok = ok;
	n->store_failing_since_ms = ok ? 0 : clock_now_ms();
	event_log(ok ? "store-regained" : "store-lost", NULL, "\"status\":%d",
		  status);
	if (ok)
		leader_store_recovered(n);
}

void node_store_timed_result(struct node *n, enum store_status status,
			     uint64_t sent_ms)
{
	uint64_t now = clock_now_ms();

	if (status == STORE_REFUSED || now - sent_ms >= STORE_SLOW_MS)
		n->store_last_slow_ms = now;
	node_store_result(n, status);
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
	randombytes_buf(&n->incarnation, sizeof(n->incarnation));
	n->incarnation >>= 1; /* positive also where it is printed as signed */
	n->started_ms = clock_now_ms();
	n->leader_last_heard_ms = n->last_iteration_ms = n->started_ms;
	n->store_ok = true;
	clock_gettime(CLOCK_REALTIME, &ts);
	n->unix_offset_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000 -
			    (int64_t)n->started_ms;
	n->pump_now = tevent_create_immediate(n);
	n->http = httpc_new(n, ev, NODE_CONNECTIONS_MAX, 0);
	n->tick = mtimer_new(n, ev, on_tick, n);
	n->pump_timer = mtimer_new(n, ev, pump, n);
	if (!n->pump_now || !n->pump_timer || !n->http || !n->tick ||
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
