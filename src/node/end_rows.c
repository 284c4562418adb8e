/*
 * end_rows - deletes the rows of jobs that ended long ago
 *
 * A row is deleted only after this leader itself has known it for the time to
 * keep, by its own steady clock: since it wrote the row, or since it took over.
 * The time of day in a row, which another node wrote, decides only whether a
 * new leader loads the row into memory.
 *
 * Deletions go along with the leader's other writes, or alone once many wait.
 * While the store is slow they are rare.
 */
#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "node/node_internal.h"

/*
 * Covers differences of the nodes' times of day, which are of seconds, and
 * repeats of a submission that arrive seconds after its answer.
 */
#define END_MARGIN_MS 30000u

#define END_READ_MS 2500u  /* timeout; a full page is 1 MB */
#define END_RETRY_MS 1000u /* between two reads while they fail */

/* No page is read while this many rows wait to be deleted. */
#define END_WAITING_MAX 100u

/* Deletions in a transaction; with its marker it may have 100 entries. */
#define END_BATCH 90u
#define END_ALONE_ROWS 45u  /* that wait, for a transaction of their own */
#define END_ALONE_MS 10000u /* the same for fewer rows */

/* Between two transactions with deletions */
#define END_PAUSE_MS 100u
#define END_PAUSE_SLOW_MS 3000u /* while the store is slow or loses answers */
#define END_SLOW_MS 30u		/* time of an answer; usually 14 ms */

uint32_t end_rows_keep_ms(const struct node *n)
{
	return n->settings.end_keep_ms + END_MARGIN_MS;
}

bool end_rows_recent(const struct node *n, const Fleet__EndRow *end)
{
	return !end->ended_unix_ms ||
	       node_unix_ms(n) < end->ended_unix_ms + end_rows_keep_ms(n);
}

void end_rows_begin(struct node *n, uint64_t left, uint64_t now)
{
	struct end_rows *e = &n->end_rows;

	talloc_free(e->from);
	*e = (struct end_rows){ .left = left,
				.read_ms = now + end_rows_keep_ms(n),
				.sent_ms = now };
}

/* Reads of rows that weren't loaded at the takeover */

struct end_read {
	struct node *node;
	uint64_t generation;
};

static void load_page(struct node *n, const struct store_answer *answer)
{
	uint64_t now = clock_now_ms();
	uint32_t i;

	for (i = 0; i < answer->row_count; i++) {
		const struct store_row *row = &answer->rows[i];
		Fleet__EndRow *end;

		if (strlen(row->key) > SCHED_ID_BYTES)
			continue;
		end = fleet__end_row__unpack(NULL, row->length, row->value);
		if (!end)
			continue;
		sched_load_expired(n->sched, row->key, end, now);
		fleet__end_row__free_unpacked(end, NULL);
	}
	n->end_rows.rows += answer->row_count;
}

static void on_page(void *arg, const struct store_answer *answer)
{
	struct end_read *r = arg;
	struct node *n = r->node;
	struct end_rows *e = &n->end_rows;
	bool current = r->generation == n->phase_generation &&
		       n->phase == LEADER_DECIDING;

	talloc_free(r);
	node_store_result(n, "read ends", answer->status);
	if (!current)
		return;
	e->reading = false;
	if (answer->status != STORE_OK) {
		e->read_ms = clock_now_ms() + END_RETRY_MS;
		return;
	}
	load_page(n, answer);
	if (answer->more && answer->row_count) {
		talloc_free(e->from);
		e->from = node_key_after(
			n, answer->rows[answer->row_count - 1].key);
		return;
	}
	event_log("end-rows-read", NULL,
		  "\"left\":%" PRIu64 ",\"rows\":%" PRIu64, e->left, e->rows);
	e->left = 0;
	TALLOC_FREE(e->from);
}

static void read_page(struct node *n)
{
	struct end_read *r = talloc_zero(n, struct end_read);

	assert(r);
	r->node = n;
	r->generation = n->phase_generation;
	n->end_rows.reading = true;
	n->services->read(n->services->impl, NODE_TABLE_END, n->end_rows.from,
			  NULL, END_READ_MS, on_page, r);
}

void end_rows_tick(struct node *n, uint64_t now)
{
	struct end_rows *e = &n->end_rows;
	uint32_t waiting = sched_expired(n->sched);

	if (!waiting)
		e->waiting_since_ms = 0;
	else if (!e->waiting_since_ms)
		e->waiting_since_ms = now;
	if (e->left && !e->reading && now >= e->read_ms && n->store_ok &&
	    waiting < END_WAITING_MAX)
		read_page(n);
}

/* Deletions */

uint32_t end_rows_batch(const struct node *n, uint64_t now)
{
	bool slow = n->commit_answer_ms > END_SLOW_MS || n->commits_voided;
	uint32_t pause_ms = slow ? END_PAUSE_SLOW_MS : END_PAUSE_MS;

	/* Nothing is added while it is unknown what the store takes. */
	if (n->commits_in_flight || n->commit_changes_max || n->commit_probe)
		return 0;
	return now - n->end_rows.sent_ms >= pause_ms ? END_BATCH : 0;
}

bool end_rows_due(const struct node *n, uint64_t now)
{
	const struct end_rows *e = &n->end_rows;

	if (!sched_expired(n->sched) || !n->store_ok || !end_rows_batch(n, now))
		return false;
	return sched_expired(n->sched) >= END_ALONE_ROWS ||
	       (e->waiting_since_ms &&
		now - e->waiting_since_ms >= END_ALONE_MS);
}
