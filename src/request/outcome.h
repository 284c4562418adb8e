/*
 * outcome - the outcome of a request as reported to its caller
 *
 * "not-run" guarantees that the request has not run and will not; only
 * outcome_of decides this. Without a complete answer from the worker, every
 * other outcome is "unknown".
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include "request/job.h"

enum outcome {
	OUTCOME_ANSWERED, /* complete answer from the worker */
	OUTCOME_NOT_RUN,  /* has not run and will not */
	OUTCOME_UNKNOWN,  /* may have run, or may still run */
};

/* How the core finished a job. */
struct outcome_input {
	bool refused; /* `refusal` is valid, otherwise `result` */
	enum job_refusal refusal;
	enum job_result result;
	bool may_have_run; /* in an earlier attempt */
	bool timed_out;	   /* in the last attempt */
};

struct outcome_answer {
	enum outcome outcome;
	unsigned int code;  /* HTTP status, 0 to use the worker's */
	const char *reason; /* for the body, NULL to use the worker's */
};

/* outcome_of - the answer for the caller */
struct outcome_answer outcome_of(const struct outcome_input *input);

/* outcome_name - value of the Jackdawwell-Outcome header */
const char *outcome_name(enum outcome outcome);

/* outcome_refusal_name - a refusal's name in metric labels */
const char *outcome_refusal_name(enum job_refusal refusal);

#endif
