/*
 * broker - fleet-wide allocation of a group's units to the entries
 *
 * A group is a pool's worker slots or one team's units. Entries report the
 * units that they hold and the demand of their callers. The broker computes
 * the weighted max-min allocation over all entries and sends each of them a
 * target per team and the transfers to make. Each group's broker is chosen by
 * rendezvous hashing over the live entries and keeps soft state only. Two
 * brokers at once, or none, make the allocation unfair for a moment; limits
 * hold regardless, as the ledger enforces them.
 */
#ifndef BROKER_H
#define BROKER_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/* Older reports are discarded, so that a silent entry is allocated nothing. */
#define BROKER_REPORT_TTL_MS 5000

enum broker_kind { BROKER_POOL, BROKER_TEAM };

/* A pool or a team, by its process-wide id. */
struct broker_group {
	enum broker_kind kind;
	uint32_t id;
};

struct broker_team {
	uint32_t team;
	uint32_t milli_slots; /* demand, in thousandths of a slot */
};

struct broker_demand {
	struct broker_group group;
	uint32_t held; /* units held by the entry */
	uint32_t idle; /* nonzero if some of `held` is idle */
	uint32_t team_count;
	struct broker_team *teams;
};

struct broker_target {
	uint32_t team;
	uint32_t milli_slots; /* allocated, in thousandths of a slot */
};

struct broker_transfer {
	uint64_t to; /* incarnation of the receiving entry */
	uint32_t units;
};

struct broker_advice {
	struct broker_group group;
	uint32_t target_count;
	uint32_t transfer_count;
	struct broker_target *targets;
	struct broker_transfer *transfers;
};

struct broker_callbacks {
	/* Sets a team's share and limit; false if there is no such team. */
	bool (*team)(void *arg, uint32_t team, uint32_t *share,
		     uint32_t *limit);
	/* Sends advice to one entry; advice is valid during the call. */
	void (*advise)(void *arg, uint64_t entry,
		       const struct broker_advice *advice);
	void *arg;
};

struct broker;

/* broker_new - a broker without reports, owned by ctx */
struct broker *broker_new(TALLOC_CTX *ctx,
			  const struct broker_callbacks *callbacks);

/* broker_report - keep an entry's demand in place of its previous one */
void broker_report(struct broker *b, uint64_t entry,
		   const struct broker_demand *demand, uint64_t now_ms);

/* broker_forget - drop all reports of an entry */
void broker_forget(struct broker *b, uint64_t entry);

/* broker_run - allocate the groups whose reports changed; send advice */
void broker_run(struct broker *b, uint64_t now_ms);

/*
 * broker_choose - the entry, of the live ones given, that is a group's broker
 *
 * name is that of the pool or team: ids differ between processes. Returns 0 if
 * count is 0.
 */
uint64_t broker_choose(enum broker_kind kind, const char *name,
		       const uint64_t *entries, uint32_t count);

#endif
