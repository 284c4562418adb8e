/*
 * sched_waits - logs why a long-running task doesn't run
 *
 * One line a step and second, for the longest wait in it. It tells apart a run
 * whose end this leader hasn't heard of, a job that may not start yet, a cap, a
 * task that is stopped and started again and again, and a pool without an
 * instance for it, by what keeps each from being used.
 */
#include <inttypes.h>

#include "pool/sched_internal.h"

#define WAITS_LOG_MS 1000u   /* between two lines on a step */
#define SHORT_RUNS_LOGGED 2u /* one after the other, whatever the wait */

/*
 * Steps with the longest waits, whose lines have a kind of their own: with so
 * few a second the log keeps them apart from kinds that are logged often.
 */
#define LONGEST_MAX 4u

/* Instances of a pool by why they don't take a task of the step. */
struct obstacles {
	uint32_t instances;
	uint32_t unlisted, leaving, reserved, ejected;
	uint32_t evacuated;
	uint32_t silent;	/* unreported, expired, or unanswered calls */
	uint32_t unconfirmed;	/* reported, but the leader isn't confirmed */
	uint32_t full;		/* usable, without room or over a limit */
	uint32_t usable;	/* with room */
	uint32_t not_taken;	/* of these, denied, or a start failed last */
	uint32_t empty;		/* of both, with nothing on them */
	uint32_t reserved_room; /* of the reserved, those with room */
	uint64_t reserved_since_ms;	/* of the oldest of these; 0: none */
	struct amount capacity, in_use; /* of `full` and `usable` */
};

/* A step with a task that waits, and its tasks by what they wait for. */
struct waiting_step {
	const struct step *step;
	const struct task *longest;
	uint64_t waited_ms; /* by it */
	uint32_t waiting;   /* for a place */
	uint32_t starting;  /* their run doesn't work yet */
	uint32_t ending;    /* their run is being stopped */
	uint32_t restarted; /* with several short runs one after the other */
};

static void count_reserved(const struct instance *i, bool room,
			   struct obstacles *o)
{
	o->reserved++;
	o->reserved_room += room;
	if (room && (!o->reserved_since_ms ||
		     i->reserved_since_ms < o->reserved_since_ms))
		o->reserved_since_ms = i->reserved_since_ms;
}

static void count_obstacle(const struct sched *s, const struct step *step,
			   const struct instance *i, uint64_t now,
			   struct obstacles *o)
{
	bool room = step_room_on(step, i) > 0;

	o->instances++;
	if (!i->listed) {
		o->unlisted++;
	} else if (i->leaving) {
		o->leaving++;
	} else if (i->evacuated) {
		o->evacuated++;
	} else if (!i->reported || i->expired || i->unresponsive ||
		   !i->clock_read_ms) {
		o->silent++;
	} else if (i->restart_possible ||
		   i->first_report_ms >= s->leader_confirmed_ms) {
		o->unconfirmed++;
	} else if (i->reserved) {
		count_reserved(i, room, o);
	} else if (now < i->ejected_until_ms) {
		o->ejected++;
	} else {
		o->usable += room;
		o->not_taken +=
			room && (i->failures || step_is_denied(step, i));
		o->empty += !i->run_count && !i->hold_count;
		o->full += !room;
		amount_add(&o->capacity, &i->capacity);
		amount_add(&o->in_use, &i->used);
	}
}

uint64_t task_waited_ms(const struct sched *s, const struct task *task,
			uint64_t now)
{
	uint64_t since = task_unavailable_since(s, task);

	if (task->runs && task->runs->running_since_ms &&
	    !task->unavailable_since_ms)
		return 0;
	return now > since ? now - since : 0;
}

static void log_step(struct sched *s, const char *kind,
		     const struct waiting_step *w, uint64_t now)
{
	const struct step *step = w->step;
	const struct pool *pool = step->job->pool;
	struct amount needs = step_amount(step->spec);
	struct obstacles o = { 0 };
	const struct instance *i;

	if (!s->trace)
		return;
	DL_FOREACH2(pool->instances, i, pool_next)
	count_obstacle(s, step, i, now, &o);
	sched_trace(s, kind, step->job->id,
		    "\"step\":%u,\"task\":%u,\"waited_ms\":%" PRIu64
		    ",\"short_runs\":%u,\"waiting\":%u,\"starting\":%u,"
		    "\"ending\":%u,\"restarted\":%u,\"unseen\":%d,"
		    "\"startable\":%u,\"claimed\":%d,\"pool\":\"%s\","
		    "\"needs_cpu\":%" PRId64 ",\"needs_mem\":%" PRId64
		    ",\"cpu\":%" PRId64 ",\"used_cpu\":%" PRId64
		    ",\"mem\":%" PRId64 ",\"used_mem\":%" PRId64
		    ",\"machines_wanted\":%u,\"capped\":%d,"
		    "\"unreported\":%u,\"instances\":%u,\"usable\":%u,"
		    "\"not_taken\":%u,\"empty\":%u,\"full\":%u,"
		    "\"reserved\":%u,\"reserved_room\":%u,"
		    "\"reserved_ms\":%" PRIu64 ",\"leaving\":%u,"
		    "\"silent\":%u,\"unconfirmed\":%u,\"ejected\":%u,"
		    "\"unlisted\":%u,\"evacuated\":%u,\"held\":%d",
		    step->index, w->longest->index, w->waited_ms,
		    w->longest->short_runs, w->waiting, w->starting, w->ending,
		    w->restarted, w->longest->possibly_running, step->startable,
		    step->job->claimed, pool->name, needs.cpu, needs.mem,
		    o.capacity.cpu, o.in_use.cpu, o.capacity.mem, o.in_use.mem,
		    pool->machines_wanted, !cap_allows(s, step, 1),
		    pool->unreported, o.instances, o.usable, o.not_taken,
		    o.empty, o.full, o.reserved, o.reserved_room,
		    o.reserved_since_ms ? now - o.reserved_since_ms : 0,
		    o.leaving, o.silent, o.unconfirmed, o.ejected, o.unlisted,
		    o.evacuated, s->starts_held);
}

/* Whether its present run, if any, may be one more in a row of short ones. */
static bool is_restarted(const struct task *task, uint64_t now)
{
	const struct run *run = task->runs;

	return task->short_runs >= SHORT_RUNS_LOGGED && !task->done &&
	       (!run || !run_is_steady(run, now));
}

static void count_task(struct waiting_step *w, struct sched *s,
		       const struct task *task, uint64_t now)
{
	uint64_t waited_ms = task_waited_ms(s, task, now);
	bool restarted = is_restarted(task, now);

	if (waited_ms < WAIT_LOGGED_MS && !restarted)
		return;
	if (waited_ms >= WAIT_LOGGED_MS)
		longest_count(s, task, waited_ms);
	w->restarted += restarted;
	if (!task->runs)
		w->waiting++;
	else if (task->runs->state == RUN_STOPPING)
		w->ending++;
	else
		w->starting += !run_is_available(task->runs);
	if (!w->longest || waited_ms > w->waited_ms) {
		w->longest = task;
		w->waited_ms = waited_ms;
	}
}

/*
 * Keeps the steps with the longest waits, longest first, and logs the one that
 * has no place among them.
 */
static void keep_longest(struct sched *s, struct waiting_step *kept,
			 const struct waiting_step *w, uint64_t now)
{
	struct waiting_step next = *w;
	uint32_t i;

	for (i = 0; i < LONGEST_MAX; i++) {
		struct waiting_step other = kept[i];

		if (other.step && other.waited_ms >= next.waited_ms)
			continue;
		kept[i] = next;
		next = other;
		if (!next.step)
			return;
	}
	log_step(s, "lasting-waits-more", &next, now);
}

static void check_step(struct sched *s, const struct step *step,
		       struct waiting_step *kept, uint64_t now)
{
	struct waiting_step w = { .step = step };
	uint32_t t;

	if (!step->ready || !step->spec->lasting)
		return;
	for (t = 0; t < step->spec->count; t++)
		count_task(&w, s, &step->tasks[t], now);
	if (w.longest)
		keep_longest(s, kept, &w, now);
}

void waits_log(struct sched *s, uint64_t now)
{
	struct waiting_step kept[LONGEST_MAX] = { 0 };
	const struct occurrence *o;
	const struct job *job;
	size_t i;

	if (now < s->next_waits_log_ms)
		return;
	s->next_waits_log_ms = now + WAITS_LOG_MS;
	longest_begin(s);
	DL_FOREACH2(s->lists[JOBS_LONG], job, list_next)
	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++)
			check_step(s, &o->steps[i], kept, now);
	for (i = 0; i < LONGEST_MAX && kept[i].step; i++)
		log_step(s, "lasting-waits", &kept[i], now);
	longest_log(s, now);
}
