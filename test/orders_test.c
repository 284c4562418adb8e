/*
 * At no time may two nodes give orders. Guards against a leader that still
 * gives some after the next one has begun, though instances refuse them.
 */
#include "test/rig/election.h"

static const struct election_case cases[] = {
	{
		.name = "the leader frozen, answers to writes lost",
		.seeds = 10,
		.site = { .nodes = 9 },
		.frozen_ms = 4000,
		.freezes = 1,
		.store_ms = 4000,
		.store = { .lost = 0.6 },
		.one_orders = true,
	},
	{
		.name = "the leader frozen, answers to commits lost",
		.seeds = 10,
		.site = { .nodes = 9 },
		.frozen_ms = 4000,
		.freezes = 1,
		.store_ms = 4000,
		.store = { .lost = 0.6, .claims_answered = true },
		.one_orders = true,
	},
	{
		.name = "the leader frozen, writes late",
		.seeds = 10,
		.site = { .nodes = 9 },
		.frozen_ms = 4000,
		.freezes = 1,
		.store_ms = 4000,
		.store = { .late = 0.6 },
		.one_orders = true,
	},
	{
		.name = "the leader frozen, writes lost",
		.seeds = 10,
		.site = { .nodes = 9 },
		.frozen_ms = 4000,
		.freezes = 1,
		.store_ms = 4000,
		.store = { .dropped = 0.6 },
		.one_orders = true,
	},
	{
		.name = "the store refuses a third of the nodes",
		.seeds = 5,
		.site = { .nodes = 9 },
		.refused_ms = 4500,
		.one_orders = true,
	},
	{
		.name = "the strong nodes frozen, answers to writes lost for 8 "
			"s",
		.seeds = 10,
		.site = { .nodes = 12, .weak = 8 },
		.frozen_ms = 4000,
		.freezes = 1,
		.strong_frozen = true,
		.store_ms = 8000,
		.store = { .lost = 0.6 },
		.one_orders = true,
	},
	{
		.name = "45 nodes, the store refuses a third of them",
		.seeds = 1,
		.site = { .nodes = 45, .weak = 15 },
		.refused_ms = 4500,
		.one_orders = true,
	},
};

int main(int argc, char **argv)
{
	return election_run(cases, sizeof(cases) / sizeof(cases[0]), argc,
			    argv);
}
