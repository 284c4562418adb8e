/*
 * core_internal - what the core's source files share
 *
 * core.c has the request's way, core_cfg.c configuration and members;
 * core_units.c draws, lends and reports units; core_print.c writes metrics.
 */
#ifndef CORE_INTERNAL_H
#define CORE_INTERNAL_H

#include <assert.h>

#include "entry/core.h"
#include "process/health.h"
#include "process/share.h"
#include "request/fq.h"
#include "request/retry.h"

#define CORE_PEERS_MAX 64	/* entries */
#define CORE_ADVICE_TTL_MS 5000 /* older advice gives way to local targets */

/* Units kept for work that may still run on a worker. */
struct core_hold {
	team_handle team;
	pool_handle pool;
	instance_handle instance;
	uint64_t until_ms;
};

/* What a holder owes to other entries by its broker's advice. */
struct core_owed {
	struct broker_transfer *transfers;
	uint32_t count;
};

struct core_team {
	domain_handle domain;
	struct retry_budget retries;
	struct metric_histogram waits[2]; /* by enum cfg_class */
	struct core_owed owed;
	struct broker_demand sent; /* last report */
	uint64_t sent_ms;
	uint32_t waiting;
	uint32_t running;
	bool known;
	bool configured;
};

struct core_instance {
	domain_handle domain;
	struct health health;
	bool configured;
};

struct core_pool {
	struct fq *queue;
	uint32_t *instances; /* serving or draining, by configuration */
	uint32_t instance_count;
	uint32_t slots; /* of serving instances */
	struct core_owed owed;
	struct broker_demand sent;
	uint64_t sent_ms;
	uint64_t advised_ms;
	double targets;	    /* sum of the advised ones */
	uint64_t spared_ms; /* since when a slot is kept back, 0 if none */
};

struct core_peer {
	uint64_t incarnation;
	struct ledger_link *link;
	uint64_t resent_ms;
	bool reachable;
};

struct core {
	struct core_options options;
	struct cfg *cfg;
	struct ledger *ledger;
	struct broker *broker;
	struct core_team *teams;
	struct core_pool *pools;
	struct core_instance *instances;
	uint32_t team_count;
	uint32_t pool_count;
	uint32_t instance_count;
	struct core_peer peers[CORE_PEERS_MAX];
	uint32_t peer_count;
	uint64_t *member_ids;
	struct ledger_members members;
	struct core_hold *holds;
	uint32_t hold_count;
	uint32_t hold_room;
	struct core_counters counters;
	uint64_t random;
	uint64_t fresh_until_ms;
	uint64_t now_ms;   /* of the call under way */
	uint64_t swept_ms; /* last look at pools and teams without work */
	uint32_t waiting;
	uint64_t waiting_bytes;
	uint32_t running;
	bool stopping;
};

/* core_dispatch - start what can start in a pool */
void core_dispatch(struct core *c, pool_handle pool);

/* core_peer - the peer of that incarnation or NULL */
struct core_peer *core_peer(struct core *c, uint64_t incarnation);

/* core_units_tick - draw, give home, lend, report demand, write rows */
void core_units_tick(struct core *c);

/* core_units_write - write the shards' rows that need it */
void core_units_write(struct core *c);

/* core_units_pay - lend a pool's free slots that are owed */
void core_units_pay_pool(struct core *c, uint32_t pool);
void core_units_pay_team(struct core *c, uint32_t team);

/* core_units_advised - keep a broker's advice */
void core_units_advised(struct core *c, const struct broker_advice *advice);

/* core_units_broker - a broker whose advice goes out through the core */
struct broker *core_units_broker(struct core *c);

/* core_send - count and send a message; to this entry itself, deliver it */
void core_send(struct core *c, uint64_t to, const struct core_message *message);

#endif
