/*
 * sched_advice - queues whose placement policy an external adviser decides
 *
 * The adviser takes time for each call and for each instance named in it, and
 * handles the calls of this node one at a time. So a step makes one call, for
 * the instances with the most free CPU. It makes another one ADVICE_REPEAT_MS
 * after the answer only if tasks of it still wait then, usually because no
 * approved instance had room or the approval has expired.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched_internal.h"

/* Instances considered for a call; those with most free CPU are named */
#define CANDIDATES_MAX (SCHED_ADVICE_MAX * 4)
#define ADVICE_INSTANCES_MIN 4u /* named in a call, if as many are usable */
/* Validity that a ticket must have left at placement: the start must arrive */
#define ADVICE_MARGIN_MS 400u
#define ADVICE_RETRY_MS 300u   /* until the next call, after a failed one */
#define ADVICE_REPEAT_MS 1000u /* until the next call, after an answer */

bool step_needs_advice(const struct step *step)
{
	return step->job->queue_config && step->job->queue_config->needs_advice;
}

const char *step_ticket(const struct step *step, const struct instance *i,
			uint64_t now)
{
	uint32_t n;

	for (n = 0; n < step->ticket_count; n++) {
		const struct ticket *t = &step->tickets[n];

		if (t->instance == i->handle.i &&
		    t->started_unix_ms == i->started_unix_ms &&
		    now + ADVICE_MARGIN_MS < t->valid_until_ms)
			return t->text;
	}
	return NULL;
}

static int by_free_cpu(const void *a, const void *b)
{
	const struct instance *x = *(struct instance *const *)a;
	const struct instance *y = *(struct instance *const *)b;
	int64_t free_x = x->capacity.cpu - x->used.cpu;
	int64_t free_y = y->capacity.cpu - y->used.cpu;

	return free_x > free_y ? -1 : free_x < free_y;
}

static uint32_t list_candidates(const struct sched *s, const struct step *step,
				struct instance **list, uint32_t max,
				uint64_t now)
{
	struct instance *i;
	uint32_t count = 0;

	DL_FOREACH2(step->job->pool->instances, i, pool_next)
	if (count < max && instance_usable(s, i, now) &&
	    instance_could_run(i, step->spec))
		list[count++] = i;
	qsort(list, count, sizeof(*list), by_free_cpu);
	return count;
}

/* Whether tasks of the step wait and its next call is due. */
static bool advice_due(const struct sched *s, const struct step *step,
		       uint64_t now)
{
	return step->job->claimed && !step->advice_pending && step->startable &&
	       now >= step->advice_due_ms && step_needs_advice(step);
}

static struct step *next_step(const struct sched *s, uint64_t now)
{
	struct pool *pool;
	struct step *step;

	if (!s->advice_used)
		return NULL;
	for (pool = s->pools; pool; pool = pool->hh.next)
		DL_FOREACH(pool->ready, step)
	if (advice_due(s, step, now))
		return step;
	return NULL;
}

bool sched_next_advice(struct sched *s, uint64_t now,
		       struct sched_advice *advice)
{
	struct instance *list[CANDIDATES_MAX];
	struct step *step = next_step(s, now);
	uint32_t count, n;

	if (!step)
		return false;
	count = list_candidates(s, step, list, CANDIDATES_MAX, now);
	step->advice_due_ms = now + ADVICE_RETRY_MS;
	if (!count)
		return false;
	n = step->spec->count > ADVICE_INSTANCES_MIN ? step->spec->count
						     : ADVICE_INSTANCES_MIN;
	if (n > SCHED_ADVICE_MAX)
		n = SCHED_ADVICE_MAX;
	if (n > count)
		n = count;
	memset(advice, 0, sizeof(*advice));
	snprintf(advice->step, sizeof(advice->step), "%s.%u.%u", step->job->id,
		 step->occurrence, step->index);
	for (advice->count = 0; advice->count < n; advice->count++)
		advice->instances[advice->count] = list[advice->count]->id;
	step->advice_pending = true;
	return true;
}

static struct step *step_find(const struct sched *s, const char *name)
{
	char task[SCHED_TASK_MAX];
	struct task *t;

	snprintf(task, sizeof(task), "%.48s.0", name);
	t = sched_task(s, task);
	return t ? t->step : NULL;
}

void sched_advice_done(struct sched *s, const char *name,
		       const struct sched_approval *approvals, uint32_t count,
		       uint32_t valid_ms, uint64_t sent_ms, uint64_t now)
{
	struct step *step = step_find(s, name);
	uint32_t n;

	if (!step)
		return;
	step->advice_pending = false;
	sched_trace(s, "advice", step->job->id,
		    "\"step\":%u,\"approved\":%u,\"valid_ms\":%u,"
		    "\"took_ms\":%" PRIu64,
		    step->index, count, valid_ms, now - sent_ms);
	if (!approvals) {
		step->advice_due_ms = now + ADVICE_RETRY_MS;
		return;
	}
	step->advice_due_ms = now + ADVICE_REPEAT_MS;
	step->tickets = talloc_realloc(step->job, step->tickets, struct ticket,
				       count + 1);
	assert(step->tickets);
	step->ticket_count = 0;
	for (n = 0; n < count; n++) {
		struct instance *i;
		struct ticket *t = &step->tickets[step->ticket_count];

		HASH_FIND_STR(s->by_id, approvals[n].instance, i);
		if (!i)
			continue;
		t->instance = i->handle.i;
		t->started_unix_ms = i->started_unix_ms;
		t->valid_until_ms = sent_ms + valid_ms;
		snprintf(t->text, sizeof(t->text), "%s", approvals[n].ticket);
		step->ticket_count++;
	}
}
