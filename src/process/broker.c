#include "process/broker.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

#include "process/share.h"

#define RUN_INTERVAL_MS 250	   /* between two allocations of a group */
#define RUN_SHIFTED_INTERVAL_MS 50 /* the same, after demand has shifted */
#define ADVICE_REPEAT_MS 2000	   /* until unchanged advice is sent again */

/*
 * An entry's demand has shifted if it differs from that in the previous report
 * by more than SHIFT_SLOTS_MIN slots and by more than the latter divided by
 * SHIFT_DIVISOR.
 */
#define SHIFT_SLOTS_MIN 2.0
#define SHIFT_DIVISOR 4

/*
 * A target has changed if it differs from the one last sent by more than
 * ADVICE_CHANGE_MIN_MILLI, in thousandths of a slot, and by more than the
 * latter divided by ADVICE_CHANGE_DIVISOR.
 */
#define ADVICE_CHANGE_MIN_MILLI 100
#define ADVICE_CHANGE_DIVISOR 20

/* One entry's latest report on a group, and the advice that it gets. */
struct report {
	uint64_t entry;
	uint64_t received_ms;
	struct broker_demand demand;
	double slots;	 /* allocated to the entry */
	int32_t rounded; /* `slots` as a whole number */
	int32_t surplus; /* units held minus `rounded` */
	struct broker_target *targets;
	uint32_t target_count;
	struct broker_target *advised; /* targets last sent */
	uint32_t advised_count;
	uint64_t advised_ms;
	/* The last advice had transfers, which the next one must replace. */
	bool had_transfers;
};

struct group {
	struct broker_group id;
	struct report *reports;
	uint64_t run_ms; /* time of the last allocation */
	uint32_t count;
	bool changed; /* a report came or was removed since `run_ms` */
	bool shifted; /* an entry's demand has shifted since `run_ms` */
};

struct broker {
	struct broker_callbacks callbacks;
	struct group *groups;
	uint32_t count;
};

struct broker *broker_new(TALLOC_CTX *ctx,
			  const struct broker_callbacks *callbacks)
{
	struct broker *b = talloc_zero(ctx, struct broker);

	assert(b);
	b->callbacks = *callbacks;
	return b;
}

static struct group *group_get(struct broker *b, struct broker_group id)
{
	struct group *g;
	uint32_t i;

	for (i = 0; i < b->count; i++)
		if (b->groups[i].id.kind == id.kind &&
		    b->groups[i].id.id == id.id)
			return &b->groups[i];
	b->groups = talloc_realloc(b, b->groups, struct group, b->count + 1);
	assert(b->groups);
	g = &b->groups[b->count++];
	memset(g, 0, sizeof(*g));
	g->id = id;
	return g;
}

static struct report *report_get(struct broker *b, struct group *g,
				 uint64_t entry)
{
	struct report *r;
	uint32_t i;

	for (i = 0; i < g->count; i++)
		if (g->reports[i].entry == entry)
			return &g->reports[i];
	g->reports = talloc_realloc(b, g->reports, struct report, g->count + 1);
	assert(g->reports);
	r = &g->reports[g->count++];
	memset(r, 0, sizeof(*r));
	r->entry = entry;
	return r;
}

static void report_remove(struct group *g, uint32_t i)
{
	talloc_free(g->reports[i].demand.teams);
	talloc_free(g->reports[i].targets);
	talloc_free(g->reports[i].advised);
	g->reports[i] = g->reports[--g->count];
	g->changed = true;
}

static double demand_slots(const struct broker_demand *d)
{
	double slots = 0;
	uint32_t i;

	for (i = 0; i < d->team_count; i++)
		slots += d->teams[i].milli_slots / 1000.0;
	return slots;
}

static bool demand_shifted(const struct broker_demand *old,
			   const struct broker_demand *new)
{
	double before = demand_slots(old);
	double change = demand_slots(new) - before;

	if (change < 0)
		change = -change;
	return change > SHIFT_SLOTS_MIN && change > before / SHIFT_DIVISOR;
}

void broker_report(struct broker *b, uint64_t entry,
		   const struct broker_demand *demand, uint64_t now_ms)
{
	struct group *g = group_get(b, demand->group);
	struct report *r = report_get(b, g, entry);

	g->shifted |= demand_shifted(&r->demand, demand);
	talloc_free(r->demand.teams);
	r->demand = *demand;
	r->demand.teams =
		talloc_memdup(b, demand->teams,
			      demand->team_count * sizeof(struct broker_team));
	r->received_ms = now_ms;
	g->changed = true;
}

void broker_forget(struct broker *b, uint64_t entry)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < b->count; i++)
		for (k = 0; k < b->groups[i].count; k++)
			if (b->groups[i].reports[k].entry == entry)
				report_remove(&b->groups[i], k--);
}

/* Allocation */

/* The claims on a group's units, one for each team with demand. */
struct claims {
	struct share_claim *claims;
	uint32_t *teams;
	double *demands; /* in slots, summed over all entries */
	uint32_t *index; /* by team: the claim's index + 1, 0 for none */
	uint32_t count;
};

static uint32_t claim_index(struct claims *c, uint32_t team)
{
	if (c->index[team])
		return c->index[team] - 1;
	c->teams[c->count] = team;
	c->demands[c->count] = 0;
	c->index[team] = ++c->count;
	return c->count - 1;
}

static void claims_collect(struct broker *b, struct group *g, struct claims *c)
{
	uint32_t max_team = 0;
	uint32_t capacity = 1;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < g->count; i++) {
		const struct broker_demand *d = &g->reports[i].demand;

		capacity += d->team_count;
		for (k = 0; k < d->team_count; k++)
			max_team = d->teams[k].team > max_team
					   ? d->teams[k].team
					   : max_team;
	}
	c->claims = talloc_zero_array(b, struct share_claim, capacity);
	c->teams = talloc_array(c->claims, uint32_t, capacity);
	c->demands = talloc_array(c->claims, double, capacity);
	c->index = talloc_zero_array(c->claims, uint32_t, max_team + 1);
	assert(c->claims && c->teams && c->demands && c->index);
	c->count = 0;
	for (i = 0; i < g->count; i++)
		for (k = 0; k < g->reports[i].demand.team_count; k++) {
			const struct broker_team *t =
				&g->reports[i].demand.teams[k];

			c->demands[claim_index(c, t->team)] +=
				t->milli_slots / 1000.0;
		}
}

static void claims_allocate(struct broker *b, struct group *g, struct claims *c)
{
	double capacity = 0;
	uint32_t i;

	for (i = 0; i < g->count; i++)
		capacity += g->reports[i].demand.held;
	for (i = 0; i < c->count; i++) {
		uint32_t share = 1;
		uint32_t limit = 0;

		b->callbacks.team(b->callbacks.arg, c->teams[i], &share,
				  &limit);
		c->claims[i].weight = share;
		c->claims[i].demand =
			c->demands[i] < limit ? c->demands[i] : limit;
	}
	share_divide(c->claims, c->count, capacity);
}

/* Divides each team's allocation among entries in proportion to demand. */
static void report_targets(struct broker *b, struct report *r, struct claims *c)
{
	uint32_t i;

	talloc_free(r->targets);
	r->target_count = r->demand.team_count;
	r->targets = talloc_array(b, struct broker_target, r->target_count + 1);
	r->slots = 0;
	for (i = 0; i < r->demand.team_count; i++) {
		const struct broker_team *t = &r->demand.teams[i];
		uint32_t k = claim_index(c, t->team);
		double demand = t->milli_slots / 1000.0;
		double slots = 0;

		if (c->demands[k] > 0)
			slots = c->claims[k].allocated * demand / c->demands[k];
		r->targets[i].team = t->team;
		r->targets[i].milli_slots = (uint32_t)(slots * 1000.0 + 0.5);
		r->slots += slots;
	}
}

static double remainder_of(const struct report *r)
{
	return r->slots - r->rounded;
}

/* Rounds entries' allocations by the largest-remainder method. */
static void round_slots(struct group *g)
{
	double sum = 0;
	int32_t remaining;
	uint32_t i;

	for (i = 0; i < g->count; i++)
		sum += g->reports[i].slots;
	remaining = (int32_t)(sum + 0.5);
	for (i = 0; i < g->count; i++) {
		g->reports[i].rounded = (int32_t)g->reports[i].slots;
		remaining -= g->reports[i].rounded;
	}
	while (remaining-- > 0) {
		struct report *best = &g->reports[0];

		for (i = 1; i < g->count; i++)
			if (remainder_of(&g->reports[i]) > remainder_of(best))
				best = &g->reports[i];
		best->rounded++;
	}
	for (i = 0; i < g->count; i++)
		g->reports[i].surplus = (int32_t)g->reports[i].demand.held -
					g->reports[i].rounded;
}

/* Scales an entry's targets so that their sum is its rounded allocation. */
static void scale_targets(struct report *r)
{
	double scale = r->slots > 0 ? r->rounded / r->slots : 0;
	uint32_t i;

	for (i = 0; i < r->target_count; i++)
		r->targets[i].milli_slots =
			(uint32_t)(r->targets[i].milli_slots * scale + 0.5);
}

static struct report *lowest_surplus(struct group *g)
{
	struct report *best = NULL;
	uint32_t i;

	for (i = 0; i < g->count; i++)
		if (g->reports[i].surplus < 0 &&
		    (!best || g->reports[i].surplus < best->surplus))
			best = &g->reports[i];
	return best;
}

/* Gives a holder's surplus to the entries that lack most units. */
static uint32_t plan_transfers(struct group *g, struct report *holder,
			       struct broker_transfer *transfers)
{
	struct report *to;
	uint32_t n = 0;

	while (holder->surplus > 0 && (to = lowest_surplus(g))) {
		int32_t units = -to->surplus < holder->surplus
					? -to->surplus
					: holder->surplus;

		transfers[n].to = to->entry;
		transfers[n++].units = (uint32_t)units;
		holder->surplus -= units;
		to->surplus += units;
	}
	return n;
}

static bool targets_unchanged(const struct report *r)
{
	uint32_t i;

	if (r->target_count != r->advised_count)
		return false;
	for (i = 0; i < r->target_count; i++) {
		uint32_t new = r->targets[i].milli_slots;
		uint32_t old = r->advised[i].milli_slots;
		uint32_t change = new > old ? new - old : old - new;

		if (r->targets[i].team != r->advised[i].team ||
		    (change > ADVICE_CHANGE_MIN_MILLI &&
		     change > old / ADVICE_CHANGE_DIVISOR))
			return false;
	}
	return true;
}

static void send_advice(struct broker *b, struct group *g, struct report *r,
			struct broker_transfer *transfers, uint64_t now_ms)
{
	struct broker_advice advice = {
		.group = g->id,
		.target_count = r->target_count,
		.targets = r->targets,
		.transfer_count = plan_transfers(g, r, transfers),
		.transfers = transfers,
	};
	bool has_transfers = advice.transfer_count || r->had_transfers;

	if (!has_transfers && targets_unchanged(r) &&
	    now_ms < r->advised_ms + ADVICE_REPEAT_MS)
		return;
	r->had_transfers = advice.transfer_count;
	r->advised_ms = now_ms;
	talloc_free(r->advised);
	r->advised = talloc_memdup(b, r->targets,
				   r->target_count * sizeof(*r->targets));
	r->advised_count = r->target_count;
	b->callbacks.advise(b->callbacks.arg, r->entry, &advice);
}

/*
 * Plans the transfers of entries with idle units first: these units can be lent
 * at once, others only when a request ends.
 */
static void advise_entries(struct broker *b, struct group *g, uint64_t now_ms)
{
	struct broker_transfer *transfers =
		talloc_array(b, struct broker_transfer, g->count + 1);
	uint32_t i;

	for (i = 0; i < g->count; i++)
		if (g->reports[i].demand.idle)
			send_advice(b, g, &g->reports[i], transfers, now_ms);
	for (i = 0; i < g->count; i++)
		if (!g->reports[i].demand.idle)
			send_advice(b, g, &g->reports[i], transfers, now_ms);
	talloc_free(transfers);
}

static void group_run(struct broker *b, struct group *g, uint64_t now_ms)
{
	struct claims claims;
	uint32_t i;

	for (i = 0; i < g->count; i++)
		if (now_ms > g->reports[i].received_ms + BROKER_REPORT_TTL_MS)
			report_remove(g, i--);
	if (!g->changed || !g->count ||
	    now_ms < g->run_ms + (g->shifted ? RUN_SHIFTED_INTERVAL_MS
					     : RUN_INTERVAL_MS))
		return;
	g->changed = false;
	g->shifted = false;
	g->run_ms = now_ms;
	claims_collect(b, g, &claims);
	claims_allocate(b, g, &claims);
	for (i = 0; i < g->count; i++)
		report_targets(b, &g->reports[i], &claims);
	round_slots(g);
	for (i = 0; i < g->count; i++)
		scale_targets(&g->reports[i]);
	advise_entries(b, g, now_ms);
	talloc_free(claims.claims);
}

void broker_run(struct broker *b, uint64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < b->count; i++)
		group_run(b, &b->groups[i], now_ms);
}

uint64_t broker_choose(enum broker_kind kind, const char *name,
		       const uint64_t *entries, uint32_t count)
{
	uint64_t key = XXH64(name, strlen(name), kind);
	uint64_t best = 0;
	uint64_t best_hash = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint64_t hash = XXH64(&key, sizeof(key), entries[i]);

		if (best && hash <= best_hash)
			continue;
		best = entries[i];
		best_hash = hash;
	}
	return best;
}
