/*
 * Decisions of a node that need neither a network nor a clock: which tables
 * share a partition, when a node may record jobs, send transactions and order
 * machines, and when a leader uses relays.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "node/node_internal.h"

#define PARTITION_PER_S 200u /* the store's limit of transactions */
#define BURST_MS 1000u	     /* the backlog that the store accepts */

/* Writes of many nodes at once must not delay the leader's own writes. */
static void test_partitions(void **state)
{
	static const struct {
		const char *table;
		bool with_jobs; /* in the partition of the leader row */
	} cases[] = {
		{ NODE_TABLE_LEADER, true },
		{ NODE_TABLE_JOB, true },
		{ NODE_TABLE_PROGRESS, true },
		{ NODE_TABLE_END, true },
		{ NODE_TABLE_INBOX, true },
		{ "status", true },
		{ NODE_TABLE_NODE, false },
		{ NODE_TABLE_MAINTENANCE, false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		if (!*store_partition(cases[c].table) != cases[c].with_jobs)
			fail_msg("%s: in partition \"%s\"", cases[c].table,
				 store_partition(cases[c].table));
}

/*
 * Load: no leader, and callers of every node that retry without a pause. All
 * nodes together leave half of the partition's rate to the next leader.
 */
static void test_record_rate_of_all_nodes(void **state)
{
	static const uint32_t sizes[] = { 1, 6, 45, 147, 300 };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(sizes) / sizeof(sizes[0]); c++) {
		uint32_t nodes = sizes[c];
		struct record_bucket each[300] = { { 0, 0 } };
		uint32_t recorded = 0, first_second = 0;
		uint64_t now;
		uint32_t i;

		for (now = 100000; now < 110000; now += 10)
			for (i = 0; i < nodes; i++)
				recorded += record_bucket_take(&each[i], nodes,
							       now);
		for (i = 0; i < nodes; i++)
			each[i] = (struct record_bucket){ 2, 110000 };
		for (now = 110000; now < 111000; now += 10)
			for (i = 0; i < nodes; i++)
				first_second += record_bucket_take(&each[i],
								   nodes, now);
		if (recorded > 10 * PARTITION_PER_S / 2 + 2 * nodes)
			fail_msg("%u nodes: %u in 10 s", nodes, recorded);
		if (nodes < 100 && recorded < 900)
			fail_msg("%u nodes: only %u in 10 s", nodes, recorded);
		if (first_second > PARTITION_PER_S / 2 + 2 * nodes)
			fail_msg("%u nodes: %u at once", nodes, first_second);
	}
}

/*
 * Load: no leader while the store changes two rows a second. Jobs that nodes
 * record would delay the claim of the next leader.
 */
static void test_record_pause_in_slow_store(void **state)
{
	static const struct {
		const char *what;
		uint64_t slow_ms_ago; /* 0: never */
		bool may;
	} cases[] = {
		{ "it was never slow", 0, true },
		{ "a call has just been refused", 1, false },
		{ "it was slow a second ago", 1000, false },
		{ "it has recovered", 1500, true },
	};
	const uint64_t now = 50000;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		if (record_pause_is_over(cases[c].slow_ms_ago
						 ? now - cases[c].slow_ms_ago
						 : 0,
					 now) != cases[c].may)
			fail_msg("%s", cases[c].what);
}

static void test_slow_store_calls(void **state)
{
	static const struct {
		const char *what;
		enum store_status status;
		uint64_t took_ms;
		bool slow;
	} cases[] = {
		{ "normal", STORE_OK, 14, false },
		{ "a row that has changed", STORE_CONFLICT, 14, false },
		{ "slow", STORE_OK, 400, true },
		{ "its backlog is full", STORE_REFUSED, 5, true },
		{ "no reply", STORE_UNKNOWN, 1500, true },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);

		n->store_ok = true;
		node_store_timed_result(n, "read", cases[c].status,
					clock_now_ms() - cases[c].took_ms);
		if ((n->store_last_slow_ms != 0) != cases[c].slow)
			fail_msg("%s", cases[c].what);
		talloc_free(n);
	}
}

/* Passes take about half of a leader's time and wait for at most 100 ms. */
static void test_pause_after_pass(void **state)
{
	static const struct {
		uint64_t took_ms;
		uint32_t pause_ms;
	} cases[] = { { 0, 4 },	  { 3, 4 },	 { 4, 4 },	{ 20, 20 },
		      { 99, 99 }, { 1000, 100 }, { 60000, 100 } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		assert_int_equal(node_pass_pause_ms(cases[c].took_ms),
				 cases[c].pause_ms);
}

struct commit_case {
	const char *what;
	uint32_t in_flight;
	bool resolving;
	uint64_t waited_ms;
	bool may;
};

static void test_concurrent_commits(void **state)
{
	static const struct commit_case cases[] = {
		{ "none in flight", 0, false, 0, true },
		{ "one, the store answers fast", 1, false, 9, false },
		{ "one, the store is slow", 1, false, 300, true },
		{ "an unknown outcome is resolved alone", 1, true, 5000,
		  false },
		{ "resolving when nothing is in flight", 0, true, 0, true },
		{ "as many as are allowed", 6, false, 5000, false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		const struct commit_case *k = &cases[c];

		if (commit_may_begin(k->in_flight, k->resolving,
				     k->waited_ms) != k->may)
			fail_msg("%s", k->what);
	}
}

/* Load: a store that takes 0.6 s for a transaction, or doesn't answer. */
static void test_stalled_store(void **state)
{
	static const struct {
		const char *what;
		uint64_t waiting_since_ms, now;
		bool stalled;
	} cases[] = {
		{ "nothing waits", 0, 90000, false },
		{ "a normal store", 50000, 50009, false },
		{ "a slow store", 50000, 50600, false },
		{ "a store that does not answer", 50000, 51000, true },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		if (commit_is_stalled(cases[c].waiting_since_ms,
				      cases[c].now) != cases[c].stalled)
			fail_msg("%s", cases[c].what);
}

struct wait_case {
	const char *what;
	struct machines_wait wait;
	uint64_t now;
	bool over;
};

/* Two leaders' orders to machines are at least holder_ms apart. */
static void test_wait_for_former_leader(void **state)
{
	static const struct wait_case cases[] = {
		{ "the former leader was killed, this node was not",
		  { 1000, 60000, 3000, true },
		  60100,
		  false },
		{ "the former leader may still give orders",
		  { 59500, 60000, 3000, false },
		  60100,
		  false },
		{ "all nodes were restarted, the former leader too",
		  { 59500, 60000, 3000, true },
		  60100,
		  true },
		{ "this node started long before it became leader",
		  { 56000, 60000, 3000, true },
		  60100,
		  false },
		{ "it has waited long enough",
		  { 1000, 60000, 3000, false },
		  63400,
		  true },
		{ "it has waited a little less",
		  { 1000, 60000, 3000, false },
		  63200,
		  false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		if (machines_wait_is_over(&cases[c].wait, cases[c].now) !=
		    cases[c].over)
			fail_msg("%s", cases[c].what);
}

static void test_relays_for_many_instances(void **state)
{
	static const struct {
		uint32_t instances, direct_max;
		bool relays;
	} cases[] = { { 0, 150, false },   { 49, 150, false },
		      { 150, 150, false }, { 350, 150, true },
		      { 1100, 150, true }, { 1, 0, true } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		if ((relay_power_needed(cases[c].instances,
					cases[c].direct_max) > 0) !=
		    cases[c].relays)
			fail_msg("%u instances", cases[c].instances);
}

/*
 * Load: a new leader with hundreds of instances reads its links late. A peer
 * whose data waits to be read isn't disconnected.
 */
static void test_unresponsive_relays(void **state)
{
	static const struct {
		uint64_t heard_ms_ago;
		bool unread, unresponsive;
	} cases[] = { { 0, false, false },   { 500, false, false },
		      { 600, false, true },  { 600, true, false },
		      { 5000, true, false }, { 5000, false, true } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		assert_int_equal(
			relay_is_unresponsive(10000 - cases[c].heard_ms_ago,
					      cases[c].unread, 10000),
			cases[c].unresponsive);
}

/*
 * Load: a new leader with hundreds of instances reads its links late. If it
 * called them all itself meanwhile, it would read later still.
 */
static void test_late_links_of_a_new_leader(void **state)
{
	static const struct {
		const char *what;
		uint32_t dialed, linked;
		uint64_t since_ms;
		uint32_t loop_lag_ms;
		bool waits;
	} cases[] = {
		{ "no peers", 0, 0, 0, 0, false },
		{ "dialed a moment ago", 6, 0, 10, 0, true },
		{ "half of them are linked", 6, 3, 10, 0, false },
		{ "none answers", 6, 0, 300, 0, false },
		{ "a late loop", 6, 0, 1500, 1000, true },
		{ "a late loop, none answers", 6, 0, 4500, 2000, false },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		if (relay_waits_for_links(
			    cases[c].dialed, cases[c].linked, cases[c].since_ms,
			    cases[c].loop_lag_ms) != cases[c].waits)
			fail_msg("%s", cases[c].what);
}

/* A weak relay gets a small part of the instances, not as many as a strong. */
static void test_instances_by_power(void **state)
{
	static const uint32_t powers[] = { 500, 500, 500, 120, 0 };
	const uint32_t peers = sizeof(powers) / sizeof(powers[0]);
	uint32_t count[sizeof(powers) / sizeof(powers[0])] = { 0 };
	uint32_t total = 0, i, p;

	(void)state;
	for (i = 0; i < 10000; i++) {
		uint32_t best = 0;

		for (p = 1; p < peers; p++)
			if (relay_score(i * 0x9e3779b97f4a7c15u, p + 1,
					powers[p]) >
			    relay_score(i * 0x9e3779b97f4a7c15u, best + 1,
					powers[best]))
				best = p;
		count[best]++;
	}
	for (p = 0; p < peers; p++)
		total += powers[p];
	for (p = 0; p < peers; p++) {
		double wanted = 10000.0 * powers[p] / total;

		assert_in_range(count[p], (uint32_t)(0.9 * wanted),
				(uint32_t)(1.1 * wanted) + 20);
	}
}

/*
 * A leader that reads late doesn't repeat calls whose results have come, but
 * notices results that never come, also of a peer that always sends others.
 */
static void test_unread_results_are_not_lost(void **state)
{
	static const struct {
		uint64_t deadline_ms;
		bool unread, lost;
	} cases[] = { { 9999, false, true },   { 10000, false, true },
		      { 10001, false, false }, { 9500, true, false },
		      { 9400, true, true },    { 1000, true, true } };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++)
		assert_int_equal(relay_call_is_lost(cases[c].deadline_ms,
						    cases[c].unread, 10000),
				 cases[c].lost);
}

/* A node repeats a state only as long as the leader let it, and of one queue.
 */
static void test_repeated_states(void **state)
{
	static const struct {
		const char *id, *queue;
		uint32_t valid_ms, later_ms;
		Fleet__JobState found;
	} cases[] = {
		{ "a", "q", 400, 0, FLEET__JOB_STATE__RUNNING },
		{ "a", "q", 400, 399, FLEET__JOB_STATE__RUNNING },
		{ "a", "q", 400, 400, FLEET__JOB_STATE__UNKNOWN },
		{ "a", "q", 0, 0, FLEET__JOB_STATE__UNKNOWN },
		{ "b", "q", 400, 0, FLEET__JOB_STATE__UNKNOWN },
		{ "a", "r", 400, 0, FLEET__JOB_STATE__UNKNOWN },
	};
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct known_states *k = states_new(NULL);

		states_learn(k, "a", "q", FLEET__JOB_STATE__QUEUED, 400, 500);
		states_learn(k, "a", "q", FLEET__JOB_STATE__RUNNING,
			     cases[c].valid_ms, 1000);
		assert_int_equal(states_find(k, cases[c].id, cases[c].queue,
					     1000 + cases[c].later_ms),
				 cases[c].found);
		states_forget(k, "a");
		assert_int_equal(states_find(k, "a", "q", 1000),
				 FLEET__JOB_STATE__UNKNOWN);
		talloc_free(k);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_partitions),
		cmocka_unit_test(test_record_rate_of_all_nodes),
		cmocka_unit_test(test_record_pause_in_slow_store),
		cmocka_unit_test(test_slow_store_calls),
		cmocka_unit_test(test_pause_after_pass),
		cmocka_unit_test(test_concurrent_commits),
		cmocka_unit_test(test_stalled_store),
		cmocka_unit_test(test_wait_for_former_leader),
		cmocka_unit_test(test_relays_for_many_instances),
		cmocka_unit_test(test_unresponsive_relays),
		cmocka_unit_test(test_late_links_of_a_new_leader),
		cmocka_unit_test(test_instances_by_power),
		cmocka_unit_test(test_unread_results_are_not_lost),
		cmocka_unit_test(test_repeated_states),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
