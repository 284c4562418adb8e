/*
 * Runs a leader's decisions in virtual time, for a count of its instructions:
 * what it does for a caller must not cost more because many jobs have ended
 * before or because many wait.
 *
 *	leader_cost [--ended N] [--waiting N] [--seconds N]
 */
#include <argtable2.h>
#include <stdio.h>

#include "test/rig/leader_rig.h"

#define JOBS_PER_S 40.0 /* of each class */
#define INSTANCES 200u	/* of each pool */

static int value(const struct arg_int *arg, int otherwise)
{
	return arg->count ? arg->ival[0] : otherwise;
}

int main(int argc, char **argv)
{
	struct leader_rig_options options = { INSTANCES, 1.0 };
	struct arg_int *ended =
		arg_int0(NULL, "ended", "N", "jobs that ended before");
	struct arg_int *waiting =
		arg_int0(NULL, "waiting", "N", "jobs that find no room");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "virtual time, 1 by default");
	struct arg_end *end = arg_end(4);
	void *table[] = { ended, waiting, seconds, end };
	struct leader_rig *r;
	uint32_t i;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "leader_cost");
		return 2;
	}
	r = leader_rig_new(&options);
	leader_rig_add_ended(r, (uint32_t)value(ended, 0));
	leader_rig_add_waiting(r, (uint32_t)value(waiting, 0));
	for (i = 0; i < LEADER_RIG_CLASSES; i++)
		leader_rig_send(r, i, JOBS_PER_S);
	leader_rig_run(r, 1000u * (uint32_t)value(seconds, 1));
	leader_rig_free(r);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
