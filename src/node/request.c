/*
 * request - serves a caller's request through the leader or the store
 *
 * The leader is tried first. When it can't be reached or doesn't decide, a new
 * job or a cancellation is recorded in the store, where the leader finds it,
 * and a job's state is read from the store. A request is refused only when
 * nothing was recorded and nothing can be recorded later.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

/* Timeouts of a request to the leader, which may wait for a store write. */
#define LEADER_TIMEOUT_MS 700u
#define LEADER_TIMEOUT_LIVE_MS 2200u /* if the leader is known to be live */
#define LEADER_LIVE_AGE_MS 600u	     /* two heartbeats: known to be live */

/*
 * New jobs that all nodes together record per second. The store accepts 200
 * changes per second in a partition, and the leader writes to the same
 * partition.
 */
#define RECORDS_PER_S 100u
#define RECORD_BURST 2.0       /* jobs, per node */
#define RECORD_PAUSE_MS 1500u  /* after a slow or refused store call */
#define ANSWER_MARGIN_MS 100u  /* between the answer and the deadline */
#define STORE_CALL_MIN_MS 150u /* no store call with less time left */
#define LEADER_SUSPECT_MS 700u /* no request to the leader after one failed */

/* Until a node looks for the row of an unanswered write; then doubled. */
#define RECORD_ASK_MS 100u
#define RECORD_QUICK_MS 50u /* a slow store takes longer for a read */
#define RECORD_SENDS_MAX 3u

/* A leader that isn't known to be live gets half of the time left. */
#define LEADER_TIME_DIVISOR 2u

/*
 * Retry hints. By RETRY_REMOVED_MS, the node that the caller asked has the
 * version that removed the queue or workspace.
 */
#define RETRY_REMOVED_MS 1000u
#define RETRY_STALLED_MS 1000u /* while the store doesn't answer */

struct pending_request {
	struct node *node;
	Fleet__Verb verb;
	char id[SCHED_ID_BYTES + 1];
	char queue[SCHED_NAME_MAX];
	char *url;
	uint64_t leader_incarnation; /* of the leader that was called */
	uint8_t *body;		     /* of the call to the leader */
	size_t length;
	uint8_t *job; /* packed job row of a SUBMIT */
	size_t job_length;
	uint64_t job_revision;	 /* of the job's row, as read; 0: no row */
	uint64_t config_version; /* see struct node_request */
	bool config_stale;
	uint64_t deadline_ms;
	bool possibly_recorded; /* the outcome of a write is unknown */
	bool leader_slow;     /* the leader timed out while known to be live */
	bool leader_vanished; /* the connection ended without its answer */
	node_answer_fn fn;
	void *arg;
};

static void finish(struct pending_request *p, const struct node_answer *answer)
{
	struct node *n = p->node;

	n->answers[answer->result]++;
	if (answer->result == FLEET__RESULT__UNANSWERED ||
	    answer->result == FLEET__RESULT__UNSETTLED)
		event_log("ask-unanswered", p->id,
			  "\"verb\":%d,\"result\":%d,\"lead\":\"%s\","
			  "\"lead_heard_ms_ago\":%" PRIu64 ",\"store_ok\":%d",
			  p->verb, answer->result, n->leader.node,
			  clock_now_ms() - n->leader_last_heard_ms,
			  n->store_ok);
	p->fn(p->arg, answer);
	talloc_free(p);
}

static void finish_with(struct pending_request *p, Fleet__Result result)
{
	struct node_answer r = { .result = result };

	if (result == FLEET__RESULT__UNANSWERED && p->possibly_recorded)
		r.result = FLEET__RESULT__UNSETTLED;
	finish(p, &r);
}

static uint32_t time_left_ms(const struct pending_request *p)
{
	uint64_t now = clock_now_ms();

	return p->deadline_ms > now ? (uint32_t)(p->deadline_ms - now) : 0;
}

static uint32_t store_timeout_ms(const struct pending_request *p)
{
	uint32_t left_ms = time_left_ms(p);

	return left_ms < NODE_STORE_MS ? left_ms : NODE_STORE_MS;
}

/* Decided by this node as the leader */

static void decide_submit(struct node *n, const struct node_request *req,
			  struct node_answer *r, bool *must_wait)
{
	uint64_t now = clock_now_ms();
	uint8_t *bytes;
	Fleet__JobRow *row;
	size_t length;

	/* The job would not be stored before the request's deadline. */
	if (commit_is_stalled(n->commit_waiting_since_ms, now) &&
	    !sched_state(n->sched, req->id, req->queue)) {
		event_log("job-turned-away", req->id,
			  "\"queue\":\"%s\",\"store_silent_ms\":%" PRIu64,
			  req->queue, now - n->commit_waiting_since_ms);
		r->retry_after_ms = RETRY_STALLED_MS;
		r->result = FLEET__RESULT__REFUSED;
		return;
	}
	bytes = node_pack(n, req->job, &length);
	row = fleet__job_row__unpack(NULL, length, bytes);
	talloc_free(bytes);
	if (!row) { /* no memory for a job of this size */
		r->retry_after_ms = RETRY_STALLED_MS;
		r->result = FLEET__RESULT__REFUSED;
		return;
	}
	switch (sched_submit(n->sched, req->id, row, node_unix_ms(n), now,
			     &r->retry_after_ms)) {
	case SUBMIT_ACCEPTED:
	case SUBMIT_KNOWN:
		*must_wait = !sched_durable(n->sched, req->id);
		r->result = FLEET__RESULT__ACCEPTED;
		break;
	case SUBMIT_REFUSED:
	case SUBMIT_INVALID:
		r->result = FLEET__RESULT__REFUSED;
		break;
	}
}

/*
 * While the store serves no node, no configuration version can be confirmed, so
 * a leader's answers about jobs that it has stay valid. While the store
 * answers, a leader with a stale configuration may have missed a newer version
 * and doesn't answer a node whose configuration is stale too.
 */
static bool leader_may_answer(const struct node *n,
			      const struct node_request *req, uint64_t now)
{
	if (staleness_in_bound(n, now))
		return true;
	return req->verb != FLEET__VERB__SUBMIT &&
	       (!req->config_stale || !n->store_ok);
}

/* A job that the leader already has needs no new admission. */
static bool verdict_allows(struct node *n, const struct node_request *req,
			   struct node_answer *r)
{
	enum staleness_verdict verdict = staleness_verdict(n->config, req);

	if (verdict == STALENESS_DECIDABLE ||
	    (!req->config_stale && sched_state(n->sched, req->id, req->queue)))
		return true;
	if (verdict == STALENESS_REMOVED) {
		r->result = FLEET__RESULT__REFUSED;
		r->retry_after_ms = RETRY_REMOVED_MS;
	}
	event_log("ask-other-version", event_sanitize(req->id),
		  "\"verb\":%d,\"queue\":\"%s\",\"verdict\":%d,"
		  "\"asked_by\":%" PRIu64 ",\"own\":%" PRIu64,
		  req->verb, event_sanitize(req->queue), verdict,
		  req->config_version, n->config ? n->config->version : 0);
	return false;
}

/*
 * request_decide - answer a request as the leader, if need be after a write
 *
 * About a job that it doesn't have, the leader gives no answer: another node
 * may have recorded it, and the leader learns of that late while store calls
 * fail. The asking node reads the rows in the store instead.
 */
void request_decide(struct node *n, const struct node_request *req)
{
	struct node_answer r = { .result = FLEET__RESULT__UNANSWERED };
	uint64_t now = clock_now_ms();
	uint64_t begun_us = clock_now_us();
	bool must_wait = false;

	n->requests[req->verb]++;
	if (!leader_may_order(n, now) || n->releasing ||
	    !leader_may_answer(n, req, now) || !verdict_allows(n, req, &r))
		goto out;
	switch (req->verb) {
	case FLEET__VERB__SUBMIT:
		decide_submit(n, req, &r, &must_wait);
		break;
	case FLEET__VERB__STATE:
		r.state = sched_state(n->sched, req->id, req->queue);
		if (r.state)
			r.result = FLEET__RESULT__KNOWN;
		r.valid_ms = sched_state_valid_ms(n->sched, r.state);
		break;
	case FLEET__VERB__CANCEL:
		if (!sched_cancel(n->sched, req->id, req->queue, now))
			break;
		r.result = FLEET__RESULT__ACCEPTED;
		must_wait = !sched_durable(n->sched, req->id);
		break;
	case FLEET__VERB__PENDING:
		r.pending = sched_pending(n->sched, req->queue);
		r.result = FLEET__RESULT__KNOWN;
		break;
	default:
		break;
	}
	node_schedule_pass(n);
	if (must_wait) {
		waiter_add(n, req->id, now + req->timeout_ms, req->fn,
			   req->arg);
		load_add(n, LOAD_REQUESTS, begun_us);
		return;
	}
out:
	load_add(n, LOAD_REQUESTS, begun_us);
	n->answers[r.result]++;
	req->fn(req->arg, &r);
}

/* Through the store */

static bool row_is_job(const struct pending_request *p,
		       const struct store_row *row, bool *same_queue)
{
	Fleet__JobRow *job;

	if (strcmp(row->key, p->id) || !row->revision)
		return false;
	job = fleet__job_row__unpack(NULL, row->length, row->value);
	if (!job)
		return false;
	*same_queue = !strcmp(job->queue, p->queue);
	fleet__job_row__free_unpacked(job, NULL);
	return true;
}

/*
 * A job or cancellation that is being recorded. A write without an answer is
 * looked for in the store, and sent again if it isn't there: it changes nothing
 * if the first one is done as well.
 */
struct record {
	struct node *node;
	struct pending_request *request; /* NULL once it has its answer */
	bool cancel;
	uint64_t job_revision; /* that the job's row must have */
	struct mtimer *overdue;
	uint32_t ask_ms;
	uint64_t asked_ms;
	uint32_t sends;
	uint32_t calls; /* to the store, in flight */
};

struct record_send {
	struct record *record;
	uint64_t sent_ms;
};

static void record_send(struct record *r);

static void record_finish(struct record *r, Fleet__Result result)
{
	struct pending_request *p = r->request;

	r->request = NULL;
	TALLOC_FREE(r->overdue);
	if (result == FLEET__RESULT__ACCEPTED)
		event_log("ask-recorded", p->id, "\"verb\":%d", p->verb);
	finish_with(p, result);
}

static void record_release(struct record *r)
{
	if (r->calls)
		return;
	if (r->request)
		record_finish(r, FLEET__RESULT__UNANSWERED);
	talloc_free(r);
}

/* The result if the store has a job of that id. */
static Fleet__Result existing_job(const struct pending_request *p,
				  const struct store_answer *answer,
				  Fleet__Result otherwise)
{
	bool same;
	uint32_t i;

	for (i = 0; i < answer->row_count; i++)
		if (!strcmp(answer->rows[i].table, NODE_TABLE_JOB) &&
		    row_is_job(p, &answer->rows[i], &same))
			return same ? FLEET__RESULT__ACCEPTED
				    : FLEET__RESULT__REFUSED;
	return otherwise;
}

static void on_recorded(void *arg, const struct store_answer *answer)
{
	struct record_send *send = arg;
	struct record *r = send->record;
	struct pending_request *p = r->request;

	r->calls--;
	if (!p && answer->status == STORE_UNKNOWN)
		node_store_count_unanswered(r->node);
	else
		node_store_timed_result(r->node, "record job", answer->status,
					send->sent_ms);
	talloc_free(send);
	if (!p) {
		record_release(r);
		return;
	}
	switch (answer->status) {
	case STORE_OK:
		record_finish(r, FLEET__RESULT__ACCEPTED);
		break;
	case STORE_CONFLICT:
		/* The job exists already or has ended. */
		record_finish(r,
			      existing_job(p, answer, FLEET__RESULT__ACCEPTED));
		break;
	case STORE_UNKNOWN:
		p->possibly_recorded = true;
		break;
	case STORE_REFUSED:
	case STORE_INVALID:
	case STORE_HISTORY_LOST:
		break;
	}
	record_release(r);
}

static bool is_cancellation(const struct pending_request *p,
			    const struct store_row *row)
{
	Fleet__InboxRow *in;
	bool is;

	if (strcmp(row->key, p->id))
		return false;
	in = fleet__inbox_row__unpack(NULL, row->length, row->value);
	is = in && in->cancel && !strcmp(in->queue, p->queue);
	if (in)
		fleet__inbox_row__free_unpacked(in, NULL);
	return is;
}

static Fleet__Result found(const struct record *r,
			   const struct store_answer *answer)
{
	uint32_t i;

	if (!r->cancel)
		return existing_job(r->request, answer,
				    FLEET__RESULT__UNANSWERED);
	for (i = 0; i < answer->row_count; i++)
		if (is_cancellation(r->request, &answer->rows[i]))
			return FLEET__RESULT__ACCEPTED;
	return FLEET__RESULT__UNANSWERED;
}

static void on_record_read(void *arg, const struct store_answer *answer)
{
	struct record *r = arg;
	bool quick = clock_now_ms() - r->asked_ms < RECORD_QUICK_MS;
	Fleet__Result result = FLEET__RESULT__UNANSWERED;

	r->calls--;
	node_store_result(r->node, "read record", answer->status);
	if (r->request && answer->status == STORE_OK)
		result = found(r, answer);
	if (result != FLEET__RESULT__UNANSWERED)
		record_finish(r, result);
	if (!r->request || !r->calls) {
		record_release(r);
		return;
	}
	if (answer->status == STORE_OK && quick && r->sends < RECORD_SENDS_MAX)
		record_send(r);
	r->ask_ms *= 2;
	mtimer_set(r->overdue, r->ask_ms);
}

static void on_record_overdue(void *arg)
{
	struct record *r = arg;
	struct pending_request *p = r->request;

	if (time_left_ms(p) < STORE_CALL_MIN_MS)
		return;
	r->asked_ms = clock_now_ms();
	r->calls++;
	r->node->services->read(r->node->services->impl,
				r->cancel ? NODE_TABLE_INBOX : NODE_TABLE_JOB,
				p->id, node_key_end(p, p->id),
				store_timeout_ms(p), on_record_read, r);
}

static uint8_t *inbox_row(struct pending_request *p, bool cancel,
			  size_t *length)
{
	Fleet__InboxRow in = FLEET__INBOX_ROW__INIT;

	in.cancel = cancel;
	in.queue = p->queue;
	return node_pack(p, &in, length);
}

static void record_send(struct record *r)
{
	struct pending_request *p = r->request;
	struct record_send *send = talloc_zero(r->node, struct record_send);
	struct store_txn *txn = talloc_zero(p, struct store_txn);
	size_t length;

	assert(send && txn);
	send->record = r;
	send->sent_ms = clock_now_ms();
	txn->conditions[0] = (struct store_condition){ NODE_TABLE_JOB, p->id,
						       r->job_revision };
	txn->condition_count = 1;
	txn->puts[0].table = NODE_TABLE_INBOX;
	txn->puts[0].key = p->id;
	txn->puts[0].value = inbox_row(p, r->cancel, &length);
	txn->puts[0].length = length;
	txn->put_count = 1;
	if (!r->cancel) {
		txn->conditions[1] =
			(struct store_condition){ NODE_TABLE_END, p->id, 0 };
		txn->condition_count = 2;
		txn->puts[1] = (struct store_put){ NODE_TABLE_JOB, p->id,
						   p->job, p->job_length };
		txn->put_count = 2;
	}
	r->sends++;
	r->calls++;
	r->node->services->txn(r->node->services->impl, txn,
			       store_timeout_ms(p), on_recorded, send);
}

static void record(struct pending_request *p, bool cancel, uint64_t revision)
{
	struct record *r = talloc_zero(p->node, struct record);

	assert(r);
	r->node = p->node;
	r->request = p;
	r->cancel = cancel;
	r->job_revision = revision;
	r->ask_ms = RECORD_ASK_MS;
	r->overdue = mtimer_new(r, p->node->ev, on_record_overdue, r);
	assert(r->overdue);
	mtimer_set(r->overdue, r->ask_ms);
	record_send(r);
}

static void read_row(struct pending_request *p, const char *table, store_fn fn)
{
	p->node->services->read(p->node->services->impl, table, p->id,
				node_key_end(p, p->id), store_timeout_ms(p), fn,
				p);
}

static void on_end_row(void *arg, const struct store_answer *answer)
{
	struct pending_request *p = arg;
	struct node_answer r = { .result = FLEET__RESULT__KNOWN };
	Fleet__EndRow *end = NULL;

	node_store_result(p->node, "read end", answer->status);
	if (answer->status != STORE_OK) {
		finish_with(p, FLEET__RESULT__UNANSWERED);
		return;
	}
	if (answer->row_count && !strcmp(answer->rows[0].key, p->id))
		end = fleet__end_row__unpack(NULL, answer->rows[0].length,
					     answer->rows[0].value);
	if (end && strcmp(end->queue, p->queue)) {
		finish_with(p, FLEET__RESULT__NO_SUCH_JOB);
	} else if (end) {
		r.state = end->state;
		if (p->verb == FLEET__VERB__CANCEL)
			r.result = FLEET__RESULT__ACCEPTED;
		finish(p, &r);
	} else if (!p->job_revision) {
		finish_with(p, FLEET__RESULT__NO_SUCH_JOB);
	} else if (p->verb == FLEET__VERB__CANCEL) {
		record(p, true, p->job_revision);
	} else {
		r.state = FLEET__JOB_STATE__QUEUED;
		finish(p, &r);
	}
	if (end)
		fleet__end_row__free_unpacked(end, NULL);
}

/*
 * A job's end row is written before or together with the deletion of its job
 * row, so whoever reads the job row first finds at least one of them. If both
 * are there, the end row counts.
 */
static void on_job_row(void *arg, const struct store_answer *answer)
{
	struct pending_request *p = arg;
	bool same = false;

	node_store_result(p->node, "read job", answer->status);
	if (answer->status != STORE_OK) {
		finish_with(p, FLEET__RESULT__UNANSWERED);
		return;
	}
	if (answer->row_count && row_is_job(p, &answer->rows[0], &same)) {
		if (!same) {
			finish_with(p, FLEET__RESULT__NO_SUCH_JOB);
			return;
		}
		p->job_revision = answer->rows[0].revision;
	}
	read_row(p, NODE_TABLE_END, on_end_row);
}

bool record_bucket_take(struct record_bucket *r, uint32_t nodes, uint64_t now)
{
	double gained = (double)(now - r->updated_ms) / 1000 * RECORDS_PER_S /
			(nodes ? nodes : 1);

	r->tokens = r->tokens + gained > RECORD_BURST ? RECORD_BURST
						      : r->tokens + gained;
	r->updated_ms = now;
	if (r->tokens < 1)
		return false;
	r->tokens--;
	return true;
}

/*
 * Designed for a slow store while there is no leader: the partition accepts
 * only two changes per second then, and recorded jobs would keep the claim of
 * the next leader out.
 */
bool record_pause_is_over(uint64_t store_slow_ms, uint64_t now)
{
	return !store_slow_ms || now - store_slow_ms >= RECORD_PAUSE_MS;
}

/*
 * A leader that is live but slow waits for the store itself; recording the job
 * there as well would delay it further. A leader that has vanished may have
 * done so because of this job, which would then end its successors too.
 */
static bool may_record(const struct pending_request *p)
{
	struct node *n = p->node;

	return !p->leader_slow && !p->leader_vanished && n->store_ok &&
	       record_pause_is_over(n->store_last_slow_ms, clock_now_ms()) &&
	       record_bucket_take(&n->record_bucket, n->peer_count + 1,
				  clock_now_ms());
}

/*
 * With a stale configuration, the store isn't used: its rows don't show whether
 * the caller may still make the request.
 */
static void try_store(struct pending_request *p)
{
	if (p->config_stale || time_left_ms(p) < STORE_CALL_MIN_MS ||
	    p->verb == FLEET__VERB__PENDING ||
	    (p->verb == FLEET__VERB__SUBMIT && !may_record(p))) {
		finish_with(p, FLEET__RESULT__UNANSWERED);
		return;
	}
	if (p->verb == FLEET__VERB__SUBMIT)
		record(p, false, 0);
	else
		read_row(p, NODE_TABLE_JOB, on_job_row);
}

/* Forwarded to the leader */

static void forward_to_leader(struct pending_request *p);

/* Results and states are indices; decoding accepts any number. */
static bool answer_is_valid(const Fleet__Answer *a)
{
	return (uint32_t)a->result <= FLEET__RESULT__UNSETTLED &&
	       (uint32_t)a->state <= FLEET__JOB_STATE__CANCELLED;
}

static void on_leader_answer(void *arg, struct httpc_answer *h)
{
	struct pending_request *p = arg;
	struct node *n = p->node;
	Fleet__Answer *got = NULL;
	struct node_answer r;

	if (h->refused)
		leader_connection_refused(n, p->leader_incarnation);
	if (h->status == HTTPC_OK && h->code == 200)
		got = fleet__answer__unpack(NULL, h->body.length,
					    (uint8_t *)h->body.data);
	if (got && !answer_is_valid(got)) {
		fleet__answer__free_unpacked(got, NULL);
		got = NULL;
	}
	if (!got) {
		if (h->status != HTTPC_NOT_SENT &&
		    p->verb == FLEET__VERB__SUBMIT)
			p->possibly_recorded = true;
		p->leader_slow = h->status == HTTPC_TIMEOUT &&
				 leader_live_age_ms(n) < LEADER_LIVE_AGE_MS;
		if (h->status == HTTPC_BROKEN && !p->leader_vanished) {
			/* Not the leader but its connections may have ended. */
			p->leader_vanished = true;
			forward_to_leader(p);
			return;
		}
		if (!p->leader_slow)
			n->leader_suspect_until_ms =
				clock_now_ms() + LEADER_SUSPECT_MS;
		try_store(p);
		return;
	}
	r.result = got->result;
	r.state = got->state;
	r.pending = got->pending;
	r.retry_after_ms = got->retry_after_ms;
	r.valid_ms = got->valid_ms;
	fleet__answer__free_unpacked(got, NULL);
	switch (r.result) {
	case FLEET__RESULT__UNSETTLED:
		p->possibly_recorded = true;
		/* fallthrough */
	case FLEET__RESULT__UNANSWERED:
		try_store(p);
		return;
	default:
		if (r.result == FLEET__RESULT__KNOWN &&
		    p->verb == FLEET__VERB__STATE)
			states_learn(n->states, p->id, p->queue, r.state,
				     r.valid_ms, clock_now_ms());
		finish(p, &r);
		return;
	}
}

static void forward_to_leader(struct pending_request *p)
{
	static const char *const headers[] = {
		"Content-Type: application/octet-stream", NULL
	};
	bool live = leader_live_age_ms(p->node) < LEADER_LIVE_AGE_MS;
	uint32_t max_ms = live ? LEADER_TIMEOUT_LIVE_MS : LEADER_TIMEOUT_MS;
	uint32_t left_ms =
		live ? time_left_ms(p) : time_left_ms(p) / LEADER_TIME_DIVISOR;
	struct httpc_request r = {
		.method = "POST",
		.url = p->url,
		.headers = headers,
		.body = p->body,
		.body_length = p->length,
		.timeout_ms = left_ms < max_ms ? left_ms : max_ms,
		.connect_timeout_ms = LEADER_TIMEOUT_MS,
		.once = p->verb == FLEET__VERB__SUBMIT,
		.done = on_leader_answer,
		.arg = p,
	};

	httpc_start(p->node->http, &r);
}

static void pack_body(struct pending_request *p, const struct node_request *req)
{
	Fleet__Ask out = FLEET__ASK__INIT;

	if (req->job) {
		req->job->accepted_unix_ms = node_unix_ms(p->node);
		p->job = node_pack(p, req->job, &p->job_length);
		out.job.data = p->job;
		out.job.len = p->job_length;
	}
	out.config_version = p->config_version;
	out.config_old = p->config_stale;
	out.verb = req->verb;
	out.id = p->id;
	out.queue = p->queue;
	p->body = node_pack(p, &out, &p->length);
}

/* Passes on this node's answer as the leader, or goes on to the store. */
static void on_local_answer(void *arg, const struct node_answer *r)
{
	struct pending_request *p = arg;

	if (r->result == FLEET__RESULT__UNSETTLED)
		p->possibly_recorded = true;
	if (r->result == FLEET__RESULT__UNSETTLED ||
	    r->result == FLEET__RESULT__UNANSWERED)
		try_store(p);
	else
		finish(p, r);
}

/* Answers by what the leader lets this node repeat; false if it can't. */
static bool repeat_state(struct node *n, const struct node_request *req,
			 uint64_t now)
{
	struct node_answer r = { .result = FLEET__RESULT__KNOWN };

	if (req->verb != FLEET__VERB__STATE || !staleness_in_bound(n, now))
		return false;
	r.state = states_find(n->states, req->id, req->queue, now);
	if (!r.state)
		return false;
	n->states->repeated++;
	n->answers[r.result]++;
	req->fn(req->arg, &r);
	return true;
}

void node_request(struct node *n, const struct node_request *req)
{
	struct pending_request *p;
	uint64_t now = clock_now_ms();

	if (repeat_state(n, req, now))
		return;
	if (req->verb == FLEET__VERB__CANCEL)
		states_forget(n->states, req->id);
	p = talloc_zero(n, struct pending_request);
	assert(p);
	p->node = n;
	p->verb = req->verb;
	p->config_version = n->config ? n->config->version : 0;
	p->config_stale = !staleness_in_bound(n, now);
	snprintf(p->id, sizeof(p->id), "%s", req->id);
	snprintf(p->queue, sizeof(p->queue), "%s", req->queue);
	p->deadline_ms = now + (req->timeout_ms > ANSWER_MARGIN_MS
					? req->timeout_ms - ANSWER_MARGIN_MS
					: 0);
	p->fn = req->fn;
	p->arg = req->arg;
	pack_body(p, req);
	if (leader_may_order(n, now) && !n->releasing) {
		struct node_request own = *req;

		own.config_version = p->config_version;
		own.config_stale = p->config_stale;
		own.timeout_ms = time_left_ms(p);
		own.fn = on_local_answer;
		own.arg = p;
		request_decide(n, &own);
		return;
	}
	if (!n->leader.known || !*n->leader.node || leader_is_self(n) ||
	    now < n->leader_suspect_until_ms) {
		try_store(p);
		return;
	}
	p->leader_incarnation = n->leader.incarnation;
	p->url = talloc_asprintf(p, "http://%s/ask", n->leader.address);
	assert(p->url);
	forward_to_leader(p);
}
