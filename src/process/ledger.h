/*
 * ledger - whole units of a team's limit or a worker's slots, held by entries
 *
 * A domain is a count of whole units. A request starts only while its entry
 * holds a free unit of the team and a free unit of the worker. For each
 * domain, at every moment:
 *
 *	free + held by all entries + in transfer + lost = total
 *
 * with `total` and `free` in the table service. An entry draws from `free`
 * and gives back by compare-and-set on the row of the domain's shard; peers
 * lend to each other directly. A lost message or answer loses units and
 * never creates any. Rounds reclaim lost units: an entry that joins a round
 * fixes what it holds as its report and refuses transfers of older rounds;
 * with a report of every registered incarnation, free = total - reports.
 *
 * Lowering a total lowers `free` by as much. Below zero that is a debt:
 * nobody starts work in the domain until units given home have paid it.
 *
 * No clock, socket or thread inside. Callers serialize calls by one lock.
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
	LEDGER_EXHAUSTED, /* no free unit is held here */
	LEDGER_CLOSED,	  /* a debt or a lowering: no new work may start */
};

/* A domain's part of a shard's row. */
struct ledger_cell {
	domain_handle domain;
	int64_t total;
	int64_t free;	     /* below zero: a debt */
	int64_t reported;    /* sum of the open round's reports */
	int64_t drawn;	     /* net draws since the open round was opened */
	uint64_t generation; /* of the instance's pool assignment */
	uint64_t conf;	     /* configuration version that set total */
};

/* A shard's row in the table service. */
struct ledger_row {
	uint64_t version; /* the store's revision, 0 when there is no row */
	uint64_t round;
	uint64_t opened_at; /* version of the members that it awaits */
	bool open;
	uint32_t pending_count;
	uint32_t cell_count;
	uint64_t *pending; /* incarnations that have not reported */
	struct ledger_cell *cells;
};

/* The registered entries, as last read. */
struct ledger_members {
	uint64_t version; /* the store's revision */
	uint32_t count;
	const uint64_t *incarnations;
};

/* Safeguards that tests take away one at a time. */
enum ledger_unsafe {
	LEDGER_UNSAFE_ROUND_TAG = 1 << 0, /* accept transfers of any round */
	LEDGER_UNSAFE_SEQUENCE = 1 << 1,  /* accept a transfer again */
	LEDGER_UNSAFE_LATE_DRAW = 1 << 2, /* keep a draw after a newer join */
	LEDGER_UNSAFE_REPORT = 1 << 3,	  /* report anew instead of resending */
	LEDGER_UNSAFE_DEBT = 1 << 4,	  /* start work despite a debt */
	LEDGER_UNSAFE_UNKNOWN = 1 << 5,	  /* treat no answer as success */
};

struct ledger_options {
	uint64_t incarnation;	 /* this entry's, from its registration */
	uint32_t shard_count;	 /* the same at all entries */
	uint32_t round_pause_ms; /* between two rounds opened here */
	unsigned int unsafe;	 /* enum ledger_unsafe, 0 outside tests */
};

/* What a compare-and-set on a shard's row must compare. */
struct ledger_cas {
	struct ledger_row *row;	  /* to be written; owned by the ledger */
	uint64_t row_version;	  /* expected, 0 for no row */
	uint64_t members_version; /* expected, 0 for no comparison */
};

/* A transfer to a peer; kept until it is acknowledged. */
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
	int64_t total; /* by this entry's configuration */
	int64_t free;  /* in the row last seen */
	bool closed;
};

struct ledger;
struct ledger_link;

/* ledger_new - an empty ledger, owned by ctx */
struct ledger *ledger_new(TALLOC_CTX *ctx,
			  const struct ledger_options *options);

/* Domains */

/* ledger_domain - the domain of that name, made when it is new */
domain_handle ledger_domain(struct ledger *l, const char *name);

const char *ledger_domain_name(const struct ledger *l, domain_handle d);
uint32_t ledger_domain_count(const struct ledger *l);
uint32_t ledger_shard_of(const struct ledger *l, domain_handle d);

/*
 * ledger_configure - a configuration version's total for a domain
 *
 * A lower total or a new generation closes the domain here until the row
 * shows it applied and without debt.
 */
void ledger_configure(struct ledger *l, domain_handle d, int64_t total,
		      uint64_t generation, uint64_t conf);

/* ledger_take - take one unit for a request about to start */
enum ledger_status ledger_take(struct ledger *l, domain_handle d);

/* ledger_may_take - what ledger_take would return */
enum ledger_status ledger_may_take(const struct ledger *l, domain_handle d);

/* ledger_end - give a unit back after its work is known to have ended */
void ledger_end(struct ledger *l, domain_handle d);

/* ledger_want - ask to draw until `units` are free here; replaces the last */
void ledger_want(struct ledger *l, domain_handle d, int64_t units);

/* ledger_release - give up to `units` free units home */
void ledger_release(struct ledger *l, domain_handle d, int64_t units);

void ledger_view(const struct ledger *l, domain_handle d,
		 struct ledger_domain_view *view);

/*
 * ledger_all_home - whether the row last seen proves the domain empty
 *
 * True when total is 0 and free is 0: no entry holds a unit and none can.
 */
bool ledger_all_home(const struct ledger *l, domain_handle d);

/* ledger_holds_any - whether any domain has units here or in transfer */
bool ledger_holds_any(const struct ledger *l);

/* Rows */

/* ledger_seen - a shard's row as read; older versions are ignored */
void ledger_seen(struct ledger *l, uint32_t shard,
		 const struct ledger_row *row);

/* ledger_ready - whether the shard's row has been seen */
bool ledger_ready(const struct ledger *l, uint32_t shard);

/*
 * ledger_plan - the next compare-and-set for a shard, if any is needed
 *
 * Returns false when there is nothing to do or one is under way. After true
 * the caller sends it and reports by ledger_planned exactly once. Units to
 * give home are subtracted here, draws are added by ledger_planned.
 */
bool ledger_plan(struct ledger *l, uint32_t shard, uint64_t now_ms,
		 const struct ledger_members *members, struct ledger_cas *cas);

enum ledger_cas_status {
	LEDGER_CAS_DONE,
	LEDGER_CAS_CONFLICT, /* certainly not applied */
	LEDGER_CAS_UNKNOWN,  /* no answer: neither yes nor no */
};

/* ledger_planned - the outcome; version is the row's new one when done */
void ledger_planned(struct ledger *l, uint32_t shard,
		    enum ledger_cas_status status, uint64_t version);

/* ledger_suspect - units may be lost: open a round in every shard */
void ledger_suspect(struct ledger *l);

/*
 * ledger_gone - an incarnation was unregistered, proved gone
 *
 * What it held is reclaimed by a round opened at that version of the members
 * or later. An open round may hold its report and is not enough.
 */
void ledger_gone(struct ledger *l, uint64_t members_version);

/* Transfers */

/* ledger_link_new - a link to one incarnation of a peer, owned by ctx */
struct ledger_link *ledger_link_new(TALLOC_CTX *ctx, struct ledger *l);

/*
 * ledger_link_drop - forget a peer's incarnation that is gone for good
 *
 * What was sent and not acknowledged is lost until ledger_gone's round.
 */
void ledger_link_drop(struct ledger_link *link);

/* ledger_lend - move up to `units` free units to the link's outbox */
uint32_t ledger_lend(struct ledger_link *link, domain_handle d, uint32_t units);

/* ledger_outbox - transfers not acknowledged, oldest first */
const struct ledger_transfer *ledger_outbox(const struct ledger_link *link,
					    uint32_t *count);

/* ledger_acked - the peer has every transfer up to seq */
void ledger_acked(struct ledger_link *link, uint64_t seq);

/*
 * ledger_receive - a transfer from the link's peer
 *
 * Returns the sequence number to acknowledge. A transfer out of order is
 * left for its sender to repeat; one of an older round is refused for good.
 */
uint64_t ledger_receive(struct ledger_link *link,
			const struct ledger_transfer *t);

/* Rows outside a ledger, for stores and their fakes */

/* ledger_row_copy - a deep copy, owned by ctx */
struct ledger_row *ledger_row_copy(TALLOC_CTX *ctx,
				   const struct ledger_row *row);

#endif
