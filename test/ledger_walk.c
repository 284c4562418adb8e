/*
 * ledger_walk - randomized simulation of entries, store and network
 *
 * Runs the ledgers of several entries in virtual time, with a fixed seed per
 * schedule. The weights of the operations are random per seed, so that
 * schedules in which work rarely ends, freezes are long or kills are many all
 * occur. Guards against a unit that two entries hold, so that more work runs
 * than a limit allows, and against lost units that are never reclaimed: the
 * invariants are checked after every step, and once the faults end, all units
 * must be accounted for within RECOVERY_MS. --without disables one safeguard;
 * the simulation must then find a violation.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "test/walk/world.h"

/* Operations */

static void commit_config(struct world *w)
{
	uint32_t d = walk_random(w, DOMAINS);

	if (w->config_version == VERSIONS_MAX - 1 || w->outage)
		return;
	memcpy(w->totals[w->config_version + 1], w->totals[w->config_version],
	       sizeof(w->totals[0]));
	memcpy(w->generations[w->config_version + 1],
	       w->generations[w->config_version], sizeof(w->generations[0]));
	w->config_version++;
	w->totals[w->config_version][d] = walk_random(w, 9);
	if (d == 1 && !walk_random(w, 3))
		w->generations[w->config_version][d]++;
}

static void start_unit(struct world *w, struct entry *e)
{
	domain_handle d = { walk_random(w, DOMAINS) };

	if (ledger_start_unit(e->ledger, d) == LEDGER_OK)
		walk_check_start(w, e, d.i);
}

static void end_unit(struct world *w, struct entry *e)
{
	domain_handle d = { walk_random(w, DOMAINS) };

	if (walk_domain_view(e, d.i).running <= 0)
		return;
	ledger_end_unit(e->ledger, d);
	if ((w->unsafe & UNSAFE_END_OF_WORK) && !walk_random(w, 4))
		e->orphaned[d.i]++;
}

static void lend(struct world *w, struct entry *e)
{
	uint32_t from = (uint32_t)(e - w->entries);
	uint32_t to = walk_random(w, w->entry_count);
	domain_handle d = { walk_random(w, DOMAINS) };

	if (to == from || !w->entries[to].alive)
		return;
	if (ledger_lend(walk_link(w, from, to), d, 1 + walk_random(w, 3)))
		walk_resend(w, e);
}

static void kill_one(struct world *w)
{
	uint32_t i = walk_random(w, w->entry_count);

	if (walk_alive_count(w) > 1 && w->entries[i].alive)
		w->entries[i].alive = false;
}

static void step_entry(struct world *w, enum op op, struct entry *e)
{
	domain_handle d = { walk_random(w, DOMAINS) };

	switch (op) {
	case OP_START:
		start_unit(w, e);
		break;
	case OP_END:
		end_unit(w, e);
		break;
	case OP_SET_IDLE_TARGET:
		ledger_set_idle_target(e->ledger, d, walk_random(w, 5));
		break;
	case OP_RETURN:
		ledger_return_units(e->ledger, d, walk_random(w, 3));
		break;
	case OP_LEND:
		lend(w, e);
		break;
	case OP_RESEND:
		walk_resend(w, e);
		break;
	case OP_PLAN_CAS:
		walk_plan_cas(w, e, walk_random(w, SHARDS));
		break;
	case OP_READ:
		if (!w->outage)
			walk_read_rows(w, e);
		break;
	case OP_FREEZE:
		e->frozen = true;
		break;
	case OP_CONFIGURE_ENTRY:
		walk_configure(w, e, w->config_version);
		break;
	default:
		ledger_suspect_loss(e->ledger);
		break;
	}
}

static void unfreeze_one(struct world *w)
{
	w->entries[walk_random(w, w->entry_count)].frozen = false;
}

static void step_world(struct world *w, enum op op)
{
	uint32_t message =
		w->message_count ? walk_random(w, w->message_count) : 0;
	uint32_t write = w->write_count ? walk_random(w, w->write_count) : 0;

	if (op == OP_DELIVER && w->message_count)
		walk_deliver(w, message, false);
	else if (op == OP_DUPLICATE && w->message_count)
		walk_deliver(w, message, true);
	else if (op == OP_DROP && w->message_count)
		w->messages[message] = w->messages[--w->message_count];
	else if (op == OP_ANSWER && w->write_count)
		walk_answer(w, write, !walk_random(w, 4));
	else if (op == OP_LATE_WRITE && w->write_count && !w->outage &&
		 !w->writes[write].applied)
		walk_apply_write(w, &w->writes[write]);
	else if (op == OP_UNFREEZE)
		unfreeze_one(w);
	else if (op == OP_KILL)
		kill_one(w);
	else if (op == OP_REMOVE_DEAD)
		walk_remove_dead(w);
	else if (op == OP_REGISTER && walk_alive_count(w) < ENTRIES)
		walk_register_entry(w);
	else if (op == OP_OUTAGE)
		w->outage = !walk_random(w, 3);
	else if (op == OP_CONFIGURE)
		commit_config(w);
}

static bool is_entry_op(enum op op)
{
	return op <= OP_RESEND || op == OP_PLAN_CAS || op == OP_READ ||
	       op == OP_FREEZE || op == OP_CONFIGURE_ENTRY || op == OP_SUSPECT;
}

static void step(struct world *w)
{
	uint32_t n = walk_random(w, w->weight_sum);
	struct entry *e;
	int op = 0;

	while (n >= w->weights[op])
		n -= w->weights[op++];
	w->now_ms += walk_random(w, 20);
	if (!is_entry_op((enum op)op)) {
		step_world(w, (enum op)op);
	} else {
		e = walk_random_entry(w);
		if (e)
			step_entry(w, (enum op)op, e);
	}
	walk_check_units(w, "a step");
}

static bool all_units_accounted(const struct world *w)
{
	uint32_t d;

	for (d = 0; d < DOMAINS; d++) {
		const struct ledger_cell *c = walk_cell(w, d);

		if (!c || c->total != w->totals[w->config_version][d] ||
		    c->free + walk_held(w, d) != c->total || c->free < 0)
			return false;
	}
	return true;
}

static void recovery_step(struct world *w)
{
	uint32_t i;
	uint32_t s;

	for (i = 0; i < w->entry_count; i++) {
		struct entry *e = &w->entries[i];

		if (!e->alive)
			continue;
		if (w->now_ms % 250 < TICK_MS)
			walk_read_rows(w, e);
		walk_configure(w, e, w->config_version);
		walk_resend(w, e);
		for (s = 0; s < SHARDS; s++)
			walk_plan_cas(w, e, s);
	}
	while (w->message_count)
		walk_deliver(w, 0, false);
	while (w->write_count)
		walk_answer(w, 0, false);
	walk_check_units(w, "a recovery step");
}

/* Ends all work that holds units, so that deficits can be covered. */
static void end_all_work(struct world *w)
{
	uint32_t i;
	domain_handle d;

	for (i = 0; i < w->entry_count; i++)
		for (d.i = 0; d.i < DOMAINS && w->entries[i].alive; d.i++)
			while (walk_domain_view(&w->entries[i], d.i).running >
			       0)
				ledger_end_unit(w->entries[i].ledger, d);
}

static void print_domains(const struct world *w)
{
	uint32_t d;

	for (d = 0; d < DOMAINS; d++) {
		const struct ledger_cell *c = walk_cell(w, d);

		if (c)
			printf("%s: total %" PRId64 " (configured %" PRId64
			       ") free %" PRId64 " held %" PRId64
			       " generation %" PRIu64 " (configured %" PRIu64
			       ")\n",
			       walk_domain_names[d], c->total,
			       w->totals[w->config_version][d], c->free,
			       walk_held(w, d), c->generation,
			       w->generations[w->config_version][d]);
	}
}

static void recover(struct world *w)
{
	uint64_t until;
	uint32_t i;

	w->outage = false;
	w->recovering = true;
	for (i = 0; i < w->entry_count; i++)
		w->entries[i].frozen = false;
	for (i = 0; i < w->entry_count; i++)
		walk_remove_dead(w);
	end_all_work(w);
	until = w->now_ms + RECOVERY_MS;
	while (w->now_ms < until && !*w->violation) {
		w->now_ms += TICK_MS;
		recovery_step(w);
		if (all_units_accounted(w))
			return;
	}
	if (*w->violation)
		return;
	print_domains(w);
	snprintf(w->violation, sizeof(w->violation),
		 "units not accounted for %d ms after the last fault",
		 RECOVERY_MS);
}

static void set_up(struct world *w, uint64_t seed, unsigned int unsafe)
{
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->ctx = talloc_new(NULL);
	w->random = seed * 0x9e3779b97f4a7c15u + 1;
	w->unsafe = unsafe;
	for (i = 0; i < 20; i++)
		walk_random(w, 2);
	for (i = 0; i < OP_COUNT; i++) {
		w->weights[i] = 1 + walk_random(w, walk_random(w, 4) ? 12 : 60);
		w->weight_sum += w->weights[i];
	}
	for (i = 0; i < SHARDS; i++) {
		w->rows[i] = talloc_zero(w->ctx, struct ledger_row);
		w->rows[i]->version = ++w->revision;
	}
	w->config_version = 1;
	for (i = 0; i < DOMAINS; i++)
		w->totals[1][i] = 2 + walk_random(w, 7);
	for (i = 0; i < 3; i++)
		walk_register_entry(w);
}

static bool walk(struct world *w, uint64_t seed, unsigned int unsafe)
{
	uint32_t i;

	set_up(w, seed, unsafe);
	for (i = 0; i < STEPS && !*w->violation; i++)
		step(w);
	if (!*w->violation)
		recover(w);
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
	{ "late-acquire", LEDGER_UNSAFE_LATE_ACQUIRE },
	{ "report", LEDGER_UNSAFE_REPORT },
	{ "deficit", LEDGER_UNSAFE_DEFICIT },
	{ "unknown", LEDGER_UNSAFE_UNKNOWN },
	{ "end-of-work", UNSAFE_END_OF_WORK },
	{ "lease", UNSAFE_LEASE },
};

/* Returns 0 if all schedules pass or, without a safeguard, if one fails. */
static int run(const struct safeguard *disabled, int first, int count)
{
	static struct world w;
	uint64_t rounds = 0;
	int seed;

	for (seed = first; seed < first + count; seed++) {
		if (walk(&w, (uint64_t)seed, disabled->unsafe)) {
			rounds += w.rounds;
			continue;
		}
		printf("%s: seed %d: %s\n", disabled->name, seed, w.violation);
		printf("repeat: build/test/ledger_walk --without %s --first "
		       "%d --count 1\n",
		       disabled->name, seed);
		return disabled->unsafe ? 0 : 1;
	}
	printf("%s: %d schedules of %d steps, %" PRIu64
	       " rounds, no violation\n",
	       disabled->name, count, STEPS, rounds);
	return disabled->unsafe ? 1 : 0;
}

int main(int argc, char **argv)
{
	struct arg_str *without =
		arg_str0(NULL, "without", "SAFEGUARD",
			 "disable a safeguard and expect a violation");
	struct arg_int *first = arg_int0(NULL, "first", "SEED", "first seed");
	struct arg_int *count =
		arg_int0(NULL, "count", "N", "number of schedules");
	struct arg_end *stop = arg_end(4);
	void *table[] = { without, first, count, stop };
	int code = 2;
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
			code = run(&safeguards[i], first->ival[0],
				   count->ival[0]);
	if (code == 2)
		fprintf(stderr, "ledger_walk: no safeguard \"%s\"\n",
			without->sval[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
