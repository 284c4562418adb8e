/*
 * node_internal - state of a node and the interfaces between its parts
 *
 * node.c         start, stop, tick, scheduling of the leader's passes
 * leader.c       leader election: claims, confirmations, resignation
 * term.c         log lines and counters of claims and terms
 * takeover.c     loads the store's tables before a new leader decides
 * commit.c       writes the leader's decisions in transactions
 * waiters.c      requests that wait until the leader's decision is durable
 * end_rows.c     deletion of the rows of jobs that ended long ago
 * session.c      the leader's polls, orders and calls for advice
 * watch.c        change feeds: configuration, instances, inbox, waves
 * inbox.c        jobs and cancellations that other nodes recorded
 * load.c         how the event loop spends its time
 * evacuations.c  zones in which operators want nothing to be started
 * staleness.c    time since the configuration was known to be the newest
 * request.c      callers' requests, answered by the leader or the store
 * states.c       states of jobs that the leader lets this node repeat
 * gossip.c       heartbeats between nodes, configuration fetched from peers
 * peer_server.c  HTTP server for other nodes and operators
 * machines.c     carries out the machine moves and maintenance of fleet/
 * relay.c        calls to instances that peers make for the leader
 * relay_server.c calls to instances that this node makes for the leader
 */
#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include <uthash.h>
#include <utlist.h>

#include "connection/frames.h"
#include "connection/httpc.h"
#include "connection/httpd.h"
#include "fleet/fleet.h"
#include "job/evacuation.h"
#include "node/node.h"
#include "process/clock.h"
#include "process/event.h"
#include "process/mtimer.h"

#define NODE_TABLE_LEADER "lead"
#define NODE_TABLE_NODE "node"
#define NODE_TABLE_JOB "job"
#define NODE_TABLE_PROGRESS "progress"
#define NODE_TABLE_END "end"
/* Jobs and cancellations that nodes recorded for the leader; keys: job ids. */
#define NODE_TABLE_INBOX "inbox"
/* Which of the leader's last transactions were applied. */
#define NODE_TABLE_COMMIT "commit"
/* Ordered maintenance; keys are WAVE/MACHINE. */
#define NODE_TABLE_MAINTENANCE "upkeep"
#define NODE_LEADER_KEY "lead"
#define NODE_PEERS_MAX 512u
#define NODE_NAME_MAX 128   /* bytes, with the NUL */
#define NODE_ADDRESS_MAX 64 /* bytes of host and port, with the NUL */
#define NODE_COUNTERS 8	    /* more than there are verbs or results */
#define NODE_TICK_MS 50u
#define NODE_STORE_MS 1500u /* timeout of a store call; normally 4 ms */

/* The most that is allowed for the lag of an event loop. */
#define NODE_LAG_MAX_MS 2000u

/* Shortest interval of a node's heartbeats to the leader. */
#define LEADER_HEARTBEAT_MS 300u

/* How long a leader gives orders after its last confirmation. */
#define LEADER_ORDERS_MS 6000u

/* Forms of ProgressRow: 0 lists each step that has progress */
#define ROW_FORMAT_RANGES 1u /* and ranges of occurrences that are done */

struct peer_node {
	char name[NODE_NAME_MAX];
	char zone[SCHED_ZONE_MAX];
	char address[NODE_ADDRESS_MAX];
	char links[NODE_ADDRESS_MAX]; /* for framed links; empty: none */
	uint64_t incarnation;
	uint32_t power;		/* thousandths of a core */
	uint32_t formats;	/* newest form of ProgressRow that it reads */
	uint64_t last_heard_ms; /* last heartbeat, or when it became known */
	uint32_t heartbeats_pending; /* without an answer yet */
	uint64_t heartbeat_sent_ms;  /* when the last heartbeat was sent */
	uint64_t config_version;     /* in its last heartbeat */
};

enum leader_phase {
	LEADER_NONE,	/* this node isn't the leader */
	LEADER_LOADING, /* it is the leader and loads the store's tables */
	LEADER_DECIDING,
};

/* The leader row as last known. */
struct leader_view {
	char node[NODE_NAME_MAX]; /* empty: leadership was released */
	char address[NODE_ADDRESS_MAX];
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t revision;
	uint32_t resolved; /* incremented to void writes of unknown outcome */
	/* When it was written, leaders before this one could give orders. */
	bool formers;
	bool known;
};

/* How long the leader takes to answer heartbeats. */
struct leader_answers {
	uint64_t since_ms;   /* beginning of the current window */
	uint32_t longest_ms; /* in the current window */
	uint32_t before_ms;  /* in the one before */
};

/* What is logged and counted of a node's claims and terms as the leader. */
struct term {
	uint64_t epoch;		    /* of the last term */
	uint64_t deciding_since_ms; /* in that term; 0: it never decided */
	bool first_start_sent;	    /* in that term */
	uint64_t not_live_since_ms; /* as last logged; 0: it is live */

	/* Who last reported a live leader: itself or another node. */
	char heard_from[NODE_NAME_MAX];

	uint64_t missing_since_ms;  /* no live leader is known; 0: one is */
	uint64_t missing_logged_ms; /* when that was last logged */

	/* Counters */
	uint64_t decided;			 /* terms that decided */
	uint64_t phase_ms[LEADER_DECIDING + 1u]; /* in terms that ended */
	uint64_t claims_failed[STORE_STATUSES];
	/* to the leader */
	uint64_t heartbeats_sent, heartbeats_answered;
	uint64_t heartbeats_timed_out, heartbeats_failed;
};

/* Tables that a node follows; the last two only while it is the leader. */
enum feed_kind { FEED_OPERATOR, FEED_INSTANCES, FEED_INBOX, FEED_COUNT };

struct feed {
	uint64_t revision; /* changes are known up to here; 0: read the table */
	uint64_t first_revision; /* of the first page of the table's read */
	char *page_from;   /* first key of the next page; NULL: first page */
	uint64_t retry_ms; /* no call before this time */

	/* Incremented by watch_from(); earlier calls are outdated then. */
	uint32_t generation;
	bool in_flight;
};

/* Rows of evacuations in the pages of one read of the operators' table. */
struct evacuation_read {
	uint64_t first_revision; /* of the first page; 0: none was read */
	uint64_t sent_ms;	 /* when the first page was asked for */
	uint32_t count;
	struct evacuation_row *rows;
};

/* What a node knows of evacuations. */
struct evacuation_state {
	struct evacuations *set;
	const char *source;   /* of what is being applied, for the log */
	uint64_t verified_ms; /* last known to be complete; 0: never */
	bool changed;	      /* since the leader's parts were told */
	bool held;	      /* starts, because the set is unknown or old */
	uint64_t held_since_ms;
	struct evacuation_read table; /* of the feed's read of the table */
	/* The leader's own read of the evacuations alone */
	struct evacuation_read own;
	char *page_from; /* first key of its next page; NULL: first page */
	bool reading;
	uint64_t retry_ms;
	uint64_t reads; /* counter */
};

/* A request that waits until its decision is durable. */
struct waiter {
	struct waiter *prev, *next;
	char id[SCHED_ID_BYTES + 1];
	uint64_t deadline_ms;
	node_answer_fn fn;
	void *arg;
};

/* An inbox row, to be deleted together with its job's row. */
struct inbox_id {
	char id[SCHED_ID_BYTES + 1];
	UT_hash_handle hh;
};

/* Rows of ended jobs that this leader deletes. */
struct end_rows {
	uint64_t left; /* rows that the takeover left in the store; 0: none */
	uint64_t rows; /* of the table that were read since, for the log */
	uint64_t read_ms; /* no read of these before this time */
	char *from;	  /* first key of the next page; NULL: first page */
	bool reading;
	uint64_t sent_ms;	   /* when deletions were last sent */
	uint64_t waiting_since_ms; /* expired jobs in no batch; 0: none */
};

#define COMMITS_IN_FLIGHT_MAX 2u /* the store applies them one by one */

struct batch;
struct machines;
struct relay;
struct relay_server;

/* Token bucket: new jobs that this node may record in the store by itself. */
struct record_bucket {
	double tokens;
	uint64_t updated_ms; /* when tokens were last added; 0: never */
};

/* Parts of a leader's work; what is in none of them is overhead of calls. */
enum load_part {
	LOAD_DECIDE,	/* timers and placement */
	LOAD_CALLS,	/* passing orders and polls on */
	LOAD_COMMIT,	/* encoding of transactions */
	LOAD_MACHINES,	/* moves and maintenance of machines */
	LOAD_RESULTS,	/* reports and answers to orders, from relays */
	LOAD_REQUESTS,	/* of callers */
	LOAD_DIRECTORY, /* changes of instances and their entries */
	LOAD_PARTS
};

struct load {
	uint64_t woken_us; /* when the last wait for events ended */
	uint64_t busy_us;  /* time not spent waiting for events */
	uint64_t part_us[LOAD_PARTS];
	uint64_t passes;
};

/* A job's state, as the leader last reported it to this node. */
struct known_state {
	struct known_state *prev, *next; /* oldest first */
	char id[SCHED_ID_BYTES + 1];
	char queue[SCHED_NAME_MAX];
	Fleet__JobState state;
	uint64_t valid_until_ms;
	UT_hash_handle hh;
};

struct known_states {
	struct known_state *by_id;
	struct known_state *list;
	uint64_t repeated; /* answers by these states */
};

struct relay_stats {
	uint64_t calls; /* passed to peers */
	uint64_t lost;	/* calls whose outcome no peer reported */
	uint32_t peers; /* that relay calls now */
};

struct node {
	struct tevent_context *ev;
	struct node_settings settings;
	const struct services *services;
	uint64_t incarnation;
	uint64_t started_ms;
	int64_t unix_offset_ms; /* wall clock minus monotonic clock, at start */
	struct mtimer *tick;
	struct tevent_immediate *pass_now;
	struct mtimer *pass_timer;
	bool pass_scheduled;
	uint64_t pass_ended_ms;	    /* end of the last pass */
	uint64_t pass_duration_ms;  /* of the last pass */
	uint64_t last_iteration_ms; /* last tick or pass */
	uint64_t last_tick_ms;
	uint32_t loop_lag_ms; /* how late ticks come; fades */

	/* Peers */
	struct httpc *http; /* calls to other nodes */
	struct httpd *server;
	struct budget *server_budget;
	uint32_t peer_count;
	struct peer_node peers[NODE_PEERS_MAX];
	uint32_t next_peer; /* index; heartbeats go round robin */
	uint32_t next_seed;
	uint64_t seed_heartbeat_ms; /* last heartbeat to a seed */
	uint64_t peer_heartbeat_ms; /* last round-robin heartbeat */
	uint64_t next_register_ms;  /* no node table call before this time */

	/* Configuration */
	struct config *config;
	uint8_t *config_bytes; /* as written by the operators, for peers */
	size_t config_length;
	uint64_t config_verified_ms; /* last known to be the newest; 0: never */
	bool config_current;	     /* not stale, as last logged */

	/* When a peer first reported a newer version; 0: none has one. */
	uint64_t config_behind_since_ms;

	bool fetching_config;	   /* a peer's configuration is being fetched */
	uint64_t next_fetch_ms;	   /* no fetch before this time */
	uint32_t next_fetch_peer;  /* index of the next peer to fetch from */
	uint64_t configs_window_s; /* the second that configs_sent counts */
	uint32_t configs_sent;	   /* to peers */

	struct evacuation_state evacuation;

	/* Leader */
	struct leader_view leader;
	enum leader_phase phase;
	uint64_t store_last_slow_ms; /* last slow or refused call; 0: none */

	/* First failed store call since one was answered; 0: none. */
	uint64_t store_failing_since_ms;

	/*
	 * First refused store call since one succeeded; 0: none. A call
	 * without an answer says nothing about the next one.
	 */
	uint64_t store_refusing_since_ms;

	/* The leader's silence counts from here; may be in the future. */
	uint64_t leader_last_heard_ms;

	/* When the leader was last known to be live, and not live; 0: never. */
	uint64_t leader_live_ms;
	uint64_t leader_not_live_ms;
	struct leader_answers leader_answers;
	uint32_t leader_changes;    /* recent ones without a release */
	uint64_t leader_changed_ms; /* when the last of them was learned */
	uint64_t leader_learned_ms; /* when the leader was */
	uint64_t epoch_learned_ms;  /* when its epoch was */
	bool leader_ended;	/* the leader's process seems to have ended */
	bool leader_restarted;	/* it has: a later one of that node is known */
	bool claiming;		/* a claim is in flight */
	uint64_t claim_sent_ms; /* when the last claim was sent */
	uint64_t term_epoch;	/* of this node's newest term; 0: none */
	bool stepped_down; /* has released leadership to a stronger node once */
	uint64_t next_claim_ms;	 /* no claim before this time */
	bool leader_reading;	 /* a read of the leader row is in flight */
	uint64_t leader_read_ms; /* when the last one was sent */
	uint64_t leader_suspect_until_ms; /* no request to the leader before */
	uint64_t fence;			  /* revision of this node's claim */
	uint64_t leader_since_ms;	  /* when this node's claim succeeded */

	/*
	 * When the last store call was sent that found the leader row
	 * unchanged; 0: a new confirmation is needed before the next order.
	 */
	uint64_t confirmed_ms;
	uint64_t doubted_ms; /* an earlier confirmation allows no order */

	/* predecessor_ended: its process ended without releasing leadership. */
	bool predecessor_gone; /* the predecessor gives no more orders */
	bool predecessor_ended;
	/* Until then leaders before the predecessor may; 0: there are none. */
	uint64_t formers_until_ms;
	char predecessor[NODE_NAME_MAX];
	uint64_t predecessor_incarnation;
	bool registered;  /* this node's row is stored */
	bool registering; /* a read or write of the node table is in flight */
	bool nodes_read;  /* the node table was read */
	bool store_ok;	  /* the last store call didn't fail */
	struct record_bucket record_bucket;
	struct known_states *states;
	bool stopping;
	void (*stopped)(void *arg);
	void *stopped_arg;
	bool releasing; /* the write that releases leadership is in flight */

	/* While this node is the leader */
	struct sched *sched;
	struct takeover *takeover;
	struct machines *machines; /* state of machines.c */
	struct relay *relay;
	struct relay_server *relay_server; /* NULL: links aren't configured */
	/*
	 * Incremented when this node's leadership begins or ends; callbacks of
	 * an earlier generation are ignored.
	 */
	uint64_t phase_generation;
	struct waiter *waiters;
	struct end_rows end_rows;
	struct inbox_id *inbox;
	struct inbox_read *inbox_reads; /* jobs whose rows are to be read */
	uint32_t inbox_reads_in_flight;
	uint64_t inbox_retry_ms; /* the last read failed: none before; 0: no */
	uint32_t advice_calls;	 /* calls to the adviser in flight */
	uint32_t commits_in_flight;
	uint32_t last_batch;	 /* number of the newest transaction */
	uint64_t last_commit_ms; /* when the newest transaction was sent */

	/* Of undecided outcome, by row of the commit table; NULL: none. */
	struct batch *open_commits[COMMITS_IN_FLIGHT_MAX];
	struct mtimer *commit_ask_timer; /* created with the first one */
	uint64_t commit_ask_ms;		 /* when the timer fires, if set */

	/* Answer time of transactions; falls slowly after a slow answer. */
	uint32_t commit_answer_ms;
	uint32_t commits_voided; /* in a row, because they were not applied */

	/* Since when transactions wait for an answer; 0: none waits. */
	uint64_t commit_waiting_since_ms;

	/* The next transaction must void those of unknown outcome. */
	bool resolve_pending;
	uint64_t commit_retry_ms;    /* no transaction before this time */
	uint32_t commit_changes_max; /* in a transaction; 0: as many as fit */
	bool commit_probe; /* the next one is empty: does the store take it? */
	struct feed feeds[FEED_COUNT];

	struct term term;
	struct load load;
	struct load load_logged; /* load at load_logged_ms */
	uint64_t load_logged_ms;

	/* Counters */
	uint64_t requests[NODE_COUNTERS]; /* decided as the leader, by verb */
	uint64_t answers[NODE_COUNTERS];  /* by result */
	uint64_t store_calls, store_unknown, store_refused, claims, takeovers;
	uint64_t commits, polls, polls_failed, orders;
	uint64_t calls_served; /* calls to instances made as a relay */
};

static inline uint64_t node_unix_ms(const struct node *n)
{
	return (uint64_t)((int64_t)clock_now_ms() + n->unix_offset_ms);
}

/* node.c */
uint8_t *node_pack(TALLOC_CTX *ctx, const void *message, size_t *length);
char *node_key_after(TALLOC_CTX *ctx, const char *key);
char *node_key_end(TALLOC_CTX *ctx, const char *key);
void node_schedule_pass(struct node *n);

/*
 * node_pass_pause_ms - pause after a pass that took took_ms
 *
 * Designed for a leader with a thousand instances. Without a pause the event
 * loop may handle only one descriptor between two passes, so half of the time
 * is left for events.
 */
uint32_t node_pass_pause_ms(uint64_t took_ms);

/*
 * node_store_result - count a call's result; note whether the store answers
 *
 * call: what was called, for the log.
 */
void node_store_result(struct node *n, const char *call,
		       enum store_status status);

/*
 * node_store_count_unanswered - count a call without an answer
 *
 * For calls after which another one was answered: the store answers this node.
 */
void node_store_count_unanswered(struct node *n);

/* node_store_timed_result - the same; also notes a slow or refused call */
void node_store_timed_result(struct node *n, const char *call,
			     enum store_status status, uint64_t sent_ms);

/* load.c */
void load_start(struct node *n);
void load_tick(struct node *n, uint64_t now);
const char *load_part_name(enum load_part part);

/* load_busy_us - time that the event loop has not spent waiting */
uint64_t load_busy_us(const struct node *n);

/* load_add - count the time since begun_us as spent on part */
void load_add(struct node *n, enum load_part part, uint64_t begun_us);

/* leader.c */
const char *leader_phase_name(enum leader_phase phase);

/* leader_is_weaker - whether a node leaves leadership to the strongest peer */
bool leader_is_weaker(uint32_t power, uint32_t strongest);

/*
 * leader_claim_delay_ms - how long a node waits before it claims leadership
 *
 * hash gives nodes of similar power different delays; nodes much weaker than
 * the strongest known node claim after all of these.
 */
uint32_t leader_claim_delay_ms(uint32_t power, uint32_t strongest,
			       uint64_t hash);

/* leader_silent_ms - time since heard_ms; 0 if that is in the future */
uint32_t leader_silent_ms(uint64_t heard_ms, uint64_t now);

/*
 * leader_silence_limit_ms - longest silence of a leader that isn't replaced
 *
 * interval_ms: of heartbeats to the leader; answer_ms: how long it takes for
 * answers; loop_lag_ms: how late this node's event loop is; changes: of the
 * leader in the last LEADER_CHANGES_MS; age_ms: since it was learned of.
 */
uint32_t leader_silence_limit_ms(uint32_t interval_ms, uint32_t answer_ms,
				 uint32_t loop_lag_ms, uint32_t changes,
				 uint64_t age_ms);

/* leader_answered - note an answer of the leader to a heartbeat */
void leader_answered(struct leader_answers *a, uint64_t sent_ms, uint64_t now);

/* leader_answer_ms - the longest time that it took for an answer of late */
uint32_t leader_answer_ms(const struct leader_answers *a);
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

/*
 * leader_formers_order_ms - how long earlier leaders may still give orders
 *
 * now: when this leader begins to decide.
 */
uint32_t leader_formers_order_ms(const struct node *n, uint64_t now);

/* leader_confirmed - a store call sent at sent_ms found the row unchanged */
void leader_confirmed(struct node *n, uint64_t sent_ms);

/*
 * leader_confirmed_within - whether the last confirmation allows orders
 *
 * It must be less than ms old.
 */
bool leader_confirmed_within(const struct node *n, uint64_t now, uint32_t ms);

/*
 * leader_doubted - this node may have been replaced
 *
 * It gives orders again once a store call that is sent now or later has
 * confirmed it. Answers to earlier calls, which may still come, show only that
 * it was the leader then.
 */
void leader_doubted(struct node *n, uint64_t now);
uint32_t leader_live_age_ms(const struct node *n);
void leader_reported_live(struct node *n, uint32_t age_ms, uint64_t now);
void leader_store_recovered(struct node *n);
void leader_nodes_loaded(struct node *n);
void leader_heartbeat(struct node *n, bool live, uint64_t now);

/*
 * leader_has_store - whether a leader may report itself as live
 *
 * confirmed_ms: its last confirmation; refusing_since_ms: since when the store
 * refuses its calls, 0 if it doesn't; loop_lag_ms: how late it reads answers.
 */
bool leader_has_store(uint64_t confirmed_ms, uint64_t refusing_since_ms,
		      uint32_t loop_lag_ms, uint64_t now);
void leader_connection_refused(struct node *n, uint64_t incarnation);
void leader_peer_seen(struct node *n, const char *name, uint64_t incarnation);

/* takeover.c */
void takeover_begin(struct node *n);

/* takeover_log - log the progress of loading, at most once a second */
void takeover_log(struct node *n, uint64_t now);

/* term.c */
void term_claim_begun(const struct node *n, uint32_t delay_ms,
		      uint32_t threshold_ms, uint32_t strongest, uint64_t now);

/* term_claim_failed - row: the leader row in the answer; not known: none */
void term_claim_failed(struct node *n, const struct leader_view *wanted,
		       enum store_status status, const struct leader_view *row,
		       uint64_t took_ms);

/* term_heard_from - note which node reported that the leader is live */
void term_heard_from(struct node *n, const char *name);
void term_begun(struct node *n);
void term_deciding(struct node *n, uint64_t now);
void term_ended(struct node *n, const char *why);
void term_start_sent(struct node *n, const char *task, uint64_t now);
void term_tick(struct node *n, uint64_t now);
uint64_t term_phase_ms(const struct node *n, enum leader_phase phase,
		       uint64_t now);

/* term_heartbeat_done - count the outcome of a heartbeat to the leader */
void term_heartbeat_done(struct node *n, enum httpc_status status, long code);

/* commit.c */

/*
 * commit_may_begin - whether another transaction may be sent
 *
 * resolving: the outcome of an earlier one is unknown; waited_ms: time since
 * the newest one was sent.
 */
bool commit_may_begin(uint32_t in_flight, bool resolving, uint64_t waited_ms);
void commit_run(struct node *n, uint64_t now);

/* commit_answer_ms - the store's answer time after another answer */
uint32_t commit_answer_ms(uint32_t before_ms, uint64_t took_ms);

/*
 * commit_ask_after_ms - when the store is asked about a transaction without an
 * answer
 *
 * answer_ms: the store's answer time; voided: transactions without an answer
 * that were voided since the last one with a known outcome.
 */
uint32_t commit_ask_after_ms(uint32_t answer_ms, uint32_t voided);

/*
 * commit_void_after_ms - when a transaction that a read shows not to be applied
 * is voided
 *
 * If the read took long, the store is slow, and the transaction gets more time.
 */
uint32_t commit_void_after_ms(uint64_t read_took_ms);

/* commit_is_stalled - whether transactions were unanswered for too long */
bool commit_is_stalled(uint64_t waiting_since_ms, uint64_t now);

/* waiters.c */
void waiter_add(struct node *n, const char *id, uint64_t deadline_ms,
		node_answer_fn fn, void *arg);

/* waiters_answer_durable - answer those whose decision is durable now */
void waiters_answer_durable(struct node *n);

/* waiters_refuse - a job's rows can't be stored: nothing was recorded */
void waiters_refuse(struct node *n, const char *id);

/* waiters_tick - answer those whose deadline has passed */
void waiters_tick(struct node *n, uint64_t now);

/* waiters_drop - answer all that their outcome is unknown */
void waiters_drop(struct node *n);

/* end_rows.c */

/* end_rows_keep_ms - how long the row of an ended job is kept */
uint32_t end_rows_keep_ms(const struct node *n);

/* end_rows_recent - whether a new leader loads the row; else it leaves it */
bool end_rows_recent(const struct node *n, const Fleet__EndRow *end);

/* end_rows_begin - this leader begins to decide; left: rows that it left */
void end_rows_begin(struct node *n, uint64_t left, uint64_t now);

/* end_rows_tick - called at each tick of a deciding leader */
void end_rows_tick(struct node *n, uint64_t now);

/* end_rows_batch - deletions that the next transaction may have */
uint32_t end_rows_batch(const struct node *n, uint64_t now);

/* end_rows_due - whether to send a transaction for deletions alone */
bool end_rows_due(const struct node *n, uint64_t now);

/* session.c */
void session_send_calls(struct node *n, uint64_t now);

/* watch.c */
void watch_tick(struct node *n, uint64_t now);
void watch_from(struct node *n, enum feed_kind kind, uint64_t revision);
void watch_operator_row(struct node *n, const struct store_row *row);
void watch_instance_row(struct node *n, const struct store_row *row);
void watch_config_bytes(struct node *n, const uint8_t *value, size_t length,
			const char *from);

/* inbox.c */

/* inbox_receive - handle a row of the inbox; read its job if it isn't known */
void inbox_receive(struct node *n, const struct store_row *row);

/* inbox_read_jobs - start the reads of jobs that may be started now */
void inbox_read_jobs(struct node *n, uint64_t now);

/* inbox_end - forget the jobs that are still to be read */
void inbox_end(struct node *n);

/* inbox_add - note that a known job has a row in the inbox */
void inbox_add(struct node *n, const char *id);

/* inbox_has - whether that is known of the job */
bool inbox_has(const struct node *n, const char *id);

/* inbox_remove - its row is deleted */
void inbox_remove(struct node *n, const char *id);

/* staleness.c */

#define STALENESS_UNKNOWN UINT32_MAX /* ms: never known to be the newest */

/* staleness_verified - note that the configuration was the newest at at_ms */
void staleness_verified(struct node *n, uint64_t at_ms);

/* staleness_ms - time since the configuration was known to be the newest */
uint32_t staleness_ms(const struct node *n, uint64_t now);

/* staleness_in_bound - whether the configuration isn't stale */
bool staleness_in_bound(const struct node *n, uint64_t now);

/*
 * staleness_peer_report - note a peer's configuration version and staleness
 *
 * The peer was asked at requested_ms and knew its version to be the newest
 * age_ms before it answered. Proves nothing if this node has another version.
 */
void staleness_peer_report(struct node *n, uint64_t version, uint32_t age_ms,
			   uint64_t requested_ms);

enum staleness_verdict {
	STALENESS_DECIDABLE,
	STALENESS_REMOVED, /* a newer version removed the queue or workspace */
	STALENESS_UNDECIDABLE, /* one of the two versions may be too old */
};

/*
 * staleness_verdict - whether the leader's configuration can decide a request
 *
 * The node that forwarded the request may have admitted it by another version.
 */
enum staleness_verdict staleness_verdict(const struct config *own,
					 const struct node_request *req);

/* staleness_age_ms - time since verified_ms; STALENESS_UNKNOWN if that is 0 */
uint32_t staleness_age_ms(uint64_t verified_ms, uint64_t now);

/* staleness_within - whether knowledge of this age is used; see staleness.c */
bool staleness_within(uint32_t age_ms, uint32_t bound_ms);

/* staleness_peer_proof - when a peer's knowledge was known to be the newest, or
 * 0; it was asked at requested_ms and answered that this was age_ms ago */
uint64_t staleness_peer_proof(uint32_t age_ms, uint64_t requested_ms);

/* staleness_tick - log when the configuration becomes stale or no longer is */
void staleness_tick(struct node *n, uint64_t now);

/* evacuations.c */

/* evacuations_row - handles a row of the operators' table, if it is of one */
void evacuations_row(struct node *n, const struct store_row *row);

/*
 * evacuations_page - handles a page of a read of the operators' table
 *
 * r collects the rows of the read's pages; sent_ms is when this one was asked
 * for.
 */
void evacuations_page(struct node *n, struct evacuation_read *r,
		      const struct store_answer *answer, uint64_t sent_ms);

/* evacuations_read_abandoned - no further page of that read will come */
void evacuations_read_abandoned(struct evacuation_read *r);

/*
 * evacuations_fed - all changes up to a revision were handled
 *
 * verified_ms: when they were known to be all; 0: that isn't known.
 */
void evacuations_fed(struct node *n, uint64_t revision, uint64_t verified_ms);

/* evacuations_age_ms - time since the set was known to be complete */
uint32_t evacuations_age_ms(const struct node *n, uint64_t now);

/* evacuations_usable - whether the set is known and not too old for a start */
bool evacuations_usable(const struct node *n, uint64_t now);

/* evacuations_allow_start - whether a relay may start something in a zone */
bool evacuations_allow_start(const struct node *n, const char *zone,
			     uint64_t now);

/* evacuations_list - names of the zones, separated by commas; owned by ctx */
char *evacuations_list(const struct node *n, TALLOC_CTX *ctx);

/*
 * evacuations_gossip_pack - fills in what a heartbeat says; owned by ctx
 *
 * Nothing, unless evacuations have a bound here or a zone is evacuated.
 */
void evacuations_gossip_pack(const struct node *n, TALLOC_CTX *ctx,
			     Fleet__Beat *heartbeat);
void evacuations_gossip_receive(struct node *n, const Fleet__Beat *heartbeat);

/* evacuations_gossip_proof - a peer has answered; it was asked at sent_ms */
void evacuations_gossip_proof(struct node *n, const Fleet__Beat *heartbeat,
			      uint64_t sent_ms);

/* evacuations_begin - this node's leadership begins, or it begins to decide */
void evacuations_begin(struct node *n);

/* evacuations_tick - called before each pass: tells the scheduler */
void evacuations_tick(struct node *n, uint64_t now);

/* states.c */
struct known_states *states_new(TALLOC_CTX *ctx);

/* states_learn - keep a state that the leader reported */
void states_learn(struct known_states *k, const char *id, const char *queue,
		  Fleet__JobState state, uint32_t valid_ms, uint64_t now);

/* states_find - a state that is still valid, else UNKNOWN */
Fleet__JobState states_find(const struct known_states *k, const char *id,
			    const char *queue, uint64_t now);
void states_forget(struct known_states *k, const char *id);

/* request.c */

/*
 * record_pause_is_over - whether nodes may record jobs in the store again
 *
 * store_slow_ms: time of the last slow store call; 0: none.
 */
bool record_pause_is_over(uint64_t store_slow_ms, uint64_t now);

/* record_bucket_take - take a token; the rate is divided among `nodes` nodes */
bool record_bucket_take(struct record_bucket *r, uint32_t nodes, uint64_t now);
void request_decide(struct node *n, const struct node_request *req);

/* gossip.c */

/* gossip_pack - serialize a heartbeat of this node; owned by ctx */
uint8_t *gossip_pack(struct node *n, TALLOC_CTX *ctx, bool with_config,
		     size_t *length);
void gossip_receive(struct node *n, const Fleet__Beat *heartbeat);
void gossip_tick(struct node *n, uint64_t now);
void gossip_update_peer(struct node *n, const char *name,
			const Fleet__NodeRow *row);
uint32_t gossip_max_power(const struct node *n, uint64_t since_ms);

/* gossip_all_read - whether all known nodes read this form of progress rows */
bool gossip_all_read(const struct node *n, uint32_t format);
uint32_t gossip_leader_interval(const struct node *n);

/*
 * gossip_heartbeat_interval_ms - between a node's heartbeats to a leader
 *
 * nodes: that send heartbeats to it; power: its own, 0 if it isn't known.
 */
uint32_t gossip_heartbeat_interval_ms(uint32_t nodes, uint32_t power);

/* relay.c */
bool relay_start(struct node *n);
void relay_begin(struct node *n);
void relay_end(struct node *n);
void relay_tick(struct node *n, uint64_t now);

/*
 * relay_power_needed - power of the peers that a leader needs as relays
 *
 * In thousandths of a core. 0 for up to direct_max instances: the leader calls
 * them itself.
 */
uint32_t relay_power_needed(uint32_t instances, uint32_t direct_max);

/* relay_score - the peer with the highest score makes an instance's calls */
double relay_score(uint64_t instance, uint64_t peer, uint32_t power);

/*
 * relay_is_unresponsive - whether a peer last heard from at heard_ms is
 * disconnected
 *
 * unread: data from the peer waits to be read.
 */
bool relay_is_unresponsive(uint64_t heard_ms, bool unread, uint64_t now);

/*
 * relay_call_is_lost - whether a call's result is no longer waited for
 *
 * unread: data from the peer waits to be read; the result may be in it, so it
 * is waited for a while longer.
 */
bool relay_call_is_lost(uint64_t deadline_ms, bool unread, uint64_t now);

/*
 * relay_waits_for_links - whether a new leader still waits for dialed peers
 *
 * since_ms: since it began to decide; loop_lag_ms: how late it reads.
 */
bool relay_waits_for_links(uint32_t dialed, uint32_t linked, uint64_t since_ms,
			   uint32_t loop_lag_ms);

/* relay_is_connecting - whether calls wait for the first links to peers */
bool relay_is_connecting(const struct node *n, uint64_t now);

/*
 * relay_order, relay_poll - pass a call to a peer
 *
 * False if no peer is linked: the instance must be called directly. relay_flush
 * sends the calls passed since the last flush.
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

/* unpack.c */

/*
 * node_unpack - decode a message that a client of this listener has sent
 *
 * NULL if it is malformed or its structures take too much memory: an empty
 * message in a list has 2 bytes, and takes 100 and more once decoded. Freed
 * like a message that was decoded without an allocator.
 */
void *node_unpack(const struct budget *b, const ProtobufCMessageDescriptor *d,
		  size_t length, const uint8_t *bytes);

/* peer_server.c */
bool peer_server_start(struct node *n);

/* machines.c */

/* What a new leader's wait before its first order to a machine depends on. */
struct machines_wait {
	uint64_t started_ms;	  /* start of this process */
	uint64_t leader_since_ms; /* start of its leadership */
	uint32_t holder_ms;	  /* see struct node_settings */
	bool predecessor_ended;	  /* see struct node */
};

/*
 * machines_wait_is_over - whether the predecessor's last order to a machine
 * is at least holder_ms ago
 *
 * If the predecessor's process ended and this process is younger than
 * holder_ms, a restart of all nodes is taken to have stopped the predecessor
 * before this process started. None of its orders can be in flight then: no
 * wait is needed.
 */
bool machines_wait_is_over(const struct machines_wait *w, uint64_t now);
void machines_begin(struct node *n);
void machines_end(struct node *n);
void machines_tick(struct node *n, uint64_t now);
bool machines_stats(const struct node *n, struct fleet_stats *stats);

/* machines_forecast - NULL while this node is not the leader, or without one */
const struct forecast *machines_forecast(const struct node *n);
void machines_set_evacuated(struct node *n, const char *const *zones,
			    uint32_t count);
void machines_add_wave(struct node *n, struct wave_request *request);

#endif
