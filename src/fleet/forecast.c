/*
 * forecast - period, phase and accuracy of the arrivals of each pool
 *
 * The forecast of an interval is a weighted mean of the same interval one, two
 * and three periods before. It is scored over horizons of HORIZON bins against
 * two naive forecasts: the last horizon and the mean. Only bins that arrived
 * after a period was chosen are scored, because among a hundred candidates one
 * fits any past.
 */
#include "fleet/forecast.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define BIN_MS 250u
#define BINS 240u	     /* 60 s: two of the longest periods */
#define HORIZON 8u	     /* bins; somewhat longer than a move */
#define PERIOD_MIN 8u	     /* bins; not below HORIZON */
#define PERIOD_MAX 120u	     /* bins */
#define SMOOTHING 4u	     /* bins that the search for a period adds up */
#define OVERLAP_MIN 12u	     /* bins that are compared with earlier ones */
#define SEARCH_MS 1000u	     /* between two searches for one pool */
#define GAP_MS 2000u	     /* a longer gap in observations ends the history */
#define PERIODS_USED 3u	     /* earlier periods that a forecast is made of */
#define PERIOD_WEIGHT 0.5    /* of a period, relative to the next */
#define CORRELATION_MIN 0.5  /* of a period that is chosen */
#define CORRELATION_END 0.2  /* a period below this is given up */
#define CORRELATION_GAIN 0.1 /* by which another period must be better */
#define REFINEMENT_GAIN 0.02 /* same, of nearly the same period */
#define MULTIPLE_PART 0.85   /* of the best; a shorter period then goes first */
/* Part of the mean variance that both compared parts of the history must have:
 * two quiet parts agree at any distance. */
#define VARIANCE_PART 0.5
/*
 * Bins of mean error that a new period is charged with, as without skill. With
 * 8, bursts at random times moved 10 machines in test_foreseen_demand; with 16,
 * they moved 3.
 */
#define PRIOR_BINS 16.0
/* Best ratio of errors that a pool is credited with for others of its period */
#define PEER_RATIO_MIN 0.3
/* Periods that differ by less than this part are taken for the same: the first
 * ones that are found come from the begin of a turn alone. */
#define SAME_PERIOD 12u
/* The skill is 1 less the ratio of the errors. Trust grows from 0 to 1
 * between these: lumpy arrivals leave a right forecast a skill of about 0.6. */
#define SKILL_MIN 0.35
#define SKILL_FULL 0.6

struct pool_forecast {
	char name[128];
	uint64_t total;
	uint64_t observed_ms;
	uint64_t bin;	/* the one being filled, counted from time 0 */
	uint32_t count; /* complete bins, at most BINS */
	double current; /* work in the bin being filled */
	float bins[BINS];
	uint64_t search_ms; /* earliest next search */
	double mean;	    /* of a bin, at the last search */
	double variance;    /* of the work of a horizon, at the last search */
	uint32_t period;    /* bins; 0: none */
	double correlation; /* of that period; 0: taken from another pool */
	uint64_t scored_from;
	bool scored; /* the burst that the period was derived from is over */
	/* Sums of squared errors, halved each period */
	double error, error_last, error_mean;
	double prior; /* ratio of errors without own evidence */
	double expected, observed;
};

struct forecast {
	struct pool_forecast *pools[FORECAST_POOLS_MAX];
	uint32_t count;
	uint32_t next_search;
	uint64_t operations;
};

struct forecast *forecast_new(TALLOC_CTX *ctx)
{
	struct forecast *f = talloc_zero(ctx, struct forecast);

	assert(f);
	return f;
}

static struct pool_forecast *find(const struct forecast *f, const char *name)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (!strcmp(f->pools[i]->name, name))
			return f->pools[i];
	return NULL;
}

/* Whether the bin is complete and still held. */
static bool holds(const struct pool_forecast *p, uint64_t bin)
{
	return bin < p->bin && p->bin - bin <= p->count;
}

/* Work of the complete bins among the `length` ones that end with `last`. */
static double sum_bins(const struct pool_forecast *p, uint64_t last,
		       uint32_t length)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < length && i <= last; i++)
		if (holds(p, last - i))
			sum += p->bins[(last - i) % BINS];
	return sum;
}

/* The forecast of the bins that end with `last`; 0 if no period covers them. */
static double expect_bins(const struct pool_forecast *p, uint64_t last,
			  uint32_t length)
{
	double sum = 0, weights = 0, weight = 1;
	uint32_t k, used = 0;

	if (!p->period)
		return 0;
	for (k = 1; used < PERIODS_USED; k++, weight *= PERIOD_WEIGHT) {
		uint64_t back = (uint64_t)k * p->period;

		/* These bins of that period are not complete yet. */
		if (last >= p->bin + back)
			continue;
		if (back + length > last || !holds(p, last - back + 1 - length))
			break;
		sum += weight * sum_bins(p, last - back, length);
		weights += weight;
		used++;
	}
	return weights > 0 ? sum / weights : 0;
}

static double squared(double a)
{
	return a * a;
}

/* Scores the forecast of the horizon that ends with the complete bin. */
static void score(struct forecast *f, struct pool_forecast *p, uint64_t last)
{
	double decay, observed, previous, expected;

	if (!p->period || last < p->scored_from || p->count < 2 * HORIZON)
		return;
	observed = sum_bins(p, last, HORIZON);
	previous = sum_bins(p, last - HORIZON, HORIZON);
	/* The end of the burst that the period was derived from is no proof. */
	p->scored = p->scored || (observed < HORIZON * p->mean &&
				  previous < HORIZON * p->mean);
	if (!p->scored)
		return;
	expected = expect_bins(p, last, HORIZON);
	decay = exp2(-1.0 / p->period);
	p->error = p->error * decay + squared(expected - observed);
	p->error_last = p->error_last * decay + squared(previous - observed);
	p->error_mean =
		p->error_mean * decay + squared(HORIZON * p->mean - observed);
	p->expected = expected;
	p->observed = observed;
	f->operations += (PERIODS_USED + 2) * HORIZON;
}

static void close_bin(struct forecast *f, struct pool_forecast *p)
{
	p->bins[p->bin % BINS] = (float)p->current;
	p->current = 0;
	p->bin++;
	if (p->count < BINS)
		p->count++;
	score(f, p, p->bin - 1);
}

static void restart(struct pool_forecast *p, uint64_t work, uint64_t now)
{
	char name[sizeof(p->name)];

	memcpy(name, p->name, sizeof(name));
	memset(p, 0, sizeof(*p));
	memcpy(p->name, name, sizeof(name));
	p->total = work;
	p->observed_ms = now;
	p->bin = now / BIN_MS;
	p->prior = 1;
}

static struct pool_forecast *pool_new(struct forecast *f, const char *pool)
{
	struct pool_forecast *p;

	if (f->count == FORECAST_POOLS_MAX)
		return NULL;
	p = talloc_zero(f, struct pool_forecast);
	assert(p);
	snprintf(p->name, sizeof(p->name), "%s", pool);
	f->pools[f->count++] = p;
	return p;
}

void forecast_observe(struct forecast *f, const char *pool, uint64_t work,
		      uint64_t now)
{
	struct pool_forecast *p = find(f, pool);
	double per_ms;

	if (!p || now - p->observed_ms > GAP_MS || work < p->total) {
		if (!p)
			p = pool_new(f, pool);
		if (p)
			restart(p, work, now);
		return;
	}
	if (now <= p->observed_ms)
		return;
	/* What arrived since the last call counts as spread over that time. */
	per_ms = (double)(work - p->total) / (double)(now - p->observed_ms);
	while (p->bin < now / BIN_MS) {
		uint64_t end_ms = (p->bin + 1) * BIN_MS;

		p->current += per_ms * (double)(end_ms - p->observed_ms);
		p->observed_ms = end_ms;
		close_bin(f, p);
	}
	p->current += per_ms * (double)(now - p->observed_ms);
	p->observed_ms = now;
	p->total = work;
}

/* Search for a period */

/* The history, oldest first, smoothed and less its mean. */
struct series {
	uint32_t count;
	double variance;
	double values[BINS];
};

static void series_fill(struct pool_forecast *p, struct series *y)
{
	double sum = 0, squares = 0, mean;
	uint64_t bin = p->bin - p->count + SMOOTHING - 1;
	uint32_t i;

	y->count = 0;
	y->variance = 0;
	p->mean = 0;
	if (p->count < PERIOD_MIN + OVERLAP_MIN)
		return;
	for (; bin < p->bin; bin++) {
		double v = sum_bins(p, bin, SMOOTHING);

		y->values[y->count++] = v;
		sum += v;
	}
	mean = sum / y->count;
	for (i = 0; i < y->count; i++) {
		y->values[i] -= mean;
		squares += squared(y->values[i]);
	}
	y->variance = squares / y->count;
	p->mean = mean / SMOOTHING;
	/* Within a burst, bins are alike: their sums grow with the length. */
	p->variance = y->variance * squared((double)HORIZON / SMOOTHING);
}

/* Correlation of the series with itself, `lag` bins later; -1 if unknown. */
static double correlation(struct forecast *f, const struct series *y,
			  uint32_t lag)
{
	double product = 0, early = 0, late = 0, least;
	uint32_t i;

	if (y->count < lag + OVERLAP_MIN)
		return -1;
	for (i = lag; i < y->count; i++) {
		product += y->values[i] * y->values[i - lag];
		early += squared(y->values[i - lag]);
		late += squared(y->values[i]);
	}
	f->operations += 3 * (y->count - lag);
	least = VARIANCE_PART * y->variance * (y->count - lag);
	if (early < least || late < least || early <= 0 || late <= 0)
		return -1;
	return product / sqrt(early * late);
}

/*
 * Sets the shortest period that is nearly as good as the best: multiples of a
 * period fit as well, but are covered by less of the history.
 */
static uint32_t best_period(struct forecast *f, const struct series *y,
			    double *found, double *of_current, uint32_t current)
{
	double all[PERIOD_MAX + 2];
	double best = -1;
	uint32_t lag;

	for (lag = PERIOD_MIN - 1; lag <= PERIOD_MAX + 1; lag++) {
		all[lag] = correlation(f, y, lag);
		if (lag >= PERIOD_MIN && lag <= PERIOD_MAX && all[lag] > best)
			best = all[lag];
	}
	*of_current = current ? all[current] : -1;
	for (lag = PERIOD_MIN; lag <= PERIOD_MAX; lag++)
		if (all[lag] >= MULTIPLE_PART * best && all[lag] > 0 &&
		    all[lag] >= all[lag - 1] && all[lag] >= all[lag + 1])
			break;
	*found = lag <= PERIOD_MAX ? all[lag] : -1;
	return lag;
}

static void set_period(struct pool_forecast *p, uint32_t period, double r)
{
	p->period = period;
	p->correlation = r;
	p->scored_from = p->bin + HORIZON;
	p->scored = false;
	p->error = p->error_last = p->error_mean = 0;
	p->prior = 1;
}

static bool same_period(uint32_t a, uint32_t b)
{
	uint32_t difference = a > b ? a - b : b - a;

	return difference <= 1 + b / SAME_PERIOD;
}

static double naive_error(const struct pool_forecast *p)
{
	return p->error_last < p->error_mean ? p->error_last : p->error_mean;
}

/* A pool without a period of its own tries the one that fits another best. */
static void try_period_of_others(const struct forecast *f,
				 struct pool_forecast *p)
{
	const struct pool_forecast *best = NULL;
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		const struct pool_forecast *o = f->pools[i];

		if (o != p && o->correlation >= CORRELATION_MIN &&
		    p->count >= o->period + HORIZON &&
		    (!best || o->correlation > best->correlation))
			best = o;
	}
	if (best)
		set_period(p, best->period, 0);
}

/*
 * Queues that have their turns one after the other have one period: a pool is
 * credited with the skill of others of that period until it has its own.
 */
static void set_prior(const struct forecast *f, struct pool_forecast *p)
{
	double error = 0, naive = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		const struct pool_forecast *o = f->pools[i];

		if (o == p || !o->period || o->variance <= 0 ||
		    !same_period(o->period, p->period) ||
		    naive_error(o) < PRIOR_BINS * o->variance)
			continue;
		error += o->error / o->variance;
		naive += naive_error(o) / o->variance;
	}
	p->prior = naive > 0 ? error / naive : 1;
	if (p->prior > 1)
		p->prior = 1;
	if (p->prior < PEER_RATIO_MIN)
		p->prior = PEER_RATIO_MIN;
}

static void search(struct forecast *f, struct pool_forecast *p)
{
	struct series y;
	double r, r_current;
	uint32_t period;

	series_fill(p, &y);
	if (y.variance <= 0) {
		p->period = 0;
		return;
	}
	period = best_period(f, &y, &r, &r_current, p->period);
	if (r >= CORRELATION_MIN && p->period &&
	    same_period(period, p->period)) {
		if (r > r_current + REFINEMENT_GAIN) {
			p->period = period;
			r_current = r;
		}
	} else if (r >= CORRELATION_MIN &&
		   (!p->period || r > r_current + CORRELATION_GAIN)) {
		set_period(p, period, r);
		r_current = r;
	} else if (p->period && r_current > -1 && r_current < CORRELATION_END) {
		p->period = 0;
	}
	p->correlation = p->period && r_current > 0 ? r_current : 0;
	if (!p->period)
		try_period_of_others(f, p);
	if (p->period)
		set_prior(f, p);
}

void forecast_update(struct forecast *f, uint64_t now)
{
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		struct pool_forecast *p =
			f->pools[(f->next_search + i) % f->count];

		if (now < p->search_ms)
			continue;
		p->search_ms = now + SEARCH_MS;
		f->next_search = (f->next_search + i + 1) % f->count;
		search(f, p);
		return;
	}
}

/* Results */

double forecast_work(const struct forecast *f, const char *pool,
		     uint64_t from_ms, uint64_t to_ms)
{
	const struct pool_forecast *p = find(f, pool);
	uint64_t bin;
	double sum = 0;

	if (!p || !p->period)
		return 0;
	for (bin = from_ms / BIN_MS; bin * BIN_MS < to_ms; bin++) {
		uint64_t begin = bin * BIN_MS, end = begin + BIN_MS;

		begin = begin < from_ms ? from_ms : begin;
		end = end > to_ms ? to_ms : end;
		sum += expect_bins(p, bin, 1) * (double)(end - begin) / BIN_MS;
	}
	return sum;
}

double forecast_peak(const struct forecast *f, const char *pool,
		     uint64_t from_ms, uint64_t to_ms)
{
	const struct pool_forecast *p = find(f, pool);
	double best = 0;
	uint64_t last;

	if (!p || !p->period)
		return 0;
	for (last = from_ms / BIN_MS + SMOOTHING - 1;
	     (last + 1) * BIN_MS <= to_ms; last++) {
		double work = expect_bins(p, last, SMOOTHING);

		if (work > best)
			best = work;
	}
	return best / (SMOOTHING * BIN_MS);
}

static double trust_of(const struct pool_forecast *p)
{
	double ratio, trust;

	if (!p->period || p->variance <= 0)
		return 0;
	ratio = (p->prior * PRIOR_BINS + p->error / p->variance) /
		(PRIOR_BINS + naive_error(p) / p->variance);
	trust = (1 - ratio - SKILL_MIN) / (SKILL_FULL - SKILL_MIN);
	if (trust < 0)
		return 0;
	return trust > 1 ? 1 : trust;
}

double forecast_trust(const struct forecast *f, const char *pool)
{
	const struct pool_forecast *p = find(f, pool);

	return p ? trust_of(p) : 0;
}

bool forecast_stats(const struct forecast *f, uint32_t index,
		    struct forecast_stats *stats)
{
	const struct pool_forecast *p;

	if (index >= f->count)
		return false;
	p = f->pools[index];
	*stats = (struct forecast_stats){ p->name, p->period * BIN_MS,
					  trust_of(p), p->expected,
					  p->observed };
	return true;
}

uint64_t forecast_operations(const struct forecast *f)
{
	return f->operations;
}
