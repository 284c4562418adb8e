/*
 * Leader election: in which order nodes of unequal power claim, and when a
 * leader counts as silent, ended or not live. Guards against a weak node that
 * becomes leader before a strong one claims, and against the replacement of a
 * leader that was only just learned of or is only slow.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "node/node_internal.h"

#define START_SKEW_MS 300u /* the platform starts all nodes within this */

struct claim_case {
	const char *what;
	uint32_t power, strongest;
	bool weaker;
};

static const struct claim_case cases[] = {
	{ "alone", 250, 0, false },
	{ "all equal", 250, 250, false },
	{ "a little weaker", 250, 300, false },
	{ "half", 250, 500, true },
	{ "a quarter", 120, 500, true },
	{ "the strongest", 500, 120, false },
	{ "power not reported", 0, 120, true },
};

/* The last strong node claims before the first weak one. */
static void test_order_of_claims(void **state)
{
	uint32_t strong_last = 0;
	uint32_t weak_first = UINT32_MAX;
	uint64_t hash;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		const struct claim_case *k = &cases[c];

		if (leader_is_weaker(k->power, k->strongest) != k->weaker)
			fail_msg("%s: weaker %d", k->what, !k->weaker);
		for (hash = 0; hash < 1000; hash++) {
			uint32_t ms = leader_claim_delay_ms(k->power,
							    k->strongest, hash);

			if (k->weaker && ms < weak_first)
				weak_first = ms;
			if (!k->weaker && ms > strong_last)
				strong_last = ms;
		}
	}
	assert_true(weak_first > strong_last + START_SKEW_MS);
}

/* A newly learned leader isn't silent: no node claims in its grace period. */
static void test_silence(void **state)
{
	static const struct {
		const char *what;
		uint64_t heard_ms, now;
		uint32_t silent_ms;
	} silences[] = {
		{ "heard now", 50000, 50000, 0 },
		{ "newly learned, in its grace period", 50500, 50000, 0 },
		{ "silent for a second", 49000, 50000, 1000 },
		{ "its process has ended", 0, 500000, 60000 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(silences) / sizeof(silences[0]); c++)
		if (leader_silent_ms(silences[c].heard_ms, silences[c].now) !=
		    silences[c].silent_ms)
			fail_msg("%s", silences[c].what);
}

/*
 * A leader that reports that it isn't live is replaced soon, but not a newly
 * learned one: other nodes may learn of its claim before it does.
 */
static void test_leader_not_live(void **state)
{
	static const struct {
		const char *what;
		int64_t heard_ms; /* relative to now */
		uint32_t silent_ms;
	} not_live[] = {
		{ "newly learned", 400, 0 },
		{ "heard a moment ago", -100, 1000 },
		{ "silent for a long time", -4000, 4000 },
	};
	const uint64_t now = 50000;
	struct node *n = talloc_zero(NULL, struct node);
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(not_live) / sizeof(not_live[0]); c++) {
		n->leader_last_heard_ms = now + (uint64_t)not_live[c].heard_ms;
		leader_heartbeat(n, false, now);
		if (leader_silent_ms(n->leader_last_heard_ms, now) !=
		    not_live[c].silent_ms)
			fail_msg("%s", not_live[c].what);
	}
	talloc_free(n);
}

/*
 * After a refused connection a leader is replaced at once, if the call was made
 * to that incarnation of it; but only a new incarnation proves that the process
 * has ended. It says nothing about another leader, and silence neither.
 */
static void test_leader_connection_refused(void **state)
{
	static const struct {
		const char *what;
		enum leader_phase phase;
		uint64_t called, leader;
		const char *node;
		bool ended;
	} refused[] = {
		{ "the leader", LEADER_NONE, 7, 7, "n-1", true },
		{ "another node is the leader by now", LEADER_NONE, 7, 8, "n-1",
		  false },
		{ "a node that was not the leader", LEADER_NONE, 0, 7, "n-1",
		  false },
		{ "there is no leader", LEADER_NONE, 0, 0, "", false },
		{ "this node is the leader", LEADER_DECIDING, 7, 7, "n-0",
		  false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(refused) / sizeof(refused[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);

		n->settings.name = "n-0";
		n->phase = refused[c].phase;
		n->leader.known = true;
		n->leader.incarnation = refused[c].leader;
		snprintf(n->leader.node, sizeof(n->leader.node), "%s",
			 refused[c].node);
		n->leader_last_heard_ms = clock_now_ms();
		leader_connection_refused(n, refused[c].called);
		if (n->leader_ended != refused[c].ended ||
		    n->leader_restarted ||
		    (n->leader_last_heard_ms == 0) != refused[c].ended)
			fail_msg("%s", refused[c].what);
		talloc_free(n);
	}
}

/*
 * A leader stops reporting itself as live soon after its store calls begin to
 * fail, and later if it only waits for an answer.
 */
static void test_leader_without_store(void **state)
{
	static const struct {
		const char *what;
		uint64_t confirmed_ago, refusing_ago; /* 0: not refusing */
		uint32_t loop_lag_ms;
		bool live;
	} stores[] = {
		{ "normal", 100, 0, 0, true },
		{ "a slow store", 900, 0, 0, true },
		{ "no reply for a long time", 1500, 0, 0, false },
		{ "one call was refused", 100, 1, 0, true },
		{ "refused for a while", 400, 350, 0, false },
		{ "replies are read late", 1500, 0, 300, true },
		{ "no reply, and a late loop", 1800, 0, 300, false },
	};
	const uint64_t now = 50000;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(stores) / sizeof(stores[0]); c++)
		if (leader_has_store(now - stores[c].confirmed_ago,
				     stores[c].refusing_ago
					     ? now - stores[c].refusing_ago
					     : 0,
				     stores[c].loop_lag_ms,
				     now) != stores[c].live)
			fail_msg("%s", stores[c].what);
}

/* Times of terms add up, also of one that ended before it decided. */
static void test_times_of_terms(void **state)
{
	static const struct {
		const char *what;
		enum leader_phase phase;
		uint64_t deciding_since_ms;
		uint64_t loading_ms, deciding_ms;
	} terms[] = {
		{ "not the leader", LEADER_NONE, 0, 10, 20 },
		{ "loading", LEADER_LOADING, 0, 10 + 500, 20 },
		{ "deciding", LEADER_DECIDING, 50100, 10 + 100, 20 + 400 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(terms) / sizeof(terms[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);

		n->phase = terms[c].phase;
		n->leader_since_ms = 50000;
		n->term.deciding_since_ms = terms[c].deciding_since_ms;
		n->term.phase_ms[LEADER_LOADING] = 10; /* earlier terms */
		n->term.phase_ms[LEADER_DECIDING] = 20;
		if (term_phase_ms(n, LEADER_LOADING, 50500) !=
			    terms[c].loading_ms ||
		    term_phase_ms(n, LEADER_DECIDING, 50500) !=
			    terms[c].deciding_ms)
			fail_msg("%s", terms[c].what);
		talloc_free(n);
	}
}

/* A call without an answer doesn't make a leader report itself as not live. */
static void test_unanswered_commit_ends_no_term(void **state)
{
	struct node *n = talloc_zero(NULL, struct node);

	(void)state;
	n->settings.name = "n-0";
	n->phase = LEADER_DECIDING;
	n->store_ok = true;
	node_store_result(n, "test", STORE_UNKNOWN);
	assert_int_equal(n->store_refusing_since_ms, 0);
	node_store_result(n, "test", STORE_REFUSED);
	assert_int_not_equal(n->store_refusing_since_ms, 0);
	node_store_result(n, "test", STORE_UNKNOWN);
	assert_int_not_equal(n->store_refusing_since_ms, 0);
	node_store_result(n, "test", STORE_OK);
	assert_int_equal(n->store_refusing_since_ms, 0);
	talloc_free(n);
}

/*
 * A leader that answers late, and one that follows several others within a
 * short time, are given longer than one that falls silent.
 */
static void test_limit_of_silence(void **state)
{
	static const struct {
		const char *what;
		uint32_t interval_ms, answer_ms, loop_lag_ms, changes;
		uint64_t age_ms;
		uint32_t least_ms, most_ms;
	} limits[] = {
		{ "normal", 300, 3, 5, 0, 9000, 1000, 1050 },
		{ "the first change", 300, 3, 5, 1, 9000, 1000, 1050 },
		{ "it answers after 0.8 s", 300, 800, 5, 0, 9000, 1800, 1800 },
		{ "this node was suspended", 300, 3, 4000, 0, 9000, 3000,
		  3000 },
		{ "the third leader in a row", 300, 3, 5, 3, 9000, 2000, 3000 },
		{ "ever more leaders", 300, 3, 5, 100, 9000, 4000, 5000 },
		{ "rare heartbeats", 1200, 3, 5, 0, 9000, 1900, 1950 },
		{ "a new leader", 300, 3, 5, 1, 1000, 2000, 2050 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(limits) / sizeof(limits[0]); c++) {
		uint32_t ms = leader_silence_limit_ms(
			limits[c].interval_ms, limits[c].answer_ms,
			limits[c].loop_lag_ms, limits[c].changes,
			limits[c].age_ms);

		if (ms < limits[c].least_ms || ms > limits[c].most_ms)
			fail_msg("%s: %u ms", limits[c].what, ms);
	}
}

/* Fast answers between slow ones don't shorten the limit at once. */
static void test_slow_answers_count_for_a_while(void **state)
{
	struct leader_answers a = { 0 };
	uint64_t now;

	(void)state;
	leader_answered(&a, 50000, 50900);
	for (now = 51000; now < 58000; now += 300)
		leader_answered(&a, now - 3, now);
	assert_int_equal(leader_answer_ms(&a), 900);
	for (; now < 70000; now += 300)
		leader_answered(&a, now - 3, now);
	assert_int_equal(leader_answer_ms(&a), 3);
}

/* The heartbeats of all nodes leave a leader most of its processor. */
static void test_heartbeats_follow_the_leaders_power(void **state)
{
	static const struct {
		uint32_t nodes, power;
		uint32_t interval_ms;
	} intervals[] = {
		{ 6, 250, 300 },    { 45, 500, 300 }, { 147, 500, 300 },
		{ 147, 250, 588 },  { 45, 30, 1500 }, { 147, 120, 1225 },
		{ 300, 120, 2000 }, { 45, 0, 300 },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(intervals) / sizeof(intervals[0]); c++) {
		uint32_t ms = gossip_heartbeat_interval_ms(intervals[c].nodes,
							   intervals[c].power);

		if (ms != intervals[c].interval_ms)
			fail_msg("%u nodes, power %u: %u ms",
				 intervals[c].nodes, intervals[c].power, ms);
	}
}

static uint32_t reads;

static void count_read(void *impl, const char *table, const char *from,
		       const char *to, uint32_t timeout_ms, store_fn fn,
		       void *arg)
{
	(void)impl;
	(void)table;
	(void)from;
	(void)to;
	(void)timeout_ms;
	(void)fn;
	(void)arg;
	reads++;
}

/*
 * A node whose claim took effect begins its term whoever tells it so, unless
 * the claim is of an epoch that has passed or that it has led in already.
 */
static void test_lost_answer_of_a_claim_burns_no_epoch(void **state)
{
	static const struct services services = { .instance_table = "instances",
						  .read = count_read };
	static const struct {
		const char *what;
		uint64_t epoch, revision, known_epoch, term_epoch;
		bool stopping;
		bool begins, reads_row;
	} claims[] = {
		{ "the row names this node", 4, 70, 3, 0, false, true, false },
		{ "a peer says so", 4, 0, 3, 0, false, false, true },
		{ "an epoch that has passed", 4, 70, 5, 0, false, false,
		  false },
		{ "its own term, which it gave up", 4, 70, 3, 4, false, false,
		  false },
		{ "it is stopping", 4, 70, 3, 0, true, false, false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(claims) / sizeof(claims[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);
		struct leader_view view = { .node = "n-0", .known = true };

		n->ev = tevent_context_init(n);
		n->services = &services;
		n->settings.name = "n-0";
		n->incarnation = view.incarnation = 7;
		n->stopping = claims[c].stopping;
		n->term_epoch = claims[c].term_epoch;
		n->leader.known = true;
		n->leader.incarnation = 9;
		n->leader.epoch = claims[c].known_epoch;
		snprintf(n->leader.node, sizeof(n->leader.node), "n-1");
		view.epoch = claims[c].epoch;
		view.revision = claims[c].revision;
		reads = 0;
		leader_learn(n, &view, "test");
		if ((n->phase == LEADER_LOADING) != claims[c].begins)
			fail_msg("%s: phase %d", claims[c].what, n->phase);
		if (n->leader_reading != claims[c].reads_row)
			fail_msg("%s: reading %d", claims[c].what,
				 n->leader_reading);
		talloc_free(n);
	}
}

/*
 * A leader that stood still, or met the fence of a newer one, gives no orders
 * on an answer to a call that it had sent before.
 */
static void test_late_answer_allows_no_orders(void **state)
{
	enum { DOUBTED_MS = 50000 };
	static const struct {
		const char *what;
		uint64_t sent_ms;
		bool may_order;
	} answers[] = {
		{ "sent before", DOUBTED_MS - 1, false },
		{ "sent at that time", DOUBTED_MS, true },
		{ "sent after it", DOUBTED_MS + 100, true },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(answers) / sizeof(answers[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);

		n->phase = LEADER_LOADING; /* it has no scheduler yet */
		n->confirmed_ms = DOUBTED_MS - 200;
		leader_doubted(n, DOUBTED_MS);
		leader_confirmed(n, answers[c].sent_ms);
		n->phase = LEADER_DECIDING;
		if (leader_may_order(n, DOUBTED_MS + 200) !=
		    answers[c].may_order)
			fail_msg("%s", answers[c].what);
		talloc_free(n);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order_of_claims),
		cmocka_unit_test(test_silence),
		cmocka_unit_test(test_leader_not_live),
		cmocka_unit_test(test_leader_connection_refused),
		cmocka_unit_test(test_leader_without_store),
		cmocka_unit_test(test_times_of_terms),
		cmocka_unit_test(test_unanswered_commit_ends_no_term),
		cmocka_unit_test(test_limit_of_silence),
		cmocka_unit_test(test_slow_answers_count_for_a_while),
		cmocka_unit_test(test_heartbeats_follow_the_leaders_power),
		cmocka_unit_test(test_lost_answer_of_a_claim_burns_no_epoch),
		cmocka_unit_test(test_late_answer_allows_no_orders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
