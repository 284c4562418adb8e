/*
 * world - simulated entries, store and network for ledger_walk
 *
 * Nothing happens by itself: each event is a call of one of these functions.
 * walk_check_units and walk_check_start check the invariants and describe a
 * failure in world.violation.
 */
#ifndef WALK_WORLD_H
#define WALK_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "process/ledger.h"

#define ENTRIES 5	    /* most entries alive at once */
#define INCARNATIONS_MAX 64 /* over one schedule */
#define DOMAINS 3
#define SHARDS 2
#define STEPS 400	 /* of a schedule, before the recovery */
#define QUEUE_MAX 256	 /* messages, and writes, in transit at once */
#define VERSIONS_MAX 256 /* configuration versions of a schedule */
#define RECOVERY_MS 5000 /* limit, from the last fault to no unit missing */
#define TICK_MS 50	 /* between two steps of the recovery */

enum op {
	OP_START,
	OP_END,
	OP_SET_IDLE_TARGET,
	OP_RETURN,
	OP_LEND,
	OP_RESEND, /* transfers that are not acknowledged */
	OP_DELIVER,
	OP_DROP, /* lose a message */
	OP_DUPLICATE,
	OP_PLAN_CAS,
	OP_ANSWER,     /* to a write; the answer may be lost */
	OP_LATE_WRITE, /* apply a write without an answer */
	OP_READ,
	OP_FREEZE,
	OP_UNFREEZE,
	OP_KILL,
	OP_REMOVE_DEAD,
	OP_REGISTER,
	OP_OUTAGE,	    /* start or end an outage of the store */
	OP_CONFIGURE,	    /* commit a configuration version */
	OP_CONFIGURE_ENTRY, /* bring the newest version to one entry */
	OP_SUSPECT,	    /* an entry suspects that units are lost */
	OP_COUNT,
};

/*
 * Safeguards outside the ledger that tests disable, in bits above those of enum
 * ledger_unsafe.
 */
enum walk_unsafe {
	/* End a unit although its work still runs. */
	UNSAFE_END_OF_WORK = 1 << 16,
	/* Remove a dead entry before its leases expire. */
	UNSAFE_LEASE = 1 << 17,
};

/* One incarnation of an entry. */
struct entry {
	struct ledger *ledger;
	struct ledger_link *links[INCARNATIONS_MAX];
	uint64_t incarnation;
	bool alive;
	bool frozen;
	bool removed;		 /* dead and unregistered */
	uint64_t config_version; /* of the entry's configuration */
	int64_t held_at_death[DOMAINS];
	int64_t orphaned[DOMAINS]; /* running work for which no unit is held */
};

struct message {
	uint32_t from;
	uint32_t to;
	bool ack; /* of the transfers up to t.seq */
	struct ledger_transfer t;
};

struct write {
	uint32_t entry;
	uint32_t shard;
	struct ledger_row *row;
	uint64_t row_version;
	uint64_t members_version;
	bool abandoned; /* its entry was told that the outcome is unknown */
	bool applied;
	bool conflict;	  /* once applied: the comparison failed */
	uint64_t version; /* of the row written */
};

struct world {
	TALLOC_CTX *ctx;
	uint64_t random;     /* state of the generator */
	unsigned int unsafe; /* enum ledger_unsafe and walk_unsafe */
	uint32_t weights[OP_COUNT];
	uint32_t weight_sum;
	struct entry entries[INCARNATIONS_MAX];
	uint32_t entry_count;
	struct ledger_row *rows[SHARDS];
	uint64_t revision;
	uint64_t members[INCARNATIONS_MAX];
	uint32_t member_count;
	uint64_t members_version;
	struct message messages[QUEUE_MAX];
	uint32_t message_count;
	struct write writes[QUEUE_MAX];
	uint32_t write_count;
	int64_t totals[VERSIONS_MAX][DOMAINS]; /* by configuration version */
	uint64_t generations[VERSIONS_MAX][DOMAINS];
	uint64_t config_version;
	uint64_t now_ms;
	bool outage; /* of the store */
	bool recovering;
	char violation[256];
	uint64_t rounds; /* opened in all shards */
};

extern const char *const walk_domain_names[DOMAINS];

/* walk_random - a number from 0 to n - 1 */
uint32_t walk_random(struct world *w, uint32_t n);

struct ledger_domain_view walk_domain_view(const struct entry *e, uint32_t d);

/* walk_running, walk_held - sums over all entries, with orphaned work */
int64_t walk_running(const struct world *w, uint32_t d);
int64_t walk_held(const struct world *w, uint32_t d);

/* walk_cell - the domain's cell in the store's row or NULL */
struct ledger_cell *walk_cell(const struct world *w, uint32_t d);

void walk_check_units(struct world *w, const char *after);
void walk_check_start(struct world *w, const struct entry *e, uint32_t d);
void walk_configure(struct world *w, struct entry *e, uint64_t config_version);
void walk_read_rows(struct world *w, struct entry *e);
void walk_register_entry(struct world *w);

/* walk_random_entry - an entry alive and not frozen, NULL if there is none */
struct entry *walk_random_entry(struct world *w);

uint32_t walk_alive_count(const struct world *w);
void walk_remove_dead(struct world *w);
struct ledger_link *walk_link(struct world *w, uint32_t from, uint32_t to);

/* walk_deliver - deliver a message; if keep is set, it stays in transit too */
void walk_deliver(struct world *w, uint32_t i, bool keep);

void walk_resend(struct world *w, struct entry *e);
void walk_plan_cas(struct world *w, struct entry *e, uint32_t shard);
void walk_apply_write(struct world *w, struct write *write);

/* walk_answer - bring a write's outcome to its entry; lost: as unknown */
void walk_answer(struct world *w, uint32_t i, bool lost);

#endif
