/*
 * entry_internal - shared by the entry's source files
 *
 * entry.c		the process: start, control loop, drain
 * entry_sync.c		reads rows from the store
 * entry_register.c	registration, removal of entries that have ended
 * entry_change.c	commits configuration changes
 * entry_row.c		ledger rows as JSON
 * entry_wire.c		frames between entries
 * entry_effect.c	messages and row writes ordered by the core
 * front.c		callers' requests, one front per thread
 * front_worker.c	exchanges with workers
 * admin.c		the administration API
 * conductor.c		maintenance waves
 *
 * The control thread owns everything here except the core, which it shares
 * with the fronts under core_lock. Lock order: core_lock, then message_lock
 * of a front.
 */
#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <talloc.h>
#include <tevent.h>

#include "connection/httpd.h"
#include "connection/peer.h"
#include "entry/core.h"
#include "entry/entry.h"
#include "process/freshness.h"
#include "process/members.h"
#include "process/platform.h"
#include "version/key.h"

#define ROW_PREFIX "jackdawwell/"
#define ROW_MEMBERS ROW_PREFIX "members"
#define ROW_HEAD ROW_PREFIX "config/head"
#define ROW_LOG ROW_PREFIX "config/log/"
#define ROW_SNAPSHOT ROW_PREFIX "config/snapshot"
#define ROW_LEDGER ROW_PREFIX "ledger/"

#define ENTRY_CHANGES_KEPT 256	 /* most recent changes kept in memory */
#define ENTRY_KEY_MAX 128	 /* bytes of a row's key */
#define ENTRY_CHANGE_ID_BYTES 16 /* random bytes of a generated id */

enum entry_state {
	ENTRY_STARTING, /* not registered or configuration not yet read */
	ENTRY_SERVING,
	ENTRY_NOTICE,	/* reports not ready to load balancers, still accepts */
	ENTRY_DRAINING, /* accepts no connections, finishes its requests */
	ENTRY_GONE,	/* unregistered by peers or can't register: must stop */
};

struct front;
struct entry_change;
struct conductor;

/* A message or row write from the core, for the control thread to send. */
struct entry_effect {
	struct entry_effect *next;
	bool is_write;
	uint64_t incarnation; /* receiver of the message */
	Jackdawwell__PeerFrame *frame;
	uint32_t shard;
	json_t *txn;
};

/* Whether a member's process has ended, as far as this entry can tell. */
struct entry_absence {
	uint64_t incarnation;
	uint64_t since_ms; /* when `absent` was set */
	bool was_listed;   /* the platform's instance list once had its name */
	bool absent;	   /* its process has ended */
};

struct entry {
	const struct settings *settings;
	struct tevent_context *ev;
	struct platform *platform;
	struct peer_net *net;
	struct httpd *admin;
	struct key_hasher hasher;
	struct front **fronts;
	_Atomic int state; /* enum entry_state */

	/* Under core_lock */
	pthread_mutex_t core_lock;
	struct core *core; /* NULL before the registration */
	struct cfg *cfg;   /* current version; set by the control thread */
	struct entry_effect *effects;
	struct entry_effect **effects_tail;

	/* Owned by the control thread */
	int effects_fd; /* eventfd, signaled when effects stops being empty */
	struct cfg_names *names;
	_Atomic uint64_t cfg_version;
	uint64_t revision; /* rows have been read up to this revision */
	bool scanning;
	bool loading_snapshot;
	uint64_t snapshot_version;
	uint32_t snapshot_run_max_ms;
	struct members members;
	struct entry_absence absences[MEMBERS_MAX];
	uint32_t absence_count;
	struct freshness freshness;
	uint64_t incarnation;
	uint64_t registration_nonce;
	uint64_t registered_members_version; /* first seen with this entry */
	bool writing_members;
	json_t *changes[ENTRY_CHANGES_KEPT]; /* index: version modulo count */
	uint64_t head_revision;		     /* of ROW_HEAD */
	uint64_t head_version;		     /* last committed configuration */
	struct entry_change *pending; /* unfinished changes, oldest first */
	uint64_t nonce;
	struct conductor *conductor;
	uint64_t drain_since_ms; /* in ENTRY_DRAINING: last seen with work */
	uint64_t probed_ms;	 /* last probe of the peers, also its nonce */
	uint64_t scanned_ms;	 /* last scan of the store's rows */
	uint64_t listed_ms;	 /* last read of the instance list */
	uint64_t ticked_ms;
	bool removed_self; /* has begun to unregister */
	bool finished;	   /* the control loop may end */
	int exit_code;
};

/* Sync */

/* entry_scan - read the rows changed since the last scan */
void entry_scan(struct entry *e);

/* entry_install - make cfg the current configuration; takes it over */
void entry_install(struct entry *e, struct cfg *cfg);

/*
 * entry_apply_change - apply a row of the log, read or sent by a peer
 *
 * Returns false unless it is the current version's successor and applies.
 */
bool entry_apply_change(struct entry *e, uint64_t version, json_t *change);

/* entry_update_freshness - recompute until when the core may start jobs */
void entry_update_freshness(struct entry *e);

/* Registration */

/* entry_set_members - apply the members' row; older versions are ignored */
void entry_set_members(struct entry *e, const json_t *value, uint64_t version);

bool entry_listen_to_peers(struct entry *e);

/* entry_register - add this entry to the members and start the core */
void entry_register(struct entry *e);

/*
 * entry_check_members - write the changes of the members' row that are due
 *
 * A member whose process has ended is marked dead at once, and removed when the
 * leases of its requests have expired. This entry becomes a full member once a
 * majority of the full members knows of it.
 */
void entry_check_members(struct entry *e, uint64_t now_ms);

/* entry_read_instances - read the platform's instance list */
void entry_read_instances(struct entry *e);

/* entry_remove_self - unregister this entry */
void entry_remove_self(struct entry *e);

/* Changes */

typedef void (*entry_change_fn)(void *arg, unsigned int code, json_t *body);

/*
 * entry_change - commit a configuration change
 *
 * base is the version that the change is based on. change is borrowed. id
 * identifies the change, so that a repeated request isn't committed twice.
 * done receives the answer's HTTP status and body and owns the body.
 */
void entry_change(struct entry *e, uint64_t base, const json_t *change,
		  const char *id, const char *operator_name,
		  entry_change_fn done, void *arg);

/* entry_changes_tick - advance the pending changes, check their timeouts */
void entry_changes_tick(struct entry *e, uint64_t now_ms);

/* Wire */

/* entry_probe - ask all peers for their versions */
void entry_probe(struct entry *e);

void entry_push_members(struct entry *e, uint64_t to);
void entry_on_frame(void *arg, uint64_t from,
		    const Jackdawwell__PeerFrame *frame);
Jackdawwell__PeerFrame *entry_pack_message(struct entry *e,
					   const struct core_message *m);
void entry_push_change(struct entry *e, uint64_t to, uint64_t version);

/* Effects: the core's callbacks queue them, the control thread runs them */

void entry_core_send(void *arg, uint64_t incarnation,
		     const struct core_message *m);
void entry_core_write(void *arg, uint32_t shard, const struct ledger_cas *cas);
void entry_run_effects(struct entry *e);
void entry_discard_effects(struct entry *e);

/* Waves */

struct conductor *conductor_new(TALLOC_CTX *ctx);

/* conductor_set_instances - update from the platform's instance list */
void conductor_set_instances(struct entry *e, const json_t *list);

/* conductor_tick - advance the waves if this entry is the conductor */
void conductor_tick(struct entry *e, uint64_t now_ms);

/* Ledger rows */

json_t *entry_row_to_json(const struct ledger *l, const struct ledger_row *row);
struct ledger_row *entry_row_parse(TALLOC_CTX *ctx, struct ledger *l,
				   const json_t *value, uint64_t version);

/* Fronts */

struct front *front_new(struct entry *e, uint32_t index);
void front_start(void *arg, struct job *job);
void front_refuse(void *arg, struct job *job, enum job_refusal refusal);
void front_stop_accepting(struct front *f);
uint32_t front_pending(const struct front *f);
void front_join(struct front *f);
void front_print_metrics(struct entry *e, FILE *out);

/* Administration */

bool admin_listen(struct entry *e);

static inline enum entry_state entry_state(struct entry *e)
{
	return (enum entry_state)atomic_load(&e->state);
}

#endif
