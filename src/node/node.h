/*
 * node - one of the equal processes between callers and instances
 *
 * Every node answers callers. One of them, the leader, decides about all jobs;
 * a conditional write of a row of the store elects it. The others forward
 * requests to the leader, and use the store while the leader can't be reached.
 */
#ifndef NODE_H
#define NODE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "connection/budget.h"
#include "node/services.h"
#include "proto/fleet.pb-c.h"

#define NODE_SEEDS_MAX 8u

struct node;

struct node_settings {
	const char *name;
	const char *zone;
	const char *peers;	   /* IP address and port for other nodes */
	const char *links;	   /* same, for framed links; NULL: none */
	uint32_t direct_calls_max; /* instances that a leader calls itself */
	uint32_t seed_count;
	const char *seeds[NODE_SEEDS_MAX]; /* addresses of some other nodes */
	uint32_t power;	       /* CPU of this node, thousandths of a core */
	bool first_start;      /* first start of the whole system */
	uint32_t lease_ms;     /* lease of a task on an instance */
	uint32_t lease_max_ms; /* instances shorten longer leases to this */
	uint32_t end_keep_ms;  /* retention of an ended job's state */
	uint32_t holder_ms;    /* gap between two leaders' orders to machines */
	uint32_t move_ms;      /* duration of a machine's move */
	uint32_t maintenance_ms; /* duration of a machine's maintenance */
	uint32_t config_ms;	 /* until every node uses a confirmed version */
	uint32_t row_bytes;	/* most that a row of the store holds; 0: any */
	uint64_t job_bytes_max; /* memory of the leader's jobs; 0: no limit */
	/* most that a forecast of arrivals counts; 0: none is made */
	uint32_t forecast_trust_max; /* percent */
	/* from an operator's request to the last start in the zone; 0: none */
	uint32_t evacuate_ms;
	/* waiting steps of a pool that hold a reservation; 0: none does */
	uint32_t placement_reservations;
	/* Of all listeners of the process; NULL: the node has its own. */
	struct budget_process *budgets;
};

/* node_new - NULL when the peers' address cannot be bound */
struct node *node_new(TALLOC_CTX *ctx, struct tevent_context *ev,
		      const struct node_settings *settings,
		      const struct services *services);

/* node_config - the newest known configuration, or NULL */
const struct config *node_config(const struct node *n);

/*
 * node_config_is_current - whether node_config may be used for an answer
 *
 * False once the node can't prove that no newer version was confirmed more than
 * config_ms ago: a queue or key that it doesn't know may exist by then.
 */
bool node_config_is_current(const struct node *n);

/* node_ready - false while the node stops or its configuration is stale */
bool node_ready(const struct node *n);

struct node_answer {
	Fleet__Result result;
	Fleet__JobState state;
	uint32_t pending;
	uint32_t retry_after_ms;
	uint32_t valid_ms; /* a peer may repeat the state for so long */
};

typedef void (*node_answer_fn)(void *arg, const struct node_answer *answer);

struct node_request {
	Fleet__Verb verb;
	const char *queue;
	const char *id;	     /* "" for PENDING */
	Fleet__JobRow *job;  /* of a SUBMIT; copied, stays the caller's */
	uint32_t timeout_ms; /* how long the caller waits */

	/* Set for a request that a peer forwards: */
	uint64_t config_version; /* by which the peer admitted it */
	bool config_stale; /* only a leader with no newer version may answer */

	node_answer_fn fn; /* called once, maybe before node_request returns */
	void *arg;
};

void node_request(struct node *n, const struct node_request *req);

/*
 * node_stop - release leadership, then call done once
 *
 * The node still answers requests.
 */
void node_stop(struct node *n, void (*done)(void *arg), void *arg);

/* node_metrics - metrics in the Prometheus text format; from malloc(3) */
char *node_metrics(const struct node *n);

#endif
