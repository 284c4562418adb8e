/*
 * fq - fair queue of one pool
 *
 * A flow is a team's work for the pool. A free slot goes to the flow that is
 * furthest below its target of running work; the shortfall over the last
 * seconds counts too, so that targets of a fraction of a slot are met over
 * time. Within a flow urgent work goes first, then the order of arrival:
 * nothing passes older work of its own flow and class.
 *
 * Takes the time as an argument and allocates only when a team is new.
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

/* fq_push - queue a job behind its class; fq_push_front for a retry */
void fq_push(struct fq *q, struct job *job, uint64_t now_ms);
void fq_push_front(struct fq *q, struct job *job, uint64_t now_ms);

/* fq_remove - take a waiting job out */
void fq_remove(struct fq *q, struct job *job);

/* fq_started, fq_ended - count running work of a team */
void fq_started(struct fq *q, team_handle team, uint64_t now_ms);
void fq_ended(struct fq *q, team_handle team, uint64_t now_ms);

/*
 * fq_pick - the job that a free slot should go to, or NULL
 *
 * may_start tells whether a team's unit can be had now. The job stays in
 * the queue; the caller removes it.
 */
struct job *fq_pick(struct fq *q, uint64_t now_ms,
		    bool (*may_start)(void *arg, team_handle team), void *arg);

/* fq_set_target - running work that a team should have here, in slots */
void fq_set_target(struct fq *q, team_handle team, double slots);

struct fq_flow_view {
	team_handle team;
	uint32_t waiting;
	uint32_t running;
	double target;
	uint64_t oldest_ms;  /* arrival of the oldest waiting job, 0 if none */
	double start_gap_ms; /* smoothed time between starts, 0 if unknown */
};

/* fq_flow_count - how many flows there are; fq_view - one of them */
uint32_t fq_flow_count(const struct fq *q);
void fq_view(const struct fq *q, uint32_t index, struct fq_flow_view *view);

/* fq_team_view - a team's flow; false when it never had work here */
bool fq_team_view(const struct fq *q, team_handle team,
		  struct fq_flow_view *view);

/* fq_waiting, fq_running - work of all teams */
uint32_t fq_waiting(const struct fq *q);
uint32_t fq_running(const struct fq *q);

/* fq_for_each - call fn for each waiting job */
void fq_for_each(const struct fq *q,
		 void (*fn)(void *arg, const struct job *job), void *arg);

/*
 * fq_expire - call refuse for each waiting job that `expired` holds for
 *
 * The job is out of the queue before refuse is called.
 */
void fq_expire(struct fq *q, bool (*expired)(void *arg, const struct job *job),
	       void (*refuse)(void *arg, struct job *job), void *arg);

#endif
