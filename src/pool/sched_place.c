/*
 * sched_place - placement of tasks
 *
 * Designed for queues whose demand alternates between several times the
 * capacity of their pool, for some seconds, and a fraction of it; for estimates
 * that are off by up to 100%; and for jobs that are worth little once they are
 * late. So work that can still be in time goes first, started jobs before
 * others.
 */
#include <assert.h>
#include <string.h>

#include "pool/sched_internal.h"

/* Score of an instance: part of its CPU that is free, with these applied */
#define MAINTENANCE_PENALTY 1.5 /* puts an instance below a full one */
#define SILENT_PENALTY 1.25	/* below a full one that answers */
#define RETURN_PENALTY 16	/* after an evacuation: below all others */
#define AVOID_PENALTY 2 /* where the task failed: outweighs any free CPU */
#define RACK_WEIGHT 4	/* outweighs free CPU and AVOID_PENALTY together */

/*
 * A pass over a pool ends after so many steps without room, and after so many
 * at their workspace's cap, which cost little. The next pass goes on there,
 * after it has tried the first steps again.
 */
#define STEPS_TRIED_MAX 64u
#define STEPS_CAPPED_MAX 2000u
/*
 * A step that only reservations keep from room ignores them after this time.
 * Runs whose ends a reservation waits for may take some seconds, while most of
 * its instance is free.
 */
#define RESERVED_OUT_MAX_MS 2000u
/* Passes in which all steps of a pool without room are tried */
#define PASSES_PER_ROUND 16u

/* Placement */

static bool has_label(const struct instance *i, const char *label)
{
	uint32_t n;

	for (n = 0; n < i->label_count; n++)
		if (!strcmp(i->labels[n], label))
			return true;
	return false;
}

const char *instance_rack(const struct instance *i)
{
	return i->label_count ? i->labels[i->label_count - 1] : "";
}

bool instance_fits(const struct instance *i, const struct amount *a)
{
	const struct amount limit = instance_limit(i);

	return i->used.cpu + a->cpu <= limit.cpu &&
	       i->used.mem + a->mem <= limit.mem &&
	       i->used.gpu + a->gpu <= limit.gpu;
}

static uint32_t step_runs_on(const struct instance *i, const struct step *step)
{
	const struct run *run;
	uint32_t count = 0;

	DL_FOREACH(i->runs, run)
	if (run->task->step == step)
		count++;
	return count;
}

/* Tasks of the step that are there, or have a place held there. */
static uint32_t step_taken_on(const struct instance *i, const struct step *step)
{
	return step_runs_on(i, step) + step_holds_on(i, step);
}

/* Whether the instance, if it were empty, could run a task of the step. */
bool instance_could_run(const struct instance *i, const Fleet__Step *spec)
{
	struct amount a = step_amount(spec);

	return a.cpu <= i->capacity.cpu && a.mem <= i->capacity.mem &&
	       a.gpu <= i->capacity.gpu &&
	       (!*spec->label || has_label(i, spec->label));
}

static bool may_run_on(const struct instance *i, const struct step *step,
		       const struct amount *a)
{
	const Fleet__Step *spec = step->spec;

	if (!instance_fits(i, a))
		return false;
	if (*spec->label && !has_label(i, spec->label))
		return false;
	return !spec->spread_limit ||
	       step_taken_on(i, step) < spec->spread_limit;
}

/*
 * Returns 1 if the step's first running task is on the rack, -1 if it is on
 * another, 0 if no task runs.
 */
static int step_on_rack(const struct step *step, const char *rack)
{
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		if (step->tasks[t].runs)
			return strcmp(instance_rack(
					      step->tasks[t].runs->instance),
				      rack)
				       ? -1
				       : 1;
	return 0;
}

int step_rack_preference(const struct step *step, const struct instance *i)
{
	const Fleet__Step *spec = step->spec;
	int preference = 0;

	if (spec->same_rack)
		preference += step_on_rack(step, instance_rack(i));
	if (*spec->near_rack && has_label(i, spec->near_rack))
		preference++;
	return preference;
}

int64_t fits_times(int64_t capacity, int64_t used, int64_t each)
{
	if (!each)
		return UINT32_MAX;
	return used < capacity ? (capacity - used) / each : 0;
}

uint32_t step_room_on(const struct step *step, const struct instance *i)
{
	const struct amount a = step_amount(step->spec);
	const struct amount limit = instance_limit(i);
	int64_t room = step->spec->count;

	if (!may_run_on(i, step, &a))
		return 0;
	room = min_int64(room, fits_times(limit.cpu, i->used.cpu, a.cpu));
	room = min_int64(room, fits_times(limit.mem, i->used.mem, a.mem));
	room = min_int64(room, fits_times(limit.gpu, i->used.gpu, a.gpu));
	if (step->spec->spread_limit)
		room = min_int64(room, step->spec->spread_limit -
					       step_taken_on(i, step));
	return (uint32_t)room;
}

/*
 * Score of an instance for a task, highest first. Long-running tasks go where
 * most CPU is free, since they share the instance with the load of others for
 * long. Other tasks are packed where least CPU is free, so that other machines
 * become idle and can be moved to another pool or powered off.
 */
static double place_score(const struct instance *i, const struct task *task,
			  uint64_t now)
{
	const Fleet__Step *spec = task->step->spec;
	double score = (double)(i->capacity.cpu - i->used.cpu) /
		       (double)(i->capacity.cpu ? i->capacity.cpu : 1);

	if (!spec->lasting)
		score = -score;
	else if (i->maintenance_due)
		score -= MAINTENANCE_PENALTY;
	if (spec->lasting && instance_was_silent(i, now))
		score -= SILENT_PENALTY;
	score += RACK_WEIGHT * step_rack_preference(task->step, i);
	if (task->avoid_instance == i->handle.i + 1)
		score -= AVOID_PENALTY;
	if (i->returned_ms)
		score -= RETURN_PENALTY;
	return score;
}

bool step_takes_any_room(const struct step *step)
{
	const Fleet__Step *spec = step->spec;

	return !spec->lasting && !spec->same_rack && !*spec->near_rack &&
	       !*spec->label && !spec->spread_limit && !step_needs_advice(step);
}

/*
 * current: where the task runs, which is left out; NULL: nowhere. The adviser
 * is asked for tickets only once the task is to start.
 */
static struct instance *choose_by_score(const struct sched *s,
					const struct task *task,
					const struct instance *current,
					uint64_t end_ms, uint64_t now)
{
	const struct pool *pool = task->step->job->pool;
	const struct amount a = step_amount(task->step->spec);
	const bool advised = step_needs_advice(task->step);
	struct instance *best = NULL;
	struct instance *i;
	double best_score = 0;

	DL_FOREACH2(pool->instances, i, pool_next)
	{
		double score;

		if (i == current || !instance_usable(s, i, now) ||
		    !may_run_on(i, task->step, &a) ||
		    !reserve_allows(pool, i, &a, end_ms) ||
		    (advised && (current ? step_is_denied(task->step, i)
					 : !step_ticket(task->step, i, now))))
			continue;
		score = place_score(i, task, now);
		if (best && score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return best;
}

/* end_ms: when the task may end; 0: whatever is reserved */
static struct instance *choose_until(struct sched *s, const struct task *task,
				     uint64_t end_ms, uint64_t now)
{
	const struct amount a = step_amount(task->step->spec);
	struct instance *i = room_find(s, task->step->job->pool, &a,
				       task->avoid_instance, end_ms, now);

	return i && !step_takes_any_room(task->step)
		       ? choose_by_score(s, task, NULL, end_ms, now)
		       : i;
}

struct instance *choose_held_instance(const struct sched *s,
				      const struct task *task, uint64_t now)
{
	return choose_by_score(
		s, task, task->runs ? task->runs->instance : NULL, 0, now);
}

static struct instance *choose_instance(struct sched *s,
					const struct task *task, uint64_t now)
{
	struct step *step = task->step;
	struct instance *i =
		choose_until(s, task, step_bound_end_ms(step, now), now);

	if (i || !step->job->pool->reservations_active) {
		step->reserved_out_ms = 0;
		return i;
	}
	i = choose_until(s, task, 0, now);
	if (!i)
		step->reserved_out_ms = 0;
	else if (!step->reserved_out_ms)
		step->reserved_out_ms = now;
	else if (now - step->reserved_out_ms >= RESERVED_OUT_MAX_MS)
		return i;
	return NULL;
}

/*
 * Whether that many more tasks of the step stay within the workspace's cap,
 * which limits the resources requested over all pools. Possibly running tasks
 * count, up to the capacity of the unreported instances.
 */
bool cap_allows(const struct sched *s, const struct step *step, uint32_t tasks)
{
	const struct workspace *w = step->job->workspace;
	const struct amount *cap;
	int64_t cpu, mem, gpu;

	if (!w || !w->config)
		return true;
	cap = &w->config->cap;
	cpu = w->used.cpu + w->held.cpu +
	      min_int64(w->unreported.cpu, s->unreported.cpu) +
	      (int64_t)tasks * step->spec->cpu;
	mem = w->used.mem + w->held.mem +
	      min_int64(w->unreported.mem, s->unreported.mem) +
	      (int64_t)tasks * step->spec->mem;
	gpu = w->used.gpu + w->held.gpu +
	      min_int64(w->unreported.gpu, s->unreported.gpu) +
	      (int64_t)tasks * step->spec->gpu;
	return (!cap->cpu || cpu <= cap->cpu) &&
	       (!cap->mem || mem <= cap->mem) && (!cap->gpu || gpu <= cap->gpu);
}

static struct run *start_run(struct sched *s, struct task *task,
			     struct instance *i, uint64_t number, uint64_t now)
{
	struct run *run;

	reserve_taken(s, task->step, i, now);
	run = run_new(s, task, i, number, now);
	run->state = RUN_ORDERED;
	run_queue_order(s, run);
	room_taken(i);
	return run;
}

enum place_result {
	PLACE_DONE, /* no startable task is left */
	PLACE_CAPPED,
	PLACE_NO_ROOM,
};

/* Places all members of a gang or none, under one run number. */
static enum place_result place_gang(struct sched *s, struct step *step,
				    uint64_t now)
{
	uint64_t number = 0;
	uint32_t highest = 0;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		if (!task_startable(&step->tasks[t], now))
			return PLACE_NO_ROOM;
	if (!cap_allows(s, step, step->spec->count))
		return PLACE_CAPPED;
	for (t = 0; t < step->spec->count; t++) {
		uint64_t n = sched_run_number(s, &step->tasks[t]);

		if (n > number) {
			number = n;
			highest = step->tasks[t].starts;
		}
	}
	for (t = 0; t < step->spec->count; t++)
		step->tasks[t].starts = highest;
	for (t = 0; t < step->spec->count; t++) {
		struct instance *i = choose_instance(s, &step->tasks[t], now);

		if (!i)
			break;
		start_run(s, &step->tasks[t], i, number, now);
	}
	if (t == step->spec->count)
		return PLACE_DONE;
	while (t-- > 0)
		run_free(s, step->tasks[t].runs, now);
	room_begin(step->job->pool);
	return PLACE_NO_ROOM;
}

/*
 * Starts a task where a place is held for it, or on a better instance if that
 * one has lately left an order unanswered. The hold has ended in any case: if
 * the instance can't take the task any more, it is placed like others.
 */
static void place_held(struct sched *s, struct task *task, uint64_t now)
{
	const struct step *step = task->step;
	const struct amount a = step_amount(step->spec);
	struct instance *i = hold_instance(task);

	hold_release(task);
	if (instance_was_silent(i, now))
		i = choose_held_instance(s, task, now);
	if (i && instance_usable(s, i, now) && may_run_on(i, step, &a) &&
	    (!step_needs_advice(step) || step_ticket(step, i, now)) &&
	    cap_allows(s, step, 1))
		start_run(s, task, i, sched_run_number(s, task), now);
	else
		room_begin(step->job->pool);
}

static void place_all_held(struct sched *s, struct step *step, uint64_t now)
{
	uint32_t t;

	for (t = 0; step->held && t < step->spec->count; t++) {
		struct task *task = &step->tasks[t];

		if (!task->hold || !task_startable(task, now))
			continue;
		if (step->spec->gang)
			hold_release(task);
		else
			place_held(s, task, now);
	}
}

/* The startable task that has been unavailable for longest, if any has. */
static struct task *longest_unavailable(const struct step *step, uint64_t now)
{
	struct task *longest = NULL;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++) {
		struct task *task = &step->tasks[t];

		if (task->unavailable_since_ms && task_startable(task, now) &&
		    (!longest || task->unavailable_since_ms <
					 longest->unavailable_since_ms))
			longest = task;
	}
	return longest;
}

static enum place_result place_task(struct sched *s, struct task *task,
				    uint64_t now)
{
	struct step *step = task->step;
	struct instance *i;

	if (!cap_allows(s, step, 1))
		return PLACE_CAPPED;
	i = choose_instance(s, task, now);
	if (!i) {
		reserve_step(s, step, now);
		return PLACE_NO_ROOM;
	}
	start_run(s, task, i, sched_run_number(s, task), now);
	return PLACE_DONE;
}

static enum place_result place_step(struct sched *s, struct step *step,
				    uint64_t now)
{
	const struct amount a = step_amount(step->spec);
	enum place_result result = PLACE_DONE;
	struct task *task;
	uint32_t t;

	if (step->held)
		place_all_held(s, step, now);
	if (room_has_failed(step->job->pool, &a)) {
		step->reserved_out_ms = 0;
		if (!step->job->pool->room.too_large)
			reserve_step(s, step, now);
		return PLACE_NO_ROOM;
	}
	if (step->spec->gang)
		return place_gang(s, step, now);
	/* What has never run has waited for longest. */
	for (t = 0; t < step->spec->count && result == PLACE_DONE; t++) {
		task = &step->tasks[t];
		if (!task->unavailable_since_ms && task_startable(task, now))
			result = place_task(s, task, now);
	}
	while (result == PLACE_DONE && (task = longest_unavailable(step, now)))
		result = place_task(s, task, now);
	return result;
}

/*
 * Tries steps from this one on; returns the first that isn't tried, as too many
 * before it could not be placed, or NULL.
 */
static struct step *place_from(struct sched *s, struct pool *pool,
			       struct step *step, uint32_t tried_max,
			       uint64_t now)
{
	uint32_t without_room = 0;
	uint32_t capped = 0;
	const bool late_held = late_is_held(s, pool, now);
	struct step *next;

	for (; step; step = next) {
		next = step->next;
		/*
		 * Until a leader has written the job, its submission may still
		 * fail, or a successor may start it from another node's record.
		 */
		if (!step->job->claimed ||
		    (late_held && step->late && step->job->demand))
			continue;
		switch (place_step(s, step, now)) {
		case PLACE_DONE:
			break;
		case PLACE_CAPPED:
			if (++capped >= STEPS_CAPPED_MAX)
				return next;
			break;
		case PLACE_NO_ROOM:
			if (step->spec->lasting)
				holds_yield(step);
			if (++without_room >= tried_max)
				return next;
			break;
		}
	}
	return NULL;
}

/*
 * Steps that can't be placed at present must not keep those after them from
 * being tried: what these wait for may be there.
 */
static void place_pool(struct sched *s, struct pool *pool, uint64_t now)
{
	uint32_t tried_max = pool->ready_count / PASSES_PER_ROUND;
	struct step *untried;

	if (tried_max < STEPS_TRIED_MAX)
		tried_max = STEPS_TRIED_MAX;
	room_begin(pool);
	pool_order(s, pool, now);
	reserve_begin(pool);
	untried = place_from(s, pool, pool->ready, STEPS_TRIED_MAX, now);
	reserve_end(s, pool, now);
	if (!untried) {
		pool->untried = NULL;
		return;
	}
	if (!pool->untried)
		pool->untried = untried;
	pool->untried = place_from(s, pool, pool->untried, tried_max, now);
}

void sched_place(struct sched *s, uint64_t now)
{
	struct pool *pool;

	if (!s->config || s->starts_held)
		return;
	for (pool = s->pools; pool; pool = pool->hh.next) {
		share_sample(pool, now);
		if (pool->ready)
			place_pool(s, pool, now);
	}
}
