/*
 * sched_row - progress rows of jobs, to and from the store
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "pool/sched_internal.h"

/* Tasks of open occurrences of a job; an earlier release opened all due ones */
#define OPEN_TASKS_MAX 200000u

/* Bytes of a failed run in a row: index of the task, number */
#define FAILED_BYTES 8u

/* Rows are allocated with malloc(3), as protobuf-c frees them. */

static bool step_has_progress(const struct step *step)
{
	return step->failed_count ||
	       (step->tasks_left < step->spec->count && !step->spec->lasting);
}

static Fleet__StepProgress *progress_new(uint32_t occurrence, uint32_t step,
					 uint32_t tasks)
{
	Fleet__StepProgress *p = malloc(sizeof(*p));

	assert(p);
	fleet__step_progress__init(p);
	p->occurrence = occurrence;
	p->step = step;
	p->done.len = (tasks + 7) / 8;
	p->done.data = calloc(1, p->done.len);
	assert(p->done.data);
	return p;
}

static void progress_set_done(Fleet__StepProgress *p, uint32_t task)
{
	p->done.data[task / 8] |= (uint8_t)(1u << task % 8);
}

/* A row that is being filled. */
struct writer {
	Fleet__ProgressRow *row;
	uint32_t failed_left; /* failed runs that it has room for */
	uint32_t failed_dropped;
};

/*
 * Adds the failed runs of tasks that aren't done. If there are too many, the
 * oldest are left out: a new leader then allows the task as many more.
 */
static void add_failed(struct writer *w, Fleet__StepProgress *p,
		       const struct step *step)
{
	uint32_t n;

	if (!step->failed_count)
		return;
	p->failed = malloc(2 * step->failed_count * sizeof(*p->failed));
	assert(p->failed);
	for (n = step->failed_count; n-- > 0;) {
		if (step->tasks[step->failed[2 * n]].done)
			continue;
		if (!w->failed_left) {
			w->failed_dropped++;
			continue;
		}
		w->failed_left--;
		p->failed[p->n_failed++] = step->failed[2 * n];
		p->failed[p->n_failed++] = step->failed[2 * n + 1];
	}
}

static void add_step(struct writer *w, const struct step *step)
{
	Fleet__StepProgress *p =
		progress_new(step->in->index, step->index, step->spec->count);
	uint32_t t;

	for (t = 0; t < step->spec->count; t++)
		if (step->tasks[t].done)
			progress_set_done(p, t);
	add_failed(w, p, step);
	w->row->steps[w->row->n_steps++] = p;
}

/* Adds all steps of an occurrence that is done. */
static void add_done_steps(struct writer *w, const struct job *job, uint32_t k)
{
	uint32_t i, t;

	for (i = 0; i < job->row->n_steps; i++) {
		uint32_t tasks = job->row->steps[i]->count;
		Fleet__StepProgress *p = progress_new(k, i, tasks);

		for (t = 0; t < tasks; t++)
			progress_set_done(p, t);
		w->row->steps[w->row->n_steps++] = p;
	}
}

/* Occurrences of a repeated job that are done, also those not recorded yet. */
static uint64_t done_count(const struct job *job)
{
	return job->row->times ? job->times - job->occurrences_left : 0;
}

static bool is_done(const struct job *job, const struct occurrence *o)
{
	return job->row->times && !o->steps_left;
}

static int by_first(const void *a, const void *b)
{
	const struct range *x = a;
	const struct range *y = b;

	return x->first < y->first ? -1 : x->first > y->first;
}

/* Lists the ranges of occurrences that are done; returns how many. */
static uint32_t list_done(const struct job *job, struct range **list)
{
	uint32_t max = job->done_range_count + HASH_COUNT(job->occurrences);
	uint32_t count = job->done_range_count;
	const struct occurrence *o;
	uint32_t n, kept = 0;

	*list = talloc_array(NULL, struct range, max + 1);
	assert(*list);
	if (count)
		memcpy(*list, job->done_ranges, count * sizeof(**list));
	for (o = job->occurrences; o; o = o->hh.next)
		if (is_done(job, o) && !o->recorded)
			(*list)[count++] =
				(struct range){ o->index, o->index + 1 };
	qsort(*list, count, sizeof(**list), by_first);
	for (n = 0; n < count; n++) {
		if (kept && (*list)[kept - 1].end == (*list)[n].first)
			(*list)[kept - 1].end = (*list)[n].end;
		else
			(*list)[kept++] = (*list)[n];
	}
	return kept;
}

static void add_ranges(struct writer *w, const struct job *job)
{
	struct range *list;
	uint32_t count = list_done(job, &list);
	uint32_t n;

	w->row->done = calloc(2 * count + 1, sizeof(*w->row->done));
	assert(w->row->done);
	for (n = 0; n < count; n++) {
		w->row->done[w->row->n_done++] = list[n].first;
		w->row->done[w->row->n_done++] = list[n].end - list[n].first;
	}
	talloc_free(list);
}

/* In the form that an earlier release reads. */
static void add_done_occurrences(struct writer *w, const struct job *job)
{
	struct range *list;
	uint32_t count = list_done(job, &list);
	uint32_t n, k;

	for (n = 0; n < count; n++)
		for (k = list[n].first; k < list[n].end; k++)
			add_done_steps(w, job, k);
	talloc_free(list);
}

/*
 * Whether done occurrences are written as ranges. Without them, a row grows
 * with each occurrence; one that an earlier release could read and that the
 * store refuses is of no use.
 */
static bool writes_ranges(const struct sched *s, const struct job *job)
{
	return s->ranges || (s->options.row_bytes &&
			     done_count(job) * job_progress_bytes(job->row) >
				     s->options.row_bytes / 2);
}

static size_t count_steps(const struct job *job)
{
	const struct occurrence *o;
	size_t count = 0;
	size_t i;

	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; !is_done(job, o) && i < job->row->n_steps; i++)
			count += step_has_progress(&o->steps[i]);
	return count;
}

static void add_open(struct writer *w, const struct job *job)
{
	struct occurrence *o;
	size_t i;

	for (o = job->occurrences; o; o = o->hh.next) {
		o->in_row = is_done(job, o);
		for (i = 0; !o->in_row && i < job->row->n_steps; i++)
			if (step_has_progress(&o->steps[i]))
				add_step(w, &o->steps[i]);
	}
}

Fleet__ProgressRow *row_progress(struct sched *s, const struct job *job)
{
	const bool ranges = writes_ranges(s, job);
	const size_t done = (size_t)done_count(job);
	const size_t steps =
		count_steps(job) + (ranges ? 0 : done * job->row->n_steps);
	struct writer w = { .failed_left = UINT32_MAX };

	if (!steps && !done)
		return NULL;
	if (s->options.row_bytes)
		w.failed_left = s->options.row_bytes / 2 / FAILED_BYTES;
	w.row = malloc(sizeof(*w.row));
	assert(w.row);
	fleet__progress_row__init(w.row);
	w.row->steps = calloc(steps + 1, sizeof(*w.row->steps));
	assert(w.row->steps);
	if (done && ranges)
		add_ranges(&w, job);
	else if (done)
		add_done_occurrences(&w, job);
	add_open(&w, job);
	if (w.failed_dropped)
		sched_trace(s, "failures-dropped", job->id, "\"runs\":%u",
			    w.failed_dropped);
	return w.row;
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
		occurrences_loaded_done(job, k, k + 1);
		return;
	}
	o = occurrence_begin(job, k, job->accepted_ms);
	for (i = first; i < first + count; i++)
		if (row->steps[i]->step < job->row->n_steps)
			apply_step(s, &o->steps[row->steps[i]->step],
				   row->steps[i]);
}

/* Frees what was built of a job that is set aside; it has no runs yet. */
static void discard_occurrences(struct job *job)
{
	struct occurrence *o;
	size_t i;

	for (o = job->occurrences; o; o = o->hh.next)
		for (i = 0; i < job->row->n_steps; i++)
			step_clear_possibly_running(&o->steps[i]);
	occurrences_free(job);
}

static void apply_ranges(struct job *job, const Fleet__ProgressRow *row)
{
	size_t n;

	for (n = 0; n + 1 < row->n_done; n += 2)
		if (row->done[n + 1] <= job->times &&
		    row->done[n] <= job->times - row->done[n + 1])
			occurrences_loaded_done(job, row->done[n],
						row->done[n] +
							row->done[n + 1]);
	if (row->n_done)
		job_set_started(job);
}

/* Entries of one occurrence follow one another. */
static void apply_progress(struct sched *s, struct job *job,
			   const Fleet__ProgressRow *row)
{
	const uint32_t tasks = job_tasks(job->row);
	size_t first, end;

	if (job->row->times)
		apply_ranges(job, row);
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
			discard_occurrences(job);
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
