/*
 * Rows of ended jobs over minutes, on whole nodes in virtual time. Guards
 * against rows that are never deleted, which each new leader loads until it has
 * no memory left, and against rows that are deleted while callers may ask for
 * the state of their job.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdint.h>
#include <cmocka.h>

#include "test/rig/site.h"

#define S 1000000u  /* us */
#define KEPT_S 120u /* end_keep_ms of the rig */
#define COST_JOB 200.0
#define CLOCKS_STEP_S 5u /* see rows_case.clocks_ahead_s */
#define JOBS_MAX 1000u

/* Rows that wait to be deleted, beside the jobs that ended lately */
#define WAITING_MAX 700u

struct rows_case {
	const char *name;
	struct site_options site;
	struct store_faults store;
	uint32_t kills_s[3];	 /* the leader then; 0: no further one */
	uint32_t freeze_s;	 /* the leader then, for 10 s; 0: it isn't */
	uint32_t clocks_ahead_s; /* of all nodes but the first leader */
	uint32_t jobs;		 /* that end, one a second from 10 s on */
	uint32_t deleted_s;	 /* all rows of jobs that ended are deleted */
};

static const struct rows_case cases[] = {
	{ .name = "a leader that nothing happens to",
	  .site = { .nodes = 3, .processor_share = 1, .ended_jobs = 2000 },
	  .jobs = 60,
	  .deleted_s = 270 },
	{ .name = "leaders that end",
	  .site = { .nodes = 5, .processor_share = 1, .ended_jobs = 2000 },
	  .kills_s = { 50, 150 },
	  .jobs = 140,
	  .deleted_s = 380 },
	{ .name = "rows that an earlier release has left",
	  .site = { .nodes = 3, .processor_share = 1, .old_jobs = 30000 },
	  .jobs = 20,
	  .deleted_s = 270 },
	{ .name = "the same, and leaders that end, the second while it deletes",
	  .site = { .nodes = 4,
		    .processor_share = 1,
		    .old_jobs = 30000,
		    .ended_jobs = 1000 },
	  .kills_s = { 20, 215 },
	  .jobs = 20,
	  .deleted_s = 500 },
	{ .name = "rows of ended jobs whose other rows were kept",
	  .site = { .nodes = 3,
		    .processor_share = 1,
		    .old_jobs = 30000,
		    .kept_jobs = 7500 },
	  .kills_s = { 3 },
	  .jobs = 20,
	  .deleted_s = 500 },
	{ .name = "a leader whose time of day is an hour ahead",
	  .site = { .nodes = 3, .processor_share = 1, .ended_jobs = 1000 },
	  .kills_s = { 50 },
	  .clocks_ahead_s = 3600,
	  .jobs = 60,
	  .deleted_s = 400 },
	{ .name = "a store that loses answers and writes late",
	  .site = { .nodes = 3,
		    .processor_share = 1,
		    .old_jobs = 5000,
		    .ended_jobs = 1000 },
	  .store = { .lost = 0.1, .dropped = 0.05, .late = 0.1, .slowness = 1 },
	  .freeze_s = 30,
	  .jobs = 100,
	  .kills_s = { 200 },
	  .deleted_s = 700 },
	{ .name = "a slow store",
	  .site = { .nodes = 3, .processor_share = 1, .ended_jobs = 300 },
	  .store = { .slowness = 20 },
	  .jobs = 20,
	  .deleted_s = 400 },
};

struct trial {
	const struct rows_case *c;
	struct site *s;
	uint32_t jobs;
	uint64_t
		ended_us[JOBS_MAX]; /* their rows were first seen; 0: not yet */
};

static void report_fault(const struct trial *t, const char *what,
			 const char *why)
{
	printf("%s", t->s->history);
	fail_msg("%s: %s %s, at %.0f s; %u rows", t->c->name, what, why,
		 (double)(t->s->now_us - SITE_START_US) / S,
		 site_rows(t->s, NODE_TABLE_END));
}

static void job_id(char *id, uint32_t number)
{
	snprintf(id, SCHED_ID_BYTES + 1, "2%015x", number);
}

/* A job is accepted and cancelled at once. */
static void end_job(void *arg)
{
	struct trial *t = arg;
	struct node *n = t->s->running->node;
	uint64_t now = clock_now_ms();
	char id[SCHED_ID_BYTES + 1];

	if (!leader_may_order(n, now))
		return;
	job_id(id, t->jobs++);
	sched_recorded(n->sched, id, site_job_row(), now);
	sched_cancel(n->sched, id, "q", now);
	node_schedule_pass(n);
}

static void look_at_jobs(struct trial *t)
{
	uint64_t now_us = t->s->now_us;
	char id[SCHED_ID_BYTES + 1];
	uint32_t i;

	for (i = 0; i < t->jobs; i++) {
		bool there;

		job_id(id, i);
		there = site_has_row(t->s, NODE_TABLE_END, id);
		if (there && !t->ended_us[i])
			t->ended_us[i] = now_us;
		if (!there && t->ended_us[i] &&
		    now_us < t->ended_us[i] + KEPT_S * S)
			report_fault(t, id, "is deleted early");
	}
	for (i = 0;
	     now_us < SITE_START_US + KEPT_S * S && i < t->c->site.ended_jobs;
	     i++) {
		snprintf(id, sizeof(id), SITE_ENDED_JOB, i);
		if (!site_has_row(t->s, NODE_TABLE_END, id))
			report_fault(t, id, "is deleted early");
	}
}

/* What a leader holds is bounded by the jobs that ended lately. */
static void look_at_leader(const struct trial *t)
{
	const struct host *h = site_leader(t->s);
	struct sched_stats stats;

	if (!h || h->killed || !h->node || h->node->phase != LEADER_DECIDING)
		return;
	sched_stats(h->node->sched, &stats);
	if (stats.unfinished)
		report_fault(t, h->name, "starts a job that has ended");
	if (stats.jobs > t->c->site.ended_jobs + t->c->site.kept_jobs +
				 t->jobs + WAITING_MAX)
		report_fault(t, h->name, "holds jobs that ended long ago");
}

static void step(struct trial *t, uint32_t second)
{
	const struct rows_case *c = t->c;
	struct host *leader = site_leader(t->s);
	uint32_t i;

	for (i = 0; i < 3; i++)
		if (leader && second && second == c->kills_s[i])
			host_kill(leader);
	if (leader && second && second == c->freeze_s)
		host_freeze(leader);
	for (i = 0; i < t->s->host_count && second == CLOCKS_STEP_S; i++)
		if (&t->s->hosts[i] != leader)
			t->s->hosts[i].node->unix_offset_ms +=
				1000 * c->clocks_ahead_s;
	for (i = 0; i < t->s->host_count; i++)
		if (t->s->hosts[i].frozen && second == c->freeze_s + 10)
			host_thaw(&t->s->hosts[i]);
	if (leader && second >= 10 && t->jobs < c->jobs)
		host_post(leader, COST_JOB, end_job, t);
	site_run_until(t->s, SITE_START_US + (uint64_t)(second + 1) * S);
	look_at_jobs(t);
	look_at_leader(t);
}

static void run_case(const struct rows_case *c)
{
	struct trial t = { .c = c, .s = site_new(&c->site) };
	uint32_t second;

	if (c->store.slowness > 0)
		t.s->faults = c->store;
	for (second = 0; second < c->deleted_s; second++)
		step(&t, second);
	if (t.jobs < c->jobs)
		report_fault(&t, "the leader", "has accepted too few jobs");
	if (site_rows(t.s, NODE_TABLE_JOB))
		report_fault(&t, "the table", "has rows of ended jobs");
	if (site_rows(t.s, NODE_TABLE_END))
		report_fault(&t, "the table",
			     "has rows of jobs that ended long ago");
	site_free(t.s);
}

static void test_rows_of_ended_jobs_stay_for_ever(void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		run_case(&cases[c]);
}

/* Jobs that nodes record for the leader */

#define RECORDED_JOBS 60u
#define RECORD_S 10u /* the first one, and one a second */
#define FAULTS_END_S 90u

static void on_recorded(void *arg, const struct store_answer *answer)
{
	talloc_free(arg);
	(void)answer;
}

static void record_job(void *arg)
{
	struct trial *t = arg;
	struct host *h = t->s->running;
	struct store_txn *txn = talloc_zero(t->s, struct store_txn);
	Fleet__JobRow *job = site_job_row();
	Fleet__InboxRow in = FLEET__INBOX_ROW__INIT;
	char *id = talloc_zero_size(txn, SCHED_ID_BYTES + 1);

	job_id(id, t->jobs++);
	in.queue = job->queue;
	txn->conditions[0] = (struct store_condition){ NODE_TABLE_JOB, id, 0 };
	txn->conditions[1] = (struct store_condition){ NODE_TABLE_END, id, 0 };
	txn->puts[0] = (struct store_put){ .table = NODE_TABLE_JOB, .key = id };
	txn->puts[0].value = node_pack(txn, job, &txn->puts[0].length);
	txn->puts[1] =
		(struct store_put){ .table = NODE_TABLE_INBOX, .key = id };
	txn->puts[1].value = node_pack(txn, &in, &txn->puts[1].length);
	txn->condition_count = txn->put_count = 2;
	fleet__job_row__free_unpacked(job, NULL);
	h->services.txn(h, txn, NODE_STORE_MS, on_recorded, txn);
}

static void cancel_jobs(void *arg)
{
	struct trial *t = arg;
	struct node *n = t->s->running->node;
	char id[SCHED_ID_BYTES + 1];
	uint32_t i;

	for (i = 0; i < t->jobs && n->phase == LEADER_DECIDING; i++) {
		job_id(id, i);
		sched_cancel(n->sched, id, "q", clock_now_ms());
	}
}

static void test_inbox_rows_stay_after_a_failed_write(void **state)
{
	const struct rows_case c = { .name = "recorded jobs",
				     .site = { .nodes = 3,
					       .processor_share = 1 } };
	struct trial t = { .c = &c, .s = site_new(&c.site) };
	uint32_t second;

	(void)state;
	t.s->faults = (struct store_faults){
		.lost = 0.1, .dropped = 0.05, .late = 0.1, .slowness = 1
	};
	for (second = 1; second <= FAULTS_END_S + RECORD_S; second++) {
		struct host *leader = site_leader(t.s);

		if (second == FAULTS_END_S)
			t.s->faults = (struct store_faults){ .slowness = 1 };
		if (second >= RECORD_S && t.jobs < RECORDED_JOBS)
			host_post(&t.s->hosts[t.jobs % 3], COST_JOB, record_job,
				  &t);
		if (leader && leader->node)
			host_post(leader, COST_JOB, cancel_jobs, &t);
		site_run_until(t.s, SITE_START_US + (uint64_t)second * S);
	}
	if (site_rows(t.s, NODE_TABLE_END) < RECORDED_JOBS / 2 ||
	    site_rows(t.s, NODE_TABLE_JOB))
		report_fault(&t, "the leader", "has not ended the jobs");
	if (site_rows(t.s, NODE_TABLE_INBOX))
		report_fault(&t, "the inbox", "has rows of ended jobs");
	site_free(t.s);
}

/* Decisions of the scheduler */

#define KEEP_MS 1000u
#define JOB "f000000000000000"

static struct sched *sched_with_ended_job(uint64_t now)
{
	struct sched_options options = { .lease_ms = 4000,
					 .lease_max_ms = 6000,
					 .end_keep_ms = KEEP_MS };
	struct sched *s = sched_new(NULL, &options);

	sched_recorded(s, JOB, site_job_row(), now);
	sched_cancel(s, JOB, "q", now);
	return s;
}

static void write_changes(struct sched *s, uint32_t batch, uint64_t now)
{
	struct sched_change change;

	while (sched_next_change(s, batch, &change))
		if (change.progress)
			fleet__progress_row__free_unpacked(change.progress,
							   NULL);
	sched_batch_done(s, batch, true, now);
}

/* The store was away when the job ended: callers have not seen its state. */
static void test_state_is_lost_after_a_late_write(void **state)
{
	struct sched *s = sched_with_ended_job(1000);
	uint64_t now;

	(void)state;
	for (now = 1000; now < 5000; now += 50)
		sched_tick(s, now, now);
	write_changes(s, 1, now);
	for (; now <= 5000 + KEEP_MS - 100; now += 50) {
		sched_tick(s, now, now);
		assert_int_equal(sched_expired(s), 0);
	}
	for (; now <= 5000 + KEEP_MS + 100; now += 50)
		sched_tick(s, now, now);
	assert_int_equal(sched_expired(s), 1);
	talloc_free(s);
}

/* Else a deletion that is done late removes the row of a second job. */
static void test_job_is_unknown_before_its_row_is_deleted(void **state)
{
	struct sched *s = sched_with_ended_job(1000);

	(void)state;
	sched_tick(s, 1000, 1000);
	write_changes(s, 1, 1000);
	sched_tick(s, 3000, 3000);
	assert_string_equal(sched_next_expired(s, 2), JOB);
	assert_null(sched_next_expired(s, 2));
	assert_int_equal(sched_state(s, JOB, "q"), FLEET__JOB_STATE__CANCELLED);
	sched_batch_done(s, 2, false, 3100);
	assert_int_equal(sched_state(s, JOB, "q"), FLEET__JOB_STATE__CANCELLED);
	assert_string_equal(sched_next_expired(s, 3), JOB);
	sched_batch_done(s, 2, true, 3200);
	assert_int_equal(sched_state(s, JOB, "q"), FLEET__JOB_STATE__CANCELLED);
	sched_batch_done(s, 3, true, 3300);
	assert_int_equal(sched_state(s, JOB, "q"), FLEET__JOB_STATE__UNKNOWN);
	assert_int_equal(sched_expired(s), 0);
	talloc_free(s);
}

/* An old row of the same id, which was left in the store at the takeover */
static void test_old_row_ends_a_new_job(void **state)
{
	struct sched_options options = { .end_keep_ms = KEEP_MS };
	struct sched *s = sched_new(NULL, &options);
	Fleet__EndRow end = FLEET__END_ROW__INIT;

	(void)state;
	end.queue = (char *)"q";
	end.state = FLEET__JOB_STATE__COMPLETED;
	sched_recorded(s, JOB, site_job_row(), 1000);
	sched_load_expired(s, JOB, &end, 1000);
	assert_int_equal(sched_state(s, JOB, "q"), FLEET__JOB_STATE__QUEUED);
	assert_int_equal(sched_expired(s), 0);
	talloc_free(s);
}

/* Decisions of a node */

static void test_rows_that_a_new_leader_loads(void **state)
{
	struct node n = { .settings.end_keep_ms = 120000 };
	const uint64_t now = node_unix_ms(&n);
	const struct {
		const char *what;
		uint64_t ended_unix_ms;
		bool loaded;
	} rows_of[] = {
		{ "just ended", now, true },
		{ "ended two minutes ago", now - 120000, true },
		{ "the same, by a clock that is slow", now - 145000, true },
		{ "ended four minutes ago", now - 240000, false },
		{ "ended in the future", now + 5000, true },
		{ "ended at an unknown time", 0, true },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(rows_of) / sizeof(rows_of[0]); c++) {
		Fleet__EndRow end = FLEET__END_ROW__INIT;

		end.ended_unix_ms = rows_of[c].ended_unix_ms;
		if (end_rows_recent(&n, &end) != rows_of[c].loaded)
			fail_msg("%s", rows_of[c].what);
	}
}

/* Deletions that hold up what callers wait for */
static void test_deletions_while_the_store_is_slow(void **state)
{
	const uint64_t now = clock_now_ms();
	const struct {
		const char *what;
		struct node n;
		uint64_t last_ms_ago;
		bool may;
	} states_of[] = {
		{ "calm", { .commit_answer_ms = 14 }, 100, true },
		{ "just sent some", { .commit_answer_ms = 14 }, 50, false },
		{ "slow", { .commit_answer_ms = 300 }, 1000, false },
		{ "slow, none sent lately",
		  { .commit_answer_ms = 300 },
		  3000,
		  true },
		{ "loses writes", { .commits_voided = 1 }, 1000, false },
		{ "a write is unanswered",
		  { .commits_in_flight = 1 },
		  3000,
		  false },
		{ "refuses a change",
		  { .commit_changes_max = 1 },
		  3000,
		  false },
		{ "is tried out", { .commit_probe = true }, 3000, false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(states_of) / sizeof(states_of[0]); c++) {
		struct node n = states_of[c].n;

		n.end_rows.sent_ms = now - states_of[c].last_ms_ago;
		if (!end_rows_batch(&n, now) == states_of[c].may)
			fail_msg("%s", states_of[c].what);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rows_of_ended_jobs_stay_for_ever),
		cmocka_unit_test(test_inbox_rows_stay_after_a_failed_write),
		cmocka_unit_test(test_state_is_lost_after_a_late_write),
		cmocka_unit_test(test_job_is_unknown_before_its_row_is_deleted),
		cmocka_unit_test(test_old_row_ends_a_new_job),
		cmocka_unit_test(test_rows_that_a_new_leader_loads),
		cmocka_unit_test(test_deletions_while_the_store_is_slow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
