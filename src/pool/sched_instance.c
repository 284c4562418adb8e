/*
 * sched_instance - instances: the directory, the machine list, leases,
 * and ejection after failures
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "pool/sched_internal.h"

#define INSTANCES_FIRST 64u /* slots allocated first */
/* From leaving the directory to removal; a lost directory is back in 2 s */
#define INSTANCE_KEEP_MS 5000u
#define LEASE_SLACK 0.03     /* of a lease: clocks may be 2% slow */
#define LEASE_MARGIN_MS 150u /* until an ended lease counts as expired */
/* Without a confirmation for so long, the store was out or the leader stood */
#define OUTAGE_MS 1500u
#define FAILURES_MAX 3u /* consecutive, of different jobs, before ejection */
#define UNKNOWN_CAPACITY INT32_MAX /* more than any instance has */
#define EJECT_MS 4000u		   /* until an ejected instance is used again */

struct instance *instance_of(const struct sched *s, instance_handle_t h)
{
	struct instance *i;

	if (h.i >= s->instance_slots)
		return NULL;
	i = s->instances[h.i];
	return i && i->handle.generation == h.generation ? i : NULL;
}

/*
 * Whether the run's start was sent, and nothing shows which incarnation of its
 * instance has carried it out, if one has. A deadline that was meant for a
 * former incarnation holds for the longest lease.
 */
static bool start_is_open(const struct run *run)
{
	return run->ordered_ms && !run->running_since_ms;
}

static bool all_reported(const struct sched *s)
{
	const struct pool *pool;

	for (pool = s->pools; pool; pool = pool->hh.next)
		if (pool->unreported)
			return false;
	return true;
}

/*
 * Called when all instances of the pool have reported or expired, so that no
 * unreported run of a former leader is left there. A job whose queue was moved
 * to another pool may run in either, so its tasks are cleared once that holds
 * for all pools.
 */
static void pool_clear_possibly_running(struct sched *s, struct pool *pool)
{
	bool everywhere = all_reported(s);
	struct occurrence *o;
	struct job *job;
	size_t i;

	for (job = s->jobs; job; job = job->hh.next) {
		if (!job->loaded || !job->row ||
		    (!everywhere && (job->pool != pool || job->pool_changed)))
			continue;
		for (o = job->occurrences; o; o = o->hh.next)
			for (i = 0; i < job->row->n_steps; i++)
				step_clear_possibly_running(&o->steps[i]);
		job->loaded = false;
	}
}

static void pool_check_reported(struct sched *s, struct pool *pool)
{
	if (s->expect_complete && !pool->unreported)
		pool_clear_possibly_running(s, pool);
}

/* Counts an unreported instance in its pool, also if it has changed that. */
static void pool_count_unreported(struct instance *i)
{
	uint32_t n;

	for (n = 0; n < i->unreported_in_count; n++)
		if (i->unreported_in[n] == i->pool)
			return;
	i->unreported_in = talloc_realloc(i, i->unreported_in, struct pool *,
					  i->unreported_in_count + 1);
	assert(i->unreported_in);
	i->unreported_in[i->unreported_in_count++] = i->pool;
	i->pool->unreported++;
}

void instance_count_reported(struct sched *s, struct instance *i)
{
	uint32_t n;

	if (!i->counted_unreported)
		return;
	i->counted_unreported = false;
	amount_sub(&s->unreported, &i->unreported_capacity);
	memset(&i->unreported_capacity, 0, sizeof(i->unreported_capacity));
	for (n = 0; n < i->unreported_in_count; n++)
		i->unreported_in[n]->unreported--;
	for (n = 0; n < i->unreported_in_count; n++)
		pool_check_reported(s, i->unreported_in[n]);
	TALLOC_FREE(i->unreported_in);
	i->unreported_in_count = 0;
}

/* An instance whose capacity isn't known may run any number of tasks. */
static void set_unreported_capacity(struct sched *s, struct instance *i)
{
	static const struct amount unknown = { UNKNOWN_CAPACITY,
					       UNKNOWN_CAPACITY,
					       UNKNOWN_CAPACITY };

	amount_sub(&s->unreported, &i->unreported_capacity);
	i->unreported_capacity = i->capacity.cpu ? i->capacity : unknown;
	amount_add(&s->unreported, &i->unreported_capacity);
}

static void instance_count_unreported(struct sched *s, struct instance *i)
{
	i->counted_unreported = true;
	pool_count_unreported(i);
	set_unreported_capacity(s, i);
}

uint64_t lease_holds_ms(uint32_t lease_ms)
{
	return (uint64_t)(lease_ms * (1 + LEASE_SLACK)) + LEASE_MARGIN_MS;
}

/*
 * When leases by former leaders end. Only an instance that restarted shortly
 * before the end of their leadership can hold work longer, up to
 * predecessor_stale_end_ms(): it may have read one of their deadlines by its
 * new clock.
 */
static uint64_t predecessor_leases_end_ms(const struct sched *s)
{
	return s->predecessor_end_ms + lease_holds_ms(s->options.lease_ms);
}

static uint64_t predecessor_stale_end_ms(const struct sched *s)
{
	return s->epoch > FIRST_EPOCH
		       ? s->leader_since_ms +
				 lease_holds_ms(s->options.lease_max_ms)
		       : 0;
}

/* When all runs that a former leader started have ended. */
static uint64_t predecessor_runs_end_ms(const struct sched *s)
{
	uint64_t leases_end_ms = predecessor_leases_end_ms(s);
	uint64_t stale_end_ms = predecessor_stale_end_ms(s);

	return leases_end_ms > stale_end_ms ? leases_end_ms : stale_end_ms;
}

/* Assumes that the predecessor renewed the lease with its last order. */
static void lease_set_from_predecessor(struct sched *s, struct instance *i)
{
	i->lease_end_ms = predecessor_leases_end_ms(s);
	i->stale_end_ms = predecessor_stale_end_ms(s);
}

void sched_become_leader(struct sched *s, uint64_t epoch, bool predecessor_gone,
			 uint64_t now)
{
	uint32_t n;

	s->epoch = epoch;
	s->leader_since_ms = now;
	late_hold(s, now);
	s->predecessor_end_ms =
		predecessor_gone ? now : now + s->options.predecessor_orders_ms;
	for (n = 0; n < s->instance_slots; n++)
		if (s->instances[n])
			lease_set_from_predecessor(s, s->instances[n]);
}

void sched_predecessor_gone(struct sched *s, uint64_t end_ms)
{
	uint32_t n;

	if (s->predecessor_end_ms <= end_ms)
		return;
	s->predecessor_end_ms = end_ms;
	for (n = 0; n < s->instance_slots; n++)
		if (s->instances[n] && !s->instances[n]->reported)
			lease_set_from_predecessor(s, s->instances[n]);
}

static void instance_set_pool(struct sched *s, struct instance *i,
			      const char *name)
{
	struct pool *pool = sched_pool(s, name);

	if (i->pool == pool)
		return;
	holds_release_on(i);
	if (i->pool) {
		DL_DELETE2(i->pool->instances, i, pool_prev, pool_next);
		room_changed(i->pool);
	}
	i->pool = pool;
	if (i->counted_unreported)
		pool_count_unreported(i);
	pool->amounts_until_ms = 0;
	room_changed(pool);
	DL_APPEND2(pool->instances, i, pool_prev, pool_next);
}

static void instance_clear_machine(struct sched *s, struct instance *i)
{
	struct machine_instances *m = i->machine;

	DL_DELETE2(m->instances, i, machine_prev, machine_next);
	i->machine = NULL;
	if (m->instances)
		return;
	HASH_DEL(s->machines, m);
	talloc_free(m);
}

static void instance_set_machine(struct sched *s, struct instance *i,
				 const char *machine)
{
	struct machine_instances *m = i->machine;

	if (m && !strcmp(m->machine, machine))
		return;
	if (m)
		instance_clear_machine(s, i);
	HASH_FIND_STR(s->machines, machine, m);
	if (!m) {
		m = talloc_zero(s, struct machine_instances);
		assert(m);
		snprintf(m->machine, sizeof(m->machine), "%s", machine);
		HASH_ADD_STR(s->machines, machine, m);
	}
	i->machine = m;
	DL_APPEND2(m->instances, i, machine_prev, machine_next);
}

/* Returns a free slot or a new one. */
static uint32_t free_slot(struct sched *s)
{
	uint32_t n;

	for (n = 0; n < s->instance_slots; n++)
		if (!s->instances[n])
			return n;
	if (s->instance_slots == s->instance_alloc) {
		s->instance_alloc = s->instance_alloc ? s->instance_alloc * 2
						      : INSTANCES_FIRST;
		s->instances = talloc_realloc(
			s, s->instances, struct instance *, s->instance_alloc);
		assert(s->instances);
	}
	return s->instance_slots++;
}

static struct instance *instance_new(struct sched *s, const char *id,
				     const char *machine, uint64_t now)
{
	struct instance *i = talloc_zero(s, struct instance);

	assert(i);
	i->handle.i = free_slot(s);
	i->handle.generation = ++s->instance_generation;
	s->instances[i->handle.i] = i;
	snprintf(i->id, sizeof(i->id), "%s", id);
	i->next_poll_ms = i->known_ms = now;
	HASH_ADD_STR(s->by_id, id, i);
	DL_APPEND2(s->idle, i, idle_prev, idle_next);
	instance_set_machine(s, i, machine);
	return i;
}

static void instance_forget(struct sched *s, struct instance *i)
{
	sched_trace(s, "instance-forgotten", i->id, "\"machine\":\"%s\"",
		    i->machine->machine);
	holds_release_on(i);
	HASH_DEL(s->by_id, i);
	DL_DELETE2(i->pool->instances, i, pool_prev, pool_next);
	room_changed(i->pool);
	instance_clear_machine(s, i);
	instance_leave_idle(s, i);
	instance_leave_asked(s, i);
	s->instances[i->handle.i] = NULL;
	talloc_free(i);
}

/* Whether an instance has left for good and has no run or end pending. */
static bool instance_forgettable(const struct instance *i, uint64_t now)
{
	return i->unlisted_ms && now - i->unlisted_ms >= INSTANCE_KEEP_MS &&
	       !i->run_count && !i->unacked_count && !i->polling &&
	       !i->counted_unreported;
}

static void copy_labels(struct instance *i,
			const struct sched_instance_info *info)
{
	uint32_t n;

	i->label_count = info->label_count;
	for (n = 0; n < info->label_count; n++)
		snprintf(i->labels[n], SCHED_LABEL_MAX, "%s", info->labels[n]);
}

/*
 * Whether the entry is new and may be of another incarnation than the last
 * report. An instance that was out of the directory for a moment is still used.
 */
static bool may_have_restarted(const struct instance *i,
			       const struct sched_instance_info *info)
{
	if (!i->reported ||
	    (i->listed && i->listed_unix_ms == info->started_unix_ms))
		return false;
	return !info->started_unix_ms ||
	       info->started_unix_ms != i->started_unix_ms;
}

void sched_instance_listed(struct sched *s,
			   const struct sched_instance_info *info, uint64_t now)
{
	struct instance *i;
	bool is_new;

	HASH_FIND_STR(s->by_id, info->id, i);
	is_new = !i;
	if (is_new)
		i = instance_new(s, info->id, info->machine, now);
	if (is_new || i->leaving != info->leaving || !i->listed)
		sched_trace(s, "instance", i->id,
			    "\"pool\":\"%s\",\"machine\":\"%s\",\"new\":%d,"
			    "\"leaving\":%d",
			    info->pool, info->machine, is_new, info->leaving);
	snprintf(i->address, sizeof(i->address), "%s", info->address);
	snprintf(i->zone, sizeof(i->zone), "%s", info->zone);
	i->cold_ms = info->cold_ms;
	instance_check_zone(s, i);
	instance_set_machine(s, i, info->machine);
	copy_labels(i, info);
	i->capacity = info->capacity;
	i->leaving = i->listed_leaving = info->leaving;
	if (may_have_restarted(i, info))
		i->restart_possible = true;
	if (!i->listed || i->listed_unix_ms != info->started_unix_ms)
		i->listed_ms = now;
	i->listed_unix_ms = info->started_unix_ms;
	i->listed = true;
	i->unlisted_ms = 0;
	instance_set_pool(s, i, info->pool);
	if (is_new) {
		lease_set_from_predecessor(s, i);
		instance_count_unreported(s, i);
	} else if (i->counted_unreported) {
		set_unreported_capacity(s, i);
	}
}

void sched_expect_instance(struct sched *s, const char *id, const char *pool,
			   const char *machine, uint64_t now)
{
	struct instance *i;

	HASH_FIND_STR(s->by_id, id, i);
	if (i)
		return;
	i = instance_new(s, id, machine, now);
	instance_set_pool(s, i, pool);
	lease_set_from_predecessor(s, i);
	if (i->pool->instances)
		i->capacity = i->pool->instances->capacity;
	instance_count_unreported(s, i);
	sched_trace(s, "instance-expected", id, "\"pool\":\"%s\"", pool);
}

/* Its runs are freed once this leader is known to have had no successor. */
static void instance_set_gone(struct instance *i, const char *why, uint64_t now)
{
	if (i->gone_ms)
		return;
	i->gone_ms = now;
	i->gone_why = why;
}

/*
 * A machine without an instance may run it again under its old id. A start that
 * was sent shortly before the list may then be carried out.
 */
static bool may_start_late(const struct instance *i, uint64_t listed_ms)
{
	const struct run *run;

	DL_FOREACH(i->runs, run)
	if (start_is_open(run) && listed_ms < run->ordered_ms + ORDER_LATE_MS)
		return true;
	return false;
}

/* Whether an instance may have runs that it does not report now. */
static bool is_unaccounted(const struct instance *i)
{
	return (i->unresponsive || !i->reported) && !i->expired &&
	       (i->run_count || i->counted_unreported);
}

void sched_machine_listed(struct sched *s, const char *machine, const char *id,
			  uint64_t sent_ms, uint64_t now)
{
	struct machine_instances *m;
	struct instance *i, *next;

	HASH_FIND_STR(s->machines, machine, m);
	if (!m)
		return;
	DL_FOREACH_SAFE2(m->instances, i, next, machine_next)
	{
		if (!strcmp(i->id, id) || !is_unaccounted(i) ||
		    i->clock_read_ms >= sent_ms || i->known_ms >= sent_ms ||
		    (!*id && may_start_late(i, sent_ms)))
			continue;
		instance_set_gone(
			i, "its machine runs another instance or none", now);
	}
}

bool sched_needs_machine_list(const struct sched *s)
{
	uint32_t n;

	for (n = 0; n < s->instance_slots; n++)
		if (s->instances[n] && is_unaccounted(s->instances[n]))
			return true;
	return false;
}

void sched_expect_complete(struct sched *s, uint64_t now)
{
	struct pool *pool;

	if (s->expect_complete)
		return;
	s->expect_complete = true;
	for (pool = s->pools; pool; pool = pool->hh.next)
		pool_check_reported(s, pool);
	(void)now;
}

void sched_instance_unlisted(struct sched *s, const char *id, uint64_t now)
{
	struct instance *i;

	HASH_FIND_STR(s->by_id, id, i);
	if (!i || !i->listed)
		return;
	i->listed = false;
	i->unlisted_ms = now;
	i->next_poll_ms = now;
	sched_trace(s, "instance-unlisted", id, "\"runs\":%u", i->run_count);
}

/* Leases */

/*
 * Returns the new end by the instance's clock, 0 if that clock is unknown. The
 * clock is taken to have been as slow since its reading as leases allow for, so
 * that the instance holds its work no longer than lease_end_ms.
 */
uint64_t instance_extend_lease(const struct sched *s, struct instance *i,
			       uint64_t now)
{
	uint64_t end = now + lease_holds_ms(s->options.lease_ms);
	uint64_t clock_ms;

	if (end > i->lease_end_ms)
		i->lease_end_ms = end;
	if (!i->clock_read_ms)
		return 0;
	i->leased = true;
	clock_ms = i->clock_ms + (uint64_t)((double)(now - i->clock_read_ms) /
					    (1 + LEASE_SLACK));
	return clock_ms + s->options.lease_ms;
}

/*
 * A restarted instance has read a deadline by its new clock, so it may hold
 * work for the longest lease that instances accept.
 */
void instance_extend_lease_max(const struct sched *s, struct instance *i,
			       uint64_t now)
{
	uint64_t end = now + lease_holds_ms(s->options.lease_max_ms);

	if (end > i->lease_end_ms)
		i->lease_end_ms = end;
}

void instance_restarted(struct instance *i)
{
	if (i->stale_end_ms > i->lease_end_ms)
		i->lease_end_ms = i->stale_end_ms;
}

void instance_deadline_sent(const struct sched *s, struct instance *i,
			    uint64_t now, uint32_t late_ms)
{
	uint64_t end = now + late_ms + lease_holds_ms(s->options.lease_max_ms);

	if (end > i->stale_end_ms)
		i->stale_end_ms = end;
}

static uint32_t count_open_starts(const struct instance *i)
{
	const struct run *run;
	uint32_t count = 0;

	DL_FOREACH(i->runs, run)
	count += start_is_open(run);
	return count;
}

/*
 * Frees runs of an instance: they have lapsed or were killed. Unless all have,
 * those whose start is open remain.
 */
static void free_ended_runs(struct sched *s, struct instance *i, bool all,
			    const char *why, uint64_t now)
{
	const uint32_t open = all ? 0 : count_open_starts(i);
	struct run *run, *next;

	if (i->run_count > open || i->counted_unreported)
		sched_trace(s, "instance-expired", i->id,
			    "\"why\":\"%s\",\"runs\":%u,\"open_starts\":%u"
			    ",\"reported\":%d"
			    ",\"lease_ended_ms_ago\":%" PRId64
			    ",\"confirmed_ms_ago\":%" PRId64,
			    why, i->run_count, open, i->reported,
			    (int64_t)(now - i->lease_end_ms),
			    (int64_t)(now - s->leader_confirmed_ms));
	DL_FOREACH_SAFE(i->runs, run, next)
	{
		if (!all && start_is_open(run))
			continue;
		s->stats.runs_lost++;
		run_free(s, run, now);
	}
	i->expired = !open;
	i->gone_ms = 0;
	instance_count_reported(s, i);
}

void sched_machine_down(struct sched *s, instance_handle_t h, uint64_t now)
{
	struct instance *i = instance_of(s, h);

	if (!i)
		return;
	i->leaving = true;
	i->down_ms = now;
	i->unresponsive = true;
	instance_set_gone(i, "its machine was ordered down", now);
}

void sched_leader_confirmed(struct sched *s, uint64_t sent_ms)
{
	if (sent_ms <= s->leader_confirmed_ms)
		return;
	if (s->leader_confirmed_ms &&
	    sent_ms > s->leader_confirmed_ms + OUTAGE_MS)
		late_hold(s, sent_ms);
	s->leader_confirmed_ms = sent_ms;
}

/*
 * Whether this leader is known to have had no successor at a time that has
 * passed. A leader doesn't know which leases its successor renews, nor which
 * ends it takes note of. So a lease has expired only if this holds for its end,
 * and runs are lost only if it holds for the time at which that was learned.
 */
bool was_leader_at(const struct sched *s, uint64_t at_ms)
{
	return s->leader_confirmed_ms >= at_ms;
}

/* Whether runs, known or not, are freed when the instance's lease has ended. */
static bool awaits_lease_end(const struct instance *i)
{
	return !i->expired && (i->unresponsive || !i->reported) &&
	       (i->run_count || i->counted_unreported);
}

/* When the next of its runs are freed; what an unreported one runs is open. */
static uint64_t runs_end_ms(const struct instance *i)
{
	const struct run *run;

	if (i->stale_end_ms < i->lease_end_ms)
		return i->lease_end_ms;
	DL_FOREACH(i->runs, run)
	if (!start_is_open(run))
		return i->lease_end_ms;
	return i->stale_end_ms;
}

bool sched_needs_confirmation(const struct sched *s, uint64_t now)
{
	uint32_t n;

	for (n = 0; n < s->instance_slots; n++) {
		const struct instance *i = s->instances[n];

		if (!i)
			continue;
		if (i->reported && (i->listed || i->has_missing) &&
		    !instance_is_confirmed(s, i))
			return true;
		if (i->gone_ms && !was_leader_at(s, i->gone_ms))
			return true;
		if (awaits_lease_end(i) && now >= runs_end_ms(i) &&
		    !was_leader_at(s, runs_end_ms(i)))
			return true;
	}
	return !s->expect_complete && now >= predecessor_runs_end_ms(s) &&
	       !was_leader_at(s, predecessor_runs_end_ms(s));
}

/* An order that was carried out before is answered, too, and ends nothing. */
void instance_outlived_order(struct instance *i)
{
	i->down_ms = 0;
	i->leaving = i->listed_leaving;
	room_changed(i->pool);
}

bool instance_is_confirmed(const struct sched *s, const struct instance *i)
{
	return i->first_report_ms < s->leader_confirmed_ms;
}

bool instance_usable(const struct sched *s, const struct instance *i,
		     uint64_t now)
{
	return i->reported && instance_is_confirmed(s, i) && i->listed &&
	       !i->leaving && !i->unresponsive && !i->expired &&
	       !i->restart_possible && !i->reserved && !i->evacuated &&
	       i->clock_read_ms && now >= i->ejected_until_ms;
}

/* Failures */

void instance_record_failure(struct sched *s, struct instance *i,
			     const struct job *job, uint64_t now)
{
	if (i->failures && !strcmp(i->failed_job, job->id))
		return;
	memcpy(i->failed_job, job->id, sizeof(i->failed_job));
	if (++i->failures < FAILURES_MAX)
		return;
	i->ejected_until_ms = now + EJECT_MS;
	i->failures = FAILURES_MAX - 1; /* one more failure ejects it again */
	sched_trace(s, "instance-shunned", i->id, "\"for_ms\":%u", EJECT_MS);
}

void instance_record_success(struct instance *i)
{
	i->failures = 0;
	i->ejected_until_ms = 0;
}

void instance_tick(struct sched *s, struct instance *i, uint64_t now)
{
	if (i->gone_ms && was_leader_at(s, i->gone_ms))
		free_ended_runs(s, i, true, i->gone_why, now);
	if (awaits_lease_end(i) && was_leader_at(s, runs_end_ms(i)))
		free_ended_runs(s, i, was_leader_at(s, i->stale_end_ms),
				"its lease expired", now);
	instance_free_missing(s, i, now);
}

void instances_tick(struct sched *s, uint64_t now)
{
	uint32_t n;

	runs_tick(s, now);
	for (n = 0; n < s->instance_slots; n++) {
		struct instance *i = s->instances[n];

		if (!i)
			continue;
		instance_tick(s, i, now);
		if (instance_forgettable(i, now))
			instance_forget(s, i);
	}
	if (was_leader_at(s, predecessor_runs_end_ms(s)))
		sched_expect_complete(s, now);
}
