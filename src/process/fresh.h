/*
 * fresh - until when an entry knows every accepted change
 *
 * A change is accepted when it is committed in the table service and a
 * majority of the full members know it. An entry is fresh if within
 * FRESH_MS it read the table service, or a majority of the full members,
 * itself counted, told it their versions and none was newer. Times are
 * those at which the question was sent, so that answers that lay in a
 * socket while the process was frozen count as old as they are.
 */
#ifndef FRESH_H
#define FRESH_H

#include <stdint.h>

#include "process/members.h"

#define FRESH_MS 3000

struct fresh_peer {
	uint64_t incarnation;
	uint64_t asked_ms;
	uint64_t version;	  /* of its configuration */
	uint64_t members_version; /* of the members that it knows */
};

struct fresh {
	uint64_t store_ms; /* when the last answered read was sent */
	uint32_t count;
	struct fresh_peer peers[MEMBERS_MAX];
};

/* fresh_told - a peer's answer to a question sent at asked_ms */
void fresh_told(struct fresh *f, const struct fresh_peer *peer);

/* fresh_forget - drop a peer's answers */
void fresh_forget(struct fresh *f, uint64_t incarnation);

/* fresh_until - the time until which this entry is fresh, 0 for never */
uint64_t fresh_until(const struct fresh *f, const struct members *members,
		     uint64_t self, uint64_t version);

/*
 * fresh_knowing - full members, self counted, that know the version
 *
 * fresh_knowing_members: the same for a version of the members.
 */
uint32_t fresh_knowing(const struct fresh *f, const struct members *members,
		       uint64_t self, uint64_t version);
uint32_t fresh_knowing_members(const struct fresh *f,
			       const struct members *members,
			       uint64_t members_version);

#endif
