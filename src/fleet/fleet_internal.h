#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "fleet/fleet.h"

enum job_phase {
	PHASE_NONE,
	PHASE_DRAINING, /* kept free of new work, being emptied */
	PHASE_ORDERING, /* the order waits for its answer */
	PHASE_UNSURE,	/* it may have been carried out: read the list */
	PHASE_AWAY,	/* it was; until it is back */
};

struct machine {
	char name[FLEET_NAME_MAX];
	char pool[FLEET_NAME_MAX];
	char rack[FLEET_NAME_MAX];
	enum fleet_machine_state state;
	bool listed; /* in the last list */
	enum job_phase phase;
	struct wave *wave; /* whose upkeep it is in; NULL: a move */
	char target[FLEET_NAME_MAX];
	uint64_t phase_ms; /* since when */
	uint64_t moved_ms; /* last came to its pool */
	uint64_t idle_ms; /* since when nothing runs on it; 0: something does */
	UT_hash_handle hh;
};

enum upkeep_state { UPKEEP_DUE, UPKEEP_TAKEN, UPKEEP_HAD };

struct upkeep {
	char machine[FLEET_NAME_MAX];
	enum upkeep_state state;
};

struct wave {
	struct wave *prev, *next;
	char name[FLEET_NAME_MAX];
	uint64_t number;
	uint32_t at_once;
	uint64_t begun_ms;
	uint64_t due_ms;
	uint32_t count;
	struct upkeep *upkeeps;
	bool told_running, told_completed, telling;
};

struct fleet {
	struct fleet_options options;
	const struct config *config;
	struct machine *machines;
	struct wave *waves;
	uint64_t list_ms;	 /* when the list was last read */
	uint64_t list_wanted_ms; /* read it at this time; 0: not wanted */
	uint64_t balance_ms;	 /* next thought about moves */
	struct fleet_stats stats;
	struct balance *balance;
};

/* fleet.c */
struct machine *fleet_machine(const struct fleet *f, const char *name);
void machine_drain(struct machine *m, struct sched *s, uint64_t now);
void fleet_want_list(struct fleet *f, uint64_t at);

/* upkeep.c */
bool upkeep_next(struct fleet *f, struct sched *s, uint64_t now,
		 struct fleet_action *action);
void upkeep_answered(struct fleet *f, struct machine *m, uint64_t now);

/* balance.c */
bool balance_next(struct fleet *f, struct sched *s, uint64_t now,
		  struct fleet_action *action);

#endif
