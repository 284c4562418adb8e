/*
 * fleet_world - randomized simulation of several leaders in virtual time
 *
 * Simulates jobs, instances, a store and several leaders. By a seeded schedule,
 * calls are lost or executed late, or their answers are lost; instances crash,
 * restart or are cut off; leaders are frozen, replaced or cut off from the
 * store; writes have an unknown outcome. The real scheduler decides; the
 * simulation checks every start that reaches an instance, that no job is
 * reported as completed too early, and at the end that no job was lost.
 */
#ifndef FLEET_WORLD_H
#define FLEET_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "pool/sched.h"

#define WORLD_LEADERS 3u
#define WORLD_INSTANCES 7u
#define WORLD_JOBS 14u
#define WORLD_TICK_MS 20u
#define WORLD_FAULTS_MS 14000u /* no fault begins later */
#define WORLD_END_MS 40000u    /* by then every job must have ended */
/* Same, with FAULT_REPEATS: some jobs have four times the work */
#define WORLD_END_REPEATS_MS 100000u
/* Same, with FAULT_STALE_CALLS: instances may be cut off for longer */
#define WORLD_END_STALE_MS 70000u
#define FORGET_MS 4000u
/* Same, with FAULT_EVACUATIONS: a pool may have no instances for a while */
#define WORLD_END_EVACUATIONS_MS 60000u

enum world_fault {
	FAULT_LATE_ORDERS = 1 << 0,
	FAULT_LOST_ANSWERS = 1 << 1,
	FAULT_CRASHES = 1 << 2,
	FAULT_CUT_OFF = 1 << 3,
	FAULT_TAKEOVERS = 1 << 4,
	FAULT_FREEZES = 1 << 5,
	FAULT_STORE = 1 << 6,
	FAULT_FAILING = 1 << 7,
	FAULT_CANCELS = 1 << 8,
	FAULT_RELOCATIONS = 1 << 9,
	FAULT_UNLISTED = 1 << 10,
	FAULT_ALL = (1 << 11) - 1,	/* all of the above */
	FAULT_QUICK_RESTARTS = 1 << 11, /* a crash and restart within a poll */
	/* Some jobs repeat, and the clocks of leaders differ. */
	FAULT_REPEATS = 1 << 12,
	/* One leader and some instances are cut off from everything else. */
	FAULT_DIVIDED = 1 << 13,
	/*
	 * Instances are back under their ids within a second and may be cut off
	 * soon after. The new incarnation carries out calls that were meant for
	 * the former one, and its entry may be late. Some orders arrive late,
	 * but not later than their timeout.
	 */
	FAULT_STALE_CALLS = 1 << 14,
	FAULT_STALE_POLLS = 1 << 15, /* some polls arrive late, too */
	/*
	 * Zones are evacuated, one or all; leaders may learn of it late, as
	 * their feed is silent.
	 */
	FAULT_EVACUATIONS = 1 << 16,
	/*
	 * No fault: rows of ended jobs are deleted after FORGET_MS, and a new
	 * leader may leave some of them in the store until then.
	 */
	FAULT_FORGET = 1 << 17,
	/* no fault: tasks that take half an instance wait for room, and get
	 * reservations */
	FAULT_LARGE = 1 << 20,
};

struct world_result {
	char error[256]; /* empty when every check passed */
	uint32_t starts, ends, takeovers, completed, lost_runs;
};

/* world_run - simulate one seed with the given mask of faults */
void world_run(uint64_t seed, unsigned int faults, bool verbose,
	       struct world_result *result);

#endif
