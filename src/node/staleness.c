/*
 * staleness - time since what operators wrote was known to be the newest
 *
 * An answer of the store verifies the configuration: the row itself, or a feed
 * without changes. So does the answer of a peer that has the same version and
 * reports its own staleness. Only answers count, and only from the time at
 * which the request was sent, because any message may be delayed for any time.
 */
#include <inttypes.h>

#include "node/node_internal.h"

/*
 * A configuration is stale after 9 of 10 parts of config_ms, and evacuations
 * after as much of evacuate_ms; the rest is left for a request in transit to
 * the leader, and for a start in transit to an instance.
 */
#define STALENESS_BOUND_PARTS 10u
#define STALENESS_BOUND_PARTS_USED 9u

void staleness_verified(struct node *n, uint64_t at_ms)
{
	if (n->config && at_ms > n->config_verified_ms)
		n->config_verified_ms = at_ms;
}

uint32_t staleness_ms(const struct node *n, uint64_t now)
{
	return n->config ? staleness_age_ms(n->config_verified_ms, now)
			 : STALENESS_UNKNOWN;
}

uint32_t staleness_age_ms(uint64_t verified_ms, uint64_t now)
{
	if (!verified_ms)
		return STALENESS_UNKNOWN;
	if (now <= verified_ms)
		return 0;
	return now - verified_ms < STALENESS_UNKNOWN
		       ? (uint32_t)(now - verified_ms)
		       : STALENESS_UNKNOWN;
}

bool staleness_in_bound(const struct node *n, uint64_t now)
{
	return staleness_within(staleness_ms(n, now), n->settings.config_ms);
}

bool staleness_within(uint32_t age_ms, uint32_t bound_ms)
{
	return age_ms <=
	       bound_ms / STALENESS_BOUND_PARTS * STALENESS_BOUND_PARTS_USED;
}

uint64_t staleness_peer_proof(uint32_t age_ms, uint64_t requested_ms)
{
	return age_ms >= STALENESS_UNKNOWN || age_ms >= requested_ms
		       ? 0
		       : requested_ms - age_ms;
}

void staleness_peer_report(struct node *n, uint64_t version, uint32_t age_ms,
			   uint64_t requested_ms)
{
	if (n->config && version == n->config->version)
		staleness_verified(n,
				   staleness_peer_proof(age_ms, requested_ms));
}

enum staleness_verdict staleness_verdict(const struct config *own,
					 const struct node_request *req)
{
	const char *workspace = req->job ? req->job->workspace : "";
	uint64_t version = own ? own->version : 0;

	if (!own || (req->config_stale && version > req->config_version))
		return STALENESS_UNDECIDABLE;
	if (req->verb != FLEET__VERB__SUBMIT ||
	    version == req->config_version ||
	    (config_queue(own, req->queue) &&
	     (!*workspace || config_workspace(own, workspace))))
		return STALENESS_DECIDABLE;
	return version < req->config_version ? STALENESS_UNDECIDABLE
					     : STALENESS_REMOVED;
}

void staleness_tick(struct node *n, uint64_t now)
{
	bool current = staleness_in_bound(n, now);

	if (current == n->config_current)
		return;
	n->config_current = current;
	event_log(current ? "config-current" : "config-not-current", NULL,
		  "\"version\":%" PRIu64 ",\"age_ms\":%u,\"store_ok\":%d,"
		  "\"behind_ms\":%" PRIu64 ",\"copying\":%d",
		  n->config ? n->config->version : 0, staleness_ms(n, now),
		  n->store_ok,
		  n->config_behind_since_ms ? now - n->config_behind_since_ms
					    : 0,
		  n->fetching_config);
}
