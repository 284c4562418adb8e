/*
 * watch - rows that others write, followed by feeds
 *
 * Every node follows the operators' table; the lead also the instances' and
 * the inbox. When history is gone, the table is read anew.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

/*
 * A connection may go silent for good. The feed's wait is bounded so that a
 * change is seen within the operators' bound of 2 s after contact is back.
 */
#define FEED_WAIT_MS 1000u
#define FEED_RETRY_MS 250u
#define INBOX_BYTES_MAX 64u

struct feed_call {
	struct node *node;
	enum feed_kind kind;
	uint64_t lead_epoch;
	uint64_t after; /* changes since this revision */
	uint64_t sent_ms;
	uint32_t turn;
	bool reading; /* the whole table, not its changes */
	bool later;   /* a page after the first */
};

static const char *table_of(const struct node *n, enum feed_kind kind);
static void feed_start(struct node *n, enum feed_kind kind, bool reading);

/* Configuration */

void watch_config_bytes(struct node *n, const uint8_t *value, size_t length,
			const char *from)
{
	struct config *c = n->services->config(n, value, length);

	if (!c) {
		event_log("config-unreadable", NULL, "\"from\":\"%s\"", from);
		return;
	}
	if (n->config && c->version <= n->config->version) {
		talloc_free(c);
		return;
	}
	event_log("config", NULL,
		  "\"version\":%" PRIu64 ",\"queues\":%u,\"workspaces\":%u,"
		  "\"from\":\"%s\"",
		  c->version, c->queue_count, c->workspace_count, from);
	if (n->sched)
		sched_configure(n->sched, c, clock_now_ms());
	talloc_free(n->config);
	n->config = c;
	talloc_free(n->config_bytes);
	n->config_bytes = talloc_memdup(n, value, length);
	n->config_length = length;
	n->config_behind_ms = 0;
	if (n->phase == LEAD_DECIDING)
		node_pump(n);
}

void watch_operator_row(struct node *n, const struct store_row *row)
{
	const char *prefix = n->services->wave_prefix;
	struct wave_request *wave;

	if (row->dropped)
		return;
	if (!strcmp(row->key, n->services->config_key)) {
		watch_config_bytes(n, row->value, row->length, "store");
		return;
	}
	if (strncmp(row->key, prefix, strlen(prefix)))
		return;
	wave = n->services->wave(n, row->value, row->length);
	if (wave) {
		snprintf(wave->name, sizeof(wave->name), "%s", row->key);
		machines_wave(n, wave);
	}
}

/* Instances */

void watch_instance_row(struct node *n, const struct store_row *row)
{
	struct sched_instance_info info;
	TALLOC_CTX *tmp;

	if (row->dropped) {
		sched_instance_gone(n->sched, row->key, clock_now_ms());
		return;
	}
	tmp = talloc_new(NULL);
	if (n->services->instance(tmp, row->key, row->value, row->length,
				  &info))
		sched_instance(n->sched, &info, clock_now_ms());
	else
		event_log("instance-unreadable", event_sanitize(row->key),
			  "\"bytes\":%zu", row->length);
	talloc_free(tmp);
}

/* Inbox */

struct inbox_read {
	struct node *node;
	uint64_t lead_epoch;
	char id[SCHED_ID_BYTES + 1];
	bool cancel;
	char queue[128];
};

static void on_inbox_job(void *arg, const struct store_reply *reply)
{
	struct inbox_read *r = arg;
	struct node *n = r->node;
	uint64_t now = clock_now_ms();

	node_store_result(n, reply->status);
	if (r->lead_epoch != n->lead_epoch || n->phase != LEAD_DECIDING) {
		talloc_free(r);
		return;
	}
	if (reply->status != STORE_OK) {
		/* The feed goes back to before the row. */
		n->feeds[FEED_INBOX].revision = 0;
		talloc_free(r);
		return;
	}
	if (reply->row_count && !strcmp(reply->rows[0].key, r->id)) {
		Fleet__JobRow *job = fleet__job_row__unpack(
			NULL, reply->rows[0].length, reply->rows[0].value);

		if (job)
			sched_recorded(n->sched, r->id, job, now);
		if (r->cancel)
			sched_cancel(n->sched, r->id, r->queue, now);
		inbox_remember(n, r->id);
	}
	node_pump(n);
	talloc_free(r);
}

void watch_inbox_row(struct node *n, const struct store_row *row)
{
	Fleet__InboxRow *in;
	struct inbox_read *r;

	if (row->dropped || strlen(row->key) > SCHED_ID_BYTES)
		return;
	in = fleet__inbox_row__unpack(NULL, row->length, row->value);
	if (!in)
		return;
	if (sched_state(n->sched, row->key, in->queue) !=
	    FLEET__JOB_STATE__UNKNOWN) {
		if (in->cancel)
			sched_cancel(n->sched, row->key, in->queue,
				     clock_now_ms());
		inbox_remember(n, row->key);
	} else {
		r = talloc_zero(n, struct inbox_read);
		assert(r);
		r->node = n;
		r->lead_epoch = n->lead_epoch;
		r->cancel = in->cancel;
		snprintf(r->id, sizeof(r->id), "%s", row->key);
		snprintf(r->queue, sizeof(r->queue), "%s", in->queue);
		n->services->read(n->services->impl, NODE_TABLE_JOB, r->id,
				  node_key_end(r, r->id), NODE_STORE_MS,
				  on_inbox_job, r);
	}
	fleet__inbox_row__free_unpacked(in, NULL);
}

/* Feeds */

static void take_row(struct node *n, enum feed_kind kind,
		     const struct store_row *row)
{
	switch (kind) {
	case FEED_OPERATOR:
		watch_operator_row(n, row);
		break;
	case FEED_INSTANCES:
		watch_instance_row(n, row);
		break;
	case FEED_INBOX:
	case FEED_COUNT:
		watch_inbox_row(n, row);
		break;
	}
}

/*
 * The feed goes on after this revision, or by reading the table anew. A feed
 * brings each version since; a reading only the newest, so who has missed
 * several reads.
 */
void watch_from(struct node *n, enum feed_kind kind, uint64_t revision)
{
	TALLOC_FREE(n->feeds[kind].from);
	n->feeds[kind] = (struct feed){ .revision = revision,
					.turn = n->feeds[kind].turn + 1 };
}

static int by_key(const void *key, const void *row)
{
	return strcmp(key, ((const struct store_row *)row)->key);
}

/*
 * A page says which instances of its range of keys are gone by leaving them
 * out; rows come in the order of their keys.
 */
static void drop_unlisted(struct node *n, const char *from,
			  const struct store_reply *reply)
{
	const char *last = reply->more && reply->row_count
				   ? reply->rows[reply->row_count - 1].key
				   : NULL;
	struct sched_instance_load load;
	uint32_t slot = 0;

	while (sched_instance_next(n->sched, &slot, &load)) {
		if (strcmp(load.id, from) < 0 ||
		    (last && strcmp(load.id, last) > 0))
			continue;
		if (!reply->row_count ||
		    !bsearch(load.id, reply->rows, reply->row_count,
			     sizeof(*reply->rows), by_key))
			sched_instance_gone(n->sched, load.id, clock_now_ms());
	}
}

/* The feed goes on after a table's first page, so nothing is missed. */
static void page_read(struct node *n, enum feed_kind kind,
		      const struct store_reply *reply)
{
	struct feed *feed = &n->feeds[kind];

	if (kind == FEED_INSTANCES)
		drop_unlisted(n, feed->from ? feed->from : "", reply);
	if (!feed->from)
		feed->first_revision = reply->revision;
	TALLOC_FREE(feed->from);
	if (reply->more && reply->row_count)
		feed->from = node_key_after(
			n, reply->rows[reply->row_count - 1].key);
	else
		feed->revision = feed->first_revision;
}

/* What a call for the operators' table brought, unless nothing has changed. */
static void log_watch(const struct node *n, const struct feed_call *call,
		      const struct store_reply *reply)
{
	size_t bytes = 0;
	uint32_t i;

	if (call->kind != FEED_OPERATOR ||
	    (reply->status == STORE_OK && !reply->row_count))
		return;
	for (i = 0; i < reply->row_count; i++)
		bytes += reply->rows[i].length;
	event_log("watch", NULL,
		  "\"table\":\"%s\",\"reading\":%d,\"after\":%" PRIu64
		  ",\"status\":%d,\"rows\":%u,\"bytes\":%zu,"
		  "\"took_ms\":%" PRIu64,
		  table_of(n, call->kind), call->reading, call->after,
		  reply->status, reply->row_count, bytes,
		  clock_now_ms() - call->sent_ms);
}

/*
 * The row was in the answer, or nothing had changed since it was read. A feed
 * that brings nothing has waited at the store for all of its time.
 */
static uint64_t shown_at(const struct feed_call *call,
			 const struct store_reply *reply)
{
	uint64_t waited_ms = call->sent_ms + FEED_WAIT_MS;

	if (call->later || reply->more)
		return 0; /* its row may be on another page */
	if (call->reading || reply->row_count || waited_ms > clock_now_ms())
		return call->sent_ms;
	return waited_ms;
}

static void on_feed(void *arg, const struct store_reply *reply)
{
	struct feed_call *call = arg;
	struct node *n = call->node;
	enum feed_kind kind = call->kind;
	struct feed *feed = &n->feeds[kind];
	bool reading = call->reading;
	bool superseded = call->turn != feed->turn;
	bool stale =
		kind != FEED_OPERATOR && (call->lead_epoch != n->lead_epoch ||
					  n->phase != LEAD_DECIDING);
	uint64_t shown_ms = shown_at(call, reply);
	uint32_t i;

	log_watch(n, call, reply);
	talloc_free(call);
	node_store_result(n, reply->status);
	if (stale)
		return;
	if (superseded) {
		if (kind == FEED_OPERATOR && reply->status == STORE_OK)
			for (i = 0; i < reply->row_count; i++)
				take_row(n, kind, &reply->rows[i]);
		return; /* what else has changed since is not known */
	}
	feed->under_way = false;
	switch (reply->status) {
	case STORE_OK:
		for (i = 0; i < reply->row_count; i++)
			take_row(n, kind, &reply->rows[i]);
		if (kind == FEED_OPERATOR)
			currency_shown(n, shown_ms);
		if (reading)
			page_read(n, kind, reply);
		else
			feed->revision = reply->revision;
		if (reply->row_count && kind != FEED_OPERATOR)
			node_pump(n);
		feed_start(n, kind, false);
		break;
	case STORE_LOST:
		event_log("feed-lost", NULL, "\"table\":\"%s\"",
			  table_of(n, kind));
		feed->revision = 0;
		feed_start(n, kind, true);
		break;
	case STORE_UNKNOWN:
		/* Whether feeds are silent or too large for the link: read. */
		if (!reading)
			watch_from(n, kind, 0);
		feed->retry_ms = clock_now_ms() + FEED_RETRY_MS;
		break;
	case STORE_CONFLICT:
	case STORE_REFUSED:
		if (kind == FEED_OPERATOR && n->config_behind_ms)
			watch_from(n, kind, 0);
		feed->retry_ms = clock_now_ms() + FEED_RETRY_MS;
		break;
	}
}

static const char *table_of(const struct node *n, enum feed_kind kind)
{
	const char *const tables[FEED_COUNT] = {
		[FEED_OPERATOR] = n->services->operator_table,
		[FEED_INSTANCES] = n->services->instance_table,
		[FEED_INBOX] = NODE_TABLE_INBOX,
	};

	return tables[kind];
}

static void feed_start(struct node *n, enum feed_kind kind, bool reading)
{
	struct feed_call *call = talloc_zero(n, struct feed_call);
	struct feed *feed = &n->feeds[kind];

	assert(call);
	call->node = n;
	call->kind = kind;
	call->lead_epoch = n->lead_epoch;
	call->reading = reading || !feed->revision;
	call->after = feed->revision;
	call->sent_ms = clock_now_ms();
	call->turn = feed->turn;
	call->later = feed->from != NULL;
	feed->under_way = true;
	if (call->reading)
		n->services->read(n->services->impl, table_of(n, kind),
				  feed->from, NULL, NODE_STORE_MS, on_feed,
				  call);
	else
		n->services->feed(n->services->impl, table_of(n, kind),
				  feed->revision, FEED_WAIT_MS, on_feed, call);
}

void watch_tick(struct node *n, uint64_t now)
{
	enum feed_kind kind;

	for (kind = 0; kind < FEED_COUNT; kind++) {
		if (kind != FEED_OPERATOR && n->phase != LEAD_DECIDING)
			continue;
		if (!n->feeds[kind].under_way && now >= n->feeds[kind].retry_ms)
			feed_start(n, kind, false);
	}
}
