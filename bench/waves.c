/*
 * waves - maintenance waves in virtual time, planned by the real planner
 *
 * 50 workers in 5 pools over 3 zones with 4 to a rack. Work on a worker ends
 * some time after it drains; nothing is taken out before all its units are
 * home. Workers fail, correlated in racks; the conductor is killed or frozen
 * between any two steps, and one that wakes tries an old step, which its
 * version must refuse. Budgets and cut requests are checked after each step.
 */
#include <argtable2.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/clock.h"
#include "process/plan.h"

#define WORKERS 50
#define POOLS 5
#define ZONES 3
#define RACKS 13
#define DRAIN_S 4.0 /* mean time until work has ended */
#define REBOOT_S 60.0
#define STEP_S 1 /* between two looks of the conductor */
#define TAKE_OVER_S 3
#define GIVE_UP_S 20000

enum way { WAY_PLANNER, WAY_ONE, WAY_RACK };

/* Safeguards that the bench takes away to see that it would notice. */
enum guard { GUARD_NONE, GUARD_BUDGET, GUARD_HOME, GUARD_VERSION };

struct worker {
	struct plan_instance plan;
	double work_ends_s; /* of what runs when it drains */
	double back_s;	    /* end of a reboot or of a failure */
	double failed_s;    /* when it last failed */
};

struct user {
	const char *name;
	uint32_t serving_min;
	uint32_t out_max;
};

/* Aluat wants it done soon; the Consortium gives up little capacity. */
static const struct user users[] = {
	{ "aluat", 8, 2 },
	{ "consortium", 9, 1 },
};

struct run {
	enum way way;
	uint64_t random;
	struct worker workers[WORKERS];
	struct plan_pool pools[POOLS];
	double now_s;
	uint64_t version; /* of the configuration */
	double conductor_back_s;
	struct plan_step old_step; /* of a frozen conductor */
	uint64_t old_seen;	   /* version that it was planned on */
	double old_s;		   /* when it was planned */
	double woken_s;		   /* when it takes that step, 0 for none */
	uint32_t cut;
	uint32_t violations;
	enum guard without; /* safeguard that is taken away */
	uint32_t refused;   /* old steps of a conductor that woke */
	double out_s;	    /* instance-seconds out */
};

static double uniform(struct run *r)
{
	r->random ^= r->random << 13;
	r->random ^= r->random >> 7;
	r->random ^= r->random << 17;
	return (double)(r->random >> 11) / 9007199254740992.0;
}

static void set_up(struct run *r, const struct user *user, enum way way,
		   uint64_t seed)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->way = way;
	r->random = seed * 0x9e3779b97f4a7c15u + 99;
	for (i = 0; i < WORKERS; i++) {
		struct plan_instance *p = &r->workers[i].plan;

		p->pool = i % POOLS;
		p->rack = i / 4;
		p->zone = p->rack % ZONES;
		p->selected = true;
		p->empty = false;
	}
	for (i = 0; i < POOLS; i++)
		r->pools[i] =
			(struct plan_pool){ user->serving_min, user->out_max };
}

static const struct plan_pool no_budget[POOLS] = {
	{ 0, 99 }, { 0, 99 }, { 0, 99 }, { 0, 99 }, { 0, 99 },
};

static struct plan_input input_of(struct run *r, struct plan_instance *view)
{
	struct plan_input in = { .instances = view };
	uint32_t i;

	for (i = 0; i < WORKERS; i++)
		view[i] = r->workers[i].plan;
	in.pools = r->without == GUARD_BUDGET ? no_budget : r->pools;
	in.instance_count = WORKERS;
	in.pool_count = POOLS;
	in.zone_count = ZONES;
	in.rack_count = RACKS;
	return in;
}

/*
 * Out in a pool, but for failures after the step was planned: those may as
 * well come right after it, and no planner can know of them.
 */
static uint32_t out_in(const struct run *r, uint32_t pool, double planned_s)
{
	uint32_t out = 0;
	uint32_t i;

	for (i = 0; i < WORKERS; i++) {
		const struct worker *w = &r->workers[i];

		if (w->plan.pool != pool || w->plan.state == PLAN_SERVING)
			continue;
		out += w->plan.state != PLAN_FAILED || w->failed_s < planned_s;
	}
	return out;
}

static void check_budget(struct run *r, uint32_t pool, double planned_s)
{
	uint32_t out = out_in(r, pool, planned_s);

	if (out > r->pools[pool].out_max ||
	    WORKERS / POOLS - out < r->pools[pool].serving_min)
		r->violations++;
}

/* One conditional transaction: refused when the version has moved on. */
static void apply(struct run *r, const struct plan_step *s, uint64_t seen,
		  double planned_s)
{
	struct worker *w = &r->workers[s->instance];

	if (r->version != seen && r->without != GUARD_VERSION) {
		r->refused++;
		return;
	}
	r->version++;
	switch (s->kind) {
	case PLAN_DRAIN:
		w->plan.state = PLAN_DRAINING;
		w->work_ends_s = r->now_s + uniform(r) * 2 * DRAIN_S;
		check_budget(r, w->plan.pool, planned_s);
		break;
	case PLAN_TAKE_OUT:
		r->cut += w->plan.state != PLAN_DRAINING ||
			  r->now_s < w->work_ends_s;
		w->plan.state = PLAN_OUT;
		w->plan.empty = false;
		w->back_s = r->now_s + REBOOT_S * (0.8 + 0.4 * uniform(r));
		break;
	case PLAN_RETURN:
		w->plan.state = PLAN_SERVING;
		w->plan.rebooted = false;
		w->plan.done = true;
		break;
	}
}

/* What the ways compared with take of the planner's steps. */
static bool way_takes(struct run *r, const struct plan_step *s)
{
	const struct plan_instance *p = &r->workers[s->instance].plan;
	uint32_t i;

	if (r->way == WAY_PLANNER || s->kind != PLAN_DRAIN)
		return true;
	for (i = 0; i < WORKERS; i++) {
		const struct plan_instance *o = &r->workers[i].plan;

		if (o->state == PLAN_SERVING || o->state == PLAN_FAILED)
			continue;
		if (r->way == WAY_ONE || o->rack != p->rack)
			return false;
	}
	return true;
}

static void conduct(struct run *r)
{
	struct plan_instance view[WORKERS];
	struct plan_input in = input_of(r, view);
	struct plan_result result;
	uint32_t i;

	plan_next(NULL, &in, &result);
	for (i = 0; i < result.count; i++) {
		if (uniform(r) < 0.02) { /* killed or frozen before a step */
			r->conductor_back_s = r->now_s + TAKE_OVER_S;
			break;
		}
		if (way_takes(r, &result.steps[i]))
			apply(r, &result.steps[i], r->version, r->now_s);
	}
	if (i < result.count && !r->woken_s) { /* it was frozen */
		r->old_step = result.steps[i];
		r->old_seen = r->version;
		r->old_s = r->now_s;
		r->woken_s = r->now_s + 1 + uniform(r) * 120;
	}
	talloc_free(result.steps);
}

static void fail_rack(struct run *r)
{
	uint32_t rack = (uint32_t)(uniform(r) * RACKS);
	uint32_t i;

	for (i = 0; i < WORKERS; i++) {
		struct worker *w = &r->workers[i];

		if (w->plan.rack != rack || w->plan.state != PLAN_SERVING ||
		    uniform(r) < 0.5)
			continue;
		w->plan.state = PLAN_FAILED;
		w->failed_s = r->now_s;
		w->back_s = r->now_s + 30 + uniform(r) * 60;
	}
}

static void pass_time(struct run *r)
{
	uint32_t i;

	r->now_s += STEP_S;
	for (i = 0; i < WORKERS; i++) {
		struct worker *w = &r->workers[i];

		r->out_s += w->plan.state != PLAN_SERVING;
		w->plan.empty = w->plan.state == PLAN_DRAINING &&
				(r->now_s >= w->work_ends_s ||
				 r->without == GUARD_HOME);
		w->plan.rebooted =
			w->plan.state == PLAN_OUT && r->now_s >= w->back_s;
		if (w->plan.state == PLAN_FAILED && r->now_s >= w->back_s)
			w->plan.state = PLAN_SERVING;
	}
}

static bool finished(const struct run *r)
{
	uint32_t i;

	for (i = 0; i < WORKERS; i++)
		if (!r->workers[i].plan.done)
			return false;
	return true;
}

/* Seconds that the wave took. */
static double wave(struct run *r, bool faults)
{
	bool outage = false;

	while (!finished(r) && r->now_s < GIVE_UP_S) {
		pass_time(r);
		if (faults && uniform(r) < 0.002)
			fail_rack(r);
		if (faults && uniform(r) < 0.01)
			outage = uniform(r) < 0.3; /* nothing new then */
		if (!outage && r->woken_s && r->now_s >= r->woken_s) {
			r->woken_s = 0;
			apply(r, &r->old_step, r->old_seen, r->old_s);
		}
		if (!outage && r->now_s >= r->conductor_back_s)
			conduct(r);
	}
	return r->now_s;
}

/* Each safeguard, taken away, must show in some run. */
static int bench_guards(const struct user *user)
{
	static const char *const names[] = { "none", "budget", "home",
					     "version" };
	static struct run r;
	int bad = 0;
	int guard;
	uint32_t i;

	for (guard = GUARD_BUDGET; guard <= GUARD_VERSION; guard++) {
		uint32_t seen = 0;

		for (i = 0; i < 200 && !seen; i++) {
			set_up(&r, user, WAY_PLANNER, i + 1);
			r.without = (enum guard)guard;
			wave(&r, true);
			seen = r.cut + r.violations;
		}
		printf("without %s: %s\n", names[guard],
		       seen ? "found" : "NOT FOUND");
		bad |= !seen;
	}
	return bad;
}

static int bench_user(const struct user *user, uint32_t seeds)
{
	static const char *const names[] = { "planner", "one by one",
					     "rack by rack" };
	static struct run r;
	struct plan_instance view[WORKERS];
	uint32_t cut = 0, violations = 0, stuck = 0;
	double bound;
	double took = 0;
	int bad = 0;
	int way;
	uint32_t i;

	set_up(&r, user, WAY_PLANNER, 1);
	struct plan_input in = input_of(&r, view);

	bound = plan_min_duration_s(&in, DRAIN_S + REBOOT_S);
	for (way = WAY_PLANNER; way <= WAY_RACK; way++) {
		set_up(&r, user, (enum way)way, 1);
		double s = wave(&r, false);

		took = way == WAY_PLANNER ? s : took;
		printf("%-10s %-12s roll-out %6.0f s, %5.2f of the bound %.0f "
		       "s; capacity out %.1f instances; moves 0\n",
		       user->name, names[way], s, s / bound, bound,
		       r.out_s / s);
	}
	for (i = 0; i < seeds; i++) {
		set_up(&r, user, WAY_PLANNER, i + 1);
		stuck += wave(&r, true) >= GIVE_UP_S;
		cut += r.cut;
		violations += r.violations;
	}
	printf("%-10s %u runs with faults: %u requests cut, %u budget "
	       "violations, %u unfinished\n",
	       user->name, seeds, cut, violations, stuck);
	bad = cut || violations || stuck || took > 1.25 * bound;
	if (bad)
		printf("out of bounds: 0 cut, 0 violations, roll-out 1.25\n");
	return bad;
}

/* Planning at the size to design for, and the cost of a step. */
static int bench_size(void)
{
	static const uint32_t sizes[] = { 50, 500, 1650, 3300 };
	double us = 0;
	size_t before, used = 0;
	uint32_t k, i;

	for (k = 0; k < 4; k++) {
		uint32_t n = sizes[k];
		struct plan_instance *w =
			talloc_zero_array(NULL, struct plan_instance, n);
		struct plan_pool *pools =
			talloc_zero_array(w, struct plan_pool, 60);
		struct plan_input in = { w,  pools,	n,	 60,
					 11, n / 4 + 1, { 0, 0 } };
		struct plan_result result;
		uint64_t start;

		for (i = 0; i < n; i++)
			w[i] = (struct plan_instance){ .pool = i % 60,
						       .zone = i % 11,
						       .rack = i / 4,
						       .selected = true };
		for (i = 0; i < 60; i++)
			pools[i] = (struct plan_pool){ 0, 2 };
		before = mallinfo2().uordblks;
		start = clock_now_us();
		plan_next(w, &in, &result);
		us = (double)(clock_now_us() - start);
		used = mallinfo2().uordblks - before;
		printf("plan of %4u workers: %6.0f us, %zu bytes, %u steps\n",
		       n, us, used, result.count);
		talloc_free(w);
	}
	if (us < 1e6 && used < 64u << 20)
		return 0;
	printf("out of bounds: 1 s, 64 MB\n");
	return 1;
}

int main(int argc, char **argv)
{
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "with faults");
	struct arg_end *end = arg_end(2);
	void *table[] = { seeds, end };
	int bad = 0;
	size_t i;

	seeds->ival[0] = 2000;
	if (arg_parse(argc, argv, table))
		return 2;
	for (i = 0; i < sizeof(users) / sizeof(users[0]); i++)
		bad |= bench_user(&users[i], (uint32_t)seeds->ival[0]);
	bad |= bench_guards(&users[0]);
	return bad | bench_size();
}
