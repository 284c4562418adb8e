/*
 * load - how a node's event loop spends its time
 *
 * Times are by the wall clock. On a node with a share of a processor they
 * include the time in which it does not run, so they show how much the node
 * gets done in a second.
 */
#include <inttypes.h>

#include "node/node_internal.h"

#define LOAD_LOG_MS 1000u /* between two lines of a leader */

static const char *const part_names[LOAD_PARTS] = {
	[LOAD_DECIDE] = "decide",	[LOAD_CALLS] = "calls",
	[LOAD_COMMIT] = "commit",	[LOAD_MACHINES] = "machines",
	[LOAD_RESULTS] = "results",	[LOAD_REQUESTS] = "requests",
	[LOAD_DIRECTORY] = "directory",
};

const char *load_part_name(enum load_part part)
{
	return part_names[part];
}

static void on_trace(enum tevent_trace_point point, void *arg)
{
	struct node *n = arg;
	uint64_t now_us;

	switch (point) {
	case TEVENT_TRACE_BEFORE_WAIT:
		now_us = clock_now_us();
		n->load.busy_us += now_us - n->load.woken_us;
		n->load.woken_us = now_us;
		return;
	case TEVENT_TRACE_AFTER_WAIT:
		n->load.woken_us = clock_now_us();
		return;
	default:
		return;
	}
}

void load_start(struct node *n)
{
	n->load.woken_us = clock_now_us();
	tevent_set_trace_callback(n->ev, on_trace, n);
}

uint64_t load_busy_us(const struct node *n)
{
	return n->load.busy_us;
}

void load_add(struct node *n, enum load_part part, uint64_t begun_us)
{
	n->load.part_us[part] += clock_now_us() - begun_us;
}

/* Logs what the leader's time since the last line was spent on. */
static void log_leader(struct node *n, uint64_t now)
{
	const struct load *last = &n->load_logged;
	const struct load *load = &n->load;
	uint64_t part_ms[LOAD_PARTS];
	struct sched_stats s;
	uint32_t i;

	for (i = 0; i < LOAD_PARTS; i++)
		part_ms[i] = (load->part_us[i] - last->part_us[i]) / 1000;
	sched_stats(n->sched, &s);
	event_log("leader-load", NULL,
		  "\"epoch\":%" PRIu64 ",\"window_ms\":%" PRIu64
		  ",\"busy_ms\":%" PRIu64 ",\"passes\":%" PRIu64
		  ",\"decide_ms\":%" PRIu64 ",\"calls_ms\":%" PRIu64
		  ",\"commit_ms\":%" PRIu64 ",\"machines_ms\":%" PRIu64
		  ",\"results_ms\":%" PRIu64 ",\"requests_ms\":%" PRIu64
		  ",\"directory_ms\":%" PRIu64 ",\"starts\":%" PRIu64
		  ",\"worthless_starts\":%" PRIu64 ",\"ends\":%" PRIu64
		  ",\"lapsed\":%" PRIu64 ",\"lost\":%" PRIu64
		  ",\"submits\":%" PRIu64 ",\"states\":%" PRIu64
		  ",\"pendings\":%" PRIu64 ",\"accepted\":%" PRIu64
		  ",\"refused\":%" PRIu64
		  ",\"jobs\":%u,\"unfinished\":%u,\"startable\":%u"
		  ",\"rate\":%.0f,\"limit\":%.0f,\"delay_ms\":%.0f",
		  n->leader.epoch, now - n->load_logged_ms,
		  (load->busy_us - last->busy_us) / 1000,
		  load->passes - last->passes, part_ms[LOAD_DECIDE],
		  part_ms[LOAD_CALLS], part_ms[LOAD_COMMIT],
		  part_ms[LOAD_MACHINES], part_ms[LOAD_RESULTS],
		  part_ms[LOAD_REQUESTS], part_ms[LOAD_DIRECTORY], s.starts,
		  s.starts_worthless, s.ends_done, s.ends_lapsed, s.runs_lost,
		  n->requests[FLEET__VERB__SUBMIT],
		  n->requests[FLEET__VERB__STATE],
		  n->requests[FLEET__VERB__PENDING], s.accepted, s.refused,
		  s.jobs, s.unfinished, s.startable, s.rate, s.rate_limit,
		  s.delay_ms);
	n->load_logged = *load;
	n->load_logged_ms = now;
}

void load_tick(struct node *n, uint64_t now)
{
	if (n->phase != LEADER_DECIDING) {
		n->load_logged = n->load;
		n->load_logged_ms = now;
		return;
	}
	if (now - n->load_logged_ms >= LOAD_LOG_MS)
		log_leader(n, now);
}
