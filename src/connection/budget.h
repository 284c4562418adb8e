/*
 * budget - bounds on what the clients of a process make it hold
 *
 * A budget belongs to one listener. It counts the bytes of bodies, frames and
 * unread answers that the listener holds, and its connections. When it is
 * used up, stale clients are dropped, those of the address that holds the most
 * first; if there are none, the new demand is refused. All budgets of a
 * process share a bound on connections, so that the process keeps descriptors
 * for its own calls.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <talloc.h>

#define BUDGET_SWEEP_MS 1000u /* between checks of the time limits */
#define BUDGET_GRACE_MS 1000u /* younger clients are not dropped for others */

struct budget;
struct budget_process;
struct budget_address;

enum budget_listener {
	BUDGET_CALLERS,
	BUDGET_READINESS,
	BUDGET_PEERS,
	BUDGET_LINKS,
	BUDGET_METRICS,
	BUDGET_LISTENERS
};

/* What a connection is doing; a time limit applies to each but WORKING. */
enum budget_phase {
	BUDGET_OPENED,	/* no request has begun */
	BUDGET_IDLE,	/* between requests */
	BUDGET_HEADERS, /* the request line has arrived */
	BUDGET_BODY,	/* the headers have arrived */
	BUDGET_WORKING, /* the request is complete and not answered */
	BUDGET_ANSWER,	/* the answer is being sent */
	BUDGET_PHASES
};

enum budget_cause {
	BUDGET_REFUSED_HEADERS,	    /* headers over the limit */
	BUDGET_REFUSED_BODY,	    /* body over the limit */
	BUDGET_REFUSED_BYTES,	    /* no bytes left for a body or frame */
	BUDGET_REFUSED_ANSWER,	    /* no bytes left for an answer */
	BUDGET_REFUSED_CONNECTIONS, /* too many connections */
	BUDGET_REFUSED_MEMORY,	    /* allocation failed */
	BUDGET_DROPPED_BYTES,	    /* stale, dropped for another's bytes */
	BUDGET_DROPPED_CONNECTION,  /* stale, dropped for another connection */
	BUDGET_DROPPED_TIMEOUT,	    /* a phase took too long */
	BUDGET_CAUSES
};

/* One connection, embedded in its owner's structure and set to zero. */
struct budget_client {
	struct budget_client *prev, *next;
	struct budget_address *address;
	size_t bytes;
	uint64_t since_ms; /* beginning of the phase */
	enum budget_phase phase;
	bool dropped;
};

struct budget_options {
	const char *name;	  /* of the listener; NULL: nothing is logged */
	size_t bytes_max;	  /* held for all clients */
	uint32_t connections_max; /* of this listener */
};

/*
 * Releases what a dropped client holds and closes its connection, later: it
 * must not call budget_close.
 */
typedef void (*budget_drop_fn)(void *arg, struct budget_client *client);

/*
 * budget_process_new - the bounds of a process
 *
 * connection_bytes is the memory of a connection before its body, which bounds
 * their number. 0 for an unknown value: that of the smallest supported machine.
 */
struct budget_process *budget_process_new(TALLOC_CTX *ctx, uint32_t memory_mb,
					  uint32_t descriptors_max,
					  size_t connection_bytes);

/*
 * budget_listener_new - the budget of a listener by its part of the process
 *
 * connections_max is a further bound on its connections.
 */
struct budget *budget_listener_new(struct budget_process *p,
				   enum budget_listener listener,
				   uint32_t connections_max);

/* budget_new - a budget of given size, outside of any process's bounds */
struct budget *budget_new(TALLOC_CTX *ctx,
			  const struct budget_options *options);

void budget_set_drop(struct budget *b, budget_drop_fn drop, void *arg);

/* budget_bytes_max, budget_connections_max - the bounds of this listener */
size_t budget_bytes_max(const struct budget *b);
uint32_t budget_connections_max(const struct budget *b);

/*
 * budget_open - count a new connection; may drop another one
 *
 * False if there are too many; the client is not counted then.
 */
bool budget_open(struct budget *b, struct budget_client *client,
		 uint32_t address, uint64_t now_ms);
void budget_close(struct budget *b, struct budget_client *client);

void budget_set_phase(struct budget *b, struct budget_client *client,
		      enum budget_phase phase, uint64_t now_ms);

/*
 * budget_take - count bytes for a client; may drop others
 *
 * False if there is no room; nothing is counted then.
 */
bool budget_take(struct budget *b, struct budget_client *client, size_t bytes,
		 uint64_t now_ms);

/* budget_has_room - like budget_take, but nothing is counted */
bool budget_has_room(struct budget *b, struct budget_client *client,
		     size_t bytes, uint64_t now_ms);

/* budget_release - the client holds nothing more */
void budget_release(struct budget *b, struct budget_client *client);

/*
 * budget_sweep - whether the time limits may be checked now
 *
 * Called every BUDGET_SWEEP_MS. False for a while after the event loop stood
 * still: what clients sent in time has not been read yet.
 */
bool budget_sweep(struct budget *b, uint64_t now_ms);

/*
 * budget_expired - the next client whose phase has exceeded its time limit
 *
 * 0 in timeouts_ms: no limit. The caller drops it or changes its phase, and
 * calls again until the result is NULL.
 */
struct budget_client *budget_expired(struct budget *b,
				     const uint32_t timeouts_ms[BUDGET_PHASES],
				     uint64_t now_ms);

/* budget_drop - drop a client */
void budget_drop(struct budget *b, struct budget_client *client,
		 enum budget_cause cause, uint64_t now_ms);

/* budget_refused - count a refusal, and log it at most once a second */
void budget_refused(struct budget *b, enum budget_cause cause, uint64_t now_ms);

/* Values for tests and metrics. */
size_t budget_bytes(const struct budget *b);
uint32_t budget_connections(const struct budget *b);
uint64_t budget_count(const struct budget *b, enum budget_cause cause);

/* budget_print - all listeners' metrics in the Prometheus text format */
void budget_print(const struct budget_process *p, FILE *out);

#endif
