/*
 * config - look-ups in a version of the configuration
 */
#include "job/config.h"

#include <string.h>
#include <strings.h>

static bool host_is(const char *host, const char *wanted)
{
	size_t n = strlen(wanted);

	return !strncasecmp(host, wanted, n) &&
	       (host[n] == '\0' || host[n] == ':');
}

const struct config_queue *config_route(const struct config *c,
					const char *host, const char *path)
{
	const struct config_queue *best = NULL;
	size_t longest = 0;
	uint32_t i;

	for (i = 0; i < c->queue_count; i++) {
		const struct config_queue *q = &c->queues[i];
		size_t n = strlen(q->prefix);

		if (best && n <= longest)
			continue;
		if (strncmp(path, q->prefix, n) || !host_is(host, q->host))
			continue;
		best = q;
		longest = n;
	}
	return best;
}

const struct config_queue *config_queue(const struct config *c,
					const char *name)
{
	uint32_t i;

	for (i = 0; i < c->queue_count; i++)
		if (!strcmp(c->queues[i].name, name))
			return &c->queues[i];
	return NULL;
}

const struct config_pool *config_pool(const struct config *c, const char *name)
{
	uint32_t i;

	for (i = 0; i < c->pool_count; i++)
		if (!strcmp(c->pools[i].name, name))
			return &c->pools[i];
	return NULL;
}

const struct config_workspace *config_workspace(const struct config *c,
						const char *name)
{
	uint32_t i;

	for (i = 0; i < c->workspace_count; i++)
		if (!strcmp(c->workspaces[i].name, name))
			return &c->workspaces[i];
	return NULL;
}

const struct config_workspace *config_workspace_by_key(const struct config *c,
						       const char *key)
{
	uint32_t i, j;

	for (i = 0; i < c->workspace_count; i++)
		for (j = 0; j < c->workspaces[i].key_count; j++)
			if (!strcmp(c->workspaces[i].keys[j], key))
				return &c->workspaces[i];
	return NULL;
}
