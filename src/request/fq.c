#include "request/fq.h"

#include <assert.h>
#include <string.h>

#define FQ_CREDIT_MAX 8.0     /* slots; bounds the credit in both signs */
#define FQ_CREDIT_TIME_S 0.25 /* until a shortfall of 1 slot adds 1 credit */
#define FQ_GAP_SMOOTHING 0.1  /* weight of the newest gap between starts */
#define FQ_CLASSES 2

struct job_list {
	struct job *head;
	struct job *tail;
};

struct flow {
	team_handle team;
	struct job_list lists[FQ_CLASSES]; /* by enum cfg_class */
	uint32_t waiting;
	uint32_t running;
	double target;	     /* in slots */
	double credit;	     /* shortfall accumulated over time, in slots */
	double start_gap_ms; /* smoothed time between starts */
	uint64_t credit_updated_ms;
	uint64_t last_start_ms;
};

struct fq {
	struct flow *flows;
	uint32_t *by_team; /* index of the team's flow + 1, 0 for none */
	uint32_t count;
	uint32_t team_capacity;
	uint32_t waiting;
	uint32_t running;
};

/* Flows */

static struct flow *flow_find(const struct fq *q, team_handle team)
{
	if (team.i >= q->team_capacity || !q->by_team[team.i])
		return NULL;
	return &q->flows[q->by_team[team.i] - 1];
}

static void teams_grow(struct fq *q, uint32_t team)
{
	uint32_t old_capacity = q->team_capacity;

	if (team < old_capacity)
		return;
	q->team_capacity = (team + 1) * 2;
	q->by_team = talloc_realloc(q, q->by_team, uint32_t, q->team_capacity);
	assert(q->by_team);
	memset(q->by_team + old_capacity, 0,
	       (q->team_capacity - old_capacity) * sizeof(uint32_t));
}

static struct flow *flow_get(struct fq *q, team_handle team)
{
	struct flow *f = flow_find(q, team);

	if (f)
		return f;
	teams_grow(q, team.i);
	q->flows = talloc_realloc(q, q->flows, struct flow, q->count + 1);
	assert(q->flows);
	f = &q->flows[q->count++];
	memset(f, 0, sizeof(*f));
	f->team = team;
	q->by_team[team.i] = q->count;
	return f;
}

/*
 * Updates a flow's credit. A flow without waiting jobs keeps only a negative
 * credit, and that only while it has running jobs.
 */
static void flow_update_credit(struct flow *f, uint64_t now_ms)
{
	double seconds = (double)(now_ms - f->credit_updated_ms) / 1000.0;

	if (now_ms == f->credit_updated_ms)
		return;
	f->credit_updated_ms = now_ms;
	if (!f->waiting) {
		if (f->credit > 0 || !f->running)
			f->credit = 0;
		return;
	}
	f->credit += (f->target - f->running) * seconds / FQ_CREDIT_TIME_S;
	if (f->credit > FQ_CREDIT_MAX)
		f->credit = FQ_CREDIT_MAX;
	if (f->credit < -FQ_CREDIT_MAX)
		f->credit = -FQ_CREDIT_MAX;
}

static struct job *flow_head(const struct flow *f)
{
	struct job *urgent = f->lists[CFG_URGENT].head;

	return urgent ? urgent : f->lists[CFG_NORMAL].head;
}

/* Lists */

static void list_add(struct job_list *l, struct job *after, struct job *job)
{
	job->prev = after;
	job->next = after ? after->next : l->head;
	if (job->next)
		job->next->prev = job;
	else
		l->tail = job;
	if (after)
		after->next = job;
	else
		l->head = job;
}

static void list_remove(struct job_list *l, struct job *job)
{
	if (job->prev)
		job->prev->next = job->next;
	else
		l->head = job->next;
	if (job->next)
		job->next->prev = job->prev;
	else
		l->tail = job->prev;
	job->prev = NULL;
	job->next = NULL;
}

/* The queue */

struct fq *fq_new(TALLOC_CTX *ctx)
{
	struct fq *q = talloc_zero(ctx, struct fq);

	assert(q);
	return q;
}

static void push(struct fq *q, struct job *job, uint64_t now_ms, bool front)
{
	struct flow *f = flow_get(q, job->team);
	struct job_list *l = &f->lists[job->class];

	flow_update_credit(f, now_ms);
	list_add(l, front ? NULL : l->tail, job);
	f->waiting++;
	q->waiting++;
}

void fq_push(struct fq *q, struct job *job, uint64_t now_ms)
{
	push(q, job, now_ms, false);
}

void fq_push_front(struct fq *q, struct job *job, uint64_t now_ms)
{
	push(q, job, now_ms, true);
}

void fq_remove(struct fq *q, struct job *job)
{
	struct flow *f = flow_find(q, job->team);

	assert(f && f->waiting);
	list_remove(&f->lists[job->class], job);
	f->waiting--;
	q->waiting--;
}

static void flow_record_start(struct flow *f, uint64_t now_ms)
{
	double gap = (double)(now_ms - f->last_start_ms);

	if (f->last_start_ms && f->waiting)
		f->start_gap_ms += FQ_GAP_SMOOTHING * (gap - f->start_gap_ms);
	f->last_start_ms = now_ms;
}

void fq_started(struct fq *q, team_handle team, uint64_t now_ms)
{
	struct flow *f = flow_get(q, team);

	flow_update_credit(f, now_ms);
	flow_record_start(f, now_ms);
	f->running++;
	q->running++;
}

void fq_ended(struct fq *q, team_handle team, uint64_t now_ms)
{
	struct flow *f = flow_find(q, team);

	assert(f && f->running);
	flow_update_credit(f, now_ms);
	f->running--;
	q->running--;
}

/*
 * A flow below its target that has urgent jobs precedes all others; next comes
 * the one with the largest shortfall plus credit, then the one whose next job
 * arrived first.
 */
static bool flow_precedes(const struct flow *a, const struct flow *b)
{
	bool urgent_a = a->lists[CFG_URGENT].head && a->running < a->target;
	bool urgent_b = b->lists[CFG_URGENT].head && b->running < b->target;
	double shortfall_a = a->target + a->credit - a->running;
	double shortfall_b = b->target + b->credit - b->running;

	if (urgent_a != urgent_b)
		return urgent_a;
	if (shortfall_a != shortfall_b)
		return shortfall_a > shortfall_b;
	return flow_head(a)->arrived_ms < flow_head(b)->arrived_ms;
}

struct job *fq_pick(struct fq *q, uint64_t now_ms,
		    bool (*may_start)(void *arg, team_handle team), void *arg)
{
	struct flow *best = NULL;
	uint32_t i;

	for (i = 0; i < q->count; i++) {
		struct flow *f = &q->flows[i];

		if (!f->waiting || flow_head(f)->not_before_ms > now_ms ||
		    !may_start(arg, f->team))
			continue;
		flow_update_credit(f, now_ms);
		if (!best || flow_precedes(f, best))
			best = f;
	}
	return best ? flow_head(best) : NULL;
}

void fq_set_target(struct fq *q, team_handle team, double slots)
{
	flow_get(q, team)->target = slots;
}

/* Views */

uint32_t fq_flow_count(const struct fq *q)
{
	return q->count;
}

static uint64_t flow_oldest_ms(const struct flow *f)
{
	const struct job *u = f->lists[CFG_URGENT].head;
	const struct job *n = f->lists[CFG_NORMAL].head;

	if (!u || !n)
		return u ? u->arrived_ms : n ? n->arrived_ms : 0;
	return u->arrived_ms < n->arrived_ms ? u->arrived_ms : n->arrived_ms;
}

static void flow_view(const struct flow *f, struct fq_flow_view *view)
{
	view->team = f->team;
	view->waiting = f->waiting;
	view->running = f->running;
	view->target = f->target;
	view->oldest_ms = flow_oldest_ms(f);
	view->start_gap_ms = f->start_gap_ms;
}

void fq_view(const struct fq *q, uint32_t index, struct fq_flow_view *view)
{
	assert(index < q->count);
	flow_view(&q->flows[index], view);
}

bool fq_team_view(const struct fq *q, team_handle team,
		  struct fq_flow_view *view)
{
	const struct flow *f = flow_find(q, team);

	if (f)
		flow_view(f, view);
	return f != NULL;
}

uint32_t fq_waiting(const struct fq *q)
{
	return q->waiting;
}

uint32_t fq_running(const struct fq *q)
{
	return q->running;
}

void fq_for_each(const struct fq *q,
		 void (*fn)(void *arg, const struct job *job), void *arg)
{
	const struct job *job;
	uint32_t i;
	int class;

	for (i = 0; i < q->count; i++)
		for (class = 0; class < FQ_CLASSES; class ++)
			for (job = q->flows[i].lists[class].head; job;
			     job = job->next)
				fn(arg, job);
}

static void list_expire(struct fq *q, struct job_list *l,
			bool (*expired)(void *arg, const struct job *job),
			void (*refuse)(void *arg, struct job *job), void *arg)
{
	struct job *job = l->head;
	struct job *next;

	for (; job; job = next) {
		next = job->next;
		if (!expired(arg, job))
			continue;
		fq_remove(q, job);
		refuse(arg, job);
	}
}

void fq_expire(struct fq *q, bool (*expired)(void *arg, const struct job *job),
	       void (*refuse)(void *arg, struct job *job), void *arg)
{
	uint32_t i;
	int class;

	for (i = 0; i < q->count; i++)
		for (class = 0; class < FQ_CLASSES; class ++)
			list_expire(q, &q->flows[i].lists[class], expired,
				    refuse, arg);
}
