/*
 * demand - which pools lack machines, and what there is elsewhere
 *
 * Each planning pass of moves notes what a pool lacked and whether any other
 * pool gave it a machine. The machines are counted when a caller asks for them.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_internal.h"

/* A shortage that comes back within this time has lasted all the while. */
#define SHORT_GAP_MS 500u
/* From a machine that came for a drain and didn't help until the next one */
#define PLACES_PAUSE_MS 30000u
#define ARRIVED_MS 1000u /* a machine that came within it is counted */

static struct pool_demand *demand_find(const struct fleet *f, const char *pool)
{
	uint32_t i;

	for (i = 0; i < f->demand_count; i++)
		if (!strcmp(f->demands[i].pool, pool))
			return &f->demands[i];
	return NULL;
}

static struct pool_demand *demand_get(struct fleet *f, const char *pool)
{
	struct pool_demand *d = demand_find(f, pool);

	if (d)
		return d;
	f->demands = talloc_realloc(f, f->demands, struct pool_demand,
				    f->demand_count + 1);
	assert(f->demands);
	d = &f->demands[f->demand_count++];
	memset(d, 0, sizeof(*d));
	snprintf(d->pool, sizeof(d->pool), "%s", pool);
	return d;
}

static bool is_within(uint64_t last_ms, uint64_t window_ms, uint64_t now)
{
	return last_ms && now - last_ms <= window_ms;
}

static void note_since(uint64_t *since_ms, uint64_t *last_ms, uint64_t now)
{
	if (!*since_ms || now - *last_ms > SHORT_GAP_MS)
		*since_ms = now;
	*last_ms = now;
}

void demand_note(struct fleet *f, const char *pool,
		 const struct sched_pool_load *load, int64_t deficit,
		 bool denied, bool none, uint64_t now)
{
	struct pool_demand *d = demand_get(f, pool);

	d->load = *load;
	d->deficit = deficit;
	if (!none)
		d->none_since_ms = 0;
	else if (!d->none_since_ms)
		d->none_since_ms = now;
	if (deficit > 0 && denied)
		note_since(&d->short_since_ms, &d->short_ms, now);
	if (load->long_running_machines)
		note_since(&d->wanted_since_ms, &d->wanted_ms, now);
	if (load->stranded)
		note_since(&d->stranded_since_ms, &d->stranded_ms, now);
}

uint64_t demand_stranded_ms(const struct fleet *f, const char *pool,
			    uint64_t now)
{
	const struct pool_demand *d = demand_find(f, pool);

	return d && is_within(d->stranded_ms, SHORT_GAP_MS, now)
		       ? now - d->stranded_since_ms
		       : 0;
}

void demand_pause_places(struct fleet *f, const char *pool, uint64_t now)
{
	demand_get(f, pool)->places_paused_ms = now + PLACES_PAUSE_MS;
}

bool demand_places_paused(const struct fleet *f, const char *pool, uint64_t now)
{
	const struct pool_demand *d = demand_find(f, pool);

	return d && now < d->places_paused_ms;
}

uint64_t demand_none_ms(const struct fleet *f, const char *pool, uint64_t now)
{
	const struct pool_demand *d = demand_find(f, pool);

	return d && d->none_since_ms ? now - d->none_since_ms + 1 : 0;
}

/* Counts what each other pool has that runs no long-running task. */
static void count_others(const struct fleet *f, const struct pool_demand *d,
			 struct fleet_pool_demand *out)
{
	uint32_t i;

	for (i = 0; i < f->demand_count; i++) {
		const struct pool_demand *other = &f->demands[i];
		uint32_t unpinned = other->load.instances - other->load.pinned;

		if (other == d)
			continue;
		out->others_unpinned += unpinned;
		out->others_cpu += other->load.capacity.cpu;
		out->others_used_cpu += other->load.used.cpu;
		if (unpinned > out->largest_unpinned) {
			out->largest_unpinned = unpinned;
			out->largest = other->pool;
		}
	}
}

static const char *spare_pool(const struct fleet *f)
{
	uint32_t i;

	for (i = 0; f->config && i < f->config->pool_count; i++)
		if (f->config->pools[i].spare)
			return f->config->pools[i].name;
	return "";
}

/* Counts a machine that is, or is to be, the pool's, or a spare one. */
static void count_machine(const struct machine *m, const char *spare,
			  uint64_t now, struct fleet_pool_demand *out)
{
	bool is_in = !strcmp(m->pool, out->pool);
	bool coming = !m->wave && m->phase != PHASE_NONE &&
		      !strcmp(m->target_pool, out->pool);

	if (coming && m->phase == PHASE_DRAINING)
		out->incoming_draining++;
	else if (coming)
		out->incoming_ordered++;
	else if (is_in && m->phase == PHASE_DRAINING)
		*(m->wave ? &out->kept_for_waves : &out->kept_for_moves) += 1;
	else if (is_in && m->phase != PHASE_NONE)
		out->away++;
	out->incoming_open += coming && (m->phase == PHASE_ORDERING ||
					 m->phase == PHASE_UNCERTAIN);
	out->given_up += !is_in && balance_given_up(m, now);
	out->arrived += is_in && m->phase == PHASE_NONE &&
			is_within(m->pool_since_ms, ARRIVED_MS, now);
	out->spare += m->phase == PHASE_NONE && m->listed &&
		      m->state == FLEET_UP && !strcmp(m->pool, spare);
}

static uint64_t lasted_ms(uint64_t since_ms, uint64_t last_ms,
			  uint64_t window_ms, uint64_t now)
{
	return is_within(last_ms, window_ms, now) ? now - since_ms + 1 : 0;
}

static void describe(const struct fleet *f, const struct pool_demand *d,
		     struct fleet_pool_demand *out, uint64_t now)
{
	const char *spare = spare_pool(f);
	const struct machine *m;

	out->deficit = d->deficit;
	out->wanted = d->load.long_running_machines;
	out->instances = d->load.instances;
	count_others(f, d, out);
	for (m = f->machines; m; m = m->hh.next)
		count_machine(m, spare, now, out);
}

static uint64_t longer_ms(const struct fleet_pool_demand *d)
{
	return d->short_ms > d->wanted_ms ? d->short_ms : d->wanted_ms;
}

static int by_longest(const void *a, const void *b)
{
	uint64_t x = longer_ms(a);
	uint64_t y = longer_ms(b);

	return x > y ? -1 : x < y;
}

uint32_t fleet_demands(const struct fleet *f, TALLOC_CTX *ctx,
		       uint64_t window_ms, uint64_t now,
		       struct fleet_pool_demand **list, uint32_t max)
{
	uint32_t count = 0;
	uint32_t i;

	*list = talloc_zero_array(ctx, struct fleet_pool_demand,
				  f->demand_count + 1);
	assert(*list);
	for (i = 0; i < f->demand_count; i++) {
		const struct pool_demand *d = &f->demands[i];
		struct fleet_pool_demand *out = &(*list)[count];

		out->pool = d->pool;
		out->short_ms = lasted_ms(d->short_since_ms, d->short_ms,
					  window_ms, now);
		out->wanted_ms = lasted_ms(d->wanted_since_ms, d->wanted_ms,
					   window_ms, now);
		count += out->short_ms || out->wanted_ms;
	}
	qsort(*list, count, sizeof(**list), by_longest);
	for (i = 0; i < count && i < max; i++)
		describe(f, demand_find(f, (*list)[i].pool), &(*list)[i], now);
	return count;
}
