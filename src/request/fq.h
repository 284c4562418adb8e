/*
 * fq - weighted fair queue of one pool
 *
 * A flow is one team's jobs for the pool. A free slot goes to the flow that is
 * furthest below its target of running jobs. The shortfall of the last seconds
 * counts too, so that a target of a fraction of a slot is met over time.
 * Within a flow urgent jobs go first, then earlier ones: a job never overtakes
 * an earlier one of its flow and class.
 *
 * Takes the time as an argument and allocates memory only for a new team.
 */
#ifndef FQ_H
#define FQ_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "request/job.h"

struct fq;

/* fq_new - an empty queue, owned by ctx */
struct fq *fq_new(TALLOC_CTX *ctx);

/* fq_push - append a job to its flow and class */
void fq_push(struct fq *q, struct job *job, uint64_t now_ms);

/* fq_push_front - put a retry before the other jobs of its flow and class */
void fq_push_front(struct fq *q, struct job *job, uint64_t now_ms);

/* fq_remove - remove a waiting job */
void fq_remove(struct fq *q, struct job *job);

/* fq_started, fq_ended - count a team's running jobs */
void fq_started(struct fq *q, team_handle team, uint64_t now_ms);
void fq_ended(struct fq *q, team_handle team, uint64_t now_ms);

/*
 * fq_pick - the job that should get a free slot, or NULL
 *
 * may_start returns whether the team has an idle unit. The job stays in the
 * queue until the caller removes it.
 */
struct job *fq_pick(struct fq *q, uint64_t now_ms,
		    bool (*may_start)(void *arg, team_handle team), void *arg);

/* fq_set_target - set how many jobs of a team should run here, in slots */
void fq_set_target(struct fq *q, team_handle team, double slots);

struct fq_flow_view {
	team_handle team;
	uint32_t waiting;
	uint32_t running;
	double target;	    /* in slots */
	uint64_t oldest_ms; /* arrival of the oldest waiting job, 0 if none */
	/* Smoothed time between starts while jobs wait, 0 if unknown */
	double start_gap_ms;
};

/* fq_flow_count - number of flows; fq_view - one of them, by index */
uint32_t fq_flow_count(const struct fq *q);
void fq_view(const struct fq *q, uint32_t index, struct fq_flow_view *view);

/* fq_team_view - a team's flow; false if it never had a job here */
bool fq_team_view(const struct fq *q, team_handle team,
		  struct fq_flow_view *view);

/* fq_waiting, fq_running - number of jobs of all teams */
uint32_t fq_waiting(const struct fq *q);
uint32_t fq_running(const struct fq *q);

/* fq_for_each - call fn for each waiting job */
void fq_for_each(const struct fq *q,
		 void (*fn)(void *arg, const struct job *job), void *arg);

/*
 * fq_expire - remove each waiting job for which `expired` returns true
 *
 * Calls refuse with the job after it has been removed.
 */
void fq_expire(struct fq *q, bool (*expired)(void *arg, const struct job *job),
	       void (*refuse)(void *arg, struct job *job), void *arg);

#endif
