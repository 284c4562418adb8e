/*
 * sched - the lead node's decisions about jobs, tasks and instances
 *
 * Holds every job that is owed, every instance and what runs on it. Events
 * come in with a time in milliseconds of a steady clock; what to do comes
 * out as orders to instances and as rows to be written. No clock, socket,
 * thread or random number inside.
 *
 * A run is one start of a task on an instance. Between its start order and
 * the proof that it ended or never began it counts as running: for room,
 * for its workspace's cap, and against another start of its task.
 */
#ifndef SCHED_H
#define SCHED_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "job/config.h"
#include "process/metric.h"
#include "proto/fleet.pb-c.h"

#define SCHED_ID_BYTES 16	 /* of a job's id */
#define SCHED_TASK_MAX 64	 /* bytes of a task's name, with the NUL */
#define SCHED_CHECKPOINT_MAX 128 /* bytes of a checkpoint, with the NUL */
#define SCHED_LABEL_MAX 64	 /* bytes of a label, with the NUL */
#define SCHED_LABELS_MAX 8

struct sched;

typedef struct {
	uint32_t i;
	uint32_t generation;
} run_handle;

/* Not the instance_handle of version/cfg.h, which numbers the inventory. */
typedef struct {
	uint32_t i;
	uint32_t generation;
} instance_handle_t;

struct sched_options {
	uint32_t lease_ms;     /* what an order extends an instance's work by */
	uint32_t lease_max_ms; /* instances shorten what is longer to this */
	uint32_t former_leader_ms; /* how long a predecessor may still give
				      orders */
	uint32_t start_wait_ms;	   /* before an unanswered start is settled */
	uint32_t end_keep_ms;	   /* an ended job's state is told that long */
};

/* What the directory tells about an instance. */
struct sched_instance_info {
	const char *id;
	const char *address;
	const char *zone;
	const char *pool;
	const char *machine;
	uint64_t started_unix_ms; /* unix ms of its start, 0 if not told */
	struct amount capacity;
	bool leaving;
	uint32_t label_count;
	const char *labels[SCHED_LABELS_MAX]; /* its kind, then its rack */
};

enum sched_outcome {
	SCHED_DONE,
	SCHED_FAILED,
	SCHED_STOPPED,
	SCHED_LAPSED,
	SCHED_GANG_BROKEN,     /* another member of the gang ended */
	SCHED_GANG_INCOMPLETE, /* the gang's others did not come */
};

struct sched_running {
	const char *task;
	uint64_t number;
	const char *checkpoint;
	uint32_t percent; /* work done, or being at work for a lasting task */
	double load;	  /* tail in ms if it serves, else cpu in use */
};

struct sched_ended {
	uint64_t seq;
	const char *task;
	uint64_t number;
	enum sched_outcome outcome;
	const char *checkpoint;
};

/* An instance's own account of what it runs and what has ended. */
struct sched_report {
	uint64_t clock_ms; /* of the instance */
	uint64_t started_unix_ms;
	uint32_t running_count;
	uint32_t ended_count;
	const struct sched_running *running;
	const struct sched_ended *ended;
};

enum sched_order_kind { ORDER_START, ORDER_STOP, ORDER_THROTTLE };

/* Strings are valid until the next call that changes the scheduler. */
struct sched_order {
	enum sched_order_kind kind;
	run_handle run;
	instance_handle_t instance;
	const char *instance_id;
	const char *address;
	char task[SCHED_TASK_MAX];
	uint64_t number;
	uint64_t lease_until; /* instance's clock, 0 if its clock is unknown */
	const char *payload;
	const char *checkpoint;
	const char *ticket;
	uint32_t percent;
};

enum sched_order_result {
	ORDER_DONE,
	ORDER_REFUSED_FENCE, /* a newer lead is known there */
	ORDER_REFUSED_STALE, /* a higher run number is known there */
	ORDER_REFUSED_CAPACITY,
	ORDER_REFUSED_LATE,
	ORDER_REFUSED_TICKET,
	ORDER_REFUSED,	 /* certainly not carried out */
	ORDER_UNREACHED, /* no connection: certainly not carried out */
	ORDER_UNKNOWN,	 /* may have been or may still be carried out */
	ORDER_LOST,	 /* likewise, for no fault of the instance */
};

/* One look at an instance, which also extends its work. */
struct sched_poll {
	instance_handle_t instance;
	const char *instance_id;
	const char *address;
	uint64_t lease_until; /* instance's clock, 0 if its clock is unknown */
	uint64_t acked;	      /* ends up to here are durable */
	uint32_t wait_ms;     /* the instance waits that long for an end */
	uint32_t timeout_ms;  /* then its answer is taken for lost */
};

enum sched_submit {
	SUBMIT_ACCEPTED, /* tell the caller once it is durable */
	SUBMIT_KNOWN,	 /* the same job came before; it is durable or waits */
	SUBMIT_REFUSED,	 /* cannot be done in its time */
	SUBMIT_INVALID,
};

/* A job whose rows have to be written. */
struct sched_change {
	char id[SCHED_ID_BYTES + 1];
	bool is_new;   /* its row does not exist yet */
	bool is_ended; /* write `end`... */
	bool drop;     /* ...and drop its other rows: nothing of it runs */
	const Fleet__JobRow *job;
	Fleet__ProgressRow *progress; /* NULL without progress; sched's own */
	Fleet__EndRow end;
};

struct sched_stats {
	uint64_t accepted, refused, completed, failed, cancelled;
	uint64_t starts, starts_refused, starts_unknown, stops;
	uint64_t ends_done, ends_failed, ends_stopped, ends_lapsed;
	uint64_t runs_lost;
	uint32_t jobs, instances, runs;
};

/* sched_new - without jobs and instances, owned by ctx */
struct sched *sched_new(TALLOC_CTX *ctx, const struct sched_options *options);

/* sched_set_clock - the time of day, before rows with times in them are read */
void sched_set_clock(struct sched *s, uint64_t unix_ms);

/* sched_become_leader - begin to decide as the given epoch; all instances
 * unseen */
void sched_become_leader(struct sched *s, uint64_t epoch, bool predecessor_gone,
			 uint64_t now);

/* sched_predecessor_gone - the lead before this one gives no more orders */
void sched_predecessor_gone(struct sched *s, uint64_t now);

/* sched_configure - decide by this version; kept by reference */
void sched_configure(struct sched *s, const struct config *c, uint64_t now);

/*
 * sched_leader_confirmed - the lead row was unchanged at sent_ms or later
 *
 * An instance that is new to this lead, or was silent, is used after the next
 * confirmation: it may know no newer fence, and a former lead must not start
 * work there that a successor, which did not see it, starts elsewhere.
 */
void sched_leader_confirmed(struct sched *s, uint64_t sent_ms);

/* sched_needs_confirmation - whether an instance waits for one */
bool sched_needs_confirmation(const struct sched *s);

/* Rows read at takeover */

void sched_load_job(struct sched *s, const char *id, Fleet__JobRow *row,
		    const Fleet__ProgressRow *progress, uint64_t now);
void sched_load_end(struct sched *s, const char *id, const Fleet__EndRow *row,
		    uint64_t now);

/* Callers */

/*
 * sched_submit - a job has come; takes over row
 *
 * On SUBMIT_REFUSED retry_after_ms says when to come again. After
 * SUBMIT_ACCEPTED and SUBMIT_KNOWN, sched_durable tells when the job lasts.
 */
enum sched_submit sched_submit(struct sched *s, const char *id,
			       Fleet__JobRow *row, uint64_t unix_ms,
			       uint64_t now, uint32_t *retry_after_ms);

/* sched_recorded - a job that another node has already written */
void sched_recorded(struct sched *s, const char *id, Fleet__JobRow *row,
		    uint64_t now);

/* sched_cancel - false when there is no such job in that queue */
bool sched_cancel(struct sched *s, const char *id, const char *queue,
		  uint64_t now);

/* sched_state - UNKNOWN when there is no such job in that queue */
Fleet__JobState sched_state(const struct sched *s, const char *id,
			    const char *queue);

/* sched_durable - whether nothing about the job waits to be written */
bool sched_durable(const struct sched *s, const char *id);

/* sched_pending - jobs of a queue of which no task has begun */
uint32_t sched_pending(const struct sched *s, const char *queue);

/* Instances */

void sched_instance_listed(struct sched *s,
			   const struct sched_instance_info *info,
			   uint64_t now);
void sched_instance_unlisted(struct sched *s, const char *id, uint64_t now);

/*
 * sched_expect_instance - an instance that the list of machines names
 *
 * The directory may have lost its row for a while; until it is seen, what a
 * predecessor started may run there. After sched_expect_complete all are named.
 */
void sched_expect_instance(struct sched *s, const char *id, const char *pool,
			   const char *machine, uint64_t now);
void sched_expect_complete(struct sched *s, uint64_t now);

/*
 * sched_machine_listed - what a list asked for at sent_ms says of a machine
 *
 * id is the instance that is up on it, "" when none is. Other instances of
 * that machine which have not reported since run nothing any more.
 */
void sched_machine_listed(struct sched *s, const char *machine, const char *id,
			  uint64_t sent_ms, uint64_t now);

/* sched_needs_machine_list - whether the list could tell what an instance does
 * not */
bool sched_needs_machine_list(const struct sched *s);

/* sched_next_poll - the next look that is due; false when none is */
bool sched_next_poll(struct sched *s, uint64_t now, struct sched_poll *poll);

/* sched_poll_done - its report, or NULL when none came; once for each look */
void sched_poll_done(struct sched *s, instance_handle_t i,
		     const struct sched_report *report, uint64_t sent_ms,
		     uint64_t now);

/* sched_poll_lost - nobody will say what it found; that proves nothing */
void sched_poll_lost(struct sched *s, instance_handle_t i, uint64_t now);

/* sched_tick - time has passed */
void sched_tick(struct sched *s, uint64_t unix_ms, uint64_t now);

/*
 * sched_next_order - the next order to be sent now; false when none is
 *
 * Each order is answered by sched_order_done exactly once.
 */
bool sched_next_order(struct sched *s, uint64_t now, struct sched_order *order);
void sched_order_done(struct sched *s, const struct sched_order *order,
		      enum sched_order_result result, uint64_t clock_ms,
		      uint64_t sent_ms, uint64_t now);

/* Advice: queues of which only an adviser knows where a step may run */

#define SCHED_ADVICE_MAX 30u /* instances named in one call */
#define SCHED_TICKET_MAX 128 /* bytes, with the NUL */

struct sched_advice {
	char step[SCHED_TASK_MAX];
	uint32_t count;
	const char *instances[SCHED_ADVICE_MAX];
};

struct sched_approval {
	const char *instance;
	const char *ticket; /* a start there carries it */
};

/* sched_next_advice - the next call to the adviser; false when none is due */
bool sched_next_advice(struct sched *s, uint64_t now,
		       struct sched_advice *advice);

/* sched_advice_done - its answer, rows NULL when none came; once for each call
 */
void sched_advice_done(struct sched *s, const char *step,
		       const struct sched_approval *rows, uint32_t count,
		       uint32_t valid_ms, uint64_t sent_ms, uint64_t now);

/* Rows */

/*
 * sched_next_change - the next job of the batch that is being gathered
 *
 * A job is in one batch at a time, so batches may be written side by side.
 * sched_batch_done ends a batch: with true all its jobs are durable, with
 * false they are gathered again.
 */
bool sched_next_change(struct sched *s, uint32_t batch,
		       struct sched_change *change);
void sched_batch_done(struct sched *s, uint32_t batch, bool written,
		      uint64_t now);

/* sched_change_pending - whether anything waits to be written */
bool sched_change_pending(const struct sched *s);

/* sched_row_exists - the store has a row of that new job already */
void sched_row_exists(struct sched *s, const char *id);

void sched_stats(const struct sched *s, struct sched_stats *stats);

/* What callers of one queue got; kept also when the queue is gone. */
struct sched_queue_stats {
	const char *queue;
	uint64_t accepted, refused, in_time, late, failed, cancelled;
	struct metric_histogram first_start; /* from acceptance */
	struct metric_histogram completed;   /* the same, to the last end */
};

#define SCHED_QUEUE_STATS_MAX 256u /* queues beyond share the last entry */

/* sched_queue_stats - index from 0; NULL beyond the last */
const struct sched_queue_stats *sched_queue_stats(const struct sched *s,
						  uint32_t index);

/* What the decisions about machines need (fleet/) */

struct sched_pool_load {
	const char *pool;
	uint32_t instances; /* usable now */
	uint32_t pinned;    /* of these, with tasks that last */
	struct amount capacity;
	struct amount used;
	struct amount waiting; /* asked by tasks that could start now */
	uint32_t spread;       /* instances that a step that lasts needs */
	uint32_t long_running_waiting; /* most tasks that last and wait, of a
					  step */
	uint64_t waiting_work;	       /* thousandths of core x ms */
	uint64_t running_work;	       /* left of what runs, same unit */
};

/* sched_pool_load - false when no instance and no job has that pool */
bool sched_pool_load(const struct sched *s, const char *pool, uint64_t now,
		     struct sched_pool_load *load);

struct sched_instance_load {
	instance_handle_t instance;
	const char *id;
	const char *machine;
	const char *pool;
	const char *rack;
	bool usable;
	bool unreported; /* something may run that this lead has not seen */
	uint32_t runs;
	uint32_t long_running; /* of these, tasks that last and do not fill */
	uint32_t fillers;      /* and those that do */
	struct amount used;
};

/* sched_instance_next - *slot is 0 at first; false beyond the last */
bool sched_instance_next(const struct sched *s, uint32_t *slot,
			 struct sched_instance_load *load);

/*
 * sched_machine_load - the newest life of a machine that is usable, or runs
 * something, or may do so unseen; false when there is none
 */
bool sched_machine_load(const struct sched *s, const char *machine,
			struct sched_instance_load *load);

/* sched_reserve - start nothing new there (true), or use it again */
void sched_reserve(struct sched *s, instance_handle_t i, bool reserved,
		   uint64_t now);

/* sched_mark_maintenance - the instance will be emptied: nothing that lasts
 * goes there while there is another place */
void sched_mark_maintenance(struct sched *s, instance_handle_t i);

/*
 * sched_evacuate - stop what lasts there as far as budgets allow
 *
 * Called again until sched_machine_load shows no run. Tasks that end are left
 * to end while patient, else stopped too.
 */
void sched_evacuate(struct sched *s, instance_handle_t i, bool graceful,
		    uint64_t now);

/*
 * sched_may_interrupt - whether all that runs there may end at once
 *
 * False while it would take a step below its budget.
 */
bool sched_may_interrupt(const struct sched *s, instance_handle_t i);

/* sched_machine_down - its machine was ordered away: nothing runs there */
void sched_machine_down(struct sched *s, instance_handle_t i, uint64_t now);

/* sched_explain - JSON text of one job, for operators; owned by ctx */
char *sched_explain(const struct sched *s, TALLOC_CTX *ctx, const char *id);

/*
 * sched_set_trace - call fn for each decision about a job or an instance
 *
 * kind names the decision, id the job or instance; text holds "key":value
 * pairs of JSON.
 */
void sched_set_trace(struct sched *s,
		     void (*fn)(void *arg, const char *kind, const char *id,
				const char *text),
		     void *arg);

#endif
