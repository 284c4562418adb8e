/*
 * sched_internal - the tables behind sched.h
 *
 * sched.c        jobs, steps and their ends
 * sched_change.c rows that have to be written
 * sched_submit.c    jobs that come
 * sched_run.c    runs: orders and what comes of them
 * sched_instance.c instances, their leases, evidence against them
 * sched_poll.c   looks and reports
 * sched_advice.c queues of which an adviser says where
 * sched_place.c  whom to serve first, and where
 * sched_row.c    rows from and to the store
 */
#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "pool/sched.h"

struct task;
struct step;
struct job;
struct instance;

enum run_state {
	RUN_ORDERED,  /* to be sent, or sent and not answered */
	RUN_UNKNOWN,  /* its start was not answered: it may begin any time */
	RUN_RUNNING,  /* known to run */
	RUN_STOPPING, /* its stop was ordered */
};

struct run {
	run_handle handle;
	struct task *task;
	struct instance *instance;
	uint64_t number;
	enum run_state state;
	uint64_t created_ms;	   /* when it was ordered, or first seen */
	uint64_t ordered_ms;	   /* when its last order was sent */
	uint64_t running_since_ms; /* when it was known to have begun; 0: not
				      yet */
	uint64_t stop_done_ms;	   /* when its stop was answered; 0: not yet */
	bool to_send;		   /* its order waits in the queue */
	bool in_flight;		   /* its order waits for an answer */
	uint32_t percent;	   /* as reported */
	uint32_t speed_percent;	   /* as ordered, 0 to 100 */
	uint32_t speed_wanted;
	double load;
	struct run *prev, *next;	     /* of the instance */
	struct run *task_prev, *task_next;   /* of the task */
	struct run *order_prev, *order_next; /* of the orders to send */
};

struct task {
	struct step *step;
	uint32_t index;
	bool done;
	bool possibly_running; /* left by a predecessor, not yet seen anywhere
				*/
	uint32_t failed;
	uint32_t starts;	 /* starts in this epoch */
	uint32_t avoid_instance; /* instance index + 1 where it failed last */
	uint64_t unavailable_since_ms; /* lasting: since when it is not at work,
					  0: it is */
	uint64_t retry_ms;	       /* not started before */
	struct run *runs;
	char checkpoint[SCHED_CHECKPOINT_MAX];
};

/* An adviser's word that a step may run on one life of an instance. */
struct ticket {
	uint32_t instance; /* index */
	uint64_t started_unix_ms;
	uint64_t valid_until_ms;
	char text[SCHED_TICKET_MAX];
};

/* A step of one occurrence. */
struct step {
	struct job *job;
	const Fleet__Step *spec;
	uint32_t occurrence;
	uint32_t index;
	uint32_t tasks_left; /* tasks not done */
	uint32_t startable;  /* tasks that could be started */
	bool ready;	     /* all steps before it are done */
	bool queued;	     /* in its pool's list */
	uint32_t failed_count;
	uint32_t *failed; /* pairs of index and run number, as stored */
	struct task *tasks;
	bool advice_pending;	/* an adviser's answer is awaited */
	uint64_t advice_due_ms; /* not asked again before */
	uint32_t ticket_count;
	struct ticket *tickets;
	double rank;		  /* of the current pass, lower first */
	struct step *prev, *next; /* of the pool's ready steps */
};

struct occurrence {
	uint32_t steps_left; /* steps not done */
	bool due;
	uint64_t due_ms;
	struct step *steps;
};

enum change_state { CHANGE_NONE, CHANGE_WAITING, CHANGE_BATCHED };

struct job {
	char id[SCHED_ID_BYTES + 1];
	Fleet__JobRow *row;
	const struct config_queue *conf; /* NULL: removed, or it has ended */
	struct pool *pool;
	struct workspace *workspace;
	Fleet__JobState state; /* decided; shown once durable */
	Fleet__JobState shown;
	bool stored;	/* its row is in the store */
	bool rows_kept; /* it has ended, its rows are needed for its runs */
	bool claimed;	/* this or an earlier lead has written of it */
	bool started;
	bool pool_changed; /* loaded, and its queue has another pool since */
	bool loaded;	   /* from a predecessor's rows */
	uint64_t accepted_ms;
	uint64_t ended_ms;
	uint64_t objective_ms;	   /* when it should be done */
	uint64_t critical_path_ms; /* longest chain, as estimated */
	uint64_t work;		   /* thousandths of core x ms, as estimated */
	uint32_t occurrence_count;
	uint32_t occurrences_left;
	struct occurrence *occurrences;
	char queue[128]; /* name, also after its row is gone */
	enum change_state change;
	uint32_t batch;		    /* that it was gathered for */
	bool changed_while_batched; /* while gathered */
	uint64_t change_seq;	    /* of the change that is unwritten */
	uint64_t next_change_seq;   /* of the change made while gathered */
	struct job *prev, *next;    /* of changed jobs */
	UT_hash_handle hh;
};

struct workspace {
	char name[128];
	struct amount used;
	struct amount unreported;	     /* of tasks that may run unseen */
	const struct config_workspace *conf; /* NULL when it is gone */
	UT_hash_handle hh;
};

struct pool {
	char name[128];
	const struct config_pool *conf;
	struct step *ready;
	struct instance *instances;
	uint32_t unreported; /* instances that have not reported to this lead */
	UT_hash_handle hh;
};

/* Ends of a report that wait for a write before they are acknowledged. */
struct unacked {
	uint64_t end_seq;
	uint64_t change_seq; /* durable once all changes up to here are */
};

/* The instances that are lives of one machine, oldest first. */
struct machine_instances {
	char machine[128];
	struct instance *instances;
	UT_hash_handle hh;
};

struct instance {
	instance_handle_t handle;
	char id[128];
	char address[64];
	char zone[64];
	struct machine_instances *machine;
	char labels[SCHED_LABELS_MAX][SCHED_LABEL_MAX];
	uint32_t label_count;
	struct pool *pool;
	struct amount capacity;
	struct amount used;
	uint64_t started_unix_ms;
	bool listed;	      /* in the directory */
	bool leaving;	      /* by the directory */
	bool reported;	      /* has reported to this lead */
	bool expired;	      /* nothing can run there any more */
	bool unresponsive;    /* its last look or order was not answered */
	bool maintenance_due; /* for an upkeep: it will be emptied */
	bool reserved;	      /* by the decisions about machines */
	bool polling;
	bool counted_unreported;	   /* in its pool's unseen */
	struct amount unreported_capacity; /* in the scheduler's unseen */
	uint64_t known_ms;		   /* when this lead first knew of it */
	uint64_t unlisted_ms; /* when it left the directory; 0: it is there */
	uint64_t listed_ms;   /* when it last came into the directory */
	uint64_t report_sent_ms;  /* when the look that gave its report was sent
				   */
	uint64_t first_report_ms; /* first report of its life to this lead */
	uint64_t next_poll_ms;	  /* when the next look is due */
	uint64_t clock_ms;	  /* its clock... */
	uint64_t clock_read_ms;	  /* ...at this time of ours; 0: unknown */
	uint64_t lease_end_ms; /* of ours: when all there has lapsed; 0: unknown
				*/
	uint64_t last_end_seq; /* highest end seen */
	uint64_t acked;	       /* highest end that is durable */
	struct unacked *unacked;
	uint32_t unacked_count;
	uint32_t unacked_room;
	uint32_t run_count;
	struct run *runs;
	uint32_t failures; /* in a row, of different jobs */
	char failed_job[SCHED_ID_BYTES + 1];
	uint64_t ejected_until_ms;  /* no starts before, for its failures */
	uint64_t next_throttle_ms;  /* when fillers may be let go again */
	uint32_t unanswered_orders; /* orders in a row */
	struct instance *pool_prev, *pool_next;
	struct instance *machine_prev, *machine_next; /* of its machine */
	UT_hash_handle hh;
};

struct sched {
	struct sched_options options;
	const struct config *config;
	uint64_t epoch;
	uint64_t leader_since_ms;     /* when this epoch began */
	uint64_t leader_confirmed_ms; /* as the lead, at this time or later */
	uint64_t predecessor_end_ms;  /* orders of the last lead end by then */
	uint64_t unix_ms;
	struct job *jobs;
	struct job *changed;
	uint64_t change_seq;
	struct pool *pools;
	struct workspace *workspaces;
	struct instance *by_id;
	struct machine_instances *machines;
	struct instance **instances; /* NULL where one was forgotten */
	uint32_t instance_slots;     /* in use or forgotten */
	uint32_t instance_room;
	uint32_t instance_generation; /* of the newest */
	uint64_t call_lost_ms;	 /* when an instance last left one unanswered */
	uint32_t next_poll_slot; /* slot where the search for looks goes on */
	uint64_t next_sweep_ms;	 /* when time alone changes something again */
	struct run **runs;
	uint32_t *run_generations;
	uint32_t run_room;
	uint32_t run_free_hint;
	struct run *to_send;
	struct amount unreported; /* capacity of instances not seen yet */
	bool expect_complete; /* all instances there may be are in the tables */
	struct sched_stats stats;
	uint32_t queue_count;
	struct sched_queue_stats *queues;
	void (*trace)(void *arg, const char *kind, const char *id,
		      const char *text);
	void *trace_arg;
};

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

/* step_amount - what a task of the step takes of an instance */
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
struct pool *sched_pool(struct sched *s, const char *name);
struct workspace *sched_workspace(struct sched *s, const char *name);
struct job *job_new(struct sched *s, const char *id, Fleet__JobRow *row,
		    uint64_t now);
void job_free(struct sched *s, struct job *job);
void job_follow_queue(struct sched *s, struct job *job);
void job_mark_changed(struct sched *s, struct job *job);
void job_end(struct sched *s, struct job *job, Fleet__JobState state,
	     uint64_t now);
bool job_is_over(const struct job *job);
void job_refresh_steps(struct job *job);

/* sched_stats.c */
struct sched_queue_stats *queue_stats(struct sched *s, const char *queue);
void job_count_end(struct sched *s, const struct job *job, uint64_t now);

/* sched_change.c */
bool job_has_runs(const struct job *job);
void job_shrink(struct sched *s, struct job *job);

/* sched.c, steps */
void occurrence_begin(struct sched *s, struct job *job, uint32_t k,
		      uint64_t now);
void step_refresh(struct step *step);
void job_discard_steps(struct sched *s, struct job *job);
void step_done(struct sched *s, struct step *step, uint64_t now);
void task_done(struct sched *s, struct task *task, uint64_t now);
void task_failed(struct sched *s, struct task *task, uint64_t number,
		 uint64_t now);
void task_name(const struct task *task, char *name);
void task_set_possibly_running(struct task *task, bool possibly_running);
bool task_startable(const struct task *task, uint64_t now);

/* sched_row.c */
Fleet__ProgressRow *row_progress(const struct job *job);
Fleet__ProgressRow *row_progress_empty(void);
void row_progress_free(Fleet__ProgressRow *row);
void row_apply(struct sched *s, struct job *job, const Fleet__ProgressRow *row);

/* sched_run.c */
struct run *run_new(struct sched *s, struct task *task,
		    struct instance *instance, uint64_t number, uint64_t now);
void run_free(struct sched *s, struct run *run, uint64_t now);
struct run *run_of(const struct sched *s, run_handle h);
void run_queue_order(struct sched *s, struct run *run);
void run_stop(struct sched *s, struct run *run);
void run_mark_running(struct sched *s, struct run *run, uint64_t now);
void run_tick(struct sched *s, struct run *run, uint64_t now);
uint64_t sched_run_number(const struct sched *s, struct task *task);
bool run_is_available(const struct run *run);

/* sched_instance.c */
void instance_count_reported(struct sched *s, struct instance *i);
void instances_tick(struct sched *s, uint64_t now);
void instance_tick(struct sched *s, struct instance *i, uint64_t now);
struct instance *instance_of(const struct sched *s, instance_handle_t h);
uint64_t instance_extend_lease(const struct sched *s, struct instance *i,
			       uint64_t now);
void instance_extend_lease_max(const struct sched *s, struct instance *i,
			       uint64_t now);
void instance_expire(struct sched *s, struct instance *i, const char *why,
		     uint64_t now);
bool instance_usable(const struct sched *s, const struct instance *i,
		     uint64_t now);
void instance_record_no_answer(struct sched *s, struct instance *i,
			       uint64_t now);
void instance_record_failure(struct sched *s, struct instance *i,
			     const struct job *job, uint64_t now);
void instance_record_success(struct instance *i);

/* sched_advice.c */
bool step_needs_advice(const struct step *step);
const char *step_ticket(const struct step *step, const struct instance *i,
			uint64_t now);

/* sched_place.c */
bool instance_could_run(const struct instance *i, const Fleet__Step *spec);
void sched_place(struct sched *s, uint64_t now);
void pool_amounts(const struct pool *pool, struct amount *capacity,
		  struct amount *used);
uint32_t sched_backlog_ms(const struct sched *s, const struct pool *pool,
			  uint64_t now);
uint32_t sched_retry_after(const struct sched *s, const struct job *job,
			   uint64_t now);
void job_estimate(struct job *job);

/* sched_throttle.c */
void instance_throttle(struct sched *s, struct instance *i, uint64_t now);

/* sched_avail.c */
bool task_may_stop(const struct task *task, uint64_t now);

#endif
