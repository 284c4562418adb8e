#include "test/rig/election.h"

#include <assert.h>
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define BEFORE_MS 5000u /* from the start to the trouble */

/*
 * Without a start, a task that lasts is lost 6 s after its last run; a second
 * is left for the start itself.
 */
#define DECIDES_MS 5000u
/* Until all nodes have heard of a leader that had been silent */
#define HEARING_MS 1000u
#define CALM_MS 20000u /* that are watched after that */
#define CHANGES_MAX 1u /* of the leader in calm: a step-down */
#define FREEZE_GAP_MS                                          \
	2000u /* from a leader's thaw to the next one's freeze \
	       */

#define SUBMIT_MS 100u /* between two jobs of a caller */
#define COST_SUBMIT 150.0
#define LAG_GAP_MIN_MS 100u /* in which a lagging leader catches up */
#define LAG_GAP_MAX_MS 500u
#define LAG_LOOK_MS 50u /* between two looks whether it has */

#define STANDSTILL_MS 1000u /* after which a leader needs a confirmation */

#define STEP_MS 500u /* between two looks at the result */

#define MS 1000u /* us */

struct trial {
	const struct election_case *c;
	struct site *s;
	uint64_t calm_us; /* when the last fault has ended */

	uint64_t first_us; /* a leader decides in calm; 0: not yet */
	uint64_t last_us;  /* a leader was last seen to decide */
	uint64_t gap_us;   /* longest time without one, in calm */
	struct host *leader;
	uint32_t changes;
	bool needless; /* a change to a node that isn't stronger */

	struct host *newest; /* with the highest epoch that gave orders */
	uint64_t newest_epoch;
	uint64_t replaced_us; /* when its claim took effect */
	uint64_t newest_fence;
	bool overlap;	    /* a leader gave orders after its successor */
	bool unexpected;    /* that the successor doesn't reckon with */
	bool fence_too_low; /* instances would take the older one's orders */
	bool outdated;	    /* orders rest on an answer from before a freeze */
	uint32_t jobs;
};

static bool gives_orders(const struct host *h)
{
	return h->node && !h->killed && !h->frozen &&
	       leader_may_order(h->node, clock_now_ms());
}

/*
 * Instances refuse orders under a lower fence than one they have seen. For
 * those that a successor hasn't reached it waits LEADER_ORDERS_MS, and less if
 * its predecessor is gone.
 */
static void check_overlap(struct trial *t, struct host *h)
{
	const struct node *n = h->node;
	const struct node *newest = t->newest ? t->newest->node : NULL;
	uint64_t after_us = t->s->now_us - t->replaced_us;

	if (n->leader.epoch > t->newest_epoch) {
		t->fence_too_low |= n->fence <= t->newest_fence;
		t->newest_fence = n->fence;
		t->newest = h;
		t->newest_epoch = n->leader.epoch;
		t->replaced_us = site_claimed_us(t->s, n->leader.epoch);
		return;
	}
	if (n->leader.epoch == t->newest_epoch) {
		t->fence_too_low |=
			h != t->newest || n->fence != t->newest_fence;
		return;
	}
	t->fence_too_low |= n->fence >= t->newest_fence;
	if (!t->overlap)
		site_note(t->s, "%s may give orders, as may %s since %.3f s",
			  h->name, t->newest->name,
			  (double)(t->replaced_us - SITE_START_US) / 1e6);
	t->overlap = true;
	if (after_us > LEADER_ORDERS_MS * MS ||
	    !leader_formers_order_ms(newest, clock_now_ms()))
		t->unexpected = true;
}

/*
 * A leader that stood still may have been replaced meanwhile. It gives orders
 * once the store has confirmed it by the answer to a later call.
 */
static void check_resumed(struct trial *t, const struct host *h)
{
	if (h->thawed_us < h->frozen_us + STANDSTILL_MS * MS ||
	    h->node->confirmed_ms * MS >= h->thawed_us)
		return;
	if (!t->outdated)
		site_note(t->s,
			  "%s gives orders, confirmed %.3f s before it went on",
			  h->name,
			  (double)(h->thawed_us - h->node->confirmed_ms * MS) /
				  1e6);
	t->outdated = true;
}

/* Whether a claim has no cause in the trouble before. */
static bool is_change(const struct trial *t, const struct host *h)
{
	return site_claimed_us(t->s, h->node->leader.epoch) >=
	       t->calm_us + HEARING_MS * MS;
}

static void on_handled(void *arg, struct host *h)
{
	struct trial *t = arg;
	uint64_t now_us = t->s->now_us;

	if (!gives_orders(h) || h->node->last_iteration_ms != clock_now_ms())
		return; /* it has had no pass yet in which to give any */
	check_overlap(t, h);
	check_resumed(t, h);
	if (now_us < t->calm_us || site_leader(t->s) != h)
		return;
	if (!t->first_us || (h != t->leader && !is_change(t, h))) {
		t->first_us = now_us;
		site_note(t->s, "%s decides", h->name);
	} else {
		if (now_us - t->last_us > t->gap_us)
			t->gap_us = now_us - t->last_us;
		if (h != t->leader) {
			t->changes++;
			if (!leader_is_weaker(t->leader->node_power,
					      h->node_power))
				t->needless = true;
		}
	}
	t->last_us = now_us;
	t->leader = h;
}

/* Load */

static void on_decided(void *arg, const struct node_answer *answer)
{
	(void)arg;
	(void)answer;
}

struct submission {
	struct trial *trial;
	struct host *host;
};

static void submit(void *arg)
{
	struct submission *sub = arg;
	Fleet__Step step = FLEET__STEP__INIT;
	Fleet__Step *steps[] = { &step };
	Fleet__JobRow job = FLEET__JOB_ROW__INIT;
	char id[SCHED_ID_BYTES + 1];
	struct node_request req = { .verb = FLEET__VERB__SUBMIT,
				    .queue = "q",
				    .id = id,
				    .job = &job,
				    .timeout_ms = 2000,
				    .fn = on_decided };

	step.count = 1;
	step.cpu = step.mem = 1;
	step.estimate_ms = 1000;
	job.queue = (char *)"q";
	job.pool = (char *)"p";
	job.workspace = (char *)"w";
	job.payload = (char *)"x";
	job.steps = steps;
	job.n_steps = 1;
	snprintf(id, sizeof(id), "f%015x", sub->trial->jobs++);
	if (gives_orders(sub->host))
		node_request(sub->host->node, &req);
	talloc_free(sub);
}

static void on_submit(void *arg)
{
	struct trial *t = arg;
	uint32_t i;

	for (i = 0; i < t->s->host_count; i++) {
		struct host *h = &t->s->hosts[i];
		struct submission *sub;

		if (!gives_orders(h))
			continue;
		sub = talloc_zero(t->s, struct submission);
		assert(sub);
		sub->trial = t;
		sub->host = h;
		host_post(h, COST_SUBMIT, submit, sub);
	}
	site_at(t->s, t->s->now_us + SUBMIT_MS * MS, on_submit, t);
}

/* Rounds of load, each once the host has caught up with the one before. */
struct lag {
	struct trial *trial;
	struct host *host;
};

static void on_lag(void *arg);

static void on_lag_over(void *arg)
{
	struct lag *lag = arg;
	struct site *s = lag->host->site;
	double gap_ms = LAG_GAP_MIN_MS +
			site_random(s) * (LAG_GAP_MAX_MS - LAG_GAP_MIN_MS);

	site_at(s, s->now_us + (uint64_t)(gap_ms * MS), on_lag, lag);
}

static void on_lag(void *arg)
{
	struct lag *lag = arg;
	const struct election_case *c = lag->trial->c;
	struct host *h = lag->host;
	struct site *s = h->site;
	double lag_ms = c->lag_min_ms +
			site_random(s) * (c->lag_max_ms - c->lag_min_ms);

	if (h->node->phase != LEADER_DECIDING || h->queue)
		site_at(s, s->now_us + LAG_LOOK_MS * MS, on_lag, lag);
	else
		host_post(h, lag_ms * MS * h->processor_share, on_lag_over,
			  lag);
}

static void start_lag(struct trial *t)
{
	uint32_t i;

	for (i = 0; i < t->s->host_count; i++) {
		struct lag *lag = talloc_zero(t->s, struct lag);

		assert(lag);
		lag->trial = t;
		lag->host = &t->s->hosts[i];
		on_lag(lag);
	}
}

/* Faults */

static void on_store_fault(void *arg)
{
	struct trial *t = arg;

	site_note(t->s, "the store's fault begins");
	t->s->faults = t->c->store;
	if (!t->s->faults.slowness)
		t->s->faults.slowness = 1;
}

static void on_store_well(void *arg)
{
	struct trial *t = arg;

	site_note(t->s, "the store is well");
	t->s->faults = (struct store_faults){ .slowness = 1 };
}

static void on_refusal(void *arg)
{
	struct trial *t = arg;
	struct host *leader = site_leader(t->s);
	uint32_t i;

	for (i = 0; i < t->s->host_count; i++) {
		struct host *h = &t->s->hosts[i];

		h->refused = h == leader || site_random(t->s) < 1.0 / 3;
		if (h->refused)
			site_note(t->s, "the store refuses %s", h->name);
	}
}

static void on_refusal_over(void *arg)
{
	struct trial *t = arg;
	uint32_t i;

	site_note(t->s, "the store refuses none");
	for (i = 0; i < t->s->host_count; i++)
		t->s->hosts[i].refused = false;
}

static void on_freeze(void *arg)
{
	struct trial *t = arg;
	struct host *leader = site_leader(t->s);
	uint32_t i;

	for (i = 0; i < t->s->host_count; i++)
		if (&t->s->hosts[i] == leader ||
		    (t->c->strong_frozen && i >= t->c->site.weak))
			host_freeze(&t->s->hosts[i]);
}

static void on_thaw(void *arg)
{
	struct trial *t = arg;
	uint32_t i;

	for (i = 0; i < t->s->host_count; i++)
		if (t->s->hosts[i].frozen)
			host_thaw(&t->s->hosts[i]);
}

static void on_kill(void *arg)
{
	struct trial *t = arg;
	struct host *leader = site_leader(t->s);
	uint32_t i;

	for (i = 0; i < t->s->host_count; i++)
		if (&t->s->hosts[i] == leader ||
		    site_random(t->s) < 1.0 / t->c->killed_parts)
			host_kill(&t->s->hosts[i]);
}

static void plan_end(struct trial *t, uint64_t at_us, site_fn fn)
{
	site_at(t->s, at_us, fn, t);
	if (at_us > t->calm_us)
		t->calm_us = at_us;
}

static void plan(struct trial *t)
{
	const struct election_case *c = t->c;
	struct site *s = t->s;
	uint64_t begin_us = s->now_us;
	uint32_t i;

	t->calm_us = begin_us;
	if (c->store_ms)
		site_at(s, begin_us, on_store_fault, t);
	if (c->store_ms && c->store_ms != ELECTION_FOREVER_MS)
		plan_end(t, begin_us + c->store_ms * MS, on_store_well);
	if (c->refused_ms) {
		site_at(s, begin_us, on_refusal, t);
		plan_end(t, begin_us + c->refused_ms * MS, on_refusal_over);
	}
	for (i = 0; i < c->freezes; i++) {
		uint64_t us =
			begin_us + i * (c->frozen_ms + FREEZE_GAP_MS) * MS;

		site_at(s, us, on_freeze, t);
		if (c->frozen_ms != ELECTION_FOREVER_MS)
			plan_end(t, us + c->frozen_ms * MS, on_thaw);
	}
	if (c->killed_parts)
		site_at(s, begin_us, on_kill, t);
	for (i = 0; i < c->site.weak; i++)
		s->hosts[i].delay_ms = c->weak_delay_ms;
	if (c->lag_max_ms)
		start_lag(t);
}

/* Judgement */

static bool strong_leads(const struct trial *t)
{
	uint32_t i;

	if (!t->leader)
		return false;
	for (i = 0; i < t->s->host_count; i++) {
		const struct host *h = &t->s->hosts[i];

		if (!h->killed &&
		    leader_is_weaker(t->leader->node_power, h->node_power))
			return false;
	}
	return true;
}

/* What is wrong so far; NULL: nothing. */
static const char *judge(const struct trial *t)
{
	uint64_t now_us = t->s->now_us;

	if (t->unexpected)
		return "a leader gives orders that its successor excludes";
	if (t->fence_too_low)
		return "a leader's fence doesn't exclude an earlier one";
	if (t->outdated)
		return "a leader that stood still gives orders unconfirmed";
	if (t->c->one_orders && t->overlap)
		return "two nodes may give orders";
	if (now_us <= t->calm_us)
		return NULL;
	if (!t->first_us)
		return now_us - t->calm_us > DECIDES_MS * MS
			       ? "no leader decides in time"
			       : NULL;
	if (t->first_us - t->calm_us > DECIDES_MS * MS)
		return "no leader decides in time";
	if (t->gap_us > DECIDES_MS * MS ||
	    now_us - t->last_us > DECIDES_MS * MS)
		return "no leader decides for a while in calm";
	if (t->changes > CHANGES_MAX)
		return "the leader changes again and again in calm";
	if (t->needless)
		return "a leader is replaced in calm";
	return NULL;
}

enum report {
	REPORT_FAILURE, /* one line */
	REPORT_HISTORY, /* of a failure */
	REPORT_ALWAYS,
};

/* Returns what is wrong, or NULL. */
static const char *run(const struct election_case *c, uint64_t seed,
		       enum report report)
{
	struct site_options options = c->site;
	struct trial t = { .c = c };
	const char *wrong;
	uint64_t end_us;

	options.seed = seed;
	if (!options.processor_share)
		options.processor_share = 1;
	t.s = site_new(&options);
	t.calm_us = UINT64_MAX;
	t.s->handled = on_handled;
	t.s->handled_arg = &t;
	site_at(t.s, t.s->now_us, on_submit, &t);
	site_run_until(t.s, SITE_START_US + BEFORE_MS * MS);
	plan(&t);
	t.last_us = t.calm_us;
	end_us = t.calm_us + (DECIDES_MS + CALM_MS) * MS;
	do {
		site_run_until(t.s, t.s->now_us + STEP_MS * MS);
		wrong = judge(&t);
	} while ((!wrong || report == REPORT_ALWAYS) && t.s->now_us < end_us);
	if (!wrong && !strong_leads(&t))
		wrong = "a weak node leads";
	if (!wrong && site_has_formers(t.s))
		wrong = "the leader row says that earlier leaders give orders";
	if (report == REPORT_ALWAYS || wrong)
		printf("%s, seed %u: %s; calm from %.3f s, a leader decides "
		       "after %.3f s, longest gap %.3f s, %u changes, "
		       "%u commits\n",
		       c->name, (unsigned int)seed, wrong ? wrong : "ok",
		       (double)(t.calm_us - SITE_START_US) / 1e6,
		       t.first_us ? (double)(t.first_us - t.calm_us) / 1e6 : -1,
		       (double)t.gap_us / 1e6, t.changes,
		       t.leader ? (unsigned int)t.leader->node->commits : 0);
	if (report == REPORT_ALWAYS || (report == REPORT_HISTORY && wrong))
		fputs(t.s->history, stdout);
	site_free(t.s);
	return wrong;
}

static void test_case(void **state)
{
	const struct election_case *c = *state;
	uint32_t failed = 0;
	uint64_t seed;

	for (seed = 1; seed <= c->seeds; seed++)
		failed += run(c, seed,
			      failed ? REPORT_FAILURE : REPORT_HISTORY) != NULL;
	if (failed)
		fail_msg("%s: %u of %u seeds", c->name, failed, c->seeds);
}

/* Returns the number of seeds that failed. */
static int run_seeds(const struct election_case *c, uint64_t first,
		     uint64_t count)
{
	uint64_t seed;
	int failed = 0;

	for (seed = first; seed < first + count; seed++)
		failed += run(c, seed,
			      count == 1 ? REPORT_ALWAYS : REPORT_FAILURE) !=
			  NULL;
	printf("%s: %d of %" PRIu64 " seeds failed\n", c->name, failed, count);
	return failed;
}

int election_run(const struct election_case *cases, size_t count, int argc,
		 char **argv)
{
	uint64_t first = 1;
	uint64_t seeds = 0;
	size_t only = count;
	struct CMUnitTest *tests;
	size_t i;
	int failed = 0;

	for (i = 1; i + 1 < (size_t)argc; i += 2) {
		uint64_t value = strtoull(argv[i + 1], NULL, 10);

		if (!strcmp(argv[i], "--case"))
			only = value;
		else if (!strcmp(argv[i], "--seed"))
			first = value;
		else if (!strcmp(argv[i], "--count"))
			seeds = value;
	}
	if (argc > 1) {
		for (i = 0; i < count; i++)
			if (only == count || i == only)
				failed += run_seeds(&cases[i], first,
						    seeds ? seeds : 1);
		return failed != 0;
	}
	tests = calloc(count, sizeof(*tests));
	assert(tests);
	for (i = 0; i < count; i++)
		tests[i] = (struct CMUnitTest){
			.name = cases[i].name,
			.test_func = test_case,
			.initial_state = (void *)&cases[i],
		};
	failed = _cmocka_run_group_tests("election", tests, count, NULL, NULL);
	free(tests);
	return failed;
}
