#include "test/walk/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

const char *const walk_domain_names[DOMAINS] = { "t:shop", "w:oven-1",
						 "t:club" };

uint32_t walk_pick(struct world *w, uint32_t n)
{
	w->random ^= w->random << 13;
	w->random ^= w->random >> 7;
	w->random ^= w->random << 17;
	return (uint32_t)((w->random >> 11) % n);
}

struct ledger_domain_view walk_view_of(const struct entry *e, uint32_t d)
{
	struct ledger_domain_view view;
	domain_handle handle = { d };

	ledger_view(e->ledger, handle, &view);
	return view;
}

int64_t walk_running_in(const struct world *w, uint32_t d)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		const struct entry *e = &w->entries[i];

		sum += e->orphans[d];
		if (!e->gone)
			sum += walk_view_of(e, d).running;
	}
	return sum;
}

int64_t walk_held_in(const struct world *w, uint32_t d)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		if (!w->entries[i].gone)
			sum += walk_view_of(&w->entries[i], d).held;
		sum += w->entries[i].orphans[d]; /* runs, so it must be held */
	}
	return sum;
}

struct ledger_cell *walk_cell_of(const struct world *w, uint32_t d)
{
	uint32_t s;
	uint32_t i;

	for (s = 0; s < SHARDS; s++)
		for (i = 0; w->rows[s] && i < w->rows[s]->cell_count; i++)
			if (w->rows[s]->cells[i].domain.i == d)
				return &w->rows[s]->cells[i];
	return NULL;
}

void walk_check(struct world *w, const char *after)
{
	uint32_t d;

	for (d = 0; d < DOMAINS && !*w->violation; d++) {
		const struct ledger_cell *c = walk_cell_of(w, d);

		if (c && c->free + walk_held_in(w, d) > c->total)
			snprintf(w->violation, sizeof(w->violation),
				 "after %s: %s free %" PRId64 " + held %" PRId64
				 " > total %" PRId64,
				 after, walk_domain_names[d], c->free,
				 walk_held_in(w, d), c->total);
	}
}

/* No start may pass a limit its entry knows, nor every newer one. */
void walk_check_start(struct world *w, const struct entry *e, uint32_t d)
{
	int64_t allowed = 0;
	uint64_t v;

	for (v = e->conf; v <= w->conf; v++)
		if (w->totals[v][d] > allowed)
			allowed = w->totals[v][d];
	if (walk_running_in(w, d) > allowed)
		snprintf(w->violation, sizeof(w->violation),
			 "started %s: %" PRId64 " running, limit %" PRId64,
			 walk_domain_names[d], walk_running_in(w, d), allowed);
}

/* Entries */

void walk_learn(struct world *w, struct entry *e, uint64_t conf)
{
	domain_handle d;

	for (d.i = 0; d.i < DOMAINS; d.i++)
		ledger_configure(e->ledger, d, w->totals[conf][d.i],
				 w->generations[conf][d.i], conf);
	e->conf = conf;
}

void walk_read_rows(struct world *w, struct entry *e)
{
	uint32_t s;

	for (s = 0; s < SHARDS; s++)
		ledger_seen(e->ledger, s, w->rows[s]);
}

void walk_register_entry(struct world *w)
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
		ledger_domain(e->ledger, walk_domain_names[d]);
	w->members[w->member_count++] = e->incarnation;
	w->members_version = ++w->revision;
	walk_read_rows(w, e);
	walk_learn(w, e, w->conf);
}

struct entry *walk_any_entry(struct world *w)
{
	uint32_t start = walk_pick(w, w->entry_count);
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		struct entry *e = &w->entries[(start + i) % w->entry_count];

		if (e->alive && !e->frozen)
			return e;
	}
	return NULL;
}

uint32_t walk_alive_count(const struct world *w)
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
void walk_prove_gone(struct world *w)
{
	uint32_t start = walk_pick(w, w->entry_count);
	uint32_t i;
	uint32_t d;

	for (i = 0; i < w->entry_count; i++) {
		uint32_t index = (start + i) % w->entry_count;
		struct entry *e = &w->entries[index];

		if (e->alive || e->gone || w->outage)
			continue;
		if (w->unsafe & UNSAFE_LEASE)
			for (d = 0; d < DOMAINS; d++)
				e->orphans[d] += walk_view_of(e, d).running;
		e->gone = true;
		unregister(w, index);
		return;
	}
}

/* Mail */

struct ledger_link *walk_link_to(struct world *w, uint32_t from, uint32_t to)
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

void walk_deliver(struct world *w, uint32_t i, bool keep)
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
	link = walk_link_to(w, m.to, m.from);
	if (m.ack) {
		ledger_acked(link, m.t.seq);
		return;
	}
	m.t.seq = ledger_receive(link, &m.t);
	post(w, m.to, m.from, true, &m.t);
}

void walk_resend(struct world *w, struct entry *e)
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

void walk_plan(struct world *w, struct entry *e, uint32_t shard)
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

void walk_apply(struct world *w, struct write *write)
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
void walk_answer(struct world *w, uint32_t i, bool lost)
{
	struct write *write = &w->writes[i];
	struct entry *e = &w->entries[write->entry];

	if (e->alive && e->frozen)
		return;
	if (!w->outage && !write->applied)
		walk_apply(w, write);
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
