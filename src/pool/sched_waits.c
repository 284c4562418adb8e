/*
 * sched_waits - logs why a long-running task doesn't run
 *
 * One line a step and second, for the longest wait in it. It tells apart a run
 * whose end this leader hasn't heard of, a job that may not start yet, a cap,
 * and a pool without an instance for it, by what keeps each from being used.
 */
#include <inttypes.h>

#include "pool/sched_internal.h"

#define WAIT_LOGGED_MS 1500u /* a task that is placed at once waits less */
#define WAITS_LOG_MS 1000u   /* between two lines on a step */

/* Instances of a pool by why they don't take a task of the step. */
struct obstacles {
	uint32_t instances;
	uint32_t unlisted, leaving, reserved, ejected;
	uint32_t evacuated;
	uint32_t silent;	/* unreported, expired, or unanswered calls */
	uint32_t unconfirmed;	/* reported, but the leader isn't confirmed */
	uint32_t full;		/* usable, without room or over a limit */
	uint32_t usable;	/* with room */
	uint32_t reserved_room; /* of the reserved, those with room */
};

static void count_obstacle(const struct sched *s, const struct step *step,
			   const struct instance *i, uint64_t now,
			   struct obstacles *o)
{
	bool room = step_room_on(step, i) > 0;

	o->instances++;
	if (!i->listed)
		o->unlisted++;
	else if (i->leaving)
		o->leaving++;
	else if (i->evacuated)
		o->evacuated++;
	else if (!i->reported || i->expired || i->unresponsive ||
		 !i->clock_read_ms)
		o->silent++;
	else if (i->restart_possible ||
		 i->first_report_ms >= s->leader_confirmed_ms)
		o->unconfirmed++;
	else if (i->reserved)
		o->reserved++;
	else if (now < i->ejected_until_ms)
		o->ejected++;
	else if (room)
		o->usable++;
	else
		o->full++;
	o->reserved_room += i->reserved && room;
}

uint64_t task_waited_ms(const struct sched *s, const struct task *task,
			uint64_t now)
{
	uint64_t since = task->unavailable_since_ms;

	if (since)
		return now - since;
	if (task->runs)
		return 0;
	since = task->step->job->accepted_ms > s->leader_since_ms
			? task->step->job->accepted_ms
			: s->leader_since_ms;
	return now > since ? now - since : 0;
}

static void log_step(struct sched *s, const struct step *step,
		     const struct task *longest, uint32_t waiting,
		     uint32_t ending, uint64_t now)
{
	struct obstacles o = { 0 };
	const struct instance *i;

	DL_FOREACH2(step->job->pool->instances, i, pool_next)
	count_obstacle(s, step, i, now, &o);
	sched_trace(s, "lasting-waits", step->job->id,
		    "\"step\":%u,\"task\":%u,\"waited_ms\":%" PRIu64
		    ",\"waiting\":%u,\"ending\":%u,\"unseen\":%d,"
		    "\"startable\":%u,\"claimed\":%d,\"pool\":\"%s\","
		    "\"instances\":%u,\"usable\":%u,\"full\":%u,"
		    "\"reserved\":%u,\"reserved_room\":%u,\"leaving\":%u,"
		    "\"silent\":%u,\"unconfirmed\":%u,\"ejected\":%u,"
		    "\"unlisted\":%u,\"evacuated\":%u,\"held\":%d",
		    step->index, longest->index,
		    task_waited_ms(s, longest, now), waiting, ending,
		    longest->possibly_running, step->startable,
		    step->job->claimed, step->job->pool->name, o.instances,
		    o.usable, o.full, o.reserved, o.reserved_room, o.leaving,
		    o.silent, o.unconfirmed, o.ejected, o.unlisted, o.evacuated,
		    s->starts_held);
}

static void check_step(struct sched *s, const struct step *step, uint64_t now)
{
	const struct task *longest = NULL;
	uint32_t waiting = 0, ending = 0;
	uint32_t t;

	if (!step->ready || !step->spec->lasting)
		return;
	for (t = 0; t < step->spec->count; t++) {
		const struct task *task = &step->tasks[t];

		if (task_waited_ms(s, task, now) < WAIT_LOGGED_MS)
			continue;
		waiting += !task->runs;
		ending += task->runs && task->runs->state == RUN_STOPPING;
		if (!longest || task_waited_ms(s, task, now) >
					task_waited_ms(s, longest, now))
			longest = task;
	}
	if (longest)
		log_step(s, step, longest, waiting, ending, now);
}

void waits_log(struct sched *s, uint64_t now)
{
	const struct occurrence *o;
	const struct job *job;
	size_t i;

	if (!s->trace || now < s->next_waits_log_ms)
		return;
	s->next_waits_log_ms = now + WAITS_LOG_MS;
	DL_FOREACH2(s->lists[JOBS_LONG], job, list_next)
	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++)
			check_step(s, &o->steps[i], now);
}
