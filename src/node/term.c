/*
 * term - log lines and counters of claims and of terms as the leader
 */
#include <inttypes.h>
#include <stdio.h>

#include "node/node_internal.h"

#define TERM_MISSING_MS 1500u	  /* silence after which a leader is missing */
#define TERM_MISSING_LOG_MS 1000u /* between two lines about it */

/* Milliseconds since a time; -1 if that is 0. */
static int64_t ms_since(uint64_t then_ms, uint64_t now)
{
	return then_ms ? (int64_t)(now - then_ms) : -1;
}

/* Claims */

static const char *claim_reason(const struct node *n)
{
	if (!n->leader.known)
		return "none known";
	if (!*n->leader.node)
		return "released";
	if (leader_is_self(n))
		return "own claim without a term";
	if (n->leader_ended)
		return "ended";
	if (n->leader_not_live_ms > n->leader_live_ms)
		return "not live";
	return "silent";
}

void term_claim_begun(const struct node *n, uint32_t delay_ms,
		      uint32_t threshold_ms, uint32_t strongest, uint64_t now)
{
	event_log("claim-begin", NULL,
		  "\"why\":\"%s\",\"lead\":\"%s\",\"epoch\":%" PRIu64
		  ",\"revision\":%" PRIu64
		  ",\"silent_ms\":%u,\"threshold_ms\":%u,\"delay_ms\":%u"
		  ",\"live_ms_ago\":%" PRId64 ",\"not_live_ms_ago\":%" PRId64
		  ",\"heard_from\":\"%s\",\"power\":%u,\"strongest\":%u",
		  claim_reason(n), n->leader.node, n->leader.epoch + 1,
		  n->leader.revision,
		  leader_silent_ms(n->leader_last_heard_ms, now), threshold_ms,
		  delay_ms, ms_since(n->leader_live_ms, now),
		  ms_since(n->leader_not_live_ms, now), n->term.heard_from,
		  n->settings.power, strongest);
}

void term_claim_failed(struct node *n, const struct leader_view *wanted,
		       enum store_status status, const struct leader_view *row,
		       uint64_t took_ms)
{
	n->term.claims_failed[status]++;
	event_log("claim-failed", NULL,
		  "\"epoch\":%" PRIu64 ",\"status\":\"%s\",\"took_ms\":%" PRIu64
		  ",\"row_read\":%d,\"row_lead\":\"%s\",\"row_epoch\":%" PRIu64
		  ",\"row_revision\":%" PRIu64 ",\"row_own\":%d",
		  wanted->epoch, store_status_name(status), took_ms, row->known,
		  row->node, row->epoch, row->revision,
		  row->known && row->incarnation == n->incarnation);
}

void term_heard_from(struct node *n, const char *name)
{
	snprintf(n->term.heard_from, sizeof(n->term.heard_from), "%s", name);
}

/* Terms */

void term_begun(struct node *n)
{
	n->term.epoch = n->leader.epoch;
	n->term.deciding_since_ms = 0;
	n->term.first_start_sent = false;
	n->term.not_live_since_ms = 0;
}

void term_deciding(struct node *n, uint64_t now)
{
	n->term.deciding_since_ms = now;
	n->term.decided++;
}

void term_start_sent(struct node *n, const char *task, uint64_t now)
{
	if (n->term.first_start_sent)
		return;
	n->term.first_start_sent = true;
	event_log("first-start", task,
		  "\"epoch\":%" PRIu64 ",\"since_claim_ms\":%" PRIu64
		  ",\"since_takeover_ms\":%" PRId64,
		  n->term.epoch, now - n->leader_since_ms,
		  ms_since(n->term.deciding_since_ms, now));
}

/* Time of this node's terms in the phase, up to now. */
uint64_t term_phase_ms(const struct node *n, enum leader_phase phase,
		       uint64_t now)
{
	const struct term *t = &n->term;
	uint64_t ms = t->phase_ms[phase];

	if (n->phase == LEADER_NONE)
		return ms;
	if (phase == LEADER_DECIDING)
		return ms +
		       (t->deciding_since_ms ? now - t->deciding_since_ms : 0);
	return ms + (t->deciding_since_ms ? t->deciding_since_ms : now) -
	       n->leader_since_ms;
}

void term_ended(struct node *n, const char *why)
{
	uint64_t now = clock_now_ms();
	struct sched_stats s = { 0 };
	struct term *t = &n->term;

	if (n->sched)
		sched_stats(n->sched, &s);
	event_log("resign", NULL,
		  "\"why\":\"%s\",\"epoch\":%" PRIu64 ",\"lead\":\"%s\""
		  ",\"lead_epoch\":%" PRIu64 ",\"term_ms\":%" PRIu64
		  ",\"deciding_ms\":%" PRId64 ",\"starts\":%" PRIu64
		  ",\"confirmed_ms_ago\":%" PRId64
		  ",\"store_failing_ms\":%" PRId64,
		  why, t->epoch, n->leader.node, n->leader.epoch,
		  now - n->leader_since_ms, ms_since(t->deciding_since_ms, now),
		  s.starts, ms_since(n->confirmed_ms, now),
		  ms_since(n->store_failing_since_ms, now));
	t->phase_ms[LEADER_LOADING] = term_phase_ms(n, LEADER_LOADING, now);
	t->phase_ms[LEADER_DECIDING] = term_phase_ms(n, LEADER_DECIDING, now);
}

/* Logs when this leader stops reporting itself as live, and when it resumes. */
static void log_live(struct node *n, uint64_t now)
{
	struct term *t = &n->term;
	bool live = leader_is_live(n);

	if (live == !t->not_live_since_ms)
		return;
	event_log(live ? "lead-live" : "lead-not-live", NULL,
		  "\"epoch\":%" PRIu64 ",\"phase\":\"%s\""
		  ",\"since_claim_ms\":%" PRIu64
		  ",\"confirmed_ms_ago\":%" PRId64
		  ",\"store_failing_ms\":%" PRId64
		  ",\"stopping\":%d,\"not_live_ms\":%" PRId64,
		  t->epoch, leader_phase_name(n->phase),
		  now - n->leader_since_ms, ms_since(n->confirmed_ms, now),
		  ms_since(n->store_failing_since_ms, now), n->stopping,
		  ms_since(t->not_live_since_ms, now));
	t->not_live_since_ms = live ? 0 : now;
}

/* Logs what a node that knows no live leader waits for. */
static void log_missing(struct node *n, uint64_t now)
{
	uint32_t silent_ms = leader_silent_ms(n->leader_last_heard_ms, now);
	struct term *t = &n->term;

	if (n->stopping || (n->leader.known && *n->leader.node &&
			    silent_ms < TERM_MISSING_MS)) {
		t->missing_since_ms = 0;
		return;
	}
	if (!t->missing_since_ms)
		t->missing_since_ms = t->missing_logged_ms = now;
	if (now - t->missing_logged_ms < TERM_MISSING_LOG_MS)
		return;
	t->missing_logged_ms = now;
	event_log("lead-missing", NULL,
		  "\"for_ms\":%" PRIu64 ",\"lead\":\"%s\",\"epoch\":%" PRIu64
		  ",\"own\":%d,\"silent_ms\":%u,\"heard_from\":\"%s\""
		  ",\"live_ms_ago\":%" PRId64 ",\"not_live_ms_ago\":%" PRId64
		  ",\"store_ok\":%d,\"store_failing_ms\":%" PRId64
		  ",\"claiming\":%d,\"reading\":%d,\"nodes_read\":%d"
		  ",\"next_claim_in_ms\":%" PRId64,
		  now - t->missing_since_ms, n->leader.node, n->leader.epoch,
		  leader_is_self(n), silent_ms, t->heard_from,
		  ms_since(n->leader_live_ms, now),
		  ms_since(n->leader_not_live_ms, now), n->store_ok,
		  ms_since(n->store_failing_since_ms, now), n->claiming,
		  n->leader_reading, n->nodes_read,
		  n->next_claim_ms > now ? (int64_t)(n->next_claim_ms - now)
					 : 0);
}

void term_tick(struct node *n, uint64_t now)
{
	if (n->phase == LEADER_NONE) {
		log_missing(n, now);
		return;
	}
	n->term.missing_since_ms = 0;
	log_live(n, now);
}

/* Heartbeats to the leader */

void term_heartbeat_done(struct node *n, enum httpc_status status, long code)
{
	if (status == HTTPC_OK && code == 200)
		n->term.heartbeats_answered++;
	else if (status == HTTPC_TIMEOUT)
		n->term.heartbeats_timed_out++;
	else
		n->term.heartbeats_failed++;
}
