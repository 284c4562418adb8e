/*
 * sched_advice - queues whose placement policy an external adviser decides
 *
 * The adviser takes time for each call and for each instance named in it, and
 * handles the calls of this node one at a time. Whether an instance may run a
 * step never changes, so a step keeps what it was told of each incarnation of
 * an instance, and names an instance again only to renew an expired ticket.
 *
 * A step calls while more of its tasks wait than the instances with a valid
 * ticket have room for. It names approved instances first, then unknown ones,
 * in pages that grow with the length of the search. Calls go by turns to the
 * step of the best rank and to the one that has waited longest, so that neither
 * a long search nor a step that no instance may run keeps the adviser from the
 * others.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched_internal.h"

#define ADVICE_PAGE_MIN 4u    /* instances named in a step's first call */
#define ADVICE_PAGE_GROWTH 4u /* factor, for each call that approved none */
#define ADVICE_CALL_MS 500u   /* longest time that a call may take there */
/* Part of a ticket's validity that may pass until its call is answered */
#define ADVICE_VALIDITY_DIVISOR 4u
/* Validity that a ticket must have left at placement: the start must arrive */
#define ADVICE_MARGIN_MS 400u
/* Until the next call after a failed one, and until a ticket is renewed */
#define ADVICE_RETRY_MS 300u
/* Steps in a row that have no instance to name, after which a pass ends */
#define SEARCHES_MAX 16u

bool step_needs_advice(const struct step *step)
{
	return step->job->queue_config && step->job->queue_config->needs_advice;
}

/* Opinions */

/* Returns the place of a slot's opinion in the sorted array, or where to add */
static uint32_t opinion_place(const struct step *step, uint32_t slot)
{
	uint32_t low = 0;
	uint32_t high = step->opinion_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (step->opinions[middle].instance.i < slot)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool opinion_is_of(const struct opinion *o, const struct instance *i)
{
	return o->instance.i == i->handle.i &&
	       o->instance.generation == i->handle.generation &&
	       o->started_unix_ms == i->started_unix_ms;
}

/* What the adviser said of this incarnation; NULL: nothing. */
static struct opinion *opinion_find(const struct step *step,
				    const struct instance *i)
{
	uint32_t n = opinion_place(step, i->handle.i);

	return n < step->opinion_count && opinion_is_of(&step->opinions[n], i)
		       ? &step->opinions[n]
		       : NULL;
}

/* Returns the opinion of an instance, emptied, in place of an older one. */
static struct opinion *opinion_add(struct step *step,
				   const struct advice_asked *asked)
{
	uint32_t n = opinion_place(step, asked->instance.i);
	struct opinion *o;

	if (n == step->opinion_count ||
	    step->opinions[n].instance.i != asked->instance.i) {
		step->opinions =
			talloc_realloc(step->tasks, step->opinions,
				       struct opinion, step->opinion_count + 1);
		assert(step->opinions);
		memmove(step->opinions + n + 1, step->opinions + n,
			(step->opinion_count - n) * sizeof(*step->opinions));
		step->opinion_count++;
	} else {
		talloc_free(step->opinions[n].ticket);
	}
	o = &step->opinions[n];
	memset(o, 0, sizeof(*o));
	o->instance = asked->instance;
	o->started_unix_ms = asked->started_unix_ms;
	return o;
}

static bool ticket_is_valid(const struct opinion *o, uint64_t now)
{
	return o->ticket && now + ADVICE_MARGIN_MS < o->valid_until_ms;
}

const char *step_ticket(const struct step *step, const struct instance *i,
			uint64_t now)
{
	const struct opinion *o = opinion_find(step, i);

	return o && ticket_is_valid(o, now) ? o->ticket : NULL;
}

bool step_is_denied(const struct step *step, const struct instance *i)
{
	const struct opinion *o = opinion_find(step, i);

	return o && !o->ticket;
}

void step_ticket_refused(struct step *step, const struct instance *i)
{
	struct opinion *o = opinion_find(step, i);

	if (o)
		o->valid_until_ms = 0;
}

void step_forget_advice(struct step *step)
{
	uint32_t n;

	for (n = 0; n < step->opinion_count; n++)
		talloc_free(step->opinions[n].ticket);
	TALLOC_FREE(step->opinions);
	step->opinion_count = 0;
}

/* Candidates */

struct candidate {
	struct instance *instance;
	bool approved;	    /* known to be, by a ticket that has expired */
	int rack;	    /* 1: where the step's data or tasks are, -1: not */
	uint64_t rack_room; /* tasks, on all candidates of its rack */
	uint32_t room;	    /* tasks */
};

struct search {
	uint32_t room;		/* tasks, on instances with a valid ticket */
	uint32_t approved_room; /* same, on those whose ticket has expired */
	uint32_t count;
	struct candidate *candidates;
};

static int by_usefulness(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->approved != y->approved)
		return x->approved ? -1 : 1;
	if (x->rack != y->rack)
		return y->rack - x->rack;
	if (x->rack_room != y->rack_room)
		return x->rack_room > y->rack_room ? -1 : 1;
	if (x->room != y->room)
		return x->room > y->room ? -1 : 1;
	return x->instance->handle.i < y->instance->handle.i ? -1 : 1;
}

/* Groups the candidates by rack, the rack with most room first. */
static void sum_racks(struct search *search)
{
	uint32_t n, m;

	for (n = 0; n < search->count; n++)
		for (m = 0; m < search->count; m++)
			if (!strcmp(instance_rack(
					    search->candidates[n].instance),
				    instance_rack(
					    search->candidates[m].instance)))
				search->candidates[n].rack_room +=
					search->candidates[m].room;
}

static void consider(struct search *search, const struct step *step,
		     struct instance *i, uint64_t now)
{
	const struct opinion *o = opinion_find(step, i);
	uint32_t room = step_room_on(step, i);
	struct candidate *c;

	if (!room || (o && !o->ticket))
		return;
	if (o && ticket_is_valid(o, now)) {
		search->room += room;
		return;
	}
	if (o && now < o->answered_ms + ADVICE_RETRY_MS) {
		/* Its tickets are valid for too short a time to be used. */
		return;
	}
	c = &search->candidates[search->count++];
	c->instance = i;
	c->approved = o != NULL;
	c->room = room;
	c->rack = step_rack_preference(step, i);
	if (o)
		search->approved_room += room;
}

static void search_begin(const struct sched *s, const struct step *step,
			 struct search *search, uint64_t now)
{
	const struct pool *pool = step->job->pool;
	struct instance *i;
	uint32_t count = 0;

	memset(search, 0, sizeof(*search));
	DL_FOREACH2(pool->instances, i, pool_next)
	count++;
	search->candidates =
		talloc_zero_array(NULL, struct candidate, count ? count : 1);
	assert(search->candidates);
	DL_FOREACH2(pool->instances, i, pool_next)
	if (instance_usable(s, i, now))
		consider(search, step, i, now);
	if (step->spec->same_rack)
		sum_racks(search);
	qsort(search->candidates, search->count, sizeof(*search->candidates),
	      by_usefulness);
}

/* Calls */

static uint32_t min_uint32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* The most instances that the adviser gets through in time. */
static uint32_t page_max(const struct config_queue *q)
{
	uint32_t ms = ADVICE_CALL_MS;
	uint32_t count;

	if (q->advice_valid_ms)
		ms = min_uint32(ms,
				q->advice_valid_ms / ADVICE_VALIDITY_DIVISOR);
	if (!q->advice_instance_ms)
		return SCHED_ADVICE_MAX;
	count = ms > q->advice_decision_ms
			? (ms - q->advice_decision_ms) / q->advice_instance_ms
			: 0;
	return count ? min_uint32(count, SCHED_ADVICE_MAX) : 1;
}

static uint32_t page_size(const struct step *step)
{
	uint32_t page = step->advice_page ? step->advice_page : ADVICE_PAGE_MIN;

	if (page < step->spec->count)
		page = step->spec->count;
	return min_uint32(page, page_max(step->job->queue_config));
}

/* Names the candidates of one call; returns how many. */
static uint32_t name_instances(struct step *step, const struct search *search,
			       struct sched_advice *advice)
{
	uint32_t wanted = step->startable - search->room;
	uint32_t page = page_size(step);
	uint32_t n;

	if (search->approved_room >= wanted) {
		/* Renewing their tickets is enough, and each is worth it. */
		uint32_t room = 0;

		for (n = 0; n < search->count && room < wanted; n++)
			room += search->candidates[n].room;
		page = min_uint32(n, page);
	}
	step->asked = talloc_array(step->tasks, struct advice_asked, page);
	assert(step->asked);
	for (n = 0; n < page && n < search->count; n++) {
		const struct instance *i = search->candidates[n].instance;

		step->asked[n].instance = i->handle;
		step->asked[n].started_unix_ms = i->started_unix_ms;
		advice->instances[n] = i->id;
	}
	step->asked_count = advice->count = n;
	return n;
}

/* Whether a call for the step was made; if not, the step has to wait. */
static bool step_call(struct sched *s, struct step *step, uint64_t now,
		      struct sched_advice *advice)
{
	struct search search;
	bool made = false;

	search_begin(s, step, &search, now);
	if (search.count && search.room < step->startable) {
		snprintf(advice->step, sizeof(advice->step), "%s.%u.%u",
			 step->job->id, step->in->index, step->index);
		made = name_instances(step, &search, advice) > 0;
	}
	if (made)
		sched_trace(s, "advice-ask", step->job->id,
			    "\"step\":%u,\"named\":%u,\"candidates\":%u,"
			    "\"known\":%u,\"waiting\":%u,\"room\":%u",
			    step->index, advice->count, search.count,
			    step->opinion_count, step->startable, search.room);
	talloc_free(search.candidates);
	step->advice_pending = made;
	step->advice_due_ms = now + ADVICE_RETRY_MS;
	return made;
}

/* Whether tasks of the step wait and its next call is due. */
static bool advice_due(const struct step *step, uint64_t now)
{
	return step->job->claimed && !step->advice_pending && step->startable &&
	       now >= step->advice_due_ms && step_needs_advice(step);
}

/* The due step of the best rank of a pool, or the one that is due longest. */
static struct step *next_step(const struct sched *s, bool longest, uint64_t now)
{
	struct step *found = NULL;
	struct pool *pool;
	struct step *step;

	for (pool = s->pools; pool; pool = pool->hh.next)
		DL_FOREACH(pool->ready, step)
		{
			if (!advice_due(step, now))
				continue;
			if (!step->advice_due_ms)
				step->advice_due_ms = now;
			if (!found || (longest ? step->advice_due_ms <
							 found->advice_due_ms
					       : step->rank < found->rank))
				found = step;
		}
	return found;
}

bool sched_next_advice(struct sched *s, uint64_t now,
		       struct sched_advice *advice)
{
	struct step *step;
	uint32_t n;

	if (!s->advice_used)
		return false;
	memset(advice, 0, sizeof(*advice));
	for (n = 0; n < SEARCHES_MAX; n++) {
		step = next_step(s, s->advice_by_age, now);
		if (!step)
			return false;
		if (step_call(s, step, now, advice)) {
			s->advice_by_age = !s->advice_by_age;
			return true;
		}
	}
	/* Steps of the best ranks must not keep later ones from a search. */
	s->advice_by_age = true;
	return false;
}

static struct step *step_find(const struct sched *s, const char *name)
{
	char task[SCHED_TASK_MAX];
	struct task *t;

	snprintf(task, sizeof(task), "%.48s.0", name);
	t = sched_task(s, task);
	return t ? t->step : NULL;
}

/* The ticket for an instance that was named; NULL: it is not approved. */
static const char *ticket_for(const struct sched *s,
			      const struct advice_asked *asked,
			      const struct sched_approval *approvals,
			      uint32_t count)
{
	const struct instance *i = instance_of(s, asked->instance);
	uint32_t n;

	for (n = 0; i && n < count; n++)
		if (!strcmp(approvals[n].instance, i->id))
			return approvals[n].ticket;
	return NULL;
}

void sched_advice_done(struct sched *s, const char *name,
		       const struct sched_approval *approvals, uint32_t count,
		       uint32_t valid_ms, uint64_t sent_ms, uint64_t now)
{
	struct step *step = step_find(s, name);
	uint32_t approved = 0;
	uint32_t n;

	if (!step || !step->advice_pending)
		return;
	step->advice_pending = false;
	step->advice_due_ms = now;
	for (n = 0; approvals && n < step->asked_count; n++) {
		const char *ticket =
			ticket_for(s, &step->asked[n], approvals, count);
		struct opinion *o = opinion_add(step, &step->asked[n]);

		o->answered_ms = now;
		if (!ticket)
			continue;
		o->ticket = talloc_strdup(step->tasks, ticket);
		assert(o->ticket);
		o->valid_until_ms = sent_ms + valid_ms;
		approved++;
	}
	sched_trace(s, "advice", step->job->id,
		    "\"step\":%u,\"answered\":%d,\"named\":%u,\"approved\":%u,"
		    "\"valid_ms\":%u,\"took_ms\":%" PRIu64,
		    step->index, approvals != NULL, step->asked_count, approved,
		    valid_ms, now - sent_ms);
	TALLOC_FREE(step->asked);
	if (!approvals)
		step->advice_due_ms = now + ADVICE_RETRY_MS;
	else if (approved)
		step->advice_page = 0;
	else
		step->advice_page = page_size(step) * ADVICE_PAGE_GROWTH;
}
