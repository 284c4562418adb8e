/*
 * drain_rig - long-running tasks beside waves and moves, in virtual time
 *
 * One scheduler and one fleet. Instances carry out orders at once and report
 * what was ordered; the platform and the adviser answer as the test says. Every
 * instance has 4,000 millicores and MiB and the label "r1".
 */
#ifndef DRAIN_RIG_H
#define DRAIN_RIG_H

#include "fleet/fleet.h"
#include "test/rig/sched_rig.h"

#define DRAIN_PASS_MS 20u
#define DRAIN_MACHINES_MAX 20u /* in the platform's list */
#define DRAIN_RUNS_MAX 64u
#define DRAIN_POLLS_MAX 8u /* in a pass */

/* The runs of a rig's instances. */
struct drain_runs {
	struct sched_order orders[DRAIN_RUNS_MAX]; /* as ordered last; number 0:
						      no run */
	uint32_t count;
	uint64_t end_seq;
	const char *silent; /* instance whose polls get no answer */
};

/* drain_runs_note - a start adds a run; a stop ends its run at the next poll */
void drain_runs_note(struct drain_runs *runs, const struct sched_order *o);

/* drain_runs_report - answer due polls; stopped runs end with that outcome */
void drain_runs_report(struct drain_runs *runs, struct rig *r,
		       enum sched_outcome outcome);

/* drain_list_instance - list one with an optional label before "r1" */
void drain_list_instance(struct rig *r, const char *id, const char *pool,
			 const char *label);

/*
 * Pool p has the instances i-0, i-1, ... of the queue of most cases; pool
 * backlog is for drain_add_backlog; pool spare gives its machines to others.
 */
struct drain_rig {
	struct rig r;
	struct fleet *f;
	struct config_pool pools[3];
	struct config_queue queues[2];
	struct config_workspace workspaces[2]; /* "w"; "capped": 3,000 mCPU */
	struct fleet_machine_info machines[DRAIN_MACHINES_MAX];
	uint32_t machine_count;
	uint32_t starts, stops, upkeeps, moves;
	char moved[FLEET_NAME_MAX]; /* the last machine that was ordered */
	char moved_to[FLEET_NAME_MAX];
	uint64_t upkeep_wave;	  /* of the last maintenance */
	enum fleet_result result; /* of moves */
	enum fleet_result upkeep_result;
	bool store_slow; /* nothing is written meanwhile */
	bool adviser_silent;
	bool approves; /* the adviser does; else it names no instance */
	struct drain_runs runs;
};

extern const char drain_id_other[]; /* a job beside that of id_a */

/* drain_new - a leader with up to three instances; free with drain_free */
void drain_new(struct drain_rig *x, uint32_t instances);

/* drain_new_advised - same, with an adviser whose tickets last 3 s */
void drain_new_advised(struct drain_rig *x, uint32_t instances);
void drain_free(struct drain_rig *x);

/* drain_add_machine - one for the next drain_list_machines */
void drain_add_machine(struct drain_rig *x, const char *machine,
		       const char *pool);

/* drain_list_machines - the platform's list arrives */
void drain_list_machines(struct drain_rig *x);

/* drain_add_backlog - pool backlog: three machines, 200 tasks, one at a time */
void drain_add_backlog(struct drain_rig *x);

/* drain_add_wave - of i-0, i-1, ...; it has 4 s */
void drain_add_wave(struct drain_rig *x, uint32_t max_concurrent,
		    uint32_t machines);

/* drain_add_long_wave - one at a time; it began begun_ms ago and has 20 s */
void drain_add_long_wave(struct drain_rig *x, uint32_t machines,
			 uint32_t begun_ms);

/* drain_row - long-running tasks; an instance has room for one of them */
Fleet__JobRow *drain_row(uint32_t tasks, uint32_t may_miss);
void drain_set_workspace(Fleet__JobRow *row, const char *name);
void drain_set_label(Fleet__JobRow *row, const char *label);

/* drain_submit_row - a job that is accepted and written */
void drain_submit_row(struct drain_rig *x, const char *id, Fleet__JobRow *row);

/* drain_submit - same, of a row whose tasks have no budget */
void drain_submit(struct drain_rig *x, const char *id, uint32_t tasks);

/* drain_fail_run - a task's run fails, and that is reported and written */
void drain_fail_run(struct drain_rig *x, const char *task);

/* drain_order_machines - carry out what the fleet orders now */
void drain_order_machines(struct drain_rig *x);

/* drain_advance - let ms pass, in passes of DRAIN_PASS_MS */
void drain_advance(struct drain_rig *x, uint32_t ms);

/* drain_advance_joining - same; moved machines join pool p, one at a time */
void drain_advance_joining(struct drain_rig *x, uint32_t ms);

#endif
