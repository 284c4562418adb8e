/*
 * sched_row - progress rows of jobs, to and from the store
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched_internal.h"

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
	p->occurrence = step->occurrence;
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

Fleet__ProgressRow *row_progress(const struct job *job)
{
	Fleet__ProgressRow *row;
	size_t count = 0;
	uint32_t k;
	size_t i;

	for (k = 0; k < job->occurrence_count; k++)
		for (i = 0; job->occurrences[k].steps && i < job->row->n_steps;
		     i++)
			count += step_has_progress(
				&job->occurrences[k].steps[i]);
	if (!count)
		return NULL;
	row = malloc(sizeof(*row));
	assert(row);
	fleet__progress_row__init(row);
	row->steps = calloc(count, sizeof(*row->steps));
	assert(row->steps);
	for (k = 0; k < job->occurrence_count; k++)
		for (i = 0; job->occurrences[k].steps && i < job->row->n_steps;
		     i++) {
			struct step *step = &job->occurrences[k].steps[i];

			if (step_has_progress(step))
				row->steps[row->n_steps++] =
					step_progress(step);
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
	step->failed = talloc_memdup(step->job, p->failed,
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

static void mark_possibly_running(struct job *job, uint32_t k)
{
	struct step *steps = job->occurrences[k].steps;
	size_t i;
	uint32_t t;

	for (i = 0; i < job->row->n_steps; i++) {
		for (t = 0; t < job->row->steps[i]->count; t++)
			task_set_possibly_running(&steps[i].tasks[t], true);
		step_refresh(&steps[i]);
	}
}

void row_apply(struct sched *s, struct job *job, const Fleet__ProgressRow *row)
{
	uint32_t k;
	size_t i;

	for (k = 0; k < job->occurrence_count; k++)
		if (job->occurrences[k].steps)
			mark_possibly_running(job, k);
	for (i = 0; row && i < row->n_steps; i++) {
		const Fleet__StepProgress *p = row->steps[i];

		if (p->occurrence >= job->occurrence_count ||
		    p->step >= job->row->n_steps)
			continue;
		job_set_started(job);
		occurrence_begin(s, job, p->occurrence, job->accepted_ms);
		apply_step(s, &job->occurrences[p->occurrence].steps[p->step],
			   p);
	}
	if (job->row->times)
		job_begin_due(s, job, job->accepted_ms);
}
