/*
 * job_check - whether a job's row is one that every node can hold
 *
 * Checked before a job is recorded, by whoever records it, and before a loaded
 * row is used. A row that fails is never interpreted further.
 */
#ifndef JOB_CHECK_H
#define JOB_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "proto/fleet.pb-c.h"

#define JOB_STEPS_MAX 1000u
#define JOB_STEP_TASKS_MAX 10000u
#define JOB_TASKS_MAX 20000u  /* of all steps of one occurrence */
#define JOB_PAYLOAD_MAX 4000u /* bytes */
/* ms since 1970 of the last occurrence: a double holds it exactly */
#define JOB_DUE_MAX ((uint64_t)1 << 53)

enum job_problem {
	JOB_FINE,
	JOB_STEPS,	/* their number */
	JOB_STEP_TASKS, /* of one step */
	JOB_TASKS,
	JOB_AFTER, /* a step waits for one that isn't before it */
	JOB_PAYLOAD,
	JOB_DUE, /* the last occurrence is too far ahead */
	JOB_ROW_BYTES,
	JOB_PROGRESS_BYTES, /* of one occurrence */
	JOB_PROBLEMS
};

/* The value that is out of bounds, and the bound. */
struct job_verdict {
	enum job_problem problem;
	uint64_t value;
	uint64_t bound;
};

/* job_check - false, and the first problem, if the job must not be stored */
bool job_check(const Fleet__JobRow *row, struct job_verdict *verdict);

/*
 * job_check_size - same, if a row of the store holds more than row_max bytes of
 * the job, or if half of one doesn't hold the progress of an occurrence
 *
 * Called after job_check, once all fields of the row are set.
 */
bool job_check_size(const Fleet__JobRow *row, uint32_t row_max,
		    struct job_verdict *verdict);

/*
 * job_progress_bytes - of one open occurrence in a ProgressRow, at most,
 * without failed runs
 */
uint64_t job_progress_bytes(const Fleet__JobRow *row);

/* job_problem_name - for the log */
const char *job_problem_name(enum job_problem problem);

/* job_tasks - tasks of one occurrence; for a row that passed job_check */
uint32_t job_tasks(const Fleet__JobRow *row);

#endif
