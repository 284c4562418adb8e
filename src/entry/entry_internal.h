/*
 * entry_internal - what the entry's source files share
 *
 * entry.c		the process: start, drain, the control loop
 * entry_sync.c		rows of the table service into the entry's state
 * entry_register.c	registration, and entries that are gone
 * entry_change.c	changes of the configuration
 * entry_wire.c		frames between entries
 * entry_out.c		effects of the core, carried out by the control loop
 * front.c		callers' requests, one front a thread
 * front_worker.c	exchanges with workers
 * admin.c		the administration API
 * conductor.c		maintenance waves
 *
 * The control thread owns everything here but the core, which the fronts
 * share under core_lock. Lock order: core_lock, then a front's mail lock.
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

#define ENTRY_CHANGES 256 /* newest changes kept in memory */
#define ENTRY_KEY_MAX 128 /* bytes of a row's key */

enum entry_state {
	ENTRY_STARTING, /* not registered or without a configuration */
	ENTRY_SERVING,
	ENTRY_NOTICE,	/* not ready for the balancer, still accepting */
	ENTRY_DRAINING, /* accepts nothing, finishes what it has */
	ENTRY_GONE,	/* unregistered by its peers: must stop */
};

struct front;
struct entry_change;
struct conductor;

/* An effect of the core that the control thread carries out. */
struct entry_out {
	struct entry_out *next;
	bool is_write;
	uint64_t incarnation; /* of a message's receiver */
	Jackdawwell__PeerFrame *frame;
	uint32_t shard;
	json_t *txn;
};

/* When a member was first seen to be gone. */
struct entry_gone {
	uint64_t incarnation;
	uint64_t since_ms;
	bool listed; /* the platform's list once showed its name */
	bool gone;
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
	struct cfg *cfg;   /* in force; written by the control thread */
	struct entry_out *out;
	struct entry_out **out_tail;

	/* The control thread's */
	int out_fd; /* eventfd that tells of new effects */
	struct cfg_names *names;
	_Atomic uint64_t cfg_version;
	uint64_t revision; /* rows are known up to here */
	bool scanning;
	bool loading; /* a snapshot is on its way */
	uint64_t snapshot_version;
	uint32_t snapshot_run_max_ms;
	struct members members;
	struct entry_gone gone[MEMBERS_MAX];
	uint32_t gone_count;
	struct freshness freshness;
	uint64_t incarnation;
	uint64_t boot;
	uint64_t registered_version;
	bool writing_members;
	json_t *changes[ENTRY_CHANGES]; /* by version modulo ENTRY_CHANGES */
	uint64_t head_revision;		/* of ROW_HEAD */
	uint64_t head_version;		/* newest configuration committed */
	struct entry_change *pending;	/* changes being accepted */
	uint64_t nonce;
	struct conductor *conductor;
	uint64_t drain_since_ms;
	uint64_t probed_ms;
	uint64_t scanned_ms;
	uint64_t listed_ms;
	uint64_t ticked_ms;
	bool removed_self;
	bool finished; /* the control loop may end */
	int exit_code;
};

/* Sync */

/* entry_scan - read what changed in the table service */
void entry_scan(struct entry *e);

/* entry_install - put a configuration version in force; takes it over */
void entry_install(struct entry *e, struct cfg *cfg);

/*
 * entry_take_change - a change of the log, from the store or a peer
 *
 * Returns false when it does not follow the version in force.
 */
bool entry_take_change(struct entry *e, uint64_t version, json_t *change);

/* entry_freshen - tell the core until when it is fresh */
void entry_freshen(struct entry *e);

/* Registration */

void entry_take_members(struct entry *e, const json_t *value, uint64_t version);
bool entry_listen_to_peers(struct entry *e);
void entry_register(struct entry *e);
void entry_check_members(struct entry *e, uint64_t now_ms);
void entry_read_list(struct entry *e);
void entry_remove_self(struct entry *e);

/* Changes */

typedef void (*entry_changed_fn)(void *arg, unsigned int code, json_t *body);

/*
 * entry_change - commit a change of the configuration
 *
 * change is borrowed; id names the change, so that a repeated one is not
 * committed twice. done gets the answer's status and body, and owns body.
 */
void entry_change(struct entry *e, uint64_t base, const json_t *change,
		  const char *id, const char *operator_name,
		  entry_changed_fn done, void *arg);

/* entry_changes_tick - acceptance and time-outs of changes under way */
void entry_changes_tick(struct entry *e, uint64_t now_ms);

/* Wire */

void entry_probe(struct entry *e);
void entry_push_members(struct entry *e, uint64_t to);
void entry_on_frame(void *arg, uint64_t from,
		    const Jackdawwell__PeerFrame *frame);
Jackdawwell__PeerFrame *entry_pack(struct entry *e,
				   const struct core_message *m);
void entry_push_change(struct entry *e, uint64_t to, uint64_t version);

/* Out */

void entry_core_send(void *arg, uint64_t incarnation,
		     const struct core_message *m);
void entry_core_write(void *arg, uint32_t shard, const struct ledger_cas *cas);
void entry_run_out(struct entry *e);
void entry_drop_out(struct entry *e);

/* Waves */

struct conductor *conductor_new(TALLOC_CTX *ctx);

/* conductor_see - the platform's list of instances */
void conductor_see(struct entry *e, const json_t *list);

/* conductor_tick - take the next steps if this entry is the conductor */
void conductor_tick(struct entry *e, uint64_t now_ms);

/* Ledger rows */

json_t *entry_row_json(const struct ledger *l, const struct ledger_row *row);
struct ledger_row *entry_row_parse(TALLOC_CTX *ctx, struct ledger *l,
				   const json_t *value, uint64_t version);

/* Fronts */

struct front *front_new(struct entry *e, uint32_t index);
void front_start(void *arg, struct job *job);
void front_refuse(void *arg, struct job *job, enum job_refusal why);
void front_stop_accepting(struct front *f);
uint32_t front_pending(const struct front *f);
void front_join(struct front *f);
void front_print(struct entry *e, FILE *out);

/* Administration */

bool admin_listen(struct entry *e);

static inline enum entry_state entry_state(struct entry *e)
{
	return (enum entry_state)atomic_load(&e->state);
}

#endif
