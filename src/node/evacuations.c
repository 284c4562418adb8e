/*
 * evacuations - the zones in which operators want nothing to be started
 *
 * The set comes from the feed of the operators' table, as the configuration
 * does, and from other nodes' heartbeats. Where it has a bound (evacuate_ms), a
 * leader starts nothing while its set is unknown or too old, and reads the rows
 * of evacuations alone: when its leadership begins, and when the feed is late.
 * These are few and small, so they arrive also over a link on which the
 * configuration takes long.
 */
#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "node/node_internal.h"

#define READ_RETRY_MS 200u

/*
 * A set is read again once it is older than this part of the bound. A feed
 * proves the set each second; reads take a few milliseconds, and a lost one
 * takes NODE_STORE_MS, so a second one is answered within a bound of 5 s.
 */
#define READ_AGE_PARTS 2u

/* The set */

static void on_change(void *arg, const struct evacuation_change *change)
{
	struct node *n = arg;
	uint64_t now = clock_now_ms();

	event_log("evacuation", event_sanitize(change->zone),
		  "\"requested\":%d,\"revision\":%" PRIu64
		  ",\"age_ms\":%u,\"source\":\"%s\""
		  ",\"effect_unix_ms\":%" PRIu64,
		  change->requested, change->revision,
		  evacuations_age_ms(n, now), n->evacuation.source,
		  node_unix_ms(n));
	n->evacuation.changed = true;
	if (n->phase == LEADER_DECIDING)
		node_schedule_pass(n);
}

static struct evacuations *set_from(struct node *n, const char *source)
{
	if (!n->evacuation.set)
		n->evacuation.set = evacuations_new(n, on_change, n);
	n->evacuation.source = source;
	return n->evacuation.set;
}

static void verified(struct node *n, uint64_t at_ms)
{
	if (at_ms > n->evacuation.verified_ms)
		n->evacuation.verified_ms = at_ms;
}

uint32_t evacuations_age_ms(const struct node *n, uint64_t now)
{
	return staleness_age_ms(n->evacuation.verified_ms, now);
}

bool evacuations_usable(const struct node *n, uint64_t now)
{
	return !n->settings.evacuate_ms ||
	       staleness_within(evacuations_age_ms(n, now),
				n->settings.evacuate_ms);
}

bool evacuations_allow_start(const struct node *n, const char *zone,
			     uint64_t now)
{
	return evacuations_usable(n, now) &&
	       !(n->evacuation.set && evacuations_has(n->evacuation.set, zone));
}

char *evacuations_list(const struct node *n, TALLOC_CTX *ctx)
{
	const struct evacuations *e = n->evacuation.set;
	uint32_t count = e ? evacuations_count(e) : 0;
	char *text = talloc_strdup(ctx, "");
	uint32_t i;

	for (i = 0; i < count; i++)
		text = talloc_asprintf_append(text, "%s%s", i ? "," : "",
					      evacuations_zone(e, i));
	assert(text);
	return text;
}

/* Rows */

/* The zone in the row's key, as it is; NULL if it isn't of an evacuation. */
static const char *zone_of(const struct node *n, const struct store_row *row)
{
	const char *prefix = n->services->evacuation_prefix;

	return prefix && !strncmp(row->key, prefix, strlen(prefix))
		       ? row->key + strlen(prefix)
		       : NULL;
}

/* A row that can't be read requests nothing, as if there were none. */
static bool is_requested(const struct node *n, const struct store_row *row)
{
	return !row->deleted &&
	       n->services->evacuation(row->value, row->length);
}

static void log_unreadable(const struct store_row *row, const char *why)
{
	event_log("evacuation-unreadable", event_sanitize(row->key),
		  "\"why\":\"%s\"", why);
}

void evacuations_row(struct node *n, const struct store_row *row)
{
	const char *zone = zone_of(n, row);
	bool requested;

	if (!zone)
		return;
	if (!evacuation_zone_valid(zone)) {
		log_unreadable(row, "its zone is empty, too long or "
				    "unprintable");
		return;
	}
	requested = is_requested(n, row);
	if (!requested && !row->deleted)
		log_unreadable(row, "its value is no JSON object");
	evacuations_apply(set_from(n, "store"), zone, row->revision, requested);
}

/* Reads of the table */

void evacuations_read_abandoned(struct evacuation_read *r)
{
	talloc_free(r->rows);
	memset(r, 0, sizeof(*r));
}

static void add_row(struct node *n, struct evacuation_read *r,
		    const struct store_row *row)
{
	const char *zone = zone_of(n, row);

	if (!zone || !evacuation_zone_valid(zone))
		return;
	r->rows =
		talloc_realloc(n, r->rows, struct evacuation_row, r->count + 1);
	assert(r->rows);
	r->rows[r->count].zone = talloc_strdup(r->rows, zone);
	r->rows[r->count].revision = row->revision;
	r->rows[r->count].requested = is_requested(n, row);
	assert(r->rows[r->count].zone);
	r->count++;
}

/*
 * The pages are of different times. What changed since the first one has a
 * higher revision than that, and the feed from there brings it again.
 */
void evacuations_page(struct node *n, struct evacuation_read *r,
		      const struct store_answer *answer, uint64_t sent_ms)
{
	uint32_t i;

	if (!r->first_revision) {
		r->first_revision = answer->revision;
		r->sent_ms = sent_ms;
	}
	for (i = 0; i < answer->row_count; i++)
		add_row(n, r, &answer->rows[i]);
	if (answer->more && answer->row_count)
		return;
	evacuations_table_read(set_from(n, "table"), r->rows, r->count,
			       r->first_revision);
	verified(n, r->sent_ms);
	evacuations_read_abandoned(r);
}

void evacuations_fed(struct node *n, uint64_t revision, uint64_t verified_ms)
{
	evacuations_complete(set_from(n, "store"), revision);
	verified(n, verified_ms);
}

/* The leader's own read */

struct read_call {
	struct node *node;
	uint64_t sent_ms;
};

static void on_read(void *arg, const struct store_answer *answer)
{
	struct read_call *call = arg;
	struct node *n = call->node;
	struct evacuation_state *e = &n->evacuation;
	uint64_t sent_ms = call->sent_ms;

	talloc_free(call);
	e->reading = false;
	node_store_result(n, "read evacuations", answer->status);
	TALLOC_FREE(e->page_from);
	if (answer->status != STORE_OK) {
		evacuations_read_abandoned(&e->own);
		e->retry_ms = clock_now_ms() + READ_RETRY_MS;
		return;
	}
	evacuations_page(n, &e->own, answer, sent_ms);
	if (answer->more && answer->row_count)
		e->page_from = node_key_after(
			n, answer->rows[answer->row_count - 1].key);
	if (n->phase == LEADER_DECIDING)
		node_schedule_pass(n);
}

static void read_own(struct node *n, uint64_t now)
{
	const char *prefix = n->services->evacuation_prefix;
	struct read_call *call = talloc_zero(n, struct read_call);
	char *end = talloc_strdup(call, prefix);

	assert(call && end);
	end[strlen(end) - 1]++; /* the first key after those of the prefix */
	call->node = n;
	call->sent_ms = now;
	n->evacuation.reading = true;
	n->evacuation.reads++;
	n->services->read(n->services->impl, n->services->operator_table,
			  n->evacuation.page_from ? n->evacuation.page_from
						  : prefix,
			  end, NODE_STORE_MS, on_read, call);
}

/* Whether the set was known to be complete since this node is the leader. */
static bool known_in_term(const struct node *n)
{
	return n->evacuation.verified_ms >= n->leader_since_ms;
}

static void read_if_due(struct node *n, uint64_t now)
{
	const struct evacuation_state *e = &n->evacuation;

	if (n->phase == LEADER_NONE || !n->settings.evacuate_ms ||
	    !n->services->evacuation_prefix || e->reading || now < e->retry_ms)
		return;
	if (e->page_from || !known_in_term(n) ||
	    evacuations_age_ms(n, now) >
		    n->settings.evacuate_ms / READ_AGE_PARTS)
		read_own(n, now);
}

/* Heartbeats */

void evacuations_gossip_pack(const struct node *n, TALLOC_CTX *ctx,
			     Fleet__Beat *heartbeat)
{
	const struct evacuations *e = n->evacuation.set;
	uint32_t count = e ? evacuations_count(e) : 0;
	uint32_t i;

	if (!e || (!n->settings.evacuate_ms && !count))
		return;
	heartbeat->evacuations_at = evacuations_at(e);
	heartbeat->evacuations_age_ms = evacuations_age_ms(n, clock_now_ms());
	heartbeat->evacuated = talloc_array(ctx, char *, count + 1);
	assert(heartbeat->evacuated);
	for (i = 0; i < count; i++)
		heartbeat->evacuated[i] = (char *)evacuations_zone(e, i);
	heartbeat->n_evacuated = count;
}

void evacuations_gossip_receive(struct node *n, const Fleet__Beat *heartbeat)
{
	if (heartbeat->evacuations_at)
		evacuations_merge(set_from(n, "peer"),
				  heartbeat->evacuations_at,
				  (const char *const *)heartbeat->evacuated,
				  (uint32_t)heartbeat->n_evacuated);
}

/* A set that is as new as the peer's has all that the peer's was proved by. */
void evacuations_gossip_proof(struct node *n, const Fleet__Beat *heartbeat,
			      uint64_t sent_ms)
{
	if (!heartbeat->evacuations_at || !n->evacuation.set ||
	    evacuations_at(n->evacuation.set) < heartbeat->evacuations_at)
		return;
	verified(n,
		 staleness_peer_proof(heartbeat->evacuations_age_ms, sent_ms));
}

/* The leader */

static void tell_parts(struct node *n, uint64_t now)
{
	const struct evacuations *e = n->evacuation.set;
	uint32_t count = e ? evacuations_count(e) : 0;
	const char **zones = talloc_zero_array(n, const char *, count + 1);
	uint32_t i;

	assert(zones);
	for (i = 0; i < count; i++)
		zones[i] = evacuations_zone(e, i);
	sched_set_evacuated(n->sched, zones, count, now);
	machines_set_evacuated(n, zones, count);
	n->evacuation.changed = false;
	talloc_free(zones);
}

static void hold_starts(struct node *n, uint64_t now)
{
	struct evacuation_state *e = &n->evacuation;
	bool hold = n->settings.evacuate_ms &&
		    (!known_in_term(n) || !evacuations_usable(n, now));

	sched_hold_starts(n->sched, hold, now);
	if (hold == e->held)
		return;
	event_log(hold ? "starts-held" : "starts-resumed", NULL,
		  "\"evacuations_age_ms\":%u,\"known_in_term\":%d"
		  ",\"held_ms\":%" PRIu64,
		  evacuations_age_ms(n, now), known_in_term(n),
		  hold ? 0 : now - e->held_since_ms);
	e->held = hold;
	e->held_since_ms = now;
}

void evacuations_begin(struct node *n)
{
	n->evacuation.changed = true;
	evacuations_tick(n, clock_now_ms());
}

void evacuations_tick(struct node *n, uint64_t now)
{
	read_if_due(n, now);
	if (!n->sched || n->phase == LEADER_NONE) {
		n->evacuation.held = false;
		return;
	}
	if (n->evacuation.changed)
		tell_parts(n, now);
	hold_starts(n, now);
}
