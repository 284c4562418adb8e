/*
 * ledger_walk - random schedules of entries, store and network over the ledger
 *
 * Virtual time, fixed seeds. The weights of the operations are drawn anew for
 * each seed, so that rare ends of work, long freezes and many kills all
 * come up. Invariants are checked after every step; when the faults end, all
 * units must be accounted for within HEAL_MS. --unsafe takes one safeguard
 * away and the walk must then find a violation.
 */
#include <argtable2.h>
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

static const char *const domain_names[DOMAINS] = { "t:shop", "w:oven-1",
						   "t:club" };

static uint32_t pick(struct world *w, uint32_t n)
{
	w->random ^= w->random << 13;
	w->random ^= w->random >> 7;
	w->random ^= w->random << 17;
	return (uint32_t)((w->random >> 11) % n);
}

static struct ledger_domain_view view_of(const struct entry *e, uint32_t d)
{
	struct ledger_domain_view view;
	domain_handle handle = { d };

	ledger_view(e->ledger, handle, &view);
	return view;
}

static int64_t running_in(const struct world *w, uint32_t d)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		const struct entry *e = &w->entries[i];

		sum += e->orphans[d];
		if (!e->gone)
			sum += view_of(e, d).running;
	}
	return sum;
}

static int64_t held_in(const struct world *w, uint32_t d)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		if (!w->entries[i].gone)
			sum += view_of(&w->entries[i], d).held;
		sum += w->entries[i].orphans[d]; /* runs, so it must be held */
	}
	return sum;
}

static struct ledger_cell *cell_of(const struct world *w, uint32_t d)
{
	uint32_t s;
	uint32_t i;

	for (s = 0; s < SHARDS; s++)
		for (i = 0; w->rows[s] && i < w->rows[s]->cell_count; i++)
			if (w->rows[s]->cells[i].domain.i == d)
				return &w->rows[s]->cells[i];
	return NULL;
}

static void check(struct world *w, const char *after)
{
	uint32_t d;

	for (d = 0; d < DOMAINS && !*w->violation; d++) {
		const struct ledger_cell *c = cell_of(w, d);

		if (c && c->free + held_in(w, d) > c->total)
			snprintf(w->violation, sizeof(w->violation),
				 "after %s: %s free %" PRId64 " + held %" PRId64
				 " > total %" PRId64,
				 after, domain_names[d], c->free, held_in(w, d),
				 c->total);
	}
}

/* No start may pass a limit its entry knows, nor every newer one. */
static void check_start(struct world *w, const struct entry *e, uint32_t d)
{
	int64_t allowed = 0;
	uint64_t v;

	for (v = e->conf; v <= w->conf; v++)
		if (w->totals[v][d] > allowed)
			allowed = w->totals[v][d];
	if (running_in(w, d) > allowed)
		snprintf(w->violation, sizeof(w->violation),
			 "started %s: %" PRId64 " running, limit %" PRId64,
			 domain_names[d], running_in(w, d), allowed);
}

/* Entries */

static void learn(struct world *w, struct entry *e, uint64_t conf)
{
	domain_handle d;

	for (d.i = 0; d.i < DOMAINS; d.i++)
		ledger_configure(e->ledger, d, w->totals[conf][d.i],
				 w->generations[conf][d.i], conf);
	e->conf = conf;
}

static void read_rows(struct world *w, struct entry *e)
{
	uint32_t s;

	for (s = 0; s < SHARDS; s++)
		ledger_seen(e->ledger, s, w->rows[s]);
}

static void register_entry(struct world *w)
{
	struct entry *e;
	struct ledger_options options = {
		.shard_count = SHARDS,
		.round_pause_ms = 100,
		.unsafe = w->unsafe & 0xffff,
	};
	uint32_t d;

	if (w->entry_count == SLOTS_MAX || w->outage)
		return;
	e = &w->entries[w->entry_count++];
	e->incarnation = w->entry_count;
	options.incarnation = e->incarnation;
	e->ledger = ledger_new(w->ctx, &options);
	e->alive = true;
	for (d = 0; d < DOMAINS; d++)
		ledger_domain(e->ledger, domain_names[d]);
	w->members[w->member_count++] = e->incarnation;
	w->members_version = ++w->revision;
	read_rows(w, e);
	learn(w, e, w->conf);
}

static struct entry *any_entry(struct world *w)
{
	uint32_t start = pick(w, w->entry_count);
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		struct entry *e = &w->entries[(start + i) % w->entry_count];

		if (e->alive && !e->frozen)
			return e;
	}
	return NULL;
}

static uint32_t alive_count(const struct world *w)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < w->entry_count; i++)
		n += w->entries[i].alive;
	return n;
}

static void unregister(struct world *w, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < w->member_count; i++)
		if (w->members[i] == w->entries[index].incarnation)
			w->members[i--] = w->members[--w->member_count];
	w->members_version = ++w->revision;
	for (i = 0; i < w->entry_count; i++)
		if (w->entries[i].alive) {
			if (w->entries[i].links[index])
				ledger_link_drop(w->entries[i].links[index]);
			w->entries[i].links[index] = NULL;
			ledger_gone(w->entries[i].ledger, w->members_version);
		}
}

/* The list no longer shows a dead entry and its work's lease has passed. */
static void prove_gone(struct world *w)
{
	uint32_t start = pick(w, w->entry_count);
	uint32_t i;
	uint32_t d;

	for (i = 0; i < w->entry_count; i++) {
		uint32_t index = (start + i) % w->entry_count;
		struct entry *e = &w->entries[index];

		if (e->alive || e->gone || w->outage)
			continue;
		if (w->unsafe & UNSAFE_LEASE)
			for (d = 0; d < DOMAINS; d++)
				e->orphans[d] += view_of(e, d).running;
		e->gone = true;
		unregister(w, index);
		return;
	}
}

/* Mail */

static struct ledger_link *link_to(struct world *w, uint32_t from, uint32_t to)
{
	struct entry *e = &w->entries[from];

	if (!e->links[to])
		e->links[to] = ledger_link_new(e->ledger, e->ledger);
	return e->links[to];
}

static void post(struct world *w, uint32_t from, uint32_t to, bool ack,
		 const struct ledger_transfer *t)
{
	struct mail *m;

	if (w->mail_count == MAIL_MAX)
		return; /* lost */
	m = &w->mail[w->mail_count++];
	m->from = from;
	m->to = to;
	m->ack = ack;
	m->t = *t;
}

static void deliver(struct world *w, uint32_t i, bool keep)
{
	struct mail m = w->mail[i];
	struct entry *to = &w->entries[m.to];
	struct ledger_link *link;

	if (to->alive && to->frozen)
		return;
	if (!keep)
		w->mail[i] = w->mail[--w->mail_count];
	if (!to->alive || w->entries[m.from].gone)
		return;
	link = link_to(w, m.to, m.from);
	if (m.ack) {
		ledger_acked(link, m.t.seq);
		return;
	}
	m.t.seq = ledger_receive(link, &m.t);
	post(w, m.to, m.from, true, &m.t);
}

static void resend(struct world *w, struct entry *e)
{
	uint32_t from = (uint32_t)(e - w->entries);
	uint32_t to;
	uint32_t i;
	uint32_t n;

	for (to = 0; to < w->entry_count; to++) {
		const struct ledger_transfer *t;

		if (!e->links[to] || w->entries[to].gone)
			continue;
		t = ledger_outbox(e->links[to], &n);
		for (i = 0; i < n; i++)
			post(w, from, to, false, &t[i]);
	}
}

/* Store */

static void plan(struct world *w, struct entry *e, uint32_t shard)
{
	struct ledger_members members = { w->members_version, w->member_count,
					  w->members };
	struct ledger_cas cas;
	struct write *write;

	if (w->write_count == MAIL_MAX ||
	    !ledger_plan(e->ledger, shard, w->now_ms, &members, &cas))
		return;
	write = &w->writes[w->write_count++];
	memset(write, 0, sizeof(*write));
	write->entry = (uint32_t)(e - w->entries);
	write->shard = shard;
	write->row = ledger_row_copy(w->ctx, cas.row);
	write->row_version = cas.row_version;
	write->members_version = cas.members_version;
}

static void apply(struct world *w, struct write *write)
{
	struct ledger_row **row = &w->rows[write->shard];

	write->conflict = (*row)->version != write->row_version ||
			  (write->members_version &&
			   write->members_version != w->members_version);
	write->applied = true;
	if (write->conflict)
		return;
	if (write->row->round > (*row)->round)
		w->rounds++;
	talloc_free(*row);
	*row = ledger_row_copy(w->ctx, write->row);
	(*row)->version = write->version = ++w->revision;
}

static void write_remove(struct world *w, uint32_t i)
{
	talloc_free(w->writes[i].row);
	w->writes[i] = w->writes[--w->write_count];
}

/* Brings a write's answer to its entry, or tells it that none came. */
static void answer(struct world *w, uint32_t i, bool lost)
{
	struct write *write = &w->writes[i];
	struct entry *e = &w->entries[write->entry];

	if (e->alive && e->frozen)
		return;
	if (!w->outage && !write->applied)
		apply(w, write);
	if (!write->applied)
		lost = true;
	if (e->alive && !write->abandoned) {
		if (lost)
			ledger_planned(e->ledger, write->shard,
				       LEDGER_CAS_UNKNOWN, 0);
		else if (write->conflict)
			ledger_planned(e->ledger, write->shard,
				       LEDGER_CAS_CONFLICT, 0);
		else
			ledger_planned(e->ledger, write->shard, LEDGER_CAS_DONE,
				       write->version);
	}
	write->abandoned = true;
	if (write->applied)
		write_remove(w, i);
}

/* Operations */

static void configure(struct world *w)
{
	uint32_t d = pick(w, DOMAINS);

	if (w->conf == 255 || w->outage)
		return;
	memcpy(w->totals[w->conf + 1], w->totals[w->conf],
	       sizeof(w->totals[0]));
	memcpy(w->generations[w->conf + 1], w->generations[w->conf],
	       sizeof(w->generations[0]));
	w->conf++;
	w->totals[w->conf][d] = pick(w, 9);
	if (d == 1 && !pick(w, 3))
		w->generations[w->conf][d]++;
}

static void start(struct world *w, struct entry *e)
{
	domain_handle d = { pick(w, DOMAINS) };

	if (ledger_take(e->ledger, d) == LEDGER_OK)
		check_start(w, e, d.i);
}

static void end(struct world *w, struct entry *e)
{
	domain_handle d = { pick(w, DOMAINS) };

	if (view_of(e, d.i).running <= 0)
		return;
	ledger_end(e->ledger, d);
	if ((w->unsafe & UNSAFE_END_OF_WORK) && !pick(w, 4))
		e->orphans[d.i]++;
}

static void lend(struct world *w, struct entry *e)
{
	uint32_t from = (uint32_t)(e - w->entries);
	uint32_t to = pick(w, w->entry_count);
	domain_handle d = { pick(w, DOMAINS) };

	if (to == from || !w->entries[to].alive)
		return;
	if (ledger_lend(link_to(w, from, to), d, 1 + pick(w, 3)))
		resend(w, e);
}

static void kill_one(struct world *w)
{
	uint32_t i = pick(w, w->entry_count);

	if (alive_count(w) > 1 && w->entries[i].alive)
		w->entries[i].alive = false;
}

static void step_entry(struct world *w, enum op op, struct entry *e)
{
	domain_handle d = { pick(w, DOMAINS) };

	switch (op) {
	case OP_START:
		start(w, e);
		break;
	case OP_END:
		end(w, e);
		break;
	case OP_WANT:
		ledger_want(e->ledger, d, pick(w, 5));
		break;
	case OP_RELEASE:
		ledger_release(e->ledger, d, pick(w, 3));
		break;
	case OP_LEND:
		lend(w, e);
		break;
	case OP_RESEND:
		resend(w, e);
		break;
	case OP_PLAN:
		plan(w, e, pick(w, SHARDS));
		break;
	case OP_READ:
		if (!w->outage)
			read_rows(w, e);
		break;
	case OP_FREEZE:
		e->frozen = true;
		break;
	case OP_LEARN:
		learn(w, e, w->conf);
		break;
	default:
		ledger_suspect(e->ledger);
		break;
	}
}

static void thaw_one(struct world *w)
{
	w->entries[pick(w, w->entry_count)].frozen = false;
}

static void step_world(struct world *w, enum op op)
{
	uint32_t mail = w->mail_count ? pick(w, w->mail_count) : 0;
	uint32_t write = w->write_count ? pick(w, w->write_count) : 0;

	if (op == OP_DELIVER && w->mail_count)
		deliver(w, mail, false);
	else if (op == OP_DUPLICATE && w->mail_count)
		deliver(w, mail, true);
	else if (op == OP_DROP && w->mail_count)
		w->mail[mail] = w->mail[--w->mail_count];
	else if (op == OP_ANSWER && w->write_count)
		answer(w, write, !pick(w, 4));
	else if (op == OP_LATE_WRITE && w->write_count && !w->outage &&
		 !w->writes[write].applied)
		apply(w, &w->writes[write]);
	else if (op == OP_THAW)
		thaw_one(w);
	else if (op == OP_KILL)
		kill_one(w);
	else if (op == OP_GONE)
		prove_gone(w);
	else if (op == OP_REGISTER && alive_count(w) < ENTRIES)
		register_entry(w);
	else if (op == OP_OUTAGE)
		w->outage = !pick(w, 3);
	else if (op == OP_CONFIGURE)
		configure(w);
}

static bool op_is_of_entry(enum op op)
{
	return op <= OP_RESEND || op == OP_PLAN || op == OP_READ ||
	       op == OP_FREEZE || op == OP_LEARN || op == OP_SUSPECT;
}

static void step(struct world *w)
{
	uint32_t n = pick(w, w->weight_sum);
	struct entry *e;
	int op = 0;

	while (n >= w->weights[op])
		n -= w->weights[op++];
	w->now_ms += pick(w, 20);
	if (!op_is_of_entry((enum op)op)) {
		step_world(w, (enum op)op);
	} else {
		e = any_entry(w);
		if (e)
			step_entry(w, (enum op)op, e);
	}
	check(w, "a step");
}

static bool accounted(const struct world *w)
{
	uint32_t d;

	for (d = 0; d < DOMAINS; d++) {
		const struct ledger_cell *c = cell_of(w, d);

		if (!c || c->total != w->totals[w->conf][d] ||
		    c->free + held_in(w, d) != c->total || c->free < 0)
			return false;
	}
	return true;
}

static void heal_tick(struct world *w)
{
	uint32_t i;
	uint32_t s;

	for (i = 0; i < w->entry_count; i++) {
		struct entry *e = &w->entries[i];

		if (!e->alive)
			continue;
		if (w->now_ms % 250 < TICK_MS)
			read_rows(w, e);
		learn(w, e, w->conf);
		resend(w, e);
		for (s = 0; s < SHARDS; s++)
			plan(w, e, s);
	}
	while (w->mail_count)
		deliver(w, 0, false);
	while (w->write_count)
		answer(w, 0, false);
	check(w, "healing");
}

/* Ends all work that holds units, so that debts can be paid. */
static void end_all_work(struct world *w)
{
	uint32_t i;
	domain_handle d;

	for (i = 0; i < w->entry_count; i++)
		for (d.i = 0; d.i < DOMAINS && w->entries[i].alive; d.i++)
			while (view_of(&w->entries[i], d.i).running > 0)
				ledger_end(w->entries[i].ledger, d);
}

static void describe(const struct world *w)
{
	uint32_t d;

	for (d = 0; d < DOMAINS; d++) {
		const struct ledger_cell *c = cell_of(w, d);

		if (c)
			printf("%s: total %" PRId64 " (wanted %" PRId64
			       ") free %" PRId64 " held %" PRId64
			       " generation %" PRIu64 " (wanted %" PRIu64 ")\n",
			       domain_names[d], c->total, w->totals[w->conf][d],
			       c->free, held_in(w, d), c->generation,
			       w->generations[w->conf][d]);
	}
}

static void heal(struct world *w)
{
	uint64_t until;
	uint32_t i;

	w->outage = false;
	w->healing = true;
	for (i = 0; i < w->entry_count; i++)
		w->entries[i].frozen = false;
	for (i = 0; i < w->entry_count; i++)
		prove_gone(w);
	end_all_work(w);
	until = w->now_ms + HEAL_MS;
	while (w->now_ms < until && !*w->violation) {
		w->now_ms += TICK_MS;
		heal_tick(w);
		if (accounted(w))
			return;
	}
	if (*w->violation)
		return;
	describe(w);
	snprintf(w->violation, sizeof(w->violation),
		 "units not accounted for %d ms after the faults", HEAL_MS);
}

static void set_up(struct world *w, uint64_t seed, unsigned int unsafe)
{
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->ctx = talloc_new(NULL);
	w->random = seed * 0x9e3779b97f4a7c15u + 1;
	w->unsafe = unsafe;
	for (i = 0; i < 20; i++)
		pick(w, 2);
	for (i = 0; i < OP_COUNT; i++) {
		w->weights[i] = 1 + pick(w, pick(w, 4) ? 12 : 60);
		w->weight_sum += w->weights[i];
	}
	for (i = 0; i < SHARDS; i++) {
		w->rows[i] = talloc_zero(w->ctx, struct ledger_row);
		w->rows[i]->version = ++w->revision;
	}
	w->conf = 1;
	for (i = 0; i < DOMAINS; i++)
		w->totals[1][i] = 2 + pick(w, 7);
	for (i = 0; i < 3; i++)
		register_entry(w);
}

static bool walk(struct world *w, uint64_t seed, unsigned int unsafe)
{
	uint32_t i;

	set_up(w, seed, unsafe);
	for (i = 0; i < STEPS && !*w->violation; i++)
		step(w);
	if (!*w->violation)
		heal(w);
	talloc_free(w->ctx);
	return !*w->violation;
}

struct safeguard {
	const char *name;
	unsigned int unsafe;
};

static const struct safeguard safeguards[] = {
	{ "none", 0 },
	{ "round-tag", LEDGER_UNSAFE_ROUND_TAG },
	{ "sequence", LEDGER_UNSAFE_SEQUENCE },
	{ "late-draw", LEDGER_UNSAFE_LATE_DRAW },
	{ "report", LEDGER_UNSAFE_REPORT },
	{ "debt", LEDGER_UNSAFE_DEBT },
	{ "unknown", LEDGER_UNSAFE_UNKNOWN },
	{ "end-of-work", UNSAFE_END_OF_WORK },
	{ "lease", UNSAFE_LEASE },
};

static int run(const struct safeguard *guard, int first, int count)
{
	static struct world w;
	uint64_t rounds = 0;
	int seed;

	for (seed = first; seed < first + count; seed++) {
		if (walk(&w, (uint64_t)seed, guard->unsafe)) {
			rounds += w.rounds;
			continue;
		}
		printf("%s: seed %d: %s\n", guard->name, seed, w.violation);
		printf("repeat: build/test/ledger_walk --without %s --first "
		       "%d --count 1\n",
		       guard->name, seed);
		return guard->unsafe ? 0 : 1;
	}
	printf("%s: %d schedules of %d steps, %" PRIu64
	       " rounds, no violation\n",
	       guard->name, count, STEPS, rounds);
	return guard->unsafe ? 1 : 0;
}

int main(int argc, char **argv)
{
	struct arg_str *without =
		arg_str0(NULL, "without", "SAFEGUARD", "take a safeguard away");
	struct arg_int *first = arg_int0(NULL, "first", "SEED", "first seed");
	struct arg_int *count = arg_int0(NULL, "count", "N", "schedules");
	struct arg_end *stop = arg_end(4);
	void *table[] = { without, first, count, stop };
	size_t i;

	without->sval[0] = "none";
	first->ival[0] = 1;
	count->ival[0] = 10000;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, stop, "ledger_walk");
		return 2;
	}
	for (i = 0; i < sizeof(safeguards) / sizeof(safeguards[0]); i++)
		if (!strcmp(safeguards[i].name, without->sval[0]))
			return run(&safeguards[i], first->ival[0],
				   count->ival[0]);
	fprintf(stderr, "ledger_walk: no safeguard \"%s\"\n", without->sval[0]);
	return 2;
}
