/*
 * sched_load - load of pools and instances, for admission and for fleet/
 */
#include <math.h>
#include <string.h>

#include "pool/sched_internal.h"

/* Sums over the instances of a pool */
#define AMOUNTS_VALID_MS 20u
/*
 * A machine is wanted for this long after a drain found no other place, or
 * after a pool with evacuated instances alone refused a job
 */
#define NO_PLACE_VALID_MS 500u
/* Searches for steps of a pool that may fit on no instance, in one call */
#define ROOM_SEARCHES_MAX 8u
/*
 * A pool asks for no machine while an instance of it may report first to this
 * leader, and have room: for longer than a poll and its answer take, and no
 * longer, since one that is cut off may stay so until its lease ends.
 */
#define FIRST_REPORT_MS 1500u
/*
 * A task that waits for so long, although an empty instance has room for it, is
 * not about to start there
 */
#define NO_START_MS 1500u
/*
 * A machine beside empty ones that don't take a step is requested until an
 * instance joins the pool, and not again before a pause: others may not take it
 * either
 */
#define OTHER_PAUSE_MS 30000u

/* Load of pools */

/* Whether the instance counts towards the capacity of its pool. */
static bool counts_as_capacity(const struct instance *i)
{
	return i->listed && !i->leaving && !i->expired && !i->reserved &&
	       !i->evacuated;
}

static bool is_idle(const struct sched *s, const struct instance *i)
{
	return !i->run_count && !i->hold_count &&
	       instance_usable(s, i, s->tick_ms);
}

/*
 * Whether tasks of the step, which end by themselves, may start now. Those of
 * long-running steps request machines by their number.
 */
static bool may_start(const struct sched *s, const struct step *step)
{
	return !step->spec->lasting && step->job->claimed &&
	       cap_allows(s, step, 1);
}

/* Run times of the step's startable tasks, in ms, as waiting_work has them. */
static int64_t waiting_ms(const struct step *step)
{
	if (step->spec->cpu)
		return (int64_t)(step->waiting_work / step->spec->cpu);
	return (int64_t)(step->startable *
			 estimate_scaled_ms(
				 step->spec,
				 estimate_ratio(step->job->queue_count)));
}

static void add_allowed(const struct step *step, const struct amount *a,
			struct sched_pool_load *load)
{
	const int64_t ms = waiting_ms(step);

	load->allowed.cpu += a->cpu * step->startable;
	load->allowed.mem += a->mem * step->startable;
	load->allowed.gpu += a->gpu * step->startable;
	load->allowed_work.cpu += (int64_t)step->waiting_work;
	load->allowed_work.mem += a->mem * ms;
	load->allowed_work.gpu += a->gpu * ms;
}

/* Room that long-running tasks leave on an instance, as found so far. */
struct room_left {
	struct amount found; /* on one instance */
	uint32_t searches;
};

/*
 * Whether some instance has that much room once what ends by itself has ended.
 * Also true after too many searches: steps in front of this one go first.
 */
static bool has_room_left(const struct pool *pool, const struct amount *a,
			  struct room_left *left)
{
	const struct instance *i;

	if (left->searches && amount_covers(&left->found, a))
		return true;
	if (left->searches++ >= ROOM_SEARCHES_MAX)
		return true;
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		struct amount unused = i->capacity;

		amount_sub(&unused, &i->lasting);
		if (!counts_as_capacity(i) || i->unresponsive ||
		    !amount_covers(&unused, a))
			continue;
		left->found = unused;
		return true;
	}
	return false;
}

/*
 * Sets the mean size of the pool's machines. Those of evacuated zones count:
 * the pool may have no others, and needs some like them.
 */
static void set_machine_size(const struct pool *pool, struct amount *size)
{
	const struct instance *i;
	int64_t count = 0;

	memset(size, 0, sizeof(*size));
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		if (!counts_as_capacity(i) && !(i->listed && i->evacuated))
			continue;
		amount_add(size, &i->capacity);
		count++;
	}
	if (!count)
		return;
	size->cpu /= count;
	size->mem /= count;
	size->gpu /= count;
}

static bool is_pinned(const struct instance *i)
{
	const struct run *run;

	DL_FOREACH(i->runs, run)
	if (run->task->step->spec->lasting)
		return true;
	return false;
}

/* Sets load->spread from the spread limits of long-running steps. */
static void set_spread(const struct sched *s, const struct pool *pool,
		       struct sched_pool_load *load)
{
	const struct job *job;
	size_t i;

	DL_FOREACH2(s->lists[JOBS_LONG], job, list_next)
	{
		if (job->pool != pool || job->set_aside)
			continue;
		for (i = 0; i < job->row->n_steps; i++) {
			const Fleet__Step *spec = job->row->steps[i];
			uint32_t limit = spec->spread_limit;
			uint32_t needed;

			if (!spec->lasting || !limit)
				continue;
			needed = (spec->count + limit - 1) / limit;
			if (needed > load->spread)
				load->spread = needed;
		}
	}
}

static bool is_empty(const struct sched *s, const struct instance *i)
{
	return !i->run_count && !i->hold_count && !i->returned_ms &&
	       instance_usable(s, i, s->tick_ms);
}

/*
 * Sets the most of each resource that a usable instance without any task has. A
 * task that finds no room although it would fit there waits for something else
 * than a machine: its ticket, or the first start; see other_is_wanted().
 */
static void set_largest_empty(const struct sched *s, const struct pool *pool,
			      struct amount *largest)
{
	const struct instance *i;

	memset(largest, 0, sizeof(*largest));
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		if (!is_empty(s, i))
			continue;
		amount_max(largest, &i->capacity);
	}
}

/* Whether one of them has all that is asked for. */
static bool empty_one_covers(const struct sched *s, const struct pool *pool,
			     const struct amount *a)
{
	const struct instance *i;

	DL_FOREACH2(pool->instances, i, pool_next)
	{
		if (is_empty(s, i) && amount_covers(&i->capacity, a))
			return true;
	}
	return false;
}

static bool awaits_first_report(const struct sched *s, const struct pool *pool)
{
	const struct instance *i;

	if (!pool->unreported)
		return false;
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		uint64_t since_ms = i->known_ms > s->leader_since_ms
					    ? i->known_ms
					    : s->leader_since_ms;

		if (!i->reported && !i->expired &&
		    s->tick_ms < since_ms + FIRST_REPORT_MS)
			return true;
	}
	return false;
}

static bool waits_for_long(const struct sched *s, const struct step *step)
{
	uint32_t t;

	for (t = 0; t < step->spec->count; t++) {
		const struct task *task = &step->tasks[t];

		if (!task->done && !task->runs && !task->possibly_running &&
		    task_waited_ms(s, task, s->tick_ms) >= NO_START_MS)
			return true;
	}
	return false;
}

static bool has_joined_since(const struct pool *pool, uint64_t since_ms)
{
	const struct instance *i;

	DL_FOREACH2(pool->instances, i, pool_next)
	{
		if (i->known_ms > since_ms)
			return true;
	}
	return false;
}

/*
 * Whether a machine is requested for a step although some are empty: each that
 * could run it is denied to it, or starts failed there last. One without the
 * step's label tells nothing; the next machine may lack it as well.
 */
static bool other_is_wanted(const struct sched *s, struct step *step)
{
	const struct instance *i;
	bool refused = false;

	if (!waits_for_long(s, step))
		return false;
	DL_FOREACH2(step->job->pool->instances, i, pool_next)
	{
		if (!is_empty(s, i) || !instance_could_run(i, step->spec))
			continue;
		if (!i->failures && !step_is_denied(step, i))
			return false;
		refused = true;
	}
	if (refused && (!step->other_wanted_ms ||
			s->tick_ms - step->other_wanted_ms >= OTHER_PAUSE_MS))
		step->other_wanted_ms = s->tick_ms;
	return refused &&
	       !has_joined_since(step->job->pool, step->other_wanted_ms);
}

/*
 * Empty machines, of the mean size of the pool's, that take the waiting tasks
 * of a long-running step; 0 if one can't take any, or more may not start now.
 */
static double machines_for_waiting(const struct sched *s, struct step *step,
				   const struct amount *size,
				   const struct amount *largest_empty)
{
	const struct amount a = step_amount(step->spec);
	const uint32_t waiting = step_waiting(step);
	int64_t each = step->spec->spread_limit ? step->spec->spread_limit
						: UINT32_MAX;

	if (!waiting || !cap_allows(s, step, 1))
		return 0;
	if (amount_covers(largest_empty, &a) &&
	    empty_one_covers(s, step->job->pool, &a))
		return other_is_wanted(s, step);
	if (!size->cpu)
		return 1;
	each = min_int64(each, fits_times(size->cpu, 0, a.cpu));
	each = min_int64(each, fits_times(size->mem, 0, a.mem));
	each = min_int64(each, fits_times(size->gpu, 0, a.gpu));
	return each ? (double)waiting / (double)each : 0;
}

static bool wanted_since(const struct sched *s, uint64_t since_ms)
{
	return since_ms && s->tick_ms < since_ms + NO_PLACE_VALID_MS;
}

/*
 * Jobs that a pool refuses because all its instances are evacuated add nothing
 * to its load, so one machine is requested for them: with it the pool accepts
 * jobs again, and their load requests the others.
 */
bool sched_pool_load(const struct sched *s, const char *name,
		     struct sched_pool_load *load)
{
	struct pool *pool;
	struct amount size, largest_empty;
	const struct instance *i;
	struct step *step;
	double machines = 0;
	bool awaits_report;
	struct room_left left = { 0 };

	memset(load, 0, sizeof(*load));
	load->pool = name;
	HASH_FIND_STR(s->pools, name, pool);
	if (!pool)
		return false;
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		if (!counts_as_capacity(i))
			continue;
		load->instances++;
		load->pinned += is_pinned(i);
		load->idle += is_idle(s, i);
		amount_add(&load->capacity, &i->capacity);
		amount_add(&load->used, &i->used);
		amount_add(&load->lasting, &i->lasting);
	}
	set_machine_size(pool, &size);
	set_largest_empty(s, pool, &largest_empty);
	awaits_report = awaits_first_report(s, pool);
	set_spread(s, pool, load);
	load->waiting_work = pool->waiting_work;
	load->arrived_work = pool->arrived_work;
	DL_FOREACH(pool->ready, step)
	{
		struct amount a = step_amount(step->spec);

		load->waiting.cpu += a.cpu * step->startable;
		load->waiting.mem += a.mem * step->startable;
		load->waiting.gpu += a.gpu * step->startable;
		if (may_start(s, step)) {
			add_allowed(step, &a, load);
			if (!load->stranded && !load->idle)
				load->stranded =
					!has_room_left(pool, &a, &left);
		}
		if (!awaits_report)
			machines += machines_for_waiting(s, step, &size,
							 &largest_empty);
	}
	load->long_running_machines = (uint32_t)ceil(machines);
	/* How many fit on one is known once there is one. */
	if (!size.cpu && load->long_running_machines)
		load->long_running_machines = 1;
	if (wanted_since(s, pool->no_place_ms)) {
		load->place_machines = pool->no_place;
		load->places_barred = !pool->no_place;
	}
	if (!load->long_running_machines && !load->instances &&
	    wanted_since(s, pool->refused_evacuated_ms))
		load->long_running_machines = 1;
	pool->machines_wanted =
		load->long_running_machines + load->place_machines;
	return true;
}

/* Valid for a while, as capacity and use change with every call. */
void pool_amounts(struct pool *pool, uint64_t now, struct amount *capacity,
		  struct amount *used)
{
	const struct instance *i;

	if (now >= pool->amounts_until_ms) {
		pool->amounts_until_ms = now + AMOUNTS_VALID_MS;
		memset(&pool->capacity, 0, sizeof(pool->capacity));
		memset(&pool->used, 0, sizeof(pool->used));
		DL_FOREACH2(pool->instances, i, pool_next)
		{
			if (!counts_as_capacity(i))
				continue;
			amount_add(&pool->capacity, &i->capacity);
			amount_add(&pool->used, &i->used);
		}
	}
	*capacity = pool->capacity;
	*used = pool->used;
}

uint32_t sched_backlog_ms(struct pool *pool, uint64_t now)
{
	struct amount capacity, used;

	pool_amounts(pool, now, &capacity, &used);
	return capacity.cpu
		       ? (uint32_t)(pool->waiting_work / (uint64_t)capacity.cpu)
		       : 0;
}

/* Load of instances, for the decisions about machines */

static void fill_load(const struct instance *i,
		      struct sched_instance_load *load)
{
	const struct run *run;

	memset(load, 0, sizeof(*load));
	load->instance = i->handle;
	load->id = i->id;
	load->machine = i->machine->machine;
	load->pool = i->pool->name;
	load->rack = instance_rack(i);
	load->usable =
		i->listed && !i->leaving && !i->unresponsive && !i->expired;
	load->unreported = !i->reported && !i->expired;
	load->ends_unwritten = i->unacked_count > 0;
	load->runs = i->run_count;
	load->held = i->hold_count;
	load->used = i->used;
	DL_FOREACH(i->runs, run)
	{
		if (run->task->step->spec->filler)
			load->fillers++;
		else if (run->task->step->spec->lasting)
			load->long_running++;
	}
}

bool sched_instance_next(const struct sched *s, uint32_t *slot,
			 struct sched_instance_load *load)
{
	while (*slot < s->instance_slots) {
		const struct instance *i = s->instances[(*slot)++];

		if (!i)
			continue;
		fill_load(i, load);
		return true;
	}
	return false;
}

bool sched_machine_load(const struct sched *s, const char *machine,
			struct sched_instance_load *load)
{
	const struct machine_instances *m;
	const struct instance *i;
	const struct instance *newest = NULL;

	HASH_FIND_STR(s->machines, machine, m);
	if (!m)
		return false;
	DL_FOREACH2(m->instances, i, machine_next)
	if (i->run_count || i->unacked_count || (!i->reported && !i->expired) ||
	    (i->listed && !i->leaving && !i->unresponsive && !i->expired))
		newest = i;
	if (newest)
		fill_load(newest, load);
	return newest != NULL;
}

void sched_release_machine(struct sched *s, const char *machine, uint64_t now)
{
	const struct machine_instances *m;
	struct instance *i;

	HASH_FIND_STR(s->machines, machine, m);
	if (!m)
		return;
	DL_FOREACH2(m->instances, i, machine_next)
	{
		sched_reserve(s, i->handle, false, now);
		sched_release_places(s, i->handle);
	}
}

/*
 * Whether only its label keeps the task from an empty instance of its pool, and
 * no other pool has an instance with that label.
 */
static bool is_barred(const struct sched *s, const struct task *task)
{
	const Fleet__Step *spec = task->step->spec;
	const struct pool *pool = task->step->job->pool;
	const struct amount a = step_amount(spec);
	const struct instance *i;
	bool barred = false;
	uint32_t slot;

	DL_FOREACH2(pool->instances, i, pool_next)
	barred |= is_empty(s, i) && amount_covers(&i->capacity, &a) &&
		  !instance_could_run(i, spec);
	for (slot = 0; barred && slot < s->instance_slots; slot++) {
		i = s->instances[slot];
		if (i && i->pool != pool && i->listed &&
		    instance_could_run(i, spec))
			return false;
	}
	return barred;
}

void want_place(const struct sched *s, struct instance *i,
		const struct task *task, uint64_t now)
{
	struct pool *pool = i->pool;

	if (pool->no_place_ms != now)
		pool->no_place = 0;
	pool->no_place_ms = now;
	pool->no_place += !is_barred(s, task);
}

void sched_mark_maintenance(struct sched *s, instance_handle_t h)
{
	struct instance *i = instance_of(s, h);

	if (i)
		i->maintenance_due = true;
}

void sched_reserve(struct sched *s, instance_handle_t h, bool reserved,
		   uint64_t now)
{
	struct instance *i = instance_of(s, h);

	if (!i || i->reserved == reserved)
		return;
	i->reserved = reserved;
	i->reserved_since_ms = now;
}
