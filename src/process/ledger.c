#include "process/ledger_internal.h"

#include <string.h>
#include <xxhash.h>

#define LEDGER_INITIAL_DOMAINS 64u

/* Rows */

struct ledger_row *ledger_row_copy(TALLOC_CTX *ctx,
				   const struct ledger_row *row)
{
	struct ledger_row *copy = talloc(ctx, struct ledger_row);

	assert(copy);
	*copy = *row;
	copy->pending = talloc_memdup(copy, row->pending,
				      row->pending_count * sizeof(uint64_t));
	copy->cells = talloc_memdup(
		copy, row->cells, row->cell_count * sizeof(struct ledger_cell));
	return copy;
}

struct ledger_cell *ledger_row_cell(const struct ledger *l,
				    struct ledger_row *row, domain_handle d)
{
	struct domain *domain = ledger_domain_of(l, d);
	uint32_t i;

	if (!row)
		return NULL;
	if (domain->cell_hint < row->cell_count &&
	    row->cells[domain->cell_hint].domain.i == d.i)
		return &row->cells[domain->cell_hint];
	for (i = 0; i < row->cell_count; i++)
		if (row->cells[i].domain.i == d.i) {
			domain->cell_hint = i;
			return &row->cells[i];
		}
	return NULL;
}

bool ledger_row_awaits(const struct ledger_row *row, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < row->pending_count; i++)
		if (row->pending[i] == incarnation)
			return true;
	return false;
}

/* Domains */

struct ledger *ledger_new(TALLOC_CTX *ctx, const struct ledger_options *options)
{
	struct ledger *l = talloc_zero(ctx, struct ledger);

	assert(l && options->shard_count);
	l->options = *options;
	l->names = intern_new(l);
	l->shards = talloc_zero_array(l, struct shard, options->shard_count);
	assert(l->shards);
	return l;
}

static void shard_add_domain(struct ledger *l, uint32_t shard, uint32_t id)
{
	struct shard *s = &l->shards[shard];

	s->domains =
		talloc_realloc(l, s->domains, uint32_t, s->domain_count + 1);
	assert(s->domains);
	s->domains[s->domain_count++] = id;
}

static void domains_grow(struct ledger *l)
{
	uint32_t old_capacity = l->domain_capacity;

	l->domain_capacity =
		old_capacity ? old_capacity * 2 : LEDGER_INITIAL_DOMAINS;
	l->domains = talloc_realloc(l, l->domains, struct domain,
				    l->domain_capacity);
	assert(l->domains);
	memset(l->domains + old_capacity, 0,
	       (l->domain_capacity - old_capacity) * sizeof(struct domain));
}

domain_handle ledger_domain(struct ledger *l, const char *name)
{
	domain_handle d = { intern_find(l->names, name) };
	uint32_t shard;

	if (d.i != INTERN_NONE)
		return d;
	d.i = intern_add(l->names, name);
	if (d.i >= l->domain_capacity)
		domains_grow(l);
	shard = (uint32_t)(XXH64(name, strlen(name), 0) %
			   l->options.shard_count);
	l->domains[d.i].shard = shard;
	shard_add_domain(l, shard, d.i);
	return d;
}

const char *ledger_domain_name(const struct ledger *l, domain_handle d)
{
	return intern_name(l->names, d.i);
}

uint32_t ledger_domain_count(const struct ledger *l)
{
	return intern_count(l->names);
}

uint32_t ledger_shard_of(const struct ledger *l, domain_handle d)
{
	return ledger_domain_of(l, d)->shard;
}

bool ledger_cell_applied(const struct ledger_cell *cell, const struct domain *d)
{
	if (cell->config_version >= d->config_version)
		return true;
	return !d->lowering_version && cell->total == d->total &&
	       cell->generation == d->generation;
}

static void domain_refresh(struct ledger *l, domain_handle handle)
{
	struct domain *d = ledger_domain_of(l, handle);
	const struct ledger_cell *cell =
		ledger_row_cell(l, l->shards[d->shard].row, handle);

	if (!cell)
		return;
	if (d->lowering_version && ledger_cell_applied(cell, d))
		d->lowering_version = 0;
	d->deficit = cell->free < 0;
}

/* Whether the cell has more than this total, or another generation. */
static bool row_exceeds(const struct ledger *l, domain_handle handle,
			int64_t total, uint64_t generation)
{
	const struct ledger_cell *cell =
		ledger_row_cell(l, ledger_shard_at(l, handle)->row, handle);

	return cell && (cell->total > total || cell->generation != generation);
}

void ledger_configure(struct ledger *l, domain_handle handle, int64_t total,
		      uint64_t generation, uint64_t config_version)
{
	struct domain *d = ledger_domain_of(l, handle);
	bool lower = d->configured
			     ? total < d->total || generation != d->generation
			     : row_exceeds(l, handle, total, generation);

	d->config_version = config_version;
	if (d->configured && total == d->total && generation == d->generation)
		return;
	d->configured = true;
	d->total = total;
	d->generation = generation;
	if (lower)
		d->lowering_version = config_version;
	l->shards[d->shard].dirty = true;
	domain_refresh(l, handle);
}

enum ledger_status ledger_can_start(const struct ledger *l,
				    domain_handle handle)
{
	const struct domain *d = ledger_domain_of(l, handle);

	if ((d->lowering_version || d->deficit) &&
	    !(l->options.unsafe & LEDGER_UNSAFE_DEFICIT))
		return LEDGER_CLOSED;
	return ledger_idle(d) > 0 ? LEDGER_OK : LEDGER_EXHAUSTED;
}

enum ledger_status ledger_start_unit(struct ledger *l, domain_handle handle)
{
	enum ledger_status status = ledger_can_start(l, handle);

	if (status == LEDGER_OK)
		ledger_domain_of(l, handle)->running++;
	return status;
}

void ledger_end_unit(struct ledger *l, domain_handle handle)
{
	struct domain *d = ledger_domain_of(l, handle);

	assert(d->running > 0);
	d->running--;
	if (d->deficit || d->to_return)
		l->shards[d->shard].dirty = true;
}

void ledger_set_idle_target(struct ledger *l, domain_handle handle,
			    int64_t units)
{
	struct domain *d = ledger_domain_of(l, handle);

	if (units == d->idle_target)
		return;
	d->idle_target = units;
	l->shards[d->shard].dirty = true;
}

void ledger_return_units(struct ledger *l, domain_handle handle, int64_t units)
{
	struct domain *d = ledger_domain_of(l, handle);

	if (units == d->to_return)
		return;
	d->to_return = units;
	l->shards[d->shard].dirty = true;
}

void ledger_view(const struct ledger *l, domain_handle handle,
		 struct ledger_domain_view *view)
{
	const struct domain *d = ledger_domain_of(l, handle);
	const struct ledger_cell *cell =
		ledger_row_cell(l, l->shards[d->shard].row, handle);

	view->held = d->held;
	view->running = d->running;
	view->total = d->total;
	view->free = cell ? cell->free : 0;
	view->closed = d->lowering_version || d->deficit;
}

bool ledger_domain_is_empty(const struct ledger *l, domain_handle handle)
{
	const struct ledger_cell *cell =
		ledger_row_cell(l, ledger_shard_at(l, handle)->row, handle);

	return cell && cell->total == 0 && cell->free == 0;
}

bool ledger_holds_any(const struct ledger *l)
{
	uint32_t i;

	for (i = 0; i < intern_count(l->names); i++)
		if (l->domains[i].held)
			return true;
	return l->outbound != 0;
}

/* Rounds */

void ledger_set_reports(struct ledger *l, uint32_t shard)
{
	const struct shard *s = &l->shards[shard];
	uint32_t i;

	for (i = 0; i < s->domain_count; i++) {
		struct domain *d = &l->domains[s->domains[i]];

		d->report = d->held;
	}
}

void ledger_join_round(struct ledger *l, uint32_t shard, uint64_t round)
{
	struct shard *s = &l->shards[shard];

	if (round <= s->joined_round)
		return;
	s->joined_round = round;
	s->dirty = true;
	ledger_set_reports(l, shard);
}

void ledger_suspect_shard(struct ledger *l, uint32_t shard)
{
	struct shard *s = &l->shards[shard];

	s->loss_suspected = true;
	s->dirty = true;
	s->suspected_in_round = s->joined_round;
}

void ledger_suspect_loss(struct ledger *l)
{
	uint32_t i;

	for (i = 0; i < l->options.shard_count; i++)
		ledger_suspect_shard(l, i);
}

void ledger_member_removed(struct ledger *l, uint64_t members_version)
{
	uint32_t i;

	for (i = 0; i < l->options.shard_count; i++) {
		l->shards[i].loss_suspected = true;
		l->shards[i].dirty = true;
		l->shards[i].removed_version = members_version;
	}
}

bool ledger_ready(const struct ledger *l, uint32_t shard)
{
	return l->shards[shard].row != NULL;
}

static void refresh_shard(struct ledger *l, uint32_t shard)
{
	struct ledger_row *row = l->shards[shard].row;
	uint32_t i;

	for (i = 0; i < row->cell_count; i++)
		domain_refresh(l, row->cells[i].domain);
}

void ledger_set_row(struct ledger *l, uint32_t shard,
		    const struct ledger_row *row)
{
	struct shard *s = &l->shards[shard];

	if (s->row && row->version <= s->row->version)
		return;
	if (!s->row)
		s->joined_round = row->round; /* no unit is held yet */
	TALLOC_FREE(s->row);
	s->row = ledger_row_copy(l, row);
	s->dirty = true;
	if (row->open && ledger_row_awaits(row, l->options.incarnation))
		ledger_join_round(l, shard, row->round);
	if (row->round > s->suspected_in_round &&
	    row->members_version >= s->removed_version)
		s->loss_suspected = false;
	refresh_shard(l, shard);
}
