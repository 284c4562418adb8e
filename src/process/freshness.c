#include "process/freshness.h"

#include <stdbool.h>

/* A time that never expires, also after adding the lifetime. */
#define FRESHNESS_ALWAYS (UINT64_MAX - FRESHNESS_LIFETIME_MS)

static const struct freshness_peer *find_peer(const struct freshness *f,
					      uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (f->peers[i].incarnation == incarnation)
			return &f->peers[i];
	return NULL;
}

void freshness_record(struct freshness *f, const struct freshness_peer *peer)
{
	struct freshness_peer *known =
		(struct freshness_peer *)find_peer(f, peer->incarnation);

	if (!known && f->count < MEMBERS_MAX) {
		f->peers[f->count++] = *peer;
		return;
	}
	if (!known || peer->sent_ms < known->sent_ms)
		return;
	*known = *peer;
}

void freshness_forget(struct freshness *f, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (f->peers[i].incarnation == incarnation) {
			f->peers[i] = f->peers[--f->count];
			return;
		}
}

static bool is_full_member(const struct members *m, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		if (m->list[i].incarnation == incarnation)
			return m->list[i].state == MEMBER_FULL;
	return false;
}

/* The needed-th newest time; reorders the times. */
static uint64_t nth_newest(uint64_t *times, uint32_t count, uint32_t needed)
{
	uint32_t best;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < needed; i++) {
		uint64_t swap;

		best = i;
		for (k = i + 1; k < count; k++)
			if (times[k] > times[best])
				best = k;
		swap = times[i];
		times[i] = times[best];
		times[best] = swap;
	}
	return times[needed - 1];
}

/*
 * When a majority of the full members last proved that `config_version` and the
 * members are the newest: the time of the oldest request among the newest
 * answers that make a majority with this entry. 0 if too few have answered
 * or any has a newer version.
 */
static uint64_t majority_ms(const struct freshness *f,
			    const struct members *members, uint64_t self,
			    uint64_t config_version)
{
	uint64_t times[MEMBERS_MAX];
	uint32_t needed = members_majority(members) - 1;
	uint32_t n = 0;
	uint32_t i;

	if (!is_full_member(members, self))
		return 0;
	/* Self is the only full member: no change is accepted without it. */
	if (!needed)
		return FRESHNESS_ALWAYS;
	for (i = 0; i < f->count; i++) {
		const struct freshness_peer *p = &f->peers[i];

		if (!is_full_member(members, p->incarnation))
			continue;
		if (p->config_version > config_version ||
		    p->members_version > members->version)
			return 0;
		times[n++] = p->sent_ms;
	}
	return n < needed ? 0 : nth_newest(times, n, needed);
}

uint64_t freshness_until(const struct freshness *f,
			 const struct members *members, uint64_t self,
			 uint64_t config_version)
{
	uint64_t peers = majority_ms(f, members, self, config_version);
	uint64_t newest = peers > f->store_read_ms ? peers : f->store_read_ms;

	return newest ? newest + FRESHNESS_LIFETIME_MS : 0;
}

uint32_t freshness_count_config(const struct freshness *f,
				const struct members *members, uint64_t self,
				uint64_t config_version)
{
	uint32_t n = is_full_member(members, self);
	uint32_t i;

	for (i = 0; i < f->count; i++)
		n += is_full_member(members, f->peers[i].incarnation) &&
		     f->peers[i].config_version >= config_version;
	return n;
}

uint32_t freshness_count_members(const struct freshness *f,
				 const struct members *members,
				 uint64_t members_version)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++)
		n += is_full_member(members, f->peers[i].incarnation) &&
		     f->peers[i].members_version >= members_version;
	return n;
}
