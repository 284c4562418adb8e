/*
 * sched - the leader's decisions about jobs, tasks and instances
 *
 * Holds every accepted job until some time after its end, every instance and
 * the runs on it. Events come in with a time in milliseconds of a monotonic
 * clock; decisions come out as orders to instances and as rows to be written.
 * The module is deterministic: it uses no clock, socket, thread or random
 * number. sched_internal.h lists its files.
 *
 * A run is one start of a task on an instance. From its start order until the
 * proof that it ended or never began it counts as running: for the capacity
 * of the instance, for the cap of its workspace, and against another start of
 * its task.
 */
#ifndef SCHED_H
#define SCHED_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "job/config.h"
#include "process/metric.h"
#include "proto/fleet.pb-c.h"

#define SCHED_ID_BYTES 16	   /* of a job's id */
#define SCHED_TASK_MAX 64	   /* bytes of a task's name, with the NUL */
#define SCHED_CHECKPOINT_MAX 4000  /* bytes of a checkpoint */
#define SCHED_LABEL_MAX 64	   /* bytes of a label, with the NUL */
#define SCHED_LABELS_MAX 8	   /* of an instance */
#define SCHED_NAME_MAX 128	   /* bytes of a name or id, with the NUL */
#define SCHED_ADDRESS_MAX 64	   /* bytes of host and port, with the NUL */
#define SCHED_ZONE_MAX 64	   /* bytes of a zone's name, with the NUL */
#define SCHED_RESERVATIONS_MAX 16u /* of a pool at once */

struct sched;

/* Refers to a run in the scheduler. */
typedef struct {
	uint32_t i;
	uint32_t generation;
} run_handle;

/*
 * Refers to an instance in the scheduler; instance_handle in version/cfg.h is
 * an index of the inventory.
 */
typedef struct {
	uint32_t i;
	uint32_t generation;
} instance_handle_t;

struct sched_options {
	uint32_t lease_ms;     /* lease that a start or a poll grants */
	uint32_t lease_max_ms; /* instances shorten longer leases to this */
	/* after a takeover, the predecessor may send orders for this time */
	uint32_t predecessor_orders_ms;
	/*
	 * From an unanswered start to the stop that resolves its outcome, or to
	 * the poll that must show it first. The start of a long-running task
	 * that its instance left unanswered is looked for at once; while the
	 * disruption budget allows no further stop, after its deadline.
	 */
	uint32_t start_wait_ms;
	uint32_t end_keep_ms;	/* until an ended job's row may be deleted */
	uint64_t job_bytes_max; /* memory of all unfinished jobs; 0: no limit */
	uint32_t
		row_bytes; /* most that a row of the store holds; 0: no limit */
	uint32_t open_max; /* open occurrences of a job; 0: as many as fit */
	/* steps of a pool that hold a reservation at once; 0: none does */
	uint32_t placement_reservations;
};

/* An instance's entry in the directory. */
struct sched_instance_info {
	const char *id;
	const char *address;
	const char *zone;
	const char *pool;
	const char *machine;
	uint64_t started_unix_ms; /* 0 if unknown */
	struct amount capacity;
	bool leaving;	  /* it is draining: nothing is placed there */
	uint32_t cold_ms; /* it remains slow so long after its start */
	uint32_t label_count;
	/* the first is the machine's kind, the last its rack */
	const char *labels[SCHED_LABELS_MAX];
};

enum sched_outcome {
	SCHED_DONE,
	SCHED_FAILED,
	SCHED_STOPPED,
	SCHED_LAPSED,	       /* the lease expired */
	SCHED_GANG_BROKEN,     /* another member of the gang ended */
	SCHED_GANG_INCOMPLETE, /* other members did not start */
};

struct sched_running {
	const char *task;
	uint64_t number;
	const char *checkpoint;
	uint32_t percent; /* progress; a long-running task serves at 100 */
	/* with a latency target: tail latency in ms; else CPU in use */
	double load;
};

struct sched_ended {
	uint64_t seq; /* counted from 1 by each incarnation */
	const char *task;
	uint64_t number;
	enum sched_outcome outcome;
	const char *checkpoint;
};

/* Runs and unacknowledged ends on an instance, as it reports them. */
struct sched_report {
	uint64_t clock_ms; /* the instance's clock */
	uint64_t started_unix_ms;
	uint32_t running_count;
	uint32_t ended_count;
	const struct sched_running *running;
	const struct sched_ended *ended;
	bool more_ended; /* further ends follow once these are acknowledged */
};

enum sched_order_kind { ORDER_START, ORDER_STOP, ORDER_THROTTLE };

/* Strings are valid until the next call that changes the scheduler. */
struct sched_order {
	enum sched_order_kind kind;
	run_handle run;
	instance_handle_t instance;
	const char *instance_id;
	const char *address;
	const char *zone;
	char task[SCHED_TASK_MAX];
	uint64_t number;
	/* of a start, by the instance's clock; 0 if that clock is unknown */
	uint64_t lease_until;
	const char *payload;
	const char *checkpoint;
	const char *ticket; /* of a start: the adviser's; NULL without */
	uint32_t percent;   /* of ORDER_THROTTLE: the filler's speed */
};

enum sched_order_result {
	ORDER_DONE,
	ORDER_REFUSED_FENCE, /* the instance knows a newer leader */
	ORDER_REFUSED_STALE, /* the instance knows a higher run number */
	ORDER_REFUSED_CAPACITY,
	ORDER_REFUSED_LATE, /* received after lease_until */
	ORDER_REFUSED_TICKET,
	ORDER_REFUSED,	 /* not carried out, for another reason */
	ORDER_UNREACHED, /* no connection: not carried out */
	ORDER_UNKNOWN,	 /* no answer: may have been or may be carried out */
	ORDER_LOST,	 /* outcome unknown: the relay reported no result */
};

/* One poll of an instance, which also renews its lease. */
struct sched_poll {
	instance_handle_t instance;
	const char *instance_id;
	const char *address;
	uint64_t lease_until; /* by the instance's clock; 0: not renewed */
	uint64_t acked;	      /* ends up to this seq are durable */
	uint32_t wait_ms;     /* longest wait of the instance for a new end */
	uint32_t timeout_ms;  /* after this, the poll counts as unanswered */
};

enum sched_submit {
	SUBMIT_ACCEPTED, /* tell the caller once it is durable */
	SUBMIT_KNOWN,	 /* submitted before; durable or being written */
	SUBMIT_REFUSED,	 /* cannot be done in time, or not be held */
	SUBMIT_INVALID,	 /* another queue has a job of that id; job_check() */
};

/* A job whose rows have to be written. */
struct sched_change {
	char id[SCHED_ID_BYTES + 1];
	bool is_new;   /* its row does not exist yet */
	bool is_ended; /* write `end` */
	bool drop;     /* delete its other rows: nothing of it runs */
	const Fleet__JobRow *job;
	Fleet__ProgressRow
		*progress; /* owned by sched; NULL without progress */
	Fleet__EndRow end;
};

/* Why a submission was refused. */
enum sched_refusal {
	REFUSAL_NONE,
	REFUSAL_UNFIT,	   /* no instance could ever run a step of it */
	REFUSAL_EVACUATED, /* only instances of evacuated zones could */
	REFUSAL_SET_ASIDE, /* it can't be held */
	REFUSAL_MEMORY,	   /* unfinished jobs take too much memory */
	REFUSAL_BACKLOG,   /* the pool would begin it too late */
	REFUSAL_SHARE,	   /* its workspace is above its share of the pool */
	REFUSAL_RATE,	   /* the same, beyond `weight` jobs a second */
	REFUSAL_LEADER,	   /* the leader's processor is too busy */
	REFUSALS
};

/* sched_refusal_name - as in logs and metrics */
const char *sched_refusal_name(enum sched_refusal reason);

/* Why a long-running task has no run that works. */
enum sched_wait {
	SCHED_WAIT_UNWRITTEN,  /* no leader has written its job yet */
	SCHED_WAIT_UNSEEN,     /* a former leader's run of it may go on */
	SCHED_WAIT_STARTS,     /* nothing may be started now */
	SCHED_WAIT_CAP,	       /* its workspace's cap */
	SCHED_WAIT_PLACE,      /* for an instance */
	SCHED_WAIT_SILENT,     /* the end of its run, on a silent instance */
	SCHED_WAIT_UNANSWERED, /* its start, or the stop of that, isn't answered
				*/
	SCHED_WAIT_STARTING, /* its run has been ordered, or doesn't work yet */
	SCHED_WAIT_ENDING,   /* its run is being stopped */
	SCHED_WAITS
};

/* sched_wait_name - as in logs and metrics */
const char *sched_wait_name(enum sched_wait wait);

struct sched_stats {
	uint64_t accepted, refused, completed, failed, cancelled;
	uint64_t refusals[REFUSALS]; /* of refused, by reason */
	uint64_t starts, starts_refused, starts_unknown, stops;
	uint64_t ends_done, ends_failed, ends_stopped, ends_lapsed;
	uint64_t runs_lost;
	/* of starts: their job was so late by then that it is worth nothing */
	uint64_t starts_worthless;
	/* placed and not sent, because of an evacuation or unknown ones */
	uint64_t starts_withdrawn;
	/* made; ended as their task found room, there or elsewhere; given up
	 * as the room did not become free; replaced by more urgent steps';
	 * moved to an instance that has room earlier */
	uint64_t reservations_made, reservations_used, reservations_given_up;
	uint64_t reservations_displaced, reservations_moved;
	uint32_t reservations; /* held */
	uint32_t jobs, instances, runs;
	uint32_t unfinished;   /* of jobs */
	uint64_t ends_deleted; /* rows of ended jobs */
	uint32_t ends_waiting; /* the same, to be deleted */
	uint32_t startable;    /* tasks that wait for an instance */
	/* tasks a second that unfinished jobs ask for, and their limit by the
	 * leader's processor; 1e9: there is none */
	double rate, rate_limit;
	double delay_ms; /* of answers to orders */
	/* long-running tasks that have waited for over 1.5 s; their longest
	 * wait now, and in this term. As of the last second */
	uint32_t lasting_waits[SCHED_WAITS];
	uint64_t lasting_longest_ms, lasting_longest_term_ms;
};

/* sched_new - creates an empty scheduler, owned by ctx */
struct sched *sched_new(TALLOC_CTX *ctx, const struct sched_options *options);

/* sched_set_clock - sets the time of day; called before jobs are loaded */
void sched_set_clock(struct sched *s, uint64_t unix_ms);

/*
 * sched_become_leader - starts an epoch; called before the first poll
 *
 * Unless predecessor_gone, the predecessor may send orders for another
 * predecessor_orders_ms.
 */
void sched_become_leader(struct sched *s, uint64_t epoch, bool predecessor_gone,
			 uint64_t now);

/* sched_predecessor_gone - former leaders send no orders after end_ms */
void sched_predecessor_gone(struct sched *s, uint64_t end_ms);

/* sched_configure - applies a configuration and keeps a reference to it */
void sched_configure(struct sched *s, const struct config *c, uint64_t now);

/*
 * sched_leader_confirmed - the leader row was unchanged at sent_ms or later
 *
 * An instance that reports for the first time, or again after it was
 * unresponsive or may have restarted, is used only after the next confirmation.
 * If this leader has a successor that has not polled the instance yet, the
 * instance would still accept this leader's fence and start work that the
 * successor starts elsewhere.
 *
 * A lease that this leader can't renew counts as expired only after a
 * confirmation sent after its end: until then a successor may have renewed it.
 */
void sched_leader_confirmed(struct sched *s, uint64_t sent_ms);

/*
 * sched_needs_confirmation - whether an instance, or a lease that has ended,
 * waits for a confirmation
 */
bool sched_needs_confirmation(const struct sched *s, uint64_t now);

/* Rows loaded at takeover */

void sched_load_job(struct sched *s, const char *id, Fleet__JobRow *row,
		    const Fleet__ProgressRow *progress, uint64_t now);
void sched_load_end(struct sched *s, const char *id, const Fleet__EndRow *row,
		    uint64_t now);

/* Callers */

/*
 * sched_submit - submits a job; takes ownership of row
 *
 * Sets *retry_after_ms if it returns SUBMIT_REFUSED. After SUBMIT_ACCEPTED and
 * SUBMIT_KNOWN, sched_durable says when the job is in the store.
 */
enum sched_submit sched_submit(struct sched *s, const char *id,
			       Fleet__JobRow *row, uint64_t unix_ms,
			       uint64_t now, uint32_t *retry_after_ms);

/* sched_recorded - adds a job whose row another node has written */
void sched_recorded(struct sched *s, const char *id, Fleet__JobRow *row,
		    uint64_t now);

/* sched_cancel - false when there is no such job in that queue */
bool sched_cancel(struct sched *s, const char *id, const char *queue,
		  uint64_t now);

/* sched_state - UNKNOWN when there is no such job in that queue */
Fleet__JobState sched_state(const struct sched *s, const char *id,
			    const char *queue);

/*
 * sched_state_valid_ms - how long another node may repeat a state, in ms
 *
 * 0 while the leader's processor isn't the limit.
 */
uint32_t sched_state_valid_ms(const struct sched *s, Fleet__JobState state);

/* sched_durable - whether all changes of the job are written */
bool sched_durable(const struct sched *s, const char *id);

/* sched_pending - number of jobs of a queue that have not started */
uint32_t sched_pending(const struct sched *s, const char *queue);

/* Instances */

void sched_instance_listed(struct sched *s,
			   const struct sched_instance_info *info,
			   uint64_t now);
void sched_instance_unlisted(struct sched *s, const char *id, uint64_t now);

/*
 * sched_expect_instance - adds an instance that the machine list names
 *
 * Its row may be missing from the directory for a while; until the instance
 * reports, tasks that a former leader started may run there.
 * sched_expect_complete says that all such instances have been added.
 */
void sched_expect_instance(struct sched *s, const char *id, const char *pool,
			   const char *machine, uint64_t now);
void sched_expect_complete(struct sched *s, uint64_t now);

/*
 * sched_machine_listed - applies an entry of a list requested at sent_ms
 *
 * id is the instance that is up on the machine, "" when none is. Other
 * instances of that machine that have not reported since sent_ms have no runs
 * any more.
 */
void sched_machine_listed(struct sched *s, const char *machine, const char *id,
			  uint64_t sent_ms, uint64_t now);

/*
 * sched_needs_machine_list - whether an instance that may have runs does not
 * report them, so that the list may show before its lease expires that they are
 * gone
 */
bool sched_needs_machine_list(const struct sched *s);

/*
 * sched_set_evacuated - sets the zones in which nothing may be started
 *
 * Starts to their instances that were not sent are withdrawn. What runs there
 * goes on. Instances of a zone that is no longer among them are filled again
 * gradually.
 */
void sched_set_evacuated(struct sched *s, const char *const *zones,
			 uint32_t count, uint64_t now);

/*
 * sched_hold_starts - whether nothing at all may be started for now
 *
 * Starts that were not sent are withdrawn. Polls, stops and jobs go on.
 */
void sched_hold_starts(struct sched *s, bool hold, uint64_t now);

/*
 * sched_next_poll - the next poll that is due; false when none is
 *
 * A second poll of an instance, which doesn't wait, may follow while the first
 * waits for an end. They may be answered in any order.
 */
bool sched_next_poll(struct sched *s, uint64_t now, struct sched_poll *poll);

/*
 * sched_poll_done - applies the report that answered a poll, NULL if unanswered
 *
 * Each poll ends with one call of sched_poll_done or sched_poll_lost.
 */
void sched_poll_done(struct sched *s, instance_handle_t i,
		     const struct sched_report *report, uint64_t sent_ms,
		     uint64_t now);

/*
 * sched_poll_lost - ends a poll of which the relay reported no result
 *
 * It does not make the instance unresponsive.
 */
void sched_poll_lost(struct sched *s, instance_handle_t i, uint64_t now);

/*
 * sched_set_busy - how long the leader has worked so far, in microseconds
 *
 * Called before sched_tick. Without it the leader's own time is no limit.
 */
void sched_set_busy(struct sched *s, uint64_t busy_us, uint64_t now);

/* sched_tick - handles timers and places tasks */
void sched_tick(struct sched *s, uint64_t unix_ms, uint64_t now);

/*
 * sched_next_order - the next order to send; false when there is none
 *
 * sched_order_done is called exactly once for each order.
 */
bool sched_next_order(struct sched *s, uint64_t now, struct sched_order *order);
void sched_order_done(struct sched *s, const struct sched_order *order,
		      enum sched_order_result result, uint64_t clock_ms,
		      uint64_t sent_ms, uint64_t now);

/* Advice: for queues whose placement policy an external adviser decides */

#define SCHED_ADVICE_MAX 100u /* instances named in one call */

struct sched_advice {
	char step[SCHED_TASK_MAX];
	uint32_t count;
	const char *instances[SCHED_ADVICE_MAX];
};

struct sched_approval {
	const char *instance;
	const char *ticket; /* sent with a start there */
};

/* sched_next_advice - the next call to the adviser; false when none is due */
bool sched_next_advice(struct sched *s, uint64_t now,
		       struct sched_advice *advice);

/*
 * sched_advice_done - applies the adviser's answer
 *
 * approvals is NULL if the call got none. Called exactly once for each call
 * that sched_next_advice returned.
 */
void sched_advice_done(struct sched *s, const char *step,
		       const struct sched_approval *approvals, uint32_t count,
		       uint32_t valid_ms, uint64_t sent_ms, uint64_t now);

/* Rows */

/*
 * sched_next_change - adds the next changed job to a batch; false if none
 *
 * A job is in one batch at a time, so batches may be written concurrently.
 * sched_batch_done ends a batch: if written, all its jobs are durable,
 * otherwise they are put into a later batch.
 */
bool sched_next_change(struct sched *s, uint32_t batch,
		       struct sched_change *change);
void sched_batch_done(struct sched *s, uint32_t batch, bool written,
		      uint64_t now);

/*
 * Rows of ended jobs: an ended job expires after end_keep_ms, or that long
 * after it was loaded. Its row is deleted in a batch; it is forgotten once that
 * is written, else put into a later batch.
 */

/* sched_expired - expired jobs that are in no batch */
uint32_t sched_expired(const struct sched *s);

/* sched_next_expired - add one to a batch; its id, valid until it is done */
const char *sched_next_expired(struct sched *s, uint32_t batch);

/*
 * sched_load_expired - load a row that has been kept for long enough
 *
 * Does nothing if the job is known.
 */
void sched_load_expired(struct sched *s, const char *id,
			const Fleet__EndRow *row, uint64_t now);

/*
 * sched_change_refused - the store refused a job's rows, written alone
 *
 * commits counts the store's transactions so far. Returns whether it had
 * refused them before too, and has taken another transaction since.
 */
bool sched_change_refused(struct sched *s, const char *id, uint64_t commits);

/*
 * sched_change_invalid - the store would refuse a job's rows again
 *
 * The job is set aside, so that the others can be written. Returns false if it
 * was new: then it is forgotten, and nothing of it was recorded.
 */
bool sched_change_invalid(struct sched *s, const char *id, const char *why,
			  uint64_t value, uint64_t bound);

/*
 * sched_set_ranges - whether progress rows may hold ranges of occurrences
 *
 * Not while a node of an earlier release may become the leader and read them.
 */
void sched_set_ranges(struct sched *s, bool ranges);

/* sched_change_pending - whether a changed job is in no batch yet */
bool sched_change_pending(const struct sched *s);

/* sched_row_exists - the store already has a row of that new job */
void sched_row_exists(struct sched *s, const char *id);

void sched_stats(const struct sched *s, struct sched_stats *stats);

/* What a leader doesn't know before all instances have reported to it. */
struct sched_unreported {
	uint32_t instances;	    /* that have not reported */
	uint32_t lasting_startable; /* long-running tasks to be started */
	uint32_t lasting_unseen;    /* that may run where nothing reported */
};

/* sched_unreported - takes time in proportion to the long-running tasks */
void sched_unreported(const struct sched *s, struct sched_unreported *u);

/* Outcomes of one queue's jobs; kept after the queue is removed. */
struct sched_queue_stats {
	const char *queue;
	uint64_t accepted, refused, in_time, late, failed, cancelled;
	/* ms from acceptance to the first start and to completion */
	struct metric_histogram first_start;
	struct metric_histogram completed;
	uint64_t estimate_runs; /* observed */
	double estimate_ratio;	/* of real to declared run times */
};

#define SCHED_QUEUE_STATS_MAX 256u /* further queues share the last entry */

/* sched_queue_stats - index from 0; NULL beyond the last */
const struct sched_queue_stats *sched_queue_stats(const struct sched *s,
						  uint32_t index);

/* Load, for the decisions about machines (fleet/) */

struct sched_pool_load {
	const char *pool;
	/* listed; not leaving, expired, reserved or evacuated */
	uint32_t instances;
	uint32_t pinned; /* of these, with long-running tasks */
	uint32_t idle; /* of these, usable and without a run or a held place */
	struct amount capacity;
	struct amount used;
	struct amount lasting; /* of used, by long-running tasks */
	struct amount waiting; /* requested by startable tasks */
	/*
	 * Of waiting, by tasks that end by themselves and whose cap allows one
	 * more; and their work, in millicores, MiB and accelerators x ms
	 */
	struct amount allowed;
	struct amount allowed_work;
	/*
	 * Some of these fit on no instance, however many of the tasks that end
	 * by themselves have ended there. False with an idle instance: another
	 * machine like it would not help.
	 */
	bool stranded;
	/* instances needed by the long-running step that needs most */
	uint32_t spread;
	/*
	 * Machines like those of the pool that would take its startable
	 * long-running tasks; at least 1 if jobs were refused because all
	 * instances are evacuated
	 */
	uint32_t long_running_machines;
	/* more of them, for tasks that run where a drain wants to stop them */
	uint32_t place_machines;
	bool places_barred; /* such tasks have no place, but none would help */
	uint64_t waiting_work; /* of startable tasks, in millicores x ms */
	uint64_t arrived_work; /* of jobs accepted by this leader, same unit */
};

/* sched_pool_load - false when no instance or job uses that pool */
bool sched_pool_load(const struct sched *s, const char *pool,
		     struct sched_pool_load *load);

struct sched_instance_load {
	instance_handle_t instance;
	const char *id;
	const char *machine;
	const char *pool;
	const char *rack;
	bool usable;
	bool unreported; /* has not reported to this leader: runs unknown */
	/* reported ends, whose jobs' rows are not written yet */
	bool ends_unwritten;
	uint32_t runs;
	uint32_t long_running; /* of runs, long-running tasks except fillers */
	uint32_t fillers;      /* of runs */
	uint32_t held; /* places that are held for tasks that are to come */
	struct amount used;
};

/* sched_instance_next - iterates; *slot starts at 0; false at the end */
bool sched_instance_next(const struct sched *s, uint32_t *slot,
			 struct sched_instance_load *load);

/*
 * sched_machine_load - load of the machine's newest instance among those that
 * are usable, have runs or unwritten ends, or have not reported and may have
 * runs; false when there is none
 */
bool sched_machine_load(const struct sched *s, const char *machine,
			struct sched_instance_load *load);

/* sched_reserve - excludes an instance from placement, or includes it again */
void sched_reserve(struct sched *s, instance_handle_t i, bool reserved,
		   uint64_t now);

/*
 * sched_release_machine - all instances of the machine, in whatever state, are
 * included in placement again, and what is held for their tasks is released
 */
void sched_release_machine(struct sched *s, const char *machine, uint64_t now);

/*
 * sched_mark_maintenance - the instance will be drained for maintenance
 *
 * Long-running tasks are placed there only if no other instance fits.
 */
void sched_mark_maintenance(struct sched *s, instance_handle_t i);

enum sched_places {
	PLACES_HELD,	/* for all long-running tasks of the instance */
	PLACES_NONE,	/* no other instance has room for one of them */
	PLACES_NOT_NOW, /* one was stopped lately, isn't known to run, ... */
};

/*
 * sched_hold_places - holds room elsewhere for the instance's long-running
 * tasks
 *
 * All or none. The room is theirs until they have started there, or
 * sched_release_places() is called. If there is none and want is set, the pool
 * wants one more machine.
 */
enum sched_places sched_hold_places(struct sched *s, instance_handle_t i,
				    bool want, uint64_t now);

/* sched_release_places - same tasks stay: what is held for them is released */
void sched_release_places(struct sched *s, instance_handle_t i);

/* sched_places_are_held - whether each has a place or is being stopped */
bool sched_places_are_held(const struct sched *s, instance_handle_t i);

/*
 * sched_may_empty - whether all its tasks may be stopped without another place
 *
 * Only long-running tasks run there, their disruption budgets allow it, and no
 * other one of the pool waits for room. Otherwise they would be away for
 * longer.
 */
bool sched_may_empty(const struct sched *s, instance_handle_t i, uint64_t now);

/*
 * sched_relocate - stops long-running tasks as far as disruption budgets allow
 *
 * Called repeatedly until sched_machine_load shows no runs. Other tasks are
 * left to end if graceful, and are stopped too otherwise. Room is held for a
 * long-running task before it is stopped. One that no other instance has room
 * for is stopped only if may_empty, and once
 * nothing else runs there: its machine must go and come back soon. Returns
 * whether such a task was stopped.
 */
bool sched_relocate(struct sched *s, instance_handle_t i, bool graceful,
		    bool may_empty, uint64_t now);

/*
 * sched_has_place_for_waiting - whether a waiting long-running task would be
 * placed on the instance if it were not reserved
 */
bool sched_has_place_for_waiting(const struct sched *s, instance_handle_t i);

/*
 * sched_may_interrupt - whether all runs there may end at once
 *
 * False while a step with a disruption budget runs there.
 */
bool sched_may_interrupt(const struct sched *s, instance_handle_t i);

/*
 * sched_machine_down - frees all runs: an order to its machine ended them
 *
 * Ignores an instance that is not known any more, and a handle of zeros.
 */
void sched_machine_down(struct sched *s, instance_handle_t i, uint64_t now);

/* sched_explain - describes one job as JSON for operators; owned by ctx */
char *sched_explain(const struct sched *s, TALLOC_CTX *ctx, const char *id);

/*
 * sched_set_trace - calls fn for each decision about a job or an instance
 *
 * kind names the decision, id the job or instance; text holds JSON members.
 */
void sched_set_trace(struct sched *s,
		     void (*fn)(void *arg, const char *kind, const char *id,
				const char *text),
		     void *arg);

#endif
