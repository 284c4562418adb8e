/*
 * fleet - which machine has its upkeep or moves to another pool, and when
 *
 * Works out one order at a time from waves that operators ask for, from the
 * machines there are and from what the scheduler knows of their instances.
 * A machine is first kept free of new work, then emptied within the budgets
 * of what lasts, then ordered. No clock or I/O inside; times are those of
 * the scheduler.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "pool/sched.h"

#define FLEET_NAME_MAX 128

struct fleet;

struct fleet_options {
	uint32_t upkeep_ms; /* a machine is away for its upkeep */
	uint32_t move_ms;   /* a machine is away for a move */
};

enum fleet_machine_state {
	FLEET_UP,
	FLEET_IN_UPKEEP,
	FLEET_MOVING,
	FLEET_DOWN, /* by itself: it comes back, or never does */
};

struct fleet_machine_info {
	const char *machine;
	const char *pool;
	const char *rack;
	enum fleet_machine_state state;
};

enum fleet_action_kind {
	FLEET_UPKEEP,	 /* order a machine's upkeep */
	FLEET_MOVE,	 /* order a machine to another pool */
	FLEET_WAVE_STATE /* tell operators how a wave stands */
};

struct fleet_action {
	enum fleet_action_kind kind;
	char machine[FLEET_NAME_MAX];
	char pool[FLEET_NAME_MAX];
	uint64_t wave;
	char wave_name[FLEET_NAME_MAX];
	bool completed; /* of FLEET_WAVE_STATE */
};

enum fleet_result {
	FLEET_DONE,
	FLEET_BUSY,    /* the machine is not up: look at the list */
	FLEET_REFUSED, /* nothing was done */
	FLEET_UNKNOWN, /* it may have been done */
};

/* fleet_new - without machines and waves, owned by ctx */
struct fleet *fleet_new(TALLOC_CTX *ctx, const struct fleet_options *options);

/* fleet_configure - the pools there are; kept by reference */
void fleet_configure(struct fleet *f, const struct config *c);

/*
 * fleet_wave - a wave asked for at begun_ms; the same number again is ignored
 */
void fleet_wave(struct fleet *f, const char *name, uint64_t number,
		uint32_t at_once, uint32_t duration_ms,
		const char *const *machines, uint32_t count, uint64_t begun_ms);

/* fleet_had_upkeep - recorded earlier: the machine's part of a wave is done */
void fleet_had_upkeep(struct fleet *f, uint64_t wave, const char *machine);

/* fleet_machines - the whole list of machines, as read at `now` */
void fleet_machines(struct fleet *f, const struct fleet_machine_info *list,
		    uint32_t count, uint64_t now);

/* fleet_wants_list - whether the list should be read now */
bool fleet_wants_list(const struct fleet *f, uint64_t now);

/*
 * fleet_next - what to order now; false when nothing
 *
 * Also reserves and empties instances in the scheduler. Each action is
 * answered by fleet_answered once.
 */
bool fleet_next(struct fleet *f, struct sched *s, uint64_t now,
		struct fleet_action *action);
void fleet_answered(struct fleet *f, struct sched *s,
		    const struct fleet_action *action, enum fleet_result result,
		    uint64_t now);

struct fleet_stats {
	uint64_t upkeeps, moves, waves_completed;
	uint32_t waves_running, machines, draining;
};

void fleet_stats(const struct fleet *f, struct fleet_stats *stats);

#endif
