/*
 * sched_refused - refused submissions, whose callers will come again
 *
 * Designed for an overload in which most callers come several times: their
 * waiting time counts from the first submission, so those that can still be
 * served in time aren't kept out by those that can't. Bounded in time and
 * number; what is forgotten counts as submitted for the first time.
 */
#include <assert.h>
#include <string.h>

#include "pool/sched_internal.h"

#define REFUSED_KEEP_MS 20000u
#define REFUSED_MAX 16384u

static void forget(struct sched *s, struct refused *r)
{
	s->refused_for_load -= r->for_load;
	HASH_DEL(s->refused, r);
	DL_DELETE(s->refused_list, r);
	talloc_free(r);
}

static void forget_old(struct sched *s, uint64_t now)
{
	struct refused *r;

	while ((r = s->refused_list) &&
	       (HASH_COUNT(s->refused) >= REFUSED_MAX ||
		now - r->first_ms > REFUSED_KEEP_MS))
		forget(s, r);
}

uint64_t refused_since(struct sched *s, const char *id, uint64_t now)
{
	struct refused *r;

	HASH_FIND_STR(s->refused, id, r);
	return r ? r->first_ms : now;
}

void refused_add(struct sched *s, const char *id, bool for_load, uint64_t now)
{
	struct refused *r;

	HASH_FIND_STR(s->refused, id, r);
	if (r)
		return;
	forget_old(s, now);
	r = talloc_zero(s, struct refused);
	assert(r);
	memcpy(r->id, id, strnlen(id, sizeof(r->id) - 1));
	r->first_ms = now;
	r->for_load = for_load;
	s->refused_for_load += for_load;
	HASH_ADD_STR(s->refused, id, r);
	DL_APPEND(s->refused_list, r);
}

void refused_remove(struct sched *s, const char *id)
{
	struct refused *r;

	HASH_FIND_STR(s->refused, id, r);
	if (r)
		forget(s, r);
}
