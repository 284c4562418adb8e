/*
 * node - one of the equal processes between callers and instances
 *
 * Each node answers callers. One of them, the lead, decides about all jobs;
 * it is chosen by a row of the store, changed under a condition. The others
 * ask it, and use the store where it cannot be asked.
 */
#ifndef NODE_H
#define NODE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "node/services.h"
#include "proto/fleet.pb-c.h"

#define NODE_SEEDS_MAX 8u

struct node;

struct node_settings {
	const char *name;
	const char *zone;
	const char *peers;    /* IP number and port, for other nodes */
	const char *links;    /* the same, for frames; NULL: none */
	uint32_t calls_alone; /* instances that a lead calls without help */
	uint32_t seed_count;
	const char *seeds[NODE_SEEDS_MAX]; /* addresses of some others */
	uint32_t power;	       /* of its processor, thousandths of a core */
	bool first_start;      /* the whole system starts for the first time */
	uint32_t lease_ms;     /* of what runs on instances */
	uint32_t lease_max_ms; /* instances shorten longer ones to this */
	uint32_t end_keep_ms;  /* an ended job's state is told that long */
	uint32_t holder_ms;    /* orders to machines: apart for two holders */
	uint32_t move_ms;      /* a machine's move */
	uint32_t upkeep_ms;    /* a machine's upkeep */
	uint32_t config_ms;    /* a confirmed version is in force after that */
};

/* node_new - NULL when the peers' address cannot be bound */
struct node *node_new(TALLOC_CTX *ctx, struct tevent_context *ev,
		      const struct node_settings *settings,
		      const struct services *services);

/* node_config - the newest version known, or NULL */
const struct config *node_config(const struct node *n);

/*
 * node_config_holds - whether an answer may rest on node_config
 *
 * False once the node cannot show that no newer version was confirmed for
 * config_ms: a queue or key that it does not know may be there by now.
 */
bool node_config_holds(const struct node *n);

/* node_ready - whether callers should come */
bool node_ready(const struct node *n);

struct node_answer {
	Fleet__Result result;
	Fleet__JobState state;
	uint32_t pending;
	uint32_t retry_after_ms;
};

typedef void (*node_answer_fn)(void *arg, const struct node_answer *answer);

struct node_request {
	Fleet__Verb verb;
	const char *queue;
	const char *id;		 /* "" for PENDING */
	Fleet__JobRow *job;	 /* of a SUBMIT; kept by the caller, copied */
	uint32_t deadline_ms;	 /* the caller waits that long */
	uint64_t config_version; /* by which it was let in */
	bool config_old;   /* that may be too old: the lead must know none newer
			    */
	node_answer_fn fn; /* called once, maybe before node_request returns */
	void *arg;
};

void node_request(struct node *n, const struct node_request *ask);

/* node_stop - hand over, then call done once; asks go on being answered */
void node_stop(struct node *n, void (*done)(void *arg), void *arg);

/* node_metrics - in the text form that scrapers read; from malloc(3) */
char *node_metrics(const struct node *n);

#endif
