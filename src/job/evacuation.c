/*
 * evacuation - the availability zones in which operators want no more starts
 *
 * A zone that is not evacuated has an entry only while its last change is newer
 * than the revision up to which the set is complete. Any other change up to
 * that revision is part of the set already.
 */
#include "job/evacuation.h"

#include <assert.h>
#include <ctype.h>
#include <stdio.h>
#include <string.h>

struct entry {
	char zone[EVACUATION_ZONE_MAX];
	uint64_t revision; /* of its last change */
	bool requested;
};

struct evacuations {
	evacuation_fn fn;
	void *arg;
	uint64_t at;
	uint32_t count;
	struct entry *entries; /* by name */
};

struct evacuations *evacuations_new(TALLOC_CTX *ctx, evacuation_fn fn,
				    void *arg)
{
	struct evacuations *e = talloc_zero(ctx, struct evacuations);

	assert(e);
	e->fn = fn;
	e->arg = arg;
	return e;
}

bool evacuation_zone_valid(const char *zone)
{
	size_t length = strlen(zone);
	size_t i;

	if (!length || length >= EVACUATION_ZONE_MAX)
		return false;
	for (i = 0; i < length; i++)
		if (!isprint((unsigned char)zone[i]) || zone[i] == '"' ||
		    zone[i] == '\\')
			return false;
	return true;
}

/* Returns the index of the first entry whose zone isn't before this one. */
static uint32_t position(const struct evacuations *e, const char *zone)
{
	uint32_t i = 0;

	while (i < e->count && strcmp(e->entries[i].zone, zone) < 0)
		i++;
	return i;
}

static struct entry *find(const struct evacuations *e, const char *zone)
{
	uint32_t i = position(e, zone);

	return i < e->count && !strcmp(e->entries[i].zone, zone)
		       ? &e->entries[i]
		       : NULL;
}

static struct entry *add(struct evacuations *e, const char *zone)
{
	uint32_t i = position(e, zone);

	e->entries = talloc_realloc(e, e->entries, struct entry, e->count + 1);
	assert(e->entries);
	memmove(&e->entries[i + 1], &e->entries[i],
		(e->count - i) * sizeof(*e->entries));
	e->count++;
	memset(&e->entries[i], 0, sizeof(e->entries[i]));
	snprintf(e->entries[i].zone, sizeof(e->entries[i].zone), "%s", zone);
	return &e->entries[i];
}

static void set(struct evacuations *e, struct entry *entry, uint64_t revision,
		bool requested)
{
	struct evacuation_change change = { entry->zone, revision, requested };
	bool changed = entry->requested != requested;

	entry->revision = revision;
	entry->requested = requested;
	if (changed && e->fn)
		e->fn(e->arg, &change);
}

/* Forgets the zones that `at` alone shows not to be evacuated. */
static void forget_ended(struct evacuations *e)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->entries[i].requested || e->entries[i].revision > e->at)
			e->entries[kept++] = e->entries[i];
	e->count = kept;
}

void evacuations_apply(struct evacuations *e, const char *zone,
		       uint64_t revision, bool requested)
{
	struct entry *entry = find(e, zone);

	if (revision <= e->at || (entry && revision <= entry->revision))
		return;
	if (!entry)
		entry = add(e, zone);
	set(e, entry, revision, requested);
}

static bool is_listed(const char *zone, const char *const *zones,
		      uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(zones[i], zone))
			return true;
	return false;
}

/* Ends the evacuations up to a revision that a newer list doesn't have. */
static void end_unlisted(struct evacuations *e, const char *const *zones,
			 uint32_t count, uint64_t revision)
{
	uint32_t i;

	for (i = 0; i < e->count; i++) {
		struct entry *entry = &e->entries[i];

		if (entry->requested && entry->revision <= revision &&
		    !is_listed(entry->zone, zones, count))
			set(e, entry, revision, false);
	}
}

void evacuations_complete(struct evacuations *e, uint64_t revision)
{
	if (revision <= e->at)
		return;
	e->at = revision;
	forget_ended(e);
}

void evacuations_table_read(struct evacuations *e,
			    const struct evacuation_row *rows, uint32_t count,
			    uint64_t revision)
{
	const char **zones = talloc_zero_array(e, const char *, count + 1);
	uint32_t i;

	assert(zones);
	for (i = 0; i < count; i++) {
		evacuations_apply(e, rows[i].zone, rows[i].revision,
				  rows[i].requested);
		zones[i] = rows[i].zone;
	}
	if (revision > e->at)
		end_unlisted(e, zones, count, revision);
	evacuations_complete(e, revision);
	talloc_free(zones);
}

void evacuations_merge(struct evacuations *e, uint64_t at,
		       const char *const *zones, uint32_t count)
{
	uint32_t i;

	if (at <= e->at)
		return;
	for (i = 0; i < count; i++) {
		struct entry *entry = find(e, zones[i]);

		if (!evacuation_zone_valid(zones[i]) ||
		    (entry && entry->revision > at))
			continue;
		if (!entry)
			entry = add(e, zones[i]);
		set(e, entry, at, true);
	}
	end_unlisted(e, zones, count, at);
	evacuations_complete(e, at);
}

bool evacuations_has(const struct evacuations *e, const char *zone)
{
	const struct entry *entry = find(e, zone);

	return entry && entry->requested;
}

uint64_t evacuations_at(const struct evacuations *e)
{
	return e->at;
}

uint32_t evacuations_count(const struct evacuations *e)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < e->count; i++)
		count += e->entries[i].requested;
	return count;
}

const char *evacuations_zone(const struct evacuations *e, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < e->count; i++)
		if (e->entries[i].requested && !index--)
			return e->entries[i].zone;
	return NULL;
}
