#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "test/walk/upkeep_world_internal.h"

#define SILENT_MIN_MS 500u
#define SILENT_MAX_MS 8000u
#define SILENT_EVERY 25u /* ticks, on average, until the next one is silent */
#define UNLISTED_MIN_MS 1500u /* from the silence to its missing entry */
#define UNLISTED_MAX_MS 3000u
#define BOOT_MAX_MS 500u /* from the entry to the first report */
#define JOIN_FIRST_MS 3000u
#define JOIN_EVERY_MAX_MS 500u
#define RETURN_MS 2000u /* instances of a lifted zone fill gradually */
#define CANCEL_MIN_MS 200u
#define CANCEL_MAX_MS 3000u

static const char *const zone_names[ZONES] = { "z0", "z1", "z2" };

bool fault_has_leases(const struct upkeep_world *w)
{
	return w->faults >= UPKEEP_FAULT_SILENT;
}

static uint32_t zone_of(const struct upkeep_machine *m)
{
	return m->rack % ZONES;
}

const char *fault_zone(const struct upkeep_world *w,
		       const struct upkeep_machine *m)
{
	return w->faults & UPKEEP_EVACUATIONS ? zone_names[zone_of(m)] : "z";
}

bool fault_is_usable(const struct upkeep_world *w,
		     const struct upkeep_machine *m)
{
	uint32_t zone = zone_of(m);

	if (w->now < m->silent_until_ms || w->evacuated & 1u << zone)
		return false;
	return !w->lifted_ms[zone] || w->now - w->lifted_ms[zone] >= RETURN_MS;
}

/* Whether the job's workspace uses half of its cap: it is owed no more. */
bool fault_near_cap(const struct upkeep_world *w, const struct upkeep_job *job)
{
	const struct amount *cap =
		&w->config_now->workspaces[job->workspace].cap;

	return (cap->cpu && 2 * w->used.cpu >= cap->cpu) ||
	       (cap->mem && 2 * w->used.mem >= cap->mem);
}

/* A third of the machines join one after the other. */
static void set_up_joins(struct upkeep_world *w)
{
	uint64_t at_ms;
	uint32_t i;

	if (!(w->faults & UPKEEP_JOINS))
		return;
	at_ms = w->now + upkeep_random(w, JOIN_FIRST_MS);
	for (i = 0; i < w->machine_count; i++) {
		struct upkeep_machine *m = &w->machines[i];

		if (upkeep_random(w, 3))
			continue;
		m->state = UPKEEP_DOWN;
		m->instance = 0;
		m->listing_ms = UPKEEP_NEVER;
		m->back_ms = at_ms;
		at_ms += upkeep_random(w, JOIN_EVERY_MAX_MS);
	}
}

static void set_up_evacuations(struct upkeep_world *w)
{
	uint32_t n;

	upkeep_set_windows(w, UPKEEP_EVACUATIONS, w->evacuations, 2000, 9000);
	for (n = 0; n < WINDOWS_MAX; n++)
		if (w->evacuations[n].begin_ms)
			w->evacuation_zones[n] =
				1 + upkeep_random(w, (1u << ZONES) - 1);
}

void fault_set_up(struct upkeep_world *w)
{
	upkeep_set_windows(w, UPKEEP_FAULT_SILENT, w->silent_faults, 500, 5000);
	upkeep_set_windows(w, UPKEEP_FAULT_ANSWERS, w->answer_faults, 500,
			   4000);
	upkeep_set_windows(w, UPKEEP_FAULT_LISTS, w->list_faults, 1000, 5000);
	upkeep_set_windows(w, UPKEEP_FAULT_LEADERS, w->leader_faults, 200,
			   4000);
	set_up_evacuations(w);
	upkeep_set_windows(w, UPKEEP_CAPS, w->cap_changes, 2000, 8000);
	set_up_joins(w);
}

/* Instances without an answer */

static void silence(struct upkeep_world *w, struct upkeep_machine *m)
{
	uint64_t unlisted_ms =
		w->now + upkeep_between(w, UNLISTED_MIN_MS, UNLISTED_MAX_MS);

	m->silent_until_ms =
		w->now + upkeep_between(w, SILENT_MIN_MS, SILENT_MAX_MS);
	m->silent_by_fault = true;
	m->stands_still = upkeep_random(w, 2);
	upkeep_trace(w, "%s in %s %s for %u ms", m->name, w->names[m->pool],
		     m->stands_still ? "stands still" : "is cut off",
		     (unsigned int)(m->silent_until_ms - w->now));
	if (m->listed != m->instance || upkeep_random(w, 2) ||
	    unlisted_ms >= m->silent_until_ms)
		return;
	m->unlisting_ms = unlisted_ms;
	m->listing_ms = m->silent_until_ms;
}

void fault_came_up(struct upkeep_world *w, struct upkeep_machine *m)
{
	m->silent_by_fault = false;
	if (upkeep_fault_active(w, w->silent_faults) && upkeep_random(w, 2))
		silence(w, m);
	else if (w->faults & UPKEEP_JOINS)
		m->silent_until_ms =
			m->listing_ms + upkeep_random(w, BOOT_MAX_MS);
}

static void silence_advance(struct upkeep_world *w)
{
	uint32_t i;

	if (upkeep_fault_active(w, w->silent_faults) &&
	    !upkeep_random(w, SILENT_EVERY)) {
		struct upkeep_machine *m =
			&w->machines[upkeep_random(w, w->machine_count)];

		if (m->instance && w->now >= m->silent_until_ms)
			silence(w, m);
	}
	for (i = 0; i < w->machine_count; i++)
		if (w->machines[i].silent_by_fault &&
		    w->now < w->machines[i].silent_until_ms)
			w->fault_ms = w->now;
}

/* Evacuations */

void fault_tell_evacuated(struct upkeep_world *w)
{
	const char *zones[ZONES];
	uint32_t count = 0;
	uint32_t n;

	for (n = 0; n < ZONES; n++)
		if (w->evacuated & 1u << n)
			zones[count++] = zone_names[n];
	sched_set_evacuated(w->sched, zones, count, w->now);
	fleet_set_evacuated(w->fleet, zones, count);
}

static void evacuations_advance(struct upkeep_world *w)
{
	uint32_t evacuated = 0;
	uint32_t n;

	for (n = 0; n < WINDOWS_MAX; n++)
		if (w->now >= w->evacuations[n].begin_ms &&
		    w->now < w->evacuations[n].end_ms)
			evacuated |= w->evacuation_zones[n];
	if (evacuated == w->evacuated)
		return;
	if (evacuated & ~w->evacuated)
		w->barred_ms = w->now;
	for (n = 0; n < ZONES; n++)
		if (w->evacuated & ~evacuated & 1u << n)
			w->lifted_ms[n] = w->now;
	w->evacuated = evacuated;
	fault_tell_evacuated(w);
	upkeep_trace(w, "zones evacuated, as bits: %u", evacuated);
}

/* Caps and cancelled jobs */

static void set_cap(struct upkeep_world *w, const struct amount *cap)
{
	struct config *c = talloc_memdup(w->ctx, w->config_now, sizeof(*c));

	assert(c);
	c->version++;
	c->workspaces = talloc_memdup(c, w->workspaces, sizeof(w->workspaces));
	assert(c->workspaces);
	c->workspaces[0].cap = *cap;
	w->config_now = c;
	w->barred_ms = w->now;
	upkeep_trace(w, "cap: %lld millicores, %lld MiB; %lld, %lld in use",
		     (long long)cap->cpu, (long long)cap->mem,
		     (long long)w->used.cpu, (long long)w->used.mem);
	sched_configure(w->sched, c, w->now);
	fleet_configure(w->fleet, c);
}

static void caps_advance(struct upkeep_world *w)
{
	struct amount cap = { 0 };
	uint32_t n;

	for (n = 0; n < WINDOWS_MAX; n++) {
		struct upkeep_window *window = &w->cap_changes[n];

		if (!window->begin_ms)
			continue;
		if (w->now - window->begin_ms < UPKEEP_TICK_MS) {
			cap.cpu =
				w->used.cpu * upkeep_between(w, 50, 250) / 100 +
				MACHINE_CPU;
			if (upkeep_random(w, 2))
				cap.mem = w->used.mem *
						  upkeep_between(w, 50, 250) /
						  100 +
					  MACHINE_MEM;
			set_cap(w, &cap);
		} else if (w->now >= window->end_ms) {
			window->begin_ms = 0;
			set_cap(w, &cap);
		}
	}
}

void fault_job_added(struct upkeep_world *w, uint32_t index)
{
	w->open = talloc_realloc(w->ctx, w->open, uint32_t, w->open_count + 1);
	assert(w->open);
	w->open[w->open_count++] = index;
	if (w->faults & UPKEEP_CAPS && !w->jobs[index].lasting &&
	    !upkeep_random(w, 8))
		w->jobs[index].cancel_ms =
			w->now +
			upkeep_between(w, CANCEL_MIN_MS, CANCEL_MAX_MS);
}

static void cancels_advance(struct upkeep_world *w)
{
	uint32_t i;

	for (i = 0; i < w->open_count; i++) {
		struct upkeep_job *job = &w->jobs[w->open[i]];

		if (w->now < job->cancel_ms || job->ended || job->lasting)
			continue;
		job->cancelled = job->ended = true;
		sched_cancel(w->sched, job->id, w->names[job->pool], w->now);
	}
}

static void leaders_advance(struct upkeep_world *w)
{
	bool none = upkeep_fault_active(w, w->leader_faults);

	if (none)
		w->fault_ms = w->now;
	if (none && w->sched)
		lead_end(w);
	else if (!none && !w->sched)
		lead_begin(w);
}

void fault_advance(struct upkeep_world *w)
{
	silence_advance(w);
	if (upkeep_fault_active(w, w->answer_faults) ||
	    upkeep_fault_active(w, w->list_faults) ||
	    w->now <= w->late_until_ms)
		w->fault_ms = w->now;
	leaders_advance(w);
	if (!w->sched)
		return;
	evacuations_advance(w);
	caps_advance(w);
	if (w->faults & UPKEEP_CAPS)
		cancels_advance(w);
}
