/*
 * sched_avail - draining an instance within disruption budgets
 *
 * The disruption budget of a step, may_miss, is the number of its tasks that
 * may be unavailable at once because of maintenance; 0 is no limit. A task is
 * stopped only while fewer than may_miss other tasks of its step are
 * unavailable.
 *
 * Neither this module nor its caller, fleet/maintenance.c, checks that another
 * instance has room for the task. A stopped task that finds no room stays
 * unavailable, so the budget keeps further tasks of its step from being
 * stopped.
 */
#include <string.h>

#include "pool/sched_internal.h"

#define REPORT_MAX_MS 2500u /* an older report is outdated */

/* Time for a former leader's stop of a run to show in reports. */
#define FORMER_STOP_MS 1000u

/* Whether the instance has recently reported what runs on it. */
static bool reported_recently(const struct instance *i, uint64_t now)
{
	return !i->unresponsive && i->clock_read_ms &&
	       now - i->clock_read_ms < REPORT_MAX_MS;
}

/* Whether a former leader may have stopped the run, which still ends. */
static bool may_be_stopping(const struct run *run)
{
	return run->adopted_ms &&
	       run->instance->report_sent_ms < run->adopted_ms + FORMER_STOP_MS;
}

/* Whether no recently reported run of the task serves at full speed. */
static bool task_unavailable(const struct task *task, uint64_t now)
{
	const struct run *run;

	DL_FOREACH2(task->runs, run, task_next)
	if (run_is_available(run) && run->speed_percent == 100 &&
	    !may_be_stopping(run) && reported_recently(run->instance, now))
		return false;
	return true;
}

/* Whether the task may be stopped within the disruption budget. */
bool task_may_stop(const struct task *task, uint64_t now)
{
	const struct step *step = task->step;
	uint32_t unavailable = 0;
	uint32_t t;

	if (!step->spec->may_miss)
		return true;
	for (t = 0; t < step->spec->count; t++)
		if (&step->tasks[t] != task &&
		    task_unavailable(&step->tasks[t], now))
			unavailable++;
	return unavailable < step->spec->may_miss;
}

void sched_evacuate(struct sched *s, instance_handle_t h, bool graceful,
		    uint64_t now)
{
	struct instance *i = instance_of(s, h);
	struct run *run;

	if (!i)
		return;
	DL_FOREACH(i->runs, run)
	{
		if (run->state != RUN_RUNNING)
			continue;
		if (!run->task->step->spec->lasting && graceful)
			continue;
		if (!task_may_stop(run->task, now))
			continue;
		run_stop(s, run);
	}
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
