/*
 * states - states of jobs that the leader lets this node repeat
 *
 * Designed for an overloaded leader: its callers wait for their jobs and ask
 * again and again, more often the later it is. It reports with each state how
 * long the asking node may answer by it. The leader's own knowledge is about as
 * old by then.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

#define STATES_MAX 4096u

static int states_destroy(struct known_states *k)
{
	HASH_CLEAR(hh, k->by_id);
	return 0;
}

struct known_states *states_new(TALLOC_CTX *ctx)
{
	struct known_states *k = talloc_zero(ctx, struct known_states);

	assert(k);
	talloc_set_destructor(k, states_destroy);
	return k;
}

static void forget(struct known_states *k, struct known_state *s)
{
	HASH_DEL(k->by_id, s);
	DL_DELETE(k->list, s);
	talloc_free(s);
}

void states_forget(struct known_states *k, const char *id)
{
	struct known_state *s;

	HASH_FIND_STR(k->by_id, id, s);
	if (s)
		forget(k, s);
}

static void forget_old(struct known_states *k, uint64_t now)
{
	struct known_state *s;

	while ((s = k->list) &&
	       (now >= s->valid_until_ms || HASH_COUNT(k->by_id) >= STATES_MAX))
		forget(k, s);
}

void states_learn(struct known_states *k, const char *id, const char *queue,
		  Fleet__JobState state, uint32_t valid_ms, uint64_t now)
{
	struct known_state *s;

	states_forget(k, id);
	forget_old(k, now);
	if (!valid_ms)
		return;
	s = talloc_zero(k, struct known_state);
	assert(s);
	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->queue, sizeof(s->queue), "%s", queue);
	s->state = state;
	s->valid_until_ms = now + valid_ms;
	HASH_ADD_STR(k->by_id, id, s);
	DL_APPEND(k->list, s);
}

Fleet__JobState states_find(const struct known_states *k, const char *id,
			    const char *queue, uint64_t now)
{
	const struct known_state *s;

	HASH_FIND_STR(k->by_id, id, s);
	return s && now < s->valid_until_ms && !strcmp(s->queue, queue)
		       ? s->state
		       : FLEET__JOB_STATE__UNKNOWN;
}
