/*
 * retry - a team's retry budget, a token bucket
 *
 * Each request adds a fraction of a retry, up to a small maximum, so that
 * retries stay a fraction of the team's traffic and cannot amplify an overload.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_CREDIT_MILLI 100	     /* thousandths of a retry per request */
#define RETRY_BUDGET_MAX_MILLI 10000 /* thousandths of a retry */
#define RETRY_DELAY_MIN_MS 5
#define RETRY_DELAY_MAX_MS 50

struct retry_budget {
	uint32_t milli; /* thousandths of a retry */
};

/* retry_credit - add the credit of one request */
static inline void retry_credit(struct retry_budget *b)
{
	b->milli += RETRY_CREDIT_MILLI;
	if (b->milli > RETRY_BUDGET_MAX_MILLI)
		b->milli = RETRY_BUDGET_MAX_MILLI;
}

/* retry_consume - take one retry; false if the budget is exhausted */
static inline bool retry_consume(struct retry_budget *b)
{
	if (b->milli < 1000)
		return false;
	b->milli -= 1000;
	return true;
}

/* retry_delay_ms - a delay within the bounds, from any random number */
static inline uint32_t retry_delay_ms(uint32_t random)
{
	return RETRY_DELAY_MIN_MS +
	       random % (RETRY_DELAY_MAX_MS - RETRY_DELAY_MIN_MS + 1);
}

#endif
