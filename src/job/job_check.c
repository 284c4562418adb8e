#include "job/job_check.h"

#include <string.h>

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
