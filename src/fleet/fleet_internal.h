/*
 * fleet_internal - the tables behind fleet.h
 *
 * fleet.c        the table of machines, outcomes of actions
 * maintenance.c  waves of maintenance
 * balance.c      moves between pools
 * demand.c       which pools lack machines, for the log
 */
#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "fleet/fleet.h"

enum machine_phase {
	PHASE_NONE,
	PHASE_DRAINING,	 /* it gets no new work; ordered once it is idle */
	PHASE_ORDERING,	 /* its order is not answered yet */
	PHASE_UNCERTAIN, /* the outcome of its order is unknown */
	PHASE_AWAY,	 /* its order was carried out; it is not back yet */
};

/* What a pool lacked when moves were last planned; see demand.c. */
struct pool_demand {
	char pool[FLEET_NAME_MAX];
	struct sched_pool_load load;
	int64_t deficit; /* CPU, in millicores */
	/* when no other pool gave it a machine: first of the row, and last */
	uint64_t short_since_ms, short_ms;
	/* same, when its waiting long-running tasks wanted machines */
	uint64_t wanted_since_ms, wanted_ms;
	/* same, when none of its instances could run what waits */
	uint64_t stranded_since_ms, stranded_ms;
	/* since when none could be had for long-running tasks; 0: one could */
	uint64_t none_since_ms;
	uint64_t places_paused_ms; /* until then none is wanted for drains */
};

struct machine {
	char name[FLEET_NAME_MAX];
	char pool[FLEET_NAME_MAX];
	char rack[FLEET_NAME_MAX];
	char zone[FLEET_NAME_MAX];
	bool evacuated; /* nothing may be started in its zone */
	enum fleet_machine_state state;
	bool listed; /* in the last machine list */
	enum machine_phase phase;
	struct wave *wave; /* the wave of its maintenance; NULL during a move */
	char target_pool[FLEET_NAME_MAX];
	instance_handle_t ordered; /* there when last ordered; zeros: none */
	uint64_t phase_since_ms;
	uint64_t drain_since_ms; /* when it was chosen, whatever came after */
	/* its long-running tasks may be stopped without another place */
	bool may_empty;
	uint64_t emptied_ms;	/* when the first of them was; 0: none was */
	uint64_t answered_ms;	/* when its last order was; 0: none */
	uint64_t pool_since_ms; /* end of its last move; 0: none */
	uint64_t given_up_ms;	/* when a move of it last was; 0: none was */
	uint64_t idle_since_ms; /* 0 while something runs on it */
	UT_hash_handle hh;
};

enum wave_member_state { MEMBER_DUE, MEMBER_IN_PROGRESS, MEMBER_DONE };

struct wave_member {
	char machine[FLEET_NAME_MAX];
	enum wave_member_state state;
};

struct wave {
	struct wave *prev, *next;
	char name[FLEET_NAME_MAX];
	uint64_t number;
	uint32_t max_concurrent;
	uint64_t started_ms;
	uint64_t deadline_ms;
	uint32_t count;
	struct wave_member *members;
	bool reported_running, reported_completed; /* states that are stored */
	bool reporting; /* a FLEET_ACTION_WAVE_STATE has no result yet */
	/* As of the last planning: draining; ordered or in maintenance */
	uint32_t draining, away;
	uint32_t emptied; /* of those draining, with may_empty */
};

struct fleet {
	struct fleet_options options;
	const struct config *config;
	struct machine *machines;
	struct wave *waves;
	uint64_t list_read_ms;	 /* when the machine list was last read */
	uint64_t list_sent_ms;	 /* when that was requested; 0: unknown */
	uint64_t list_due_ms;	 /* requested earlier reading; 0: none */
	uint64_t balance_due_ms; /* next planning pass of moves */
	bool planned;		 /* since the last complete search for orders */
	struct machine *next_machine; /* where the search goes on */
	struct fleet_stats stats;
	uint32_t demand_count;
	struct pool_demand *demands;
	uint32_t evacuated_count;
	char (*evacuated_zones)[FLEET_NAME_MAX];
	struct balance *balance;
	struct forecast *forecast; /* NULL: not used */
};

/* fleet.c */
struct machine *fleet_machine(const struct fleet *f, const char *name);
void machine_drain(struct machine *m, struct sched *s, uint64_t now);
void fleet_schedule_list(struct fleet *f, uint64_t at);

/* machine_order - an order for the machine, which is idle, is being given */
void machine_order(struct machine *m, const struct sched *s, uint64_t now);

/* machine_release - it is drained no more, and stays in its pool */
void machine_release(struct machine *m, struct sched *s, uint64_t now);

/* maintenance.c */

/* maintenance_release - same, for a machine of a wave: it is due again */
void maintenance_release(struct machine *m, struct sched *s, uint64_t now);

/* maintenance_plan - choose machines to drain for the waves */
void maintenance_plan(struct fleet *f, struct sched *s, uint64_t now);

/* maintenance_report - the next state of a wave to be stored */
bool maintenance_report(struct fleet *f, struct fleet_action *action);

/* maintenance_order - order the maintenance of a draining machine, if idle */
bool maintenance_order(const struct fleet *f, struct sched *s,
		       struct machine *m, uint64_t now,
		       struct fleet_action *action);

/* maintenance_may_keep - false: its tasks have lost their places, or stay */
bool maintenance_may_keep(struct sched *s, const struct machine *m,
			  uint64_t now);
void maintenance_ordered(struct fleet *f, struct machine *m, uint64_t now);

/* balance.c */

/* balance_given_up - whether a move of the machine was given up lately */
bool balance_given_up(const struct machine *m, uint64_t now);

/* balance_plan - choose machines to drain for moves, if that is due */
void balance_plan(struct fleet *f, struct sched *s, uint64_t now);

/* balance_order - order the move of a draining machine, if it is idle */
bool balance_order(struct sched *s, struct machine *m, uint64_t now,
		   struct fleet_action *action);

/* demand.c */

/*
 * demand_note - note a pool's load and deficit, in millicores, of this pass
 *
 * denied: no other pool gave it a machine, or one too few. none: it got none
 * for its long-running tasks.
 */
void demand_note(struct fleet *f, const char *pool,
		 const struct sched_pool_load *load, int64_t deficit,
		 bool denied, bool none, uint64_t now);

/* demand_stranded_ms - for how long the pool has been stranded */
uint64_t demand_stranded_ms(const struct fleet *f, const char *pool,
			    uint64_t now);

/* demand_pause_places - want no machines for drains of the pool for a while */
void demand_pause_places(struct fleet *f, const char *pool, uint64_t now);
bool demand_places_paused(const struct fleet *f, const char *pool,
			  uint64_t now);

/*
 * demand_none_ms - for how long no machine could be had for the pool's
 * long-running tasks; 0 if one could
 */
uint64_t demand_none_ms(const struct fleet *f, const char *pool, uint64_t now);

#endif
