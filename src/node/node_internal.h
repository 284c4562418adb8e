/*
 * node_internal - parts of a node
 *
 * node.c      life, tick, what to do after each event
 * lead.c      who leads: claims, confirmations, resignation
 * takeover.c  reading the store before the first decision
 * commit.c    changed rows, in one transaction at a time
 * session.c   looks at instances and orders to them
 * watch.c     rows that others write: configuration, instances, inbox, waves
 * currency.c  how old the knowledge of the configuration is
 * ask.c       a caller's question, by the lead or by the store
 * gossip.c    beats between nodes, copies of the configuration
 * peer_server.c  what is answered to other nodes and to operators
 * machines.c  moves and upkeep, decided in fleet/
 * relay.c     calls that other nodes make for the lead
 * relay_serve.c  calls that this node makes for another that leads
 */
#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include <utlist.h>

#include "connection/frames.h"
#include "connection/httpc.h"
#include "connection/httpd.h"
#include "fleet/fleet.h"
#include "node/node.h"
#include "process/clock.h"
#include "process/event.h"
#include "process/mtimer.h"

#define NODE_TABLE_LEAD "lead"
#define NODE_TABLE_NODE "node"
#define NODE_TABLE_JOB "job"
#define NODE_TABLE_PROGRESS "progress"
#define NODE_TABLE_END "end"
#define NODE_TABLE_INBOX "inbox"
#define NODE_TABLE_UPKEEP "upkeep" /* key WAVE/MACHINE: it had its upkeep */
#define NODE_LEAD_KEY "lead"
#define NODE_PEERS_MAX 512u
#define NODE_TICK_MS 50u
#define NODE_STORE_MS \
	1500u /* a store call's time; 4 ms an answer on a calm day */

/* How long a lead gives orders after its last confirmation. */
#define LEAD_ORDERS_MS 6000u

struct peer_node {
	char name[128];
	char zone[64];
	char address[64];
	char links[64]; /* where it takes frames; empty: nowhere */
	uint64_t incarnation;
	uint32_t power;		 /* thousandths of a core */
	uint64_t heard_ms;	 /* last beat or answer; 0: never */
	bool beating;		 /* a beat waits for its answer */
	uint64_t beat_ms;	 /* when the last one was sent */
	uint64_t config_version; /* that it told last */
};

enum lead_phase {
	LEAD_NONE,    /* another node leads, or none */
	LEAD_LOADING, /* this one does, and reads the store */
	LEAD_DECIDING,
};

/* The lead row as last known. */
struct lead_view {
	char node[128];
	char address[64];
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t revision;
	uint32_t settled;
	bool known;
};

/* Tables that a node follows; the last two while it leads. */
enum feed_kind { FEED_OPERATOR, FEED_INSTANCES, FEED_INBOX, FEED_COUNT };

struct feed {
	uint64_t revision;	 /* read up to here; 0: read the table anew */
	uint64_t first_revision; /* of the first page of such a reading */
	char *from;		 /* its next page begins there; NULL: first */
	uint64_t retry_ms;	 /* not asked before */
	uint32_t turn;		 /* rises when it begins elsewhere */
	bool under_way;
};

/* A question that waits until what was decided is durable. */
struct waiter {
	struct waiter *prev, *next;
	char id[SCHED_ID_BYTES + 1];
	uint64_t deadline_ms;
	node_answer_fn fn;
	void *arg;
};

struct inbox_id {
	struct inbox_id *prev, *next;
	char id[SCHED_ID_BYTES + 1];
};

struct machines;
struct relay;
struct relay_serve;

/* New jobs that this node may record in the store by itself. */
struct record_allowance {
	double left;
	uint64_t at_ms; /* when left was so; 0: never */
};

struct relay_stats {
	uint64_t calls; /* handed to peers */
	uint64_t lost;	/* of these, without a result */
	uint32_t peers; /* that help now */
};

struct node {
	struct tevent_context *ev;
	struct node_settings settings;
	const struct services *services;
	uint64_t incarnation;
	uint64_t started_ms;
	int64_t unix_offset_ms; /* time of day less steady time, at start */
	struct mtimer *tick;
	struct tevent_immediate *pump_now;
	struct mtimer *pump_timer;
	bool pump_wanted;
	uint64_t pump_ms;      /* when the last one ended */
	uint64_t pump_took_ms; /* the last one */
	uint64_t awake_ms;     /* when the loop last turned */

	/* Peers */
	struct httpc *http; /* to other nodes */
	struct httpd *server;
	uint32_t peer_count;
	struct peer_node peers[NODE_PEERS_MAX];
	uint32_t peer_turn;
	uint32_t seed_turn;
	uint64_t seed_ms;	/* when a seed was last asked */
	uint64_t other_beat_ms; /* when one of the others was */
	uint64_t register_ms;	/* next try of the node table */

	/* Configuration */
	struct config *config;
	uint8_t *config_bytes; /* as the operators wrote it, for peers */
	size_t config_length;
	uint64_t config_shown_ms;  /* it was the newest then; 0: not known */
	bool config_current;	   /* as last logged */
	uint64_t config_behind_ms; /* since a peer has a newer one; 0: none */
	bool copying;		   /* a peer is asked for its configuration */
	uint64_t copy_ms;	   /* none is asked before */
	uint32_t copy_turn;	   /* the peer that is asked next */
	uint64_t copies_second;	   /* of the clock, that copies_sent counts */
	uint32_t copies_sent;

	/* Lead */
	struct lead_view lead;
	enum lead_phase phase;
	uint64_t store_slow_ms; /* when a call last took long or was refused */
	uint64_t store_failing_ms; /* no call was answered since; 0: it is */
	uint64_t lead_heard_ms;	   /* silence counts from here */
	uint64_t lead_able_ms;	   /* it was known able then; 0: never */
	uint64_t lead_unable_ms;   /* it said then that it is not */
	bool lead_ended;	   /* its process is known to have ended */
	bool claiming;
	bool yielded;	   /* it has left the lead to a stronger node once */
	uint64_t claim_ms; /* not before */
	bool lead_reading;
	uint64_t lead_suspect_ms; /* asked again only after this */
	uint64_t fence;
	uint64_t led_ms;
	uint64_t confirmed_ms;	/* when the last confirmed call was sent; 0:
				   doubt */
	bool predecessor_gone;	/* it gives no more orders */
	bool predecessor_ended; /* its process has, without handing over */
	char predecessor[128];
	uint64_t predecessor_incarnation;
	bool registered; /* the row of this node is written */
	bool registering;
	bool nodes_read;
	bool store_ok;
	struct record_allowance records;
	bool stopping;
	void (*stopped)(void *arg);
	void *stopped_arg;
	bool releasing;

	/* Decisions, while this node leads */
	struct sched *sched;
	struct takeover *takeover;
	struct machines *machines; /* decisions about machines */
	struct relay *relay;
	struct relay_serve *relay_serve; /* NULL: no address for it */
	uint64_t lead_epoch; /* rises with each phase change, for callbacks */
	struct waiter *waiters;
	struct inbox_id *inbox;
	uint32_t advising; /* calls to the adviser under way */
	uint32_t commits_under_way;
	uint32_t batch;		  /* the newest */
	uint64_t commit_ms;	  /* when it was sent */
	uint64_t commit_waits_ms; /* none was answered since; 0: none waits */
	bool settle;		  /* a write's outcome is unknown: void it */
	uint64_t commit_retry_ms;
	struct feed feeds[FEED_COUNT];

	/* Counters */
	uint64_t asks[8];    /* by verb */
	uint64_t answers[8]; /* by result */
	uint64_t store_calls, store_unknown, store_refused, claims, takeovers;
	uint64_t commits, looks, looks_failed, orders;
	uint64_t calls_served; /* for other nodes */
};

static inline uint64_t node_unix_ms(const struct node *n)
{
	return (uint64_t)((int64_t)clock_now_ms() + n->unix_offset_ms);
}

/* node.c */
uint8_t *node_pack(TALLOC_CTX *ctx, const void *message, size_t *length);
char *node_key_after(TALLOC_CTX *ctx, const char *key);
char *node_key_end(TALLOC_CTX *ctx, const char *key);
void node_pump(struct node *n);

/*
 * node_pump_pause_ms - between two turns of deciding, when one took so long
 *
 * The load it answers: a lead with a thousand instances in a turn. The event
 * loop hears of one descriptor between two turns, so deciding must leave half
 * of the time to hearing.
 */
uint32_t node_pump_pause_ms(uint64_t took_ms);
void node_store_result(struct node *n, enum store_status status);

/* node_store_took - the same of a call sent then, which tells of its pace */
void node_store_took(struct node *n, enum store_status status,
		     uint64_t sent_ms);

/* lead.c */

/* lead_is_weaker - whether a node leaves the lead to the strongest other */
bool lead_is_weaker(uint32_t power, uint32_t strongest);

/*
 * lead_claim_delay_ms - how long a node waits before it claims
 *
 * hash ranks nodes of one power among each other; those much weaker than the
 * strongest that is known come after all of these.
 */
uint32_t lead_claim_delay_ms(uint32_t power, uint32_t strongest, uint64_t hash);
/* lead_silent_ms - how long nothing was heard of a lead; heard_ms may lie ahead
 */
uint32_t lead_silent_ms(uint64_t heard_ms, uint64_t now);
void lead_tick(struct node *n, uint64_t now);
void lead_learn(struct node *n, const struct lead_view *view, const char *how);
bool lead_decode(const struct store_row *row, struct lead_view *view);
uint8_t *lead_encode(TALLOC_CTX *ctx, const struct lead_view *view,
		     size_t *length);
void lead_resign(struct node *n, const char *why);
bool lead_is_self(const struct node *n);
bool lead_is_able(const struct node *n);
bool lead_may_order(const struct node *n, uint64_t now);
void lead_release(struct node *n);
void lead_confirmed(struct node *n, uint64_t sent_ms);
uint32_t lead_age_ms(const struct node *n);
void lead_vouched(struct node *n, uint32_t age_ms, uint64_t now);
void lead_store_regained(struct node *n);
void lead_nodes_known(struct node *n);
void lead_heard(struct node *n, bool able, uint64_t now);

/*
 * lead_has_store - whether a lead that was confirmed then, and whose calls to
 * the store fail since failing_ms (0: they do not), may say that it leads
 */
bool lead_has_store(uint64_t confirmed_ms, uint64_t failing_ms, uint64_t now);
void lead_refused(struct node *n, uint64_t incarnation);
void lead_peer_seen(struct node *n, const char *name, uint64_t incarnation);

/* takeover.c */
void takeover_begin(struct node *n);

/* commit.c */

/*
 * commit_may_begin - whether one more transaction may be sent
 *
 * settle: the outcome of one is unknown; waited_ms: since the last was sent.
 */
bool commit_may_begin(uint32_t under_way, bool settle, uint64_t waited_ms);
void commit_run(struct node *n, uint64_t now);

/* commit_is_stalled - the store has not answered a transaction for long */
bool commit_is_stalled(uint64_t waits_ms, uint64_t now);
void waiters_tick(struct node *n, uint64_t now);
void waiters_drop(struct node *n);
void waiter_add(struct node *n, const char *id, uint64_t deadline_ms,
		node_answer_fn fn, void *arg);
void inbox_remember(struct node *n, const char *id);

/* session.c */
void session_run(struct node *n, uint64_t now);

/* watch.c */
void watch_tick(struct node *n, uint64_t now);
void watch_from(struct node *n, enum feed_kind kind, uint64_t revision);
void watch_operator_row(struct node *n, const struct store_row *row);
void watch_instance_row(struct node *n, const struct store_row *row);
void watch_inbox_row(struct node *n, const struct store_row *row);
void watch_config_bytes(struct node *n, const uint8_t *value, size_t length,
			const char *from);

/* currency.c */

#define CURRENCY_NEVER UINT32_MAX /* ms: it was never shown */

/* currency_shown - the configuration was the newest at at_ms */
void currency_shown(struct node *n, uint64_t at_ms);

/* currency_age_ms - since it was known to be the newest */
uint32_t currency_age_ms(const struct node *n, uint64_t now);

/* currency_holds - it may be answered by: its age is within the bound */
bool currency_holds(const struct node *n, uint64_t now);

/*
 * currency_peer - a peer, asked at asked_ms, said that its version was the
 * newest age_ms before it answered; of another version it shows nothing
 */
void currency_peer(struct node *n, uint64_t version, uint32_t age_ms,
		   uint64_t asked_ms);

enum currency_verdict {
	CURRENCY_DECIDES,
	CURRENCY_DROPPED, /* a newer version has it no more */
	CURRENCY_BEHIND,  /* this node cannot say */
};

/*
 * currency_verdict - whether the lead's configuration can decide a call
 *
 * The node that was asked let the call in by another version, maybe.
 */
enum currency_verdict currency_verdict(const struct config *own,
				       const struct node_ask *ask);

/* currency_tick - logs when it begins and ceases to hold */
void currency_tick(struct node *n, uint64_t now);

/* ask.c */

/*
 * record_may_begin - whether a store that was last seen to be slow then has
 * room for jobs that nodes record by themselves; 0: it never was
 */
bool record_may_begin(uint64_t store_slow_ms, uint64_t now);

/* record_allowance_take - false when this node, of so many, must not */
bool record_allowance_take(struct record_allowance *r, uint32_t nodes,
			   uint64_t now);
void ask_decide(struct node *n, const struct node_ask *ask);

/* gossip.c */

/* gossip_pack - what this node knows, packed; owned by ctx */
uint8_t *gossip_pack(struct node *n, TALLOC_CTX *ctx, bool with_config,
		     size_t *length);
void gossip_hear(struct node *n, const Fleet__Beat *beat);
void gossip_tick(struct node *n, uint64_t now);
void gossip_learn(struct node *n, const char *name, const Fleet__NodeRow *row);
uint32_t gossip_strongest(const struct node *n, uint64_t since_ms);

/* relay.c */
bool relay_start(struct node *n);
void relay_begin(struct node *n);
void relay_end(struct node *n);
void relay_tick(struct node *n, uint64_t now);

/* relay_power_needed - of peers, for a lead that calls `alone` by itself */
uint32_t relay_power_needed(uint32_t instances, uint32_t alone);

/*
 * relay_is_silent - whether a peer that was last heard then is to be left;
 * unread: words of it wait to be read
 */
bool relay_is_silent(uint64_t heard_ms, bool unread, uint64_t now);

/* relay_is_gathering - links to peers are being made: wait with calls */
bool relay_is_gathering(const struct node *n, uint64_t now);

/*
 * relay_order, relay_look - false when no peer helps: call the instance here
 *
 * Calls leave with relay_flush; what they point to must last until then.
 */
bool relay_order(struct node *n, const struct sched_order *order,
		 uint32_t timeout_ms, order_fn fn, void *arg);
bool relay_look(struct node *n, const struct sched_poll *look,
		uint32_t timeout_ms, look_fn fn, void *arg);
void relay_flush(struct node *n);
void relay_stats(const struct node *n, struct relay_stats *stats);

/* relay_serve.c */
bool relay_serve_start(struct node *n);
void relay_serve_tick(struct node *n, uint64_t now);

/* peer_server.c */
bool peer_server_start(struct node *n);

/* machines.c */

struct holder_view {
	uint64_t started_ms; /* this process */
	uint64_t led_ms;     /* since when it leads */
	uint32_t holder_ms;
	bool predecessor_ended; /* its process has, without handing over */
};

/*
 * machines_holder_free - whether no other lead's order to a machine can be
 * less than holder_ms away
 *
 * A predecessor that ended shortly before this process began went with it.
 */
bool machines_holder_free(const struct holder_view *view, uint64_t now);
void machines_begin(struct node *n);
void machines_end(struct node *n);
void machines_tick(struct node *n, uint64_t now);
bool machines_stats(const struct node *n, struct fleet_stats *stats);
void machines_wave(struct node *n, struct wave_request *request);

#endif
