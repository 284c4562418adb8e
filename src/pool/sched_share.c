/*
 * sched_share - shares of workspaces in the work that a pool has accepted
 *
 * Designed for a workspace that submits many times its usual load beside quiet
 * ones. Each pool counts the unfinished work of its workspaces. While more work
 * waits than a pool completes in time, a workspace may hold what weighted
 * max-min fairness gives it of the work that would be in time.
 *
 * With d the unfinished work of a workspace, w its weight and L what the pool
 * may hold, water-filling gives a workspace that wants more than d at least d
 * exactly if the others, each cut to its part at the level d / w, leave room:
 * d + sum of min(d_i, w_i * d / w) < L. So a submission takes one sum over the
 * workspaces with unfinished jobs in the pool, and only while it is scarce.
 */
#include <assert.h>
#include <string.h>
#include <xxhash.h>

#include "pool/sched_internal.h"

/*
 * Parts of the time that a job may wait: a pool is scarce from this backlog on;
 * most that waits of a workspace, for jobs within its rate and for others, so
 * that jobs within the rate go before these
 */
#define SCARCE_PART 0.3
#define RATE_PART 0.75
#define EXCESS_PART 0.5

/*
 * Time of a move of a machine. A burst that is answered by moves refuses
 * nobody: the backlog counts by its least value within one to two windows.
 */
#define LOW_WINDOW_MS 1000u

#define RATE_WINDOW_MS 1000u /* weight is in jobs a second */
#define WEIGHT_DEFAULT 1u    /* of calls without a key, removed workspaces */

/*
 * Callers get whole seconds, rounded up. A spread of 1 s reaches two of these,
 * a spread of 2 s up to the longest time three.
 */
#define SPREAD_MIN_MS 1000u
#define SPREAD_LAST_MS 2000u

/* Demands */

static double weight_of(const struct demand *d)
{
	const struct config_workspace *c =
		d->workspace ? d->workspace->config : NULL;

	return c && c->weight ? c->weight : WEIGHT_DEFAULT;
}

/* Unfinished work that can still be in time. */
static double work_in_time(const struct demand *d)
{
	return d->work > d->late ? (double)(d->work - d->late) : 0;
}

static struct demand *demand_new(struct sched *s, struct pool *pool,
				 struct workspace *workspace)
{
	struct demand *d = talloc_zero(s, struct demand);

	assert(d);
	d->pool = pool;
	d->workspace = workspace;
	return d;
}

static struct demand *demand_of(struct sched *s, struct pool *pool,
				struct workspace *w)
{
	struct demand *d;

	if (!w) {
		if (!pool->anonymous)
			pool->anonymous = demand_new(s, pool, NULL);
		return pool->anonymous;
	}
	for (d = w->demands; d; d = d->next)
		if (d->pool == pool)
			return d;
	d = demand_new(s, pool, w);
	d->next = w->demands;
	w->demands = d;
	return d;
}

/* Work of the tasks that are not done. */
static uint64_t remaining_work(const struct job *job)
{
	const struct occurrence *o = job->occurrences;
	uint64_t work = 0;
	size_t i;

	if (!o)
		return job->work;
	for (i = 0; i < job->row->n_steps; i++) {
		const Fleet__Step *spec = job->row->steps[i];

		if (!spec->lasting)
			work += (uint64_t)o->steps[i].tasks_left * spec->cpu *
				estimate_scaled_ms(spec, job->estimate_ratio);
	}
	return work;
}

void share_count(struct job *job, bool counted)
{
	struct demand *d = job->demand;

	if (!d || counted == job->in_demand || (counted && job->set_aside))
		return;
	job->in_demand = counted;
	if (counted) {
		job->demand_work = remaining_work(job);
		d->work += job->demand_work;
		if (!d->jobs++)
			DL_APPEND2(d->pool->demands, d, pool_prev, pool_next);
		return;
	}
	d->work -= job->demand_work;
	job->demand_work = 0;
	if (!--d->jobs)
		DL_DELETE2(d->pool->demands, d, pool_prev, pool_next);
}

/* Jobs that repeat are never refused for the load. */
void share_join(struct sched *s, struct job *job)
{
	bool counted = job->in_demand;

	if (!job->work || job->row->times)
		return;
	share_count(job, false);
	if (job->demand)
		job->demand->cpu -= job->demand_cpu;
	job->demand = demand_of(s, job->pool, job->workspace);
	job->demand->cpu += job->demand_cpu;
	share_count(job, counted);
}

/* The estimate may have changed since: no more is taken off than was added. */
void share_tasks_done(const struct step *step, uint32_t tasks)
{
	struct job *job = step->job;
	uint64_t work = (uint64_t)tasks * step->spec->cpu *
			estimate_scaled_ms(step->spec, job->estimate_ratio);

	if (!job->in_demand || step->spec->lasting)
		return;
	if (work > job->demand_work)
		work = job->demand_work;
	job->demand_work -= work;
	job->demand->work -= work;
}

void share_count_step(struct step *step)
{
	struct job *job = step->job;
	uint64_t work = step->waiting_work;
	uint64_t late = step->late ? work : 0;

	job->pool->late_work += late - step->late_work;
	if (job->demand) {
		job->demand->waiting += work - step->counted_work;
		job->demand->late += late - step->late_work;
	}
	step->counted_work = work;
	step->late_work = late;
}

void share_count_run(const struct step *step, bool begins)
{
	struct job *job = step->job;
	int64_t cpu =
		begins ? (int64_t)step->spec->cpu : -(int64_t)step->spec->cpu;

	if (!job->demand || step->spec->lasting)
		return;
	job->demand_cpu += cpu;
	job->demand->cpu += cpu;
}

/* Rate of accepted jobs */

static struct accept_rate *rate_of(const struct demand *d)
{
	return d->workspace ? &d->workspace->accepted : &d->pool->accepted;
}

/* Jobs accepted in the last second, if those of a window came evenly. */
static double accepted_lately(const struct accept_rate *r, uint64_t now)
{
	uint64_t age = now - r->begun_ms;
	double previous;

	if (age >= 2 * RATE_WINDOW_MS)
		return 0;
	if (age >= RATE_WINDOW_MS)
		return r->count * (double)(2 * RATE_WINDOW_MS - age) /
		       RATE_WINDOW_MS;
	previous =
		r->previous * (double)(RATE_WINDOW_MS - age) / RATE_WINDOW_MS;
	return previous + r->count;
}

void share_count_accepted(struct job *job, uint64_t now)
{
	struct accept_rate *r;
	uint64_t age;

	if (!job->demand)
		return;
	r = rate_of(job->demand);
	age = now - r->begun_ms;
	if (age >= RATE_WINDOW_MS) {
		bool next = age < 2 * RATE_WINDOW_MS;

		r->previous = next ? r->count : 0;
		r->count = 0;
		r->begun_ms = next ? r->begun_ms + RATE_WINDOW_MS : now;
	}
	r->count++;
}

/* Backlog of a pool */

static uint64_t subtract(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

/* 0 without capacity: a machine may be on its way to an empty pool. */
static uint32_t work_to_ms(struct pool *pool, uint64_t work, uint64_t now)
{
	struct amount capacity, used;
	uint64_t ms;

	if (!work)
		return 0;
	pool_amounts(pool, now, &capacity, &used);
	if (capacity.cpu <= 0)
		return 0;
	ms = work / (uint64_t)capacity.cpu;
	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

/*
 * Late work counts: an overload that makes all of a workspace's work late would
 * not be seen otherwise.
 */
void share_sample(struct pool *pool, uint64_t now)
{
	struct backlog_low *low = &pool->low;
	uint32_t ms = work_to_ms(pool, pool->waiting_work, now);

	low->in_time = work_to_ms(
		pool, subtract(pool->waiting_work, pool->late_work), now);
	if (now - low->begun_ms >= LOW_WINDOW_MS) {
		low->previous = low->current;
		low->current = ms;
		low->begun_ms = now;
	}
	if (ms < low->current)
		low->current = ms;
}

static uint32_t backlog_low_ms(const struct pool *pool)
{
	const struct backlog_low *low = &pool->low;

	return low->previous < low->current ? low->previous : low->current;
}

/* Shares */

struct share_sums share_sums(const struct pool *pool)
{
	struct share_sums sums = { 0, 0, pool->low.in_time };
	const struct demand *d;

	DL_FOREACH2(pool->demands, d, pool_next)
	{
		sums.work += work_in_time(d);
		sums.weights += weight_of(d);
	}
	return sums;
}

double share_above(const struct share_sums *sums, const struct job *job)
{
	const struct demand *d = job->demand;
	double work, above;

	if (!d || !d->jobs || sums->work <= 0)
		return 0;
	work = work_in_time(d) - (double)job->demand_work;
	above = work > 0 ? work / sums->work * sums->weights / weight_of(d) - 1
			 : -1;
	return above > SHARE_ABOVE_MAX ? SHARE_ABOVE_MAX : above;
}

/* Work that others hold beyond their part at the level that the job leads to.
 */
static double others_excess(const struct demand *of, uint64_t job_work,
			    double *weights)
{
	const double level =
		(work_in_time(of) + (double)job_work) / weight_of(of);
	const struct demand *d;
	double excess = 0;

	*weights = weight_of(of);
	DL_FOREACH2(of->pool->demands, d, pool_next)
	{
		double above = work_in_time(d) - level * weight_of(d);

		if (d == of)
			continue;
		*weights += weight_of(d);
		if (above > 0)
			excess += above;
	}
	return excess;
}

/* The job's own startable tasks, which the pool counts as waiting. */
static uint64_t own_waiting_work(const struct job *job)
{
	const struct occurrence *o = job->occurrences;
	uint64_t work = 0;
	size_t i;

	for (i = 0; o && i < job->row->n_steps; i++)
		work += o->steps[i].waiting_work;
	return work;
}

static bool is_capped(const struct sched *s, const struct job *job)
{
	const struct occurrence *o = job->occurrences;
	size_t i;

	for (i = 0; o && i < job->row->n_steps; i++)
		if (!cap_allows(s, &o->steps[i], 1))
			return true;
	return false;
}

/*
 * What waits of a workspace goes on as fast as its tasks run now, and no slower
 * than its part of the CPU by weight: the others may go before the rest.
 */
static double own_backlog_ms(const struct demand *d, uint64_t work, double cpu,
			     double weights)
{
	double part = cpu * weight_of(d) / weights;

	return (double)work / ((double)d->cpu > part ? (double)d->cpu : part);
}

void share_view(const struct sched *s, const struct job *job,
		struct share_view *v, uint64_t now)
{
	struct pool *pool = job->pool;
	uint64_t job_work = own_waiting_work(job);
	uint64_t waiting = subtract(
		subtract(pool->waiting_work, pool->late_work), job_work);
	struct amount capacity, used;
	double cpu, weights;
	uint64_t own;

	memset(v, 0, sizeof(*v));
	pool_amounts(pool, now, &capacity, &used);
	v->room_ms = (double)(job->objective_ms - job->accepted_ms) -
		     (double)job->critical_path_ms;
	v->within_rate = accepted_lately(rate_of(job->demand), now) <
			 weight_of(job->demand);
	if (!waiting || capacity.cpu <= 0)
		return;
	cpu = (double)capacity.cpu;
	v->work_ms = work_in_time(job->demand) / cpu;
	v->backlog_ms = (double)waiting / cpu;
	own = subtract(subtract(job->demand->waiting, job->demand->late),
		       job_work);
	v->others_ms = (double)subtract(waiting, own) / cpu;
	v->capped = is_capped(s, job);
	v->backlog_low_ms = backlog_low_ms(pool);
	v->level_backlog_ms =
		v->backlog_ms -
		others_excess(job->demand, job->work, &weights) / cpu;
	if (v->level_backlog_ms < 0)
		v->level_backlog_ms = 0;
	v->own_backlog_ms = own_backlog_ms(job->demand, own, cpu, weights);
}

/*
 * What waits only because of a cap takes no capacity from anybody. Jobs without
 * slack are late whenever anything waits: there is no time to share.
 */
enum sched_refusal share_allows(const struct share_view *v)
{
	double part = v->within_rate ? RATE_PART : EXCESS_PART;
	double scarce_ms = SCARCE_PART * v->room_ms;
	double ms = v->own_backlog_ms > v->level_backlog_ms
			    ? v->own_backlog_ms
			    : v->level_backlog_ms;

	if (v->room_ms <= 0 || v->backlog_low_ms <= scarce_ms ||
	    v->level_backlog_ms <= scarce_ms || ms < part * v->room_ms ||
	    (v->capped && v->others_ms < scarce_ms))
		return REFUSAL_NONE;
	return ms < RATE_PART * v->room_ms ? REFUSAL_RATE : REFUSAL_SHARE;
}

uint32_t share_retry_ms(const struct job *job, double ms)
{
	uint32_t first = ms < RETRY_AFTER_MIN_MS   ? RETRY_AFTER_MIN_MS
			 : ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS
						   : (uint32_t)ms;
	uint32_t spread = first > SPREAD_MIN_MS ? first : SPREAD_MIN_MS;
	uint64_t hash = XXH64(job->id, strlen(job->id), 0);

	if (first + spread > RETRY_AFTER_MAX_MS) {
		if (first > RETRY_AFTER_MAX_MS - SPREAD_LAST_MS)
			first = RETRY_AFTER_MAX_MS - SPREAD_LAST_MS;
		spread = RETRY_AFTER_MAX_MS - first;
	}
	return first + 1 + (uint32_t)(hash % spread);
}
