/*
 * waves - simulates maintenance waves with the production planner
 *
 * 50 workers in 5 pools over 3 zones, 4 per rack, in virtual time. Work on a
 * worker ends some time after it starts to drain; a worker is taken out only
 * after all its units have been returned. Failures are correlated by rack. The
 * conductor is killed or frozen between any two steps; one that resumes tries
 * a stale step, which must be refused by its version. Each drain is checked
 * against the budgets; no worker may be taken out while work runs on it.
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
#define DRAIN_MEAN_S 4.0 /* until the work on a worker has ended */
#define REBOOT_S 60.0	 /* mean time that a worker is out */
#define STEP_S 1	 /* between two iterations of the conductor */
#define TAKEOVER_S 3	 /* until another entry acts as conductor */
#define WAVE_TIMEOUT_S 20000

enum mode { MODE_PLANNER, MODE_ONE, MODE_RACK };

/* Safeguards removed in turn to verify that the checks notice. */
enum safeguard {
	SAFEGUARD_NONE,
	SAFEGUARD_BUDGET,
	SAFEGUARD_UNITS_RETURNED,
	SAFEGUARD_VERSION
};

struct worker {
	struct plan_instance plan;
	double work_ends_s; /* when the work at the drain's start has ended */
	double back_s;	    /* end of a reboot or of a failure */
	double failed_s;    /* when it last failed */
};

struct user {
	const char *name;
	uint32_t serving_min;
	uint32_t out_max;
};

/* Two users' budgets: Aluat needs short waves, the Consortium capacity. */
static const struct user users[] = {
	{ "aluat", 8, 2 },
	{ "consortium", 9, 1 },
};

struct run {
	enum mode mode;
	uint64_t random;
	struct worker workers[WORKERS];
	struct plan_pool pools[POOLS];
	double now_s;
	uint64_t version; /* of the configuration */
	double conductor_back_s;
	struct plan_step stale_step; /* next step of a frozen conductor */
	uint64_t stale_version;	     /* version that it was planned for */
	double stale_planned_s;	     /* when it was planned */
	double stale_retry_s;	     /* when it is tried, 0 for none */
	uint32_t interruptions;	     /* workers taken out with work running */
	uint32_t violations;	     /* drains that exceed a budget */
	enum safeguard removed;
	uint32_t refused_steps; /* stale steps refused by their version */
	double out_instance_s;	/* instance-seconds not serving */
};

static double uniform(struct run *r)
{
	r->random ^= r->random << 13;
	r->random ^= r->random >> 7;
	r->random ^= r->random << 17;
	return (double)(r->random >> 11) / 9007199254740992.0;
}

static void set_up(struct run *r, const struct user *user, enum mode mode,
		   uint64_t seed)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->mode = mode;
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

static struct plan_input make_input(struct run *r, struct plan_instance *view)
{
	struct plan_input in = { .instances = view };
	uint32_t i;

	for (i = 0; i < WORKERS; i++)
		view[i] = r->workers[i].plan;
	in.pools = r->removed == SAFEGUARD_BUDGET ? no_budget : r->pools;
	in.instance_count = WORKERS;
	in.pool_count = POOLS;
	in.zone_count = ZONES;
	in.rack_count = RACKS;
	return in;
}

/*
 * Counts the instances of a pool that are not serving, without those that
 * failed after the step was planned: these could as well have failed right
 * after the step, and no planner can know of them.
 */
static uint32_t count_out(const struct run *r, uint32_t pool, double planned_s)
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
	uint32_t out = count_out(r, pool, planned_s);

	if (out > r->pools[pool].out_max ||
	    WORKERS / POOLS - out < r->pools[pool].serving_min)
		r->violations++;
}

/* A conditional transaction: refused if the version has changed. */
static void apply_step(struct run *r, const struct plan_step *s,
		       uint64_t planned_version, double planned_s)
{
	struct worker *w = &r->workers[s->instance];

	if (r->version != planned_version && r->removed != SAFEGUARD_VERSION) {
		r->refused_steps++;
		return;
	}
	r->version++;
	switch (s->kind) {
	case PLAN_DRAIN:
		w->plan.state = PLAN_DRAINING;
		w->work_ends_s = r->now_s + uniform(r) * 2 * DRAIN_MEAN_S;
		check_budget(r, w->plan.pool, planned_s);
		break;
	case PLAN_TAKE_OUT:
		r->interruptions += w->plan.state != PLAN_DRAINING ||
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

/*
 * Whether the mode admits this step. The modes that the planner is compared
 * with drain one worker or one rack at a time.
 */
static bool mode_allows(struct run *r, const struct plan_step *s)
{
	const struct plan_instance *p = &r->workers[s->instance].plan;
	uint32_t i;

	if (r->mode == MODE_PLANNER || s->kind != PLAN_DRAIN)
		return true;
	for (i = 0; i < WORKERS; i++) {
		const struct plan_instance *o = &r->workers[i].plan;

		if (o->state == PLAN_SERVING || o->state == PLAN_FAILED)
			continue;
		if (r->mode == MODE_ONE || o->rack != p->rack)
			return false;
	}
	return true;
}

static void run_conductor(struct run *r)
{
	struct plan_instance view[WORKERS];
	struct plan_input in = make_input(r, view);
	struct plan_result result;
	uint32_t i;

	plan_next(NULL, &in, &result);
	for (i = 0; i < result.count; i++) {
		if (uniform(r) < 0.02) { /* frozen or killed here */
			r->conductor_back_s = r->now_s + TAKEOVER_S;
			break;
		}
		if (mode_allows(r, &result.steps[i]))
			apply_step(r, &result.steps[i], r->version, r->now_s);
	}
	/* The conductor is frozen: it tries the step when it resumes. */
	if (i < result.count && !r->stale_retry_s) {
		r->stale_step = result.steps[i];
		r->stale_version = r->version;
		r->stale_planned_s = r->now_s;
		r->stale_retry_s = r->now_s + 1 + uniform(r) * 120;
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

static void advance_time(struct run *r)
{
	uint32_t i;

	r->now_s += STEP_S;
	for (i = 0; i < WORKERS; i++) {
		struct worker *w = &r->workers[i];

		r->out_instance_s += w->plan.state != PLAN_SERVING;
		w->plan.empty = w->plan.state == PLAN_DRAINING &&
				(r->now_s >= w->work_ends_s ||
				 r->removed == SAFEGUARD_UNITS_RETURNED);
		w->plan.rebooted =
			w->plan.state == PLAN_OUT && r->now_s >= w->back_s;
		if (w->plan.state == PLAN_FAILED && r->now_s >= w->back_s)
			w->plan.state = PLAN_SERVING;
	}
}

static bool wave_finished(const struct run *r)
{
	uint32_t i;

	for (i = 0; i < WORKERS; i++)
		if (!r->workers[i].plan.done)
			return false;
	return true;
}

/* Returns the duration of the wave in seconds, at most WAVE_TIMEOUT_S. */
static double run_wave(struct run *r, bool faults)
{
	bool outage = false;

	while (!wave_finished(r) && r->now_s < WAVE_TIMEOUT_S) {
		advance_time(r);
		if (faults && uniform(r) < 0.002)
			fail_rack(r);
		if (faults && uniform(r) < 0.01)
			outage = uniform(r) < 0.3; /* no transactions */
		if (!outage && r->stale_retry_s &&
		    r->now_s >= r->stale_retry_s) {
			r->stale_retry_s = 0;
			apply_step(r, &r->stale_step, r->stale_version,
				   r->stale_planned_s);
		}
		if (!outage && r->now_s >= r->conductor_back_s)
			run_conductor(r);
	}
	return r->now_s;
}

/* Without a safeguard, a violation must be found in some run. */
static int bench_safeguards(const struct user *user)
{
	static const char *const names[] = { "none", "budget", "returned units",
					     "version" };
	static struct run r;
	int failed = 0;
	int safeguard;
	uint32_t i;

	for (safeguard = SAFEGUARD_BUDGET; safeguard <= SAFEGUARD_VERSION;
	     safeguard++) {
		uint32_t found = 0;

		for (i = 0; i < 200 && !found; i++) {
			set_up(&r, user, MODE_PLANNER, i + 1);
			r.removed = (enum safeguard)safeguard;
			run_wave(&r, true);
			found = r.interruptions + r.violations;
		}
		printf("without %s: %s\n", names[safeguard],
		       found ? "found" : "NOT FOUND");
		failed |= !found;
	}
	return failed;
}

static int bench_user(const struct user *user, uint32_t seeds)
{
	static const char *const names[] = { "planner", "one by one",
					     "rack by rack" };
	static struct run r;
	struct plan_instance view[WORKERS];
	uint32_t interruptions = 0, violations = 0, unfinished = 0;
	double bound;
	double planner_s = 0;
	int failed = 0;
	int mode;
	uint32_t i;

	set_up(&r, user, MODE_PLANNER, 1);
	struct plan_input in = make_input(&r, view);

	bound = plan_min_duration_s(&in, DRAIN_MEAN_S + REBOOT_S);
	for (mode = MODE_PLANNER; mode <= MODE_RACK; mode++) {
		set_up(&r, user, (enum mode)mode, 1);
		double s = run_wave(&r, false);

		planner_s = mode == MODE_PLANNER ? s : planner_s;
		printf("%-10s %-12s roll-out %6.0f s, %5.2f of the bound %.0f "
		       "s; capacity out %.1f instances; moves 0\n",
		       user->name, names[mode], s, s / bound, bound,
		       r.out_instance_s / s);
	}
	for (i = 0; i < seeds; i++) {
		set_up(&r, user, MODE_PLANNER, i + 1);
		unfinished += run_wave(&r, true) >= WAVE_TIMEOUT_S;
		interruptions += r.interruptions;
		violations += r.violations;
	}
	printf("%-10s %u runs with faults: %u interruptions, %u budget "
	       "violations, %u unfinished\n",
	       user->name, seeds, interruptions, violations, unfinished);
	failed = interruptions || violations || unfinished ||
		 planner_s > 1.25 * bound;
	if (failed)
		printf("out of bounds: wanted 0 interruptions, 0 violations, 0 "
		       "unfinished, roll-out <= 1.25 of the bound\n");
	return failed;
}

/* Time and memory of one plan; bounded at the last size, the design size. */
static int bench_plan(void)
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
	printf("out of bounds: wanted < 1 s and < 64 MiB\n");
	return 1;
}

int main(int argc, char **argv)
{
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "runs with faults");
	struct arg_end *end = arg_end(2);
	void *table[] = { seeds, end };
	int failed = 0;
	size_t i;

	seeds->ival[0] = 2000;
	if (arg_parse(argc, argv, table))
		return 2;
	for (i = 0; i < sizeof(users) / sizeof(users[0]); i++)
		failed |= bench_user(&users[i], (uint32_t)seeds->ival[0]);
	failed |= bench_safeguards(&users[0]);
	return failed | bench_plan();
}
