/*
 * sched_avail - draining an instance within disruption budgets
 *
 * The disruption budget of a step, may_miss, is the number of its tasks that
 * may be unavailable at once because of maintenance; 0 is no limit. A task is
 * stopped only while fewer than may_miss other tasks of its step are
 * unavailable.
 *
 * A task is stopped once room elsewhere is held for it; see sched_hold.c. One
 * that no other instance has room for would stay unavailable until one gains
 * room. It is stopped only when its machine can be ordered at once, so that it
 * finds room there again when the machine is back.
 */
#include <string.h>

#include "pool/sched_internal.h"

#define REPORT_MAX_MS 2500u /* an older report is outdated */
#define RELOCATION_MS 50u   /* between two attempts to empty an instance */

/* Time for a stop of unknown outcome to show in reports. */
#define STOP_SHOWS_MS 1000u

/* Whether the instance has recently reported what runs on it. */
static bool reported_recently(const struct instance *i, uint64_t now)
{
	return !i->unresponsive && i->clock_read_ms &&
	       now - i->clock_read_ms < REPORT_MAX_MS;
}

/*
 * Whether a stop of a former leader, or one of this leader that was withdrawn,
 * may still end the run.
 */
static bool may_be_stopping(const struct run *run)
{
	const uint64_t sent_ms = run->instance->report_sent_ms;

	return (run->adopted_ms && sent_ms < run->adopted_ms + STOP_SHOWS_MS) ||
	       (run->stop_withdrawn_ms &&
		sent_ms < run->stop_withdrawn_ms + STOP_SHOWS_MS);
}

/* Whether no recently reported run of the task serves at full speed. */
static bool task_unavailable(const struct task *task, uint64_t now)
{
	const struct run *run;

	DL_FOREACH2(task->runs, run, task_next)
	if (run_is_available(run) && !run->missing &&
	    run->speed_percent == 100 && !may_be_stopping(run) &&
	    reported_recently(run->instance, now))
		return false;
	return true;
}

static uint32_t count_unavailable(const struct step *step,
				  const struct task *except, uint64_t now)
{
	uint32_t count = 0;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		count += &step->tasks[t] != except &&
			 task_unavailable(&step->tasks[t], now);
	return count;
}

uint32_t step_unavailable(const struct step *step, uint64_t now)
{
	return count_unavailable(step, NULL, now);
}

/* Whether the task may be stopped within the disruption budget. */
bool task_may_stop(const struct task *task, uint64_t now)
{
	const struct step *step = task->step;

	return !step->spec->may_miss ||
	       count_unavailable(step, task, now) < step->spec->may_miss;
}

static bool only_lasting_runs(const struct instance *i)
{
	const struct run *run;

	DL_FOREACH(i->runs, run)
	if (!run->task->step->spec->lasting)
		return false;
	return true;
}

bool sched_relocate(struct sched *s, instance_handle_t h, bool graceful,
		    bool may_empty, uint64_t now)
{
	struct instance *i = instance_of(s, h);
	bool emptied = false;
	struct run *run;

	if (!i || now < i->next_relocation_ms)
		return false;
	i->next_relocation_ms = now + RELOCATION_MS;
	may_empty = may_empty && (!graceful || only_lasting_runs(i));
	DL_FOREACH(i->runs, run)
	{
		bool lasting = run->task->step->spec->lasting;

		if (run->state != RUN_RUNNING || (!lasting && graceful) ||
		    !task_may_stop(run->task, now))
			continue;
		/* It could not start again: if loaded, until all have reported.
		 */
		if (lasting && (s->starts_held || run->task->step->job->loaded))
			continue;
		if (lasting && !hold_place(s, run->task, now)) {
			want_place(s, i, run->task, now);
			/* In an evacuated zone it would find none here, too. */
			if (!may_empty || i->evacuated)
				continue;
			emptied = true;
		}
		hold_ask(s, run->task, now);
		sched_trace(s, "relocate", run->task->step->job->id,
			    "\"step\":%u,\"task\":%u,\"instance\":\"%s\","
			    "\"other_place\":%d",
			    run->task->step->index, run->task->index, i->id,
			    !emptied);
		run_stop(s, run, STOP_RELOCATED);
	}
	return emptied;
}

uint32_t step_waiting(const struct step *step)
{
	uint32_t waiting = step->startable;
	uint32_t t;

	if (!step->spec->lasting || !step->job->claimed)
		return 0;
	for (t = 0; step->held && t < step->spec->count; t++)
		waiting -= step->tasks[t].hold && !step->tasks[t].runs;
	return waiting;
}

bool instance_is_waited_for(const struct sched *s, const struct instance *i)
{
	const struct step *step;

	if (!i->pool->long_ready)
		return false;
	DL_FOREACH(i->pool->ready, step)
	if (step_waiting(step) && instance_could_run(i, step->spec) &&
	    cap_allows(s, step, 1))
		return true;
	return false;
}

bool sched_has_place_for_waiting(const struct sched *s, instance_handle_t h)
{
	const struct instance *i = instance_of(s, h);
	const struct step *step;

	if (!i || !i->pool->long_ready || !i->listed || i->leaving ||
	    i->unresponsive || i->expired || !i->reported || i->evacuated)
		return false;
	DL_FOREACH(i->pool->ready, step)
	if (step_waiting(step) && step_room_on(step, i) &&
	    !step_is_denied(step, i) && cap_allows(s, step, 1))
		return true;
	return false;
}

bool sched_may_interrupt(const struct sched *s, instance_handle_t h)
{
	const struct instance *i = instance_of(s, h);
	const struct run *run;

	if (!i)
		return false;
	DL_FOREACH(i->runs, run)
	if (run->task->step->spec->may_miss)
		return false;
	return true;
}
