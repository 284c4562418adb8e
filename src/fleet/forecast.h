/*
 * forecast - predicts the work that arrives for each pool
 *
 * Designed for queues that by turns demand several times their mean for some
 * seconds: arrivals are counted in short intervals, a period between 2 and 30 s
 * is derived from them, and the work of the next seconds is taken from the same
 * phase of earlier periods. A forecast counts as far as it was better lately
 * than a constant rate: its trust is 0 without a pattern. Times are those of
 * the caller; memory and time of a pool are bounded.
 */
#ifndef FORECAST_H
#define FORECAST_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#define FORECAST_POOLS_MAX 256u

struct forecast;

/* forecast_new - a forecast without observations, owned by ctx */
struct forecast *forecast_new(TALLOC_CTX *ctx);

/*
 * forecast_observe - sets the work that has arrived for a pool so far
 *
 * In millicores x ms; it never falls. The first call for a pool sets the
 * starting point. Pools beyond FORECAST_POOLS_MAX are ignored.
 */
void forecast_observe(struct forecast *f, const char *pool, uint64_t work,
		      uint64_t now);

/* forecast_update - look for the period of the pool whose turn it is, if any */
void forecast_update(struct forecast *f, uint64_t now);

/*
 * forecast_work - work expected to arrive in an interval from now on
 *
 * In millicores x ms, not scaled by the trust. 0 without a period.
 */
double forecast_work(const struct forecast *f, const char *pool,
		     uint64_t from_ms, uint64_t to_ms);

/*
 * forecast_peak - highest rate expected over any second of an interval, in
 * millicores
 */
double forecast_peak(const struct forecast *f, const char *pool,
		     uint64_t from_ms, uint64_t to_ms);

/* forecast_trust - between 0 and 1 */
double forecast_trust(const struct forecast *f, const char *pool);

struct forecast_stats {
	const char *pool;
	uint32_t period_ms; /* 0: none is known */
	double trust;
	/* of the last complete horizon of 2 s, in millicores x ms */
	double expected, observed;
};

/* forecast_stats - of the pool with that index; false beyond the last */
bool forecast_stats(const struct forecast *f, uint32_t index,
		    struct forecast_stats *stats);

/* forecast_operations - multiplications so far, to bound the cost in tests */
uint64_t forecast_operations(const struct forecast *f);

#endif
