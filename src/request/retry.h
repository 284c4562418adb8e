/*
 * retry - a team's budget of retries
 *
 * Each request earns a fraction of a retry, up to a small store, so that
 * retries stay a fraction of the team's traffic and cannot feed an overload.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_EARNED_MILLI 100 /* thousandths of a retry a request earns */
#define RETRY_STORE_MILLI 10000
#define RETRY_DELAY_MIN_MS 5
#define RETRY_DELAY_MAX_MS 50

struct retry_budget {
	uint32_t milli;
};

/* retry_credit - count a request */
static inline void retry_credit(struct retry_budget *b)
{
	b->milli += RETRY_EARNED_MILLI;
	if (b->milli > RETRY_STORE_MILLI)
		b->milli = RETRY_STORE_MILLI;
}

/* retry_consume - take one retry; false when the budget is used up */
static inline bool retry_consume(struct retry_budget *b)
{
	if (b->milli < 1000)
		return false;
	b->milli -= 1000;
	return true;
}

/* retry_delay_ms - a random delay; random is any number */
static inline uint32_t retry_delay_ms(uint32_t random)
{
	return RETRY_DELAY_MIN_MS +
	       random % (RETRY_DELAY_MAX_MS - RETRY_DELAY_MIN_MS + 1);
}

#endif
