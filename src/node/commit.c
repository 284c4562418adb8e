/*
 * commit - writes the leader's decisions in transactions
 *
 * While the store answers fast, one transaction is in flight at a time, so that
 * the next one takes all changes made meanwhile. While the store is slow,
 * up to COMMITS_IN_FLIGHT_MAX are, with changes of different jobs. Every
 * transaction has the condition that the leader row is unchanged, so those of a
 * former leader fail. When an answer is lost, the next transaction also changes
 * the leader row, and none is sent beside it: if the lost one wasn't applied
 * before, it never will be.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

/* Timeout; covers two transactions of a store that takes 0.6 s for each. */
#define COMMIT_MS 1500u
#define COMMIT_RETRY_MS 100u
#define COMMIT_STALLED_MS 800u	  /* unanswered; a slow store takes 0.6 s */
#define COMMIT_SLOW_MS 30u	  /* unanswered: the next one may be sent */
#define COMMITS_IN_FLIGHT_MAX 2u  /* the store applies them one by one */
#define COMMIT_ENTRIES_PER_JOB 5u /* maximum for one job's change */

/* A transaction; number identifies its changes in sched. */
struct batch {
	struct node *node;
	uint64_t generation;
	uint64_t sent_ms;
	uint32_t number;
	bool resolves;
	struct store_txn txn;
	size_t bytes;
};

/* Requests that wait until their decision is durable */

void waiter_add(struct node *n, const char *id, uint64_t deadline_ms,
		node_answer_fn fn, void *arg)
{
	struct waiter *w = talloc_zero(n, struct waiter);

	assert(w);
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->deadline_ms = deadline_ms;
	w->fn = fn;
	w->arg = arg;
	DL_APPEND(n->waiters, w);
}

static void waiter_answer(struct node *n, struct waiter *w,
			  Fleet__Result result)
{
	struct node_answer answer = { .result = result };

	DL_DELETE(n->waiters, w);
	n->answers[result]++;
	w->fn(w->arg, &answer);
	talloc_free(w);
}

static void answer_durable_waiters(struct node *n)
{
	struct waiter *w, *next;

	DL_FOREACH_SAFE(n->waiters, w, next)
	if (sched_durable(n->sched, w->id))
		waiter_answer(n, w, FLEET__RESULT__ACCEPTED);
}

void waiters_tick(struct node *n, uint64_t now)
{
	struct waiter *w, *next;

	DL_FOREACH_SAFE(n->waiters, w, next)
	if (now >= w->deadline_ms)
		waiter_answer(n, w, FLEET__RESULT__UNSETTLED);
}

void waiters_drop(struct node *n)
{
	while (n->waiters)
		waiter_answer(n, n->waiters, FLEET__RESULT__UNSETTLED);
}

void inbox_add(struct node *n, const char *id)
{
	struct inbox_id *entry;

	HASH_FIND_STR(n->inbox, id, entry);
	if (entry)
		return;
	entry = talloc_zero(n, struct inbox_id);
	assert(entry);
	snprintf(entry->id, sizeof(entry->id), "%s", id);
	HASH_ADD_STR(n->inbox, id, entry);
}

static bool inbox_remove(struct node *n, const char *id)
{
	struct inbox_id *entry;

	HASH_FIND_STR(n->inbox, id, entry);
	if (!entry)
		return false;
	HASH_DEL(n->inbox, entry);
	talloc_free(entry);
	return true;
}

/* Batches */

static uint32_t entry_count(const struct store_txn *t)
{
	return t->condition_count + t->put_count + t->delete_count;
}

static void add_condition(struct batch *b, const char *table, const char *key,
			  uint64_t revision)
{
	b->txn.conditions[b->txn.condition_count++] =
		(struct store_condition){ table, key, revision };
}

static void add_put(struct batch *b, const char *table, const char *key,
		    const uint8_t *value, size_t length)
{
	b->txn.puts[b->txn.put_count++] =
		(struct store_put){ table, key, value, length };
	b->bytes += length;
}

static void add_delete(struct batch *b, const char *table, const char *key)
{
	b->txn.deletes[b->txn.delete_count++] =
		(struct store_delete){ table, key };
}

static void add_job_row(struct batch *b, const char *key,
			const Fleet__JobRow *row)
{
	size_t length;
	uint8_t *bytes = node_pack(b, row, &length);

	add_condition(b, NODE_TABLE_JOB, key, 0);
	add_put(b, NODE_TABLE_JOB, key, bytes, length);
}

static void add_end(struct batch *b, const char *key, const Fleet__EndRow *end,
		    bool delete_job)
{
	size_t length;
	uint8_t *bytes = node_pack(b, end, &length);

	add_put(b, NODE_TABLE_END, key, bytes, length);
	if (!delete_job)
		return;
	add_delete(b, NODE_TABLE_JOB, key);
	add_delete(b, NODE_TABLE_PROGRESS, key);
	if (inbox_remove(b->node, key))
		add_delete(b, NODE_TABLE_INBOX, key);
}

static void add_progress(struct batch *b, const char *key,
			 const Fleet__ProgressRow *row)
{
	size_t length;
	uint8_t *bytes = node_pack(b, row, &length);

	add_put(b, NODE_TABLE_PROGRESS, key, bytes, length);
}

static void add_change(struct batch *b, struct sched_change *c)
{
	char *key = talloc_strdup(b, c->id);

	assert(key);
	if (c->is_ended)
		add_end(b, key, &c->end, c->drop);
	else if (c->is_new)
		add_job_row(b, key, c->job);
	if (c->progress) {
		add_progress(b, key, c->progress);
		fleet__progress_row__free_unpacked(c->progress, NULL);
	}
}

/* Changes the leader row: earlier transactions that aren't applied yet fail. */
static void add_resolution(struct batch *b)
{
	struct leader_view view = b->node->leader;
	uint8_t *bytes;
	size_t length;

	view.resolved++;
	bytes = leader_encode(b, &view, &length);
	add_put(b, NODE_TABLE_LEADER, NODE_LEADER_KEY, bytes, length);
	b->resolves = true;
}

static void on_conflict(struct node *n, const struct store_answer *answer)
{
	struct leader_view view;
	bool explained = false;
	uint32_t i;

	for (i = 0; i < answer->row_count; i++) {
		const struct store_row *row = &answer->rows[i];

		if (!strcmp(row->table, NODE_TABLE_JOB)) {
			if (row->revision) {
				sched_row_exists(n->sched, row->key);
				explained = true;
			}
			continue;
		}
		if (strcmp(row->table, NODE_TABLE_LEADER) ||
		    !leader_decode(row, &view))
			continue;
		if (view.incarnation != n->incarnation) {
			leader_learn(n, &view, "write refused");
			return;
		}
		/* The answer to an earlier resolving write was lost. */
		if (view.revision != n->leader.revision) {
			n->leader = view;
			n->resolve_pending = false;
			explained = true;
		}
	}
	if (!explained)
		event_log("conflict-unexplained", NULL, "\"rows\":%u",
			  answer->row_count);
}

static void on_written(void *arg, const struct store_answer *answer)
{
	struct batch *b = arg;
	struct node *n = b->node;
	uint64_t now = clock_now_ms();

	node_store_result(n, "commit", answer->status);
	if (b->generation != n->phase_generation) {
		talloc_free(b);
		return;
	}
	n->commits_in_flight--;
	if (answer->status == STORE_OK || answer->status == STORE_CONFLICT)
		n->commit_waiting_since_ms = n->commits_in_flight ? now : 0;
	switch (answer->status) {
	case STORE_OK:
		n->commits++;
		leader_confirmed(n, b->sent_ms);
		if (b->resolves) {
			n->leader.revision = answer->revision;
			n->leader.resolved++;
			n->resolve_pending = false;
		}
		sched_batch_done(n->sched, b->number, true, now);
		answer_durable_waiters(n);
		break;
	case STORE_CONFLICT:
		sched_batch_done(n->sched, b->number, false, now);
		on_conflict(n, answer);
		break;
	case STORE_UNKNOWN:
		n->resolve_pending = true;
		event_log("write-unknown", NULL, "\"after_ms\":%" PRIu64,
			  now - b->sent_ms);
		/* fallthrough */
	case STORE_REFUSED:
	case STORE_HISTORY_LOST:
		sched_batch_done(n->sched, b->number, false, now);
		n->commit_retry_ms = now + COMMIT_RETRY_MS;
		break;
	}
	talloc_free(b);
	if (n->phase == LEADER_DECIDING)
		node_schedule_pass(n);
}

bool commit_is_stalled(uint64_t waiting_since_ms, uint64_t now)
{
	return waiting_since_ms && now - waiting_since_ms >= COMMIT_STALLED_MS;
}

bool commit_may_begin(uint32_t in_flight, bool resolving, uint64_t waited_ms)
{
	if (!in_flight)
		return true;
	return !resolving && in_flight < COMMITS_IN_FLIGHT_MAX &&
	       waited_ms >= COMMIT_SLOW_MS;
}

void commit_run(struct node *n, uint64_t now)
{
	struct sched_change change;
	struct batch *b;

	if (n->releasing || now < n->commit_retry_ms ||
	    !commit_may_begin(n->commits_in_flight, n->resolve_pending,
			      now - n->last_commit_ms) ||
	    !sched_change_pending(n->sched))
		return;
	b = talloc_zero(n, struct batch);
	assert(b);
	b->node = n;
	b->generation = n->phase_generation;
	b->sent_ms = n->last_commit_ms = now;
	if (!n->commit_waiting_since_ms)
		n->commit_waiting_since_ms = now;
	b->number = ++n->last_batch;
	add_condition(b, NODE_TABLE_LEADER, NODE_LEADER_KEY,
		      n->leader.revision);
	if (n->resolve_pending)
		add_resolution(b);
	while (entry_count(&b->txn) + COMMIT_ENTRIES_PER_JOB <= STORE_TXN_MAX &&
	       b->bytes < STORE_TXN_BYTES &&
	       sched_next_change(n->sched, b->number, &change))
		add_change(b, &change);
	n->commits_in_flight++;
	n->services->txn(n->services->impl, &b->txn, COMMIT_MS, on_written, b);
}
