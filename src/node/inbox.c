/*
 * inbox - jobs and cancellations that other nodes recorded for the leader
 *
 * A row of the inbox names a job whose row the leader reads. A read that fails
 * is repeated until it succeeds, whatever the inbox's feed returns meanwhile.
 * While reads fail, one is in flight at a time; each is of another job, so a
 * row that can't be read doesn't hold up the others.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "node/node_internal.h"

#define INBOX_RETRY_MS 250u	   /* between two reads while they fail */
#define INBOX_READS_MAX 32u	   /* in flight */
#define INBOX_READS_FAILING_MAX 1u /* the same while they fail */

/* A job whose row is to be read; kept until it was. */
struct inbox_read {
	char id[SCHED_ID_BYTES + 1];
	char queue[SCHED_NAME_MAX];
	bool cancel;
	bool in_flight;
	uint32_t failures;
	uint64_t since_ms;
	UT_hash_handle hh; /* in the order in which they are to be read */
};

struct inbox_call {
	struct node *node;
	uint64_t phase_generation;
	char id[SCHED_ID_BYTES + 1];
};

/* Rows of jobs that the leader knows; deleted with the jobs' rows. */

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

bool inbox_has(const struct node *n, const char *id)
{
	const struct inbox_id *entry;

	HASH_FIND_STR(n->inbox, id, entry);
	return entry;
}

void inbox_remove(struct node *n, const char *id)
{
	struct inbox_id *entry;

	HASH_FIND_STR(n->inbox, id, entry);
	if (!entry)
		return;
	HASH_DEL(n->inbox, entry);
	talloc_free(entry);
}

/* Reads of jobs */

static void read_remove(struct node *n, struct inbox_read *r)
{
	HASH_DEL(n->inbox_reads, r);
	talloc_free(r);
}

/* Puts a read that failed behind the others. */
static void read_failed(struct node *n, struct inbox_read *r,
			enum store_status status)
{
	uint64_t now = clock_now_ms();

	r->in_flight = false;
	r->failures++;
	HASH_DEL(n->inbox_reads, r);
	HASH_ADD_STR(n->inbox_reads, id, r);
	n->inbox_retry_ms = now + INBOX_RETRY_MS;
	event_log("inbox-unread", r->id,
		  "\"status\":\"%s\",\"failures\":%u,\"since_ms\":%" PRIu64
		  ",\"waiting\":%u",
		  store_status_name(status), r->failures, now - r->since_ms,
		  HASH_COUNT(n->inbox_reads));
}

static void read_succeeded(struct node *n, struct inbox_read *r,
			   const struct store_answer *answer)
{
	uint64_t now = clock_now_ms();
	bool found = answer->row_count && !strcmp(answer->rows[0].key, r->id);
	Fleet__JobRow *job = NULL;

	n->inbox_retry_ms = 0;
	if (r->failures)
		event_log("inbox-read", r->id,
			  "\"found\":%d,\"cancel\":%d,\"failures\":%u"
			  ",\"since_ms\":%" PRIu64,
			  found, r->cancel, r->failures, now - r->since_ms);
	if (found) {
		job = fleet__job_row__unpack(NULL, answer->rows[0].length,
					     answer->rows[0].value);
		if (job)
			sched_recorded(n->sched, r->id, job, now);
		else
			event_log("row-unreadable", event_sanitize(r->id),
				  "\"table\":\"job\"");
		if (r->cancel)
			sched_cancel(n->sched, r->id, r->queue, now);
		inbox_add(n, r->id);
	}
	read_remove(n, r);
}

static void on_job(void *arg, const struct store_answer *answer)
{
	struct inbox_call *call = arg;
	struct node *n = call->node;
	struct inbox_read *r;

	node_store_result(n, "read job", answer->status);
	if (call->phase_generation == n->phase_generation &&
	    n->phase == LEADER_DECIDING) {
		n->inbox_reads_in_flight--;
		HASH_FIND_STR(n->inbox_reads, call->id, r);
		assert(r);
		if (answer->status == STORE_OK)
			read_succeeded(n, r, answer);
		else
			read_failed(n, r, answer->status);
		inbox_read_jobs(n, clock_now_ms());
		node_schedule_pass(n);
	}
	talloc_free(call);
}

static void read_start(struct node *n, struct inbox_read *r)
{
	struct inbox_call *call = talloc_zero(n, struct inbox_call);

	assert(call);
	call->node = n;
	call->phase_generation = n->phase_generation;
	memcpy(call->id, r->id, sizeof(call->id));
	r->in_flight = true;
	n->inbox_reads_in_flight++;
	n->services->read(n->services->impl, NODE_TABLE_JOB, call->id,
			  node_key_end(call, call->id), NODE_STORE_MS, on_job,
			  call);
}

void inbox_read_jobs(struct node *n, uint64_t now)
{
	const uint32_t max =
		n->inbox_retry_ms ? INBOX_READS_FAILING_MAX : INBOX_READS_MAX;
	struct inbox_read *r;

	if (now < n->inbox_retry_ms)
		return;
	for (r = n->inbox_reads; r && n->inbox_reads_in_flight < max;
	     r = r->hh.next)
		if (!r->in_flight)
			read_start(n, r);
}

/* Reads the job that the row names, if it isn't read already. */
static void read_add(struct node *n, const char *id, const Fleet__InboxRow *row)
{
	struct inbox_read *r;

	HASH_FIND_STR(n->inbox_reads, id, r);
	if (!r) {
		r = talloc_zero(n, struct inbox_read);
		assert(r);
		snprintf(r->id, sizeof(r->id), "%s", id);
		r->since_ms = clock_now_ms();
		HASH_ADD_STR(n->inbox_reads, id, r);
	}
	snprintf(r->queue, sizeof(r->queue), "%s", row->queue);
	r->cancel |= row->cancel;
}

void inbox_receive(struct node *n, const struct store_row *row)
{
	Fleet__InboxRow *in;

	if (row->deleted || strlen(row->key) > SCHED_ID_BYTES)
		return;
	in = fleet__inbox_row__unpack(NULL, row->length, row->value);
	if (!in) {
		event_log("row-unreadable", event_sanitize(row->key),
			  "\"table\":\"" NODE_TABLE_INBOX "\"");
		return;
	}
	if (sched_state(n->sched, row->key, in->queue) !=
	    FLEET__JOB_STATE__UNKNOWN) {
		if (in->cancel)
			sched_cancel(n->sched, row->key, in->queue,
				     clock_now_ms());
		inbox_add(n, row->key);
	} else {
		read_add(n, row->key, in);
		inbox_read_jobs(n, clock_now_ms());
	}
	fleet__inbox_row__free_unpacked(in, NULL);
}

void inbox_end(struct node *n)
{
	struct inbox_read *r, *next;

	HASH_ITER(hh, n->inbox_reads, r, next)
	read_remove(n, r);
	n->inbox_reads_in_flight = 0;
	n->inbox_retry_ms = 0;
}
