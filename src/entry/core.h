/*
 * core - decides which jobs an entry starts, and when
 *
 * Combines the fair queues, the ledger, the health of workers, the retry
 * budgets and the brokers. The core reads no clock and does no I/O: times
 * are arguments, effects go out through callbacks. Callers serialize calls
 * with one lock, the core lock; callbacks run under it and must not call
 * back into the core.
 */
#ifndef CORE_H
#define CORE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <talloc.h>

#include "process/broker.h"
#include "process/ledger.h"
#include "process/metric.h"
#include "request/job.h"
#include "version/cfg.h"

#define CORE_TICK_MS 50		  /* interval between calls of core_tick */
#define CORE_LEASE_MARGIN_MS 1000 /* from a lease's end to freeing units */
#define CORE_REFUSAL_COUNT 8	  /* number of values of enum job_refusal */
/* Bytes of a kind's letter, a colon, a name and the NUL, as in "t:shop" */
#define CORE_KIND_NAME_MAX (2 + CFG_NAME_MAX + 1)

/* A message to another entry's core. */
enum core_message_kind {
	CORE_LEND,
	CORE_LEND_ACK,
	CORE_DEMAND,
	CORE_ADVICE,
};

struct core_message {
	enum core_message_kind kind;
	union {
		struct ledger_transfer lend;
		uint64_t ack;
		struct broker_demand demand;
		struct broker_advice advice;
	} u;
};

struct core_callbacks {
	/* Start the job at job->instance; core_end_attempt takes the result. */
	void (*start)(void *arg, struct job *job);
	/* The job has not run and will not run. */
	void (*refuse)(void *arg, struct job *job, enum job_refusal refusal);
	/* Send to the peer with this incarnation; the message may be lost. */
	void (*send)(void *arg, uint64_t incarnation,
		     const struct core_message *message);
	/* Write a shard's row; core_finish_cas takes the outcome. */
	void (*write)(void *arg, uint32_t shard, const struct ledger_cas *cas);
	void *arg;
};

struct core_options {
	uint64_t incarnation;
	uint32_t shard_count;
	uint32_t waiting_max;	/* most waiting jobs, over all queues */
	uint64_t waiting_bytes; /* memory limit of the waiting jobs */
	uint64_t random;	/* seed of the retry delays */
	bool advice;		/* report demand to brokers, follow advice */
	struct core_callbacks callbacks;
};

struct core_counters {
	uint64_t submitted;
	uint64_t started; /* attempts, as are the next three */
	uint64_t ended;	  /* failed ones included */
	uint64_t failed;
	uint64_t possibly_running;
	uint64_t retried;
	uint64_t refused[CORE_REFUSAL_COUNT];
	uint64_t lent_units;	/* lent to peers */
	uint64_t row_writes;	/* writes of shard rows */
	uint64_t peer_messages; /* sent to peers */
	uint64_t workers_ejected;
};

struct core;

/* core_new - a core without configuration or members, owned by ctx */
struct core *core_new(TALLOC_CTX *ctx, const struct core_options *options);

/* core_configure - apply a configuration version; takes its own reference */
void core_configure(struct core *c, struct cfg *cfg, uint64_t now_ms);

/* core_set_members - set the registered entries, this one included */
void core_set_members(struct core *c, const struct ledger_members *members);

/* core_set_reachable - set whether a peer can be reached */
void core_set_reachable(struct core *c, uint64_t incarnation, bool reachable);

/*
 * core_set_fresh_until - set until when the configuration counts as fresh
 *
 * Before until_ms this entry has every accepted change. At and after it, no
 * job starts here.
 */
void core_set_fresh_until(struct core *c, uint64_t until_ms);

/* core_stop - refuse new jobs; return all idle units once no job waits */
void core_stop(struct core *c, uint64_t now_ms);

/* core_drained - whether no job is waiting or running and no unit is held */
bool core_drained(const struct core *c);

/*
 * core_submit - queue a job
 *
 * Returns true when the job was queued or started, false with the reason
 * when it was refused at once. The refuse callback isn't called for that.
 */
bool core_submit(struct core *c, struct job *job, uint64_t now_ms,
		 enum job_refusal *refusal);

enum core_next {
	CORE_FINISHED, /* the job is done: answer the caller */
	CORE_RETRIED,  /* the job is queued for another attempt */
};

/* core_end_attempt - process the result of a started job's attempt */
enum core_next core_end_attempt(struct core *c, struct job *job,
				enum job_result result, uint64_t now_ms);

/*
 * core_tick - periodic work, every CORE_TICK_MS
 *
 * Refuses jobs past their deadline, frees units of expired holds, acquires and
 * lends units, reports demand and starts jobs.
 */
void core_tick(struct core *c, uint64_t now_ms);

/* core_set_row - process a shard's row as read from the store */
void core_set_row(struct core *c, uint32_t shard, const struct ledger_row *row,
		  uint64_t now_ms);

/* core_finish_cas - process the outcome of a row's write */
void core_finish_cas(struct core *c, uint32_t shard,
		     enum ledger_cas_status status, uint64_t version,
		     uint64_t now_ms);

/* core_member_removed - an entry was unregistered by this members version */
void core_member_removed(struct core *c, uint64_t incarnation,
			 uint64_t version);

/* core_receive - process a message from a peer */
void core_receive(struct core *c, uint64_t from,
		  const struct core_message *message, uint64_t now_ms);

/* Views */

struct ledger *core_ledger(struct core *c);
const struct core_counters *core_counters(const struct core *c);
uint32_t core_waiting(const struct core *c);

/* core_team_load - count a team's waiting and running jobs in a pool */
void core_team_load(const struct core *c, pool_handle pool, team_handle team,
		    uint32_t *waiting, uint32_t *running);

/* core_instance_is_empty - whether no entry holds a unit of the instance */
bool core_instance_is_empty(const struct core *c, instance_handle instance);

/* core_print_metrics - print counters, backlog ages and histograms */
void core_print_metrics(struct core *c, FILE *out, uint64_t now_ms);

#endif
