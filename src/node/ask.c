/*
 * ask - a caller's question, answered by the lead or by the store
 *
 * The lead is asked first. Where it cannot be asked or does not say, a new
 * job or a cancellation is recorded in the store, where the lead finds it,
 * and a job's state is read there. "Refused" is said only when nothing was
 * recorded and nothing can be later.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

#define ASK_LEAD_MS 700u /* for the lead's answer: a write and its wait */
#define ASK_LEAD_HEARD_MS 2200u /* the same of a lead that was just heard */
#define LEAD_HEARD_MS 600u	/* two beats */
/*
 * New jobs that all nodes together record in a second. The store changes one
 * partition 200 times a second, and the lead's own writes go there too.
 */
#define RECORDS_PER_S 100u
#define RECORDS_BURST 2.0      /* of one node */
#define RECORD_PAUSE_MS 1500u  /* after the store was seen to be slow */
#define RETRY_DROPPED_MS 1000u /* by then the node that was asked knows */
#define RETRY_STALLED_MS 1000u /* after a store that does not answer */
#define ASK_LEAD_PART 2u       /* at most the deadline divided by this */
#define ASK_MARGIN_MS 100u     /* answered that long before the deadline */
#define ASK_LEAST_MS 150u      /* less than that is not worth a store call */
#define LEAD_SUSPECT_MS 700u   /* not asked again after it did not answer */

struct asking {
	struct node *node;
	Fleet__Verb verb;
	char id[SCHED_ID_BYTES + 1];
	char queue[128];
	char *url;
	uint64_t lead_incarnation; /* of the lead that is asked */
	uint8_t *body;		   /* of the call to the lead */
	size_t length;
	uint8_t *job; /* row of a SUBMIT */
	size_t job_length;
	uint64_t job_revision;	 /* of its row, as read; 0: there was none */
	uint64_t config_version; /* as in struct node_ask */
	bool config_old;
	uint64_t deadline_ms;
	uint64_t recorded_ms; /* when it was sent to the store */
	bool maybe_recorded;  /* an earlier try may have taken effect */
	bool lead_slow; /* it did not answer in time and was heard meanwhile */
	node_answer_fn fn;
	void *arg;
};

static void answer(struct asking *a, const struct node_answer *answer)
{
	struct node *n = a->node;

	n->answers[answer->result]++;
	if (answer->result == FLEET__RESULT__UNANSWERED ||
	    answer->result == FLEET__RESULT__UNSETTLED)
		event_log("ask-unanswered", a->id,
			  "\"verb\":%d,\"result\":%d,\"lead\":\"%s\","
			  "\"lead_heard_ms_ago\":%" PRIu64 ",\"store_ok\":%d",
			  a->verb, answer->result, n->lead.node,
			  clock_now_ms() - n->lead_heard_ms, n->store_ok);
	a->fn(a->arg, answer);
	talloc_free(a);
}

static void answer_result(struct asking *a, Fleet__Result result)
{
	struct node_answer r = { .result = result };

	if (result == FLEET__RESULT__UNANSWERED && a->maybe_recorded)
		r.result = FLEET__RESULT__UNSETTLED;
	answer(a, &r);
}

static uint32_t time_left(const struct asking *a)
{
	uint64_t now = clock_now_ms();

	return a->deadline_ms > now ? (uint32_t)(a->deadline_ms - now) : 0;
}

static uint32_t store_time(const struct asking *a)
{
	uint32_t left = time_left(a);

	return left < NODE_STORE_MS ? left : NODE_STORE_MS;
}

/* By the lead itself */

struct decide_arg {
	node_answer_fn fn;
	void *arg;
};

static void decide_submit(struct node *n, const struct node_ask *ask,
			  struct node_answer *r, bool *waits)
{
	uint64_t now = clock_now_ms();
	uint8_t *bytes;
	Fleet__JobRow *row;
	size_t length;

	/* It could not be accepted in its caller's time. */
	if (commit_is_stalled(n->commit_waits_ms, now) &&
	    !sched_state(n->sched, ask->id, ask->queue)) {
		event_log("job-turned-away", ask->id,
			  "\"queue\":\"%s\",\"store_silent_ms\":%" PRIu64,
			  ask->queue, now - n->commit_waits_ms);
		r->retry_after_ms = RETRY_STALLED_MS;
		r->result = FLEET__RESULT__REFUSED;
		return;
	}
	bytes = node_pack(n, ask->job, &length);
	row = fleet__job_row__unpack(NULL, length, bytes);
	assert(row);
	talloc_free(bytes);
	switch (sched_submit(n->sched, ask->id, row, node_unix_ms(n), now,
			     &r->retry_after_ms)) {
	case SUBMIT_ACCEPTED:
	case SUBMIT_KNOWN:
		*waits = !sched_durable(n->sched, ask->id);
		r->result = FLEET__RESULT__ACCEPTED;
		break;
	case SUBMIT_REFUSED:
	case SUBMIT_INVALID:
		r->result = FLEET__RESULT__REFUSED;
		break;
	}
}

/*
 * While the store serves nobody, no version is confirmed, and what the lead
 * says of the jobs that it knows stays true. A store that answers would show
 * the lead's version to be the newest if it were.
 */
static bool lead_may_vouch(const struct node *n, const struct node_ask *ask,
			   uint64_t now)
{
	if (currency_holds(n, now))
		return true;
	return ask->verb != FLEET__VERB__SUBMIT &&
	       (!ask->config_old || !n->store_ok);
}

/* A job that the lead knows is not let in anew. */
static bool verdict_allows(struct node *n, const struct node_ask *ask,
			   struct node_answer *r)
{
	enum currency_verdict verdict = currency_verdict(n->config, ask);

	if (verdict == CURRENCY_DECIDES ||
	    (!ask->config_old && sched_state(n->sched, ask->id, ask->queue)))
		return true;
	if (verdict == CURRENCY_DROPPED) {
		r->result = FLEET__RESULT__REFUSED;
		r->retry_after_ms = RETRY_DROPPED_MS;
	}
	event_log("ask-other-version", event_sanitize(ask->id),
		  "\"verb\":%d,\"queue\":\"%s\",\"verdict\":%d,"
		  "\"asked_by\":%" PRIu64 ",\"own\":%" PRIu64,
		  ask->verb, event_sanitize(ask->queue), verdict,
		  ask->config_version, n->config ? n->config->version : 0);
	return false;
}

/*
 * ask_decide - the lead's own answer; it may wait for a write
 *
 * Of a job that it does not know it says nothing: another node may have
 * recorded it, and the news comes late while the store is disturbed. The
 * store's rows say whether there is one.
 */
void ask_decide(struct node *n, const struct node_ask *ask)
{
	struct node_answer r = { .result = FLEET__RESULT__UNANSWERED };
	uint64_t now = clock_now_ms();
	bool waits = false;

	n->asks[ask->verb]++;
	if (!lead_may_order(n, now) || n->releasing ||
	    !lead_may_vouch(n, ask, now) || !verdict_allows(n, ask, &r))
		goto out;
	switch (ask->verb) {
	case FLEET__VERB__SUBMIT:
		decide_submit(n, ask, &r, &waits);
		break;
	case FLEET__VERB__STATE:
		r.state = sched_state(n->sched, ask->id, ask->queue);
		if (r.state)
			r.result = FLEET__RESULT__KNOWN;
		break;
	case FLEET__VERB__CANCEL:
		if (!sched_cancel(n->sched, ask->id, ask->queue, now))
			break;
		r.result = FLEET__RESULT__ACCEPTED;
		waits = !sched_durable(n->sched, ask->id);
		break;
	case FLEET__VERB__PENDING:
		r.pending = sched_pending(n->sched, ask->queue);
		r.result = FLEET__RESULT__KNOWN;
		break;
	default:
		break;
	}
	node_pump(n);
	if (waits) {
		waiter_add(n, ask->id, now + ask->deadline_ms, ask->fn,
			   ask->arg);
		return;
	}
out:
	n->answers[r.result]++;
	ask->fn(ask->arg, &r);
}

/* By the store */

static bool row_is_job(const struct asking *a, const struct store_row *row,
		       bool *same_queue)
{
	Fleet__JobRow *job;

	if (strcmp(row->key, a->id) || !row->revision)
		return false;
	job = fleet__job_row__unpack(NULL, row->length, row->value);
	if (!job)
		return false;
	*same_queue = !strcmp(job->queue, a->queue);
	fleet__job_row__free_unpacked(job, NULL);
	return true;
}

static void on_recorded(void *arg, const struct store_reply *reply)
{
	struct asking *a = arg;
	struct node *n = a->node;
	bool same = true;
	uint32_t i;

	node_store_took(n, reply->status, a->recorded_ms);
	switch (reply->status) {
	case STORE_OK:
		event_log("ask-recorded", a->id, "\"verb\":%d", a->verb);
		answer_result(a, FLEET__RESULT__ACCEPTED);
		return;
	case STORE_CONFLICT:
		/* The job is there already, or has ended. */
		for (i = 0; i < reply->row_count; i++)
			if (!strcmp(reply->rows[i].table, NODE_TABLE_JOB) &&
			    row_is_job(a, &reply->rows[i], &same))
				break;
		answer_result(a, same ? FLEET__RESULT__ACCEPTED
				      : FLEET__RESULT__REFUSED);
		return;
	case STORE_UNKNOWN:
		a->maybe_recorded = true;
		break;
	case STORE_REFUSED:
	case STORE_LOST:
		break;
	}
	answer_result(a, FLEET__RESULT__UNANSWERED);
}

static uint8_t *inbox_row(struct asking *a, bool cancel, size_t *length)
{
	Fleet__InboxRow in = FLEET__INBOX_ROW__INIT;

	in.cancel = cancel;
	in.queue = a->queue;
	return node_pack(a, &in, length);
}

static void record(struct asking *a, bool cancel, uint64_t revision)
{
	struct store_txn *txn = talloc_zero(a, struct store_txn);
	size_t length;

	assert(txn);
	txn->conditions[0] =
		(struct store_condition){ NODE_TABLE_JOB, a->id, revision };
	txn->condition_count = 1;
	txn->puts[0].table = NODE_TABLE_INBOX;
	txn->puts[0].key = a->id;
	txn->puts[0].value = inbox_row(a, cancel, &length);
	txn->puts[0].length = length;
	txn->put_count = 1;
	if (!cancel) {
		txn->conditions[1] =
			(struct store_condition){ NODE_TABLE_END, a->id, 0 };
		txn->condition_count = 2;
		txn->puts[1] = (struct store_put){ NODE_TABLE_JOB, a->id,
						   a->job, a->job_length };
		txn->put_count = 2;
	}
	a->recorded_ms = clock_now_ms();
	a->node->services->txn(a->node->services->impl, txn, store_time(a),
			       on_recorded, a);
}

static void read_row(struct asking *a, const char *table, store_fn fn)
{
	a->node->services->read(a->node->services->impl, table, a->id,
				node_key_end(a, a->id), store_time(a), fn, a);
}

static void on_end_row(void *arg, const struct store_reply *reply)
{
	struct asking *a = arg;
	struct node_answer r = { .result = FLEET__RESULT__KNOWN };
	Fleet__EndRow *end = NULL;

	node_store_result(a->node, reply->status);
	if (reply->status != STORE_OK) {
		answer_result(a, FLEET__RESULT__UNANSWERED);
		return;
	}
	if (reply->row_count && !strcmp(reply->rows[0].key, a->id))
		end = fleet__end_row__unpack(NULL, reply->rows[0].length,
					     reply->rows[0].value);
	if (end && strcmp(end->queue, a->queue)) {
		answer_result(a, FLEET__RESULT__NO_SUCH_JOB);
	} else if (end) {
		r.state = end->state;
		if (a->verb == FLEET__VERB__CANCEL)
			r.result = FLEET__RESULT__ACCEPTED;
		answer(a, &r);
	} else if (!a->job_revision) {
		answer_result(a, FLEET__RESULT__NO_SUCH_JOB);
	} else if (a->verb == FLEET__VERB__CANCEL) {
		record(a, true, a->job_revision);
	} else {
		r.state = FLEET__JOB_STATE__QUEUED;
		answer(a, &r);
	}
	if (end)
		fleet__end_row__free_unpacked(end, NULL);
}

/*
 * The job's row never goes before its end is written: read in this order,
 * one of the two is found, and an end counts.
 */
static void on_job_row(void *arg, const struct store_reply *reply)
{
	struct asking *a = arg;
	bool same = false;

	node_store_result(a->node, reply->status);
	if (reply->status != STORE_OK) {
		answer_result(a, FLEET__RESULT__UNANSWERED);
		return;
	}
	if (reply->row_count && row_is_job(a, &reply->rows[0], &same)) {
		if (!same) {
			answer_result(a, FLEET__RESULT__NO_SUCH_JOB);
			return;
		}
		a->job_revision = reply->rows[0].revision;
	}
	read_row(a, NODE_TABLE_END, on_end_row);
}

bool record_allowance_take(struct record_allowance *r, uint32_t nodes,
			   uint64_t now)
{
	double gained = (double)(now - r->at_ms) / 1000 * RECORDS_PER_S /
			(nodes ? nodes : 1);

	r->left = r->left + gained > RECORDS_BURST ? RECORDS_BURST
						   : r->left + gained;
	r->at_ms = now;
	if (r->left < 1)
		return false;
	r->left--;
	return true;
}

/*
 * The load it answers: no lead while the store is slow. Its partition changes
 * two times a second then, and what nodes record would keep out the claim
 * that ends this.
 */
bool record_may_begin(uint64_t store_slow_ms, uint64_t now)
{
	return !store_slow_ms || now - store_slow_ms >= RECORD_PAUSE_MS;
}

/*
 * A lead that is heard and slow waits for the store itself; recording the job
 * there as well would hold it up more.
 */
static bool may_record(const struct asking *a)
{
	struct node *n = a->node;

	return !a->lead_slow && n->store_ok &&
	       record_may_begin(n->store_slow_ms, clock_now_ms()) &&
	       record_allowance_take(&n->records, n->peer_count + 1,
				     clock_now_ms());
}

/* The store's rows do not say whether the caller may still ask. */
static void ask_store(struct asking *a)
{
	if (a->config_old || time_left(a) < ASK_LEAST_MS ||
	    a->verb == FLEET__VERB__PENDING ||
	    (a->verb == FLEET__VERB__SUBMIT && !may_record(a))) {
		answer_result(a, FLEET__RESULT__UNANSWERED);
		return;
	}
	if (a->verb == FLEET__VERB__SUBMIT)
		record(a, false, 0);
	else
		read_row(a, NODE_TABLE_JOB, on_job_row);
}

/* By another node that leads */

static void on_lead_answer(void *arg, struct httpc_answer *h)
{
	struct asking *a = arg;
	struct node *n = a->node;
	Fleet__Answer *got = NULL;
	struct node_answer r;

	if (h->refused)
		lead_refused(n, a->lead_incarnation);
	if (h->status == HTTPC_OK && h->code == 200)
		got = fleet__answer__unpack(NULL, h->body.length,
					    (uint8_t *)h->body.data);
	if (!got) {
		if (h->status != HTTPC_NOT_SENT &&
		    a->verb == FLEET__VERB__SUBMIT)
			a->maybe_recorded = true;
		a->lead_slow = h->status == HTTPC_TIMEOUT &&
			       lead_age_ms(n) < LEAD_HEARD_MS;
		if (!a->lead_slow)
			n->lead_suspect_ms = clock_now_ms() + LEAD_SUSPECT_MS;
		ask_store(a);
		return;
	}
	r.result = got->result;
	r.state = got->state;
	r.pending = got->pending;
	r.retry_after_ms = got->retry_after_ms;
	fleet__answer__free_unpacked(got, NULL);
	switch (r.result) {
	case FLEET__RESULT__UNSETTLED:
		a->maybe_recorded = true;
		/* fallthrough */
	case FLEET__RESULT__UNANSWERED:
		ask_store(a);
		return;
	default:
		answer(a, &r);
		return;
	}
}

static void ask_lead(struct asking *a)
{
	static const char *const headers[] = {
		"Content-Type: application/octet-stream", NULL
	};
	bool heard = lead_age_ms(a->node) < LEAD_HEARD_MS;
	uint32_t most = heard ? ASK_LEAD_HEARD_MS : ASK_LEAD_MS;
	uint32_t left = heard ? time_left(a) : time_left(a) / ASK_LEAD_PART;
	struct httpc_request r = {
		.method = "POST",
		.url = a->url,
		.headers = headers,
		.body = a->body,
		.body_length = a->length,
		.timeout_ms = left < most ? left : most,
		.connect_timeout_ms = ASK_LEAD_MS,
		.once = a->verb == FLEET__VERB__SUBMIT,
		.done = on_lead_answer,
		.arg = a,
	};

	httpc_start(a->node->http, &r);
}

static void pack(struct asking *a, const struct node_ask *ask)
{
	Fleet__Ask out = FLEET__ASK__INIT;

	if (ask->job) {
		ask->job->accepted_unix_ms = node_unix_ms(a->node);
		a->job = node_pack(a, ask->job, &a->job_length);
		out.job.data = a->job;
		out.job.len = a->job_length;
	}
	out.config_version = a->config_version;
	out.config_old = a->config_old;
	out.verb = ask->verb;
	out.id = a->id;
	out.queue = a->queue;
	a->body = node_pack(a, &out, &a->length);
}

/* An answer of this node's own decisions; what it cannot say the store may. */
static void on_own_answer(void *arg, const struct node_answer *r)
{
	struct asking *a = arg;

	if (r->result == FLEET__RESULT__UNSETTLED)
		a->maybe_recorded = true;
	if (r->result == FLEET__RESULT__UNSETTLED ||
	    r->result == FLEET__RESULT__UNANSWERED)
		ask_store(a);
	else
		answer(a, r);
}

void node_ask(struct node *n, const struct node_ask *ask)
{
	struct asking *a = talloc_zero(n, struct asking);
	uint64_t now = clock_now_ms();

	assert(a);
	a->node = n;
	a->verb = ask->verb;
	a->config_version = n->config ? n->config->version : 0;
	a->config_old = !currency_holds(n, now);
	snprintf(a->id, sizeof(a->id), "%s", ask->id);
	snprintf(a->queue, sizeof(a->queue), "%s", ask->queue);
	a->deadline_ms = now + (ask->deadline_ms > ASK_MARGIN_MS
					? ask->deadline_ms - ASK_MARGIN_MS
					: 0);
	a->fn = ask->fn;
	a->arg = ask->arg;
	pack(a, ask);
	if (lead_may_order(n, now) && !n->releasing) {
		struct node_ask own = *ask;

		own.deadline_ms = time_left(a);
		own.fn = on_own_answer;
		own.arg = a;
		ask_decide(n, &own);
		return;
	}
	if (!n->lead.known || !*n->lead.node || lead_is_self(n) ||
	    now < n->lead_suspect_ms) {
		ask_store(a);
		return;
	}
	a->lead_incarnation = n->lead.incarnation;
	a->url = talloc_asprintf(a, "http://%s/ask", n->lead.address);
	assert(a->url);
	ask_lead(a);
}
