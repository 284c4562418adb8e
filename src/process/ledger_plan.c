#include "process/ledger_internal.h"

#include <string.h>

/* Rows */

static struct ledger_cell *row_add_cell(struct ledger_row *row, domain_handle d)
{
	struct ledger_cell *cell;

	row->cells = talloc_realloc(row, row->cells, struct ledger_cell,
				    row->cell_count + 1);
	assert(row->cells);
	cell = &row->cells[row->cell_count++];
	memset(cell, 0, sizeof(*cell));
	cell->domain = d;
	return cell;
}

static void row_unpend(struct ledger_row *row, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < row->pending_count; i++)
		if (row->pending[i] == incarnation) {
			row->pending[i] = row->pending[--row->pending_count];
			return;
		}
}

/* Adds to a cell's free units what is drawn (below zero) or given back. */
static void cell_add_free(const struct ledger_row *row,
			  struct ledger_cell *cell, int64_t units)
{
	cell->free += units;
	if (row->open)
		cell->drawn -= units;
}

static void row_close(struct ledger_row *row)
{
	uint32_t i;

	row->open = false;
	for (i = 0; i < row->cell_count; i++) {
		struct ledger_cell *c = &row->cells[i];

		c->free = c->total - c->reported - c->drawn;
		c->reported = 0;
		c->drawn = 0;
	}
}

/* Planning one compare-and-set */

static void add_reports(struct ledger *l, uint32_t shard,
			struct ledger_row *row)
{
	uint32_t i;

	if (l->options.unsafe & LEDGER_UNSAFE_REPORT)
		ledger_fix_reports(l, shard);
	for (i = 0; i < row->cell_count; i++)
		row->cells[i].reported +=
			ledger_domain_of(l, row->cells[i].domain)->report;
	row_unpend(row, l->options.incarnation);
}

static void row_open_round(struct ledger_row *row,
			   const struct ledger_members *m)
{
	uint32_t i;

	row->open = true;
	row->round++;
	row->opened_at = m->version;
	talloc_free(row->pending);
	row->pending = talloc_memdup(row, m->incarnations,
				     m->count * sizeof(uint64_t));
	row->pending_count = m->count;
	for (i = 0; i < row->cell_count; i++) {
		row->cells[i].reported = 0;
		row->cells[i].drawn = 0;
	}
}

static bool member_known(const struct ledger_members *m, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		if (m->incarnations[i] == incarnation)
			return true;
	return false;
}

static bool awaits_gone(const struct ledger_row *row,
			const struct ledger_members *m)
{
	uint32_t i;

	for (i = 0; i < row->pending_count; i++)
		if (!member_known(m, row->pending[i]))
			return true;
	return false;
}

/*
 * Opens a round when units may be lost, or anew when the open one awaits an
 * incarnation that is gone: that one may have joined and lent units before
 * its report was written, so its report cannot be taken as nothing.
 */
static bool plan_open(struct ledger *l, uint32_t shard, uint64_t now_ms,
		      const struct ledger_members *m, struct ledger_row *row)
{
	struct shard *s = &l->shards[shard];

	if (row->open ? !awaits_gone(row, m) : !s->suspect)
		return false;
	if (!row->cell_count)
		return false;
	if (s->opened_ms && now_ms < s->opened_ms + l->options.round_pause_ms) {
		s->dirty = true;
		return false;
	}
	s->opened_ms = now_ms;
	row_open_round(row, m);
	return true;
}

/*
 * Reports to the open round and closes it after the last report. The round
 * was joined when its row was seen: joining in the operation that opens it
 * would leave a stale report behind when that operation fails.
 */
static bool plan_report(struct ledger *l, uint32_t shard,
			struct ledger_row *row)
{
	if (!row->open || !ledger_row_awaits(row, l->options.incarnation))
		return false;
	add_reports(l, shard, row);
	if (!row->pending_count)
		row_close(row);
	return true;
}

static bool plan_total(struct ledger_cell *cell, const struct domain *d)
{
	bool moved = cell->generation != d->generation;

	if (ledger_cell_applied(cell, d))
		return false;
	if (moved && (cell->total || cell->free)) {
		/* Every unit comes home before the new pool. */
		if (!cell->total)
			return false;
		cell->free -= cell->total;
		cell->total = 0;
		return true;
	}
	cell->free += d->total - cell->total;
	cell->total = d->total;
	cell->generation = d->generation;
	cell->conf = d->conf;
	return true;
}

static bool plan_totals(struct ledger *l, const struct shard *s,
			struct ledger_row *row)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < s->domain_count; i++) {
		domain_handle handle = { s->domains[i] };
		const struct domain *d = ledger_domain_of(l, handle);
		struct ledger_cell *cell;

		if (!d->configured)
			continue;
		cell = ledger_row_cell(l, row, handle);
		if (cell) {
			changed |= plan_total(cell, d);
			continue;
		}
		cell = row_add_cell(row, handle);
		cell->generation = d->generation;
		cell->conf = d->conf;
		cell->total = d->total;
		cell->free = d->total;
		changed = true;
	}
	return changed;
}

/* Units that a domain gives home now: as asked, or what its debt needs. */
static int64_t units_to_give(const struct domain *d,
			     const struct ledger_cell *cell)
{
	int64_t give = d->to_home;

	if (cell->free < 0 && give < -cell->free)
		give = -cell->free;
	return give < ledger_idle(d) ? give : ledger_idle(d);
}

static int64_t units_to_draw(const struct domain *d,
			     const struct ledger_cell *cell)
{
	int64_t draw = d->wanted - ledger_idle(d);

	if (d->lower_conf || d->to_home > 0 ||
	    cell->generation != d->generation)
		return 0;
	return draw < cell->free ? draw : cell->free;
}

static bool plan_units(struct ledger *l, struct ledger_row *row)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < row->cell_count; i++) {
		struct ledger_cell *cell = &row->cells[i];
		struct domain *d = ledger_domain_of(l, cell->domain);
		int64_t give = units_to_give(d, cell);
		int64_t draw = units_to_draw(d, cell);

		if (give > 0) {
			d->giving = give;
			d->held -= give;
			d->to_home -= give < d->to_home ? give : d->to_home;
			cell_add_free(row, cell, give);
			changed = true;
		} else if (draw > 0) {
			d->drawing = draw;
			cell_add_free(row, cell, -draw);
			changed = true;
		}
	}
	return changed;
}

bool ledger_plan(struct ledger *l, uint32_t shard, uint64_t now_ms,
		 const struct ledger_members *members, struct ledger_cas *cas)
{
	struct shard *s = &l->shards[shard];
	struct ledger_row *row;
	bool opens;
	bool changed;

	if (s->busy || !s->row || !s->dirty)
		return false;
	s->dirty = s->suspect;
	row = ledger_row_copy(l, s->row);
	changed = plan_totals(l, s, row);
	opens = plan_open(l, shard, now_ms, members, row);
	if (!opens) { /* units that move now would be counted twice */
		changed |= plan_report(l, shard, row);
		changed |= plan_units(l, row);
	}
	if (!changed && !opens) {
		talloc_free(row);
		return false;
	}
	s->busy = true;
	s->next = row;
	s->op_round = s->joined;
	cas->row = row;
	cas->row_version = s->row->version;
	cas->members_version = opens ? members->version : 0;
	return true;
}

enum settle { SETTLE_APPLIED, SETTLE_UNDONE, SETTLE_LOST };

/*
 * A round joined while the operation was under way counts neither its draws
 * nor its gives as held, so they are dropped and that round reclaims them.
 */
static void settle(struct ledger *l, const struct shard *s, enum settle how,
		   bool same_round)
{
	uint32_t i;

	for (i = 0; i < s->domain_count; i++) {
		struct domain *d = &l->domains[s->domains[i]];

		if (how == SETTLE_APPLIED && same_round)
			d->held += d->drawing;
		if (how == SETTLE_UNDONE && same_round)
			d->held += d->giving;
		d->drawing = 0;
		d->giving = 0;
	}
}

static bool op_is_of_this_round(const struct ledger *l, const struct shard *s)
{
	return s->op_round == s->joined ||
	       (l->options.unsafe & LEDGER_UNSAFE_LATE_DRAW);
}

void ledger_planned(struct ledger *l, uint32_t shard,
		    enum ledger_cas_status status, uint64_t version)
{
	struct shard *s = &l->shards[shard];
	struct ledger_row *next = s->next;
	bool same_round = op_is_of_this_round(l, s);

	s->busy = false;
	s->dirty = true;
	s->next = NULL;
	switch (status) {
	case LEDGER_CAS_DONE:
		settle(l, s, SETTLE_APPLIED, same_round);
		next->version = version;
		ledger_seen(l, shard, next);
		break;
	case LEDGER_CAS_CONFLICT:
		settle(l, s, SETTLE_UNDONE, same_round);
		break;
	case LEDGER_CAS_UNKNOWN:
		if (l->options.unsafe & LEDGER_UNSAFE_UNKNOWN)
			settle(l, s, SETTLE_APPLIED, same_round);
		settle(l, s, SETTLE_LOST, same_round);
		ledger_suspect_shard(l, shard);
		break;
	}
	talloc_free(next);
}
