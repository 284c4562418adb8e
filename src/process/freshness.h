/*
 * freshness - until when an entry is known to have every accepted change
 *
 * A change is accepted once it is committed in the table service and known to
 * a majority of the full members. An entry is fresh if within the last
 * FRESHNESS_LIFETIME_MS it read the table service, or learned the versions of
 * a majority of the full members, itself included, and none was newer. Times
 * are those at which the request was sent: a response that waited in a socket
 * while the process was stopped counts with its true age.
 */
#ifndef FRESHNESS_H
#define FRESHNESS_H

#include <stdint.h>

#include "process/members.h"

#define FRESHNESS_LIFETIME_MS 3000

struct freshness_peer {
	uint64_t incarnation;
	uint64_t sent_ms;	  /* when the request to it was sent */
	uint64_t config_version;  /* that it has */
	uint64_t members_version; /* that it has */
};

struct freshness {
	uint64_t store_read_ms; /* when the last successful read was sent */
	uint32_t count;
	struct freshness_peer peers[MEMBERS_MAX];
};

/* freshness_record - store a peer's response unless it is outdated */
void freshness_record(struct freshness *f, const struct freshness_peer *peer);

/* freshness_forget - drop a peer's response */
void freshness_forget(struct freshness *f, uint64_t incarnation);

/* freshness_until - until when this entry is fresh; 0 if it is not */
uint64_t freshness_until(const struct freshness *f,
			 const struct members *members, uint64_t self,
			 uint64_t version);

/*
 * freshness_count_config - number of full members, self included, that have
 * the configuration version; freshness_count_members - that have the version
 * of the members, self not included
 */
uint32_t freshness_count_config(const struct freshness *f,
				const struct members *members, uint64_t self,
				uint64_t version);
uint32_t freshness_count_members(const struct freshness *f,
				 const struct members *members,
				 uint64_t members_version);

#endif
