/*
 * services - what a node needs from the platform, by interface
 *
 * One struct of functions, filled by whoever knows the platform's words.
 * Each call is answered once, later, in the node's thread.
 */
#ifndef SERVICES_H
#define SERVICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "job/config.h"
#include "pool/sched.h"

/* The store: rows by table and key, changed under conditions */

enum store_status {
	STORE_OK,
	STORE_CONFLICT, /* a condition did not hold: nothing was done */
	STORE_REFUSED,	/* nothing was done */
	STORE_LOST,	/* history asked for is gone: read anew */
	STORE_UNKNOWN,	/* it may have been done, or may be done later */
};

struct store_row {
	const char *table;
	const char *key;
	uint8_t *value;
	size_t length;
	uint64_t revision;
	bool dropped;
};

struct store_reply {
	enum store_status status;
	uint64_t revision; /* newest of the store */
	uint32_t row_count;
	struct store_row *rows; /* valid during the call */
	bool more;
};

typedef void (*store_fn)(void *arg, const struct store_reply *reply);

struct store_condition {
	const char *table;
	const char *key;
	uint64_t revision; /* 0: there is no such row */
};

struct store_put {
	const char *table;
	const char *key;
	const uint8_t *value;
	size_t length;
};

struct store_drop {
	const char *table;
	const char *key;
};

#define STORE_TXN_MAX 100u /* entries of one transaction */
#define STORE_TXN_BYTES                                      \
	(512u << 10) /* of values, below the platform's 1 MB \
		      */

/*
 * store_part - the partition that holds a table's rows
 *
 * The store changes a partition by one transaction after another, and a
 * transaction changes one partition. What is written by many at once, and
 * under no condition of other tables, is kept apart from the jobs.
 */
const char *store_part(const char *table);

struct store_txn {
	uint32_t condition_count, put_count, drop_count;
	struct store_condition conditions[STORE_TXN_MAX];
	struct store_put puts[STORE_TXN_MAX];
	struct store_drop drops[STORE_TXN_MAX];
};

/* Orders to instances */

typedef void (*order_fn)(void *arg, enum sched_order_result result,
			 uint64_t clock_ms);

enum look_result {
	LOOK_ANSWERED,	 /* the report is not NULL */
	LOOK_UNANSWERED, /* by the instance */
	LOOK_NEWER_LEAD, /* it knows a newer lead and told nothing else */
	LOOK_LOST,	 /* by the node that looked for this one */
};

typedef void (*look_fn)(void *arg, enum look_result result,
			const struct sched_report *report);

/* Advice; rows are NULL when the adviser did not answer */
typedef void (*advice_fn)(void *arg, const struct sched_approval *rows,
			  uint32_t count, uint32_t valid_ms);

/* Machines */

enum machine_state { MACHINE_UP, MACHINE_MOVING, MACHINE_UPKEEP, MACHINE_DOWN };

struct machine_info {
	const char *machine;
	const char *pool;
	const char *instance; /* "" when it has none */
	const char *rack;
	enum machine_state state;
};

enum machine_result {
	MACHINE_OK,
	MACHINE_BUSY,	 /* not up */
	MACHINE_DENIED,	 /* not now, or never: nothing was done */
	MACHINE_UNKNOWN, /* it may have been done */
};

typedef void (*machines_fn)(void *arg, bool whole,
			    const struct machine_info *machines,
			    uint32_t count);
typedef void (*machine_fn)(void *arg, enum machine_result result);

struct machine_holder {
	const char *node;
	uint64_t fence;
};

/* A wave of upkeep that operators ask for. */
struct wave_request {
	char name[64];
	uint64_t number;
	uint32_t at_once; /* machines down at one time */
	uint32_t duration_ms;
	uint64_t begun_ms; /* when this node learned of it */
	uint32_t machine_count;
	char **machines; /* owned by the request */
};

struct services {
	void *impl;

	/* Tables that operators and instances write. */
	const char *operator_table;
	const char *instance_table;
	const char *status_table;
	const char *config_key;
	const char *wave_prefix; /* of keys in both tables */

	void (*txn)(void *impl, const struct store_txn *txn,
		    uint32_t timeout_ms, store_fn fn, void *arg);
	/*
	 * Rows with from <= key < to; to may be NULL. A reading or a feed is
	 * given up when no part of its answer comes for timeout_ms; a large
	 * one may take longer on a slow link.
	 */
	void (*read)(void *impl, const char *table, const char *from,
		     const char *to, uint32_t timeout_ms, store_fn fn,
		     void *arg);
	/* Every change since; UNKNOWN when it is far more than a reading. */
	void (*feed)(void *impl, const char *table, uint64_t after,
		     uint32_t wait_ms, store_fn fn, void *arg);

	void (*order)(void *impl, const struct sched_order *order,
		      uint64_t fence, uint32_t timeout_ms, order_fn fn,
		      void *arg);
	void (*look)(void *impl, const struct sched_poll *look, uint64_t fence,
		     uint32_t timeout_ms, look_fn fn, void *arg);

	void (*advise)(void *impl, const struct sched_advice *advice,
		       uint32_t timeout_ms, advice_fn fn, void *arg);

	void (*machines)(void *impl, machines_fn fn, void *arg);
	void (*machine_move)(void *impl, const struct machine_holder *holder,
			     const char *machine, const char *pool,
			     machine_fn fn, void *arg);
	void (*machine_upkeep)(void *impl, const struct machine_holder *holder,
			       const char *machine, uint64_t wave,
			       machine_fn fn, void *arg);

	/*
	 * Pure decoders. A row that cannot be read is logged once and gives
	 * NULL or false.
	 */
	struct config *(*config)(TALLOC_CTX *ctx, const uint8_t *value,
				 size_t length);
	bool (*instance)(TALLOC_CTX *ctx, const char *key, const uint8_t *value,
			 size_t length, struct sched_instance_info *info);
	struct wave_request *(*wave)(TALLOC_CTX *ctx, const uint8_t *value,
				     size_t length);
	/* The status that operators read; owned by ctx. */
	char *(*wave_status)(TALLOC_CTX *ctx, uint64_t number, bool completed);
};

#endif
