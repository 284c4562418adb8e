/*
 * plan - the next steps of a maintenance wave
 *
 * A pure function of what is: which instances the wave has, what is out now
 * for whatever reason, and the budgets. It keeps no state of its own, so a
 * conductor that takes over goes on from the rows.
 */
#ifndef PLAN_H
#define PLAN_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "process/status.h"

enum plan_state {
	PLAN_SERVING,
	PLAN_DRAINING,
	PLAN_OUT,
	PLAN_FAILED, /* out without being asked to be */
};

struct plan_instance {
	uint32_t pool;
	uint32_t zone;
	uint32_t rack;
	enum plan_state state;
	bool wanted;   /* the wave is to maintain it */
	bool done;     /* the wave has maintained it */
	bool home;     /* no entry holds a unit of it */
	bool rebooted; /* since it was taken out, and well */
};

struct plan_pool {
	uint32_t serving_min; /* least instances serving */
	uint32_t out_max;     /* most out at once, for any reason */
};

struct plan_rules {
	uint32_t zone_out_max; /* most out at once in a zone, 0 for no bound */
	uint32_t rack_out_max;
};

struct plan_input {
	const struct plan_instance *instances;
	const struct plan_pool *pools;
	uint32_t instance_count;
	uint32_t pool_count;
	uint32_t zone_count;
	uint32_t rack_count;
	struct plan_rules rules;
};

enum plan_kind {
	PLAN_DRAIN,    /* serving to draining */
	PLAN_TAKE_OUT, /* draining to out, then reboot */
	PLAN_RETURN,   /* out to serving */
};

struct plan_step {
	enum plan_kind kind;
	uint32_t instance;
};

enum plan_budget {
	PLAN_FREE,	  /* nothing stands in the way */
	PLAN_SERVING_MIN, /* of a pool */
	PLAN_OUT_MAX,	  /* of a pool */
	PLAN_ZONE,
	PLAN_RACK,
};

struct plan_result {
	struct plan_step *steps; /* owned by the result's context */
	uint32_t count;
	uint32_t left;		  /* instances not yet done */
	enum plan_budget blocked; /* what keeps the next one back */
	uint32_t blocked_pool;
};

/* plan_next - the steps to take now, allocated on ctx */
void plan_next(TALLOC_CTX *ctx, const struct plan_input *in,
	       struct plan_result *out);

/*
 * plan_possible - whether the budgets allow the wave at all
 *
 * False with the pool whose budget stands in its way, and which one.
 */
bool plan_possible(const struct plan_input *in, struct plan_result *out);

/*
 * plan_bound_s - least time of the wave, in seconds
 *
 * cycle_s is the time that an instance is out. Pools go side by side; in
 * each, as many as its budgets allow.
 */
double plan_bound_s(const struct plan_input *in, double cycle_s);

/* plan_budget_name - a budget in operators' words */
const char *plan_budget_name(enum plan_budget budget);

#endif
