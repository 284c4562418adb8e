/*
 * The same as election_test.c, where a leader with little processor is late
 * with everything. Guards against nodes that replace a leader which does its
 * work.
 */
#include "test/rig/election.h"

static const struct election_case cases[] = {
	{
		.name = "a quarter of the processor, the leader lags and "
			"vanishes",
		.seeds = 5,
		.site = { .nodes = 9,
			  .processor_share = 0.25,
			  .ended_jobs = 3000 },
		.frozen_ms = ELECTION_FOREVER_MS,
		.freezes = 1,
		.lag_min_ms = 500,
		.lag_max_ms = 1500,
	},
	{
		.name = "147 nodes, a quarter of the processor, the leader "
			"lags",
		.seeds = 1,
		.site = { .nodes = 147,
			  .processor_share = 0.25,
			  .ended_jobs = 3000 },
		.lag_min_ms = 500,
		.lag_max_ms = 1500,
	},
};

int main(int argc, char **argv)
{
	return election_run(cases, sizeof(cases) / sizeof(cases[0]), argc,
			    argv);
}
