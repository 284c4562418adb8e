/*
 * services - interface of the platform to a node
 *
 * One struct of functions, filled in by the platform's adapter. A callback
 * is called exactly once, after the function has returned, in the node's
 * thread.
 */
#ifndef SERVICES_H
#define SERVICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "job/config.h"
#include "job/config_document.h"
#include "pool/sched.h"

/* The store: rows by table and key, with conditional writes */

enum store_status {
	STORE_OK,
	STORE_CONFLICT,	    /* a condition failed: nothing was written */
	STORE_REFUSED,	    /* or not reachable: nothing was written */
	STORE_HISTORY_LOST, /* a feed's changes are gone: read the table */
	STORE_UNKNOWN,	    /* no answer: a write may be done now or later */
	STORE_INVALID,	    /* it would be refused again: nothing was written */
};

#define STORE_STATUSES (STORE_INVALID + 1u)

struct store_row {
	const char *table;
	const char *key;
	uint8_t *value;
	size_t length;
	uint64_t revision;
	bool deleted;
};

struct store_answer {
	enum store_status status;
	uint64_t revision; /* newest revision of the store */
	uint32_t row_count;
	struct store_row *rows; /* valid during the callback */
	bool more;		/* further rows follow the last one */
};

typedef void (*store_fn)(void *arg, const struct store_answer *answer);

struct store_condition {
	const char *table;
	const char *key;
	uint64_t revision; /* that the row must have; 0: no row */
};

struct store_put {
	const char *table;
	const char *key;
	const uint8_t *value;
	size_t length;
};

struct store_delete {
	const char *table;
	const char *key;
};

#define WAVE_NAME_MAX 64	     /* bytes, with the NUL */
#define STORE_TXN_MAX 100u	     /* entries of one transaction */
#define STORE_TXN_BYTES (512u << 10) /* of values; the platform allows 1 MB */

/*
 * store_partition - the partition that holds a table's rows
 *
 * The store applies the transactions of a partition one after another, and a
 * transaction changes only one partition. Tables that many nodes write at once,
 * without conditions on other tables, are kept out of the jobs' partition.
 */
const char *store_partition(const char *table);

/* store_status_name - a status as a word, for the log and the metrics */
const char *store_status_name(enum store_status status);

struct store_txn {
	uint32_t condition_count, put_count, delete_count;
	struct store_condition conditions[STORE_TXN_MAX];
	struct store_put puts[STORE_TXN_MAX];
	struct store_delete deletes[STORE_TXN_MAX];
};

/* Orders to instances; clock_ms is the instance's clock */

typedef void (*order_fn)(void *arg, enum sched_order_result result,
			 uint64_t clock_ms);

enum poll_result {
	POLL_ANSWERED,	   /* report isn't NULL */
	POLL_UNANSWERED,   /* the instance didn't answer */
	POLL_NEWER_LEADER, /* it knows a newer leader; no report */
	POLL_LOST, /* the relay reported no result: the instance may be fine */
};

typedef void (*poll_fn)(void *arg, enum poll_result result,
			const struct sched_report *report);

/* Advice; approvals is NULL when the adviser didn't answer */
typedef void (*advice_fn)(void *arg, const struct sched_approval *approvals,
			  uint32_t count, uint32_t valid_ms);

/* Machines */

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_MAINTENANCE,
	MACHINE_DOWN
};

struct machine_info {
	const char *machine;
	const char *pool;
	const char *instance; /* "" when it has none */
	const char *rack;
	const char *zone; /* "" if unknown */
	enum machine_state state;
};

enum machine_result {
	MACHINE_OK,
	MACHINE_BUSY,	 /* not up */
	MACHINE_DENIED,	 /* temporarily or permanently; nothing was done */
	MACHINE_UNKNOWN, /* no answer: it may have been done */
};

typedef void (*machines_fn)(void *arg, bool complete,
			    const struct machine_info *machines,
			    uint32_t count);
typedef void (*machine_fn)(void *arg, enum machine_result result);

/* Node and fence under which orders are given to machines. */
struct machine_holder {
	const char *node;
	uint64_t fence;
};

/* A wave of maintenance that operators request. */
struct wave_request {
	char name[WAVE_NAME_MAX];
	uint64_t number;
	uint32_t max_concurrent; /* maximum of machines down at a time */
	uint32_t duration_ms;
	uint64_t started_ms; /* set by the node: start of duration_ms */
	uint32_t machine_count;
	char **machines; /* owned by the request */
};

struct services {
	void *impl;

	/* Tables shared with operators and instances */
	const char *operator_table;
	const char *instance_table;
	const char *status_table;
	const char *config_key;
	const char *wave_prefix; /* of the keys of waves and of their status */
	/* of the keys of evacuations; the zone follows. NULL: there are none */
	const char *evacuation_prefix;

	void (*txn)(void *impl, const struct store_txn *txn,
		    uint32_t timeout_ms, store_fn fn, void *arg);
	/*
	 * Rows with from <= key < to; from and to may be NULL. The call is
	 * aborted when no part of its answer arrives for timeout_ms; a large
	 * answer may take longer in total on a slow link.
	 */
	void (*read)(void *impl, const char *table, const char *from,
		     const char *to, uint32_t timeout_ms, store_fn fn,
		     void *arg);
	/*
	 * Every change after the revision `after`; the store waits up to
	 * wait_ms for the first one. Aborted like a read, after wait_ms and
	 * a margin. STORE_UNKNOWN also if the changes are far larger than
	 * the largest read.
	 */
	void (*feed)(void *impl, const char *table, uint64_t after,
		     uint32_t wait_ms, store_fn fn, void *arg);

	void (*order)(void *impl, const struct sched_order *order,
		      uint64_t fence, uint32_t timeout_ms, order_fn fn,
		      void *arg);
	void (*poll)(void *impl, const struct sched_poll *poll, uint64_t fence,
		     uint32_t timeout_ms, poll_fn fn, void *arg);

	void (*advise)(void *impl, const struct sched_advice *advice,
		       uint32_t timeout_ms, advice_fn fn, void *arg);

	void (*machines)(void *impl, machines_fn fn, void *arg);
	void (*machine_move)(void *impl, const struct machine_holder *holder,
			     const char *machine, const char *pool,
			     machine_fn fn, void *arg);
	void (*machine_maintenance)(void *impl,
				    const struct machine_holder *holder,
				    const char *machine, uint64_t wave,
				    machine_fn fn, void *arg);

	/*
	 * Decoders; they change no state. A malformed row is logged once and
	 * gives NULL or false.
	 */
	struct config *(*config)(TALLOC_CTX *ctx, const uint8_t *value,
				 size_t length,
				 const struct config_observer *observer);
	bool (*instance)(TALLOC_CTX *ctx, const char *key, const uint8_t *value,
			 size_t length, struct sched_instance_info *info);
	struct wave_request *(*wave)(TALLOC_CTX *ctx, const uint8_t *value,
				     size_t length);
	/* Whether a row asks for the evacuation of the zone in its key. */
	bool (*evacuation)(const uint8_t *value, size_t length);
	/* The status that operators read; owned by ctx. */
	char *(*wave_status)(TALLOC_CTX *ctx, uint64_t number, bool completed);
};

#endif
