/*
 * site - nodes of one site in virtual time
 *
 * Nodes are those of src/node/. Linked in front of the library, this rig
 * replaces what they reach the world with: the clock, timers, calls to other
 * nodes, the store and the log. Each host handles one event at a time, in the
 * order of arrival, and each takes some of its processor's time.
 */
#ifndef SITE_H
#define SITE_H

#include "node/node_internal.h"

#define SITE_HOSTS_MAX 160u
#define SITE_START_US 40000000000u /* virtual time at the start */

/* Ids of jobs that have ended, by number */
#define SITE_OLD_JOB "0%015x"
#define SITE_ENDED_JOB "1%015x"

struct site;
struct store;

typedef void (*site_fn)(void *arg);

/* Something that a host handles; cost_us: of a whole core. */
struct work {
	struct work *prev, *next;
	site_fn fn;
	void *arg;
	double cost_us;
};

/* What the store does with the calls of a host. */
struct store_faults {
	double lost;	 /* part of the writes that are done, not answered */
	double dropped;	 /* part of the writes that aren't done */
	double late;	 /* part of the writes that are done later */
	double slowness; /* factor of the time that the store takes */
	bool claims_answered; /* only answers to other writes are lost */
};

struct host {
	struct site *site;
	uint32_t index;
	char name[16];
	char address[32];
	struct node *node;
	struct services services;
	struct tevent_context *ev;
	double processor_share; /* of the core by which costs are stated */
	uint32_t node_power;	/* thousandths of a core */
	uint32_t delay_ms;	/* longest delay of a message to or from it */
	bool frozen, killed;
	uint64_t frozen_us, thawed_us; /* last time; 0: never */
	bool refused;		       /* the store refuses its calls */

	struct work *queue, *current;
	uint64_t free_us; /* when it has done what it is doing */
	bool pass_queued;
};

struct site {
	TALLOC_CTX *ctx;
	uint64_t now_us;
	uint64_t random;
	struct site_event *events; /* a binary heap */
	uint32_t event_count, event_alloc;
	uint64_t sequence; /* events of the same time are kept in order */
	struct host hosts[SITE_HOSTS_MAX];
	uint32_t host_count;
	struct host *running; /* the host that handles something now */
	struct store *store;
	struct store_faults faults;

	/* Called after each thing that a host has handled */
	void (*handled)(void *arg, struct host *h);
	void *handled_arg;

	char *history; /* lines of the log that concern the leader */
};

struct site_options {
	uint32_t nodes;
	uint32_t weak;		/* of these; they have a quarter of the power */
	double processor_share; /* that a node gets of its power */
	uint32_t ended_jobs;	/* rows of jobs that end at the start */
	uint32_t old_jobs;	/* rows of jobs that ended hours before */
	uint32_t kept_jobs;	/* of these, whose job row is there too */
	uint64_t seed;
};

/* site_new - the only site; all its nodes start within 300 ms */
struct site *site_new(const struct site_options *options);
void site_free(struct site *s);
void site_run_until(struct site *s, uint64_t at_us);

/* site_at - call fn at this time; not part of a host's work */
void site_at(struct site *s, uint64_t at_us, site_fn fn, void *arg);

/* site_random - in [0, 1) */
double site_random(struct site *s);

/* site_note - add a line to the history */
__attribute__((format(printf, 2, 3))) void site_note(struct site *s,
						     const char *fmt, ...);

/* host_post - queue something that has arrived at a host */
void host_post(struct host *h, double cost_us, site_fn fn, void *arg);

/* host_spend - take more of the processor's time for what is being handled */
void host_spend(struct host *h, double cost_us);
void host_freeze(struct host *h);
void host_thaw(struct host *h);
void host_kill(struct host *h);

/* site_store.c */
void site_store_new(struct site *s, const struct site_options *options);
void site_store_services(struct host *h);

/* site_leader - the host that the leader row names; NULL: none */
struct host *site_leader(struct site *s);

/* site_has_formers - whether the row says that earlier leaders may order */
bool site_has_formers(struct site *s);

/* site_job_row - a job of one task; freed with free_unpacked */
Fleet__JobRow *site_job_row(void);

/* site_rows - how many rows a table of the store has */
uint32_t site_rows(struct site *s, const char *table);
bool site_has_row(struct site *s, const char *table, const char *key);

/* site_claimed_us - when the claim of an epoch took effect; 0: it didn't */
uint64_t site_claimed_us(const struct site *s, uint64_t epoch);

#endif
