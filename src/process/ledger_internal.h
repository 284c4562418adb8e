/*
 * ledger_internal - what the ledger's source files share
 *
 * ledger.c has domains and rounds, ledger_plan.c the compare-and-set on a
 * shard's row, ledger_link.c transfers between peers.
 */
#ifndef LEDGER_INTERNAL_H
#define LEDGER_INTERNAL_H

#include <assert.h>

#include "process/ledger.h"

struct domain {
	uint32_t shard;
	uint32_t cell; /* where its cell was last found in the row */
	int64_t held;
	int64_t running;
	int64_t wanted;	 /* free units to draw up to */
	int64_t to_home; /* free units to give home */
	int64_t report;	 /* fixed on joining the shard's round */
	int64_t total;
	uint64_t generation;
	uint64_t conf;	     /* newest configuration version known */
	uint64_t lower_conf; /* a lowering not yet seen in the row, 0 none */
	bool configured;
	bool debt;
	/* The compare-and-set under way */
	int64_t drawing;
	int64_t giving;
};

struct shard {
	uint32_t *domains;
	uint32_t domain_count;
	struct ledger_row *row;	 /* as last seen, NULL before */
	struct ledger_row *next; /* being written */
	uint64_t joined;	 /* newest round joined */
	uint64_t op_round;	/* round of the row the operation is based on */
	uint64_t suspect_after; /* a newer round is wanted when suspect */
	uint64_t gone_at;	/* a round opened after this is wanted */
	uint64_t opened_ms;
	bool suspect;
	bool busy;  /* a compare-and-set is under way */
	bool dirty; /* something changed since the last plan */
};

struct ledger {
	struct ledger_options options;
	struct intern *names;
	struct domain *domains;
	uint32_t room;
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

/* ledger_row_awaits - whether the open round lacks the report */
bool ledger_row_awaits(const struct ledger_row *row, uint64_t incarnation);

/* ledger_cell_applied - whether the row shows what the configuration says */
bool ledger_cell_applied(const struct ledger_cell *cell,
			 const struct domain *d);

/*
 * ledger_join - join a round of a shard
 *
 * Fixes what is held as the report. From here on transfers of older rounds
 * are refused.
 */
void ledger_join(struct ledger *l, uint32_t shard, uint64_t round);

/* ledger_fix_reports - take what is held now as the shard's reports */
void ledger_fix_reports(struct ledger *l, uint32_t shard);

/* ledger_suspect_shard - units may be lost: a newer round is wanted */
void ledger_suspect_shard(struct ledger *l, uint32_t shard);

#endif
