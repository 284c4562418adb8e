/*
 * metric - histograms of durations
 *
 * Bucket bounds double from one millisecond. An entry has one histogram of
 * waiting times per team and class. Counters are plain integers in the module
 * that counts.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>
#include <stdio.h>

#define METRIC_BUCKETS 18 /* bounds, up to 2^17 ms */

struct metric_histogram {
	uint64_t buckets[METRIC_BUCKETS + 1]; /* the last: larger values */
	uint64_t count;
	uint64_t sum_ms;
};

/* metric_observe - add one duration */
void metric_observe(struct metric_histogram *h, uint64_t ms);

/*
 * metric_quantile_ms - upper bound of the bucket that contains the quantile
 *
 * For the last bucket, twice the highest bound.
 */
uint64_t metric_quantile_ms(const struct metric_histogram *h, double quantile);

/*
 * metric_print - write in Prometheus's text format
 *
 * labels is the text between the braces, "" for none.
 */
void metric_print(FILE *out, const char *name, const char *labels,
		  const struct metric_histogram *h);

#endif
