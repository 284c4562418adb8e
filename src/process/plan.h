/*
 * plan - planner of a maintenance wave
 *
 * A pure function of the current state: the instances of the wave, those out
 * of service for any reason, and the availability budgets. It keeps no state,
 * so that another entry that becomes the conductor continues from the stored
 * rows.
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
	PLAN_FAILED, /* out of service, but not for maintenance */
};

struct plan_instance {
	uint32_t pool;
	uint32_t zone;
	uint32_t rack;
	enum plan_state state;
	bool selected; /* the wave includes it */
	bool done;     /* the wave has finished with it */
	bool empty;    /* no entry holds a unit of it */
	bool rebooted; /* it has rebooted since it was taken out */
};

struct plan_pool {
	uint32_t serving_min; /* least number of instances serving */
	uint32_t out_max;     /* most instances out at once, for any reason */
};

struct plan_rules {
	uint32_t zone_out_max; /* most instances out in a zone; 0: no limit */
	uint32_t rack_out_max; /* most instances out in a rack; 0: no limit */
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

enum plan_step_kind {
	PLAN_DRAIN,    /* serving to draining */
	PLAN_TAKE_OUT, /* draining to out, then reboot */
	PLAN_RETURN,   /* out to serving */
};

struct plan_step {
	enum plan_step_kind kind;
	uint32_t instance;
};

enum plan_budget {
	PLAN_NOT_BLOCKED,  /* no budget is exhausted */
	PLAN_SERVING_MIN,  /* the pool's serving_min */
	PLAN_OUT_MAX,	   /* the pool's out_max */
	PLAN_ZONE_OUT_MAX, /* the zone_out_max of the rules */
	PLAN_RACK_OUT_MAX, /* the rack_out_max of the rules */
};

struct plan_result {
	struct plan_step *steps; /* owned by plan_next's ctx */
	uint32_t count;
	uint32_t remaining; /* selected instances not yet done */
	/* Budget that delays a drain, and the pool of the instance delayed. */
	enum plan_budget blocked;
	uint32_t blocked_pool;
};

/* plan_next - the steps to take now, allocated on ctx */
void plan_next(TALLOC_CTX *ctx, const struct plan_input *in,
	       struct plan_result *out);

/*
 * plan_feasible - whether the budgets allow the wave at all
 *
 * If false, out->blocked and out->blocked_pool name the budget that forbids it.
 */
bool plan_feasible(const struct plan_input *in, struct plan_result *out);

/*
 * plan_min_duration_s - lower bound of the wave's duration, in seconds
 *
 * cycle_s is the time from draining an instance until it serves again. Assumes
 * that pools proceed in parallel, each with as many instances out as its
 * budgets allow.
 */
double plan_min_duration_s(const struct plan_input *in, double cycle_s);

/* plan_budget_name - a budget's name in the configuration */
const char *plan_budget_name(enum plan_budget budget);

#endif
