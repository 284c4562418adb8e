/*
 * sched_stats - counters and histograms
 */
#include <assert.h>
#include <string.h>

#include "pool/sched_internal.h"

const char *sched_refusal_name(enum sched_refusal reason)
{
	static const char *const names[REFUSALS] = {
		[REFUSAL_NONE] = "none",
		[REFUSAL_UNFIT] = "unfit",
		[REFUSAL_EVACUATED] = "evacuated",
		[REFUSAL_SET_ASIDE] = "set-aside",
		[REFUSAL_MEMORY] = "memory",
		[REFUSAL_BACKLOG] = "backlog",
		[REFUSAL_SHARE] = "share",
		[REFUSAL_RATE] = "rate",
		[REFUSAL_LEADER] = "leader",
	};

	return names[reason];
}

static void count_waits(const struct longest *l, struct sched_stats *stats)
{
	uint32_t i;

	for (i = 0; i < SCHED_WAITS; i++)
		stats->lasting_waits[i] += l->tasks[i];
	if (l->waited_ms > stats->lasting_longest_ms)
		stats->lasting_longest_ms = l->waited_ms;
	if (l->term_ms > stats->lasting_longest_term_ms)
		stats->lasting_longest_term_ms = l->term_ms;
}

void sched_stats(const struct sched *s, struct sched_stats *stats)
{
	const struct pool *pool;

	*stats = s->stats;
	stats->unfinished = s->unfinished;
	stats->rate = s->pace.rate;
	stats->rate_limit = s->pace.limit;
	stats->delay_ms = s->pace.delay_ms;
	for (pool = s->pools; pool; pool = pool->hh.next) {
		stats->startable += pool->startable;
		stats->reservations += pool->reservation_count;
		count_waits(&pool->longest, stats);
	}
	stats->jobs = HASH_COUNT(s->jobs);
	stats->instances = HASH_COUNT(s->by_id);
}

static void count_lasting(const struct step *step, struct sched_unreported *u)
{
	uint32_t i;

	if (!step->spec->lasting)
		return;
	u->lasting_startable += step->startable;
	for (i = 0; i < step->spec->count; i++)
		u->lasting_unseen += step->tasks[i].possibly_running;
}

void sched_unreported(const struct sched *s, struct sched_unreported *u)
{
	const struct instance *instance;
	const struct job *job;
	const struct occurrence *o;
	size_t i;

	memset(u, 0, sizeof(*u));
	for (instance = s->by_id; instance; instance = instance->hh.next)
		u->instances += instance->counted_unreported;
	DL_FOREACH2(s->lists[JOBS_LONG], job, list_next)
	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++)
			count_lasting(&o->steps[i], u);
}

struct sched_queue_stats *queue_stats(struct sched *s, const char *queue)
{
	struct sched_queue_stats *q;
	uint32_t i;

	for (i = 0; i < s->queue_count; i++)
		if (!strcmp(s->queues[i].queue, queue))
			return &s->queues[i];
	if (s->queue_count == SCHED_QUEUE_STATS_MAX)
		return &s->queues[SCHED_QUEUE_STATS_MAX - 1];
	s->queues = talloc_realloc(s, s->queues, struct sched_queue_stats,
				   s->queue_count + 1);
	assert(s->queues);
	q = &s->queues[s->queue_count++];
	memset(q, 0, sizeof(*q));
	q->estimate_ratio = 1;
	q->queue = talloc_strdup(s, queue);
	assert(q->queue);
	return q;
}

void job_count_end(struct sched *s, const struct job *job, uint64_t now)
{
	struct sched_queue_stats *q = queue_stats(s, job->queue);

	switch (job->state) {
	case FLEET__JOB_STATE__COMPLETED:
		s->stats.completed++;
		metric_observe(&q->completed, now - job->accepted_ms);
		if (now <= job->objective_ms)
			q->in_time++;
		else
			q->late++;
		break;
	case FLEET__JOB_STATE__FAILED:
		s->stats.failed++;
		q->failed++;
		break;
	default:
		s->stats.cancelled++;
		q->cancelled++;
		break;
	}
}

const struct sched_queue_stats *sched_queue_stats(const struct sched *s,
						  uint32_t index)
{
	return index < s->queue_count ? &s->queues[index] : NULL;
}
