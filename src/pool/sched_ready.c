/*
 * sched_ready - steps with startable tasks, in the order of their placement
 *
 * Designed for thousands of waiting steps. Time changes the ranks of steps in
 * time alike, so their order holds for a while; a step that becomes ready is
 * put into its place. All steps of a pool are ranked again so often that this
 * takes a bounded part of the leader's time, however many they are.
 */
#include "pool/sched_internal.h"

/* Rank of a step: its slack in ms with these added; lowest first */
#define RANK_PRIORITY 1e12	 /* per level: above everything else */
#define RANK_LATE 1e9		 /* late work goes after work in time */
#define RANK_WORTHLESS 2e9	 /* and work worth nothing after that */
#define RANK_LONG_RUNNING -1e9	 /* go first: they answer live requests */
#define RANK_FILLER 1e8		 /* added for those that fill idle CPU */
#define RANK_UNAVAILABLE_MAX 1e7 /* subtracted: ms without a run that works */
#define STARTED_BONUS_MS 1500.0	 /* subtracted for a started job */
#define SHARE_PENALTY_MS 300.0	 /* added for a workspace at twice its share */
/* The same by unfinished work in the pool, for a job that has not started */
#define WORK_PENALTY_MS 300.0

/*
 * Late work is held for this long after a takeover or an outage of the store:
 * callers who got no answer or were refused come again after 1 s.
 */
#define LATE_HELD_MS 2000u
#define LATE_HELD_MIN_MS 250u /* less late work of a pool isn't held */
/* Between two holds: outages that follow each other don't hold it for ever */
#define LATE_FREE_MS 1000u

#define WORK_PER_CORE_S 1e6 /* millicores x ms in a second of one core */

/* Steps of one pool that are ranked per ms */
#define RANKED_PER_MS 10u
/* Longest time between two rankings; ranks are off by at most this */
#define RANK_INTERVAL_MAX_MS 250u

/* Ready steps */

static bool is_startable(const struct task *t)
{
	return !t->done && !t->runs && !t->possibly_running;
}

static void pool_add(struct pool *pool, struct step *step)
{
	DL_APPEND(pool->ready, step);
	if (!pool->unranked)
		pool->unranked = step;
	pool->ready_count++;
	pool->long_ready += step->spec->lasting;
	step->queued = true;
}

static void pool_remove(struct pool *pool, struct step *step)
{
	if (pool->unranked == step)
		pool->unranked = step->next;
	if (pool->untried == step)
		pool->untried = step->next;
	reserve_forget(pool, step);
	DL_DELETE(pool->ready, step);
	pool->ready_count--;
	pool->long_ready -= step->spec->lasting;
	step->queued = false;
}

/* Of its startable tasks, in millicores x ms. */
static uint64_t waiting_work(const struct step *step)
{
	if (step->spec->lasting)
		return 0;
	return (uint64_t)step->startable * step->spec->cpu *
	       estimate_scaled_ms(step->spec,
				  estimate_ratio(step->job->queue_count));
}

/* What was added is kept: the estimate may change before it is subtracted. */
static void set_startable(struct step *step, uint32_t startable)
{
	struct pool *pool = step->job->pool;

	pool->waiting_work -= step->waiting_work;
	pool->startable -= step->startable;
	step->startable = startable;
	step->waiting_work = waiting_work(step);
	pool->waiting_work += step->waiting_work;
	share_count_step(step);
	pool->startable += startable;
}

/* Keeps a step in its pool's ready list while it has startable tasks. */
void step_refresh(struct step *step)
{
	struct job *job = step->job;
	uint32_t startable = 0;
	uint32_t i;

	if (step->ready && !job_is_over(job) && !job->set_aside)
		for (i = 0; i < step->spec->count; i++)
			startable += is_startable(&step->tasks[i]);
	set_startable(step, startable);
	if (step->held)
		step_release_unneeded(step);
	if (startable && !step->queued)
		pool_add(job->pool, step);
	else if (!startable && step->queued)
		pool_remove(job->pool, step);
}

void step_leave_pool(struct step *step)
{
	step_release_holds(step);
	set_startable(step, 0);
	if (step->queued)
		pool_remove(step->job->pool, step);
}

/* Estimates */

uint64_t step_estimate_ms(const Fleet__Step *spec)
{
	return spec->estimate_ms ? spec->estimate_ms : DEFAULT_ESTIMATE_MS;
}

/* The job's critical path without the completed steps before this one. */
static uint64_t remaining_path_ms(const struct step *step)
{
	const Fleet__JobRow *row = step->job->row;
	uint64_t done = 0;
	size_t i;

	for (i = 0; i < step->index; i++)
		if (!step->in->steps[i].tasks_left)
			done += estimate_scaled_ms(row->steps[i],
						   step->job->estimate_ratio);
	return step->job->critical_path_ms > done
		       ? step->job->critical_path_ms - done
		       : 0;
}

/* Order of steps */

/* CPU in use and weights of all workspaces. */
struct shares {
	double in_use;
	double weights;
	struct share_sums work; /* in the pool */
};

static struct shares sum_shares(const struct sched *s, const struct pool *pool)
{
	struct shares sum = { 0, 0, share_sums(pool) };
	const struct workspace *w;

	for (w = s->workspaces; w; w = w->hh.next) {
		if (!w->config)
			continue;
		sum.in_use += (double)w->used.cpu;
		sum.weights += w->config->weight;
	}
	return sum;
}

/*
 * How far a workspace is above its share of the CPU in use, relative to the
 * share: 0 at its share, -1 with nothing in use.
 */
static double above_share(const struct shares *sum, const struct workspace *w)
{
	double above;

	if (!w || !w->config || !w->config->weight || sum->in_use <= 0)
		return 0;
	above = (double)w->used.cpu / sum->in_use * sum->weights /
			w->config->weight -
		1;
	return above > SHARE_ABOVE_MAX ? SHARE_ABOVE_MAX : above;
}

/* Steps from this one to the end of its job, one after the other. */
static uint32_t steps_left(const struct step *step)
{
	return (uint32_t)step->job->row->n_steps - step->index;
}

/* Not while little waits: the order of work that is in time costs some of it.
 */
static double work_penalty_ms(const struct shares *sum, const struct job *job)
{
	double ms = sum->work.backlog_ms;

	if (ms > WORK_PENALTY_MS)
		ms = WORK_PENALTY_MS;
	return ms * share_above(&sum->work, job);
}

uint64_t task_unavailable_since(const struct sched *s, const struct task *task)
{
	const uint64_t accepted_ms = task->step->job->accepted_ms;

	if (task->unavailable_since_ms)
		return task->unavailable_since_ms;
	return accepted_ms > s->leader_since_ms ? accepted_ms
						: s->leader_since_ms;
}

/* Of the task of a long-running step that has waited for longest. */
static double unavailable_ms(const struct sched *s, const struct step *step,
			     uint64_t now)
{
	uint64_t since = now;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++) {
		const struct task *task = &step->tasks[t];

		if (is_startable(task) &&
		    task_unavailable_since(s, task) < since)
			since = task_unavailable_since(s, task);
	}
	return now - since < RANK_UNAVAILABLE_MAX ? (double)(now - since)
						  : RANK_UNAVAILABLE_MAX;
}

static void step_rank(const struct sched *s, const struct shares *sum,
		      struct step *step, uint64_t now)
{
	const struct job *job = step->job;
	const struct config_queue *q = job->queue_config;
	double slack;

	step->rank = q ? q->priority * RANK_PRIORITY : 0;
	if (step->spec->lasting) {
		step->rank += RANK_LONG_RUNNING +
			      (step->spec->filler ? RANK_FILLER : 0) -
			      unavailable_ms(s, step, now);
		return;
	}
	slack = (double)job->objective_ms - (double)now -
		(double)remaining_path_ms(step) -
		pace_delay_ms(s, steps_left(step));
	step->late = slack < 0;
	share_count_step(step);
	if (slack < 0)
		step->rank += (job_is_worthless(job, now) ? RANK_WORTHLESS
							  : RANK_LATE) +
			      (double)job->work / WORK_PER_CORE_S;
	else
		step->rank +=
			slack - (job->started ? STARTED_BONUS_MS : 0) +
			SHARE_PENALTY_MS * above_share(sum, job->workspace) +
			(job->started ? 0 : work_penalty_ms(sum, job));
}

static int by_rank(const struct step *a, const struct step *b)
{
	return a->rank < b->rank ? -1 : a->rank > b->rank;
}

/* Ranks the steps that became ready; late ones stay at the end till later. */
static void insert_unranked(const struct sched *s, struct pool *pool,
			    uint64_t now)
{
	const struct shares sum = sum_shares(s, pool);
	struct step *step, *next;

	for (step = pool->unranked; step; step = next) {
		struct step *before;

		next = step->next;
		step_rank(s, &sum, step, now);
		if (step->late)
			continue;
		for (before = pool->ready; before != step;
		     before = before->next)
			if (before->rank > step->rank)
				break;
		if (before == step)
			continue;
		DL_DELETE(pool->ready, step);
		DL_PREPEND_ELEM(pool->ready, before, step);
	}
	pool->unranked = NULL;
}

/* Ranks all steps; returns whether they are in order. */
static bool rank_all(const struct sched *s, struct pool *pool, uint64_t now)
{
	const struct shares sum = sum_shares(s, pool);
	const struct step *last = NULL;
	struct step *step;
	bool in_order = true;

	DL_FOREACH(pool->ready, step)
	{
		step_rank(s, &sum, step, now);
		in_order = in_order && (!last || last->rank <= step->rank);
		last = step;
	}
	return in_order;
}

void late_hold(struct sched *s, uint64_t now)
{
	if (s->late_held_until_ms && now < s->late_held_until_ms + LATE_FREE_MS)
		return;
	s->late_held_until_ms = now + LATE_HELD_MS;
}

bool late_is_held(const struct sched *s, struct pool *pool, uint64_t now)
{
	struct amount capacity, used;

	if (now >= s->late_held_until_ms)
		return false;
	pool_amounts(pool, now, &capacity, &used);
	return pool->late_work > LATE_HELD_MIN_MS * (uint64_t)capacity.cpu;
}

void pool_order(const struct sched *s, struct pool *pool, uint64_t now)
{
	uint64_t interval_ms = pool->ready_count / RANKED_PER_MS;

	if (now < pool->next_ranking_ms) {
		if (pool->unranked)
			insert_unranked(s, pool, now);
		return;
	}
	if (interval_ms > RANK_INTERVAL_MAX_MS)
		interval_ms = RANK_INTERVAL_MAX_MS;
	pool->next_ranking_ms = now + interval_ms;
	if (!rank_all(s, pool, now))
		DL_SORT(pool->ready, by_rank);
	pool->unranked = NULL;
}
