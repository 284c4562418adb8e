/*
 * sched - jobs, their steps and tasks
 */
#include "pool/sched.h"

#include <assert.h>
#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched_internal.h"

/* Between two checks of timers; at most a tenth of the shortest timeout */
#define SWEEP_MS 20u
#define TRACE_MAX 896 /* bytes of the text of one traced decision */
/* Jobs that were accepted elsewhere may take this times as much memory */
#define LOADED_FACTOR 2

/* uthash allocates table heads with malloc(3), outside talloc. */
static int sched_destroy(struct sched *s)
{
	uint32_t n;

	for (n = 0; n < s->instance_slots; n++)
		if (s->instances[n])
			holds_release_on(s->instances[n]);
	HASH_CLEAR(hh, s->jobs);
	HASH_CLEAR(hh, s->queue_counts);
	HASH_CLEAR(hh, s->refused);
	HASH_CLEAR(hh, s->pools);
	HASH_CLEAR(hh, s->workspaces);
	HASH_CLEAR(hh, s->by_id);
	HASH_CLEAR(hh, s->machines);
	return 0;
}

struct sched *sched_new(TALLOC_CTX *ctx, const struct sched_options *options)
{
	struct sched *s = talloc_zero(ctx, struct sched);

	assert(s);
	s->options = *options;
	s->pace.limit = PACE_NO_LIMIT;
	talloc_set_destructor(s, sched_destroy);
	return s;
}

void sched_set_trace(struct sched *s,
		     void (*fn)(void *arg, const char *kind, const char *id,
				const char *text),
		     void *arg)
{
	s->trace = fn;
	s->trace_arg = arg;
}

void sched_trace(struct sched *s, const char *kind, const char *id,
		 const char *fmt, ...)
{
	char text[TRACE_MAX];
	va_list ap;

	if (!s->trace)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	s->trace(s->trace_arg, kind, id, text);
}

/* Tables */

struct job *sched_job(const struct sched *s, const char *id)
{
	struct job *job;

	HASH_FIND_STR(s->jobs, id, job);
	return job;
}

struct pool *sched_pool(struct sched *s, const char *name)
{
	struct pool *pool;

	HASH_FIND_STR(s->pools, name, pool);
	if (pool)
		return pool;
	pool = talloc_zero(s, struct pool);
	assert(pool);
	snprintf(pool->name, sizeof(pool->name), "%s", name);
	if (s->config)
		pool->config = config_pool(s->config, name);
	HASH_ADD_STR(s->pools, name, pool);
	return pool;
}

struct workspace *sched_workspace(struct sched *s, const char *name)
{
	struct workspace *w;

	if (!*name)
		return NULL;
	HASH_FIND_STR(s->workspaces, name, w);
	if (w)
		return w;
	w = talloc_zero(s, struct workspace);
	assert(w);
	snprintf(w->name, sizeof(w->name), "%s", name);
	if (s->config)
		w->config = config_workspace(s->config, name);
	HASH_ADD_STR(s->workspaces, name, w);
	return w;
}

/* Reads a number and the dot before it; false if there is none. */
static bool read_part(const char **text, uint32_t *number)
{
	const char *digit = *text + 1;
	uint64_t value = 0;

	if (**text != '.' || !isdigit((unsigned char)*digit))
		return false;
	for (; isdigit((unsigned char)*digit); digit++)
		if ((value = value * 10 + (uint64_t)(*digit - '0')) >
		    UINT32_MAX)
			return false;
	*text = digit;
	*number = (uint32_t)value;
	return true;
}

/* A task's name is ID.OCCURRENCE.STEP.INDEX. */
struct task_path {
	struct job *job;
	uint32_t occurrence, step, index;
};

/* Finds the job of a task; false if it can't have such a task. */
static bool parse_task(const struct sched *s, const char *name,
		       struct task_path *p)
{
	size_t length = strcspn(name, ".");
	const char *rest = name + length;
	char id[SCHED_ID_BYTES + 1];

	if (length > SCHED_ID_BYTES || !read_part(&rest, &p->occurrence) ||
	    !read_part(&rest, &p->step) || !read_part(&rest, &p->index))
		return false;
	memcpy(id, name, length);
	id[length] = '\0';
	p->job = sched_job(s, id);
	return p->job && p->job->row && p->occurrence < p->job->times &&
	       (!p->job->set_aside || occurrence_find(p->job, p->occurrence)) &&
	       p->step < p->job->row->n_steps &&
	       p->index < p->job->row->steps[p->step]->count;
}

struct task *sched_task(const struct sched *s, const char *name)
{
	struct task_path p;
	struct occurrence *o;

	if (!parse_task(s, name, &p))
		return NULL;
	o = occurrence_find(p.job, p.occurrence);
	return o ? &o->steps[p.step].tasks[p.index] : NULL;
}

struct task *sched_reported_task(struct sched *s, const char *name)
{
	struct task_path p;

	if (!parse_task(s, name, &p))
		return NULL;
	occurrence_build(p.job, p.occurrence);
	return sched_task(s, name);
}

void task_name(const struct task *task, char *name)
{
	const struct step *step = task->step;

	snprintf(name, SCHED_TASK_MAX, "%s.%u.%u.%u", step->job->id,
		 step->in->index, step->index, task->index);
}

/* Configuration */

void job_follow_queue(struct sched *s, struct job *job)
{
	const struct config_queue *q = job->queue_config;

	/* Jobs of a removed queue stay in the pool that the queue had. */
	if (q && strcmp(q->pool, job->pool->name)) {
		struct occurrence *o;
		size_t i;

		for (o = job->occurrences; o; o = o->hh.next)
			for (i = 0; i < job->row->n_steps; i++)
				step_leave_pool(&o->steps[i]);
		job->pool = sched_pool(s, q->pool);
		share_join(s, job);
		job->pool_changed |= job->loaded;
		job_refresh_steps(job);
	}
}

void sched_configure(struct sched *s, const struct config *c, uint64_t now)
{
	struct workspace *w;
	struct pool *p;
	struct job *job;
	uint32_t i;

	s->config = c;
	s->advice_used = false;
	for (i = 0; i < c->queue_count; i++)
		s->advice_used |= c->queues[i].needs_advice;
	for (w = s->workspaces; w; w = w->hh.next)
		w->config = config_workspace(c, w->name);
	for (p = s->pools; p; p = p->hh.next)
		p->config = config_pool(c, p->name);
	for (job = s->jobs; job; job = job->hh.next) {
		bool unfinished = job->row && !job_is_over(job);

		job->queue_config =
			unfinished ? config_queue(c, job->queue) : NULL;
		if (unfinished)
			job_follow_queue(s, job);
	}
	(void)now;
}

/* Steps */

bool task_startable(const struct task *task, uint64_t now)
{
	return !task->done && !task->possibly_running && !task->runs &&
	       now >= task->retry_ms;
}

/* A possibly running task counts towards the cap of its workspace. */
void task_set_possibly_running(struct task *task, bool possibly_running)
{
	const Fleet__Step *spec = task->step->spec;
	struct workspace *w = task->step->job->workspace;
	struct amount a = { spec->cpu, spec->mem, spec->gpu };

	if (task->possibly_running == possibly_running)
		return;
	task->possibly_running = possibly_running;
	if (w && possibly_running)
		amount_add(&w->unreported, &a);
	else if (w)
		amount_sub(&w->unreported, &a);
}

void step_done(struct sched *s, struct step *step, uint64_t now)
{
	struct job *job = step->job;

	step_refresh(step);
	step_forget_advice(step);
	if (--step->in->steps_left) {
		occurrence_refresh(step->in);
		return;
	}
	if (--job->occurrences_left == 0)
		job_end(s, job, FLEET__JOB_STATE__COMPLETED, now);
}

/* Marks a task as done and stops its other runs. */
void task_done(struct sched *s, struct task *task, uint64_t now)
{
	struct step *step = task->step;
	uint32_t left = step->tasks_left;
	struct run *run;
	uint32_t i;

	if (task->done)
		return;
	task->done = true;
	task_set_possibly_running(task, false);
	DL_FOREACH2(task->runs, run, task_next)
	run_stop(s, run, STOP_JOB_OVER);
	job_mark_changed(s, step->job);
	if (step->spec->gang) {
		/* The end of one member completes the gang. */
		for (i = 0; i < step->spec->count; i++) {
			step->tasks[i].done = true;
			task_set_possibly_running(&step->tasks[i], false);
		}
		step->tasks_left = 0;
	} else {
		step->tasks_left--;
	}
	share_tasks_done(step, left - step->tasks_left);
	if (step->tasks_left == 0)
		step_done(s, step, now);
	else
		step_refresh(step);
}

void step_clear_possibly_running(struct step *step)
{
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		task_set_possibly_running(&step->tasks[t], false);
	step_refresh(step);
}

static uint32_t attempts_max(const struct job *job)
{
	return job->queue_config && job->queue_config->attempts_max
		       ? job->queue_config->attempts_max
		       : UINT32_MAX;
}

/*
 * Counts a failed run for its task; in a gang, for the gang's first task. The
 * step keeps the numbers of its failed runs, so a run counts once, also if an
 * end that a former leader has counted is reported to its successor again.
 */
void task_failed(struct sched *s, struct task *task, uint64_t number,
		 uint64_t now)
{
	struct step *step = task->step;
	struct task *counted = step->spec->gang ? &step->tasks[0] : task;
	uint32_t i;

	(void)now;
	if (step->spec->lasting || task->done)
		return;
	for (i = 0; i < step->failed_count; i++)
		if (step->failed[2 * i] == counted->index &&
		    step->failed[2 * i + 1] == (uint32_t)number)
			return;
	step->failed = talloc_realloc(step->in, step->failed, uint32_t,
				      2 * (step->failed_count + 1));
	assert(step->failed);
	step->failed[2 * step->failed_count] = counted->index;
	step->failed[2 * step->failed_count + 1] = (uint32_t)number;
	step->failed_count++;
	counted->failed++;
	job_mark_changed(s, step->job);
	if (counted->failed >= attempts_max(step->job))
		job_end(s, step->job, FLEET__JOB_STATE__FAILED, now);
}

/* Jobs */

bool job_is_over(const struct job *job)
{
	return job->state >= FLEET__JOB_STATE__COMPLETED;
}

static struct queue_count *queue_count(struct sched *s, const char *name)
{
	struct queue_count *q;

	HASH_FIND_STR(s->queue_counts, name, q);
	if (q)
		return q;
	q = talloc_zero(s, struct queue_count);
	assert(q);
	snprintf(q->name, sizeof(q->name), "%s", name);
	HASH_ADD_STR(s->queue_counts, name, q);
	return q;
}

/* Counts the job as pending or not, by its state. */
static void job_count_pending(struct job *job)
{
	bool pending = !job->started && !job_is_over(job);

	if (pending == job->pending)
		return;
	job->pending = pending;
	if (pending)
		job->queue_count->pending++;
	else
		job->queue_count->pending--;
}

void job_set_started(struct job *job)
{
	job->started = true;
	job_count_pending(job);
}

static bool is_unfinished(enum job_list list)
{
	return list == JOBS_SHORT || list == JOBS_LONG;
}

void job_set_list(struct sched *s, struct job *job, enum job_list list)
{
	DL_DELETE2(s->lists[job->list], job, list_prev, list_next);
	s->unfinished -= is_unfinished(job->list);
	job->list = list;
	s->unfinished += is_unfinished(list);
	DL_APPEND2(s->lists[list], job, list_prev, list_next);
	job_count_pending(job);
}

static enum job_list list_of(const struct job *job)
{
	size_t i;

	if (job_is_over(job))
		return job->row ? JOBS_ENDING : JOBS_ENDED;
	for (i = 0; i < job->row->n_steps; i++)
		if (job->row->steps[i]->lasting)
			return JOBS_LONG;
	return job->row->times ? JOBS_LONG : JOBS_SHORT;
}

/* Adds a job, whose id, queue and state are set, to the tables. */
void job_add(struct sched *s, struct job *job)
{
	HASH_ADD_STR(s->jobs, id, job);
	job->queue_count = queue_count(s, job->queue);
	job->list = list_of(job);
	s->unfinished += is_unfinished(job->list);
	DL_APPEND2(s->lists[job->list], job, list_prev, list_next);
	job_count_pending(job);
}

static int job_destroy(struct job *job)
{
	/* uthash allocates its table with malloc(3). */
	HASH_CLEAR(hh, job->occurrences);
	if (job->row)
		fleet__job_row__free_unpacked(job->row, NULL);
	return 0;
}

uint64_t job_cost(const struct sched *s, const Fleet__JobRow *row)
{
	uint64_t occurrence = job_tasks(row) * sizeof(struct task) +
			      row->n_steps * sizeof(struct step);

	return sizeof(struct job) + strlen(row->payload) +
	       row->n_steps * sizeof(Fleet__Step) +
	       (row->times ? occurrence_window(s, row) : 1) * occurrence;
}

/* Sets the job aside if it can't be held. */
static void job_set_cost(struct sched *s, struct job *job)
{
	struct job_verdict verdict;
	uint64_t max = s->options.job_bytes_max * LOADED_FACTOR;

	if (!job_check(job->row, &verdict)) {
		job_set_aside(s, job, job_problem_name(verdict.problem),
			      verdict.value, verdict.bound);
		return;
	}
	job->bytes = job_cost(s, job->row);
	if (max && s->job_bytes + job->bytes > max) {
		job_set_aside(s, job, "memory of all jobs",
			      s->job_bytes + job->bytes, max);
		job->bytes = 0;
	}
	s->job_bytes += job->bytes;
}

void job_set_aside(struct sched *s, struct job *job, const char *why,
		   uint64_t value, uint64_t bound)
{
	job->set_aside = true;
	share_count(job, false);
	job_refresh_steps(job);
	sched_trace(s, "job-set-aside", job->id,
		    "\"queue\":\"%s\",\"why\":\"%s\",\"value\":%" PRIu64
		    ",\"bound\":%" PRIu64,
		    job->queue, why, value, bound);
}

void job_forget_cost(struct sched *s, struct job *job)
{
	s->job_bytes -= job->bytes;
	job->bytes = 0;
}

struct job *job_new(struct sched *s, const char *id, Fleet__JobRow *row,
		    uint64_t now)
{
	struct job *job = talloc_zero(s, struct job);

	assert(job);
	talloc_set_destructor(job, job_destroy);
	snprintf(job->id, sizeof(job->id), "%s", id);
	job->row = row;
	snprintf(job->queue, sizeof(job->queue), "%s", row->queue);
	job->pool = sched_pool(s, row->pool);
	job->workspace = sched_workspace(s, row->workspace);
	job->state = job->shown = FLEET__JOB_STATE__QUEUED;
	job->accepted_ms = now;
	job->times = job->occurrences_left = row->times ? row->times : 1;
	if (s->config)
		job->queue_config = config_queue(s->config, job->queue);
	job_set_cost(s, job);
	job_add(s, job);
	if (!job->set_aside) {
		job->window = occurrence_window(s, row);
		job_estimate(job);
		share_join(s, job);
	}
	if (!job->set_aside && !row->times)
		occurrence_begin(job, 0, now);
	/* The row's pool may come from an older configuration. */
	if (s->config)
		job_follow_queue(s, job);
	return job;
}

void job_free(struct sched *s, struct job *job)
{
	job_set_change(s, job, CHANGE_NONE);
	pace_count(s, job, false);
	share_count(job, false);
	DL_DELETE2(s->lists[job->list], job, list_prev, list_next);
	s->unfinished -= is_unfinished(job->list);
	if (job->pending)
		job->queue_count->pending--;
	job_forget_cost(s, job);
	HASH_DEL(s->jobs, job);
	talloc_free(job);
}

void job_refresh_steps(struct job *job)
{
	struct occurrence *o;
	size_t i;

	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++)
			step_refresh(&o->steps[i]);
}

/* Removes a job's steps from pool.ready, so that the job can be freed. */
void job_discard_steps(struct sched *s, struct job *job)
{
	job->state = FLEET__JOB_STATE__CANCELLED;
	job_refresh_steps(job);
	(void)s;
}

static void step_stop_runs(struct sched *s, const struct step *step)
{
	struct run *run;
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		DL_FOREACH2(step->tasks[t].runs, run, task_next)
	run_stop(s, run, STOP_JOB_OVER);
}

static void job_stop_runs(struct sched *s, struct job *job)
{
	struct occurrence *o;
	size_t i;

	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++)
			step_stop_runs(s, &o->steps[i]);
}

void job_end(struct sched *s, struct job *job, Fleet__JobState state,
	     uint64_t now)
{
	if (job_is_over(job))
		return;
	job->state = state;
	job_set_list(s, job, JOBS_ENDING);
	pace_count(s, job, false);
	share_count(job, false);
	job_refresh_steps(job);
	job_stop_runs(s, job);
	job_mark_changed(s, job);
	job_count_end(s, job, now);
	sched_trace(s, "job-end", job->id,
		    "\"state\":%d,\"age_ms\":%" PRIu64
		    ",\"objective_in_ms\":%" PRId64,
		    (int)state, now - job->accepted_ms,
		    (int64_t)(job->objective_ms - now));
}

bool sched_cancel(struct sched *s, const char *id, const char *queue,
		  uint64_t now)
{
	struct job *job = sched_job(s, id);

	if (!job || strcmp(job->queue, queue))
		return false;
	job_end(s, job, FLEET__JOB_STATE__CANCELLED, now);
	return true;
}

Fleet__JobState sched_state(const struct sched *s, const char *id,
			    const char *queue)
{
	const struct job *job = sched_job(s, id);

	if (!job || strcmp(job->queue, queue))
		return FLEET__JOB_STATE__UNKNOWN;
	if (job->shown >= FLEET__JOB_STATE__COMPLETED)
		return job->shown;
	return job->started ? FLEET__JOB_STATE__RUNNING
			    : FLEET__JOB_STATE__QUEUED;
}

uint32_t sched_pending(const struct sched *s, const char *queue)
{
	const struct queue_count *q;

	HASH_FIND_STR(s->queue_counts, queue, q);
	return q ? q->pending : 0;
}

/* Time */

void sched_set_clock(struct sched *s, uint64_t unix_ms)
{
	s->unix_ms = unix_ms;
}

/* Handles timers: occurrences due, ended jobs to forget, leases. */
static void sweep(struct sched *s, uint64_t now)
{
	struct job *job, *next;

	s->next_sweep_ms = now + SWEEP_MS;
	DL_FOREACH2(s->lists[JOBS_LONG], job, list_next)
	if (job->row->times && !job->set_aside) {
		occurrences_forget(job);
		job_begin_due(s, job, now);
	}
	DL_FOREACH_SAFE2(s->lists[JOBS_ENDING], job, next, list_next)
	if (job->change == CHANGE_NONE)
		job_shrink(s, job);
	ends_expire(s, now);
	instances_tick(s, now);
	waits_log(s, now);
}

void sched_tick(struct sched *s, uint64_t unix_ms, uint64_t now)
{
	s->unix_ms = unix_ms;
	s->tick_ms = now;
	if (now >= s->next_sweep_ms)
		sweep(s, now);
	if (s->returning)
		returns_tick(s, now);
	sched_place(s, now);
}
