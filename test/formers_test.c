/*
 * Whether a new leader waits for orders of the one before it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <cmocka.h>

#include "node/node_internal.h"

#define START_MS 100000u
#define STEP_MS 50u

static uint64_t now_ms;

/* Instead of the C library's: all clocks show the test's time. */
int clock_gettime(clockid_t id, struct timespec *ts)
{
	(void)id;
	ts->tv_sec = (time_t)(now_ms / 1000);
	ts->tv_nsec = (long)(now_ms % 1000 * 1000000);
	return 0;
}

static struct leader_view claimed;

static void note_claim(void *impl, const struct store_txn *txn,
		       uint32_t timeout_ms, store_fn fn, void *arg)
{
	struct store_row row = { .value = (uint8_t *)txn->puts[0].value,
				 .length = txn->puts[0].length };

	(void)impl;
	(void)timeout_ms;
	(void)fn;
	(void)arg;
	assert_true(leader_decode(&row, &claimed));
}

static const struct services services = { .txn = note_claim };

enum sign { SILENT, RELEASED, REFUSED, RESTARTED };

/* What n-3 learns of n-2, the leader, before it claims. */
static const struct {
	const char *what;
	enum sign sign;
	bool gone;
} cases[] = {
	{ "released", RELEASED, true },
	{ "restarted", RESTARTED, true },
	{ "silent", SILENT, false },
	{ "a refused connection proves no end", REFUSED, false },
};

static void give_sign(struct node *n, enum sign sign)
{
	struct leader_view released = { .epoch = 2,
					.revision = 30,
					.known = true };

	switch (sign) {
	case SILENT:
		break;
	case RELEASED:
		leader_learn(n, &released, "test");
		break;
	case REFUSED:
		leader_connection_refused(n, n->leader.incarnation);
		break;
	case RESTARTED:
		leader_peer_seen(n, "n-2", 20);
		break;
	}
}

static void test_leader_waits_for_orders_of_one_that_may_live(void **state)
{
	struct leader_view view = { .node = "n-2",
				    .incarnation = 2,
				    .epoch = 2,
				    .revision = 20,
				    .known = true };
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct node *n = talloc_zero(NULL, struct node);

		n->ev = tevent_context_init(n);
		n->services = &services;
		n->settings.name = "n-3";
		n->incarnation = 3;
		n->store_ok = n->nodes_read = true;
		claimed.known = false;
		now_ms = START_MS;
		leader_learn(n, &view, "test");
		n->leader_last_heard_ms = now_ms;
		give_sign(n, cases[c].sign);
		while (!claimed.known && now_ms < 2 * START_MS) {
			now_ms += STEP_MS;
			leader_tick(n, now_ms);
		}
		assert_true(claimed.known);
		if (n->predecessor_gone != cases[c].gone)
			fail_msg("%s", cases[c].what);
		talloc_free(n);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_leader_waits_for_orders_of_one_that_may_live),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
