/*
 * fleet_world - jobs, instances, a store and several leads in virtual time
 *
 * A seeded schedule of orders that are lost, answered late or carried out
 * late, instances that crash, are cut off or start again, leads that are
 * frozen, replaced or cut from the store, and writes of unknown outcome. The
 * real scheduler decides; the world checks what instances see.
 */
#ifndef FLEET_WORLD_H
#define FLEET_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "pool/sched.h"

#define WORLD_LEADS 3u
#define WORLD_INSTANCES 7u
#define WORLD_JOBS 14u
#define WORLD_TICK_MS 20u
#define WORLD_FAULTS_MS 14000u /* faults until then */
#define WORLD_END_MS 40000u    /* by then every job must have ended */

enum world_fault {
	FAULT_LATE_ORDERS = 1 << 0,
	FAULT_LOST_ANSWERS = 1 << 1,
	FAULT_CRASHES = 1 << 2,
	FAULT_CUTS = 1 << 3,
	FAULT_TAKEOVERS = 1 << 4,
	FAULT_FREEZES = 1 << 5,
	FAULT_STORE = 1 << 6,
	FAULT_FAILING = 1 << 7,
	FAULT_CANCELS = 1 << 8,
	FAULT_EVACUATIONS = 1 << 9,
	FAULT_UNLISTED = 1 << 10,
	FAULT_ALL = (1 << 11) - 1,
	FAULT_QUICK_RESTARTS = 1 << 11, /* within the time of a look */
};

struct world_result {
	char error[256]; /* empty when nothing was broken */
	uint32_t starts, ends, takeovers, completed, lost_runs;
};

/* world_run - play one seed with some of the faults */
void world_run(uint64_t seed, unsigned int faults, bool verbose,
	       struct world_result *result);

#endif
