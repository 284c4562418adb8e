/*
 * outcome - what a caller is told
 *
 * "not run" is a promise, and outcome_of is the only place that makes it.
 * Everything else that is not a whole answer is unknown.
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include "request/job.h"

enum outcome {
	OUTCOME_ANSWERED, /* the worker's whole answer */
	OUTCOME_NOT_RUN,  /* it has not run and will not */
	OUTCOME_UNKNOWN,  /* it may have run, or may still run */
};

/* How a job's way through the core came to its end. */
struct outcome_input {
	bool refused; /* refusal holds, otherwise result */
	enum job_refusal refusal;
	enum job_result result;
	bool may_have_run; /* by an earlier attempt */
	bool timed_out;	   /* the last attempt */
};

struct outcome_answer {
	enum outcome outcome;
	unsigned int code;  /* HTTP status, 0 for the worker's own */
	const char *reason; /* for the body, NULL for the worker's own */
};

/* outcome_of - what to tell the caller */
struct outcome_answer outcome_of(const struct outcome_input *end);

/* outcome_name - the value of the Jackdawwell-Outcome header */
const char *outcome_name(enum outcome outcome);

/* outcome_refusal_name - a refusal as a metric's label */
const char *outcome_refusal_name(enum job_refusal refusal);

#endif
