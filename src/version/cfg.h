/*
 * cfg - one version of the configuration, immutable once built
 *
 * A version is a JSON document of named objects in kinds (departments, pools,
 * instances, teams, queues, keys, waves) and the tables compiled from it. A
 * change is a document of the same shape that holds only what differs: an
 * object replaces the one of its name, null removes it.
 *
 * Teams, pools and instances have process-wide numbers, so that counters and
 * ledgers outlive a version. Queues and keys are looked up by name in the
 * version itself.
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
	CFG_DRAINING, /* no new work; units go home */
	CFG_OUT,      /* all units were home; may reboot or move */
	CFG_DEPARTED,
};

struct cfg_team {
	const char *name;
	uint32_t share; /* weight when everything is full */
	uint32_t limit; /* units of work running at once, fleet-wide */
	bool present;
};

struct cfg_pool {
	const char *name;
	const char *service;
	uint32_t serving_min; /* instances; the availability budget */
	uint32_t out_max;     /* instances out at once, for any reason */
	bool present;
};

struct cfg_instance {
	const char *name;
	const char *address; /* IP number and port */
	const char *zone;    /* availability zone */
	const char *rack;
	const char *department;
	pool_handle pool;
	uint32_t slots;
	uint32_t connections;
	uint32_t generation; /* goes up when the pool changes */
	const char *wave;    /* the last that drained it, "" for none */
	uint32_t boots;	     /* its count of boots when it was taken out */
	enum cfg_instance_state state;
	bool present;
};

enum cfg_wave_state {
	CFG_WAVE_RUNNING,
	CFG_WAVE_PAUSED,  /* what is out comes back, nothing new drains */
	CFG_WAVE_HALTED,  /* paused by the conductor, which says why */
	CFG_WAVE_ABORTED, /* what drains serves again */
	CFG_WAVE_DONE,
};

/* A maintenance wave over the instances that fit all names given. */
struct cfg_wave {
	const char *name;
	const char *pool; /* "" for any; zone and rack likewise */
	const char *zone;
	const char *rack;
	const char *halt_reason; /* it was halted */
	uint32_t return_max_s;	 /* halts when one drains or is out longer */
	enum cfg_wave_state state;
};

struct cfg_queue {
	const char *name;
	pool_handle pool;
	team_handle team; /* owner; INTERN_NONE: any team with a key */
	enum cfg_class class;
	bool idempotent;
	bool open; /* also without a key; the work then counts for team */
	uint32_t run_max_ms;  /* task lease */
	uint32_t wait_max_ms; /* refused as not run after this */
};

struct cfg_key {
	const char *name;
	team_handle team;
	uint8_t hash[CFG_HASH_BYTES];
};

/* The process-wide numbers; touched by the control thread alone. */
struct cfg_names {
	struct intern *teams;
	struct intern *pools;
	struct intern *instances;
};

struct cfg {
	uint64_t version;
	json_t *doc;
	struct cfg_team *teams; /* by team_handle */
	struct cfg_pool *pools;
	struct cfg_instance *instances;
	struct cfg_queue *queues;
	struct cfg_key *keys;
	struct cfg_wave *waves;
	uint32_t team_count;
	uint32_t pool_count;
	uint32_t instance_count;
	uint32_t queue_count;
	uint32_t key_count;
	uint32_t wave_count;
	uint32_t run_max_ms; /* longest of all queues there ever were */
	struct intern *queue_names;
	struct intern *key_names;
	int refs; /* atomic */
};

/* cfg_names_new - empty name tables, owned by ctx */
struct cfg_names *cfg_names_new(TALLOC_CTX *ctx);

/*
 * cfg_empty - version 0, without objects; one reference for the caller
 */
struct cfg *cfg_empty(struct cfg_names *names);

/*
 * cfg_apply - build the version that follows base
 *
 * Borrows change. On CFG_OK *out has one reference. Otherwise nothing has
 * changed and message tells kind, object, field, the value met and what was
 * wanted.
 */
enum cfg_status cfg_apply(const struct cfg *base, struct cfg_names *names,
			  const json_t *change, uint64_t version,
			  struct cfg **out, struct status_message *message);

/*
 * cfg_check - check a change's objects one by one, without their references
 */
enum cfg_status cfg_check(const json_t *change, struct status_message *message);

/*
 * cfg_diff - the change that turns base's document into doc
 *
 * Only the kinds named in doc are compared. Returns a new reference.
 */
json_t *cfg_diff(const json_t *base, const json_t *doc);

/* cfg_ref, cfg_unref - count holders of a version; thread-safe */
struct cfg *cfg_ref(struct cfg *c);
void cfg_unref(struct cfg *c);

/* cfg_find_queue - the queue of that name or NULL */
const struct cfg_queue *cfg_find_queue(const struct cfg *c, const char *name);

/* cfg_find_key - the key of that name or NULL */
const struct cfg_key *cfg_find_key(const struct cfg *c, const char *name);

/* cfg_wave_state_name - a wave's state in the document's words */
const char *cfg_wave_state_name(enum cfg_wave_state state);

/* cfg_state_name - an instance state in the document's words */
const char *cfg_state_name(enum cfg_instance_state state);

#endif
