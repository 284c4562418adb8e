/*
 * course_rig - pools of long-running and other tasks in virtual time
 *
 * One scheduler and one planner lead a simulated site. Orders are carried out
 * and answered at once; a moved machine is away for 1.5 s, one in maintenance
 * for 2 s, and its instance is listed 300 ms after it is up. Every instance has
 * 16,000 millicores and 64,000 MiB, unless a test sets its machine's capacity.
 * A test sets what goes wrong on a machine.
 */
#ifndef COURSE_RIG_H
#define COURSE_RIG_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fleet/fleet.h"

#define COURSE_TICK_MS 20u
#define COURSE_CPU 16000 /* millicores of an instance */
#define COURSE_MEM 64000 /* MiB */
#define COURSE_POOLS_MAX 6u
#define COURSE_MACHINES_MAX 100u
#define COURSE_RUNS_MAX 64u /* of an instance */
#define COURSE_ENDS_MAX 256u
#define COURSE_JOBS_MAX 8192u
#define COURSE_TASKS_MAX 32u /* of a long-running job */
#define COURSE_WORKSPACES 2u /* "w" and "capped" */

struct course_run {
	uint32_t job, task;
	uint64_t number;
	uint64_t ends_ms; /* by itself; UINT64_MAX: never */
};

struct course_end {
	struct course_run run;
	uint64_t seq;
	enum sched_outcome outcome;
};

struct course_machine {
	char name[16], instance[16]; /* instance: "" while none is up */
	uint32_t pool;
	const char *zone;
	const char *label; /* NULL: none beside its rack */
	enum fleet_machine_state state;
	uint64_t back_ms, up_ms;
	bool listed;
	int64_t capacity_cpu, capacity_mem;
	int64_t cpu, mem; /* used */
	uint32_t run_count, end_count;
	uint64_t last_seq;
	struct course_run runs[COURSE_RUNS_MAX];
	struct course_end ends[COURSE_ENDS_MAX];
	/* What goes wrong */
	bool refuses_starts;
	bool silent;		  /* polls get no answer */
	bool silent_after_stop;	  /* same, once it has carried out a stop */
	bool stop_unanswered;	  /* a stop is carried out without an answer */
	bool denied;		  /* the adviser doesn't approve it */
	enum fleet_result result; /* of orders to move it */
};

struct course_task {
	uint32_t runs, starts;
	uint64_t without_since_ms; /* its last run's end, or the acceptance */
	bool lost;		   /* counted in course_rig.lost */
};

struct course_job {
	char id[SCHED_ID_BYTES + 1];
	uint32_t pool;
	bool lasting, cancelled;
	uint32_t count, cpu, mem, run_ms, spread_limit, may_miss;
	const char *label;	/* NULL: any machine */
	const char *workspace;	/* NULL: "w" */
	uint64_t room_since_ms; /* room for two more, no break; 0: none */
	struct course_task tasks[COURSE_TASKS_MAX]; /* of a long-running one */
};

/* A wait without a run, of one long-running task. */
struct course_wait {
	uint32_t job, task;
	uint64_t begin_ms, ms;
	uint64_t asked_ms; /* of it: with a machine requested by its pool */
	uint64_t room_ms;  /* of it: with room for the task twice over */
};

struct course_rig {
	uint64_t now;
	struct sched *s;
	struct fleet *f;
	struct config config;
	struct config_pool pools[COURSE_POOLS_MAX]; /* the last is spare */
	struct config_queue queues[COURSE_POOLS_MAX];
	struct config_workspace workspaces[COURSE_WORKSPACES];
	uint32_t machine_count, job_count, instance_count;
	struct course_machine machines[COURSE_MACHINES_MAX];
	struct course_job *jobs;
	bool store_slow;  /* nothing is written */
	bool list_fails;  /* the platform's list can't be read */
	bool list_is_due; /* it is read at the next tick */
	uint64_t listed_ms;
	uint32_t moves_to[COURSE_POOLS_MAX]; /* ordered */
	uint32_t lost; /* tasks without a run for 6 s, with room for 3 s */
	struct course_wait longest, current[COURSE_TASKS_MAX * 16];
	uint64_t count_from_ms; /* waits that begin earlier aren't counted */
};

struct course_options {
	uint32_t pools; /* without the spare one */
	bool advised;	/* queues have an adviser */
	uint32_t epoch; /* 0: the first */
};

/* course_new - a leader of a site without machines; free with course_free */
void course_new(struct course_rig *x, const struct course_options *options);
void course_free(struct course_rig *x);

/* course_add_machine - one that is up; before the first course_advance */
struct course_machine *course_add_machine(struct course_rig *x, uint32_t pool);

/* course_submit - fields other than id, tasks; returns the job's index */
uint32_t course_submit(struct course_rig *x, const struct course_job *job);
void course_cancel(struct course_rig *x, uint32_t job);

/* course_crash - a machine is down until back_ms */
void course_crash(struct course_rig *x, struct course_machine *m,
		  uint64_t back_ms);

void course_advance(struct course_rig *x, uint32_t ms);

/* course_waited_ms - for how long a long-running task has no run; 0: has one */
uint64_t course_waited_ms(const struct course_rig *x, uint32_t job,
			  uint32_t task);
struct course_machine *course_machine_of(struct course_rig *x, uint32_t job,
					 uint32_t task);

#endif
