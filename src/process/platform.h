/*
 * platform - client of the table service, object store and instance list
 *
 * Names and comments elsewhere call the table service the store.
 *
 * A row is a JSON value under a key; its version is the revision that wrote it.
 * All calls are asynchronous: each invokes its callback exactly once, never
 * before it returns.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#define PLATFORM_TIMEOUT_MS 2000 /* per call */

enum platform_status {
	PLATFORM_OK,
	PLATFORM_CONFLICT, /* a compared row has another version */
	PLATFORM_ABSENT,   /* no such object */
	PLATFORM_NOT_SENT, /* never sent, so without effect */
	PLATFORM_UNKNOWN,  /* no answer; a write may have taken effect */
};

struct platform_answer {
	enum platform_status status;
	uint64_t revision;   /* written by a commit, read by a scan */
	json_t *value;	     /* rows, object or instances; borrowed */
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
 * platform_txn - an empty transaction, as a new reference
 *
 * platform_compare requires a version of the row, 0 for an absent one.
 * platform_put takes over the reference to value.
 */
json_t *platform_txn(void);
void platform_compare(json_t *txn, const char *key, uint64_t version);
void platform_put(json_t *txn, const char *key, json_t *value);
void platform_delete(json_t *txn, const char *key);

/* platform_commit - apply a transaction atomically; borrows txn */
void platform_commit(struct platform *p, const json_t *txn, platform_fn fn,
		     void *arg);

/*
 * platform_scan - read the rows under a prefix that changed after a revision
 *
 * The answer's value is an array of {"key", "version", "value"}, sorted by key;
 * the answer's revision is the one at which the rows were read.
 */
void platform_scan(struct platform *p, const char *prefix, uint64_t after,
		   platform_fn fn, void *arg);

/* platform_put_object, platform_get_object - write or read an object */
void platform_put_object(struct platform *p, const char *name,
			 const json_t *value, platform_fn fn, void *arg);
void platform_get_object(struct platform *p, const char *name, platform_fn fn,
			 void *arg);

/*
 * platform_reboot - reboot an instance whose boot count is `boots`
 *
 * Safe to repeat: a reboot changes the boot count, so that a later call has no
 * effect.
 */
void platform_reboot(struct platform *p, const char *instance, uint32_t boots,
		     platform_fn fn, void *arg);

/*
 * platform_instances - read the instance list
 *
 * The answer's value is an array of {"name", "state", "boots"}; state is live,
 * leaving or failed. The list lags behind the instances' real states.
 */
void platform_instances(struct platform *p, platform_fn fn, void *arg);

const struct platform_counters *platform_counters(const struct platform *p);

#endif
