/*
 * election - whether a site has one leader again soon after trouble
 */
#ifndef ELECTION_H
#define ELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "test/rig/site.h"

#define ELECTION_FOREVER_MS 1000000u

/* Trouble begins at one moment, once the site has had a leader for a while. */
struct election_case {
	const char *name;
	uint32_t seeds;
	struct site_options site;

	/* Of the store, for store_ms; ELECTION_FOREVER_MS: from then on */
	uint32_t store_ms;
	struct store_faults store;
	uint32_t refused_ms; /* it refuses a third of them, and the leader */

	/* Of nodes */
	uint32_t frozen_ms;	/* the leader stands still */
	uint32_t freezes;	/* so often, each time the leader then */
	bool strong_frozen;	/* and all strong nodes with it */
	uint32_t killed_parts;	/* one part in so many ends, with the leader */
	uint32_t weak_delay_ms; /* longest, of messages of weak nodes */

	/* The load of a leader delays whatever arrives at it, for ever. */
	uint32_t lag_min_ms, lag_max_ms;

	bool one_orders; /* two nodes may give orders at no time */
};

/*
 * election_run - run the cases with their seeds; fails unless all succeed
 *
 * Options: --case I: only this one, from 0; --seed N, --count M: M seeds from
 * N on, instead of the case's. With a single seed the history is printed.
 */
int election_run(const struct election_case *cases, size_t count, int argc,
		 char **argv);

#endif
