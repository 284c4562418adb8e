/*
 * sched_pace - how many tasks a second the leader itself gets through
 *
 * Designed for a leader whose processor carries less than its callers ask and
 * its instances have room for. Each accepted job asks for its tasks within the
 * time of its critical path. The rate that the unfinished jobs ask for together
 * is limited. The limit falls while the leader is late in reading answers, and
 * rises while it is not; so it follows the processor, whatever that is and
 * whatever else it does. A job counts from its acceptance to its end, so what
 * was accepted and has not begun is not forgotten.
 */
#include <math.h>

#include "pool/sched_internal.h"

#define WINDOW_MS 100u /* between two changes of the limit */
#define BUSY_MIN 0.8   /* part of a window; less: the leader is not the limit */

#define DELAY_MAX_MS 80.0    /* of an answer to an order; normally 3 to 10 */
#define DELAY_SMOOTHING 0.05 /* weight of the newest answer */
#define DELAYS_PER_STEP 2.0  /* of a start's answer, of an end's report */

/* How long other nodes may repeat a state: a few turns of the leader's loop */
#define STATE_VALID_DELAYS 4.0
#define STATE_VALID_MAX_MS 500u

/* Factors of the limit for one window */
#define FALL_MAX 0.7 /* the delay is twice DELAY_MAX_MS, or more */
#define RISE 1.03
#define RELIEF 1.3	   /* the leader has time to spare */
#define LIMIT_FACTOR 8.0   /* x the rate asked for: a higher limit is none */
#define RATE_PART_MIN 0.85 /* x the rate asked for: the limit is no lower */
#define LIMIT_MIN 20.0	   /* tasks a second */

#define LATE_PART 0.5	       /* of the limit, for jobs that are late anyway */
#define ACCEPTED_SMOOTHING 0.2 /* weight of the newest window */

static double job_rate(const struct job *job)
{
	uint32_t tasks = 0;
	size_t i;

	if (!job->work || job->row->times || !job->critical_path_ms)
		return 0;
	for (i = 0; i < job->row->n_steps; i++)
		tasks += job->row->steps[i]->count;
	return tasks * 1000.0 / (double)job->critical_path_ms;
}

void pace_count(struct sched *s, struct job *job, bool counted)
{
	if (counted == (job->rate > 0))
		return;
	if (counted) {
		job->rate = job_rate(job);
		s->pace.rate += job->rate;
	} else {
		s->pace.rate -= job->rate;
		job->rate = 0;
	}
}

static void limit_fall(struct pace *p)
{
	double ratio = sqrt(DELAY_MAX_MS / p->delay_ms);

	if (p->limit > p->rate)
		p->limit = p->rate;
	p->limit *= ratio < FALL_MAX ? FALL_MAX : ratio;
	/* Jobs that were accepted earlier still cause the delay. */
	if (p->limit < RATE_PART_MIN * p->rate)
		p->limit = RATE_PART_MIN * p->rate;
	if (p->limit < LIMIT_MIN)
		p->limit = LIMIT_MIN;
}

static void limit_rise(struct pace *p, double factor)
{
	p->limit *= factor;
	if (p->limit > LIMIT_FACTOR * p->rate)
		p->limit = PACE_NO_LIMIT;
}

static void count_accepted(struct sched *s, uint64_t took_ms)
{
	struct pace *p = &s->pace;
	double per_s = (double)(s->stats.accepted - p->accepted) * 1000 /
		       (double)took_ms;

	p->accepted_per_s += ACCEPTED_SMOOTHING * (per_s - p->accepted_per_s);
	p->accepted = s->stats.accepted;
}

void sched_set_busy(struct sched *s, uint64_t busy_us, uint64_t now)
{
	struct pace *p = &s->pace;
	uint64_t took_ms = now - p->begun_ms;
	double busy_ms = (double)(busy_us - p->busy_us) / 1000;

	if (took_ms < WINDOW_MS)
		return;
	if (!p->begun_ms || busy_ms < BUSY_MIN * (double)took_ms) {
		p->delay_ms = 0;
		limit_rise(p, RELIEF);
	} else if (p->delay_ms <= DELAY_MAX_MS) {
		limit_rise(p, RISE);
	} else {
		limit_fall(p);
	}
	count_accepted(s, took_ms);
	p->begun_ms = now;
	p->busy_us = busy_us;
}

uint32_t sched_state_valid_ms(const struct sched *s, Fleet__JobState state)
{
	double ms = STATE_VALID_DELAYS * s->pace.delay_ms;

	if (s->pace.limit >= PACE_NO_LIMIT ||
	    state == FLEET__JOB_STATE__UNKNOWN)
		return 0;
	return ms < STATE_VALID_MAX_MS ? (uint32_t)ms : STATE_VALID_MAX_MS;
}

double pace_retry_ms(const struct sched *s)
{
	double per_s = s->pace.accepted_per_s;

	return s->refused_for_load * 1000.0 / (per_s > 1 ? per_s : 1);
}

void pace_order_answered(struct sched *s, uint64_t took_ms)
{
	s->pace.delay_ms +=
		DELAY_SMOOTHING * ((double)took_ms - s->pace.delay_ms);
}

bool pace_allows(const struct sched *s, const struct job *job, bool late)
{
	double limit = late ? LATE_PART * s->pace.limit : s->pace.limit;

	return s->pace.rate + job_rate(job) <= limit;
}

double pace_delay_ms(const struct sched *s, uint32_t steps)
{
	return s->pace.delay_ms * DELAYS_PER_STEP * steps;
}
