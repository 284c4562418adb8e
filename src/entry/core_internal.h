/*
 * core_internal - shared by the core's source files
 *
 * core.c		jobs from submission to their end
 * core_cfg.c		configuration, members and peers
 * core_units.c		acquires and lends units, reports demand
 * core_print.c		metrics
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
#define CORE_ADVICE_TTL_MS 5000 /* local targets replace older advised ones */

/* Units withheld because a job's attempt may still run on a worker. */
struct core_hold {
	team_handle team;
	pool_handle pool;
	instance_handle instance;
	uint64_t until_ms; /* end of the attempt's lease and its margin */
};

/* Units that the broker advises this entry to lend. */
struct core_transfers {
	struct broker_transfer *list;
	uint32_t count;
};

struct core_team {
	domain_handle domain;
	struct retry_budget retries;
	struct metric_histogram waits[2]; /* index: enum cfg_class */
	struct core_transfers transfers;
	struct broker_demand reported; /* last demand sent to the broker */
	uint64_t reported_ms;
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
	uint32_t *instances; /* the pool's instances in any state */
	uint32_t instance_count;
	uint32_t slots; /* total of the serving instances */
	struct core_transfers transfers;
	struct broker_demand reported; /* last demand sent to the broker */
	uint64_t reported_ms;
	uint64_t advised_ms;	    /* when the last advice came */
	double target_sum;	    /* sum of the advised targets, in slots */
	uint64_t reserved_since_ms; /* 0 when no slot is reserved */
};

struct core_peer {
	uint64_t incarnation;
	struct ledger_link *link;
	uint64_t resent_ms; /* last resend of unacknowledged transfers */
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
	uint32_t hold_capacity;
	struct core_counters counters;
	uint64_t random;
	uint64_t fresh_until_ms;
	uint64_t now_ms;	 /* time of the current call */
	uint64_t full_update_ms; /* last full update; 0 makes one due */
	uint32_t waiting;
	uint64_t waiting_bytes;
	uint32_t running;
	bool stopping;
};

/* core_dispatch - start the jobs that can start in a pool */
void core_dispatch(struct core *c, pool_handle pool);

/* core_peer - find a peer by incarnation, NULL when unknown */
struct core_peer *core_peer(struct core *c, uint64_t incarnation);

/* core_units_tick - acquire, return and lend units, report demand */
void core_units_tick(struct core *c);

/* core_units_write - write the shard rows with pending changes */
void core_units_write(struct core *c);

/* core_units_lend_pool - lend a pool's free slots as advised */
void core_units_lend_pool(struct core *c, uint32_t pool);

/* core_units_lend_team - lend a team's free units as advised */
void core_units_lend_team(struct core *c, uint32_t team);

/* core_units_set_advice - keep a broker's advice and follow it */
void core_units_set_advice(struct core *c, const struct broker_advice *advice);

/* core_units_broker - create the broker that sends advice by core_send */
struct broker *core_units_broker(struct core *c);

/* core_send - send a message to a peer, or deliver it to this entry itself */
void core_send(struct core *c, uint64_t to, const struct core_message *message);

#endif
