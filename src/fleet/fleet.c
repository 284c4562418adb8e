/*
 * fleet - the table of machines, and outcomes of actions
 */
#include "fleet/fleet.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "fleet/fleet_internal.h"

#define LIST_INTERVAL_MS 5000u /* between two readings of the machine list */
#define LIST_UNCERTAIN_MS 300u /* from an unresolved order to a reading */
#define RETURN_SLACK_MS 400u   /* added to a machine's expected absence */
/* A machine that was emptied is kept for so long although its tasks wait */
#define EMPTIED_KEEP_MS 1000u

/* uthash allocates table heads with malloc(3), outside talloc. */
static int fleet_destroy(struct fleet *f)
{
	HASH_CLEAR(hh, f->machines);
	return 0;
}

struct fleet *fleet_new(TALLOC_CTX *ctx, const struct fleet_options *options)
{
	struct fleet *f = talloc_zero(ctx, struct fleet);

	assert(f);
	f->options = *options;
	talloc_set_destructor(f, fleet_destroy);
	f->list_due_ms = 1;
	if (options->forecast_trust_max)
		f->forecast = forecast_new(f);
	return f;
}

const struct forecast *fleet_forecast(const struct fleet *f)
{
	return f->forecast;
}

void fleet_configure(struct fleet *f, const struct config *c)
{
	f->config = c;
}

struct machine *fleet_machine(const struct fleet *f, const char *name)
{
	struct machine *m;

	HASH_FIND_STR(f->machines, name, m);
	return m;
}

void fleet_schedule_list(struct fleet *f, uint64_t at)
{
	if (!f->list_due_ms || at < f->list_due_ms)
		f->list_due_ms = at;
}

bool fleet_needs_machine_list(const struct fleet *f, uint64_t now)
{
	return (f->list_due_ms && now >= f->list_due_ms) ||
	       now - f->list_read_ms >= LIST_INTERVAL_MS;
}

static struct machine *machine_get(struct fleet *f, const char *name)
{
	struct machine *m = fleet_machine(f, name);

	if (m)
		return m;
	m = talloc_zero(f, struct machine);
	assert(m);
	snprintf(m->name, sizeof(m->name), "%s", name);
	HASH_ADD_STR(f->machines, name, m);
	return m;
}

/* Uses the list to resolve an order whose outcome is unknown. */
static void machine_resolve_order(struct fleet *f, struct machine *m,
				  uint64_t now)
{
	bool moved =
		m->state == FLEET_MOVING || !strcmp(m->pool, m->target_pool);

	if (m->phase != PHASE_UNCERTAIN)
		return;
	if (m->wave ? m->state == FLEET_IN_MAINTENANCE : moved) {
		m->phase = PHASE_AWAY;
		m->phase_since_ms = now;
		maintenance_ordered(f, m, now);
	} else {
		m->phase = PHASE_DRAINING; /* ordered again: idempotent */
	}
}

static bool zone_is_evacuated(const struct fleet *f, const char *zone)
{
	uint32_t i;

	for (i = 0; i < f->evacuated_count; i++)
		if (!strcmp(f->evacuated_zones[i], zone))
			return true;
	return false;
}

void fleet_set_evacuated(struct fleet *f, const char *const *zones,
			 uint32_t count)
{
	struct machine *m;
	uint32_t i;

	f->evacuated_zones =
		talloc_realloc_size(f, f->evacuated_zones,
				    (count + 1) * sizeof(*f->evacuated_zones));
	assert(f->evacuated_zones);
	for (i = 0; i < count; i++)
		snprintf(f->evacuated_zones[i], FLEET_NAME_MAX, "%s", zones[i]);
	f->evacuated_count = count;
	for (m = f->machines; m; m = m->hh.next)
		m->evacuated = zone_is_evacuated(f, m->zone);
}

void fleet_list_requested(struct fleet *f, uint64_t now)
{
	f->list_sent_ms = now;
}

/* Whether the machine's order was answered after the list was requested. */
static bool list_is_older(const struct fleet *f, const struct machine *m)
{
	return f->list_sent_ms && m->answered_ms >= f->list_sent_ms;
}

void fleet_set_machines(struct fleet *f, const struct fleet_machine_info *list,
			uint32_t count, uint64_t now)
{
	struct machine *m;
	uint32_t i;

	f->list_read_ms = now;
	f->list_due_ms = 0;
	for (m = f->machines; m; m = m->hh.next)
		m->listed = false;
	for (i = 0; i < count; i++) {
		m = machine_get(f, list[i].machine);
		m->listed = true;
		if (list_is_older(f, m)) {
			if (m->phase == PHASE_UNCERTAIN)
				fleet_schedule_list(f, now + LIST_UNCERTAIN_MS);
			continue;
		}
		snprintf(m->pool, sizeof(m->pool), "%s", list[i].pool);
		snprintf(m->rack, sizeof(m->rack), "%s", list[i].rack);
		snprintf(m->zone, sizeof(m->zone), "%s",
			 list[i].zone ? list[i].zone : "");
		m->evacuated = zone_is_evacuated(f, m->zone);
		m->state = list[i].state;
		machine_resolve_order(f, m, now);
	}
}

void machine_drain(struct machine *m, struct sched *s, uint64_t now)
{
	struct sched_instance_load load;

	m->phase = PHASE_DRAINING;
	m->phase_since_ms = m->drain_since_ms = now;
	m->may_empty = false;
	m->emptied_ms = 0;
	if (sched_machine_load(s, m->name, &load))
		sched_reserve(s, load.instance, true, now);
}

void machine_order(struct machine *m, const struct sched *s, uint64_t now)
{
	struct sched_instance_load load;

	m->phase = PHASE_ORDERING;
	m->phase_since_ms = now;
	memset(&m->ordered, 0, sizeof(m->ordered));
	if (sched_machine_load(s, m->name, &load))
		m->ordered = load.instance;
}

void machine_release(struct machine *m, struct sched *s, uint64_t now)
{
	m->phase = PHASE_NONE;
	sched_release_machine(s, m->name, now);
}

/* Whether a long-running task waits for room that the drained machine has. */
static bool is_needed(const struct sched *s, const struct machine *m,
		      uint64_t now)
{
	struct sched_instance_load load;

	return (!m->emptied_ms || now - m->emptied_ms >= EMPTIED_KEEP_MS) &&
	       sched_machine_load(s, m->name, &load) &&
	       sched_has_place_for_waiting(s, load.instance);
}

void fleet_release_needed(struct fleet *f, struct sched *s, uint64_t now)
{
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next) {
		if (m->phase != PHASE_DRAINING)
			continue;
		if (!m->wave && is_needed(s, m, now))
			machine_release(m, s, now);
		else if (m->wave && (is_needed(s, m, now) ||
				     !maintenance_may_keep(s, m, now)))
			maintenance_release(m, s, now);
	}
}

/*
 * A machine that is no longer up, or not listed any more, will not come to the
 * pool that it was to be moved to, nor be ordered into maintenance.
 */
static void release_lost_machines(struct fleet *f, struct sched *s,
				  uint64_t now)
{
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next) {
		bool ordered =
			m->phase == PHASE_ORDERING || m->phase == PHASE_AWAY;

		if (m->phase == PHASE_NONE || ordered ||
		    (m->listed &&
		     (m->state == FLEET_UP || m->phase == PHASE_UNCERTAIN)))
			continue;
		if (m->wave)
			maintenance_release(m, s, now);
		else
			machine_release(m, s, now);
	}
}

/* Marks machines as up once their expected absence is over. */
static void machines_mark_returned(struct fleet *f, struct sched *s,
				   uint64_t now)
{
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next) {
		uint64_t away_ms = m->wave ? f->options.maintenance_ms
					   : f->options.move_ms;

		if (m->phase != PHASE_AWAY ||
		    now - m->phase_since_ms < away_ms + RETURN_SLACK_MS)
			continue;
		machine_release(m, s, now);
		m->state = FLEET_UP;
		if (!m->wave)
			m->pool_since_ms = now;
		m->wave = NULL;
	}
}

/*
 * An order that is not answered may still be carried out, and would end what
 * runs on an instance that was listed since.
 */
static void reserve_new_instances(struct fleet *f, struct sched *s,
				  uint64_t now)
{
	struct sched_instance_load load;
	struct machine *m;

	for (m = f->machines; m; m = m->hh.next)
		if (m->phase != PHASE_NONE && m->phase != PHASE_AWAY &&
		    sched_machine_load(s, m->name, &load))
			sched_reserve(s, load.instance, true, now);
}

/*
 * Plans, then goes once over the machines, however many orders there are, and
 * returns false at the end.
 */
bool fleet_next_action(struct fleet *f, struct sched *s, uint64_t now,
		       struct fleet_action *action)
{
	memset(action, 0, sizeof(*action));
	if (!f->machines)
		return false;
	if (!f->planned) {
		machines_mark_returned(f, s, now);
		release_lost_machines(f, s, now);
		reserve_new_instances(f, s, now);
		fleet_release_needed(f, s, now);
		maintenance_plan(f, s, now);
		balance_plan(f, s, now);
		f->next_machine = f->machines;
		f->planned = true;
	}
	if (maintenance_report(f, action))
		return true;
	while (f->next_machine) {
		struct machine *m = f->next_machine;

		f->next_machine = m->hh.next;
		if (m->phase != PHASE_DRAINING || m->state != FLEET_UP)
			continue;
		if (m->wave ? maintenance_order(f, s, m, now, action)
			    : balance_order(s, m, now, action))
			return true;
	}
	f->planned = false;
	return false;
}

/*
 * An order that was carried out before is answered in the same way, so an
 * instance that was not known when it was given may be up and have runs. It may
 * also have been ended by the order, so it gets none until the machine is back.
 */
static void order_carried_out(struct fleet *f, struct sched *s,
			      struct machine *m, uint64_t now)
{
	struct sched_instance_load load;

	if (!m->ordered.generation && sched_machine_load(s, m->name, &load))
		sched_reserve(s, load.instance, true, now);
	m->phase = PHASE_AWAY;
	m->phase_since_ms = now;
	m->state = m->wave ? FLEET_IN_MAINTENANCE : FLEET_MOVING;
	sched_machine_down(s, m->ordered, now);
	if (!m->wave) {
		snprintf(m->pool, sizeof(m->pool), "%s", m->target_pool);
		f->stats.moves++;
	} else {
		f->stats.maintenances++;
	}
	maintenance_ordered(f, m, now);
}

static void wave_reported(struct fleet *f, const struct fleet_action *a,
			  enum fleet_result result)
{
	struct wave *w;

	DL_FOREACH(f->waves, w)
	{
		if (w->number != a->wave)
			continue;
		w->reporting = false;
		if (result != FLEET_DONE)
			continue;
		w->reported_running = true;
		if (a->completed && !w->reported_completed) {
			w->reported_completed = true;
			f->stats.waves_completed++;
		}
	}
}

void fleet_action_result(struct fleet *f, struct sched *s,
			 const struct fleet_action *action,
			 enum fleet_result result, uint64_t now)
{
	struct machine *m = fleet_machine(f, action->machine);

	if (action->kind == FLEET_ACTION_WAVE_STATE) {
		wave_reported(f, action, result);
		return;
	}
	if (!m || m->phase != PHASE_ORDERING)
		return;
	m->answered_ms = now;
	switch (result) {
	case FLEET_DONE:
		order_carried_out(f, s, m, now);
		break;
	case FLEET_BUSY:
	case FLEET_UNKNOWN:
		m->phase = PHASE_UNCERTAIN;
		m->phase_since_ms = now;
		fleet_schedule_list(f, now + LIST_UNCERTAIN_MS);
		break;
	case FLEET_REFUSED:
		m->phase = PHASE_DRAINING;
		m->phase_since_ms = now;
		break;
	}
}

void fleet_stats(const struct fleet *f, struct fleet_stats *stats)
{
	const struct machine *m;
	const struct wave *w;

	*stats = f->stats;
	stats->machines = HASH_COUNT(f->machines);
	DL_FOREACH(f->waves, w)
	if (!w->reported_completed)
		stats->waves_running++;
	for (m = f->machines; m; m = m->hh.next)
		if (m->phase == PHASE_DRAINING)
			stats->draining++;
}
