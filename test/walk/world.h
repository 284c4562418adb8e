/*
 * world - entries, table service and network of the ledger's random walk
 *
 * Everything that happens is a call made by the walk; nothing happens by
 * itself. The invariants are checked by walk_check and walk_check_start.
 */
#ifndef WALK_WORLD_H
#define WALK_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

#include "process/ledger.h"

#define ENTRIES 5
#define SLOTS_MAX 64 /* incarnations over one schedule */
#define DOMAINS 3
#define SHARDS 2
#define STEPS 400
#define MAIL_MAX 256
#define HEAL_MS 5000
#define TICK_MS 50

enum op {
	OP_START,
	OP_END,
	OP_WANT,
	OP_RELEASE,
	OP_LEND,
	OP_RESEND,
	OP_DELIVER,
	OP_DROP,
	OP_DUPLICATE,
	OP_PLAN,
	OP_ANSWER,
	OP_LATE_WRITE,
	OP_READ,
	OP_FREEZE,
	OP_THAW,
	OP_KILL,
	OP_GONE,
	OP_REGISTER,
	OP_OUTAGE,
	OP_CONFIGURE,
	OP_LEARN,
	OP_SUSPECT,
	OP_COUNT,
};

enum harness_unsafe {
	UNSAFE_END_OF_WORK = 1 << 16, /* a unit ends while its work runs on */
	UNSAFE_LEASE = 1 << 17,	      /* proved gone before the lease passed */
};

struct entry {
	struct ledger *ledger;
	struct ledger_link *links[SLOTS_MAX];
	uint64_t incarnation;
	bool alive;
	bool frozen;
	bool gone;
	uint64_t conf; /* configuration it knows */
	int64_t held_at_death[DOMAINS];
	int64_t orphans[DOMAINS]; /* work that runs without a unit here */
};

struct mail {
	uint32_t from;
	uint32_t to;
	bool ack;
	struct ledger_transfer t;
};

struct write {
	uint32_t entry;
	uint32_t shard;
	struct ledger_row *row;
	uint64_t row_version;
	uint64_t members_version;
	bool abandoned; /* its entry was told that no answer came */
	bool applied;
	bool conflict;
	uint64_t version;
};

struct world {
	TALLOC_CTX *ctx;
	uint64_t random;
	unsigned int unsafe;
	uint32_t weights[OP_COUNT];
	uint32_t weight_sum;
	struct entry entries[SLOTS_MAX];
	uint32_t entry_count;
	struct ledger_row *rows[SHARDS];
	uint64_t revision;
	uint64_t members[SLOTS_MAX];
	uint32_t member_count;
	uint64_t members_version;
	struct mail mail[MAIL_MAX];
	uint32_t mail_count;
	struct write writes[MAIL_MAX];
	uint32_t write_count;
	int64_t totals[256][DOMAINS]; /* by configuration version */
	uint64_t generations[256][DOMAINS];
	uint64_t conf;
	uint64_t now_ms;
	bool outage;
	bool healing;
	char violation[256];
	uint64_t rounds;
};

extern const char *const walk_domain_names[DOMAINS];

uint32_t walk_pick(struct world *w, uint32_t n);
struct ledger_domain_view walk_view_of(const struct entry *e, uint32_t d);
int64_t walk_running_in(const struct world *w, uint32_t d);
int64_t walk_held_in(const struct world *w, uint32_t d);
struct ledger_cell *walk_cell_of(const struct world *w, uint32_t d);
void walk_check(struct world *w, const char *after);
void walk_check_start(struct world *w, const struct entry *e, uint32_t d);
void walk_learn(struct world *w, struct entry *e, uint64_t conf);
void walk_read_rows(struct world *w, struct entry *e);
void walk_register_entry(struct world *w);
struct entry *walk_any_entry(struct world *w);
uint32_t walk_alive_count(const struct world *w);
void walk_prove_gone(struct world *w);
struct ledger_link *walk_link_to(struct world *w, uint32_t from, uint32_t to);
void walk_deliver(struct world *w, uint32_t i, bool keep);
void walk_resend(struct world *w, struct entry *e);
void walk_plan(struct world *w, struct entry *e, uint32_t shard);
void walk_apply(struct world *w, struct write *write);
void walk_answer(struct world *w, uint32_t i, bool lost);

#endif
