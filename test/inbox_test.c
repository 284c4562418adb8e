/*
 * Jobs and cancellations that other nodes recorded while the leader couldn't
 * read the jobs' rows, in virtual time. Guards against a recorded job or
 * cancellation that is never carried out, since its row was read only once.
 */
#include <time.h>

#include "node/node_internal.h"
#include "test/rig/sched_rig.h"

#define ROWS_MAX 1200u
#define CALLS_MAX 4096u
#define ANSWER_MS 4u
#define FIRST_REVISION 10u

/* A recorded job is shown, and a cancelled one ended, within this time. */
#define KNOWN_MS 3000u

/* Virtual time; replaces the C library's clock. */

static uint64_t now_ms;

int clock_gettime(clockid_t clock, struct timespec *ts)
{
	(void)clock;
	ts->tv_sec = (time_t)(now_ms / 1000);
	ts->tv_nsec = (long)(now_ms % 1000 * 1000000);
	return 0;
}

/* The store */

struct row {
	const char *table;
	char key[SCHED_ID_BYTES + 1];
	uint8_t *value;
	size_t length;
	uint64_t revision;
};

struct call {
	struct call *prev, *next;
	const char *table;
	const char *from, *to; /* keys of a read; NULL: no bound */
	bool is_feed;
	uint64_t after;	    /* of a feed: changes after this revision */
	uint64_t answer_ms; /* a feed without changes is answered then */
	store_fn fn;
	void *arg;
};

struct world {
	struct rig rig;
	struct node *node;
	struct services services;
	struct row rows[ROWS_MAX];
	uint32_t row_count;
	uint64_t revision;
	struct call *calls;
	enum store_status job_reads; /* answer to reads of jobs */
	const char *unreadable; /* a job whose reads are refused; or NULL */
	bool lose_history;	/* at the inbox feed's next answer */
	uint32_t job_read_count, most_reads_at_once;
};

static void put(struct world *w, const char *table, const char *key,
		const uint8_t *value, size_t length)
{
	struct row *row = NULL;
	uint32_t i;

	for (i = 0; i < w->row_count && !row; i++)
		if (!strcmp(w->rows[i].table, table) &&
		    !strcmp(w->rows[i].key, key))
			row = &w->rows[i];
	if (!row) {
		assert_true(w->row_count < ROWS_MAX);
		row = &w->rows[w->row_count++];
		row->table = table;
		snprintf(row->key, sizeof(row->key), "%s", key);
	}
	row->value = talloc_memdup(w->node, value, length);
	row->length = length;
	row->revision = ++w->revision;
}

static bool is_wanted(const struct call *c, const struct row *row)
{
	if (strcmp(row->table, c->table))
		return false;
	if (c->is_feed)
		return row->revision > c->after;
	return (!c->from || strcmp(row->key, c->from) >= 0) &&
	       (!c->to || strcmp(row->key, c->to) < 0);
}

static void answer(struct world *w, struct call *c)
{
	struct store_answer a = { .revision = w->revision };
	uint32_t i;

	DL_DELETE(w->calls, c);
	a.rows = talloc_array(c, struct store_row, ROWS_MAX);
	if (!strcmp(c->table, NODE_TABLE_JOB)) {
		a.status = w->unreadable && !strcmp(c->from, w->unreadable)
				   ? STORE_REFUSED
				   : w->job_reads;
	} else if (c->is_feed && !strcmp(c->table, NODE_TABLE_INBOX) &&
		   w->lose_history) {
		a.status = STORE_HISTORY_LOST;
		w->lose_history = false;
	}
	for (i = 0; i < w->row_count && a.status == STORE_OK; i++) {
		struct row *row = &w->rows[i];

		if (is_wanted(c, row))
			a.rows[a.row_count++] =
				(struct store_row){ row->table,	   row->key,
						    row->value,	   row->length,
						    row->revision, false };
	}
	c->fn(c->arg, &a);
	talloc_free(c);
}

static bool has_changes(const struct world *w, const struct call *c)
{
	uint32_t i;

	if (!strcmp(c->table, NODE_TABLE_INBOX) && w->lose_history)
		return true;
	for (i = 0; i < w->row_count; i++)
		if (is_wanted(c, &w->rows[i]))
			return true;
	return false;
}

static struct call *call_new(struct world *w, const char *table, uint32_t ms,
			     store_fn fn, void *arg)
{
	struct call *c = talloc_zero(w->node, struct call);

	c->table = table;
	c->answer_ms = now_ms + ms;
	c->fn = fn;
	c->arg = arg;
	DL_APPEND(w->calls, c);
	return c;
}

static void store_read(void *impl, const char *table, const char *from,
		       const char *to, uint32_t timeout_ms, store_fn fn,
		       void *arg)
{
	struct world *w = impl;
	struct call *c = call_new(w, table, ANSWER_MS, fn, arg);
	uint32_t at_once = 0;

	c->from = from ? talloc_strdup(c, from) : NULL;
	c->to = to ? talloc_strdup(c, to) : NULL;
	if (strcmp(table, NODE_TABLE_JOB))
		return;
	w->job_read_count++;
	DL_FOREACH(w->calls, c)
	at_once += !strcmp(c->table, NODE_TABLE_JOB);
	if (at_once > w->most_reads_at_once)
		w->most_reads_at_once = at_once;
}

static void store_feed(void *impl, const char *table, uint64_t after,
		       uint32_t wait_ms, store_fn fn, void *arg)
{
	struct call *c = call_new(impl, table, wait_ms, fn, arg);

	c->is_feed = true;
	c->after = after;
}

/* The leader */

static void world_new(struct world *w)
{
	struct node *n = talloc_zero(NULL, struct node);

	memset(w, 0, sizeof(*w));
	now_ms = 1000;
	w->node = n;
	w->revision = FIRST_REVISION;
	rig_new(&w->rig);
	rig_become_leader(&w->rig);
	w->services.impl = w;
	w->services.read = store_read;
	w->services.feed = store_feed;
	w->services.operator_table = "operator";
	w->services.instance_table = "instance";
	n->services = &w->services;
	n->settings.name = "n-0";
	n->settings.config_ms = 60000;
	n->sched = w->rig.s;
	n->config = &w->rig.config;
	n->store_ok = true;
	n->phase = LEADER_DECIDING;
	n->pass_scheduled = true; /* no passes */
	watch_from(n, FEED_OPERATOR, FIRST_REVISION);
	watch_from(n, FEED_INSTANCES, FIRST_REVISION);
	watch_from(n, FEED_INBOX, FIRST_REVISION);
}

static void world_free(struct world *w)
{
	talloc_free(w->rig.s);
	talloc_free(w->node);
}

static void run(struct world *w, uint32_t ms)
{
	for (; ms; ms--) {
		struct call *c, *next;

		w->rig.now = ++now_ms;
		DL_FOREACH_SAFE(w->calls, c, next)
		if (now_ms >= c->answer_ms || (c->is_feed && has_changes(w, c)))
			answer(w, c);
		if (now_ms % NODE_TICK_MS == 0)
			watch_tick(w->node, now_ms);
	}
}

static void job_id(char *id, size_t size, uint32_t job)
{
	snprintf(id, size, "%016x", job + 1);
}

/* Another node records a job, or a cancellation of it. */
static void record(struct world *w, uint32_t job, bool cancel)
{
	Fleet__InboxRow in = FLEET__INBOX_ROW__INIT;
	char id[SCHED_ID_BYTES + 1];
	uint8_t *bytes;
	size_t length;

	job_id(id, sizeof(id), job);
	if (!cancel) {
		Fleet__JobRow *row = job_row(1, 1, false);

		bytes = node_pack(w->node, row, &length);
		put(w, NODE_TABLE_JOB, id, bytes, length);
		fleet__job_row__free_unpacked(row, NULL);
	}
	in.queue = (char *)"q";
	in.cancel = cancel;
	bytes = node_pack(w->node, &in, &length);
	put(w, NODE_TABLE_INBOX, id, bytes, length);
}

static uint32_t jobs_in_state(const struct world *w, uint32_t jobs,
			      Fleet__JobState state)
{
	char id[SCHED_ID_BYTES + 1];
	uint32_t job, count = 0;

	for (job = 0; job < jobs; job++) {
		job_id(id, sizeof(id), job);
		count += sched_state(w->rig.s, id, "q") == state;
	}
	return count;
}

static void test_recorded_jobs_are_read_again(void **state)
{
	static const struct {
		const char *name;
		enum store_status status; /* of the reads of jobs at first */
		uint32_t failing_ms;
		uint32_t jobs;
		bool lose_history; /* of the inbox, while reads fail */
		bool cancel;	   /* all, while reads fail */
	} cases[] = {
		{ "a refusal", STORE_REFUSED, 100, 1, false, false },
		{ "no answer", STORE_UNKNOWN, 100, 1, false, false },
		{ "refusals for long", STORE_REFUSED, 20000, 3, false, false },
		{ "lost history", STORE_REFUSED, 4000, 3, true, false },
		{ "a cancellation", STORE_REFUSED, 4000, 3, false, true },
		{ "cancellation, lost history", STORE_REFUSED, 4000, 3, true,
		  true },
		{ "many jobs", STORE_REFUSED, 4500, 500, false, false },
		{ "many jobs, lost history", STORE_UNKNOWN, 4500, 500, true,
		  false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		Fleet__JobState wanted = cases[c].cancel
						 ? FLEET__JOB_STATE__CANCELLED
						 : FLEET__JOB_STATE__QUEUED;
		struct world w;
		uint32_t job, found;

		world_new(&w);
		run(&w, 200);
		w.job_reads = cases[c].status;
		for (job = 0; job < cases[c].jobs; job++)
			record(&w, job, false);
		run(&w, cases[c].failing_ms / 2);
		w.lose_history = cases[c].lose_history;
		for (job = 0; cases[c].cancel && job < cases[c].jobs; job++)
			record(&w, job, true);
		run(&w, cases[c].failing_ms / 2);
		w.job_reads = STORE_OK;
		run(&w, KNOWN_MS);
		write_all(&w.rig); /* states are shown once they are stored */
		found = jobs_in_state(&w, cases[c].jobs, wanted);
		if (found != cases[c].jobs)
			fail_msg("%s: %u of %u jobs are known", cases[c].name,
				 found, cases[c].jobs);
		world_free(&w);
	}
}

/* While reads are refused, few are sent, however many jobs wait. */
static void test_refused_reads_are_few(void **state)
{
	struct world w;
	uint32_t job;

	(void)state;
	world_new(&w);
	run(&w, 200);
	w.job_reads = STORE_REFUSED;
	for (job = 0; job < 500; job++)
		record(&w, job, false);
	run(&w, 1000);
	w.job_read_count = w.most_reads_at_once = 0;
	run(&w, 10000);
	assert_in_range(w.job_read_count, 1, 100);
	assert_in_range(w.most_reads_at_once, 1, 1);
	world_free(&w);
}

static void test_unreadable_job_holds_up_no_others(void **state)
{
	struct world w;
	uint32_t job;

	(void)state;
	world_new(&w);
	w.unreadable = "0000000000000001";
	run(&w, 200);
	for (job = 0; job < 200; job++) {
		record(&w, job, false);
		run(&w, 10);
	}
	run(&w, KNOWN_MS);
	assert_int_equal(jobs_in_state(&w, 200, FLEET__JOB_STATE__QUEUED), 199);
	w.unreadable = NULL;
	run(&w, KNOWN_MS);
	assert_int_equal(jobs_in_state(&w, 200, FLEET__JOB_STATE__QUEUED), 200);
	world_free(&w);
}

/* What a leader has still to read is no work of its next term. */
static void test_next_term_has_no_earlier_reads(void **state)
{
	struct world w;

	(void)state;
	world_new(&w);
	run(&w, 200);
	w.job_reads = STORE_REFUSED;
	record(&w, 0, false);
	run(&w, 200);
	/* It loses and regains leadership. */
	inbox_end(w.node);
	w.node->phase_generation++;
	w.job_reads = STORE_OK;
	run(&w, KNOWN_MS);
	assert_int_equal(jobs_in_state(&w, 1, FLEET__JOB_STATE__QUEUED), 0);
	world_free(&w);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_recorded_jobs_are_read_again),
		cmocka_unit_test(test_refused_reads_are_few),
		cmocka_unit_test(test_unreadable_job_holds_up_no_others),
		cmocka_unit_test(test_next_term_has_no_earlier_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
