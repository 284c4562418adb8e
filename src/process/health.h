/*
 * health - outlier ejection of workers
 *
 * A worker is ejected when most of its recent requests fail while those of the
 * pool's other workers succeed: if requests fail at all workers, the requests
 * are the cause. Ejected workers count against the pool's availability budget.
 * After a delay, one request at a time probes whether the worker has recovered.
 */
#ifndef HEALTH_H
#define HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define HEALTH_EJECT_RATE 0.5 /* minimum failure rate to eject */
#define HEALTH_SAMPLES_MIN 5  /* results needed to eject a worker */
/* The mean failure rate of the pool's other workers must be lower. */
#define HEALTH_PEER_RATE_MAX 0.25
/* From an ejection to its first probe; doubles after each failed probe. */
#define HEALTH_PROBE_DELAY_MS 2000
#define HEALTH_PROBE_DELAY_MAX_MS 30000

struct health {
	double failure_rate; /* smoothed rate, 0 to 1 */
	uint32_t samples;    /* results counted, at most the minimum needed */
	uint64_t next_probe_ms; /* earliest probe; 0 if not ejected */
	uint32_t probe_delay_ms;
	bool probing; /* a probe is in progress */
};

/* health_record - count a result; true if it ends the ejection */
bool health_record(struct health *h, bool failed, uint64_t now_ms);

/* health_eject - stop sending requests until a probe succeeds */
void health_eject(struct health *h, uint64_t now_ms);

/*
 * health_should_eject - whether the worker fails and its peers do not
 *
 * peer_rate is the mean failure rate of the pool's other workers.
 */
bool health_should_eject(const struct health *h, double peer_rate);

/* health_available - whether the worker may get a request now */
bool health_available(const struct health *h, uint64_t now_ms);

/* health_request_started - a request starts; if ejected, it is the probe */
void health_request_started(struct health *h);

#endif
