/*
 * cfg - one version of the configuration, immutable once built
 *
 * A version consists of a JSON document and the tables compiled from it. The
 * document has named objects by kind (departments, pools, instances, teams,
 * queues, keys, waves). A change is a document of the same form with only the
 * objects that differ: an object replaces the one of its kind and name, null
 * removes it.
 *
 * Teams, pools and instances have process-wide ids, so that counters and
 * ledgers outlive a version. Queues and keys are looked up by name in one
 * version.
 */
#ifndef CFG_H
#define CFG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "process/intern.h"
#include "process/limits.h"
#include "process/status.h"

typedef struct {
	uint32_t i;
} team_handle;

typedef struct {
	uint32_t i;
} pool_handle;

typedef struct {
	uint32_t i;
} instance_handle;

enum cfg_status {
	CFG_OK,
	CFG_INVALID, /* the message names kind, object, field and value */
};

enum cfg_class { CFG_NORMAL, CFG_URGENT };

enum cfg_instance_state {
	CFG_SERVING,
	CFG_DRAINING, /* no new work; units are returned */
	CFG_OUT,      /* all units were returned; may reboot or move */
	CFG_DEPARTED, /* no longer part of the fleet */
};

struct cfg_team {
	const char *name;
	uint32_t share; /* weight under contention */
	uint32_t limit; /* most units running at once, fleet-wide */
	bool present;
};

struct cfg_pool {
	const char *name;
	const char *service;
	/* Availability budget */
	uint32_t serving_min; /* least number of instances serving */
	uint32_t out_max;     /* most instances out at once, for any reason */
	bool present;
};

struct cfg_instance {
	const char *name;
	const char *address; /* IP address and port */
	const char *zone;    /* availability zone */
	const char *rack;
	const char *department;
	pool_handle pool;
	uint32_t slots; /* requests that it runs at once */
	uint32_t connections;
	uint32_t generation; /* incremented when the pool changes */
	const char *wave;    /* the last wave that drained it, "" for none */
	uint32_t boots;	     /* boot count when it was taken out */
	enum cfg_instance_state state;
	bool present;
};

enum cfg_wave_state {
	CFG_WAVE_RUNNING,
	CFG_WAVE_PAUSED,  /* finishes instances draining or out; drains none */
	CFG_WAVE_HALTED,  /* paused by the conductor, with a reason */
	CFG_WAVE_ABORTED, /* draining instances serve again */
	CFG_WAVE_DONE,
};

/* A maintenance wave over the instances that match all given names. */
struct cfg_wave {
	const char *name;
	const char *pool; /* "" for any; zone and rack likewise */
	const char *zone;
	const char *rack;
	const char *halt_reason; /* "" if not halted */
	/* The wave halts if an instance is draining or out for longer. */
	uint32_t return_max_s;
	enum cfg_wave_state state;
};

struct cfg_queue {
	const char *name;
	pool_handle pool;
	/* The only team that may use it; INTERN_NONE: any team with a key */
	team_handle team;
	enum cfg_class class;
	bool idempotent;
	bool open; /* accepts requests without a key, counted for `team` */
	uint32_t run_max_ms;  /* task lease */
	uint32_t wait_max_ms; /* longest wait, then refused as not-run */
};

struct cfg_key {
	const char *name;
	team_handle team;
	uint8_t hash[CFG_HASH_BYTES];
};

/* The process-wide ids; used by the control thread only. */
struct cfg_names {
	struct intern *teams;
	struct intern *pools;
	struct intern *instances;
};

struct cfg {
	uint64_t version;
	json_t *doc;
	struct cfg_team *teams;		/* by team_handle */
	struct cfg_pool *pools;		/* by pool_handle */
	struct cfg_instance *instances; /* by instance_handle */
	struct cfg_queue *queues;
	struct cfg_key *keys;
	struct cfg_wave *waves;
	uint32_t team_count;
	uint32_t pool_count;
	uint32_t instance_count;
	uint32_t queue_count;
	uint32_t key_count;
	uint32_t wave_count;
	/*
	 * Longest task lease of all queues, also of removed ones, whose work
	 * may still run
	 */
	uint32_t run_max_ms;
	struct intern *queue_names;
	struct intern *key_names;
	int refs; /* atomic */
};

/* cfg_names_new - empty name tables, owned by ctx */
struct cfg_names *cfg_names_new(TALLOC_CTX *ctx);

/* cfg_empty - version 0, without objects, as a new reference */
struct cfg *cfg_empty(struct cfg_names *names);

/*
 * cfg_apply - build the version that follows base
 *
 * Borrows change. On CFG_OK, *out is a new reference. Otherwise *out is
 * not set; message names kind, object, field, the value found and the expected
 * value.
 */
enum cfg_status cfg_apply(const struct cfg *base, struct cfg_names *names,
			  const json_t *change, uint64_t version,
			  struct cfg **out, struct status_message *message);

/* cfg_check - check a change's objects one by one, without their references */
enum cfg_status cfg_check(const json_t *change, struct status_message *message);

/*
 * cfg_diff - the change that turns base's document into doc
 *
 * Only the kinds named in doc are compared. Returns a new reference.
 */
json_t *cfg_diff(const json_t *base, const json_t *doc);

/* cfg_ref, cfg_unref - add or drop a reference; thread-safe */
struct cfg *cfg_ref(struct cfg *c);
void cfg_unref(struct cfg *c);

/* cfg_find_queue - the queue of that name or NULL */
const struct cfg_queue *cfg_find_queue(const struct cfg *c, const char *name);

/* cfg_find_key - the key of that name or NULL */
const struct cfg_key *cfg_find_key(const struct cfg *c, const char *name);

/* cfg_wave_state_name - a wave's state as written in the document */
const char *cfg_wave_state_name(enum cfg_wave_state state);

/* cfg_state_name - an instance's state as written in the document */
const char *cfg_state_name(enum cfg_instance_state state);

#endif
