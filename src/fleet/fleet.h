/*
 * fleet - planner of machine maintenance and of moves between pools
 *
 * Yields one action at a time, from the waves that operators request, the list
 * of machines and the scheduler's view of their instances. A machine first gets
 * no new work, then is drained within the disruption budgets of its
 * long-running tasks, and is then ordered into maintenance or to another pool.
 * The planner uses no clock and no I/O; its times are those of the scheduler.
 * maintenance.c and balance.c name the load that they are designed for.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "fleet/forecast.h"
#include "pool/sched.h"

#define FLEET_NAME_MAX 128   /* bytes, with the NUL */
#define FLEET_POOLS_MAX 256u /* of a configuration; others get no machines */

struct fleet;

struct fleet_options {
	uint32_t maintenance_ms; /* absence of a machine for maintenance */
	uint32_t move_ms;	 /* absence of a machine for a move */
	/* most that a forecast of arrivals counts; 0: there is none */
	uint32_t forecast_trust_max; /* percent */
};

enum fleet_machine_state {
	FLEET_UP,
	FLEET_IN_MAINTENANCE,
	FLEET_MOVING,
	FLEET_DOWN, /* down without an order; may never come back */
};

struct fleet_machine_info {
	const char *machine;
	const char *pool;
	const char *rack;
	enum fleet_machine_state state;
	const char *zone; /* NULL or "": unknown */
};

enum fleet_action_kind {
	FLEET_ACTION_MAINTENANCE, /* order a machine into maintenance */
	FLEET_ACTION_MOVE,	  /* order a machine to another pool */
	FLEET_ACTION_WAVE_STATE	  /* store that a wave runs or is complete */
};

struct fleet_action {
	enum fleet_action_kind kind;
	char machine[FLEET_NAME_MAX];
	char pool[FLEET_NAME_MAX]; /* FLEET_ACTION_MOVE: the target */
	uint64_t wave;
	char wave_name[FLEET_NAME_MAX];
	bool completed; /* FLEET_ACTION_WAVE_STATE: complete, else running */
};

enum fleet_result {
	FLEET_DONE,
	FLEET_BUSY,    /* the machine is not up: the list shows its state */
	FLEET_REFUSED, /* nothing was done */
	FLEET_UNKNOWN, /* outcome unknown: it may have been done */
};

/* fleet_new - create a planner without machines and waves, owned by ctx */
struct fleet *fleet_new(TALLOC_CTX *ctx, const struct fleet_options *options);

/* fleet_configure - set the configuration, which is kept by reference */
void fleet_configure(struct fleet *f, const struct config *c);

/*
 * fleet_add_wave - add a wave requested at started_ms
 *
 * A wave whose number is already known is ignored.
 */
void fleet_add_wave(struct fleet *f, const char *name, uint64_t number,
		    uint32_t max_concurrent, uint32_t duration_ms,
		    const char *const *machines, uint32_t count,
		    uint64_t started_ms);

/* fleet_record_maintenance - mark a machine's maintenance in a wave as done */
void fleet_record_maintenance(struct fleet *f, uint64_t wave,
			      const char *machine);

/*
 * fleet_list_requested - the list that is applied next is requested now
 *
 * What it shows of a machine whose order is answered meanwhile is out of date.
 */
void fleet_list_requested(struct fleet *f, uint64_t now);

/* fleet_set_machines - apply the complete machine list, read at `now` */
void fleet_set_machines(struct fleet *f, const struct fleet_machine_info *list,
			uint32_t count, uint64_t now);

/*
 * fleet_set_evacuated - sets the zones in which nothing may be started
 *
 * No machine of theirs is chosen to strengthen a pool. Waves go on there.
 */
void fleet_set_evacuated(struct fleet *f, const char *const *zones,
			 uint32_t count);

/* fleet_needs_machine_list - whether the machine list should be read now */
bool fleet_needs_machine_list(const struct fleet *f, uint64_t now);

/*
 * fleet_next_action - the next action to carry out; false when there is none
 *
 * Also reserves and drains instances in the scheduler. Each action gets exactly
 * one fleet_action_result.
 */
bool fleet_next_action(struct fleet *f, struct sched *s, uint64_t now,
		       struct fleet_action *action);
void fleet_action_result(struct fleet *f, struct sched *s,
			 const struct fleet_action *action,
			 enum fleet_result result, uint64_t now);

/*
 * fleet_release_needed - machines that are drained stay in their pools if a
 * long-running task waits for room on them
 *
 * Part of fleet_next_action(); for when no orders may be given.
 */
void fleet_release_needed(struct fleet *f, struct sched *s, uint64_t now);

struct fleet_stats {
	uint64_t maintenances, moves, waves_completed;
	uint32_t waves_running, machines, draining;
};

void fleet_stats(const struct fleet *f, struct fleet_stats *stats);

/* A pool that lacks machines, and where machines are. */
struct fleet_pool_demand {
	const char *pool;
	uint64_t short_ms;  /* for how long no pool gave it one; 0: it isn't */
	uint64_t wanted_ms; /* for how long its waiting tasks want some */
	int64_t deficit;    /* CPU that it lacked, in millicores */
	uint32_t wanted;    /* machines for waiting long-running tasks */
	uint32_t instances; /* that count as its capacity */
	/* Machines on the way to it, still drained, or ordered */
	uint32_t incoming_draining, incoming_ordered;
	uint32_t incoming_open; /* of those ordered, without an outcome */
	/* Of all other pools: machines whose move was given up lately */
	uint32_t given_up;
	uint32_t arrived; /* in the last second */
	/* Its own machines that are drained, and those ordered away */
	uint32_t kept_for_waves, kept_for_moves, away;
	uint32_t spare; /* machines in the spare pool */
	/* Of all other pools: instances without a long-running task, CPU */
	uint32_t others_unpinned;
	int64_t others_cpu, others_used_cpu;
	const char *largest; /* with most such instances; NULL: none has any */
	uint32_t largest_unpinned;
};

/*
 * fleet_demands - the pools that lacked machines within the last window_ms
 *
 * Lists them with the longest shortage first, and returns their number; only
 * the first max are described beyond short_ms and wanted_ms. The list is owned
 * by ctx, its names by the planner. Goes over all machines max times.
 */
uint32_t fleet_demands(const struct fleet *f, TALLOC_CTX *ctx,
		       uint64_t window_ms, uint64_t now,
		       struct fleet_pool_demand **list, uint32_t max);

/* fleet_forecast - the forecast of arrivals; NULL if there is none */
const struct forecast *fleet_forecast(const struct fleet *f);

#endif
