/*
 * balance - machines between pools
 *
 * The load it answers: queues ask several times what their pool holds for
 * some seconds by turns, and a fraction in between. A pool whose waiting work
 * would take long gets machines that are off, then machines that other pools
 * leave idle. Machines that stay idle are sent to be off, since each second
 * of a machine in a pool is paid for.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "fleet/fleet_internal.h"

#define THINK_MS 100u	     /* between two thoughts */
#define DRAIN_TARGET_MS 250u /* waiting work should take no longer */
#define HEADROOM 4.0	   /* times what runs and waits: more comes meanwhile */
#define DRAIN_MAX_MS 2000u /* for a machine to become empty; then it stays */
#define GIVE_SHARE 0.7	   /* of its capacity a giving pool keeps in use */
#define IDLE_MS 1000u	   /* idle that long before a machine is sent off */
#define KEEP_MIN 2u	   /* machines that a pool keeps in any case */
#define SPREAD_SLACK 1u	   /* instances beyond what a step that lasts needs */
#define STAY_MS 1500u	   /* a machine stays at least that long */
#define POOLS_MAX 256u

struct pool_view {
	const char *name;
	bool spare;
	struct sched_pool_load load;
	uint32_t coming; /* machines on their way to it */
	uint32_t leaving;
	int64_t machine_cpu; /* of one of its machines */
	int64_t lacking;     /* thousandths of a core */
	int64_t surplus;
};

struct balance {
	struct pool_view pools[POOLS_MAX];
	uint32_t pool_count;
};

static struct pool_view *view_of(struct balance *b, const char *name)
{
	uint32_t i;

	for (i = 0; i < b->pool_count; i++)
		if (!strcmp(b->pools[i].name, name))
			return &b->pools[i];
	return NULL;
}

static void count_moving(struct fleet *f, struct balance *b)
{
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next) {
		struct pool_view *to, *from;

		if (m->wave || m->phase == PHASE_NONE)
			continue;
		to = view_of(b, m->target);
		from = view_of(b, m->pool);
		if (to)
			to->coming++;
		if (from && m->phase == PHASE_DRAINING)
			from->leaving++;
	}
}

static void judge(struct pool_view *v)
{
	const struct sched_pool_load *l = &v->load;
	int64_t capacity = l->capacity.cpu + v->coming * v->machine_cpu;
	int64_t needed = (int64_t)(l->waiting_work / DRAIN_TARGET_MS);
	int64_t busy = l->used.cpu + l->waiting.cpu;
	uint32_t machines = l->instances + v->coming;
	int64_t at_once = (int64_t)(HEADROOM * (double)busy);

	if (needed > at_once)
		needed = at_once;
	v->lacking = needed > capacity ? needed - capacity : 0;
	if (machines < v->load.spread + SPREAD_SLACK && v->load.spread)
		v->lacking += v->machine_cpu *
			      (v->load.spread + SPREAD_SLACK - machines);
	if (!v->lacking && v->load.long_running_waiting && !v->coming)
		v->lacking = v->machine_cpu;
	v->surplus = 0;
	if (!v->lacking)
		v->surplus =
			l->capacity.cpu - (int64_t)((double)busy / GIVE_SHARE);
}

/* Machines that the pool does not give away. */
static uint32_t keep(const struct pool_view *v)
{
	uint32_t spread = v->load.spread ? v->load.spread + SPREAD_SLACK : 0;

	return spread > KEEP_MIN ? spread : KEEP_MIN;
}

static void look_around(struct fleet *f, const struct sched *s, uint64_t now)
{
	struct balance *b = f->balance;
	uint32_t i;

	b->pool_count = 0;
	for (i = 0; i < f->config->pool_count && i < POOLS_MAX; i++) {
		struct pool_view *v = &b->pools[b->pool_count++];

		memset(v, 0, sizeof(*v));
		v->name = f->config->pools[i].name;
		v->spare = f->config->pools[i].spare;
		sched_pool_load(s, v->name, now, &v->load);
		v->machine_cpu = v->load.instances ? v->load.capacity.cpu /
							     v->load.instances
						   : 16000;
	}
	count_moving(f, b);
	for (i = 0; i < b->pool_count; i++)
		judge(&b->pools[i]);
}

static bool movable(const struct machine *m, uint64_t now)
{
	return m->listed && m->phase == PHASE_NONE && m->state == FLEET_UP &&
	       now - m->moved_ms >= STAY_MS;
}

/* A machine of a spare pool, which is off, or the emptiest of a pool. */
static struct machine *donor(struct fleet *f, const struct sched *s,
			     const struct pool_view *from, bool idle_only,
			     uint64_t now)
{
	struct machine *best = NULL;
	struct machine *m;
	int64_t best_used = 0;

	for (m = f->machines; m; m = m->hh.next) {
		struct sched_instance_load load;

		if (strcmp(m->pool, from->name) || !movable(m, now))
			continue;
		if (from->spare)
			return m;
		if (!sched_machine_load(s, m->name, &load) || !load.usable ||
		    load.unreported || load.long_running || load.fillers ||
		    (idle_only && load.runs))
			continue;
		if (best && load.used.cpu >= best_used)
			continue;
		best = m;
		best_used = load.used.cpu;
	}
	return best;
}

static void send(struct machine *m, const char *pool, struct sched *s,
		 uint64_t now)
{
	snprintf(m->target, sizeof(m->target), "%s", pool);
	m->wave = NULL;
	machine_drain(m, s, now);
}

/*
 * The pool that lacks least goes first: where there is not enough for all, the
 * one whose turn it is would take every machine, and each other pool is served
 * by a few.
 */
static struct pool_view *first_served(struct balance *b)
{
	struct pool_view *best = NULL;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++)
		if (b->pools[i].lacking > 0 && !b->pools[i].spare &&
		    (!best || b->pools[i].lacking < best->lacking))
			best = &b->pools[i];
	return best;
}

/* The pool that gives next: one that is off, else the one with most idle. */
static struct pool_view *giver(struct balance *b, const struct pool_view *to)
{
	struct pool_view *best = NULL;
	uint32_t i;

	for (i = 0; i < b->pool_count; i++) {
		struct pool_view *v = &b->pools[i];

		if (v == to || v->lacking)
			continue;
		if (v->spare)
			return v;
		if (v->surplus < v->machine_cpu || v->load.instances <= keep(v))
			continue;
		if (!best || v->surplus > best->surplus)
			best = v;
	}
	return best;
}

static bool give_one(struct fleet *f, struct sched *s, struct pool_view *to,
		     uint64_t now)
{
	struct balance *b = f->balance;
	struct pool_view *from;
	struct machine *m;

	while ((from = giver(b, to))) {
		m = donor(f, s, from, false, now);
		if (!m) {
			/* Nothing to be had there now. */
			from->spare = false;
			from->surplus = 0;
			continue;
		}
		send(m, to->name, s, now);
		from->surplus -= from->machine_cpu;
		if (from->load.instances)
			from->load.instances--;
		to->lacking -= to->machine_cpu;
		return true;
	}
	return false;
}

static const char *spare_pool(const struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->config->pool_count; i++)
		if (f->config->pools[i].spare)
			return f->config->pools[i].name;
	return NULL;
}

/* Machines that have been idle for long are sent to be off. */
static void send_off(struct fleet *f, struct sched *s, uint64_t now)
{
	const char *off = spare_pool(f);
	struct machine *m;

	if (!off)
		return;
	for (m = f->machines; m; m = m->hh.next) {
		struct pool_view *v = view_of(f->balance, m->pool);
		struct sched_instance_load load;

		if (!v || v->spare || !movable(m, now) ||
		    !sched_machine_load(s, m->name, &load) || !load.usable ||
		    load.runs || load.unreported) {
			m->idle_ms = 0;
			continue;
		}
		if (!m->idle_ms)
			m->idle_ms = now;
		if (now - m->idle_ms < IDLE_MS || v->surplus < v->machine_cpu ||
		    v->load.instances <= keep(v))
			continue;
		v->surplus -= v->machine_cpu;
		v->load.instances--;
		send(m, off, s, now);
	}
}

static void think(struct fleet *f, struct sched *s, uint64_t now)
{
	struct pool_view *to;

	if (!f->balance)
		f->balance = talloc_zero(f, struct balance);
	assert(f->balance);
	look_around(f, s, now);
	while ((to = first_served(f->balance)))
		if (!give_one(f, s, to, now))
			to->lacking = 0;
	send_off(f, s, now);
}

static void stay(struct machine *m, struct sched *s, uint64_t now)
{
	struct sched_instance_load load;

	m->phase = PHASE_NONE;
	if (sched_machine_load(s, m->name, &load))
		sched_reserve(s, load.instance, false, now);
}

/* A machine that is empty goes; one that does not become empty stays. */
static bool order_ready(struct fleet *f, struct sched *s, uint64_t now,
			struct fleet_action *action)
{
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next) {
		struct sched_instance_load load;

		if (m->wave || m->phase != PHASE_DRAINING ||
		    m->state != FLEET_UP)
			continue;
		if (sched_machine_load(s, m->name, &load) &&
		    (load.runs || load.unreported)) {
			if (now - m->phase_ms > DRAIN_MAX_MS)
				stay(m, s, now);
			continue;
		}
		m->phase = PHASE_ORDERING;
		m->phase_ms = now;
		action->kind = FLEET_MOVE;
		snprintf(action->machine, sizeof(action->machine), "%s",
			 m->name);
		snprintf(action->pool, sizeof(action->pool), "%s", m->target);
		return true;
	}
	return false;
}

bool balance_next(struct fleet *f, struct sched *s, uint64_t now,
		  struct fleet_action *action)
{
	if (!f->config)
		return false;
	if (now >= f->balance_ms) {
		f->balance_ms = now + THINK_MS;
		think(f, s, now);
	}
	return order_ready(f, s, now, action);
}
