#include "process/fresh.h"

#include <stdbool.h>

#define FRESH_ALWAYS (UINT64_MAX - FRESH_MS)

static const struct fresh_peer *find(const struct fresh *f,
				     uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (f->peers[i].incarnation == incarnation)
			return &f->peers[i];
	return NULL;
}

void fresh_told(struct fresh *f, const struct fresh_peer *peer)
{
	struct fresh_peer *known =
		(struct fresh_peer *)find(f, peer->incarnation);

	if (!known && f->count < MEMBERS_MAX) {
		f->peers[f->count++] = *peer;
		return;
	}
	if (!known || peer->asked_ms < known->asked_ms)
		return;
	*known = *peer;
}

void fresh_forget(struct fresh *f, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (f->peers[i].incarnation == incarnation) {
			f->peers[i] = f->peers[--f->count];
			return;
		}
}

static bool is_full(const struct members *m, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		if (m->list[i].incarnation == incarnation)
			return m->list[i].state == MEMBER_FULL;
	return false;
}

/* The time that the wanted number of peers have answered since. */
static uint64_t nth_newest(uint64_t *times, uint32_t count, uint32_t wanted)
{
	uint32_t best;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < wanted; i++) {
		uint64_t swap;

		best = i;
		for (k = i + 1; k < count; k++)
			if (times[k] > times[best])
				best = k;
		swap = times[i];
		times[i] = times[best];
		times[best] = swap;
	}
	return times[wanted - 1];
}

static uint64_t peers_ms(const struct fresh *f, const struct members *members,
			 uint64_t self, uint64_t version)
{
	uint64_t times[MEMBERS_MAX];
	uint32_t wanted = members_majority(members) - 1;
	uint32_t n = 0;
	uint32_t i;

	if (!is_full(members, self))
		return 0;
	if (!wanted)
		return FRESH_ALWAYS; /* nothing is accepted without it */
	for (i = 0; i < f->count; i++) {
		const struct fresh_peer *p = &f->peers[i];

		if (!is_full(members, p->incarnation))
			continue;
		if (p->version > version ||
		    p->members_version > members->version)
			return 0;
		times[n++] = p->asked_ms;
	}
	return n < wanted ? 0 : nth_newest(times, n, wanted);
}

uint64_t fresh_until(const struct fresh *f, const struct members *members,
		     uint64_t self, uint64_t version)
{
	uint64_t peers = peers_ms(f, members, self, version);
	uint64_t newest = peers > f->store_ms ? peers : f->store_ms;

	return newest ? newest + FRESH_MS : 0;
}

uint32_t fresh_knowing(const struct fresh *f, const struct members *members,
		       uint64_t self, uint64_t version)
{
	uint32_t n = is_full(members, self);
	uint32_t i;

	for (i = 0; i < f->count; i++)
		n += is_full(members, f->peers[i].incarnation) &&
		     f->peers[i].version >= version;
	return n;
}

uint32_t fresh_knowing_members(const struct fresh *f,
			       const struct members *members,
			       uint64_t members_version)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++)
		n += is_full(members, f->peers[i].incarnation) &&
		     f->peers[i].members_version >= members_version;
	return n;
}
