/*
 * upkeep_world - randomized simulation of a site during maintenance waves
 *
 * Simulates machines, instances, the directory, the machine list, the store
 * and jobs in virtual time, around the real scheduler and planner of one
 * leader. Checks the guarantees to long-running tasks against the simulated
 * site, not against what the scheduler believes.
 *
 * Designed for sites whose long-running tasks fill the memory of their pools
 * while the queues' demand for CPU exceeds one pool after the other.
 */
#ifndef UPKEEP_WORLD_H
#define UPKEEP_WORLD_H

#include <stdbool.h>
#include <stdint.h>

enum upkeep_fault {
	UPKEEP_FAULT_RACKS = 1 << 0,  /* racks crash and come back */
	UPKEEP_FAULT_STORE = 1 << 1,  /* writes take seconds */
	UPKEEP_FAULT_ORDERS = 1 << 2, /* orders to machines fail */
	UPKEEP_FAULT_STARTS = 1 << 3, /* instances refuse starts */
	UPKEEP_FAULT_ALL = (1 << 4) - 1,
	/*
	 * No fault: long-running tasks, two or three to a machine, fill all
	 * that waves leave and may be stopped at any time, and the demand
	 * exceeds the whole site.
	 */
	UPKEEP_TIGHT = 1 << 4,
	/* Instances answer nothing for seconds, some from their start on */
	UPKEEP_FAULT_SILENT = 1 << 5,
	/* Starts and stops get no answer, or are carried out late */
	UPKEEP_FAULT_ANSWERS = 1 << 6,
	/* Lists and reports come late or not, machines' orders meet a limit */
	UPKEEP_FAULT_LISTS = 1 << 7,
	/* Leaders end; the next one knows what the store has */
	UPKEEP_FAULT_LEADERS = 1 << 12,
	/* No faults either: what operators, callers and the site itself do */
	UPKEEP_EVACUATIONS = 1 << 8, /* of zones, lifted after seconds */
	UPKEEP_CAPS = 1 << 9,	 /* set and lifted; more jobs are cancelled */
	UPKEEP_JOINS = 1 << 10,	 /* machines join one after the other */
	UPKEEP_SPREAD = 1 << 11, /* all long-running steps have spread limits */
};

enum upkeep_invariant {
	UPKEEP_ROOM,
	UPKEEP_ROOM_SOON,
	UPKEEP_PLACE,
	UPKEEP_TWICE_STOPPED,
	UPKEEP_BUDGET,
	UPKEEP_WAVE,
	UPKEEP_STARVED,
	UPKEEP_END,
	UPKEEP_INVARIANTS
};

struct upkeep_result {
	/* The first violation of each invariant; empty if there is none */
	char errors[UPKEEP_INVARIANTS][240];
	uint32_t violations[UPKEEP_INVARIANTS];
	uint32_t starts, stops; /* of long-running tasks */
	uint32_t maintenances, moves, jobs;
};

/* upkeep_invariant_name - as in errors and in KNOWN-RED.txt */
const char *upkeep_invariant_name(enum upkeep_invariant invariant);

/* upkeep_world_run - simulates one seed with the given mask of faults */
void upkeep_world_run(uint64_t seed, unsigned int faults, bool verbose,
		      struct upkeep_result *result);

#endif
