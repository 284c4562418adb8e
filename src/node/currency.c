/*
 * currency - how long ago a node's configuration was known to be the newest
 *
 * The store shows it: a feed that brings nothing, or the row itself. So does a
 * peer that has the same version and tells how old its own knowledge is. Only
 * answers count, from the time at which their question was sent: a message
 * may have been under way for any time.
 */
#include <inttypes.h>

#include "node/node_internal.h"

/* The rest of the operators' bound is for a request on its way. */
#define CURRENCY_PARTS 10u
#define CURRENCY_PARTS_KEPT 9u

void currency_shown(struct node *n, uint64_t at_ms)
{
	if (n->config && at_ms > n->config_shown_ms)
		n->config_shown_ms = at_ms;
}

uint32_t currency_age_ms(const struct node *n, uint64_t now)
{
	uint64_t shown_ms = n->config_shown_ms;

	if (!n->config || !shown_ms)
		return CURRENCY_NEVER;
	if (now <= shown_ms)
		return 0;
	return now - shown_ms < CURRENCY_NEVER ? (uint32_t)(now - shown_ms)
					       : CURRENCY_NEVER;
}

bool currency_holds(const struct node *n, uint64_t now)
{
	uint32_t bound_ms = n->settings.config_ms;

	return currency_age_ms(n, now) <=
	       bound_ms / CURRENCY_PARTS * CURRENCY_PARTS_KEPT;
}

void currency_peer(struct node *n, uint64_t version, uint32_t age_ms,
		   uint64_t asked_ms)
{
	if (!n->config || version != n->config->version ||
	    age_ms >= CURRENCY_NEVER || age_ms >= asked_ms)
		return;
	currency_shown(n, asked_ms - age_ms);
}

enum currency_verdict currency_verdict(const struct config *own,
				       const struct node_request *ask)
{
	const char *workspace = ask->job ? ask->job->workspace : "";
	uint64_t version = own ? own->version : 0;

	if (!own || (ask->config_old && version > ask->config_version))
		return CURRENCY_BEHIND;
	if (ask->verb != FLEET__VERB__SUBMIT ||
	    version == ask->config_version ||
	    (config_queue(own, ask->queue) &&
	     (!*workspace || config_workspace(own, workspace))))
		return CURRENCY_DECIDES;
	return version < ask->config_version ? CURRENCY_BEHIND
					     : CURRENCY_DROPPED;
}

void currency_tick(struct node *n, uint64_t now)
{
	bool holds = currency_holds(n, now);

	if (holds == n->config_current)
		return;
	n->config_current = holds;
	event_log(holds ? "config-current" : "config-not-current", NULL,
		  "\"version\":%" PRIu64 ",\"age_ms\":%u,\"store_ok\":%d,"
		  "\"behind_ms\":%" PRIu64 ",\"copying\":%d",
		  n->config ? n->config->version : 0, currency_age_ms(n, now),
		  n->store_ok,
		  n->config_behind_ms ? now - n->config_behind_ms : 0,
		  n->fetching_config);
}
