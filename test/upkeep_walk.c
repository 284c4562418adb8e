/*
 * Randomized simulation of a site during maintenance waves; see
 * walk/upkeep_world.h.
 *
 *	upkeep_walk [--count N] [--seed N] [--faults MASK] [--verbose]
 *
 * UPKEEP_TIGHT is a bit of MASK besides the faults. Plays all seeds; prints the
 * first violation of each invariant in each seed.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "test/walk/upkeep_world.h"

struct totals {
	struct upkeep_result sum;
	uint32_t seeds[UPKEEP_INVARIANTS]; /* that violate it */
};

static void print_violations(int seed, unsigned int mask,
			     const struct upkeep_result *r)
{
	uint32_t i;

	for (i = 0; i < UPKEEP_INVARIANTS; i++)
		if (r->violations[i])
			printf("seed %d: %s (%u in all; --seed %d --faults "
			       "%u)\n",
			       seed, r->errors[i], r->violations[i], seed,
			       mask);
}

static void add_result(struct totals *t, const struct upkeep_result *r)
{
	uint32_t i;

	for (i = 0; i < UPKEEP_INVARIANTS; i++) {
		t->seeds[i] += r->violations[i] > 0;
		t->sum.violations[i] += r->violations[i];
	}
	t->sum.starts += r->starts;
	t->sum.stops += r->stops;
	t->sum.maintenances += r->maintenances;
	t->sum.moves += r->moves;
	t->sum.jobs += r->jobs;
}

/* Returns whether no invariant was violated. */
static bool print_totals(int seeds, const struct totals *t)
{
	bool held = true;
	uint32_t i;

	for (i = 0; i < UPKEEP_INVARIANTS; i++) {
		held &= !t->seeds[i];
		printf("%-13s violated in %u of %d seeds, %u times\n",
		       upkeep_invariant_name(i), t->seeds[i], seeds,
		       t->sum.violations[i]);
	}
	printf("%u starts and %u stops of long-running tasks, %u maintenances, "
	       "%u moves, %u other jobs\n",
	       t->sum.starts, t->sum.stops, t->sum.maintenances, t->sum.moves,
	       t->sum.jobs);
	return held;
}

int main(int argc, char **argv)
{
	struct arg_int *count =
		arg_int0(NULL, "count", "N", "number of seeds, 50 by default");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "first seed");
	struct arg_int *faults =
		arg_int0(NULL, "faults", "MASK",
			 "bits of enum upkeep_fault, none by default");
	struct arg_lit *verbose = arg_lit0("v", "verbose", "print all events");
	struct arg_end *end = arg_end(4);
	void *table[] = { count, seed, faults, verbose, end };
	struct totals totals = { 0 };
	unsigned int mask;
	int first, seeds, i;
	bool print_events;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "upkeep_walk");
		return 2;
	}
	first = seed->count ? seed->ival[0] : 1;
	seeds = count->count ? count->ival[0] : seed->count ? 1 : 50;
	mask = faults->count ? (unsigned int)faults->ival[0] : 0;
	print_events = verbose->count > 0;
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	for (i = first; i < first + seeds; i++) {
		struct upkeep_result r;

		upkeep_world_run((uint64_t)i, mask, print_events, &r);
		print_violations(i, mask, &r);
		add_result(&totals, &r);
	}
	return !print_totals(seeds, &totals);
}
