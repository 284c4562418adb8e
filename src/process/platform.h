/*
 * platform - the table service, the object store and the instance list
 *
 * The one interface to what the platform gives. Rows are JSON values under
 * a key, each with the revision that wrote it. All calls return at once;
 * each calls back exactly once, never before it returns.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#define PLATFORM_TIMEOUT_MS 2000 /* of one call */

enum platform_status {
	PLATFORM_OK,
	PLATFORM_CONFLICT, /* a compared row has another version */
	PLATFORM_ABSENT,   /* no such object */
	PLATFORM_NOT_SENT, /* certainly without effect */
	PLATFORM_UNKNOWN,  /* no answer; a write may have taken effect */
};

struct platform_answer {
	enum platform_status status;
	uint64_t revision;   /* of a commit */
	json_t *value;	     /* borrowed: rows, object or instances */
	uint64_t started_ms; /* when the call was made */
	const char *message; /* what failed and where */
};

typedef void (*platform_fn)(void *arg, const struct platform_answer *answer);

struct platform;

struct platform_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t bytes; /* of bodies, both directions */
};

/* platform_new - a client of the service at url, owned by ctx */
struct platform *platform_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			      const char *url);

/*
 * platform_txn - an empty transaction; the caller's reference
 *
 * platform_compare: the row's version must be this, 0 for absent.
 * platform_put takes over value's reference.
 */
json_t *platform_txn(void);
void platform_compare(json_t *txn, const char *key, uint64_t version);
void platform_put(json_t *txn, const char *key, json_t *value);
void platform_delete(json_t *txn, const char *key);

/* platform_commit - all or nothing; borrows txn */
void platform_commit(struct platform *p, const json_t *txn, platform_fn fn,
		     void *arg);

/*
 * platform_scan - rows under a prefix that changed after a revision
 *
 * value is an array of {"key", "version", "value"} by key; revision is the
 * one that the rows were read at.
 */
void platform_scan(struct platform *p, const char *prefix, uint64_t after,
		   platform_fn fn, void *arg);

/* platform_put_object, platform_get_object - value is the object */
void platform_put_object(struct platform *p, const char *name,
			 const json_t *value, platform_fn fn, void *arg);
void platform_get_object(struct platform *p, const char *name, platform_fn fn,
			 void *arg);

/*
 * platform_reboot - reboot an instance if it has booted `boots` times
 *
 * Asked again it does nothing more.
 */
void platform_reboot(struct platform *p, const char *instance, uint32_t boots,
		     platform_fn fn, void *arg);

/*
 * platform_instances - value is an array of {"name", "state", "boots"}
 *
 * state is live, leaving or failed. The list lags.
 */
void platform_instances(struct platform *p, platform_fn fn, void *arg);

const struct platform_counters *platform_counters(const struct platform *p);

#endif
