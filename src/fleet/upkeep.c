/*
 * upkeep - waves: each machine of a wave has its upkeep in time, at most
 * so many at once, and nothing that lasts goes below its budget
 *
 * The load it answers: a wave comes while queues ask for more than their
 * pools hold, and what lasts sits on most machines. Idle machines have their
 * upkeep at once; of the busy ones only as many are kept free of work at a
 * time as the wave's time needs.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "fleet/fleet_internal.h"

#define DRAIN_AHEAD 1u		/* drained beyond those that may be away */
#define DRAIN_PATIENCE_MS 2500u /* for work that ends by itself */
#define ORDER_RETRY_MS 300u
#define LIST_AWAY_MS 500u     /* between lists while a former lead's are away */
#define DRAIN_EXPECT_MS 1500u /* until a busy machine is empty */
#define COST_UNKNOWN 1e12     /* nobody has looked: not drained now */
#define WAVE_PLAN_SHARE                                      \
	0.6 /* of a wave's time; an outage may take the rest \
	     */

void fleet_wave(struct fleet *f, const char *name, uint64_t number,
		uint32_t at_once, uint32_t duration_ms,
		const char *const *machines, uint32_t count, uint64_t begun_ms)
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
	w->at_once = at_once ? at_once : 1;
	w->begun_ms = begun_ms;
	w->due_ms = begun_ms + duration_ms;
	w->count = count;
	w->upkeeps = talloc_zero_array(w, struct upkeep, count ? count : 1);
	assert(w->upkeeps);
	for (i = 0; i < count; i++)
		snprintf(w->upkeeps[i].machine, FLEET_NAME_MAX, "%s",
			 machines[i]);
	DL_APPEND(f->waves, w);
}

void fleet_had_upkeep(struct fleet *f, uint64_t wave, const char *machine)
{
	struct wave *w;
	uint32_t i;

	DL_FOREACH(f->waves, w)
	for (i = 0; w->number == wave && i < w->count; i++)
		if (!strcmp(w->upkeeps[i].machine, machine))
			w->upkeeps[i].state = UPKEEP_HAD;
}

/* The machine's order was carried out: its part of the wave is done. */
void upkeep_answered(struct fleet *f, struct machine *m, uint64_t now)
{
	(void)now;
	if (m->wave)
		fleet_had_upkeep(f, m->wave->number, m->name);
}

/* Machines of the wave that a former lead ordered away, by the last list. */
static uint32_t away_for_others(const struct fleet *f, const struct wave *w)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		const struct machine *m =
			fleet_machine(f, w->upkeeps[i].machine);

		count += m && m->phase == PHASE_NONE && m->listed &&
			 m->state == FLEET_IN_UPKEEP;
	}
	return count;
}

static uint32_t wave_in_phase(const struct fleet *f, const struct wave *w,
			      bool draining)
{
	const struct machine *m;
	uint32_t count = 0;

	for (m = f->machines; m; m = m->hh.next)
		if (m->wave == w && m->phase != PHASE_NONE &&
		    (m->phase == PHASE_DRAINING) == draining)
			count++;
	return draining ? count : count + away_for_others(f, w);
}

/*
 * What is lost by draining the machine now; the least goes first, and 0 or
 * less is nothing. What lasts should not be placed there any more.
 */
static double drain_cost(struct sched *s, const struct machine *m)
{
	struct sched_instance_load load;

	if (!sched_machine_load(s, m->name, &load))
		return -1;
	if (load.unreported)
		return COST_UNKNOWN;
	sched_mark_maintenance(s, load.instance);
	return (double)load.used.cpu + 100000.0 * load.long_running;
}

static struct machine *cheapest_due(struct fleet *f, struct sched *s,
				    struct wave *w, double *cost_of)
{
	struct machine *best = NULL;
	double best_cost = 0;
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		struct machine *m = fleet_machine(f, w->upkeeps[i].machine);
		double cost;

		if (w->upkeeps[i].state != UPKEEP_DUE || !m ||
		    m->phase != PHASE_NONE || !m->listed ||
		    m->state != FLEET_UP)
			continue;
		cost = drain_cost(s, m);
		if (cost >= COST_UNKNOWN)
			continue;
		if (best && cost >= best_cost)
			continue;
		best = m;
		best_cost = cost;
	}
	*cost_of = best_cost;
	return best;
}

static void take(struct wave *w, struct machine *m)
{
	uint32_t i;

	for (i = 0; i < w->count; i++)
		if (!strcmp(w->upkeeps[i].machine, m->name))
			w->upkeeps[i].state = UPKEEP_TAKEN;
}

/* How many machines must be under way to be done within the planned time. */
static uint32_t needed_at_once(const struct fleet *f, const struct wave *w,
			       uint64_t now)
{
	uint64_t planned =
		w->begun_ms +
		(uint64_t)(WAVE_PLAN_SHARE * (double)(w->due_ms - w->begun_ms));
	uint64_t each_ms = DRAIN_EXPECT_MS + f->options.upkeep_ms;
	uint64_t left = 0;
	uint32_t i;

	if (now + each_ms >= planned)
		return w->at_once + DRAIN_AHEAD;
	for (i = 0; i < w->count; i++)
		left += w->upkeeps[i].state != UPKEEP_HAD;
	return (uint32_t)(left * each_ms / (planned - now)) + DRAIN_AHEAD;
}

static void drain_more(struct fleet *f, struct sched *s, struct wave *w,
		       uint64_t now)
{
	uint32_t needed = needed_at_once(f, w, now);
	struct machine *m;
	double cost;

	for (;;) {
		uint32_t under_way =
			wave_in_phase(f, w, true) + wave_in_phase(f, w, false);

		if (under_way >= w->at_once + DRAIN_AHEAD)
			return;
		m = cheapest_due(f, s, w, &cost);
		if (!m || (cost > 0 && under_way >= needed))
			return;
		m->wave = w;
		take(w, m);
		machine_drain(m, s, now);
	}
}

/* Whether the machine is empty, or time does not allow to wait for it. */
static bool emptied(struct sched *s, struct machine *m, uint64_t now)
{
	struct sched_instance_load load;
	bool patient = now - m->phase_ms < DRAIN_PATIENCE_MS;

	if (!sched_machine_load(s, m->name, &load))
		return true;
	if (load.unreported)
		return false;
	if (!load.runs)
		return true;
	sched_reserve(s, load.instance, true, now);
	sched_evacuate(s, load.instance, patient, now);
	return false;
}

static bool order_ready(struct fleet *f, struct sched *s, struct wave *w,
			uint64_t now, struct fleet_action *action)
{
	bool room = wave_in_phase(f, w, false) < w->at_once;
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next) {
		if (m->wave != w || m->phase != PHASE_DRAINING ||
		    m->state != FLEET_UP)
			continue;
		if (!emptied(s, m, now) || !room)
			continue;
		m->phase = PHASE_ORDERING;
		m->phase_ms = now;
		action->kind = FLEET_UPKEEP;
		action->wave = w->number;
		snprintf(action->machine, sizeof(action->machine), "%s",
			 m->name);
		return true;
	}
	return false;
}

/* Machines that are gone from a whole list will never have their upkeep. */
static bool wave_done(const struct fleet *f, const struct wave *w)
{
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		const struct machine *m =
			fleet_machine(f, w->upkeeps[i].machine);

		if (w->upkeeps[i].state != UPKEEP_HAD && m && m->listed)
			return false;
	}
	return true;
}

static bool tell(struct wave *w, bool completed, struct fleet_action *action)
{
	if (w->telling || (completed ? w->told_completed : w->told_running))
		return false;
	w->telling = true;
	action->kind = FLEET_WAVE_STATE;
	action->wave = w->number;
	action->completed = completed;
	snprintf(action->wave_name, sizeof(action->wave_name), "%s", w->name);
	return true;
}

bool upkeep_next(struct fleet *f, struct sched *s, uint64_t now,
		 struct fleet_action *action)
{
	struct wave *w;

	DL_FOREACH(f->waves, w)
	{
		if (w->told_completed)
			continue;
		if (wave_done(f, w)) {
			if (tell(w, true, action))
				return true;
			continue;
		}
		if (tell(w, false, action))
			return true;
		if (away_for_others(f, w))
			fleet_want_list(f, f->list_ms + LIST_AWAY_MS);
		drain_more(f, s, w, now);
		if (order_ready(f, s, w, now, action))
			return true;
	}
	return false;
}
