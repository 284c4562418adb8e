/*
 * Writes to a store that loses answers, does writes late or is slow, in virtual
 * time: the code of a leader, and of a node without one, on a store of this
 * test. Guards against a lost answer that costs callers a whole timeout,
 * against answers that aren't true, and against questions that load a slow
 * store.
 */
#include <stdio.h>
#include <time.h>

#include "node/node_internal.h"
#include "test/rig/sched_rig.h"

#define JOBS 60u
#define ROWS_MAX 256u
#define CALLS_MAX 4096u
#define ANSWER_MS 14u
#define SLOW_ANSWER_MS 600u
#define LOST_PERCENT 60u /* of the answers to writes */
#define CALLER_MS 4000u	 /* after this a caller gets no verdict */
#define TIMERS_MAX 64u

/* Virtual time; replaces the C library's clock and process/mtimer.c. */

static uint64_t now_ms;

int clock_gettime(clockid_t clock, struct timespec *ts)
{
	(void)clock;
	ts->tv_sec = (time_t)(now_ms / 1000);
	ts->tv_nsec = (long)(now_ms % 1000 * 1000000);
	return 0;
}

struct mtimer {
	mtimer_fn fn;
	void *arg;
	uint64_t due_ms; /* 0: not set */
};

static struct mtimer *timers[TIMERS_MAX];

static int timer_destroy(struct mtimer *t)
{
	uint32_t i;

	for (i = 0; i < TIMERS_MAX; i++)
		if (timers[i] == t)
			timers[i] = NULL;
	return 0;
}

struct mtimer *mtimer_new(TALLOC_CTX *ctx, struct tevent_context *ev,
			  mtimer_fn fn, void *arg)
{
	struct mtimer *t = talloc_zero(ctx, struct mtimer);
	uint32_t i = 0;

	(void)ev;
	t->fn = fn;
	t->arg = arg;
	talloc_set_destructor(t, timer_destroy);
	while (timers[i])
		i++;
	assert_true(i < TIMERS_MAX);
	timers[i] = t;
	return t;
}

void mtimer_set(struct mtimer *t, uint64_t ms)
{
	t->due_ms = now_ms + (ms ? ms : 1);
}

void mtimer_every(struct mtimer *t, uint64_t ms)
{
	mtimer_set(t, ms);
}

void mtimer_clear(struct mtimer *t)
{
	t->due_ms = 0;
}

bool mtimer_pending(const struct mtimer *t)
{
	return t->due_ms != 0;
}

/* No log. */

void event_prefer(const char *kind)
{
	(void)kind;
}

void event_log(const char *kind, const char *id, const char *fmt, ...)
{
	(void)kind;
	(void)id;
	(void)fmt;
}

const char *event_sanitize(const char *text)
{
	return text;
}

void event_flush(void)
{
}

uint64_t event_dropped(void)
{
	return 0;
}

/* The store */

struct row {
	char table[16];
	char key[32];
	uint8_t value[256];
	size_t length;
	uint64_t revision; /* 0: there is no such row */
};

struct call {
	struct store_txn *txn; /* NULL: a read */
	char table[16];
	const char *from, *to; /* keys of a read; NULL: no bound */
	uint64_t done_ms, answer_ms, timeout_ms;
	bool done, answered;
	struct store_answer answer;
	struct store_row rows[ROWS_MAX];
	store_fn fn;
	void *arg;
};

enum loss { LOSS_NONE, LOSS_ANSWER, LOSS_LATE };

struct world {
	struct rig rig;
	struct node *node;
	struct services services;
	uint64_t random;
	enum loss loss;
	uint32_t lost_percent;
	uint32_t write_ms, read_ms;
	bool refuses_reads;
	bool refuses_writes; /* as invalid, all of them */
	uint64_t bad_jobs;   /* bits: any write of these is invalid */
	uint64_t revision;
	uint64_t free_ms; /* the partition does one write after another */
	struct row rows[ROWS_MAX];
	uint32_t row_count;
	struct call *calls[CALLS_MAX];
	uint32_t call_count, writes, reads;
	/* Callers */
	uint64_t sent_ms[JOBS];
	uint64_t answered_ms[JOBS]; /* 0: not yet */
	Fleet__Result results[JOBS];
};

static uint32_t random_below(struct world *w, uint32_t below)
{
	w->random = w->random * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)(w->random >> 33) % below;
}

static struct row *row_of(struct world *w, const char *table, const char *key)
{
	uint32_t i;

	for (i = 0; i < w->row_count; i++)
		if (!strcmp(w->rows[i].table, table) &&
		    !strcmp(w->rows[i].key, key))
			return &w->rows[i];
	assert_true(w->row_count < ROWS_MAX);
	snprintf(w->rows[i].table, sizeof(w->rows[i].table), "%s", table);
	snprintf(w->rows[i].key, sizeof(w->rows[i].key), "%s", key);
	w->row_count++;
	return &w->rows[i];
}

static void answer_row(struct call *c, const struct row *row)
{
	struct store_row *out = &c->rows[c->answer.row_count++];

	*out = (struct store_row){ talloc_strdup(c, row->table),
				   talloc_strdup(c, row->key),
				   talloc_memdup(c, row->value, row->length),
				   row->length,
				   row->revision,
				   false };
}

static void do_read(struct world *w, struct call *c)
{
	uint32_t i;

	if (w->refuses_reads) {
		c->answer.status = STORE_REFUSED;
		return;
	}
	for (i = 0; i < w->row_count; i++)
		if (!strcmp(w->rows[i].table, c->table) &&
		    w->rows[i].revision &&
		    (!c->from || strcmp(w->rows[i].key, c->from) >= 0) &&
		    (!c->to || strcmp(w->rows[i].key, c->to) < 0))
			answer_row(c, &w->rows[i]);
}

static void put(struct world *w, const char *table, const char *key,
		const uint8_t *value, size_t length)
{
	struct row *row = row_of(w, table, key);

	assert_true(length <= sizeof(row->value));
	memcpy(row->value, value, length);
	row->length = length;
	row->revision = w->revision;
}

static bool is_invalid(const struct world *w, const struct store_txn *t)
{
	uint32_t i;

	for (i = 0; i < t->put_count; i++)
		if (!strcmp(t->puts[i].table, NODE_TABLE_JOB) &&
		    w->bad_jobs >> (strtoul(t->puts[i].key, NULL, 16) - 1) & 1)
			return true;
	return w->refuses_writes;
}

static void do_write(struct world *w, struct call *c)
{
	const struct store_txn *t = c->txn;
	uint32_t i;

	if (is_invalid(w, t)) {
		c->answer.status = STORE_INVALID;
		return;
	}
	for (i = 0; i < t->condition_count; i++)
		if (row_of(w, t->conditions[i].table, t->conditions[i].key)
			    ->revision != t->conditions[i].revision)
			c->answer.status = STORE_CONFLICT;
	if (c->answer.status == STORE_CONFLICT) {
		for (i = 0; i < t->condition_count; i++)
			answer_row(c, row_of(w, t->conditions[i].table,
					     t->conditions[i].key));
		return;
	}
	c->answer.revision = ++w->revision;
	for (i = 0; i < t->put_count; i++)
		put(w, t->puts[i].table, t->puts[i].key, t->puts[i].value,
		    t->puts[i].length);
	for (i = 0; i < t->delete_count; i++)
		row_of(w, t->deletes[i].table, t->deletes[i].key)->revision = 0;
}

static struct call *call_new(struct world *w, uint32_t timeout_ms, store_fn fn,
			     void *arg)
{
	struct call *c = talloc_zero(w->node, struct call);

	assert_true(w->call_count < CALLS_MAX);
	c->fn = fn;
	c->arg = arg;
	c->timeout_ms = now_ms + timeout_ms;
	c->answer.rows = c->rows;
	w->calls[w->call_count++] = c;
	return c;
}

/* The caller frees the bytes of txn as soon as it has the answer. */
static struct store_txn *copy_txn(struct call *c, const struct store_txn *txn)
{
	struct store_txn *t = talloc_memdup(c, txn, sizeof(*txn));
	uint32_t i;

	for (i = 0; i < t->condition_count; i++)
		t->conditions[i].key = talloc_strdup(t, t->conditions[i].key);
	for (i = 0; i < t->put_count; i++) {
		t->puts[i].key = talloc_strdup(t, t->puts[i].key);
		t->puts[i].value =
			talloc_memdup(t, t->puts[i].value, t->puts[i].length);
	}
	for (i = 0; i < t->delete_count; i++)
		t->deletes[i].key = talloc_strdup(t, t->deletes[i].key);
	return t;
}

static void store_txn(void *impl, const struct store_txn *txn,
		      uint32_t timeout_ms, store_fn fn, void *arg)
{
	struct world *w = impl;
	struct call *c = call_new(w, timeout_ms, fn, arg);
	bool lost =
		w->loss != LOSS_NONE && random_below(w, 100) < w->lost_percent;

	w->writes++;
	c->txn = copy_txn(c, txn);
	if (w->free_ms < now_ms)
		w->free_ms = now_ms;
	w->free_ms += w->write_ms;
	c->done_ms = w->free_ms;
	c->answer_ms = lost ? UINT64_MAX : c->done_ms;
	if (lost && w->loss == LOSS_LATE)
		c->done_ms = now_ms + 1000 + random_below(w, 5000);
}

static void store_read(void *impl, const char *table, const char *from,
		       const char *to, uint32_t timeout_ms, store_fn fn,
		       void *arg)
{
	struct world *w = impl;
	struct call *c = call_new(w, timeout_ms, fn, arg);

	c->from = from ? talloc_strdup(c, from) : NULL;
	c->to = to ? talloc_strdup(c, to) : NULL;
	w->reads++;
	snprintf(c->table, sizeof(c->table), "%s", table);
	c->done_ms = c->answer_ms = now_ms + w->read_ms;
}

static void call_advance(struct world *w, struct call *c)
{
	if (!c->done && now_ms >= c->done_ms) {
		c->done = true;
		if (c->txn)
			do_write(w, c);
		else
			do_read(w, c);
	}
	if (c->answered)
		return;
	if (c->done && now_ms >= c->answer_ms) {
		c->answered = true;
		c->fn(c->arg, &c->answer);
	} else if (now_ms >= c->timeout_ms) {
		struct store_answer none = { .status = STORE_UNKNOWN };

		c->answered = true;
		c->fn(c->arg, &none);
	}
}

/* The leader and its callers */

static void world_new(struct world *w, uint64_t seed, enum loss loss)
{
	struct node *n = talloc_zero(NULL, struct node);
	uint8_t *bytes;
	size_t length;

	memset(w, 0, sizeof(*w));
	now_ms = 1000;
	w->node = n;
	w->random = seed * 7919;
	w->loss = loss;
	w->lost_percent = LOST_PERCENT;
	w->write_ms = w->read_ms = ANSWER_MS;
	rig_new(&w->rig);
	rig_become_leader(&w->rig);
	w->services.impl = w;
	w->services.txn = store_txn;
	w->services.read = store_read;
	n->services = &w->services;
	n->settings.name = "n-0";
	n->sched = w->rig.s;
	n->incarnation = 7;
	n->store_ok = true;
	n->phase = LEADER_DECIDING;
	n->pass_scheduled = true; /* the test makes the passes */
	n->leader = (struct leader_view){ .node = "n-0",
					  .incarnation = 7,
					  .epoch = 1,
					  .revision = 1,
					  .known = true };
	w->revision = 1;
	bytes = leader_encode(n, &n->leader, &length);
	put(w, NODE_TABLE_LEADER, NODE_LEADER_KEY, bytes, length);
}

static void world_free(struct world *w)
{
	talloc_free(w->rig.s);
	talloc_free(w->node);
}

struct caller {
	struct world *world;
	uint32_t job;
};

static void job_id(char *id, size_t size, uint32_t job)
{
	snprintf(id, size, "%016x", job + 1);
}

/* "Accepted" must be true: the job has a row. */
static void on_answer(void *arg, const struct node_answer *answer)
{
	struct caller *caller = arg;
	struct world *w = caller->world;
	char id[SCHED_ID_BYTES + 1];

	w->answered_ms[caller->job] = now_ms;
	w->results[caller->job] = answer->result;
	job_id(id, sizeof(id), caller->job);
	if (answer->result == FLEET__RESULT__ACCEPTED &&
	    !row_of(w, NODE_TABLE_JOB, id)->revision)
		fail_msg("job %u is accepted but not stored", caller->job);
}

static void call_submit(struct world *w, uint32_t job)
{
	struct caller *caller = talloc_zero(w->node, struct caller);
	char id[SCHED_ID_BYTES + 1];

	caller->world = w;
	caller->job = job;
	job_id(id, sizeof(id), job);
	submit(&w->rig, id, 1, 1, true);
	w->sent_ms[job] = now_ms;
	waiter_add(w->node, id, now_ms + CALLER_MS, on_answer, caller);
}

/* One millisecond. */
static void world_advance(struct world *w)
{
	uint32_t i;

	now_ms++;
	w->rig.now = now_ms;
	for (i = 0; i < w->call_count; i++)
		call_advance(w, w->calls[i]);
	for (i = 0; i < TIMERS_MAX; i++)
		if (timers[i] && timers[i]->due_ms &&
		    now_ms >= timers[i]->due_ms) {
			timers[i]->due_ms = 0;
			timers[i]->fn(timers[i]->arg);
		}
	if (w->node->phase != LEADER_DECIDING)
		return;
	waiters_tick(w->node, now_ms);
	commit_run(w->node, now_ms);
}

/* Submits a job every interval_ms until all are, then runs for a while. */
static void run_jobs(struct world *w, uint32_t interval_ms)
{
	uint32_t job, ms;

	for (job = 0; job < JOBS; job++) {
		call_submit(w, job);
		for (ms = 0; ms < interval_ms; ms++)
			world_advance(w);
	}
	for (ms = 0; ms < CALLER_MS + 8000; ms++)
		world_advance(w);
}

static void warm_up(struct world *w)
{
	enum loss loss = w->loss;
	uint32_t ms;

	w->loss = LOSS_NONE;
	call_submit(w, 0);
	for (ms = 0; ms < 2000; ms++)
		world_advance(w);
	w->loss = loss;
	w->writes = w->reads = 0;
}

static uint32_t mean_ms(const struct world *w)
{
	uint64_t sum = 0;
	uint32_t job;

	for (job = 1; job < JOBS; job++)
		sum += w->answered_ms[job] - w->sent_ms[job];
	return (uint32_t)(sum / (JOBS - 1));
}

static uint32_t accepted(const struct world *w)
{
	uint32_t job, count = 0;

	for (job = 0; job < JOBS; job++)
		count += w->results[job] == FLEET__RESULT__ACCEPTED;
	return count;
}

/* In a store that answers in 14 ms, callers wait for a fraction of 1.5 s. */
static void check_delay(const char *what, enum loss loss, uint32_t bound_ms)
{
	uint32_t sum_ms = 0, count = 0;
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct world w;
		uint32_t job;

		world_new(&w, seed, loss);
		warm_up(&w);
		for (job = 1; job < JOBS; job++) {
			uint32_t ms;

			call_submit(&w, job);
			for (ms = 0; ms < 100; ms++)
				world_advance(&w);
		}
		for (job = 0; job < CALLER_MS + 8000; job++)
			world_advance(&w);
		sum_ms += mean_ms(&w);
		count += accepted(&w);
		world_free(&w);
	}
	if (sum_ms / 20 > bound_ms)
		fail_msg("%s: callers wait %u ms on average", what,
			 sum_ms / 20);
	assert_int_equal(count, 20 * JOBS);
}

static void test_lost_answer_delays_callers_briefly(void **state)
{
	(void)state;
	check_delay("answers are lost", LOSS_ANSWER, 100);
}

static void test_late_write_delays_callers_briefly(void **state)
{
	(void)state;
	check_delay("writes are done late", LOSS_LATE, 400);
}

/* A slow store isn't asked often, and no write is repeated. */
static void test_slow_store_is_not_asked_often(void **state)
{
	uint32_t slow_reads;

	(void)state;
	for (slow_reads = 0; slow_reads < 2; slow_reads++) {
		struct world w;
		uint32_t job;

		world_new(&w, 1, LOSS_NONE);
		warm_up(&w);
		w.write_ms = SLOW_ANSWER_MS;
		w.read_ms = slow_reads ? SLOW_ANSWER_MS / 2 : ANSWER_MS;
		for (job = 1; job < JOBS; job++) {
			uint32_t ms;

			call_submit(&w, job);
			for (ms = 0; ms < 200; ms++)
				world_advance(&w);
		}
		/* The store does 20 writes in this time. */
		if (w.writes > 24 || w.reads > 8)
			fail_msg("%s reads: %u writes, %u reads",
				 slow_reads ? "slow" : "fast", w.writes,
				 w.reads);
		world_free(&w);
	}
}

/* A store that refuses the question is asked at growing intervals. */
static void test_refused_question_is_not_repeated_often(void **state)
{
	struct world w;
	uint32_t ms;

	(void)state;
	world_new(&w, 1, LOSS_ANSWER);
	warm_up(&w);
	w.refuses_reads = true;
	w.lost_percent = 100;
	call_submit(&w, 1);
	for (ms = 0; ms < 1500; ms++)
		world_advance(&w);
	assert_int_equal(w.writes, 1);
	assert_in_range(w.reads, 1, 6);
	world_free(&w);
}

/* No question while the store answers as it usually does. */
static void test_normal_store_is_not_asked(void **state)
{
	struct world w;

	(void)state;
	world_new(&w, 1, LOSS_NONE);
	run_jobs(&w, 20);
	assert_int_equal(w.reads, 0);
	assert_int_equal(accepted(&w), JOBS);
	world_free(&w);
}

/* Another node became the leader: nothing is said to be accepted. */
static void test_unanswered_write_of_former_leader(void **state)
{
	struct world w;
	struct leader_view other;
	uint8_t *bytes;
	size_t length;
	uint32_t ms;

	(void)state;
	world_new(&w, 1, LOSS_NONE);
	warm_up(&w);
	other = w.node->leader;
	other.incarnation = 8;
	other.epoch = 2;
	bytes = leader_encode(w.node, &other, &length);
	w.revision++;
	put(&w, NODE_TABLE_LEADER, NODE_LEADER_KEY, bytes, length);
	w.loss = LOSS_ANSWER;
	w.lost_percent = 100;
	call_submit(&w, 1);
	for (ms = 0; ms < 60 + 2 * ANSWER_MS; ms++)
		world_advance(&w);
	assert_int_equal(w.answered_ms[1], 0);
	assert_int_equal(
		row_of(&w, NODE_TABLE_JOB, "0000000000000002")->revision, 0);
	world_free(&w);
}

/* Without a leader, nodes record jobs and cancellations in the store. */

static void follower_new(struct world *w, uint64_t seed, enum loss loss)
{
	struct node *n;

	world_new(w, seed, loss);
	n = w->node;
	n->phase = LEADER_NONE;
	n->leader.known = false;
	n->config = &w->rig.config;
	n->settings.config_ms = 60000;
	n->config_verified_ms = now_ms;
	n->states = states_new(n);
}

static void request(struct world *w, uint32_t job, Fleet__Verb verb,
		    Fleet__JobRow *row)
{
	struct caller *caller = talloc_zero(w->node, struct caller);
	char id[SCHED_ID_BYTES + 1];
	struct node_request req = { .verb = verb,
				    .queue = "q",
				    .id = id,
				    .job = row,
				    .timeout_ms = 2000,
				    .fn = on_answer,
				    .arg = caller };

	caller->world = w;
	caller->job = job;
	job_id(id, sizeof(id), job);
	w->sent_ms[job] = now_ms;
	node_request(w->node, &req);
}

/* Counts the accepted of 200 requests; sum_ms: the time until all answers. */
static uint32_t run_records(enum loss loss, Fleet__Verb verb, uint32_t *sum_ms)
{
	uint32_t count = 0;
	uint64_t seed;

	*sum_ms = 0;
	for (seed = 1; seed <= 200; seed++) {
		Fleet__JobRow *row = job_row(1, 1, false);
		struct world w;
		uint32_t ms;

		follower_new(&w, seed, LOSS_NONE);
		if (verb == FLEET__VERB__CANCEL) {
			request(&w, 1, FLEET__VERB__SUBMIT, row);
			for (ms = 0; ms < 100; ms++)
				world_advance(&w);
			w.answered_ms[1] = 0;
		}
		w.loss = loss;
		request(&w, 1, verb, row);
		for (ms = 0; ms < 8000; ms++)
			world_advance(&w);
		assert_int_not_equal(w.answered_ms[1], 0);
		/* A write of unknown outcome may still be done. */
		assert_int_not_equal(w.results[1], FLEET__RESULT__UNANSWERED);
		count += w.results[1] == FLEET__RESULT__ACCEPTED;
		*sum_ms += (uint32_t)(w.answered_ms[1] - w.sent_ms[1]);
		fleet__job_row__free_unpacked(row, NULL);
		world_free(&w);
	}
	return count;
}

static void test_lost_answer_of_a_record_is_found(void **state)
{
	static const Fleet__Verb verbs[] = { FLEET__VERB__SUBMIT,
					     FLEET__VERB__CANCEL };
	uint32_t sum_ms;
	size_t v;

	(void)state;
	for (v = 0; v < sizeof(verbs) / sizeof(verbs[0]); v++) {
		assert_int_equal(run_records(LOSS_ANSWER, verbs[v], &sum_ms),
				 200);
		if (sum_ms / 200 > 150)
			fail_msg("verb %d: callers wait %u ms on average",
				 verbs[v], sum_ms / 200);
	}
}

/* Without a repetition two of five are accepted. */
static void test_late_record_is_repeated(void **state)
{
	uint32_t sum_ms;

	(void)state;
	if (run_records(LOSS_LATE, FLEET__VERB__SUBMIT, &sum_ms) < 140)
		fail_msg("too few are accepted");
}

static void test_slow_store_gets_each_record_once(void **state)
{
	Fleet__JobRow *row = job_row(1, 1, false);
	struct world w;
	uint32_t ms;

	(void)state;
	follower_new(&w, 1, LOSS_NONE);
	w.write_ms = SLOW_ANSWER_MS;
	w.read_ms = SLOW_ANSWER_MS / 2;
	request(&w, 1, FLEET__VERB__SUBMIT, row);
	for (ms = 0; ms < 3000; ms++)
		world_advance(&w);
	assert_int_equal(w.results[1], FLEET__RESULT__ACCEPTED);
	assert_int_equal(w.writes, 1);
	assert_in_range(w.reads, 1, 2);
	fleet__job_row__free_unpacked(row, NULL);
	world_free(&w);
}

/* A job that the store refuses doesn't keep the others from being written. */
static void test_invalid_change_is_set_aside(void **state)
{
	static const struct {
		const char *name;
		uint64_t bad_jobs;
	} cases[] = {
		{ "the first", 1 << 0 },
		{ "one", 1 << 10 },
		{ "several", 1 << 3 | 1 << 4 | 1 << 17 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct world w;
		uint32_t job;

		print_message("%s\n", cases[c].name);
		world_new(&w, 1, LOSS_NONE);
		w.bad_jobs = cases[c].bad_jobs;
		run_jobs(&w, 0);
		for (job = 0; job < JOBS; job++)
			assert_int_equal(w.results[job],
					 cases[c].bad_jobs >> job & 1
						 ? FLEET__RESULT__REFUSED
						 : FLEET__RESULT__ACCEPTED);
		assert_false(sched_change_pending(w.node->sched));
		world_free(&w);
	}
}

/* A store that refuses every write for a while costs no job its place. */
static void test_invalid_store_sets_nothing_aside(void **state)
{
	struct world w;
	uint32_t job, ms;

	(void)state;
	world_new(&w, 1, LOSS_NONE);
	w.refuses_writes = true;
	for (job = 0; job < JOBS; job++)
		call_submit(&w, job);
	for (ms = 0; ms < 2000; ms++)
		world_advance(&w);
	w.refuses_writes = false;
	for (ms = 0; ms < CALLER_MS; ms++)
		world_advance(&w);
	assert_int_equal(accepted(&w), JOBS);
	world_free(&w);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_answer_delays_callers_briefly),
		cmocka_unit_test(test_late_write_delays_callers_briefly),
		cmocka_unit_test(test_slow_store_is_not_asked_often),
		cmocka_unit_test(test_refused_question_is_not_repeated_often),
		cmocka_unit_test(test_normal_store_is_not_asked),
		cmocka_unit_test(test_unanswered_write_of_former_leader),
		cmocka_unit_test(test_lost_answer_of_a_record_is_found),
		cmocka_unit_test(test_late_record_is_repeated),
		cmocka_unit_test(test_slow_store_gets_each_record_once),
		cmocka_unit_test(test_invalid_change_is_set_aside),
		cmocka_unit_test(test_invalid_store_sets_nothing_aside),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
