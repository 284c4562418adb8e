/*
 * config - one immutable version of the operators' configuration
 *
 * Built by the decoder of the operators' document, owned as one talloc tree,
 * never changed afterwards.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/* Resources of a task or instance: millicores, MiB, accelerators. */
struct amount {
	int64_t cpu;
	int64_t mem;
	int64_t gpu;
};

struct config_queue {
	const char *name;
	const char *host;   /* of its calls */
	const char *prefix; /* of their path */
	const char *pool;
	double objective_factor;     /* times the critical path of the job... */
	uint32_t objective_slack_ms; /* ...plus this is its objective */
	uint32_t timeout_ms;	     /* of a call */
	uint32_t priority;	     /* 0 is served first */
	uint32_t attempts_max;
	bool is_public;	   /* calls need no key */
	bool needs_advice; /* an adviser names the instances for a step */
	uint32_t advice_valid_ms;
};

struct config_pool {
	const char *name;
	bool has_admission_check; /* its instances reject what does not fit */
	bool spare;		  /* its machines are powered off */
};

struct config_workspace {
	const char *name;
	uint32_t weight;   /* relative share while resources are scarce */
	struct amount cap; /* limit on running tasks; 0 is unlimited */
	uint32_t key_count;
	const char **keys;
};

struct config {
	uint64_t version;
	uint32_t queue_count;
	uint32_t pool_count;
	uint32_t workspace_count;
	struct config_queue *queues;
	struct config_pool *pools;
	struct config_workspace *workspaces;
};

/* config_route - the queue for a host and path (longest prefix), or NULL */
const struct config_queue *config_route(const struct config *c,
					const char *host, const char *path);

/* config_queue, config_pool, config_workspace - look up by name, or NULL */
const struct config_queue *config_queue(const struct config *c,
					const char *name);
const struct config_pool *config_pool(const struct config *c, const char *name);
const struct config_workspace *config_workspace(const struct config *c,
						const char *name);

/* config_workspace_by_key - the workspace that holds the key, or NULL */
const struct config_workspace *config_workspace_by_key(const struct config *c,
						       const char *key);

#endif
