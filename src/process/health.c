#include "process/health.h"

#define HEALTH_WEIGHT 0.2 /* of the newest result */

bool health_result(struct health *h, bool failed, uint64_t now_ms)
{
	bool back = false;

	h->failures += HEALTH_WEIGHT * ((failed ? 1.0 : 0.0) - h->failures);
	if (h->samples < HEALTH_SAMPLES_MIN)
		h->samples++;
	if (!h->probe_ms || !h->probing)
		return false;
	h->probing = false;
	if (failed) {
		h->pause_ms = h->pause_ms * 2 > HEALTH_PAUSE_MAX_MS
				      ? HEALTH_PAUSE_MAX_MS
				      : h->pause_ms * 2;
		h->probe_ms = now_ms + h->pause_ms;
	} else {
		h->probe_ms = 0;
		h->failures = 0;
		h->samples = 0;
		back = true;
	}
	return back;
}

void health_eject(struct health *h, uint64_t now_ms)
{
	h->pause_ms = HEALTH_PAUSE_MS;
	h->probe_ms = now_ms + h->pause_ms;
	h->probing = false;
}

bool health_failing(const struct health *h, double peer_rate)
{
	return !h->probe_ms && h->samples >= HEALTH_SAMPLES_MIN &&
	       h->failures >= HEALTH_EJECT_RATE && peer_rate < HEALTH_PEER_RATE;
}

bool health_usable(const struct health *h, uint64_t now_ms)
{
	return !h->probe_ms || (!h->probing && now_ms >= h->probe_ms);
}

void health_chosen(struct health *h)
{
	if (h->probe_ms)
		h->probing = true;
}
