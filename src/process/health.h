/*
 * health - which workers fail what they start
 *
 * A worker is ejected when it fails most of its recent work while its pool's
 * others do not: work that fails everywhere is the work's fault. Ejected
 * workers count against the pool's availability budget, and after a pause
 * one request at a time probes whether the worker is well again.
 */
#ifndef HEALTH_H
#define HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define HEALTH_EJECT_RATE 0.5 /* recent failures, of 1 */
#define HEALTH_PEER_RATE 0.25 /* the others' mean must be below this */
#define HEALTH_SAMPLES_MIN 5  /* results before a worker is judged */
#define HEALTH_PAUSE_MS 2000  /* first pause before a probe */
#define HEALTH_PAUSE_MAX_MS 30000

struct health {
	double failures; /* smoothed rate, 0 to 1 */
	uint32_t samples;
	uint64_t probe_ms; /* when a probe may go, 0 when not ejected */
	uint32_t pause_ms;
	bool probing;
};

/* health_result - count one result; true when the worker was let back in */
bool health_result(struct health *h, bool failed, uint64_t now_ms);

/* health_eject - take the worker out until a probe succeeds */
void health_eject(struct health *h, uint64_t now_ms);

/* health_failing - whether it fails most work though its peers' rate is low */
bool health_failing(const struct health *h, double peer_rate);

/* health_usable - whether it may get a request now */
bool health_usable(const struct health *h, uint64_t now_ms);

/* health_chosen - it gets a request: a probe if it is ejected */
void health_chosen(struct health *h);

#endif
