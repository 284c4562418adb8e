/*
 * broker - advice on how a group's units should lie over the entries
 *
 * A group is a pool's worker slots or one team's units. Entries report what
 * they hold and what their callers ask; the broker works out the weighted
 * max-min allocation over the fleet and answers with targets for each team
 * and with transfers for each holder. The broker is chosen by rendezvous
 * hashing over the live entries and keeps soft state only: two brokers at
 * once, or none, cost fairness for a moment and never safety.
 */
#ifndef BROKER_H
#define BROKER_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#define BROKER_REPORT_TTL_MS 5000 /* a silent entry is then left out */

enum broker_kind { BROKER_POOL, BROKER_TEAM };

/* kind and the pool's or team's number */
struct broker_group {
	enum broker_kind kind;
	uint32_t id;
};

struct broker_team {
	uint32_t team;
	uint32_t milli_slots; /* thousandths that it could use */
};

struct broker_demand {
	struct broker_group group;
	uint32_t held;
	uint32_t idle; /* above zero when some of it is idle */
	uint32_t team_count;
	struct broker_team *teams;
};

struct broker_target {
	uint32_t team;
	uint32_t milli_slots; /* thousandths of a slot */
};

struct broker_transfer {
	uint64_t to; /* incarnation */
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
	/* A team's share and limit; false when the team does not exist. */
	bool (*team)(void *arg, uint32_t team, uint32_t *share,
		     uint32_t *limit);
	/* Advice for one entry; valid during the call. */
	void (*advise)(void *arg, uint64_t entry,
		       const struct broker_advice *advice);
	void *arg;
};

struct broker;

/* broker_new - without reports, owned by ctx */
struct broker *broker_new(TALLOC_CTX *ctx,
			  const struct broker_callbacks *callbacks);

/* broker_report - one entry's demand, replacing its last one */
void broker_report(struct broker *b, uint64_t entry,
		   const struct broker_demand *demand, uint64_t now_ms);

/* broker_forget - drop all reports of an entry */
void broker_forget(struct broker *b, uint64_t entry);

/* broker_run - advise on every group that has had reports since */
void broker_run(struct broker *b, uint64_t now_ms);

/*
 * broker_choose - the entry that is a group's broker among the live ones
 *
 * name is the pool's or team's; numbers differ between processes.
 */
uint64_t broker_choose(enum broker_kind kind, const char *name,
		       const uint64_t *entries, uint32_t count);

#endif
