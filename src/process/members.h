/*
 * members - the registered entries
 *
 * One row of the table service lists them. A joining entry counts for
 * majorities once a majority of the full members knows of it, so that
 * majorities of any two views share a member. A dead one no longer counts,
 * but its units do until its work's leases have passed.
 */
#ifndef MEMBERS_H
#define MEMBERS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/limits.h"

#define MEMBERS_MAX 64

enum member_state { MEMBER_JOINING, MEMBER_FULL, MEMBER_DEAD };

struct member {
	char name[CFG_NAME_MAX + 1];
	char zone[CFG_NAME_MAX + 1];
	char address[32]; /* of its peer listener */
	uint64_t incarnation;
	uint64_t boot; /* random; tells a registration whose answer was lost */
	enum member_state state;
};

struct members {
	uint64_t version; /* the row's revision, 0 without a row */
	uint64_t next;	  /* incarnation of the next registration */
	uint32_t shards;  /* of the ledger, set by the first registration */
	uint32_t count;
	struct member list[MEMBERS_MAX];
};

/* members_parse - from a row's value; false when it is malformed */
bool members_parse(const json_t *value, uint64_t version, struct members *m);

/* members_json - a row's value; the caller's reference */
json_t *members_json(const struct members *m);

struct member *members_find(struct members *m, uint64_t incarnation);

/*
 * members_register - add a new incarnation of an instance
 *
 * Older incarnations of the same name are dead: their address is in use by
 * this one. Returns the incarnation, 0 when there is no room or the ledger
 * has another number of shards.
 */
uint64_t members_register(struct members *m, const struct member *self,
			  uint32_t shards);

void members_remove(struct members *m, uint64_t incarnation);

/* members_majority - how many full members make a majority */
uint32_t members_majority(const struct members *m);

#endif
