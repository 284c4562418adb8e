#include "test/walk/world.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

const char *const walk_domain_names[DOMAINS] = { "t:shop", "w:oven-1",
						 "t:club" };

uint32_t walk_random(struct world *w, uint32_t n)
{
	w->random ^= w->random << 13;
	w->random ^= w->random >> 7;
	w->random ^= w->random << 17;
	return (uint32_t)((w->random >> 11) % n);
}

struct ledger_domain_view walk_domain_view(const struct entry *e, uint32_t d)
{
	struct ledger_domain_view view;
	domain_handle handle = { d };

	ledger_view(e->ledger, handle, &view);
	return view;
}

int64_t walk_running(const struct world *w, uint32_t d)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		const struct entry *e = &w->entries[i];

		sum += e->orphaned[d];
		if (!e->removed)
			sum += walk_domain_view(e, d).running;
	}
	return sum;
}

int64_t walk_held(const struct world *w, uint32_t d)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < w->entry_count; i++) {
		if (!w->entries[i].removed)
			sum += walk_domain_view(&w->entries[i], d).held;
		/* Orphaned work uses its unit although no entry holds it. */
		sum += w->entries[i].orphaned[d];
	}
	return sum;
}

struct ledger_cell *walk_cell(const struct world *w, uint32_t d)
{
	uint32_t s;
	uint32_t i;

	for (s = 0; s < SHARDS; s++)
		for (i = 0; w->rows[s] && i < w->rows[s]->cell_count; i++)
			if (w->rows[s]->cells[i].domain.i == d)
				return &w->rows[s]->cells[i];
	return NULL;
}

void walk_check_units(struct world *w, const char *after)
{
	uint32_t d;

	for (d = 0; d < DOMAINS && !*w->violation; d++) {
		const struct ledger_cell *c = walk_cell(w, d);

		if (c && c->free + walk_held(w, d) > c->total)
			snprintf(w->violation, sizeof(w->violation),
				 "after %s: %s free %" PRId64 " + held %" PRId64
				 " > total %" PRId64,
				 after, walk_domain_names[d], c->free,
				 walk_held(w, d), c->total);
	}
}

/*
 * After a start, no more units may run than the highest total in the entry's
 * configuration version and all newer ones.
 */
void walk_check_start(struct world *w, const struct entry *e, uint32_t d)
{
	int64_t allowed = 0;
	uint64_t v;

	for (v = e->config_version; v <= w->config_version; v++)
		if (w->totals[v][d] > allowed)
			allowed = w->totals[v][d];
	if (walk_running(w, d) > allowed)
		snprintf(w->violation, sizeof(w->violation),
			 "after a start in %s: %" PRId64
			 " running, total %" PRId64,
			 walk_domain_names[d], walk_running(w, d), allowed);
}

/* Entries */

void walk_configure(struct world *w, struct entry *e, uint64_t config_version)
{
	domain_handle d;

	for (d.i = 0; d.i < DOMAINS; d.i++)
		ledger_configure(e->ledger, d, w->totals[config_version][d.i],
				 w->generations[config_version][d.i],
				 config_version);
	e->config_version = config_version;
}

void walk_read_rows(struct world *w, struct entry *e)
{
	uint32_t s;

	for (s = 0; s < SHARDS; s++)
		ledger_set_row(e->ledger, s, w->rows[s]);
}

void walk_register_entry(struct world *w)
{
	struct entry *e;
	struct ledger_options options = {
		.shard_count = SHARDS,
		.round_interval_min_ms = 100,
		.unsafe = w->unsafe & 0xffff,
	};
	uint32_t d;

	if (w->entry_count == INCARNATIONS_MAX || w->outage)
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
	walk_configure(w, e, w->config_version);
}

struct entry *walk_random_entry(struct world *w)
{
	uint32_t start = walk_random(w, w->entry_count);
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
			ledger_member_removed(w->entries[i].ledger,
					      w->members_version);
		}
}

/* Removes a dead entry, as if the leases of its work had expired. */
void walk_remove_dead(struct world *w)
{
	uint32_t start = walk_random(w, w->entry_count);
	uint32_t i;
	uint32_t d;

	for (i = 0; i < w->entry_count; i++) {
		uint32_t index = (start + i) % w->entry_count;
		struct entry *e = &w->entries[index];

		if (e->alive || e->removed || w->outage)
			continue;
		if (w->unsafe & UNSAFE_LEASE)
			for (d = 0; d < DOMAINS; d++)
				e->orphaned[d] +=
					walk_domain_view(e, d).running;
		e->removed = true;
		unregister(w, index);
		return;
	}
}

/* Messages */

struct ledger_link *walk_link(struct world *w, uint32_t from, uint32_t to)
{
	struct entry *e = &w->entries[from];

	if (!e->links[to])
		e->links[to] = ledger_link_new(e->ledger, e->ledger);
	return e->links[to];
}

static void send_message(struct world *w, uint32_t from, uint32_t to, bool ack,
			 const struct ledger_transfer *t)
{
	struct message *m;

	if (w->message_count == QUEUE_MAX)
		return; /* the message is lost */
	m = &w->messages[w->message_count++];
	m->from = from;
	m->to = to;
	m->ack = ack;
	m->t = *t;
}

void walk_deliver(struct world *w, uint32_t i, bool keep)
{
	struct message m = w->messages[i];
	struct entry *to = &w->entries[m.to];
	struct ledger_link *link;

	if (to->alive && to->frozen)
		return;
	if (!keep)
		w->messages[i] = w->messages[--w->message_count];
	if (!to->alive || w->entries[m.from].removed)
		return;
	link = walk_link(w, m.to, m.from);
	if (m.ack) {
		ledger_acknowledge(link, m.t.seq);
		return;
	}
	m.t.seq = ledger_receive(link, &m.t);
	send_message(w, m.to, m.from, true, &m.t);
}

void walk_resend(struct world *w, struct entry *e)
{
	uint32_t from = (uint32_t)(e - w->entries);
	uint32_t to;
	uint32_t i;
	uint32_t n;

	for (to = 0; to < w->entry_count; to++) {
		const struct ledger_transfer *t;

		if (!e->links[to] || w->entries[to].removed)
			continue;
		t = ledger_outbox(e->links[to], &n);
		for (i = 0; i < n; i++)
			send_message(w, from, to, false, &t[i]);
	}
}

/* Store */

void walk_plan_cas(struct world *w, struct entry *e, uint32_t shard)
{
	struct ledger_members members = { w->members_version, w->member_count,
					  w->members };
	struct ledger_cas cas;
	struct write *write;

	if (w->write_count == QUEUE_MAX ||
	    !ledger_plan_cas(e->ledger, shard, w->now_ms, &members, &cas))
		return;
	write = &w->writes[w->write_count++];
	memset(write, 0, sizeof(*write));
	write->entry = (uint32_t)(e - w->entries);
	write->shard = shard;
	write->row = ledger_row_copy(w->ctx, cas.row);
	write->row_version = cas.row_version;
	write->members_version = cas.members_version;
}

void walk_apply_write(struct world *w, struct write *write)
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

/* A write that is not applied, in an outage, stays and may be applied later. */
void walk_answer(struct world *w, uint32_t i, bool lost)
{
	struct write *write = &w->writes[i];
	struct entry *e = &w->entries[write->entry];

	if (e->alive && e->frozen)
		return;
	if (!w->outage && !write->applied)
		walk_apply_write(w, write);
	if (!write->applied)
		lost = true;
	if (e->alive && !write->abandoned) {
		if (lost)
			ledger_finish_cas(e->ledger, write->shard,
					  LEDGER_CAS_UNKNOWN, 0);
		else if (write->conflict)
			ledger_finish_cas(e->ledger, write->shard,
					  LEDGER_CAS_CONFLICT, 0);
		else
			ledger_finish_cas(e->ledger, write->shard,
					  LEDGER_CAS_DONE, write->version);
	}
	write->abandoned = true;
	if (write->applied)
		write_remove(w, i);
}
