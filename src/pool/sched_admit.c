/*
 * sched_admit - estimates of jobs, their admission
 *
 * Designed for queues that demand several times the capacity of their pool for
 * some seconds: a job that the backlog makes worthless is refused when it is
 * submitted, so that its caller learns at once that it will not run.
 */
#include "pool/sched_internal.h"

/*
 * Part of its slack that a job surely in time waits at most: run times are up
 * to twice the estimates
 */
#define SURE_PART 0.5
#define LATE_FACTOR 3.0 /* x objective: later, a job is worth nothing */

/* Estimates */

/* Returns the longest sum of estimates along a path through the steps. */
static uint64_t critical_path_ms(const Fleet__JobRow *row)
{
	uint64_t ends[row->n_steps ? row->n_steps : 1];
	uint64_t longest = 0;
	size_t i, a;

	for (i = 0; i < row->n_steps; i++) {
		uint64_t begin = 0;

		for (a = 0; a < row->steps[i]->n_after; a++)
			if (ends[row->steps[i]->after[a]] > begin)
				begin = ends[row->steps[i]->after[a]];
		ends[i] = begin + step_estimate_ms(row->steps[i]);
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

void job_estimate(struct job *job)
{
	const struct config_queue *q = job->queue_config;
	size_t i;

	job->critical_path_ms = critical_path_ms(job->row);
	job->work = 0;
	for (i = 0; i < job->row->n_steps; i++) {
		const Fleet__Step *st = job->row->steps[i];

		if (!st->lasting)
			job->work += (uint64_t)st->count * st->cpu *
				     step_estimate_ms(st);
	}
	job->objective_ms = job->accepted_ms + (q ? q->objective_slack_ms : 0) +
			    (uint64_t)((q ? q->objective_factor : 1.0) *
				       (double)job->critical_path_ms);
}

bool job_is_worthless(const struct job *job, uint64_t now)
{
	double objective = (double)(job->objective_ms - job->accepted_ms);

	return job->work && !job->row->times &&
	       (double)(now - job->accepted_ms) > LATE_FACTOR * objective;
}

/* Admission */

/*
 * Whether an instance of the pool, however busy, could run the step. Instances
 * of evacuated zones run nothing that is new. A pool without instances may get
 * some that could.
 */
static enum sched_refusal could_ever_run(const struct pool *pool,
					 const Fleet__Step *spec)
{
	enum sched_refusal refusal = REFUSAL_UNFIT;
	const struct instance *i;

	if (!pool->instances)
		return REFUSAL_NONE;
	DL_FOREACH2(pool->instances, i, pool_next)
	{
		if (!instance_could_run(i, spec))
			continue;
		if (!i->evacuated)
			return REFUSAL_NONE;
		refusal = REFUSAL_EVACUATED;
	}
	return refusal;
}

/* Whether the jobs, with the one to be admitted, take too much memory. */
static bool memory_is_short(const struct sched *s)
{
	return s->options.job_bytes_max &&
	       s->job_bytes > s->options.job_bytes_max;
}

/*
 * Not spread: the time grows with each refusal, and callers who come later than
 * that are late (overload_test: 0.209 of the jobs in time instead of 0.226 with
 * two fifths of the processor that the load needs).
 */
static uint32_t clamp_retry_ms(double ms)
{
	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t)ms;
}

/*
 * The backlog counts late work, as it did when the job was accepted. But late
 * work goes after other work: a job that will be in time doesn't wait for it.
 */
static bool backlog_allows(const struct job *job, const struct share_view *v,
			   bool late, uint64_t now)
{
	uint64_t objective = job->objective_ms - job->accepted_ms;
	double slack = (double)job->objective_ms - (double)now -
		       (double)job->critical_path_ms;

	if (sched_backlog_ms(job->pool, now) <=
	    (uint64_t)(LATE_FACTOR * (double)objective))
		return true;
	return !late && v->level_backlog_ms < SURE_PART * slack;
}

/*
 * Returns 0 to accept a job, else the milliseconds to retry after. A job is
 * refused if no instance, outside of evacuated zones, could run one of its
 * steps, if the unfinished jobs take too much memory, if the backlog of its
 * pool alone would make it so late that it is worth nothing, if its workspace
 * is above its share of a pool that is too full, or if the leader could not
 * start it in time. Late work of a pool is done between two peaks of its
 * demand; the leader serves all pools, so its own late work would make other
 * work late.
 */
uint32_t sched_retry_after(const struct sched *s, const struct job *job,
			   enum sched_refusal *reason, uint64_t now)
{
	struct share_view v;
	bool late = (double)(now + job->critical_path_ms) +
			    pace_delay_ms(s, (uint32_t)job->row->n_steps) >
		    (double)job->objective_ms;
	size_t i;

	for (i = 0; i < job->row->n_steps; i++) {
		*reason = could_ever_run(job->pool, job->row->steps[i]);
		if (*reason != REFUSAL_NONE)
			return RETRY_AFTER_MAX_MS;
	}
	*reason = job->set_aside ? REFUSAL_SET_ASIDE : REFUSAL_MEMORY;
	if (job->set_aside || memory_is_short(s))
		return RETRY_AFTER_MAX_MS;
	*reason = REFUSAL_NONE;
	if (!job->demand)
		return 0;
	share_view(s, job, &v, now);
	*reason = backlog_allows(job, &v, late, now) ? share_allows(&v)
						     : REFUSAL_BACKLOG;
	if (*reason != REFUSAL_NONE)
		return share_retry_ms(job, v.own_backlog_ms - v.room_ms);
	if (pace_allows(s, job, late))
		return 0;
	*reason = REFUSAL_LEADER;
	return clamp_retry_ms(pace_retry_ms(s));
}
