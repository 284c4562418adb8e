/*
 * Progress rows: their size, and what a successor of either release reads.
 */
#include "pool/sched_internal.h"
#include "test/rig/sched_rig.h"

#define TIMES 100000u
#define OCCURRENCES 1500u

static struct rig row_rig(uint32_t row_bytes)
{
	struct sched_options options = { .lease_ms = LEASE_MS,
					 .lease_max_ms = 10000,
					 .end_keep_ms = 120000,
					 .row_bytes = row_bytes };
	struct rig r;

	rig_new(&r);
	talloc_free(r.s);
	r.s = sched_new(NULL, &options);
	sched_set_clock(r.s, r.now);
	return r;
}

static Fleet__JobRow *repeated_row(uint32_t tasks, uint32_t steps)
{
	Fleet__JobRow *row = job_row(tasks, steps, false);
	uint32_t i;

	for (i = 0; i < steps; i++) {
		row->steps[i]->n_after = 0;
		free(row->steps[i]->after);
		row->steps[i]->after = NULL;
	}
	row->times = TIMES;
	return row;
}

static struct job *load(struct rig *r, uint32_t tasks, uint32_t steps,
			const Fleet__ProgressRow *progress)
{
	struct job *job;

	sched_load_job(r->s, id_a, repeated_row(tasks, steps), progress,
		       r->now);
	job = sched_job(r->s, id_a);
	assert_non_null(job);
	return job;
}

static void finish(struct rig *r, struct job *job, uint32_t k)
{
	struct occurrence *o = occurrence_find(job, k);
	uint32_t i, t;

	for (i = 0; i < job->row->n_steps; i++)
		for (t = 0; t < job->row->steps[i]->count; t++)
			task_done(r->s, &o->steps[i].tasks[t], r->now);
}

/* As the store keeps it. */
static Fleet__ProgressRow *write_row(struct rig *r, struct job *job,
				     size_t *bytes)
{
	struct sched_change change;
	Fleet__ProgressRow *row = NULL;

	while (sched_next_change(r->s, 1, &change))
		if (change.progress)
			row = change.progress;
	assert_non_null(row);
	*bytes = fleet__progress_row__get_packed_size(row);
	sched_batch_done(r->s, 1, true, r->now);
	job_begin_due(r->s, job, r->now);
	return row;
}

/* Every other occurrence stays open, with a part of its tasks done. */
static void test_worst_pattern(void **state)
{
	static const struct {
		uint32_t row_bytes, tasks, steps;
	} cases[] = {
		{ 65536, 1, 1 },     { 65536, 1, 5 },	  { 65536, 9, 100 },
		{ 65536, 20, 1000 }, { 65536, 10000, 1 }, { 4096, 1, 5 },
		{ 4096, 100, 2 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct rig r = row_rig(cases[c].row_bytes);
		struct job *job =
			load(&r, cases[c].tasks, cases[c].steps, NULL);
		uint32_t k, i, n;

		print_message("%u bytes, %u tasks, %u steps: %u open\n",
			      cases[c].row_bytes, cases[c].tasks,
			      cases[c].steps, job->window);
		sched_set_ranges(r.s, true);
		for (k = 0; k < OCCURRENCES; k++) {
			struct occurrence *o = occurrence_find(job, k);
			Fleet__ProgressRow *row;
			size_t bytes;

			if (!o)
				break; /* the window is full of open ones */
			for (i = 0; i < cases[c].steps; i++)
				for (n = 0; n < 3; n++)
					task_failed(r.s, &o->steps[i].tasks[0],
						    50000 * n + k, r.now);
			if (k % 2)
				finish(&r, job, k);
			else
				for (i = 0; i < cases[c].steps; i++)
					if (cases[c].tasks > 1)
						task_done(r.s,
							  &o->steps[i].tasks[1],
							  r.now);
			row = write_row(&r, job, &bytes);
			row_progress_free(row);
			assert_in_range(bytes, 1, cases[c].row_bytes);
		}
		assert_true(k >= job->window);
		talloc_free(r.s);
	}
}

/* Whether a reader of the first form finds the occurrence done. */
static bool listed_as_done(const Fleet__ProgressRow *row, uint32_t k,
			   uint32_t steps)
{
	uint32_t found = 0;
	size_t n;

	for (n = 0; n < row->n_steps; n++)
		found += row->steps[n]->occurrence == k &&
			 row->steps[n]->done.data[0] == 1;
	return found == steps;
}

/* A node of the earlier release may become the leader and read the row. */
static void test_form_of_earlier_release(void **state)
{
	struct rig r = row_rig(65536);
	struct job *job = load(&r, 1, 2, NULL);
	Fleet__ProgressRow *row = NULL;
	size_t bytes;
	uint32_t k;

	(void)state;
	for (k = 0; k < 300; k++) {
		finish(&r, job, k);
		row_progress_free(row);
		row = write_row(&r, job, &bytes);
	}
	assert_int_equal(row->n_done, 0);
	for (k = 0; k < 300; k++)
		assert_true(listed_as_done(row, k, 2));
	row_progress_free(row);
	/* It grows until half of what the store takes, and not beyond. */
	for (; k < 1500; k++) {
		finish(&r, job, k);
		row = write_row(&r, job, &bytes);
		row_progress_free(row);
		assert_in_range(bytes, 1, 65536);
	}
	talloc_free(r.s);
}

/* A successor finds the same, whichever form it reads. */
static void test_successor(void **state)
{
	static const bool forms[] = { false, true };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(forms) / sizeof(forms[0]); c++) {
		struct rig r = row_rig(65536), next = row_rig(65536);
		struct job *job = load(&r, 2, 2, NULL);
		Fleet__ProgressRow *row;
		struct occurrence *o;
		size_t bytes;
		uint32_t k;

		print_message("%s\n", forms[c] ? "ranges" : "steps only");
		sched_set_ranges(r.s, forms[c]);
		for (k = 0; k < 40; k++)
			if (k % 10 != 5)
				finish(&r, job, k);
		o = occurrence_find(job, 15);
		task_done(r.s, &o->steps[1].tasks[0], r.now);
		row = write_row(&r, job, &bytes);
		job = load(&next, 2, 2, row);
		row_progress_free(row);
		assert_int_equal(job->occurrences_left, TIMES - 36);
		for (k = 0; k < 40; k++)
			assert_int_equal(occurrence_is_recorded(job, k),
					 k % 10 != 5);
		o = occurrence_find(job, 15);
		assert_true(o->steps[1].tasks[0].done);
		assert_false(o->steps[1].tasks[1].done);
		assert_false(o->steps[0].tasks[0].done);
		assert_non_null(occurrence_find(job, 40));
		talloc_free(r.s);
		talloc_free(next.s);
	}
}

/* Ranges that no node has written are passed over. */
static void test_malformed_ranges(void **state)
{
	static const struct {
		const char *name;
		uint32_t numbers[6];
		size_t count;
		uint32_t left;
	} cases[] = {
		{ "odd", { 0, 5, 9 }, 3, TIMES - 5 },
		{ "beyond the last", { TIMES - 2, 3 }, 2, TIMES },
		{ "wraps", { UINT32_MAX, 2 }, 2, TIMES },
		{ "empty", { 3, 0 }, 2, TIMES },
		{ "twice", { 0, 5, 2, 5 }, 4, TIMES - 5 },
		{ "all", { 0, TIMES - 1 }, 2, 1 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		Fleet__ProgressRow row = FLEET__PROGRESS_ROW__INIT;
		uint32_t numbers[6];
		struct rig r = row_rig(65536);

		print_message("%s\n", cases[c].name);
		memcpy(numbers, cases[c].numbers, sizeof(numbers));
		row.done = numbers;
		row.n_done = cases[c].count;
		assert_int_equal(load(&r, 1, 1, &row)->occurrences_left,
				 cases[c].left);
		talloc_free(r.s);
	}
}

/* A job whose rows the store would refuse is refused to its caller. */
static void test_job_too_large(void **state)
{
	static const struct {
		uint32_t steps;
		size_t image; /* length of each step's image */
		enum sched_submit result;
	} cases[] = {
		{ 100, 10, SUBMIT_ACCEPTED },
		{ 700, 80, SUBMIT_INVALID },
		{ 1, 65536, SUBMIT_INVALID },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct rig r = row_rig(65536);
		Fleet__JobRow *row = job_row(1, cases[c].steps, false);
		uint32_t i, after;

		for (i = 0; i < cases[c].steps; i++) {
			free(row->steps[i]->image);
			row->steps[i]->image = calloc(1, cases[c].image + 1);
			memset(row->steps[i]->image, 'i', cases[c].image);
		}
		assert_int_equal(
			sched_submit(r.s, id_a, row, r.now, r.now, &after),
			cases[c].result);
		talloc_free(r.s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_worst_pattern),
		cmocka_unit_test(test_form_of_earlier_release),
		cmocka_unit_test(test_successor),
		cmocka_unit_test(test_malformed_ranges),
		cmocka_unit_test(test_job_too_large),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
