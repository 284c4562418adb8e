/*
 * ledger - distributed accounting of team limits and worker slots
 *
 * A domain is a count of whole units: one team's limit or one worker's slots.
 * An entry starts a request only while it holds an idle unit of the team and
 * one of the worker. For each domain, at any time:
 *
 *	free + held by all entries + in transfer + lost = total
 *
 * `total` and `free` are kept in the store. An entry acquires units from `free`
 * and returns them by compare-and-set on the row of the domain's shard; entries
 * lend units to each other directly. A lost message or answer loses units and
 * never creates any. A round reclaims lost units: an entry that joins a round
 * records the units that it holds as its report and refuses transfers of older
 * rounds. Once every registered incarnation has reported,
 * free = total - reports - units acquired since the round was opened.
 *
 * Lowering a total lowers `free` by the same amount. A negative `free` is a
 * deficit: no entry starts work in the domain until returned units cover it.
 *
 * Does no I/O and reads no clock. Not thread-safe: callers hold one lock.
 */
#ifndef LEDGER_H
#define LEDGER_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "process/intern.h"

typedef struct {
	uint32_t i;
} domain_handle;

enum ledger_status {
	LEDGER_OK,
	LEDGER_EXHAUSTED, /* this entry holds no idle unit */
	LEDGER_CLOSED,	  /* deficit, or a lower total not yet in the row */
};

/* A domain's record in a shard's row. */
struct ledger_cell {
	domain_handle domain;
	int64_t total;
	int64_t free;		 /* negative: a deficit */
	int64_t reported;	 /* sum of the open round's reports */
	int64_t acquired;	 /* net, since the open round was opened */
	uint64_t generation;	 /* of the instance's pool assignment */
	uint64_t config_version; /* configuration version that set total */
};

/* A shard's row in the store. */
struct ledger_row {
	uint64_t version;	  /* store revision, 0 when there is no row */
	uint64_t round;		  /* number of the newest round */
	uint64_t members_version; /* of the members that the round awaits */
	bool open;
	uint32_t pending_count;
	uint32_t cell_count;
	uint64_t *pending; /* incarnations that have yet to report */
	struct ledger_cell *cells;
};

/* The registered entries as last read. */
struct ledger_members {
	uint64_t version; /* store revision */
	uint32_t count;
	const uint64_t *incarnations;
};

/* Safeguards that tests disable one at a time. */
enum ledger_unsafe {
	LEDGER_UNSAFE_ROUND_TAG = 1 << 0, /* accept transfers of any round */
	LEDGER_UNSAFE_SEQUENCE = 1 << 1,  /* accept a duplicate transfer */
	/* Keep units of a write that was planned in an older round. */
	LEDGER_UNSAFE_LATE_ACQUIRE = 1 << 2,
	/* Report the units held when reporting, not those held on joining. */
	LEDGER_UNSAFE_REPORT = 1 << 3,
	LEDGER_UNSAFE_DEFICIT = 1 << 4, /* start work despite a deficit */
	/* Take a write without an answer for an applied one. */
	LEDGER_UNSAFE_UNKNOWN = 1 << 5,
};

struct ledger_options {
	uint64_t incarnation; /* of this entry */
	uint32_t shard_count; /* the same at all entries */
	/* Least time between two rounds that this entry opens in a shard. */
	uint32_t round_interval_min_ms;
	unsigned int unsafe; /* enum ledger_unsafe, 0 outside tests */
};

/* A compare-and-set on a shard's row. */
struct ledger_cas {
	struct ledger_row *row;	  /* the new row; owned by the ledger */
	uint64_t row_version;	  /* expected, 0 for no row */
	uint64_t members_version; /* expected, 0 for no comparison */
};

/* A transfer to a peer; kept in the outbox until acknowledged. */
struct ledger_transfer {
	uint64_t seq;
	domain_handle domain;
	uint32_t units;
	uint64_t round;
	uint64_t generation;
};

struct ledger_domain_view {
	int64_t held;
	int64_t running;
	int64_t total; /* in this entry's configuration */
	int64_t free;  /* in the row last seen */
	bool closed;   /* ledger_start_unit returns LEDGER_CLOSED */
};

struct ledger;
struct ledger_link;

/* ledger_new - an empty ledger, owned by ctx */
struct ledger *ledger_new(TALLOC_CTX *ctx,
			  const struct ledger_options *options);

/* Domains */

/* ledger_domain - the domain of that name; creates it if needed */
domain_handle ledger_domain(struct ledger *l, const char *name);

const char *ledger_domain_name(const struct ledger *l, domain_handle d);
uint32_t ledger_domain_count(const struct ledger *l);
uint32_t ledger_shard_of(const struct ledger *l, domain_handle d);

/*
 * ledger_configure - set a domain's total from a configuration version
 *
 * A lower total or a new generation closes the domain at this entry until the
 * row last seen has the change and no deficit.
 */
void ledger_configure(struct ledger *l, domain_handle d, int64_t total,
		      uint64_t generation, uint64_t config_version);

/* ledger_start_unit - mark one idle unit as running, for a new request */
enum ledger_status ledger_start_unit(struct ledger *l, domain_handle d);

/* ledger_can_start - the status that ledger_start_unit would return */
enum ledger_status ledger_can_start(const struct ledger *l, domain_handle d);

/* ledger_end_unit - mark a unit as idle: its work is known to have ended */
void ledger_end_unit(struct ledger *l, domain_handle d);

/* ledger_set_idle_target - acquire units while fewer than `units` are idle */
void ledger_set_idle_target(struct ledger *l, domain_handle d, int64_t units);

/*
 * ledger_return_units - return `units` units to the store as they become idle
 *
 * Replaces a request that has not been met yet.
 */
void ledger_return_units(struct ledger *l, domain_handle d, int64_t units);

void ledger_view(const struct ledger *l, domain_handle d,
		 struct ledger_domain_view *view);

/*
 * ledger_domain_is_empty - whether the row last seen proves the domain empty
 *
 * With total and free at 0 no entry holds a unit and none can acquire one.
 */
bool ledger_domain_is_empty(const struct ledger *l, domain_handle d);

/* ledger_holds_any - whether units of any domain are held or in the outboxes */
bool ledger_holds_any(const struct ledger *l);

/* Rows */

/* ledger_set_row - copy a shard's row as read, unless a newer one was seen */
void ledger_set_row(struct ledger *l, uint32_t shard,
		    const struct ledger_row *row);

/* ledger_ready - whether a row of the shard has been seen */
bool ledger_ready(const struct ledger *l, uint32_t shard);

/*
 * ledger_plan_cas - the next compare-and-set for a shard, if any is needed
 *
 * Returns false when there is nothing to do or one is in progress. Otherwise
 * the caller sends it and calls ledger_finish_cas exactly once. Returned units
 * are subtracted from `held` here; acquired ones are added by
 * ledger_finish_cas, so that an unknown outcome loses units, never adds any.
 */
bool ledger_plan_cas(struct ledger *l, uint32_t shard, uint64_t now_ms,
		     const struct ledger_members *members,
		     struct ledger_cas *cas);

enum ledger_cas_status {
	LEDGER_CAS_DONE,
	LEDGER_CAS_CONFLICT, /* not applied */
	LEDGER_CAS_UNKNOWN,  /* no answer: may have been applied */
};

/* ledger_finish_cas - apply the outcome; version: the new row's if DONE */
void ledger_finish_cas(struct ledger *l, uint32_t shard,
		       enum ledger_cas_status status, uint64_t version);

/* ledger_suspect_loss - open a round in every shard: units may be lost */
void ledger_suspect_loss(struct ledger *l);

/*
 * ledger_member_removed - a dead incarnation was unregistered
 *
 * Called after the leases of its work have expired. A round that is opened at
 * this version of the members or later reclaims its units. A round that is open
 * already does not, as it may contain the incarnation's report.
 */
void ledger_member_removed(struct ledger *l, uint64_t members_version);

/* Transfers */

/* ledger_link_new - a link to one incarnation of a peer, owned by ctx */
struct ledger_link *ledger_link_new(TALLOC_CTX *ctx, struct ledger *l);

/*
 * ledger_link_drop - free the link to an incarnation that was unregistered
 *
 * Units in its outbox are lost; the round that ledger_member_removed asks for
 * reclaims them.
 */
void ledger_link_drop(struct ledger_link *link);

/* ledger_lend - move up to `units` idle units to the link's outbox */
uint32_t ledger_lend(struct ledger_link *link, domain_handle d, uint32_t units);

/* ledger_outbox - unacknowledged transfers, oldest first */
const struct ledger_transfer *ledger_outbox(const struct ledger_link *link,
					    uint32_t *count);

/* ledger_acknowledge - the peer has received every transfer up to seq */
void ledger_acknowledge(struct ledger_link *link, uint64_t seq);

/*
 * ledger_receive - handle a transfer from the link's peer
 *
 * Returns the sequence number to acknowledge. A transfer out of order, or
 * before the shard's first row, is ignored, as its sender repeats it. One of an
 * older round is acknowledged and its units are discarded.
 */
uint64_t ledger_receive(struct ledger_link *link,
			const struct ledger_transfer *t);

/* ledger_row_copy - a deep copy, owned by ctx */
struct ledger_row *ledger_row_copy(TALLOC_CTX *ctx,
				   const struct ledger_row *row);

#endif
