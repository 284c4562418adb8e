/*
 * waiters - requests that wait until the leader's decision is durable
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

void waiter_add(struct node *n, const char *id, uint64_t deadline_ms,
		node_answer_fn fn, void *arg)
{
	struct waiter *w = talloc_zero(n, struct waiter);

	assert(w);
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->deadline_ms = deadline_ms;
	w->fn = fn;
	w->arg = arg;
	DL_APPEND(n->waiters, w);
}

static void waiter_answer(struct node *n, struct waiter *w,
			  Fleet__Result result)
{
	struct node_answer answer = { .result = result };

	DL_DELETE(n->waiters, w);
	n->answers[result]++;
	w->fn(w->arg, &answer);
	talloc_free(w);
}

void waiters_answer_durable(struct node *n)
{
	struct waiter *w, *next;

	DL_FOREACH_SAFE(n->waiters, w, next)
	if (sched_durable(n->sched, w->id))
		waiter_answer(n, w, FLEET__RESULT__ACCEPTED);
}

void waiters_tick(struct node *n, uint64_t now)
{
	struct waiter *w, *next;

	DL_FOREACH_SAFE(n->waiters, w, next)
	if (now >= w->deadline_ms)
		waiter_answer(n, w, FLEET__RESULT__UNSETTLED);
}

void waiters_drop(struct node *n)
{
	while (n->waiters)
		waiter_answer(n, n->waiters, FLEET__RESULT__UNSETTLED);
}

void waiters_refuse(struct node *n, const char *id)
{
	struct waiter *w, *next;

	DL_FOREACH_SAFE(n->waiters, w, next)
	if (!strcmp(w->id, id))
		waiter_answer(n, w, FLEET__RESULT__REFUSED);
}
