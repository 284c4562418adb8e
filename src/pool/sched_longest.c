/*
 * sched_longest - the longest wait of a long-running task in each pool
 *
 * One line a second for each pool in which such a task waits, with the longest
 * wait and what keeps that task, and the longest wait of the term: a line that
 * is lost is made up for by the next one. The node prefers these lines.
 */
#include <inttypes.h>
#include <string.h>

#include "pool/sched_internal.h"

#define POOLS_LOGGED_MAX 16u /* those with the longest waits */
/* Between two lines on a pool in which a task has waited, and none does now */
#define TERM_LOG_MS 10000u

/* What keeps a task that waits for a place, and its pool's instances. */
struct place_wait {
	uint32_t usable;     /* that would take it */
	uint32_t empty;	     /* usable and large enough, but don't take it */
	uint32_t unreported; /* they have not reported to this leader */
	uint32_t wanted;     /* machines that the pool asks for */
	const char *why;
};

const char *sched_wait_name(enum sched_wait wait)
{
	static const char *const names[SCHED_WAITS] = {
		[SCHED_WAIT_UNWRITTEN] = "unwritten",
		[SCHED_WAIT_UNSEEN] = "unseen",
		[SCHED_WAIT_STARTS] = "starts-held",
		[SCHED_WAIT_CAP] = "cap",
		[SCHED_WAIT_PLACE] = "place",
		[SCHED_WAIT_SILENT] = "silent",
		[SCHED_WAIT_UNANSWERED] = "unanswered",
		[SCHED_WAIT_STARTING] = "starting",
		[SCHED_WAIT_ENDING] = "ending",
	};

	return names[wait];
}

static enum sched_wait run_wait(const struct run *run)
{
	if (run->instance->unresponsive && run->state != RUN_ORDERED)
		return SCHED_WAIT_SILENT;
	switch (run->state) {
	case RUN_UNKNOWN:
		return SCHED_WAIT_UNANSWERED;
	case RUN_STOPPING:
		return run->stop_reason == STOP_UNANSWERED
			       ? SCHED_WAIT_UNANSWERED
			       : SCHED_WAIT_ENDING;
	case RUN_ORDERED:
	case RUN_RUNNING:
		break;
	}
	return SCHED_WAIT_STARTING;
}

static enum sched_wait task_wait(const struct sched *s, const struct task *task)
{
	if (task->runs)
		return run_wait(task->runs);
	if (task->possibly_running)
		return SCHED_WAIT_UNSEEN;
	if (!task->step->job->claimed)
		return SCHED_WAIT_UNWRITTEN;
	if (s->starts_held)
		return SCHED_WAIT_STARTS;
	return cap_allows(s, task->step, 1) ? SCHED_WAIT_PLACE : SCHED_WAIT_CAP;
}

static void note_term(struct longest *l, const struct task *task,
		      uint64_t waited_ms)
{
	if (waited_ms <= l->term_ms)
		return;
	l->term_ms = waited_ms;
	task_name(task, l->term_task);
}

void longest_begin(struct sched *s)
{
	struct pool *pool;

	for (pool = s->pools; pool; pool = pool->hh.next) {
		memset(pool->longest.tasks, 0, sizeof(pool->longest.tasks));
		pool->longest.task = NULL;
		pool->longest.waited_ms = 0;
	}
}

void longest_count(struct sched *s, const struct task *task, uint64_t waited_ms)
{
	struct longest *l = &task->step->job->pool->longest;

	l->tasks[task_wait(s, task)]++;
	note_term(l, task, waited_ms);
	if (l->task && waited_ms <= l->waited_ms)
		return;
	l->task = task;
	l->waited_ms = waited_ms;
}

void longest_ended(const struct task *task, uint64_t waited_ms)
{
	if (waited_ms >= WAIT_LOGGED_MS)
		note_term(&task->step->job->pool->longest, task, waited_ms);
}

/*
 * Compares in the order in which they end a search: an instance that would take
 * the task, machines that are asked for, and why none is.
 */
static void find_place_wait(const struct sched *s, const struct task *task,
			    uint64_t now, struct place_wait *w)
{
	const struct pool *pool = task->step->job->pool;
	const struct amount a = step_amount(task->step->spec);
	const struct instance *i;

	*w = (struct place_wait){ .unreported = pool->unreported,
				  .wanted = pool->machines_wanted };
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		bool takes;

		if (!instance_usable(s, i, now))
			continue;
		takes = step_room_on(task->step, i) &&
			!step_is_denied(task->step, i);
		w->usable += takes;
		w->empty += !takes && !i->run_count && !i->hold_count &&
			    amount_covers(&i->capacity, &a);
	}
	if (w->usable)
		w->why = now < task->retry_ms ? "refused" : "not tried";
	else if (w->wanted)
		w->why = "machines wanted";
	else if (w->unreported)
		w->why = "unreported instance";
	else
		w->why = w->empty ? "empty instance" : "no machine wanted";
}

static void log_pool(struct sched *s, struct pool *pool, uint64_t now)
{
	const struct longest *l = &pool->longest;
	const struct task *task = l->task;
	const struct run *run = task ? task->runs : NULL;
	const enum sched_wait wait = task ? task_wait(s, task) : SCHED_WAITS;
	struct place_wait place = { .why = "" };
	char name[SCHED_TASK_MAX] = "";

	if (task)
		task_name(task, name);
	if (wait == SCHED_WAIT_PLACE)
		find_place_wait(s, task, now, &place);
	sched_trace(s, "lasting-longest", pool->name,
		    "\"task\":\"%s\",\"waited_ms\":%" PRIu64
		    ",\"why\":\"%s\",\"place\":\"%s\",\"usable\":%u,"
		    "\"empty\":%u,\"unreported\":%u,"
		    "\"machines_wanted\":%u,\"starts\":%u,"
		    "\"instance\":\"%s\",\"run\":%" PRIu64
		    ",\"ordered_ms\":%" PRIu64
		    ",\"waiting\":%u,\"cap\":%u,\"unseen\":%u,"
		    "\"silent\":%u,\"unanswered\":%u,\"starting\":%u,"
		    "\"ending\":%u,\"held\":%u,\"term_ms\":%" PRIu64
		    ",\"term_task\":\"%s\"",
		    name, l->waited_ms, task ? sched_wait_name(wait) : "",
		    place.why, place.usable, place.empty, pool->unreported,
		    pool->machines_wanted, task ? task->starts : 0,
		    run ? run->instance->id : "", run ? run->number : 0,
		    run && run->ordered_ms ? now - run->ordered_ms : 0,
		    l->tasks[SCHED_WAIT_PLACE], l->tasks[SCHED_WAIT_CAP],
		    l->tasks[SCHED_WAIT_UNSEEN], l->tasks[SCHED_WAIT_SILENT],
		    l->tasks[SCHED_WAIT_UNANSWERED],
		    l->tasks[SCHED_WAIT_STARTING], l->tasks[SCHED_WAIT_ENDING],
		    l->tasks[SCHED_WAIT_STARTS] +
			    l->tasks[SCHED_WAIT_UNWRITTEN],
		    l->term_ms, l->term_task);
	pool->longest.logged_ms = now;
}

/* Whether a line on the pool is due, and none was logged in this sample. */
static bool is_due(const struct longest *l, uint64_t now)
{
	if (!l->logged_ms)
		return l->term_ms > 0;
	return now > l->logged_ms &&
	       (l->task || (l->term_ms && now - l->logged_ms >= TERM_LOG_MS));
}

void longest_log(struct sched *s, uint64_t now)
{
	uint32_t n;

	for (n = 0; s->trace && n < POOLS_LOGGED_MAX; n++) {
		struct pool *longest = NULL;
		struct pool *pool;

		for (pool = s->pools; pool; pool = pool->hh.next)
			if (is_due(&pool->longest, now) &&
			    (!longest || pool->longest.waited_ms >
						 longest->longest.waited_ms))
				longest = pool;
		if (!longest)
			return;
		log_pool(s, longest, now);
	}
}
