#include "process/health.h"

#define HEALTH_SMOOTHING 0.2 /* weight of the newest result */

bool health_record(struct health *h, bool failed, uint64_t now_ms)
{
	bool readmitted = false;

	h->failure_rate +=
		HEALTH_SMOOTHING * ((failed ? 1.0 : 0.0) - h->failure_rate);
	if (h->samples < HEALTH_SAMPLES_MIN)
		h->samples++;
	if (!h->next_probe_ms || !h->probing)
		return false;
	h->probing = false;
	if (failed) {
		h->probe_delay_ms =
			h->probe_delay_ms * 2 > HEALTH_PROBE_DELAY_MAX_MS
				? HEALTH_PROBE_DELAY_MAX_MS
				: h->probe_delay_ms * 2;
		h->next_probe_ms = now_ms + h->probe_delay_ms;
	} else {
		h->next_probe_ms = 0;
		h->failure_rate = 0;
		h->samples = 0;
		readmitted = true;
	}
	return readmitted;
}

void health_eject(struct health *h, uint64_t now_ms)
{
	h->probe_delay_ms = HEALTH_PROBE_DELAY_MS;
	h->next_probe_ms = now_ms + h->probe_delay_ms;
	h->probing = false;
}

bool health_should_eject(const struct health *h, double peer_rate)
{
	return !h->next_probe_ms && h->samples >= HEALTH_SAMPLES_MIN &&
	       h->failure_rate >= HEALTH_EJECT_RATE &&
	       peer_rate < HEALTH_PEER_RATE_MAX;
}

bool health_available(const struct health *h, uint64_t now_ms)
{
	return !h->next_probe_ms || (!h->probing && now_ms >= h->next_probe_ms);
}

void health_request_started(struct health *h)
{
	if (h->next_probe_ms)
		h->probing = true;
}
