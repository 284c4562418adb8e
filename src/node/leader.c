/*
 * leader - leader election
 *
 * The leader row of the store names the leader. A claim replaces the row under
 * the condition that it is unchanged; its new revision is the fence that
 * instances check. A leader that the store doesn't confirm for LEADER_ORDERS_MS
 * stops giving orders and renewing leases, so its successor knows when tasks on
 * instances that it can't reach have ended.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "node/node_internal.h"

/* Nodes claim after the leader was silent towards all of them for this long. */
#define LEADER_SILENT_MS 1000u
#define LEADER_AGE_MAX_MS 60000u /* ages from here on count as unknown */
#define LEADER_CLAIM_RANK_MS 80u /* claim delay per rank */
#define LEADER_CLAIM_RANKS 8u
#define LEADER_WEAK_DELAY_MS 1200u /* weak nodes claim after strong ones */

/* A newly learned leader counts as silent only after this time. */
#define LEADER_GRACE_MS 1500u

/*
 * After several changes of the leader within LEADER_CHANGES_MS each further one
 * makes nodes wait longer for the next leader: a leader that is lost while it
 * loads the tables leaves the same work to its successor.
 */
#define LEADER_CHANGES_MS 15000u
#define LEADER_CHANGE_WAIT_MS 700u
#define LEADER_CHANGES_MAX 6u

/* A new leader has all waiting work before it, and stalls more easily. */
#define LEADER_NEW_MS 5000u
#define LEADER_NEW_WAIT_MS 1000u

/* Times of answers count for once to twice as long. */
#define LEADER_ANSWERS_MS 8000u

/* Longest wait of a started node for the node table before it claims. */
#define LEADER_NODES_WAIT_MS 2000u

/*
 * A node is weak if another one has more than this times its power. Most of the
 * work is the leader's: on a weak leader heartbeats and confirmations wait
 * behind decisions until it is replaced.
 */
#define LEADER_POWER_RATIO 1.5

/* The power of peers not heard from for a round of 40 heartbeats is ignored. */
#define LEADER_POWER_HEARD_MS 15000u

/*
 * A weak leader hands over after LEADER_MIN_TERM_MS to a stronger node that was
 * heard from within LEADER_STEP_DOWN_HEARD_MS, so that node is up.
 */
#define LEADER_MIN_TERM_MS 3000u
#define LEADER_STEP_DOWN_HEARD_MS 600u

#define LEADER_CONFIRM_MS 800u /* interval of confirmations */

/*
 * A leader that was not confirmed for LEADER_LIVE_MS, or whose store calls were
 * all refused for LEADER_REFUSED_MS, no longer reports itself as live, and
 * others may claim.
 */
#define LEADER_LIVE_MS 1400u
#define LEADER_REFUSED_MS 300u
#define LEADER_CLAIM_RETRY_MS 400u

/* Interval of reads of the leader row while a claim has no answer. */
#define LEADER_CLAIM_CHECK_MS 300u
#define LEADER_READ_MS 600u /* timeout; a slow store takes 300 ms */

/* Covers a leader's read of its row that times out, and its next one. */
#define LEADER_RECOVERY_MS 800u

const char *leader_phase_name(enum leader_phase phase)
{
	static const char *const names[] = {
		[LEADER_NONE] = "none",
		[LEADER_LOADING] = "loading",
		[LEADER_DECIDING] = "deciding",
	};

	return names[phase];
}

bool leader_is_self(const struct node *n)
{
	return n->leader.known && n->leader.incarnation == n->incarnation;
}

bool leader_confirmed_within(const struct node *n, uint64_t now, uint32_t ms)
{
	return n->confirmed_ms && n->confirmed_ms >= n->doubted_ms &&
	       now - n->confirmed_ms < ms;
}

bool leader_may_order(const struct node *n, uint64_t now)
{
	return n->phase == LEADER_DECIDING &&
	       leader_confirmed_within(n, now, LEADER_ORDERS_MS);
}

void leader_doubted(struct node *n, uint64_t now)
{
	n->confirmed_ms = 0;
	n->doubted_ms = now;
}

void leader_confirmed(struct node *n, uint64_t sent_ms)
{
	if (sent_ms > n->confirmed_ms)
		n->confirmed_ms = sent_ms;
	if (n->phase != LEADER_DECIDING)
		return;
	sched_leader_confirmed(n->sched, sent_ms);
	node_schedule_pass(n);
}

bool leader_has_store(uint64_t confirmed_ms, uint64_t refusing_since_ms,
		      uint32_t loop_lag_ms, uint64_t now)
{
	return now - confirmed_ms < LEADER_LIVE_MS + loop_lag_ms &&
	       (!refusing_since_ms ||
		now - refusing_since_ms < LEADER_REFUSED_MS);
}

/*
 * A leader that the store doesn't serve doesn't report itself as live, because
 * the store may be refusing this node only. If it serves no other node either,
 * no claim succeeds, and the leader continues once it is confirmed.
 */
bool leader_is_live(const struct node *n)
{
	return n->phase != LEADER_NONE && !n->stopping &&
	       leader_has_store(n->confirmed_ms, n->store_refusing_since_ms,
				n->loop_lag_ms, clock_now_ms());
}

bool leader_decode(const struct store_row *row, struct leader_view *view)
{
	Fleet__LeadRow *l =
		fleet__lead_row__unpack(NULL, row->length, row->value);

	if (!l)
		return false;
	memset(view, 0, sizeof(*view));
	snprintf(view->node, sizeof(view->node), "%s", l->node);
	snprintf(view->address, sizeof(view->address), "%s", l->address);
	view->incarnation = l->incarnation;
	view->epoch = l->epoch;
	view->resolved = l->settled;
	view->formers = l->formers;
	view->revision = row->revision;
	view->known = true;
	fleet__lead_row__free_unpacked(l, NULL);
	return true;
}

uint8_t *leader_encode(TALLOC_CTX *ctx, const struct leader_view *view,
		       size_t *length)
{
	Fleet__LeadRow l = FLEET__LEAD_ROW__INIT;

	l.node = (char *)view->node;
	l.address = (char *)view->address;
	l.incarnation = view->incarnation;
	l.epoch = view->epoch;
	l.settled = view->resolved;
	l.formers = view->formers;
	return node_pack(ctx, &l, length);
}

bool leader_is_weaker(uint32_t power, uint32_t strongest)
{
	return strongest > power * LEADER_POWER_RATIO;
}

uint32_t leader_claim_delay_ms(uint32_t power, uint32_t strongest,
			       uint64_t hash)
{
	uint32_t rank_ms =
		(uint32_t)(hash % LEADER_CLAIM_RANKS) * LEADER_CLAIM_RANK_MS;

	return rank_ms +
	       (leader_is_weaker(power, strongest) ? LEADER_WEAK_DELAY_MS : 0);
}

/* Power of the strongest peer heard from within the last heard_ms. */
static uint32_t strongest_peer(const struct node *n, uint64_t heard_ms)
{
	uint64_t now = clock_now_ms();

	return gossip_max_power(n, now > heard_ms ? now - heard_ms : 0);
}

static uint32_t claim_delay(const struct node *n)
{
	uint64_t hash = XXH64(n->settings.name, strlen(n->settings.name),
			      n->leader.epoch);

	return leader_claim_delay_ms(n->settings.power,
				     strongest_peer(n, LEADER_POWER_HEARD_MS),
				     hash);
}

/* The node table was read: the power of all nodes is known. */
void leader_nodes_loaded(struct node *n)
{
	if (!n->nodes_read)
		n->next_claim_ms = clock_now_ms() + claim_delay(n);
	n->nodes_read = true;
}

/*
 * The store answers this node again. A leader that was cut off as well is
 * confirmed by its next call and needn't be replaced.
 */
void leader_store_recovered(struct node *n)
{
	uint64_t claim_ms =
		clock_now_ms() + LEADER_RECOVERY_MS + claim_delay(n);

	if (n->phase == LEADER_NONE && n->leader.known && *n->leader.node &&
	    n->next_claim_ms < claim_ms)
		n->next_claim_ms = claim_ms;
}

/*
 * Counts the epochs since a leader that is not known to have released
 * leadership or to have ended.
 */
static void count_change(struct node *n, uint64_t epoch, uint64_t now)
{
	if (!n->leader.known || !*n->leader.node || n->leader_ended)
		return;
	if (now - n->leader_changed_ms >= LEADER_CHANGES_MS)
		n->leader_changes = 0;
	n->leader_changed_ms = now;
	n->leader_changes += (uint32_t)(epoch - n->leader.epoch);
	if (n->leader_changes > LEADER_CHANGES_MAX)
		n->leader_changes = LEADER_CHANGES_MAX;
}

static void start_term(struct node *n, const struct leader_view *view);
static void read_row(struct node *n, uint64_t now);

/*
 * Whether a claim of this node took effect, though its answer is lost or not
 * here yet. A node leads once in each epoch, since runs are numbered by it.
 */
static bool is_unanswered_claim(const struct node *n,
				const struct leader_view *view)
{
	return n->phase == LEADER_NONE && !n->stopping && *view->node &&
	       view->incarnation == n->incarnation &&
	       view->epoch > n->term_epoch;
}

/* Adopts newer knowledge about the leader; how: its source, for the log. */
void leader_learn(struct node *n, const struct leader_view *view,
		  const char *how)
{
	uint64_t now = clock_now_ms();
	bool changed = !n->leader.known || view->epoch != n->leader.epoch ||
		       view->incarnation != n->leader.incarnation;

	if (n->leader.known && view->epoch < n->leader.epoch)
		return;
	if (!changed && view->revision < n->leader.revision)
		return;
	if (is_unanswered_claim(n, view)) {
		/* A heartbeat lacks the row's revision, which is the fence. */
		if (view->revision)
			start_term(n, view);
		else if (!n->leader_reading)
			read_row(n, now);
		return;
	}
	if (changed) {
		event_log("lead", NULL,
			  "\"lead\":\"%s\",\"epoch\":%" PRIu64
			  ",\"how\":\"%s\",\"own\":%d",
			  view->node, view->epoch, how,
			  view->incarnation == n->incarnation);
		count_change(n, view->epoch, now);
		n->leader_learned_ms = now;
		n->leader_last_heard_ms =
			now - LEADER_SILENT_MS + LEADER_GRACE_MS;
		if (n->phase != LEADER_NONE &&
		    view->incarnation != n->incarnation) {
			n->leader = *view;
			leader_resign(n, "another node is the leader");
			return;
		}
	}
	if (!n->leader.known || view->epoch != n->leader.epoch)
		n->epoch_learned_ms = now;
	if (changed) {
		n->leader_ended = n->leader_restarted = false;
		n->leader_live_ms = n->leader_not_live_ms = 0;
	}
	n->leader = *view;
	if (!strcmp(view->node, n->settings.name))
		leader_peer_seen(n, view->node, n->incarnation);
	if (!*view->node && !n->stopping) {
		/* Leadership was released: no silence is waited for. */
		n->leader_last_heard_ms = 0;
		n->next_claim_ms = now + claim_delay(n);
	}
}

void leader_resign(struct node *n, const char *why)
{
	if (n->phase == LEADER_NONE)
		return;
	term_ended(n, why);
	n->phase = LEADER_NONE;
	n->phase_generation++;
	n->commits_in_flight = 0;
	n->commit_waiting_since_ms = 0;
	waiters_drop(n);
	inbox_end(n);
	machines_end(n);
	relay_end(n);
	TALLOC_FREE(n->takeover);
	TALLOC_FREE(n->sched);
	n->leader_last_heard_ms = clock_now_ms();
}

/*
 * The predecessor may have been replaced without its knowledge, as may any
 * leader that it replaced, for LEADER_ORDERS_MS after the claim that did it.
 */
uint32_t leader_formers_order_ms(const struct node *n, uint64_t now)
{
	if (!n->predecessor_gone)
		return LEADER_ORDERS_MS;
	return now < n->formers_until_ms ? (uint32_t)(n->formers_until_ms - now)
					 : 0;
}

static void start_term(struct node *n, const struct leader_view *view)
{
	count_change(n, view->epoch, clock_now_ms());
	n->leader = *view;
	n->fence = view->revision;
	n->term_epoch = view->epoch;
	n->epoch_learned_ms = clock_now_ms();
	n->leader_ended = n->leader_restarted = false;
	n->leader_live_ms = n->leader_not_live_ms = 0;
	n->phase = LEADER_LOADING;
	n->phase_generation++;
	n->leader_since_ms = n->confirmed_ms = clock_now_ms();
	n->resolve_pending = false;
	n->takeovers++;
	term_begun(n);
	event_log("claim", NULL,
		  "\"epoch\":%" PRIu64 ",\"fence\":%" PRIu64
		  ",\"predecessor\":\"%s\",\"predecessor_gone\":%d"
		  ",\"formers_ms\":%u",
		  view->epoch, view->revision, n->predecessor,
		  n->predecessor_gone,
		  leader_formers_order_ms(n, clock_now_ms()));
	takeover_begin(n);
}

static uint32_t silence_limit(const struct node *n, uint64_t now)
{
	return leader_silence_limit_ms(
		gossip_leader_interval(n), leader_answer_ms(&n->leader_answers),
		n->loop_lag_ms,
		now - n->leader_changed_ms < LEADER_CHANGES_MS
			? n->leader_changes
			: 0,
		now - n->leader_learned_ms);
}

/* Claims */

struct claim {
	struct node *node;
	struct leader_view wanted;
	uint64_t sent_ms;
};

/* Adopts the leader row as a store call that was sent at sent_ms found it. */
static void learn_from_store(struct node *n, const struct leader_view *view,
			     uint64_t sent_ms, const char *how)
{
	bool leading = n->phase != LEADER_NONE;

	leader_learn(n, view, how);
	if (!leading && n->phase != LEADER_NONE)
		n->confirmed_ms = sent_ms;
}

static void on_claim(void *arg, const struct store_answer *answer)
{
	struct claim *claim = arg;
	struct node *n = claim->node;
	struct leader_view view = { .known = false };
	uint32_t i;

	n->claiming = false;
	node_store_timed_result(n, "claim", answer->status, claim->sent_ms);
	n->next_claim_ms = clock_now_ms() + LEADER_CLAIM_RETRY_MS;
	switch (answer->status) {
	case STORE_OK:
		claim->wanted.revision = answer->revision;
		learn_from_store(n, &claim->wanted, claim->sent_ms, "claim");
		break;
	case STORE_CONFLICT:
		for (i = 0; i < answer->row_count; i++)
			if (!strcmp(answer->rows[i].table, NODE_TABLE_LEADER) &&
			    leader_decode(&answer->rows[i], &view))
				learn_from_store(n, &view, claim->sent_ms,
						 "claim refused");
		break;
	case STORE_UNKNOWN:
		if (!n->leader_reading && !n->stopping)
			read_row(n, clock_now_ms());
		break;
	case STORE_REFUSED:
	case STORE_INVALID:
	case STORE_HISTORY_LOST:
		break;
	}
	if (answer->status != STORE_OK)
		term_claim_failed(n, &claim->wanted, answer->status, &view,
				  clock_now_ms() - claim->sent_ms);
	talloc_free(claim);
}

/* Replaces the leader row if it is unchanged; txn owns the bytes. */
static void fill_leader_txn(const struct node *n, struct store_txn *txn,
			    const struct leader_view *view)
{
	txn->condition_count = txn->put_count = 1;
	txn->conditions[0] =
		(struct store_condition){ NODE_TABLE_LEADER, NODE_LEADER_KEY,
					  n->leader.revision };
	txn->puts[0].table = NODE_TABLE_LEADER;
	txn->puts[0].key = NODE_LEADER_KEY;
	txn->puts[0].value = leader_encode(txn, view, &txn->puts[0].length);
}

static void claim_leadership(struct node *n, uint64_t now)
{
	struct claim *claim = talloc_zero(n, struct claim);
	struct store_txn *txn = talloc_zero(claim, struct store_txn);

	assert(claim && txn);
	claim->node = n;
	claim->sent_ms = now;
	snprintf(claim->wanted.node, sizeof(claim->wanted.node), "%s",
		 n->settings.name);
	snprintf(claim->wanted.address, sizeof(claim->wanted.address), "%s",
		 n->settings.peers);
	claim->wanted.incarnation = n->incarnation;
	claim->wanted.epoch = n->leader.epoch + 1;
	claim->wanted.known = true;
	snprintf(n->predecessor, sizeof(n->predecessor), "%s", n->leader.node);
	n->predecessor_incarnation = n->leader.incarnation;
	n->predecessor_gone =
		!n->leader.known || !*n->leader.node || n->leader_restarted;
	n->formers_until_ms = n->leader.known && n->leader.formers
				      ? n->epoch_learned_ms + LEADER_ORDERS_MS
				      : 0;
	n->predecessor_ended = n->leader.known && *n->leader.node &&
			       n->leader_restarted &&
			       now >= n->formers_until_ms;
	claim->wanted.formers = leader_formers_order_ms(n, now) > 0;
	fill_leader_txn(n, txn, &claim->wanted);
	n->claiming = true;
	n->claim_sent_ms = now;
	n->claims++;
	term_claim_begun(n, claim_delay(n),
			 silence_limit(n, now) + claim_delay(n),
			 strongest_peer(n, LEADER_POWER_HEARD_MS), now);
	n->services->txn(n->services->impl, txn, NODE_STORE_MS, on_claim,
			 claim);
}

/* Reads of the leader row */

struct leader_read {
	struct node *node;
	uint64_t sent_ms;
	uint64_t generation;
};

static void on_read(void *arg, const struct store_answer *answer)
{
	struct leader_read *r = arg;
	struct node *n = r->node;
	struct leader_view view;

	n->leader_reading = false;
	node_store_timed_result(n, "read leader", answer->status, r->sent_ms);
	if (answer->status == STORE_OK && answer->row_count &&
	    leader_decode(&answer->rows[0], &view)) {
		if (n->phase != LEADER_NONE &&
		    r->generation == n->phase_generation &&
		    view.incarnation == n->incarnation) {
			leader_confirmed(n, r->sent_ms);
		} else {
			learn_from_store(n, &view, r->sent_ms, "row");
		}
	}
	talloc_free(r);
}

static void read_row(struct node *n, uint64_t now)
{
	struct leader_read *r = talloc_zero(n, struct leader_read);

	assert(r);
	n->leader_read_ms = now;
	r->node = n;
	r->sent_ms = now;
	r->generation = n->phase_generation;
	n->leader_reading = true;
	n->services->read(n->services->impl, NODE_TABLE_LEADER, NODE_LEADER_KEY,
			  NULL, LEADER_READ_MS + n->loop_lag_ms, on_read, r);
}

/* Handles a heartbeat of the leader; live: what it reports about itself. */
void leader_heartbeat(struct node *n, bool live, uint64_t now)
{
	if (live) {
		n->leader_last_heard_ms = n->leader_live_ms = now;
		return;
	}
	n->leader_not_live_ms = now;
	if (n->leader_last_heard_ms > now)
		return; /* the leader may not have its claim's answer yet */
	if (n->leader_last_heard_ms > now - LEADER_SILENT_MS)
		n->leader_last_heard_ms = now - LEADER_SILENT_MS;
}

/* Time since this node last knew that the leader was live. */
uint32_t leader_live_age_ms(const struct node *n)
{
	uint64_t now = clock_now_ms();

	if (leader_is_live(n))
		return 0;
	return n->leader_live_ms && now - n->leader_live_ms < LEADER_AGE_MAX_MS
		       ? (uint32_t)(now - n->leader_live_ms)
		       : LEADER_AGE_MAX_MS;
}

/*
 * Handles a peer's report that the leader was live age_ms ago. Because of such
 * reports a node claims only if the leader is silent towards all nodes, not if
 * this node alone is slow or cut off.
 */
void leader_reported_live(struct node *n, uint32_t age_ms, uint64_t now)
{
	uint64_t live_ms = now - age_ms;

	if (age_ms >= LEADER_AGE_MAX_MS || n->phase != LEADER_NONE ||
	    n->leader_ended || live_ms <= n->leader_not_live_ms ||
	    live_ms <= n->leader_live_ms)
		return;
	n->leader_live_ms = live_ms;
	if (live_ms > n->leader_last_heard_ms)
		n->leader_last_heard_ms = live_ms;
}

static void leader_has_ended(struct node *n, const char *how)
{
	if (!n->leader_ended)
		event_log("lead-ended", NULL,
			  "\"lead\":\"%s\",\"epoch\":%" PRIu64
			  ",\"how\":\"%s\"",
			  n->leader.node, n->leader.epoch, how);
	n->leader_ended = true;
	n->leader_last_heard_ms = 0;
	n->next_claim_ms = clock_now_ms() + claim_delay(n);
}

/*
 * A connection to the address of this incarnation of a leader was refused. Its
 * process has probably ended: one that is frozen or slow refuses none. But a
 * network may, in the name of a machine that it doesn't reach.
 */
void leader_connection_refused(struct node *n, uint64_t incarnation)
{
	if (n->phase == LEADER_NONE && n->leader.known && *n->leader.node &&
	    incarnation && incarnation == n->leader.incarnation &&
	    !n->leader_ended)
		leader_has_ended(n, "connection refused");
}

/* A new incarnation of a leader proves that the old process has ended. */
void leader_peer_seen(struct node *n, const char *name, uint64_t incarnation)
{
	uint64_t now = clock_now_ms();

	if (n->phase == LEADER_NONE && n->leader.known &&
	    n->leader.incarnation && !strcmp(name, n->leader.node) &&
	    incarnation != n->leader.incarnation) {
		n->leader_restarted = true;
		leader_has_ended(n, "a new incarnation");
	}
	if (n->phase == LEADER_NONE || n->predecessor_gone ||
	    strcmp(name, n->predecessor) ||
	    incarnation == n->predecessor_incarnation)
		return;
	n->predecessor_gone = true;
	n->predecessor_ended = now >= n->formers_until_ms;
	event_log("predecessor-gone", NULL,
		  "\"predecessor\":\"%s\",\"formers_ms\":%u", name,
		  leader_formers_order_ms(n, now));
	if (n->phase == LEADER_DECIDING)
		sched_predecessor_gone(n->sched,
				       now + leader_formers_order_ms(n, now));
}

uint32_t leader_silence_limit_ms(uint32_t interval_ms, uint32_t answer_ms,
				 uint32_t loop_lag_ms, uint32_t changes,
				 uint64_t age_ms)
{
	uint32_t lag_ms = answer_ms > loop_lag_ms ? answer_ms : loop_lag_ms;

	if (lag_ms > NODE_LAG_MAX_MS)
		lag_ms = NODE_LAG_MAX_MS;
	if (changes > LEADER_CHANGES_MAX)
		changes = LEADER_CHANGES_MAX;
	return LEADER_SILENT_MS + (interval_ms - LEADER_HEARTBEAT_MS) + lag_ms +
	       (changes > 1 ? (changes - 1) * LEADER_CHANGE_WAIT_MS : 0) +
	       (age_ms < LEADER_NEW_MS ? LEADER_NEW_WAIT_MS : 0);
}

void leader_answered(struct leader_answers *a, uint64_t sent_ms, uint64_t now)
{
	uint32_t took_ms = (uint32_t)(now - sent_ms);

	if (now - a->since_ms >= LEADER_ANSWERS_MS) {
		a->before_ms = now - a->since_ms < 2 * LEADER_ANSWERS_MS
				       ? a->longest_ms
				       : 0;
		a->longest_ms = 0;
		a->since_ms = now;
	}
	if (took_ms > a->longest_ms)
		a->longest_ms = took_ms;
}

uint32_t leader_answer_ms(const struct leader_answers *a)
{
	return a->longest_ms > a->before_ms ? a->longest_ms : a->before_ms;
}

uint32_t leader_silent_ms(uint64_t heard_ms, uint64_t now)
{
	if (heard_ms >= now)
		return 0; /* grace period of a newly learned leader */
	return now - heard_ms < LEADER_AGE_MAX_MS ? (uint32_t)(now - heard_ms)
						  : LEADER_AGE_MAX_MS;
}

static void tick_follower(struct node *n, uint64_t now)
{
	uint32_t silent_ms = leader_silent_ms(n->leader_last_heard_ms, now);

	if (n->leader_reading || n->stopping)
		return;
	if (n->claiming) {
		/* The claim's answer may be lost. */
		if (now - n->claim_sent_ms >= LEADER_CLAIM_CHECK_MS &&
		    now - n->leader_read_ms >= LEADER_CLAIM_CHECK_MS)
			read_row(n, now);
		return;
	}
	/* Before the node table is read, no node's power is known. */
	if (!n->nodes_read && now - n->started_ms < LEADER_NODES_WAIT_MS) {
		if (!n->leader.known && now >= n->next_claim_ms &&
		    !n->settings.first_start) {
			n->next_claim_ms = now + LEADER_CLAIM_RETRY_MS;
			read_row(n, now);
		}
		return;
	}
	if (n->leader.known && *n->leader.node &&
	    silent_ms < silence_limit(n, now) + claim_delay(n))
		return;
	if (now < n->next_claim_ms)
		return;
	if (!n->store_ok) {
		n->next_claim_ms = now + LEADER_CLAIM_RETRY_MS;
		read_row(n, now);
		return;
	}
	claim_leadership(n, now);
}

/* Takes back what the leader row says of earlier leaders, once it is over. */
static void correct_formers(struct node *n, uint64_t now)
{
	if (!n->leader.formers || now - n->leader_since_ms < LEADER_ORDERS_MS)
		return;
	n->leader.formers = false;
	n->resolve_pending = true; /* the next transaction rewrites the row */
}

void leader_tick(struct node *n, uint64_t now)
{
	if (n->phase == LEADER_NONE) {
		tick_follower(n, now);
		return;
	}
	if (n->phase == LEADER_DECIDING)
		correct_formers(n, now);
	if (n->releasing || n->leader_reading)
		return;
	if (n->phase == LEADER_DECIDING && !n->stepped_down &&
	    now - n->leader_since_ms >= LEADER_MIN_TERM_MS &&
	    leader_is_weaker(n->settings.power,
			     strongest_peer(n, LEADER_STEP_DOWN_HEARD_MS))) {
		n->stepped_down = true;
		leader_release(n);
		return;
	}
	if (now - n->confirmed_ms >= LEADER_CONFIRM_MS ||
	    n->confirmed_ms < n->doubted_ms ||
	    (n->phase == LEADER_DECIDING &&
	     sched_needs_confirmation(n->sched, now)))
		read_row(n, now);
}

/* Release */

static void on_release(void *arg, const struct store_answer *answer)
{
	struct node *n = arg;

	node_store_result(n, "release", answer->status);
	n->releasing = false;
	leader_resign(n, n->stopping ? "stopping"
				     : "a stronger node is available");
	n->leader.known = false;
	n->next_claim_ms = clock_now_ms() + LEADER_SILENT_MS + claim_delay(n);
	if (n->stopping)
		n->stopped(n->stopped_arg);
}

/*
 * leader_release - give up leadership, so that another node can claim at once
 *
 * On a node that is stopping, calls n->stopped once the release has succeeded
 * or failed. While it is in flight, the node gives no orders. Transactions in
 * flight aren't waited for: their condition fails once the leader row is
 * changed.
 */
void leader_release(struct node *n)
{
	struct leader_view view = n->leader;
	uint64_t now = clock_now_ms();
	struct store_txn *txn;

	if (n->phase == LEADER_NONE) {
		n->stopped(n->stopped_arg);
		return;
	}
	if (n->releasing)
		return;
	n->releasing = true;
	view.node[0] = '\0';
	view.incarnation = 0;
	view.formers = leader_formers_order_ms(n, now) > 0 &&
		       now - n->leader_since_ms < LEADER_ORDERS_MS;
	txn = talloc_zero(n, struct store_txn);
	assert(txn);
	fill_leader_txn(n, txn, &view);
	n->services->txn(n->services->impl, txn, NODE_STORE_MS, on_release, n);
	talloc_free(txn);
}
