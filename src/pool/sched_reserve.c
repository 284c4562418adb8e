/*
 * sched_reserve - reservations of large steps that wait for room
 *
 * Designed for pools in which small tasks take each bit of room as it becomes
 * free, so that a task that needs a large part of an instance never finds it.
 * In each pass, the first few steps by rank that find no room for a large task
 * reserve the instance where it will be free earliest by the expected ends of
 * the runs there. Steps after them use that instance only if they are expected
 * to end before, or beside what is reserved.
 *
 * A reservation is kept from pass to pass, so that it does not jump between
 * instances as expectations change; each pass computes it again from the runs.
 * It ends when its task is placed, when more urgent steps hold as many as there
 * may be, or when its time has passed: a wrong estimate keeps an instance from
 * others for a bounded time.
 */
#include <inttypes.h>
#include <string.h>

#include "pool/sched_internal.h"

#define LARGE_PART 4	     /* a large task takes more than 1 / this */
#define HORIZON_MS 8000u     /* rooms that become free later aren't reserved */
#define RUNS_MAX 64u	     /* instances with more runs aren't reserved */
#define SEARCH_AGAIN_MS 100u /* after a search that found no instance */
#define REVIEW_MS 250u	     /* between two comparisons with other instances */
/* Others must have room earlier by this and by this part of the wait */
#define MOVE_GAIN_MS 100u
#define MOVE_GAIN_PART 4
/* Lifetime: what was expected at first, times this, with this added */
#define LIFETIME_FACTOR 2
#define LIFETIME_EXTRA_MS 500u
#define OVERRUN_MAX_MS 1500u /* most after the time expected at first */
/* After so many in vain a step waits before it gets another */
#define GIVEN_UP_MAX 3u
#define GIVEN_UP_PAUSE_MS 2000u
#define GIVEN_UP_PAUSES_MAX 8u /* x the pause, after as many more in vain */

/* When and with how much left an instance has room for a task. */
struct forecast_room {
	struct instance *instance;
	uint64_t at_ms;
	struct amount beside;
};

struct run_end {
	uint64_t at_ms;
	struct amount amount;
};

static uint32_t reservations_max(const struct sched *s)
{
	return s->options.placement_reservations < SCHED_RESERVATIONS_MAX
		       ? s->options.placement_reservations
		       : SCHED_RESERVATIONS_MAX;
}

static struct reservation *find(struct pool *pool, const struct step *step)
{
	uint32_t n;

	for (n = 0; n < pool->reservation_count; n++)
		if (pool->reservations[n].step == step)
			return &pool->reservations[n];
	return NULL;
}

static void discard(struct pool *pool, struct reservation *r)
{
	pool->reservations_active -= r->active;
	*r = pool->reservations[--pool->reservation_count];
}

const struct reservation *reserve_of(const struct step *step)
{
	return find(step->job->pool, step);
}

void reserve_forget(struct pool *pool, const struct step *step)
{
	struct reservation *r = find(pool, step);

	if (r)
		discard(pool, r);
}

static void trace(struct sched *s, const char *kind,
		  const struct reservation *r, uint64_t now)
{
	const struct instance *i = instance_of(s, r->instance);

	sched_trace(s, kind, r->step->job->id,
		    "\"step\":%u,\"pool\":\"%s\",\"instance\":\"%s\""
		    ",\"cpu\":%" PRId64 ",\"mem\":%" PRId64
		    ",\"age_ms\":%" PRIu64 ",\"at_in_ms\":%" PRId64
		    ",\"expected_in_ms\":%" PRId64 ",\"given_up\":%u",
		    r->step->index, r->step->job->pool->name, i ? i->id : "",
		    r->amount.cpu, r->amount.mem, now - r->made_ms,
		    (int64_t)(r->at_ms - now), (int64_t)(r->expected_ms - now),
		    r->step->reserve.given_up);
}

/* Expected ends */

/* Sorted by time; -1 if they are too many. */
static int list_ends(const struct instance *i, uint64_t now,
		     struct run_end *ends)
{
	const struct run *run;
	int count = 0;

	if (i->run_count > RUNS_MAX)
		return -1;
	DL_FOREACH(i->runs, run)
	{
		struct run_end end = { run_expected_end_ms(run, now),
				       step_amount(run->task->step->spec) };
		int n = count++;

		for (; n && ends[n - 1].at_ms > end.at_ms; n--)
			ends[n] = ends[n - 1];
		ends[n] = end;
	}
	return count;
}

/*
 * Finds when the instance will have room; false if not within the horizon, or
 * if it is being filled gradually after an evacuation.
 */
static bool forecast(struct instance *i, const struct amount *a, uint64_t now,
		     struct forecast_room *f)
{
	struct run_end ends[RUNS_MAX];
	struct amount unused = i->capacity;
	int count = list_ends(i, now, ends);
	int n;

	if (count < 0 || i->returned_ms)
		return false;
	amount_sub(&unused, &i->used);
	f->instance = i;
	f->at_ms = now;
	for (n = 0; n < count && !amount_covers(&unused, a); n++) {
		if (ends[n].at_ms > now + HORIZON_MS)
			return false;
		f->at_ms = ends[n].at_ms;
		amount_add(&unused, &ends[n].amount);
	}
	f->beside = unused;
	amount_sub(&f->beside, a);
	return amount_covers(&unused, a);
}

/* The reservation that holds the instance in this pass, or NULL. */
static const struct reservation *active_on(const struct pool *pool,
					   const struct instance *i)
{
	uint32_t n;

	for (n = 0; n < pool->reservation_count; n++) {
		const struct reservation *r = &pool->reservations[n];

		if (r->active && r->instance.i == i->handle.i &&
		    r->instance.generation == i->handle.generation)
			return r;
	}
	return NULL;
}

/*
 * Finds the instance, not that of slot avoid - 1, that has room earliest;
 * false: none has within the horizon.
 */
static bool search(const struct sched *s, struct pool *pool,
		   const struct amount *a, uint32_t avoid, uint64_t now,
		   struct forecast_room *best)
{
	struct instance *i;
	bool found = false;

	pool->reserve_searches++;
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		struct forecast_room f;

		if (i->handle.i + 1 == avoid || !instance_usable(s, i, now) ||
		    !amount_covers(&i->capacity, a) || active_on(pool, i) ||
		    !forecast(i, a, now, &f))
			continue;
		if (found && f.at_ms >= best->at_ms)
			continue;
		*best = f;
		found = true;
	}
	return found;
}

/* Reservations */

/* Whether it is the size of its tasks that keeps the step from room. */
static bool may_reserve(const struct sched *s, const struct step *step,
			const struct amount *a, uint64_t now)
{
	const struct amount *largest = &step->job->pool->room.largest;

	if (a->cpu * LARGE_PART <= largest->cpu &&
	    a->mem * LARGE_PART <= largest->mem)
		return false;
	return amount_covers(largest, a) && step_takes_any_room(step) &&
	       !step->spec->gang && now >= step->reserve.after_ms &&
	       !job_is_worthless(step->job, now) && cap_allows(s, step, 1);
}

static bool has_startable(const struct step *step, uint64_t now)
{
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		if (task_startable(&step->tasks[t], now))
			return true;
	return false;
}

static void apply(struct reservation *r, const struct forecast_room *f)
{
	r->instance = f->instance->handle;
	r->at_ms = f->at_ms;
	r->beside = f->beside;
}

static void make(struct sched *s, struct step *step, const struct amount *a,
		 uint64_t now)
{
	struct pool *pool = step->job->pool;
	struct reserve_wait *wait = &step->reserve;
	struct reservation *r;
	struct forecast_room f;
	uint32_t avoid = 0;

	if (pool->reserve_searches >= reservations_max(s))
		return;
	if (wait->avoid.generation)
		avoid = wait->avoid.i + 1;
	if (!search(s, pool, a, avoid, now, &f)) {
		wait->avoid.generation = 0;
		wait->after_ms = now + SEARCH_AGAIN_MS;
		return;
	}
	r = &pool->reservations[pool->reservation_count++];
	memset(r, 0, sizeof(*r));
	r->step = step;
	r->amount = *a;
	apply(r, &f);
	r->made_ms = now;
	r->expected_ms = f.at_ms;
	r->until_ms = (uint64_t)min_int64(
		(int64_t)(now + LIFETIME_FACTOR * (f.at_ms - now) +
			  LIFETIME_EXTRA_MS),
		(int64_t)(f.at_ms + OVERRUN_MAX_MS));
	r->review_ms = now + REVIEW_MS;
	r->active = true;
	pool->reservations_active++;
	s->stats.reservations_made++;
	trace(s, "reservation-made", r, now);
}

/* Ends a reservation whose room did not become free in time, or is lost. */
static void give_up(struct sched *s, struct pool *pool, struct reservation *r,
		    bool lost, uint64_t now)
{
	struct reserve_wait *wait = &r->step->reserve;

	s->stats.reservations_given_up++;
	wait->avoid = r->instance;
	if (!lost && ++wait->given_up >= GIVEN_UP_MAX) {
		uint32_t pauses = wait->given_up - GIVEN_UP_MAX + 1;

		wait->after_ms = now + GIVEN_UP_PAUSE_MS *
					       (pauses < GIVEN_UP_PAUSES_MAX
							? pauses
							: GIVEN_UP_PAUSES_MAX);
	}
	trace(s, "reservation-given-up", r, now);
	discard(pool, r);
}

/* Moves it to an instance that has room clearly earlier. */
static void review(struct sched *s, struct pool *pool, struct reservation *r,
		   uint64_t now)
{
	struct forecast_room f;

	if (now < r->review_ms || pool->reserve_searches >= reservations_max(s))
		return;
	r->review_ms = now + REVIEW_MS;
	if (!search(s, pool, &r->amount, 0, now, &f) ||
	    f.at_ms + MOVE_GAIN_MS + (r->at_ms - now) / MOVE_GAIN_PART >=
		    r->at_ms)
		return;
	apply(r, &f);
	s->stats.reservations_moved++;
	trace(s, "reservation-moved", r, now);
}

/* Computes a reservation of an earlier pass again; false: it has ended. */
static bool keep(struct sched *s, struct pool *pool, struct reservation *r,
		 uint64_t now)
{
	struct instance *i = instance_of(s, r->instance);
	struct forecast_room f;
	bool lost = !i || i->pool != pool || !instance_usable(s, i, now) ||
		    active_on(pool, i);

	if (lost || now >= r->until_ms || !forecast(i, &r->amount, now, &f)) {
		give_up(s, pool, r, lost, now);
		return false;
	}
	apply(r, &f);
	review(s, pool, r, now);
	r->active = true;
	pool->reservations_active++;
	return true;
}

void reserve_begin(struct pool *pool)
{
	uint32_t n;

	for (n = 0; n < pool->reservation_count; n++)
		pool->reservations[n].active = false;
	pool->reservations_active = 0;
	pool->reserve_searches = 0;
	pool->reserving = true;
}

void reserve_end(struct sched *s, struct pool *pool, uint64_t now)
{
	uint32_t n = pool->reservation_count;

	pool->reserving = false;
	while (n-- > 0) {
		struct reservation *r = &pool->reservations[n];

		if (r->active)
			continue;
		s->stats.reservations_displaced++;
		trace(s, "reservation-displaced", r, now);
		discard(pool, r);
	}
}

void reserve_step(struct sched *s, struct step *step, uint64_t now)
{
	const struct amount a = step_amount(step->spec);
	struct pool *pool = step->job->pool;
	struct reservation *r;

	if (!pool->reserving ||
	    pool->reservations_active >= reservations_max(s) ||
	    !may_reserve(s, step, &a, now) || !has_startable(step, now))
		return;
	r = find(pool, step);
	if (r && (r->active || keep(s, pool, r, now)))
		return;
	if (now >= step->reserve.after_ms)
		make(s, step, &a, now);
}

bool reserve_allows(const struct pool *pool, const struct instance *i,
		    const struct amount *a, uint64_t end_ms)
{
	const struct reservation *r;

	if (!pool->reservations_active)
		return true;
	r = active_on(pool, i);
	return !r || end_ms <= r->at_ms || amount_covers(&r->beside, a);
}

/*
 * The step's own reservation ends: its next task gets another. What is placed
 * beside a reservation takes of what is free beside it.
 */
void reserve_taken(struct sched *s, const struct step *step,
		   const struct instance *i, uint64_t now)
{
	const struct amount a = step_amount(step->spec);
	struct pool *pool = step->job->pool;
	struct reservation *r = find(pool, step);
	uint64_t end_ms;
	uint32_t n;

	if (r) {
		s->stats.reservations_used++;
		r->step->reserve.given_up = 0;
		trace(s,
		      r->instance.i == i->handle.i ? "reservation-used"
						   : "reservation-not-needed",
		      r, now);
		discard(pool, r);
	}
	if (!pool->reservations_active)
		return;
	end_ms = step_bound_end_ms(step, now);
	for (n = 0; n < pool->reservation_count; n++) {
		r = &pool->reservations[n];
		if (r->active && r->instance.i == i->handle.i &&
		    end_ms > r->at_ms)
			amount_sub(&r->beside, &a);
	}
}
