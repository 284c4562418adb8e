/*
 * lead - which node decides
 *
 * The lead row names the node. A claim replaces it under the condition that
 * it is unchanged; its new revision is the fence that instances check. A
 * lead that is not confirmed for LEAD_ORDERS_MS gives no more orders, so a
 * successor knows when what it cannot see has ended.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "node/node_internal.h"

#define LEAD_SILENT_MS 1000u   /* without news of the lead at any node: claim */
#define LEAD_AGE_MAX_MS 60000u /* older news are none */
#define LEAD_RANK_MS 80u       /* between two nodes' claims */
#define LEAD_RANKS 8u
#define LEAD_WEAK_MS 1200u    /* a weak node claims after all strong ones */
#define LEAD_STRONG_RATIO 1.5 /* of two nodes' power: the work is uneven */
#define LEAD_STRONG_HEARD_MS 15000u /* a round of beats of 40 nodes */
#define LEAD_FIRST_NODES_MS 2000u   /* for the table of nodes to be read */
#define LEAD_YIELD_MS 3000u	    /* a weak node leads at least that long */
#define LEAD_YIELD_HEARD_MS 600u    /* the stronger one is there now */
#define LEAD_CONFIRM_MS 800u	    /* between two confirmations */
#define LEAD_ABLE_MS 1400u   /* without a confirmation: others may claim */
#define LEAD_REFUSED_MS 300u /* the same while the store fails each call */
#define LEAD_CLAIM_RETRY_MS 400u
#define LEAD_READ_MS 600u   /* a read of the row; a slow store takes 300 ms */
#define LEAD_REGAIN_MS 800u /* a read that hangs, and the next one */
#define LEAD_GRACE_MS 1500u /* for a lead that was just learnt of */

bool lead_is_self(const struct node *n)
{
	return n->lead.known && n->lead.incarnation == n->incarnation;
}

bool lead_may_order(const struct node *n, uint64_t now)
{
	return n->phase == LEAD_DECIDING && n->confirmed_ms &&
	       now - n->confirmed_ms < LEAD_ORDERS_MS;
}

/* The row was unchanged when a call sent at sent_ms came to the store. */
void lead_confirmed(struct node *n, uint64_t sent_ms)
{
	if (sent_ms > n->confirmed_ms)
		n->confirmed_ms = sent_ms;
	if (n->phase != LEAD_DECIDING)
		return;
	sched_leader_confirmed(n->sched, sent_ms);
	node_pump(n);
}

bool lead_has_store(uint64_t confirmed_ms, uint64_t failing_ms, uint64_t now)
{
	return now - confirmed_ms < LEAD_ABLE_MS &&
	       (!failing_ms || now - failing_ms < LEAD_REFUSED_MS);
}

/*
 * A lead that the store does not answer tells nobody that it leads: the store
 * may turn this node alone away. Where it serves no other either, no claim is
 * done, and the lead goes on when it is confirmed.
 */
bool lead_is_able(const struct node *n)
{
	return n->phase != LEAD_NONE && !n->stopping &&
	       lead_has_store(n->confirmed_ms, n->store_failing_ms,
			      clock_now_ms());
}

bool lead_decode(const struct store_row *row, struct lead_view *view)
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
	view->settled = l->settled;
	view->revision = row->revision;
	view->known = true;
	fleet__lead_row__free_unpacked(l, NULL);
	return true;
}

uint8_t *lead_encode(TALLOC_CTX *ctx, const struct lead_view *view,
		     size_t *length)
{
	Fleet__LeadRow l = FLEET__LEAD_ROW__INIT;

	l.node = (char *)view->node;
	l.address = (char *)view->address;
	l.incarnation = view->incarnation;
	l.epoch = view->epoch;
	l.settled = view->settled;
	return node_pack(ctx, &l, length);
}

bool lead_is_weaker(uint32_t power, uint32_t strongest)
{
	return strongest > power * LEAD_STRONG_RATIO;
}

uint32_t lead_claim_delay_ms(uint32_t power, uint32_t strongest, uint64_t hash)
{
	uint32_t rank_ms = (uint32_t)(hash % LEAD_RANKS) * LEAD_RANK_MS;

	return rank_ms + (lead_is_weaker(power, strongest) ? LEAD_WEAK_MS : 0);
}

/* The power of the strongest other node heard within the last heard_ms. */
static uint32_t strongest_within(const struct node *n, uint64_t heard_ms)
{
	uint64_t now = clock_now_ms();

	return gossip_strongest(n, now > heard_ms ? now - heard_ms : 0);
}

static uint32_t claim_delay(const struct node *n)
{
	uint64_t hash = XXH64(n->settings.name, strlen(n->settings.name),
			      n->lead.epoch);

	return lead_claim_delay_ms(n->settings.power,
				   strongest_within(n, LEAD_STRONG_HEARD_MS),
				   hash);
}

/* The table of nodes was read: who is strong is known. */
void lead_nodes_known(struct node *n)
{
	if (!n->nodes_read)
		n->claim_ms = clock_now_ms() + claim_delay(n);
	n->nodes_read = true;
}

/*
 * The store answers this node again. A lead that was without it likewise is
 * confirmed by its next call, and need not be replaced.
 */
void lead_store_regained(struct node *n)
{
	uint64_t claim_ms = clock_now_ms() + LEAD_REGAIN_MS + claim_delay(n);

	if (n->phase == LEAD_NONE && n->lead.known && *n->lead.node &&
	    n->claim_ms < claim_ms)
		n->claim_ms = claim_ms;
}

/* What a beat or a row told about the lead. */
void lead_learn(struct node *n, const struct lead_view *view, const char *how)
{
	uint64_t now = clock_now_ms();
	bool changed = !n->lead.known || view->epoch != n->lead.epoch ||
		       view->incarnation != n->lead.incarnation;

	if (n->lead.known && view->epoch < n->lead.epoch)
		return;
	if (!changed && view->revision < n->lead.revision)
		return;
	if (changed) {
		event_log("lead", NULL,
			  "\"lead\":\"%s\",\"epoch\":%" PRIu64
			  ",\"how\":\"%s\"",
			  view->node, view->epoch, how);
		n->lead_heard_ms = now - LEAD_SILENT_MS + LEAD_GRACE_MS;
		if (n->phase != LEAD_NONE &&
		    view->incarnation != n->incarnation) {
			n->lead = *view;
			lead_resign(n, "another leads");
			return;
		}
	}
	if (changed) {
		n->lead_ended = false;
		n->lead_able_ms = n->lead_unable_ms = 0;
	}
	n->lead = *view;
	if (!strcmp(view->node, n->settings.name))
		lead_peer_seen(n, view->node, n->incarnation);
	if (!*view->node && !n->stopping) {
		n->lead_heard_ms = 0;
		n->claim_ms = now + claim_delay(n);
	}
}

void lead_resign(struct node *n, const char *why)
{
	if (n->phase == LEAD_NONE)
		return;
	event_log("resign", NULL, "\"why\":\"%s\",\"epoch\":%" PRIu64, why,
		  n->lead.epoch);
	n->phase = LEAD_NONE;
	n->lead_epoch++;
	n->commits_under_way = 0;
	n->commit_waits_ms = 0;
	waiters_drop(n);
	machines_end(n);
	relay_end(n);
	TALLOC_FREE(n->takeover);
	TALLOC_FREE(n->sched);
	n->lead_heard_ms = clock_now_ms();
}

static void begin(struct node *n, const struct lead_view *view)
{
	n->lead = *view;
	n->fence = view->revision;
	n->phase = LEAD_LOADING;
	n->lead_epoch++;
	n->led_ms = n->confirmed_ms = clock_now_ms();
	n->settle = false;
	n->takeovers++;
	event_log("claim", NULL,
		  "\"epoch\":%" PRIu64 ",\"fence\":%" PRIu64
		  ",\"predecessor\":\"%s\",\"predecessor_gone\":%d",
		  view->epoch, view->revision, n->predecessor,
		  n->predecessor_gone);
	takeover_begin(n);
}

/* Claims */

struct claim {
	struct node *node;
	struct lead_view wanted;
	uint64_t sent_ms;
};

static void on_claim(void *arg, const struct store_reply *reply)
{
	struct claim *claim = arg;
	struct node *n = claim->node;
	struct lead_view view;
	uint32_t i;

	n->claiming = false;
	node_store_took(n, reply->status, claim->sent_ms);
	n->claim_ms = clock_now_ms() + LEAD_CLAIM_RETRY_MS;
	switch (reply->status) {
	case STORE_OK:
		claim->wanted.revision = reply->revision;
		begin(n, &claim->wanted);
		n->confirmed_ms = claim->sent_ms;
		break;
	case STORE_CONFLICT:
		for (i = 0; i < reply->row_count; i++) {
			if (strcmp(reply->rows[i].table, NODE_TABLE_LEAD) ||
			    !lead_decode(&reply->rows[i], &view))
				continue;
			/* An earlier claim of ours may have been done. */
			if (view.incarnation == n->incarnation && *view.node)
				begin(n, &view);
			else
				lead_learn(n, &view, "claim refused");
		}
		break;
	case STORE_REFUSED:
	case STORE_LOST:
	case STORE_UNKNOWN:
		break;
	}
	if (reply->status != STORE_OK)
		event_log("claim-failed", NULL,
			  "\"epoch\":%" PRIu64
			  ",\"status\":%d,\"took_ms\":%" PRIu64,
			  claim->wanted.epoch, reply->status,
			  clock_now_ms() - claim->sent_ms);
	talloc_free(claim);
}

/* The row becomes view if it is as last known; txn owns the bytes. */
static void fill_lead_txn(const struct node *n, struct store_txn *txn,
			  const struct lead_view *view)
{
	txn->condition_count = txn->put_count = 1;
	txn->conditions[0] =
		(struct store_condition){ NODE_TABLE_LEAD, NODE_LEAD_KEY,
					  n->lead.revision };
	txn->puts[0].table = NODE_TABLE_LEAD;
	txn->puts[0].key = NODE_LEAD_KEY;
	txn->puts[0].value = lead_encode(txn, view, &txn->puts[0].length);
}

static void claim_lead(struct node *n, uint64_t now)
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
	claim->wanted.epoch = n->lead.epoch + 1;
	claim->wanted.known = true;
	snprintf(n->predecessor, sizeof(n->predecessor), "%s", n->lead.node);
	n->predecessor_incarnation = n->lead.incarnation;
	n->predecessor_gone = !n->lead.known || !*n->lead.node || n->lead_ended;
	n->predecessor_ended = n->lead.known && *n->lead.node && n->lead_ended;
	fill_lead_txn(n, txn, &claim->wanted);
	n->claiming = true;
	n->claims++;
	n->services->txn(n->services->impl, txn, NODE_STORE_MS, on_claim,
			 claim);
}

/* Reading the row */

struct lead_read {
	struct node *node;
	uint64_t sent_ms;
	uint64_t lead_epoch;
};

static void on_read(void *arg, const struct store_reply *reply)
{
	struct lead_read *r = arg;
	struct node *n = r->node;
	struct lead_view view;

	n->lead_reading = false;
	node_store_took(n, reply->status, r->sent_ms);
	if (reply->status == STORE_OK && reply->row_count &&
	    lead_decode(&reply->rows[0], &view)) {
		if (n->phase != LEAD_NONE && r->lead_epoch == n->lead_epoch &&
		    view.incarnation == n->incarnation) {
			lead_confirmed(n, r->sent_ms);
		} else {
			lead_learn(n, &view, "row");
		}
	}
	talloc_free(r);
}

static void read_row(struct node *n, uint64_t now)
{
	struct lead_read *r = talloc_zero(n, struct lead_read);

	assert(r);
	r->node = n;
	r->sent_ms = now;
	r->lead_epoch = n->lead_epoch;
	n->lead_reading = true;
	n->services->read(n->services->impl, NODE_TABLE_LEAD, NODE_LEAD_KEY,
			  NULL, LEAD_READ_MS, on_read, r);
}

/* The lead itself has said whether it can decide. */
void lead_heard(struct node *n, bool able, uint64_t now)
{
	if (able) {
		n->lead_heard_ms = n->lead_able_ms = now;
		return;
	}
	n->lead_unable_ms = now;
	if (n->lead_heard_ms > now)
		return; /* its claim's answer may still be on its way to it */
	if (n->lead_heard_ms > now - LEAD_SILENT_MS)
		n->lead_heard_ms = now - LEAD_SILENT_MS;
}

/* How long ago this node knew that the lead can decide. */
uint32_t lead_age_ms(const struct node *n)
{
	uint64_t now = clock_now_ms();

	if (lead_is_able(n))
		return 0;
	return n->lead_able_ms && now - n->lead_able_ms < LEAD_AGE_MAX_MS
		       ? (uint32_t)(now - n->lead_able_ms)
		       : LEAD_AGE_MAX_MS;
}

/*
 * Another node knew age_ms ago that the lead can decide: so a claim needs the
 * silence that all see, not that of one node which is slow or cut off itself.
 */
void lead_vouched(struct node *n, uint32_t age_ms, uint64_t now)
{
	uint64_t able_ms = now - age_ms;

	if (age_ms >= LEAD_AGE_MAX_MS || n->phase != LEAD_NONE ||
	    n->lead_ended || able_ms <= n->lead_unable_ms ||
	    able_ms <= n->lead_able_ms)
		return;
	n->lead_able_ms = able_ms;
	if (able_ms > n->lead_heard_ms)
		n->lead_heard_ms = able_ms;
}

static void lead_has_ended(struct node *n, const char *how)
{
	if (!n->lead_ended)
		event_log("lead-ended", NULL,
			  "\"lead\":\"%s\",\"epoch\":%" PRIu64
			  ",\"how\":\"%s\"",
			  n->lead.node, n->lead.epoch, how);
	n->lead_ended = true;
	n->lead_heard_ms = 0;
	n->claim_ms = clock_now_ms() + claim_delay(n);
}

/*
 * Nothing listens where that incarnation of a lead did, so its process has
 * ended: one that is frozen, slow or cut off refuses no connection.
 */
void lead_refused(struct node *n, uint64_t incarnation)
{
	if (n->phase == LEAD_NONE && n->lead.known && *n->lead.node &&
	    incarnation && incarnation == n->lead.incarnation && !n->lead_ended)
		lead_has_ended(n, "connection refused");
}

/* A new incarnation of a lead proves that the old one has ended. */
void lead_peer_seen(struct node *n, const char *name, uint64_t incarnation)
{
	if (n->phase == LEAD_NONE && n->lead.known && n->lead.incarnation &&
	    !strcmp(name, n->lead.node) && incarnation != n->lead.incarnation)
		lead_has_ended(n, "a new incarnation");
	if (n->phase == LEAD_NONE || n->predecessor_gone ||
	    strcmp(name, n->predecessor) ||
	    incarnation == n->predecessor_incarnation)
		return;
	n->predecessor_gone = n->predecessor_ended = true;
	event_log("predecessor-gone", NULL, "\"predecessor\":\"%s\"", name);
	if (n->phase == LEAD_DECIDING)
		sched_predecessor_gone(n->sched, clock_now_ms());
}

uint32_t lead_silent_ms(uint64_t heard_ms, uint64_t now)
{
	if (heard_ms >= now)
		return 0; /* one that was just learnt of has a grace */
	return now - heard_ms < LEAD_AGE_MAX_MS ? (uint32_t)(now - heard_ms)
						: LEAD_AGE_MAX_MS;
}

static void tick_follower(struct node *n, uint64_t now)
{
	uint32_t silent = lead_silent_ms(n->lead_heard_ms, now);

	if (n->claiming || n->lead_reading || n->stopping)
		return;
	/* Who leads, and who is strong, is not known before. */
	if (!n->nodes_read && now - n->started_ms < LEAD_FIRST_NODES_MS) {
		if (!n->lead.known && now >= n->claim_ms &&
		    !n->settings.first_start) {
			n->claim_ms = now + LEAD_CLAIM_RETRY_MS;
			read_row(n, now);
		}
		return;
	}
	if (n->lead.known && *n->lead.node &&
	    silent < LEAD_SILENT_MS + claim_delay(n))
		return;
	if (now < n->claim_ms)
		return;
	if (!n->store_ok) {
		n->claim_ms = now + LEAD_CLAIM_RETRY_MS;
		read_row(n, now);
		return;
	}
	claim_lead(n, now);
}

void lead_tick(struct node *n, uint64_t now)
{
	if (n->phase == LEAD_NONE) {
		tick_follower(n, now);
		return;
	}
	if (n->releasing || n->lead_reading)
		return;
	if (n->phase == LEAD_DECIDING && !n->yielded &&
	    now - n->led_ms >= LEAD_YIELD_MS &&
	    lead_is_weaker(n->settings.power,
			   strongest_within(n, LEAD_YIELD_HEARD_MS))) {
		n->yielded = true;
		lead_release(n);
		return;
	}
	if (now - n->confirmed_ms >= LEAD_CONFIRM_MS ||
	    (n->phase == LEAD_DECIDING && sched_needs_confirmation(n->sched)))
		read_row(n, now);
}

/* Release */

static void on_release(void *arg, const struct store_reply *reply)
{
	struct node *n = arg;

	node_store_result(n, reply->status);
	n->releasing = false;
	lead_resign(n, n->stopping ? "stopping" : "a stronger node is there");
	n->lead.known = false;
	n->claim_ms = clock_now_ms() + LEAD_SILENT_MS + claim_delay(n);
	if (n->stopping)
		n->stopped(n->stopped_arg);
}

/*
 * lead_release - leave the lead free to be claimed at once
 *
 * A node that stops has n->stopped called once this is done or has failed.
 * The caller has stopped giving orders; a write under way is not waited
 * for, because its condition fails once the row is changed.
 */
void lead_release(struct node *n)
{
	struct lead_view view = n->lead;
	struct store_txn *txn;

	if (n->phase == LEAD_NONE) {
		n->stopped(n->stopped_arg);
		return;
	}
	if (n->releasing)
		return;
	n->releasing = true;
	view.node[0] = '\0';
	view.incarnation = 0;
	txn = talloc_zero(n, struct store_txn);
	assert(txn);
	fill_lead_txn(n, txn, &view);
	n->services->txn(n->services->impl, txn, NODE_STORE_MS, on_release, n);
	talloc_free(txn);
}
