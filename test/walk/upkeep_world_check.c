#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "test/walk/upkeep_world_internal.h"

#define STARVED_CHECK_MS 200u
#define TRACE_POOLS_MS 1000u

const char *upkeep_invariant_name(enum upkeep_invariant invariant)
{
	static const char *const names[UPKEEP_INVARIANTS] = {
		[UPKEEP_ROOM] = "ROOM",
		[UPKEEP_ROOM_SOON] = "ROOM-SOON",
		[UPKEEP_PLACE] = "PLACE",
		[UPKEEP_TWICE_STOPPED] = "TWICE-STOPPED",
		[UPKEEP_BUDGET] = "BUDGET",
		[UPKEEP_WAVE] = "WAVE",
		[UPKEEP_STARVED] = "STARVED",
		[UPKEEP_END] = "END",
	};

	return names[invariant];
}

void check_failed(struct upkeep_world *w, enum upkeep_invariant invariant,
		  const char *fmt, ...)
{
	char *error = w->result->errors[invariant];
	char text[180];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	upkeep_trace(w, "%s: %s", upkeep_invariant_name(invariant), text);
	if (w->result->violations[invariant]++)
		return;
	snprintf(error, sizeof(w->result->errors[0]), "%s at %.2f s: %s",
		 upkeep_invariant_name(invariant),
		 (double)(w->now - UPKEEP_BEGIN_MS) / 1000.0, text);
}

static bool fault_is_near(const struct upkeep_world *w)
{
	return w->fault_ms && w->now - w->fault_ms <= FAULT_NEAR_MS;
}

static bool is_owed(const struct upkeep_job *job)
{
	return job->lasting && job->accepted && !job->cancelled;
}

static bool is_at_work(const struct upkeep_world *w,
		       const struct upkeep_run *run)
{
	return run->stop_ms == UPKEEP_NEVER &&
	       w->now - run->begun_ms >= UPKEEP_STARTUP_MS;
}

void check_began(struct upkeep_world *w, uint32_t job, uint32_t task)
{
	struct upkeep_task *t;

	w->jobs[job].stuck_since_ms = 0;
	if (!w->jobs[job].lasting)
		return;
	t = &w->jobs[job].tasks[task];
	t->runs++;
	t->place_due_ms = 0;
}

/*
 * Counts the other tasks of the step that are away: ended by an order and not
 * at work again, or not at work for NOTICE_MS for any cause.
 */
static uint32_t count_away(const struct upkeep_world *w,
			   const struct upkeep_job *job, uint32_t task)
{
	uint32_t away = 0;
	uint32_t t;

	for (t = 0; t < job->count; t++)
		away += t != task &&
			(job->tasks[t].ended_by_order ||
			 w->now - job->tasks[t].at_work_ms >= NOTICE_MS);
	return away;
}

/*
 * An order to an instance or to its machine is about to end the run. The time
 * of one that is carried out late isn't the leader's choice. A run whose start
 * got no answer is stopped, since the leader doesn't know whether it is there.
 */
void check_stop(struct upkeep_world *w, const struct upkeep_run *run, bool late)
{
	struct upkeep_job *job = &w->jobs[run->job];
	struct upkeep_task *t;
	uint32_t away;

	if (!is_owed(job))
		return;
	t = &job->tasks[run->task];
	if (late) {
		t->ended_by_order = true;
		t->place_due_ms = 0;
		return;
	}
	if (!run->unanswered && t->stop_ms &&
	    w->now - t->stop_ms < TWICE_STOPPED_MS)
		check_failed(w, UPKEEP_TWICE_STOPPED,
			     "%s.0.0.%u is stopped %u ms after its last stop",
			     job->id, run->task,
			     (unsigned int)(w->now - t->stop_ms));
	if (!run->unanswered)
		t->stop_ms = w->now;
	if (is_at_work(w, run) && job->may_miss) {
		away = count_away(w, job, run->task);
		if (away >= job->may_miss)
			check_failed(w, UPKEEP_BUDGET,
				     "%s.0.0.%u is stopped with %u others "
				     "away; it may miss %u",
				     job->id, run->task, away, job->may_miss);
	}
	t->ended_by_order = true;
	/*
	 * Without a free machine anywhere on the site no design has a place
	 * for it; one that was free only for a part of that time may have been
	 * needed for another task.
	 */
	t->place_due_ms =
		w->free_since_ms && w->now - w->free_since_ms >= PLACE_FREE_MS
			? UPKEEP_NEVER
			: 0;
}

void check_ended(struct upkeep_world *w, const struct upkeep_run *run,
		 enum upkeep_cause cause)
{
	struct upkeep_job *job = &w->jobs[run->job];
	struct upkeep_task *t;

	if (!job->lasting)
		return;
	if (cause == CAUSE_MACHINE && run->stop_ms == UPKEEP_NEVER)
		check_stop(w, run, false);
	t = &job->tasks[run->task];
	if (cause == CAUSE_CRASH || cause == CAUSE_LAPSE)
		t->place_due_ms = 0;
	else if (t->place_due_ms)
		t->place_due_ms = w->now + PLACE_MS;
	t->runs--;
	t->without_since_ms = w->now;
}

void check_maintenance(struct upkeep_world *w, uint32_t wave)
{
	uint32_t away = 0;
	uint32_t i;

	for (i = 0; i < w->machine_count; i++)
		away += w->machines[i].state == UPKEEP_IN_MAINTENANCE &&
			w->machines[i].wave == wave;
	if (away >= w->waves[wave - 1].at_once)
		check_failed(w, UPKEEP_WAVE,
			     "a maintenance of wave %u begins beside %u; at "
			     "most %u at once",
			     wave, away, w->waves[wave - 1].at_once);
}

/* Tasks of the job that fit into what is free on the machine. */
static uint32_t room_on(const struct upkeep_machine *m, uint32_t index,
			const struct upkeep_job *job)
{
	uint64_t cpu = (MACHINE_CPU - m->cpu) / job->cpu;
	uint64_t mem = (MACHINE_MEM - m->mem) / job->mem;
	uint64_t room = cpu < mem ? cpu : mem;
	uint32_t same = 0;
	uint32_t r;

	if (!job->spread_limit || !room)
		return (uint32_t)room;
	for (r = 0; r < m->run_count; r++)
		same += m->runs[r].job == index;
	if (same >= job->spread_limit)
		return 0;
	return room < job->spread_limit - same ? (uint32_t)room
					       : job->spread_limit - same;
}

/* An instance that no directory shows yet is of no use to anyone. */
static bool has_room(const struct upkeep_world *w, uint32_t index,
		     uint32_t tasks)
{
	const struct upkeep_job *job = &w->jobs[index];
	uint32_t room = 0;
	uint32_t i;

	for (i = 0; i < w->machine_count && room < tasks; i++)
		if (w->machines[i].listed &&
		    fault_is_usable(w, &w->machines[i]) &&
		    w->machines[i].listed == w->machines[i].instance &&
		    w->machines[i].pool == job->pool)
			room += room_on(&w->machines[i], index, job);
	return room >= tasks;
}

static void note_at_work(struct upkeep_world *w)
{
	uint32_t i, r;

	for (i = 0; i < w->machine_count; i++)
		for (r = 0; r < w->machines[i].run_count; r++) {
			const struct upkeep_run *run = &w->machines[i].runs[r];
			struct upkeep_job *job = &w->jobs[run->job];

			if (!job->lasting || !is_at_work(w, run))
				continue;
			job->tasks[run->task].at_work_ms = w->now;
			job->tasks[run->task].ended_by_order = false;
		}
}

/* Since when some machine is up, in any pool, without long-running tasks. */
static void note_free_machine(struct upkeep_world *w)
{
	uint32_t i;

	for (i = 0; i < w->machine_count; i++)
		if (w->machines[i].state == UPKEEP_UP &&
		    fault_is_usable(w, &w->machines[i]) &&
		    !w->machines[i].lasting_count)
			break;
	if (i == w->machine_count)
		w->free_since_ms = 0;
	else if (!w->free_since_ms)
		w->free_since_ms = w->now;
}

static void check_place(struct upkeep_world *w, const struct upkeep_job *job,
			uint32_t task)
{
	struct upkeep_task *t = &job->tasks[task];

	if (!t->place_due_ms || w->now <= t->place_due_ms)
		return;
	t->place_due_ms = 0;
	/* What bars starts may have come after the stop. */
	if (!fault_is_near(w) && w->barred_ms < t->stop_ms)
		check_failed(w, UPKEEP_PLACE,
			     "%s.0.0.%u does not run %u ms after a stop ended",
			     job->id, task,
			     (unsigned int)(w->now - t->without_since_ms));
}

/* Counts a task without a run once for each time that it has none. */
static void check_room(struct upkeep_world *w, const struct upkeep_job *job,
		       uint32_t task, enum upkeep_invariant invariant,
		       uint32_t bound_ms)
{
	const struct upkeep_task *t = &job->tasks[task];
	uint64_t without_ms = w->now - t->without_since_ms;

	if (!job->room_since_ms || fault_is_near(w) || without_ms < bound_ms ||
	    w->now - job->room_since_ms < ROOM_SINCE_MS)
		return;
	if (without_ms - UPKEEP_TICK_MS >= bound_ms &&
	    w->now - UPKEEP_TICK_MS - job->room_since_ms >= ROOM_SINCE_MS &&
	    w->result->violations[invariant])
		return;
	check_failed(w, invariant,
		     "%s.0.0.%u has no run for %u ms, with room for two for "
		     "%u ms in %s",
		     job->id, task, (unsigned int)without_ms,
		     (unsigned int)(w->now - job->room_since_ms),
		     w->names[job->pool]);
}

static void check_job(struct upkeep_world *w, uint32_t index)
{
	struct upkeep_job *job = &w->jobs[index];
	bool waits = false;
	uint32_t t;

	for (t = 0; t < job->count; t++)
		waits |= !job->tasks[t].runs;
	if (!waits || fault_near_cap(w, job) || !has_room(w, index, 2))
		job->room_since_ms = 0;
	else if (!job->room_since_ms)
		job->room_since_ms = w->now;
	for (t = 0; waits && t < job->count; t++) {
		if (job->tasks[t].runs)
			continue;
		check_place(w, job, t);
		check_room(w, job, t, UPKEEP_ROOM, ROOM_WITHOUT_RUN_MS);
		check_room(w, job, t, UPKEEP_ROOM_SOON, ROOM_SOON_MS);
	}
}

/* Names the machines without their maintenance and what runs there. */
static const char *list_due(const struct upkeep_world *w,
			    const struct upkeep_wave *v)
{
	char *text = talloc_strdup(w->ctx, "");
	uint32_t i;

	for (i = 0; text && i < v->count; i++) {
		const struct upkeep_machine *m = &w->machines[v->machines[i]];

		if (!v->done[i])
			text = talloc_asprintf_append(
				text, "%s in %s with %u long-running, ",
				m->name, w->names[m->pool], m->lasting_count);
	}
	return text;
}

static void check_waves(struct upkeep_world *w)
{
	uint32_t n;

	for (n = 0; n < w->wave_count; n++) {
		struct upkeep_wave *v = &w->waves[n];
		uint64_t due_ms = v->start_ms + v->duration_ms;

		if (!v->started || v->completed)
			continue;
		if (due_ms < w->fault_ms)
			due_ms = w->fault_ms;
		if (w->now <= due_ms + v->duration_ms)
			continue;
		v->completed = true;
		check_failed(w, UPKEEP_WAVE,
			     "wave %u is not complete %u ms after its "
			     "deadline; due: %s",
			     n + 1, v->duration_ms, list_due(w, v));
	}
}

static const struct upkeep_machine *idle_elsewhere(const struct upkeep_world *w,
						   uint32_t pool,
						   uint64_t since_ms)
{
	const struct upkeep_machine *m;

	for (m = w->machines; m < w->machines + w->machine_count; m++)
		if (m->pool != pool && m->idle_since_ms &&
		    m->idle_since_ms <= since_ms)
			return m;
	return NULL;
}

static void note_idle_machines(struct upkeep_world *w)
{
	struct upkeep_machine *m;

	for (m = w->machines; m < w->machines + w->machine_count; m++) {
		if (m->state != UPKEEP_UP || m->run_count ||
		    !fault_is_usable(w, m))
			m->idle_since_ms = 0;
		else if (!m->idle_since_ms)
			m->idle_since_ms = w->now;
	}
}

static uint32_t count_waiting(const struct upkeep_job *job)
{
	uint32_t begun = job->running + job->done;

	return begun < job->count ? job->count - begun : 0;
}

/* Tasks of the job wait, and none of the pool's instances has room. */
static bool is_stuck(const struct upkeep_world *w, uint32_t index)
{
	const struct upkeep_job *job = &w->jobs[index];

	return count_waiting(job) && !fault_near_cap(w, job) &&
	       !has_room(w, index, 1);
}

static void check_starved(struct upkeep_world *w, uint32_t index)
{
	struct upkeep_job *job = &w->jobs[index];
	const struct upkeep_machine *m;
	uint64_t since_ms = w->now - STARVED_MS;

	if (fault_is_near(w) || !is_stuck(w, index)) {
		job->stuck_since_ms = 0;
		return;
	}
	if (!job->stuck_since_ms)
		job->stuck_since_ms = w->now;
	m = idle_elsewhere(w, job->pool, since_ms);
	if (job->stuck_since_ms > since_ms || !m)
		return;
	job->stuck_since_ms = w->now;
	check_failed(w, UPKEEP_STARVED,
		     "job %s in %s fits on none of its instances: %u tasks of "
		     "%u millicores, %u MiB; %s in %s is idle for %u ms",
		     job->id, w->names[job->pool], count_waiting(job), job->cpu,
		     job->mem, m->name, w->names[m->pool],
		     (unsigned int)(w->now - m->idle_since_ms));
}

static void check_open_jobs(struct upkeep_world *w)
{
	uint32_t i, kept = 0;

	if (w->now % STARVED_CHECK_MS)
		return;
	for (i = 0; i < w->open_count; i++) {
		const struct upkeep_job *job = &w->jobs[w->open[i]];

		if (job->ended || job->cancelled || job->done >= job->count)
			continue;
		check_starved(w, w->open[i]);
		w->open[kept++] = w->open[i];
	}
	w->open_count = kept;
}

/* Each pool's machines: up, idle, with long-running tasks; tasks that wait. */
static void trace_pools(const struct upkeep_world *w)
{
	uint32_t p, i;

	if (!w->verbose || w->now % TRACE_POOLS_MS)
		return;
	for (p = 0; p < w->pool_count; p++) {
		uint32_t up = 0, idle = 0, pinned = 0, waiting = 0;

		for (i = 0; i < w->machine_count; i++) {
			const struct upkeep_machine *m = &w->machines[i];

			if (m->pool != p || m->state != UPKEEP_UP)
				continue;
			up++;
			idle += m->idle_since_ms > 0;
			pinned += m->lasting_count > 0;
		}
		for (i = 0; i < w->open_count; i++) {
			const struct upkeep_job *job = &w->jobs[w->open[i]];

			if (job->pool == p)
				waiting += count_waiting(job);
		}
		upkeep_trace(w,
			     "pool %s: %u up, %u idle, %u pinned; %u tasks "
			     "wait",
			     w->names[p], up, idle, pinned, waiting);
	}
}

void check_tick(struct upkeep_world *w)
{
	uint32_t i;

	note_at_work(w);
	note_free_machine(w);
	for (i = 0; i < w->lasting_count; i++)
		if (is_owed(&w->jobs[i]))
			check_job(w, i);
	check_waves(w);
	note_idle_machines(w);
	check_open_jobs(w);
	trace_pools(w);
}

void check_end(struct upkeep_world *w)
{
	uint32_t i;

	for (i = w->lasting_count; i < w->job_count; i++)
		if (w->jobs[i].accepted && !w->jobs[i].ended)
			check_failed(w, UPKEEP_END,
				     "job %s in %s has not ended: %u tasks of "
				     "%u millicores, %u MiB, %u ms",
				     w->jobs[i].id, w->names[w->jobs[i].pool],
				     w->jobs[i].count, w->jobs[i].cpu,
				     w->jobs[i].mem, w->jobs[i].run_ms);
}
