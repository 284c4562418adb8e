/*
 * sched_occurrence - the occurrences of a job
 *
 * A job holds the occurrences that are open, and of the others only ranges of
 * numbers, so that it takes the same memory however often it repeats. An
 * occurrence is open from its begin until its end is in the store. At most
 * job.window of them are open, the first ones that are due; their progress fits
 * into half of a row of the store, failed runs into the other half. So the
 * occurrences that a former leader had open are among those that its successor
 * opens, by the row alone.
 *
 * An occurrence that has runs on an instance is kept, or built again, also when
 * it is not due or done, so that the runs can be counted and stopped.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched_internal.h"

#define OPEN_MAX 256u /* occurrences of a job, however small */

/* Ranges of numbers */

/* Index of the first range that ends after k. */
static uint32_t range_place(const struct job *job, uint32_t k)
{
	uint32_t low = 0;
	uint32_t high = job->done_range_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (job->done_ranges[middle].end <= k)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct range *range_of(const struct job *job, uint32_t k)
{
	uint32_t n = range_place(job, k);

	return n < job->done_range_count && job->done_ranges[n].first <= k
		       ? &job->done_ranges[n]
		       : NULL;
}

static void range_insert(struct job *job, uint32_t n, uint32_t first,
			 uint32_t end)
{
	if (job->done_range_count == job->done_range_alloc) {
		job->done_range_alloc =
			job->done_range_alloc ? job->done_range_alloc * 2 : 4;
		job->done_ranges =
			talloc_realloc(job, job->done_ranges, struct range,
				       job->done_range_alloc);
		assert(job->done_ranges);
	}
	memmove(job->done_ranges + n + 1, job->done_ranges + n,
		(job->done_range_count - n) * sizeof(*job->done_ranges));
	job->done_range_count++;
	job->done_ranges[n] = (struct range){ first, end };
}

static void range_remove(struct job *job, uint32_t n)
{
	memmove(job->done_ranges + n, job->done_ranges + n + 1,
		(--job->done_range_count - n) * sizeof(*job->done_ranges));
}

/* Adds occurrences that are in no range; joins adjacent ranges. */
static void add_done(struct job *job, uint32_t first, uint32_t end)
{
	uint32_t n = range_place(job, first);
	bool joins_next =
		n < job->done_range_count && job->done_ranges[n].first == end;
	bool joins_last = n > 0 && job->done_ranges[n - 1].end == first;

	if (joins_last && joins_next) {
		job->done_ranges[n - 1].end = job->done_ranges[n].end;
		range_remove(job, n);
	} else if (joins_last) {
		job->done_ranges[n - 1].end = end;
	} else if (joins_next) {
		job->done_ranges[n].first = first;
	} else {
		range_insert(job, n, first, end);
	}
}

bool occurrence_is_recorded(const struct job *job, uint32_t k)
{
	return range_of(job, k) != NULL;
}

/* Open occurrences */

struct occurrence *occurrence_find(const struct job *job, uint32_t k)
{
	struct occurrence *o;

	HASH_FIND(hh, job->occurrences, &k, sizeof(k), o);
	return o;
}

uint32_t occurrence_window(const struct sched *s, const Fleet__JobRow *row)
{
	uint32_t max = s->options.open_max ? s->options.open_max : OPEN_MAX;
	uint64_t window = JOB_TASKS_MAX / job_tasks(row);
	uint64_t fit = s->options.row_bytes / 2 / job_progress_bytes(row);

	if (s->options.row_bytes && window > fit)
		window = fit;
	if (window > max)
		return max;
	return window ? (uint32_t)window : 1;
}

/* Marks the tasks of an occurrence that is done according to the store. */
static void mark_done(const struct job *job, struct occurrence *o)
{
	size_t i;
	uint32_t t;

	o->recorded = o->due = true;
	o->steps_left = 0;
	for (i = 0; i < job->row->n_steps; i++) {
		o->steps[i].tasks_left = 0;
		for (t = 0; t < o->steps[i].spec->count; t++)
			o->steps[i].tasks[t].done = true;
	}
}

/*
 * Until the instances of a loaded job's pool have reported, a former leader may
 * have started any task of it, also of an occurrence that was not due by this
 * leader's clock or that became due after the former leader's last write.
 */
static void build_step(struct job *job, struct step *step)
{
	uint32_t t;

	step->tasks_left = step->spec->count;
	step->tasks =
		talloc_zero_array(step->in, struct task, step->spec->count);
	assert(step->tasks);
	for (t = 0; t < step->spec->count; t++) {
		step->tasks[t].step = step;
		step->tasks[t].index = t;
		task_set_possibly_running(&step->tasks[t], job->loaded);
	}
}

struct occurrence *occurrence_build(struct job *job, uint32_t k)
{
	struct occurrence *o = occurrence_find(job, k);
	size_t i;

	if (o)
		return o;
	o = talloc_zero(job, struct occurrence);
	assert(o);
	o->index = k;
	o->steps_left = (uint32_t)job->row->n_steps;
	o->steps = talloc_zero_array(o, struct step, job->row->n_steps);
	assert(o->steps);
	for (i = 0; i < job->row->n_steps; i++) {
		struct step *step = &o->steps[i];

		step->job = job;
		step->in = o;
		step->spec = job->row->steps[i];
		step->index = (uint32_t)i;
		build_step(job, step);
	}
	if (occurrence_is_recorded(job, k)) {
		mark_done(job, o);
		job->recorded_count++;
	}
	HASH_ADD(hh, job->occurrences, index, sizeof(o->index), o);
	return o;
}

static bool step_is_unblocked(const struct step *step)
{
	size_t i;

	if (!step->in->due)
		return false;
	for (i = 0; i < step->spec->n_after; i++)
		if (step->in->steps[step->spec->after[i]].tasks_left)
			return false;
	return true;
}

void occurrence_refresh(struct occurrence *o)
{
	const struct job *job = o->steps[0].job;
	size_t i;

	for (i = 0; i < job->row->n_steps; i++) {
		struct step *step = &o->steps[i];

		if (step->ready || !step_is_unblocked(step))
			continue;
		step->ready = true;
		step_refresh(step);
	}
}

struct occurrence *occurrence_begin(struct job *job, uint32_t k, uint64_t now)
{
	struct occurrence *o = occurrence_build(job, k);

	if (!o->due) {
		o->due = true;
		o->due_ms = now;
		job->open_count++;
	}
	occurrence_refresh(o);
	return o;
}

static uint64_t due_unix_ms(const struct job *job, uint32_t k)
{
	return job->row->first_due_unix_ms + k * job->row->interval_ms;
}

void job_begin_due(struct sched *s, struct job *job, uint64_t now)
{
	while (job->open_count < job->window && job->next_due < job->times) {
		const struct range *done = range_of(job, job->next_due);

		if (done) {
			job->next_due = done->end;
			continue;
		}
		if (due_unix_ms(job, job->next_due) > s->unix_ms)
			return;
		occurrence_begin(job, job->next_due, now);
		job->next_due++;
	}
}

/* Ends */

static bool occurrence_has_runs(const struct job *job,
				const struct occurrence *o)
{
	size_t i;
	uint32_t t;

	for (i = 0; i < job->row->n_steps; i++)
		for (t = 0; t < job->row->steps[i]->count; t++)
			if (o->steps[i].tasks[t].runs ||
			    o->steps[i].tasks[t].possibly_running)
				return true;
	return false;
}

bool job_occurrences_have_runs(const struct job *job)
{
	const struct occurrence *o;

	for (o = job->occurrences; o; o = o->hh.next)
		if (occurrence_has_runs(job, o))
			return true;
	return false;
}

static void occurrence_record(struct job *job, struct occurrence *o)
{
	o->recorded = true;
	job->recorded_count++;
	if (o->due)
		job->open_count--;
	add_done(job, o->index, o->index + 1);
}

void occurrences_loaded(struct job *job)
{
	struct occurrence *o;

	for (o = job->occurrences; o; o = o->hh.next)
		if (!o->recorded && !o->steps_left && job->row->times)
			occurrence_record(job, o);
}

void occurrences_loaded_done(struct job *job, uint32_t first, uint32_t end)
{
	uint32_t n = range_place(job, first);

	if (first >= end || end > job->times ||
	    (n < job->done_range_count && job->done_ranges[n].first < end))
		return; /* not a row of ours */
	add_done(job, first, end);
	job->occurrences_left -= end - first;
}

void occurrences_written(struct job *job, bool written)
{
	struct occurrence *o;

	for (o = job->occurrences; o; o = o->hh.next) {
		if (written && o->in_row && !o->recorded)
			occurrence_record(job, o);
		o->in_row = false;
	}
	occurrences_forget(job);
}

void occurrences_forget(struct job *job)
{
	struct occurrence *o, *next;

	/* An unreported run of it would build it again. */
	if (!job->recorded_count || job->loaded)
		return;
	for (o = job->occurrences; o; o = next) {
		next = o->hh.next;
		if (!o->recorded || occurrence_has_runs(job, o))
			continue;
		job->recorded_count--;
		HASH_DEL(job->occurrences, o);
		talloc_free(o);
	}
}

void occurrences_free(struct job *job)
{
	struct occurrence *o, *next;

	for (o = job->occurrences; o; o = next) {
		next = o->hh.next;
		HASH_DEL(job->occurrences, o);
		talloc_free(o);
	}
	TALLOC_FREE(job->done_ranges);
	job->done_range_count = job->done_range_alloc = 0;
	job->open_count = job->recorded_count = 0;
}
