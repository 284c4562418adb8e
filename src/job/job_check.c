#include "job/job_check.h"

#include <string.h>

/*
 * Of a StepProgress without its bits: its tag and length, and those of three
 * fields, of which two are numbers. Of the range before an occurrence.
 */
#define STEP_BYTES 20u
#define RANGE_BYTES 10u
#define ACCEPTED_BYTES 11u /* the time of acceptance, which is set later */

static bool refuse(struct job_verdict *verdict, enum job_problem problem,
		   uint64_t value, uint64_t bound)
{
	*verdict = (struct job_verdict){ problem, value, bound };
	return false;
}

static bool check_step(const Fleet__Step *step, size_t index,
		       struct job_verdict *verdict)
{
	size_t i;

	if (!step->count || step->count > JOB_STEP_TASKS_MAX)
		return refuse(verdict, JOB_STEP_TASKS, step->count,
			      JOB_STEP_TASKS_MAX);
	for (i = 0; i < step->n_after; i++)
		if (step->after[i] >= index)
			return refuse(verdict, JOB_AFTER, step->after[i],
				      index);
	return true;
}

/* Saturates instead of wrapping around. */
static uint64_t last_due_ms(const Fleet__JobRow *row)
{
	uint64_t times = row->times ? row->times - 1 : 0;

	if (times && row->interval_ms > JOB_DUE_MAX / times)
		return UINT64_MAX;
	if (row->first_due_unix_ms > JOB_DUE_MAX)
		return row->first_due_unix_ms;
	return row->first_due_unix_ms + times * row->interval_ms;
}

bool job_check(const Fleet__JobRow *row, struct job_verdict *verdict)
{
	uint64_t tasks = 0;
	size_t i;

	memset(verdict, 0, sizeof(*verdict));
	if (!row->n_steps || row->n_steps > JOB_STEPS_MAX)
		return refuse(verdict, JOB_STEPS, row->n_steps, JOB_STEPS_MAX);
	for (i = 0; i < row->n_steps; i++) {
		if (!check_step(row->steps[i], i, verdict))
			return false;
		tasks += row->steps[i]->count;
	}
	if (tasks > JOB_TASKS_MAX)
		return refuse(verdict, JOB_TASKS, tasks, JOB_TASKS_MAX);
	if (strlen(row->payload) > JOB_PAYLOAD_MAX)
		return refuse(verdict, JOB_PAYLOAD, strlen(row->payload),
			      JOB_PAYLOAD_MAX);
	if (last_due_ms(row) > JOB_DUE_MAX)
		return refuse(verdict, JOB_DUE, last_due_ms(row), JOB_DUE_MAX);
	return true;
}

bool job_check_size(const Fleet__JobRow *row, uint32_t row_max,
		    struct job_verdict *verdict)
{
	size_t bytes = fleet__job_row__get_packed_size(row) + ACCEPTED_BYTES;

	memset(verdict, 0, sizeof(*verdict));
	if (bytes > row_max)
		return refuse(verdict, JOB_ROW_BYTES, bytes, row_max);
	if (job_progress_bytes(row) > row_max / 2)
		return refuse(verdict, JOB_PROGRESS_BYTES,
			      job_progress_bytes(row), row_max / 2);
	return true;
}

uint64_t job_progress_bytes(const Fleet__JobRow *row)
{
	uint64_t bytes = RANGE_BYTES;
	size_t i;

	for (i = 0; i < row->n_steps; i++)
		bytes += STEP_BYTES + (row->steps[i]->count + 7) / 8;
	return bytes;
}

const char *job_problem_name(enum job_problem problem)
{
	static const char *const names[JOB_PROBLEMS] = {
		[JOB_FINE] = "none",
		[JOB_STEPS] = "number of steps",
		[JOB_STEP_TASKS] = "tasks of a step",
		[JOB_TASKS] = "tasks of an occurrence",
		[JOB_AFTER] = "after names no earlier step",
		[JOB_PAYLOAD] = "bytes of the payload",
		[JOB_DUE] = "time of the last occurrence",
		[JOB_ROW_BYTES] = "bytes of the job's row",
		[JOB_PROGRESS_BYTES] = "bytes of an occurrence's progress",
	};

	return names[problem];
}

uint32_t job_tasks(const Fleet__JobRow *row)
{
	uint32_t tasks = 0;
	size_t i;

	for (i = 0; i < row->n_steps; i++)
		tasks += row->steps[i]->count;
	return tasks;
}
