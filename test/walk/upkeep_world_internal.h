/*
 * upkeep_world_internal - the parts of the simulation behind upkeep_world.h
 *
 * upkeep_world.c        set-up of a seed, its schedule, faults and callers
 * upkeep_world_site.c   machines and instances, what orders and polls do there
 * upkeep_world_fault.c  faults and changes of the site from UPKEEP_FAULT_SILENT
 * upkeep_world_lead.c   the leader: scheduler, planner and their calls
 * upkeep_world_rows.c   the store's rows, and a leader that loads them
 * upkeep_world_check.c  the invariants
 */
#ifndef UPKEEP_WORLD_INTERNAL_H
#define UPKEEP_WORLD_INTERNAL_H

#include <utlist.h>

#include "fleet/fleet.h"
#include "pool/sched.h"
#include "test/walk/upkeep_world.h"

#define UPKEEP_TICK_MS 20u
#define UPKEEP_PLAN_MS 100u    /* between two passes of the planner */
#define UPKEEP_BEGIN_MS 10000u /* virtual time at which a seed begins */
#define UPKEEP_MAINTENANCE_MS 2000u
#define UPKEEP_MOVE_MS 1500u
#define UPKEEP_LISTED_MAX_MS 800u /* delay of the directory */
#define UPKEEP_STOP_MAX_MS 200u	  /* from a stop to the end of its run */
#define UPKEEP_STARTUP_MS 300u	  /* until a long-running task is at work */
#define UPKEEP_LEASE_MAX_MS 10000u
#define UPKEEP_NEVER UINT64_MAX

/* Bounds of the invariants */
#define ROOM_WITHOUT_RUN_MS 6000u
#define ROOM_SOON_MS 3000u
#define ROOM_SINCE_MS 3000u
/*
 * Twice the idle time before power-off (1 s), the longest drain (2 s) and a
 * move (2 s): an idle machine reaches a pool with waiting work by then
 */
#define STARVED_MS 10000u
#define PLACE_MS 1500u
#define PLACE_FREE_MS 3000u
#define TWICE_STOPPED_MS 5000u
#define NOTICE_MS 4500u /* absent for so long, a task counts as missing */
#define FAULT_NEAR_MS 7000u

#define MACHINES_MAX 80u
#define RACK_MACHINES 4u
#define POOLS_MAX 5u
#define LASTING_MAX 12u
#define TASKS_MAX 24u
#define RUNS_MAX 64u
#define ENDS_MAX 512u
#define WAVES_MAX 3u
#define WINDOWS_MAX 3u
#define PAST_MAX 512u
#define ZONES 3u
#define MACHINE_CPU 16000 /* millicores */
#define MACHINE_MEM 64000 /* MiB */

/* Jobs */

struct upkeep_task {
	uint32_t runs;		   /* at present */
	uint64_t without_since_ms; /* the last run's end, or the acceptance */
	uint64_t at_work_ms;	   /* when it was last at work; 0: never */
	bool ended_by_order;	   /* and not at work again yet */
	uint64_t stop_ms;	   /* of the last stop order; 0: none */
	uint64_t place_due_ms;	   /* it must run again by then; 0: no bound */
};

struct upkeep_job {
	char id[SCHED_ID_BYTES + 1];
	bool lasting;
	uint32_t pool;
	uint32_t count, cpu, mem, estimate_ms, spread_limit, may_miss;
	uint32_t run_ms;
	uint64_t submit_ms; /* when the caller sends it */
	uint64_t cancel_ms; /* UPKEEP_NEVER: it doesn't */
	bool submitted, accepted, cancelled, ended;
	uint64_t room_since_ms; /* room for two more without a break; 0: none */
	uint32_t workspace;
	uint32_t near_rack; /* number of the preferred one, from 1; 0: none */
	uint32_t running, done; /* runs at present, and ended by themselves */
	/* In the store, with UPKEEP_FAULT_LEADERS */
	bool written, ended_written;
	Fleet__JobState end_state;
	uint8_t *progress; /* packed; NULL: none */
	size_t progress_bytes;
	uint64_t stuck_since_ms; /* it waits and fits nowhere; 0: it doesn't */
	struct upkeep_task *tasks; /* of a long-running job */
};

/* Machines and their instances */

enum upkeep_machine_state {
	UPKEEP_UP,
	UPKEEP_MOVING,
	UPKEEP_IN_MAINTENANCE,
	UPKEEP_DOWN
};

struct upkeep_run {
	uint32_t job, task;
	uint64_t number;
	uint64_t begun_ms;
	uint64_t ends_ms; /* by itself; UPKEEP_NEVER if it lasts */
	uint64_t stop_ms; /* when a stop order ends it; UPKEEP_NEVER */
	bool unanswered;  /* the leader got no answer to its start */
};

struct upkeep_end {
	uint64_t seq;
	uint32_t job, task;
	uint64_t number;
	enum sched_outcome outcome;
};

struct upkeep_machine {
	char name[16];
	uint32_t rack, pool;
	enum upkeep_machine_state state;
	uint64_t back_ms;  /* when it is up again */
	uint32_t wave;	   /* number of the last wave that it was absent for */
	uint32_t instance; /* serial number; 0: none, it is powered off */
	uint64_t up_ms;
	/* What the directory shows, and what it will show */
	uint32_t listed;
	uint64_t listing_ms, unlisting_ms; /* UPKEEP_NEVER: no change due */
	uint64_t refuses_until_ms;	   /* starts */
	uint64_t silent_until_ms;	   /* no poll or order reaches it */
	bool silent_by_fault;
	bool stands_still;	/* orders are carried out after the silence */
	uint64_t fence;		/* highest epoch of a call */
	uint64_t lease_ms;	/* end of the lease, with UPKEEP_LEASES */
	uint64_t idle_since_ms; /* up without runs; 0: it isn't */
	/* Runs that ended or were told to stop, with UPKEEP_LEASES */
	struct upkeep_run past[PAST_MAX];
	uint32_t past_count;
	uint64_t cpu, mem; /* used */
	uint32_t run_count, end_count, lasting_count;
	uint64_t last_seq;
	struct upkeep_run runs[RUNS_MAX];
	struct upkeep_end ends[ENDS_MAX];
};

struct upkeep_wave {
	uint64_t start_ms;
	uint32_t duration_ms, at_once, count;
	bool started, completed;
	const char *names[MACHINES_MAX];
	uint32_t machines[MACHINES_MAX];
	bool done[MACHINES_MAX];     /* its maintenance has begun */
	bool recorded[MACHINES_MAX]; /* in the store */
};

struct upkeep_window {
	uint64_t begin_ms, end_ms;
	uint32_t machine; /* of refused starts */
};

/* Calls in flight */

enum upkeep_call_kind {
	UPKEEP_CALL_ORDER,
	UPKEEP_CALL_POLL,
	UPKEEP_CALL_WRITE,
	UPKEEP_CALL_CONFIRM,
	UPKEEP_CALL_LIST,
	UPKEEP_CALL_ACTION,
};

/* What a write changes of a job in the store. */
struct upkeep_row {
	struct upkeep_row *next;
	uint32_t job;
	bool is_ended;
	Fleet__JobState end_state;
	uint8_t *progress; /* owned by the row */
	size_t progress_bytes;
};

struct upkeep_call {
	struct upkeep_call *prev, *next;
	enum upkeep_call_kind kind;
	uint64_t sent_ms, exec_ms, answer_ms;
	bool executed;
	bool unanswered;   /* the order: it is carried out, no answer comes */
	uint32_t instance; /* serial number, of orders and polls */
	struct sched_order order;
	enum sched_order_result order_result;
	struct sched_poll poll;
	bool late;     /* executed long after it was given up; no answer */
	bool answered; /* the poll, by a report; the list */
	uint64_t report_ms;
	uint64_t born_ms;
	struct sched_running *running;
	struct sched_ended *ended;
	uint32_t running_count, ended_count;
	uint32_t batch;
	uint64_t fence;
	struct upkeep_row *rows; /* of a write */
	struct fleet_machine_info *machines;
	char (*instances)[16];
	uint32_t machine_count;
	struct fleet_action action;
	enum fleet_result action_result;
};

struct upkeep_world {
	TALLOC_CTX *ctx;
	uint64_t seed, random_counter, now;
	unsigned int faults;
	bool verbose;
	uint64_t traffic_end_ms;
	/* The site */
	struct config config;
	struct config_queue queues[POOLS_MAX];
	struct config_pool pools[POOLS_MAX];
	struct config_workspace workspaces[2]; /* a cap is of the first */
	char names[POOLS_MAX][8]; /* of pools and of their queues */
	uint32_t pool_count;	  /* the last one is the spare pool */
	uint32_t machine_count, rack_count;
	struct upkeep_machine machines[MACHINES_MAX];
	uint32_t instance_count;
	uint32_t *instance_machine; /* by serial number */
	/* Demand: each pool in its turn */
	double peak_work;  /* millicores */
	double quiet_work; /* same, outside of a pool's turn */
	uint32_t turn_ms, turn_offset_ms;
	double owed_work[POOLS_MAX];
	uint32_t job_count;
	struct upkeep_job *jobs; /* the long-running ones first */
	uint32_t lasting_count;
	struct upkeep_wave waves[WAVES_MAX];
	uint32_t wave_count;
	/* Faults */
	struct upkeep_window rack_faults[WINDOWS_MAX];
	struct upkeep_window store_faults[WINDOWS_MAX];
	struct upkeep_window order_faults[WINDOWS_MAX];
	struct upkeep_window start_faults[WINDOWS_MAX];
	struct upkeep_window silent_faults[WINDOWS_MAX];
	struct upkeep_window answer_faults[WINDOWS_MAX];
	struct upkeep_window list_faults[WINDOWS_MAX];
	struct upkeep_window leader_faults[WINDOWS_MAX]; /* no leader */
	uint64_t epoch;
	uint64_t late_until_ms; /* the last late order */
	struct upkeep_window evacuations[WINDOWS_MAX];
	uint32_t evacuation_zones[WINDOWS_MAX]; /* bits */
	uint32_t evacuated;			/* zones, as bits */
	uint64_t barred_ms;			/* last evacuation or cap set */
	uint64_t lifted_ms[ZONES];		/* 0: never evacuated */
	struct upkeep_window cap_changes[WINDOWS_MAX];
	const struct config *config_now;
	struct amount used;	    /* by the workspace with the cap */
	uint32_t *open, open_count; /* accepted, not done */
	uint64_t fault_ms;	    /* time of the last fault; 0: none */
	uint64_t free_since_ms;	    /* see check_tick() */
	/* The leader */
	struct sched *sched; /* NULL: there is none */
	struct fleet *fleet;
	uint32_t forecast_trust_max;
	struct upkeep_call *calls;
	uint32_t last_batch, writes;
	uint64_t confirmed_ms, plan_due_ms, list_sent_ms;
	bool confirming, listing;
	struct upkeep_result *result;
};

enum upkeep_cause {
	CAUSE_ITSELF,
	CAUSE_STOP,
	CAUSE_MACHINE,
	CAUSE_CRASH,
	CAUSE_LAPSE
};

/* upkeep_world.c */
uint32_t upkeep_random(struct upkeep_world *w, uint32_t below);
uint32_t upkeep_between(struct upkeep_world *w, uint32_t low, uint32_t high);
__attribute__((format(printf, 2, 3))) void upkeep_trace(
	const struct upkeep_world *w, const char *fmt, ...);
bool upkeep_fault_active(const struct upkeep_world *w,
			 const struct upkeep_window *windows);
void upkeep_job_ended(struct upkeep_world *w, struct upkeep_job *job);

void upkeep_set_windows(struct upkeep_world *w, enum upkeep_fault fault,
			struct upkeep_window *windows, uint32_t min_ms,
			uint32_t max_ms);

/* upkeep_world_fault.c */
/* Instances have leases and remember runs that ended. */
bool fault_has_leases(const struct upkeep_world *w);
void fault_set_up(struct upkeep_world *w);
void fault_advance(struct upkeep_world *w);
void fault_tell_evacuated(struct upkeep_world *w);
/* Called when an instance has come up. */
void fault_came_up(struct upkeep_world *w, struct upkeep_machine *m);
void fault_job_added(struct upkeep_world *w, uint32_t index);
const char *fault_zone(const struct upkeep_world *w,
		       const struct upkeep_machine *m);
/* Whether it may be started there: not in an evacuated zone, nor silent. */
bool fault_is_usable(const struct upkeep_world *w,
		     const struct upkeep_machine *m);
bool fault_near_cap(const struct upkeep_world *w, const struct upkeep_job *job);

/* upkeep_world_site.c */
void site_advance(struct upkeep_world *w);
void site_list_instance(struct upkeep_world *w, struct upkeep_machine *m);
void site_come_up(struct upkeep_world *w, struct upkeep_machine *m);
void site_crash(struct upkeep_world *w, struct upkeep_machine *m,
		uint64_t back_ms);
struct upkeep_machine *site_instance(struct upkeep_world *w, uint32_t serial);
/* Only with fault_has_leases(). */
void site_extend_lease(const struct upkeep_world *w, struct upkeep_machine *m,
		       uint64_t until_ms);
enum sched_order_result site_order(struct upkeep_world *w,
				   const struct upkeep_call *c);
void site_report(struct upkeep_world *w, struct upkeep_call *c);
void site_list(struct upkeep_world *w, struct upkeep_call *c);
/* Records an order of maintenance that was carried out, for later leaders. */
void site_record(struct upkeep_world *w, const struct fleet_action *a);
void site_load_waves(struct upkeep_world *w);
enum fleet_result site_action(struct upkeep_world *w,
			      const struct fleet_action *a);

Fleet__JobRow *upkeep_job_row(const struct upkeep_world *w,
			      const struct upkeep_job *job);

/* upkeep_world_rows.c */
void rows_add(struct upkeep_call *write, struct sched_change *change);
void rows_apply(struct upkeep_world *w, const struct upkeep_call *write);
void rows_load(struct upkeep_world *w);
void rows_forget_unwritten(struct upkeep_world *w);

/* upkeep_world_lead.c */
void lead_begin(struct upkeep_world *w);
/* Ends the leader; orders on their way are carried out. */
void lead_end(struct upkeep_world *w);
void lead_calls_advance(struct upkeep_world *w);
void lead_advance(struct upkeep_world *w);

/* upkeep_world_check.c */
__attribute__((format(printf, 3, 4))) void check_failed(
	struct upkeep_world *w, enum upkeep_invariant invariant,
	const char *fmt, ...);
void check_began(struct upkeep_world *w, uint32_t job, uint32_t task);
void check_stop(struct upkeep_world *w, const struct upkeep_run *run,
		bool late);
void check_ended(struct upkeep_world *w, const struct upkeep_run *run,
		 enum upkeep_cause cause);
void check_maintenance(struct upkeep_world *w, uint32_t wave);
void check_tick(struct upkeep_world *w);
void check_end(struct upkeep_world *w);

#endif
