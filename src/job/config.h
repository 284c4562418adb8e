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
	const char *host;   /* in the Host header of its calls; any port */
	const char *prefix; /* of the paths of its calls */
	const char *pool;
	/* a job's time to complete: factor x its critical path + slack */
	double objective_factor;
	uint32_t objective_slack_ms;
	uint32_t timeout_ms;   /* of a call */
	uint32_t priority;     /* 0 is served first */
	uint32_t attempts_max; /* failed runs of a task; 0: unlimited */
	bool is_public;	       /* calls need no key */
	bool needs_advice;     /* an adviser names the instances for a step */
	uint32_t advice_valid_ms; /* validity of the adviser's answer */
	/* time that the adviser takes for a call, and for each instance in it
	 */
	uint32_t advice_decision_ms, advice_instance_ms;
};

struct config_pool {
	const char *name;
	bool has_admission_check; /* its instances reject what does not fit */
	bool spare;		  /* its machines are powered off */
};

struct config_workspace {
	const char *name;
	uint32_t weight;   /* relative share while resources are scarce */
	struct amount cap; /* limit on its running tasks; 0: unlimited */
	uint32_t key_count;
	const char **keys;
};

/* Limits on what callers send; those absent from the document have defaults. */
struct config_limits {
	uint32_t header_bytes; /* of a request's headers */
	uint32_t body_bytes;   /* of a request's body */
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms; /* also for a body or an answer */
};

#define CONFIG_HEADER_BYTES_DEFAULT 16384u
#define CONFIG_BODY_BYTES_DEFAULT 262144u
#define CONFIG_HEADER_TIMEOUT_DEFAULT_MS 3000u
#define CONFIG_IDLE_TIMEOUT_DEFAULT_MS 15000u

struct config {
	uint64_t version;
	uint32_t queue_count;
	uint32_t pool_count;
	uint32_t workspace_count;
	struct config_queue *queues;
	struct config_pool *pools;
	struct config_workspace *workspaces;
	struct config_limits limits;
};

/* config_route - the queue with the host and the longest prefix, or NULL */
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
