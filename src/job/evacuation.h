/*
 * evacuation - the availability zones in which operators want no more starts
 *
 * Derived from the rows `evacuate/ZONE` of the operators' table: from reads of
 * the whole table, from its feed and from sets of other nodes. A change counts
 * if its revision is higher than what is known of its zone, so rows of a feed
 * that are replayed, and answers that overtake each other, change nothing. No
 * I/O and no clock.
 */
#ifndef EVACUATION_H
#define EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define EVACUATION_ZONE_MAX 64 /* bytes of a zone's name, with the NUL */

struct evacuations;

/* One zone of a table read. */
struct evacuation_row {
	const char *zone;
	uint64_t revision;
	bool requested; /* false: its row requests nothing */
};

/* A change of the set, as passed to the callback of evacuations_new(). */
struct evacuation_change {
	const char *zone;
	uint64_t revision; /* of the change, or at which it was seen */
	bool requested;	   /* false: the evacuation has ended */
};

typedef void (*evacuation_fn)(void *arg,
			      const struct evacuation_change *change);

/*
 * evacuations_new - an empty set that is complete up to revision 0: unknown
 *
 * fn is called for each change of a zone; it may be NULL.
 */
struct evacuations *evacuations_new(TALLOC_CTX *ctx, evacuation_fn fn,
				    void *arg);

/*
 * evacuation_zone_valid - whether it is a printable name of 1 to 63 bytes
 *
 * Without quotes and backslashes: names are printed as they are in JSON.
 */
bool evacuation_zone_valid(const char *zone);

/*
 * evacuations_apply - applies one change of a zone's row
 *
 * Ignored if it isn't newer than what is known of the zone.
 */
void evacuations_apply(struct evacuations *e, const char *zone,
		       uint64_t revision, bool requested);

/*
 * evacuations_table_read - applies a read of all rows, begun at `revision`
 *
 * Rows written while the read's pages were answered have higher revisions. A
 * zone that is not among the rows is evacuated no more, unless it changed after
 * `revision`. The set is then complete up to `revision`.
 */
void evacuations_table_read(struct evacuations *e,
			    const struct evacuation_row *rows, uint32_t count,
			    uint64_t revision);

/* evacuations_complete - all changes up to this revision were applied */
void evacuations_complete(struct evacuations *e, uint64_t revision);

/*
 * evacuations_merge - takes over another node's set, complete up to `at`
 *
 * Ignored unless it is complete up to a higher revision than this one. Changes
 * after `at` that are known here are kept.
 */
void evacuations_merge(struct evacuations *e, uint64_t at,
		       const char *const *zones, uint32_t count);

/* evacuations_has - whether the zone is evacuated, as far as is known */
bool evacuations_has(const struct evacuations *e, const char *zone);

/* evacuations_at - revision up to which the set is complete; 0: unknown */
uint64_t evacuations_at(const struct evacuations *e);

/* evacuations_count - number of evacuated zones */
uint32_t evacuations_count(const struct evacuations *e);

/* evacuations_zone - an evacuated zone by its index, in order of the names */
const char *evacuations_zone(const struct evacuations *e, uint32_t index);

#endif
