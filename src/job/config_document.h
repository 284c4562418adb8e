/*
 * config_document - the operators' document that a configuration is loaded from
 *
 * The document's format belongs to the platform. Its one decoder is in the
 * adapter, platform/decode.c, which both the node and the command line link;
 * this header lets other folders use it without the format's names.
 */
#ifndef CONFIG_DOCUMENT_H
#define CONFIG_DOCUMENT_H

#include <stddef.h>

#include "job/config.h"

enum config_problem_kind {
	CONFIG_REFUSED,	      /* the document: its version is not used */
	CONFIG_ENTRY_IGNORED, /* a queue, a pool or a workspace */
	CONFIG_VALUE_CHANGED, /* loaded as another value than the one given */
	CONFIG_UNKNOWN_FIELD, /* without any effect */
};

/* What a node does not load as it is written. */
struct config_problem {
	enum config_problem_kind kind;
	const char *path;   /* of the field; "" for the document */
	const char *value;  /* met, shortened; "" when there is none */
	const char *wanted; /* or, for a syntax error, the parser's message */
	int line;	    /* 0: unknown */
};

enum config_list {
	CONFIG_QUEUES,
	CONFIG_POOLS,
	CONFIG_WORKSPACES,
	CONFIG_LISTS
};

struct config_observer {
	/* Bits of config_problem_kind that are reported; others cost nothing */
	uint32_t kinds;
	void (*problem)(void *arg, const struct config_problem *problem);
	/* May be NULL. An entry was loaded from that position of its list. */
	void (*loaded)(void *arg, enum config_list list, uint32_t position);
	void *arg;
};

#define CONFIG_PROBLEMS_ALL UINT32_MAX
#define CONFIG_PROBLEM_BIT(kind) (1u << (kind))

/* Fields that findings refer to. */
enum config_field {
	CONFIG_FIELD_VERSION,
	CONFIG_FIELD_LIMITS,
	CONFIG_FIELD_HEADER_BYTES,
	CONFIG_FIELD_BODY_BYTES,
	CONFIG_FIELD_HEADER_TIMEOUT,
	CONFIG_FIELD_QUEUES,
	CONFIG_FIELD_QUEUE, /* the whole entry; so are POOL and WORKSPACE */
	CONFIG_FIELD_QUEUE_NAME,
	CONFIG_FIELD_QUEUE_HOST,
	CONFIG_FIELD_QUEUE_PREFIX,
	CONFIG_FIELD_QUEUE_POOL,
	CONFIG_FIELD_QUEUE_TIMEOUT,
	CONFIG_FIELD_QUEUE_SLACK,
	CONFIG_FIELD_QUEUE_FACTOR,
	CONFIG_FIELD_QUEUE_PRIORITY,
	CONFIG_FIELD_QUEUE_ATTEMPTS,
	CONFIG_FIELD_QUEUE_PUBLIC,
	CONFIG_FIELD_QUEUE_ADVICE,
	CONFIG_FIELD_POOLS,
	CONFIG_FIELD_POOL,
	CONFIG_FIELD_POOL_NAME,
	CONFIG_FIELD_POOL_SPARE,
	CONFIG_FIELD_POOL_ADMISSION,
	CONFIG_FIELD_WORKSPACES,
	CONFIG_FIELD_WORKSPACE,
	CONFIG_FIELD_WORKSPACE_NAME,
	CONFIG_FIELD_WORKSPACE_KEYS,
	CONFIG_FIELD_WORKSPACE_WEIGHT,
	CONFIG_FIELD_WORKSPACE_CAP,
	CONFIG_FIELDS
};

struct config_document {
	/*
	 * Loads a document as nodes do; NULL if they refuse it. The observer,
	 * which may be NULL, is told of all that isn't loaded as written.
	 */
	struct config *(*decode)(TALLOC_CTX *ctx, const uint8_t *bytes,
				 size_t length,
				 const struct config_observer *observer);
	/*
	 * Path of a field; index is the entry's position in the document and
	 * not used for fields outside the lists. Owned by ctx.
	 */
	char *(*path)(TALLOC_CTX *ctx, enum config_field field, uint32_t index);
};

/* Defined by the platform's adapter. */
extern const struct config_document config_document;

#endif
