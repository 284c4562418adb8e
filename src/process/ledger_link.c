#include "process/ledger_internal.h"

#include <string.h>

#define LEDGER_INITIAL_OUTBOX 8u /* transfers */

struct ledger_link {
	struct ledger *ledger;
	struct ledger_transfer *outbox;
	uint32_t outbox_count;
	uint32_t outbox_capacity;
	uint64_t next_seq;
	uint64_t received_seq; /* of the last transfer accepted */
};

struct ledger_link *ledger_link_new(TALLOC_CTX *ctx, struct ledger *l)
{
	struct ledger_link *link = talloc_zero(ctx, struct ledger_link);

	assert(link);
	link->ledger = l;
	link->next_seq = 1;
	return link;
}

static void outbox_remove(struct ledger_link *link, uint32_t count)
{
	uint32_t i;

	if (!count)
		return;
	for (i = 0; i < count; i++)
		link->ledger->outbound -= link->outbox[i].units;
	link->outbox_count -= count;
	memmove(link->outbox, link->outbox + count,
		link->outbox_count * sizeof(*link->outbox));
}

void ledger_link_drop(struct ledger_link *link)
{
	outbox_remove(link, link->outbox_count);
	talloc_free(link);
}

static struct ledger_transfer *outbox_add(struct ledger_link *link)
{
	if (link->outbox_count == link->outbox_capacity) {
		link->outbox_capacity = link->outbox_capacity
						? link->outbox_capacity * 2
						: LEDGER_INITIAL_OUTBOX;
		link->outbox = talloc_realloc(link, link->outbox,
					      struct ledger_transfer,
					      link->outbox_capacity);
		assert(link->outbox);
	}
	return &link->outbox[link->outbox_count++];
}

uint32_t ledger_lend(struct ledger_link *link, domain_handle handle,
		     uint32_t units)
{
	struct ledger *l = link->ledger;
	struct domain *d = ledger_domain_of(l, handle);
	struct ledger_transfer *t;

	if (ledger_can_start(l, handle) != LEDGER_OK || d->to_return > 0)
		return 0;
	if (units > ledger_idle(d))
		units = (uint32_t)ledger_idle(d);
	if (!units)
		return 0;
	d->held -= units;
	l->outbound += units;
	t = outbox_add(link);
	t->seq = link->next_seq++;
	t->domain = handle;
	t->units = units;
	t->round = l->shards[d->shard].joined_round;
	t->generation = d->generation;
	return units;
}

const struct ledger_transfer *ledger_outbox(const struct ledger_link *link,
					    uint32_t *count)
{
	*count = link->outbox_count;
	return link->outbox;
}

void ledger_acknowledge(struct ledger_link *link, uint64_t seq)
{
	uint32_t n = 0;

	while (n < link->outbox_count && link->outbox[n].seq <= seq)
		n++;
	outbox_remove(link, n);
}

static void accept_units(struct ledger *l, const struct ledger_transfer *t)
{
	struct domain *d = ledger_domain_of(l, t->domain);
	struct shard *s = &l->shards[d->shard];

	if (t->round > s->joined_round)
		ledger_join_round(l, d->shard, t->round);
	if (t->round < s->joined_round &&
	    !(l->options.unsafe & LEDGER_UNSAFE_ROUND_TAG))
		return; /* the round joined here reclaims the units */
	if (t->generation != d->generation) {
		ledger_suspect_shard(l, d->shard);
		return;
	}
	d->held += t->units;
}

uint64_t ledger_receive(struct ledger_link *link,
			const struct ledger_transfer *t)
{
	struct ledger *l = link->ledger;
	bool in_order = t->seq == link->received_seq + 1;

	if (!ledger_ready(l, ledger_domain_of(l, t->domain)->shard))
		return link->received_seq;
	if (l->options.unsafe & LEDGER_UNSAFE_SEQUENCE) {
		accept_units(l, t);
		if (t->seq > link->received_seq)
			link->received_seq = t->seq;
		return link->received_seq;
	}
	if (!in_order)
		return link->received_seq;
	link->received_seq = t->seq;
	accept_units(l, t);
	return link->received_seq;
}
