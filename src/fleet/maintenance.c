/*
 * maintenance - waves of machine maintenance
 *
 * Every machine of a wave gets its maintenance before the wave's deadline, at
 * most max_concurrent machines at a time, and no long-running step exceeds
 * its disruption budget.
 *
 * Designed for a wave that comes while queues demand more than their pools hold
 * and long-running tasks run on most machines. Idle machines are ordered at
 * once; of the busy ones only as many are drained at a time as the deadline
 * requires, and only once their long-running tasks have places elsewhere: the
 * wave may be late, while a task without a place would not run at all.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_internal.h"

#define DRAIN_AHEAD 1u /* machines drained beyond max_concurrent */
/* From the start of a drain until tasks that end by themselves are stopped */
#define TASK_END_WAIT_MS 2500u
#define DRAIN_EXPECTED_MS 1500u /* estimated drain time of a busy machine */
/* Part of a wave's time in which it should end; an outage may take the rest */
#define WAVE_PLANNED_SHARE 0.6

/*
 * A machine with long-running tasks gives up its turn after so long, e.g. as
 * the budget of one keeps it there. Twice the time after which other tasks are
 * stopped.
 */
#define DRAIN_MAX_MS 5000u
/*
 * Without a machine for the pool for so long, a task may be stopped without
 * another place: longer than a machine of another pool stays after a move, or
 * is drained, away and about to be listed again
 */
#define POOL_SHORT_MS 4500u
#define POOL_SHORT_MIN_MS 500u /* same, if the wave would be late otherwise */
/* From a machine's return until its instance is usable, at most */
#define INSTANCE_WAIT_MS 1000u
/*
 * Machines of a wave whose tasks are looked for places in one planning pass; if
 * none of them can be drained, the next pass looks at those after them
 */
#define PLACES_TRIED_MAX 16u

/* Cost of draining a machine, in millicores in use */
#define COST_LONG_RUNNING 100000.0 /* added for each long-running task */
#define COST_EVACUATED 1e9 /* added if it has any and its zone is evacuated */
#define COST_UNKNOWN 1e12  /* unreported, may have runs: not drained now */

/* Between readings of the list while it shows a former leader's orders */
#define LIST_IN_PROGRESS_MS 500u

static int by_deadline(const struct wave *a, const struct wave *b)
{
	if (a->deadline_ms == b->deadline_ms)
		return 0;
	return a->deadline_ms < b->deadline_ms ? -1 : 1;
}

void fleet_add_wave(struct fleet *f, const char *name, uint64_t number,
		    uint32_t max_concurrent, uint32_t duration_ms,
		    const char *const *machines, uint32_t count,
		    uint64_t started_ms)
{
	struct wave *w;
	uint32_t i;

	DL_FOREACH(f->waves, w)
	if (w->number == number)
		return;
	w = talloc_zero(f, struct wave);
	assert(w);
	snprintf(w->name, sizeof(w->name), "%s", name);
	w->number = number;
	w->max_concurrent = max_concurrent ? max_concurrent : 1;
	w->started_ms = started_ms;
	w->deadline_ms = started_ms + duration_ms;
	w->count = count;
	w->members =
		talloc_zero_array(w, struct wave_member, count ? count : 1);
	assert(w->members);
	for (i = 0; i < count; i++)
		snprintf(w->members[i].machine, FLEET_NAME_MAX, "%s",
			 machines[i]);
	/* A machine of several waves goes for the one that is due first. */
	DL_INSERT_INORDER(f->waves, w, by_deadline);
}

void fleet_record_maintenance(struct fleet *f, uint64_t wave,
			      const char *machine)
{
	struct wave *w;
	uint32_t i;

	DL_FOREACH(f->waves, w)
	for (i = 0; w->number == wave && i < w->count; i++)
		if (!strcmp(w->members[i].machine, machine))
			w->members[i].state = MEMBER_DONE;
}

/* Called when a machine's order was carried out: its maintenance is done. */
void maintenance_ordered(struct fleet *f, struct machine *m, uint64_t now)
{
	(void)now;
	if (m->wave)
		fleet_record_maintenance(f, m->wave->number, m->name);
}

/* Counts the wave's machines in maintenance that a former leader ordered. */
static uint32_t ordered_by_former_leader(const struct fleet *f,
					 const struct wave *w)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		const struct machine *m =
			fleet_machine(f, w->members[i].machine);

		count += m && m->phase == PHASE_NONE && m->listed &&
			 m->state == FLEET_IN_MAINTENANCE;
	}
	return count;
}

static void count_machines(struct fleet *f)
{
	const struct machine *m;
	struct wave *w;

	DL_FOREACH(f->waves, w)
	w->draining = w->away = w->emptied = 0;
	for (m = f->machines; m; m = m->hh.next) {
		if (!m->wave || m->phase == PHASE_NONE)
			continue;
		if (m->phase != PHASE_DRAINING) {
			m->wave->away++;
			continue;
		}
		m->wave->draining++;
		m->wave->emptied += m->may_empty;
	}
}

/*
 * Returns the cost of draining the machine now: the cheapest machine is drained
 * first, and one that costs 0 or less at once, whatever the deadline requires.
 * Also asks the scheduler to place long-running tasks elsewhere if it can.
 */
static double drain_cost(struct sched *s, const struct machine *m)
{
	struct sched_instance_load load;

	if (!sched_machine_load(s, m->name, &load))
		return -1;
	if (load.unreported)
		return COST_UNKNOWN;
	sched_mark_maintenance(s, load.instance);
	return (double)load.used.cpu + COST_LONG_RUNNING * load.long_running +
	       (m->evacuated && load.long_running ? COST_EVACUATED : 0);
}

struct candidate {
	struct machine *machine;
	struct wave_member *member;
	double cost;
};

static int by_cost(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->member < y->member ? -1 : x->member > y->member;
}

/* Lists the machines that may be drained now, the cheapest first. */
static struct candidate *list_candidates(struct fleet *f, struct sched *s,
					 struct wave *w, uint32_t *count)
{
	struct candidate *list =
		talloc_array(w, struct candidate, w->count ? w->count : 1);
	uint32_t i;

	assert(list);
	*count = 0;
	for (i = 0; i < w->count; i++) {
		struct machine *m = fleet_machine(f, w->members[i].machine);
		double cost;

		if (w->members[i].state != MEMBER_DUE || !m ||
		    m->phase != PHASE_NONE || !m->listed ||
		    m->state != FLEET_UP)
			continue;
		cost = drain_cost(s, m);
		if (cost < COST_UNKNOWN)
			list[(*count)++] =
				(struct candidate){ m, &w->members[i], cost };
	}
	qsort(list, *count, sizeof(*list), by_cost);
	return list;
}

/* How many machines must be in progress for the wave to end as planned. */
static uint32_t needed_concurrency(const struct fleet *f, const struct wave *w,
				   uint64_t now)
{
	uint64_t planned_end_ms =
		w->started_ms +
		(uint64_t)(WAVE_PLANNED_SHARE *
			   (double)(w->deadline_ms - w->started_ms));
	uint64_t each_ms = DRAIN_EXPECTED_MS + f->options.maintenance_ms;
	uint64_t remaining = 0;
	uint32_t i;

	if (now + each_ms >= planned_end_ms)
		return w->max_concurrent + DRAIN_AHEAD;
	for (i = 0; i < w->count; i++)
		remaining += w->members[i].state != MEMBER_DONE;
	return (uint32_t)(remaining * each_ms / (planned_end_ms - now)) +
	       DRAIN_AHEAD;
}

/* Whether no machine can be had, in time for the wave, for its tasks. */
static bool pool_is_short(const struct fleet *f, const struct wave *w,
			  const struct machine *m, uint64_t now)
{
	uint64_t each_ms = DRAIN_EXPECTED_MS + f->options.maintenance_ms;
	bool no_time = now < w->deadline_ms &&
		       now + each_ms + POOL_SHORT_MIN_MS >= w->deadline_ms;

	return demand_none_ms(f, m->pool, now) >= (no_time ? 1 : POOL_SHORT_MS);
}

/* Whether a machine of the pool is back and its instance isn't usable yet. */
static bool instance_is_due(const struct fleet *f, const struct sched *s,
			    const char *pool, uint64_t now)
{
	struct sched_instance_load load;
	const struct machine *m;

	for (m = f->machines; m; m = m->hh.next)
		if (m->phase == PHASE_NONE && m->back_ms &&
		    now - m->back_ms < INSTANCE_WAIT_MS &&
		    !strcmp(m->pool, pool) &&
		    (!sched_machine_load(s, m->name, &load) || !load.usable ||
		     load.unreported))
			return true;
	return false;
}

/*
 * Whether the machine's long-running tasks may be stopped although no other
 * instance has room for one of them: its pool can't be given a machine, none of
 * its machines is about to come back, and this one can be ordered at once.
 */
static bool may_be_emptied(const struct fleet *f, const struct sched *s,
			   const struct wave *w, const struct machine *m,
			   const struct sched_instance_load *load, uint64_t now)
{
	const struct machine *other;

	if (w->away + w->emptied >= w->max_concurrent ||
	    !pool_is_short(f, w, m, now) ||
	    instance_is_due(f, s, m->pool, now) ||
	    !sched_may_empty(s, load->instance, now))
		return false;
	for (other = f->machines; other; other = other->hh.next)
		if (other->wave && other->phase != PHASE_NONE &&
		    !strcmp(other->pool, m->pool))
			return false;
	return true;
}

/*
 * Whether the machine may be drained now; looks for places for its tasks.
 * lacks_place: a task has none, so the wave waits for a machine.
 */
static bool may_drain(struct fleet *f, struct sched *s, const struct wave *w,
		      const struct machine *m, bool *may_empty,
		      bool *lacks_place, uint64_t now)
{
	struct sched_instance_load load;
	enum sched_places places;
	bool want;

	*may_empty = *lacks_place = false;
	if (!sched_machine_load(s, m->name, &load))
		return true;
	if (load.held || sched_has_place_for_waiting(s, load.instance))
		return false;
	if (!load.long_running && !load.fillers)
		return true;
	want = !m->evacuated && !instance_is_due(f, s, m->pool, now);
	places = sched_hold_places(s, load.instance, want, now);
	if (places == PLACES_NONE && !m->evacuated) {
		*lacks_place = true;
		if (want && !demand_none_ms(f, m->pool, now))
			f->balance_due_ms = now;
		*may_empty = may_be_emptied(f, s, w, m, &load, now);
	}
	return places == PLACES_HELD || *may_empty;
}

static void start_draining(struct fleet *f, struct sched *s, struct wave *w,
			   uint64_t now)
{
	uint32_t needed = needed_concurrency(f, w, now);
	uint32_t waiting = 0; /* for a place of a task */
	uint32_t blocked = 0; /* for that or anything else */
	uint32_t busy = 0;    /* machines that aren't idle */
	struct candidate *list;
	uint32_t count, i;

	if (w->draining + w->away >= w->max_concurrent + DRAIN_AHEAD)
		return;
	list = list_candidates(f, s, w, &count);
	for (i = 0; i < count && blocked < PLACES_TRIED_MAX; i++) {
		struct machine *m = list[i].machine;
		uint32_t active = w->draining + w->away;
		bool may_empty, lacks_place;

		if (active >= w->max_concurrent + DRAIN_AHEAD ||
		    (list[i].cost > 0 && active + waiting >= needed))
			break;
		if (list[i].cost > 0 && busy++ < w->blocked)
			continue;
		if (!may_drain(f, s, w, m, &may_empty, &lacks_place, now)) {
			waiting += lacks_place;
			blocked++;
			continue;
		}
		m->wave = w;
		list[i].member->state = MEMBER_IN_PROGRESS;
		machine_drain(m, s, now);
		m->may_empty = may_empty;
		w->draining++;
		w->emptied += may_empty;
	}
	w->blocked = blocked < PLACES_TRIED_MAX ? 0 : w->blocked + blocked;
	talloc_free(list);
}

/*
 * Returns whether nothing runs on the machine and no end is known to this
 * leader alone; drains it further if not.
 */
static bool drain_finished(const struct fleet *f, struct sched *s,
			   struct machine *m, uint64_t now)
{
	struct sched_instance_load load;
	bool let_tasks_end = now - m->phase_since_ms < TASK_END_WAIT_MS;
	bool may_empty;

	if (!sched_machine_load(s, m->name, &load))
		return true;
	if (load.unreported)
		return false;
	if (!load.runs)
		return !load.ends_unwritten;
	sched_reserve(s, load.instance, true, now);
	may_empty = m->may_empty && !load.ends_unwritten &&
		    (m->emptied_ms || pool_is_short(f, m->wave, m, now));
	if (sched_relocate(s, load.instance, let_tasks_end, may_empty, now) &&
	    !m->emptied_ms)
		m->emptied_ms = now;
	return false;
}

void maintenance_release(struct machine *m, struct sched *s, uint64_t now)
{
	struct wave *w = m->wave;
	uint32_t i;

	for (i = 0; i < w->count; i++)
		if (!strcmp(w->members[i].machine, m->name) &&
		    w->members[i].state == MEMBER_IN_PROGRESS)
			w->members[i].state = MEMBER_DUE;
	m->wave = NULL;
	machine_release(m, s, now);
}

bool maintenance_may_keep(struct sched *s, const struct machine *m,
			  uint64_t now)
{
	struct sched_instance_load load;
	uint64_t drained_ms = now - m->drain_since_ms;

	if (!sched_machine_load(s, m->name, &load) || !load.runs)
		return true;
	if (drained_ms >= DRAIN_MAX_MS && load.long_running)
		return false;
	return m->may_empty || sched_places_are_held(s, load.instance);
}

bool maintenance_order(const struct fleet *f, struct sched *s,
		       struct machine *m, uint64_t now,
		       struct fleet_action *action)
{
	struct wave *w = m->wave;
	/* Turns are kept for machines whose tasks have no other place. */
	uint32_t taken = w->away + (m->may_empty ? 0 : w->emptied);
	bool finished = drain_finished(f, s, m, now);

	if (!finished || taken >= w->max_concurrent)
		return false;
	w->draining--;
	w->away++;
	if (m->may_empty)
		w->emptied--;
	machine_order(m, s, now);
	action->kind = FLEET_ACTION_MAINTENANCE;
	action->wave = w->number;
	snprintf(action->machine, sizeof(action->machine), "%s", m->name);
	return true;
}

/* A machine that is missing from the list is not waited for. */
static bool wave_is_complete(const struct fleet *f, const struct wave *w)
{
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		const struct machine *m =
			fleet_machine(f, w->members[i].machine);

		if (w->members[i].state != MEMBER_DONE && m && m->listed)
			return false;
	}
	return true;
}

static bool report_wave(struct wave *w, bool completed,
			struct fleet_action *action)
{
	if (w->reporting ||
	    (completed ? w->reported_completed : w->reported_running))
		return false;
	w->reporting = true;
	action->kind = FLEET_ACTION_WAVE_STATE;
	action->wave = w->number;
	action->completed = completed;
	snprintf(action->wave_name, sizeof(action->wave_name), "%s", w->name);
	return true;
}

bool maintenance_report(struct fleet *f, struct fleet_action *action)
{
	struct wave *w;

	DL_FOREACH(f->waves, w)
	{
		if (!w->reported_completed &&
		    report_wave(w, wave_is_complete(f, w), action))
			return true;
	}
	return false;
}

void maintenance_plan(struct fleet *f, struct sched *s, uint64_t now)
{
	struct wave *w;

	count_machines(f);
	DL_FOREACH(f->waves, w)
	{
		uint32_t in_progress;

		if (w->reported_completed || wave_is_complete(f, w))
			continue;
		in_progress = ordered_by_former_leader(f, w);
		w->away += in_progress;
		if (in_progress)
			fleet_schedule_list(f, f->list_read_ms +
						       LIST_IN_PROGRESS_MS);
		start_draining(f, s, w, now);
	}
}
