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

static void row_remove_pending(struct ledger_row *row, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < row->pending_count; i++)
		if (row->pending[i] == incarnation) {
			row->pending[i] = row->pending[--row->pending_count];
			return;
		}
}

/* Adds units to a cell's free ones: returned units, or minus acquired ones. */
static void cell_add_free(const struct ledger_row *row,
			  struct ledger_cell *cell, int64_t units)
{
	cell->free += units;
	if (row->open)
		cell->acquired -= units;
}

static void row_close(struct ledger_row *row)
{
	uint32_t i;

	row->open = false;
	for (i = 0; i < row->cell_count; i++) {
		struct ledger_cell *c = &row->cells[i];

		c->free = c->total - c->reported - c->acquired;
		c->reported = 0;
		c->acquired = 0;
	}
}

/* Planning one compare-and-set */

static void add_reports(struct ledger *l, uint32_t shard,
			struct ledger_row *row)
{
	uint32_t i;

	if (l->options.unsafe & LEDGER_UNSAFE_REPORT)
		ledger_set_reports(l, shard);
	for (i = 0; i < row->cell_count; i++)
		row->cells[i].reported +=
			ledger_domain_of(l, row->cells[i].domain)->report;
	row_remove_pending(row, l->options.incarnation);
}

static void row_open_round(struct ledger_row *row,
			   const struct ledger_members *m)
{
	uint32_t i;

	row->open = true;
	row->round++;
	row->members_version = m->version;
	talloc_free(row->pending);
	row->pending = talloc_memdup(row, m->incarnations,
				     m->count * sizeof(uint64_t));
	row->pending_count = m->count;
	for (i = 0; i < row->cell_count; i++) {
		row->cells[i].reported = 0;
		row->cells[i].acquired = 0;
	}
}

static bool is_registered(const struct ledger_members *m, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		if (m->incarnations[i] == incarnation)
			return true;
	return false;
}

static bool awaits_removed(const struct ledger_row *row,
			   const struct ledger_members *m)
{
	uint32_t i;

	for (i = 0; i < row->pending_count; i++)
		if (!is_registered(m, row->pending[i]))
			return true;
	return false;
}

/*
 * Opens a round when units may be lost, or when the open one awaits the report
 * of an incarnation that was unregistered. That report cannot be taken as 0:
 * the incarnation may have joined the round and lent units before it reported.
 */
static bool plan_round(struct ledger *l, uint32_t shard, uint64_t now_ms,
		       const struct ledger_members *m, struct ledger_row *row)
{
	struct shard *s = &l->shards[shard];

	if (row->open ? !awaits_removed(row, m) : !s->loss_suspected)
		return false;
	if (!row->cell_count)
		return false;
	if (s->round_opened_ms &&
	    now_ms < s->round_opened_ms + l->options.round_interval_min_ms) {
		s->dirty = true;
		return false;
	}
	s->round_opened_ms = now_ms;
	row_open_round(row, m);
	return true;
}

/*
 * Adds this entry's reports to the open round and closes it after the last
 * report. The entry joins a round when it sees the row, not when it plans to
 * open the round: if that write failed, it would later report units as they
 * were held at the failed attempt.
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
	bool new_generation = cell->generation != d->generation;

	if (ledger_cell_applied(cell, d))
		return false;
	if (new_generation && (cell->total || cell->free)) {
		/* The total stays 0 until all units have been returned. */
		if (!cell->total)
			return false;
		cell->free -= cell->total;
		cell->total = 0;
		return true;
	}
	cell->free += d->total - cell->total;
	cell->total = d->total;
	cell->generation = d->generation;
	cell->config_version = d->config_version;
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
		cell->config_version = d->config_version;
		cell->total = d->total;
		cell->free = d->total;
		changed = true;
	}
	return changed;
}

/* Idle units to return now: those requested, or the deficit if larger. */
static int64_t units_to_return(const struct domain *d,
			       const struct ledger_cell *cell)
{
	int64_t returned = d->to_return;

	if (cell->free < 0 && returned < -cell->free)
		returned = -cell->free;
	return returned < ledger_idle(d) ? returned : ledger_idle(d);
}

static int64_t units_to_acquire(const struct domain *d,
				const struct ledger_cell *cell)
{
	int64_t acquired = d->idle_target - ledger_idle(d);

	if (d->lowering_version || d->to_return > 0 ||
	    cell->generation != d->generation)
		return 0;
	return acquired < cell->free ? acquired : cell->free;
}

static bool plan_units(struct ledger *l, struct ledger_row *row)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < row->cell_count; i++) {
		struct ledger_cell *cell = &row->cells[i];
		struct domain *d = ledger_domain_of(l, cell->domain);
		int64_t returned = units_to_return(d, cell);
		int64_t acquired = units_to_acquire(d, cell);

		if (returned > 0) {
			d->returning = returned;
			d->held -= returned;
			d->to_return -= returned < d->to_return ? returned
								: d->to_return;
			cell_add_free(row, cell, returned);
			changed = true;
		} else if (acquired > 0) {
			d->acquiring = acquired;
			cell_add_free(row, cell, -acquired);
			changed = true;
		}
	}
	return changed;
}

bool ledger_plan_cas(struct ledger *l, uint32_t shard, uint64_t now_ms,
		     const struct ledger_members *members,
		     struct ledger_cas *cas)
{
	struct shard *s = &l->shards[shard];
	struct ledger_row *row;
	bool opens_round;
	bool changed;

	if (s->cas_pending || !s->row || !s->dirty)
		return false;
	s->dirty = s->loss_suspected;
	row = ledger_row_copy(l, s->row);
	changed = plan_totals(l, s, row);
	opens_round = plan_round(l, shard, now_ms, members, row);
	/*
	 * The write that opens a round moves no units, as the reports would
	 * count them too.
	 */
	if (!opens_round) {
		changed |= plan_report(l, shard, row);
		changed |= plan_units(l, row);
	}
	if (!changed && !opens_round) {
		talloc_free(row);
		return false;
	}
	s->cas_pending = true;
	s->next_row = row;
	s->cas_round = s->joined_round;
	cas->row = row;
	cas->row_version = s->row->version;
	cas->members_version = opens_round ? members->version : 0;
	return true;
}

enum cas_effect { EFFECT_APPLIED, EFFECT_NOT_APPLIED, EFFECT_UNKNOWN };

/*
 * Settles the units that a compare-and-set acquired or returned. If a round was
 * joined while the compare-and-set was in progress, its report lacks these
 * units, so they are dropped here and the round reclaims them.
 */
static void apply_effect(struct ledger *l, const struct shard *s,
			 enum cas_effect effect, bool same_round)
{
	uint32_t i;

	for (i = 0; i < s->domain_count; i++) {
		struct domain *d = &l->domains[s->domains[i]];

		if (effect == EFFECT_APPLIED && same_round)
			d->held += d->acquiring;
		if (effect == EFFECT_NOT_APPLIED && same_round)
			d->held += d->returning;
		d->acquiring = 0;
		d->returning = 0;
	}
}

static bool round_unchanged(const struct ledger *l, const struct shard *s)
{
	return s->cas_round == s->joined_round ||
	       (l->options.unsafe & LEDGER_UNSAFE_LATE_ACQUIRE);
}

void ledger_finish_cas(struct ledger *l, uint32_t shard,
		       enum ledger_cas_status status, uint64_t version)
{
	struct shard *s = &l->shards[shard];
	struct ledger_row *next = s->next_row;
	bool same_round = round_unchanged(l, s);

	s->cas_pending = false;
	s->dirty = true;
	s->next_row = NULL;
	switch (status) {
	case LEDGER_CAS_DONE:
		apply_effect(l, s, EFFECT_APPLIED, same_round);
		next->version = version;
		ledger_set_row(l, shard, next);
		break;
	case LEDGER_CAS_CONFLICT:
		apply_effect(l, s, EFFECT_NOT_APPLIED, same_round);
		break;
	case LEDGER_CAS_UNKNOWN:
		if (l->options.unsafe & LEDGER_UNSAFE_UNKNOWN)
			apply_effect(l, s, EFFECT_APPLIED, same_round);
		apply_effect(l, s, EFFECT_UNKNOWN, same_round);
		ledger_suspect_shard(l, shard);
		break;
	}
	talloc_free(next);
}
