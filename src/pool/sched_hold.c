/*
 * sched_hold - places that are held for long-running tasks
 *
 * Designed for waves of maintenance in pools whose instances are full of
 * long-running tasks: a task is stopped only after room on another instance has
 * been found for it. Until it starts there the room counts as used, so that no
 * other task takes it, and once its run has ended its request counts towards
 * the cap of its workspace. A hold ends when its task is next placed, wherever
 * that is, when the task needs no place any more, or with its instance.
 */
#include <assert.h>
#include <inttypes.h>

#include "pool/sched_internal.h"

/* From the end of a run that was stopped for a drain until the next stop */
#define RELOCATION_PAUSE_MS 5000u

struct hold {
	struct task *task;
	struct instance *instance;
	struct amount amount;
	struct workspace *workspace; /* NULL: none */
	struct amount requested;
	bool in_cap; /* requested is counted in workspace.held */
	uint64_t made_ms;
	bool asked;		  /* instance_ask() was called for it */
	struct hold *prev, *next; /* in instance.holds */
};

static void hold_set_in_cap(struct hold *h, bool in_cap)
{
	if (!h->workspace || h->in_cap == in_cap)
		return;
	h->in_cap = in_cap;
	if (in_cap)
		amount_add(&h->workspace->held, &h->requested);
	else
		amount_sub(&h->workspace->held, &h->requested);
}

void hold_update_cap(struct task *task)
{
	if (task->hold)
		hold_set_in_cap(task->hold, !task->runs);
}

/* Unlinks a hold, also one that is freed with the steps of its job. */
static int hold_unlink(struct hold *h)
{
	struct instance *i = h->instance;

	hold_set_in_cap(h, false);
	DL_DELETE(i->holds, h);
	i->hold_count--;
	i->pool->hold_count--;
	amount_sub(&i->used, &h->amount);
	h->task->step->held--;
	h->task->hold = NULL;
	return 0;
}

void hold_release(struct task *task)
{
	talloc_free(task->hold);
}

void step_release_holds(struct step *step)
{
	uint32_t t;

	for (t = 0; step->held && t < step->spec->count; t++)
		hold_release(&step->tasks[t]);
}

void step_release_unneeded(struct step *step)
{
	const bool none = job_is_over(step->job) || step->job->set_aside;
	uint32_t t;

	for (t = 0; step->held && t < step->spec->count; t++)
		if (none || step->tasks[t].done)
			hold_release(&step->tasks[t]);
}

void holds_release_on(struct instance *i)
{
	while (i->holds)
		talloc_free(i->holds);
}

struct instance *hold_instance(const struct task *task)
{
	return task->hold ? task->hold->instance : NULL;
}

bool hold_is_answered(const struct task *task)
{
	return task->hold->instance->report_sent_ms >= task->hold->made_ms;
}

uint32_t step_holds_on(const struct instance *i, const struct step *step)
{
	const struct hold *h;
	uint32_t count = 0;

	DL_FOREACH(i->holds, h)
	count += h->task->step == step;
	return count;
}

/* The hold is freed with the step's tasks, if not before. */
static void hold_make(struct task *task, struct instance *i, uint64_t now)
{
	const Fleet__Step *spec = task->step->spec;
	struct hold *h = talloc_zero(task->step->tasks, struct hold);

	assert(h);
	h->task = task;
	h->instance = i;
	h->amount = step_amount(spec);
	h->workspace = task->step->job->workspace;
	h->requested = (struct amount){ spec->cpu, spec->mem, spec->gpu };
	h->made_ms = now;
	DL_APPEND(i->holds, h);
	i->hold_count++;
	i->pool->hold_count++;
	amount_add(&i->used, &h->amount);
	task->step->held++;
	task->hold = h;
	hold_update_cap(task);
	talloc_set_destructor(h, hold_unlink);
}

bool hold_place(struct sched *s, struct task *task, uint64_t now)
{
	struct instance *i;

	if (task->hold && instance_usable(s, task->hold->instance, now))
		return true;
	hold_release(task);
	i = choose_held_instance(s, task, now);
	if (!i)
		return false;
	hold_make(task, i, now);
	return true;
}

void hold_ask(struct sched *s, const struct task *task, uint64_t now)
{
	struct hold *h = task->hold;

	if (!h || h->asked)
		return;
	h->asked = true;
	instance_ask(s, h->instance, now);
}

/* Whether the task may be stopped for a drain, if there is another place. */
static bool may_relocate(const struct run *run, uint64_t now)
{
	const struct task *task = run->task;

	/* A loaded job's task starts again once all instances have reported. */
	return run->state == RUN_RUNNING && !task->step->job->loaded &&
	       task_may_stop(task, now) &&
	       (!task->relocated_ms ||
		now - task->relocated_ms >= RELOCATION_PAUSE_MS);
}

static bool may_relocate_all(const struct instance *i, uint64_t now)
{
	const struct run *run;

	DL_FOREACH(i->runs, run)
	if (run->task->step->spec->lasting && !may_relocate(run, now))
		return false;
	return true;
}

enum sched_places sched_hold_places(struct sched *s, instance_handle_t h,
				    bool want, uint64_t now)
{
	struct instance *i = instance_of(s, h);
	struct run *run;

	if (!i || i->hold_count || s->starts_held || !may_relocate_all(i, now))
		return PLACES_NOT_NOW;
	DL_FOREACH(i->runs, run)
	{
		if (!run->task->step->spec->lasting ||
		    hold_place(s, run->task, now))
			continue;
		if (want)
			want_place(s, i, run->task, now);
		sched_release_places(s, h);
		return PLACES_NONE;
	}
	DL_FOREACH(i->runs, run)
	hold_ask(s, run->task, now);
	return PLACES_HELD;
}

void sched_release_places(struct sched *s, instance_handle_t h)
{
	struct instance *i = instance_of(s, h);
	struct run *run;

	if (!i)
		return;
	DL_FOREACH(i->runs, run)
	if (run->state != RUN_STOPPING)
		hold_release(run->task);
}

bool sched_places_are_held(const struct sched *s, instance_handle_t h)
{
	const struct instance *i = instance_of(s, h);
	const struct run *run;

	if (!i)
		return true;
	DL_FOREACH(i->runs, run)
	if (run->task->step->spec->lasting && run->state != RUN_STOPPING &&
	    !run->task->hold)
		return false;
	return true;
}

/* Whether all its tasks of the step may be away at once. */
static bool budget_covers(const struct instance *i, const struct step *step,
			  uint64_t now)
{
	const struct run *run;
	uint32_t tasks = 0;

	if (!step->spec->may_miss)
		return true;
	DL_FOREACH(i->runs, run)
	tasks += run->task->step == step;
	return tasks + step_unavailable(step, now) <= step->spec->may_miss;
}

bool sched_may_empty(const struct sched *s, instance_handle_t h, uint64_t now)
{
	const struct instance *i = instance_of(s, h);
	const struct run *run;

	if (!i || i->evacuated || i->hold_count || i->unacked_count ||
	    !may_relocate_all(i, now) || instance_is_waited_for(s, i))
		return false;
	DL_FOREACH(i->runs, run)
	if (!run->task->step->spec->lasting ||
	    !budget_covers(i, run->task->step, now))
		return false;
	return true;
}

static bool would_fit(const struct instance *i, const struct hold *h,
		      const struct amount *a)
{
	struct amount beside = i->capacity;

	amount_sub(&beside, &i->used);
	amount_add(&beside, &h->amount);
	return amount_covers(&beside, a);
}

void holds_yield(const struct step *step)
{
	const struct amount a = step_amount(step->spec);
	struct instance *i;
	struct hold *h;

	if (!step->job->pool->hold_count)
		return;
	DL_FOREACH2(step->job->pool->instances, i, pool_next)
	DL_FOREACH(i->holds, h)
	if (h->task->runs && h->task->runs->state != RUN_STOPPING &&
	    would_fit(i, h, &a)) {
		talloc_free(h);
		return;
	}
}
