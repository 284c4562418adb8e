#include "process/metric.h"

#include <inttypes.h>

void metric_observe(struct metric_histogram *h, uint64_t ms)
{
	uint32_t i = 0;

	while (i < METRIC_BUCKETS && ms > ((uint64_t)1 << i))
		i++;
	h->buckets[i]++;
	h->count++;
	h->sum_ms += ms;
}

uint64_t metric_quantile_ms(const struct metric_histogram *h, double quantile)
{
	uint64_t rank = (uint64_t)(quantile * (double)h->count);
	uint64_t cumulative = 0;
	uint32_t i;

	for (i = 0; i <= METRIC_BUCKETS; i++) {
		cumulative += h->buckets[i];
		if (cumulative > rank)
			break;
	}
	return (uint64_t)1 << (i > METRIC_BUCKETS ? METRIC_BUCKETS : i);
}

void metric_print(FILE *out, const char *name, const char *labels,
		  const struct metric_histogram *h)
{
	const char *comma = *labels ? "," : "";
	uint64_t cumulative = 0;
	uint32_t i;

	for (i = 0; i < METRIC_BUCKETS; i++) {
		cumulative += h->buckets[i];
		fprintf(out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n", name,
			labels, comma, (double)((uint64_t)1 << i) / 1000.0,
			cumulative);
	}
	fprintf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", name, labels,
		comma, h->count);
	fprintf(out, "%s_sum{%s} %g\n", name, labels,
		(double)h->sum_ms / 1000.0);
	fprintf(out, "%s_count{%s} %" PRIu64 "\n", name, labels, h->count);
}
