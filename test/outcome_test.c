/*
 * Every end of a job that proves the outcome "not-run", and every end that must
 * not lead to it: a caller repeats such a request, which could then run twice.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "request/outcome.h"

struct row {
	const char *name;
	struct outcome_input input;
	enum outcome outcome;
	unsigned int code;
};

#define REFUSED(why)                              \
	{                                         \
		.refused = true, .refusal = (why) \
	}
#define RESULT(r)             \
	{                     \
		.result = (r) \
	}

static const struct row rows[] = {
	/* Refused and never sent */
	{ "wait expired", REFUSED(JOB_REFUSED_WAIT), OUTCOME_NOT_RUN, 503 },
	{ "early", REFUSED(JOB_REFUSED_EARLY), OUTCOME_NOT_RUN, 503 },
	{ "full", REFUSED(JOB_REFUSED_FULL), OUTCOME_NOT_RUN, 503 },
	{ "key", REFUSED(JOB_REFUSED_KEY), OUTCOME_NOT_RUN, 401 },
	{ "queue", REFUSED(JOB_REFUSED_QUEUE), OUTCOME_NOT_RUN, 404 },
	{ "stopping", REFUSED(JOB_REFUSED_STOPPING), OUTCOME_NOT_RUN, 503 },
	{ "unreached", REFUSED(JOB_REFUSED_UNREACHED), OUTCOME_NOT_RUN, 503 },
	{ "hung up", REFUSED(JOB_REFUSED_HUNG_UP), OUTCOME_NOT_RUN, 499 },
	/* Attempts that prove that it has not run */
	{ "not sent", RESULT(JOB_NOT_SENT), OUTCOME_NOT_RUN, 503 },
	{ "worker refused", RESULT(JOB_NOT_RUN), OUTCOME_NOT_RUN, 503 },
	/* Complete answers */
	{ "answer", RESULT(JOB_ENDED), OUTCOME_ANSWERED, 0 },
	{ "answer with a failure", RESULT(JOB_FAILED), OUTCOME_ANSWERED, 0 },
	{ "answer after an unknown attempt",
	  { .result = JOB_ENDED, .may_have_run = true },
	  OUTCOME_ANSWERED,
	  0 },
	/* Nothing proves that it has not run */
	{ "incomplete answer", RESULT(JOB_POSSIBLY_RUNNING), OUTCOME_UNKNOWN,
	  502 },
	{ "timed out",
	  { .result = JOB_POSSIBLY_RUNNING, .timed_out = true },
	  OUTCOME_UNKNOWN,
	  504 },
	{ "refused after an unknown attempt",
	  { .refused = true,
	    .refusal = JOB_REFUSED_UNREACHED,
	    .may_have_run = true },
	  OUTCOME_UNKNOWN,
	  502 },
	{ "not sent after an unknown attempt",
	  { .result = JOB_NOT_SENT, .may_have_run = true },
	  OUTCOME_UNKNOWN,
	  502 },
};

static void test_rows(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct outcome_answer a = outcome_of(&rows[i].input);

		if (a.outcome != rows[i].outcome || a.code != rows[i].code)
			fail_msg("%s: outcome %d code %u", rows[i].name,
				 a.outcome, a.code);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rows),
	};

	return cmocka_run_group_tests_name("outcome", tests, NULL, NULL);
}
