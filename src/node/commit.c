/*
 * commit - writes the leader's decisions in transactions
 *
 * While the store answers fast, one transaction is in flight at a time, so that
 * the next one takes all changes made meanwhile. While the store is slow,
 * up to COMMITS_IN_FLIGHT_MAX are, with changes of different jobs. Every
 * transaction has the condition that the leader row is unchanged, so those of a
 * former leader fail.
 *
 * Every transaction also writes a marker, a row of the commit table. When a
 * transaction is unanswered for longer than the store usually takes, the marker
 * shows whether it was applied. If it wasn't, the next transaction also changes
 * the leader row, and none is sent beside it: if the unanswered one isn't
 * applied before, it never will be.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

/* Timeout; covers two transactions of a store that takes 0.6 s for each. */
#define COMMIT_MS 1500u
#define COMMIT_RETRY_MS 100u
#define COMMIT_ASK_TIMEOUT_MS 600u /* a read takes 300 ms when slow */
#define COMMIT_STALLED_MS 800u	   /* unanswered; a slow store takes 0.6 s */
#define COMMIT_SLOW_MS 30u	   /* unanswered: the next one may be sent */
#define COMMIT_ENTRIES_PER_JOB 5u  /* maximum for one job's change */
#define EXPIRED_ENTRIES 2u	   /* maximum for one expired job */

/*
 * The marker of a transaction is read once it is unanswered for
 * COMMIT_ASK_FACTOR times the answer time of the store. After every second
 * transaction in a row that was voided this time is doubled, at most
 * COMMIT_BACKOFF_MAX times.
 */
#define COMMIT_ASK_FACTOR 3u
#define COMMIT_ASK_MIN_MS 40u
#define COMMIT_BACKOFF_MAX 2u
#define COMMIT_ANSWER_DECAY 8u /* part of the difference to a faster answer */
#define COMMIT_MARKER_BYTES 64 /* of a marker's text, with the NUL */

/* A transaction; number identifies its changes in sched. */
struct batch {
	struct node *node;
	uint64_t generation;
	uint64_t sent_ms;
	uint64_t asked_ms; /* when the last read of the marker was sent */
	uint32_t number;
	uint32_t slot; /* its row of the commit table */
	bool resolves;
	bool answered; /* by the store, or timed out */
	bool asking;   /* a read of the marker is in flight */
	bool decided;  /* sched knows the outcome; an answer changes nothing */
	uint64_t ask_ms; /* when the marker is read; 0: not yet known */
	uint32_t change_count;
	char first_id[SCHED_ID_BYTES + 1]; /* of its first change */
	struct store_txn txn;
	size_t bytes;
};

/* What a transaction writes into its row of the commit table. */
struct marker {
	uint64_t epoch;
	uint32_t number;
	uint32_t resolved; /* of the leader row, after the transaction */
};

#define MARKER_FORMAT(kind) "%" kind##u64 "/%" kind##u32 "/%" kind##u32

static const char *const slot_keys[COMMITS_IN_FLIGHT_MAX] = { "0", "1" };

/* Takes a job out of what is written; its caller learns that it isn't stored */
static void set_aside(struct node *n, const char *id, const char *why,
		      uint64_t value, uint64_t bound)
{
	if (!sched_change_invalid(n->sched, id, why, value, bound))
		waiters_refuse(n, id);
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
	if (inbox_has(b->node, key))
		add_delete(b, NODE_TABLE_INBOX, key);
}

static void add_progress(struct batch *b, const char *key,
			 const Fleet__ProgressRow *row)
{
	size_t length;
	uint8_t *bytes = node_pack(b, row, &length);

	add_put(b, NODE_TABLE_PROGRESS, key, bytes, length);
}

/* Whether no row of a change is larger than the store takes. */
static bool check_size(struct node *n, const struct sched_change *c)
{
	const size_t max = n->settings.row_bytes;
	size_t bytes = 0;

	if (c->is_new && !c->is_ended)
		bytes = fleet__job_row__get_packed_size(c->job);
	if (c->progress &&
	    fleet__progress_row__get_packed_size(c->progress) > bytes)
		bytes = fleet__progress_row__get_packed_size(c->progress);
	if (!max || bytes <= max)
		return true;
	set_aside(n, c->id, "bytes of a row", bytes, max);
	return false;
}

static void add_change(struct batch *b, struct sched_change *c)
{
	char *key = talloc_strdup(b, c->id);

	assert(key);
	if (b->change_count++ == 0)
		memcpy(b->first_id, c->id, sizeof(b->first_id));
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

static void batch_release(struct batch *b)
{
	if (!b->answered || b->asking)
		return;
	if (b->node->open_commits[b->slot] == b)
		b->node->open_commits[b->slot] = NULL;
	talloc_free(b);
}

/* Whether sched still waits for the outcome of b. */
static bool is_awaited(const struct batch *b)
{
	return !b->decided && b->generation == b->node->phase_generation;
}

/*
 * The store would refuse the transaction again. Which change is at fault is
 * found by sending fewer of them. A change that was refused alone is sent again
 * once the store has taken another transaction, if need be an empty one; if it
 * is refused again, its job is set aside.
 */
static void on_invalid(struct batch *b, uint64_t now)
{
	struct node *n = b->node;
	bool alone = b->change_count == 1;

	event_log("write-invalid", alone ? b->first_id : NULL,
		  "\"changes\":%u,\"bytes\":%zu", b->change_count, b->bytes);
	n->commit_changes_max = b->change_count > 1 ? b->change_count / 2 : 1;
	n->commit_probe = alone;
	n->commit_retry_ms = b->change_count ? now : now + COMMIT_RETRY_MS;
	if (alone && sched_change_refused(n->sched, b->first_id, n->commits))
		set_aside(n, b->first_id, "the store refuses its rows", 0, 0);
}

/* The store has taken a transaction: more changes may go into the next one. */
static void on_valid(struct node *n)
{
	if (!n->commit_changes_max)
		return;
	n->commit_changes_max *= 2;
	if (n->commit_changes_max > STORE_TXN_MAX)
		n->commit_changes_max = 0;
}

/* The rows of the inbox that the transaction deleted needn't be deleted again.
 */
static void forget_inbox_rows(const struct batch *b)
{
	uint32_t i;

	for (i = 0; i < b->txn.delete_count; i++)
		if (!strcmp(b->txn.deletes[i].table, NODE_TABLE_INBOX))
			inbox_remove(b->node, b->txn.deletes[i].key);
}

static void decide(struct batch *b, const struct store_answer *answer)
{
	struct node *n = b->node;
	uint64_t now = clock_now_ms();

	b->decided = true;
	n->open_commits[b->slot] = NULL;
	n->commits_in_flight--;
	if (answer->status == STORE_OK || answer->status == STORE_CONFLICT) {
		n->commit_waiting_since_ms = n->commits_in_flight ? now : 0;
		n->commits_voided = 0;
	}
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
		forget_inbox_rows(b);
		on_valid(n);
		waiters_answer_durable(n);
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
	case STORE_INVALID:
	case STORE_REFUSED:
	case STORE_HISTORY_LOST:
		sched_batch_done(n->sched, b->number, false, now);
		n->commit_retry_ms = now + COMMIT_RETRY_MS;
		if (answer->status == STORE_INVALID)
			on_invalid(b, now);
		break;
	}
	if (n->phase == LEADER_DECIDING)
		node_schedule_pass(n);
}

static void on_written(void *arg, const struct store_answer *answer)
{
	struct batch *b = arg;
	struct node *n = b->node;

	b->answered = true;
	if (answer->status != STORE_UNKNOWN)
		n->commit_answer_ms = commit_answer_ms(
			n->commit_answer_ms, clock_now_ms() - b->sent_ms);
	if (b->decided && answer->status == STORE_UNKNOWN)
		node_store_count_unanswered(n);
	else
		node_store_result(n, "commit", answer->status);
	if (is_awaited(b))
		decide(b, answer);
	batch_release(b);
}

/* Unanswered transactions */

uint32_t commit_answer_ms(uint32_t before_ms, uint64_t took_ms)
{
	const uint32_t max_ms = COMMIT_MS / COMMIT_ASK_FACTOR;

	if (took_ms > max_ms)
		took_ms = max_ms;
	if (took_ms >= before_ms)
		return (uint32_t)took_ms;
	return before_ms -
	       (before_ms - (uint32_t)took_ms + COMMIT_ANSWER_DECAY - 1) /
		       COMMIT_ANSWER_DECAY;
}

uint32_t commit_ask_after_ms(uint32_t answer_ms, uint32_t voided)
{
	uint32_t ms = answer_ms * COMMIT_ASK_FACTOR;

	if (ms < COMMIT_ASK_MIN_MS)
		ms = COMMIT_ASK_MIN_MS;
	ms <<= voided / 2 < COMMIT_BACKOFF_MAX ? voided / 2
					       : COMMIT_BACKOFF_MAX;
	return ms < COMMIT_MS ? ms : COMMIT_MS;
}

uint32_t commit_void_after_ms(uint64_t read_took_ms)
{
	return commit_ask_after_ms(commit_answer_ms(0, read_took_ms), 0);
}

static bool decode_marker(const struct store_row *row, struct marker *m)
{
	char text[COMMIT_MARKER_BYTES];

	snprintf(text, sizeof(text), "%.*s", (int)row->length,
		 (const char *)row->value);
	return sscanf(text, MARKER_FORMAT(SCN), &m->epoch, &m->number,
		      &m->resolved) == 3;
}

enum fate {
	FATE_OPEN,    /* not applied, but it may still be */
	FATE_APPLIED, /* at the revision */
	FATE_VOID, /* an earlier one changed the leader row, at the revision */
};

static enum fate find_fate(const struct batch *b,
			   const struct store_answer *answer,
			   uint64_t *revision)
{
	const struct leader_view *leader = &b->node->leader;
	enum fate fate = FATE_OPEN;
	uint32_t i;

	for (i = 0; i < answer->row_count; i++) {
		const struct store_row *row = &answer->rows[i];
		struct marker m;

		if (!decode_marker(row, &m) || m.epoch != leader->epoch)
			continue;
		if (m.number != b->number && m.resolved <= leader->resolved)
			continue;
		*revision = row->revision;
		if (m.number == b->number)
			return FATE_APPLIED;
		fate = FATE_VOID;
	}
	return fate;
}

/* b isn't applied yet; the next transaction will keep it from being. */
static void give_up(struct batch *b)
{
	const struct store_answer unknown = { .status = STORE_UNKNOWN };

	decide(b, &unknown);
	b->node->commits_voided++;
	b->node->commit_retry_ms = 0;
}

/* The leader row has the revision that an earlier transaction gave it. */
static void adopt_resolution(struct batch *b, uint64_t revision)
{
	const struct store_answer refused = { .status = STORE_REFUSED };
	struct node *n = b->node;

	n->leader.revision = revision;
	n->leader.resolved++;
	n->resolve_pending = false;
	decide(b, &refused);
	n->commits_voided = 0;
	n->commit_retry_ms = 0;
}

/* A timer that is set already may fire early, which is cheaper than to set. */
static void ask_after(struct batch *b, uint64_t ms)
{
	struct node *n = b->node;

	b->ask_ms = clock_now_ms() + ms;
	if (!mtimer_pending(n->commit_ask_timer) ||
	    b->ask_ms < n->commit_ask_ms) {
		n->commit_ask_ms = b->ask_ms;
		mtimer_set(n->commit_ask_timer, ms);
	}
}

static void on_marker(void *arg, const struct store_answer *answer)
{
	struct batch *b = arg;
	struct node *n = b->node;
	struct store_answer applied = { .status = STORE_OK };
	uint64_t now = clock_now_ms();
	uint64_t waited_ms = now - b->sent_ms;
	uint64_t took_ms = now - b->asked_ms;
	uint32_t void_ms = commit_void_after_ms(took_ms);
	enum fate fate = FATE_OPEN;

	b->asking = false;
	node_store_result(n, "read commits", answer->status);
	if (!is_awaited(b)) {
		batch_release(b);
		return;
	}
	if (answer->status == STORE_OK)
		fate = find_fate(b, answer, &applied.revision);
	event_log("write-asked", NULL,
		  "\"after_ms\":%" PRIu64 ",\"status\":%d,\"fate\":%d",
		  waited_ms, answer->status, fate);
	if (fate == FATE_APPLIED) {
		n->commit_answer_ms =
			commit_answer_ms(n->commit_answer_ms, took_ms);
		decide(b, &applied);
	} else if (fate == FATE_VOID) {
		adopt_resolution(b, applied.revision);
	} else if (answer->status != STORE_OK) {
		ask_after(b, waited_ms > void_ms ? waited_ms : void_ms);
	} else if (waited_ms < void_ms) {
		ask_after(b, void_ms - waited_ms);
	} else {
		give_up(b);
	}
}

static void ask(struct batch *b, uint64_t now)
{
	struct node *n = b->node;

	b->asking = true;
	b->asked_ms = now;
	b->ask_ms = 0;
	n->services->read(n->services->impl, NODE_TABLE_COMMIT, NULL, NULL,
			  COMMIT_ASK_TIMEOUT_MS, on_marker, b);
}

/* Asks about what is overdue; sets the timer for the others. */
static void on_ask_timer(void *arg)
{
	struct node *n = arg;
	uint64_t now = clock_now_ms();
	uint64_t next_ms = 0;
	uint32_t i;

	for (i = 0; i < COMMITS_IN_FLIGHT_MAX; i++) {
		struct batch *b = n->open_commits[i];

		if (!b || !is_awaited(b) || !b->ask_ms)
			continue;
		if (now >= b->ask_ms)
			ask(b, now);
		else if (!next_ms || b->ask_ms < next_ms)
			next_ms = b->ask_ms;
	}
	if (next_ms) {
		n->commit_ask_ms = next_ms;
		mtimer_set(n->commit_ask_timer, next_ms - now);
	}
}

/* Lets the store show whether the transaction was applied. */
static void add_marker(struct batch *b)
{
	struct node *n = b->node;
	char *text;

	while (n->open_commits[b->slot])
		b->slot++;
	n->open_commits[b->slot] = b;
	text = talloc_asprintf(b, MARKER_FORMAT(PRI), n->leader.epoch,
			       b->number, n->leader.resolved + b->resolves);
	assert(text);
	add_put(b, NODE_TABLE_COMMIT, slot_keys[b->slot], (const uint8_t *)text,
		strlen(text));
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

static bool has_room(const struct batch *b)
{
	const uint32_t max = b->node->commit_changes_max;

	return entry_count(&b->txn) + COMMIT_ENTRIES_PER_JOB <= STORE_TXN_MAX &&
	       b->bytes < STORE_TXN_BYTES && (!max || b->change_count < max);
}

static void add_changes(struct batch *b)
{
	struct node *n = b->node;
	struct sched_change change;

	sched_set_ranges(n->sched, gossip_all_read(n, ROW_FORMAT_RANGES));
	while (has_room(b) && sched_next_change(n->sched, b->number, &change)) {
		if (check_size(n, &change))
			add_change(b, &change);
		else if (change.progress)
			fleet__progress_row__free_unpacked(change.progress,
							   NULL);
	}
}

static void add_expired(struct batch *b)
{
	struct node *n = b->node;
	uint32_t left = end_rows_batch(n, b->sent_ms);
	const char *id;

	while (left-- &&
	       entry_count(&b->txn) + EXPIRED_ENTRIES <= STORE_TXN_MAX &&
	       (id = sched_next_expired(n->sched, b->number))) {
		char *key = talloc_strdup(b, id);

		assert(key);
		add_delete(b, NODE_TABLE_END, key);
		if (inbox_has(n, key))
			add_delete(b, NODE_TABLE_INBOX, key);
		n->end_rows.sent_ms = b->sent_ms;
	}
}

void commit_run(struct node *n, uint64_t now)
{
	struct batch *b;

	if (n->releasing || now < n->commit_retry_ms ||
	    !commit_may_begin(n->commits_in_flight, n->resolve_pending,
			      now - n->last_commit_ms) ||
	    (!sched_change_pending(n->sched) && !n->commit_probe &&
	     !end_rows_due(n, now)))
		return;
	b = talloc_zero(n, struct batch);
	assert(b);
	b->node = n;
	b->generation = n->phase_generation;
	b->sent_ms = n->last_commit_ms = now;
	if (!n->commit_waiting_since_ms)
		n->commit_waiting_since_ms = now;
	b->number = ++n->last_batch;
	if (!n->commits_in_flight)
		memset(n->open_commits, 0, sizeof(n->open_commits));
	if (!n->commit_ask_timer) {
		n->commit_ask_timer = mtimer_new(n, n->ev, on_ask_timer, n);
		assert(n->commit_ask_timer);
	}
	add_condition(b, NODE_TABLE_LEADER, NODE_LEADER_KEY,
		      n->leader.revision);
	if (n->resolve_pending)
		add_resolution(b);
	add_marker(b);
	if (!n->commit_probe) {
		add_changes(b);
		add_expired(b);
	}
	n->commit_probe = false;
	n->commits_in_flight++;
	ask_after(b,
		  commit_ask_after_ms(n->commit_answer_ms, n->commits_voided));
	n->services->txn(n->services->impl, &b->txn, COMMIT_MS, on_written, b);
}
