/*
 * sched_evacuation - availability zones in which nothing may be started
 *
 * Designed for zones whose operators want nothing more to be started there
 * within some seconds, and for their return: the instances may be cold, so work
 * comes back to them gradually.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "pool/sched_internal.h"

/* Gradual return, unless the instance's entry has a time of its own */
#define RETURN_MS 2000u
/* Longest time that an entry may ask for: it is an operator's estimate */
#define RETURN_MAX_MS 30000u
#define RETURN_FIRST_PERMILLE 250u /* of the capacity, at its beginning */

static bool zone_is_evacuated(const struct sched *s, const char *zone)
{
	uint32_t n;

	for (n = 0; n < s->evacuated_count; n++)
		if (!strcmp(s->evacuated_zones[n], zone))
			return true;
	return false;
}

static void instance_set_evacuated(struct instance *i, bool evacuated)
{
	i->evacuated = evacuated;
	if (i->pool)
		i->pool->amounts_until_ms = 0;
}

void instance_check_zone(const struct sched *s, struct instance *i)
{
	bool evacuated = zone_is_evacuated(s, i->zone);

	if (evacuated != i->evacuated)
		instance_set_evacuated(i, evacuated);
}

/* Starts that were not sent */

bool start_is_barred(const struct sched *s, const struct run *run)
{
	return run->state == RUN_ORDERED && run->to_send &&
	       (run->withdrawn || s->starts_held || run->instance->evacuated);
}

/* The members of a gang start together or not at all. */
static void mark_withdrawn(struct run *run)
{
	const struct step *step = run->task->step;
	struct run *member;
	uint32_t t;

	run->withdrawn = true;
	if (!step->spec->gang)
		return;
	for (t = 0; t < step->spec->count; t++)
		DL_FOREACH2(step->tasks[t].runs, member, task_next)
	if (member->state == RUN_ORDERED && member->to_send)
		member->withdrawn = true;
}

void withdraw_starts(struct sched *s, uint64_t now)
{
	struct run *run, *next;
	char name[SCHED_TASK_MAX];

	DL_FOREACH2(s->to_send, run, order_next)
	if (start_is_barred(s, run))
		mark_withdrawn(run);
	DL_FOREACH_SAFE2(s->to_send, run, next, order_next)
	{
		if (!start_is_barred(s, run))
			continue;
		task_name(run->task, name);
		sched_trace(s, "start-withdrawn", name,
			    "\"instance\":\"%s\",\"run\":%" PRIu64
			    ",\"held\":%d",
			    run->instance->id, run->number, s->starts_held);
		s->stats.starts_withdrawn++;
		run_free(s, run, now);
	}
}

/* Zones */

static void set_zones(struct sched *s, const char *const *zones, uint32_t count)
{
	uint32_t n;

	s->evacuated_zones =
		talloc_realloc_size(s, s->evacuated_zones,
				    (count + 1) * sizeof(*s->evacuated_zones));
	assert(s->evacuated_zones);
	for (n = 0; n < count; n++)
		snprintf(s->evacuated_zones[n], SCHED_ZONE_MAX, "%s", zones[n]);
	s->evacuated_count = count;
}

static uint32_t count_in_zone(const struct sched *s, const char *zone)
{
	const struct instance *i;
	uint32_t count = 0;

	for (i = s->by_id; i; i = i->hh.next)
		count += i->listed && !strcmp(i->zone, zone);
	return count;
}

static void log_zones(struct sched *s, const char *const *zones, uint32_t count)
{
	uint32_t n;

	for (n = 0; n < count; n++) {
		uint32_t instances;

		if (zone_is_evacuated(s, zones[n]))
			continue;
		instances = count_in_zone(s, zones[n]);
		sched_trace(s,
			    instances ? "evacuation-begun"
				      : "evacuation-without-instances",
			    zones[n], "\"instances\":%u", instances);
	}
}

void sched_set_evacuated(struct sched *s, const char *const *zones,
			 uint32_t count, uint64_t now)
{
	uint32_t n;

	log_zones(s, zones, count);
	set_zones(s, zones, count);
	for (n = 0; n < s->instance_slots; n++) {
		struct instance *i = s->instances[n];

		if (!i || i->evacuated == zone_is_evacuated(s, i->zone))
			continue;
		instance_set_evacuated(i, !i->evacuated);
		i->returned_ms = i->evacuated ? 0 : now;
		i->fill_permille = RETURN_FIRST_PERMILLE;
		s->returning |= !i->evacuated;
	}
	withdraw_starts(s, now);
}

void sched_hold_starts(struct sched *s, bool hold, uint64_t now)
{
	if (s->starts_held == hold)
		return;
	s->starts_held = hold;
	withdraw_starts(s, now);
}

/* Return after an evacuation */

static uint32_t return_ms(const struct instance *i)
{
	if (!i->cold_ms)
		return RETURN_MS;
	return i->cold_ms < RETURN_MAX_MS ? i->cold_ms : RETURN_MAX_MS;
}

static void return_tick(struct instance *i, uint64_t now)
{
	uint64_t since_ms = now - i->returned_ms;

	if (since_ms >= return_ms(i)) {
		i->returned_ms = 0;
		return;
	}
	i->fill_permille = RETURN_FIRST_PERMILLE +
			   (uint32_t)((1000 - RETURN_FIRST_PERMILLE) *
				      since_ms / return_ms(i));
}

void returns_tick(struct sched *s, uint64_t now)
{
	uint32_t n;

	s->returning = false;
	for (n = 0; n < s->instance_slots; n++) {
		struct instance *i = s->instances[n];

		if (!i || !i->returned_ms)
			continue;
		return_tick(i, now);
		s->returning |= i->returned_ms != 0;
	}
}

bool step_is_evacuated(const struct step *step)
{
	const struct instance *i;
	bool any = false;

	DL_FOREACH2(step->job->pool->instances, i, pool_next)
	{
		if (!i->listed || !instance_could_run(i, step->spec))
			continue;
		if (!i->evacuated)
			return false;
		any = true;
	}
	return any;
}
