/*
 * freshness - until when an entry is known to have every accepted change
 *
 * A change is accepted once it is committed in the store and known to a
 * majority of the full members. An entry is fresh if within the last
 * FRESHNESS_LIFETIME_MS it read the store, or learned the versions of a
 * majority of the full members, itself included, and none was newer. An answer
 * counts from the time at which its request was sent, so that one that waited
 * in a socket while the process was stopped is not taken for a new one.
 */
#ifndef FRESHNESS_H
#define FRESHNESS_H

#include <stdint.h>

#include "process/members.h"

#define FRESHNESS_LIFETIME_MS 3000

struct freshness_peer {
	uint64_t incarnation;
	uint64_t sent_ms;	  /* when the request to the peer was sent */
	uint64_t config_version;  /* of the peer's configuration */
	uint64_t members_version; /* of the peer's members */
};

struct freshness {
	/* When the last successful read of the store was sent. */
	uint64_t store_read_ms;
	uint32_t count;
	struct freshness_peer peers[MEMBERS_MAX];
};

/* freshness_record - keep a peer's answer unless a newer one is known */
void freshness_record(struct freshness *f, const struct freshness_peer *peer);

/* freshness_forget - drop a peer's answer */
void freshness_forget(struct freshness *f, uint64_t incarnation);

/*
 * freshness_until - the time at which this entry stops being fresh
 *
 * self is this entry's incarnation, config_version that of its configuration.
 * The time may have passed; it is 0 if the entry was never known to be fresh.
 */
uint64_t freshness_until(const struct freshness *f,
			 const struct members *members, uint64_t self,
			 uint64_t config_version);

/*
 * freshness_count_config - number of full members that have this version or a
 * newer one, counting self
 */
uint32_t freshness_count_config(const struct freshness *f,
				const struct members *members, uint64_t self,
				uint64_t config_version);

/*
 * freshness_count_members - number of full members that have this version of
 * the members or a newer one, not counting self
 */
uint32_t freshness_count_members(const struct freshness *f,
				 const struct members *members,
				 uint64_t members_version);

#endif
