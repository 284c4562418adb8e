/*
 * ledger_internal - declarations shared by the ledger's source files
 *
 * ledger.c handles domains and rounds, ledger_cas.c the compare-and-set on a
 * shard's row, ledger_link.c transfers between peers.
 */
#ifndef LEDGER_INTERNAL_H
#define LEDGER_INTERNAL_H

#include <assert.h>

#include "process/ledger.h"

struct domain {
	uint32_t shard;
	uint32_t cell_hint; /* index of its cell when last found in a row */
	int64_t held;
	int64_t running;
	int64_t idle_target; /* idle units to acquire up to */
	int64_t to_return;   /* units to return to the store once idle */
	int64_t report;	     /* units held on joining the shard's round */
	int64_t total;
	uint64_t generation;
	uint64_t config_version; /* of the last ledger_configure */
	/*
	 * Configuration version that lowered the total or changed the
	 * generation; 0 once the row last seen has the change.
	 */
	uint64_t lowering_version;
	bool configured;
	bool deficit; /* in the row last seen */
	/* Units moved by the compare-and-set in progress */
	int64_t acquiring;
	int64_t returning;
};

struct shard {
	uint32_t *domains;
	uint32_t domain_count;
	struct ledger_row *row;	     /* as last seen, NULL before the first */
	struct ledger_row *next_row; /* being written by the compare-and-set */
	uint64_t joined_round; /* newest one; at first, that of the first row */
	uint64_t cas_round;    /* joined_round at ledger_plan_cas */
	/*
	 * While loss_suspected: the round that reclaims the units must be newer
	 * than suspected_in_round and await members of removed_version or
	 * newer.
	 */
	uint64_t suspected_in_round;
	uint64_t removed_version;
	uint64_t round_opened_ms; /* when this entry last planned to open one */
	bool loss_suspected;
	bool cas_pending; /* a compare-and-set is in progress */
	bool dirty;	  /* state changed since the last ledger_plan_cas */
};

struct ledger {
	struct ledger_options options;
	struct intern *names;
	struct domain *domains;
	uint32_t domain_capacity;
	struct shard *shards;
	int64_t outbound; /* units in the outboxes of all links */
};

static inline struct domain *ledger_domain_of(const struct ledger *l,
					      domain_handle d)
{
	assert(d.i < intern_count(l->names));
	return &l->domains[d.i];
}

static inline struct shard *ledger_shard_at(const struct ledger *l,
					    domain_handle d)
{
	return &l->shards[ledger_domain_of(l, d)->shard];
}

static inline int64_t ledger_idle(const struct domain *d)
{
	return d->held - d->running;
}

/* ledger_row_cell - the domain's cell or NULL; row may be NULL */
struct ledger_cell *ledger_row_cell(const struct ledger *l,
				    struct ledger_row *row, domain_handle d);

/* ledger_row_awaits - whether the incarnation has yet to report */
bool ledger_row_awaits(const struct ledger_row *row, uint64_t incarnation);

/* ledger_cell_applied - whether the cell has this or a newer configuration */
bool ledger_cell_applied(const struct ledger_cell *cell,
			 const struct domain *d);

/*
 * ledger_join_round - join a round of a shard
 *
 * Records the units held as the report. Transfers of older rounds are refused
 * from here on.
 */
void ledger_join_round(struct ledger *l, uint32_t shard, uint64_t round);

/* ledger_set_reports - record the units held now as the shard's reports */
void ledger_set_reports(struct ledger *l, uint32_t shard);

/* ledger_suspect_shard - ask for a newer round: units may be lost */
void ledger_suspect_shard(struct ledger *l, uint32_t shard);

#endif
