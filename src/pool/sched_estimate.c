/*
 * sched_estimate - run times of tasks, corrected by those observed
 *
 * Designed for declared run times that are off by up to 90%, differently in
 * each queue, and for a few instances that are slow or far from a task's data.
 * Each queue learns the logarithm of the ratio of real to declared run time, as
 * a running mean and a running mean of the absolute deviation. A single run
 * moves the mean by a bounded amount, so a slow instance counts by the number
 * of its runs and not by how slow it is. Sums over tasks, such as waiting work,
 * use the ratio of the sums of real and declared run times instead: errors that
 * cancel out in a sum must not change it. Nothing is stored: after a takeover
 * the declared run times apply until enough runs have ended.
 */
#include <inttypes.h>
#include <math.h>

#include "pool/sched_internal.h"

#define RUNS_MIN 8u		 /* runs observed before they count */
#define RATIO_MAX 16.0		 /* ratios are kept within this and 1 / this */
#define SMOOTHING_MIN (1.0 / 32) /* weight of a run once many are known */
#define SUM_SMOOTHING_MIN (1.0 / 128) /* the same of the sums */
/* A run moves the mean by at most that many deviations x its weight */
#define OUTLIER_DEVIATIONS 2.0
#define DEVIATION_MIN 0.05 /* lets the mean follow when all runs were alike */
/* The bound covers about nine runs in ten of a normal distribution */
#define BOUND_DEVIATIONS 1.6
#define BOUND_UNKNOWN 3.0 /* x declared run time, before RUNS_MIN */
#define LOGGED_CHANGE 0.2 /* of the mean since the last line about it */

/*
 * A smaller correction of sums is not applied: ends are noticed some
 * milliseconds late, and a ratio of 1.02 made a pool that is just full refuse
 * 4 of 278 jobs (share_test).
 */
#define RATIO_CHANGE_MIN 0.1

/* A run past its estimate is expected to last for this part of its age. */
#define OVERDUE_PART 0.25
#define OVERDUE_MIN_MS 20u
/* After its bound x this, nothing is known: it may be stuck */
#define OVERDUE_MAX 4u

static double clamp(double value, double low, double high)
{
	return value < low ? low : value > high ? high : value;
}

static bool is_known(const struct queue_count *q)
{
	return q->estimate.runs >= RUNS_MIN;
}

double estimate_ratio(const struct queue_count *q)
{
	double ratio = is_known(q) ? q->estimate.sum_ratio : 1;

	return fabs(ratio - 1) < RATIO_CHANGE_MIN ? 1 : ratio;
}

uint64_t estimate_scaled_ms(const Fleet__Step *spec, double ratio)
{
	double ms = (double)step_estimate_ms(spec) * ratio;

	return ms < 1 ? 1 : (uint64_t)ms;
}

uint64_t estimate_ms(const struct queue_count *q, const Fleet__Step *spec)
{
	return estimate_scaled_ms(spec, is_known(q) ? q->estimate.ratio : 1);
}

uint64_t estimate_bound_ms(const struct queue_count *q, const Fleet__Step *spec)
{
	return estimate_scaled_ms(spec, is_known(q) ? q->estimate.bound
						    : BOUND_UNKNOWN);
}

static void log_change(struct sched *s, struct queue_count *q)
{
	struct estimate *e = &q->estimate;

	if (!is_known(q) || fabs(e->mean - e->logged) < LOGGED_CHANGE)
		return;
	e->logged = e->mean;
	sched_trace(s, "estimate", q->name,
		    "\"ratio\":%.3f,\"sum_ratio\":%.3f,\"deviation\":%.3f,"
		    "\"runs\":%" PRIu64,
		    e->ratio, e->sum_ratio, e->deviation, e->runs);
}

/* Adds a run whose ratio, without what outliers exceed, has that logarithm. */
static void add_to_sums(struct estimate *e, uint64_t declared_ms, double x)
{
	double weight = 1.0 / (double)(e->runs + 1);
	double real_ms = (double)declared_ms * exp(x);

	if (weight < SUM_SMOOTHING_MIN)
		weight = SUM_SMOOTHING_MIN;
	e->declared_ms += weight * ((double)declared_ms - e->declared_ms);
	e->real_ms += weight * (real_ms - e->real_ms);
	e->sum_ratio =
		clamp(e->real_ms / e->declared_ms, 1 / RATIO_MAX, RATIO_MAX);
}

void estimate_observe(struct sched *s, struct queue_count *q,
		      uint64_t declared_ms, uint64_t ran_ms)
{
	struct estimate *e = &q->estimate;
	struct sched_queue_stats *stats = queue_stats(s, q->name);
	double x = log((double)(ran_ms ? ran_ms : 1) / (double)declared_ms);
	double weight = 1.0 / (double)(e->runs + 1);
	double before, off;

	x = clamp(x, -log(RATIO_MAX), log(RATIO_MAX));
	off = x - e->mean;
	before = e->mean;
	if (weight < SMOOTHING_MIN)
		weight = SMOOTHING_MIN;
	if (is_known(q)) {
		double most = OUTLIER_DEVIATIONS * e->deviation;

		off = clamp(off, -most, most);
	}
	e->mean += weight * off;
	if (e->runs)
		e->deviation += weight * (fabs(off) - e->deviation);
	if (e->deviation < DEVIATION_MIN)
		e->deviation = DEVIATION_MIN;
	e->ratio = exp(e->mean);
	add_to_sums(e, declared_ms, before + off);
	e->bound = exp(e->mean + BOUND_DEVIATIONS * e->deviation);
	e->runs++;
	stats->estimate_runs = e->runs;
	stats->estimate_ratio = estimate_ratio(q);
	log_change(s, q);
}

/*
 * Not observed: a run whose beginning isn't known, one that continued from a
 * checkpoint, and one that is far from its data.
 */
void estimate_run_done(struct sched *s, const struct run *run, uint64_t now)
{
	const struct step *step = run->task->step;

	if (!run->timed || step->spec->lasting ||
	    (*step->spec->near_rack &&
	     step_rack_preference(step, run->instance) <= 0))
		return;
	estimate_observe(s, step->job->queue_count,
			 step_estimate_ms(step->spec),
			 now - run->running_since_ms);
}

uint64_t step_bound_end_ms(const struct step *step, uint64_t now)
{
	if (step->spec->lasting)
		return UINT64_MAX;
	return now + estimate_bound_ms(step->job->queue_count, step->spec);
}

uint64_t run_expected_end_ms(const struct run *run, uint64_t now)
{
	const struct step *step = run->task->step;
	const struct queue_count *q = step->job->queue_count;
	uint64_t begun, end, soon;

	if (step->spec->lasting)
		return UINT64_MAX;
	begun = run->running_since_ms ? run->running_since_ms : run->created_ms;
	if (begun > now)
		begun = now;
	soon = now + OVERDUE_MIN_MS +
	       (uint64_t)(OVERDUE_PART * (double)(now - begun));
	if (run->state == RUN_STOPPING)
		return now + OVERDUE_MIN_MS;
	if (now - begun > OVERDUE_MAX * estimate_bound_ms(q, step->spec))
		return UINT64_MAX;
	end = begun + estimate_ms(q, step->spec);
	return end > soon ? end : soon;
}
