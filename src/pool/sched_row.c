/*
 * sched_row - progress rows of jobs, to and from the store
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched_internal.h"

/* Tasks of open occurrences of a job; an earlier release opened all due ones */
#define OPEN_TASKS_MAX 200000u

/* Rows are allocated with malloc(3), as protobuf-c frees them. */

static bool step_has_progress(const struct step *step)
{
	return step->failed_count ||
	       (step->tasks_left < step->spec->count && !step->spec->lasting);
}

static Fleet__StepProgress *step_progress(const struct step *step)
{
	Fleet__StepProgress *p = malloc(sizeof(*p));
	uint32_t count = step->spec->count;
	uint32_t i;

	assert(p);
	fleet__step_progress__init(p);
	p->occurrence = step->in->index;
	p->step = step->index;
	p->done.len = (count + 7) / 8;
	p->done.data = calloc(1, p->done.len);
	assert(p->done.data);
	for (i = 0; i < count; i++)
		if (step->tasks[i].done)
			p->done.data[i / 8] |= (uint8_t)(1u << i % 8);
	if (step->failed_count) {
		p->n_failed = 2 * step->failed_count;
		p->failed = malloc(p->n_failed * sizeof(*p->failed));
		assert(p->failed);
		memcpy(p->failed, step->failed,
		       p->n_failed * sizeof(*p->failed));
	}
	return p;
}

static Fleet__StepProgress *step_progress_done(const struct job *job,
					       uint32_t k, uint32_t step)
{
	Fleet__StepProgress *p = malloc(sizeof(*p));
	uint32_t count = job->row->steps[step]->count;
	uint32_t i;

	assert(p);
	fleet__step_progress__init(p);
	p->occurrence = k;
	p->step = step;
	p->done.len = (count + 7) / 8;
	p->done.data = calloc(1, p->done.len);
	assert(p->done.data);
	for (i = 0; i < count; i++)
		p->done.data[i / 8] |= (uint8_t)(1u << i % 8);
	return p;
}

/* Number of steps with progress, also of occurrences that are forgotten. */
static size_t count_progress(const struct job *job)
{
	const struct occurrence *o;
	size_t count = 0;
	uint32_t n;
	size_t i;

	for (n = 0; n < job->done_range_count; n++)
		count += (size_t)(job->done_ranges[n].end -
				  job->done_ranges[n].first) *
			 job->row->n_steps;
	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; !o->recorded && i < job->row->n_steps; i++)
			count += step_has_progress(&o->steps[i]);
	return count;
}

static void add_recorded(const struct job *job, Fleet__ProgressRow *row)
{
	uint32_t n, k, i;

	for (n = 0; n < job->done_range_count; n++)
		for (k = job->done_ranges[n].first; k < job->done_ranges[n].end;
		     k++)
			for (i = 0; i < job->row->n_steps; i++)
				row->steps[row->n_steps++] =
					step_progress_done(job, k, i);
}

Fleet__ProgressRow *row_progress(const struct job *job)
{
	Fleet__ProgressRow *row;
	struct occurrence *o;
	size_t count = count_progress(job);
	size_t i;

	if (!count)
		return NULL;
	row = malloc(sizeof(*row));
	assert(row);
	fleet__progress_row__init(row);
	row->steps = calloc(count, sizeof(*row->steps));
	assert(row->steps);
	add_recorded(job, row);
	for (o = job->occurrences; o; o = o->hh.next) {
		if (o->recorded)
			continue;
		o->in_row = !o->steps_left && job->row->times;
		for (i = 0; i < job->row->n_steps; i++)
			if (step_has_progress(&o->steps[i]))
				row->steps[row->n_steps++] =
					step_progress(&o->steps[i]);
	}
	return row;
}

Fleet__ProgressRow *row_progress_empty(void)
{
	Fleet__ProgressRow *row = malloc(sizeof(*row));

	assert(row);
	fleet__progress_row__init(row);
	return row;
}

void row_progress_free(Fleet__ProgressRow *row)
{
	if (row)
		fleet__progress_row__free_unpacked(row, NULL);
}

static void apply_failed(struct step *step, const Fleet__StepProgress *p)
{
	size_t i;

	step->failed_count = (uint32_t)(p->n_failed / 2);
	if (!step->failed_count)
		return;
	step->failed = talloc_memdup(step->in, p->failed,
				     p->n_failed * sizeof(*p->failed));
	assert(step->failed);
	for (i = 0; i + 1 < p->n_failed; i += 2)
		if (p->failed[i] < step->spec->count)
			step->tasks[p->failed[i]].failed++;
}

static void apply_step(struct sched *s, struct step *step,
		       const Fleet__StepProgress *p)
{
	uint32_t i;

	apply_failed(step, p);
	for (i = 0; i < step->spec->count && i / 8 < p->done.len; i++) {
		struct task *t = &step->tasks[i];

		if (!(p->done.data[i / 8] & 1u << i % 8) || t->done)
			continue;
		t->done = true;
		task_set_possibly_running(t, false);
		step->tasks_left--;
	}
	if (step->tasks_left == 0)
		step_done(s, step, step->job->accepted_ms);
	else
		step_refresh(step);
}

/* Whether the entries are all steps of one occurrence, each of them done. */
static bool is_complete(const struct job *job, const Fleet__ProgressRow *row,
			size_t first, size_t count)
{
	size_t i;
	uint32_t t;

	if (!job->row->times || count != job->row->n_steps)
		return false;
	for (i = 0; i < count; i++) {
		const Fleet__StepProgress *p = row->steps[first + i];
		uint32_t tasks = job->row->steps[i]->count;

		if (p->step != i || p->done.len < (tasks + 7) / 8)
			return false;
		for (t = 0; t < tasks; t++)
			if (!(p->done.data[t / 8] & 1u << t % 8))
				return false;
	}
	return true;
}

static void apply_occurrence(struct sched *s, struct job *job,
			     const Fleet__ProgressRow *row, size_t first,
			     size_t count)
{
	uint32_t k = row->steps[first]->occurrence;
	struct occurrence *o;
	size_t i;

	if (occurrence_is_recorded(job, k))
		return;
	if (is_complete(job, row, first, count)) {
		occurrence_loaded_done(job, k);
		return;
	}
	o = occurrence_begin(job, k, job->accepted_ms);
	for (i = first; i < first + count; i++)
		if (row->steps[i]->step < job->row->n_steps)
			apply_step(s, &o->steps[row->steps[i]->step],
				   row->steps[i]);
}

/* Entries of one occurrence follow one another. */
static void apply_progress(struct sched *s, struct job *job,
			   const Fleet__ProgressRow *row)
{
	const uint32_t tasks = job_tasks(job->row);
	size_t first, end;

	for (first = 0; first < row->n_steps; first = end) {
		uint32_t k = row->steps[first]->occurrence;

		for (end = first + 1; end < row->n_steps; end++)
			if (row->steps[end]->occurrence != k)
				break;
		if (k >= job->times)
			continue;
		job_set_started(job);
		apply_occurrence(s, job, row, first, end - first);
		if ((uint64_t)job->open_count * tasks > OPEN_TASKS_MAX) {
			job_set_aside(s, job, "tasks of open occurrences",
				      (uint64_t)job->open_count * tasks,
				      OPEN_TASKS_MAX);
			return;
		}
	}
}

/*
 * The occurrence of a job without times exists when its rows are loaded; the
 * others are built as possibly running.
 */
static void mark_possibly_running(struct job *job)
{
	struct occurrence *o;
	size_t i;
	uint32_t t;

	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++) {
			for (t = 0; t < job->row->steps[i]->count; t++)
				task_set_possibly_running(&o->steps[i].tasks[t],
							  true);
			step_refresh(&o->steps[i]);
		}
}

void row_apply(struct sched *s, struct job *job, const Fleet__ProgressRow *row)
{
	if (job->set_aside)
		return;
	mark_possibly_running(job);
	if (row)
		apply_progress(s, job, row);
	occurrences_loaded(job);
	if (job->row->times && !job->set_aside)
		job_begin_due(s, job, job->accepted_ms);
}
