/*
 * core - the decisions of one entry
 *
 * Joins the fair queues, the ledger, the health of workers, the retry
 * budgets and the brokers. It reads no clock and does no I/O: times are
 * arguments, effects go out through callbacks. Callers serialize calls by
 * one lock, the core lock; the callbacks run under it and may not call back
 * into the core.
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

#define CORE_TICK_MS 50	   /* how often core_tick is meant to run */
#define CORE_GRACE_MS 1000 /* after a task lease before units are freed */
#define CORE_REFUSALS 8	   /* values of enum job_refusal */

/* A message to a peer's core. */
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
	/* Start the job at job->instance; report by core_end. */
	void (*start)(void *arg, struct job *job);
	/* The job has not run and will not. */
	void (*refuse)(void *arg, struct job *job, enum job_refusal why);
	/* Send to the peer of that incarnation; may be lost. */
	void (*send)(void *arg, uint64_t incarnation,
		     const struct core_message *message);
	/* Write a shard's row; report by core_planned. */
	void (*write)(void *arg, uint32_t shard, const struct ledger_cas *cas);
	void *arg;
};

struct core_options {
	uint64_t incarnation;
	uint32_t shard_count;
	uint32_t waiting_max;	/* jobs that wait here, over all queues */
	uint64_t waiting_bytes; /* memory that they may take */
	uint64_t random;	/* seed */
	bool advice;		/* take part in brokering */
	struct core_callbacks callbacks;
};

struct core_counters {
	uint64_t submitted;
	uint64_t started;
	uint64_t ended;
	uint64_t failed;
	uint64_t may_run;
	uint64_t retried;
	uint64_t refused[CORE_REFUSALS];
	uint64_t lent;	   /* units */
	uint64_t writes;   /* of shard rows */
	uint64_t messages; /* to peers */
	uint64_t ejected;
};

struct core;

/* core_new - without configuration or members, owned by ctx */
struct core *core_new(TALLOC_CTX *ctx, const struct core_options *options);

/* core_configure - put a version in force; takes a reference of its own */
void core_configure(struct core *c, struct cfg *cfg, uint64_t now_ms);

/* core_members - the registered entries, this one included */
void core_members(struct core *c, const struct ledger_members *members);

/* core_reachable - whether a peer can be reached now */
void core_reachable(struct core *c, uint64_t incarnation, bool reachable);

/*
 * core_fresh - the entry knows every accepted change as of until
 *
 * Nothing starts after that time until it is moved on.
 */
void core_fresh(struct core *c, uint64_t until_ms);

/* core_stop - refuse new work; give units home when none waits */
void core_stop(struct core *c, uint64_t now_ms);

/* core_drained - nothing runs here and no unit is held */
bool core_drained(const struct core *c);

/*
 * core_submit - queue a job
 *
 * Returns true when it waits or was started; false with the reason when it
 * is refused at once, without the refuse callback.
 */
bool core_submit(struct core *c, struct job *job, uint64_t now_ms,
		 enum job_refusal *why);

enum core_next {
	CORE_FINISHED, /* answer the caller */
	CORE_RETRIED,  /* the job waits again */
};

/* core_end - the outcome of a started job's attempt */
enum core_next core_end(struct core *c, struct job *job, enum job_result result,
			uint64_t now_ms);

/* core_tick - deadlines, held units, draws, reports; every CORE_TICK_MS */
void core_tick(struct core *c, uint64_t now_ms);

/* core_row - a shard's row as read; core_planned - a write's outcome */
void core_row(struct core *c, uint32_t shard, const struct ledger_row *row,
	      uint64_t now_ms);
void core_planned(struct core *c, uint32_t shard, enum ledger_cas_status status,
		  uint64_t version, uint64_t now_ms);

/* core_gone - an entry was unregistered at that version of the members */
void core_gone(struct core *c, uint64_t incarnation, uint64_t version);

/* core_receive - a message of a peer */
void core_receive(struct core *c, uint64_t from,
		  const struct core_message *message, uint64_t now_ms);

/* Views */

struct ledger *core_ledger(struct core *c);
const struct core_counters *core_counters(const struct core *c);
uint32_t core_waiting(const struct core *c);

/* core_pool_of - running and waiting work of a team in a pool */
void core_team_load(const struct core *c, pool_handle pool, team_handle team,
		    uint32_t *waiting, uint32_t *running);

/* core_instance_home - whether no entry holds a slot of the instance */
bool core_instance_home(const struct core *c, instance_handle instance);

/* core_print - counters, backlog ages and histograms as metrics */
void core_print(struct core *c, FILE *out, uint64_t now_ms);

#endif
