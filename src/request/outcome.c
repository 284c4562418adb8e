#include "request/outcome.h"

#include <stddef.h>

struct refusal {
	const char *name;
	unsigned int code;
	const char *reason;
};

static const struct refusal refusals[] = {
	[JOB_REFUSED_WAIT] = { "wait", 503, "could not start in time" },
	[JOB_REFUSED_EARLY] = { "early", 503, "would not start in time" },
	[JOB_REFUSED_FULL] = { "full", 503, "too many requests wait" },
	[JOB_REFUSED_KEY] = { "key", 401, "the key was withdrawn" },
	[JOB_REFUSED_QUEUE] = { "queue", 404, "the queue was removed" },
	[JOB_REFUSED_STOPPING] = { "stopping", 503, "the entry is stopping" },
	[JOB_REFUSED_UNREACHED] = { "unreached", 503,
				    "no worker took it in time" },
	[JOB_REFUSED_HUNG_UP] = { "hung_up", 499, "the caller hung up" },
};

static struct outcome_answer unknown_answer(const struct outcome_input *input)
{
	struct outcome_answer answer = { OUTCOME_UNKNOWN, 502,
					 "no whole answer from the worker" };

	if (!input->refused && input->timed_out) {
		answer.code = 504;
		answer.reason = "no answer from the worker in time";
	}
	return answer;
}

struct outcome_answer outcome_of(const struct outcome_input *input)
{
	struct outcome_answer answered = { OUTCOME_ANSWERED, 0, NULL };
	struct outcome_answer not_run = { OUTCOME_NOT_RUN, 503,
					  "no worker could be reached" };

	if (!input->refused &&
	    (input->result == JOB_ENDED || input->result == JOB_FAILED))
		return answered;
	if (input->may_have_run ||
	    (!input->refused && input->result == JOB_POSSIBLY_RUNNING))
		return unknown_answer(input);
	if (input->refused) {
		not_run.code = refusals[input->refusal].code;
		not_run.reason = refusals[input->refusal].reason;
	}
	return not_run;
}

const char *outcome_name(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_ANSWERED:
		return "answered";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

const char *outcome_refusal_name(enum job_refusal refusal)
{
	return refusals[refusal].name;
}
