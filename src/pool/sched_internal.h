/*
 * sched_internal - the tables behind sched.h
 *
 * sched.c          jobs, steps and their ends
 * sched_occurrence.c  occurrences of jobs
 * sched_change.c   rows to be written, acknowledgement of ends
 * sched_ends.c     ended jobs whose rows are to be deleted
 * sched_submit.c   new jobs and jobs loaded at takeover
 * sched_run.c      runs, their orders and the outcomes of orders
 * sched_instance.c instances, leases, ejection of failing instances
 * sched_poll.c     polls and reports
 * sched_advice.c   queues whose placement an adviser decides
 * sched_avail.c    draining within disruption budgets
 * sched_evacuation.c zones in which nothing may be started
 * sched_hold.c     places that are held for long-running tasks
 * sched_throttle.c speed of fillers beside tasks with a latency target
 * sched_ready.c    order of steps with startable tasks
 * sched_room.c     instances of a pool by free CPU
 * sched_pace.c     the leader's own capacity
 * sched_refused.c  refused submissions
 * sched_estimate.c run times, corrected by those observed
 * sched_reserve.c  reservations of steps that wait for room
 * sched_place.c    placement
 * sched_admit.c    estimates of jobs, their admission
 * sched_share.c    shares of workspaces in a pool
 * sched_load.c     load of pools and instances
 * sched_row.c      encoding and decoding of progress rows
 * sched_stats.c    counters and histograms
 * sched_explain.c  state of one job for operators
 * sched_waits.c    why a long-running task doesn't run
 * sched_longest.c  the longest wait of such a task in each pool
 */
#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "job/job_check.h"
#include "pool/sched.h"

struct hold;
struct task;
struct step;
struct job;
struct instance;

enum run_state {
	RUN_ORDERED,  /* start order queued or in flight */
	RUN_UNKNOWN,  /* start was not answered: it may begin any time */
	RUN_RUNNING,  /* known to run */
	RUN_STOPPING, /* stop order queued, in flight or carried out */
};

#define RUN_NO_OUTCOME (-1) /* the end of the run was not reported */

/* Why a run was to be stopped. */
enum stop_reason {
	STOP_NONE,	 /* it was not */
	STOP_RELOCATED,	 /* its machine is being drained */
	STOP_JOB_OVER,	 /* cancelled or ended, or the task is done */
	STOP_UNANSWERED, /* its start was not answered */
	STOP_DUPLICATE,	 /* another run of its task was found */
	STOP_GANG	 /* another member of its gang ended */
};

struct run {
	run_handle handle;
	struct task *task;
	struct instance *instance;
	uint64_t number;
	enum run_state state;
	uint64_t created_ms;	   /* when placed, or found in a report */
	uint64_t ordered_ms;	   /* when its last order was sent */
	uint64_t running_since_ms; /* when first known to run; 0: not yet */
	uint64_t
		adopted_ms; /* when a report showed it first; 0: started here */
	uint64_t stop_done_ms; /* when its stop order was done; 0: not yet */
	/* when its unanswered stop was given up; 0: it was not */
	uint64_t stop_withdrawn_ms;
	/* when its last order was given up without an answer; 0: it wasn't */
	uint64_t unanswered_ms;
	/* when the newest report that lacks its unanswered start was asked for;
	 * 0: none does */
	uint64_t absent_ms;
	bool relay_lost;  /* no result of its start from the relay */
	bool missing;	  /* a report lacks it, though it should be in */
	bool to_send;	  /* it is in sched.to_send */
	bool withdrawn;	  /* its start must not be sent */
	bool in_flight;	  /* its order was sent and is not answered */
	bool timed;	  /* running_since_ms is when it began, from nothing */
	uint32_t percent; /* progress, as reported */
	uint32_t speed_percent;	 /* of a filler; last one carried out */
	uint32_t speed_wanted;	 /* of a filler; last one decided */
	double load;		 /* as reported; see struct sched_running */
	struct run *prev, *next; /* in instance.runs */
	struct run *task_prev, *task_next;   /* in task.runs */
	struct run *order_prev, *order_next; /* in sched.to_send */
	bool unsettled;			     /* it is in sched.unsettled */
	enum stop_reason stop_reason;
	/* enum sched_outcome, or RUN_NO_OUTCOME */
	int outcome;
	struct run *unsettled_prev, *unsettled_next;
};

struct task {
	struct step *step;
	uint32_t index;
	bool done;
	/* a former leader may have started it; no report shows it */
	bool possibly_running;
	uint32_t failed;     /* runs that failed */
	uint32_t starts;     /* in this epoch */
	uint32_t short_runs; /* see task_count_end() */
	/* slot + 1 of its last failure, or unanswered start; 0: none */
	uint32_t avoid_instance;
	uint64_t unavailable_since_ms; /* if long-running; 0: available */
	uint64_t retry_ms;	       /* earliest next start */
	uint64_t relocated_ms; /* end of the last run stopped for a drain */
	struct hold *hold;     /* its next place; NULL: none */
	struct run *runs;
	char *checkpoint; /* NULL: none */
};

/* What an adviser said of one incarnation of an instance. */
struct opinion {
	instance_handle_t instance;
	uint64_t started_unix_ms;
	uint64_t answered_ms;
	uint64_t valid_until_ms; /* of the ticket */
	char *ticket;		 /* NULL: the instance may not run the step */
};

/* An incarnation of an instance that a call to the adviser names. */
struct advice_asked {
	instance_handle_t instance;
	uint64_t started_unix_ms;
};

/* What limits the reservations of a step; see sched_reserve.c. */
struct reserve_wait {
	uint64_t after_ms; /* earliest next reservation */
	uint32_t given_up; /* consecutive reservations that passed in vain */
	instance_handle_t avoid; /* where the last of them was */
};

/* A step of one occurrence. */
struct step {
	struct job *job;
	struct occurrence *in;
	const Fleet__Step *spec;
	uint32_t index;
	uint32_t tasks_left;
	uint32_t startable; /* tasks not done and without a possible run */
	uint32_t held;	    /* tasks with a place that is held for them */
	bool ready;	    /* occurrence is due, steps before it are done */
	bool queued;	    /* in pool.ready */
	uint32_t failed_count;
	uint32_t *failed; /* pairs of task index and run number */
	struct task *tasks;
	bool advice_pending;	/* a call to the adviser is not answered */
	uint64_t advice_due_ms; /* earliest next call; 0: never ready yet */
	uint32_t advice_page;	/* instances in the next call; 0: the fewest */
	uint32_t asked_count;	/* in the pending call */
	struct advice_asked *asked;
	uint32_t opinion_count;
	struct opinion *opinions; /* sorted by slot of the instance */
	double rank;		  /* as last determined, lowest first */
	bool late;		  /* when last ranked */
	uint64_t counted_work;	  /* of startable tasks, in demand.waiting */
	uint64_t late_work;	  /* of it, in pool.late_work and demand.late */
	uint64_t waiting_work;	  /* as counted in pool.waiting_work */
	struct reserve_wait reserve;
	uint64_t other_wanted_ms; /* see other_is_wanted(); 0: never yet */
	/* Since when reservations alone keep it from room; 0: they don't */
	uint64_t reserved_out_ms;
	struct step *prev, *next; /* in pool.ready */
};

struct occurrence {
	uint32_t index;
	uint32_t steps_left;
	bool due;      /* it has begun */
	bool in_row;   /* done, according to the row that is being written */
	bool recorded; /* done, according to the store */
	uint64_t due_ms;
	struct step *steps;
	UT_hash_handle hh;
};

/* Numbers from first to before end. */
struct range {
	uint32_t first, end;
};

/* Jobs by what timers and load figures look for; each job is in one list. */
enum job_list {
	JOBS_SHORT,    /* unfinished, due once, all tasks end by themselves */
	JOBS_LONG,     /* unfinished; repeated or with long-running tasks */
	JOBS_ENDING,   /* ended; runs or rows of it may remain */
	JOBS_ENDED,    /* only its state is kept; oldest end first */
	JOBS_EXPIRED,  /* the same, for long enough: its row is to be deleted */
	JOBS_DELETING, /* its row's deletion is in a batch */
	JOB_LISTS
};

/* Real against declared run times of a queue; see sched_estimate.c. */
struct estimate {
	uint64_t runs;
	double mean;	  /* of the ratio's logarithm */
	double deviation; /* mean absolute deviation of that logarithm */
	double ratio;	  /* exp(mean) */
	double bound;	  /* ratio that few runs exceed */
	double declared_ms, real_ms; /* running means */
	double sum_ratio;	     /* of these */
	double logged;		     /* mean in the last line about it */
};

/* State of a queue; kept after the queue is removed. */
struct queue_count {
	char name[SCHED_NAME_MAX];
	uint32_t pending; /* jobs that have not started */
	struct estimate estimate;
	UT_hash_handle hh;
};

/* A submission that was refused. */
struct refused {
	struct refused *prev, *next; /* in sched.refused_list, oldest first */
	char id[SCHED_ID_BYTES + 1];
	uint64_t first_ms;
	bool for_load; /* not because no instance could ever run it */
	UT_hash_handle hh;
};

enum change_state {
	CHANGE_NONE,	/* its rows are as in the store */
	CHANGE_NEW,	/* waits to be written for the first time */
	CHANGE_WAITING, /* waits to be written again */
	CHANGE_BATCHED, /* is in a batch */
	CHANGE_STATES
};

struct job {
	char id[SCHED_ID_BYTES + 1];
	Fleet__JobRow *row;
	/* NULL: the queue was removed, or the job has ended */
	const struct config_queue *queue_config;
	struct pool *pool;
	struct workspace *workspace;
	Fleet__JobState state; /* as decided; may not be written yet */
	Fleet__JobState shown; /* the state that callers get: it is written */
	bool stored;	       /* its row is in the store */
	bool rows_kept;	       /* it ended, but has runs: its rows are kept */
	bool claimed;	   /* a leader has written its rows: tasks may start */
	bool started;	   /* a task of it has run */
	bool pool_changed; /* a former leader may run it in another pool */
	bool loaded;	   /* at takeover; it may have unreported runs */
	/* its row failed job_check(), or is too large: nothing of it starts */
	bool set_aside;
	bool write_refused;	    /* its rows, when they were written alone */
	uint64_t refused_at_commit; /* number of commits at that time */
	uint64_t accepted_ms;
	uint64_t kept_since_ms;	   /* only its state; 0: more of it is kept */
	uint64_t objective_ms;	   /* deadline for its completion */
	uint64_t critical_path_ms; /* estimate */
	double estimate_ratio;	   /* of its queue when it was estimated */
	uint64_t work;		   /* estimate in millicores x ms */
	struct demand *demand;	   /* NULL: it takes no part in sharing */
	bool in_demand;		   /* counted in demand */
	uint64_t demand_work;	   /* of it, what is counted in demand.work */
	int64_t demand_cpu;	   /* of its runs, counted in demand.cpu */
	uint32_t times;		   /* occurrences */
	uint32_t occurrences_left; /* that are not done */
	struct occurrence *occurrences; /* those that are held, by index */
	uint32_t window;		/* most that are open at once */
	uint32_t open_count; /* begun, not yet done according to the store */
	uint32_t recorded_count; /* of the occurrences that are held */
	uint32_t next_due;	 /* all before have begun */
	uint32_t done_range_count, done_range_alloc;
	struct range *done_ranges;  /* done according to the store; sorted */
	uint64_t bytes;		    /* estimate of its memory */
	char queue[SCHED_NAME_MAX]; /* name; still set when row is NULL */
	enum change_state change;
	/* that contains it, if CHANGE_BATCHED or in JOBS_DELETING */
	uint32_t batch;
	bool changed_while_batched;
	uint64_t change_seq;	  /* of the first unwritten change */
	uint64_t next_change_seq; /* of the first change made while batched */
	struct job *prev, *next;  /* in sched.changes */
	enum job_list list;
	struct job *list_prev, *list_next; /* in sched.lists */
	struct queue_count *queue_count;
	bool pending; /* counted in queue_count */
	double rate;  /* counted in pace.rate, in tasks a second */
	UT_hash_handle hh;
};

/* Jobs accepted within a sliding second; see share_count_accepted(). */
struct accept_rate {
	uint64_t begun_ms; /* when the current window began */
	uint32_t count, previous;
};

/*
 * Unfinished work of one workspace in one pool, in millicores x ms. Kept when
 * the workspace is removed, as its jobs are.
 */
struct demand {
	struct workspace *workspace; /* NULL: calls without a key */
	struct pool *pool;
	uint32_t jobs;	     /* accepted and not ended */
	uint64_t work;	     /* of these, without tasks that are done */
	uint64_t waiting;    /* of startable tasks */
	uint64_t late;	     /* of waiting, of steps that are late */
	int64_t cpu;	     /* of its runs, in millicores */
	struct demand *next; /* in workspace.demands */
	/* in pool.demands, while it has jobs */
	struct demand *pool_prev, *pool_next;
};

struct workspace {
	char name[SCHED_NAME_MAX];
	struct amount used;
	struct amount unreported; /* requested by possibly running tasks */
	struct amount held; /* by tasks without a run, with a held place */
	const struct config_workspace *config; /* NULL when it was removed */
	struct demand *demands;		       /* one for each pool it used */
	struct accept_rate accepted;
	UT_hash_handle hh;
};

/*
 * Room that is kept for a task of a step on an instance; see sched_reserve.c.
 * Computed from the runs there; it lasts from pass to pass.
 */
struct reservation {
	struct step *step;
	instance_handle_t instance;
	struct amount amount;
	struct amount beside; /* free beside it at at_ms; may be negative */
	bool active;	      /* its step had its turn in this pass */
	uint64_t made_ms;
	uint64_t expected_ms; /* at_ms when it was made */
	uint64_t at_ms;	      /* when the room will be free; moves on */
	uint64_t until_ms;    /* when it is given up */
	uint64_t review_ms;   /* when other instances are compared next */
};

/* Instances of a pool by free CPU, least first; see sched_room.c. */
struct room {
	bool complete; /* all instances of the pool are in the array */
	bool sorted;   /* for the current pass */
	uint32_t count;
	uint32_t alloc;
	struct instance **instances;
	bool has_failed;
	struct amount failed; /* no instance has room for this much */
	bool too_large;	      /* nor would have if it were empty */
	/* nor, because of reservations, for this much and so long */
	bool has_blocked;
	struct amount blocked;
	uint64_t blocked_until_ms;
	uint64_t summary_until_ms; /* until then these are as computed */
	struct amount largest; /* capacity of a usable instance, each most */
	bool balance;	       /* memory is scarce too: see pack_score() */
};

/* Least backlog of a pool lately, in ms; see share_sample(). */
struct backlog_low {
	uint64_t begun_ms; /* when the current window began */
	uint32_t current, previous;
	uint32_t in_time; /* backlog of work in time, as sampled last */
};

/* Long-running tasks of a pool that wait; see sched_longest.c. */
struct longest {
	uint32_t tasks[SCHED_WAITS]; /* in this sample, by why they wait */
	const struct task *task;     /* with the longest wait; NULL: none */
	uint64_t waited_ms;	     /* by it */
	uint64_t term_ms;	     /* longest wait in this term */
	char term_task[SCHED_TASK_MAX];
	uint64_t logged_ms; /* 0: never */
};

struct pool {
	char name[SCHED_NAME_MAX];
	const struct config_pool *config;
	struct step *ready; /* sorted by rank, but for the unranked */
	struct step
		*unranked; /* the first that became ready since; NULL: none */
	struct step *untried; /* where the next pass goes on; NULL: nowhere */
	uint32_t ready_count;
	uint32_t startable;	/* tasks of ready steps */
	uint32_t long_ready;	/* of ready steps, long-running ones */
	uint32_t hold_count;	/* places held on its instances */
	uint64_t waiting_work;	/* of these, in millicores x ms */
	uint64_t late_work;	/* of it, of steps that were late when ranked */
	struct demand *demands; /* of workspaces with unfinished jobs */
	struct demand *anonymous; /* of calls without a key; NULL: none yet */
	struct accept_rate accepted; /* of these calls */
	struct backlog_low low;
	uint64_t next_ranking_ms; /* of all ready steps */
	uint64_t arrived_work;	  /* of accepted jobs; never falls */
	struct amount capacity;	  /* sums over instances, see pool_amounts() */
	struct amount used;
	uint64_t amounts_until_ms;
	/* sched_pool_load.long_running_machines and place_machines, as last
	 * computed */
	uint32_t machines_wanted;
	struct instance *instances;
	struct room room;
	/* by no order; those that aren't active end with the pass */
	struct reservation reservations[2 * SCHED_RESERVATIONS_MAX];
	uint32_t reservation_count;
	uint32_t reservations_active;
	uint32_t reserve_searches; /* in this pass */
	bool reserving;		   /* steps without room may get one */
	/* instances without a report to this leader that are in the pool, or
	 * were: tasks of it may run there */
	uint32_t unreported;
	uint64_t no_place_ms; /* when a drain last found no other place */
	uint32_t no_place;    /* machines that would have helped it then */
	/* when a job was last refused as evacuated instances alone could run it
	 */
	uint64_t refused_evacuated_ms;
	struct longest longest;
	UT_hash_handle hh;
};

/* A reported end to be acknowledged once its changes are durable. */
struct unacked {
	uint64_t end_seq;
	uint64_t change_seq; /* changes up to this one must be durable */
};

/* The instances of one machine, in the order in which they became known. */
struct machine_instances {
	char machine[SCHED_NAME_MAX];
	struct instance *instances;
	UT_hash_handle hh;
};

struct instance {
	instance_handle_t handle;
	char id[SCHED_NAME_MAX];
	char address[SCHED_ADDRESS_MAX];
	char zone[SCHED_ZONE_MAX];
	struct machine_instances *machine;
	char labels[SCHED_LABELS_MAX][SCHED_LABEL_MAX];
	uint32_t label_count;
	struct pool *pool;
	struct amount capacity;
	struct amount used;
	struct amount lasting; /* of used, by long-running tasks */
	uint64_t started_unix_ms;
	bool listed;		 /* in the directory */
	bool leaving;		 /* draining, or its machine was ordered down */
	bool listed_leaving;	 /* draining, according to the directory */
	bool reported;		 /* to this leader */
	bool restart_possible;	 /* it was listed again since it reported */
	bool expired;		 /* nothing can run there any more */
	bool unresponsive;	 /* poll or orders were not answered */
	bool leased;		 /* by this leader, since it was last silent */
	bool maintenance_due;	 /* it will be drained for maintenance */
	bool reserved;		 /* excluded from placement by fleet/ */
	bool evacuated;		 /* nothing may be started in its zone */
	bool polling;		 /* a poll is not answered yet */
	bool asked;		 /* in sched.asked: to be polled at once */
	uint32_t polls;		 /* that are not answered yet; 2 at most */
	bool polls_overlap;	 /* their answers may come in any order */
	bool has_missing;	 /* some of its runs are missing */
	bool counted_unreported; /* in sched.unreported */
	/* pools that count it in pool.unreported: all that it has been in */
	struct pool **unreported_in;
	uint32_t unreported_in_count;
	struct amount unreported_capacity; /* its part of sched.unreported */
	/* when it was learned that nothing runs there any more; 0: it wasn't */
	uint64_t gone_ms;
	const char *gone_why;
	uint64_t down_ms;  /* when its machine was ordered down; 0: it wasn't */
	uint64_t known_ms; /* when this leader first learned of it */
	uint64_t unlisted_ms;	 /* when it left the directory; 0: it did not */
	uint64_t listed_ms;	 /* when its entry last appeared or changed */
	uint64_t listed_unix_ms; /* its start, according to its entry */
	uint64_t report_sent_ms; /* when the poll of its report was sent */
	/* first report since its start or since it was unresponsive */
	uint64_t first_report_ms;
	uint64_t next_poll_ms;
	uint64_t poll_sent_ms;	/* the last poll; 0: it failed */
	uint64_t clock_ms;	/* its clock, read at clock_read_ms */
	uint64_t clock_read_ms; /* by the leader's clock; 0: unknown */
	/*
	 * By the leader's clock; no run that is known to have begun outlasts
	 * it. One whose start was not answered may, up to stale_end_ms, if
	 * the instance has restarted meanwhile.
	 */
	uint64_t lease_end_ms;
	uint64_t stale_end_ms;
	uint64_t last_end_seq; /* highest seq reported */
	uint64_t acked;	       /* highest seq whose changes are durable */
	struct unacked *unacked;
	uint32_t unacked_count;
	uint32_t unacked_alloc;
	uint32_t run_count;
	struct run *runs;
	uint32_t hold_count;
	struct hold *holds; /* their room is part of used */
	uint32_t room_slot; /* in pool.room, if that is complete */
	bool usable;	    /* when pool.room was sorted */
	uint32_t failures;  /* consecutive failed runs, of different jobs */
	char failed_job[SCHED_ID_BYTES + 1];
	uint64_t ejected_until_ms; /* no starts before, because of failures */
	uint64_t next_relocation_ms;
	uint64_t reserved_since_ms;
	uint32_t cold_ms;	/* from its entry */
	uint64_t returned_ms;	/* end of an evacuation; 0: long ago */
	uint32_t fill_permille; /* of its capacity, while returned_ms is set */
	uint64_t next_throttle_ms;  /* earliest next change of speed */
	uint32_t unanswered_orders; /* consecutive */
	/* when an order last got no answer; 0: a start has got one since */
	uint64_t unanswered_ms;
	struct instance *idle_prev, *idle_next;	      /* in sched.idle */
	struct instance *asked_prev, *asked_next;     /* in sched.asked */
	struct instance *unacked_prev, *unacked_next; /* in sched.unacked */
	struct instance *pool_prev, *pool_next;	      /* in pool.instances */
	struct instance *machine_prev, *machine_next; /* of one machine */
	UT_hash_handle hh;
};

/* The leader's own capacity; see sched_pace.c. */
struct pace {
	uint64_t begun_ms; /* when the current window began */
	uint64_t busy_us;  /* of the leader, at that time */
	double delay_ms;   /* from sending an order to reading its answer */
	double rate;	   /* tasks a second that unfinished jobs ask for */
	double limit;	   /* of rate */
	uint64_t accepted; /* jobs, when the current window began */
	double accepted_per_s;
};

struct sched {
	struct sched_options options;
	const struct config *config;
	uint64_t epoch;
	uint64_t leader_since_ms;     /* when this epoch began */
	uint64_t leader_confirmed_ms; /* last time known to be leader */
	uint64_t late_held_until_ms;  /* no late work starts before */
	uint64_t predecessor_end_ms;  /* time of its last possible order */
	uint64_t unix_ms;	      /* time of day */
	uint64_t tick_ms;	      /* of the last sched_tick */
	struct job *jobs;
	struct job *lists[JOB_LISTS];
	struct queue_count *queue_counts;
	uint32_t unfinished; /* jobs in the first two lists */
	uint32_t expired;    /* jobs in JOBS_EXPIRED */
	struct refused *refused;
	struct refused *refused_list;
	uint32_t refused_for_load;
	struct job *changes[CHANGE_STATES]; /* by state; none in the first */
	uint64_t change_seq;
	struct pool *pools;
	struct workspace *workspaces;
	struct instance *by_id;
	struct machine_instances *machines;
	struct instance *idle;	     /* instances without a poll in flight */
	struct instance *idle_next;  /* where the search for polls goes on */
	struct instance *unacked;    /* instances with unacknowledged ends */
	struct instance *asked;	     /* instances to be polled at once */
	struct instance **instances; /* NULL in free slots */
	uint32_t instance_slots;     /* used or free */
	uint32_t instance_alloc;
	uint32_t instance_generation; /* last one given to an instance */
	uint64_t call_unanswered_ms;  /* when a call last got no answer */
	uint64_t next_sweep_ms;	      /* next check of timers */
	uint64_t next_waits_log_ms;
	struct run **runs;
	uint32_t *run_generations;
	uint32_t run_alloc;
	uint32_t run_free_hint; /* where the search for a free slot begins */
	struct run *to_send;
	struct run *unsettled;
	struct amount unreported; /* capacity of unreported instances */
	uint32_t evacuated_count;
	char (*evacuated_zones)[SCHED_ZONE_MAX];
	bool returning;	      /* some instances are filled gradually */
	bool starts_held;     /* nothing may be started */
	bool ranges;	      /* progress rows may hold ranges */
	uint64_t job_bytes;   /* estimate of the memory of all jobs */
	bool expect_complete; /* every instance that may have runs is known */
	bool advice_used;     /* some queue needs advice */
	bool advice_by_age;   /* the next call is for whom waits longest */
	struct pace pace;
	struct sched_stats stats;
	uint32_t queue_count;
	struct sched_queue_stats *queues;
	void (*trace)(void *arg, const char *kind, const char *id,
		      const char *text);
	void *trace_arg;
};

static inline int64_t min_int64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static inline void amount_add(struct amount *a, const struct amount *b)
{
	a->cpu += b->cpu;
	a->mem += b->mem;
	a->gpu += b->gpu;
}

static inline void amount_sub(struct amount *a, const struct amount *b)
{
	a->cpu -= b->cpu;
	a->mem -= b->mem;
	a->gpu -= b->gpu;
}

static inline void amount_max(struct amount *a, const struct amount *b)
{
	a->cpu = a->cpu > b->cpu ? a->cpu : b->cpu;
	a->mem = a->mem > b->mem ? a->mem : b->mem;
	a->gpu = a->gpu > b->gpu ? a->gpu : b->gpu;
}

/* amount_covers - whether a is at least b in each respect */
static inline bool amount_covers(const struct amount *a, const struct amount *b)
{
	return a->cpu >= b->cpu && a->mem >= b->mem && a->gpu >= b->gpu;
}

/*
 * step_amount - resources that a task of the step takes of its instance
 *
 * A filler requests CPU but uses only what other tasks leave, so it takes none.
 */
static inline struct amount step_amount(const Fleet__Step *spec)
{
	struct amount a = { spec->filler ? 0 : spec->cpu, spec->mem,
			    spec->gpu };

	return a;
}

__attribute__((format(printf, 4, 5))) void sched_trace(struct sched *s,
						       const char *kind,
						       const char *id,
						       const char *fmt, ...);

/* sched.c */
struct job *sched_job(const struct sched *s, const char *id);
struct task *sched_task(const struct sched *s, const char *name);

/*
 * sched_reported_task - the task of a run that an instance reports
 *
 * Unlike sched_task, finds tasks of an occurrence that this leader has not
 * begun: a former leader may have. NULL if the job has no such task.
 */
struct task *sched_reported_task(struct sched *s, const char *name);
struct pool *sched_pool(struct sched *s, const char *name);
struct workspace *sched_workspace(struct sched *s, const char *name);
struct job *job_new(struct sched *s, const char *id, Fleet__JobRow *row,
		    uint64_t now);
void job_free(struct sched *s, struct job *job);

/* job_cost - bytes of memory that a job takes at most; an estimate */
uint64_t job_cost(const struct sched *s, const Fleet__JobRow *row);
void job_forget_cost(struct sched *s, struct job *job);

/* job_set_aside - nothing of the job starts; it can be cancelled */
void job_set_aside(struct sched *s, struct job *job, const char *why,
		   uint64_t value, uint64_t bound);
void job_add(struct sched *s, struct job *job);
void job_set_list(struct sched *s, struct job *job, enum job_list list);
void job_set_started(struct job *job);
void job_follow_queue(struct sched *s, struct job *job);
void job_end(struct sched *s, struct job *job, Fleet__JobState state,
	     uint64_t now);
bool job_is_over(const struct job *job);
void job_refresh_steps(struct job *job);

/* sched_stats.c */
struct sched_queue_stats *queue_stats(struct sched *s, const char *queue);
void job_count_end(struct sched *s, const struct job *job, uint64_t now);

/* sched_change.c */
void job_set_change(struct sched *s, struct job *job, enum change_state change);
void job_mark_changed(struct sched *s, struct job *job);
bool sched_is_written(const struct sched *s);
void instance_clear_unacked(struct sched *s, struct instance *i);
bool job_has_runs(const struct job *job);
void job_shrink(struct sched *s, struct job *job);

/* sched_ends.c */

/* ends_add - adds a job of which only the state is kept */
struct job *ends_add(struct sched *s, const char *id, const Fleet__EndRow *row,
		     uint64_t now);

/* ends_expire - finds the jobs whose state has been kept for long enough */
void ends_expire(struct sched *s, uint64_t now);
void ends_batch_done(struct sched *s, uint32_t batch, bool written);

/* sched_occurrence.c */

/* occurrence_window - occurrences of the job that may be open at once */
uint32_t occurrence_window(const struct sched *s, const Fleet__JobRow *row);

/* occurrence_find - NULL if the job doesn't hold it */
struct occurrence *occurrence_find(const struct job *job, uint32_t k);

/* occurrence_build - allocates the steps; it need not be due yet */
struct occurrence *occurrence_build(struct job *job, uint32_t k);
struct occurrence *occurrence_begin(struct job *job, uint32_t k, uint64_t now);

/* occurrence_refresh - its steps may have become unblocked */
void occurrence_refresh(struct occurrence *o);

/* occurrence_is_recorded - whether it is done according to the store */
bool occurrence_is_recorded(const struct job *job, uint32_t k);
void job_begin_due(struct sched *s, struct job *job, uint64_t now);
bool job_occurrences_have_runs(const struct job *job);

/* occurrences_loaded_done - a loaded row says that these are done */
void occurrences_loaded_done(struct job *job, uint32_t first, uint32_t end);

/* occurrences_loaded - what was done by the loaded rows is recorded */
void occurrences_loaded(struct job *job);

/* occurrences_written - a write of the job's row has ended */
void occurrences_written(struct job *job, bool written);

/* occurrences_forget - frees those that are recorded and have no runs */
void occurrences_forget(struct job *job);
void occurrences_free(struct job *job);

/* sched.c, steps */
void job_discard_steps(struct sched *s, struct job *job);
void step_done(struct sched *s, struct step *step, uint64_t now);
void task_done(struct sched *s, struct task *task, uint64_t now);
void task_failed(struct sched *s, struct task *task, uint64_t number,
		 uint64_t now);
void task_name(const struct task *task, char *name);
void task_set_possibly_running(struct task *task, bool possibly_running);
void step_clear_possibly_running(struct step *step);
bool task_startable(const struct task *task, uint64_t now);

/* sched_row.c */
Fleet__ProgressRow *row_progress(struct sched *s, const struct job *job);
Fleet__ProgressRow *row_progress_empty(void);
void row_progress_free(Fleet__ProgressRow *row);
void row_apply(struct sched *s, struct job *job, const Fleet__ProgressRow *row);

/* sched_run.c */
struct run *run_new(struct sched *s, struct task *task,
		    struct instance *instance, uint64_t number, uint64_t now);
void run_free(struct sched *s, struct run *run, uint64_t now);
struct run *run_of(const struct sched *s, run_handle h);
void run_queue_order(struct sched *s, struct run *run);
void run_stop(struct sched *s, struct run *run, enum stop_reason reason);

/*
 * run_report_wanted_ms - when the report must be asked for, or later, that
 * tells what became of the run's last order; 0: none is awaited
 */
uint64_t run_report_wanted_ms(const struct sched *s, const struct run *run,
			      uint64_t now);

/* run_is_steady - whether it has lasted long enough to be worth its start */
bool run_is_steady(const struct run *run, uint64_t now);

void run_mark_running(struct sched *s, struct run *run, uint64_t now);
void runs_tick(struct sched *s, uint64_t now);

/* run_watch - let runs_tick look after the run until it is settled */
void run_watch(struct sched *s, struct run *run);

/*
 * run_needs_report - whether a report must lack the run before it is stopped
 *
 * True of an unanswered start that may well have been carried out, as the relay
 * is slow, or whose stop would make a long-running task unavailable.
 */
bool run_needs_report(const struct run *run);

/*
 * run_stop_needs_report - whether a report must show the run before its
 * unanswered stop is repeated
 */
bool run_stop_needs_report(const struct run *run);
uint64_t sched_run_number(const struct sched *s, struct task *task);

/* run_number_is_first - whether it is the first start of its epoch */
bool run_number_is_first(uint64_t number);
bool run_is_available(const struct run *run);

/* sched_hold.c */

/*
 * want_place - a drain of the instance would need one more machine in its pool
 *
 * Not counted if a machine would not help the task.
 */
void want_place(const struct sched *s, struct instance *i,
		const struct task *task, uint64_t now);

/* hold_place - whether an instance other than the run's has room, held now */
bool hold_place(struct sched *s, struct task *task, uint64_t now);

/*
 * hold_ask - poll the held instance once, which shows whether it still answers
 * before the task's stop has ended
 */
void hold_ask(struct sched *s, const struct task *task, uint64_t now);
void hold_release(struct task *task);
void step_release_holds(struct step *step);

/* hold_update_cap - the task's run has begun or ended */
void hold_update_cap(struct task *task);

/* step_release_unneeded - what is held for tasks that won't start again */
void step_release_unneeded(struct step *step);

/* holds_release_on - the instance goes, or takes nothing more */
void holds_release_on(struct instance *i);

/* holds_yield - the step's tasks find no room: releases some of running tasks
 */
void holds_yield(const struct step *step);
struct instance *hold_instance(const struct task *task);

/* hold_is_answered - its instance has answered a poll since it was made */
bool hold_is_answered(const struct task *task);
uint32_t step_holds_on(const struct instance *i, const struct step *step);

/* sched_poll.c */
void instance_leave_idle(struct sched *s, struct instance *i);
void instance_leave_asked(struct sched *s, struct instance *i);

/* instance_ask - poll it at once, also beside a poll that waits for an end */
void instance_ask(struct sched *s, struct instance *i, uint64_t now);
void instance_free_missing(struct sched *s, struct instance *i, uint64_t now);

/* sched_instance.c */
void instance_count_reported(struct sched *s, struct instance *i);
void instances_tick(struct sched *s, uint64_t now);
void instance_tick(struct sched *s, struct instance *i, uint64_t now);
bool was_leader_at(const struct sched *s, uint64_t at_ms);

/* instance_outlived_order - it reports after its machine was ordered down */
void instance_outlived_order(struct instance *i);

/*
 * instance_is_confirmed - whether this leader was confirmed since the instance
 * first reported, or reported again
 */
bool instance_is_confirmed(const struct sched *s, const struct instance *i);
struct instance *instance_of(const struct sched *s, instance_handle_t h);

/* lease_holds_ms - how long a lease that is given now may hold, at most */
uint64_t lease_holds_ms(uint32_t lease_ms);
uint64_t instance_extend_lease(const struct sched *s, struct instance *i,
			       uint64_t now);
void instance_extend_lease_max(const struct sched *s, struct instance *i,
			       uint64_t now);

#define FIRST_EPOCH 1u /* its leader has no predecessor */

/* How late an order may arrive at an incarnation that it isn't meant for */
#define ORDER_LATE_MS 1000u

/*
 * instance_restarted - a new incarnation may have read deadlines of the former
 *
 * Its work may be held as if each call that was sent had reached it.
 */
void instance_restarted(struct instance *i);

/*
 * instance_deadline_sent - note that a call with a deadline is being sent
 *
 * late_ms: how long after now it may still arrive.
 */
void instance_deadline_sent(const struct sched *s, struct instance *i,
			    uint64_t now, uint32_t late_ms);
bool instance_usable(const struct sched *s, const struct instance *i,
		     uint64_t now);
void instance_record_no_answer(struct sched *s, struct instance *i,
			       uint64_t now);

/* instance_was_silent - whether it has lately left an order unanswered */
bool instance_was_silent(const struct instance *i, uint64_t now);
void instance_record_failure(struct sched *s, struct instance *i,
			     const struct job *job, uint64_t now);
void instance_record_success(struct instance *i);

/* sched_advice.c */
bool step_needs_advice(const struct step *step);
const char *step_ticket(const struct step *step, const struct instance *i,
			uint64_t now);

/* step_is_denied - the adviser lets no task of the step run there */
bool step_is_denied(const struct step *step, const struct instance *i);

/* step_ticket_refused - the instance refused it: it has to be renewed */
void step_ticket_refused(struct step *step, const struct instance *i);

/* step_forget_advice - called when the step is done */
void step_forget_advice(struct step *step);

/* sched_ready.c */
#define DEFAULT_ESTIMATE_MS 500u
void step_refresh(struct step *step);

/* step_estimate_ms - the declared run time of a task, not corrected */
uint64_t step_estimate_ms(const Fleet__Step *spec);

/* task_unavailable_since - of a long-running task without a run that works */
uint64_t task_unavailable_since(const struct sched *s, const struct task *task);

/* step_leave_pool - take the step out of its pool's ready list */
void step_leave_pool(struct step *step);

/* pool_order - sort a pool's ready steps by rank */
void pool_order(const struct sched *s, struct pool *pool, uint64_t now);

/*
 * late_is_held - whether late steps wait, so that callers who come again after
 * an outage find room for work in time
 */
bool late_is_held(const struct sched *s, struct pool *pool, uint64_t now);

/*
 * late_hold - holds late work from now on, for the time of such callers; not
 * again until some time after the last hold
 */
void late_hold(struct sched *s, uint64_t now);

/* sched_estimate.c */

/*
 * estimate_ratio - real to declared run time of many tasks together; 1 until
 * enough is known
 */
double estimate_ratio(const struct queue_count *q);

/* estimate_scaled_ms - the declared run time times a ratio, at least 1 */
uint64_t estimate_scaled_ms(const Fleet__Step *spec, double ratio);

/* estimate_ms, estimate_bound_ms - expected and longest likely of one task */
uint64_t estimate_ms(const struct queue_count *q, const Fleet__Step *spec);
uint64_t estimate_bound_ms(const struct queue_count *q,
			   const Fleet__Step *spec);

/* estimate_observe - a task of the queue has run for ran_ms to its end */
void estimate_observe(struct sched *s, struct queue_count *q,
		      uint64_t declared_ms, uint64_t ran_ms);

/* estimate_run_done - observes a run that ended done */
void estimate_run_done(struct sched *s, const struct run *run, uint64_t now);

/* step_bound_end_ms - when a task of the step that starts now ends at latest */
uint64_t step_bound_end_ms(const struct step *step, uint64_t now);

/*
 * run_expected_end_ms - after now; UINT64_MAX for a long-running task and for
 * one that has lasted so long that nothing is known
 */
uint64_t run_expected_end_ms(const struct run *run, uint64_t now);

/* sched_pace.c */
#define PACE_NO_LIMIT 1e9 /* tasks a second */

/* pace_count - count an unfinished job, or count it no more */
void pace_count(struct sched *s, struct job *job, bool counted);
void pace_order_answered(struct sched *s, uint64_t took_ms);

/*
 * pace_allows - whether the leader gets through this job, not yet counted, too
 *
 * Part of its capacity is kept from jobs that are late anyway.
 */
bool pace_allows(const struct sched *s, const struct job *job, bool late);

/* pace_delay_ms - what the leader adds to the time of so many steps */
double pace_delay_ms(const struct sched *s, uint32_t steps);

/* pace_retry_ms - until the leader has accepted as many as were refused */
double pace_retry_ms(const struct sched *s);

/* sched_refused.c */

/* refused_since - when the job was first refused; now if it was not */
uint64_t refused_since(struct sched *s, const char *id, uint64_t now);
void refused_add(struct sched *s, const char *id, bool for_load, uint64_t now);
void refused_remove(struct sched *s, const char *id);

/* sched_reserve.c */

/* reserve_begin, reserve_end - around the steps that go first in a pass */
void reserve_begin(struct pool *pool);
void reserve_end(struct sched *s, struct pool *pool, uint64_t now);

/* reserve_step - a startable task of the step finds no room */
void reserve_step(struct sched *s, struct step *step, uint64_t now);

/*
 * reserve_allows - whether a task that may last until end_ms leaves the
 * reservations of steps before its own as they are
 */
bool reserve_allows(const struct pool *pool, const struct instance *i,
		    const struct amount *a, uint64_t end_ms);

/* reserve_taken - a task of the step was placed */
void reserve_taken(struct sched *s, const struct step *step,
		   const struct instance *i, uint64_t now);

/* reserve_forget - the step has left its pool's ready list */
void reserve_forget(struct pool *pool, const struct step *step);

/* reserve_of - the step's reservation, or NULL */
const struct reservation *reserve_of(const struct step *step);

/* sched_room.c */

/* room_begin - a pass begins: instances may have gained room */
void room_begin(struct pool *pool);

/* room_changed - the pool has gained or lost an instance */
void room_changed(struct pool *pool);

/*
 * room_find - the usable instance to pack a task on; NULL: none has room
 *
 * That with least free CPU or, where memory is scarce too, the one of the first
 * few that is left with least and with as much CPU as memory. end_ms: when the
 * task may end, for reservations. Returns the instance of slot avoid - 1, or
 * after it one that was evacuated until lately, only if no other has room.
 */
struct instance *room_find(struct sched *s, struct pool *pool,
			   const struct amount *a, uint32_t avoid,
			   uint64_t end_ms, uint64_t now);

/* room_has_failed - whether so much, or less, found no room in this pass */
bool room_has_failed(const struct pool *pool, const struct amount *a);

/* room_taken - a run was added to the instance */
void room_taken(struct instance *i);

/* sched_place.c */
bool instance_fits(const struct instance *i, const struct amount *a);
bool instance_could_run(const struct instance *i, const Fleet__Step *spec);

/*
 * choose_held_instance - an instance with room for a task that runs elsewhere
 *
 * NULL if there is none.
 */
struct instance *choose_held_instance(const struct sched *s,
				      const struct task *task, uint64_t now);

/* step_takes_any_room - only the room of an instance matters to its tasks */
bool step_takes_any_room(const struct step *step);

/* cap_allows - whether so many more tasks stay within the workspace's cap */
bool cap_allows(const struct sched *s, const struct step *step, uint32_t tasks);
const char *instance_rack(const struct instance *i);

/* step_room_on - how many more tasks of the step the instance has room for */
uint32_t step_room_on(const struct step *step, const struct instance *i);

/*
 * step_rack_preference - 1 if the instance is where the step's data is or where
 * its tasks, which must share a rack, run; -1 if these run elsewhere; else 0
 */
int step_rack_preference(const struct step *step, const struct instance *i);

/* fits_times - how many times `each` fits into what is not used */
int64_t fits_times(int64_t capacity, int64_t used, int64_t each);
void sched_place(struct sched *s, uint64_t now);

/* sched_load.c */
void pool_amounts(struct pool *pool, uint64_t now, struct amount *capacity,
		  struct amount *used);
uint32_t sched_backlog_ms(struct pool *pool, uint64_t now);

#define RETRY_AFTER_MIN_MS 500u
#define RETRY_AFTER_MAX_MS 5000u

/* sched_share.c */

/* A workspace's position in a pool when it submits a job. */
struct share_view {
	double room_ms; /* a new job of that kind may wait so long */
	/* work in time that waits, without the job; its least value lately */
	double backlog_ms, backlog_low_ms;
	/* backlog_ms without what others hold beyond this workspace's level */
	double level_backlog_ms;
	/* time in which the workspace gets through what waits of its own */
	double own_backlog_ms;
	double others_ms; /* of backlog_ms, of others */
	double work_ms;	  /* the workspace's unfinished work in time */
	bool capped;	  /* the workspace's cap keeps the job from starting */
	bool within_rate; /* its jobs of the last second number below weight */
};

/* Sums over the workspaces with unfinished jobs in a pool. */
struct share_sums {
	double work;
	double weights;
	double backlog_ms; /* of work in time, at the last pass */
};

/* share_join - sets job->demand, by its workspace and pool */
void share_join(struct sched *s, struct job *job);

/* share_count - counts an accepted job as unfinished, or no longer */
void share_count(struct job *job, bool counted);
void share_tasks_done(const struct step *step, uint32_t tasks);

/* share_count_step - counts the step's startable tasks, by step->late */
void share_count_step(struct step *step);

/* share_count_run - counts a run as the use of CPU of its workspace */
void share_count_run(const struct step *step, bool begins);
void share_count_accepted(struct job *job, uint64_t now);

/* share_sample - notes the backlog of the pool; called with each pass */
void share_sample(struct pool *pool, uint64_t now);
struct share_sums share_sums(const struct pool *pool);

/*
 * share_above - how far the unfinished work of the job's workspace, without the
 * job, is above its weighted part of the pool's, relative to that part
 *
 * -1 to SHARE_ABOVE_MAX.
 */
double share_above(const struct share_sums *sums, const struct job *job);

#define SHARE_ABOVE_MAX 2.0 /* largest value of share_above() */

/* share_view - for a job with a demand that is not counted yet */
void share_view(const struct sched *s, const struct job *job,
		struct share_view *v, uint64_t now);

/* share_allows - REFUSAL_NONE, REFUSAL_SHARE or REFUSAL_RATE */
enum sched_refusal share_allows(const struct share_view *v);

/* share_retry_ms - spreads the callers that are told to wait for ms */
uint32_t share_retry_ms(const struct job *job, double ms);

/* sched_admit.c */
uint32_t sched_retry_after(const struct sched *s, const struct job *job,
			   enum sched_refusal *reason, uint64_t now);
void job_estimate(struct job *job);

/* job_is_worthless - whether it would be worth nothing if completed now */
bool job_is_worthless(const struct job *job, uint64_t now);

/* sched_longest.c */

/*
 * longest_begin, longest_log - around a sample of the tasks that wait, once a
 * second
 */
void longest_begin(struct sched *s);
void longest_log(struct sched *s, uint64_t now);

/* longest_count - the task has waited for so long */
void longest_count(struct sched *s, const struct task *task,
		   uint64_t waited_ms);

/* longest_ended - a run of the task works again after so long */
void longest_ended(const struct task *task, uint64_t waited_ms);

/* sched_waits.c */
#define WAIT_LOGGED_MS 1500u /* a task that is placed at once waits less */

/* waits_log - called with each sweep; samples the tasks that wait */
void waits_log(struct sched *s, uint64_t now);

/* task_waited_ms - how long the task has been without a run that works */
uint64_t task_waited_ms(const struct sched *s, const struct task *task,
			uint64_t now);

/* sched_evacuation.c */

/* instance_check_zone - its zone is known or has changed */
void instance_check_zone(const struct sched *s, struct instance *i);

/* start_is_barred - whether a start that was not sent must not be sent */
bool start_is_barred(const struct sched *s, const struct run *run);

/* withdraw_starts - frees the runs of all barred starts: they never began */
void withdraw_starts(struct sched *s, uint64_t now);

/* returns_tick - lets instances after an evacuation be filled further */
void returns_tick(struct sched *s, uint64_t now);

/*
 * step_is_evacuated - whether an instance could run the step, and all that
 * could are evacuated
 */
bool step_is_evacuated(const struct step *step);

/* instance_limit - how far the instance may be filled now */
static inline struct amount instance_limit(const struct instance *i)
{
	struct amount a = i->capacity;

	if (i->returned_ms) {
		a.cpu = a.cpu * i->fill_permille / 1000;
		a.mem = a.mem * i->fill_permille / 1000;
		a.gpu = a.gpu * i->fill_permille / 1000;
	}
	return a;
}

/* sched_throttle.c */
void instance_throttle(struct sched *s, struct instance *i, uint64_t now);

/* sched_avail.c */
bool task_may_stop(const struct task *task, uint64_t now);

/* step_unavailable - tasks of the step that don't serve at full speed */
uint32_t step_unavailable(const struct step *step, uint64_t now);

/*
 * step_waiting - tasks of a long-running step that wait for room: startable,
 * and none is held for them
 */
uint32_t step_waiting(const struct step *step);

/*
 * instance_is_waited_for - a long-running task without a held place waits that
 * could run there if it were empty
 */
bool instance_is_waited_for(const struct sched *s, const struct instance *i);

#endif
