#include "process/plan.h"

#include <assert.h>
#include <stdlib.h>

/* Numbers of instances; one not serving, for whatever reason, is out. */
struct counters {
	uint32_t *out;	    /* by pool */
	uint32_t *serving;  /* by pool */
	uint32_t *zone_out; /* by zone */
	uint32_t *rack_out; /* by rack */
};

static uint32_t *new_counters(TALLOC_CTX *ctx, uint32_t count)
{
	uint32_t *a = talloc_zero_array(ctx, uint32_t, count + 1);

	assert(a);
	return a;
}

static void count_instances(TALLOC_CTX *ctx, const struct plan_input *in,
			    struct counters *c)
{
	uint32_t i;

	c->out = new_counters(ctx, in->pool_count);
	c->serving = new_counters(ctx, in->pool_count);
	c->zone_out = new_counters(ctx, in->zone_count);
	c->rack_out = new_counters(ctx, in->rack_count);
	for (i = 0; i < in->instance_count; i++) {
		const struct plan_instance *n = &in->instances[i];

		if (n->state == PLAN_SERVING) {
			c->serving[n->pool]++;
			continue;
		}
		c->out[n->pool]++;
		c->zone_out[n->zone]++;
		c->rack_out[n->rack]++;
	}
}

static enum plan_budget blocking_budget(const struct plan_input *in,
					const struct counters *c,
					const struct plan_instance *n)
{
	const struct plan_pool *p = &in->pools[n->pool];

	if (c->out[n->pool] >= p->out_max)
		return PLAN_OUT_MAX;
	if (c->serving[n->pool] <= p->serving_min)
		return PLAN_SERVING_MIN;
	if (in->rules.zone_out_max &&
	    c->zone_out[n->zone] >= in->rules.zone_out_max)
		return PLAN_ZONE_OUT_MAX;
	if (in->rules.rack_out_max &&
	    c->rack_out[n->rack] >= in->rules.rack_out_max)
		return PLAN_RACK_OUT_MAX;
	return PLAN_NOT_BLOCKED;
}

static void add_step(struct plan_result *out, enum plan_step_kind kind,
		     uint32_t instance)
{
	out->steps[out->count].kind = kind;
	out->steps[out->count++].instance = instance;
}

/* Adds the next steps of instances draining or out; these need no budget. */
static void plan_in_progress(const struct plan_input *in,
			     struct plan_result *out)
{
	uint32_t i;

	for (i = 0; i < in->instance_count; i++) {
		const struct plan_instance *n = &in->instances[i];

		if (!n->selected || n->done)
			continue;
		out->remaining++;
		if (n->state == PLAN_DRAINING && n->empty)
			add_step(out, PLAN_TAKE_OUT, i);
		else if (n->state == PLAN_OUT && n->rebooted)
			add_step(out, PLAN_RETURN, i);
	}
}

struct candidate {
	uint32_t instance;
	uint32_t zone;
	uint32_t rack;
};

/*
 * Orders by zone and rack, so that the instances out at once are in few failure
 * domains.
 */
static int by_failure_domain(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->zone != y->zone)
		return x->zone < y->zone ? -1 : 1;
	if (x->rack != y->rack)
		return x->rack < y->rack ? -1 : 1;
	return x->instance < y->instance ? -1 : x->instance > y->instance;
}

static uint32_t find_candidates(TALLOC_CTX *ctx, const struct plan_input *in,
				struct candidate **found)
{
	uint32_t n = 0;
	uint32_t i;

	*found = talloc_array(ctx, struct candidate, in->instance_count + 1);
	assert(*found);
	for (i = 0; i < in->instance_count; i++) {
		const struct plan_instance *x = &in->instances[i];

		if (!x->selected || x->done || x->state != PLAN_SERVING)
			continue;
		(*found)[n++] = (struct candidate){ i, x->zone, x->rack };
	}
	qsort(*found, n, sizeof(**found), by_failure_domain);
	return n;
}

static void plan_drains(TALLOC_CTX *ctx, const struct plan_input *in,
			struct counters *c, struct plan_result *out)
{
	struct candidate *found;
	uint32_t n = find_candidates(ctx, in, &found);
	uint32_t i;

	for (i = 0; i < n; i++) {
		const struct plan_instance *x =
			&in->instances[found[i].instance];
		enum plan_budget budget = blocking_budget(in, c, x);

		if (budget != PLAN_NOT_BLOCKED) {
			if (out->blocked == PLAN_NOT_BLOCKED) {
				out->blocked = budget;
				out->blocked_pool = x->pool;
			}
			continue;
		}
		c->out[x->pool]++;
		c->serving[x->pool]--;
		c->zone_out[x->zone]++;
		c->rack_out[x->rack]++;
		add_step(out, PLAN_DRAIN, found[i].instance);
	}
}

void plan_next(TALLOC_CTX *ctx, const struct plan_input *in,
	       struct plan_result *out)
{
	TALLOC_CTX *scratch = talloc_new(ctx);
	struct counters counters;

	*out = (struct plan_result){ .blocked = PLAN_NOT_BLOCKED };
	out->steps =
		talloc_array(ctx, struct plan_step, in->instance_count + 1);
	assert(out->steps && scratch);
	count_instances(scratch, in, &counters);
	plan_in_progress(in, out);
	plan_drains(scratch, in, &counters, out);
	talloc_free(scratch);
}

/* How many of a pool's instances may be out at once if none has failed. */
static uint32_t max_parallel(const struct plan_pool *p, uint32_t instances)
{
	uint32_t spare =
		instances > p->serving_min ? instances - p->serving_min : 0;

	return spare < p->out_max ? spare : p->out_max;
}

static uint32_t *pool_sizes(TALLOC_CTX *ctx, const struct plan_input *in,
			    bool selected_only)
{
	uint32_t *sizes = new_counters(ctx, in->pool_count);
	uint32_t i;

	for (i = 0; i < in->instance_count; i++)
		if (!selected_only ||
		    (in->instances[i].selected && !in->instances[i].done))
			sizes[in->instances[i].pool]++;
	return sizes;
}

bool plan_feasible(const struct plan_input *in, struct plan_result *out)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	uint32_t *all = pool_sizes(scratch, in, false);
	uint32_t *selected = pool_sizes(scratch, in, true);
	uint32_t i;

	*out = (struct plan_result){ .blocked = PLAN_NOT_BLOCKED };
	for (i = 0; i < in->pool_count && out->blocked == PLAN_NOT_BLOCKED;
	     i++) {
		if (!selected[i] || max_parallel(&in->pools[i], all[i]))
			continue;
		out->blocked_pool = i;
		out->blocked =
			in->pools[i].out_max ? PLAN_SERVING_MIN : PLAN_OUT_MAX;
	}
	talloc_free(scratch);
	return out->blocked == PLAN_NOT_BLOCKED;
}

double plan_min_duration_s(const struct plan_input *in, double cycle_s)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	uint32_t *all = pool_sizes(scratch, in, false);
	uint32_t *selected = pool_sizes(scratch, in, true);
	double longest = 0;
	uint32_t i;

	for (i = 0; i < in->pool_count; i++) {
		uint32_t k = max_parallel(&in->pools[i], all[i]);
		double s = k ? (selected[i] + k - 1) / k * cycle_s : 0;

		longest = s > longest ? s : longest;
	}
	talloc_free(scratch);
	return longest;
}

const char *plan_budget_name(enum plan_budget budget)
{
	switch (budget) {
	case PLAN_NOT_BLOCKED:
		return "none";
	case PLAN_SERVING_MIN:
		return "serving_min";
	case PLAN_OUT_MAX:
		return "out_max";
	case PLAN_ZONE_OUT_MAX:
		return "zone_out_max";
	case PLAN_RACK_OUT_MAX:
		return "rack_out_max";
	}
	return "none";
}
