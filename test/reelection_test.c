/*
 * The same as election_test.c, where the trouble goes on: the store answers
 * only some writes, or the leader is late with everything. Guards against nodes
 * that replace a leader which does its work.
 */
#include "test/rig/election.h"

static const struct election_case cases[] = {
	{
		.name = "a quarter of the processor, the leader lags",
		.seeds = 5,
		.site = { .nodes = 9,
			  .processor_share = 0.25,
			  .ended_jobs = 3000 },
		.lag_min_ms = 500,
		.lag_max_ms = 1500,
	},
	{
		.name = "a quarter of the processor, the leader lags and is "
			"frozen",
		.seeds = 5,
		.site = { .nodes = 9,
			  .processor_share = 0.25,
			  .ended_jobs = 3000 },
		.frozen_ms = 4000,
		.freezes = 1,
		.lag_min_ms = 500,
		.lag_max_ms = 1500,
	},
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
		.name = "45 nodes, a quarter of the processor, the leader lags",
		.seeds = 2,
		.site = { .nodes = 45,
			  .processor_share = 0.25,
			  .ended_jobs = 3000 },
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
