/*
 * members - the list of registered entries
 *
 * Kept in one row of the store. A joining entry becomes a full member, which
 * counts toward majorities, once a majority of the full members has its
 * registration, so that majorities of any two versions share a member. A dead
 * entry does not count, but it keeps its units until the leases of its work
 * have expired.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/limits.h"

#define MEMBERS_MAX 64 /* incarnations, dead ones included */

enum member_state { MEMBER_JOINING, MEMBER_FULL, MEMBER_DEAD };

struct member {
	char name[CFG_NAME_MAX + 1];
	char zone[CFG_NAME_MAX + 1];
	char address[32]; /* of its peer listener */
	uint64_t incarnation;
	/* Random. Identifies a registration whose write had no answer. */
	uint64_t nonce;
	enum member_state state;
};

struct members {
	uint64_t version; /* the row's revision, 0 if there is no row */
	uint64_t next_incarnation; /* of the next registration */
	/* Number of the ledger's shards, set by the first registration. */
	uint32_t shards;
	uint32_t count;
	struct member list[MEMBERS_MAX];
};

/* members_parse - read a row's value; false if it is malformed */
bool members_parse(const json_t *value, uint64_t version, struct members *m);

/* members_to_json - a row's value, as a new reference */
json_t *members_to_json(const struct members *m);

struct member *members_find(struct members *m, uint64_t incarnation);

/*
 * members_register - add a new incarnation of an entry
 *
 * Marks older incarnations of the same name as dead, as this one uses their
 * address. Returns the new incarnation, or 0 if the list is full or the ledger
 * has another number of shards.
 */
uint64_t members_register(struct members *m, const struct member *self,
			  uint32_t shards);

void members_remove(struct members *m, uint64_t incarnation);

/* members_majority - number of full members that form a majority */
uint32_t members_majority(const struct members *m);

#endif
