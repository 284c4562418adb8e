/*
 * node_internal - parts of a node
 *
 * node.c         start, stop, tick, scheduling of decisions after events
 * leader.c       leader election: claims, confirmations, resignation
 * takeover.c     loads the store's tables before a new leader decides
 * commit.c       writes changed rows in transactions
 * session.c      polls of instances and orders to them
 * watch.c        change feeds: configuration, instances, inbox, waves
 * staleness.c    age of the knowledge of the configuration
 * request.c      callers' requests, answered by the leader or the store
 * gossip.c       heartbeats between nodes, copies of the configuration
 * peer_server.c  HTTP server for other nodes and operators
 * machines.c     machine moves and maintenance, decided in fleet/
 * relay.c        calls to instances that peers make for the leader
 * relay_server.c calls to instances that this node makes for the leader
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

#define NODE_TABLE_LEADER "lead"
#define NODE_TABLE_NODE "node"
#define NODE_TABLE_JOB "job"
#define NODE_TABLE_PROGRESS "progress"
#define NODE_TABLE_END "end"
#define NODE_TABLE_INBOX "inbox"
#define NODE_TABLE_MAINTENANCE \
	"upkeep" /* key WAVE/MACHINE of done maintenance */
#define NODE_LEADER_KEY "lead"
#define NODE_PEERS_MAX 512u
#define NODE_TICK_MS 50u
#define NODE_STORE_MS 1500u /* timeout of a store call; normally 4 ms */

/* How long a leader gives orders after its last confirmation. */
#define LEADER_ORDERS_MS 6000u

struct peer_node {
	char name[128];
	char zone[64];
	char address[64];
	char links[64]; /* address for framed links; empty: none */
	uint64_t incarnation;
	uint32_t power;		    /* thousandths of a core */
	uint64_t last_heard_ms;	    /* last heartbeat or reply; 0: never */
	bool heartbeat_pending;	    /* a heartbeat waits for its reply */
	uint64_t heartbeat_sent_ms; /* when the last heartbeat was sent */
	uint64_t config_version;    /* last reported */
};

enum leader_phase {
	LEADER_NONE,	/* another node leads, or none */
	LEADER_LOADING, /* this node leads and loads the store's tables */
	LEADER_DECIDING,
};

/* The leader row as last known. */
struct leader_view {
	char node[128];
	char address[64];
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t revision;
	uint32_t resolved; /* incremented to void writes of unknown outcome */
	bool known;
};

/* Tables that a node follows; the last two only while it leads. */
enum feed_kind { FEED_OPERATOR, FEED_INSTANCES, FEED_INBOX, FEED_COUNT };

struct feed {
	uint64_t revision;	 /* read up to here; 0: read the table again */
	uint64_t first_revision; /* of the first page of such a read */
	char *page_from;     /* first key of the next page; NULL: first page */
	uint64_t retry_ms;   /* no call before this time */
	uint32_t generation; /* incremented by watch_from() */
	bool in_flight;
};

/* A request that waits until its decision is durable. */
struct waiter {
	struct waiter *prev, *next;
	char id[SCHED_ID_BYTES + 1];
	uint64_t deadline_ms;
	node_answer_fn fn;
	void *arg;
};

/* An inbox row to delete once its job has ended. */
struct inbox_id {
	struct inbox_id *prev, *next;
	char id[SCHED_ID_BYTES + 1];
};

struct machines;
struct relay;
struct relay_server;

/* Token bucket: new jobs that this node may record in the store by itself. */
struct record_bucket {
	double tokens;
	uint64_t updated_ms; /* when tokens was computed; 0: never */
};

struct relay_stats {
	uint64_t calls; /* sent to peers */
	uint64_t lost;	/* of these, without a result */
	uint32_t peers; /* connected as relays now */
};

struct node {
	struct tevent_context *ev;
	struct node_settings settings;
	const struct services *services;
	uint64_t incarnation;
	uint64_t started_ms;
	int64_t unix_offset_ms; /* wall clock minus monotonic clock, at start */
	struct mtimer *tick;
	struct tevent_immediate *pump_now;
	struct mtimer *pump_timer;
	bool pump_scheduled;
	uint64_t pump_ended_ms;	    /* when the last run ended */
	uint64_t pump_duration_ms;  /* of the last run */
	uint64_t last_iteration_ms; /* last iteration of the event loop */

	/* Peers */
	struct httpc *http; /* to other nodes */
	struct httpd *server;
	uint32_t peer_count;
	struct peer_node peers[NODE_PEERS_MAX];
	uint32_t next_peer;
	uint32_t next_seed;
	uint64_t seed_heartbeat_ms; /* last request to a seed */
	uint64_t peer_heartbeat_ms; /* last round-robin heartbeat */
	uint64_t next_register_ms;  /* next write or read of the node table */

	/* Configuration */
	struct config *config;
	uint8_t *config_bytes; /* as written by the operators, for peers */
	size_t config_length;
	uint64_t config_verified_ms; /* last known to be the newest; 0: never */
	bool config_current;	     /* in bound, as last logged */
	uint64_t config_behind_since_ms; /* a peer has a newer one; 0: none */
	bool fetching_config;	   /* a peer's configuration is being fetched */
	uint64_t next_fetch_ms;	   /* no fetch before this time */
	uint32_t next_fetch_peer;  /* index of the next peer to fetch from */
	uint64_t configs_window_s; /* the second that configs_sent counts */
	uint32_t configs_sent;

	/* Leader */
	struct leader_view leader;
	enum leader_phase phase;
	uint64_t store_last_slow_ms;	 /* last slow or refused store call */
	uint64_t store_failing_since_ms; /* calls fail since; 0: they do not */
	uint64_t leader_last_heard_ms;	 /* its silence counts from here */
	uint64_t leader_live_ms;	 /* last known to be live; 0: never */
	uint64_t leader_not_live_ms; /* when it last reported not to be live */
	bool leader_ended;	     /* its process is known to have ended */
	bool claiming;
	bool stepped_down; /* has handed leadership to a stronger node once */
	uint64_t next_claim_ms; /* no claim before this time */
	bool leader_reading;
	uint64_t leader_suspect_until_ms; /* no request to it before */
	uint64_t fence;
	uint64_t leader_since_ms;
	uint64_t confirmed_ms; /* sending of the last confirmed call; 0: none */
	bool predecessor_gone; /* it gives no more orders */
	bool predecessor_ended; /* its process ended without handing over */
	char predecessor[128];
	uint64_t predecessor_incarnation;
	bool registered; /* this node's row is written */
	bool registering;
	bool nodes_read; /* the node table was read */
	bool store_ok;
	struct record_bucket record_bucket;
	bool stopping;
	void (*stopped)(void *arg);
	void *stopped_arg;
	bool releasing;

	/* While this node leads */
	struct sched *sched;
	struct takeover *takeover;
	struct machines *machines; /* state of machines.c */
	struct relay *relay;
	struct relay_server
		*relay_server;	   /* NULL: no address for framed links */
	uint64_t phase_generation; /* callbacks of an earlier one are ignored */
	struct waiter *waiters;
	struct inbox_id *inbox;
	uint32_t advice_calls; /* calls to the adviser in flight */
	uint32_t commits_in_flight;
	uint32_t last_batch;		  /* number of the newest transaction */
	uint64_t last_commit_ms;	  /* when it was sent */
	uint64_t commit_waiting_since_ms; /* no reply since; 0: none waits */
	bool resolve_pending; /* a write's outcome is unknown: void it */
	uint64_t commit_retry_ms;
	struct feed feeds[FEED_COUNT];

	/* Counters */
	uint64_t requests[8]; /* by verb */
	uint64_t answers[8];  /* by result */
	uint64_t store_calls, store_unknown, store_refused, claims, takeovers;
	uint64_t commits, polls, polls_failed, orders;
	uint64_t calls_served; /* to instances, as a relay */
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
 * node_pump_pause_ms - pause after a run of decisions that took took_ms
 *
 * Designed for a leader with a thousand instances. The event loop may handle
 * only one descriptor between two runs, so half of the time is left for events.
 */
uint32_t node_pump_pause_ms(uint64_t took_ms);
void node_store_result(struct node *n, enum store_status status);

/* node_store_timed_result - also notes whether the call was slow or refused */
void node_store_timed_result(struct node *n, enum store_status status,
			     uint64_t sent_ms);

/* leader.c */

/* leader_is_weaker - whether a node leaves leadership to the strongest other */
bool leader_is_weaker(uint32_t power, uint32_t strongest);

/*
 * leader_claim_delay_ms - how long a node waits before it claims leadership
 *
 * hash ranks nodes of similar power; nodes much weaker than the strongest known
 * node claim after all of them.
 */
uint32_t leader_claim_delay_ms(uint32_t power, uint32_t strongest,
			       uint64_t hash);

/* leader_silent_ms - time since heard_ms; 0 if that is in the future */
uint32_t leader_silent_ms(uint64_t heard_ms, uint64_t now);
void leader_tick(struct node *n, uint64_t now);
void leader_learn(struct node *n, const struct leader_view *view,
		  const char *how);
bool leader_decode(const struct store_row *row, struct leader_view *view);
uint8_t *leader_encode(TALLOC_CTX *ctx, const struct leader_view *view,
		       size_t *length);
void leader_resign(struct node *n, const char *why);
bool leader_is_self(const struct node *n);
bool leader_is_live(const struct node *n);
bool leader_may_order(const struct node *n, uint64_t now);
void leader_release(struct node *n);
void leader_confirmed(struct node *n, uint64_t sent_ms);
uint32_t leader_live_age_ms(const struct node *n);
void leader_reported_live(struct node *n, uint32_t age_ms, uint64_t now);
void leader_store_recovered(struct node *n);
void leader_nodes_loaded(struct node *n);
void leader_heartbeat(struct node *n, bool live, uint64_t now);

/*
 * leader_has_store - whether a leader may report itself as live
 *
 * confirmed_ms: its last confirmation; failing_since_ms: since when its calls
 * to the store fail, 0 if they don't.
 */
bool leader_has_store(uint64_t confirmed_ms, uint64_t failing_since_ms,
		      uint64_t now);
void leader_connection_refused(struct node *n, uint64_t incarnation);
void leader_peer_seen(struct node *n, const char *name, uint64_t incarnation);

/* takeover.c */
void takeover_begin(struct node *n);

/* commit.c */

/*
 * commit_may_begin - whether one more transaction may be sent
 *
 * resolving: the outcome of one is unknown; waited_ms: since the last was sent.
 */
bool commit_may_begin(uint32_t in_flight, bool resolving, uint64_t waited_ms);
void commit_run(struct node *n, uint64_t now);

/* commit_is_stalled - whether transactions have waited too long for a reply */
bool commit_is_stalled(uint64_t waiting_since_ms, uint64_t now);
void waiters_tick(struct node *n, uint64_t now);
void waiters_drop(struct node *n);
void waiter_add(struct node *n, const char *id, uint64_t deadline_ms,
		node_answer_fn fn, void *arg);
void inbox_add(struct node *n, const char *id);

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

/* staleness.c */

#define STALENESS_UNKNOWN UINT32_MAX /* ms: never verified */

/* staleness_verified - note that the configuration was the newest at at_ms */
void staleness_verified(struct node *n, uint64_t at_ms);

/* staleness_ms - time since it was known to be the newest */
uint32_t staleness_ms(const struct node *n, uint64_t now);

/* staleness_in_bound - whether it is fresh enough to answer requests */
bool staleness_in_bound(const struct node *n, uint64_t now);

/*
 * staleness_peer_report - note a peer's report about its version
 *
 * The peer was asked at requested_ms; its version was the newest age_ms before
 * it replied. Proves nothing if this node has another version.
 */
void staleness_peer_report(struct node *n, uint64_t version, uint32_t age_ms,
			   uint64_t requested_ms);

enum staleness_verdict {
	STALENESS_DECIDES,
	STALENESS_REMOVED, /* by a newer version: queue or workspace */
	STALENESS_BEHIND,  /* this node's version may be too old */
};

/*
 * staleness_verdict - whether the leader's configuration can decide a request
 *
 * The node that forwarded the request may have admitted it by another version.
 */
enum staleness_verdict staleness_verdict(const struct config *own,
					 const struct node_request *req);

/* staleness_tick - log when the configuration becomes fresh or stale */
void staleness_tick(struct node *n, uint64_t now);

/* request.c */

/*
 * record_pause_is_over - whether the store has room for jobs that nodes record
 *
 * store_slow_ms: when it was last slow; 0: never.
 */
bool record_pause_is_over(uint64_t store_slow_ms, uint64_t now);

/* record_bucket_take - take a token; `nodes` nodes share the rate */
bool record_bucket_take(struct record_bucket *r, uint32_t nodes, uint64_t now);
void request_decide(struct node *n, const struct node_request *req);

/* gossip.c */

/* gossip_pack - this node's heartbeat, serialized; owned by ctx */
uint8_t *gossip_pack(struct node *n, TALLOC_CTX *ctx, bool with_config,
		     size_t *length);
void gossip_receive(struct node *n, const Fleet__Beat *heartbeat);
void gossip_tick(struct node *n, uint64_t now);
void gossip_update_peer(struct node *n, const char *name,
			const Fleet__NodeRow *row);
uint32_t gossip_max_power(const struct node *n, uint64_t since_ms);

/* relay.c */
bool relay_start(struct node *n);
void relay_begin(struct node *n);
void relay_end(struct node *n);
void relay_tick(struct node *n, uint64_t now);

/*
 * relay_power_needed - power of the peers that a leader needs as relays
 *
 * In thousandths of a core; 0 for up to direct_max instances, which the leader
 * calls itself.
 */
uint32_t relay_power_needed(uint32_t instances, uint32_t direct_max);

/*
 * relay_is_unresponsive - whether a peer last heard at heard_ms counts as lost
 *
 * unread: data that it sent waits to be read.
 */
bool relay_is_unresponsive(uint64_t heard_ms, bool unread, uint64_t now);

/* relay_is_connecting - links to peers are being set up: hold back calls */
bool relay_is_connecting(const struct node *n, uint64_t now);

/*
 * relay_order, relay_poll - false if no peer relays: call the instance directly
 *
 * relay_flush sends the calls; what they point to must stay valid until then.
 */
bool relay_order(struct node *n, const struct sched_order *order,
		 uint32_t timeout_ms, order_fn fn, void *arg);
bool relay_poll(struct node *n, const struct sched_poll *poll,
		uint32_t timeout_ms, poll_fn fn, void *arg);
void relay_flush(struct node *n);
void relay_stats(const struct node *n, struct relay_stats *stats);

/* relay_server.c */
bool relay_server_start(struct node *n);
void relay_server_tick(struct node *n, uint64_t now);

/* peer_server.c */
bool peer_server_start(struct node *n);

/* machines.c */

struct holder_view {
	uint64_t started_ms;	  /* start of this process */
	uint64_t leader_since_ms; /* start of its leadership */
	uint32_t holder_ms;
	bool predecessor_ended; /* its process ended without handing over */
};

/*
 * machines_holder_free - whether another leader's last order to a machine is at
 * least holder_ms ago
 *
 * A predecessor whose process ended shortly before this process started was
 * stopped by the same restart of all nodes, so none of its orders can be under
 * way: no wait is needed while this process is younger than holder_ms.
 */
bool machines_holder_free(const struct holder_view *view, uint64_t now);
void machines_begin(struct node *n);
void machines_end(struct node *n);
void machines_tick(struct node *n, uint64_t now);
bool machines_stats(const struct node *n, struct fleet_stats *stats);
void machines_add_wave(struct node *n, struct wave_request *request);

#endif
